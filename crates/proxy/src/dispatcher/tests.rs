//! The limit on open calls.

use super::*;
use crate::upstream::test_support::{pool, request, transport_settings};
use oakport_core::Settings;

fn dispatcher() -> Dispatcher {
    let clock = Clock::start();
    let metrics = Rc::<Metrics>::default();
    let parsed = ParsedSettings {
        settings: Settings::default(),
        class_names: vec![],
        tenant_names: vec![],
        transport: transport_settings(),
    };
    Dispatcher::new(7, parsed, clock, pool(clock, Rc::clone(&metrics)), metrics, RequestIds::new(None))
}

/// Calls beyond the limit in the settings are rejected before they reach the balancer.
#[tokio::test(flavor = "current_thread")]
async fn open_calls_are_limited_and_a_disconnected_client_frees_capacity() {
    let dispatcher = dispatcher();
    let attributes = || CallAttributes { class: ClassId(0), tenant: None, is_retry: false };
    let open: Vec<_> = (0..9)
        .map(|_| dispatcher.start_call(attributes(), request(60_000_000)).expect("capacity for the call"))
        .collect();
    let rejected = dispatcher.start_call(attributes(), request(60_000_000));
    assert_eq!(rejected.err(), Some(StartError::AtCapacity));
    dispatcher.record_client_disconnect(open[3].0);
    assert!(dispatcher.start_call(attributes(), request(60_000_000)).is_ok());
}
