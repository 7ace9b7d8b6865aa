//! The balancer's record of an endpoint: its entry in the endpoint list, its load and its health.

use crate::endpoint_table::EndpointTable;
use crate::event::{EndpointInfo, EndpointState};
use crate::ids::{CellId, EndpointId, MachineTypeId, Micros, ZoneId};
use crate::settings::{Rules, WeightSource};
use std::collections::{BTreeMap, HashSet};

/// In-flight budget of one endpoint: `steps` times `concurrency` attempts of this balancer.
///
/// A served trial attempt adds a step, up to a limit; a failed one is followed by a backoff.
#[derive(Debug, Default)]
pub(crate) struct InFlightBudget {
    /// 0 if the endpoint is ejected.
    pub(crate) steps: u32,
    /// Calls per step.
    pub(crate) concurrency: f64,
    /// Smallest budget, in calls, to which mild overload may decrease it.
    pub(crate) floor: f64,
    pub(crate) trial_in_flight: bool,
    pub(crate) backoff_doublings: u32,
    pub(crate) backoff_end: Micros,
}

/// Health of one class at an endpoint; its calls may fail there while other classes are served.
#[derive(Debug, Default)]
pub(crate) struct ClassHealth {
    /// Moving average of the share of failed attempts.
    pub(crate) failure_rate: f64,
    pub(crate) backoff_doublings: u32,
    /// While the class fails, its calls avoid the endpoint until this time.
    pub(crate) backoff_end: Micros,
}

/// Identifies the endpoints of one machine type in one zone, which are expected to perform alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MachineGroupKey {
    pub(crate) zone: ZoneId,
    pub(crate) machine_type: MachineTypeId,
}

/// An endpoint as this balancer sees it.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) machine_type: MachineTypeId,
    /// Random rank, by which this balancer prefers endpoints in low-traffic mode; the lowest rank first.
    pub(crate) rank: u32,
    /// Relative capacity according to the endpoint list; 1 if unknown.
    pub(crate) size: f64,
    pub(crate) listed: bool,
    /// Start time of the endpoint's process; 0 if long ago.
    pub(crate) started_at: Micros,
    /// Attempts of this balancer in flight at the endpoint.
    pub(crate) in_flight: u32,
    pub(crate) budget: InFlightBudget,
    /// Moving average of the latency divided by the latency limit of the class; above 1 the endpoint is
    /// overloaded.
    pub(crate) latency_ratio: f64,
    /// Number of latency samples since the budget last changed.
    pub(crate) samples_since_change: u32,
    /// Load in the endpoint's last load report, on the scale of `latency_ratio`.
    pub(crate) reported_load_ratio: f64,
    /// Calls of all client proxies in flight according to the last load poll, plus this balancer's attempts
    /// since; `f64::MAX` if the poll failed.
    pub(crate) polled_in_flight: f64,
    /// When the last load poll ended; 0 if there was none.
    pub(crate) polled_at: Micros,
    /// When the budget last changed; 0 if it never has.
    pub(crate) budget_changed_at: Micros,
    /// When the last attempt ended.
    pub(crate) last_feedback_at: Micros,
    /// When the endpoint last served an attempt.
    pub(crate) last_served_at: Micros,
    /// Moving average of the share of failed attempts, over all classes.
    pub(crate) failure_rate: f64,
    /// Health of each class, by class index.
    pub(crate) class_health: BTreeMap<usize, ClassHealth>,
    /// The endpoint has rejected a call at capacity and is sent none before this time.
    pub(crate) rejection_backoff_end: Micros,
}

impl Endpoint {
    /// A new record for an entry of the endpoint list.
    pub(crate) fn new(info: &EndpointInfo, weight_source: WeightSource, budget: InFlightBudget) -> Self {
        let weight_is_capacity = matches!(weight_source, WeightSource::Nominal | WeightSource::Approximate);
        let valid = info.weight.is_normal() && info.weight > 0.0;
        Endpoint {
            id: info.id,
            zone: info.zone,
            cell: info.cell,
            machine_type: info.machine_type,
            size: if weight_is_capacity && valid { info.weight } else { 1.0 },
            started_at: info.started_at,
            budget,
            ..Endpoint::default()
        }
    }

    pub(crate) fn machine_group(&self) -> MachineGroupKey {
        MachineGroupKey { zone: self.zone, machine_type: self.machine_type }
    }

    /// Least share of its full capacity that the endpoint has, 0 to 1; grows linearly during slow start.
    pub(crate) fn warm_up_factor(&self, now: Micros, rules: &Rules) -> f64 {
        let age = now.saturating_sub(self.started_at);
        if self.started_at == 0 || age >= rules.warm_up_duration {
            return 1.0;
        }
        rules.warm_up_initial_ratio
            + (1.0 - rules.warm_up_initial_ratio) * age as f64 / rules.warm_up_duration as f64
    }

    /// Load by the last poll with one more call: calls in flight per unit of current size; 0 if never polled.
    pub(crate) fn polled_load(&self, now: Micros, rules: &Rules) -> f64 {
        if self.polled_at == 0 {
            return 0.0;
        }
        (self.polled_in_flight + 1.0) / (self.size * self.warm_up_factor(now, rules)).max(f64::MIN_POSITIVE)
    }
}

/// A slot whose endpoint was changed by an update of the endpoint list.
pub(crate) struct ChangedSlot {
    pub(crate) slot: usize,
    /// The record that was replaced, if the endpoint is new or its process has restarted.
    pub(crate) replaced: Option<Endpoint>,
}

impl EndpointTable<Endpoint> {
    /// Applies an update of the endpoint list: a snapshot, or changed entries only.
    ///
    /// New endpoints and those whose process has restarted get a `new_record`; restarted ones keep their
    /// attempts in flight, including a trial attempt.
    pub(crate) fn apply_update(
        &mut self,
        is_snapshot: bool,
        entries: &[EndpointInfo],
        mut new_record: impl FnMut(&EndpointInfo) -> Endpoint,
    ) -> Vec<ChangedSlot> {
        let mut changed = Vec::with_capacity(entries.len());
        if is_snapshot {
            changed.extend(self.unlist_missing(entries));
        }
        for entry in entries {
            let known = self.slot(entry.id).is_some();
            let slot = self.slot_or_insert(entry.id);
            let mut replaced = None;
            if !known || entry.started_at > self[slot].started_at {
                let mut endpoint = new_record(entry);
                endpoint.in_flight = self[slot].in_flight;
                endpoint.budget.trial_in_flight = self[slot].budget.trial_in_flight;
                replaced = Some(std::mem::replace(&mut self[slot], endpoint));
            }
            let endpoint = &mut self[slot];
            endpoint.listed = entry.state == EndpointState::Ready;
            endpoint.zone = entry.zone;
            endpoint.cell = entry.cell;
            changed.push(ChangedSlot { slot, replaced });
        }
        changed
    }

    /// Marks endpoints that are missing from a snapshot as unlisted.
    fn unlist_missing(&mut self, snapshot: &[EndpointInfo]) -> Vec<ChangedSlot> {
        let present: HashSet<EndpointId> = snapshot.iter().map(|entry| entry.id).collect();
        let mut changed = Vec::new();
        for slot in 0..self.len() {
            let endpoint = &mut self[slot];
            if endpoint.listed && !present.contains(&endpoint.id) {
                endpoint.listed = false;
                changed.push(ChangedSlot { slot, replaced: None });
            }
        }
        changed
    }
}
