//! Low-traffic mode, in which client proxies outnumber endpoints: load polls, machine groups, preference of
//! the own zone, slow-start lottery.

mod common;
use common::*;
use oakport_core::*;

const OWN_ZONE: ZoneId = ZoneId(1);
const OTHER_ZONE: ZoneId = ZoneId(2);

/// Settings of one of a thousand client proxies; with `polls`, load polls report calls in flight at a low
/// cost.
fn low_traffic_settings(polls: bool) -> Settings {
    let delivery = if polls { ReportDelivery::OnPoll } else { ReportDelivery::Off };
    let limits = Limits { load_polling: true, ..settings(Idempotency::Idempotent).limits };
    Settings {
        proxy_count: 1_000,
        zone: OWN_ZONE,
        limits,
        load_reporting: LoadReporting { delivery, includes_in_flight: polls },
        charges: Charges { load_poll: 0.01, ..Charges::default() },
        ..settings(Idempotency::Idempotent)
    }
}

fn polled_endpoints(actions: &[Action]) -> Vec<EndpointId> {
    actions
        .iter()
        .filter_map(|a| if let Action::PollLoad { endpoint } = a { Some(*endpoint) } else { None })
        .collect()
}

fn end_load_poll(proxy: &mut RecordingProxy, endpoint: EndpointId, in_flight: Option<f64>) -> Vec<Action> {
    let load = LoadReport { in_flight, ..LoadReport::default() };
    let outcome = if in_flight.is_some() { Outcome::Served } else { Outcome::TimedOut };
    proxy.event(Event::LoadPolled { endpoint, outcome, elapsed: MS, load })
}

#[test]
fn a_call_is_sent_to_the_polled_endpoint_with_fewer_calls_in_flight() {
    for less_loaded in [0, 1] {
        let mut proxy = RecordingProxy::new(low_traffic_settings(true), 6);
        let (call, actions) = proxy.request();
        let polled = polled_endpoints(&actions);
        assert!(
            polled.len() == 2 && sends(&actions).is_empty(),
            "two endpoints are polled, at a cost of 0.01 each: {actions:?}"
        );
        proxy.now += MS;
        let more_loaded = 1 - less_loaded;
        assert!(
            sends(&end_load_poll(&mut proxy, polled[more_loaded], Some(3.0))).is_empty(),
            "the call waits for the other load report"
        );
        assert_eq!(
            sends(&end_load_poll(&mut proxy, polled[less_loaded], Some(1.0))),
            [(call, polled[less_loaded])]
        );
    }
}

#[test]
fn no_endpoint_is_polled_if_endpoints_outnumber_client_proxies_or_do_not_report_load() {
    let few_proxies = Settings { proxy_count: 3, ..low_traffic_settings(true) };
    for settings in [few_proxies, low_traffic_settings(false)] {
        let mut proxy = RecordingProxy::new(settings, 6);
        let (_, actions) = proxy.request();
        assert!(polled_endpoints(&actions).is_empty() && sends(&actions).len() == 1, "{actions:?}");
    }
}

#[test]
fn an_endpoint_that_does_not_report_in_time_counts_as_the_most_loaded() {
    let mut proxy = RecordingProxy::new(low_traffic_settings(true), 6);
    let (call, actions) = proxy.request();
    let polled = polled_endpoints(&actions);
    proxy.now += MS;
    end_load_poll(&mut proxy, polled[1], Some(4.0));
    assert_eq!(
        sends(&proxy.advance(50 * MS)),
        [(call, polled[1])],
        "the call waits for at most a small share of its latency objective"
    );
    let mut proxy = RecordingProxy::new(low_traffic_settings(true), 6);
    let (call, actions) = proxy.request();
    let polled = polled_endpoints(&actions);
    end_load_poll(&mut proxy, polled[0], None);
    assert_eq!(sends(&end_load_poll(&mut proxy, polled[1], Some(4.0))), [(call, polled[1])]);
}

