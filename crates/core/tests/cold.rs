//! Cold servers under the sum of all processes: over any span of `fall_time` no more is sent to one than its budget of N calls
//! and what chance explains, 2 root of N + 2. Random worlds of many balancers that know nothing of each other. Prints what it
//! saw with `--nocapture`; `LONG=1` plays a thousand worlds.

use oakport_core::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const CORES: usize = 3;
/// Mean work of a call on a warm core.
const WORK: f64 = 80.0 * MS as f64;
/// Calls that wait at a server at the most.
const QUEUE: usize = 60;

#[derive(Clone, Copy, Debug)]
struct World {
    balancers: usize,
    servers: usize,
    /// Servers that start together, and how much later each balancer hears of it at the most.
    cold: usize,
    notice: Micros,
    /// Load over what all servers bear warm.
    load: f64,
    /// One balancer has so many times the mean traffic of the others.
    uneven: f64,
    /// Share of the calls that may not be repeated, and of failed ones that come again, marked or not.
    once: f64,
    again: f64,
    marked: bool,
    copies: bool,
    seed: u64,
}

struct Machine {
    started: Micros,
    /// When each core is free.
    free: [Micros; CORES],
    ends: VecDeque<Micros>,
    /// Sends while it was cold.
    sent: VecDeque<Micros>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrives(usize, bool),
    Told(usize),
    Wakes(usize),
    Ends(usize, u64, u32),
}

struct Call {
    balancer: usize,
    until: Micros,
    attempts: Vec<Option<(Micros, Outcome)>>,
    closed: bool,
}

/// The worst that was seen at a cold server: sends over budget and chance, and what was served.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    excess: f64,
    /// The same over N.
    share: f64,
    served: usize,
    asked: usize,
}

fn settings(world: &World) -> Settings {
    let class = |repeat| Class {
        latency_objective: 400 * MS,
        client_timeout: 1_500 * MS,
        priority_weight: 3.0,
        late_weight_ratio: 0.0,
        idempotency: repeat,
        active: true,
    };
    let usual = Settings::default();
    Settings {
        proxy_count: world.balancers as u32,
        classes: vec![class(Idempotency::Idempotent), class(Idempotency::NonIdempotent)],
        limits: Limits { hedging: world.copies, ..usual.limits },
        rules: Rules {
            warm_up_initial_ratio: 0.13,
            warm_up_duration: 24 * SECOND,
            warm_up_overload_window: 3 * SECOND,
            ..usual.rules
        },
        ..usual
    }
}

