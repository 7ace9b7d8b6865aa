//! The day as it goes: who sends what to whom, when it arrives, and what that brings.

use crate::chance::{self, jitter, Part};
use crate::judge::{End, Judge, Verdict};
use crate::policy::{Kind, Policy, Sight, Truth};
use crate::queue::Queue;
use crate::scenario::{Again, Scenario, Trouble, What};
use crate::server::{Server, Taken};
use oakport_core::{
    Action, CallId, Class, ClassId, Entry, Event, Limits, ListKind, Load, Micros, Outcome, Repeat, Rules,
    ServerId, Settings, State, ZoneId,
};
use rand::seq::SliceRandom;
use rand::Rng;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64;
use std::collections::VecDeque;

/// Start of the day on its clock: servers that started before it are warm.
const START: Micros = 1_000_000_000;
/// Attempts for a request at the most.
const ATTEMPTS: u32 = 3;
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
    News { proxy: usize, server: usize, state: State, started: Micros },
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
    told: Vec<Option<(State, Micros, Micros)>>,
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
    /// Sums of the proxies' parts of the requests.
    shares: Vec<f64>,
    requests: Vec<Request>,
    calls: Vec<Call>,
    attempts: Vec<Attempt>,
    truth: Vec<Truth>,
    surge: f64,
    arrivals: Pcg64,
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
        let mut sum = 0.0;
        let shares = (0..scenario.balancers).map(|_| {
            sum += (scenario.uneven * 2.0 * (fleet.gen::<f64>() * 2.0 - 1.0)).exp();
            sum
        });
        let shares = shares.collect();
        let mut world = World {
            scenario,
            seed,
            make,
            sight,
            queue: Queue::new(START),
            servers,
            proxies: Vec::new(),
            shares,
            requests: Vec::new(),
            calls: Vec::new(),
            attempts: Vec::new(),
            truth: Vec::new(),
            surge: 1.0,
            arrivals: chance::stream(seed, Part::Arrivals),
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
            let policy = make(chance::seed_of(seed, number), &settings(scenario, zone));
            let told = vec![Some((State::Ready, 0, START)); scenario.servers];
            world.proxies.push(Proxy { policy, zone, life: 0, told, events: VecDeque::new() });
            world.start(number, ListKind::Full);
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
                self.tell(server, State::Draining);
                self.queue.after(DRAIN, Happening::Replace { server });
            }
            Happening::Replace { server } => self.replace(server),
            Happening::Look => {
                self.look();
                self.queue.after(LATE, Happening::Look);
            }
        }
    }

    // Clients.

    fn next_arrival(&mut self) {
        let gap: f64 = Exp1.sample(&mut self.arrivals);
        let at = self.now() + (gap * 1e6 / (self.scenario.rate * self.surge)) as Micros;
        if at < START + self.scenario.length {
            self.queue.at(at, Happening::Arrival);
        }
    }

    fn arrival(&mut self) {
        let total: f64 = self.scenario.classes.iter().map(|c| c.share).sum();
        let mut mark = self.arrivals.gen::<f64>() * total;
        let last = self.scenario.classes.len() - 1;
        let found = self.scenario.classes.iter().position(|c| {
            mark -= c.share;
            mark < 0.0
        });
        let class = found.unwrap_or(last);
        let spec = &self.scenario.classes[class];
        let work = spec.spread.draw(spec.work as f64, &mut self.arrivals).max(1.0);
        let mark = self.arrivals.gen::<f64>() * self.shares.last().copied().unwrap_or(1.0);
        let proxy = self.shares.partition_point(|sum| *sum <= mark).min(self.proxies.len() - 1);
        let asked = self.now();
        self.judge.asked(class, asked - START, work);
        self.requests.push(Request { class, proxy, asked, work, tries: 0, ended: false });
        self.try_again(self.requests.len() - 1);
        self.next_arrival();
    }

    /// A client's try reaches its proxy.
    fn try_again(&mut self, number: usize) {
        let now = self.now();
        let patience = self.scenario.clients.patience;
        let Request { class, proxy, asked, tries, .. } = self.requests[number];
        let spec = &self.scenario.classes[class];
        let left = (asked + spec.deadline).saturating_sub(now);
        let share = patience + (1.0 - patience) * self.clients.gen::<f64>();
        let time_left = ((spec.deadline as f64 * share) as Micros).min(left);
        if time_left < 2_000 {
            return self.done(number, End::Failed);
        }
        self.requests[number].tries += 1;
        self.judge.tries += 1;
        let (call, deadline) = (self.calls.len(), now + time_left);
        self.calls.push(Call { request: number, proxy, deadline, open: true, attempts: Vec::new() });
        self.queue.at(deadline + SLACK, Happening::Backstop { call });
        let event = Event::Request {
            call: CallId(call as u64),
            class: ClassId(class),
            tenant: None,
            time_left,
            resent: tries > 0,
        };
        self.event(proxy, event);
    }

    /// A client hears that its try has ended unserved.
    fn unserved(&mut self, number: usize, may_come: bool, told: Micros, end: End) {
        let spec = &self.scenario.clients;
        let Request { class, asked, tries, ended, .. } = self.requests[number];
        if ended {
            return;
        }
        let wait = jitter(spec.wait, 0.5, &mut self.clients);
        let told = if spec.heed_retry_after { told.min(spec.retry_after_most) } else { 0 };
        let at = self.now() + wait.max(told);
        if may_come && tries <= spec.retries && at < asked + self.scenario.classes[class].deadline {
            self.queue.at(at, Happening::Retry { request: number });
        } else {
            self.done(number, end);
        }
    }

    fn done(&mut self, number: usize, end: End) {
        let now = self.now() - START;
        let request = &mut self.requests[number];
        if !std::mem::replace(&mut request.ended, true) {
            self.judge.ended(request.class, request.asked - START, now, end);
        }
    }

    /// What is open when the day is over has failed.
    fn give_up_rest(&mut self) {
        for number in 0..self.requests.len() {
            self.done(number, End::Failed);
        }
    }

    // Proxies.

    fn start(&mut self, proxy: usize, kind: ListKind) {
        self.event(proxy, Event::Start);
        let told = &self.proxies[proxy].told;
        let known = told.iter().enumerate().filter_map(|(server, told)| {
            let (state, started, _) = (*told)?;
            (state != State::Gone).then(|| self.entry(server, state, started))
        });
        let entries = known.collect();
        self.event(proxy, Event::Members { kind, entries });
    }

    fn entry(&self, server: usize, state: State, started: Micros) -> Entry {
        let zone = ZoneId(self.servers[server].zone as u32);
        Entry { server: ServerId(server as u32), state, zone, started, weight: 1.0, ..Entry::default() }
    }

    /// Hands an event to a proxy's policy and carries out what it says.
    fn event(&mut self, proxy: usize, event: Event) {
        self.proxies[proxy].events.push_back(event);
        // What an action brings at once waits until the actions before it are carried out.
        if std::mem::replace(&mut self.acting, true) {
            return;
        }
        while let Some(event) = self.proxies[proxy].events.pop_front() {
            if self.sight == Sight::Now {
                self.look();
            }
            let mut actions = std::mem::take(&mut self.actions);
            self.proxies[proxy].policy.handle(self.queue.now(), event, &self.truth, &mut actions);
            for action in actions.drain(..) {
                self.act(proxy, action);
            }
            self.actions = actions;
        }
        self.acting = false;
    }

    fn act(&mut self, proxy: usize, action: Action) {
        match action {
            Action::Send { call, server, until } => self.send(proxy, call, server, until),
            Action::Refuse { call, retry_after } => self.answer(proxy, call, Some(retry_after)),
            Action::Fail { call } => self.answer(proxy, call, None),
            Action::Cancel { call, attempt } => {
                let attempts = self.calls.get(call.0 as usize).map(|c| &c.attempts);
                let Some(&number) = attempts.and_then(|a| a.get(attempt as usize)) else { return };
                self.abandon(number);
                self.outcome(number, Outcome::CalledOff);
            }
            Action::Wake { after } => {
                let life = self.proxies[proxy].life;
                self.queue.after(after, Happening::Wake { proxy, life });
            }
            // A site without probes, and with a list that comes by itself.
            Action::Probe { server } => self.proxies[proxy].events.push_back(Event::Probed {
                server,
                outcome: Outcome::NotSent,
                elapsed: 0,
                load: Load::default(),
            }),
            Action::Subscribe | Action::Log(_) => {}
        }
    }

    /// The proxy's final answer that serves nobody.
    fn answer(&mut self, proxy: usize, id: CallId, refused: Option<Micros>) {
        let at = self.now() - START;
        let Some(call) = self.calls.get_mut(id.0 as usize).filter(|c| c.proxy == proxy) else { return };
        if !std::mem::replace(&mut call.open, false) {
            return self.judge.broke("a second final answer", at, proxy, Some(id), None);
        }
        let request = call.request;
        let outcomes = call.attempts.iter().map(|&a| self.attempts[a].outcome);
        let class = self.requests[request].class;
        let harmless = self.judge.harmless(class, outcomes);
        if refused.is_some() && !harmless {
            self.judge.broke("refused though it may have run", at, proxy, Some(id), None);
        }
        match refused {
            Some(told) => self.unserved(request, true, told, End::Refused),
            None => {
                let free = self.scenario.classes[class].idempotency == Again::Free;
                self.unserved(request, free, 0, End::Failed);
            }
        }
    }

    /// The client's time is up and it has no answer: the rule on lost requests is broken.
    fn backstop(&mut self, number: usize) {
        let at = self.now() - START;
        let call = &mut self.calls[number];
        if std::mem::replace(&mut call.open, false) {
            let (proxy, request) = (call.proxy, call.request);
            self.judge.broke("no answer in time", at, proxy, Some(CallId(number as u64)), None);
            self.done(request, End::Failed);
        }
    }

    fn send(&mut self, proxy: usize, id: CallId, server: ServerId, until: Option<Micros>) {
        let (now, place) = (self.now(), server.0 as usize);
        let at = now - START;
        let Some(call) = self.calls.get(id.0 as usize).filter(|c| c.proxy == proxy) else { return };
        let (open, deadline) = (call.open, call.deadline);
        let class = self.requests[call.request].class;
        let mut outcomes = call.attempts.iter().map(|&a| self.attempts[a].outcome);
        let harmless = self.judge.harmless(class, &mut outcomes);
        let rule = match self.proxies[proxy].told.get(place).copied().flatten() {
            None => Some("sent to a server that no list named"),
            Some((state, _, since))
                if state != State::Ready && now > since + self.scenario.discovery.drain_grace =>
            {
                Some("sent to a server past its drain window")
            }
            _ if !open => Some("sent after the final answer"),
            _ if !harmless => Some("sent again though it may have run"),
            _ => None,
        };
        if let Some(rule) = rule {
            self.judge.broke(rule, at, proxy, Some(id), Some(server));
        }
        let until = until.unwrap_or(Micros::MAX).min(deadline);
        let number = self.attempts.len();
        let call = &mut self.calls[id.0 as usize];
        let (sent, reached, linked) = (now, false, false);
        let attempt = Attempt {
            call: id.0 as usize,
            number: call.attempts.len() as u32,
            server: place,
            sent,
            until,
            reached,
            outcome: None,
            linked,
        };
        call.attempts.push(number);
        self.attempts.push(attempt);
        if place >= self.servers.len() || !open || until <= now {
            return self.outcome(number, Outcome::NotSent);
        }
        self.judge.attempts += 1;
        self.judge.crossings += u64::from(self.servers[place].zone != self.proxies[proxy].zone);
        self.queue.at(until, Happening::Timeout { attempt: number });
        self.connect(number, proxy, place);
    }

    fn connect(&mut self, number: usize, proxy: usize, place: usize) {
        let (now, way) = (self.now(), self.way(proxy, place));
        let server = &mut self.servers[place];
        if server.health.silent {
            // It never comes up.
            let connect_timeout = self.scenario.network.connect_timeout;
            let outcome = Outcome::NoConnection;
            return self.queue.after(connect_timeout, Happening::AtProxy { attempt: number, outcome });
        }
        let link = if server.up && !server.fallen { server.link(now, proxy) } else { None };
        let Some(kept) = link else {
            let outcome = Outcome::NoConnection;
            return self.queue.after(2 * way, Happening::AtProxy { attempt: number, outcome });
        };
        self.attempts[number].linked = true;
        self.judge.handshakes += u64::from(!kept);
        let way = if kept { way } else { 3 * way };
        self.queue.after(way, Happening::AtServer { attempt: number });
    }

    /// One way between a proxy and a server, as it is this time.
    fn way(&mut self, proxy: usize, server: usize) -> Micros {
        let network = &self.scenario.network;
        let near = self.proxies[proxy].zone == self.servers[server].zone;
        jitter(if near { network.within } else { network.across }, network.jitter, &mut self.luck)
    }

    /// An answer, or what stands for it, reaches the proxy.
    fn at_proxy(&mut self, number: usize, outcome: Outcome) {
        let Attempt { server, call, .. } = self.attempts[number];
        if self.servers[server].health.silent && outcome != Outcome::NoConnection {
            // Lost on the way; the proxy's own time ends it.
            return;
        }
        if self.attempts[number].outcome.is_some() {
            if outcome == Outcome::Served {
                let request = self.calls[call].request;
                self.judge.wasted_work += self.requests[request].work;
            }
            return;
        }
        self.outcome(number, outcome);
    }

    fn timeout(&mut self, number: usize) {
        if self.attempts[number].outcome.is_none() {
            let outcome =
                if self.attempts[number].reached { Outcome::TimedOut } else { Outcome::NoConnection };
            self.abandon(number);
            self.outcome(number, outcome);
        }
    }

    /// The proxy closes the connection of an attempt: its server hears of it.
    fn abandon(&mut self, number: usize) {
        let Attempt { call, server, outcome, .. } = self.attempts[number];
        if outcome.is_none() && server < self.servers.len() {
            let way = self.way(self.calls[call].proxy, server);
            self.queue.after(way, Happening::DropAt { attempt: number });
        }
    }

    /// The first outcome of an attempt, which its proxy is told.
    fn outcome(&mut self, number: usize, outcome: Outcome) {
        let now = self.now();
        let attempt = &mut self.attempts[number];
        if attempt.outcome.is_some() {
            return;
        }
        attempt.outcome = Some(outcome);
        let (id, elapsed, server) = (attempt.call, now - attempt.sent, attempt.server);
        let (attempt_number, linked) = (attempt.number, attempt.linked);
        let Call { proxy, request, open, .. } = self.calls[id];
        if linked {
            let keep = matches!(outcome, Outcome::Served | Outcome::Error | Outcome::TurnedAway);
            self.servers[server].unlink(now, proxy, keep);
        }
        if outcome == Outcome::Served {
            if open {
                self.calls[id].open = false;
                self.done(request, End::Served(now - self.requests[request].asked));
            } else {
                self.judge.wasted_work += self.requests[request].work;
            }
        }
        let closed = !self.calls[id].open;
        let call = CallId(id as u64);
        let load = Load::default();
        let event = Event::Outcome { call, attempt: attempt_number, outcome, elapsed, closed, load };
        self.event(proxy, event);
    }

    // Servers.

    fn at_server(&mut self, number: usize) {
        let now = self.now();
        let Attempt { server: place, call, outcome, until, .. } = self.attempts[number];
        let (work, proxy) = (self.requests[self.calls[call].request].work, self.calls[call].proxy);
        let server = &mut self.servers[place];
        if server.health.silent {
            return;
        }
        self.attempts[number].reached = true;
        if !server.up || server.fallen {
            return self.reply(number, Outcome::Reset, 0);
        }
        if server.flooded(now, work) {
            self.judge.fallen += 1;
            self.judge.broke(
                "a cold server was pushed over",
                now - START,
                proxy,
                None,
                Some(ServerId(place as u32)),
            );
            self.fall(place);
            return;
        }
        // What its client has given up meanwhile is seen as it arrives.
        if outcome.is_some() || until <= now {
            return;
        }
        let (errors, resets) = (server.health.errors, server.health.resets);
        if server.draining {
            return self.reply(number, Outcome::TurnedAway, 0);
        }
        if errors && self.luck.gen_bool(0.5) {
            return self.reply(number, Outcome::Error, FAST);
        }
        if resets && self.luck.gen_bool(1.0 / 3.0) {
            return self.reply(number, Outcome::Reset, FAST);
        }
        match self.servers[place].take(now, number, work) {
            Taken::Full => self.reply(number, Outcome::TurnedAway, 0),
            Taken::Yes => self.foresee(place),
        }
    }

    /// Sends an answer on its way.
    fn reply(&mut self, number: usize, outcome: Outcome, after: Micros) {
        let Attempt { server, call, .. } = self.attempts[number];
        let way = self.way(self.calls[call].proxy, server);
        self.queue.after(after + way, Happening::AtProxy { attempt: number, outcome });
    }

    fn foresee(&mut self, place: usize) {
        let now = self.now();
        let version = self.servers[place].version;
        if let Some(at) = self.servers[place].next_end(now) {
            self.queue.at(at, Happening::ServerEnd { server: place, version });
        }
    }

    fn server_end(&mut self, place: usize, version: u64) {
        if self.servers[place].version != version {
            return;
        }
        let now = self.now();
        while let Some(number) = self.servers[place].ended(now) {
            self.reply(number, Outcome::Served, 0);
        }
        self.foresee(place);
    }

    fn drop_at(&mut self, number: usize) {
        let (now, place) = (self.now(), self.attempts[number].server);
        if self.servers[place].health.silent {
            return;
        }
        if let Some(left) = self.servers[place].drop_work(now, number) {
            let request = self.calls[self.attempts[number].call].request;
            self.judge.wasted_work += (self.requests[request].work - left).max(0.0);
            self.foresee(place);
        }
    }

    /// All that a server holds breaks off.
    fn fall(&mut self, place: usize) {
        let now = self.now();
        for number in self.servers[place].stop(now) {
            self.reply(number, Outcome::Reset, 0);
        }
    }

    // The list.

    /// News of a server goes to all proxies.
    fn tell(&mut self, server: usize, state: State) {
        let delay = self.scenario.discovery.delay;
        let started = self.servers[server].started;
        for proxy in 0..self.proxies.len() {
            let delay = jitter(delay, 0.5, &mut self.fleet);
            self.queue.after(delay, Happening::News { proxy, server, state, started });
        }
    }

    fn news(&mut self, proxy: usize, server: usize, state: State, started: Micros) {
        let now = self.now();
        let told = &mut self.proxies[proxy].told;
        if told.len() <= server {
            told.resize(server + 1, None);
        }
        // News that overtake others are not taken back by them.
        if told[server]
            .is_some_and(|(old, since, _)| since > started || since == started && old == State::Gone)
        {
            return;
        }
        let since = match told[server] {
            Some((old, _, since)) if old != State::Ready && state != State::Ready => since,
            _ => now,
        };
        told[server] = Some((state, started, since));
        let entries = vec![self.entry(server, state, started)];
        self.event(proxy, Event::Members { kind: ListKind::Delta, entries });
    }

    /// A machine goes, and another comes in its place, cold.
    fn replace(&mut self, place: usize) {
        let now = self.now();
        self.fall(place);
        self.tell(place, State::Gone);
        let zone = self.servers[place].zone;
        self.servers.push(Server::new(&self.scenario.server, zone, now));
        self.look();
        self.tell(self.servers.len() - 1, State::Ready);
    }

    /// What the ceiling's policies see.
    fn look(&mut self) {
        let now = self.queue.now();
        let truth = self.servers.iter().map(|server| Truth {
            backlog: server.backlog(),
            capacity: server.capacity(now),
            serves: server.serves() && !server.draining && !server.health.hangs && server.holds_more(),
            zone: ZoneId(server.zone as u32),
        });
        self.truth.clear();
        self.truth.extend(truth);
    }

    // Troubles.

    /// The servers that a trouble meets.
    fn met(&mut self, spec: &Trouble) -> Vec<usize> {
        let zone = spec.zone.as_ref().and_then(|zone| self.scenario.zones.iter().position(|z| z == zone));
        let running = (0..self.servers.len()).filter(|&s| self.servers[s].up && !self.servers[s].draining);
        let mut met: Vec<usize> =
            running.filter(|&s| zone.is_none_or(|z| self.servers[s].zone == z)).collect();
        if zone.is_none() {
            let count = (met.len() as f64 * spec.part).round() as usize;
            met.shuffle(&mut self.faults);
            met.truncate(count);
        }
        met
    }

    fn begin(&mut self, trouble: usize) {
        let spec = self.scenario.events[trouble].clone();
        match spec.what {
            What::Surge => {
                self.surge *= spec.factor;
                self.queue.after(spec.lasts, Happening::Finish { trouble, server: 0 });
                return;
            }
            What::Herd => return self.herd(&spec),
            What::Release => {
                let met = self.met(&spec);
                let step = spec.lasts / met.len().max(1) as Micros;
                for (place, server) in met.into_iter().enumerate() {
                    self.queue.after(step * place as Micros, Happening::Drain { server });
                }
                return;
            }
            _ => {}
        }
        let now = self.now();
        for server in self.met(&spec) {
            let health = &mut self.servers[server].health;
            match spec.what {
                What::Slow => {
                    self.servers[server].advance(now);
                    self.servers[server].health.slow = spec.factor;
                    self.servers[server].version += 1;
                }
                What::Hang => {
                    self.servers[server].advance(now);
                    self.servers[server].health.hangs = true;
                    self.servers[server].version += 1;
                }
                What::Error => health.errors = true,
                What::Reset => health.resets = true,
                What::Silent => health.silent = true,
                _ => {
                    self.fall(server);
                    self.tell(server, State::Gone);
                }
            }
            self.foresee(server);
            self.queue.after(spec.lasts, Happening::Finish { trouble, server });
        }
    }

    fn finish(&mut self, trouble: usize, server: usize) {
        let now = self.now();
        match self.scenario.events[trouble].what {
            What::Surge => self.surge /= self.scenario.events[trouble].factor,
            What::Crash => {
                self.servers[server].restart(now);
                self.tell(server, State::Ready);
            }
            _ => {
                self.servers[server].advance(now);
                self.servers[server].health = Default::default();
                self.servers[server].version += 1;
                self.foresee(server);
            }
        }
    }

    /// Client proxies die at once and start again from what they were told.
    fn herd(&mut self, spec: &Trouble) {
        let mut all: Vec<usize> = (0..self.proxies.len()).collect();
        all.shuffle(&mut self.faults);
        all.truncate((self.proxies.len() as f64 * spec.part).round() as usize);
        for &number in &all {
            for call in 0..self.calls.len() {
                if self.calls[call].proxy != number || !self.calls[call].open {
                    continue;
                }
                self.calls[call].open = false;
                for attempt in self.calls[call].attempts.clone() {
                    self.abandon(attempt);
                    self.attempts[attempt].outcome.get_or_insert(Outcome::Unknown);
                }
                let request = self.calls[call].request;
                let free = self.scenario.classes[self.requests[request].class].idempotency == Again::Free;
                self.unserved(request, free, 0, End::Failed);
            }
        }
        for number in all {
            self.servers.iter_mut().for_each(|server| server.forget(number));
            let seed = self.fleet.gen::<u64>() ^ chance::seed_of(self.seed, number);
            let proxy = &mut self.proxies[number];
            proxy.life += 1;
            proxy.events.clear();
            proxy.policy = (self.make)(seed, &settings(self.scenario, proxy.zone));
            self.start(number, ListKind::Cached);
        }
    }
}

