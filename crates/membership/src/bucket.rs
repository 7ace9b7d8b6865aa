//! A bound on what is sent, held in the worst second as in the mean.

use crate::Micros;

/// What IP and UDP add to a datagram.
const HEADERS: usize = 28;
/// Bytes in a second for all that is sent: three quarters of what a process may spend for control, ...
const RATE: f64 = 14_000.0;
/// ... and so many more at once after a quiet time.
const DEPTH: f64 = 4_000.0;
/// Pings and answers go beyond that by so much: the three together are the most that any second sees.
const DEBT: f64 = 3_500.0;
/// What news leave in the bucket for the records of scopes and the next pings and answers.
const RESERVE: f64 = 1_000.0;

/// How much a datagram matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Weight {
    /// Whether a member is there is found out by it; news go along.
    Vital,
    /// How many there are elsewhere, and that they are heard of.
    Record,
    /// It is said again, or asked for again.
    News,
}

/// Bytes that may be sent.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    bytes: f64,
    at: Micros,
}

impl Bucket {
    pub(crate) fn new(now: Micros) -> Self {
        Bucket { bytes: DEPTH, at: now }
    }

    fn fill(&mut self, now: Micros) {
        let bytes = self.bytes + now.saturating_sub(self.at) as f64 / 1e6 * RATE;
        (self.bytes, self.at) = (bytes.min(DEPTH), now.max(self.at));
    }

    /// How long a datagram may be now; none: it may not go.
    pub(crate) fn room(&mut self, now: Micros, weight: Weight, least: usize, wanted: usize) -> Option<usize> {
        self.fill(now);
        let left = self.bytes - HEADERS as f64;
        match weight {
            Weight::News => (wanted as f64 <= left - RESERVE).then_some(wanted),
            Weight::Record => (wanted as f64 <= left).then_some(wanted),
            Weight::Vital if least as f64 > left + DEBT => None,
            Weight::Vital => Some(wanted.min(((left - RESERVE).max(0.0) as usize).max(least))),
        }
    }

    /// So long a datagram goes.
    pub(crate) fn take(&mut self, length: usize) {
        self.bytes -= (length + HEADERS) as f64;
    }
}

#[cfg(test)]
mod tests;
