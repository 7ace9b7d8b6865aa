//! Slow start: limits the calls that are sent to an endpoint whose process has just started.

use super::balancer::Balancer;
use crate::ids::CallId;

/// Probability with which a call is sent to an endpoint in slow start, divided by that endpoint's current
/// share of the capacity.
const LOTTERY_SHARE_FACTOR: f64 = 1.2;
/// Highest load of an endpoint in slow start, as a share of the load that overloads it, while the total load
/// is one that all endpoints can serve when warm. If many endpoints warm up, their current shares of the
/// capacity grow, but not the load that they can serve.
const MAX_OVERLOAD_RATIO: f64 = 2.0 / 3.0;

impl Balancer {
    /// Chooses an endpoint in slow start with a probability that follows its current share of the capacity.
    ///
    /// All client proxies discover a new endpoint at the same time, and to each it appears idle: without the
    /// lottery, they would overload it together. Each call takes part once.
    pub(super) fn slow_start_lottery(&mut self, id: CallId) -> Option<usize> {
        let call = self.calls.get_mut(id)?;
        if !call.slow_start_eligible || !call.attempts.is_empty() {
            return None;
        }
        call.slow_start_eligible = false;
        let ticket = self.random_unit();
        if self.index.warming_up.is_empty() || ticket >= self.slow_start_probability() {
            return None;
        }
        let rules = self.settings.rules;
        let warm_up_factor = |slot: usize| self.endpoints[slot].warm_up_factor(self.now, &rules);
        let slot = self.index.warming_up.sample(&mut self.random, None, warm_up_factor)?;
        self.has_capacity(slot).then_some(slot)
    }

    /// Probability with which a call is sent to any of the endpoints in slow start.
    fn slow_start_probability(&self) -> f64 {
        let rules = &self.settings.rules;
        let total_size = self.index.listed.total();
        let warming_up_size = self.index.warming_up.total();
        let warmed_size = self.index.warming_up_age_sum_us(self.now) / rules.warm_up_duration.max(1) as f64;
        let current_size =
            warming_up_size * rules.warm_up_initial_ratio + warmed_size * (1.0 - rules.warm_up_initial_ratio);
        let share_per_size = LOTTERY_SHARE_FACTOR / (total_size - warming_up_size + current_size);
        let max_per_size = MAX_OVERLOAD_RATIO * rules.warm_up_overload_factor / total_size;
        share_per_size.min(max_per_size) * current_size
    }
}
