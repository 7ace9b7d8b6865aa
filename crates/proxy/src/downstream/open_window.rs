//! Bounds what a client has written while the receive window is open: its bytes arrive then within the time of a transit,
//! and nothing stays in its send buffer.

#[cfg(test)]
mod tests;

use std::time::Duration;
use tokio::time::Instant;

/// Bytes that a client writes arrive within this time while the receive window has room.
pub const MAX_TRANSIT: Duration = Duration::from_millis(20);
/// The system gives at least this part of its receive buffer to the window when it is empty.
const MIN_WINDOW_PART: u64 = 4;

/// What had arrived, and what of it had not been read, at some time.
#[derive(Clone, Copy, Debug)]
pub struct Arrived {
    pub at: Instant,
    pub arrived_bytes: u64,
    pub unread_bytes: u64,
}

/// The client had written no byte behind `max_position` by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Written {
    pub at: Instant,
    pub max_position: u64,
}

/// Detects times at which the receive window was open for all that the client had written.
#[derive(Debug, Default)]
pub struct OpenWindow {
    /// A time at which all that had arrived had been read.
    empty: Option<Arrived>,
}

impl OpenWindow {
    /// Observes a connection whose receive buffer has `buffer_bytes`. Returns what the client can have written at most when
    /// the buffer was empty, if less than the window has arrived since: what had not, would have.
    pub fn observe(&mut self, current: Arrived, buffer_bytes: u64) -> Option<Written> {
        let due = self.empty.filter(|empty| empty.at + MAX_TRANSIT <= current.at);
        if due.is_some() || self.empty.is_none() {
            self.empty = Some(current).filter(|current| current.unread_bytes == 0);
        }
        let written = due.map(|empty| (empty, current.arrived_bytes - empty.arrived_bytes));
        let (empty, _) = written.filter(|(_, new_bytes)| *new_bytes < buffer_bytes / MIN_WINDOW_PART)?;
        Some(Written { at: empty.at, max_position: current.arrived_bytes })
    }
}
