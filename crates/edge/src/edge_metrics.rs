//! The daemon's metrics, in the OpenMetrics text format.

use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use std::{fmt, sync::LazyLock};

/// Upper bounds of the histogram buckets, for requests and batch jobs.
const LATENCY_BUCKETS_SECONDS: [f64; 12] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Values of the `purpose` label of calls to the store.
const STORE_PURPOSES: [&str; 11] = [
    "follow_operator",
    "follow_upstreams",
    "follow_daemons",
    "lease",
    "own_jobs",
    "serve_batches",
    "duty",
    "usage",
    "relay",
    "crashes",
    "streams",
];

/// Labels for the outcome of an operation or its reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// Outcome or reason code, such as `served` or `no_upstream`.
    pub reason: &'static str,
}

/// Labels for a service of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabel {
    /// Name of the service.
    pub service: String,
}

/// Labels for the purpose of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PurposeLabel {
    /// One of the store purposes listed in this module.
    pub purpose: &'static str,
}

/// All counters, gauges and histograms of the process.
pub struct EdgeMetrics {
    registry: Registry,
    /// Forwarded requests, by outcome: `served`, `upstream_failed` if the upstream's response is no success,
    /// `client_left`, or `stopping` for a stream that the end of a planned stop breaks off. Requests to which no upstream has responded are counted as refusals.
    pub answers: Family<ReasonLabel, Counter>,
    /// Error responses that the daemon created itself, by reason.
    pub refusals: Family<ReasonLabel, Counter>,
    /// Connections of clients that were closed or refused because of a limit: `connections`, `memory`, `no_progress` or `refused`.
    pub client_closes: Family<ReasonLabel, Counter>,
    /// Connections to upstreams that are not used again, by reason: `id_repeated` before a request whose id they have carried;
    /// `id_missing` or `id_of_other` after a response without the id of its request.
    pub connections_closed: Family<ReasonLabel, Counter>,
    /// Failed attempts at upstreams, by reason.
    pub retries: Family<ReasonLabel, Counter>,
    /// Ended runs of batch items, by result.
    pub item_runs: Family<ReasonLabel, Counter>,
    /// Owned batch jobs that wait before they are run, by reason: `config_older` than the one under which the job was accepted;
    /// `evacuated` or `outside_homes`, counted each 10 s, while no upstream may run their items.
    pub job_waits: Family<ReasonLabel, Counter>,
    /// Reads of results of batch jobs, by the source of the answer: `own_memory`, `owner_peer` or `store`.
    pub result_reads: Family<ReasonLabel, Counter>,
    /// Calls of scorers, by result.
    pub score_calls: Family<ReasonLabel, Counter>,
    /// Panics of background tasks, by task.
    pub task_failures: Family<ReasonLabel, Counter>,
    /// Crashes of upstreams while they ran a request of this daemon.
    pub upstream_crashes: Counter,
    /// Changes of the limits that upstreams name: `named`, `ended` or `malformed`.
    pub limit_changes: Family<ReasonLabel, Counter>,
    /// Upstreams that turned cold, by what showed it.
    pub cold_upstreams: Family<ReasonLabel, Counter>,
    /// Requests for permits of one upstream, by result: `granted`, `unmet`, `ended` if the upstream names no limit any
    /// more, `unresponsive`, `malformed`, or `deferred` by the bound on calls.
    pub permit_asks: Family<ReasonLabel, Counter>,
    /// Streams that callers resume, by where their origin was found: `known`, `sole_version`, `peer`, `store`; or `unknown`,
    /// `store_unreachable` or `timed_out`.
    pub stream_lookups: Family<ReasonLabel, Counter>,
    /// Times in which no changes of the store were read, by what they are taken for: `store_away` or `store_served`.
    pub read_gaps: Family<ReasonLabel, Counter>,
    /// Upstreams whose entries were removed: `delisted_at_once`, `missing` while they are kept, and then `listed_again` or
    /// `delisted_late`.
    pub removed_upstreams: Family<ReasonLabel, Counter>,
    /// Checks of paths to upstreams, by verdict: `sound`, `lost` or `upstream_down`.
    pub path_checks: Family<ReasonLabel, Counter>,
    /// Requests that wait for a slot, by service.
    pub requests_waiting: Family<ServiceLabel, Gauge>,
    /// Age in milliseconds of the request that has waited longest for a slot, by service.
    pub waiting_age_ms: Family<ServiceLabel, Gauge>,
    /// Upstreams whose direct paths are lost.
    pub paths_lost: Gauge,
    /// Requests that peers were asked to relay, by result: `answered`, the failure of the attempt, or `path_lost` if the
    /// peer did not send it.
    pub relayed_attempts: Family<ReasonLabel, Counter>,
    /// Requests that this daemon was asked to relay, by result: `answered`, the failure of the attempt, or the refusal.
    pub relayed_requests: Family<ReasonLabel, Counter>,
    /// Calls to the store, by purpose.
    pub store_calls: Family<PurposeLabel, Counter>,
    /// Requests whose counts were dropped, so that no usage report has them, by reason.
    pub usage_dropped: Family<ReasonLabel, Counter>,
    /// Time from the arrival of a request to its response, in seconds.
    pub request_latency: Histogram,
    /// Age of a batch job when this daemon stops running it, in seconds: usually when its last result is stored, but
    /// also when its submitter ends it or another daemon continues it.
    pub batch_duration: Histogram,
    /// Version of the applied configuration.
    pub config_version: Gauge,
    /// Failure domains to whose upstreams nothing is sent.
    pub domains_evacuated: Gauge,
    /// Number of batch jobs that this daemon owns.
    pub jobs_owned: Gauge,
    /// 1 while this daemon holds the duty, otherwise 0.
    pub duty_held: Gauge,
    /// 1 while the store names this daemon as the holder of the duty although it may not act, otherwise 0.
    pub duty_idle: Gauge,
}

