//! Limits the bytes that a node sends: a token bucket that failure detection may overdraw.
//!
//! In any second, a node sends at most the refill of one second, the burst and the overdraft together.

use crate::Micros;

/// Size of the IP and UDP headers of a datagram.
const UDP_IP_HEADER_BYTES: usize = 28;
/// Refill rate. Together with burst and overdraft, it permits at most 21,500 bytes in any second.
const REFILL_BYTES_PER_SECOND: f64 = 14_000.0;
/// Capacity of the bucket.
const BURST_BYTES: f64 = 4_000.0;
/// Maximum overdraft, for failure detection only.
const OVERDRAFT_BYTES: f64 = 3_500.0;
/// Bytes that dissemination leaves in the bucket for scope gossip and the next pings and acks.
const RESERVED_BYTES: f64 = 1_000.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// The priority of a datagram when few bytes are available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendPriority {
    /// Pings and acks decide whether a member is alive; membership updates are piggybacked on them.
    FailureDetection,
    /// Scope summaries: without them, other members would consider a live scope silent.
    ScopeGossip,
    /// Gossip, feeds and anti-entropy: if dropped, they are repeated or requested again.
    Dissemination,
}

/// A token bucket of bytes.
#[derive(Clone, Debug)]
pub(crate) struct RateLimit {
    /// Negative while failure detection has overdrawn the bucket.
    available_bytes: f64,
    refilled_at: Micros,
}

impl RateLimit {
    /// Starts with a full bucket.
    pub(crate) fn new(now: Micros) -> Self {
        RateLimit { available_bytes: BURST_BYTES, refilled_at: now }
    }

    fn refill(&mut self, now: Micros) {
        let elapsed_us = now.saturating_sub(self.refilled_at);
        let refilled = self.available_bytes + elapsed_us as f64 / MICROS_PER_SECOND * REFILL_BYTES_PER_SECOND;
        self.available_bytes = refilled.min(BURST_BYTES);
        self.refilled_at = now.max(self.refilled_at);
    }

    /// The permitted size of a datagram of at least `min_bytes` and at most `wanted_bytes`, envelope
    /// included; `None` if it must not be sent now. Only failure detection may get less than `wanted_bytes`.
    pub(crate) fn permitted_bytes(
        &mut self,
        now: Micros,
        priority: SendPriority,
        min_bytes: usize,
        wanted_bytes: usize,
    ) -> Option<usize> {
        self.refill(now);
        let available = self.available_bytes - UDP_IP_HEADER_BYTES as f64;
        let unreserved = available - RESERVED_BYTES;
        match priority {
            SendPriority::Dissemination => (wanted_bytes as f64 <= unreserved).then_some(wanted_bytes),
            SendPriority::ScopeGossip => (wanted_bytes as f64 <= available).then_some(wanted_bytes),
            SendPriority::FailureDetection if min_bytes as f64 > available + OVERDRAFT_BYTES => None,
            SendPriority::FailureDetection => {
                let permitted = (unreserved.max(0.0) as usize).max(min_bytes);
                Some(wanted_bytes.min(permitted))
            }
        }
    }

    /// Deducts the bytes of a sent datagram, headers included.
    pub(crate) fn consume(&mut self, datagram_bytes: usize) {
        self.available_bytes -= (datagram_bytes + UDP_IP_HEADER_BYTES) as f64;
    }
}

#[cfg(test)]
mod tests;
