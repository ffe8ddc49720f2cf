//! Metrics of a daemon.

use pimentoslip_kernel::{RefusalReason, RetryReason, SharedName};
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use std::{fmt, sync::Mutex, sync::PoisonError};

const LATENCY_BUCKETS_SECONDS: [f64; 10] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 60.0];

/// Label of counters by reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// Code of the reason, from the documented list.
    pub reason: &'static str,
}

/// Label of counters by service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabel {
    /// Name of the service.
    pub service: String,
}

/// Metrics of a daemon, with the registry that exports them.
pub struct MetricSet {
    registry: Mutex<Registry>,
    refusals: Family<ReasonLabel, Counter>,
    client_closes: Family<ReasonLabel, Counter>,
    retries: Family<ReasonLabel, Counter>,
    requests: Family<ServiceLabel, Counter>,
    tokens: Family<ServiceLabel, Counter>,
    /// Time from a request to the first byte of its answer.
    pub latency_seconds: Histogram,
    /// Number of calls to the key-value service, copied from its counter before each export.
    pub kv_calls: Gauge,
    /// Number of requests being served, copied from its counter before each export.
    pub inflight: Gauge,
    /// Group commits of claims, including those that failed.
    pub claim_commits: Counter,
    /// Claims in these group commits.
    pub claims: Counter,
    /// Samples delivered to trainers.
    pub samples: Counter,
    /// Generated tokens of discarded samples.
    pub wasted_tokens: Counter,
    /// Orders sent to the provider.
    pub orders: Counter,
    /// Usage reports sent to the provider.
    pub usage_reports: Counter,
    /// Newest revision of the cached configuration.
    pub config_revision: Gauge,
    /// Bytes sent and received in exchanges with peers.
    pub exchange_bytes: Counter,
}

impl fmt::Debug for MetricSet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("MetricSet").finish_non_exhaustive()
    }
}

impl Default for MetricSet {
    fn default() -> Self {
        let set = Self {
            registry: Mutex::new(Registry::with_prefix("pimentoslip")),
            refusals: Family::default(),
            client_closes: Family::default(),
            retries: Family::default(),
            requests: Family::default(),
            tokens: Family::default(),
            latency_seconds: Histogram::new(LATENCY_BUCKETS_SECONDS),
            kv_calls: Gauge::default(),
            inflight: Gauge::default(),
            claim_commits: Counter::default(),
            claims: Counter::default(),
            samples: Counter::default(),
            wasted_tokens: Counter::default(),
            orders: Counter::default(),
            usage_reports: Counter::default(),
            config_revision: Gauge::default(),
            exchange_bytes: Counter::default(),
        };
        set.register();
        set
    }
}

impl MetricSet {
    /// Counts a refused request.
    pub fn count_refusal(&self, reason: RefusalReason) {
        self.refusals.get_or_create(&ReasonLabel { reason: reason.code() }).inc();
    }

    /// Counts a connection that was closed or refused because of a limit.
    pub fn count_client_close(&self, reason: &'static str) {
        self.client_closes.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a repeated attempt.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries.get_or_create(&ReasonLabel { reason: reason.code() }).inc();
    }

    /// Counts an answered request and its generated tokens.
    pub fn count_answer(&self, service: &SharedName, tokens: u64) {
        let label = ServiceLabel { service: service.to_string() };
        self.requests.get_or_create(&label).inc();
        self.tokens.get_or_create(&label).inc_by(tokens);
    }

    /// Encodes all metrics in the OpenMetrics text format.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        // Writing to a string cannot fail.
        let _ = text::encode(&mut text, &registry);
        text
    }

    /// Registers every metric under its exported name.
    fn register(&self) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        // Every reason is exported from the start, so that its counter can be monitored before its first increment.
        for reason in RefusalReason::ALL {
            drop(self.refusals.get_or_create(&ReasonLabel { reason: reason.code() }));
        }
        for reason in RetryReason::ALL {
            drop(self.retries.get_or_create(&ReasonLabel { reason: reason.code() }));
        }
        registry.register("refusals", "Refused requests by reason", self.refusals.clone());
        registry.register("client_closes", "Connections closed because of a limit", self.client_closes.clone());
        registry.register("retries", "Repeated attempts by reason", self.retries.clone());
        registry.register("requests", "Answered requests by service", self.requests.clone());
        registry.register("tokens", "Generated tokens by service", self.tokens.clone());
        registry.register("latency_seconds", "Time to the first byte of an answer", self.latency_seconds.clone());
        registry.register("kv_calls", "Calls to the key-value service", self.kv_calls.clone());
        registry.register("inflight", "Requests being served", self.inflight.clone());
        registry.register("claim_commits", "Group commits of claims", self.claim_commits.clone());
        registry.register("claims", "Claims put on record", self.claims.clone());
        registry.register("samples", "Samples delivered to trainers", self.samples.clone());
        registry.register("wasted_tokens", "Tokens of discarded samples", self.wasted_tokens.clone());
        registry.register("orders", "Orders sent to the provider", self.orders.clone());
        registry.register("reports", "Usage reports sent to the provider", self.usage_reports.clone());
        registry.register("revision", "Configuration revision in force", self.config_revision.clone());
        registry.register("exchange_bytes", "Bytes of exchanges with peers", self.exchange_bytes.clone());
    }
}
