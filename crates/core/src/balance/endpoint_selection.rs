//! Selects the endpoint of a call: the less loaded of two random endpoints below their in-flight budgets.

use super::balancer::Balancer;
use super::parameters::START_CONCURRENCY_CALLS;
use crate::action::Action;
use crate::call_table::{Attempt, Call, Execution};
use crate::endpoint::Endpoint;
use crate::ids::{CallId, Micros};
use crate::weighted_set::WeightedSet;
use rand_pcg::Pcg32;

/// Time constant, as a multiple of the longest latency objective, with which the weight of an endpoint's own
/// latency ratio decays in favour of its machine group's.
const OWN_SAMPLES_LIFETIME_FACTOR: f64 = 8.0;

/// The routing decision for a call.
pub(super) enum Route {
    /// Send the call to the endpoint in this slot.
    Send { slot: usize, is_trial: bool },
    /// Poll the endpoints in these slots for their load before sending the call.
    PollLoad { slots: Vec<usize> },
    /// Keep the call queued.
    Queue,
    /// Reject the call: all endpoints are ejected.
    Reject { retry_after: Micros },
}

impl Route {
    pub(super) fn send_or_queue(slot: Option<usize>, is_trial: bool) -> Route {
        match slot {
            Some(slot) => Route::Send { slot, is_trial },
            None => Route::Queue,
        }
    }
}

impl Balancer {
    /// Chooses an endpoint for a call.
    pub(super) fn route(&mut self, id: CallId) -> Route {
        if !self.index.listed.is_empty() && self.index.ejected_count == self.index.listed.len() {
            let next_change = self.index.next_status_expiry().unwrap_or(self.now);
            let until_change = next_change.saturating_sub(self.now);
            return Route::Reject { retry_after: until_change.max(self.initial_backoff()) };
        }
        if !self.any_capacity() || !self.has_concurrency() {
            return Route::Queue;
        }
        if let Some(slot) = self.slow_start_lottery(id) {
            return Route::Send { slot, is_trial: false };
        }
        let mut random = self.random.clone();
        let route = self.choose_endpoint(id, &mut random);
        self.random = random;
        route
    }

    /// Whether a call may be sent to any endpoint now.
    fn any_capacity(&self) -> bool {
        !self.index.with_capacity.is_empty()
            || !self.index.growth_trial_due.is_empty()
            || self.index.warming_up.iter().any(|slot| self.has_capacity(slot))
    }

    pub(super) fn has_capacity(&self, slot: usize) -> bool {
        let endpoint = &self.endpoints[slot];
        endpoint.accepts_calls(self.now) && !endpoint.at_capacity(self.now, &self.settings.rules)
    }

    /// Prefers endpoints at which the class does not fail, unless the call would have to wait for one of
    /// them.
    fn choose_endpoint(&self, id: CallId, random: &mut Pcg32) -> Route {
        if self.is_class_failing_at_a_minority(self.calls[id].class_id) {
            let route = self.choose_among(id, true, random);
            if !matches!(route, Route::Queue) {
                return route;
            }
        }
        self.choose_among(id, false, random)
    }

    /// Whether a class fails at some of the available endpoints, but at no more than half: then the fault is
    /// in these endpoints, not in the calls.
    fn is_class_failing_at_a_minority(&self, class_id: usize) -> bool {
        let is_avoided = |&slot: &usize| {
            self.index.available.contains(slot) && self.endpoints[slot].avoids(class_id, self.now)
        };
        let avoided = self.index.slots_failing_class(class_id).filter(is_avoided).count();
        avoided > 0 && avoided * 2 <= self.index.available.len()
    }

    /// Chooses an endpoint; with `only_healthy`, one that has capacity and at which the class does not fail.
    fn choose_among(&self, id: CallId, only_healthy: bool, random: &mut Pcg32) -> Route {
        let call = &self.calls[id];
        let prefers_new = self.has_new_endpoint(call);
        let is_eligible = |slot: usize| {
            let endpoint = &self.endpoints[slot];
            self.may_attempt_at(call, slot)
                && (!prefers_new || call.has_not_attempted(endpoint.id))
                && !(only_healthy && endpoint.avoids(call.class_id, self.now))
        };
        let is_eligible_warming_up =
            |slot: usize| self.may_bypass_lottery(slot) && self.has_capacity(slot) && is_eligible(slot);
        if self.is_low_traffic() {
            return self.choose_in_low_traffic(id, is_eligible, is_eligible_warming_up, random);
        }
        // If the chosen endpoint is at capacity, the choice is repeated among the endpoints with capacity.
        let with_capacity = &self.index.with_capacity;
        let chosen = self
            .best_of_two(&self.index.available, is_eligible, random)
            .filter(|&slot| with_capacity.contains(slot))
            .or_else(|| self.best_of_two(with_capacity, is_eligible, random))
            .or_else(|| self.best_of_two(&self.index.warming_up, is_eligible_warming_up, random));
        if chosen.is_some() || only_healthy {
            return Route::send_or_queue(chosen, false);
        }
        Route::send_or_queue(self.best_of_two(&self.index.growth_trial_due, is_eligible, random), true)
    }

    fn may_attempt_at(&self, call: &Call, slot: usize) -> bool {
        call.may_attempt(self.now, &self.endpoints[slot], self.settings.clock_tick)
    }

    /// Whether the call may be sent to an endpoint that it has not been sent to yet.
    fn has_new_endpoint(&self, call: &Call) -> bool {
        if call.attempts.is_empty() {
            return true;
        }
        let available = &self.index.available;
        let candidates = if available.is_empty() { &self.index.warming_up } else { available };
        let is_new = |slot: usize| call.has_not_attempted(self.endpoints[slot].id);
        candidates.iter().any(|slot| self.may_attempt_at(call, slot) && is_new(slot))
    }

