//! When connections to an endpoint become outdated.

use super::*;

/// Applies a sequence of reports (state, address and start time) and checks the resulting state and how many
/// connections to the endpoint become outdated.
#[test]
fn connections_are_outdated_after_a_change_of_state_address_or_process() {
    let reported = |status: &str, address: &str, since_ms: u64| {
        let text =
            format!(r#"[{{"name":"s","address":"{address}","status":"{status}","since_ms":{since_ms}}}]"#);
        serde_json::from_str::<Vec<EndpointEntry>>(&text).expect("a list")
    };
    let unix = |since| since;
    let one = "127.0.0.1:9";
    let two = "127.0.0.1:10";
    let mut endpoints = Endpoints::default();
    for (status, address, since, state, outdated_count) in [
        ("up", one, 5, EndpointState::Ready, 1),
        ("up", one, 5, EndpointState::Ready, 0),
        ("up", two, 5, EndpointState::Ready, 1),
        ("up", two, 6, EndpointState::Ready, 1),
        ("draining", "", 6, EndpointState::Draining, 1),
        ("odd", two, 6, EndpointState::Draining, 1),
        ("up", "nowhere", 6, EndpointState::Draining, 1),
        ("removed", two, 6, EndpointState::Removed, 1),
    ] {
        let update = endpoints.update(ListUpdateKind::Delta, &reported(status, address, since), unix);
        let found = (update.entries[0].state, update.outdated.len());
        assert_eq!(found, (state, outdated_count), "{status} {address} {since}");
        assert_eq!(update.entries[0].started_at, since * 1_000, "start times are in Unix microseconds");
    }
    endpoints.update(ListUpdateKind::Snapshot, &reported("up", one, 7), unix);
    let update = endpoints.update(ListUpdateKind::Snapshot, &[], unix);
    let found = (update.entries.len(), update.outdated.len(), endpoints.listed().count());
    assert_eq!(found, (0, 1, 0), "an endpoint that is not in a snapshot is removed");
}
