//! The live proxy count: a conservative estimate of how many client proxies share the endpoints.
//!
//! If the count is too low, the fleet overloads the endpoints. The count therefore rises at once and falls
//! slowly; when a network partition is suspected, it is frozen, and only confirmed departures lower it.

use crate::Micros;
use std::collections::VecDeque;

/// Suspicions of several members within this window count as one event.
const CORRELATION_WINDOW_US: Micros = 3_000_000;
/// A network partition is suspected if at least this share of the count is suspected within the window.
const PARTITION_RATIO: f64 = 1.0 / 3.0;
/// How long the count is frozen after a start, a suspected partition, a death or a disagreement of views.
const FREEZE_US: Micros = 60_000_000;
/// Maximum share of the count by which one decrease lowers it; a decrease by one is always permitted.
const MAX_DECREASE_RATIO: f64 = 0.1;
/// Minimum time between two decreases.
const DECREASE_INTERVAL_US: Micros = 1_000_000;

/// The current live proxy count.
#[derive(Clone, Debug)]
pub struct LiveCount {
    /// The count from the configuration.
    configured: usize,
    count: usize,
    /// The times at which members were suspected, within the correlation window.
    suspected_at: VecDeque<Micros>,
    /// The times at which deaths are confirmed unless a partition is suspected before.
    pending_deaths: VecDeque<Micros>,
    /// Number of departures by which the count may fall although it is frozen.
    confirmed_departures: usize,
    /// Before this time, only confirmed departures lower the count.
    frozen_until: Micros,
    last_decrease_at: Micros,
    partition_suspected: bool,
}

impl LiveCount {
    /// Starts with the configured count, frozen; zero counts as one.
    pub fn new(now: Micros, configured: usize) -> Self {
        let configured = configured.max(1);
        LiveCount {
            configured,
            count: configured,
            suspected_at: VecDeque::new(),
            pending_deaths: VecDeque::new(),
            confirmed_departures: 0,
            frozen_until: now + FREEZE_US,
            last_decrease_at: now,
            partition_suspected: false,
        }
    }

    /// The current count.
    pub fn get(&self) -> usize {
        self.count
    }

    /// Whether so many members were suspected together that a network partition is suspected.
    pub fn suspects_partition(&self) -> bool {
        self.partition_suspected
    }

    /// Sets the configured count; zero counts as one.
    pub fn set_configured(&mut self, configured: usize) {
        self.configured = configured.max(1);
    }

    /// Records that a member is suspected.
    pub fn member_suspected(&mut self, now: Micros) {
        self.suspected_at.push_back(now);
        while self.suspected_at.front().is_some_and(|at| at + CORRELATION_WINDOW_US < now) {
            self.suspected_at.pop_front();
        }
        if self.suspected_at.len() as f64 >= self.count as f64 * PARTITION_RATIO {
            self.partition_suspected = true;
            self.frozen_until = now + FREEZE_US;
            self.pending_deaths.clear();
        }
    }

    /// Records that a member announced its departure.
    pub fn member_left(&mut self) {
        self.confirmed_departures += 1;
    }

    /// Records that a member was declared dead. The death is confirmed only after the correlation window,
    /// because other members may have become unreachable at the same time.
    pub fn member_died(&mut self, now: Micros) {
        self.freeze(now);
        if !self.partition_suspected {
            self.pending_deaths.push_back(now + CORRELATION_WINDOW_US);
        }
    }

    /// Adds departures that have already been announced or confirmed in their scopes.
    pub fn confirm_departures(&mut self, departures: usize) {
        self.confirmed_departures += departures;
    }

    /// Freezes the count for the freeze time: only confirmed departures lower it.
    pub fn freeze(&mut self, now: Micros) {
        self.frozen_until = self.frozen_until.max(now + FREEZE_US);
    }

    /// Updates the count from the view: `live` members, this process included, of whom `unsuspected` are not
    /// suspected. `views_agree` is whether the other members have the same view.
    pub fn update(&mut self, now: Micros, live: usize, unsuspected: usize, views_agree: bool) {
        // A process without other members uses the configured count, as it does without membership.
        let live = if live <= 1 { self.configured } else { live };
        self.confirm_pending_deaths(now);
        if !views_agree {
            // A member with another view may know live members that are unknown here.
            self.freeze(now);
        }
        if live >= self.count {
            self.count = live;
            self.confirmed_departures = 0;
            self.partition_suspected &= unsuspected < live;
            return;
        }
        self.decrease(now, self.count - live);
    }

    fn confirm_pending_deaths(&mut self, now: Micros) {
        while self.pending_deaths.front().is_some_and(|at| *at <= now) {
            self.pending_deaths.pop_front();
            self.confirmed_departures += 1;
        }
    }

    /// Lowers the count by at most `missing`, as far as the freeze and the interval allow.
    fn decrease(&mut self, now: Micros, missing: usize) {
        self.confirmed_departures = self.confirmed_departures.min(missing);
        let frozen = now < self.frozen_until;
        let allowed = if frozen { self.confirmed_departures } else { missing };
        if allowed == 0 || now < self.last_decrease_at + DECREASE_INTERVAL_US {
            return;
        }
        let max_step = ((self.count as f64 * MAX_DECREASE_RATIO) as usize).max(1);
        let step = max_step.min(allowed);
        self.count -= step;
        self.last_decrease_at = now;
        self.confirmed_departures = self.confirmed_departures.saturating_sub(step);
        self.partition_suspected &= frozen;
    }
}
