//! The day as it goes: who sends what to whom, when it arrives, and what that brings.

mod clients;
mod faults;
mod fleet;
mod proxies;
mod site;

use crate::arrivals::{Arrival, Arrivals};
use crate::judge::{Judge, RequestOutcome, Verdict};
use crate::policy::{Policy, PolicyKind, ServerState, Visibility};
use crate::queue::EventQueue;
use crate::random::{self, jitter, StreamId};
use crate::scenario::{FaultKind, FaultSpec, IdempotencySpec, Scenario};
use crate::server::{Admission, Server};
use oakport_core::{
    Action, CallId, ClassId, EndpointId, EndpointInfo, EndpointState, Event, ListUpdateKind, LoadReport,
    Micros, Outcome, Settings, ZoneId,
};
use rand::seq::SliceRandom;
use rand::Rng;
use rand_pcg::Pcg64;
use std::collections::VecDeque;

/// Start of the day on its clock: servers that started before it are warm.
const START_US: Micros = 1_000_000_000;
/// Attempts for a request at the most.
pub const MAX_ATTEMPTS: u32 = 3;
/// Time after a deadline in which an answer still counts as given (WIRE, `answer_slack_us`).
const ANSWER_SLACK_US: Micros = 20_000;
/// How long a drained process has for what it holds.
const DRAIN_TIMEOUT_US: Micros = 2_000_000;
/// A fast error, or a reset, comes after this.
const ERROR_DELAY_US: Micros = 1_000;
/// After the last request the day runs on for so long at the most.
const MAX_TAIL_US: Micros = 30_000_000;
/// How old the truth is that the late ceiling sees.
const STATE_REFRESH_US: Micros = 1_000_000;

#[derive(Debug)]
enum SimEvent {
    Arrival,
    Retry { request: usize },
    RequestArrives { attempt: usize },
    ServerEnd { server: usize, version: u64 },
    OutcomeArrives { attempt: usize, outcome: Outcome },
    Timeout { attempt: usize },
    CancelArrives { attempt: usize },
    AnswerDeadline { call: usize },
    PolicyTimer { proxy: usize, incarnation: u32 },
    ListUpdate { proxy: usize, server: usize, state: EndpointState, started: Micros },
    FaultBegins { fault: usize },
    FaultEnds { fault: usize, server: usize },
    Drain { server: usize },
    Replace { server: usize },
    RefreshServerStates,
}

/// A client's request, over all its tries.
struct Request {
    class: usize,
    proxy: usize,
    arrived_at: Micros,
    work: f64,
    tries: u32,
    ended: bool,
}

/// One try of a client: what a proxy knows as a call.
struct Call {
    request: usize,
    proxy: usize,
    deadline: Micros,
    open: bool,
    attempts: Vec<usize>,
}

/// An attempt at a server.
struct Attempt {
    call: usize,
    number: u32,
    server: usize,
    sent_at: Micros,
    timeout_at: Micros,
    reached_server: bool,
    outcome: Option<Outcome>,
    has_connection: bool,
}

/// A client proxy.
struct Proxy {
    policy: Box<dyn Policy>,
    zone: usize,
    /// Counts its processes.
    incarnation: u32,
    /// What it has been told of each server, and since when.
    known_servers: Vec<Option<(EndpointState, Micros, Micros)>>,
    pending_events: VecDeque<Event>,
}

/// A fleet in the middle of a day.
struct Simulation<'a> {
    scenario: &'a Scenario,
    seed: u64,
    make_policy: &'a MakePolicy<'a>,
    visibility: Visibility,
    queue: EventQueue<SimEvent>,
    servers: Vec<Server>,
    proxies: Vec<Proxy>,
    requests: Vec<Request>,
    calls: Vec<Call>,
    attempts: Vec<Attempt>,
    server_states: Vec<ServerState>,
    surge_factor: f64,
    arrivals: Arrivals,
    noise_rng: Pcg64,
    client_rng: Pcg64,
    fleet_rng: Pcg64,
    fault_rng: Pcg64,
    judge: Judge,
    actions: Vec<Action>,
    /// Actions are being carried out.
    applying_actions: bool,
}

/// Makes the policy of a client proxy from a seed and what it is told of the site.
pub type MakePolicy<'a> = dyn Fn(u64, &Settings) -> Box<dyn Policy> + 'a;

/// Plays a day with one policy.
pub fn simulate(scenario: &Scenario, kind: PolicyKind, seed: u64) -> Verdict {
    simulate_with(scenario, kind.name(), kind.visibility(), &|seed, settings| kind.make(seed, settings), seed)
}

