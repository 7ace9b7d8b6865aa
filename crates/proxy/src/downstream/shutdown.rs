//! The state of a graceful shutdown on the client side: when it began, and when the process may be killed.

#[cfg(test)]
mod tests;

use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// A process may be killed after SIGTERM plus the longest deadline of a class plus this margin (PROTOCOL).
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Longer class deadlines count as this in the calculation of the earliest kill.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// A request must be complete this long after SIGTERM. A request that is completed more than 0.7 s after
/// SIGTERM and is unanswered at the kill is lost (PROTOCOL), and no time limit bounds a response that has
/// begun. The process sees SIGTERM slightly late.
pub const COMPLETION_TIMEOUT: Duration = Duration::from_millis(650);

/// The handover of responses to a successor begins this long before the process may be killed.
const HANDOVER_LEAD_TIME: Duration = Duration::from_millis(700);

/// Time to read the bytes that arrived together with a request's head.
const READ_GRACE: Duration = Duration::from_millis(3);

/// A graceful shutdown that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// When SIGTERM was received.
    pub began: Instant,
    /// The earliest time at which the process may be killed.
    pub earliest_kill: Instant,
}

/// Carries the graceful shutdown once it has begun.
pub type ShutdownSignal = watch::Receiver<Option<Shutdown>>;

impl Shutdown {
    /// A shutdown that begins now. `longest_deadline` is the longest deadline of all classes.
    pub fn begin(longest_deadline: Duration) -> Self {
        let began = Instant::now();
        let earliest_kill = began + longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN;
        Shutdown { began, earliest_kill }
    }

    /// When responses that are still being written begin to be handed over to a successor.
    pub fn handover_at(&self) -> Instant {
        self.earliest_kill - HANDOVER_LEAD_TIME
    }

    /// The latest time at which a request may become complete: the response to a later one might be
    /// incomplete at the kill.
    pub fn latest_completion(&self) -> Instant {
        self.began + COMPLETION_TIMEOUT
    }
}

/// Whether a graceful shutdown has passed the time at which requests may become complete.
pub fn is_past_latest_completion(shutdown: &ShutdownSignal) -> bool {
    let latest = shutdown.borrow().map(|shutdown| shutdown.latest_completion());
    latest.is_some_and(|latest| latest < Instant::now())
}

/// Resolves once a request whose head is complete now must be rejected if it is still incomplete.
pub async fn completion_deadline(mut shutdown: ShutdownSignal) {
    let head_read_at = Instant::now();
    let begun = shutdown.wait_for(Option::is_some).await.ok().and_then(|shutdown| *shutdown);
    match begun {
        Some(begun) => {
            let latest = begun.latest_completion();
            tokio::time::sleep_until(latest.max(head_read_at + READ_GRACE)).await;
        }
        // The sender has been dropped with the client side: no shutdown will begin.
        None => std::future::pending().await,
    }
}
