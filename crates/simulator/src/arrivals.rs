//! When clients first ask, for what, and through which client proxy: the same draws in virtual time and on sockets.

use crate::chance::{self, StreamId};
use crate::scenario::{Scenario, FaultKind};
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
    shares: Vec<f64>,
}

impl Arrivals {
    /// For a day; how unequal the proxies' parts are is drawn from `fleet`.
    pub fn new(scenario: &Scenario, seed: u64, fleet: &mut Pcg64) -> Self {
        let mut sum = 0.0;
        let shares = (0..scenario.balancers).map(|_| {
            sum += (scenario.uneven * 2.0 * (fleet.gen::<f64>() * 2.0 - 1.0)).exp();
            sum
        });
        Arrivals { shares: shares.collect(), random: chance::stream(seed, StreamId::Arrivals) }
    }

    /// Time until the next arrival at so many a second, in microseconds.
    pub fn gap(&mut self, rate: f64) -> Micros {
        let gap: f64 = Exp1.sample(&mut self.random);
        (gap * 1e6 / rate) as Micros
    }

    /// The arrival at this moment.
    pub fn draw(&mut self, scenario: &Scenario, at: Micros) -> Arrival {
        let total: f64 = scenario.classes.iter().map(|c| c.share).sum();
        let mut mark = self.random.gen::<f64>() * total;
        let last = scenario.classes.len() - 1;
        let found = scenario.classes.iter().position(|c| {
            mark -= c.share;
            mark < 0.0
        });
        let class = found.unwrap_or(last);
        let spec = &scenario.classes[class];
        let work = spec.spread.draw(spec.work as f64, &mut self.random).max(1.0);
        let mark = self.random.gen::<f64>() * self.shares.last().copied().unwrap_or(1.0);
        let proxy = self.shares.partition_point(|sum| *sum <= mark).min(self.shares.len() - 1);
        Arrival { at, class, work, proxy }
    }

    /// All arrivals of a day, in order.
    pub fn whole_day(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
        let mut arrivals = Arrivals::new(scenario, seed, &mut chance::stream(seed, StreamId::Fleet));
        let (mut at, mut all) = (0, Vec::new());
        loop {
            let surges = scenario.events.iter().filter(|e| e.what == FaultKind::Surge);
            let surge: f64 =
                surges.filter(|e| (e.at..e.at + e.lasts).contains(&at)).map(|e| e.factor).product();
            at += arrivals.gap(scenario.rate * surge);
            if at >= scenario.length {
                return all;
            }
            all.push(arrivals.draw(scenario, at));
        }
    }
}
