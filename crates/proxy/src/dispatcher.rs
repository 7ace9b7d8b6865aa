//! Owns the [`Balancer`](oakport_core::Balancer): passes events to it and executes its actions. The
//! dispatcher makes no balancing decisions; the only calls that it rejects itself are those beyond
//! `max_open_requests`.

mod state;

use crate::call_table::{AttemptId, AttemptLimits, ExpiredTimer, OutgoingAttempt, StartPermission};
use crate::clock::Clock;
use crate::endpoint_list::{EndpointEntry, EndpointList};
use crate::metrics::{Metrics, MetricsReport, RejectionReason, RequestOutcome};
use crate::request::{CallAttributes, OverdueUpload, Request};
use crate::request_ids::RequestIds;
use crate::response::{AttemptResult, FinalResponse, StreamingResponse};
use crate::upstream::attempt::{attempt, AttemptOwner, IncompleteResponse};
use crate::upstream::pool::ConnectionPool;
use oakport_core::settings_wire::ParsedSettings;
use oakport_core::{
    Action, CallId, ClassId, EndpointId, EndpointInfo, EndpointState, Event, ListUpdateKind, LoadReport,
    Micros, Outcome, Rules,
};
use state::DispatcherState;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tracing::{info, warn};

/// The least remaining time that an attempt states while its request is still arriving.
const MIN_STATED_TIME_US: Micros = 1_000;

/// The settings that apply to polls of the endpoint list.
pub struct ListRules {
    /// Whether the list is polled from a service shared by all client proxies; otherwise an agent pushes it.
    pub polls_endpoint_list: bool,
    pub rules: Rules,
}

/// Why no call was started for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The number of open calls has reached the limit in the settings.
    AtCapacity,
    /// A request with the same id may have run already and must not run twice.
    Repeated,
}

/// A handle to the dispatcher, for the other parts of the proxy.
#[derive(Clone)]
pub struct Dispatcher {
    state: Rc<RefCell<DispatcherState>>,
    clock: Clock,
    pool: Rc<ConnectionPool>,
    /// When the timer task wakes; `None` if it sleeps until it is notified.
    timers_asleep_until: Rc<Cell<Option<Micros>>>,
    /// Notifies the timer task of a timer that expires earlier.
    earlier_timer: Rc<Notify>,
    /// The balancer has requested a poll of the endpoint list that has not started yet.
    is_poll_requested: Rc<Cell<bool>>,
    poll_requested: Rc<Notify>,
}

impl Dispatcher {
    /// A dispatcher whose balancer uses `seed` for its random numbers. Inactive until
    /// [`start`](Dispatcher::start).
    pub fn new(
        seed: u64,
        parsed: ParsedSettings,
        clock: Clock,
        pool: Rc<ConnectionPool>,
        metrics: Rc<Metrics>,
        request_ids: RequestIds,
    ) -> Self {
        Dispatcher {
            state: Rc::new(RefCell::new(DispatcherState::new(seed, parsed, metrics, request_ids))),
            clock,
            pool,
            timers_asleep_until: Rc::default(),
            earlier_timer: Rc::default(),
            is_poll_requested: Rc::default(),
            poll_requested: Rc::default(),
        }
    }

    /// Waits until the balancer requests a poll of the endpoint list.
    pub async fn endpoint_poll_requested(&self) {
        while !self.is_poll_requested.take() {
            self.poll_requested.notified().await;
        }
    }

    /// Starts the balancer.
    pub fn start(&self) {
        self.notify_balancer(Event::Start);
    }

    /// Applies new settings. Open calls keep the class with which they arrived.
    pub fn apply_settings(&self, parsed: ParsedSettings) {
        let mut state = self.state.borrow_mut();
        state.transport = parsed.transport;
        state.settings = state.classes.apply_settings(parsed);
        drop(state);
        self.apply_effective_settings();
    }

    /// Sets the live count of client proxies, which takes precedence over the number in the settings.
    pub fn set_live_count(&self, proxy_count: u32) {
        self.state.borrow_mut().live_proxy_count = Some(proxy_count);
        self.apply_effective_settings();
    }

    fn apply_effective_settings(&self) {
        let state = self.state.borrow();
        let settings = state.effective_settings();
        let transport = state.transport;
        drop(state);
        self.pool.apply_settings(transport, settings.proxy_count);
        self.notify_balancer(Event::Settings(Box::new(settings)));
    }

    /// The id of the class with this name, if the current settings contain it.
    pub fn class_id(&self, name: &str) -> Option<ClassId> {
        self.state.borrow().classes.class_id(name)
    }

    /// Whether a request of this class may run more than once.
    pub fn is_idempotent(&self, class: ClassId) -> bool {
        self.state.borrow().classes.is_idempotent(class)
    }

