//! Load polls: in low-traffic mode, some endpoints may be polled for their load before a call is sent.

use super::balancer::Balancer;
use super::parameters::{
    FEEDBACK_WEIGHT, MAX_BACKOFF_DOUBLINGS, MAX_POLLED_ENDPOINTS, START_CONCURRENCY_CALLS,
};
use crate::action::Action;
use crate::call_table::{Call, QueuePosition};
use crate::event::{LoadReport, Outcome};
use crate::ids::{CallId, EndpointId, Micros};
use crate::settings::ReportDelivery;
use crate::weighted_set::sample_slots;
use rand_pcg::Pcg32;

/// Share of a call's priority weight that its load polls may cost.
const MAX_POLL_COST_RATIO: f64 = 0.02;
/// Longest wait of a call for load reports, as a share of its latency objective.
const POLL_TIMEOUT_OBJECTIVE_RATIO: f64 = 0.05;
/// Highest acceptable expected latency of a call, as a share of its latency objective; an endpoint with a
/// load beyond that is at capacity.
const MAX_EXPECTED_OBJECTIVE_RATIO: f64 = 0.3;
/// Reciprocal of the polled utilisation from which on all calls poll; below, the share of calls that poll is
/// proportional to the square of the utilisation.
const POLLED_UTILISATION_FACTOR: f64 = 2.0;

/// The decision whether a call polls endpoints for their load before it is sent.
pub(super) enum PollDecision {
    SendWithoutPoll,
    /// The endpoints polled for the call were at capacity, and it may not poll again yet.
    WaitForNextPoll,
    /// Slots of the endpoints to poll.
    Poll(Vec<usize>),
}

impl Balancer {
    /// Decides whether a call polls endpoints of `subset` before it is sent, and which ones.
    pub(super) fn decide_poll(&self, id: CallId, subset: &[usize], random: &mut Pcg32) -> PollDecision {
        let call = &self.calls[id];
        let max_polls = self.max_polls_per_call();
        if !self.reports_are_polled()
            || !self.is_low_traffic()
            || max_polls < 2
            || !self.is_poll_in_time(call)
        {
            // A call whose polled endpoints were all at capacity is not sent without another poll.
            return if call.at_capacity_count > 0 {
                PollDecision::WaitForNextPoll
            } else {
                PollDecision::SendWithoutPoll
            };
        }
        // An idle fleet needs only a few polls, to detect when the load rises.
        let poll_ratio = (self.polled_utilisation * POLLED_UTILISATION_FACTOR).powi(2).max(FEEDBACK_WEIGHT);
        if call.at_capacity_count == 0 && call.sample > poll_ratio {
            return PollDecision::SendWithoutPoll;
        }
        let max_polls = if call.next_poll_at > self.now { 0 } else { max_polls.min(MAX_POLLED_ENDPOINTS) };
        let slots = sample_slots(random, subset, max_polls, |slot| self.endpoints[slot].size);
        if slots.is_empty() {
            PollDecision::WaitForNextPoll
        } else {
            PollDecision::Poll(slots)
        }
    }

    fn reports_are_polled(&self) -> bool {
        let reporting = self.settings.load_reporting;
        self.settings.limits.load_polling
            && reporting.delivery == ReportDelivery::OnPoll
            && reporting.includes_in_flight
    }

    fn max_polls_per_call(&self) -> usize {
        (MAX_POLL_COST_RATIO / self.settings.charges.load_poll.max(f64::MIN_POSITIVE)) as usize
    }

    fn is_poll_in_time(&self, call: &Call) -> bool {
        let typical_us = self.classes.typical_latency_us(call.class_id, call.class.latency_objective);
        let polled_by = self.now + self.load_poll_timeout(call);
        polled_by as f64 + typical_us < call.weight_deadline() as f64
    }

    /// Polls endpoints for a call.
    pub(super) fn start_load_polls(&mut self, id: CallId, slots: &[usize]) {
        let timeout_at = self.now + self.load_poll_timeout(&self.calls[id]);
        let polled: Vec<EndpointId> = slots.iter().map(|&slot| self.endpoints[slot].id).collect();
        let Some(call) = self.calls.get_mut(id) else { return };
        self.actions.extend(polled.iter().map(|&endpoint| Action::PollLoad { endpoint }));
        call.polled_endpoints = polled;
        call.poll_started_at = self.now;
        self.polling_calls.push(id);
        self.calls.timers.set(id, Some(timeout_at));
    }

