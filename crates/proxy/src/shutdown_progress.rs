//! Reports a graceful shutdown in the log and to the admin endpoint: its beginning, the connections still
//! open, and its end.

use crate::downstream::open_connections::OpenConnections;
use crate::metrics::ShutdownReport;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::info;

/// Interval between log lines about the open connections.
const LOG_INTERVAL: Duration = Duration::from_millis(500);

/// The progress of the graceful shutdown of this process.
#[derive(Debug)]
pub struct ShutdownProgress {
    open_connections: Rc<OpenConnections>,
    began_at: Cell<Option<Instant>>,
    began: Notify,
}

impl ShutdownProgress {
    /// The progress of a process with these client connections that is not in graceful shutdown.
    pub fn new(open_connections: Rc<OpenConnections>) -> Self {
        ShutdownProgress { open_connections, began_at: Cell::default(), began: Notify::new() }
    }

    /// Records that graceful shutdown begins. With a shared listener, another process accepts clients from
    /// now on.
    pub fn begin(&self, shares_listener: bool) {
        self.began_at.set(Some(Instant::now()));
        self.began.notify_one();
        let open = self.open_connections.counts();
        info!(
            shares_listener,
            connections = open.connections,
            incomplete_requests = open.incomplete_requests,
            awaiting_response = open.awaiting_response,
            writing_response = open.writing_response,
            "graceful shutdown began"
        );
    }

    /// Logs the open connections periodically, once graceful shutdown has begun. Does not return.
    pub async fn log_open_connections(&self) {
        self.began.notified().await;
        loop {
            tokio::time::sleep(LOG_INTERVAL).await;
            self.log_if_open();
        }
    }

    fn log_if_open(&self) {
        let open = self.open_connections.counts();
        if open.connections > 0 {
            info!(
                connections = open.connections,
                incomplete_requests = open.incomplete_requests,
                awaiting_response = open.awaiting_response,
                writing_response = open.writing_response,
                "graceful shutdown in progress"
            );
        }
    }

    /// Records that graceful shutdown is complete: the process ends.
    pub fn end(&self) {
        let duration_ms = self.elapsed_ms().unwrap_or_default();
        info!(duration_ms, "graceful shutdown ended");
    }

    /// The report for the admin endpoint. `None` if graceful shutdown has not begun.
    pub fn report(&self) -> Option<ShutdownReport> {
        let began_ms_ago = self.elapsed_ms()?;
        Some(ShutdownReport { began_ms_ago, open: self.open_connections.counts() })
    }

    /// Time since graceful shutdown began, if it has.
    fn elapsed_ms(&self) -> Option<u64> {
        let began_at = self.began_at.get()?;
        Some(began_at.elapsed().as_millis() as u64)
    }
}