#[test]
fn a_call_whose_polled_endpoints_are_all_at_capacity_is_queued_polls_again_and_ends_in_time() {
    let mut proxy = RecordingProxy::new(low_traffic_settings(true), 6);
    let (call, mut actions) = proxy.request();
    let end = proxy.now + 1_200 * MS;
    let mut polls = 0;
    while !is_rejected(&proxy.actions, call) && proxy.now < end {
        assert!(sends(&proxy.actions).is_empty(), "{} {:?}", proxy.now, proxy.actions);
        for endpoint in polled_endpoints(&actions) {
            polls += 1;
            end_load_poll(&mut proxy, endpoint, Some(1_000.0));
        }
        actions = proxy.advance(5 * MS);
    }
    assert!(is_rejected(&proxy.actions, call), "rejected before its client times out");
    assert!((4..=40).contains(&polls), "the pause between load polls doubles: {polls} polls");
}

#[test]
fn invalid_reports_and_polls_of_unknown_endpoints_change_nothing() {
    let mut proxy = RecordingProxy::new(low_traffic_settings(true), 6);
    end_load_poll(&mut proxy, EndpointId(99), Some(1.0));
    let (call, actions) = proxy.request();
    for (endpoint, reported) in polled_endpoints(&actions).into_iter().zip([f64::NAN, -7.0]) {
        end_load_poll(&mut proxy, endpoint, Some(reported));
    }
    proxy.advance(50 * MS);
    assert_eq!(sends(&proxy.actions).iter().filter(|s| s.0 == call).count(), 1);
}

#[test]
fn overload_is_shed_by_machine_group_statistics_and_its_end_is_detected() {
    let mut proxy = RecordingProxy::new(low_traffic_settings(false), 60);
    let round = |proxy: &mut RecordingProxy, outcome, elapsed| {
        let mut sent_count = 0;
        for _ in 0..150 {
            let (call, actions) = proxy.request();
            let is_sent = sends(&actions).iter().any(|send| send.0 == call);
            sent_count += usize::from(is_sent);
            proxy.now += elapsed;
            if is_sent {
                proxy.end_attempt(call, 0, outcome, elapsed);
            }
            proxy.advance(200 * MS);
            for attempt in 1..5 {
                proxy.end_attempt(call, attempt, outcome, elapsed);
            }
            proxy.event(Event::ClientDisconnected { call });
        }
        sent_count
    };
    assert_eq!(round(&mut proxy, Outcome::Served, 40 * MS), 150);
    round(&mut proxy, Outcome::TimedOut, 500 * MS);
    let sent_under_overload = round(&mut proxy, Outcome::TimedOut, 500 * MS);
    assert!(
        (1..=50).contains(&sent_under_overload),
        "some calls are sent, to detect the end of the overload: {sent_under_overload}"
    );
    round(&mut proxy, Outcome::Served, 40 * MS);
    assert!(round(&mut proxy, Outcome::Served, 40 * MS) > 140);
}

#[test]
fn ties_between_endpoints_without_samples_go_to_the_faster_machine_type() {
    let mut proxy = RecordingProxy::new(low_traffic_settings(false), 0);
    let machine_type = |i: u32| MachineTypeId(i % 2);
    proxy.endpoint_list(
        ListUpdateKind::Snapshot,
        (1..=200).map(|i| EndpointInfo { machine_type: machine_type(i), ..ready_endpoint(i) }).collect(),
    );
    let mut sent_to_faster = 0;
    for n in 0..120 {
        let (call, actions) = proxy.request();
        let endpoint = sends(&actions)[0].1;
        let is_slow = machine_type(endpoint.0) == MachineTypeId(1);
        sent_to_faster += usize::from(n >= 40 && !is_slow);
        let elapsed = if is_slow { 150 * MS } else { 40 * MS };
        proxy.now += elapsed;
        proxy.end_attempt(call, 0, Outcome::Served, elapsed);
    }
    assert!(
        (53..80).contains(&sent_to_faster),
        "two random endpoints have the same machine type half of the time: {sent_to_faster} of 80"
    );
}

#[test]
fn the_own_zone_is_preferred_while_it_has_capacity_if_cross_zone_calls_have_a_cost() {
    let charges = Charges { cross_zone: 0.1, ..Charges::default() };
    for (charges, stays_in_zone) in [(charges, true), (Charges::default(), false)] {
        let mut proxy = RecordingProxy::new(Settings { charges, ..low_traffic_settings(false) }, 0);
        let zone = |i: u32| if i.is_multiple_of(2) { OWN_ZONE } else { OTHER_ZONE };
        proxy.endpoint_list(
            ListUpdateKind::Snapshot,
            (1..=8).map(|i| EndpointInfo { zone: zone(i), ..ready_endpoint(i) }).collect(),
        );
        // Raises the concurrency limit to at least one call per endpoint.
        proxy.serve_bursts(20, 20 * MS);
        let chosen: Vec<EndpointId> = (0..8).flat_map(|_| sends(&proxy.request().1)).map(|s| s.1).collect();
        assert_eq!(chosen.len(), 8, "one call per endpoint uses up all budgets");
        assert_eq!(chosen[..4].iter().all(|endpoint| zone(endpoint.0) == OWN_ZONE), stays_in_zone);
    }
}

