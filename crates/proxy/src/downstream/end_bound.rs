//! Bounds the time at which a client wrote the last byte of a request that has not been read to its end.
//!
//! While the receive window is full, the end may wait in the client's own send buffer. What is known at each time is how
//! far the client had written at most. Once the request is known to end behind that position, the client had not written
//! its last byte at that time.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use tokio::time::Instant;

/// Above this number, every second observation is dropped, which only makes the bound earlier.
const MAX_OBSERVATIONS: usize = 64;

/// How far the client had written at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Observation {
    at: Instant,
    /// The client had written no byte behind this position.
    max_position: u64,
}

/// The latest time at which the client is known not to have written the last byte of its request.
#[derive(Debug)]
pub struct EndBound {
    not_before: Instant,
    /// In the order of time and of position, and all behind the excluded position.
    observations: VecDeque<Observation>,
}

impl EndBound {
    /// For a request whose last byte was not written before this time.
    pub fn new(not_before: Instant) -> Self {
        EndBound { not_before, observations: VecDeque::new() }
    }

    /// The client had not written its last byte before this time.
    pub fn not_before(&self) -> Instant {
        self.not_before
    }

    /// Records that the client had not written its last byte at this time.
    pub fn record_incomplete(&mut self, at: Instant) {
        self.not_before = self.not_before.max(at);
    }

    /// Records that the client had written no byte behind `max_position` at this time.
    pub fn record_written(&mut self, at: Instant, max_position: u64) {
        // What had not been written by now had not been written before.
        while self.observations.back().is_some_and(|earlier| earlier.max_position >= max_position) {
            self.observations.pop_back();
        }
        self.observations.push_back(Observation { at, max_position });
        if self.observations.len() > MAX_OBSERVATIONS {
            let mut is_dropped = false;
            self.observations.retain(|_| {
                is_dropped = !is_dropped;
                !is_dropped
            });
        }
    }

    /// Records that the request ends behind this position.
    pub fn exclude_end_up_to(&mut self, position: u64) {
        while let Some(observation) = self.observations.front().filter(|o| o.max_position <= position) {
            self.not_before = self.not_before.max(observation.at);
            self.observations.pop_front();
        }
    }
}
