//! Requests that their clients send slowly occupy no capacity until they are complete.

mod common;

use common::*;
use oakport_core::*;

/// Sends calls until one is queued, and returns those that were sent.
fn fill(proxy: &mut RecordingProxy) -> Vec<CallId> {
    let mut sent = Vec::new();
    loop {
        let (call, actions) = proxy.request();
        if sends(&actions).is_empty() {
            proxy.event(Event::ClientDisconnected { call });
            return sent;
        }
        sent.push(call);
    }
}

fn proxy() -> RecordingProxy {
    let settings = Settings { proxy_count: 1, ..settings(Idempotency::NonIdempotent) };
    RecordingProxy::new(settings, 3)
}

#[test]
fn delayed_requests_leave_their_capacity_to_others_until_they_are_complete() {
    // Guards against clients that stop within their requests and so occupy every endpoint.
    let mut proxy = proxy();
    let delayed = fill(&mut proxy);
    assert!(!delayed.is_empty() && fill(&mut proxy).is_empty());
    for &call in &delayed {
        proxy.event(Event::RequestDelayed { call });
    }
    assert_eq!(fill(&mut proxy).len(), delayed.len());
    for &call in &delayed {
        proxy.event(Event::RequestComplete { call, remaining_time: 1_200 * MS });
    }
    assert!(fill(&mut proxy).is_empty(), "complete requests count again");
}

#[test]
fn the_end_of_a_delayed_request_neither_frees_capacity_twice_nor_counts_as_latency() {
    // Guards against endpoints that lose their budget to the time that clients take.
    for outcome in [Outcome::Cancelled, Outcome::Served] {
        let mut proxy = proxy();
        let mut capacity = fill(&mut proxy);
        let count = capacity.len();
        for _ in 0..20 {
            for call in capacity {
                proxy.event(Event::RequestDelayed { call });
                proxy.now += MS;
                proxy.end_attempt(call, 0, outcome, 2_850 * MS);
                proxy.event(Event::ClientDisconnected { call });
            }
            capacity = fill(&mut proxy);
            assert_eq!(capacity.len(), count, "{outcome:?}");
        }
    }
}
