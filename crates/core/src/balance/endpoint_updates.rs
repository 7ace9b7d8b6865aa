//! Updates of the endpoint list, and the backoff between polls of the list after failures.

use super::balancer::Balancer;
use crate::endpoint::{ChangedSlot, Endpoint, InFlightBudget};
use crate::event::{EndpointInfo, ListUpdateKind};
use crate::ids::Micros;
use rand::Rng;

/// Highest number of client proxies that can poll at short intervals without overloading discovery.
const MAX_FAST_POLLING_PROXIES: u32 = 6;
/// Highest number of doublings of the poll interval.
const MAX_POLL_DOUBLINGS: u32 = 5;
/// Number of steps in the longest poll interval; all intervals are multiples of such a step.
const STEPS_PER_MAX_POLL_INTERVAL: Micros = 32;
/// Longest interval after the first failure.
const MAX_FIRST_INTERVAL_STEPS: Micros = 8;
/// Longest later interval with few client proxies. It grows with the number of client proxies, up to the
/// factor below.
const MAX_INTERVAL_STEPS: Micros = 8;
const MAX_INTERVAL_CAP_FACTOR: Micros = 4;

impl Balancer {
    /// Applies an update of the endpoint list, or schedules the next poll after a failure.
    pub(crate) fn on_endpoint_list(&mut self, kind: ListUpdateKind, entries: &[EndpointInfo]) {
        if kind == ListUpdateKind::Failed {
            self.schedule_list_poll();
            return;
        }
        if kind != ListUpdateKind::Cached {
            self.list_poll_failures = 0;
        }
        let proxy_count = self.settings.proxy_count;
        let weight_source = self.settings.weight_source;
        let random = &mut self.random;
        // A restarted endpoint is a new process in slow start: the statistics of the old process do not
        // apply.
        let new_record = |entry: &EndpointInfo| Endpoint {
            rank: random.gen(),
            ..Endpoint::new(entry, weight_source, InFlightBudget::new(proxy_count))
        };
        let is_snapshot = kind != ListUpdateKind::Delta;
        for ChangedSlot { slot, replaced } in self.endpoints.apply_update(is_snapshot, entries, new_record) {
            if let Some(endpoint) = replaced {
                self.index.clear_failing_classes(slot, endpoint.class_health.keys());
            }
            self.refresh_status(slot);
        }
        self.index.enable_ranking(self.is_low_traffic());
    }

    /// Schedules the next poll of the endpoint list after a failure. The interval grows with the number of
    /// client proxies, which could overload discovery together, and has jitter, so that they do not poll at
    /// the same time.
    fn schedule_list_poll(&mut self) {
        let load_steps = Micros::from(self.settings.proxy_count / MAX_FAST_POLLING_PROXIES);
        let first_steps = load_steps.clamp(1, MAX_FIRST_INTERVAL_STEPS);
        let cap_steps = MAX_INTERVAL_STEPS * load_steps.clamp(1, MAX_INTERVAL_CAP_FACTOR);
        let doublings = self.list_poll_failures.min(MAX_POLL_DOUBLINGS);
        let step = self.settings.rules.max_poll_interval / STEPS_PER_MAX_POLL_INTERVAL;
        let interval = step * (first_steps << doublings).min(cap_steps);
        self.list_poll_failures += 1;
        if self.settings.polls_endpoint_list {
            let jitter = (self.random_unit() * interval as f64) as Micros;
            self.next_list_poll_at = self.now + interval / 2 + jitter;
        }
    }
}
