//! Slow start: how many calls an endpoint gets whose process has just started.

use super::balancer::Balancer;
use crate::ids::CallId;

/// Probability with which a call goes to an endpoint in slow start, over that endpoint's present share of the
/// capacity.
const LOTTERY_SHARE_FACTOR: f64 = 1.2;
/// At most this share of the load that overloads such an endpoint, at a load that all endpoints bear when
/// warm. Where many endpoints warm up their present share of the capacity grows, but not what they can serve.
const MAX_OVERLOAD_RATIO: f64 = 2.0 / 3.0;

impl Balancer {
    /// Chooses an endpoint in slow start with the probability of its present share of the capacity.
    ///
    /// All client proxies learn of a new endpoint at the same time, and each finds it idle: without the
    /// lottery they would overload it together. Each call takes part once.
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

    /// Probability with which a call goes to any of the endpoints in slow start.
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
