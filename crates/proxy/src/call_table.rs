//! Tracks calls, their attempts and their timers, from the arrival of a request until its final answer is
//! sent and no attempt is in flight. Each call gets one final answer, each attempt one outcome.

use crate::metrics::{Metrics, RejectionReason, RequestOutcome};
use crate::request::Request;
use crate::request_ids::RequestIds;
use crate::response::{AttemptResult, CompleteResponse, FinalResponse, StreamingResponse};
use oakport_core::{CallId, ClassId, EndpointId, Event, Micros, Outcome};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};
use tokio::task::AbortHandle;

/// A deadline that never expires.
const NEVER_US: Micros = Micros::MAX;
/// An answer whose head has arrived is passed on at least this long before the deadline of its call.
const PASS_ON_MARGIN_US: Micros = 20_000;

/// Identifies an attempt; the attempts of a call are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    pub call: CallId,
    pub number: u32,
}

/// The time limits of an attempt, set by the balancer.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptLimits {
    /// When the attempt times out; `None` or 0 means at the deadline of the call.
    pub timeout_at: Option<Micros>,
    /// The attempt may only start before this time; `None` means no limit.
    pub send_before: Option<Micros>,
}

/// Whether the endpoint may have executed an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Execution {
    /// No byte of the request has been written.
    NotStarted,
    /// The first byte of the request may have been written.
    MayHaveRun,
}

#[derive(Debug)]
struct Attempt {
    endpoint: EndpointId,
    /// When the attempt was sent or, if later, when its streamed request was complete.
    sent_at: Micros,
    /// When the attempt times out; [`NEVER_US`] while a streamed request is still arriving.
    timeout_at: Micros,
    /// The attempt may only start before this time.
    send_before: Micros,
    execution: Execution,
    task: Option<AbortHandle>,
    /// The attempt has no outcome yet.
    in_flight: bool,
    /// Notified when the answer, whose head has arrived, must be passed on although its body may have yet to begin.
    answer_overdue: Option<Rc<Notify>>,
    /// The response is being streamed to the client.
    response_started: bool,
}

impl Attempt {
    /// When the attempt times out at the latest, in a call with this deadline. An attempt whose answer has begun
    /// is notified before.
    fn latest_timeout(&self, deadline: Micros) -> Micros {
        match self.answer_overdue {
            Some(_) if deadline < NEVER_US => deadline.saturating_sub(PASS_ON_MARGIN_US),
            _ => deadline,
        }
    }
}

struct Call {
    class: ClassId,
    request: Rc<Request>,
    /// [`NEVER_US`] until the last byte of a streamed request has arrived.
    deadline: Micros,
    /// `None` once the final answer has been sent or has begun to be streamed.
    answer: Option<oneshot::Sender<FinalResponse>>,
    attempts: Vec<Attempt>,
    /// The id of the request has been recorded, as an attempt was about to begin.
    is_recorded: bool,
    /// An endpoint may have executed one of the attempts that have ended.
    may_have_run: bool,
}

impl Call {
    fn is_open(&self) -> bool {
        self.answer.is_some()
    }

    fn is_finished(&self) -> bool {
        !self.is_open() && !self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}

/// Whether an attempt may write its first byte now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartPermission {
    Granted,
    /// The call has ended, the attempt is too late, or its endpoint accepts no calls.
    Denied,
    /// A request with the same id may have run already and must not run twice.
    Repeated,
}

/// What a timer is for. Timers that expire at the same time fire in this order: attempts time out first, so
/// that the balancer can end the call itself; then the balancer's own timer fires; and the call's deadline
/// comes last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerPurpose {
    AttemptTimeout(AttemptId),
    BalancerTimer,
    CallDeadline(CallId),
}

/// The effect of an expired timer.
#[derive(Clone, Debug, PartialEq)]
pub enum ExpiredTimer {
    /// The balancer must be notified of this event.
    Notify(Event),
    /// No effect: the attempt or call had already ended.
    Stale,
}

