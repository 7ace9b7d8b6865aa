//! Worlds drawn from seeds, played to the balancer: calls of four classes, servers that are quick, slow, failing, cold
//! or silent, lists and settings that change, probes, large bodies, clients that leave. Each event is written with the
//! actions that it brought, as [`script`] has it.

use crate::script;
use oakport_core::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

const MS: Micros = 1_000;
/// Steps of each world; a step is an event of the world, whatever timers come beside it.
const STEPS: usize = 3_000;

struct Random(Pcg32);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        u64::from(self.0.next_u32()) % n.max(1)
    }

    fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}

struct World {
    script: String,
    balancer: Balancer,
    random: Random,
    now: Micros,
    wakes: BTreeSet<Micros>,
    /// Attempts that are out, by when they end.
    ends: BTreeMap<(Micros, u64), Event>,
    attempts: BTreeMap<CallId, u32>,
    entries: Vec<EndpointInfo>,
    serial: u64,
}

fn settings(world: u64) -> Settings {
    let class = |aim, deadline, worth, repeat| Class {
        latency_objective: aim,
        client_timeout: deadline,
        priority_weight: worth,
        late_weight_ratio: 0.0,
        idempotency: repeat,
        active: true,
    };
    let window = 400 * MS;
    Settings {
        proxy_count: [1, 4, 300, 20, 1_000, 2][world as usize % 6],
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
            load_polling: world.is_multiple_of(2),
            hedging: !world.is_multiple_of(3),
            max_attempts: 3,
            ..Settings::default().limits
        },
        charges: Charges { cross_zone: 0.02, load_poll: 0.005, ..Charges::default() },
        load_reporting: LoadReporting {
            delivery: if world.is_multiple_of(2) { ReportDelivery::OnPoll } else { ReportDelivery::Inline },
            includes_in_flight: true,
        },
        weight_source: if world.is_multiple_of(3) { WeightSource::Approximate } else { WeightSource::Off },
        ..Settings::default()
    }
}

impl World {
    fn new(world: u64) -> Self {
        let random = Random(Pcg32::seed_from_u64(world));
        let balancer = Balancer::new(world, settings(world));
        let (wakes, ends, attempts) = (BTreeSet::new(), BTreeMap::new(), BTreeMap::new());
        let now = 1_000_000_000;
        let script = String::new();
        let mut made =
            World { script, balancer, random, now, wakes, ends, attempts, entries: Vec::new(), serial: 0 };
        let servers = [6, 12, 40, 9, 25, 3][world as usize % 6];
        made.entries = (0..servers).map(|n| made.entry(n)).collect();
        made
    }

    fn entry(&mut self, server: u32) -> EndpointInfo {
        let cold = self.random.one_in(6);
        EndpointInfo {
            id: EndpointId(server),
            state: EndpointState::Ready,
            zone: ZoneId(server % 3),
            cell: CellId(server % 2),
            machine_type: MachineTypeId(server % 4),
            weight: 1.0 + f64::from(server % 5),
            started_at: if cold { self.now - self.random.below(9_000_000) } else { 0 },
        }
    }

