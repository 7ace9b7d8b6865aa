//! The one owner of the [`Balancer`]: turns what happens into events and carries the actions out. It never picks,
//! retries or sheds by itself.

use crate::call_table::CallTable;
use crate::classes::Classes;
use crate::clock::Clock;
use crate::endpoint_list::{EndpointEntry, EndpointList};
use crate::endpoints::{Endpoints, OutdatedConnections};
use crate::metrics::{Gauges, Metrics, MetricsReport, RequestOutcome};
use crate::request::{CallAttributes, Request};
use crate::response::{AttemptResult, FinalResponse, StreamingResponse};
use crate::upstream::attempt::attempt;
use crate::upstream::pool::{ConnectionPool, Target};
use oakport_core::settings_wire::{ParsedSettings, TransportSettings};
use oakport_core::{
    Action, Balancer, CallId, ClassId, DecisionEvent, EndpointId, EndpointState, Event, ListUpdateKind,
    LoadReport, Micros, Outcome, Rules, Settings,
};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};
use tracing::{info, warn};

struct Core {
    balancer: Balancer,
    figures: Rc<Metrics>,
    classes: Classes,
    hosts: Endpoints,
    calls: CallTable,
    max_open: usize,
    /// The settings in force, and what the sockets go by.
    settings: Settings,
    transport: TransportSettings,
    /// Client proxies counted, where peers tell of them; it goes before the settings' number.
    live: Option<u32>,
    /// New requests are taken.
    taking: bool,
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

/// The driver as the other parts see it.
#[derive(Clone)]
pub struct Dispatcher {
    core: Rc<RefCell<Core>>,
    clock: Clock,
    pool: Rc<ConnectionPool>,
    /// For when the timers sleep; None: until they are told.
    asleep_until: Rc<Cell<Option<Micros>>>,
    timer_sooner: Rc<Notify>,
    /// The module wants the list, and has not been heard yet.
    wants_list: Rc<Cell<bool>>,
    subscribe: Rc<Notify>,
}

impl Dispatcher {
    pub fn new(
        seed: u64,
        facts: ParsedSettings,
        clock: Clock,
        pool: Rc<ConnectionPool>,
        figures: Rc<Metrics>,
    ) -> Self {
        let transport = facts.transport;
        let (classes, settings) = Classes::new(facts);
        let core = Core {
            balancer: Balancer::new(seed, settings.clone()),
            settings,
            transport,
            live: None,
            calls: CallTable::new(Rc::clone(&figures)),
            figures,
            classes,
            hosts: Endpoints::default(),
            max_open: transport.max_open_requests,
            taking: false,
            events: VecDeque::new(),
            actions: Vec::new(),
        };
        let core = Rc::new(RefCell::new(core));
        let (asleep_until, timer_sooner, wants_list, subscribe) = <(_, Rc<Notify>, _, _)>::default();
        Dispatcher { core, clock, pool, asleep_until, timer_sooner, wants_list, subscribe }
    }

    /// Waits until the module asks for the list.
    pub async fn endpoint_poll_requested(&self) {
        while !self.wants_list.take() {
            self.subscribe.notified().await;
        }
    }

    pub fn start(&self) {
        self.event(Event::Start);
    }

    /// New settings are in force. Calls under way keep the class they were taken with.
    pub fn apply_settings(&self, facts: ParsedSettings) {
        let mut core = self.core.borrow_mut();
        core.max_open = facts.transport.max_open_requests;
        core.transport = facts.transport;
        core.settings = core.classes.apply_settings(facts);
        drop(core);
        self.settle();
    }

    /// So many client proxies are counted from now on.
    pub fn set_live_count(&self, balancers: u32) {
        self.core.borrow_mut().live = Some(balancers);
        self.settle();
    }

    /// Puts the settings in force, with the number of client proxies that is counted.
    fn settle(&self) {
        let core = self.core.borrow();
        let balancers = core.live.unwrap_or(core.settings.proxy_count);
        let (settings, transport) =
            (Settings { proxy_count: balancers, ..core.settings.clone() }, core.transport);
        drop(core);
        self.pool.apply_settings(transport, balancers);
        self.event(Event::Settings(Box::new(settings)));
    }

    /// The class of this name, if the settings have one.
    pub fn class_id(&self, name: &str) -> Option<ClassId> {
        self.core.borrow().classes.class_id(name)
    }

