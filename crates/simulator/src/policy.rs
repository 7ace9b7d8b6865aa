//! Who decides: oakport's own module, and the plain policies that it is held against.

use crate::random;
use oakport_core::{
    Action, Balancer, CallId, ClassId, EndpointId, EndpointState, Event, Idempotency, ListUpdateKind, Micros,
    Outcome, Settings, ZoneId,
};
use rand::seq::SliceRandom;
use rand::Rng;
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, HashMap};

/// What a server truly is at a moment: only the ceiling's policies see it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerState {
    /// Work in hand, in microseconds of one core.
    pub backlog: f64,
    /// Cores' worth of work that it can do.
    pub capacity: f64,
    /// It can be reached, takes work and has room for one more connection.
    pub available: bool,
    /// Its zone.
    pub zone: ZoneId,
}

/// Decides for one client proxy.
pub trait Policy {
    /// Takes one event and appends what is to be done.
    fn handle(&mut self, now: Micros, event: Event, truth: &[ServerState], actions: &mut Vec<Action>);
}

/// How much of the truth a policy is shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Visibility {
    /// Nothing: as in service.
    None,
    /// The state of a second ago at the oldest.
    Delayed,
    /// The state as it is.
    Current,
}

/// The policies by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// The module that serves.
    Oakport,
    /// Any server.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the fewest own calls in flight.
    Least,
    /// The less loaded of two random ones by own calls in flight; nothing is held back.
    TwoChoices,
    /// The least loaded by the true state, at once: none can do that.
    Ceiling,
    /// The less loaded of two by own calls in flight, for what each could do a second ago.
    CeilingLate,
}

/// All of them, in the order of reports.
pub const POLICY_KINDS: [PolicyKind; 7] = [
    PolicyKind::Oakport,
    PolicyKind::Random,
    PolicyKind::RoundRobin,
    PolicyKind::Least,
    PolicyKind::TwoChoices,
    PolicyKind::CeilingLate,
    PolicyKind::Ceiling,
];

impl PolicyKind {
    /// As the command line has it.
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Oakport => "oakport",
            PolicyKind::Random => "random",
            PolicyKind::RoundRobin => "round-robin",
            PolicyKind::Least => "least",
            PolicyKind::TwoChoices => "two-choices",
            PolicyKind::Ceiling => "ceiling",
            PolicyKind::CeilingLate => "ceiling-late",
        }
    }

    /// What it is shown.
    pub fn visibility(self) -> Visibility {
        match self {
            PolicyKind::Ceiling => Visibility::Current,
            PolicyKind::CeilingLate => Visibility::Delayed,
            _ => Visibility::None,
        }
    }

    /// One for a client proxy.
    pub fn make(self, seed: u64, settings: &Settings) -> Box<dyn Policy> {
        match self {
            PolicyKind::Oakport => Box::new(OakportPolicy(Balancer::new(seed, settings.clone()))),
            kind => Box::new(BaselinePolicy::new(kind, seed, settings.clone())),
        }
    }
}

struct OakportPolicy(Balancer);

impl Policy for OakportPolicy {
    fn handle(&mut self, now: Micros, event: Event, _: &[ServerState], actions: &mut Vec<Action>) {
        self.0.handle(now, event, actions);
    }
}

#[derive(Clone, Copy)]
struct KnownServer {
    id: EndpointId,
    in_flight: u32,
    ready: bool,
}

struct Call {
    class: ClassId,
    deadline: Micros,
    /// Each attempt's server, its outcome once it is in.
    attempts: Vec<(EndpointId, Option<Outcome>)>,
}

/// A policy that picks and goes again where that is allowed, and does nothing else.
struct BaselinePolicy {
    kind: PolicyKind,
    settings: Settings,
    random: Pcg64,
    servers: BTreeMap<EndpointId, KnownServer>,
    calls: HashMap<CallId, Call>,
    round_robin_index: usize,
}

impl BaselinePolicy {
    fn new(kind: PolicyKind, seed: u64, settings: Settings) -> Self {
        let (servers, calls) = (BTreeMap::new(), HashMap::new());
        BaselinePolicy {
            kind,
            settings,
            random: random::policy_rng(seed),
            servers,
            calls,
            round_robin_index: 0,
        }
    }

