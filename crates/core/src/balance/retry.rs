//! Decides which calls are retried, and at which endpoints another attempt is safe.

use super::balancer::Balancer;
use crate::call_table::{Attempt, Call, QueuePosition};
use crate::endpoint::Endpoint;
use crate::event::Outcome;
use crate::ids::{CallId, Micros};
use crate::settings::{DeduplicationScope, Idempotency};

/// Whether an endpoint recognises a repetition of this attempt.
fn is_in_scope(scope: DeduplicationScope, first: &Attempt, endpoint: &Endpoint) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => first.zone == endpoint.zone,
        DeduplicationScope::Cell => first.cell == endpoint.cell,
    }
}

impl Call {
    /// Whether an attempt at this endpoint is safe. All earlier attempts count, not only the last one.
    pub(super) fn may_attempt(&self, now: Micros, endpoint: &Endpoint, clock_tick: Micros) -> bool {
        let Some(first) = self.first_possible_execution() else { return true };
        match self.class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Deduplicated { scope, window } => {
                let in_window = now.saturating_add(clock_tick) < first.sent_at.saturating_add(window);
                is_in_scope(scope, first, endpoint) && in_window
            }
        }
    }

    /// Latest time of another attempt, if endpoints recognise repetitions only within a deduplication window.
    pub(super) fn deduplication_deadline(&self, clock_tick: Micros) -> Option<Micros> {
        let Idempotency::Deduplicated { window, .. } = self.class.idempotency else { return None };
        let first = self.first_possible_execution()?;
        Some(first.sent_at.saturating_add(window).saturating_sub(clock_tick))
    }

    /// Whether the call may be rejected, so that its client retries it: the retry must be safe at any
    /// endpoint, since the client does not know which endpoints recognise a repetition.
    pub(super) fn may_be_rejected(&self) -> bool {
        let is_safe_anywhere = matches!(
            self.class.idempotency,
            Idempotency::Idempotent | Idempotency::Deduplicated { scope: DeduplicationScope::All, .. }
        );
        is_safe_anywhere || self.first_possible_execution().is_none()
    }
}

impl Balancer {
    /// Queues a retry after an attempt that did not serve the call, or ends the call.
    pub(super) fn retry_or_end(&mut self, id: CallId, outcome: Outcome) {
        if self.may_retry(&self.calls[id], outcome) {
            self.retry_budget = (self.retry_budget - 1.0).max(0.0);
            self.enqueue(id, QueuePosition::Front);
        } else {
            self.reject_or_fail(id, self.initial_backoff());
        }
    }

    /// Whether a retry can be in time, is safe at some endpoint, and is within the attempt limit and the
    /// retry budget. A retry after a failed connection is allowed with an empty budget, since the failed
    /// attempt cost the endpoint nothing, but it is charged to the budget.
    fn may_retry(&self, call: &Call, outcome: Outcome) -> bool {
        let typical_us = self.classes.typical_latency_us(call.class_id, call.class.latency_objective);
        let in_time = self.now as f64 + typical_us < call.weight_deadline() as f64;
        let within_budget = self.retry_budget >= 1.0 || outcome == Outcome::ConnectFailed;
        in_time
            && within_budget
            && !call.streaming
            && self.has_attempts_left(call)
            && self.index.listed.iter().any(|slot| self.is_safe_at(call, slot))
    }

    fn is_safe_at(&self, call: &Call, slot: usize) -> bool {
        call.may_attempt(self.now, &self.endpoints[slot], self.settings.clock_tick)
    }

    /// Whether both the settings at the call's arrival and the current settings allow another attempt.
    pub(super) fn has_attempts_left(&self, call: &Call) -> bool {
        (call.attempts.len() as u32) < call.max_attempts.min(self.settings.limits.max_attempts)
    }
}
