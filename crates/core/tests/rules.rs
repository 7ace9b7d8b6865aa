//! Tests of the balancer's invariants, and regression tests, each of which fails without the code it covers.

mod common;
use common::*;
use oakport_core::*;

const CELL: Idempotency = Idempotency::Deduplicated { scope: DeduplicationScope::Cell, window: 400 * MS };

fn two_cells() -> Vec<EndpointInfo> {
    (1..=4).map(|i| EndpointInfo { cell: CellId(i % 2), zone: ZoneId(i % 2), ..ready_endpoint(i) }).collect()
}

// Each call is ended.

#[test]
fn queued_calls_are_ended_before_their_client_times_out() {
    for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent, CELL] {
        let mut proxy = RecordingProxy::new(settings(idempotency), 0);
        let (call, actions) = proxy.request();
        assert!(sends(&actions).is_empty());
        let after =
            actions.iter().find_map(|a| if let Action::SetTimer { after } = a { Some(*after) } else { None });
        let actions = proxy.advance(after.expect("a timer for the queued call"));
        assert!(is_rejected(&actions, call), "a call that was never sent is rejected");
        assert!(proxy.now < 1_000_000 + 1_200 * MS);
    }
}

#[test]
fn a_time_out_at_the_deadline_ends_the_call() {
    for (idempotency, may_reject) in
        [(Idempotency::Idempotent, true), (Idempotency::NonIdempotent, false), (CELL, false)]
    {
        let mut proxy = RecordingProxy::new(settings(idempotency), 1);
        let (call, _) = proxy.request();
        proxy.now += 1_200 * MS;
        let actions = proxy.end_attempt(call, 0, Outcome::TimedOut, 1_200 * MS);
        assert_eq!(is_rejected(&actions, call), may_reject);
        assert_eq!(is_failed(&actions, call), !may_reject);
        assert!(sends(&proxy.request().1).iter().all(|s| s.0 != call));
    }
}

// No call is executed twice.

const UNSERVED_OUTCOMES: [Outcome; 8] = [
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
    Outcome::Unknown,
];

#[test]
fn each_pair_of_outcomes_leads_to_a_safe_retry_rejection_or_failure() {
    let deduplicated = |scope| Idempotency::Deduplicated { scope, window: 400 * MS };
    let kinds = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        deduplicated(DeduplicationScope::All),
        deduplicated(DeduplicationScope::Zone),
        deduplicated(DeduplicationScope::Cell),
    ];
    for idempotency in kinds {
        for first in UNSERVED_OUTCOMES {
            for second in UNSERVED_OUTCOMES {
                let mut proxy = RecordingProxy::new(settings(idempotency), 0);
                proxy.endpoint_list(ListUpdateKind::Snapshot, two_cells());
                let (call, actions) = proxy.request();
                let first_endpoint = sends(&actions)[0].1;
                proxy.now += MS;
                let actions = proxy.end_attempt(call, 0, first, MS);
                let retries = sends(&actions);
                let not_started = first.proves_not_started();
                if idempotency == Idempotency::NonIdempotent && !not_started {
                    assert!(retries.is_empty() && is_failed(&actions, call), "{first:?}");
                    continue;
                }
                assert_eq!(retries.len(), 1, "{idempotency:?} after {first:?}");
                let is_scoped = matches!(
                    idempotency,
                    Idempotency::Deduplicated {
                        scope: DeduplicationScope::Zone | DeduplicationScope::Cell,
                        ..
                    }
                );
                if is_scoped && !not_started {
                    assert_eq!(
                        retries[0].1 .0 % 2,
                        first_endpoint.0 % 2,
                        "the retry stays within the deduplication scope"
                    );
                }
                // The second attempt ends too late for a third one: the call is rejected only if a client
                // retry is safe.
                proxy.now += 450 * MS;
                let actions = proxy.end_attempt(call, 1, second, MS);
                let is_retry_safe = match idempotency {
                    Idempotency::Idempotent
                    | Idempotency::Deduplicated { scope: DeduplicationScope::All, .. } => true,
                    _ => not_started && second.proves_not_started(),
                };
                assert!(sends(&actions).is_empty(), "a third attempt would be late");
                assert_eq!(
                    is_rejected(&actions, call),
                    is_retry_safe,
                    "{idempotency:?} {first:?} {second:?}"
                );
                assert_eq!(is_failed(&actions, call), !is_retry_safe);
            }
        }
    }
}

