//! Counts requests, attempts, connections and reloads for the admin endpoint. Each is counted once, when its result is
//! final.

use crate::membership::report::MembershipReport;
use oakport_core::ClassId;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Served,
    Rejected(RejectionReason),
    Failed,
}

/// What was lacking for a request that was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectionReason {
    /// A client connection within the number that is served.
    ClientConnections,
    /// Memory for the head or the body of the request.
    Memory,
    /// An open call within the limit of the settings.
    OpenCalls,
    /// An endpoint that the balancer could use in time.
    Endpoints,
    /// Time before the end of the process.
    Shutdown,
}

/// Number of requests of one class, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct OutcomeCounts {
    /// Served requests.
    #[serde(rename = "success")]
    pub served: u64,
    /// Rejected requests, which may be retried safely.
    #[serde(rename = "busy")]
    pub rejected: u64,
    /// Failed requests.
    #[serde(rename = "failure")]
    pub failed: u64,
}

/// Counters of the connections to endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct ConnectionCounts {
    /// Established connections.
    pub opened: u64,
    /// Attempts that waited for the reuse cooldown of a connection.
    #[serde(rename = "waits")]
    pub cooldown_waits: u64,
    /// Connections on which an endpoint sent unsolicited data.
    #[serde(default)]
    pub unsolicited: u64,
    /// Responses that came much sooner than usual on a reused connection, and were delayed until none followed.
    #[serde(default)]
    pub early_responses: u64,
}

/// Client connections and their open requests. Each request is counted in exactly one of the three states; a connection
/// without a counted request is idle, is receiving a request head, or is closing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct OpenConnectionCounts {
    /// Client connections.
    pub connections: usize,
    /// Requests whose body has not been received completely.
    pub incomplete_requests: usize,
    /// Completely received requests whose response has not begun.
    pub awaiting_response: usize,
    /// Responses that have not been written completely.
    pub writing_response: usize,
}

/// Progress of a graceful shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct ShutdownReport {
    /// Time since the shutdown began, in milliseconds.
    pub began_ms_ago: u64,
    /// Connections and requests that are still open.
    #[serde(flatten)]
    pub open: OpenConnectionCounts,
}

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub struct Metrics {
    outcomes_by_class: RefCell<Vec<OutcomeCounts>>,
    rejections: RefCell<BTreeMap<RejectionReason, u64>>,
    attempts: Cell<u64>,
    connections_opened: Cell<u64>,
    cooldown_waits: Cell<u64>,
    unsolicited_data: Cell<u64>,
    early_responses: Cell<u64>,
    overdue_uploads: Cell<u64>,
    reloads_succeeded: Cell<u64>,
    reloads_failed: Cell<u64>,
}

/// Current values that are not counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gauges {
    /// Admitted calls that have not been answered completely.
    pub in_flight_calls: usize,
    /// Endpoints in the list.
    pub endpoints_listed: usize,
    /// Listed endpoints that currently receive no requests.
    pub endpoints_unavailable: usize,
}

/// All metrics at one moment, as the admin endpoint reports them.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct MetricsReport {
    /// Answered requests, by class.
    #[serde(rename = "calls")]
    pub outcomes: BTreeMap<String, OutcomeCounts>,
    /// Requests that have been received completely, but not answered completely.
    #[serde(rename = "inflight")]
    pub in_flight_calls: usize,
    /// Rejected requests, by what was lacking.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub rejections: BTreeMap<RejectionReason, u64>,
    /// Attempts whose last byte was written to an endpoint.
    #[serde(rename = "backend_calls")]
    pub attempts: u64,
    /// Connections to endpoints.
    #[serde(default)]
    pub connections: ConnectionCounts,
    /// Requests that were not read to their end by the time of their final response.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub overdue_uploads: u64,
    /// Endpoints in the list.
    #[serde(rename = "hosts_listed")]
    pub endpoints_listed: usize,
    /// Listed endpoints that currently receive no requests.
    #[serde(rename = "hosts_down")]
    pub endpoints_unavailable: usize,
    /// Configuration files applied at SIGHUP.
    #[serde(rename = "reconfig_ok")]
    pub reloads_succeeded: u64,
    /// Configuration files rejected at SIGHUP.
    #[serde(rename = "reconfig_failed")]
    pub reloads_failed: u64,
    /// The membership, if configured and joined.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "peers")]
    pub membership: Option<MembershipReport>,
    /// The progress of the graceful shutdown, once it has begun.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shutdown: Option<ShutdownReport>,
}

