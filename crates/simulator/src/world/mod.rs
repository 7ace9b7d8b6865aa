//! The day as it goes: who sends what to whom, when it arrives, and what that brings.

mod clients;
mod fleet;
mod proxies;
mod site;
mod troubles;

use crate::arrivals::{Arrival, Arrivals};
use crate::chance::{self, jitter, Part};
use crate::judge::{End, Judge, Verdict};
use crate::policy::{Kind, Policy, Sight, Truth};
use crate::queue::Queue;
use crate::scenario::{Again, Scenario, Trouble, What};
use crate::server::{Server, Taken};
use oakport_core::{
    Action, CallId, ClassId, EndpointId, EndpointInfo, EndpointState, Event, ListUpdateKind, LoadReport,
    Micros, Outcome, Settings, ZoneId,
};
use rand::seq::SliceRandom;
use rand::Rng;
use rand_pcg::Pcg64;
use std::collections::VecDeque;

/// Start of the day on its clock: servers that started before it are warm.
const START: Micros = 1_000_000_000;
/// Attempts for a request at the most.
pub const ATTEMPTS: u32 = 3;
/// Time after a deadline in which an answer still counts as given (WIRE, `answer_slack_us`).
const SLACK: Micros = 20_000;
/// How long a drained process has for what it holds.
const DRAIN: Micros = 2_000_000;
/// A fast error, or a reset, comes after this.
const FAST: Micros = 1_000;
/// After the last request the day runs on for so long at the most.
const TAIL: Micros = 30_000_000;
/// How old the truth is that the late ceiling sees.
const LATE: Micros = 1_000_000;

#[derive(Debug)]
enum Happening {
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
struct World<'a> {
    scenario: &'a Scenario,
    seed: u64,
    make: &'a Make<'a>,
    sight: Sight,
    queue: Queue<Happening>,
    servers: Vec<Server>,
    proxies: Vec<Proxy>,
    requests: Vec<Request>,
    calls: Vec<Call>,
    attempts: Vec<Attempt>,
    truth: Vec<Truth>,
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
pub type Make<'a> = dyn Fn(u64, &Settings) -> Box<dyn Policy> + 'a;

/// Plays a day with one policy.
pub fn play(scenario: &Scenario, kind: Kind, seed: u64) -> Verdict {
    play_with(scenario, kind.name(), kind.sight(), &|seed, settings| kind.make(seed, settings), seed)
}

/// Plays a day with a policy that is not one of the kinds, under this name.
pub fn play_with(
    scenario: &Scenario,
    name: &'static str,
    sight: Sight,
    make: &Make<'_>,
    seed: u64,
) -> Verdict {
    let mut world = World::new(scenario, sight, make, seed);
    let end = START + scenario.length + TAIL;
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

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, sight: Sight, make: &'a Make<'a>, seed: u64) -> Self {
        let mut fleet = chance::stream(seed, Part::Fleet);
        let zones = scenario.zones.len();
        let servers = (0..scenario.servers).map(|n| Server::new(&scenario.server, n % zones, 0)).collect();
        let arrivals = Arrivals::new(scenario, seed, &mut fleet);
        let mut world = World {
            scenario,
            seed,
            make,
            sight,
            queue: Queue::new(START),
            servers,
            proxies: Vec::new(),
            requests: Vec::new(),
            calls: Vec::new(),
            attempts: Vec::new(),
            truth: Vec::new(),
            surge: 1.0,
            arrivals,
            luck: chance::stream(seed, Part::Luck),
            clients: chance::stream(seed, Part::Clients),
            fleet,
            faults: chance::stream(seed, Part::Faults),
            judge: Judge::new(scenario),
            actions: Vec::new(),
            acting: false,
        };
        world.look();
        for number in 0..scenario.balancers {
            let zone = number % zones;
            let policy = make(chance::seed_of(seed, number), &site::settings(scenario, zone));
            let told = vec![Some((EndpointState::Ready, 0, START)); scenario.servers];
            world.proxies.push(Proxy { policy, zone, life: 0, told, events: VecDeque::new() });
            world.start(number, ListUpdateKind::Snapshot);
        }
        for (trouble, spec) in scenario.events.iter().enumerate() {
            world.queue.at(START + spec.at, Happening::Begin { trouble });
        }
        if sight == Sight::Late {
            world.queue.after(LATE, Happening::Look);
        }
        world.next_arrival();
        world
    }

    fn now(&self) -> Micros {
        self.queue.now()
    }

    fn happens(&mut self, what: Happening) {
        match what {
            Happening::Arrival => self.arrival(),
            Happening::Retry { request } => self.try_again(request),
            Happening::AtServer { attempt } => self.at_server(attempt),
            Happening::ServerEnd { server, version } => self.server_end(server, version),
            Happening::AtProxy { attempt, outcome } => self.at_proxy(attempt, outcome),
            Happening::Timeout { attempt } => self.timeout(attempt),
            Happening::DropAt { attempt } => self.drop_at(attempt),
            Happening::Backstop { call } => self.backstop(call),
            Happening::Wake { proxy, life } if self.proxies[proxy].life == life => {
                self.event(proxy, Event::Timer);
            }
            Happening::Wake { .. } => {}
            Happening::News { proxy, server, state, started } => self.news(proxy, server, state, started),
            Happening::Begin { trouble } => self.begin(trouble),
            Happening::Finish { trouble, server } => self.finish(trouble, server),
            Happening::Drain { server } => {
                self.servers[server].draining = true;
                self.tell(server, EndpointState::Draining);
                self.queue.after(DRAIN, Happening::Replace { server });
            }
            Happening::Replace { server } => self.replace(server),
            Happening::Look => {
                self.look();
                self.queue.after(LATE, Happening::Look);
            }
        }
    }
}
