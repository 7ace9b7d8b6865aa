//! The state of the dispatcher: the balancer, the calls, the endpoints, and the current settings.

use crate::call_table::{AttemptId, CallTable, OutgoingAttempt, StartPermission};
use crate::classes::Classes;
use crate::endpoint_list::EndpointEntry;
use crate::endpoints::{EndpointUpdate, Endpoints};
use crate::metrics::{Gauges, Metrics, MetricsReport};
use crate::request::OverdueUpload;
use crate::request_ids::RequestIds;
use crate::start_times::StartTimes;
use crate::upstream::attempt::IncompleteResponse;
use crate::upstream::pool::Target;
use oakport_core::settings_wire::{ParsedSettings, TransportSettings};
use oakport_core::{
    Action, Balancer, DecisionEvent, EndpointId, EndpointState, Event, ListUpdateKind, Micros, Settings,
};
use std::collections::VecDeque;
use std::rc::Rc;
use tracing::{info, warn};

pub struct DispatcherState {
    pub balancer: Balancer,
    pub metrics: Rc<Metrics>,
    pub classes: Classes,
    pub endpoints: Endpoints,
    pub start_times: StartTimes,
    pub calls: CallTable,
    /// The current settings, with the number of client proxies that they contain.
    pub settings: Settings,
    pub transport: TransportSettings,
    /// The live count determined by membership, which takes precedence over the number in the settings.
    pub live_proxy_count: Option<u32>,
    /// Whether new requests are accepted.
    pub is_accepting: bool,
    /// Events that the balancer has yet to handle.
    pub events: VecDeque<Event>,
    /// The actions that one event has caused; the buffer is reused.
    pub actions: Vec<Action>,
}

impl DispatcherState {
    pub fn new(seed: u64, parsed: ParsedSettings, metrics: Rc<Metrics>, request_ids: RequestIds) -> Self {
        let transport = parsed.transport;
        let (classes, settings) = Classes::new(parsed);
        DispatcherState {
            balancer: Balancer::new(seed, settings.clone()),
            calls: CallTable::new(Rc::clone(&metrics), request_ids),
            metrics,
            classes,
            endpoints: Endpoints::default(),
            start_times: StartTimes::default(),
            settings,
            transport,
            live_proxy_count: None,
            is_accepting: false,
            events: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// The current settings, with the live count in place of their number of client proxies if it is known.
    pub fn effective_settings(&self) -> Settings {
        let proxy_count = self.live_proxy_count.unwrap_or(self.settings.proxy_count);
        Settings { proxy_count, ..self.settings.clone() }
    }

    /// The current metrics.
    pub fn report(&self, now: Micros) -> MetricsReport {
        let gauges = Gauges {
            in_flight_calls: self.calls.open_count(),
            endpoints_listed: self.endpoints.listed().count(),
            endpoints_unavailable: self.balancer.unavailable_endpoints(now),
        };
        self.metrics.report(self.classes.names(), gauges)
    }

    /// Applies an update of the endpoint list.
    pub fn update_endpoints(
        &mut self,
        kind: ListUpdateKind,
        list: &[EndpointEntry],
        now: Micros,
    ) -> EndpointUpdate {
        self.start_times.observe_system_time(now);
        let start_times = &self.start_times;
        self.endpoints.update(kind, list, |since| start_times.started_at(since, now))
    }

    /// The target of an attempt. `None` if its endpoint accepts no calls or the attempt is no longer needed.
    pub fn target(&self, endpoint: EndpointId, attempt: &OutgoingAttempt) -> Option<Target> {
        let known = self.endpoints.get(endpoint)?;
        if known.state != EndpointState::Ready || !attempt.is_wanted {
            return None;
        }
        Some(Target { endpoint, address: known.address?, generation: known.generation })
    }

    /// Whether the first byte of an attempt may be written now, to an endpoint of this generation.
    pub fn may_start(&mut self, now: Micros, attempt: AttemptId, generation: u64) -> StartPermission {
        let endpoints = &self.endpoints;
        let is_ready = |endpoint| {
            endpoints
                .get(endpoint)
                .is_some_and(|known| known.state == EndpointState::Ready && known.generation == generation)
        };
        self.calls.may_start(now, attempt, is_ready)
    }

    /// Logs how much was received and forwarded of a streamed response that ended before its last byte.
    pub fn log_incomplete_response(
        &self,
        request_id: &str,
        endpoint: EndpointId,
        response: &IncompleteResponse,
    ) {
        let state = self.endpoints.get(endpoint).map(|known| known.state);
        warn!(
            request_id,
            endpoint = self.endpoints.name(endpoint),
            state = state.map(tracing::field::debug),
            received_bytes = response.received_bytes,
            forwarded_bytes = response.forwarded_bytes,
            expected_bytes = response.length,
            reason = %response.error,
            available_memory_bytes = response.available_memory_bytes,
            held_back_by = response.last_read_pause.map(|pause| tracing::field::debug(pause.reason)),
            held_back_ms_ago = response.last_read_pause.map(|pause| pause.until.elapsed().as_millis() as u64),
            "streamed response incomplete"
        );
    }

    /// Logs why a request is answered before it has been read to its end.
    pub fn log_overdue_upload(&self, request_id: &str, upload: &OverdueUpload) {
        warn!(
            request_id,
            received_chunks = upload.received_chunks,
            read_bytes = upload.read_bytes,
            unread_bytes = upload.unread_bytes,
            max_unseen_bytes = upload.max_unseen_bytes,
            written_ms_ago = upload.time_since_earliest_end.as_millis() as u64,
            "final response due before the request was read"
        );
    }

    /// Logs a decision of the balancer, with the names of endpoints and classes.
    pub fn log_decision(&self, decision: DecisionEvent) {
        let name = |endpoint| self.endpoints.name(endpoint);
        match decision {
            DecisionEvent::AllEndpointsEjected => {
                warn!(reason = "every listed endpoint is ejected", "rejecting calls")
            }
            DecisionEvent::EndpointEjected { endpoint, outcome } => {
                warn!(endpoint = name(endpoint), ?outcome, "endpoint ejected");
            }
            DecisionEvent::EndpointReadmitted { endpoint } => {
                info!(endpoint = name(endpoint), "endpoint readmitted");
            }
            DecisionEvent::ClassFailing { endpoint, class } => {
                let class = self.classes.name(class);
                warn!(endpoint = name(endpoint), class, "class failing at endpoint");
            }
        }
    }
}
