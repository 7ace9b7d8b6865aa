//! Table of the calls in progress, with their attempts and timers, and the request queue.

use crate::action::Action;
use crate::event::Outcome;
use crate::ids::{CallId, CellId, EndpointId, Micros, ZoneId};
use crate::settings::Class;
use crate::timer_queue::TimerQueue;
use std::collections::{HashMap, VecDeque};
use std::ops::Index;

#[cfg(test)]
mod tests;

/// Whether an endpoint has executed an attempt, as far as the balancer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Execution {
    /// The attempt has not ended.
    InFlight,
    /// The attempt has ended and its execution provably did not start.
    NotStarted,
    /// The attempt has ended and may have been executed.
    MayHaveRun,
}

/// One attempt of a call at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) sent_at: Micros,
    /// Whether this is a trial attempt, which re-admits the endpoint or raises its budget if served.
    pub(crate) is_trial: bool,
    /// The endpoint's load when the attempt was sent, from a recent load poll (see
    /// [`Endpoint::polled_load`](crate::endpoint::Endpoint)); 0 if there was none.
    pub(crate) polled_load: f64,
    /// Whether the response has started to stream, so that the endpoint counts as having served the attempt.
    pub(crate) response_started: bool,
    /// Whether the attempt counts as in flight at its endpoint; not while its request is delayed.
    pub(crate) occupies_capacity: bool,
    pub(crate) execution: Execution,
}

/// An attempt with the class of its call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptWithClass {
    pub(crate) attempt: Attempt,
    pub(crate) class_id: usize,
}

/// A call, kept until it has ended and none of its attempts is in flight.
#[derive(Debug, Default)]
pub(crate) struct Call {
    pub(crate) class: Class,
    pub(crate) class_id: usize,
    /// Limit of attempts in the settings at the call's arrival.
    pub(crate) max_attempts: u32,
    pub(crate) arrived_at: Micros,
    /// Estimated time of the client's first request, which the client may have retried since.
    pub(crate) first_requested_at: Micros,
    pub(crate) deadline: Micros,
    pub(crate) attempts: Vec<Attempt>,
    /// Whether the call may still take part in the slow-start lottery.
    pub(crate) slow_start_eligible: bool,
    /// Random number from 0 to 1, for decisions that apply to a share of the calls, such as the admission by
    /// a machine group.
    pub(crate) sample: f64,
    /// Endpoints that are being polled for their load, as candidates for this call.
    pub(crate) polled_endpoints: Vec<EndpointId>,
    pub(crate) poll_started_at: Micros,
    /// Earliest time of the next load polls for this call.
    pub(crate) next_poll_at: Micros,
    /// Number of rounds of load polls in which no polled endpoint had capacity.
    pub(crate) at_capacity_count: u32,
    pub(crate) queued: bool,
    /// Whether a response to the call has started to stream.
    pub(crate) streaming: bool,
    /// Whether the client is sending the request slowly.
    pub(crate) is_delayed: bool,
    pub(crate) ended: bool,
}

impl Call {
    /// Number of attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.execution == Execution::InFlight).count()
    }

    /// The first attempt that may have been executed; the deduplication of later attempts depends on it.
    pub(crate) fn first_possible_execution(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.execution != Execution::NotStarted)
    }

    /// Time after which a response no longer earns any priority weight.
    pub(crate) fn weight_deadline(&self) -> Micros {
        let limit = if self.class.late_weight_ratio > 0.0 {
            self.class.client_timeout
        } else {
            self.class.latency_objective
        };
        self.deadline.min(self.first_requested_at.saturating_add(limit))
    }

    /// Whether no attempt of the call has been sent to this endpoint.
    pub(crate) fn has_not_attempted(&self, endpoint: EndpointId) -> bool {
        self.attempts.iter().all(|attempt| attempt.endpoint != endpoint)
    }
}

/// Position at which a call joins the request queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueuePosition {
    Front,
    Back,
}

/// Calls in progress, the request queue and the calls' timers.
#[derive(Debug, Default)]
pub(crate) struct CallTable {
    calls: HashMap<CallId, Call>,
    queue: VecDeque<CallId>,
    pub(crate) timers: TimerQueue<CallId>,
}

