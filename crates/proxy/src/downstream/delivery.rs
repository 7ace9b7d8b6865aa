//! Tracks whether written bytes have reached the client: the system may buffer megabytes of a response for a
//! client that reads slowly.

#[cfg(test)]
mod tests;

use crate::socket::Socket;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// How long a client may receive no bytes of its response. For a slow client, a third of the system's send
/// buffer, which may hold megabytes, must drain before more is written.
pub const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks for unacknowledged bytes while a response is being delivered.
pub const DELIVERY_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// A response that has been written completely, but not yet received completely by the client's system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingDelivery {
    unacknowledged_bytes: usize,
    progressed_at: Instant,
}

impl PendingDelivery {
    /// A delivery with this number of unacknowledged bytes. `None` if there are none.
    pub fn begin(unacknowledged_bytes: usize, now: Instant) -> Option<Self> {
        (unacknowledged_bytes > 0).then_some(PendingDelivery { unacknowledged_bytes, progressed_at: now })
    }

    /// The delivery after a check at `now`, at which so many bytes were unacknowledged. `None` if there were none.
    pub fn update(self, unacknowledged_bytes: usize, now: Instant) -> Option<Self> {
        if unacknowledged_bytes < self.unacknowledged_bytes {
            PendingDelivery::begin(unacknowledged_bytes, now)
        } else {
            Some(self)
        }
    }

    /// When the client counts as stalled if no more bytes are acknowledged.
    pub fn stalls_at(&self) -> Instant {
        self.progressed_at + WRITE_STALL_TIMEOUT
    }
}

/// Resolves once the client's system has received all written bytes, or none for [`WRITE_STALL_TIMEOUT`].
pub async fn delivered(socket: &Socket) {
    let mut pending = PendingDelivery::begin(socket.unacknowledged_bytes(), Instant::now());
    while let Some(delivery) = pending.filter(|delivery| Instant::now() < delivery.stalls_at()) {
        sleep(DELIVERY_CHECK_INTERVAL).await;
        pending = delivery.update(socket.unacknowledged_bytes(), Instant::now());
    }
}