#[test]
fn a_deduplicated_call_is_not_retried_after_its_window() {
    let mut proxy = RecordingProxy::new(
        settings(Idempotency::Deduplicated { scope: DeduplicationScope::Cell, window: 100 * MS }),
        4,
    );
    let (call, _) = proxy.request();
    proxy.now += 100 * MS;
    let actions = proxy.end_attempt(call, 0, Outcome::Error, 100 * MS);
    assert!(sends(&actions).is_empty() && is_failed(&actions, call));
}

#[test]
fn hedged_attempts_are_sent_only_where_allowed_and_the_losing_attempt_is_cancelled() {
    for (idempotency, allowed, hedge_count) in [
        (Idempotency::Idempotent, true, 1),
        (Idempotency::Idempotent, false, 0),
        (Idempotency::NonIdempotent, true, 0),
    ] {
        let mut settings = settings(idempotency);
        settings.limits.hedging = allowed;
        let mut proxy = RecordingProxy::new(settings, 3);
        for _ in 0..20 {
            proxy.serve_one(40 * MS);
        }
        let (call, actions) = proxy.request();
        let first_endpoint = sends(&actions)[0].1;
        let actions = proxy.advance(430 * MS);
        let hedges = sends(&actions);
        assert_eq!(hedges.len(), hedge_count);
        if hedge_count == 1 {
            assert_ne!(hedges[0].1, first_endpoint);
            let actions = proxy.end_attempt(call, 1, Outcome::Served, 30 * MS);
            assert!(actions.contains(&Action::Cancel { call, attempt: 0 }));
        }
    }
}

/// A slow call is slow at any endpoint: a hedged attempt would only double the work.
#[test]
fn a_call_is_not_hedged_if_its_endpoint_serves_others_meanwhile() {
    for (serves_others, expected_hedges) in [(false, 1), (true, 0)] {
        let mut settings = settings(Idempotency::Idempotent);
        settings.limits.hedging = true;
        settings.proxy_count = 1;
        let mut proxy = RecordingProxy::new(settings, 2);
        for _ in 0..20 {
            proxy.serve_one(40 * MS);
        }
        let (first, actions) = proxy.request();
        let first_endpoint = sends(&actions)[0].1;
        let start = proxy.now;
        let mut served_there = false;
        // Calls sent to the other endpoint stay in flight, until a call is sent to the first call's endpoint.
        while serves_others && !served_there && proxy.now < start + 200 * MS {
            let (call, actions) = proxy.request();
            proxy.now += 5 * MS;
            served_there = sends(&actions) == [(call, first_endpoint)];
            if served_there {
                proxy.end_attempt(call, 0, Outcome::Served, 5 * MS);
            }
        }
        assert_eq!(served_there, serves_others, "another call is served by the first call's endpoint");
        proxy.now = start;
        let hedges = sends(&proxy.advance(430 * MS)).iter().filter(|send| send.0 == first).count();
        assert_eq!(hedges, expected_hedges, "another call was served: {serves_others}");
    }
}

/// Without this rule, calls would be rejected although endpoints in slow start could serve some of them.
#[test]
fn an_endpoint_in_slow_start_is_sent_calls_within_its_even_share_when_no_warm_one_has_capacity() {
    for (proxy_count, age, expected) in [(1, 0.5, true), (7, 0.9, true), (7, 0.2, false)] {
        let settings = Settings { proxy_count, ..settings(Idempotency::Idempotent) };
        let warm_up_us = settings.rules.warm_up_duration as f64;
        let mut proxy = RecordingProxy::new(settings, 1);
        proxy.now += 100_000 * MS;
        let started_at = proxy.now - (warm_up_us * age) as Micros;
        proxy.endpoint_list(ListUpdateKind::Delta, vec![EndpointInfo { started_at, ..ready_endpoint(2) }]);
        let mut endpoints = Vec::new();
        for call in (0..40).map(|n| CallId(900 + n)) {
            // Client retries are excluded from the slow-start lottery: they are sent to an endpoint in slow
            // start only for lack of capacity.
            let class = ClassId(0);
            let remaining_time = 1_200 * MS;
            let event = Event::Request { call, class, tenant: None, remaining_time, is_retry: true };
            endpoints.extend(sends(&proxy.event(event)).iter().map(|s| s.1 .0));
        }
        assert_eq!(endpoints[0], 1, "the warm endpoint is used first");
        assert_eq!(
            endpoints.contains(&2),
            expected,
            "{proxy_count} client proxies, {age} of slow start passed: {endpoints:?}"
        );
    }
}

