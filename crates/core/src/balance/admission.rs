//! Admission: whether a call may join the request queue, and whether the concurrency limit allows sending it.

use super::balancer::Balancer;
use super::concurrency_limit::Release;
use super::parameters::{FLOOR_CONCURRENCY_CALLS, HEADROOM_FACTOR, START_CONCURRENCY_CALLS};
use crate::call_table::Call;
use crate::ids::{CallId, Micros};

/// Wait of the first queued call beyond which a new call is rejected, as a share of the time that the new
/// call has left until its weight deadline.
const MAX_WAIT_OBJECTIVE_RATIO: f64 = 0.1;
/// Caps the remaining time in that calculation at this multiple of the shortest latency objective, so that
/// classes with long objectives do not fill the queue.
const MAX_WAIT_SHORTEST_OBJECTIVE_FACTOR: f64 = 2.0;

impl Balancer {
    /// Even share per client proxy of the concurrent calls that all endpoints except the ejected ones can
    /// serve.
    fn even_share_calls(&self) -> f64 {
        let not_ejected = self.index.listed.len() - self.index.ejected_count;
        START_CONCURRENCY_CALLS * not_ejected as f64 / f64::from(self.settings.proxy_count.max(1))
    }

    /// Whether the concurrency limit allows another call. With few client proxies, the in-flight budgets are
    /// sufficient and the limit does not apply.
    pub(super) fn has_concurrency(&mut self) -> bool {
        if f64::from(self.settings.proxy_count) <= FLOOR_CONCURRENCY_CALLS {
            return true;
        }
        let even_share = self.even_share_calls();
        self.concurrency_limit.has_capacity(self.now, even_share)
    }

    /// Removes an ended attempt from the concurrency limit, which adapts to the attempt's outcome.
    pub(super) fn release_concurrency(&mut self, release: &Release) {
        let even_share = self.even_share_calls();
        let max_objective_us = self.classes.max_latency_objective_us();
        self.concurrency_limit.release(self.now, release, even_share, max_objective_us);
    }

    /// Longest wait of the first queued call, in microseconds, with which this call may still join the queue.
    /// Without a limit, all calls in a long queue would be late. Calls of protected classes may have a
    /// higher limit.
    pub(super) fn max_queue_wait(&self, id: CallId) -> Micros {
        let call = &self.calls[id];
        let typical_us = self.classes.typical_latency_us(call.class_id, call.class.latency_objective);
        let remaining_us = call.weight_deadline().saturating_sub(call.arrived_at) as f64;
        let objectives = self.classes.active().map(|record| record.class.latency_objective);
        let shortest_us = objectives.min().unwrap_or(0) as f64;
        let capped_us = remaining_us.min(MAX_WAIT_SHORTEST_OBJECTIVE_FACTOR * shortest_us);
        let limit_us = capped_us * MAX_WAIT_OBJECTIVE_RATIO;
        let protected_limit_us =
            if self.is_protected(call) { remaining_us - HEADROOM_FACTOR * typical_us } else { 0.0 };
        limit_us.max(protected_limit_us).min(remaining_us - typical_us).max(0.0) as Micros
    }

    /// Whether the call's class has so much priority weight per unit of work that serving it first raises the
    /// service objective (see `objective_weights`).
    fn is_protected(&self, call: &Call) -> bool {
        let mut offered_weight = 0.0;
        let mut offered_work = 0.0;
        for record in self.classes.active() {
            offered_weight += record.stats.call_count * record.class.priority_weight;
            offered_work += record.stats.call_count * record.stats.unloaded_us;
        }
        let unloaded_us = self.classes.unloaded_latency_us(call.class_id);
        let weight_density =
            call.class.priority_weight / unloaded_us * offered_work / offered_weight.max(f64::MIN_POSITIVE);
        let weights = &self.settings.objective_weights;
        weights.overall * weight_density > weights.overall + weights.worst_class
    }
}
