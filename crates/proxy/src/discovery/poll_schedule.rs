//! When discovery is polled next.

use super::deadlines::{Deadlines, ADDRESS_CHANGE_NOTIFICATION_DELAY};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use tokio::time::Instant;

/// The times of the next polls, with the random spread between client proxies.
pub struct PollSchedule {
    random: Pcg32,
    /// Latest time of the next poll of a shared service; the balancer may request it sooner.
    service_poll_at: Option<Instant>,
    /// Until then a failed poll of a shared service is retried after the short `reopen_delay`.
    fast_retry_until: Instant,
    /// The last poll failed: a poll that may wait could not tell silence from no update.
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

    /// Latest time of the next poll of a shared service, if there is one.
    pub fn service_poll_at(&self) -> Option<Instant> {
        self.service_poll_at
    }

    /// Did the last poll fail?
    pub fn last_poll_failed(&self) -> bool {
        self.last_poll_failed
    }

    /// When a polling of an agent may start: now, or one interval after the last poll.
    pub fn first_agent_poll_at(&mut self, deadlines: &Deadlines) -> Instant {
        let now = Instant::now();
        match self.last_agent_poll_at {
            Some(last) => now.max(last + deadlines.agent_poll_interval(self.random.gen())),
            None => now,
        }
    }

    /// A poll of an agent that was due at `due` starts; returns when the next one is due.
    pub fn agent_poll_started(&mut self, due: Instant, deadlines: &Deadlines) -> Instant {
        self.last_agent_poll_at = Some(due);
        Instant::now() + deadlines.agent_poll_interval(self.random.gen())
    }

    /// The settings name a shared service now instead of an agent.
    pub fn switch_to_service(&mut self, due: Instant) {
        self.service_poll_at = Some(due);
    }

    /// A poll of a shared service starts.
    pub fn service_poll_started(&mut self) {
        self.service_poll_at = None;
    }

    /// A poll of a shared service was answered.
    pub fn service_poll_answered(&mut self) {
        self.last_poll_failed = false;
    }

    /// A poll of a shared service that started at `started` failed.
    pub fn service_poll_failed(&mut self, started: Instant, deadlines: &Deadlines) {
        self.last_poll_failed = true;
        self.service_poll_at = Some(if started < self.fast_retry_until {
            Instant::now() + deadlines.reopen_delay(self.random.gen())
        } else {
            started + deadlines.failed_poll_interval(self.random.gen())
        });
    }

    /// A watch broke. `service_failed`: the service itself fails, rather than one watch of many.
    pub fn watch_broke(&mut self, service_failed: bool, deadlines: &Deadlines) {
        let unit = self.random.gen();
        let delay =
            if service_failed { deadlines.failed_poll_interval(unit) } else { deadlines.reopen_delay(unit) };
        self.service_poll_at = Some(Instant::now() + delay);
        self.last_poll_failed = true;
    }

    /// Discovery has another address.
    pub fn address_changed(&mut self, deadlines: &Deadlines) {
        self.last_agent_poll_at = None;
        self.service_poll_at = Some(Instant::now() + deadlines.reopen_delay(self.random.gen()));
        self.fast_retry_until = Instant::now() + ADDRESS_CHANGE_NOTIFICATION_DELAY;
    }
}
