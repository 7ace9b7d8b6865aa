//! Whether what was written has arrived: the system may hold megabytes of a response for a client that reads slowly.

#[cfg(test)]
mod tests;

use crate::socket::Socket;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// How long a client may take nothing of its response. A slow client empties the system's buffer, which may hold
/// megabytes, by a third before more is written.
pub const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// How often the system is asked while a client has not received all.
pub const DELIVERY_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// A response that is written in full and that the client's system has not received in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingDelivery {
    unacknowledged_bytes: usize,
    progressed_at: Instant,
}

impl PendingDelivery {
    /// So many bytes are still to be received. None: there are none.
    pub fn begin(unacknowledged_bytes: usize, now: Instant) -> Option<Self> {
        (unacknowledged_bytes > 0).then_some(PendingDelivery { unacknowledged_bytes, progressed_at: now })
    }

    /// So many bytes are left at a later check. None: there are none.
    pub fn update(self, unacknowledged_bytes: usize, now: Instant) -> Option<Self> {
        if unacknowledged_bytes < self.unacknowledged_bytes {
            PendingDelivery::begin(unacknowledged_bytes, now)
        } else {
            Some(self)
        }
    }

    /// When the client counts as one that takes nothing.
    pub fn stalls_at(&self) -> Instant {
        self.progressed_at + WRITE_STALL_TIMEOUT
    }
}

/// Resolves when the client's system has received all that was written, or nothing for [`WRITE_STALL_TIMEOUT`].
pub async fn delivered(socket: &Socket) {
    let mut pending = PendingDelivery::begin(socket.unacknowledged_bytes(), Instant::now());
    while let Some(delivery) = pending.filter(|delivery| Instant::now() < delivery.stalls_at()) {
        sleep(DELIVERY_CHECK_INTERVAL).await;
        pending = delivery.update(socket.unacknowledged_bytes(), Instant::now());
    }
}
