//! The side of the clients: their connections, requests and final responses.

pub mod connection;
mod listener;
mod response;

pub use connection::IdleConnections;
pub use listener::Downstream;
