//! Long random event sequences, including unusual but legal ones; the invariants are checked on every action.

mod common;
use common::*;
use oakport_core::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

const MAX_ATTEMPTS: usize = 4;
const DEDUPLICATION_WINDOW: Micros = 300 * MS;

/// State of an attempt for the invariant checks.
struct SentAttempt {
    endpoint: EndpointId,
    outcome: Option<Outcome>,
    sent_at: Micros,
}

impl SentAttempt {
    fn may_have_started(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.proves_not_started())
    }
}

/// State of a call for the invariant checks.
#[derive(Default)]
struct CheckedCall {
    attempts: Vec<SentAttempt>,
    ended: bool,
    deadline: Micros,
    class: usize,
}

impl CheckedCall {
    fn attempts_in_flight(&self) -> Vec<usize> {
        (0..self.attempts.len()).filter(|&attempt| self.attempts[attempt].outcome.is_none()).collect()
    }
}

/// A client proxy under random events, with the state for the invariant checks.
struct Harness {
    proxy: RecordingProxy,
    random: Pcg32,
    calls: BTreeMap<CallId, CheckedCall>,
    list: BTreeMap<EndpointId, EndpointState>,
    classes: Vec<Class>,
    hedging: bool,
}

/// `DAYS=1000` runs 1,000 event sequences instead of 24.
#[test]
fn invariants_hold_on_every_action_of_random_event_sequences() {
    let sequence_count = std::env::var("DAYS").ok().and_then(|count| count.parse().ok()).unwrap_or(24);
    (0..sequence_count).for_each(run_sequence);
}

fn run_sequence(seed: u64) {
    let mut random = Pcg32::seed_from_u64(seed);
    let settings = random_settings(seed, &mut random);
    let proxy_count = settings.proxy_count;
    let mut harness = Harness {
        random,
        calls: BTreeMap::new(),
        list: BTreeMap::new(),
        classes: settings.classes.clone(),
        hedging: settings.limits.hedging,
        proxy: RecordingProxy::new(settings, 0),
    };
    for step in 0..4_000_u64 {
        harness.step(step);
    }
    harness.end_all_calls();
    let unended: Vec<_> = harness.calls.iter().filter(|c| !c.1.ended).map(|c| *c.0).collect();
    assert!(unended.is_empty(), "seed {seed}: calls that never ended: {unended:?}");
    let sent = harness.calls.values().filter(|call| !call.attempts.is_empty()).count();
    // With many client proxies, machine-group statistics cause calls to be shed.
    let min_sent = if proxy_count == 300 { 30 } else { 100 };
    assert!(sent > min_sent, "seed {seed}: too few calls sent for a meaningful check: {sent}");
}

fn below(random: &mut Pcg32, n: u64) -> u64 {
    u64::from(random.next_u32()) % n
}

fn random_settings(seed: u64, random: &mut Pcg32) -> Settings {
    let deduplicated = |scope| Idempotency::Deduplicated { scope, window: DEDUPLICATION_WINDOW };
    let idempotencies = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        deduplicated(DeduplicationScope::Cell),
        deduplicated(DeduplicationScope::All),
    ];
    let mut settings = settings(Idempotency::Idempotent);
    let class = settings.classes[0];
    settings.classes = idempotencies.iter().map(|&idempotency| Class { idempotency, ..class }).collect();
    settings.limits.hedging = seed.is_multiple_of(2);
    settings.limits.max_attempts = MAX_ATTEMPTS as u32;
    settings.proxy_count = [1, 2, 3, 5, 300][below(random, 5) as usize];
    settings.polls_endpoint_list = seed.is_multiple_of(3);
    settings
}

impl Harness {
    fn below(&mut self, n: u64) -> u64 {
        below(&mut self.random, n)
    }

    fn step(&mut self, step: u64) {
        self.proxy.now += self.below(8) * MS;
        let in_flight = self.attempts_in_flight();
        let actions = match self.below(10) {
            0..=3 => self.make_request(),
            4..=7 if !in_flight.is_empty() => {
                let (id, attempt) = in_flight[self.below(in_flight.len() as u64) as usize];
                self.end_with_random_outcome(id, attempt)
            }
            8 if step.is_multiple_of(7) => self.change_endpoint(),
            8 if step.is_multiple_of(31) => self.proxy.endpoint_list(ListUpdateKind::Failed, vec![]),
            _ => {
                // Overdue attempts time out before the timer fires, as in a client proxy.
                self.time_out_overdue_attempts();
                self.proxy.event(Event::Timer)
            }
        };
        self.check(&actions);
    }

