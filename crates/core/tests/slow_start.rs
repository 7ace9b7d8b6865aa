//! Endpoints in slow start under the calls of all client proxies together.
//!
//! Within any `warm_up_overload_window`, an endpoint in slow start is sent at most its budget of N calls plus
//! a random deviation of 2 sqrt(N) + 2. The test simulates many client proxies that share no state, with
//! random parameters. `--nocapture` prints the results; `LONG=1` runs 1,000 simulations instead of 120.

use oakport_core::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const CORES: usize = 3;
/// Mean work of a call on a warm core, in microseconds.
const MEAN_WORK_US: f64 = 80.0 * MS as f64;
/// Calls that may be queued at a server.
const MAX_QUEUED_CALLS: usize = 60;
const CLIENT_TIMEOUT: Micros = 1_500 * MS;
const START: Micros = 100 * SECOND;
/// All servers are known and warm before this time, at which some of them restart.
const RESTART: Micros = START + 4 * SECOND;
const END: Micros = START + 12 * SECOND;

#[derive(Clone, Copy, Debug)]
struct Parameters {
    proxy_count: usize,
    server_count: usize,
    /// Servers that restart at the same time.
    restarted_count: usize,
    /// Longest delay until a client proxy is notified of the restart.
    max_notice_delay: Micros,
    /// Load divided by the load that all servers can serve when warm.
    load: f64,
    /// Calls of the busiest client proxy divided by those of any other.
    skew: f64,
    /// Share of the calls that are not idempotent.
    non_idempotent_ratio: f64,
    /// Share of the unserved calls that their clients retry.
    retry_ratio: f64,
    /// Whether client retries are marked as such.
    retries_are_marked: bool,
    hedging: bool,
    seed: u64,
}

/// A simulated server.
#[derive(Clone)]
struct Server {
    started_at: Micros,
    /// When each core is free.
    free_at: [Micros; CORES],
    /// When the calls in progress and in the queue end.
    ends: VecDeque<Micros>,
    /// Attempts received during slow start, within the last window.
    received: VecDeque<Micros>,
}

impl Server {
    fn new(started_at: Micros) -> Self {
        Server { started_at, free_at: [0; CORES], ends: VecDeque::new(), received: VecDeque::new() }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    CallArrives { proxy: usize, is_retry: bool },
    ListUpdate { proxy: usize },
    Timer { proxy: usize },
    AttemptEnds { proxy: usize, call: u64, attempt: u32 },
}

struct Call {
    proxy: usize,
    deadline: Micros,
    attempts: Vec<Option<AttemptInFlight>>,
    closed: bool,
}

#[derive(Clone, Copy)]
struct AttemptInFlight {
    sent_at: Micros,
    outcome: Outcome,
}

/// The results of a simulation.
#[derive(Clone, Copy, Debug, Default)]
struct Summary {
    /// Highest number of attempts in a window beyond the budget and the random deviation.
    max_excess: f64,
    /// Highest ratio of the attempts in a window to the budget N.
    max_budget_ratio: f64,
    served: usize,
    arrived: usize,
}

fn settings(parameters: &Parameters) -> Settings {
    let class = |idempotency| Class {
        latency_objective: 400 * MS,
        client_timeout: CLIENT_TIMEOUT,
        priority_weight: 3.0,
        late_weight_ratio: 0.0,
        idempotency,
        active: true,
    };
    let defaults = Settings::default();
    Settings {
        proxy_count: parameters.proxy_count as u32,
        classes: vec![class(Idempotency::Idempotent), class(Idempotency::NonIdempotent)],
        limits: Limits { hedging: parameters.hedging, ..defaults.limits },
        rules: Rules {
            warm_up_initial_ratio: 0.13,
            warm_up_duration: 24 * SECOND,
            warm_up_overload_window: 3 * SECOND,
            ..defaults.rules
        },
        ..defaults
    }
}

fn entry(server: usize, started_at: Micros) -> EndpointInfo {
    EndpointInfo {
        id: EndpointId(server as u32),
        state: EndpointState::Ready,
        started_at,
        zone: ZoneId(server as u32 % 3),
        ..EndpointInfo::default()
    }
}

struct Simulation {
    parameters: Parameters,
    rules: Rules,
    random: Pcg32,
    balancers: Vec<Balancer>,
    servers: Vec<Server>,
    calls: Vec<Call>,
    queue: BinaryHeap<Reverse<(Micros, u64, ScheduledEvent)>>,
    scheduled_count: u64,
    summary: Summary,
}

fn simulate(parameters: &Parameters) -> Summary {
    let mut simulation = Simulation::new(parameters);
    simulation.run();
    simulation.summary
}

impl Simulation {
    fn new(parameters: &Parameters) -> Self {
        let settings = settings(parameters);
        let balancer = |proxy| Balancer::new(parameters.seed ^ proxy as u64, settings.clone());
        Simulation {
            parameters: *parameters,
            rules: settings.rules,
            random: Pcg32::seed_from_u64(parameters.seed),
            balancers: (0..parameters.proxy_count).map(balancer).collect(),
            servers: vec![Server::new(0); parameters.server_count],
            calls: Vec::new(),
            queue: BinaryHeap::new(),
            scheduled_count: 0,
            summary: Summary::default(),
        }
    }

