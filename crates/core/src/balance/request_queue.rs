//! The request queue: how long calls stay in it, and in which order they leave it.

use super::balancer::Balancer;
use super::endpoint_selection::Route;
use super::parameters::FEEDBACK_WEIGHT;
use crate::action::{Action, DecisionEvent};
use crate::call_table::{Call, QueuePosition};
use crate::ids::{CallId, Micros};
use crate::settings::{Class, Idempotency};

/// Highest number of queued calls examined behind the first one per event, which bounds the CPU time that a
/// long queue costs.
const MAX_QUEUED_CALLS_SCANNED: usize = 16;
/// Share of the calls that may be trial attempts in low-traffic mode, where most calls would otherwise be
/// used for trials at many ejected endpoints.
const LOW_TRAFFIC_TRIAL_RATIO: f64 = FEEDBACK_WEIGHT;

impl Balancer {
    /// Queues a call. Retries are older than the queued calls, so they are placed at the front.
    pub(super) fn enqueue(&mut self, id: CallId, position: QueuePosition) {
        let call = &self.calls[id];
        let typical_us = self.classes.typical_latency_us(call.class_id, call.class.latency_objective);
        // The call leaves the queue when a typical response would be late, and always before the client times
        // out.
        let useful_until = call.weight_deadline().saturating_sub(typical_us as Micros);
        let mut deadline = useful_until.max(self.now + 1);
        if self.is_low_traffic() && call.at_capacity_count == 0 {
            deadline = deadline.min(self.now + self.max_queue_wait(id));
        }
        let client_deadline = call.deadline.saturating_sub(self.settings.clock_tick).max(self.now);
        self.calls.enqueue(id, position, deadline.min(client_deadline));
    }

    /// Sends queued calls in the order of the queue, as long as endpoints have capacity for them.
    pub(crate) fn drain_queue(&mut self) {
        self.send_readmission_trials();
        let mut position = 0;
        while let Some(&id) = self.calls.queue().get(position) {
            match self.route(id) {
                Route::Send { slot, is_trial } => {
                    self.calls.dequeue(position);
                    self.send(id, slot, is_trial);
                    self.rejecting_all = false;
                }
                Route::PollLoad { slots } => {
                    self.calls.dequeue(position);
                    self.start_load_polls(id, &slots);
                }
                Route::Reject { retry_after } => {
                    if !std::mem::replace(&mut self.rejecting_all, true) {
                        self.actions.push(Action::Log(DecisionEvent::AllEndpointsEjected));
                    }
                    self.reject_or_fail(id, retry_after);
                }
                Route::Queue if !self.may_be_overtaken(id, position) => break,
                Route::Queue => position += 1,
            }
        }
    }

    /// Whether later calls may overtake a queued one: only if deduplication may restrict it to some
    /// endpoints.
    fn may_be_overtaken(&self, id: CallId, position: usize) -> bool {
        self.calls[id].first_possible_execution().is_some() && position < MAX_QUEUED_CALLS_SCANNED
    }

    /// Sends a suitable queued call to each ejected endpoint that is due for a trial attempt.
    fn send_readmission_trials(&mut self) {
        while let Some(&slot) = self.index.readmission_due.first() {
            let mut scanned = self.calls.queue().iter().take(MAX_QUEUED_CALLS_SCANNED);
            let Some(position) = scanned.position(|&id| self.may_be_trial(&self.calls[id])) else { break };
            let id = self.calls.queue()[position];
            self.calls.dequeue(position);
            self.send(id, slot, true);
        }
    }

    /// Whether a call may be sent as a trial attempt to an ejected endpoint: it must be retriable, unless no
    /// class is.
    fn may_be_trial(&self, call: &Call) -> bool {
        let is_retriable = |class: &Class| class.idempotency != Idempotency::NonIdempotent;
        let is_sampled = !self.is_low_traffic() || call.sample < LOW_TRAFFIC_TRIAL_RATIO;
        is_sampled
            && call.attempts.is_empty()
            && (is_retriable(&call.class) || !self.classes.active().any(|record| is_retriable(&record.class)))
    }

    /// Handles the calls whose timers have fired.
    pub(crate) fn run_call_timers(&mut self) {
        while let Some(id) = self.calls.timers.pop_expired(self.now) {
            let call = &self.calls[id];
            if call.queued {
                // Retry-After is the time spent in the queue: capacity is unlikely to be available sooner.
                let waited = self.now.saturating_sub(call.arrived_at);
                self.reject_or_fail(id, waited);
            } else if !call.polled_endpoints.is_empty() {
                self.finish_load_polls(id);
            } else {
                self.hedge(id);
            }
        }
    }
}