impl From<Option<Event>> for ExpiredTimer {
    fn from(event: Option<Event>) -> Self {
        event.map_or(ExpiredTimer::Stale, ExpiredTimer::Notify)
    }
}

/// An attempt that is about to be sent.
pub struct OutgoingAttempt {
    pub id: AttemptId,
    /// The class of the request.
    pub class: ClassId,
    pub request: Rc<Request>,
    /// The call is open, and the attempt has time left.
    pub is_wanted: bool,
}

/// All calls that are open or have attempts in flight.
pub struct CallTable {
    metrics: Rc<Metrics>,
    request_ids: RequestIds,
    calls: HashMap<CallId, Call>,
    open_count: usize,
    next_call_number: u64,
    timers: BTreeSet<(Micros, TimerPurpose)>,
}

impl CallTable {
    pub fn new(metrics: Rc<Metrics>, request_ids: RequestIds) -> Self {
        CallTable {
            metrics,
            request_ids,
            calls: HashMap::new(),
            open_count: 0,
            next_call_number: 0,
            timers: BTreeSet::new(),
        }
    }

    /// The number of calls that have no final answer, or whose response is still being streamed.
    pub fn open_count(&self) -> usize {
        self.open_count
    }

    /// Whether the call still waits for its answer.
    pub fn is_open(&self, call: CallId) -> bool {
        self.calls.get(&call).is_some_and(Call::is_open)
    }

    /// The request of a call that still waits for its answer.
    pub fn request(&self, call: CallId) -> Option<&Request> {
        self.calls.get(&call).filter(|call| call.is_open()).map(|call| &*call.request)
    }

