//! The status of an endpoint, which determines whether calls and trial attempts may be sent to it.

use super::balancer::Balancer;
use crate::endpoint::Endpoint;
use crate::endpoint_index::{EndpointKey, EndpointStatus};
use crate::ids::Micros;

impl Endpoint {
    /// Whether the endpoint is listed, not ejected and not in rejection backoff; it may still be at capacity
    /// or in slow start.
    pub(super) fn accepts_calls(&self, now: Micros) -> bool {
        self.listed && self.budget.steps > 0 && now >= self.rejection_backoff_end
    }
}

impl Balancer {
    /// Number of listed endpoints that are currently unavailable: ejected, or in backoff after they rejected
    /// a call.
    pub fn unavailable_endpoints(&self, now: Micros) -> usize {
        self.endpoints.iter().filter(|endpoint| endpoint.listed && !endpoint.accepts_calls(now)).count()
    }

    /// Updates the index with the current status of an endpoint, and removes the endpoint if it is unlisted
    /// and idle. Must be called after each change that affects the status.
    pub(crate) fn refresh_status(&mut self, slot: usize) {
        let endpoint = &self.endpoints[slot];
        let key = EndpointKey {
            size: endpoint.size,
            rank: endpoint.rank,
            started_at: endpoint.started_at.min(self.now),
        };
        let status = self.endpoint_status(endpoint);
        self.index.update(slot, status, key);
        if !endpoint.listed && endpoint.in_flight == 0 {
            self.index.clear_failing_classes(slot, endpoint.class_health.keys());
            self.endpoints.remove(endpoint.id, slot);
        }
    }

    /// The current status of an endpoint.
    pub(crate) fn endpoint_status(&self, endpoint: &Endpoint) -> EndpointStatus {
        let rules = &self.settings.rules;
        let listed = endpoint.listed;
        let is_warm = endpoint.warm_up_factor(self.now, rules) >= 1.0;
        let at_capacity = endpoint.at_capacity(self.now, rules);
        let ejected = listed && endpoint.budget.steps == 0;
        let available = endpoint.accepts_calls(self.now) && is_warm;
        let trial_at = endpoint.budget.next_trial_at();
        let growth_trial_at = self.growth_trial_at(endpoint);
        // Re-admission trials wait for the end of slow start, since the trials of all client proxies together
        // would overload the endpoint.
        let readmission_at = trial_at.max(endpoint.rejection_backoff_end);
        let changes_at = [
            endpoint.started_at.saturating_add(rules.warm_up_duration),
            endpoint.rejection_backoff_end,
            trial_at,
            if at_capacity { growth_trial_at } else { 0 },
        ];
        let is_pending = |&at: &Micros| listed && at > self.now && at < Micros::MAX;
        EndpointStatus {
            listed,
            ejected,
            readmission_due: ejected && is_warm && self.now >= readmission_at,
            warming_up: listed && !is_warm,
            available,
            has_capacity: available && !at_capacity,
            growth_trial_due: available && at_capacity && self.now >= growth_trial_at,
            same_zone: endpoint.zone == self.settings.zone,
            valid_until: changes_at.into_iter().filter(is_pending).min(),
        }
    }

    /// Earliest time of a trial attempt that may raise the budget: never during overload, and not before the
    /// last change of the budget has shown its effect.
    fn growth_trial_at(&self, endpoint: &Endpoint) -> Micros {
        if endpoint.latency_ratio > 1.0 {
            return Micros::MAX;
        }
        let settled_at = if endpoint.budget_changed_at == 0 {
            0
        } else {
            endpoint.settled_at(self.classes.max_typical_latency_us())
        };
        endpoint.budget.next_trial_at().max(settled_at)
    }
}
