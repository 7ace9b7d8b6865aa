//! Adaptive concurrency limit of the calls that this balancer has in flight at all endpoints together.
//!
//! The limit is needed when a client proxy's even share of an overloaded endpoint's capacity is less than one
//! call. In-flight budgets are at least one call each, so a burst would fill all endpoints with calls whose
//! clients have already given up.

use super::parameters::FEEDBACK_WEIGHT;
use crate::endpoint::MachineGroupKey;
use crate::ids::Micros;
use std::collections::BTreeMap;

/// Lower bound of the initial limit: most client proxies are idle, so an even share is too low for the
/// others.
const MIN_INITIAL_CALLS: f64 = 4.0;
/// Share of late responses above which the limit decreases.
const DECREASE_LATE_RATIO: f64 = 0.35;
/// Share of late responses below which the limit increases.
const INCREASE_LATE_RATIO: f64 = 0.2;
/// Multiple of the longest latency objective after which the samples of a machine group are ignored.
const SAMPLE_LIFETIME_FACTOR: f64 = 4.0;
/// Factor by which a decrease multiplies the limit.
const DECREASE_FACTOR: f64 = 0.7;
/// Lower bound of the limit after a decrease, as a share of an even share: about one call per core, which
/// every endpoint can serve.
const MIN_EVEN_SHARE_RATIO: f64 = 0.4;
/// Lowest limit after a decrease, if an even share is less than one call.
const MIN_CALLS: f64 = 0.05;

/// Moving share of late responses of a machine group.
#[derive(Debug, Default)]
struct LateResponses {
    ratio: f64,
    updated_at: Micros,
}

/// The data of an ended attempt that the limit adapts to.
pub(super) struct Release {
    pub(super) machine_group: MachineGroupKey,
    /// Time in flight, in microseconds.
    pub(super) elapsed: Micros,
    /// Load signal: whether the response was late; `None` if the outcome does not indicate it.
    pub(super) is_late: Option<bool>,
}

/// Limit of the calls in flight at all endpoints together. A limit below 1 is the share of time with a call
/// in flight.
#[derive(Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    /// 0 until the first call.
    max_calls: f64,
    in_flight: u32,
    late_responses: BTreeMap<MachineGroupKey, LateResponses>,
    /// Moving mean of the time in flight, in microseconds.
    mean_elapsed_us: f64,
    /// Earliest time of the next decrease, as responses to calls sent before the last decrease are
    /// outstanding.
    next_decrease_at: Micros,
    /// Earliest time of the next call, if the limit is less than one call.
    pub(crate) next_send_at: Micros,
    /// Whether the limit has kept a call queued since its last increase.
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
        // If the limit is less than one call, calls are spaced so that their mean number in flight equals the
        // limit.
        let pause_us =
            if self.max_calls < 1.0 { self.mean_elapsed_us / self.max_calls.max(MIN_CALLS) } else { 0.0 };
        self.next_send_at = now + pause_us as Micros;
    }

    /// Counts a call as ended, and adapts the limit if there is a load signal.
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
            // Increases by one call per round of as many responses as the limit allows calls in flight.
            let step = 1.0 / self.max_calls.max(1.0);
            self.max_calls += step * self.max_calls.min(1.0);
        }
    }

    fn record(&mut self, now: Micros, release: &Release, is_late: bool, max_objective_us: f64) {
        let late = self.late_responses.entry(release.machine_group).or_default();
        // The weight of a sample grows with the time since the previous one, so that old samples of a group
        // with little traffic decay.
        let since_last = now.saturating_sub(late.updated_at) as f64 / max_objective_us;
        let weight = (FEEDBACK_WEIGHT / 2.0).max(1.0 - (-since_last).exp());
        let sample = if is_late { 1.0 } else { 0.0 };
        late.ratio += (sample - late.ratio) * weight;
        late.updated_at = now;
        self.mean_elapsed_us += (release.elapsed as f64 - self.mean_elapsed_us) * weight;
    }

    /// The lowest share of late responses of any machine group: the fleet is overloaded only if all groups
    /// respond late.
    fn fleet_late_ratio(&self, now: Micros, max_objective_us: f64) -> f64 {
        let lifetime_us = SAMPLE_LIFETIME_FACTOR * max_objective_us;
        let is_recent = |late: &&LateResponses| now.saturating_sub(late.updated_at) as f64 <= lifetime_us;
        self.late_responses.values().filter(is_recent).map(|late| late.ratio).fold(1.0, f64::min)
    }
}
