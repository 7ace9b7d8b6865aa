//! Generates client requests: arrival time, class, work and client proxy.
//!
//! The simulator and the runs on sockets use the same random draws.

use crate::random::{self, StreamId};
use crate::scenario::{FaultKind, Scenario};
use oakport_core::Micros;
use rand::Rng;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64;

/// A client request as generated, before its first try is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time of the first try, in microseconds from the start of the scenario.
    pub at: Micros,
    /// Index of the request's class in the scenario.
    pub class: usize,
    /// CPU time that the request needs, in microseconds of one core.
    pub work: f64,
    /// Index of the client proxy that receives the request.
    pub proxy: usize,
}

/// Random generator of arrivals.
#[derive(Clone, Debug)]
pub struct Arrivals {
    random: Pcg64,
    /// Running sums of the proxies' relative shares of the requests.
    cumulative_shares: Vec<f64>,
}

impl Arrivals {
    /// Creates the generator for a scenario; the proxies' shares of the requests are drawn from `fleet`.
    pub fn new(scenario: &Scenario, seed: u64, fleet: &mut Pcg64) -> Self {
        let mut sum = 0.0;
        let shares = (0..scenario.balancers).map(|_| {
            sum += (scenario.proxy_skew * 2.0 * (fleet.gen::<f64>() * 2.0 - 1.0)).exp();
            sum
        });
        Arrivals { cumulative_shares: shares.collect(), random: random::stream(seed, StreamId::Arrivals) }
    }

    /// Draws the time until the next arrival, in microseconds, at `rate` requests per second.
    pub fn interval(&mut self, rate: f64) -> Micros {
        let interval: f64 = Exp1.sample(&mut self.random);
        (interval * 1e6 / rate) as Micros
    }

    /// Draws class, work and client proxy of the request that arrives at `at`.
    pub fn sample(&mut self, scenario: &Scenario, at: Micros) -> Arrival {
        let total: f64 = scenario.classes.iter().map(|c| c.share).sum();
        let mut remaining_share = self.random.gen::<f64>() * total;
        let last = scenario.classes.len() - 1;
        let class_index = scenario.classes.iter().position(|c| {
            remaining_share -= c.share;
            remaining_share < 0.0
        });
        let class = class_index.unwrap_or(last);
        let spec = &scenario.classes[class];
        let work = spec.work_distribution.sample(spec.work as f64, &mut self.random).max(1.0);
        let point = self.random.gen::<f64>() * self.cumulative_shares.last().copied().unwrap_or(1.0);
        let proxy =
            self.cumulative_shares.partition_point(|sum| *sum <= point).min(self.cumulative_shares.len() - 1);
        Arrival { at, class, work, proxy }
    }

    /// Generates all arrivals of a scenario in order of time.
    pub fn generate_all(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
        let mut generator = Arrivals::new(scenario, seed, &mut random::stream(seed, StreamId::Fleet));
        let mut at = 0;
        let mut arrivals = Vec::new();
        loop {
            let surges = scenario.events.iter().filter(|e| e.kind == FaultKind::Surge);
            let surge_factor: f64 =
                surges.filter(|e| (e.at..e.at + e.duration).contains(&at)).map(|e| e.factor).product();
            at += generator.interval(scenario.rate * surge_factor);
            if at >= scenario.duration {
                return arrivals;
            }
            arrivals.push(generator.sample(scenario, at));
        }
    }
}
