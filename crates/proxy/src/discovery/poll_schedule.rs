//! Times at which discovery is polled.

use super::deadlines::{Deadlines, ADDRESS_CHANGE_NOTIFICATION_DELAY};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use tokio::time::Instant;

/// Schedules the next polls, randomised to spread the polls of many client proxies.
pub struct PollSchedule {
    random: Pcg32,
    /// Latest time of the next poll of a shared service; the balancer may request one earlier.
    service_poll_at: Option<Instant>,
    /// A failed poll of a shared service that started before this time is retried after the short `reopen_delay`.
    fast_retry_until: Instant,
    /// The last poll failed. The next one must not wait: an unanswered poll that waits could mean a silent service or
    /// the lack of an update.
    last_poll_failed: bool,
    /// Start of the last poll of an agent.
    last_agent_poll_at: Option<Instant>,
}

impl PollSchedule {
    /// The first poll is due at `now`.
    pub fn new(seed: u64, now: Instant) -> Self {
        PollSchedule {
            random: Pcg32::seed_from_u64(seed),
            service_poll_at: Some(now),
            fast_retry_until: now,
            last_poll_failed: false,
            last_agent_poll_at: None,
        }
    }

    /// Latest time of the next poll of a shared service, if one is scheduled.
    pub fn service_poll_at(&self) -> Option<Instant> {
        self.service_poll_at
    }

    /// Whether the last poll failed.
    pub fn last_poll_failed(&self) -> bool {
        self.last_poll_failed
    }

    /// Time of the first of a series of agent polls: now, or one interval after the last poll.
    pub fn first_agent_poll_at(&mut self, deadlines: &Deadlines) -> Instant {
        let now = Instant::now();
        match self.last_agent_poll_at {
            Some(last) => now.max(last + deadlines.agent_poll_interval(self.random.gen())),
            None => now,
        }
    }

    /// Records the start of an agent poll that was due at `due`. Returns the time of the next one.
    pub fn agent_poll_started(&mut self, due: Instant, deadlines: &Deadlines) -> Instant {
        self.last_agent_poll_at = Some(due);
        Instant::now() + deadlines.agent_poll_interval(self.random.gen())
    }

    /// Records that new settings replace the agent by a shared service, whose first poll is due at `due`.
    pub fn switch_to_service(&mut self, due: Instant) {
        self.service_poll_at = Some(due);
    }

    /// Records the start of a poll of a shared service.
    pub fn service_poll_started(&mut self) {
        self.service_poll_at = None;
    }

    /// Records an answered poll of a shared service.
    pub fn service_poll_answered(&mut self) {
        self.last_poll_failed = false;
    }

    /// Records the failure of a poll of a shared service that started at `started`, and schedules the next one.
    pub fn service_poll_failed(&mut self, started: Instant, deadlines: &Deadlines) {
        self.last_poll_failed = true;
        self.service_poll_at = Some(if started < self.fast_retry_until {
            Instant::now() + deadlines.reopen_delay(self.random.gen())
        } else {
            started + deadlines.failed_poll_interval(self.random.gen())
        });
    }

    /// Records a broken watch and schedules the next poll. `service_failed`: the service itself failed, not only this
    /// watch.
    pub fn watch_broke(&mut self, service_failed: bool, deadlines: &Deadlines) {
        let unit = self.random.gen();
        let delay =
            if service_failed { deadlines.failed_poll_interval(unit) } else { deadlines.reopen_delay(unit) };
        self.service_poll_at = Some(Instant::now() + delay);
        self.last_poll_failed = true;
    }

    /// Records a new address of discovery and schedules its first poll.
    pub fn address_changed(&mut self, deadlines: &Deadlines) {
        self.last_agent_poll_at = None;
        self.service_poll_at = Some(Instant::now() + deadlines.reopen_delay(self.random.gen()));
        self.fast_retry_until = Instant::now() + ADDRESS_CHANGE_NOTIFICATION_DELAY;
    }
}
