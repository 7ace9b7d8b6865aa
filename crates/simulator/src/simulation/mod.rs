//! Event loop of the simulation, and the state of its clients, client proxies, network and servers.

mod clients;
mod faults;
mod proxies;
mod servers;
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

/// Virtual time at the start of the scenario; above 0, as servers with the start time 0 count as warm.
const START_US: Micros = 1_000_000_000;
/// Maximum number of attempts per call.
pub const MAX_ATTEMPTS: u32 = 3;
/// Time after a call's deadline within which its answer is still accepted (WIRE, `answer_slack_us`).
const ANSWER_SLACK_US: Micros = 20_000;
/// Time that a draining process has to finish its requests.
const DRAIN_TIMEOUT_US: Micros = 2_000_000;
/// Time after which a faulty server answers with an error or a reset.
const ERROR_DELAY_US: Micros = 1_000;
/// Maximum time for which the simulation continues after the last arrival.
const MAX_TAIL_US: Micros = 30_000_000;
/// Refresh interval of the server state that the `ceiling-late` policy sees.
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

/// A client request, including its retries.
struct Request {
    class: usize,
    proxy: usize,
    arrived_at: Micros,
    work: f64,
    tries: u32,
    ended: bool,
}

/// One try of a client, which the proxy handles as a call.
struct Call {
    request: usize,
    proxy: usize,
    deadline: Micros,
    open: bool,
    attempts: Vec<usize>,
}

/// An attempt to serve a call at a server.
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
    /// Number of the current process of this proxy, from 0.
    incarnation: u32,
    /// Last listed state of each server, the start time of its process, and the time at which the server left the ready
    /// state, or of the last update while it is ready.
    known_servers: Vec<Option<(EndpointState, Micros, Micros)>>,
    pending_events: VecDeque<Event>,
}

/// State of a running simulation.
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
    /// Actions of a policy are being applied.
    applying_actions: bool,
}

/// Creates the policy of a client proxy from a seed and its settings.
pub type MakePolicy<'a> = dyn Fn(u64, &Settings) -> Box<dyn Policy> + 'a;

/// Simulates a scenario with one of the built-in policies.
pub fn simulate(scenario: &Scenario, kind: PolicyKind, seed: u64) -> Verdict {
    simulate_with(scenario, kind.name(), kind.visibility(), &|seed, settings| kind.make(seed, settings), seed)
}

/// Simulates a scenario with a custom policy, reported under this name.
pub fn simulate_with(
    scenario: &Scenario,
    name: &'static str,
    visibility: Visibility,
    make_policy: &MakePolicy<'_>,
    seed: u64,
) -> Verdict {
    let mut simulation = Simulation::new(scenario, visibility, make_policy, seed);
    let end = START_US + scenario.duration + MAX_TAIL_US;
    while let Some(event) = simulation.queue.pop() {
        if simulation.queue.now() > end {
            break;
        }
        simulation.handle(event);
    }
    let events = simulation.queue.scheduled_count();
    simulation.fail_open_requests();
    simulation.judge.into_verdict(name, scenario, events)
}

impl<'a> Simulation<'a> {
    fn new(
        scenario: &'a Scenario,
        visibility: Visibility,
        make_policy: &'a MakePolicy<'a>,
        seed: u64,
    ) -> Self {
        let mut fleet_rng = random::stream(seed, StreamId::Fleet);
        let zones = scenario.zones.len();
        let servers = (0..scenario.servers).map(|n| Server::new(&scenario.server, n % zones, 0)).collect();
        let arrivals = Arrivals::new(scenario, seed, &mut fleet_rng);
        let mut simulation = Simulation {
            scenario,
            seed,
            make_policy,
            visibility,
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
            fleet_rng,
            fault_rng: random::stream(seed, StreamId::Faults),
            judge: Judge::new(scenario),
            actions: Vec::new(),
            applying_actions: false,
        };
        simulation.refresh_server_states();
        for proxy in 0..scenario.balancers {
            let zone = proxy % zones;
            let policy = make_policy(random::policy_seed(seed, proxy), &site::settings(scenario, zone));
            let known_servers = vec![Some((EndpointState::Ready, 0, START_US)); scenario.servers];
            simulation.proxies.push(Proxy {
                policy,
                zone,
                incarnation: 0,
                known_servers,
                pending_events: VecDeque::new(),
            });
            simulation.start_policy(proxy, ListUpdateKind::Snapshot);
        }
        for (fault, spec) in scenario.events.iter().enumerate() {
            simulation.queue.schedule_at(START_US + spec.at, SimEvent::FaultBegins { fault });
        }
        if visibility == Visibility::Delayed {
            simulation.queue.schedule_after(STATE_REFRESH_US, SimEvent::RefreshServerStates);
        }
        simulation.schedule_arrival();
        simulation
    }

    fn now(&self) -> Micros {
        self.queue.now()
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival => self.handle_arrival(),
            SimEvent::Retry { request } => self.start_try(request),
            SimEvent::RequestArrives { attempt } => self.request_arrives(attempt),
            SimEvent::ServerEnd { server, version } => self.server_end(server, version),
            SimEvent::OutcomeArrives { attempt, outcome } => self.outcome_arrives(attempt, outcome),
            SimEvent::Timeout { attempt } => self.timeout(attempt),
            SimEvent::CancelArrives { attempt } => self.cancel_arrives(attempt),
            SimEvent::AnswerDeadline { call } => self.check_answered(call),
            SimEvent::PolicyTimer { proxy, incarnation }
                if self.proxies[proxy].incarnation == incarnation =>
            {
                self.deliver_event(proxy, Event::Timer);
            }
            SimEvent::PolicyTimer { .. } => {}
            SimEvent::ListUpdate { proxy, server, state, started } => {
                self.list_update_arrives(proxy, server, state, started)
            }
            SimEvent::FaultBegins { fault } => self.begin_fault(fault),
            SimEvent::FaultEnds { fault, server } => self.end_fault(fault, server),
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
