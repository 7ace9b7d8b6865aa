//! Fixtures shared by the tests of calls, attempts and the dispatcher.

use crate::body::MemoryLimit;
use crate::clock::Clock;
use crate::descriptors::Descriptors;
use crate::downstream::client_presence::ClientPresence;
use crate::metrics::Metrics;
use crate::request::Request;
use crate::upstream::pool::ConnectionPool;
use bytes::Bytes;
use hyper::http::{HeaderMap, Method, Uri};
use oakport_core::settings_wire::TransportSettings;
use oakport_core::Micros;
use std::rc::Rc;

pub fn transport_settings() -> TransportSettings {
    TransportSettings {
        max_open_requests: 9,
        idle_connection_timeout: 60_000_000,
        connect_timeout: 9_000_000,
        handshake_charge: 0.0,
        shortest_latency_objective: 400_000,
    }
}

/// The connection pool of a single client proxy.
pub fn pool(clock: Clock, metrics: Rc<Metrics>) -> Rc<ConnectionPool> {
    ConnectionPool::new(transport_settings(), 1, Descriptors::new(9), clock, metrics, MemoryLimit::new(64))
}

/// A request without a body, with a client timeout in microseconds.
pub fn request(client_timeout: Micros) -> Request {
    Request {
        method: Method::GET,
        uri: Uri::from_static("/a"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        upload: None,
        length: Some(0),
        client_timeout,
        single_run: None,
        client: ClientPresence::default(),
    }
}
