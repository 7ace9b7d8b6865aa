//! What the client side knows of a graceful shutdown: when it began, and when the process may be killed.

#[cfg(test)]
mod tests;

use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// A process may be killed so long after SIGTERM, beyond the longest deadline of a class (PROTOCOL).
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// A longer deadline counts as this there.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// A request must be complete so long after SIGTERM. What becomes complete more than 0.7 s after it and is unanswered at
/// the kill is lost (PROTOCOL), and no time limit bounds a response that has begun. SIGTERM is seen a little late.
pub const COMPLETION_TIMEOUT: Duration = Duration::from_millis(650);

/// A successor takes responses over for so long before the process may be killed.
const HANDOVER_LEAD_TIME: Duration = Duration::from_millis(700);

/// What arrived together with a request's head is read within this time.
const READ_GRACE: Duration = Duration::from_millis(3);

/// A graceful shutdown that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// When SIGTERM came.
    pub began: Instant,
    /// From then on the process may be killed.
    pub earliest_kill: Instant,
}

/// The graceful shutdown; None: none has begun.
pub type ShutdownSignal = watch::Receiver<Option<Shutdown>>;

impl Shutdown {
    /// One that begins now, where the classes' longest deadline is this.
    pub fn begin(longest_deadline: Duration) -> Self {
        let began = Instant::now();
        let earliest_kill = began + longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN;
        Shutdown { began, earliest_kill }
    }

    /// From then on responses that are still being written are passed on to a successor.
    pub fn handover_at(&self) -> Instant {
        self.earliest_kill - HANDOVER_LEAD_TIME
    }

    /// Until when a request may become complete: a later one might still be without its full response at the kill.
    pub fn latest_completion(&self) -> Instant {
        self.began + COMPLETION_TIMEOUT
    }
}

/// Is it too late to take a request?
pub fn is_too_late(shutdown: &ShutdownSignal) -> bool {
    let latest = shutdown.borrow().map(|shutdown| shutdown.latest_completion());
    latest.is_some_and(|latest| latest < Instant::now())
}

/// Resolves once a request whose head is complete now must not be taken any more if it is incomplete.
pub async fn completion_deadline(mut shutdown: ShutdownSignal) {
    let head_read_at = Instant::now();
    let begun = shutdown.wait_for(Option::is_some).await.ok().and_then(|shutdown| *shutdown);
    match begun {
        Some(begun) => {
            let latest = begun.latest_completion();
            tokio::time::sleep_until(latest.max(head_read_at + READ_GRACE)).await;
        }
        // The client side has ended: no shutdown will begin.
        None => std::future::pending().await,
    }
}