fn play(world: &World) -> Seen {
    let (settings, mut random) = (settings(world), Pcg32::seed_from_u64(world.seed));
    let rules = settings.rules;
    let begin = 100 * SECOND;
    // The servers are known and warm for a while; then some of them start anew.
    let (starts, end) = (begin + 4 * SECOND, begin + 12 * SECOND);
    let entry = |server: usize, started| EndpointInfo {
        id: EndpointId(server as u32),
        state: EndpointState::Ready,
        started_at: started,
        zone: ZoneId(server as u32 % 3),
        ..EndpointInfo::default()
    };
    let mut balancers: Vec<Balancer> =
        (0..world.balancers).map(|b| Balancer::new(world.seed ^ b as u64, settings.clone())).collect();
    let mut machines: Vec<Machine> = (0..world.servers)
        .map(|_| Machine { started: 0, free: [0; CORES], ends: VecDeque::new(), sent: VecDeque::new() })
        .collect();
    let mut heap = BinaryHeap::new();
    let mut order = 0u64;
    let mut push = |heap: &mut BinaryHeap<_>, at: Micros, what: What| {
        order += 1;
        heap.push(Reverse((at, order, what)));
    };
    let rate = world.load * (world.servers * CORES) as f64 / WORK;
    let weight = |b: usize| if b == 0 { world.uneven } else { 1.0 };
    let all: f64 = (0..world.balancers).map(weight).sum();
    let gap = |random: &mut Pcg32, b: usize| {
        (-(1.0 - random.gen::<f64>()).ln() / (rate * weight(b) / all)) as Micros + 1
    };
    let mut calls: Vec<Call> = Vec::new();
    let mut seen = Seen::default();
    let full = (0..world.servers).map(|s| entry(s, 0)).collect::<Vec<_>>();
    for (b, balancer) in balancers.iter_mut().enumerate() {
        let mut actions = Vec::new();
        balancer.handle(begin, Event::Start, &mut actions);
        let entries = full.clone();
        balancer.handle(
            begin,
            Event::EndpointList { kind: ListUpdateKind::Snapshot, endpoints: entries },
            &mut actions,
        );
        push(&mut heap, begin + gap(&mut random, b), What::Arrives(b, false));
        push(&mut heap, starts + random.gen_range(0..=world.notice), What::Told(b));
    }
    let mut cooled = false;
    while let Some(Reverse((now, _, what))) = heap.pop().filter(|e| e.0 .0 < end) {
        if now >= starts && !cooled {
            cooled = true;
            for machine in &mut machines[..world.cold] {
                *machine = Machine {
                    started: starts,
                    free: [0; CORES],
                    ends: VecDeque::new(),
                    sent: VecDeque::new(),
                };
            }
        }
        let (b, event) = match what {
            What::Arrives(b, again) => {
                if !again {
                    push(&mut heap, now + gap(&mut random, b), What::Arrives(b, false));
                    seen.asked += 1;
                }
                let call = CallId(calls.len() as u64);
                let until = now + 1_500 * MS;
                calls.push(Call { balancer: b, until, attempts: Vec::new(), closed: false });
                let class = ClassId(usize::from(random.gen_bool(world.once)));
                let resent = again && world.marked;
                (
                    b,
                    Event::Request {
                        call,
                        class,
                        tenant: None,
                        remaining_time: 1_500 * MS,
                        is_retry: resent,
                    },
                )
            }
            What::Told(b) => {
                let entries = (0..world.cold).map(|s| entry(s, starts)).collect();
                (b, Event::EndpointList { kind: ListUpdateKind::Delta, endpoints: entries })
            }
            What::Wakes(b) => (b, Event::Timer),
            What::Ends(b, id, attempt) => {
                let call = &mut calls[id as usize];
                let Some((sent, outcome)) = call.attempts[attempt as usize].take() else { continue };
                if outcome == Outcome::Served && !std::mem::replace(&mut call.closed, true) {
                    seen.served += 1;
                }
                let (elapsed, closed) = (now - sent, call.closed);
                let call = CallId(id);
                (
                    b,
                    Event::AttemptEnded {
                        call,
                        attempt,
                        outcome,
                        elapsed,
                        call_closed: closed,
                        load: LoadReport::default(),
                    },
                )
            }
        };
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            balancers[b].handle(now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Send { call, endpoint: server, timeout_at: until, .. } => {
                        let machine = &mut machines[server.0 as usize];
                        let until = until.unwrap_or(Micros::MAX).min(calls[call.0 as usize].until);
                        let (ends, outcome) = arrives(machine, now, until, &rules, &mut random, &mut seen);
                        let attempts = &mut calls[call.0 as usize].attempts;
                        attempts.push(Some((now, outcome)));
                        push(&mut heap, ends, What::Ends(b, call.0, attempts.len() as u32 - 1));
                    }
                    Action::Cancel { call, attempt } => {
                        let it = &mut calls[call.0 as usize];
                        if let Some((sent, _)) = it.attempts[attempt as usize].take() {
                            let (elapsed, closed, outcome) = (now - sent, it.closed, Outcome::Cancelled);
                            events.push_back(Event::AttemptEnded {
                                call,
                                attempt,
                                outcome,
                                elapsed,
                                call_closed: closed,
                                load: LoadReport::default(),
                            });
                        }
                    }
                    Action::Reject { call, .. } | Action::Fail { call } => {
                        calls[call.0 as usize].closed = true;
                        let from = calls[call.0 as usize].balancer;
                        if random.gen_bool(world.again) {
                            push(&mut heap, now + random.gen_range(15..120) * MS, What::Arrives(from, true));
                        }
                    }
                    Action::SetTimer { after } => push(&mut heap, now + after, What::Wakes(b)),
                    Action::PollEndpointList | Action::PollLoad { .. } | Action::Log(_) => {}
                }
            }
        }
    }
    seen
}

