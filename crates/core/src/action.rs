//! Actions that the balancer returns for the client proxy to carry out.

use crate::event::Outcome;
use crate::ids::{CallId, ClassId, EndpointId, Micros};
use std::fmt;

/// An action that the client proxy carries out for the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the next attempt of the call to an endpoint; attempts of a call are numbered from 0.
    Send {
        /// The call.
        call: CallId,
        /// The endpoint.
        endpoint: EndpointId,
        /// When the attempt times out; `None` if only the client's deadline limits it.
        timeout_at: Option<Micros>,
        /// Time before which the attempt must be sent, or not at all: later, endpoints no longer recognise it
        /// as a duplicate. `None` if there is no such limit.
        send_before: Option<Micros>,
    },
    /// Reject the call without serving it; the client may safely retry.
    Reject {
        /// The call.
        call: CallId,
        /// Delay after which the client should retry, in microseconds.
        retry_after: Micros,
    },
    /// Fail the call; it may have been executed.
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
    /// Send [`Event::Timer`](crate::Event::Timer) after a delay.
    SetTimer {
        /// The delay, in microseconds.
        after: Micros,
    },
    /// Poll discovery for the endpoint list.
    PollEndpointList,
    /// Log a decision.
    Log(DecisionEvent),
}

/// A decision that is logged for operators. Its `Display` form identifies endpoints and classes by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionEvent {
    /// Every listed endpoint is ejected, and calls are rejected.
    AllEndpointsEjected,
    /// An endpoint has been ejected: it is sent only occasional trial attempts.
    EndpointEjected {
        /// The endpoint.
        endpoint: EndpointId,
        /// Outcome of the attempt that caused the ejection.
        outcome: Outcome,
    },
    /// An ejected endpoint has been re-admitted after it served a trial attempt.
    EndpointReadmitted {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Calls of one class fail too often at an endpoint, whether or not other classes are served there.
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