    fn schedule(&mut self, at: Micros, scheduled: ScheduledEvent) {
        self.scheduled_count += 1;
        self.queue.push(Reverse((at, self.scheduled_count, scheduled)));
    }

    /// Random time to the next call of a client proxy.
    fn arrival_gap(&mut self, proxy: usize) -> Micros {
        let weight = |proxy: usize| if proxy == 0 { self.parameters.skew } else { 1.0 };
        let total_weight: f64 = (0..self.parameters.proxy_count).map(weight).sum();
        let calls_per_us =
            self.parameters.load * (self.parameters.server_count * CORES) as f64 / MEAN_WORK_US;
        let rate = calls_per_us * weight(proxy) / total_weight;
        (-(1.0 - self.random.gen::<f64>()).ln() / rate) as Micros + 1
    }

    fn run(&mut self) {
        let endpoints: Vec<EndpointInfo> = (0..self.parameters.server_count).map(|s| entry(s, 0)).collect();
        for proxy in 0..self.parameters.proxy_count {
            let mut actions = Vec::new();
            let update = Event::EndpointList { kind: ListUpdateKind::Snapshot, endpoints: endpoints.clone() };
            self.balancers[proxy].handle(START, Event::Start, &mut actions);
            self.balancers[proxy].handle(START, update, &mut actions);
            let gap = self.arrival_gap(proxy);
            self.schedule(START + gap, ScheduledEvent::CallArrives { proxy, is_retry: false });
            let delay = self.random.gen_range(0..=self.parameters.max_notice_delay);
            self.schedule(RESTART + delay, ScheduledEvent::ListUpdate { proxy });
        }
        let mut has_restarted = false;
        while let Some(Reverse((now, _, scheduled))) = self.queue.pop() {
            if now >= END {
                break;
            }
            if now >= RESTART && !has_restarted {
                has_restarted = true;
                self.servers[..self.parameters.restarted_count].fill(Server::new(RESTART));
            }
            self.process(now, scheduled);
        }
    }

    fn process(&mut self, now: Micros, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::CallArrives { proxy, is_retry } => {
                let event = self.request(now, proxy, is_retry);
                self.handle(now, proxy, event);
            }
            ScheduledEvent::ListUpdate { proxy } => {
                let endpoints = (0..self.parameters.restarted_count).map(|s| entry(s, RESTART)).collect();
                let kind = ListUpdateKind::Delta;
                self.handle(now, proxy, Event::EndpointList { kind, endpoints });
            }
            ScheduledEvent::Timer { proxy } => self.handle(now, proxy, Event::Timer),
            ScheduledEvent::AttemptEnds { proxy, call, attempt } => {
                if let Some(event) = self.attempt_end(now, call, attempt) {
                    self.handle(now, proxy, event);
                }
            }
        }
    }

    fn request(&mut self, now: Micros, proxy: usize, is_retry: bool) -> Event {
        if !is_retry {
            let gap = self.arrival_gap(proxy);
            self.schedule(now + gap, ScheduledEvent::CallArrives { proxy, is_retry: false });
            self.summary.arrived += 1;
        }
        let call = CallId(self.calls.len() as u64);
        let deadline = now + CLIENT_TIMEOUT;
        self.calls.push(Call { proxy, deadline, attempts: Vec::new(), closed: false });
        Event::Request {
            call,
            class: ClassId(usize::from(self.random.gen_bool(self.parameters.non_idempotent_ratio))),
            tenant: None,
            remaining_time: CLIENT_TIMEOUT,
            is_retry: is_retry && self.parameters.retries_are_marked,
        }
    }

