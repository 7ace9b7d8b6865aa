//! The live proxy count: how many client proxies share the endpoints, estimated on the safe side.
//!
//! Counting too few lets the fleet overload the endpoints, so the count rises at once and falls slowly, and stays
//! as it is while a network partition is suspected.

use crate::Micros;
use std::collections::VecDeque;

/// Members that fall silent within this span are taken as one event.
const CORRELATION_WINDOW_US: Micros = 3_000_000;
/// The share of the count that falls silent together from which on a partition is suspected.
const PARTITION_RATIO: f64 = 1.0 / 3.0;
/// How long the count does not fall after a start, a suspected partition or a disagreement of views.
const FREEZE_US: Micros = 60_000_000;
/// Share of the count by which it falls at a time, and by one at the least.
const MAX_DECREASE_RATIO: f64 = 0.1;
/// Shortest time between two decreases.
const DECREASE_INTERVAL_US: Micros = 1_000_000;

/// The live proxy count in force.
#[derive(Clone, Debug)]
pub struct LiveCount {
    /// The count from the configuration.
    configured: usize,
    count: usize,
    /// When members were suspected, within the correlation window.
    suspected_at: VecDeque<Micros>,
    /// When deaths are confirmed, unless a partition is suspected before.
    pending_deaths: VecDeque<Micros>,
    /// Departures by which the count may fall although it is frozen.
    confirmed_departures: usize,
    /// Until then the count falls by confirmed departures only.
    frozen_until: Micros,
    last_decrease_at: Micros,
    partition_suspected: bool,
}

impl LiveCount {
    /// Starts with the configured count, frozen.
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

    /// The count in force.
    pub fn get(&self) -> usize {
        self.count
    }

    /// So many members fell silent together that a network partition is suspected.
    pub fn suspects_partition(&self) -> bool {
        self.partition_suspected
    }

    /// Takes a new count from the configuration; zero counts as one.
    pub fn set_configured(&mut self, configured: usize) {
        self.configured = configured.max(1);
    }

    /// A member fell silent.
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

    /// A member announced that it leaves.
    pub fn member_left(&mut self) {
        self.confirmed_departures += 1;
    }

    /// A member was declared dead. The death is confirmed only after the correlation window, as others may be
    /// silent with it.
    pub fn member_died(&mut self, now: Micros) {
        self.freeze(now);
        if !self.partition_suspected {
            self.pending_deaths.push_back(now + CORRELATION_WINDOW_US);
        }
    }

    /// Adds departures that another part of the fleet has announced or confirmed.
    pub fn confirm_departures(&mut self, departures: usize) {
        self.confirmed_departures += departures;
    }

    /// From now on the count falls by confirmed departures only, for the freeze time.
    pub fn freeze(&mut self, now: Micros) {
        self.frozen_until = self.frozen_until.max(now + FREEZE_US);
    }

    /// Brings the count up to date with the view: `live` members, this process included, of whom `unsuspected`
    /// are not suspected; `views_agree` says whether the other members hold the same view.
    pub fn update(&mut self, now: Micros, live: usize, unsuspected: usize, views_agree: bool) {
        // A process that knows nobody else serves as one without membership does.
        let live = if live <= 1 { self.configured } else { live };
        self.confirm_pending_deaths(now);
        if !views_agree {
            // A member that disagrees may know of some that are not seen from here.
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
