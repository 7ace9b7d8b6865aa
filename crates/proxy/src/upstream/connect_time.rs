//! Estimates how long the next connect to an endpoint takes.

use oakport_core::Micros;

/// A slow connect may raise the estimate up to this value, however low the estimate was.
const MIN_ESTIMATE_CAP_US: Micros = 1_000;
/// A slow connect raises a higher estimate by this factor at most.
const MAX_RAISE_FACTOR: Micros = 2;

/// An estimate that falls at once after a faster connect but rises in steps after slower ones: a single slow
/// connect may only mean that this process or a packet was delayed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectTimeEstimate(Micros);

impl ConnectTimeEstimate {
    /// Updates the estimate with the duration of a connect, in microseconds.
    pub fn record(&mut self, elapsed: Micros) {
        let cap = (self.0 * MAX_RAISE_FACTOR).max(MIN_ESTIMATE_CAP_US);
        self.0 = elapsed.min(cap);
    }

    /// The estimate, in microseconds; 0 before the first connect.
    pub fn expected(self) -> Micros {
        self.0
    }
}

#[cfg(test)]
mod tests;