    /// When the earliest timer expires.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.timers.first().map(|&(at, _)| at)
    }

    /// Sets the balancer's own timer.
    pub fn set_balancer_timer(&mut self, at: Micros) {
        self.timers.insert((at, TimerPurpose::BalancerTimer));
    }

    /// Adds a call. Its final answer is sent to the returned receiver.
    pub fn add(
        &mut self,
        now: Micros,
        class: ClassId,
        request: Request,
    ) -> (CallId, oneshot::Receiver<FinalResponse>) {
        let (sender, receiver) = oneshot::channel();
        let id = CallId(self.next_call_number);
        self.next_call_number += 1;
        self.open_count += 1;
        let mut deadline = NEVER_US;
        if request.upload.is_none() {
            deadline = now + request.client_timeout;
            self.timers.insert((deadline, TimerPurpose::CallDeadline(id)));
        }
        let request = Rc::new(request);
        let call = Call {
            class,
            request,
            deadline,
            answer: Some(sender),
            attempts: Vec::new(),
            is_recorded: false,
            may_have_run: false,
        };
        self.calls.insert(id, call);
        (id, receiver)
    }

    /// Whether a request with the same id may have run already, and must not run twice.
    pub fn may_have_run(&self, request: &Request) -> bool {
        request.single_run.is_some_and(|digest| self.request_ids.contains(digest))
    }

    /// Records that the last byte of a streamed request has arrived, which started the client timeout. `None`
    /// if the call is no longer open.
    pub fn complete_request(&mut self, now: Micros, id: CallId, arrived_at: Micros) -> Option<Event> {
        let call = self.calls.get_mut(&id).filter(|call| call.is_open())?;
        call.deadline = (arrived_at + call.request.client_timeout).max(now);
        let remaining_time = call.deadline - now;
        self.timers.insert((call.deadline, TimerPurpose::CallDeadline(id)));
        for (number, attempt) in (0..).zip(&mut call.attempts) {
            if attempt.in_flight {
                attempt.sent_at = now;
                attempt.timeout_at = attempt.latest_timeout(call.deadline);
                let purpose = TimerPurpose::AttemptTimeout(AttemptId { call: id, number });
                self.timers.insert((attempt.timeout_at, purpose));
            }
        }
        Some(Event::RequestComplete { call: id, remaining_time })
    }

    /// Adds an attempt that the balancer has requested. `None` if the call does not exist.
    pub fn add_attempt(
        &mut self,
        now: Micros,
        id: CallId,
        endpoint: EndpointId,
        limits: AttemptLimits,
    ) -> Option<OutgoingAttempt> {
        let call = self.calls.get_mut(&id)?;
        let number = call.attempts.len() as u32;
        let has_deadline = call.deadline < NEVER_US;
        let requested_timeout = limits.timeout_at.filter(|&at| at > 0 && has_deadline);
        let timeout_at = requested_timeout.unwrap_or(NEVER_US).min(call.deadline);
        call.attempts.push(Attempt {
            endpoint,
            sent_at: now,
            timeout_at,
            send_before: limits.send_before.unwrap_or(NEVER_US),
            execution: Execution::NotStarted,
            task: None,
            in_flight: true,
            answer_overdue: None,
            response_started: false,
        });
        Some(OutgoingAttempt {
            id: AttemptId { call: id, number },
            class: call.class,
            request: Rc::clone(&call.request),
            is_wanted: call.is_open() && timeout_at > now,
        })
    }

    /// Records the task that executes an attempt, and sets the attempt's timer.
    pub fn set_task(&mut self, id: AttemptId, task: AbortHandle) {
        let Some(attempt) = self.attempt_mut(id) else { return };
        attempt.task = Some(task);
        let timeout_at = attempt.timeout_at;
        self.set_timeout(id, timeout_at);
    }

    /// When an attempt times out. `None` while its request is still arriving.
    pub fn timeout_of(&self, id: AttemptId) -> Option<Micros> {
        let attempt = self.calls.get(&id.call)?.attempts.get(id.number as usize)?;
        Some(attempt.timeout_at).filter(|&timeout_at| timeout_at < NEVER_US)
    }

    /// Whether the first byte of an attempt may be written now; `is_ready` returns whether its endpoint
    /// accepts calls. If the result is true, the endpoint may execute the attempt from now on.
    pub fn may_start(
        &mut self,
        now: Micros,
        id: AttemptId,
        is_ready: impl FnOnce(EndpointId) -> bool,
    ) -> StartPermission {
        if !self.is_open(id.call) {
            return StartPermission::Denied;
        }
        let Some(attempt) = self.attempt_mut(id).filter(|attempt| attempt.in_flight) else {
            return StartPermission::Denied;
        };
        let in_time = now < attempt.timeout_at.min(attempt.send_before);
        let may_start = in_time && is_ready(attempt.endpoint);
        attempt.execution = Execution::NotStarted;
        if !may_start {
            return StartPermission::Denied;
        }
        if !self.try_record(id.call) {
            return StartPermission::Repeated;
        }
        if let Some(attempt) = self.attempt_mut(id) {
            attempt.execution = Execution::MayHaveRun;
        }
        StartPermission::Granted
    }

    /// Records the id of a call that must not run twice, before its first attempt begins. False if a request with
    /// this id may have run already.
    fn try_record(&mut self, id: CallId) -> bool {
        let Some(call) = self.calls.get_mut(&id) else { return false };
        let Some(digest) = call.request.single_run.filter(|_| !call.is_recorded) else { return true };
        call.is_recorded = self.request_ids.try_record(digest);
        call.is_recorded
    }

    /// Records that the head of an attempt's answer has arrived: its endpoint is giving the answer, and the attempt no
    /// longer times out before its call. The result is notified when the answer must be passed on.
    pub fn record_answer_head(&mut self, id: AttemptId) -> Rc<Notify> {
        let overdue = Rc::<Notify>::default();
        let Some(call) = self.calls.get_mut(&id.call) else { return overdue };
        let Some(attempt) = call.attempts.get_mut(id.number as usize) else { return overdue };
        attempt.answer_overdue = Some(Rc::clone(&overdue));
        let notify_at = attempt.timeout_at.min(attempt.latest_timeout(call.deadline));
        self.set_timeout(id, notify_at);
        overdue
    }

    fn set_timeout(&mut self, id: AttemptId, timeout_at: Micros) {
        let Some(attempt) = self.attempt_mut(id) else { return };
        let previous = std::mem::replace(&mut attempt.timeout_at, timeout_at);
        self.timers.remove(&(previous, TimerPurpose::AttemptTimeout(id)));
        if timeout_at < NEVER_US {
            self.timers.insert((timeout_at, TimerPurpose::AttemptTimeout(id)));
        }
    }

    /// Starts streaming a response to the client. `None` if the call has ended and the response is not used.
    pub fn start_response(&mut self, id: AttemptId, response: StreamingResponse) -> Option<Event> {
        let call = self.calls.get_mut(&id.call)?;
        let attempt = call.attempts.get_mut(id.number as usize).filter(|attempt| attempt.in_flight)?;
        let answer = call.answer.take()?;
        // No timeout applies once the client is receiving the response.
        attempt.response_started = true;
        self.timers.remove(&(attempt.timeout_at, TimerPurpose::AttemptTimeout(id)));
        self.timers.remove(&(call.deadline, TimerPurpose::CallDeadline(id.call)));
        // Fails if the client has disconnected, which the end of its connection reports.
        let _ = answer.send(FinalResponse::Streaming(response));
        Some(Event::ResponseStarted { call: id.call, attempt: id.number })
    }

    /// Ends a call with its final answer, unless it already has one. `None` means that the client has
    /// disconnected.
    pub fn close(&mut self, id: CallId, answer: Option<FinalResponse>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if let Some(sender) = call.answer.take() {
            self.open_count -= 1;
            self.timers.remove(&(call.deadline, TimerPurpose::CallDeadline(id)));
            if let Some(answer) = answer {
                let outcome = match answer {
                    FinalResponse::Rejected { .. } => RequestOutcome::Rejected(RejectionReason::Endpoints),
                    _ => RequestOutcome::Failed,
                };
                self.metrics.count_request(call.class, outcome);
                // Fails if the client has disconnected, which the end of its connection reports.
                let _ = sender.send(answer);
            }
        }
        self.remove_if_finished(id);
    }

    /// Records the outcome of an attempt and aborts its task. `None` if the attempt had already ended.
    pub fn end_attempt(&mut self, now: Micros, id: AttemptId, result: AttemptResult) -> Option<Event> {
        let call = self.calls.get_mut(&id.call)?;
        let attempt = call.attempts.get_mut(id.number as usize).filter(|attempt| attempt.in_flight)?;
        attempt.in_flight = false;
        self.timers.remove(&(attempt.timeout_at, TimerPurpose::AttemptTimeout(id)));
        if let Some(task) = attempt.task.take() {
            // Aborting also closes the connection, so that the endpoint notices that the response is no longer
            // needed.
            task.abort();
        }
        let elapsed = now.saturating_sub(attempt.sent_at);
        let response_started = attempt.response_started;
        let AttemptResult { outcome, load, response } = result;
        call.may_have_run |= attempt.execution == Execution::MayHaveRun && !has_certainly_not_run(outcome);
        if let Some(response) = response {
            self.deliver(id.call, response);
        }
        if response_started {
            self.finish_streamed_response(id.call, outcome);
        }
        Some(Event::AttemptEnded {
            call: id.call,
            attempt: id.number,
            outcome,
            elapsed,
            call_closed: !self.is_open(id.call),
            load,
        })
    }

    /// Sends a complete response to the client, unless the call already has its final answer.
    fn deliver(&mut self, id: CallId, response: CompleteResponse) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(answer) = call.answer.take() else { return };
        self.open_count -= 1;
        self.timers.remove(&(call.deadline, TimerPurpose::CallDeadline(id)));
        self.metrics.count_request(call.class, RequestOutcome::Served);
        let CompleteResponse { body, content_type } = response;
        let _ = answer.send(FinalResponse::Served { body, content_type });
    }

    /// Ends and counts a call whose response was streamed to the client.
    fn finish_streamed_response(&mut self, id: CallId, outcome: Outcome) {
        let Some(call) = self.calls.get(&id) else { return };
        self.open_count -= 1;
        match outcome {
            Outcome::Served => self.metrics.count_request(call.class, RequestOutcome::Served),
            // The client has disconnected.
            Outcome::Cancelled => {}
            _ => self.metrics.count_request(call.class, RequestOutcome::Failed),
        }
    }

    /// How many attempts of a call have been made.
    pub fn attempt_count(&self, id: CallId) -> u32 {
        self.calls.get(&id).map_or(0, |call| call.attempts.len() as u32)
    }

    /// Removes a call once it has ended and none of its attempts is in flight.
    pub fn remove_if_finished(&mut self, id: CallId) {
        if !self.calls.get(&id).is_some_and(Call::is_finished) {
            return;
        }
        let Some(call) = self.calls.remove(&id) else { return };
        if let Some(digest) = call.request.single_run.filter(|_| call.is_recorded && !call.may_have_run) {
            self.request_ids.forget(digest);
        }
    }

    /// Removes the earliest expired timer and applies its effect. `None` if none has expired.
    pub fn expire_next(&mut self, now: Micros) -> Option<ExpiredTimer> {
        let &(at, purpose) = self.timers.first()?;
        if at > now {
            return None;
        }
        self.timers.pop_first();
        let event = match purpose {
            TimerPurpose::AttemptTimeout(id) => self.time_out_attempt(now, id),
            TimerPurpose::BalancerTimer => Some(Event::Timer),
            TimerPurpose::CallDeadline(id) => self.exceed_deadline(id),
        };
        Some(event.into())
    }

    /// Ends an attempt that has timed out. An attempt that still waits for its connection was not executed:
    /// `TimedOut` would fail a non-idempotent call that can safely be retried or rejected.
    fn time_out_attempt(&mut self, now: Micros, id: AttemptId) -> Option<Event> {
        if self.extend_begun_answer(id) {
            return None;
        }
        let outcome = match self.attempt_mut(id).map(|attempt| attempt.execution) {
            Some(Execution::NotStarted) => Outcome::ConnectFailed,
            Some(Execution::MayHaveRun) | None => Outcome::TimedOut,
        };
        self.end_attempt(now, id, outcome.into())
    }

    /// Lets an answer whose head has arrived continue up to the deadline of its call. False if there is none, or if
    /// the deadline has passed.
    fn extend_begun_answer(&mut self, id: AttemptId) -> bool {
        let Some(call) = self.calls.get_mut(&id.call) else { return false };
        let deadline = call.deadline;
        let Some(attempt) = call.attempts.get_mut(id.number as usize) else { return false };
        let Some(overdue) = attempt.answer_overdue.as_ref().filter(|_| attempt.timeout_at < deadline) else {
            return false;
        };
        overdue.notify_one();
        self.set_timeout(id, deadline);
        true
    }

    /// Ends a call that the balancer has not ended by its deadline.
    fn exceed_deadline(&mut self, id: CallId) -> Option<Event> {
        if !self.is_open(id) {
            return None;
        }
        self.close(id, Some(FinalResponse::DeadlineExceeded));
        Some(Event::ClientDisconnected { call: id })
    }

    fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.calls.get_mut(&id.call)?.attempts.get_mut(id.number as usize)
    }
}

/// Whether the outcome of an attempt shows that its endpoint has not executed it.
fn has_certainly_not_run(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::NotSent | Outcome::ConnectFailed | Outcome::Rejected)
}

#[cfg(test)]
mod tests;