/// What a proxy in this zone is told of the site.
fn settings(scenario: &Scenario, zone: usize) -> Settings {
    let classes = scenario.classes.iter().map(|c| Class {
        aim: c.aim,
        deadline: c.deadline,
        worth: c.worth,
        late_value: 0.0,
        repeat: if c.idempotency == Again::Free { Repeat::Free } else { Repeat::SingleShot },
        live: true,
    });
    let (base, goal, server) = (Settings::default(), &scenario.goal, &scenario.server);
    Settings {
        balancers: scenario.balancers as u32,
        zone: ZoneId(zone as u32),
        classes: classes.collect(),
        limits: Limits {
            cancel: true,
            probes: false,
            second_copies: true,
            max_attempts: ATTEMPTS,
            max_retry_after: scenario.clients.retry_after_most,
            max_streams: 1,
        },
        rules: Rules {
            cold_share: server.cold_share,
            cold_time: server.cold_time,
            fall_multiple: server.fall_multiple,
            fall_time: server.fall_time,
            drain_grace: scenario.discovery.drain_grace,
            ask_every: base.rules.ask_every,
        },
        goal: oakport_core::Goal {
            whole: goal.whole,
            worst_class: goal.worst_class,
            worst_tenant: 0.0,
            worst_window: goal.worst_window,
        },
        charges: oakport_core::Charges {
            cross_zone: goal.cross_zone,
            probe: 0.0,
            handshake: goal.handshake,
            waste: goal.waste,
            late_fail: goal.late_fail,
        },
        ..base
    }
}
