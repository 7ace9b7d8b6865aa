//! Balancing policies: oakport's balancer and the baselines that it is compared with.

use crate::random;
use oakport_core::{
    Action, Balancer, CallId, ClassId, EndpointId, EndpointState, Event, Idempotency, ListUpdateKind, Micros,
    Outcome, Settings, ZoneId,
};
use rand::seq::SliceRandom;
use rand::Rng;
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, HashMap};

/// Actual state of a server, visible only to the ceiling policies.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerState {
    /// Work accepted and not yet done, in microseconds of one core.
    pub backlog: f64,
    /// Current capacity, in cores.
    pub capacity: f64,
    /// The server is reachable, accepts work and accepts another connection.
    pub available: bool,
    /// Zone of the server.
    pub zone: ZoneId,
}

/// Balancing policy of one client proxy.
pub trait Policy {
    /// Processes an event and appends the resulting actions.
    fn handle(&mut self, now: Micros, event: Event, states: &[ServerState], actions: &mut Vec<Action>);
}

/// How much of the actual server state a policy sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Visibility {
    /// None, as in production.
    None,
    /// The state as of at most one second ago.
    Delayed,
    /// The current state.
    Current,
}

/// The policies that can be simulated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// The balancer used in production.
    Oakport,
    /// Picks a server at random.
    Random,
    /// Picks the servers in turn.
    RoundRobin,
    /// Picks the server with the fewest in-flight calls of this proxy.
    Least,
    /// Picks the one of two random servers with fewer in-flight calls of this proxy; sends every call at once.
    TwoChoices,
    /// Picks the least loaded server by its current actual state: an upper bound that no real policy can reach.
    Ceiling,
    /// Picks the one of two random servers with fewer in-flight calls of this proxy per capacity, as of at most one
    /// second ago.
    CeilingLate,
}

/// All policies, in the order of reports.
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
    /// Name on the command line and in reports.
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

    /// Server state that the policy sees.
    pub fn visibility(self) -> Visibility {
        match self {
            PolicyKind::Ceiling => Visibility::Current,
            PolicyKind::CeilingLate => Visibility::Delayed,
            _ => Visibility::None,
        }
    }

    /// Creates the policy for a client proxy.
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
    /// Server and outcome of each attempt; `None` while the attempt is under way.
    attempts: Vec<(EndpointId, Option<Outcome>)>,
}

/// A policy that only picks servers, and retries where that is allowed.
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
        let servers = BTreeMap::new();
        let calls = HashMap::new();
        BaselinePolicy {
            kind,
            settings,
            random: random::policy_rng(seed),
            servers,
            calls,
            round_robin_index: 0,
        }
    }

    /// Picks the server for the next attempt; `None` if no server is suitable.
    fn pick(&mut self, call: CallId, states: &[ServerState]) -> Option<EndpointId> {
        /// Work, in microseconds of one core, by which a server in another zone must be less loaded to be preferred;
        /// `ceiling-late` also assumes this work for each call.
        const CROSS_ZONE_WORK_US: f64 = 15_000.0;
        let already_tried = |id| self.calls[&call].attempts.iter().any(|(server, _)| *server == id);
        let ready: Vec<KnownServer> = self.servers.values().copied().filter(|s| s.ready).collect();
        let untried: Vec<KnownServer> = ready.iter().copied().filter(|s| !already_tried(s.id)).collect();
        let candidates = if untried.is_empty() { ready } else { untried };
        let pick_random =
            |random: &mut Pcg64| candidates.get(random.gen_range(0..candidates.len().max(1))).copied();
        let picked = match self.kind {
            PolicyKind::RoundRobin => {
                self.round_robin_index += 1;
                candidates.get(self.round_robin_index % candidates.len().max(1)).copied()
            }
            PolicyKind::Least => {
                let fewest = candidates.iter().map(|s| s.in_flight).min()?;
                let fewest: Vec<&KnownServer> = candidates.iter().filter(|s| s.in_flight == fewest).collect();
                Some(*fewest[self.random.gen_range(0..fewest.len())])
            }
            PolicyKind::TwoChoices => {
                let first = pick_random(&mut self.random)?;
                let second = pick_random(&mut self.random)?;
                Some(if second.in_flight < first.in_flight { second } else { first })
            }
            PolicyKind::Ceiling | PolicyKind::CeilingLate => {
                // Estimated time to an answer, with a penalty for servers in other zones.
                let load = |s: &KnownServer| {
                    let server = states.get(s.id.0 as usize).filter(|t| t.available && t.capacity > 0.0)?;
                    let zone_penalty =
                        if server.zone == self.settings.zone { 0.0 } else { CROSS_ZONE_WORK_US };
                    // A backlog that may be one second old is of no use: only capacity and zone are used of that state.
                    let is_current = self.kind == PolicyKind::Ceiling;
                    let load = if is_current {
                        server.backlog
                    } else {
                        (f64::from(s.in_flight) + 1.0) * CROSS_ZONE_WORK_US
                    };
                    Some((load + zone_penalty) / server.capacity)
                };
                let mut loads: Vec<(f64, &KnownServer)> =
                    candidates.iter().filter_map(|s| Some((load(s)?, s))).collect();
                if self.kind == PolicyKind::CeilingLate {
                    // All proxies see the same state and would pick the same server; two random candidates avoid that.
                    loads.shuffle(&mut self.random);
                    loads.truncate(2);
                }
                // A call that would be late on every server is rejected, as its slot serves other calls better.
                let objective = self
                    .settings
                    .classes
                    .get(self.calls[&call].class.0)
                    .map_or(f64::MAX, |c| c.latency_objective as f64);
                let best = loads.into_iter().reduce(|a, b| if b.0 < a.0 { b } else { a });
                best.filter(|(load, _)| *load < objective).map(|(_, s)| *s)
            }
            _ => pick_random(&mut self.random),
        };
        picked.map(|s| s.id)
    }

    fn send(&mut self, now: Micros, id: CallId, states: &[ServerState], actions: &mut Vec<Action>) {
        let Some(server) = self.pick(id, states) else { return self.reject_or_fail(id, actions) };
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
        let may_have_run = call.attempts.iter().any(|(_, o)| o.is_none_or(|o| !o.proves_not_started()));
        actions.push(match self.idempotency(call.class) {
            Idempotency::NonIdempotent if may_have_run => Action::Fail { call: id },
            _ => Action::Reject { call: id, retry_after: RETRY_AFTER_US },
        });
    }

    fn idempotency(&self, class: ClassId) -> Idempotency {
        self.settings.classes.get(class.0).map_or(Idempotency::NonIdempotent, |c| c.idempotency)
    }
}

impl Policy for BaselinePolicy {
    fn handle(&mut self, now: Micros, event: Event, states: &[ServerState], actions: &mut Vec<Action>) {
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
                self.send(now, call, states, actions);
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
                let may_have_run =
                    call.attempts.iter().any(|(_, o)| o.is_none_or(|o| !o.proves_not_started()));
                let attempts_left = (call.attempts.len() as u32) < self.settings.limits.max_attempts;
                let in_time = call.deadline > now;
                if attempts_left
                    && in_time
                    && (!may_have_run || self.idempotency(class) == Idempotency::Idempotent)
                {
                    self.send(now, id, states, actions);
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