#[test]
fn a_call_whose_response_streams_is_neither_hedged_nor_retried() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.limits.hedging = true;
    let mut proxy = RecordingProxy::new(settings, 3);
    let (call, _) = proxy.request();
    proxy.event(Event::ResponseStarted { call, attempt: 0 });
    assert!(sends(&proxy.advance(450 * MS)).is_empty(), "no hedged attempt is sent");
    let actions = proxy.end_attempt(call, 0, Outcome::Reset, 450 * MS);
    assert!(sends(&actions).is_empty());
}

#[test]
fn the_end_of_a_losing_attempt_does_not_cancel_the_streaming_one() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.limits.hedging = true;
    let mut proxy = RecordingProxy::new(settings, 3);
    for _ in 0..20 {
        proxy.serve_one(40 * MS);
    }
    let (call, _) = proxy.request();
    assert_eq!(sends(&proxy.advance(430 * MS)).len(), 1, "a hedged attempt is sent");
    let actions = proxy.event(Event::ResponseStarted { call, attempt: 1 });
    assert_eq!(actions, [Action::Cancel { call, attempt: 0 }]);
    let outcome = Outcome::Cancelled;
    let load = LoadReport::default();
    let event = Event::AttemptEnded { call, attempt: 0, outcome, elapsed: 430 * MS, call_closed: true, load };
    assert!(proxy.event(event).iter().all(|a| !matches!(a, Action::Cancel { .. })));
}

#[test]
fn a_streamed_response_is_measured_and_frees_its_in_flight_slot_when_it_starts() {
    let mut proxy = RecordingProxy::new(settings(Idempotency::Idempotent), 1);
    for _ in 0..20 {
        proxy.serve_one(40 * MS);
    }
    // More streamed responses than any in-flight budget allows calls.
    for _ in 0..200 {
        let (call, actions) = proxy.request();
        assert_eq!(sends(&actions).len(), 1);
        proxy.now += 40 * MS;
        proxy.event(Event::ResponseStarted { call, attempt: 0 });
    }
}

#[test]
fn the_latency_of_a_streamed_request_counts_from_its_last_byte() {
    let mut proxy = RecordingProxy::new(settings(Idempotency::NonIdempotent), 3);
    for _ in 0..60 {
        let (call, actions) = proxy.request();
        assert_eq!(sends(&actions).len(), 1);
        assert!(sends(&proxy.advance(10_000 * MS)).is_empty());
        proxy.event(Event::RequestComplete { call, remaining_time: 1_200 * MS });
        proxy.now += 40 * MS;
        assert!(!is_failed(&proxy.end_attempt(call, 0, Outcome::Served, 40 * MS), call));
    }
    // The typical latency is 40 ms, not 10 s: a retry is in time.
    let (call, _) = proxy.request();
    assert_eq!(sends(&proxy.end_attempt(call, 0, Outcome::ConnectFailed, 5 * MS)).len(), 1);
}

// Endpoint list.

#[test]
fn many_client_proxies_poll_an_overloaded_discovery_less_often() {
    // The intervals between polls, one failure after the other.
    let poll_intervals_ms = |proxy_count: u32| {
        let mut settings = settings(Idempotency::Idempotent);
        settings.polls_endpoint_list = true;
        settings.proxy_count = proxy_count;
        let mut proxy = RecordingProxy::new(settings, 2);
        let next_interval = |proxy: &mut RecordingProxy| {
            let failed_at = proxy.now;
            proxy.endpoint_list(ListUpdateKind::Failed, Vec::new());
            while !proxy.advance(50 * MS).contains(&Action::PollEndpointList) {}
            (proxy.now - failed_at) / MS
        };
        (0..6).map(|_| next_interval(&mut proxy)).collect::<Vec<_>>()
    };
    let few_proxies = poll_intervals_ms(4);
    let many_proxies = poll_intervals_ms(48);
    assert!(few_proxies[0] <= 500 && few_proxies.iter().all(|&ms| ms <= 3_800), "{few_proxies:?}");
    assert!(many_proxies[0] >= 1_250 && many_proxies[1] >= 2_500, "{many_proxies:?}");
    assert!(many_proxies[2..].iter().all(|&ms| ms >= 5_000), "{many_proxies:?}");
    assert!(many_proxies.iter().all(|&ms| ms <= 15_100), "{many_proxies:?}");
}

