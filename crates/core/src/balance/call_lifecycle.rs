//! The lifecycle of a call, from its arrival to its end.

use super::balancer::Balancer;
use super::parameters::MAX_RETRY_BUDGET_ATTEMPTS;
use crate::action::Action;
use crate::call_table::{Call, Execution, QueuePosition};
use crate::event::Outcome;
use crate::ids::{CallId, ClassId, Micros};
use crate::settings::Class;

/// Retries and hedged attempts that each call adds to the retry budget.
const RETRY_BUDGET_ATTEMPTS_PER_CALL: f64 = 0.2;
/// Share of the longest client timeout of a class above which a timeout counts as equal to it.
const SAME_TIMEOUT_RATIO: f64 = 0.95;

/// A call that has arrived.
pub(crate) struct NewCall {
    pub(crate) id: CallId,
    pub(crate) class: ClassId,
    /// Time until the client times out, in microseconds.
    pub(crate) remaining_time: Micros,
    /// The client has marked the call as a retry.
    pub(crate) is_retry: bool,
}

impl Balancer {
    /// Queues a new call, or rejects it if the wait in the queue is too long.
    pub(crate) fn on_request(&mut self, new: NewCall) {
        let NewCall { id, class: ClassId(class_id), remaining_time, is_retry } = new;
        // A class that is not in the settings counts as non-idempotent.
        let unknown =
            Class { latency_objective: remaining_time, client_timeout: remaining_time, ..Class::default() };
        let class = self.classes.class(class_id).unwrap_or(unknown);
        let time_spent = self.time_already_spent(class_id, &class, remaining_time);
        let call = Call {
            class,
            class_id,
            max_attempts: self.settings.limits.max_attempts,
            arrived_at: self.now,
            first_requested_at: self.now.saturating_sub(time_spent),
            deadline: self.now.saturating_add(remaining_time),
            // Retries are excluded from the slow-start lottery, since they arrive in bursts.
            slow_start_eligible: !is_retry,
            sample: self.random_unit(),
            ..Call::default()
        };
        self.calls.insert(id, call);
        self.retry_budget =
            (self.retry_budget + RETRY_BUDGET_ATTEMPTS_PER_CALL).min(MAX_RETRY_BUDGET_ATTEMPTS);
        if let Some(stats) = self.classes.stats_mut(class_id) {
            stats.call_count += 1.0;
        }
        let waited = self.first_queued_wait();
        if waited > self.max_queue_wait(id) {
            self.reject_or_fail(id, waited);
        } else {
            self.enqueue(id, QueuePosition::Back);
        }
    }

    /// How long the first queued call has waited, in microseconds.
    fn first_queued_wait(&self) -> Micros {
        match self.calls.queue().front() {
            Some(&first) => self.now.saturating_sub(self.calls[first].arrived_at),
            None => 0,
        }
    }

    /// Handles the last byte of a streamed request: the latency and the deadline of the call count from now.
    pub(crate) fn on_request_complete(&mut self, id: CallId, remaining_time: Micros) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(id).filter(|call| !call.ended) else { return };
        call.first_requested_at += now.saturating_sub(call.arrived_at);
        call.arrived_at = now;
        call.deadline = now.saturating_add(remaining_time);
        for attempt in &mut call.attempts {
            if attempt.execution == Execution::InFlight {
                attempt.sent_at = now;
            }
        }
        if !call.queued {
            // A streamed request can't be sent twice: no hedged attempt.
            self.calls.timers.set(id, None);
        }
        self.resume_delayed_request(id);
    }

    /// Estimates the time that the client has already spent on earlier requests of a call, in microseconds.
    ///
    /// A call with less remaining time than others of its class counts as a client retry, and the difference
    /// from the client timeout as the time spent. Since client timeouts may differ, at most as many calls as
    /// were rejected count as retries.
    fn time_already_spent(&mut self, class_id: usize, class: &Class, remaining_time: Micros) -> Micros {
        let Some(stats) = self.classes.stats_mut(class_id) else { return 0 };
        stats.max_client_timeout = stats.max_client_timeout.max(remaining_time);
        let full_timeout_us = stats.max_client_timeout as f64 * SAME_TIMEOUT_RATIO;
        if remaining_time as f64 >= full_timeout_us || stats.unretried_rejections == 0 {
            return 0;
        }
        stats.unretried_rejections -= 1;
        class.client_timeout.saturating_sub(remaining_time)
    }

    /// Ends or retries a call after one of its attempts has ended, unless another attempt is still in flight.
    pub(crate) fn on_attempt_ended(&mut self, id: CallId, outcome: Outcome, call_closed: bool) {
        if call_closed || outcome == Outcome::Served {
            self.calls.end(id);
            self.cancel_attempts(id, None);
        } else if self.needs_another_attempt(id) {
            if outcome == Outcome::InvalidRequest {
                self.finish(id, Action::Fail { call: id });
            } else {
                self.retry_or_end(id, outcome);
            }
        }
        self.calls.remove_if_done(id);
    }

    fn needs_another_attempt(&self, id: CallId) -> bool {
        let Some(call) = self.calls.get(id) else { return false };
        !call.ended && !call.queued && call.attempts_in_flight() == 0
    }

    /// Ends a call with its final action.
    fn finish(&mut self, id: CallId, final_action: Action) {
        self.actions.push(final_action);
        self.calls.end(id);
        self.cancel_attempts(id, None);
        self.calls.remove_if_done(id);
    }

    /// Ends a call unserved: with a rejection and Retry-After if the client may safely retry, otherwise with
    /// a failure.
    pub(super) fn reject_or_fail(&mut self, id: CallId, retry_after: Micros) {
        let class_id = self.calls[id].class_id;
        if let Some(stats) = self.classes.stats_mut(class_id) {
            stats.unretried_rejections += 1;
        }
        let retry_after = retry_after.min(self.settings.limits.max_retry_after);
        let final_action = if self.calls[id].may_be_rejected() {
            Action::Reject { call: id, retry_after }
        } else {
            Action::Fail { call: id }
        };
        self.finish(id, final_action);
    }

    /// Cancels the in-flight attempts of a call except `winner`, if the settings allow cancellation.
    pub(crate) fn cancel_attempts(&mut self, id: CallId, winner: Option<u32>) {
        if self.settings.limits.cancellation {
            self.actions.extend(self.calls.cancel_losers(id, winner));
        }
    }
}
