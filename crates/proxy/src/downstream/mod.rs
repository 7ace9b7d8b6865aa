//! The client side: accepts connections, reads requests and writes the final responses.

mod arrivals;
pub mod client_presence;
mod close;
pub mod connection;
mod deadline;
mod delivery;
mod detached_response;
mod detachment;
mod end_bound;
mod head_memory;
mod http_connection;
mod idle;
mod listener;
pub mod open_connections;
mod open_request;
mod open_window;
mod read_ahead;
mod rejection;
mod request;
mod request_end;
mod request_head;
mod response;
mod shutdown;
mod shutdown_writer;
mod stream;

pub use idle::IdleConnections;
pub use listener::Downstream;
pub use request::RequestHandler;