    /// The longest client timeout among the classes of the current settings.
    pub fn longest_deadline(&self) -> Duration {
        self.state.borrow().classes.longest_deadline()
    }

    /// Sets whether new requests are accepted.
    pub fn set_accepting(&self, is_accepting: bool) {
        self.state.borrow_mut().is_accepting = is_accepting;
    }

    /// Whether new requests are accepted.
    pub fn is_accepting(&self) -> bool {
        self.state.borrow().is_accepting
    }

    /// Counts a request that was rejected before it became a call.
    pub fn count_rejected(&self, class: ClassId, reason: RejectionReason) {
        self.state.borrow().metrics.count_request(class, RequestOutcome::Rejected(reason));
    }

    /// Counts a request that was rejected before its class was known.
    pub fn count_rejected_unread(&self, reason: RejectionReason) {
        self.state.borrow().metrics.count_rejection(reason);
    }

    /// The current metrics.
    pub fn report(&self) -> MetricsReport {
        self.state.borrow().report(self.clock.now())
    }

    /// The number of calls that have no final answer, or whose response is still being streamed.
    pub fn open_call_count(&self) -> usize {
        self.state.borrow().calls.open_count()
    }

    /// Starts a call. Its final answer is sent to the returned receiver.
    ///
    /// # Errors
    /// The number of open calls has reached the limit in the settings, or the request must not run again.
    pub fn start_call(
        &self,
        attributes: CallAttributes,
        request: Request,
    ) -> Result<(CallId, oneshot::Receiver<FinalResponse>), StartError> {
        let mut state = self.state.borrow_mut();
        let CallAttributes { class, tenant, is_retry } = attributes;
        if state.calls.open_count() >= state.transport.max_open_requests {
            state.metrics.count_request(class, RequestOutcome::Rejected(RejectionReason::OpenCalls));
            return Err(StartError::AtCapacity);
        }
        if state.calls.may_have_run(&request) {
            warn!(request_id = request.id(), "request failed: its id may have run already");
            state.metrics.count_request(class, RequestOutcome::Failed);
            return Err(StartError::Repeated);
        }
        let remaining_time = request.client_timeout;
        let (call, answer) = state.calls.add(self.clock.now(), class, request);
        let tenant = tenant.and_then(|name| state.classes.tenant_id(&name));
        drop(state);
        self.notify_balancer(Event::Request { call, class, tenant, remaining_time, is_retry });
        Ok((call, answer))
    }

    /// Records that a streamed request is still incomplete some time after its call has begun.
    pub fn record_delayed_request(&self, call: CallId) {
        self.notify_balancer(Event::RequestDelayed { call });
    }

    /// Records that the last byte of a streamed request arrived `time_since_arrival` ago, which started the
    /// client timeout.
    pub fn complete_request(&self, call: CallId, time_since_arrival: Duration) {
        let now = self.clock.now();
        let arrived_at = now.saturating_sub(time_since_arrival.as_micros() as Micros);
        let event = self.state.borrow_mut().calls.complete_request(now, call, arrived_at);
        if let Some(event) = event {
            self.notify_balancer(event);
        }
    }

    /// Records that the final response to a streamed request is due before the request has been read to its end.
    pub fn record_overdue_upload(&self, call: CallId, upload: &OverdueUpload) {
        let state = self.state.borrow();
        if let Some(request) = state.calls.request(call) {
            state.metrics.count_overdue_upload();
            state.log_overdue_upload(request.id(), upload);
        }
    }

    /// Records that the client of this call has disconnected, and cancels its attempts whatever the balancer
    /// decides.
    pub fn record_client_disconnect(&self, call: CallId) {
        self.abandon(call, None);
    }

    /// Ends an open call with this answer, if its client is still there, and cancels its attempts.
    fn abandon(&self, call: CallId, answer: Option<FinalResponse>) {
        let mut state = self.state.borrow_mut();
        if !state.calls.is_open(call) {
            return;
        }
        state.calls.close(call, answer);
        drop(state);
        self.notify_balancer(Event::ClientDisconnected { call });
        self.cancel_attempts(call);
    }