    /// Says whether new requests are taken.
    pub fn set_accepting(&self, taking: bool) {
        self.core.borrow_mut().taking = taking;
    }

    pub fn is_accepting(&self) -> bool {
        self.core.borrow().taking
    }

    /// A request that was refused before it became a call.
    pub fn count_rejected(&self, class: ClassId) {
        self.core.borrow().figures.count_request(class, RequestOutcome::Rejected);
    }

    /// The operators' figures as they are now.
    pub fn report(&self) -> MetricsReport {
        let core = self.core.borrow();
        let gauges = Gauges {
            in_flight_calls: core.calls.open(),
            endpoints_listed: core.hosts.listed().count(),
            endpoints_unavailable: core.balancer.unavailable_endpoints(self.clock.now()),
        };
        core.figures.report(core.classes.names(), gauges)
    }

    /// Calls without their final answer.
    pub fn open_call_count(&self) -> usize {
        self.core.borrow().calls.open()
    }

    /// Takes a request on. None: more are open than the settings allow.
    pub fn start_call(
        &self,
        intake: CallAttributes,
        request: Request,
    ) -> Option<(CallId, oneshot::Receiver<FinalResponse>)> {
        let mut core = self.core.borrow_mut();
        let CallAttributes { class, tenant, is_retry: resent } = intake;
        if core.calls.open() >= core.max_open {
            core.figures.count_request(class, RequestOutcome::Rejected);
            return None;
        }
        let time_left = request.client_timeout;
        let (call, answer) = core.calls.add(self.clock.now(), class, request);
        let tenant = tenant.and_then(|name| core.classes.tenant_id(&name));
        drop(core);
        self.event(Event::Request { call, class, tenant, remaining_time: time_left, is_retry: resent });
        Some((call, answer))
    }

    /// The last byte of a large request has come: its time counts from now.
    pub fn complete_request(&self, call: CallId) {
        let event = self.core.borrow_mut().calls.whole(self.clock.now(), call);
        event.into_iter().for_each(|event| self.event(event));
    }

    /// A large answer begins. False if the call has ended meanwhile: then nobody wants it.
    fn begin(&self, call: CallId, attempt: u32, begun: StreamingResponse) -> bool {
        let event = self.core.borrow_mut().calls.begin(call, attempt, begun);
        event.map(|event| self.event(event)).is_some()
    }

    /// The client of this call has gone. Its attempts are dropped whatever the module says.
    pub fn disconnect_client(&self, call: CallId) {
        let mut core = self.core.borrow_mut();
        if !core.calls.is_open(call) {
            return;
        }
        core.calls.close(call, None);
        drop(core);
        self.event(Event::ClientDisconnected { call });
        self.drop_attempts(call);
    }

    /// May the first byte of this attempt be written now? Asked after the connection is there: the call may
    /// have ended meanwhile, its time may be up, its host may drain or be another process.
    fn may_start(&self, call: CallId, attempt: u32, generation: u64) -> bool {
        let mut core = self.core.borrow_mut();
        let Core { calls, hosts, .. } = &mut *core;
        let ready = |server| {
            hosts.get(server).is_some_and(|h| h.state == EndpointState::Ready && h.generation == generation)
        };
        calls.may_start(self.clock.now(), call, attempt, ready)
    }

    /// An attempt has ended by itself. Only its first outcome counts.
    fn ended(&self, call: CallId, attempt: u32, ended: AttemptResult) {
        let event = self.core.borrow_mut().calls.outcome(self.clock.now(), call, attempt, ended);
        event.into_iter().for_each(|event| self.event(event));
    }

    /// News of the list.
    pub fn update_endpoints(&self, kind: ListUpdateKind, list: &[EndpointEntry]) {
        let (entries, outdated) = self.core.borrow_mut().hosts.update(kind, list);
        for OutdatedConnections { endpoint: server, generation } in outdated {
            self.pool.close_outdated(server, generation);
        }
        let count = |state| entries.iter().filter(|e| e.state == state).count();
        let (up, draining, gone) =
            (count(EndpointState::Ready), count(EndpointState::Draining), count(EndpointState::Removed));
        // Most watches end without news.
        if kind != ListUpdateKind::Delta || !entries.is_empty() {
            info!(?kind, up, draining, gone, "list taken");
        }
        self.event(Event::EndpointList { kind, endpoints: entries });
    }

