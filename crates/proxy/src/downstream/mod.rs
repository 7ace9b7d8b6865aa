//! The side of the clients: their connections, requests and final responses.

mod connection;
mod listener;
mod response;

pub use connection::{ClientPresence, IdleConnections};
pub use listener::Downstream;
