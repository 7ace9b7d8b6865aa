//! Parameters shared by several modules of the balancer.

/// Concurrent calls of all client proxies together that the initial budgets of an endpoint with a few cores
/// allow.
pub(super) const START_CONCURRENCY_CALLS: f64 = 7.0;
/// Concurrent calls of all client proxies together at an endpoint below which mild overload does not decrease
/// its budgets.
pub(super) const FLOOR_CONCURRENCY_CALLS: f64 = 12.0;
/// Weight of a new sample in moving means of an endpoint or a machine group: the mean covers about ten
/// samples.
pub(super) const FEEDBACK_WEIGHT: f64 = 0.1;
/// Highest number of doublings of a backoff.
pub(super) const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Multiple of the typical latency that must remain until the weight deadline of a call to send a hedged
/// attempt, and to keep a protected call queued.
pub(super) const HEADROOM_FACTOR: f64 = 2.0;
/// Highest number of retries and hedged attempts that the retry budget accumulates.
pub(super) const MAX_RETRY_BUDGET_ATTEMPTS: f64 = 20.0;
/// Highest number of endpoints polled for their load for one call.
pub(super) const MAX_POLLED_ENDPOINTS: usize = 4;