    /// Where a call goes. None: nowhere.
    fn pick(&mut self, call: CallId, truth: &[ServerState]) -> Option<EndpointId> {
        /// Work for which the ceiling goes to another zone, in microseconds.
        const CROSS_ZONE_WORK_US: f64 = 15_000.0;
        let tried = |id| self.calls[&call].attempts.iter().any(|(server, _)| *server == id);
        let ready: Vec<KnownServer> = self.servers.values().copied().filter(|s| s.ready).collect();
        let fresh: Vec<KnownServer> = ready.iter().copied().filter(|s| !tried(s.id)).collect();
        let among = if fresh.is_empty() { ready } else { fresh };
        let any = |random: &mut Pcg64| among.get(random.gen_range(0..among.len().max(1))).copied();
        let found = match self.kind {
            PolicyKind::RoundRobin => {
                self.round_robin_index += 1;
                among.get(self.round_robin_index % among.len().max(1)).copied()
            }
            PolicyKind::Least => {
                let least = among.iter().map(|s| s.in_flight).min()?;
                let least: Vec<&KnownServer> = among.iter().filter(|s| s.in_flight == least).collect();
                Some(*least[self.random.gen_range(0..least.len())])
            }
            PolicyKind::TwoChoices => {
                let (one, two) = (any(&mut self.random)?, any(&mut self.random)?);
                Some(if two.in_flight < one.in_flight { two } else { one })
            }
            PolicyKind::Ceiling | PolicyKind::CeilingLate => {
                // By the time to an answer, and where that is alike, in the own zone.
                let load = |s: &KnownServer| {
                    let server = truth.get(s.id.0 as usize).filter(|t| t.available && t.capacity > 0.0)?;
                    let away = if server.zone == self.settings.zone { 0.0 } else { CROSS_ZONE_WORK_US };
                    // Of what is a second old only the lasting part is of use.
                    let now = self.kind == PolicyKind::Ceiling;
                    let load = if now {
                        server.backlog
                    } else {
                        (f64::from(s.in_flight) + 1.0) * CROSS_ZONE_WORK_US
                    };
                    Some((load + away) / server.capacity)
                };
                let mut loads: Vec<(f64, &KnownServer)> =
                    among.iter().filter_map(|s| Some((load(s)?, s))).collect();
                if self.kind == PolicyKind::CeilingLate {
                    // All proxies see the same state: the best of all would be everybody's. Of two it is not.
                    loads.shuffle(&mut self.random);
                    loads.truncate(2);
                }
                // What would be late everywhere is refused: its place is worth more to others.
                let aim = self
                    .settings
                    .classes
                    .get(self.calls[&call].class.0)
                    .map_or(f64::MAX, |c| c.latency_objective as f64);
                let best = loads.into_iter().reduce(|a, b| if b.0 < a.0 { b } else { a });
                best.filter(|(load, _)| *load < aim).map(|(_, s)| *s)
            }
            _ => any(&mut self.random),
        };
        found.map(|s| s.id)
    }

    fn send(&mut self, now: Micros, id: CallId, truth: &[ServerState], actions: &mut Vec<Action>) {
        let Some(server) = self.pick(id, truth) else { return self.reject_or_fail(id, actions) };
        if let Some(known) = self.servers.get_mut(&server) {
            known.in_flight += 1;
        }
        let Some(call) = self.calls.get_mut(&id).filter(|c| c.deadline > now) else { return };
        call.attempts.push((server, None));
        actions.push(Action::Send { call: id, endpoint: server, timeout_at: None, send_before: None });
    }

    fn reject_or_fail(&mut self, id: CallId, actions: &mut Vec<Action>) {
        const RETRY_AFTER_US: Micros = 200_000;
        let Some(call) = self.calls.remove(&id) else { return };
        let ran = call.attempts.iter().any(|(_, o)| o.is_none_or(|o| !o.proves_not_started()));
        actions.push(match self.idempotency(call.class) {
            Idempotency::NonIdempotent if ran => Action::Fail { call: id },
            _ => Action::Reject { call: id, retry_after: RETRY_AFTER_US },
        });
    }

    fn idempotency(&self, class: ClassId) -> Idempotency {
        self.settings.classes.get(class.0).map_or(Idempotency::NonIdempotent, |c| c.idempotency)
    }
}

impl Policy for BaselinePolicy {
    fn handle(&mut self, now: Micros, event: Event, truth: &[ServerState], actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList { kind, endpoints: entries } => {
                if kind == ListUpdateKind::Snapshot || kind == ListUpdateKind::Cached {
                    self.servers.values_mut().for_each(|s| s.ready = false);
                }
                for entry in entries {
                    let known = KnownServer { id: entry.id, in_flight: 0, ready: false };
                    self.servers.entry(entry.id).or_insert(known).ready = entry.state == EndpointState::Ready;
                }
                self.servers.retain(|_, s| s.ready || s.in_flight > 0);
            }
            Event::Request { call, class, remaining_time: time_left, .. } => {
                let deadline = now + time_left;
                self.calls.insert(call, Call { class, deadline, attempts: Vec::new() });
                self.send(now, call, truth, actions);
            }
            Event::AttemptEnded { call: id, attempt, outcome, call_closed: closed, .. } => {
                let Some(call) = self.calls.get_mut(&id) else { return };
                let Some((server, ended)) = call.attempts.get_mut(attempt as usize) else { return };
                *ended = Some(outcome);
                if let Some(server) = self.servers.get_mut(server) {
                    server.in_flight = server.in_flight.saturating_sub(1);
                }
                if closed || outcome == Outcome::Served {
                    self.calls.remove(&id);
                    return;
                }
                let class = call.class;
                let ran = call.attempts.iter().any(|(_, o)| o.is_none_or(|o| !o.proves_not_started()));
                let more = (call.attempts.len() as u32) < self.settings.limits.max_attempts;
                let in_time = call.deadline > now;
                if more && in_time && (!ran || self.idempotency(class) == Idempotency::Idempotent) {
                    self.send(now, id, truth, actions);
                } else {
                    self.reject_or_fail(id, actions);
                }
            }
            Event::ClientDisconnected { call } => {
                self.calls.remove(&call);
            }
            _ => {}
        }
    }
}