impl fmt::Debug for EdgeMetrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("EdgeMetrics").finish_non_exhaustive()
    }
}

static METRICS: LazyLock<EdgeMetrics> = LazyLock::new(EdgeMetrics::new);

impl EdgeMetrics {
    /// The metrics of this process.
    #[must_use]
    pub fn global() -> &'static Self {
        &METRICS
    }

    fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("pimentoslip"),
            answers: Family::default(),
            refusals: Family::default(),
            client_closes: Family::default(),
            connections_closed: Family::default(),
            retries: Family::default(),
            item_runs: Family::default(),
            job_waits: Family::default(),
            result_reads: Family::default(),
            score_calls: Family::default(),
            task_failures: Family::default(),
            upstream_crashes: Counter::default(),
            limit_changes: Family::default(),
            cold_upstreams: Family::default(),
            permit_asks: Family::default(),
            stream_lookups: Family::default(),
            read_gaps: Family::default(),
            removed_upstreams: Family::default(),
            path_checks: Family::default(),
            requests_waiting: Family::default(),
            waiting_age_ms: Family::default(),
            paths_lost: Gauge::default(),
            relayed_attempts: Family::default(),
            relayed_requests: Family::default(),
            store_calls: Family::default(),
            usage_dropped: Family::default(),
            request_latency: Histogram::new(LATENCY_BUCKETS_SECONDS),
            batch_duration: Histogram::new(LATENCY_BUCKETS_SECONDS),
            config_version: Gauge::default(),
            domains_evacuated: Gauge::default(),
            jobs_owned: Gauge::default(),
            duty_held: Gauge::default(),
            duty_idle: Gauge::default(),
        };
        let registry = &mut metrics.registry;
        registry.register("answers", "Answers to requests by outcome", metrics.answers.clone());
        registry.register("refusals", "Refused requests by reason", metrics.refusals.clone());
        registry.register("client_closes", "Connections closed because of a limit", metrics.client_closes.clone());
        registry.register(
            "connections_closed",
            "Connections to upstreams closed because of a request id",
            metrics.connections_closed.clone(),
        );
        registry.register("retries", "Repeated attempts by reason", metrics.retries.clone());
        registry.register("item_runs", "Runs of batch items by end", metrics.item_runs.clone());
        registry.register("job_waits", "Owned jobs that wait by reason", metrics.job_waits.clone());
        registry.register("result_reads", "Reads of results by source", metrics.result_reads.clone());
        registry.register("item_scores", "Calls of scorers by end", metrics.score_calls.clone());
        registry.register("task_failures", "Panics of background tasks", metrics.task_failures.clone());
        registry.register("upstream_crashes", "Crashes of upstreams under a request", metrics.upstream_crashes.clone());
        registry.register("cold_upstreams", "Upstreams that turned cold", metrics.cold_upstreams.clone());
        registry.register("limit_changes", "Changes of limits named by upstreams", metrics.limit_changes.clone());
        registry.register("permit_asks", "Requests for permits by result", metrics.permit_asks.clone());
        registry.register(
            "stream_lookups",
            "Resumed streams by source of their origin",
            metrics.stream_lookups.clone(),
        );
        registry.register("read_gaps", "Times without a read of the store by cause", metrics.read_gaps.clone());
        registry.register(
            "removed_upstreams",
            "Upstreams by what their removal led to",
            metrics.removed_upstreams.clone(),
        );
        registry.register("usage_dropped", "Requests without a usage report by reason", metrics.usage_dropped.clone());
        registry.register("path_checks", "Checks of paths to upstreams by verdict", metrics.path_checks.clone());
        registry.register("paths_lost", "Upstreams without a direct path", metrics.paths_lost.clone());
        registry.register("requests_waiting", "Requests that wait for a slot", metrics.requests_waiting.clone());
        registry.register("waiting_age_ms", "Longest wait for a slot", metrics.waiting_age_ms.clone());
        registry.register(
            "relayed_attempts",
            "Requests sent through peers by result",
            metrics.relayed_attempts.clone(),
        );
        registry.register("relayed_requests", "Requests relayed for peers by result", metrics.relayed_requests.clone());
        registry.register("store_calls", "Calls to the store by purpose", metrics.store_calls.clone());
        registry.register("latency_seconds", "Time to the answer of a request", metrics.request_latency.clone());
        registry.register("batch_seconds", "Time from submission to the last result", metrics.batch_duration.clone());
        registry.register("config_version", "Configuration version in force", metrics.config_version.clone());
        registry.register("domains_evacuated", "Evacuated failure domains", metrics.domains_evacuated.clone());
        registry.register("jobs_owned", "Batch jobs owned", metrics.jobs_owned.clone());
        registry.register("duty_idle", "1 while a listed holder may not act", metrics.duty_idle.clone());
        registry.register("duty_held", "1 while the duty is held", metrics.duty_held.clone());
        metrics
    }

    /// Sets the gauges of the requests that wait for `service`.
    pub fn set_waiting(&self, service: &str, count: usize, age_ms: u64) {
        let label = ServiceLabel { service: service.to_owned() };
        self.requests_waiting.get_or_create(&label).set(i64::try_from(count).unwrap_or(i64::MAX));
        self.waiting_age_ms.get_or_create(&label).set(i64::try_from(age_ms).unwrap_or(i64::MAX));
    }

    /// Counts a call to the store.
    pub fn count_store_call(purpose: &'static str) {
        Self::global().store_calls.get_or_create(&PurposeLabel { purpose }).inc();
    }

    /// Number of calls to the store since the start, as `purpose:count` pairs for one field of a log line.
    #[must_use]
    pub fn store_calls_text(&self) -> String {
        let call_count = |purpose: &&'static str| self.store_calls.get_or_create(&PurposeLabel { purpose }).get();
        let pairs: Vec<String> =
            STORE_PURPOSES.iter().map(|purpose| format!("{purpose}:{}", call_count(purpose))).collect();
        pairs.join(",")
    }

    /// Increments the counter of `family` for `reason`.
    pub fn increment(family: &Family<ReasonLabel, Counter>, reason: &'static str) {
        family.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// All metrics in the OpenMetrics text format.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        let _ = text::encode(&mut text, &self.registry);
        text
    }
}
