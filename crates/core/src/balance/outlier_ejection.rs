//! Ejection of endpoints that fail, and avoidance of endpoints at which one class fails.

use super::balancer::Balancer;
use super::parameters::MAX_BACKOFF_DOUBLINGS;
use crate::endpoint::{ClassHealth, Endpoint};
use crate::ids::Micros;

/// Weight of a new outcome in failure rates.
pub(super) const FAILURE_RATE_WEIGHT: f64 = 0.2;
/// Failure rate above which an endpoint is ejected, or avoided for one class: about two failures in four.
pub(super) const MAX_FAILURE_RATIO: f64 = 0.3;

impl ClassHealth {
    pub(super) fn is_failing(&self) -> bool {
        self.failure_rate > MAX_FAILURE_RATIO
    }

    /// Delays the next attempt of the class while it fails.
    pub(super) fn back_off(&mut self, now: Micros, initial_backoff: Micros) {
        self.backoff_end = now + (initial_backoff << self.backoff_doublings);
    }

    pub(super) fn record(&mut self, now: Micros, failed: bool, initial_backoff: Micros) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate += (sample - self.failure_rate) * FAILURE_RATE_WEIGHT;
        self.back_off(now, initial_backoff);
        self.backoff_doublings =
            if failed { (self.backoff_doublings + 1).min(MAX_BACKOFF_DOUBLINGS) } else { 0 };
    }
}

impl Endpoint {
    /// Whether calls of a class should avoid this endpoint: the class fails here, and its
    /// backoff has not ended.
    pub(super) fn avoids(&self, class_id: usize, now: Micros) -> bool {
        match self.class_health.get(&class_id) {
            Some(health) => health.is_failing() && now < health.backoff_end,
            None => false,
        }
    }
}

impl Balancer {
    /// Whether one more endpoint may be ejected. At most half of them are, since failures at most endpoints
    /// have another cause.
    pub(super) fn may_eject(&self) -> bool {
        (self.index.ejected_count + 1) * 2 <= self.index.listed.len()
    }
}