// New settings.

#[test]
fn a_lower_attempt_limit_applies_to_calls_in_flight_and_a_removed_class_no_longer_counts() {
    let old = settings(Idempotency::Idempotent);
    let mut proxy = RecordingProxy::new(old.clone(), 4);
    let (call, actions) = proxy.request();
    assert_eq!(sends(&actions).len(), 1);
    // The new settings allow one attempt only, remove the first class and add one with a long client timeout.
    let removed = Class { active: false, ..old.classes[0] };
    let long_timeout =
        Class { latency_objective: 60_000 * MS, client_timeout: 90_000 * MS, ..old.classes[0] };
    let mut new = Settings { classes: vec![removed, long_timeout], ..old };
    new.limits.max_attempts = 1;
    proxy.event(Event::Settings(Box::new(new)));
    let actions = proxy.end_attempt(call, 0, Outcome::Error, 5 * MS);
    assert!(sends(&actions).is_empty() && is_rejected(&actions, call), "{actions:?}");
    let (call, actions) = proxy.request_of_class(1);
    assert_eq!(sends(&actions).len(), 1);
    assert!(sends(&proxy.end_attempt(call, 0, Outcome::Error, 5 * MS)).is_empty());
}

// Draining.

#[test]
fn a_draining_or_removed_endpoint_is_sent_no_calls_even_after_a_cached_list() {
    for kind in [ListUpdateKind::Delta, ListUpdateKind::Snapshot] {
        for state in [EndpointState::Draining, EndpointState::Removed] {
            let mut proxy = RecordingProxy::new(settings(Idempotency::Idempotent), 0);
            proxy.endpoint_list(ListUpdateKind::Cached, vec![ready_endpoint(1), ready_endpoint(2)]);
            proxy.endpoint_list(kind, vec![EndpointInfo { state, ..ready_endpoint(1) }, ready_endpoint(2)]);
            for _ in 0..50 {
                assert_eq!(proxy.serve_one(MS), Some(EndpointId(2)));
            }
        }
    }
    let mut proxy = RecordingProxy::new(settings(Idempotency::Idempotent), 2);
    proxy.endpoint_list(ListUpdateKind::Snapshot, vec![ready_endpoint(2)]);
    for _ in 0..50 {
        assert_eq!(
            proxy.serve_one(MS),
            Some(EndpointId(2)),
            "an endpoint that is missing from a snapshot is removed"
        );
    }
}

// Slow start.

/// Number of attempts within six seconds at an endpoint in slow start that ends them with `outcome`, next to
/// two or three warm endpoints.
fn sends_to_warming_up(outcome: Outcome, restart: bool) -> usize {
    let mut proxy = RecordingProxy::new(settings(Idempotency::Idempotent), 3);
    for _ in 0..200 {
        proxy.serve_one(10 * MS);
    }
    let id = if restart { 1 } else { 4 };
    proxy.endpoint_list(
        ListUpdateKind::Delta,
        vec![EndpointInfo { started_at: proxy.now, ..ready_endpoint(id) }],
    );
    let mut count = 0;
    for _ in 0..600 {
        let (call, actions) = proxy.request();
        let mut last = sends(&actions).first().map(|s| s.1);
        proxy.now += 10 * MS;
        let mut attempt = 0;
        while let Some(endpoint) = last {
            let is_warming_up = endpoint == EndpointId(id);
            count += usize::from(is_warming_up);
            let end = if is_warming_up { outcome } else { Outcome::Served };
            let actions = proxy.end_attempt(call, attempt, end, 10 * MS);
            last = sends(&actions).iter().find(|s| s.0 == call).map(|s| s.1);
            attempt += 1;
        }
    }
    count
}