#[test]
fn a_thousand_client_proxies_do_not_overload_an_endpoint_in_slow_start_together() {
    let mut sent_to_warming_up = 0;
    for seed in 0..1_000 {
        let mut balancer = Balancer::new(seed, low_traffic_settings(false));
        let mut actions = Vec::new();
        let mut entries: Vec<EndpointInfo> = (1..=9).map(ready_endpoint).collect();
        entries.push(EndpointInfo { started_at: 1_000_000, ..ready_endpoint(10) });
        balancer.handle(1_000_001, Event::Start, &mut actions);
        balancer.handle(
            1_000_001,
            Event::EndpointList { kind: ListUpdateKind::Snapshot, endpoints: entries },
            &mut actions,
        );
        let call = CallId(1);
        let class = ClassId(0);
        let event = Event::Request { call, class, tenant: None, remaining_time: 900 * MS, is_retry: false };
        balancer.handle(1_000_002, event, &mut actions);
        sent_to_warming_up += sends(&actions).iter().filter(|s| s.1 == EndpointId(10)).count();
    }
    // The endpoint has a tenth of a tenth of the capacity, hence 11 of 1,000 calls; an even share is 100.
    assert!((3..=30).contains(&sent_to_warming_up), "{sent_to_warming_up}");
}

#[test]
fn client_retries_are_excluded_from_the_slow_start_lottery() {
    for (is_retry, expected) in [(false, true), (true, false)] {
        let mut proxy = RecordingProxy::new(low_traffic_settings(false), 0);
        let mut entries: Vec<EndpointInfo> = (1..=4).map(ready_endpoint).collect();
        entries[3].started_at = proxy.now - MS;
        proxy.endpoint_list(ListUpdateKind::Snapshot, entries);
        let mut sent_to_warming_up = false;
        for n in 0..400 {
            let call = CallId(10_000 + n);
            let class = ClassId(0);
            let event = Event::Request { call, class, tenant: None, remaining_time: 900 * MS, is_retry };
            let actions = proxy.event(event);
            sent_to_warming_up |= sends(&actions).iter().any(|s| s.1 == EndpointId(4));
            proxy.now += MS;
            proxy.end_attempt(call, 0, Outcome::Served, MS);
        }
        assert_eq!(sent_to_warming_up, expected);
    }
}

#[test]
fn each_client_proxy_uses_its_own_small_subset_of_the_endpoints() {
    let subset = |seed: u64| {
        let mut proxy = RecordingProxy::new(low_traffic_settings(false), 0);
        proxy.balancer = Balancer::new(seed, low_traffic_settings(false));
        proxy.endpoint_list(ListUpdateKind::Snapshot, (1..=60).map(ready_endpoint).collect());
        let used: Vec<EndpointId> = (0..200).filter_map(|_| proxy.serve_one(40 * MS)).collect();
        assert_eq!(used.len(), 200);
        std::collections::BTreeSet::from_iter(used)
    };
    let one = subset(1);
    let other = subset(2);
    assert!(
        one.len() <= 12 && other.len() <= 12,
        "connections are reused, not opened for each call: {one:?}"
    );
    assert_ne!(one, other);
    // With the subset at capacity, many concurrent calls use other endpoints, once the concurrency limit has
    // increased.
    let mut proxy = RecordingProxy::new(low_traffic_settings(false), 60);
    proxy.serve_bursts(60, 20 * MS);
    let chosen: Vec<EndpointId> = (0..40).flat_map(|_| sends(&proxy.request().1)).map(|s| s.1).collect();
    assert_eq!(chosen.len(), 40, "a busy client proxy is not limited to its subset");
    // Increased budgets allow more than one call each, so some endpoints are sent several calls.
    assert!(std::collections::BTreeSet::from_iter(chosen).len() >= 30, "no endpoint is overloaded");
}
