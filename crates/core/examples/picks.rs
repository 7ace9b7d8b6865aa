//! Runs the same cases with many seeds and counts the endpoints to which each call is sent, with one line per
//! case, call and endpoint. Two versions that draw random numbers in a different order print different counts
//! of the same distribution.
//!
//! `cargo run --release -p oakport-core --example picks > a`, the same with the other version, then
//! `cargo run --release -p oakport-core --example picks -- a b` for the total variation distance of each case.

use oakport_core::*;
use std::collections::BTreeMap;

const MS: Micros = 1_000;
const SEEDS: u64 = 100_000;
const START: Micros = 100_000_000;

/// Parameters of a case.
struct Case {
    name: &'static str,
    proxy_count: u32,
    endpoint_count: u32,
    /// Number of endpoints in slow start, which are the last ones.
    warming_up_count: u32,
    /// Whether sizes are 1 to 4 instead of 1.
    has_sizes: bool,
    /// Number of endpoints that fail their calls, which are the first ones.
    failing_count: u32,
    call_count: u32,
}

const CASES: [Case; 7] = [
    Case {
        name: "calm",
        proxy_count: 1,
        endpoint_count: 6,
        warming_up_count: 0,
        has_sizes: false,
        failing_count: 0,
        call_count: 12,
    },
    Case {
        name: "sized",
        proxy_count: 1,
        endpoint_count: 6,
        warming_up_count: 0,
        has_sizes: true,
        failing_count: 0,
        call_count: 12,
    },
    Case {
        name: "cold",
        proxy_count: 1,
        endpoint_count: 5,
        warming_up_count: 2,
        has_sizes: true,
        failing_count: 0,
        call_count: 12,
    },
    Case {
        name: "all cold",
        proxy_count: 3,
        endpoint_count: 4,
        warming_up_count: 4,
        has_sizes: false,
        failing_count: 0,
        call_count: 6,
    },
    Case {
        name: "narrow",
        proxy_count: 7,
        endpoint_count: 5,
        warming_up_count: 1,
        has_sizes: false,
        failing_count: 0,
        call_count: 10,
    },
    Case {
        name: "failing",
        proxy_count: 1,
        endpoint_count: 6,
        warming_up_count: 0,
        has_sizes: false,
        failing_count: 2,
        call_count: 16,
    },
    Case {
        name: "sparse",
        proxy_count: 300,
        endpoint_count: 12,
        warming_up_count: 1,
        has_sizes: true,
        failing_count: 1,
        call_count: 8,
    },
];

impl Case {
    fn entry(&self, endpoint: u32) -> EndpointInfo {
        EndpointInfo {
            id: EndpointId(endpoint),
            zone: ZoneId(endpoint % 3),
            weight: if self.has_sizes { f64::from(1 + endpoint % 4) } else { 1.0 },
            started_at: if endpoint + self.warming_up_count >= self.endpoint_count {
                START - 6_000 * MS
            } else {
                0
            },
            ..EndpointInfo::default()
        }
    }

    /// Runs the case with one seed; returns the endpoint to which each call was sent, `u32::MAX` if none.
    fn run(&self, seed: u64) -> Vec<u32> {
        let class = Class { idempotency: Idempotency::Idempotent, ..Settings::default().classes[0] };
        let charges = Charges { cross_zone: 0.02, ..Charges::default() };
        let settings = Settings {
            proxy_count: self.proxy_count,
            weight_source: WeightSource::Nominal,
            charges,
            classes: vec![class],
            ..Settings::default()
        };
        let mut balancer = Balancer::new(seed, settings);
        let mut now = START;
        let mut chosen = Vec::new();
        let mut actions = Vec::new();
        let mut in_flight = Vec::new();
        let entries = (0..self.endpoint_count).map(|endpoint| self.entry(endpoint)).collect();
        balancer.handle(
            now,
            Event::EndpointList { kind: ListUpdateKind::Snapshot, endpoints: entries },
            &mut actions,
        );
        for number in 0..self.call_count {
            let call = CallId(u64::from(number));
            now += 5 * MS;
            let class = ClassId(0);
            let remaining_time = 900 * MS;
            let event = Event::Request { call, class, tenant: None, remaining_time, is_retry: false };
            balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                if let Action::Send { call, endpoint, .. } = action {
                    if chosen.len() < number as usize + 1 {
                        chosen.resize(number as usize, u32::MAX);
                        chosen.push(endpoint.0);
                    }
                    in_flight.push((call, endpoint.0));
                }
            }
            // Attempts at failing endpoints end at once; of the other attempts, one is served after every
            // third call.
            let ends = in_flight
                .iter()
                .position(|sent: &(CallId, u32)| sent.1 < self.failing_count || number % 3 == 2);
            if let Some((call, endpoint)) = ends.map(|at| in_flight.remove(at)) {
                let fails = endpoint < self.failing_count;
                let outcome = if fails { Outcome::Error } else { Outcome::Served };
                let elapsed = 10 * MS;
                let load = LoadReport::default();
                let event =
                    Event::AttemptEnded { call, attempt: 0, outcome, elapsed, call_closed: true, load };
                balancer.handle(now, event, &mut actions);
                actions.clear();
            }
        }
        chosen.resize(self.call_count as usize, u32::MAX);
        chosen
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
        let one = read(one);
        let other = read(other);
        for case in &CASES {
            let distance = |call: u32| {
                let of = |counts: &Counts, endpoint| {
                    counts.get(&(case.name.to_string(), call, endpoint)).copied().unwrap_or(0.0)
                };
                let difference =
                    |endpoint: u32| (of(&one, endpoint) - of(&other, endpoint)).abs() / SEEDS as f64;
                (0..case.endpoint_count).map(difference).sum::<f64>() / 2.0
            };
            let each: Vec<f64> = (0..case.call_count).map(distance).collect();
            let max = each.iter().copied().fold(0.0, f64::max);
            let mean = each.iter().sum::<f64>() / each.len() as f64;
            println!("{}: mean {mean:.4}, maximum of one call {max:.4}", case.name);
        }
        return;
    }
    for case in &CASES {
        let mut counts: BTreeMap<(usize, u32), u32> = BTreeMap::new();
        for seed in 0..SEEDS {
            for (call, endpoint) in case.run(seed).into_iter().enumerate().filter(|w| w.1 != u32::MAX) {
                *counts.entry((call, endpoint)).or_default() += 1;
            }
        }
        for ((call, endpoint), count) in counts {
            println!("{}\t{call}\t{endpoint}\t{count}", case.name);
        }
    }
}
