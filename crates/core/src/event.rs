//! Events that the client proxy reports to the balancer.

use crate::ids::{CallId, CellId, ClassId, EndpointId, MachineTypeId, Micros, TenantId, ZoneId};
use crate::settings::Settings;

/// The state of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts calls.
    #[default]
    Ready,
    /// The endpoint finishes the calls in flight and accepts no new ones.
    Draining,
    /// The endpoint has been removed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointInfo {
    /// The endpoint.
    pub id: EndpointId,
    /// Whether it accepts calls.
    pub state: EndpointState,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its machine type.
    pub machine_type: MachineTypeId,
    /// Relative weight, with the meaning given by [`WeightSource`](crate::WeightSource); 0 or less if
    /// unknown.
    pub weight: f64,
    /// Start time of its process; 0 if long ago.
    pub started_at: Micros,
}

/// The contents of an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list from the local cache, possibly outdated.
    Cached,
    /// Nothing: the poll of discovery failed or the watch was interrupted.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint served the attempt.
    Served,
    /// The endpoint answered with an error.
    Error,
    /// The request itself is invalid: no endpoint would serve it, and this one is healthy.
    InvalidRequest,
    /// The endpoint rejected the attempt without processing it, since it is at capacity or draining.
    Rejected,
    /// No response arrived in time.
    TimedOut,
    /// No connection could be established.
    ConnectFailed,
    /// The connection was lost while the attempt was in flight.
    Reset,
    /// This client proxy cancelled the attempt.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// Any other outcome; the attempt may have been executed.
    Unknown,
}

impl Outcome {
    /// Whether the outcome proves that the endpoint did not start to execute the attempt.
    pub fn proves_not_started(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// An endpoint's load report; `None` for each value that the endpoint does not report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight, queued ones included.
    pub in_flight: Option<f64>,
    /// Requests in the endpoint's queue.
    pub queued: Option<f64>,
    /// Share of the endpoint's cores that is busy, 0 to 1.
    pub utilisation: Option<f64>,
    /// Errors per second.
    pub error_rate: Option<f64>,
}

/// An event that the client proxy reports to the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The client proxy has started. Its cached endpoint list, if any, is the next event.
    Start,
    /// An update of the endpoint list.
    EndpointList {
        /// The contents of the update.
        kind: ListUpdateKind,
        /// The entries of the update.
        endpoints: Vec<EndpointInfo>,
    },
    /// A client has sent a request, which starts a call.
    Request {
        /// The call.
        call: CallId,
        /// The class of the call.
        class: ClassId,
        /// The tenant of the call.
        tenant: Option<TenantId>,
        /// How long the client still waits, in microseconds.
        remaining_time: Micros,
        /// Whether the client has marked the request as a retry.
        is_retry: bool,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The call.
        call: CallId,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// How the attempt ended.
        outcome: Outcome,
        /// How long the attempt took, in microseconds.
        elapsed: Micros,
        /// Whether the call has ended.
        call_closed: bool,
        /// The endpoint's load report.
        load: LoadReport,
    },
    /// A streamed request is still incomplete some time after its call has begun: until it is complete, no endpoint
    /// works on it.
    RequestDelayed {
        /// The call.
        call: CallId,
    },
    /// The last byte of a streamed request has arrived: latency and deadline of the call count from now.
    RequestComplete {
        /// The call.
        call: CallId,
        /// How long the client still waits, in microseconds.
        remaining_time: Micros,
    },
    /// The response to an attempt has started to stream to the client; no other attempt can serve the call.
    ResponseStarted {
        /// The call.
        call: CallId,
        /// The number of the attempt, from 0.
        attempt: u32,
    },
    /// A load poll has ended.
    LoadPolled {
        /// The endpoint.
        endpoint: EndpointId,
        /// How the poll ended.
        outcome: Outcome,
        /// How long the poll took, in microseconds.
        elapsed: Micros,
        /// The endpoint's load report.
        load: LoadReport,
    },
    /// The client of a call has disconnected.
    ClientDisconnected {
        /// The call.
        call: CallId,
    },
    /// The timer set by [`Action::SetTimer`](crate::Action::SetTimer) has fired.
    Timer,
    /// The settings have changed. Known classes keep their ids, also those that are no longer active; ids of
    /// new classes follow.
    Settings(Box<Settings>),
}
