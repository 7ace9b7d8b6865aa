//! The upstream side of the proxy: attempts, and the connections to endpoints.

pub mod attempt;
mod connect_time;
mod connection;
mod early_response;
mod endpoint_connections;
mod limits;
mod load_report;
pub mod pool;
mod preconnect;
mod response;
mod response_forwarder;
mod response_times;
mod reuse_trust;
#[cfg(test)]
pub mod test_support;

pub use response::MAX_LONG_RESPONSE_STALL;
