//! When the bytes of a connection arrived: the client's timeout counts from the arrival of a request's last byte, not from
//! the moment at which the proxy reads it or comes to the request.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use tokio::time::Instant;

/// How many bytes had arrived on a connection by some time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Instant,
    arrived_bytes: u64,
}

/// Observations of the number of bytes that have arrived on one connection. Positions count all bytes of the
/// connection, from its first.
#[derive(Debug)]
pub struct Arrivals {
    /// Number of bytes that the HTTP parser has read.
    read_bytes: Cell<u64>,
    /// Where the HTTP parser's latest read began.
    latest_read_position: Cell<u64>,
    /// The earliest known time of each number of arrived bytes, from the last byte that has been read on.
    samples: RefCell<VecDeque<Sample>>,
    /// When the latest byte is known to have arrived.
    latest: Cell<Instant>,
}

impl Arrivals {
    /// For a connection on which no bytes have arrived yet.
    pub fn new(now: Instant) -> Self {
        Arrivals {
            read_bytes: Cell::new(0),
            latest_read_position: Cell::new(0),
            samples: RefCell::default(),
            latest: Cell::new(now),
        }
    }

    /// Number of bytes that the HTTP parser has read.
    pub fn read_bytes(&self) -> u64 {
        self.read_bytes.get()
    }

    /// The position at which the HTTP parser's latest read began.
    pub fn latest_read_position(&self) -> u64 {
        self.latest_read_position.get()
    }

    /// Records that the HTTP parser has read `count` further bytes.
    pub fn record_read(&self, now: Instant, count: usize) {
        let arrived_before = self.arrived_bytes();
        self.latest_read_position.set(self.read_bytes.get());
        let read_bytes = self.read_bytes.get() + count as u64;
        self.read_bytes.set(read_bytes);
        let mut samples = self.samples.borrow_mut();
        if read_bytes > arrived_before {
            samples.push_back(Sample { at: now, arrived_bytes: read_bytes });
            self.latest.set(now);
        }
        // The byte before the current position may be the last one of a request, or of several that were read at once.
        while samples.front().is_some_and(|sample| sample.arrived_bytes < read_bytes) {
            samples.pop_front();
        }
    }

    /// Records that `unread_bytes` behind those that were read have arrived, or wait in the client's socket while
    /// the receive window is full.
    pub fn record_unread(&self, now: Instant, unread_bytes: usize) {
        let arrived_bytes = self.read_bytes.get() + unread_bytes as u64;
        if arrived_bytes > self.arrived_bytes() {
            self.samples.borrow_mut().push_back(Sample { at: now, arrived_bytes });
            self.latest.set(now);
        }
    }

    /// Number of bytes that are known to have arrived.
    pub fn arrived_bytes(&self) -> u64 {
        let sampled = self.samples.borrow().back().map_or(0, |sample| sample.arrived_bytes);
        sampled.max(self.read_bytes.get())
    }

    /// The earliest time by which the bytes up to `position` are known to have arrived, for those that have not been read
    /// and the last one that has. `None` if they have not arrived.
    pub fn arrived_at(&self, position: u64) -> Option<Instant> {
        let samples = self.samples.borrow();
        samples.iter().find(|sample| sample.arrived_bytes >= position).map(|sample| sample.at)
    }

    /// When the latest byte is known to have arrived.
    pub fn latest(&self) -> Instant {
        self.latest.get()
    }
}
