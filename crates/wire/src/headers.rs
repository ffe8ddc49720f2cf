//! Header names.

/// Names one upstream call; the upstream repeats it in its answer.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The caller's key for a request that must run at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Set to [`NOT_RUN`] by an upstream that refuses before running.
pub const RUN_STATE_HEADER: &str = "x-run-state";
/// See [`RUN_STATE_HEADER`].
pub const NOT_RUN: &str = "not-run";
/// The caller's time for the request in milliseconds.
pub const TIMEOUT_MS_HEADER: &str = "x-timeout-ms";
/// The cluster's secret, on calls between daemons.
pub const CLUSTER_SECRET_HEADER: &str = "x-cluster-secret";
/// The operator's key, on calls to the administration API.
pub const OPERATOR_KEY_HEADER: &str = "x-operator-key";
/// Tells engines whose work goes first; lower values run earlier.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Set on an answer that repeats an earlier one instead of running again.
pub const REPLAYED_HEADER: &str = "x-replayed";