    fn attempts_in_flight(&self) -> Vec<(CallId, usize)> {
        let attempts = |(&id, call): (&CallId, &CheckedCall)| {
            call.attempts_in_flight().into_iter().map(move |attempt| (id, attempt))
        };
        self.calls.iter().flat_map(attempts).collect()
    }

    fn make_request(&mut self) -> Vec<Action> {
        let class = self.below(4) as usize;
        let (id, actions) = self.proxy.request_of_class(class);
        let deadline = self.proxy.now + 1_200 * MS;
        self.calls.insert(id, CheckedCall { deadline, class, ..CheckedCall::default() });
        actions
    }

    fn end_with_random_outcome(&mut self, id: CallId, attempt: usize) -> Vec<Action> {
        let outcome = match self.below(12) {
            0 => Outcome::Error,
            1 => Outcome::Rejected,
            2 => Outcome::ConnectFailed,
            3 => Outcome::Reset,
            4 => Outcome::Unknown,
            _ => Outcome::Served,
        };
        self.end_attempt(id, attempt, outcome)
    }

    fn end_attempt(&mut self, id: CallId, attempt: usize, outcome: Outcome) -> Vec<Action> {
        let call = self.calls.get_mut(&id).expect("unknown call");
        call.attempts[attempt].outcome = Some(outcome);
        call.ended |= outcome == Outcome::Served;
        let elapsed = self.proxy.now - call.attempts[attempt].sent_at;
        self.proxy.end_attempt(id, attempt as u32, outcome, elapsed)
    }

    fn change_endpoint(&mut self) -> Vec<Action> {
        let id = EndpointId(self.below(8) as u32);
        let states =
            [EndpointState::Ready, EndpointState::Ready, EndpointState::Draining, EndpointState::Removed];
        let state = states[self.below(4) as usize];
        let started_at = if self.below(4) > 0 { 0 } else { self.proxy.now };
        self.list.insert(id, state);
        let cell = CellId(id.0 % 2);
        let entry = EndpointInfo { id, state, started_at, cell, ..EndpointInfo::default() };
        self.proxy.endpoint_list(ListUpdateKind::Delta, vec![entry])
    }

    fn time_out_overdue_attempts(&mut self) {
        let now = self.proxy.now;
        let overdue = self.calls.iter().filter(|(_, call)| !call.ended && call.deadline <= now);
        let overdue: Vec<CallId> = overdue.map(|(&id, _)| id).collect();
        for id in overdue {
            for attempt in self.calls[&id].attempts_in_flight() {
                let actions = self.end_attempt(id, attempt, Outcome::TimedOut);
                self.check(&actions);
            }
        }
    }

    /// Advances the time beyond the deadlines of all calls and times out their attempts.
    fn end_all_calls(&mut self) {
        for _ in 0..3 {
            self.proxy.now += 700 * MS;
            let actions = self.proxy.event(Event::Timer);
            self.check(&actions);
            let unended: Vec<CallId> = self.calls.iter().filter(|c| !c.1.ended).map(|c| *c.0).collect();
            for id in unended {
                for attempt in 0..self.calls[&id].attempts.len() {
                    self.time_out_if_in_flight(id, attempt);
                }
            }
        }
    }

    fn time_out_if_in_flight(&mut self, id: CallId, attempt: usize) {
        let call = self.calls.get_mut(&id).expect("unknown call");
        if call.attempts[attempt].outcome.is_none() {
            call.attempts[attempt].outcome = Some(Outcome::TimedOut);
            let actions = self.proxy.end_attempt(id, attempt as u32, Outcome::TimedOut, 700 * MS);
            self.check(&actions);
        }
    }

