//! Estimates how long the next connect to an endpoint takes.

use oakport_core::Micros;

/// The least that a connect slower than the estimate raises it to.
const MIN_RAISED_ESTIMATE_US: Micros = 1_000;
/// How much a slower connect raises the estimate at most.
const MAX_RAISE_FACTOR: Micros = 2;

/// An estimate that follows faster connects at once and slower ones in steps: a single slow one may only mean that this
/// process, or a packet, was late.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectTimeEstimate(Micros);

impl ConnectTimeEstimate {
    /// Takes in how long a connect took, in microseconds.
    pub fn record(&mut self, elapsed: Micros) {
        let highest = (self.0 * MAX_RAISE_FACTOR).max(MIN_RAISED_ESTIMATE_US);
        self.0 = elapsed.min(highest);
    }

    /// The estimate, in microseconds; 0 before the first connect.
    pub fn expected(self) -> Micros {
        self.0
    }
}

#[cfg(test)]
mod tests;
