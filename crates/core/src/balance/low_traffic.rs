//! Low-traffic mode: a client proxy whose even share is less than one call in flight per endpoint.
//!
//! The client proxy's own attempts in flight say little about load, so it uses few endpoints, polls them for
//! their load and relies on the statistics of machine groups.

use super::balancer::Balancer;
use super::endpoint_selection::Route;
use super::load_polling::PollDecision;
use super::parameters::{MAX_BACKOFF_DOUBLINGS, MAX_POLLED_ENDPOINTS, START_CONCURRENCY_CALLS};
use crate::call_table::Call;
use crate::endpoint_index::RankedSlot;
use crate::ids::CallId;
use crate::weighted_set::sample_slots;
use rand_pcg::Pcg32;
use std::collections::BTreeSet;

/// Number of endpoints that a client proxy uses: enough for two rounds of load polls.
const SUBSET_ENDPOINTS: usize = 2 * MAX_POLLED_ENDPOINTS;

impl Balancer {
    /// Whether there are more client proxies than endpoints, and too many for an even share of one call per
    /// endpoint.
    pub(crate) fn is_low_traffic(&self) -> bool {
        let proxies = f64::from(self.settings.proxy_count);
        proxies > START_CONCURRENCY_CALLS && proxies > self.index.listed.len() as f64
    }

    /// Chooses an endpoint of the subset, or the endpoints to poll before the choice.
    pub(super) fn choose_in_low_traffic(
        &self,
        id: CallId,
        is_eligible: impl Fn(usize) -> bool,
        is_eligible_warming_up: impl Fn(usize) -> bool,
        random: &mut Pcg32,
    ) -> Route {
        let subset = self.subset(&self.calls[id], &is_eligible, &is_eligible_warming_up);
        if subset.is_empty() {
            let trial = self.best_of_two(&self.index.growth_trial_due, is_eligible, random);
            return Route::send_or_queue(trial, true);
        }
        match self.decide_poll(id, &subset, random) {
            PollDecision::Poll(slots) => Route::PollLoad { slots },
            PollDecision::WaitForNextPoll => Route::Queue,
            PollDecision::SendWithoutPoll => {
                let pair = sample_slots(random, &subset, 2, |slot| self.endpoints[slot].size);
                Route::send_or_queue(self.least_loaded(pair), false)
            }
        }
    }

    /// The eligible endpoints that the call may be sent to. If cross-zone calls have a cost, endpoints of the
    /// client proxy's own zone are preferred; those of other zones are used if the own zone has no capacity,
    /// or if it is overloaded and the other zones are not.
    fn subset(
        &self,
        call: &Call,
        is_eligible: &impl Fn(usize) -> bool,
        is_eligible_warming_up: &impl Fn(usize) -> bool,
    ) -> Vec<usize> {
        let index = &self.index;
        let prefers_own_zone = self.settings.charges.cross_zone > 0.0 && call.at_capacity_count == 0;
        let preferred = if prefers_own_zone { &index.ranked_same_zone } else { &index.ranked };
        let mut subset = self.most_preferred(call, preferred, true, is_eligible);
        if subset.is_empty() && index.available.is_empty() {
            let slots = index.warming_up.iter().filter(|&slot| is_eligible_warming_up(slot));
            let ranked = slots.map(|slot| RankedSlot { rank: self.endpoints[slot].rank, slot }).collect();
            subset = self.most_preferred(call, &ranked, false, is_eligible);
        }
        let fallbacks = [(&index.ranked, true), (preferred, false), (&index.ranked, false)];
        for (ranked, only_admitting) in fallbacks {
            if subset.is_empty() {
                subset = self.most_preferred(call, ranked, only_admitting, is_eligible);
            }
        }
        subset
    }

    /// The eligible endpoints of the lowest ranks. Using the same endpoints each time bounds the number of
    /// connections and keeps the statistics recent. The number doubles each time that all polled endpoints
    /// were at capacity, up to a cap. With `only_admitting`, only endpoints whose machine group admits the
    /// call.
    fn most_preferred(
        &self,
        call: &Call,
        ranked: &BTreeSet<RankedSlot>,
        only_admitting: bool,
        is_eligible: &impl Fn(usize) -> bool,
    ) -> Vec<usize> {
        let max_endpoints = SUBSET_ENDPOINTS << call.at_capacity_count.min(MAX_BACKOFF_DOUBLINGS);
        let slots = ranked.iter().map(|ranked| ranked.slot);
        let admitting = slots.filter(|&slot| !only_admitting || self.group_admits(call, slot));
        admitting.filter(|&slot| is_eligible(slot)).take(max_endpoints).collect()
    }

    /// Whether the machine group of an endpoint admits this call; an overloaded group admits a sampled share.
    fn group_admits(&self, call: &Call, slot: usize) -> bool {
        let group = self.machine_groups.get(&self.endpoints[slot].machine_group());
        group.is_none_or(|group| group.admitted_ratio >= call.sample)
    }
}
