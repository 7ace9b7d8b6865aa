//! Draws the same states of the module from many seeds and counts where their calls go. It prints a line a world, a call
//! and a server: two versions whose draws come in another order print other counts of the same shares.
//!
//! `cargo run --release -p oakport-core --example picks > a`, the same with the other version, then
//! `cargo run --release -p oakport-core --example picks -- a b` for the total variation distance of each world.

use oakport_core::*;
use std::collections::BTreeMap;

const MS: Micros = 1_000;
const SEEDS: u64 = 100_000;
const START: Micros = 100_000_000;

/// What differs between the worlds.
struct World {
    name: &'static str,
    balancers: u32,
    servers: u32,
    /// The last `cold` servers have just started.
    cold: u32,
    /// Sizes are 1 to 4 instead of 1.
    sized: bool,
    /// The first servers fail their calls.
    failing: u32,
    calls: u32,
}

const WORLDS: [World; 7] = [
    World { name: "calm", balancers: 1, servers: 6, cold: 0, sized: false, failing: 0, calls: 12 },
    World { name: "sized", balancers: 1, servers: 6, cold: 0, sized: true, failing: 0, calls: 12 },
    World { name: "cold", balancers: 1, servers: 5, cold: 2, sized: true, failing: 0, calls: 12 },
    World { name: "all cold", balancers: 3, servers: 4, cold: 4, sized: false, failing: 0, calls: 6 },
    World { name: "narrow", balancers: 7, servers: 5, cold: 1, sized: false, failing: 0, calls: 10 },
    World { name: "failing", balancers: 1, servers: 6, cold: 0, sized: false, failing: 2, calls: 16 },
    World { name: "sparse", balancers: 300, servers: 12, cold: 1, sized: true, failing: 1, calls: 8 },
];

impl World {
    fn entry(&self, server: u32) -> EndpointInfo {
        EndpointInfo {
            id: EndpointId(server),
            zone: ZoneId(server % 3),
            weight: if self.sized { f64::from(1 + server % 4) } else { 1.0 },
            started_at: if server + self.cold >= self.servers { START - 6_000 * MS } else { 0 },
            ..EndpointInfo::default()
        }
    }

    /// Where the calls of one seed went.
    fn play(&self, seed: u64) -> Vec<u32> {
        let class = Class { idempotency: Idempotency::Idempotent, ..Settings::default().classes[0] };
        let charges = Charges { cross_zone: 0.02, ..Charges::default() };
        let (balancers, weights) = (self.balancers, WeightSource::Nominal);
        let settings = Settings {
            proxy_count: balancers,
            weight_source: weights,
            charges,
            classes: vec![class],
            ..Settings::default()
        };
        let (mut balancer, mut now, mut went) = (Balancer::new(seed, settings), START, Vec::new());
        let (mut actions, mut out) = (Vec::new(), Vec::new());
        let entries = (0..self.servers).map(|server| self.entry(server)).collect();
        balancer.handle(
            now,
            Event::EndpointList { kind: ListUpdateKind::Snapshot, endpoints: entries },
            &mut actions,
        );
        for number in 0..self.calls {
            let call = CallId(u64::from(number));
            now += 5 * MS;
            let (class, time_left) = (ClassId(0), 900 * MS);
            let event =
                Event::Request { call, class, tenant: None, remaining_time: time_left, is_retry: false };
            balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                if let Action::Send { call, endpoint: server, .. } = action {
                    if went.len() < number as usize + 1 {
                        went.resize(number as usize, u32::MAX);
                        went.push(server.0);
                    }
                    out.push((call, server.0));
                }
            }
            // Those that fail end at once, so that calls go again; each third one of the others is served.
            let ends = out.iter().position(|o| o.1 < self.failing || number % 3 == 2);
            if let Some((call, server)) = ends.map(|at| out.remove(at)) {
                let fails = server < self.failing;
                let outcome = if fails { Outcome::Error } else { Outcome::Served };
                let (elapsed, load) = (10 * MS, LoadReport::default());
                let event =
                    Event::AttemptEnded { call, attempt: 0, outcome, elapsed, call_closed: true, load };
                balancer.handle(now, event, &mut actions);
                actions.clear();
            }
        }
        went.resize(self.calls as usize, u32::MAX);
        went
    }
}

type Counts = BTreeMap<(String, u32, u32), f64>;

fn read(file: &str) -> Counts {
    let text = std::fs::read_to_string(file).unwrap_or_else(|e| panic!("{file}: {e}"));
    let fields = |line: &str| {
        let f: Vec<&str> = line.split('\t').collect();
        let number = |at: usize| f[at].parse::<u32>().unwrap_or_else(|e| panic!("{file}: {line}: {e}"));
        ((f[0].to_string(), number(1), number(2)), f64::from(number(3)))
    };
    text.lines().map(fields).collect()
}

fn main() {
    let files: Vec<String> = std::env::args().skip(1).collect();
    if let [one, other] = &files[..] {
        let (one, other) = (read(one), read(other));
        for world in &WORLDS {
            let distance = |call: u32| {
                let of = |counts: &Counts, server| {
                    counts.get(&(world.name.to_string(), call, server)).copied().unwrap_or(0.0)
                };
                let apart = |server: u32| (of(&one, server) - of(&other, server)).abs() / SEEDS as f64;
                (0..world.servers).map(apart).sum::<f64>() / 2.0
            };
            let each: Vec<f64> = (0..world.calls).map(distance).collect();
            let (most, mean) = (each.iter().fold(0.0, |a: f64, &b| a.max(b)), each.iter().sum::<f64>());
            println!("{}: mean {:.4}, most of one call {most:.4}", world.name, mean / each.len() as f64);
        }
        return;
    }
    for world in &WORLDS {
        let mut counts: BTreeMap<(usize, u32), u32> = BTreeMap::new();
        for seed in 0..SEEDS {
            for (call, server) in world.play(seed).into_iter().enumerate().filter(|w| w.1 != u32::MAX) {
                *counts.entry((call, server)).or_default() += 1;
            }
        }
        for ((call, server), count) in counts {
            println!("{}\t{call}\t{server}\t{count}", world.name);
        }
    }
}
