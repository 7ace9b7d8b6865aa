//! Requests whose clients send them slowly: until such a request is complete, no endpoint works on it. Its
//! attempt occupies none of the capacity that the in-flight budgets and the concurrency limit share out.

use super::balancer::Balancer;
use super::concurrency_limit::Release;
use crate::call_table::{Attempt, Execution};
use crate::ids::CallId;

impl Balancer {
    /// Handles a request that its client is sending slowly: its attempts in flight give up their capacity.
    pub(crate) fn on_request_delayed(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(id).filter(|call| !call.ended) else { return };
        call.is_delayed = true;
        let suspend = |attempt: &mut Attempt| {
            let occupies = attempt.execution == Execution::InFlight
                && !attempt.response_started
                && std::mem::replace(&mut attempt.occupies_capacity, false);
            let before = *attempt;
            attempt.is_trial &= !occupies;
            occupies.then_some(before)
        };
        let suspended: Vec<Attempt> = call.attempts.iter_mut().filter_map(suspend).collect();
        for attempt in suspended {
            self.release_capacity(&attempt);
        }
    }

    /// Counts the attempts of a request in flight again, which has become complete.
    pub(super) fn resume_delayed_request(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(id) else { return };
        call.is_delayed = false;
        let resume = |attempt: &mut Attempt| {
            let resumes = attempt.execution == Execution::InFlight
                && !attempt.response_started
                && !std::mem::replace(&mut attempt.occupies_capacity, true);
            resumes.then_some(attempt.endpoint)
        };
        let resumed: Vec<_> = call.attempts.iter_mut().filter_map(resume).collect();
        for endpoint in resumed {
            self.concurrency_limit.acquire(self.now);
            if let Some(slot) = self.endpoints.slot(endpoint) {
                self.endpoints[slot].in_flight += 1;
                self.refresh_status(slot);
            }
        }
    }

    fn release_capacity(&mut self, attempt: &Attempt) {
        let Some(slot) = self.endpoints.slot(attempt.endpoint) else { return };
        let machine_group = self.endpoints[slot].machine_group();
        let elapsed = self.now.saturating_sub(attempt.sent_at);
        self.release_concurrency(&Release { machine_group, elapsed, is_late: None });
        let endpoint = &mut self.endpoints[slot];
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        endpoint.end_trial(attempt);
        self.refresh_status(slot);
    }
}
