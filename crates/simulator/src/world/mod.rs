//! The day as it goes: who sends what to whom, when it arrives, and what that brings.

mod clients;
mod fleet;
mod proxies;
mod site;
mod troubles;

use crate::arrivals::{Arrival, Arrivals};
use crate::chance::{self, jitter, StreamId};
use crate::judge::{RequestOutcome, Judge, Verdict};
use crate::policy::{PolicyKind, Policy, Visibility, ServerState};
use crate::queue::EventQueue;
use crate::scenario::{IdempotencySpec, Scenario, FaultSpec, FaultKind};
use crate::server::{Server, Admission};
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
    AtServer { attempt: usize },
    ServerEnd { server: usize, version: u64 },
    AtProxy { attempt: usize, outcome: Outcome },
    Timeout { attempt: usize },
    DropAt { attempt: usize },
    Backstop { call: usize },
    Wake { proxy: usize, life: u32 },
    News { proxy: usize, server: usize, state: EndpointState, started: Micros },
    Begin { trouble: usize },
    Finish { trouble: usize, server: usize },
    Drain { server: usize },
    Replace { server: usize },
    Look,
}

/// A client's request, over all its tries.
struct Request {
    class: usize,
    proxy: usize,
    asked: Micros,
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
    sent: Micros,
    until: Micros,
    reached: bool,
    outcome: Option<Outcome>,
    linked: bool,
}

/// A client proxy.
struct Proxy {
    policy: Box<dyn Policy>,
    zone: usize,
    /// Counts its processes.
    life: u32,
    /// What it has been told of each server, and since when.
    told: Vec<Option<(EndpointState, Micros, Micros)>>,
    events: VecDeque<Event>,
}

/// A fleet in the middle of a day.
struct Simulation<'a> {
    scenario: &'a Scenario,
    seed: u64,
    make: &'a MakePolicy<'a>,
    sight: Visibility,
    queue: EventQueue<SimEvent>,
    servers: Vec<Server>,
    proxies: Vec<Proxy>,
    requests: Vec<Request>,
    calls: Vec<Call>,
    attempts: Vec<Attempt>,
    truth: Vec<ServerState>,
    surge: f64,
    arrivals: Arrivals,
    luck: Pcg64,
    clients: Pcg64,
    fleet: Pcg64,
    faults: Pcg64,
    judge: Judge,
    actions: Vec<Action>,
    /// Actions are being carried out.
    acting: bool,
}

/// Makes the policy of a client proxy from a seed and what it is told of the site.
pub type MakePolicy<'a> = dyn Fn(u64, &Settings) -> Box<dyn Policy> + 'a;

/// Plays a day with one policy.
pub fn simulate(scenario: &Scenario, kind: PolicyKind, seed: u64) -> Verdict {
    simulate_with(scenario, kind.name(), kind.sight(), &|seed, settings| kind.make(seed, settings), seed)
}

/// Plays a day with a policy that is not one of the kinds, under this name.
pub fn simulate_with(
    scenario: &Scenario,
    name: &'static str,
    sight: Visibility,
    make: &MakePolicy<'_>,
    seed: u64,
) -> Verdict {
    let mut world = Simulation::new(scenario, sight, make, seed);
    let end = START_US + scenario.length + MAX_TAIL_US;
    while let Some(what) = world.queue.next() {
        if world.queue.now() > end {
            break;
        }
        world.happens(what);
    }
    let events = world.queue.count();
    world.give_up_rest();
    world.judge.verdict(name, scenario, events)
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, sight: Visibility, make: &'a MakePolicy<'a>, seed: u64) -> Self {
        let mut fleet = chance::stream(seed, StreamId::Fleet);
        let zones = scenario.zones.len();
        let servers = (0..scenario.servers).map(|n| Server::new(&scenario.server, n % zones, 0)).collect();
        let arrivals = Arrivals::new(scenario, seed, &mut fleet);
        let mut world = Simulation {
            scenario,
            seed,
            make,
            sight,
            queue: EventQueue::new(START_US),
            servers,
            proxies: Vec::new(),
            requests: Vec::new(),
            calls: Vec::new(),
            attempts: Vec::new(),
            truth: Vec::new(),
            surge: 1.0,
            arrivals,
            luck: chance::stream(seed, StreamId::Luck),
            clients: chance::stream(seed, StreamId::Clients),
            fleet,
            faults: chance::stream(seed, StreamId::Faults),
            judge: Judge::new(scenario),
            actions: Vec::new(),
            acting: false,
        };
        world.look();
        for number in 0..scenario.balancers {
            let zone = number % zones;
            let policy = make(chance::policy_seed(seed, number), &site::settings(scenario, zone));
            let told = vec![Some((EndpointState::Ready, 0, START_US)); scenario.servers];
            world.proxies.push(Proxy { policy, zone, life: 0, told, events: VecDeque::new() });
            world.start(number, ListUpdateKind::Snapshot);
        }
        for (trouble, spec) in scenario.events.iter().enumerate() {
            world.queue.at(START_US + spec.at, SimEvent::Begin { trouble });
        }
        if sight == Visibility::Late {
            world.queue.after(STATE_REFRESH_US, SimEvent::Look);
        }
        world.next_arrival();
        world
    }

    fn now(&self) -> Micros {
        self.queue.now()
    }

    fn happens(&mut self, what: SimEvent) {
        match what {
            SimEvent::Arrival => self.arrival(),
            SimEvent::Retry { request } => self.try_again(request),
            SimEvent::AtServer { attempt } => self.at_server(attempt),
            SimEvent::ServerEnd { server, version } => self.server_end(server, version),
            SimEvent::AtProxy { attempt, outcome } => self.at_proxy(attempt, outcome),
            SimEvent::Timeout { attempt } => self.timeout(attempt),
            SimEvent::DropAt { attempt } => self.drop_at(attempt),
            SimEvent::Backstop { call } => self.backstop(call),
            SimEvent::Wake { proxy, life } if self.proxies[proxy].life == life => {
                self.event(proxy, Event::Timer);
            }
            SimEvent::Wake { .. } => {}
            SimEvent::News { proxy, server, state, started } => self.news(proxy, server, state, started),
            SimEvent::Begin { trouble } => self.begin(trouble),
            SimEvent::Finish { trouble, server } => self.finish(trouble, server),
            SimEvent::Drain { server } => {
                self.servers[server].draining = true;
                self.tell(server, EndpointState::Draining);
                self.queue.after(DRAIN_TIMEOUT_US, SimEvent::Replace { server });
            }
            SimEvent::Replace { server } => self.replace(server),
            SimEvent::Look => {
                self.look();
                self.queue.after(STATE_REFRESH_US, SimEvent::Look);
            }
        }
    }
}
