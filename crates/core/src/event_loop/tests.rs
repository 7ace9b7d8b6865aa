//! Tests that every event updates the endpoint index.

use crate::action::Action;
use crate::balance::Balancer;
use crate::endpoint_index::EndpointStatus;
use crate::event::{EndpointInfo, EndpointState, Event, ListUpdateKind, LoadReport, Outcome};
use crate::ids::{CallId, ClassId, EndpointId, Micros};
use crate::settings::{Class, Idempotency, Settings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Sends random events to a balancer: timers, list updates, restarts, requests, failures and settings, with
/// random time between them.
struct RandomEvents {
    random: Pcg32,
    settings: Settings,
    balancer: Balancer,
    now: Micros,
    in_flight: Vec<AttemptInFlight>,
}

struct AttemptInFlight {
    call: CallId,
    attempt: u32,
}

/// Guards against an event handler that changes an endpoint without updating the index. Only the parts of a
/// status that change with the latencies of all endpoints or with the progress of slow start may be outdated.
#[test]
fn the_index_matches_the_current_status_of_each_endpoint_after_each_event() {
    for seed in 0..60 {
        let class = Class { idempotency: Idempotency::Idempotent, ..Settings::default().classes[0] };
        let proxy_count = [1, 7, 300][seed as usize % 3];
        let settings = Settings { proxy_count, classes: vec![class], ..Settings::default() };
        let mut run = RandomEvents {
            random: Pcg32::seed_from_u64(seed),
            balancer: Balancer::new(seed, settings.clone()),
            settings,
            now: 1_000_000_000,
            in_flight: Vec::new(),
        };
        for step in 0..1_500u64 {
            run.step(step);
            run.check(seed, step);
        }
    }
}

impl RandomEvents {
    fn step(&mut self, step: u64) {
        let pause = self.random.gen_range(0..60_000);
        self.now += pause * if self.random.gen_ratio(1, 50) { 100 } else { 1 };
        let event = match self.random.gen_range(0..20) {
            0 => Event::Timer,
            1 => self.list_update(),
            2 if step.is_multiple_of(7) => Event::Settings(Box::new(self.settings.clone())),
            3..=11 if !self.in_flight.is_empty() => self.attempt_end(),
            _ => Event::Request {
                call: CallId(step),
                class: ClassId(0),
                tenant: None,
                remaining_time: 900_000,
                is_retry: false,
            },
        };
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            if let Action::Send { call, .. } = action {
                let attempt = self.in_flight.iter().filter(|other| other.call == call).count() as u32;
                self.in_flight.push(AttemptInFlight { call, attempt });
            }
        }
    }

    fn list_update(&mut self) -> Event {
        let random = &mut self.random;
        let is_snapshot = random.gen_ratio(1, 4);
        let kind = if is_snapshot { ListUpdateKind::Snapshot } else { ListUpdateKind::Delta };
        let is_draining = random.gen_ratio(1, 4);
        let state = if is_draining { EndpointState::Draining } else { EndpointState::Ready };
        let started_at = if random.gen_ratio(1, 3) { self.now } else { 0 };
        let entry_count = if is_snapshot { 9 } else { random.gen_range(1..3) };
        let random_entry = |_| EndpointInfo {
            id: EndpointId(random.gen_range(0..12)),
            state,
            started_at,
            ..EndpointInfo::default()
        };
        Event::EndpointList { kind, endpoints: (0..entry_count).map(random_entry).collect() }
    }

    fn attempt_end(&mut self) -> Event {
        let random = &mut self.random;
        let AttemptInFlight { call, attempt } =
            self.in_flight.swap_remove(random.gen_range(0..self.in_flight.len()));
        let mostly_served = [Outcome::Served, Outcome::Served, Outcome::Served, Outcome::ConnectFailed];
        let unserved = [Outcome::Error, Outcome::Rejected, Outcome::TimedOut, Outcome::Cancelled];
        let outcomes = if random.gen_ratio(1, 3) { unserved } else { mostly_served };
        let outcome = outcomes[random.gen_range(0..4)];
        let elapsed = random.gen_range(1_000..200_000);
        let load = LoadReport::default();
        Event::AttemptEnded { call, attempt, outcome, elapsed, call_closed: false, load }
    }

    fn check(&self, seed: u64, step: u64) {
        for slot in 0..self.balancer.endpoints.len() {
            let current = self.balancer.endpoint_status(&self.balancer.endpoints[slot]);
            let indexed = self.balancer.index.status(slot);
            assert_eq!(checked_part(indexed), checked_part(current), "seed {seed}, step {step}, slot {slot}");
        }
    }
}

/// The part of a status that must be up to date in the index.
fn checked_part(status: EndpointStatus) -> EndpointStatus {
    if !status.listed {
        return EndpointStatus::default();
    }
    EndpointStatus {
        valid_until: None,
        growth_trial_due: false,
        has_capacity: status.has_capacity && status.available,
        ..status
    }
}
