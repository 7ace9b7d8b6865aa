//! Bounds what a client has written while the receive window is open: its bytes arrive then within the time of a transit,
//! and nothing stays in its send buffer.

#[cfg(test)]
mod tests;

use std::time::Duration;
use tokio::time::Instant;

/// Bytes that a client writes arrive within this time while the receive window has room.
pub const MAX_TRANSIT: Duration = Duration::from_millis(20);
/// The system's receive buffer is at most so many times as large as the window that is open while the buffer is empty.
const MAX_BUFFER_TO_WINDOW_RATIO: u64 = 4;

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
    /// Observes a connection with a receive buffer of `buffer_bytes`. Returns what the client had written at most at the time
    /// when the buffer was empty, if less has arrived since than the window had room for: all of it would have arrived.
    pub fn observe(&mut self, current: Arrived, buffer_bytes: u64) -> Option<Written> {
        if self.empty.is_some_and(|empty| current.at < empty.at + MAX_TRANSIT) {
            return None;
        }
        let is_empty = current.unread_bytes == 0;
        let previous = std::mem::replace(&mut self.empty, is_empty.then_some(current));
        let empty = previous?;
        let new_bytes = current.arrived_bytes - empty.arrived_bytes;
        let had_room = new_bytes < buffer_bytes / MAX_BUFFER_TO_WINDOW_RATIO;
        had_room.then_some(Written { at: empty.at, max_position: current.arrived_bytes })
    }
}
