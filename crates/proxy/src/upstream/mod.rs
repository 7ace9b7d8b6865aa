//! The side of the endpoints: attempts, and the connections that carry them.

pub mod attempt;
mod connection;
pub mod pool;
mod preconnect;