impl Index<CallId> for CallTable {
    type Output = Call;

    fn index(&self, id: CallId) -> &Call {
        &self.calls[&id]
    }
}

impl CallTable {
    pub(crate) fn get(&self, id: CallId) -> Option<&Call> {
        self.calls.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: CallId) -> Option<&mut Call> {
        self.calls.get_mut(&id)
    }

    pub(crate) fn insert(&mut self, id: CallId, call: Call) {
        self.calls.insert(id, call);
    }

    /// Queued calls, front of the queue first.
    pub(crate) fn queue(&self) -> &VecDeque<CallId> {
        &self.queue
    }

    /// Adds a call to the queue and sets its timer to `deadline`.
    pub(crate) fn enqueue(&mut self, id: CallId, position: QueuePosition, deadline: Micros) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.queued = true;
        call.polled_endpoints.clear();
        self.timers.set(id, Some(deadline));
        match position {
            QueuePosition::Front => self.queue.push_front(id),
            QueuePosition::Back => self.queue.push_back(id),
        }
    }

    /// Removes the call at this index from the queue.
    pub(crate) fn dequeue(&mut self, index: usize) {
        if let Some(call) = self.queue.remove(index).and_then(|id| self.calls.get_mut(&id)) {
            call.queued = false;
        }
    }

    /// Records the end of an attempt; `None` if it is unknown or has already ended.
    pub(crate) fn end_attempt(
        &mut self,
        id: CallId,
        attempt: u32,
        outcome: Outcome,
    ) -> Option<AttemptWithClass> {
        let call = self.calls.get_mut(&id)?;
        let ended = call.attempts.get_mut(attempt as usize)?;
        if ended.execution != Execution::InFlight {
            return None;
        }
        ended.execution =
            if outcome.proves_not_started() { Execution::NotStarted } else { Execution::MayHaveRun };
        Some(AttemptWithClass { attempt: *ended, class_id: call.class_id })
    }

    /// Records that the response of an attempt has started to stream. Returns the attempt as it was before;
    /// `None` if the attempt is unknown or has ended, or if its response had already started.
    pub(crate) fn start_response(&mut self, id: CallId, attempt: u32) -> Option<AttemptWithClass> {
        let call = self.calls.get_mut(&id)?;
        call.streaming = true;
        self.timers.set(id, None);
        let started = call.attempts.get_mut(attempt as usize)?;
        if started.execution != Execution::InFlight || started.response_started {
            return None;
        }
        let before = *started;
        started.response_started = true;
        Some(AttemptWithClass { attempt: before, class_id: call.class_id })
    }

    /// Actions that cancel the attempts in flight, except `winner` and those whose responses have started.
    pub(crate) fn cancel_losers(&self, id: CallId, winner: Option<u32>) -> impl Iterator<Item = Action> + '_ {
        let attempts = self.calls.get(&id).map_or(&[][..], |call| &call.attempts);
        let is_loser = move |number: u32, attempt: &Attempt| {
            attempt.execution == Execution::InFlight && !attempt.response_started && Some(number) != winner
        };
        let losers = (0..).zip(attempts).filter(move |(number, attempt)| is_loser(*number, attempt));
        losers.map(move |(attempt, _)| Action::Cancel { call: id, attempt })
    }

    /// Marks a call as ended, cancels its timer and removes it from the queue.
    pub(crate) fn end(&mut self, id: CallId) {
        self.timers.set(id, None);
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.ended = true;
        call.polled_endpoints.clear();
        if std::mem::take(&mut call.queued) {
            if let Some(index) = self.queue.iter().position(|&queued| queued == id) {
                self.queue.remove(index);
            }
        }
    }

    /// Removes a call if it has ended and has no attempt in flight.
    pub(crate) fn remove_if_done(&mut self, id: CallId) {
        if self.calls.get(&id).is_some_and(|call| call.ended && call.attempts_in_flight() == 0) {
            self.calls.remove(&id);
        }
    }
}