    /// The list as it is now, of this version.
    pub fn endpoint_list(&self, index: u64) -> EndpointList {
        self.core.borrow().hosts.list(index)
    }

    /// Whether lists are asked for, and the rules' figures, by the settings in force.
    pub fn list_rules(&self) -> (bool, Rules) {
        let core = self.core.borrow();
        (core.settings.polls_endpoint_list, core.settings.rules)
    }

    /// Asking for the list failed: the module says when to ask again. What it said before is overtaken.
    pub fn fail_endpoint_poll(&self) {
        self.wants_list.set(false);
        self.event(Event::EndpointList { kind: ListUpdateKind::Failed, endpoints: Vec::new() });
    }

    fn event(&self, event: Event) {
        let mut core = self.core.borrow_mut();
        core.events.push_back(event);
        self.run(&mut core);
    }

    /// Hands the events to the module in their order and carries out what it says; an action may bring a
    /// further event at once, so this goes on until none is left.
    fn run(&self, core: &mut Core) {
        while let Some(event) = core.events.pop_front() {
            let now = self.clock.now();
            let mut actions = std::mem::take(&mut core.actions);
            let touched = match event {
                Event::AttemptEnded { call, .. } => Some(call),
                _ => None,
            };
            core.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(core, now, action);
            }
            core.actions = actions;
            if let Some(call) = touched {
                core.calls.tidy(call);
            }
        }
        // One that sleeps for something that is not due any more wakes once in vain, which costs less than waking it
        // for each timer that goes.
        let sooner = |next: Micros| self.asleep_until.get().is_none_or(|until| next < until);
        if core.calls.next_due().is_some_and(sooner) {
            self.timer_sooner.notify_one();
        }
    }

    fn act(&self, core: &mut Core, now: Micros, action: Action) {
        match action {
            Action::Send { call, endpoint: server, timeout_at: until, send_before: by } => {
                self.send(core, now, (call, server), (until, by))
            }
            Action::Reject { call, retry_after } => {
                core.calls.close(call, Some(FinalResponse::Rejected { retry_after }));
            }
            Action::Fail { call } => core.calls.close(call, Some(FinalResponse::Failed)),
            Action::Cancel { call, attempt } => {
                core.events.extend(core.calls.outcome(now, call, attempt, Outcome::Cancelled.into()));
            }
            Action::SetTimer { after } => core.calls.wake(now.saturating_add(after)),
            Action::PollEndpointList => {
                self.wants_list.set(true);
                self.subscribe.notify_one();
            }
            // Where the site allows no probes the module asks for none.
            Action::PollLoad { endpoint: server } => core.events.push_back(Event::LoadPolled {
                endpoint: server,
                outcome: Outcome::NotSent,
                elapsed: 0,
                load: LoadReport::default(),
            }),
            Action::Log(note) => core.tell(note),
        }
    }

    fn send(
        &self,
        core: &mut Core,
        now: Micros,
        (id, server): (CallId, EndpointId),
        (until, by): (Option<Micros>, Option<Micros>),
    ) {
        let Some(outgoing) = core.calls.send(now, id, server, (until, by)) else { return };
        let number = outgoing.number;
        let target =
            core.hosts.get(server).filter(|h| h.state == EndpointState::Ready && outgoing.wanted).and_then(
                |h| Some(Target { endpoint: server, address: h.address?, generation: h.generation }),
            );
        let Some(target) = target else {
            core.events.extend(core.calls.outcome(now, id, number, Outcome::NotSent.into()));
            return;
        };
        let driver = self.clone();
        let task = tokio::task::spawn_local(async move {
            // An attempt whose task dies may have run; without this its call would wait for its deadline.
            let mut guard = Guard { driver, call: id, attempt: number, ended: Some(Outcome::Unknown.into()) };
            let driver = &guard.driver;
            let (timed, request) = (outgoing.timed(), &outgoing.request);
            let left = || {
                if timed {
                    outgoing.until.saturating_sub(driver.clock.now())
                } else {
                    request.client_timeout
                }
            };
            let begin = |begun| driver.begin(id, number, begun);
            let may_start = || {
                if request.client.gone() {
                    driver.disconnect_client(id);
                }
                driver.may_start(id, number, target.generation)
            };
            let ended = attempt(&driver.pool, target, request, left, may_start, begin).await;
            guard.ended = Some(ended);
        });
        core.calls.under_way(id, number, task.abort_handle());
    }