    fn event(&mut self, event: Event) {
        let _ = writeln!(self.script, "{} {}", self.now, script::event(&event));
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            let _ = writeln!(self.script, "  {}", script::action(&action));
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { call, endpoint: server, timeout_at: until, .. } => {
                let attempt = self.attempts.entry(call).or_default();
                let number = *attempt;
                *attempt += 1;
                let (outcome, mut took) = self.fate(server);
                let patience = until.map_or(1_500 * MS, |u| u.saturating_sub(self.now));
                let outcome = if took > patience { Outcome::TimedOut } else { outcome };
                took = took.min(patience);
                let load = match outcome {
                    Outcome::Served if self.random.one_in(2) => self.load(),
                    _ => LoadReport::default(),
                };
                if outcome == Outcome::Served && self.random.one_in(20) {
                    self.later(took / 2, Event::ResponseStarted { call, attempt: number });
                }
                let (elapsed, closed) = (took, outcome == Outcome::Served);
                self.later(
                    took,
                    Event::AttemptEnded {
                        call,
                        attempt: number,
                        outcome,
                        elapsed,
                        call_closed: closed,
                        load,
                    },
                );
            }
            Action::Cancel { call, attempt } => {
                let out = |e: &Event| matches!(e, Event::AttemptEnded { call: c, attempt: a, .. } if (*c, *a) == (call, attempt));
                let found = self.ends.iter().find(|(_, e)| out(e)).map(|(k, _)| *k);
                if let Some(Event::AttemptEnded { call, attempt, load, .. }) =
                    found.and_then(|k| self.ends.remove(&k))
                {
                    let (outcome, elapsed) = (Outcome::Cancelled, 5 * MS);
                    self.later(
                        0,
                        Event::AttemptEnded { call, attempt, outcome, elapsed, call_closed: true, load },
                    );
                }
            }
            Action::PollLoad { endpoint: server } => {
                let outcome = if self.random.one_in(9) { Outcome::TimedOut } else { Outcome::Served };
                let (elapsed, load) = (2 * MS, self.load());
                self.later(elapsed, Event::LoadPolled { endpoint: server, outcome, elapsed, load });
            }
            Action::SetTimer { after } => {
                self.wakes.insert(self.now + after);
            }
            Action::PollEndpointList => {
                let kind =
                    if self.random.one_in(4) { ListUpdateKind::Failed } else { ListUpdateKind::Snapshot };
                let entries =
                    if kind == ListUpdateKind::Snapshot { self.entries.clone() } else { Vec::new() };
                self.later(7 * MS, Event::EndpointList { kind, endpoints: entries });
            }
            Action::Reject { .. } | Action::Fail { .. } | Action::Log(_) => {}
        }
    }

    /// How a server does with an attempt: by its number and the time of the world, so that trouble lasts.
    fn fate(&mut self, server: EndpointId) -> (Outcome, Micros) {
        let spell = self.now / 3_000_000 + u64::from(server.0) * 7;
        let usual = 10 * MS + self.random.below(60 * MS);
        match spell % 11 {
            0 if !self.random.one_in(3) => (Outcome::Error, 2 * MS),
            1 if !self.random.one_in(3) => (Outcome::Rejected, MS),
            2 if !self.random.one_in(4) => (Outcome::ConnectFailed, 3 * MS),
            3 if self.random.one_in(2) => (Outcome::Reset, 9 * MS),
            4 => (Outcome::Served, usual * 9),
            5 if self.random.one_in(2) => (Outcome::Served, 9_000 * MS),
            _ if self.random.one_in(200) => (Outcome::InvalidRequest, MS),
            _ if self.random.one_in(300) => (Outcome::NotSent, 0),
            _ => (Outcome::Served, usual),
        }
    }

    fn load(&mut self) -> LoadReport {
        let in_hand = self.random.below(12) as f64;
        LoadReport {
            in_flight: Some(in_hand),
            queued: Some((in_hand - 5.0).max(0.0)),
            utilisation: Some(0.5),
            error_rate: None,
        }
    }

    fn later(&mut self, after: Micros, event: Event) {
        self.serial += 1;
        self.ends.insert((self.now + after, self.serial), event);
    }

    /// The next thing that happens by itself before `until`.
    fn run_until(&mut self, until: Micros) {
        loop {
            let (end, wake) = (self.ends.first_key_value().map(|(k, _)| *k), self.wakes.first().copied());
            let next = end.map(|k| k.0).into_iter().chain(wake).min().filter(|&at| at <= until);
            let Some(at) = next else { break };
            self.now = self.now.max(at);
            match end.filter(|k| k.0 == at).and_then(|k| self.ends.remove(&k)) {
                Some(event) => self.event(event),
                None => {
                    self.wakes.remove(&at);
                    self.event(Event::Timer);
                }
            }
        }
        self.now = until;
    }

    fn step(&mut self, step: usize, spec: &Settings) {
        let crowd = if (step / 400) % 3 == 2 { 2 * MS } else { 12 * MS };
        let pause = self.random.below(crowd);
        self.run_until(self.now + pause);
        match self.random.below(100) {
            0 => {
                let place = self.random.below(self.entries.len() as u64) as usize;
                let entry = &mut self.entries[place];
                (entry.state, entry.started_at) = match entry.state {
                    EndpointState::Ready => (EndpointState::Draining, entry.started_at),
                    _ => (EndpointState::Ready, self.now),
                };
                let entries = vec![*entry];
                self.event(Event::EndpointList { kind: ListUpdateKind::Delta, endpoints: entries });
            }
            1 if step.is_multiple_of(7) => {
                let mut other = spec.clone();
                other.limits.max_attempts = 1 + self.random.below(4) as u32;
                self.event(Event::Settings(Box::new(other)));
            }
            2 if self.serial > 0 => {
                let call = CallId(step as u64 - self.random.below(9).min(step as u64));
                self.event(Event::ClientDisconnected { call });
            }
            3 => {
                let call = CallId(step as u64 - self.random.below(3).min(step as u64));
                self.event(Event::RequestComplete { call, remaining_time: 500 * MS });
            }
            _ => {
                let class = ClassId(self.random.below(4) as usize);
                let deadline = spec.classes[class.0].client_timeout;
                let resent = self.random.one_in(8);
                let time_left = if resent { deadline / 2 } else { deadline };
                self.event(Event::Request {
                    call: CallId(step as u64),
                    class,
                    tenant: None,
                    remaining_time: time_left,
                    is_retry: resent,
                });
            }
        }
    }
}

/// Plays all worlds; the text of each.
pub fn play() -> impl Iterator<Item = String> {
    (0..6).map(|number| {
        let (mut world, spec) = (World::new(number), settings(number));
        world.event(Event::Start);
        for step in 0..STEPS {
            world.step(step, &spec);
        }
        world.run_until(world.now + 10_000_000);
        world.script
    })
}
