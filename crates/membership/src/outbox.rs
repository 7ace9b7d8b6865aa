//! The queue of outgoing datagrams, subject to the rate limit.

use crate::envelope::{DatagramKind, Envelope, FleetHashes, ENVELOPE_BYTES};
use crate::foca_packet;
use crate::rate_limit::{RateLimit, SendPriority};
use crate::Micros;
use std::net::SocketAddr;

/// The content of a datagram, and its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OutgoingMessage {
    pub(crate) to: SocketAddr,
    pub(crate) content: Vec<u8>,
}

/// Encodes messages as datagrams and queues these. Messages that the rate limit rejects are dropped: SWIM,
/// gossip and anti-entropy tolerate losses.
pub(crate) struct Outbox {
    hashes: FleetHashes,
    rate_limit: RateLimit,
    datagrams: Vec<(SocketAddr, Vec<u8>)>,
    bytes_sent: u64,
}

impl Outbox {
    /// Creates an empty queue.
    pub(crate) fn new(now: Micros, hashes: FleetHashes) -> Self {
        Outbox { hashes, rate_limit: RateLimit::new(now), datagrams: Vec::new(), bytes_sent: 0 }
    }

    /// The hashes that datagrams of this fleet and scope carry.
    pub(crate) fn hashes(&self) -> FleetHashes {
        self.hashes
    }

    /// Total bytes of all datagrams queued so far, without UDP and IP headers.
    pub(crate) fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// Removes and returns the datagrams, with their destinations.
    pub(crate) fn take(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.datagrams)
    }

    /// Queues a scope gossip or anti-entropy message, or drops all of it if it exceeds the rate limit.
    pub(crate) fn send(&mut self, now: Micros, kind: DatagramKind, digest: u32, message: &OutgoingMessage) {
        let priority = match kind {
            DatagramKind::ScopeGossip => SendPriority::ScopeGossip,
            DatagramKind::Swim | DatagramKind::AntiEntropy => SendPriority::Dissemination,
        };
        let bytes = ENVELOPE_BYTES + message.content.len();
        if self.rate_limit.permitted_bytes(now, priority, bytes, bytes).is_some() {
            self.push(kind, digest, message);
        }
    }

    /// Queues a `foca` packet with as many of its membership updates as the rate limit permits. The packets
    /// that announce the departure of this process are sent only once, and therefore have top priority.
    pub(crate) fn send_swim(
        &mut self,
        now: Micros,
        digest: u32,
        mut message: OutgoingMessage,
        leaving: bool,
    ) {
        // `foca` has just encoded the packet, so it can be decoded.
        let Ok(head) = foca_packet::read_head(&message.content) else { return };
        let only_disseminates = head.is_dissemination && !leaving;
        let priority =
            if only_disseminates { SendPriority::Dissemination } else { SendPriority::FailureDetection };
        let min_bytes = ENVELOPE_BYTES + head.bytes;
        let wanted_bytes = ENVELOPE_BYTES + message.content.len();
        let permitted = self.rate_limit.permitted_bytes(now, priority, min_bytes, wanted_bytes);
        let Some(permitted_bytes) = permitted else { return };
        if permitted_bytes < wanted_bytes {
            let content_bytes = permitted_bytes - ENVELOPE_BYTES;
            if foca_packet::drop_updates(&mut message.content, content_bytes).is_err() {
                return;
            }
        }
        self.push(DatagramKind::Swim, digest, &message);
    }

    fn push(&mut self, kind: DatagramKind, digest: u32, message: &OutgoingMessage) {
        let envelope = Envelope { fleet_hash: self.hashes.for_kind(kind), digest };
        let datagram = envelope.seal_as(kind, &message.content);
        self.bytes_sent += datagram.len() as u64;
        self.rate_limit.consume(datagram.len());
        self.datagrams.push((message.to, datagram));
    }
}
