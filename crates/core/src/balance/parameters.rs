//! Parameters that several of the balancer's rules share.

/// Concurrent calls at an endpoint over all client proxies that its initial budget allows, for a few cores.
pub(super) const START_CONCURRENCY_CALLS: f64 = 7.0;
/// Concurrent calls at an endpoint over all client proxies that decreases for mild overload leave.
pub(super) const FLOOR_CONCURRENCY_CALLS: f64 = 12.0;
/// Weight of a new sample in moving means of an endpoint or a machine group: about ten samples count.
pub(super) const FEEDBACK_WEIGHT: f64 = 0.1;
/// Doublings of a backoff up to its cap.
pub(super) const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Multiple of the typical latency that must remain to the deadline of the priority weight for a hedged
/// attempt, and for a protected call to stay queued.
pub(super) const HEADROOM_FACTOR: f64 = 2.0;
/// Most retries and hedged attempts that the retry budget accumulates.
pub(super) const MAX_RETRY_BUDGET_ATTEMPTS: f64 = 20.0;
/// Most endpoints polled for their load for one call.
pub(super) const MAX_POLLED_ENDPOINTS: usize = 4;
