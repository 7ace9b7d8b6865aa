//! Random numbers: a stream for each part of the world, so that what one part draws changes nothing in another.

use oakport_core::Micros;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64;
use serde::Deserialize;

/// Parts of the world that draw.
#[derive(Clone, Copy, Debug)]
pub enum StreamId {
    /// When requests come, and which.
    Arrivals,
    /// Which servers a fault meets.
    Faults,
    /// Delays, losses and errors.
    Noise,
    /// How long clients wait, and when they come again.
    Clients,
    /// The policy of a proxy.
    Policy(usize),
    /// Where the servers are.
    Fleet,
}

/// A stream of its own for a part of the day of this seed.
pub fn stream(seed: u64, part: StreamId) -> Pcg64 {
    let number = match part {
        StreamId::Arrivals => 1,
        StreamId::Faults => 2,
        StreamId::Noise => 3,
        StreamId::Clients => 4,
        StreamId::Fleet => 5,
        StreamId::Policy(proxy) => 1_000 + proxy as u128,
    };
    // Streams of one state differ by their increments; the state is mixed so that seeds that are near differ too.
    let state =
        u128::from(seed ^ 0x9e37_79b9_7f4a_7c15).wrapping_mul(0xda94_2042_e4dd_58b5_2360_ed05_1fc6_5da4);
    let mut random = Pcg64::new(state, number);
    // The first draws of a fresh generator still show its state.
    for _ in 0..4 {
        let _: u64 = random.gen();
    }
    random
}

/// A seed for a policy of its own.
pub fn policy_seed(seed: u64, proxy: usize) -> u64 {
    stream(seed, StreamId::Policy(proxy)).gen()
}

/// A generator for a policy of its own.
pub fn policy_rng(seed: u64) -> Pcg64 {
    Pcg64::seed_from_u64(seed)
}

/// How the work of requests is spread about its mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkDistribution {
    /// All alike.
    Fixed,
    /// Mostly short, some long.
    #[default]
    Exponential,
    /// Lognormal with a deviation of its logarithm of 0.7.
    Lognormal,
}

impl WorkDistribution {
    /// A draw about a mean, in microseconds.
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

/// A span with a jitter of so much of it, up or down.
pub fn jitter(span: Micros, share: f64, random: &mut impl Rng) -> Micros {
    (span as f64 * (1.0 + share * (random.gen::<f64>() * 2.0 - 1.0))).max(0.0) as Micros
}
