//! The clock of the process.

use oakport_core::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock in microseconds since the Unix epoch, set once from the system time at the start of the
/// process. The start time of an endpoint, which is Unix time, can be compared with it directly, even if it
/// is before the start of this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The Unix time at which the clock was started, in microseconds.
    started_at: Micros,
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: unix_time.as_micros() as Micros, start: Instant::now() }
    }

    /// The time now, in microseconds.
    pub fn now(&self) -> Micros {
        self.started_at + self.start.elapsed().as_micros() as Micros
    }

    /// Converts the time `at` to an instant of the runtime's clock.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at.saturating_sub(self.started_at))).into()
    }
}

/// Sleeps until a deadline, or forever without one.
pub async fn sleep_until(deadline: Option<tokio::time::Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

#[cfg(test)]
mod tests;
