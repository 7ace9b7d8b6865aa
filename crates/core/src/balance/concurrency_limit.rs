//! Adaptive limit of the calls that this balancer has in flight at all endpoints together.
//!
//! It matters where a client proxy's even share of an overloaded endpoint's capacity is less than one call.
//! In-flight budgets are at least one call each, so that a burst would fill all endpoints with work whose
//! clients have left.

use super::parameters::FEEDBACK_WEIGHT;
use crate::endpoint::MachineGroupKey;
use crate::ids::Micros;
use std::collections::BTreeMap;

/// Initial limit at least: most client proxies are idle, so an even share is too little for the others.
const MIN_INITIAL_CALLS: f64 = 4.0;
/// Share of late responses above which the limit decreases.
const DECREASE_LATE_RATIO: f64 = 0.35;
/// Share of late responses below which the limit increases.
const INCREASE_LATE_RATIO: f64 = 0.2;
/// Multiple of the longest latency objective for which the evidence of a machine group counts.
const SAMPLE_LIFETIME_FACTOR: f64 = 4.0;
/// What a decrease leaves of the limit.
const DECREASE_FACTOR: f64 = 0.7;
/// Share of an even share that decreases leave: about a call per core, which every endpoint can serve.
const MIN_EVEN_SHARE_RATIO: f64 = 0.4;
/// Lowest limit, where an even share is less than one call.
const MIN_CALLS: f64 = 0.05;

/// Moving share of late responses of a machine group.
#[derive(Debug, Default)]
struct LateResponses {
    ratio: f64,
    updated_at: Micros,
}

/// An attempt that has ended, as the limit sees it.
pub(super) struct Release {
    pub(super) machine_group: MachineGroupKey,
    /// How long it was in flight, in microseconds.
    pub(super) elapsed: Micros,
    /// Whether it was late; `None` if it says nothing about load.
    pub(super) is_late: Option<bool>,
}

/// Limit of the calls in flight at all endpoints; below 1 it limits the share of the time with a call in
/// flight.
#[derive(Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    /// 0 until the first call.
    max_calls: f64,
    in_flight: u32,
    late_responses: BTreeMap<MachineGroupKey, LateResponses>,
    /// Moving mean of the time in flight, in microseconds.
    mean_elapsed_us: f64,
    /// No decrease before this moment: responses to calls sent before the last one are still to come.
    next_decrease_at: Micros,
    /// No call before this moment, where the limit is less than one call.
    pub(crate) next_send_at: Micros,
    /// It has queued a call since the last increase.
    was_limiting: bool,
}

impl ConcurrencyLimit {
    /// Whether another call may be sent; `even_share` is the client proxy's part of all endpoints' capacity,
    /// in calls.
    pub(super) fn has_capacity(&mut self, now: Micros, even_share: f64) -> bool {
        if self.max_calls == 0.0 {
            self.max_calls = even_share.max(MIN_INITIAL_CALLS);
        }
        let below_limit = f64::from(self.in_flight) + 1.0 <= self.max_calls.max(1.0);
        let has_capacity = below_limit && now >= self.next_send_at;
        if !has_capacity {
            self.was_limiting = true;
        }
        has_capacity
    }

    /// Counts a call as in flight.
    pub(super) fn acquire(&mut self, now: Micros) {
        self.in_flight += 1;
        // Less than one call at a time: pause for as long as the other calls of a full limit would be in
        // flight.
        let pause_us =
            if self.max_calls < 1.0 { self.mean_elapsed_us / self.max_calls.max(MIN_CALLS) } else { 0.0 };
        self.next_send_at = now + pause_us as Micros;
    }

    /// Counts a call as ended, and adapts the limit if the call says something about load.
    pub(super) fn release(&mut self, now: Micros, release: &Release, even_share: f64, max_objective_us: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(is_late) = release.is_late else { return };
        self.record(now, release, is_late, max_objective_us);
        let late_ratio = self.fleet_late_ratio(now, max_objective_us);
        if late_ratio > DECREASE_LATE_RATIO && now >= self.next_decrease_at {
            let min_calls = (even_share * MIN_EVEN_SHARE_RATIO).max(MIN_CALLS);
            self.max_calls = (self.max_calls * DECREASE_FACTOR).max(min_calls);
            self.next_decrease_at = now + self.mean_elapsed_us as Micros;
        } else if !is_late && late_ratio < INCREASE_LATE_RATIO && std::mem::take(&mut self.was_limiting) {
            // One call per round: as many responses as calls may be in flight.
            let step = 1.0 / self.max_calls.max(1.0);
            self.max_calls += step * self.max_calls.min(1.0);
        }
    }

    fn record(&mut self, now: Micros, release: &Release, is_late: bool, max_objective_us: f64) {
        let late = self.late_responses.entry(release.machine_group).or_default();
        // Weights by elapsed time, so that a group with little traffic forgets old samples.
        let since_last = now.saturating_sub(late.updated_at) as f64 / max_objective_us;
        let weight = (FEEDBACK_WEIGHT / 2.0).max(1.0 - (-since_last).exp());
        let sample = if is_late { 1.0 } else { 0.0 };
        late.ratio += (sample - late.ratio) * weight;
        late.updated_at = now;
        self.mean_elapsed_us += (release.elapsed as f64 - self.mean_elapsed_us) * weight;
    }

    /// The lowest share of late responses of any group: the fleet is overloaded only where all groups are
    /// late.
    fn fleet_late_ratio(&self, now: Micros, max_objective_us: f64) -> f64 {
        let lifetime_us = SAMPLE_LIFETIME_FACTOR * max_objective_us;
        let is_recent = |late: &&LateResponses| now.saturating_sub(late.updated_at) as f64 <= lifetime_us;
        self.late_responses.values().filter(is_recent).map(|late| late.ratio).fold(1.0, f64::min)
    }
}
