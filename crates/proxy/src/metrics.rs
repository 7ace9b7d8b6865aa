//! The figures that operators read. Each fact is counted once, where it becomes final.

use crate::membership::report::MembershipReport;
use oakport_core::ClassId;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Served,
    Rejected,
    Failed,
}

/// Requests of one class by their ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct OutcomeCounts {
    /// Served.
    pub success: u64,
    /// Refused: trying again is harmless.
    pub busy: u64,
    /// Failed.
    pub failure: u64,
}

/// What the connections to hosts have cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct ConnectionCounts {
    /// Connections that came up.
    pub opened: u64,
    /// Attempts that waited for one to rest.
    pub waits: u64,
}

/// What is counted from the start of the process.
#[derive(Debug, Default)]
pub struct Metrics {
    calls: RefCell<Vec<OutcomeCounts>>,
    attempts: Cell<u64>,
    connections: Cell<ConnectionCounts>,
    reloads: Cell<(u64, u64)>,
}

/// All figures as they are now, in the form that is told.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct MetricsReport {
    /// Requests answered, by class.
    pub calls: BTreeMap<String, OutcomeCounts>,
    /// Requests taken whole and not yet answered whole.
    pub inflight: usize,
    /// Attempts whose last byte was written to a host.
    pub backend_calls: u64,
    /// What their connections have cost.
    #[serde(default)]
    pub connections: ConnectionCounts,
    /// Hosts in the list.
    pub hosts_listed: usize,
    /// Listed hosts that are sent nothing now.
    pub hosts_down: usize,
    /// Files taken at SIGHUP.
    pub reconfig_ok: u64,
    /// Files turned down at SIGHUP.
    pub reconfig_failed: u64,
    /// The other client proxies, where they are known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<MembershipReport>,
}

impl Metrics {
    /// The final answer of a request.
    pub fn count_request(&self, class: ClassId, end: RequestOutcome) {
        let mut calls = self.calls.borrow_mut();
        if calls.len() <= class.0 {
            calls.resize(class.0 + 1, OutcomeCounts::default());
        }
        let ends = &mut calls[class.0];
        match end {
            RequestOutcome::Served => ends.success += 1,
            RequestOutcome::Rejected => ends.busy += 1,
            RequestOutcome::Failed => ends.failure += 1,
        }
    }

    /// An attempt has been written whole.
    pub fn count_attempt(&self) {
        self.attempts.set(self.attempts.get() + 1);
    }

    /// A connection to a host has come up.
    pub fn count_connection(&self) {
        let now = self.connections.get();
        self.connections.set(ConnectionCounts { opened: now.opened + 1, ..now });
    }

    /// An attempt has to wait for a connection to rest.
    pub fn count_cooldown_wait(&self) {
        let now = self.connections.get();
        self.connections.set(ConnectionCounts { waits: now.waits + 1, ..now });
    }

    /// A file was taken, or turned down.
    pub fn count_reload(&self, taken: bool) {
        let (ok, failed) = self.reloads.get();
        self.reloads.set(if taken { (ok + 1, failed) } else { (ok, failed + 1) });
    }

    /// The report, with what only its callers know. Classes are numbered as `names` has them.
    pub fn report(&self, names: &[String], inflight: usize, (listed, down): (usize, usize)) -> MetricsReport {
        let calls = self.calls.borrow();
        let ends = |number: usize| calls.get(number).copied().unwrap_or_default();
        let (reconfig_ok, reconfig_failed) = self.reloads.get();
        MetricsReport {
            calls: names.iter().cloned().zip((0..).map(ends)).collect(),
            inflight,
            backend_calls: self.attempts.get(),
            connections: self.connections.get(),
            hosts_listed: listed,
            hosts_down: down,
            reconfig_ok,
            reconfig_failed,
            peers: None,
        }
    }
}