/// Plays a day with a policy that is not one of the kinds, under this name.
pub fn simulate_with(
    scenario: &Scenario,
    name: &'static str,
    visibility: Visibility,
    make: &MakePolicy<'_>,
    seed: u64,
) -> Verdict {
    let mut world = Simulation::new(scenario, visibility, make, seed);
    let end = START_US + scenario.duration + MAX_TAIL_US;
    while let Some(what) = world.queue.pop() {
        if world.queue.now() > end {
            break;
        }
        world.handle(what);
    }
    let events = world.queue.scheduled_count();
    world.fail_open_requests();
    world.judge.into_verdict(name, scenario, events)
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, sight: Visibility, make: &'a MakePolicy<'a>, seed: u64) -> Self {
        let mut fleet = random::stream(seed, StreamId::Fleet);
        let zones = scenario.zones.len();
        let servers = (0..scenario.servers).map(|n| Server::new(&scenario.server, n % zones, 0)).collect();
        let arrivals = Arrivals::new(scenario, seed, &mut fleet);
        let mut world = Simulation {
            scenario,
            seed,
            make_policy: make,
            visibility: sight,
            queue: EventQueue::new(START_US),
            servers,
            proxies: Vec::new(),
            requests: Vec::new(),
            calls: Vec::new(),
            attempts: Vec::new(),
            server_states: Vec::new(),
            surge_factor: 1.0,
            arrivals,
            noise_rng: random::stream(seed, StreamId::Noise),
            client_rng: random::stream(seed, StreamId::Clients),
            fleet_rng: fleet,
            fault_rng: random::stream(seed, StreamId::Faults),
            judge: Judge::new(scenario),
            actions: Vec::new(),
            applying_actions: false,
        };
        world.refresh_server_states();
        for number in 0..scenario.balancers {
            let zone = number % zones;
            let policy = make(random::policy_seed(seed, number), &site::settings(scenario, zone));
            let told = vec![Some((EndpointState::Ready, 0, START_US)); scenario.servers];
            world.proxies.push(Proxy {
                policy,
                zone,
                incarnation: 0,
                known_servers: told,
                pending_events: VecDeque::new(),
            });
            world.start_policy(number, ListUpdateKind::Snapshot);
        }
        for (trouble, spec) in scenario.events.iter().enumerate() {
            world.queue.schedule_at(START_US + spec.at, SimEvent::FaultBegins { fault: trouble });
        }
        if sight == Visibility::Delayed {
            world.queue.schedule_after(STATE_REFRESH_US, SimEvent::RefreshServerStates);
        }
        world.schedule_arrival();
        world
    }

    fn now(&self) -> Micros {
        self.queue.now()
    }

    fn handle(&mut self, what: SimEvent) {
        match what {
            SimEvent::Arrival => self.handle_arrival(),
            SimEvent::Retry { request } => self.start_try(request),
            SimEvent::RequestArrives { attempt } => self.request_arrives(attempt),
            SimEvent::ServerEnd { server, version } => self.server_end(server, version),
            SimEvent::OutcomeArrives { attempt, outcome } => self.outcome_arrives(attempt, outcome),
            SimEvent::Timeout { attempt } => self.timeout(attempt),
            SimEvent::CancelArrives { attempt } => self.cancel_arrives(attempt),
            SimEvent::AnswerDeadline { call } => self.check_answered(call),
            SimEvent::PolicyTimer { proxy, incarnation: life } if self.proxies[proxy].incarnation == life => {
                self.deliver_event(proxy, Event::Timer);
            }
            SimEvent::PolicyTimer { .. } => {}
            SimEvent::ListUpdate { proxy, server, state, started } => {
                self.list_update_arrives(proxy, server, state, started)
            }
            SimEvent::FaultBegins { fault: trouble } => self.begin_fault(trouble),
            SimEvent::FaultEnds { fault: trouble, server } => self.end_fault(trouble, server),
            SimEvent::Drain { server } => {
                self.servers[server].draining = true;
                self.publish(server, EndpointState::Draining);
                self.queue.schedule_after(DRAIN_TIMEOUT_US, SimEvent::Replace { server });
            }
            SimEvent::Replace { server } => self.replace(server),
            SimEvent::RefreshServerStates => {
                self.refresh_server_states();
                self.queue.schedule_after(STATE_REFRESH_US, SimEvent::RefreshServerStates);
            }
        }
    }
}