    fn check(&mut self, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Send { call, endpoint, .. } => self.check_send(call, endpoint),
                Action::Reject { call, .. } => self.check_rejection(call),
                Action::Fail { call } => self.end_call(call),
                Action::Cancel { call, attempt } => {
                    assert!(
                        (attempt as usize) < self.calls[&call].attempts.len(),
                        "cancelled an attempt that was not sent"
                    )
                }
                _ => {}
            }
        }
    }

    fn check_send(&mut self, id: CallId, endpoint: EndpointId) {
        let now = self.proxy.now;
        let call = self.calls.get_mut(&id).expect("unknown call");
        assert!(!call.ended, "an attempt was sent after the end of its call");
        assert!(
            self.list.get(&endpoint) == Some(&EndpointState::Ready),
            "an attempt was sent to an endpoint that is not ready"
        );
        assert!(call.attempts.len() < MAX_ATTEMPTS, "more than MAX_ATTEMPTS attempts");
        let in_flight = call.attempts_in_flight().len();
        assert!(in_flight == 0 || self.hedging && in_flight == 1, "more concurrent attempts than allowed");
        let first = call.attempts.iter().find(|attempt| attempt.may_have_started());
        match (self.classes[call.class].idempotency, first) {
            (Idempotency::NonIdempotent, Some(_)) => panic!("a non-idempotent call was retried"),
            (Idempotency::Deduplicated { scope, window }, Some(first)) => {
                let same_cell = first.endpoint.0 % 2 == endpoint.0 % 2;
                assert!(
                    scope == DeduplicationScope::All || same_cell,
                    "an attempt of a deduplicated call was sent to another cell"
                );
                assert!(
                    now <= first.sent_at + window,
                    "an attempt of a deduplicated call was sent after its window"
                );
            }
            _ => {}
        }
        call.attempts.push(SentAttempt { endpoint, outcome: None, sent_at: now });
    }

    fn check_rejection(&mut self, id: CallId) {
        self.end_call(id);
        let call = &self.calls[&id];
        let not_started = call.attempts.iter().all(|attempt| !attempt.may_have_started());
        let retry_is_safe = matches!(
            self.classes[call.class].idempotency,
            Idempotency::Idempotent | Idempotency::Deduplicated { scope: DeduplicationScope::All, .. }
        );
        assert!(
            not_started || retry_is_safe,
            "a call was rejected although an attempt may have run and a retry is not safe"
        );
    }

    fn end_call(&mut self, id: CallId) {
        let call = self.calls.get_mut(&id).expect("unknown call");
        assert!(!std::mem::replace(&mut call.ended, true), "a call was ended twice");
    }
}

#[test]
fn equal_event_sequences_produce_equal_actions() {
    let run = || {
        let mut proxy = RecordingProxy::new(settings(Idempotency::Idempotent), 5);
        for i in 0..300 {
            proxy.serve_one((i % 17) * MS);
        }
        proxy.actions
    };
    assert_eq!(run(), run());
}

#[test]
fn invalid_settings_and_events_cause_no_panic() {
    let mut zeros = settings(Idempotency::Idempotent);
    zeros.proxy_count = 0;
    zeros.limits.max_attempts = 0;
    zeros.tenants = vec![Tenant { share: 0.0, quota_per_sec: 0.0 }];
    zeros.rules = Rules {
        warm_up_initial_ratio: 0.0,
        warm_up_duration: 0,
        warm_up_overload_factor: 0.0,
        warm_up_overload_window: 0,
        drain_grace: 0,
        max_poll_interval: 0,
    };
    let no_classes = Settings { classes: vec![], ..zeros.clone() };
    for settings in [zeros, no_classes] {
        let mut proxy = RecordingProxy::new(settings, 2);
        for (i, remaining_time) in [0, 1, u64::MAX / 2, u64::MAX].into_iter().enumerate() {
            let class = ClassId(if i % 2 == 0 { 0 } else { usize::MAX });
            let call = CallId(1_000 + i as u64);
            let tenant = Some(TenantId(i));
            let event = Event::Request { call, class, tenant, remaining_time, is_retry: true };
            proxy.event(event.clone());
            proxy.event(event);
            for attempt in [0, 0, 7] {
                proxy.end_attempt(call, attempt, Outcome::Unknown, u64::MAX);
            }
        }
        let unknown = CallId(99);
        proxy.end_attempt(unknown, 0, Outcome::Served, 0);
        proxy.event(Event::ClientDisconnected { call: unknown });
        proxy.event(Event::ResponseStarted { call: unknown, attempt: 3 });
        let load = LoadReport { in_flight: Some(f64::NAN), queued: Some(-1.0), ..LoadReport::default() };
        let endpoint = EndpointId(9);
        proxy.event(Event::LoadPolled { endpoint, outcome: Outcome::Served, elapsed: 0, load });
        proxy.endpoint_list(ListUpdateKind::Snapshot, vec![]);
        proxy.now = u64::MAX - 10;
        let entry = EndpointInfo { started_at: u64::MAX, ..ready_endpoint(1) };
        proxy.endpoint_list(ListUpdateKind::Delta, vec![entry]);
        let (call, _) = proxy.request();
        proxy.advance(5);
        proxy.event(Event::ClientDisconnected { call });
    }
}
