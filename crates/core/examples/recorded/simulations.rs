//! Random simulations of the balancer: calls of four classes; endpoints that are fast, slow, failing, in slow
//! start or silent; changes of the endpoint list and the settings; load polls, streamed bodies, clients that
//! disconnect. Each event is written with the resulting actions, in the format of [`script`].

use crate::script;
use oakport_core::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

const MS: Micros = 1_000;
/// Steps of each simulation. Each step runs the pending events that are due, and feeds one new event.
const STEPS_PER_SIMULATION: usize = 3_000;

struct Random(Pcg32);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        u64::from(self.0.next_u32()) % n.max(1)
    }

    fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}

struct Simulation {
    script: String,
    balancer: Balancer,
    random: Random,
    now: Micros,
    timers: BTreeSet<Micros>,
    /// Pending events, by time and order of scheduling.
    pending: BTreeMap<(Micros, u64), Event>,
    attempts: BTreeMap<CallId, u32>,
    entries: Vec<EndpointInfo>,
    scheduled_count: u64,
}

fn settings(number: u64) -> Settings {
    let class = |latency_objective, client_timeout, priority_weight, idempotency| Class {
        latency_objective,
        client_timeout,
        priority_weight,
        late_weight_ratio: 0.0,
        idempotency,
        active: true,
    };
    let window = 400 * MS;
    Settings {
        proxy_count: [1, 4, 300, 20, 1_000, 2][number as usize % 6],
        zone: ZoneId(1),
        polls_endpoint_list: true,
        classes: vec![
            class(200 * MS, 600 * MS, 1.0, Idempotency::Idempotent),
            class(500 * MS, 1_200 * MS, 3.0, Idempotency::NonIdempotent),
            class(
                400 * MS,
                900 * MS,
                0.5,
                Idempotency::Deduplicated { scope: DeduplicationScope::Cell, window },
            ),
            class(
                900 * MS,
                2_000 * MS,
                2.0,
                Idempotency::Deduplicated { scope: DeduplicationScope::All, window },
            ),
        ],
        limits: Limits {
            load_polling: number.is_multiple_of(2),
            hedging: !number.is_multiple_of(3),
            max_attempts: 3,
            ..Settings::default().limits
        },
        charges: Charges { cross_zone: 0.02, load_poll: 0.005, ..Charges::default() },
        load_reporting: LoadReporting {
            delivery: if number.is_multiple_of(2) { ReportDelivery::OnPoll } else { ReportDelivery::Inline },
            includes_in_flight: true,
        },
        weight_source: if number.is_multiple_of(3) { WeightSource::Approximate } else { WeightSource::Off },
        ..Settings::default()
    }
}

impl Simulation {
    fn new(number: u64) -> Self {
        let mut simulation = Simulation {
            script: String::new(),
            balancer: Balancer::new(number, settings(number)),
            random: Random(Pcg32::seed_from_u64(number)),
            now: 1_000_000_000,
            timers: BTreeSet::new(),
            pending: BTreeMap::new(),
            attempts: BTreeMap::new(),
            entries: Vec::new(),
            scheduled_count: 0,
        };
        let endpoint_count = [6, 12, 40, 9, 25, 3][number as usize % 6];
        simulation.entries = (0..endpoint_count).map(|endpoint| simulation.entry(endpoint)).collect();
        simulation
    }

    fn entry(&mut self, endpoint: u32) -> EndpointInfo {
        let is_warming_up = self.random.one_in(6);
        EndpointInfo {
            id: EndpointId(endpoint),
            state: EndpointState::Ready,
            zone: ZoneId(endpoint % 3),
            cell: CellId(endpoint % 2),
            machine_type: MachineTypeId(endpoint % 4),
            weight: 1.0 + f64::from(endpoint % 5),
            started_at: if is_warming_up { self.now - self.random.below(9_000_000) } else { 0 },
        }
    }

