//! Random numbers: one independent stream per component, so that draws of one component do not affect another.

use oakport_core::Micros;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64;
use serde::Deserialize;

/// Identifies the component that a random stream belongs to.
#[derive(Clone, Copy, Debug)]
pub enum StreamId {
    /// Arrival times and contents of requests.
    Arrivals,
    /// Servers and proxies that a fault affects.
    Faults,
    /// Network delays, losses and errors.
    Noise,
    /// Client timeouts and retry delays.
    Clients,
    /// The policy of the proxy with this index.
    Policy(usize),
    /// The fleet: the proxies' shares of the requests and the delays of list updates.
    Fleet,
}

/// Creates the random stream of a component for a seed.
pub fn stream(seed: u64, part: StreamId) -> Pcg64 {
    let number = match part {
        StreamId::Arrivals => 1,
        StreamId::Faults => 2,
        StreamId::Noise => 3,
        StreamId::Clients => 4,
        StreamId::Fleet => 5,
        StreamId::Policy(proxy) => 1_000 + proxy as u128,
    };
    // Streams with the same state differ by their increments. The state is mixed so that neighbouring seeds give
    // different streams too.
    let state =
        u128::from(seed ^ 0x9e37_79b9_7f4a_7c15).wrapping_mul(0xda94_2042_e4dd_58b5_2360_ed05_1fc6_5da4);
    let mut random = Pcg64::new(state, number);
    // The first outputs of a new generator are discarded, as they still reflect its initial state.
    for _ in 0..4 {
        let _: u64 = random.gen();
    }
    random
}

/// Derives the seed for the policy of a proxy.
pub fn policy_seed(seed: u64, proxy: usize) -> u64 {
    stream(seed, StreamId::Policy(proxy)).gen()
}

/// Creates the random generator of a policy.
pub fn policy_rng(seed: u64) -> Pcg64 {
    Pcg64::seed_from_u64(seed)
}

/// Distribution of the work of requests around the mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkDistribution {
    /// Every request needs the mean.
    Fixed,
    /// Exponential: mostly short requests, some long ones.
    #[default]
    Exponential,
    /// Lognormal, with a standard deviation of the logarithm of 0.7.
    Lognormal,
}

impl WorkDistribution {
    /// Draws a value from the distribution with this mean, in microseconds.
    pub fn sample(self, mean: f64, random: &mut impl Rng) -> f64 {
        const SIGMA: f64 = 0.7;
        match self {
            WorkDistribution::Fixed => mean,
            WorkDistribution::Exponential => Exp::new(1.0 / mean.max(1.0)).map_or(mean, |d| d.sample(random)),
            WorkDistribution::Lognormal => {
                let mu = mean.max(1.0).ln() - SIGMA * SIGMA / 2.0;
                LogNormal::new(mu, SIGMA).map_or(mean, |d| d.sample(random))
            }
        }
    }
}

/// Varies `span` by up to `share` of its length in either direction.
pub fn jitter(span: Micros, share: f64, random: &mut impl Rng) -> Micros {
    (span as f64 * (1.0 + share * (random.gen::<f64>() * 2.0 - 1.0))).max(0.0) as Micros
}