    fn cancel_attempts(&self, call: CallId) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        for number in 0..state.calls.attempt_count(call) {
            let id = AttemptId { call, number };
            let event = state.calls.end_attempt(self.clock.now(), id, Outcome::Cancelled.into());
            state.events.extend(event);
        }
        self.process_events(state);
        state.calls.remove_if_finished(call);
    }

    /// Applies an update of the endpoint list, and closes connections to endpoints that have changed or were
    /// removed.
    pub fn update_endpoints(&self, kind: ListUpdateKind, list: &[EndpointEntry]) {
        let update = self.state.borrow_mut().update_endpoints(kind, list, self.clock.now());
        for outdated in update.outdated {
            self.pool.close_outdated(outdated.endpoint, outdated.generation);
        }
        // Most watches end without a change and are not logged.
        if kind != ListUpdateKind::Delta || !update.entries.is_empty() {
            log_update(kind, &update.entries);
        }
        self.notify_balancer(Event::EndpointList { kind, endpoints: update.entries });
    }

    /// Observes the system's time, which may be stepped, for the start times of endpoints.
    pub fn observe_system_time(&self) {
        self.state.borrow_mut().start_times.observe_system_time(self.clock.now());
    }

    /// The current endpoint list, with `index` as its version.
    pub fn endpoint_list(&self, index: u64) -> EndpointList {
        self.state.borrow().endpoints.list(index)
    }

    /// The current settings that apply to polls of the endpoint list.
    pub fn list_rules(&self) -> ListRules {
        let state = self.state.borrow();
        ListRules { polls_endpoint_list: state.settings.polls_endpoint_list, rules: state.settings.rules }
    }

    /// Records that a poll of the endpoint list has failed; the balancer decides when to poll again. Discards
    /// a pending request for a poll.
    pub fn record_failed_endpoint_poll(&self) {
        self.is_poll_requested.set(false);
        self.notify_balancer(Event::EndpointList { kind: ListUpdateKind::Failed, endpoints: Vec::new() });
    }

    fn notify_balancer(&self, event: Event) {
        let mut state = self.state.borrow_mut();
        state.events.push_back(event);
        self.process_events(&mut state);
    }

    /// Passes the queued events to the balancer in order and executes its actions. An action may queue
    /// further events, so this repeats until the queue is empty.
    fn process_events(&self, state: &mut DispatcherState) {
        while let Some(event) = state.events.pop_front() {
            let now = self.clock.now();
            let ended_attempt_of = match event {
                Event::AttemptEnded { call, .. } => Some(call),
                _ => None,
            };
            let mut actions = std::mem::take(&mut state.actions);
            state.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(state, now, action);
            }
            state.actions = actions;
            if let Some(call) = ended_attempt_of {
                state.calls.remove_if_finished(call);
            }
        }
        self.wake_timers_if_earlier(state.calls.next_deadline());
    }

    /// Wakes the timer task if it sleeps beyond `next_deadline`. If the timer for which it sleeps has been
    /// removed, it wakes once for nothing, which costs less than waking it for each removal.
    fn wake_timers_if_earlier(&self, next_deadline: Option<Micros>) {
        let Some(next) = next_deadline else { return };
        if self.timers_asleep_until.get().is_none_or(|until| next < until) {
            self.earlier_timer.notify_one();
        }
    }

    fn execute(&self, state: &mut DispatcherState, now: Micros, action: Action) {
        match action {
            Action::Send { call, endpoint, timeout_at, send_before } => {
                let limits = AttemptLimits { timeout_at, send_before };
                self.send_attempt(state, now, call, endpoint, limits);
            }
            Action::Reject { call, retry_after } => {
                state.calls.close(call, Some(FinalResponse::Rejected { retry_after }));
            }
            Action::Fail { call } => state.calls.close(call, Some(FinalResponse::Failed)),
            Action::Cancel { call, attempt } => {
                let id = AttemptId { call, number: attempt };
                state.events.extend(state.calls.end_attempt(now, id, Outcome::Cancelled.into()));
            }
            Action::SetTimer { after } => state.calls.set_balancer_timer(now.saturating_add(after)),
            Action::PollEndpointList => {
                self.is_poll_requested.set(true);
                self.poll_requested.notify_one();
            }
            // Load polls are not implemented here; the balancer requests none where they are not allowed.
            Action::PollLoad { endpoint } => state.events.push_back(Event::LoadPolled {
                endpoint,
                outcome: Outcome::NotSent,
                elapsed: 0,
                load: LoadReport::default(),
            }),
            Action::Log(decision) => state.log_decision(decision),
        }
    }

    fn send_attempt(
        &self,
        state: &mut DispatcherState,
        now: Micros,
        call: CallId,
        endpoint: EndpointId,
        limits: AttemptLimits,
    ) {
        let Some(outgoing) = state.calls.add_attempt(now, call, endpoint, limits) else { return };
        let id = outgoing.id;
        let Some(target) = state.target(endpoint, &outgoing) else {
            state.events.extend(state.calls.end_attempt(now, id, Outcome::NotSent.into()));
            return;
        };
        let dispatcher = self.clone();
        let task = tokio::task::spawn_local(async move {
            let mut guard = AttemptGuard::new(dispatcher, id);
            let owner = DispatchedAttempt {
                dispatcher: &guard.dispatcher,
                outgoing: &outgoing,
                endpoint: target.endpoint,
                generation: target.generation,
            };
            let result = attempt(&owner.dispatcher.pool, target, &outgoing.request, &owner).await;
            guard.result = Some(result);
        });
        state.calls.set_task(id, task.abort_handle());
    }

    /// Records the outcome of an attempt whose task has ended. Only the first outcome of an attempt counts.
    fn end_attempt(&self, id: AttemptId, result: AttemptResult) {
        let event = self.state.borrow_mut().calls.end_attempt(self.clock.now(), id, result);
        if let Some(event) = event {
            self.notify_balancer(event);
        }
    }

    /// Runs the timer task, which never ends.
    pub async fn run_timers(&self) {
        loop {
            let next = self.state.borrow().calls.next_deadline();
            self.timers_asleep_until.set(next);
            match next {
                Some(at) if at <= self.clock.now() => self.fire_expired_timers(),
                Some(at) => {
                    tokio::select! {
                        () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                        () = self.earlier_timer.notified() => {}
                    }
                }
                None => self.earlier_timer.notified().await,
            }
        }
    }

    fn fire_expired_timers(&self) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        while let Some(timer) = state.calls.expire_next(now) {
            if let ExpiredTimer::Notify(event) = timer {
                state.events.push_back(event);
            }
            self.process_events(&mut state);
        }
    }
}

