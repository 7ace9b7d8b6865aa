//! Actions: what the balancer asks the client proxy to do.

use crate::event::Outcome;
use crate::ids::{CallId, ClassId, EndpointId, Micros};
use std::fmt;

/// What the balancer asks the client proxy to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the call to an endpoint; attempts of a call are numbered from 0.
    Send {
        /// The call.
        call: CallId,
        /// The endpoint.
        endpoint: EndpointId,
        /// The moment at which the attempt times out; `None`: when the client's time is up.
        timeout_at: Option<Micros>,
        /// The moment before which it must be sent, if at all: later, endpoints no longer drop it as a repeat.
        send_before: Option<Micros>,
    },
    /// End the call unserved; the client may safely retry it.
    Reject {
        /// The call.
        call: CallId,
        /// After how long the client should retry, in microseconds.
        retry_after: Micros,
    },
    /// End the call with an error; it may have been executed.
    Fail {
        /// The call.
        call: CallId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
    },
    /// Poll an endpoint for its load.
    PollLoad {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Send [`Event::Timer`](crate::Event::Timer) after this time.
    SetTimer {
        /// How long from now, in microseconds.
        after: Micros,
    },
    /// Poll discovery for the endpoint list.
    PollEndpointList,
    /// Log a decision.
    Log(DecisionEvent),
}

/// A decision that on-call staff should see in the log. As text it names endpoints and classes by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionEvent {
    /// Every listed endpoint is ejected: calls are rejected from now on.
    AllEndpointsEjected,
    /// An endpoint gets nothing but a trial attempt now and then.
    EndpointEjected {
        /// The endpoint.
        endpoint: EndpointId,
        /// Outcome of the attempt that caused it.
        outcome: Outcome,
    },
    /// An ejected endpoint has served its trial attempt.
    EndpointReadmitted {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Calls of one class fail at an endpoint, whether or not others do.
    ClassFailing {
        /// The endpoint.
        endpoint: EndpointId,
        /// The class.
        class: ClassId,
    },
}

impl fmt::Display for DecisionEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecisionEvent::AllEndpointsEjected => write!(f, "all endpoints ejected: rejecting calls"),
            DecisionEvent::EndpointEjected { endpoint, outcome } => {
                write!(f, "endpoint {} ejected: {outcome:?}", endpoint.0)
            }
            DecisionEvent::EndpointReadmitted { endpoint } => write!(f, "endpoint {} readmitted", endpoint.0),
            DecisionEvent::ClassFailing { endpoint, class } => {
                write!(f, "endpoint {} fails class #{}", endpoint.0, class.0)
            }
        }
    }
}
