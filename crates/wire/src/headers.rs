//! Names and values of HTTP headers.

/// Id of one attempt at an upstream, which repeats it in its response.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Caller's idempotency key of a request that must run at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Set to [`NOT_RUN`] by an upstream that refuses a request before it runs.
pub const RUN_STATE_HEADER: &str = "x-run-state";
/// Value of [`RUN_STATE_HEADER`] for a request that did not run.
pub const NOT_RUN: &str = "not-run";
/// Timeout that the caller sets for its request, in milliseconds.
pub const TIMEOUT_MS_HEADER: &str = "x-timeout-ms";
/// Secret of the cluster, on calls between daemons.
pub const CLUSTER_SECRET_HEADER: &str = "x-cluster-secret";
/// Key of the operator, on calls to the administration API.
pub const OPERATOR_KEY_HEADER: &str = "x-operator-key";
/// Priority of a request at an engine; lower values run earlier.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Set on a response that was stored for an earlier request with the same idempotency key; the request did not run
/// again.
pub const REPLAYED_HEADER: &str = "x-replayed";