fn log_update(kind: ListUpdateKind, entries: &[EndpointInfo]) {
    let count = |state| entries.iter().filter(|endpoint| endpoint.state == state).count();
    let ready = count(EndpointState::Ready);
    let draining = count(EndpointState::Draining);
    let removed = count(EndpointState::Removed);
    info!(?kind, ready, draining, removed, "endpoint list updated");
}

/// Connects the task of an attempt to its call in the dispatcher.
struct DispatchedAttempt<'a> {
    dispatcher: &'a Dispatcher,
    outgoing: &'a OutgoingAttempt,
    endpoint: EndpointId,
    /// The endpoint's generation when the attempt was sent.
    generation: u64,
}

impl AttemptOwner for DispatchedAttempt<'_> {
    fn class(&self) -> ClassId {
        self.outgoing.class
    }

    fn remaining_time(&self) -> Micros {
        let request = &self.outgoing.request;
        let timeout_at = self.dispatcher.state.borrow().calls.timeout_of(self.outgoing.id);
        match timeout_at {
            Some(timeout_at) => timeout_at.saturating_sub(self.dispatcher.clock.now()),
            // The latest byte may be the last one of the request.
            None => {
                let time_since_last_byte_us = request.client.time_since_last_byte().as_micros() as Micros;
                request.client_timeout.saturating_sub(time_since_last_byte_us).max(MIN_STATED_TIME_US)
            }
        }
    }

    fn may_start(&self) -> bool {
        let id = self.outgoing.id;
        if self.outgoing.request.client.is_disconnected() {
            self.dispatcher.record_client_disconnect(id.call);
        }
        let now = self.dispatcher.clock.now();
        let permission = self.dispatcher.state.borrow_mut().may_start(now, id, self.generation);
        if permission == StartPermission::Repeated {
            let request_id = self.outgoing.request.id();
            warn!(request_id, "request failed: its id may have run already");
            self.dispatcher.abandon(id.call, Some(FinalResponse::Failed));
        }
        permission == StartPermission::Granted
    }

    fn record_answer_head(&self) -> Rc<Notify> {
        let mut state = self.dispatcher.state.borrow_mut();
        let overdue = state.calls.record_answer_head(self.outgoing.id);
        self.dispatcher.wake_timers_if_earlier(state.calls.next_deadline());
        overdue
    }

    fn start_response(&self, response: StreamingResponse) -> bool {
        let event = self.dispatcher.state.borrow_mut().calls.start_response(self.outgoing.id, response);
        let Some(event) = event else { return false };
        self.dispatcher.notify_balancer(event);
        true
    }

    fn report_incomplete(&self, response: &IncompleteResponse) {
        let request_id = self.outgoing.request.id();
        self.dispatcher.state.borrow().log_incomplete_response(request_id, self.endpoint, response);
    }
}

/// Reports the outcome of an attempt when its task ends. If the task panics, the attempt may have been
/// executed, and without a report its call would wait until its deadline.
struct AttemptGuard {
    dispatcher: Dispatcher,
    id: AttemptId,
    result: Option<AttemptResult>,
}

impl AttemptGuard {
    fn new(dispatcher: Dispatcher, id: AttemptId) -> Self {
        AttemptGuard { dispatcher, id, result: Some(Outcome::Unknown.into()) }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if let Some(result) = self.result.take() {
            self.dispatcher.end_attempt(self.id, result);
        }
    }
}

#[cfg(test)]
mod tests;