    /// Gives up what is still out for a call of which nothing more is wanted.
    fn drop_attempts(&self, call: CallId) {
        let mut core = self.core.borrow_mut();
        let core = &mut *core;
        for attempt in 0..core.calls.attempts(call) {
            core.events.extend(core.calls.outcome(
                self.clock.now(),
                call,
                attempt,
                Outcome::Cancelled.into(),
            ));
        }
        self.run(core);
        core.calls.tidy(call);
    }

    /// Serves the timers, for as long as the program runs.
    pub async fn run_timers(&self) {
        loop {
            let next = self.core.borrow().calls.next_due();
            self.asleep_until.set(next);
            match next {
                Some(at) if at <= self.clock.now() => self.due(),
                Some(at) => {
                    tokio::select! {
                        () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                        () = self.timer_sooner.notified() => {}
                    }
                }
                None => self.timer_sooner.notified().await,
            }
        }
    }

    fn due(&self) {
        let mut core = self.core.borrow_mut();
        let now = self.clock.now();
        while let Some(event) = core.calls.due(now) {
            core.events.extend(event);
            self.run(&mut core);
        }
    }
}

impl Core {
    /// Tells whoever is on call what the module notes, under the names that people know.
    fn tell(&self, note: DecisionEvent) {
        let name = |server| self.hosts.name(server);
        match note {
            DecisionEvent::AllEndpointsEjected => warn!(reason = "no server is up", "refusing"),
            DecisionEvent::EndpointEjected { endpoint: server, outcome } => {
                warn!(server = name(server), ?outcome, "set aside");
            }
            DecisionEvent::EndpointReadmitted { endpoint: server } => {
                info!(server = name(server), "taken back")
            }
            DecisionEvent::ClassFailing { endpoint: server, class } => {
                warn!(server = name(server), class = self.classes.name(class), "fails a class");
            }
        }
    }
}

/// Reports the outcome of an attempt when its task ends, however that comes about.
struct Guard {
    driver: Dispatcher,
    call: CallId,
    attempt: u32,
    ended: Option<AttemptResult>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(ended) = self.ended.take() {
            self.driver.ended(self.call, self.attempt, ended);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::body::MemoryLimit;
    use crate::descriptors::Descriptors;
    use crate::downstream::connection::ClientPresence;
    use bytes::Bytes;
    use hyper::http::{HeaderMap, Method, Uri};

    fn driver() -> Dispatcher {
        let clock = Clock::start();
        let transport = TransportSettings {
            max_open_requests: 9,
            idle_connection_timeout: 60_000_000,
            connect_timeout: 9_000_000,
            handshake_charge: 0.0,
            shortest_latency_objective: 400_000,
        };
        let figures = Rc::<Metrics>::default();
        let pool = ConnectionPool::new(
            transport,
            1,
            Descriptors::new(9),
            clock,
            Rc::clone(&figures),
            MemoryLimit::new(64),
        );
        let facts = ParsedSettings {
            settings: Settings::default(),
            class_names: vec![],
            tenant_names: vec![],
            transport,
        };
        Dispatcher::new(7, facts, clock, pool, figures)
    }

    fn request() -> Request {
        let (uri, headers) = (Uri::from_static("/a"), HeaderMap::new());
        let (body, time) = (Bytes::new(), 60_000_000);
        Request {
            method: Method::GET,
            uri,
            headers,
            body,
            upload: None,
            length: Some(0),
            client_timeout: time,
            client: ClientPresence::default(),
        }
    }

    /// More than the settings allow are turned away before the module sees them.
    #[tokio::test(flavor = "current_thread")]
    async fn calls_are_bounded_and_a_client_that_leaves_makes_room() {
        let driver = driver();
        let intake = || CallAttributes { class: ClassId(0), tenant: None, is_retry: false };
        let held: Vec<_> = (0..9).map(|_| driver.start_call(intake(), request()).expect("room")).collect();
        assert!(driver.start_call(intake(), request()).is_none());
        driver.disconnect_client(held[3].0);
        assert!(driver.start_call(intake(), request()).is_some());
    }
}