#[test]
fn an_endpoint_in_slow_start_is_sent_its_share_even_if_it_rejects_or_fails_fast_or_was_restarted() {
    for outcome in [Outcome::Served, Outcome::Rejected, Outcome::Error, Outcome::ConnectFailed] {
        for restart in [false, true] {
            let count = sends_to_warming_up(outcome, restart);
            // A warm endpoint's share of 600 calls is 150 to 300; the endpoint in slow start has a tenth to a
            // third of a warm one's capacity.
            assert!((1..=90).contains(&count), "{outcome:?} {restart}: {count}");
        }
    }
}

// Regressions.

#[test]
fn an_endpoint_with_fast_errors_is_ejected_although_it_looks_idle() {
    let mut proxy = RecordingProxy::new(settings(Idempotency::NonIdempotent), 4);
    let mut errors = 0;
    for _ in 0..200 {
        let (call, actions) = proxy.request();
        let bad = sends(&actions)[0].1 == EndpointId(1);
        errors += usize::from(bad);
        proxy.now += 2 * MS;
        proxy.end_attempt(call, 0, if bad { Outcome::Error } else { Outcome::Served }, 2 * MS);
    }
    assert!(errors <= 4, "{errors}");
}

#[test]
fn one_served_trial_attempt_does_not_readmit_an_endpoint_that_fails_most_calls() {
    let mut proxy = RecordingProxy::new(settings(Idempotency::Idempotent), 4);
    let mut to_bad = 0;
    for round in 0..400 {
        let (call, actions) = proxy.request();
        let mut at = sends(&actions).first().map(|s| s.1);
        proxy.now += 5 * MS;
        let mut attempt = 0;
        while let Some(endpoint) = at {
            let bad = endpoint == EndpointId(1);
            to_bad += usize::from(bad);
            let end = if bad && to_bad % 3 != 0 { Outcome::Error } else { Outcome::Served };
            at = sends(&proxy.end_attempt(call, attempt, end, 5 * MS))
                .iter()
                .find(|s| s.0 == call)
                .map(|s| s.1);
            attempt += 1;
        }
        assert!(round < 400);
    }
    assert!(to_bad <= 40, "a healthy endpoint would be sent 100 or more calls: {to_bad}");
}

#[test]
fn at_most_half_of_the_fleet_is_ejected() {
    let mut proxy = RecordingProxy::new(settings(Idempotency::NonIdempotent), 6);
    for _ in 0..100 {
        let (call, actions) = proxy.request();
        assert_eq!(sends(&actions).len(), 1, "half of the fleet is still sent calls");
        proxy.now += 2 * MS;
        proxy.end_attempt(call, 0, Outcome::Error, 2 * MS);
    }
}

#[test]
fn the_queue_wait_is_limited_so_that_not_all_calls_are_late() {
    let mut proxy = RecordingProxy::new(settings(Idempotency::NonIdempotent), 1);
    let mut rejected_at_once = 0;
    for _ in 0..60 {
        proxy.now += 10 * MS;
        let (call, actions) = proxy.request();
        rejected_at_once += usize::from(is_rejected(&actions, call));
    }
    assert!(
        rejected_at_once > 20,
        "calls that would wait too long are rejected on arrival: {rejected_at_once}"
    );
}

#[test]
fn calls_with_a_long_objective_do_not_fill_the_queue_ahead_of_those_with_a_short_one() {
    let rejected_beside = |shorter: Micros| {
        let plain = settings(Idempotency::NonIdempotent);
        let long = Class { latency_objective: 800 * MS, ..plain.classes[0] };
        let short = Class { latency_objective: shorter, ..long };
        let mut proxy = RecordingProxy::new(Settings { classes: vec![long, short], ..plain }, 1);
        (0..3).for_each(|_| drop(proxy.request()));
        proxy.now += 30 * MS;
        let (call, actions) = proxy.request();
        is_rejected(&actions, call)
    };
    assert!(!rejected_beside(700 * MS), "30 ms are less than a tenth of the latency objective");
    assert!(
        rejected_beside(100 * MS),
        "calls with the shorter objective may wait 10 ms, so the others may wait 20 ms at most"
    );
}

