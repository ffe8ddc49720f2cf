//! Readings of processes and latencies.

use crate::support::{ChildProcess, HttpClient};
use hdrhistogram::Histogram;
use std::{fs, time::Duration};

const TICKS_PER_SECOND: f64 = 100.0;
const BYTES_PER_PAGE: u64 = 4_096;

/// Processor seconds that a process has used.
pub fn cpu_seconds(process: &ChildProcess) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Resident bytes of a process.
pub fn resident_bytes(process: &ChildProcess) -> u64 {
    let statm = fs::read_to_string(format!("/proc/{}/statm", process.id())).unwrap_or_default();
    statm.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok()).unwrap_or(0) * BYTES_PER_PAGE
}

/// A counter from a daemon's metrics; all its labels added up.
pub async fn metric(http: &HttpClient, control: &str, name: &str) -> f64 {
    let request = http.request("GET", &format!("http://{control}/metrics"));
    let Ok(mut answer) = request.send().await else { return 0.0 };
    let body = answer.body().limit(1 << 20).await.unwrap_or_default();
    let text = String::from_utf8_lossy(&body).into_owned();
    let lines = text.lines().filter(|line| line.starts_with(&format!("pimentoslip_{name}")));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// Latencies in microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("a histogram")
}

/// Records an elapsed time.
pub fn record(histogram: &mut Histogram<u64>, elapsed: Duration) {
    histogram.record(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)).expect("a latency");
}

/// A quantile in milliseconds.
pub fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

/// Smallest, middle and largest of a few readings.
pub fn spread(readings: &[f64]) -> (f64, f64, f64) {
    let mut sorted = readings.to_vec();
    sorted.sort_by(f64::total_cmp);
    (sorted[0], sorted[sorted.len() / 2], sorted[sorted.len() - 1])
}

/// Least-squares line through points: intercept and slope.
pub fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let (sum_x, sum_y) = points.iter().fold((0.0, 0.0), |(x, y), point| (x + point.0, y + point.1));
    let (mean_x, mean_y) = (sum_x / count, sum_y / count);
    let covariance: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (mean_y - slope * mean_x, slope)
}
