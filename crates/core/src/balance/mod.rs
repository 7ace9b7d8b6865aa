//! All decisions of the balancer, one module per concern.
//!
//! `call_lifecycle` handles the arrival and the end of a call; `admission` and `request_queue` decide whether
//! and how long the call waits; `endpoint_selection`, `slow_start`, `low_traffic` and `load_polling` choose
//! its endpoint; `retry` and `hedging` decide on further attempts; `attempt_feedback` updates the statistics
//! with the outcomes of attempts.

mod admission;
mod attempt_feedback;
mod balancer;
mod call_lifecycle;
mod concurrency_limit;
mod delayed_request;
mod endpoint_selection;
mod endpoint_status;
mod endpoint_updates;
mod hedging;
mod in_flight_budget;
mod load_polling;
mod low_traffic;
mod outlier_ejection;
mod parameters;
mod request_queue;
mod retry;
mod slow_start;

pub use balancer::Balancer;
pub(crate) use call_lifecycle::NewCall;
