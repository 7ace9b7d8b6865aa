//! In-flight budgets, trial attempts, endpoint selection and ejection, each tested in isolation.

mod common;
use common::*;
use oakport_core::*;
use std::collections::BTreeMap;

/// A single endpoint whose initial budget (one step of one call with seven client proxies) is used up by a
/// call in flight.
fn endpoint_at_capacity(idempotency: Idempotency) -> (RecordingProxy, CallId) {
    let mut proxy = RecordingProxy::new(settings(idempotency), 1);
    let (first, actions) = proxy.request();
    assert_eq!(sends(&actions).len(), 1);
    (proxy, first)
}

#[test]
fn one_call_beyond_the_budget_is_sent_as_a_trial_attempt_and_the_next_is_queued() {
    let (mut proxy, _) = endpoint_at_capacity(Idempotency::NonIdempotent);
    let (trial, actions) = proxy.request();
    assert_eq!(sends(&actions), [(trial, EndpointId(1))]);
    let (_, actions) = proxy.request();
    assert!(sends(&actions).is_empty(), "only one trial attempt in flight");
}

#[test]
fn a_served_trial_attempt_adds_one_step() {
    let (mut proxy, _) = endpoint_at_capacity(Idempotency::NonIdempotent);
    let (trial, _) = proxy.request();
    let a = proxy.request().0;
    let b = proxy.request().0;
    proxy.now += 50 * MS;
    let actions = proxy.end_attempt(trial, 1, Outcome::Served, 50 * MS);
    assert!(sends(&actions).is_empty(), "an attempt that was never sent has no outcome");
    let actions = proxy.end_attempt(trial, 0, Outcome::Served, 50 * MS);
    // Two steps of one call each, with one call in flight: the first queued call is sent, but no trial
    // attempt before the new step has shown its effect.
    assert_eq!(sends(&actions), [(a, EndpointId(1))]);
    proxy.now += 100 * MS;
    proxy.end_attempt(a, 0, Outcome::Served, 100 * MS);
    proxy.now += 100 * MS;
    proxy.end_attempt(b, 0, Outcome::Served, 100 * MS);
    proxy.advance(300 * MS);
    let c = proxy.request().0;
    let d = proxy.request().0;
    let e = proxy.request().0;
    let sent: Vec<CallId> = sends(&proxy.actions).into_iter().map(|send| send.0).collect();
    assert!(
        sent.ends_with(&[b, c, d]) && !sent.contains(&e),
        "the last call sent is the next trial attempt: {sent:?}"
    );
}

/// Makes calls until one is sent as a trial attempt; returns the elapsed time and the call.
fn next_trial(proxy: &mut RecordingProxy) -> (Micros, CallId) {
    let start = proxy.now;
    loop {
        proxy.now += 5 * MS;
        let mut actions = proxy.event(Event::Timer);
        actions.extend(proxy.request().1);
        if let Some(&(call, _)) = sends(&actions).first() {
            return (proxy.now - start, call);
        }
        assert!(proxy.now < start + 5_000 * MS, "no trial attempt within 5 s");
    }
}

#[test]
fn a_failed_trial_attempt_doubles_the_backoff_up_to_a_cap_and_a_served_one_resets_it() {
    let (mut proxy, _) = endpoint_at_capacity(Idempotency::NonIdempotent);
    let mut trial = proxy.request().0;
    let mut backoffs_ms = Vec::new();
    for _ in 0..6 {
        proxy.end_attempt(trial, 0, Outcome::Error, MS);
        let (backoff, next) = next_trial(&mut proxy);
        backoffs_ms.push(backoff / MS);
        trial = next;
    }
    for (backoff, expected) in backoffs_ms.iter().zip([125, 250, 500, 1_000, 2_000, 2_000]) {
        assert!(backoff.abs_diff(expected) <= 10, "{backoffs_ms:?}");
    }
    let mut in_flight = sends(&proxy.end_attempt(trial, 0, Outcome::Served, MS));
    while let Some((call, _)) = in_flight.pop() {
        in_flight.extend(sends(&proxy.end_attempt(call, 0, Outcome::Served, MS)));
    }
    proxy.advance(1_000 * MS);
    for _ in 0..12 {
        proxy.serve_one(MS);
    }
    let mut next = trial;
    while let Some(&(call, _)) = sends(&proxy.request().1).first() {
        next = call;
    }
    assert_ne!(next, trial, "the last call sent, beyond the budget, is the next trial attempt");
    proxy.end_attempt(next, 0, Outcome::Error, MS);
    assert!(next_trial(&mut proxy).0.abs_diff(125 * MS) <= 10 * MS);
}

#[test]
fn queued_calls_are_sent_in_the_order_of_arrival() {
    let (mut proxy, first) = endpoint_at_capacity(Idempotency::NonIdempotent);
    let trial = proxy.request().0;
    let queued: Vec<CallId> = (0..4).map(|_| proxy.request().0).collect();
    let mut order = Vec::new();
    for call in [first, trial] {
        proxy.now += 20 * MS;
        order.extend(sends(&proxy.end_attempt(call, 0, Outcome::Served, 20 * MS)).into_iter().map(|s| s.0));
    }
    assert!(order.len() >= 2);
    assert_eq!(order[..], queued[..order.len()]);
}