    fn event(&mut self, event: Event) {
        let _ = writeln!(self.script, "{} {}", self.now, script::event(&event));
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            let _ = writeln!(self.script, "  {}", script::action(&action));
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { call, endpoint, timeout_at, .. } => {
                let attempt = self.attempts.entry(call).or_default();
                let number = *attempt;
                *attempt += 1;
                let (outcome, latency) = self.outcome_of_attempt(endpoint);
                let timeout = timeout_at.map_or(1_500 * MS, |at| at.saturating_sub(self.now));
                let outcome = if latency > timeout { Outcome::TimedOut } else { outcome };
                let elapsed = latency.min(timeout);
                let load = match outcome {
                    Outcome::Served if self.random.one_in(2) => self.load(),
                    _ => LoadReport::default(),
                };
                if outcome == Outcome::Served && self.random.one_in(20) {
                    self.schedule(elapsed / 2, Event::ResponseStarted { call, attempt: number });
                }
                let call_closed = outcome == Outcome::Served;
                self.schedule(
                    elapsed,
                    Event::AttemptEnded { call, attempt: number, outcome, elapsed, call_closed, load },
                );
            }
            Action::Cancel { call, attempt } => {
                let is_its_end = |e: &Event| {
                    matches!(
                        e,
                        Event::AttemptEnded { call: c, attempt: a, .. } if (*c, *a) == (call, attempt)
                    )
                };
                let found = self.pending.iter().find(|(_, e)| is_its_end(e)).map(|(k, _)| *k);
                if let Some(Event::AttemptEnded { call, attempt, load, .. }) =
                    found.and_then(|k| self.pending.remove(&k))
                {
                    let outcome = Outcome::Cancelled;
                    let elapsed = 5 * MS;
                    self.schedule(
                        0,
                        Event::AttemptEnded { call, attempt, outcome, elapsed, call_closed: true, load },
                    );
                }
            }
            Action::PollLoad { endpoint } => {
                let outcome = if self.random.one_in(9) { Outcome::TimedOut } else { Outcome::Served };
                let elapsed = 2 * MS;
                let load = self.load();
                self.schedule(elapsed, Event::LoadPolled { endpoint, outcome, elapsed, load });
            }
            Action::SetTimer { after } => {
                self.timers.insert(self.now + after);
            }
            Action::PollEndpointList => {
                let kind =
                    if self.random.one_in(4) { ListUpdateKind::Failed } else { ListUpdateKind::Snapshot };
                let entries =
                    if kind == ListUpdateKind::Snapshot { self.entries.clone() } else { Vec::new() };
                self.schedule(7 * MS, Event::EndpointList { kind, endpoints: entries });
            }
            Action::Reject { .. } | Action::Fail { .. } | Action::Log(_) => {}
        }
    }

    /// Outcome and latency of an attempt, which depend on the endpoint and a period of 3 s, so that faults
    /// persist.
    fn outcome_of_attempt(&mut self, endpoint: EndpointId) -> (Outcome, Micros) {
        let phase = self.now / 3_000_000 + u64::from(endpoint.0) * 7;
        let latency = 10 * MS + self.random.below(60 * MS);
        match phase % 11 {
            0 if !self.random.one_in(3) => (Outcome::Error, 2 * MS),
            1 if !self.random.one_in(3) => (Outcome::Rejected, MS),
            2 if !self.random.one_in(4) => (Outcome::ConnectFailed, 3 * MS),
            3 if self.random.one_in(2) => (Outcome::Reset, 9 * MS),
            4 => (Outcome::Served, latency * 9),
            5 if self.random.one_in(2) => (Outcome::Served, 9_000 * MS),
            _ if self.random.one_in(200) => (Outcome::InvalidRequest, MS),
            _ if self.random.one_in(300) => (Outcome::NotSent, 0),
            _ => (Outcome::Served, latency),
        }
    }

    fn load(&mut self) -> LoadReport {
        let in_flight = self.random.below(12) as f64;
        LoadReport {
            in_flight: Some(in_flight),
            queued: Some((in_flight - 5.0).max(0.0)),
            utilisation: Some(0.5),
            error_rate: None,
        }
    }

    fn schedule(&mut self, after: Micros, event: Event) {
        self.scheduled_count += 1;
        self.pending.insert((self.now + after, self.scheduled_count), event);
    }

    /// Fires the timers and feeds the pending events that are due until `until`.
    fn run_until(&mut self, until: Micros) {
        loop {
            let pending = self.pending.first_key_value().map(|(&key, _)| key);
            let timer = self.timers.first().copied();
            let next = pending.map(|key| key.0).into_iter().chain(timer).min().filter(|&at| at <= until);
            let Some(at) = next else { break };
            self.now = self.now.max(at);
            match pending.filter(|key| key.0 == at).and_then(|k| self.pending.remove(&k)) {
                Some(event) => self.event(event),
                None => {
                    self.timers.remove(&at);
                    self.event(Event::Timer);
                }
            }
        }
        self.now = until;
    }

    fn step(&mut self, step: usize, settings: &Settings) {
        let max_pause = if (step / 400) % 3 == 2 { 2 * MS } else { 12 * MS };
        let pause = self.random.below(max_pause);
        self.run_until(self.now + pause);
        match self.random.below(100) {
            0 => {
                let index = self.random.below(self.entries.len() as u64) as usize;
                let entry = &mut self.entries[index];
                (entry.state, entry.started_at) = match entry.state {
                    EndpointState::Ready => (EndpointState::Draining, entry.started_at),
                    _ => (EndpointState::Ready, self.now),
                };
                let entries = vec![*entry];
                self.event(Event::EndpointList { kind: ListUpdateKind::Delta, endpoints: entries });
            }
            1 if step.is_multiple_of(7) => {
                let mut other = settings.clone();
                other.limits.max_attempts = 1 + self.random.below(4) as u32;
                self.event(Event::Settings(Box::new(other)));
            }
            2 if self.scheduled_count > 0 => {
                let call = CallId(step as u64 - self.random.below(9).min(step as u64));
                self.event(Event::ClientDisconnected { call });
            }
            3 => {
                let call = CallId(step as u64 - self.random.below(3).min(step as u64));
                self.event(Event::RequestComplete { call, remaining_time: 500 * MS });
            }
            _ => {
                let class = ClassId(self.random.below(4) as usize);
                let client_timeout = settings.classes[class.0].client_timeout;
                let is_retry = self.random.one_in(8);
                let remaining_time = if is_retry { client_timeout / 2 } else { client_timeout };
                self.event(Event::Request {
                    call: CallId(step as u64),
                    class,
                    tenant: None,
                    remaining_time,
                    is_retry,
                });
            }
        }
    }
}

/// Runs all simulations; returns the text of each.
pub fn run_all() -> impl Iterator<Item = String> {
    (0..6).map(|number| {
        let mut simulation = Simulation::new(number);
        let settings = settings(number);
        simulation.event(Event::Start);
        for step in 0..STEPS_PER_SIMULATION {
            simulation.step(step, &settings);
        }
        simulation.run_until(simulation.now + 10_000_000);
        simulation.script
    })
}
