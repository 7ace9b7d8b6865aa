//! Timeouts and intervals of the watcher, chosen so that it receives a change before the notification deadline
//! (`docs/discovery.md`). Each duration follows from the protocol or from the settings.

use oakport_core::Rules;
use std::time::Duration;

/// A change that a silent watch misses counts as notified this long after the watch became silent (PROTOCOL, FLEET).
/// After a poll that failed, was rejected or timed out, the delay starts once the service has the change and is
/// reachable.
const NOTIFICATION_DELAY: Duration = Duration::from_secs(6);
/// The notification deadline of a silent watch is at least this long after the end of its wait.
const NOTIFICATION_DELAY_AFTER_WAIT: Duration = Duration::from_secs(2);
/// After SIGHUP with a new discovery address, changes at that address count as notified this much later (TERMS).
pub const ADDRESS_CHANGE_NOTIFICATION_DELAY: Duration = Duration::from_secs(4);
/// Longest wait that a poll may request.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// A watch that is not answered within this time after its wait is considered silent. The rest of
/// `NOTIFICATION_DELAY_AFTER_WAIT` remains for reopening it.
pub const SILENCE_DETECTION_DELAY: Duration = Duration::from_millis(500);
/// Number of agent poll intervals per drain window: one for a lost poll, one for the next poll, and two for its answer.
const AGENT_POLLS_PER_DRAIN_WINDOW: u32 = 4;
/// Bounds of the interval between agent polls, for very short and very long drain windows.
const MIN_AGENT_POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_AGENT_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// How endpoint lists are delivered and how long each step may take, according to the settings in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadlines {
    /// True: lists are sent by an agent on this machine, which answers at once and whose polls cost nothing. False: by
    /// a service that all client proxies share.
    pub pushed: bool,
    /// Time after the start of draining in which a proxy may still send requests to the endpoint.
    pub drain_grace: Duration,
    /// Maximum interval between two polls of a shared service.
    pub max_poll_interval: Duration,
}

impl Deadlines {
    /// `polled`: lists are polled from a shared service.
    pub fn new(polled: bool, rules: &Rules) -> Self {
        Deadlines {
            pushed: !polled,
            drain_grace: Duration::from_micros(rules.drain_grace),
            max_poll_interval: Duration::from_micros(rules.max_poll_interval),
        }
    }

    /// Wait that a watch requests for an update.
    pub fn watch_wait(&self) -> Duration {
        // The longest wait at which the notification deadline is still `NOTIFICATION_DELAY`.
        let shortest = NOTIFICATION_DELAY - NOTIFICATION_DELAY_AFTER_WAIT;
        if self.pushed {
            shortest
        } else {
            self.max_poll_interval.clamp(shortest, MAX_WATCH_WAIT)
        }
    }

    /// Timeout of a catch-up poll, which requests only updates that are already available.
    pub fn catch_up_timeout(&self) -> Duration {
        NOTIFICATION_DELAY_AFTER_WAIT
    }

    /// Interval between polls of an agent that does not answer. `unit` is a random number from 0 to 1.
    pub fn agent_poll_interval(&self, unit: f64) -> Duration {
        let interval = self.drain_grace / AGENT_POLLS_PER_DRAIN_WINDOW;
        interval.clamp(MIN_AGENT_POLL_INTERVAL, MAX_AGENT_POLL_INTERVAL).mul_f64(0.75 + unit / 2.0)
    }

    /// Delay before a broken watch of a shared service is reopened, randomised so that client proxies do not reopen
    /// theirs at the same time. `unit` is a random number from 0 to 1.
    pub fn reopen_delay(&self, unit: f64) -> Duration {
        (NOTIFICATION_DELAY_AFTER_WAIT / 2).mul_f64(0.25 + unit * 0.75)
    }

    /// Maximum time from the start of a failed poll of a shared service to the start of the next poll. The answer can
    /// then arrive within `NOTIFICATION_DELAY` after the service became reachable, even if that was right after the
    /// failed poll. `unit` is a random number from 0 to 1.
    pub fn failed_poll_interval(&self, unit: f64) -> Duration {
        let timeout = self.catch_up_timeout();
        timeout + (NOTIFICATION_DELAY - timeout - timeout - SILENCE_DETECTION_DELAY).mul_f64(unit)
    }

    /// A list whose last confirmation is older than this may lack a change that counts as notified.
    pub fn max_list_age(&self) -> Duration {
        NOTIFICATION_DELAY.max(self.watch_wait() + NOTIFICATION_DELAY_AFTER_WAIT)
    }
}

#[cfg(test)]
mod tests;
