//! Updates of the endpoint list, and the backoff between failed polls of it.

use super::balancer::Balancer;
use crate::endpoint::{ChangedSlot, Endpoint, InFlightBudget};
use crate::event::{EndpointInfo, ListUpdateKind};
use crate::ids::Micros;
use rand::Rng;

/// Client proxies that may poll at short intervals without overloading discovery.
const MAX_FAST_POLLING_PROXIES: u32 = 6;
/// Doublings of the interval up to its cap.
const MAX_POLL_DOUBLINGS: u32 = 5;
/// Intervals are counted in steps of the longest poll interval over this number.
const STEPS_PER_MAX_POLL_INTERVAL: Micros = 32;
/// Longest first interval.
const MAX_FIRST_INTERVAL_STEPS: Micros = 8;
/// Longest later interval for few client proxies; it grows with their number, up to this factor.
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
        // A restarted endpoint is a new process in slow start: what was learned about the old one does not
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
    /// client proxies, which may overload discovery together, and has jitter, so that they do not poll at the
    /// same time.
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
