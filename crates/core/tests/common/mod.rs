//! A client proxy for tests, which feeds events to a balancer and records the actions, without any network.
#![allow(dead_code)]

use oakport_core::*;

/// One millisecond in microseconds.
pub const MS: Micros = 1_000;

/// A client proxy that records the balancer's actions and carries out none of them.
pub struct RecordingProxy {
    pub balancer: Balancer,
    pub now: Micros,
    /// All actions so far.
    pub actions: Vec<Action>,
    next_call: u64,
}

/// Settings with one class: latency objective 500 ms, client timeout 1.2 s.
pub fn settings(idempotency: Idempotency) -> Settings {
    let class = Class {
        latency_objective: 500 * MS,
        client_timeout: 1_200 * MS,
        priority_weight: 1.0,
        late_weight_ratio: 0.0,
        idempotency,
        active: true,
    };
    Settings {
        classes: vec![class],
        proxy_count: 7,
        limits: Limits { max_attempts: 5, ..Settings::default().limits },
        ..Settings::default()
    }
}

/// Endpoint list entry of a ready, warm endpoint.
pub fn ready_endpoint(id: u32) -> EndpointInfo {
    EndpointInfo { id: EndpointId(id), state: EndpointState::Ready, ..EndpointInfo::default() }
}

impl RecordingProxy {
    /// Creates a started client proxy with `endpoint_count` ready, warm endpoints, numbered from 1.
    pub fn new(settings: Settings, endpoint_count: u32) -> RecordingProxy {
        let mut proxy = RecordingProxy {
            balancer: Balancer::new(7, settings),
            now: 1_000_000,
            actions: Vec::new(),
            next_call: 0,
        };
        proxy.event(Event::Start);
        let endpoints = (1..=endpoint_count).map(ready_endpoint).collect();
        proxy.endpoint_list(ListUpdateKind::Snapshot, endpoints);
        proxy
    }

    /// Feeds one event to the balancer and returns its actions.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.actions.extend(actions.iter().cloned());
        actions
    }

    pub fn endpoint_list(&mut self, kind: ListUpdateKind, endpoints: Vec<EndpointInfo>) -> Vec<Action> {
        self.event(Event::EndpointList { kind, endpoints })
    }

    /// Makes a new call of a class, with a client timeout of 1.2 s.
    pub fn request_of_class(&mut self, class: usize) -> (CallId, Vec<Action>) {
        self.next_call += 1;
        let call = CallId(self.next_call);
        let class = ClassId(class);
        let event = Event::Request { call, class, tenant: None, remaining_time: 1_200 * MS, is_retry: false };
        (call, self.event(event))
    }

    /// Makes a new call of the first class.
    pub fn request(&mut self) -> (CallId, Vec<Action>) {
        self.request_of_class(0)
    }

    /// Ends an attempt; a served one closes its call.
    pub fn end_attempt(
        &mut self,
        call: CallId,
        attempt: u32,
        outcome: Outcome,
        elapsed: Micros,
    ) -> Vec<Action> {
        let call_closed = outcome == Outcome::Served;
        let load = LoadReport::default();
        self.event(Event::AttemptEnded { call, attempt, outcome, elapsed, call_closed, load })
    }

    /// Makes a new call that is served after `elapsed`; returns the endpoint that the call was sent to.
    pub fn serve_one(&mut self, elapsed: Micros) -> Option<EndpointId> {
        let (call, actions) = self.request();
        let endpoint = sends(&actions).first().map(|send| send.1);
        self.now += elapsed;
        self.end_attempt(call, 0, Outcome::Served, elapsed);
        endpoint
    }

    /// Makes bursts of more calls than may be in flight; each call that is sent is served after `elapsed`.
    pub fn serve_bursts(&mut self, burst_count: usize, elapsed: Micros) {
        for _ in 0..burst_count {
            let mut in_flight: Vec<CallId> =
                (0..100).flat_map(|_| sends(&self.request().1)).map(|send| send.0).collect();
            while !in_flight.is_empty() {
                self.now += elapsed;
                let next = |call| sends(&self.end_attempt(call, 0, Outcome::Served, elapsed));
                in_flight = in_flight.into_iter().flat_map(next).map(|send| send.0).collect();
            }
            self.advance(1_200 * MS);
        }
    }

    /// Advances the time and fires the timer.
    pub fn advance(&mut self, duration: Micros) -> Vec<Action> {
        self.now += duration;
        self.event(Event::Timer)
    }
}

/// Call and endpoint of each attempt that the actions send.
pub fn sends(actions: &[Action]) -> Vec<(CallId, EndpointId)> {
    let send = |action: &Action| match action {
        Action::Send { call, endpoint, .. } => Some((*call, *endpoint)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// Whether the actions reject this call.
pub fn is_rejected(actions: &[Action], id: CallId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { call, .. } if *call == id))
}

/// Whether the actions fail this call.
pub fn is_failed(actions: &[Action], id: CallId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { call } if *call == id))
}