    /// Whether an endpoint in slow start may be sent calls outside the slow-start lottery: if no warm
    /// endpoint is available, or if none has capacity and this endpoint can serve the same number of calls
    /// from every client proxy. Not in low-traffic mode, where each of many client proxies would send it one
    /// call.
    fn may_bypass_lottery(&self, slot: usize) -> bool {
        if self.is_low_traffic() {
            return false;
        }
        if self.index.available.is_empty() {
            return true;
        }
        let endpoint = &self.endpoints[slot];
        let all_proxies_calls = (f64::from(endpoint.in_flight) + 0.5) * f64::from(self.settings.proxy_count);
        let factor = endpoint.warm_up_factor(self.now, &self.settings.rules);
        self.index.with_capacity.is_empty() && all_proxies_calls <= START_CONCURRENCY_CALLS * factor
    }

    /// The less loaded of two random endpoints of a set, each sampled in proportion to its size.
    pub(super) fn best_of_two(
        &self,
        set: &WeightedSet,
        is_eligible: impl Fn(usize) -> bool,
        random: &mut Pcg32,
    ) -> Option<usize> {
        self.least_loaded(set.sample_two(random, is_eligible))
    }

    /// The endpoint with the fewest own attempts in flight; ties are broken by the polled load, then by the
    /// expected latency ratio.
    pub(super) fn least_loaded(&self, slots: impl IntoIterator<Item = usize>) -> Option<usize> {
        let rules = &self.settings.rules;
        let tie_break = |endpoint: &Endpoint| {
            (endpoint.polled_load(self.now, rules), self.expected_latency_ratio(endpoint))
        };
        slots.into_iter().reduce(|best, candidate| {
            let best_endpoint = &self.endpoints[best];
            let endpoint = &self.endpoints[candidate];
            let is_better = endpoint.in_flight < best_endpoint.in_flight
                || endpoint.in_flight == best_endpoint.in_flight
                    && tie_break(endpoint) < tie_break(best_endpoint);
            if is_better {
                candidate
            } else {
                best
            }
        })
    }

    /// An endpoint's own latency ratio, gradually replaced by its machine group's as the own samples age.
    pub(super) fn expected_latency_ratio(&self, endpoint: &Endpoint) -> f64 {
        let age_us = self.now.saturating_sub(endpoint.last_feedback_at) as f64;
        let lifetime_us = OWN_SAMPLES_LIFETIME_FACTOR * self.classes.max_latency_objective_us();
        let own_weight = (-age_us / lifetime_us).exp();
        let group = self.machine_groups.get(&endpoint.machine_group());
        let group_ratio = group.map_or(0.0, |group| group.latency_ratio);
        endpoint.latency_ratio * own_weight + group_ratio * (1.0 - own_weight)
    }

    /// Sends an attempt of a call to the endpoint in this slot.
    pub(super) fn send(&mut self, id: CallId, slot: usize, is_trial: bool) {
        let Some(attempt) = self.start_attempt(id, slot, is_trial) else { return };
        let clock_tick = self.settings.clock_tick;
        let Some(call) = self.calls.get_mut(id) else { return };
        let send_before = call.deduplication_deadline(clock_tick);
        call.attempts.push(attempt);
        let call = &self.calls[id];
        let typical_us = self.classes.typical_latency_us(call.class_id, call.class.latency_objective);
        // A response after the weight deadline has no priority weight: the endpoint's capacity is better used
        // for other calls.
        let weight_deadline = call.weight_deadline();
        let can_be_in_time = weight_deadline as f64 > self.now as f64 + typical_us;
        let timeout_at = (weight_deadline < call.deadline && can_be_in_time).then_some(weight_deadline);
        let hedge_at = self.hedge_at(call, typical_us);
        self.actions.push(Action::Send { call: id, endpoint: attempt.endpoint, timeout_at, send_before });
        self.calls.timers.set(id, hedge_at);
        if attempt.occupies_capacity {
            self.concurrency_limit.acquire(self.now);
        }
        self.refresh_status(slot);
    }

    /// Creates an attempt and counts it as in flight at its endpoint.
    fn start_attempt(&mut self, id: CallId, slot: usize, is_trial: bool) -> Option<Attempt> {
        let call = self.calls.get(id)?;
        let poll_lifetime = self.load_poll_timeout(call);
        let initial_backoff = self.initial_backoff();
        let endpoint = &mut self.endpoints[slot];
        if let Some(health) = endpoint.class_health.get_mut(&call.class_id) {
            if health.is_failing() {
                health.back_off(self.now, initial_backoff);
            }
        }
        let was_polled = endpoint.polled_at != 0 && endpoint.polled_in_flight < f64::MAX;
        let is_recent = endpoint.polled_at + poll_lifetime > self.now;
        let polled_load =
            if was_polled && is_recent { endpoint.polled_load(self.now, &self.settings.rules) } else { 0.0 };
        let is_trial = is_trial && !call.is_delayed;
        if !call.is_delayed {
            endpoint.in_flight += 1;
        }
        endpoint.polled_in_flight += 1.0;
        if is_trial {
            endpoint.budget.trial_in_flight = true;
        }
        Some(Attempt {
            endpoint: endpoint.id,
            zone: endpoint.zone,
            cell: endpoint.cell,
            sent_at: self.now,
            is_trial,
            polled_load,
            response_started: false,
            occupies_capacity: !call.is_delayed,
            execution: Execution::InFlight,
        })
    }
}
