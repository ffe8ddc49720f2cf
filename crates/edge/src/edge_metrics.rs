//! Counters and histograms of the daemon.

use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use std::{fmt, sync::LazyLock};

const LATENCY_BUCKETS_SECONDS: [f64; 12] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Purposes of calls to the store.
const STORE_PURPOSES: [&str; 10] = [
    "news",
    "follow_operator",
    "follow_upstreams",
    "follow_daemons",
    "lease",
    "own_jobs",
    "serve_batches",
    "duty",
    "usage",
    "relay",
];

/// Labels by what was done with a request, or why.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// Code from the documented list.
    pub reason: &'static str,
}

/// Labels a store call by its purpose.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PurposeLabel {
    /// Purpose.
    pub purpose: &'static str,
}

/// All counters, gauges and histograms of the process.
pub struct EdgeMetrics {
    registry: Registry,
    /// Answers to requests, by outcome.
    pub answers: Family<ReasonLabel, Counter>,
    /// Refusals of the daemon's own, by reason.
    pub refusals: Family<ReasonLabel, Counter>,
    /// Repeated attempts, by reason.
    pub retries: Family<ReasonLabel, Counter>,
    /// Runs of items, by end.
    pub item_runs: Family<ReasonLabel, Counter>,
    /// Calls of scorers, by end.
    pub score_calls: Family<ReasonLabel, Counter>,
    /// Calls to the store, by purpose.
    pub store_calls: Family<PurposeLabel, Counter>,
    /// Time to the answer of a request.
    pub request_latency: Histogram,
    /// Time from a batch job's submission to its last listed result.
    pub batch_duration: Histogram,
    /// Configuration version in force.
    pub config_version: Gauge,
    /// Batch jobs owned.
    pub jobs_owned: Gauge,
    /// 1 while the duty is held.
    pub duty_held: Gauge,
}

impl fmt::Debug for EdgeMetrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("EdgeMetrics").finish_non_exhaustive()
    }
}

static METRICS: LazyLock<EdgeMetrics> = LazyLock::new(EdgeMetrics::new);

impl EdgeMetrics {
    /// The process's metrics.
    #[must_use]
    pub fn global() -> &'static Self {
        &METRICS
    }

    fn new() -> Self {
        let mut set = Self {
            registry: Registry::with_prefix("pimentoslip"),
            answers: Family::default(),
            refusals: Family::default(),
            retries: Family::default(),
            item_runs: Family::default(),
            score_calls: Family::default(),
            store_calls: Family::default(),
            request_latency: Histogram::new(LATENCY_BUCKETS_SECONDS),
            batch_duration: Histogram::new(LATENCY_BUCKETS_SECONDS),
            config_version: Gauge::default(),
            jobs_owned: Gauge::default(),
            duty_held: Gauge::default(),
        };
        let registry = &mut set.registry;
        registry.register("answers", "Answers to requests by outcome", set.answers.clone());
        registry.register("refusals", "Refused requests by reason", set.refusals.clone());
        registry.register("retries", "Repeated attempts by reason", set.retries.clone());
        registry.register("item_runs", "Runs of batch items by end", set.item_runs.clone());
        registry.register("item_scores", "Calls of scorers by end", set.score_calls.clone());
        registry.register("store_calls", "Calls to the store by purpose", set.store_calls.clone());
        registry.register("latency_seconds", "Time to the answer of a request", set.request_latency.clone());
        registry.register("batch_seconds", "Time from submission to the last result", set.batch_duration.clone());
        registry.register("config_version", "Configuration version in force", set.config_version.clone());
        registry.register("jobs_owned", "Batch jobs owned", set.jobs_owned.clone());
        registry.register("duty_held", "1 while the duty is held", set.duty_held.clone());
        set
    }

    /// Counts a call to the store.
    pub fn count_store_call(purpose: &'static str) {
        Self::global().store_calls.get_or_create(&PurposeLabel { purpose }).inc();
    }

    /// Calls to the store so far, by purpose, as one field of a log line.
    #[must_use]
    pub fn store_calls_text(&self) -> String {
        let count = |purpose: &&'static str| self.store_calls.get_or_create(&PurposeLabel { purpose }).get();
        let pairs: Vec<String> = STORE_PURPOSES.iter().map(|purpose| format!("{purpose}:{}", count(purpose))).collect();
        pairs.join(",")
    }

    /// Counts an event of a family by reason.
    pub fn increment(family: &Family<ReasonLabel, Counter>, reason: &'static str) {
        family.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// The text form that scrapers read.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = text::encode(&mut text, &self.registry);
        text
    }
}
