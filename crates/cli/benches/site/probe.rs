//! Readings of process resources and metrics, and statistics over them.

use crate::support::{ChildProcess, HttpClient};
use hdrhistogram::Histogram;
use std::{fs, time::Duration};

/// Units of processor time (`USER_HZ`) per second in `/proc`; 100 on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// Page size of the processor; `/proc` counts resident memory in pages.
const BYTES_PER_PAGE: u64 = 4_096;

/// User and system processor time that a process has used, in seconds. Zero if it cannot be read.
pub fn cpu_seconds(process: &ChildProcess) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Resident memory of a process in bytes. Zero if it cannot be read.
pub fn resident_bytes(process: &ChildProcess) -> u64 {
    let statm = fs::read_to_string(format!("/proc/{}/statm", process.id())).unwrap_or_default();
    statm.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok()).unwrap_or(0) * BYTES_PER_PAGE
}

/// Sum of all values of the metrics whose names start with `pimentoslip_` and `name`, read from the control address of a
/// daemon. Zero if the metrics cannot be read.
pub async fn metric_sum(http: &HttpClient, control: &str, name: &str) -> f64 {
    let request = http.request("GET", &format!("http://{control}/metrics"));
    let Ok(mut response) = request.send().await else { return 0.0 };
    let body = response.body().limit(1 << 20).await.unwrap_or_default();
    let text = String::from_utf8_lossy(&body).into_owned();
    let lines = text.lines().filter(|line| line.starts_with(&format!("pimentoslip_{name}")));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// Creates an empty histogram of latencies in microseconds.
pub fn latency_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("a histogram")
}

/// Records a latency.
pub fn record_latency(histogram: &mut Histogram<u64>, elapsed: Duration) {
    histogram.record(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)).expect("a latency");
}

/// Value at a quantile (0 to 1) in milliseconds.
pub fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

/// Minimum, median and maximum of a few readings.
pub fn min_median_max(readings: &[f64]) -> (f64, f64, f64) {
    let mut sorted = readings.to_vec();
    sorted.sort_by(f64::total_cmp);
    (sorted[0], sorted[sorted.len() / 2], sorted[sorted.len() - 1])
}

/// Intercept and slope of the least-squares line through `points`.
pub fn linear_fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let (sum_x, sum_y) = points.iter().fold((0.0, 0.0), |(x, y), point| (x + point.0, y + point.1));
    let (mean_x, mean_y) = (sum_x / count, sum_y / count);
    let covariance: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (mean_y - slope * mean_x, slope)
}
