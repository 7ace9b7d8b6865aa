//! Hedged attempts: a second attempt for a call whose endpoint may have stalled.

use super::balancer::Balancer;
use super::endpoint_selection::Route;
use super::parameters::HEADROOM_FACTOR;
use crate::call_table::{Attempt, Call, Execution};
use crate::ids::{CallId, Micros};

/// Multiple of the typical latency below which the first attempt does not count as slow.
const MIN_HEDGE_LATENCY_FACTOR: f64 = 1.5;

impl Balancer {
    /// When to send a hedged attempt for a call whose first attempt is being sent: as late as a response is
    /// still likely in time. `None` if the call is not hedged.
    pub(super) fn hedge_at(&self, call: &Call, typical_us: f64) -> Option<Micros> {
        if call.attempts.len() != 1 || self.is_low_traffic() || !self.settings.limits.hedging {
            return None;
        }
        let deadline_us = call.weight_deadline() as f64;
        let slow_at_us = call.arrived_at as f64 + MIN_HEDGE_LATENCY_FACTOR * typical_us;
        let hedge_at_us = (deadline_us - HEADROOM_FACTOR * typical_us).max(slow_at_us);
        let in_time = hedge_at_us + typical_us <= deadline_us;
        in_time.then_some((hedge_at_us as Micros).max(self.now + 1))
    }

    /// Sends a hedged attempt, if the call still needs one and an endpoint has capacity.
    pub(super) fn hedge(&mut self, id: CallId) {
        if !self.may_hedge(&self.calls[id]) {
            return;
        }
        if let Route::Send { slot, is_trial: false } = self.route(id) {
            self.send(id, slot, false);
            self.retry_budget -= 1.0;
        }
    }

    fn may_hedge(&self, call: &Call) -> bool {
        self.has_attempts_left(call)
            && call.attempts_in_flight() == 1
            && self.retry_budget >= 1.0
            && self.calls.queue().is_empty()
            && !call.streaming
            && !call.attempts.iter().any(|attempt| self.is_inherently_slow(attempt))
    }

    /// Whether the endpoint has served other calls since this attempt was sent: then the call itself is slow,
    /// and would be slow at any endpoint.
    fn is_inherently_slow(&self, attempt: &Attempt) -> bool {
        if attempt.execution != Execution::InFlight {
            return false;
        }
        match self.endpoints.slot(attempt.endpoint) {
            Some(slot) => self.endpoints[slot].last_served_at > attempt.sent_at,
            None => false,
        }
    }
}
