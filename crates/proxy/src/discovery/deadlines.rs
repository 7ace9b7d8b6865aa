//! How long the watcher may take for each step, so that it learns of a change before its notification deadline
//! (`docs/discovery.md`). Each duration follows from the protocol or from the settings.

use oakport_core::Rules;
use std::time::Duration;

/// A change that a silent watch misses counts as notified this long after the watch fell silent (PROTOCOL, FLEET). After
/// a poll that failed, was rejected or timed out: this long after the service had the change and was reachable.
const NOTIFICATION_DELAY: Duration = Duration::from_secs(6);
/// The notification deadline of a silent watch is never earlier than this after the end of its wait.
const NOTIFICATION_DELAY_AFTER_WAIT: Duration = Duration::from_secs(2);
/// After SIGHUP with another discovery address, its changes count as notified this much later (TERMS).
pub const ADDRESS_CHANGE_NOTIFICATION_DELAY: Duration = Duration::from_secs(4);
/// Longest wait that a poll may name.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// A watch without an answer this long after its wait is taken for silent. What is left of
/// `NOTIFICATION_DELAY_AFTER_WAIT` is for reopening it.
pub const SILENCE_DETECTION_DELAY: Duration = Duration::from_millis(500);
/// Agent polls that fit into the drain window: one that was lost, the next one, and as much again for its answer.
const AGENT_POLLS_PER_DRAIN_WINDOW: u32 = 4;
/// Bounds of the interval between agent polls, for drain windows that are very short or very long.
const MIN_AGENT_POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_AGENT_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// How endpoint lists arrive and how long each step may take, by the settings in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadlines {
    /// True: lists come from an agent on this machine, which answers at once and free of charge. False: from a service
    /// that all client proxies share.
    pub pushed: bool,
    /// Window in which a proxy may still send to an endpoint that has started to drain.
    pub drain_grace: Duration,
    /// Longest time between two polls of a shared service.
    pub max_poll_interval: Duration,
}

impl Deadlines {
    /// `polled`: lists come from a shared service.
    pub fn new(polled: bool, rules: &Rules) -> Self {
        Deadlines {
            pushed: !polled,
            drain_grace: Duration::from_micros(rules.drain_grace),
            max_poll_interval: Duration::from_micros(rules.max_poll_interval),
        }
    }

    /// How long a watch waits for an update.
    pub fn watch_wait(&self) -> Duration {
        // The longest wait for which `NOTIFICATION_DELAY` is the later of the two bounds.
        let shortest = NOTIFICATION_DELAY - NOTIFICATION_DELAY_AFTER_WAIT;
        if self.pushed {
            shortest
        } else {
            self.max_poll_interval.clamp(shortest, MAX_WATCH_WAIT)
        }
    }

    /// Timeout of a catch-up poll, which asks for what is there already.
    pub fn catch_up_timeout(&self) -> Duration {
        NOTIFICATION_DELAY_AFTER_WAIT
    }

    /// Interval between polls while an agent does not answer. `unit` is a random number from 0 to 1.
    pub fn agent_poll_interval(&self, unit: f64) -> Duration {
        let interval = self.drain_grace / AGENT_POLLS_PER_DRAIN_WINDOW;
        interval.clamp(MIN_AGENT_POLL_INTERVAL, MAX_AGENT_POLL_INTERVAL).mul_f64(0.75 + unit / 2.0)
    }

    /// Delay before a broken watch of a shared service is reopened, so that client proxies don't do so all at once.
    /// `unit` is a random number from 0 to 1.
    pub fn reopen_delay(&self, unit: f64) -> Duration {
        (NOTIFICATION_DELAY_AFTER_WAIT / 2).mul_f64(0.25 + unit * 0.75)
    }

    /// From the start of a failed poll of a shared service to the start of the next one, at the latest. It leaves time
    /// for an answer within `NOTIFICATION_DELAY` of the moment at which the service became reachable, even if that was
    /// right after the failed poll. `unit` is a random number from 0 to 1.
    pub fn failed_poll_interval(&self, unit: f64) -> Duration {
        let timeout = self.catch_up_timeout();
        timeout + (NOTIFICATION_DELAY - timeout - timeout - SILENCE_DETECTION_DELAY).mul_f64(unit)
    }

    /// A list that has not been confirmed for longer than this may lack a change that counts as notified.
    pub fn max_list_age(&self) -> Duration {
        NOTIFICATION_DELAY.max(self.watch_wait() + NOTIFICATION_DELAY_AFTER_WAIT)
    }
}

#[cfg(test)]
mod tests;