#[test]
fn the_endpoint_with_fewer_calls_in_flight_is_chosen() {
    let mut proxy =
        RecordingProxy::new(Settings { proxy_count: 1, ..settings(Idempotency::NonIdempotent) }, 2);
    let mut load: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for _ in 0..10 {
        let endpoint = sends(&proxy.request().1)[0].1;
        *load.entry(endpoint).or_default() += 1;
    }
    assert_eq!(load[&EndpointId(1)], 5);
    assert_eq!(load[&EndpointId(2)], 5);
}

#[test]
fn ties_go_to_the_endpoint_with_the_lower_recent_latency() {
    let mut proxy = RecordingProxy::new(settings(Idempotency::NonIdempotent), 2);
    for _ in 0..40 {
        let (call, actions) = proxy.request();
        let elapsed = if sends(&actions)[0].1 == EndpointId(1) { 200 * MS } else { 40 * MS };
        proxy.now += elapsed;
        proxy.end_attempt(call, 0, Outcome::Served, elapsed);
    }
    let chosen = (0..20).filter(|_| proxy.serve_one(40 * MS) == Some(EndpointId(2))).count();
    assert_eq!(chosen, 20);
}

#[test]
fn a_choice_at_capacity_is_repeated_among_the_endpoints_with_capacity() {
    // If one of twenty endpoints has capacity, two random choices alone would rarely find it, and a trial
    // attempt would be sent instead.
    let mut proxy = RecordingProxy::new(settings(Idempotency::NonIdempotent), 20);
    let endpoints: std::collections::BTreeSet<EndpointId> =
        (0..20).map(|_| sends(&proxy.request().1)[0].1).collect();
    assert_eq!(endpoints.len(), 20, "every budget is used up before any is exceeded");
}

/// Number of concurrent calls that an endpoint is sent, the last one as a trial attempt, after six served
/// calls and one with this outcome.
fn calls_sent_after(outcome: Outcome) -> usize {
    let limits = Limits { max_attempts: 1, ..Settings::default().limits };
    let mut proxy =
        RecordingProxy::new(Settings { proxy_count: 1, limits, ..settings(Idempotency::NonIdempotent) }, 1);
    let calls: Vec<CallId> = (0..7).map(|_| proxy.request().0).collect();
    assert_eq!(sends(&proxy.actions).len(), 7, "the initial budget of a single client proxy");
    proxy.now += 5 * MS;
    proxy.end_attempt(calls[0], 0, outcome, 5 * MS);
    for call in &calls[1..] {
        proxy.end_attempt(*call, 0, Outcome::Served, 5 * MS);
    }
    proxy.advance(1_000 * MS);
    (0..20).filter(|_| !sends(&proxy.request().1).is_empty()).count()
}

#[test]
fn a_rejection_decreases_the_concurrency() {
    assert_eq!(calls_sent_after(Outcome::Served), 8);
    assert_eq!(calls_sent_after(Outcome::Rejected), 7, "four fifths of seven, plus a trial attempt");
}

/// Makes calls until one is queued and serves the others after 40 ms; returns the number of calls sent.
fn use_up_budget(proxy: &mut RecordingProxy) -> usize {
    let mut calls = vec![proxy.request()];
    while !sends(&calls[calls.len() - 1].1).is_empty() {
        calls.push(proxy.request());
    }
    proxy.now += 40 * MS;
    for (call, _) in &calls {
        proxy.end_attempt(*call, 0, Outcome::Served, 40 * MS);
    }
    let (queued, _) = calls[calls.len() - 1];
    proxy.event(Event::ClientDisconnected { call: queued });
    proxy.advance(300 * MS);
    calls.len() - 1
}

#[test]
fn budget_steps_are_capped_and_removed_by_as_many_connection_failures() {
    let limits = Limits { max_attempts: 1, ..Settings::default().limits };
    let mut proxy = RecordingProxy::new(Settings { limits, ..settings(Idempotency::NonIdempotent) }, 1);
    let sent_at_once: Vec<usize> = (0..30).map(|_| use_up_budget(&mut proxy)).collect();
    assert!(sent_at_once[29] > 13, "at the cap the concurrency increases instead: {sent_at_once:?}");
    for _ in 0..9 {
        let (call, actions) = proxy.request();
        assert_eq!(sends(&actions).len(), 1);
        proxy.end_attempt(call, 0, Outcome::ConnectFailed, MS);
        for _ in 0..8 {
            proxy.serve_one(40 * MS);
        }
    }
    let remaining = use_up_budget(&mut proxy);
    assert!(
        remaining <= 3,
        "one step of ten is left, plus a trial attempt: {remaining} after {sent_at_once:?}"
    );
}

