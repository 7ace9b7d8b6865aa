//! When clients first ask, for what, and through which client proxy: the same draws in virtual time and on sockets.

use crate::random::{self, StreamId};
use crate::scenario::{FaultKind, Scenario};
use oakport_core::Micros;
use rand::Rng;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64;

/// A request of a client, before anything has become of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When it is first asked, in microseconds of the day.
    pub at: Micros,
    /// Its class, by its place in the scenario.
    pub class: usize,
    /// Its work, in microseconds of one core.
    pub work: f64,
    /// The client proxy of the client, by its number from 0.
    pub proxy: usize,
}

/// Draws arrivals one after the other.
#[derive(Clone, Debug)]
pub struct Arrivals {
    random: Pcg64,
    /// Sums of the proxies' parts of the requests.
    cumulative_shares: Vec<f64>,
}

impl Arrivals {
    /// For a day; how unequal the proxies' parts are is drawn from `fleet`.
    pub fn new(scenario: &Scenario, seed: u64, fleet: &mut Pcg64) -> Self {
        let mut sum = 0.0;
        let shares = (0..scenario.balancers).map(|_| {
            sum += (scenario.proxy_skew * 2.0 * (fleet.gen::<f64>() * 2.0 - 1.0)).exp();
            sum
        });
        Arrivals { cumulative_shares: shares.collect(), random: random::stream(seed, StreamId::Arrivals) }
    }

    /// Time until the next arrival at so many a second, in microseconds.
    pub fn interval(&mut self, rate: f64) -> Micros {
        let gap: f64 = Exp1.sample(&mut self.random);
        (gap * 1e6 / rate) as Micros
    }

    /// The arrival at this moment.
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

    /// All arrivals of a day, in order.
    pub fn generate_all(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
        let mut arrivals = Arrivals::new(scenario, seed, &mut random::stream(seed, StreamId::Fleet));
        let (mut at, mut all) = (0, Vec::new());
        loop {
            let surges = scenario.events.iter().filter(|e| e.kind == FaultKind::Surge);
            let surge: f64 =
                surges.filter(|e| (e.at..e.at + e.duration).contains(&at)).map(|e| e.factor).product();
            at += arrivals.interval(scenario.rate * surge);
            if at >= scenario.duration {
                return all;
            }
            all.push(arrivals.sample(scenario, at));
        }
    }
}
