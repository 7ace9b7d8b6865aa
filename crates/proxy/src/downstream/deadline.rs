//! The time limits of a client connection: when it must close if no more bytes arrive.

#[cfg(test)]
mod tests;

use super::delivery::{PendingDelivery, WRITE_STALL_TIMEOUT};
use super::shutdown::COMPLETION_TIMEOUT;
use std::time::Duration;
use tokio::time::Instant;

/// A client may take 2 s for a request's head and may be idle for 2 s between requests; the limits are
/// slightly larger. A client that never completes a request, including its body, must be disconnected within
/// 3 s of connecting.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_100);
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_300);
/// From accepting a connection to the end of its first request's head.
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_millis(2_400);
/// From accepting a connection to the end of its first request's body.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_850);
/// How long a body may stall in total, beyond the time that its size accounts for. The body of a first
/// request may stall for the remainder of [`FIRST_REQUEST_TIMEOUT`] after its head, within these bounds.
const MAX_BODY_SLACK: Duration = Duration::from_secs(2);
const MIN_BODY_SLACK: Duration = Duration::from_millis(300);
/// From accepting a connection at capacity, whose request will be rejected, to the end of the request's head.
const AT_CAPACITY_HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// From accepting a connection at capacity to the first byte of its request.
const AT_CAPACITY_IDLE_TIMEOUT: Duration = Duration::from_millis(250);
/// In a graceful shutdown an idle connection closes after this time, which suffices to read all bytes that
/// have arrived.
const SHUTDOWN_IDLE_TIMEOUT: Duration = Duration::from_millis(3);
/// In a graceful shutdown a connection without a request so far closes later, as its first request may be in
/// transit.
const SHUTDOWN_FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// In a graceful shutdown a partially received head must be complete by the time that applies to the whole
/// request.
const SHUTDOWN_HEAD_TIMEOUT: Duration = COMPLETION_TIMEOUT;

/// The current phase of a connection, with its start where a time limit depends on it.
#[derive(Clone, Copy, Debug)]
pub enum Phase {
    /// No bytes of a next request have arrived.
    Idle { since: Instant },
    /// A request's head has been received partially.
    ReadingHead { since: Instant },
    /// A request is open whose body may be incomplete.
    RequestOpen,
    /// The request is complete, and its response has not been received completely.
    AwaitingResponse,
    /// The response has been received completely, and not yet written completely.
    WritingResponse,
    /// The response has been written completely, but the client's system has not received all of it. No bytes
    /// of a next request have arrived.
    Delivering(PendingDelivery),
}

/// The state of a connection that determines its time limits.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTimes {
    pub phase: Phase,
    pub accepted_at: Instant,
    /// No request's head has been completed yet.
    pub awaits_first_request: bool,
    /// When the client's socket stopped accepting bytes. `None` while it accepts them.
    pub write_stalled_since: Option<Instant>,
}

impl ConnectionTimes {
    /// When the connection must close if no more bytes arrive. `None` if no time limit applies.
    /// `at_capacity`: its request will be rejected. `shutdown_began`: when graceful shutdown began, if it
    /// has.
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
                // Bytes that arrived before the connection is first polled are read, however late that poll
                // is.
                let latest = (began + SHUTDOWN_HEAD_TIMEOUT).max(since + SHUTDOWN_IDLE_TIMEOUT);
                Some((since.max(began) + SHUTDOWN_FIRST_REQUEST_TIMEOUT).min(latest))
            }
            Phase::Idle { since } => Some(since.max(began) + SHUTDOWN_IDLE_TIMEOUT),
            Phase::ReadingHead { since } => {
                Some((began + SHUTDOWN_HEAD_TIMEOUT).max(since + SHUTDOWN_IDLE_TIMEOUT))
            }
            // The client may still send a next request until the completion timeout.
            Phase::Delivering(_) => Some(began + SHUTDOWN_HEAD_TIMEOUT),
            _ => None,
        }
    }
}

/// How long the body of a request that has just begun may stall in total, beyond the time that its size
/// accounts for.
pub fn body_slack(is_first_request: bool, accepted_at: Instant) -> Duration {
    if is_first_request {
        let remaining = FIRST_REQUEST_TIMEOUT.saturating_sub(accepted_at.elapsed());
        remaining.clamp(MIN_BODY_SLACK, MAX_BODY_SLACK)
    } else {
        MAX_BODY_SLACK
    }
}