    /// The event for the end of an attempt; `None` if the attempt has been cancelled.
    fn attempt_end(&mut self, now: Micros, id: u64, attempt: u32) -> Option<Event> {
        let call = &mut self.calls[id as usize];
        let AttemptInFlight { sent_at, outcome } = call.attempts[attempt as usize].take()?;
        if outcome == Outcome::Served && !std::mem::replace(&mut call.closed, true) {
            self.summary.served += 1;
        }
        Some(Event::AttemptEnded {
            call: CallId(id),
            attempt,
            outcome,
            elapsed: now - sent_at,
            call_closed: call.closed,
            load: LoadReport::default(),
        })
    }

    fn handle(&mut self, now: Micros, proxy: usize, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.balancers[proxy].handle(now, event, &mut actions);
            for action in actions {
                events.extend(self.carry_out(now, proxy, action));
            }
        }
    }

    /// Carries out an action; returns the event that follows immediately.
    fn carry_out(&mut self, now: Micros, proxy: usize, action: Action) -> Option<Event> {
        match action {
            Action::Send { call, endpoint, timeout_at, .. } => {
                let deadline = self.calls[call.0 as usize].deadline;
                let timeout_at = timeout_at.unwrap_or(Micros::MAX).min(deadline);
                let (ends_at, outcome) = self.serve(endpoint, now, timeout_at);
                let attempts = &mut self.calls[call.0 as usize].attempts;
                attempts.push(Some(AttemptInFlight { sent_at: now, outcome }));
                let attempt = attempts.len() as u32 - 1;
                self.schedule(ends_at, ScheduledEvent::AttemptEnds { proxy, call: call.0, attempt });
                None
            }
            Action::Cancel { call, attempt } => self.cancel(now, call, attempt),
            Action::Reject { call, .. } | Action::Fail { call } => {
                self.calls[call.0 as usize].closed = true;
                let proxy = self.calls[call.0 as usize].proxy;
                if self.random.gen_bool(self.parameters.retry_ratio) {
                    let pause = self.random.gen_range(15..120) * MS;
                    self.schedule(now + pause, ScheduledEvent::CallArrives { proxy, is_retry: true });
                }
                None
            }
            Action::SetTimer { after } => {
                self.schedule(now + after, ScheduledEvent::Timer { proxy });
                None
            }
            Action::PollEndpointList | Action::PollLoad { .. } | Action::Log(_) => None,
        }
    }

    fn cancel(&mut self, now: Micros, id: CallId, attempt: u32) -> Option<Event> {
        let call = &mut self.calls[id.0 as usize];
        let AttemptInFlight { sent_at, .. } = call.attempts[attempt as usize].take()?;
        Some(Event::AttemptEnded {
            call: id,
            attempt,
            outcome: Outcome::Cancelled,
            elapsed: now - sent_at,
            call_closed: call.closed,
            load: LoadReport::default(),
        })
    }

    /// Serves an attempt that arrives at a server; returns when the attempt ends, and its outcome.
    fn serve(&mut self, endpoint: EndpointId, now: Micros, timeout_at: Micros) -> (Micros, Outcome) {
        let server = &mut self.servers[endpoint.0 as usize];
        let factor = warm_up_factor(server, now, &self.rules);
        if factor < 1.0 {
            count_received(server, now, factor, &self.rules, &mut self.summary);
        }
        while server.ends.front().is_some_and(|&at| at <= now) {
            server.ends.pop_front();
        }
        if server.ends.len() >= MAX_QUEUED_CALLS + CORES {
            return (now + MS, Outcome::Rejected);
        }
        let work_us = -(1.0 - self.random.gen::<f64>()).ln() * MEAN_WORK_US / factor;
        let core = (0..CORES).min_by_key(|&core| server.free_at[core]).expect("a core");
        let done_at = server.free_at[core].max(now) + work_us as Micros + 1;
        if done_at > timeout_at && server.free_at[core] >= timeout_at {
            // The attempt times out in the queue and is removed.
            return (timeout_at, Outcome::TimedOut);
        }
        server.free_at[core] = done_at;
        let position = server.ends.partition_point(|&at| at <= done_at);
        server.ends.insert(position, done_at);
        if done_at <= timeout_at {
            (done_at, Outcome::Served)
        } else {
            (timeout_at, Outcome::TimedOut)
        }
    }
}