impl Metrics {
    /// Counts the final answer of a request.
    pub fn count_request(&self, class: ClassId, outcome: RequestOutcome) {
        let mut outcomes_by_class = self.outcomes_by_class.borrow_mut();
        if outcomes_by_class.len() <= class.0 {
            outcomes_by_class.resize(class.0 + 1, OutcomeCounts::default());
        }
        let counts = &mut outcomes_by_class[class.0];
        match outcome {
            RequestOutcome::Served => counts.served += 1,
            RequestOutcome::Rejected(reason) => {
                counts.rejected += 1;
                self.count_rejection(reason);
            }
            RequestOutcome::Failed => counts.failed += 1,
        }
    }

    /// Counts a request that was rejected before its class was known.
    pub fn count_rejection(&self, reason: RejectionReason) {
        *self.rejections.borrow_mut().entry(reason).or_default() += 1;
    }

    /// Counts an attempt whose request has been written completely.
    pub fn count_attempt(&self) {
        increment(&self.attempts);
    }

    /// Counts a connection established to an endpoint.
    pub fn count_connection(&self) {
        increment(&self.connections_opened);
    }

    /// Counts an attempt that has to wait for the reuse cooldown of a connection.
    pub fn count_cooldown_wait(&self) {
        increment(&self.cooldown_waits);
    }

    /// Counts a connection on which an endpoint sent unsolicited data.
    pub fn count_unsolicited_data(&self) {
        increment(&self.unsolicited_data);
    }

    /// Counts a response that came much sooner than usual on a reused connection.
    pub fn count_early_response(&self) {
        increment(&self.early_responses);
    }

    /// Counts a request that was not read to its end by the time of its final response.
    pub fn count_overdue_upload(&self) {
        increment(&self.overdue_uploads);
    }

    /// Counts a configuration file that was applied or rejected at SIGHUP.
    pub fn count_reload(&self, succeeded: bool) {
        increment(if succeeded { &self.reloads_succeeded } else { &self.reloads_failed });
    }

    /// Reports the current metrics. `class_names` are in the order of their [`ClassId`].
    pub fn report(&self, class_names: &[String], gauges: Gauges) -> MetricsReport {
        let outcomes_by_class = self.outcomes_by_class.borrow();
        let outcomes = class_names.iter().enumerate().map(|(class, name)| {
            let counts = outcomes_by_class.get(class).copied().unwrap_or_default();
            (name.clone(), counts)
        });
        MetricsReport {
            outcomes: outcomes.collect(),
            in_flight_calls: gauges.in_flight_calls,
            rejections: self.rejections.borrow().clone(),
            attempts: self.attempts.get(),
            connections: ConnectionCounts {
                opened: self.connections_opened.get(),
                cooldown_waits: self.cooldown_waits.get(),
                unsolicited: self.unsolicited_data.get(),
                early_responses: self.early_responses.get(),
            },
            overdue_uploads: self.overdue_uploads.get(),
            endpoints_listed: gauges.endpoints_listed,
            endpoints_unavailable: gauges.endpoints_unavailable,
            reloads_succeeded: self.reloads_succeeded.get(),
            reloads_failed: self.reloads_failed.get(),
            membership: None,
            shutdown: None,
        }
    }
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}
