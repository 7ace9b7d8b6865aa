//! Logs failures of discovery and a possibly stale endpoint list.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{debug, info, warn};

/// Tracks when discovery last confirmed the list, and which failures have been logged since.
pub struct Staleness {
    confirmed_at: Instant,
    /// Age of the list at which the next warning is due. `None`: no poll has failed since the list was confirmed.
    next_warning_age: Option<Duration>,
    /// The last failure logged as a warning since the list was confirmed.
    last_failure: Option<String>,
}

impl Staleness {
    /// A list that counts as confirmed at `now`.
    pub fn new(now: Instant) -> Self {
        Staleness { confirmed_at: now, next_warning_age: None, last_failure: None }
    }

    /// Records that discovery has confirmed the list or sent a newer one.
    pub fn confirm(&mut self) {
        if self.next_warning_age.take().is_some() {
            info!(age_s = self.confirmed_at.elapsed().as_secs(), "endpoint list confirmed again");
        }
        self.confirmed_at = Instant::now();
        self.last_failure = None;
    }

    /// Logs a failed poll or watch: as a warning, or as a debug line if the failure repeats the last one.
    pub fn log_failure(&mut self, address: SocketAddr, reason: &str, max_list_age: Duration) {
        if self.next_warning_age.is_none() {
            self.next_warning_age = Some(max_list_age);
        }
        if self.last_failure.as_deref() == Some(reason) {
            debug!(%address, reason, "discovery failed");
        } else {
            warn!(%address, reason, "discovery failed");
            self.last_failure = Some(reason.to_owned());
        }
    }

    /// Warns that the list may be stale once its age reaches `max_list_age`, and again each time its age has doubled.
    pub fn warn_if_stale(&mut self, address: SocketAddr, max_list_age: Duration) {
        let age = self.confirmed_at.elapsed();
        let Some(warning_age) = self.next_warning_age.filter(|&warning_age| age >= warning_age) else {
            return;
        };
        warn!(%address, age_s = age.as_secs(), "endpoint list may be stale");
        self.next_warning_age = Some(warning_age.max(max_list_age) * 2);
    }
}
