//! Entry point of the balancer: dispatches events to their handlers and sets the next timer.

use crate::action::Action;
use crate::balance::{Balancer, NewCall};
use crate::call_table::AttemptWithClass;
use crate::event::{Event, LoadReport, Outcome};
use crate::ids::{CallId, Micros};

#[cfg(test)]
mod tests;

/// The end of an attempt as the client proxy reports it.
struct AttemptEnd {
    call: CallId,
    attempt: u32,
    outcome: Outcome,
    elapsed: Micros,
    call_closed: bool,
    load: LoadReport,
}

impl Balancer {
    /// Handles one event and appends the resulting actions. `now` is the current time in microseconds and
    /// must never decrease.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        while let Some(slot) = self.index.pop_expired_status(now) {
            self.refresh_status(slot);
        }
        self.dispatch(event);
        self.run_call_timers();
        self.drain_queue();
        if now >= self.next_list_poll_at {
            self.next_list_poll_at = Micros::MAX;
            self.actions.push(Action::PollEndpointList);
        }
        self.set_timer();
        actions.append(&mut self.actions);
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Start => {
                if self.settings.polls_endpoint_list {
                    self.actions.push(Action::PollEndpointList);
                }
            }
            Event::EndpointList { kind, endpoints } => self.on_endpoint_list(kind, &endpoints),
            Event::Request { call, class, remaining_time, is_retry, .. } => {
                // A request with the id of a call in progress is a duplicate and is ignored.
                if self.calls.get(call).is_none() {
                    self.on_request(NewCall { id: call, class, remaining_time, is_retry });
                }
            }
            Event::AttemptEnded { call, attempt, outcome, elapsed, call_closed, load } => {
                self.end_attempt(AttemptEnd { call, attempt, outcome, elapsed, call_closed, load });
            }
            Event::RequestComplete { call, remaining_time } => {
                self.on_request_complete(call, remaining_time);
            }
            Event::RequestDelayed { call } => self.on_request_delayed(call),
            Event::ResponseStarted { call, attempt } => self.start_response(call, attempt),
            Event::LoadPolled { endpoint, outcome, load, .. } => {
                self.on_load_polled(endpoint, outcome, load);
            }
            Event::ClientDisconnected { call } => {
                self.calls.end(call);
                self.cancel_attempts(call, None);
                self.calls.remove_if_done(call);
            }
            Event::Timer => self.timer_at = Micros::MAX,
            Event::Settings(settings) => self.apply_settings(*settings),
        }
    }

    fn end_attempt(&mut self, end: AttemptEnd) {
        self.on_load_report(end.call, end.attempt, end.load);
        let Some(mut ended) = self.calls.end_attempt(end.call, end.attempt, end.outcome) else { return };
        let AttemptWithClass { attempt, .. } = &mut ended;
        attempt.sent_at = attempt.sent_at.min(self.now.saturating_sub(end.elapsed));
        if attempt.response_started {
            self.on_streamed_response_end(attempt.endpoint, end.outcome);
        } else {
            self.on_attempt_feedback(ended, end.outcome);
        }
        self.on_attempt_ended(end.call, end.outcome, end.call_closed);
    }

    /// Handles the start of a response: the endpoint counts as having served the attempt, and the call's
    /// other attempts are cancelled if the settings allow it.
    fn start_response(&mut self, id: CallId, attempt: u32) {
        if self.calls.get(id).is_none_or(|call| call.ended) {
            return;
        }
        if let Some(started) = self.calls.start_response(id, attempt) {
            self.on_attempt_feedback(started, Outcome::Served);
        }
        self.cancel_attempts(id, Some(attempt));
    }

    /// Requests a timer for the next deadline, unless a timer is already set for that time or earlier.
    fn set_timer(&mut self) {
        let next = self.next_deadline();
        if next < self.timer_at {
            self.timer_at = next;
            self.actions.push(Action::SetTimer { after: next.saturating_sub(self.now).max(1) });
        }
    }

    /// The next deadline. Expiries of endpoint statuses and pauses before polls or sends count only while a
    /// call is queued.
    fn next_deadline(&self) -> Micros {
        let next_call_timer = self.calls.timers.next_deadline().unwrap_or(Micros::MAX);
        let mut next = self.next_list_poll_at.min(next_call_timer);
        let Some(&first) = self.calls.queue().front() else { return next };
        if let Some(expiry) = self.index.next_status_expiry() {
            next = next.min(expiry);
        }
        for pause_end in [self.calls[first].next_poll_at, self.concurrency_limit.next_send_at] {
            if pause_end > self.now {
                next = next.min(pause_end);
            }
        }
        next
    }
}
