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
/// A final response at the very end of its client's timeout is written so long before the kill.
const RESPONSE_MARGIN: Duration = Duration::from_millis(50);

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

    /// Until when a request may become complete that is to be answered within this time: a later one might still be
    /// without its response at the kill.
    pub fn latest_completion(&self, client_timeout: Duration) -> Instant {
        // What comes within the margin has the longest deadline left, and is never lost by the kill (PROTOCOL).
        let latest_without_loss = self.began + KILL_MARGIN;
        let latest = self.earliest_kill.checked_sub(client_timeout.saturating_add(RESPONSE_MARGIN));
        latest.unwrap_or(latest_without_loss).max(latest_without_loss)
    }
}

/// Is it too late to take a request with this timeout?
pub fn is_too_late(shutdown: &ShutdownSignal, client_timeout: Duration) -> bool {
    let latest = shutdown.borrow().map(|shutdown| shutdown.latest_completion(client_timeout));
    latest.is_some_and(|latest| latest < Instant::now())
}

/// Resolves once a request with this timeout, whose head is complete now, must not be taken any more if it is incomplete.
pub async fn completion_deadline(mut shutdown: ShutdownSignal, client_timeout: Duration) {
    let head_read_at = Instant::now();
    let begun = shutdown.wait_for(Option::is_some).await.ok().and_then(|shutdown| *shutdown);
    match begun {
        Some(begun) => {
            let latest = begun.latest_completion(client_timeout);
            tokio::time::sleep_until(latest.max(head_read_at + READ_GRACE)).await;
        }
        // The client side has ended: no shutdown will begin.
        None => std::future::pending().await,
    }
}
