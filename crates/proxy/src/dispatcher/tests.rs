//! The bound on open calls.

use super::*;
use crate::body::MemoryLimit;
use crate::descriptors::Descriptors;
use crate::downstream::connection::ClientPresence;
use bytes::Bytes;
use hyper::http::{HeaderMap, Method, Uri};
use oakport_core::settings_wire::TransportSettings;
use oakport_core::Settings;

fn dispatcher() -> Dispatcher {
    let clock = Clock::start();
    let transport = TransportSettings {
        max_open_requests: 9,
        idle_connection_timeout: 60_000_000,
        connect_timeout: 9_000_000,
        handshake_charge: 0.0,
        shortest_latency_objective: 400_000,
    };
    let metrics = Rc::<Metrics>::default();
    let pool = ConnectionPool::new(
        transport,
        1,
        Descriptors::new(9),
        clock,
        Rc::clone(&metrics),
        MemoryLimit::new(64),
    );
    let parsed = ParsedSettings {
        settings: Settings::default(),
        class_names: vec![],
        tenant_names: vec![],
        transport,
    };
    Dispatcher::new(7, parsed, clock, pool, metrics)
}

fn request() -> Request {
    Request {
        method: Method::GET,
        uri: Uri::from_static("/a"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        upload: None,
        length: Some(0),
        client_timeout: 60_000_000,
        client: ClientPresence::default(),
    }
}

/// More calls than the settings allow are rejected before the balancer sees them.
#[tokio::test(flavor = "current_thread")]
async fn open_calls_are_bounded_and_a_disconnected_client_frees_capacity() {
    let dispatcher = dispatcher();
    let attributes = || CallAttributes { class: ClassId(0), tenant: None, is_retry: false };
    let open: Vec<_> =
        (0..9).map(|_| dispatcher.start_call(attributes(), request()).expect("capacity")).collect();
    assert!(dispatcher.start_call(attributes(), request()).is_none());
    dispatcher.disconnect_client(open[3].0);
    assert!(dispatcher.start_call(attributes(), request()).is_some());
}