#[test]
fn a_failed_list_poll_is_repeated_after_a_backoff() {
    let mut proxy =
        RecordingProxy::new(Settings { polls_endpoint_list: true, ..settings(Idempotency::Idempotent) }, 2);
    assert!(proxy.actions.contains(&Action::PollEndpointList), "the list is polled at the start");
    let actions = proxy.endpoint_list(ListUpdateKind::Failed, vec![]);
    assert!(!actions.contains(&Action::PollEndpointList), "the list is not polled again at once");
    let after =
        actions.iter().find_map(|a| if let Action::SetTimer { after } = a { Some(*after) } else { None });
    assert!(proxy.advance(after.expect("a timer")).contains(&Action::PollEndpointList));
    assert_eq!(proxy.serve_one(MS).map(|s| s.0 <= 2), Some(true), "the old list stays in use");
    let mut push = RecordingProxy::new(settings(Idempotency::Idempotent), 1);
    push.endpoint_list(ListUpdateKind::Failed, vec![]);
    push.advance(60_000 * MS);
    assert!(
        !push.actions.contains(&Action::PollEndpointList),
        "the list is not polled where discovery pushes it"
    );
}

#[test]
fn an_endpoint_that_rejects_a_call_is_sent_none_for_the_typical_latency() {
    let mut proxy = RecordingProxy::new(settings(Idempotency::Idempotent), 2);
    for _ in 0..30 {
        proxy.serve_one(40 * MS);
    }
    let mut sent_to_full = 0;
    for _ in 0..20 {
        // 20 rounds of 2 ms are 40 ms, the typical latency.
        let (call, actions) = proxy.request();
        let mut at = sends(&actions).first().map(|s| s.1);
        proxy.now += 2 * MS;
        let mut attempt = 0;
        while let Some(endpoint) = at {
            let full = endpoint == EndpointId(1);
            sent_to_full += usize::from(full);
            let end = if full { Outcome::Rejected } else { Outcome::Served };
            at = sends(&proxy.end_attempt(call, attempt, end, 2 * MS))
                .iter()
                .find(|s| s.0 == call)
                .map(|s| s.1);
            attempt += 1;
        }
    }
    assert!(sent_to_full <= 2, "{sent_to_full}");
}

#[test]
fn an_overloaded_endpoint_is_sent_no_trial_attempts() {
    let mut proxy = RecordingProxy::new(settings(Idempotency::NonIdempotent), 1);
    for _ in 0..10 {
        proxy.serve_one(40 * MS);
    }
    for _ in 0..30 {
        proxy.serve_one(400 * MS);
        proxy.advance(600 * MS);
    }
    assert_eq!(sends(&proxy.request().1).len(), 1);
    assert!(
        (0..5).all(|_| sends(&proxy.request().1).is_empty()),
        "a second call at once would be a trial attempt"
    );
}

#[test]
fn time_outs_do_not_eject_an_endpoint_that_serves_others() {
    let mut proxy =
        RecordingProxy::new(Settings { proxy_count: 1, ..settings(Idempotency::NonIdempotent) }, 3);
    let mut log = Vec::new();
    for _ in 0..30 {
        // At each endpoint, the first call is served and the others time out.
        let calls: Vec<(CallId, Vec<Action>)> = (0..9).map(|_| proxy.request()).collect();
        let at = |i: usize| sends(&calls[i].1).first().map(|s| s.1);
        let first = |i: usize| (0..i).all(|j| at(j) != at(i));
        proxy.now += 100 * MS;
        for i in (0..9).filter(|&i| at(i).is_some() && first(i)) {
            proxy.end_attempt(calls[i].0, 0, Outcome::Served, 100 * MS);
        }
        proxy.now += 400 * MS;
        for i in (0..9).filter(|&i| at(i).is_some() && !first(i)) {
            log.extend(proxy.end_attempt(calls[i].0, 0, Outcome::TimedOut, 500 * MS));
        }
        proxy.advance(600 * MS);
    }
    let failures = log.iter().filter(|a| matches!(a, Action::Fail { .. })).count();
    assert!(failures > 20, "too few time-outs for a meaningful check: {failures}");
    let ejections =
        log.iter().filter(|a| matches!(a, Action::Log(DecisionEvent::EndpointEjected { .. }))).count();
    assert_eq!(ejections, 0, "slow but alive endpoints are not ejected");
}

