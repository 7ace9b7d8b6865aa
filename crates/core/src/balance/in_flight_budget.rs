//! The in-flight budget of an endpoint: raised by served trial attempts, decreased on overload.

use super::parameters::{
    FEEDBACK_WEIGHT, FLOOR_CONCURRENCY_CALLS, MAX_BACKOFF_DOUBLINGS, START_CONCURRENCY_CALLS,
};
use crate::endpoint::{Endpoint, InFlightBudget};
use crate::ids::Micros;
use crate::settings::Rules;

/// Highest number of steps of a budget: gRFC A105's default for max_connections_per_subchannel.
const MAX_BUDGET_STEPS: u32 = 10;
/// Lower bound of the factor by which one decrease multiplies the concurrency.
pub(super) const MIN_DECREASE_FACTOR: f64 = 0.5;
/// Multiple of the typical latency after which a changed budget has shown its effect.
const SETTLING_LATENCY_FACTOR: f64 = 2.0;

impl InFlightBudget {
    /// The initial budget: an even share of the endpoint's capacity per client proxy, but at least one call,
    /// since most client proxies are idle.
    pub(super) fn new(proxy_count: u32) -> Self {
        let even_share = |calls: f64| (calls / f64::from(proxy_count.max(1))).max(1.0);
        InFlightBudget {
            steps: 1,
            concurrency: even_share(START_CONCURRENCY_CALLS),
            floor: even_share(FLOOR_CONCURRENCY_CALLS),
            ..InFlightBudget::default()
        }
    }

    /// When the next trial attempt may be sent; `Micros::MAX` while one is in flight.
    pub(super) fn next_trial_at(&self) -> Micros {
        if self.trial_in_flight {
            Micros::MAX
        } else {
            self.backoff_end
        }
    }

    /// Raises the budget after a served trial attempt.
    pub(super) fn increase(&mut self) {
        self.backoff_doublings = 0;
        if self.steps < MAX_BUDGET_STEPS {
            self.steps += 1;
        } else {
            self.concurrency *= 1.0 + 1.0 / f64::from(MAX_BUDGET_STEPS);
        }
    }

    /// Delays the next trial attempt; the delay doubles each time, up to a cap.
    pub(super) fn back_off(&mut self, now: Micros, initial_backoff: Micros) {
        self.backoff_end = now + (initial_backoff << self.backoff_doublings);
        self.backoff_doublings = (self.backoff_doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    /// Multiplies the concurrency by `factor`, but leaves a budget of at least `floor_calls`.
    pub(super) fn decrease(&mut self, factor: f64, floor_calls: f64) {
        let min_concurrency = floor_calls / f64::from(self.steps.max(1));
        self.concurrency = (self.concurrency * factor.max(MIN_DECREASE_FACTOR)).max(min_concurrency);
    }
}

impl Endpoint {
    /// Whether the in-flight budget is used up. During slow start, the budget is scaled down with the
    /// capacity.
    pub(super) fn at_capacity(&self, now: Micros, rules: &Rules) -> bool {
        let steps = f64::from(self.budget.steps);
        let budget = steps * self.budget.concurrency * self.warm_up_factor(now, rules);
        self.in_flight >= (budget + 0.5).max(1.0) as u32
    }

    /// Time from which the samples show the effect of the last budget change: 0 with enough samples,
    /// `Micros::MAX` with fewer samples than attempts in flight.
    pub(super) fn settled_at(&self, typical_latency_us: f64) -> Micros {
        if self.samples_since_change < self.in_flight.max(1) {
            return Micros::MAX;
        }
        if f64::from(self.samples_since_change) * FEEDBACK_WEIGHT >= 1.0 {
            return 0;
        }
        self.budget_changed_at.saturating_add((SETTLING_LATENCY_FACTOR * typical_latency_us) as Micros)
    }
}