fn warm_up_factor(server: &Server, now: Micros, rules: &Rules) -> f64 {
    let age = now.saturating_sub(server.started_at);
    if server.started_at == 0 || age >= rules.warm_up_duration {
        return 1.0;
    }
    rules.warm_up_initial_ratio
        + (1.0 - rules.warm_up_initial_ratio) * age as f64 / rules.warm_up_duration as f64
}

/// Counts an attempt at a server in slow start and compares the attempts in the window with the server's
/// budget.
fn count_received(server: &mut Server, now: Micros, factor: f64, rules: &Rules, summary: &mut Summary) {
    let window = rules.warm_up_overload_window;
    server.received.push_back(now);
    while server.received.front().is_some_and(|&at| at + window < now) {
        server.received.pop_front();
    }
    let received = server.received.len() as f64;
    let budget = rules.warm_up_overload_factor * CORES as f64 * factor * window as f64 / MEAN_WORK_US;
    let excess = received - (budget + 2.0 * budget.sqrt() + 2.0);
    summary.max_excess = summary.max_excess.max(excess);
    summary.max_budget_ratio = summary.max_budget_ratio.max(received / budget);
}

fn random_parameters(count: usize) -> impl Iterator<Item = Parameters> {
    let mut random = Pcg32::seed_from_u64(20_261_202);
    (0..count as u64).map(move |seed| {
        let proxy_count = [2, 5, 20, 30, 60, 300][random.gen_range(0..6)];
        let server_count = [8, 14, 40][random.gen_range(0..3)];
        let restarted_ratio = [0.01, 0.1, 0.3, 0.6, 1.0][random.gen_range(0..5)];
        Parameters {
            proxy_count,
            server_count,
            restarted_count: ((server_count as f64 * restarted_ratio) as usize).max(1),
            max_notice_delay: [0, 100 * MS, SECOND][random.gen_range(0..3)],
            load: [0.3, 0.6, 0.9, 1.3][random.gen_range(0..4)],
            skew: [1.0, 5.0][random.gen_range(0..2)],
            non_idempotent_ratio: 0.3,
            retry_ratio: [0.0, 0.7][random.gen_range(0..2)],
            retries_are_marked: random.gen(),
            hedging: random.gen(),
            seed,
        }
    })
}

/// How much of the fleet restarts.
#[derive(Clone, Copy)]
enum RestartScale {
    UpToAThird,
    Most,
    All,
}

impl RestartScale {
    const ALL: [RestartScale; 3] = [RestartScale::UpToAThird, RestartScale::Most, RestartScale::All];

    fn of(parameters: &Parameters) -> Self {
        if parameters.restarted_count == parameters.server_count {
            RestartScale::All
        } else if parameters.restarted_count * 3 > parameters.server_count {
            RestartScale::Most
        } else {
            RestartScale::UpToAThird
        }
    }

    fn name(self) -> &'static str {
        match self {
            RestartScale::UpToAThird => "up to a third",
            RestartScale::Most => "most",
            RestartScale::All => "all",
        }
    }
}

#[test]
fn no_endpoint_in_slow_start_is_sent_more_than_its_budget_by_all_client_proxies_together() {
    let simulation_count = if std::env::var_os("LONG").is_some() { 1_000 } else { 120 };
    let mut violations = Vec::new();
    let mut totals = [Summary::default(); 3];
    for parameters in random_parameters(simulation_count) {
        let summary = simulate(&parameters);
        let total = &mut totals[RestartScale::of(&parameters) as usize];
        total.arrived += summary.arrived;
        total.served += summary.served;
        total.max_budget_ratio = total.max_budget_ratio.max(summary.max_budget_ratio);
        if summary.max_excess > 0.0 {
            violations.push((parameters, summary));
        }
    }
    for scale in RestartScale::ALL {
        let Summary { served, arrived, max_budget_ratio, .. } = totals[scale as usize];
        let served_ratio = served as f64 / arrived as f64;
        let name = scale.name();
        println!(
            "{name} restarted: {served_ratio:.4} of {arrived} calls served, \
             at most {max_budget_ratio:.2} budgets sent"
        );
    }
    for (parameters, summary) in &violations {
        println!("{summary:?} {parameters:?}");
    }
    assert!(violations.is_empty(), "{} of {simulation_count} simulations exceed a budget", violations.len());
}