/// Serves calls in 40 ms with this load report; returns whether a call beyond the budget is then sent as a
/// trial attempt.
fn is_sent_trial_after(load: LoadReport) -> bool {
    let mut proxy =
        RecordingProxy::new(Settings { proxy_count: 12, ..settings(Idempotency::NonIdempotent) }, 1);
    for _ in 0..40 {
        let (call, _) = proxy.request();
        proxy.now += 40 * MS;
        let outcome = Outcome::Served;
        let elapsed = 40 * MS;
        proxy.event(Event::AttemptEnded { call, attempt: 0, outcome, elapsed, call_closed: true, load });
        proxy.advance(100 * MS);
    }
    assert_eq!(sends(&proxy.request().1).len(), 1, "the call within the budget is sent");
    sends(&proxy.request().1).len() == 1
}

#[test]
fn reported_queues_and_utilisation_count_as_overload_although_latencies_are_low() {
    let busy = |b| LoadReport { utilisation: Some(b), ..LoadReport::default() };
    let queue = |w| LoadReport { in_flight: Some(10.0), queued: Some(w), ..LoadReport::default() };
    assert!(
        is_sent_trial_after(LoadReport::default())
            && is_sent_trial_after(busy(0.5))
            && is_sent_trial_after(queue(1.0))
    );
    assert!(!is_sent_trial_after(busy(1.0)), "full utilisation");
    assert!(!is_sent_trial_after(queue(5.5)), "more calls queued than in progress");
}

/// Makes a request whose client times out after `remaining_time`.
fn request_with_timeout(
    proxy: &mut RecordingProxy,
    id: u64,
    remaining_time: Micros,
) -> (CallId, Vec<Action>) {
    let call = CallId(id);
    let event = Event::Request { call, class: ClassId(0), tenant: None, remaining_time, is_retry: false };
    (call, proxy.event(event))
}

/// A client proxy whose only endpoint is at capacity, with one call that has been queued for 10 ms.
fn proxy_at_capacity() -> RecordingProxy {
    let mut proxy = RecordingProxy::new(settings(Idempotency::NonIdempotent), 1);
    for id in 1_001..=1_003 {
        request_with_timeout(&mut proxy, id, 1_200 * MS);
    }
    proxy.now += 10 * MS;
    proxy
}

#[test]
fn a_client_retry_past_its_latency_objective_is_rejected_if_other_calls_are_queued() {
    let mut proxy = proxy_at_capacity();
    let (call, actions) = request_with_timeout(&mut proxy, 1_010, 300 * MS);
    assert!(
        !is_rejected(&actions, call),
        "no call has been rejected, so this is a client with a shorter timeout, not a retry"
    );
    proxy.advance(400 * MS);
    assert!(is_rejected(&proxy.actions, CallId(1_003)), "rejected once it could no longer be in time");
    let (queued, _) = request_with_timeout(&mut proxy, 1_020, 1_200 * MS);
    proxy.now += 10 * MS;
    let (call, actions) = request_with_timeout(&mut proxy, 1_021, 1_190 * MS);
    assert!(
        !is_rejected(&actions, call) && !is_rejected(&actions, queued),
        "calls with about the same timeout are not client retries"
    );
    let (call, actions) = request_with_timeout(&mut proxy, 1_022, 300 * MS);
    assert!(is_rejected(&actions, call), "the 900 ms already spent exceed its latency objective");
}

#[test]
fn a_client_retry_too_late_for_its_latency_objective_is_sent_without_a_timeout_if_there_is_capacity() {
    let mut proxy = RecordingProxy::new(settings(Idempotency::NonIdempotent), 4);
    request_with_timeout(&mut proxy, 1_001, 1_200 * MS);
    proxy.end_attempt(CallId(1_001), 0, Outcome::Error, MS);
    let timeout_at = |actions: &[Action]| {
        actions.iter().find_map(|a| {
            if let Action::Send { timeout_at, .. } = a {
                Some(*timeout_at)
            } else {
                None
            }
        })
    };
    // 400 ms are already spent: 100 ms remain of the latency objective, less than the typical latency.
    let (_, actions) = request_with_timeout(&mut proxy, 1_010, 800 * MS);
    assert_eq!(timeout_at(&actions), Some(None), "{actions:?}");
    let (_, actions) = request_with_timeout(&mut proxy, 1_011, 1_200 * MS);
    assert_eq!(timeout_at(&actions), Some(Some(proxy.now + 500 * MS)));
}