#[test]
fn an_endpoint_ejected_by_a_connection_failure_is_skipped_during_backoff_then_sent_one_trial_attempt() {
    let mut proxy = RecordingProxy::new(settings(Idempotency::Idempotent), 2);
    let (call, actions) = proxy.request();
    let broken = sends(&actions)[0].1;
    proxy.now += MS;
    let other = sends(&proxy.end_attempt(call, 0, Outcome::ConnectFailed, MS))[0].1;
    assert_ne!(broken, other);
    proxy.now += MS;
    proxy.end_attempt(call, 1, Outcome::Served, MS);
    for _ in 0..5 {
        assert_eq!(proxy.serve_one(MS), Some(other), "skipped during backoff");
    }
    proxy.now += 200 * MS;
    let (trial, actions) = proxy.request();
    assert_eq!(sends(&actions), [(trial, broken)]);
    let (second, actions) = proxy.request();
    assert_eq!(sends(&actions)[0].1, other, "only one trial attempt is sent");
    proxy.end_attempt(second, 0, Outcome::Served, MS);
    proxy.now += MS;
    proxy.end_attempt(trial, 0, Outcome::Served, MS);
    let mut used: Vec<EndpointId> = (0..12).filter_map(|_| proxy.serve_one(MS)).collect();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 2, "both endpoints are used after the re-admission");
}

#[test]
fn with_all_endpoints_ejected_calls_are_rejected_with_retry_after() {
    let mut proxy = RecordingProxy::new(settings(Idempotency::Idempotent), 2);
    // A reset ejects one of the two endpoints, since at most half of them may be ejected; then the endpoint
    // list is reduced to the ejected one.
    let (call, actions) = proxy.request();
    let broken = sends(&actions)[0].1;
    proxy.now += MS;
    proxy.end_attempt(call, 0, Outcome::Reset, MS);
    proxy.endpoint_list(ListUpdateKind::Snapshot, vec![ready_endpoint(broken.0)]);
    let (call, actions) = proxy.request();
    let retry_after = actions.iter().find_map(|a| match a {
        Action::Reject { call: id, retry_after } if *id == call => Some(*retry_after),
        _ => None,
    });
    assert!(retry_after.is_some_and(|after| after > 0), "{actions:?}");
}

#[test]
fn an_invalid_request_fails_at_once_and_does_not_count_against_its_endpoint() {
    let mut proxy = RecordingProxy::new(settings(Idempotency::Idempotent), 4);
    for _ in 0..40 {
        let (call, actions) = proxy.request();
        assert_eq!(sends(&actions).len(), 1, "no endpoint is ejected");
        proxy.now += MS;
        let actions = proxy.end_attempt(call, 0, Outcome::InvalidRequest, MS);
        assert!(is_failed(&actions, call) && sends(&actions).is_empty(), "{actions:?}");
    }
    assert!(!proxy.actions.iter().any(|a| matches!(a, Action::Log { .. })), "{:?}", proxy.actions);
}

/// At endpoints 1 and 2 of five, calls of the second class time out and all others are served.
#[test]
fn a_class_that_fails_at_some_endpoints_is_sent_to_the_others() {
    let mut settings = settings(Idempotency::Idempotent);
    let class = Class { idempotency: Idempotency::NonIdempotent, ..settings.classes[0] };
    settings.classes.push(class);
    let mut proxy = RecordingProxy::new(settings, 5);
    let mut timed_out = Vec::new();
    for round in 0..200 {
        assert_eq!(proxy.serve_one(20 * MS).map(|s| s.0 > 5), Some(false));
        let (call, actions) = proxy.request_of_class(1);
        let endpoint = sends(&actions)[0].1 .0;
        if endpoint > 2 {
            proxy.now += 20 * MS;
            proxy.end_attempt(call, 0, Outcome::Served, 20 * MS);
        } else {
            // The endpoint serves other calls meanwhile.
            for _ in 0..10 {
                proxy.serve_one(50 * MS);
            }
            proxy.end_attempt(call, 0, Outcome::TimedOut, 500 * MS);
            timed_out.push(round);
        }
    }
    assert!(!timed_out.is_empty() && timed_out.len() <= 40, "an even share would be 80: {timed_out:?}");
    let actions_of_first_class = proxy.request().1;
    assert_eq!(sends(&actions_of_first_class).len(), 1, "no endpoint is ejected for the failing class");
}

#[test]
fn every_rejection_has_a_retry_after() {
    let retry_afters = |actions: &[Action]| -> Vec<Micros> {
        let retry_after = |a: &Action| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        };
        actions.iter().filter_map(retry_after).collect()
    };
    // A call that is queued until it would be late, behind a used-up budget and a trial attempt.
    let (mut proxy, _) = endpoint_at_capacity(Idempotency::NonIdempotent);
    proxy.request();
    let (_, actions) = proxy.request();
    assert!(sends(&actions).is_empty());
    let found = retry_afters(&proxy.advance(500 * MS));
    assert!(found.len() == 1 && found[0] > 0, "{found:?}");
    // A call that has used up its attempts, all of which failed to connect.
    let mut proxy = RecordingProxy::new(settings(Idempotency::NonIdempotent), 9);
    let (call, _) = proxy.request();
    (0..5).for_each(|attempt| drop(proxy.end_attempt(call, attempt, Outcome::ConnectFailed, MS)));
    let found = retry_afters(&proxy.actions);
    assert!(found.len() == 1 && found[0] > 0, "{found:?}");
}