    /// Records the result of a load poll. An endpoint that did not report counts as the most loaded.
    pub(crate) fn on_load_polled(&mut self, id: EndpointId, outcome: Outcome, load: LoadReport) {
        let Some(slot) = self.endpoints.slot(id) else { return };
        let reported = load.in_flight.filter(|calls| outcome == Outcome::Served && calls.is_finite());
        let endpoint = &mut self.endpoints[slot];
        endpoint.polled_in_flight = reported.map_or(f64::MAX, |calls| calls.max(0.0));
        endpoint.polled_at = self.now;
        for call_id in std::mem::take(&mut self.polling_calls) {
            let Some(call) = self.calls.get(call_id) else { continue };
            if call.polled_endpoints.is_empty() {
                continue;
            }
            if self.awaits_load_poll(call) {
                self.polling_calls.push(call_id);
            } else {
                self.finish_load_polls(call_id);
            }
        }
    }

    /// Whether a load poll of this call is still in progress.
    fn awaits_load_poll(&self, call: &Call) -> bool {
        let mut slots = call.polled_endpoints.iter().filter_map(|&id| self.endpoints.slot(id));
        slots.any(|slot| self.endpoints[slot].polled_at < call.poll_started_at)
    }

    /// Sends a call to the least loaded of the polled endpoints, after all have reported or the polls have
    /// timed out. If all are at capacity, the call is queued for its next poll.
    pub(super) fn finish_load_polls(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(id) else { return };
        let polled = std::mem::take(&mut call.polled_endpoints);
        let poll_started_at = call.poll_started_at;
        let max_load = self.max_polled_load(id);
        let mut candidates = Vec::new();
        for endpoint_id in polled {
            let Some(slot) = self.endpoints.slot(endpoint_id) else { continue };
            if self.record_polled_load(slot, poll_started_at, max_load) && self.may_send_after_poll(id, slot)
            {
                candidates.push(slot);
            }
        }
        if let Some(slot) = self.least_loaded(candidates) {
            self.send(id, slot, false);
        } else if self.calls[id].attempts_in_flight() == 0 {
            self.queue_for_next_poll(id);
        }
    }

    /// Records an endpoint's polled load and returns whether the endpoint has capacity. The load includes the
    /// calls of all client proxies, since each of them would add one call.
    fn record_polled_load(&mut self, slot: usize, poll_started_at: Micros, max_load: f64) -> bool {
        let rules = &self.settings.rules;
        let endpoint = &mut self.endpoints[slot];
        if endpoint.polled_at < poll_started_at {
            endpoint.polled_in_flight = f64::MAX;
            endpoint.polled_at = self.now;
        }
        let load = endpoint.polled_load(self.now, rules);
        let busy_ratio = endpoint.polled_in_flight / (endpoint.polled_in_flight + 1.0);
        let utilisation = (busy_ratio * load / max_load).min(1.0);
        self.polled_utilisation += (utilisation - self.polled_utilisation) * FEEDBACK_WEIGHT;
        let is_idle = endpoint.polled_in_flight < 1.0;
        !endpoint.at_capacity(self.now, rules) && (load <= max_load || is_idle)
    }

    fn may_send_after_poll(&self, id: CallId, slot: usize) -> bool {
        let endpoint = &self.endpoints[slot];
        endpoint.accepts_calls(self.now)
            && self.calls[id].may_attempt(self.now, endpoint, self.settings.clock_tick)
    }

    /// Queues a call whose polled endpoints were all at capacity; the pause before its next poll doubles
    /// each time, up to a cap.
    fn queue_for_next_poll(&mut self, id: CallId) {
        let pause = self.load_poll_timeout(&self.calls[id]);
        if let Some(call) = self.calls.get_mut(id) {
            call.next_poll_at = self.now + (pause << call.at_capacity_count.min(MAX_BACKOFF_DOUBLINGS));
            call.at_capacity_count += 1;
        }
        self.enqueue(id, QueuePosition::Front);
    }

    /// Highest acceptable load of an endpoint for this call, in calls in flight per unit of size, estimated
    /// from the responses of all endpoints. The sums start with samples at the initial budget, so that calls
    /// are sent before the first responses.
    fn max_polled_load(&self, id: CallId) -> f64 {
        let listed = &self.index.listed;
        let total_size = listed.total().max(f64::MIN_POSITIVE);
        let initial_load = START_CONCURRENCY_CALLS * listed.len() as f64 / total_size;
        let objective_us = self.calls[id].class.latency_objective as f64;
        let max_latency_us = objective_us * MAX_EXPECTED_OBJECTIVE_RATIO;
        let elapsed_us = self.load_per_latency.elapsed_us + max_latency_us / FEEDBACK_WEIGHT;
        let polled_load = self.load_per_latency.polled_load + initial_load / FEEDBACK_WEIGHT;
        max_latency_us * polled_load / elapsed_us.max(1.0)
    }

    /// How long a call waits for load reports, and how long a report counts as recent, in microseconds.
    pub(super) fn load_poll_timeout(&self, call: &Call) -> Micros {
        let timeout_us = call.class.latency_objective as f64 * POLL_TIMEOUT_OBJECTIVE_RATIO;
        (timeout_us as Micros).max(self.settings.clock_tick)
    }
}
