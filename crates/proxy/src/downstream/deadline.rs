//! The time limits of a client's connection: when it must close if nothing more arrives on it.

#[cfg(test)]
mod tests;

use super::delivery::{PendingDelivery, WRITE_STALL_TIMEOUT};
use super::shutdown::COMPLETION_TIMEOUT;
use std::time::Duration;
use tokio::time::Instant;

/// A client may take 2 s for a request's head and be idle as long between requests; the limits lie a little above. A
/// client that never completes a request must be disconnected within 3 s of connecting, its body included.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_100);
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_300);
/// From accepting a connection to the end of its first request's head.
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_millis(2_400);
/// From accepting a connection to the end of its first request's body.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_850);
/// How long a body may stall in total, beyond what its size explains. A first request has what remains of
/// [`FIRST_REQUEST_TIMEOUT`] after its head, within these bounds.
const MAX_BODY_SLACK: Duration = Duration::from_secs(2);
const MIN_BODY_SLACK: Duration = Duration::from_millis(300);
/// From accepting a connection at capacity, whose request will be rejected, to the end of its head.
const AT_CAPACITY_HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// ... and to the first byte of it.
const AT_CAPACITY_IDLE_TIMEOUT: Duration = Duration::from_millis(250);
/// In a graceful shutdown an idle connection closes after this, in which all that has arrived is read.
const SHUTDOWN_IDLE_TIMEOUT: Duration = Duration::from_millis(3);
/// ... one that has carried no request yet is given longer, as its first may be in transit.
const SHUTDOWN_FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// ... and a head of which some has arrived must be complete by the time at which its request must.
const SHUTDOWN_HEAD_TIMEOUT: Duration = COMPLETION_TIMEOUT;

/// What happens on a connection, and since when.
#[derive(Clone, Copy, Debug)]
pub enum Phase {
    /// Nothing of a next request has arrived.
    Idle { since: Instant },
    /// Some of a head has.
    ReadingHead { since: Instant },
    /// A request is open, and some of its body may still have to arrive.
    RequestOpen,
    /// The request is complete, and its response has not begun.
    AwaitingResponse,
    /// The response is there and not yet written in full.
    WritingResponse,
    /// The response is written in full, and nothing of a next request has arrived. The client's system has still to
    /// receive some of the response.
    Delivering(PendingDelivery),
}

/// What the time limits of a connection depend on.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTimes {
    pub phase: Phase,
    pub accepted_at: Instant,
    /// No head of a request has been complete yet.
    pub awaits_first_request: bool,
    /// Since when the client has taken nothing of what is to be written.
    pub write_stalled_since: Option<Instant>,
}

impl ConnectionTimes {
    /// When the connection must close if nothing more arrives; None: not by time. `at_capacity`: its request will be
    /// rejected. `shutdown_began`: when graceful shutdown began, if it has.
    pub fn deadline(&self, at_capacity: bool, shutdown_began: Option<Instant>) -> Option<Instant> {
        let regular = match self.phase {
            Phase::RequestOpen | Phase::AwaitingResponse | Phase::WritingResponse => {
                return self.write_stalled_since.map(|since| since + WRITE_STALL_TIMEOUT);
            }
            Phase::Delivering(delivery) => delivery.stalls_at(),
            Phase::Idle { since } => self.idle_deadline(since),
            Phase::ReadingHead { since } => self.head_deadline(since),
        };
        let mut deadline = regular;
        if at_capacity {
            deadline = deadline.min(self.at_capacity_deadline());
        }
        if let Some(shutdown_deadline) = shutdown_began.and_then(|began| self.shutdown_deadline(began)) {
            deadline = deadline.min(shutdown_deadline);
        }
        Some(deadline)
    }

    fn idle_deadline(&self, since: Instant) -> Instant {
        if self.awaits_first_request {
            self.accepted_at + FIRST_HEAD_TIMEOUT
        } else {
            since + IDLE_TIMEOUT
        }
    }

    fn head_deadline(&self, since: Instant) -> Instant {
        if self.awaits_first_request {
            (since + HEAD_TIMEOUT).min(self.accepted_at + FIRST_HEAD_TIMEOUT)
        } else {
            since + HEAD_TIMEOUT
        }
    }

    fn at_capacity_deadline(&self) -> Instant {
        match self.phase {
            Phase::Idle { .. } => self.accepted_at + AT_CAPACITY_IDLE_TIMEOUT,
            _ => self.accepted_at + AT_CAPACITY_HEAD_TIMEOUT,
        }
    }

    fn shutdown_deadline(&self, began: Instant) -> Option<Instant> {
        match self.phase {
            Phase::Idle { since } if self.awaits_first_request => {
                // What has arrived by the time the connection is first looked at is read, however late that is.
                let latest = (began + SHUTDOWN_HEAD_TIMEOUT).max(since + SHUTDOWN_IDLE_TIMEOUT);
                Some((since.max(began) + SHUTDOWN_FIRST_REQUEST_TIMEOUT).min(latest))
            }
            Phase::Idle { since } => Some(since.max(began) + SHUTDOWN_IDLE_TIMEOUT),
            Phase::ReadingHead { since } => {
                Some((began + SHUTDOWN_HEAD_TIMEOUT).max(since + SHUTDOWN_IDLE_TIMEOUT))
            }
            // Until then it may send a next request, as any other.
            Phase::Delivering(_) => Some(began + SHUTDOWN_HEAD_TIMEOUT),
            _ => None,
        }
    }
}

/// How long the body of a request that has just begun may stall in total, beyond what its size explains.
pub fn body_slack(is_first_request: bool, accepted_at: Instant) -> Duration {
    if is_first_request {
        let remaining = FIRST_REQUEST_TIMEOUT.saturating_sub(accepted_at.elapsed());
        remaining.clamp(MIN_BODY_SLACK, MAX_BODY_SLACK)
    } else {
        MAX_BODY_SLACK
    }
}
