//! How much a server gets: its budget, grown by trials and cut by strain, and when it is set aside.

use super::state::*;

/// Most steps of a budget: A105's default for max_connections_per_subchannel.
const STEP_CLAMP: u32 = 10;
/// Calls in flight at a server over all balancers that cuts for mild strain leave.
pub(super) const FLOOR_CONCURRENCY: f64 = 12.0;

impl Budget {
    pub(super) fn new(balancers: u32) -> Self {
        // Never under one call: among many balancers most are silent, and an even part starves the others.
        let of_all = |concurrency: f64| (concurrency / f64::from(balancers.max(1))).max(1.0);
        let (concurrency, floor) = (of_all(START_CONCURRENCY), of_all(FLOOR_CONCURRENCY));
        Budget { steps: 1, concurrency, floor, ..Budget::default() }
    }

    /// From when on a call may pass as a trial, unless something else forbids it.
    pub(super) fn trial_at(&self) -> Micros {
        if self.trial_out {
            Micros::MAX
        } else {
            self.backoff_end
        }
    }

    pub(super) fn trial_served(&mut self) {
        self.doublings = 0;
        if self.steps < STEP_CLAMP {
            self.steps += 1;
        } else {
            // At the clamp the concurrency figure itself was learned too low: it takes the step instead.
            self.concurrency *= 1.0 + 1.0 / f64::from(STEP_CLAMP);
        }
    }

    pub(super) fn back_off(&mut self, now: Micros, first: Micros) {
        self.backoff_end = now + (first << self.doublings);
        self.doublings = (self.doublings + 1).min(BACKOFF_DOUBLINGS);
    }

    pub(super) fn cut(&mut self, to: f64, floor: f64) {
        let least = floor / f64::from(self.steps.max(1));
        self.concurrency = (self.concurrency * to.max(CUT_MOST)).max(least);
    }
}

impl Server {
    pub(super) fn full(&self, now: Micros, rules: &Rules) -> bool {
        let budget = f64::from(self.budget.steps) * self.budget.concurrency * self.warmth(now, rules);
        self.in_flight >= (budget + 0.5).max(1.0) as u32
    }

    /// Is it up, apart from its budget?
    pub(super) fn usable(&self, now: Micros) -> bool {
        self.listed && self.budget.steps > 0 && now >= self.not_before
    }

    /// From when on enough answers are in since its budget last changed to tell what the change did.
    pub(super) fn settled_at(&self, usual: f64) -> Micros {
        match self.answers_since {
            few if few < self.in_flight.max(1) => Micros::MAX,
            many if f64::from(many) * SMOOTHING >= 1.0 => 0,
            _ => self.changed.saturating_add((2.0 * usual) as Micros),
        }
    }
}

impl Balancer {
    /// Never most of the fleet: trouble seen everywhere is not the servers' own.
    pub(super) fn may_set_aside(&self) -> bool {
        (self.sets.aside + 1) * 2 <= self.sets.listed.len()
    }

    /// Files a server where it stands now; each change of what its standing follows from ends here.
    pub(crate) fn refile(&mut self, place: usize) {
        let server = &self.servers[place];
        let mark = Mark { size: server.size, rank: server.rank, started: server.started.min(self.now) };
        let standing = self.standing(server);
        self.sets.put(place, standing, mark);
        if !server.listed && server.in_flight == 0 {
            self.sets.well_again(place, server.fares.keys());
            self.servers.leave(server.id, place);
        }
    }

    pub(crate) fn standing(&self, server: &Server) -> Standing {
        let rules = &self.settings.rules;
        let Server { listed, strain, changed, not_before, .. } = *server;
        let (warm, full) = (server.warmth(self.now, rules) >= 1.0, server.full(self.now, rules));
        let aside = listed && server.budget.steps == 0;
        let up = server.usable(self.now) && warm;
        let trial_at = server.budget.trial_at();
        // A strained server grows no further, nor one whose last change has not shown what it did.
        let settled_at = if changed == 0 { 0 } else { server.settled_at(self.classes.longest_usual()) };
        let grows_at = if strain > 1.0 { Micros::MAX } else { trial_at.max(settled_at) };
        let warm_at = server.started.saturating_add(rules.warm_up_duration);
        let moments = [warm_at, not_before, trial_at, if full { grows_at } else { 0 }];
        let until = moments.into_iter().filter(|&at| listed && at > self.now && at < Micros::MAX).min();
        Standing {
            listed,
            aside,
            // All balancers' trials together could push a cold server over.
            returning: aside && warm && self.now >= trial_at.max(not_before),
            cold: listed && !warm,
            up,
            room: up && !full,
            trial: up && full && self.now >= grows_at,
            near: server.zone == self.settings.zone,
            until,
        }
    }
}