/// A call arrives at a server: when its attempt ends, and how.
fn arrives(
    machine: &mut Machine,
    now: Micros,
    until: Micros,
    rules: &Rules,
    random: &mut Pcg32,
    seen: &mut Seen,
) -> (Micros, Outcome) {
    let age = now.saturating_sub(machine.started);
    let warmth = if machine.started == 0 || age >= rules.warm_up_duration {
        1.0
    } else {
        rules.warm_up_initial_ratio
            + (1.0 - rules.warm_up_initial_ratio) * age as f64 / rules.warm_up_duration as f64
    };
    if warmth < 1.0 {
        machine.sent.push_back(now);
        while machine.sent.front().is_some_and(|&at| at + rules.warm_up_overload_window < now) {
            machine.sent.pop_front();
        }
        let budget =
            rules.warm_up_overload_factor * CORES as f64 * warmth * rules.warm_up_overload_window as f64
                / WORK;
        let excess = machine.sent.len() as f64 - (budget + 2.0 * budget.sqrt() + 2.0);
        seen.excess = seen.excess.max(excess);
        seen.share = seen.share.max(machine.sent.len() as f64 / budget);
    }
    while machine.ends.front().is_some_and(|&at| at <= now) {
        machine.ends.pop_front();
    }
    if machine.ends.len() >= QUEUE + CORES {
        return (now + MS, Outcome::Rejected);
    }
    let work = -(1.0 - random.gen::<f64>()).ln() * WORK / warmth;
    let core = (0..CORES).min_by_key(|&c| machine.free[c]).expect("a core");
    let done = machine.free[core].max(now) + work as Micros + 1;
    if done > until && machine.free[core] >= until {
        // It is dropped from the queue: nobody waits for it any more.
        return (until, Outcome::TimedOut);
    }
    machine.free[core] = done;
    let place = machine.ends.partition_point(|&at| at <= done);
    machine.ends.insert(place, done);
    if done <= until {
        (done, Outcome::Served)
    } else {
        (until, Outcome::TimedOut)
    }
}

fn worlds(many: usize) -> impl Iterator<Item = World> {
    let mut random = Pcg32::seed_from_u64(20_261_202);
    (0..many as u64).map(move |seed| {
        let balancers = [2, 5, 20, 30, 60, 300][random.gen_range(0..6)];
        let servers = [8, 14, 40][random.gen_range(0..3)];
        let share = [0.01, 0.1, 0.3, 0.6, 1.0][random.gen_range(0..5)];
        World {
            balancers,
            servers,
            cold: ((servers as f64 * share) as usize).max(1),
            notice: [0, 100 * MS, SECOND][random.gen_range(0..3)],
            load: [0.3, 0.6, 0.9, 1.3][random.gen_range(0..4)],
            uneven: [1.0, 5.0][random.gen_range(0..2)],
            once: 0.3,
            again: [0.0, 0.7][random.gen_range(0..2)],
            marked: random.gen(),
            copies: random.gen(),
            seed,
        }
    })
}

#[test]
fn no_cold_server_is_sent_more_than_its_budget_by_all_balancers_together() {
    let many = if std::env::var_os("LONG").is_some() { 1_000 } else { 120 };
    let mut broken = Vec::new();
    // Asked and served, by how much of the fleet is cold: up to a third, more, all.
    let (mut sums, mut most) = ([(0, 0); 3], [0.0f64; 3]);
    for world in worlds(many) {
        let seen = play(&world);
        let part = if world.cold == world.servers { 2 } else { usize::from(world.cold * 3 > world.servers) };
        sums[part] = (sums[part].0 + seen.asked, sums[part].1 + seen.served);
        most[part] = most[part].max(seen.share);
        if seen.excess > 0.0 {
            broken.push((world, seen));
        }
    }
    for (part, ((asked, served), most)) in ["few", "many", "all"].into_iter().zip(sums.into_iter().zip(most))
    {
        let share = served as f64 / asked as f64;
        println!("{part} cold: {share:.4} of {asked} served, at the most {most:.2} of a budget sent");
    }
    for (world, seen) in &broken {
        println!("{seen:?} {world:?}");
    }
    assert!(broken.is_empty(), "{} of {many} worlds", broken.len());
}
