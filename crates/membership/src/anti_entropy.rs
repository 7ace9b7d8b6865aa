//! Anti-entropy within a scope: reconciles two views that differ.
//!
//! A member whose digest differs from that of another member sends it the digests of its ranges, and receives
//! the members of the differing ranges ordered by position, so that a view is completed range by range.

use crate::envelope::DatagramError;
use crate::identity::Identity;
use crate::member_table::MemberTable;
use crate::range_digest::RangeDigest;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum number of response datagrams per request; a member that lacks more sends another request.
const MAX_RESPONSE_DATAGRAMS: usize = 2;
/// Maximum size of a response, without the envelope.
const MAX_CONTENT_BYTES: usize = 1_380;
/// Upper bound of the encoded size of a response without its members.
const RESPONSE_OVERHEAD_BYTES: usize = 36;
/// Upper bound of the encoded size of a member without its address and texts.
const MEMBER_OVERHEAD_BYTES: usize = 16;
/// Upper bound of the encoded size of an address.
const MAX_IPV4_ADDRESS_BYTES: usize = 8;
const MAX_IPV6_ADDRESS_BYTES: usize = 20;
/// With this many new members in one datagram, the process probably lacks many more, and starts catching up.
const CATCH_UP_MIN_MEMBERS: usize = 3;
/// Request interval of a process that is catching up.
const CATCH_UP_INTERVAL_US: Micros = 200_000;
/// Catching up ends when no such datagram has been received for this time.
const CATCH_UP_TIMEOUT_US: Micros = 2_000_000;
/// One exchange in this many requests a `foca` feed instead: older releases do not support range digests.
const EXCHANGES_PER_FEED: u32 = 3;

/// An anti-entropy message. The order of variants and fields defines the wire format.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum AntiEntropyMessage {
    /// Requests the members of the ranges whose digests differ, starting at a position.
    Request { from: SocketAddr, start: u64, digests: Vec<RangeDigest> },
    /// Some of these members, and the position at which the remaining ones start; 0 if there are none.
    Response { from: SocketAddr, next_start: u64, members: Vec<Identity> },
}

impl AntiEntropyMessage {
    /// Decodes a message.
    ///
    /// # Errors
    /// [`DatagramError::Content`] if the content cannot be decoded.
    pub(crate) fn decode(content: &[u8]) -> Result<AntiEntropyMessage, DatagramError> {
        Ok(postcard::from_bytes(content)?)
    }

    /// Encodes the message; `None` if encoding fails, in which case the next exchange retries.
    pub(crate) fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_allocvec(self).ok()
    }

    /// The address of the sender, as the message states it.
    pub(crate) fn sender(&self) -> SocketAddr {
        match self {
            AntiEntropyMessage::Request { from, .. } | AntiEntropyMessage::Response { from, .. } => *from,
        }
    }
}

/// Schedules the anti-entropy requests of one process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AntiEntropy {
    /// The position at which the next response starts.
    next_start: u64,
    exchanges: u32,
    /// The time of the next request while catching up; [`Micros::MAX`] otherwise.
    next_request_at: Micros,
    catch_up_until: Micros,
}

impl Default for AntiEntropy {
    fn default() -> Self {
        AntiEntropy { next_start: 0, exchanges: 0, next_request_at: Micros::MAX, catch_up_until: 0 }
    }
}

impl AntiEntropy {
    /// The time of the next request while catching up; [`Micros::MAX`] otherwise.
    pub(crate) fn next_deadline(&self) -> Micros {
        self.next_request_at
    }

    /// Records the number of members learned from one datagram.
    pub(crate) fn members_learned(&mut self, now: Micros, member_count: usize) {
        if member_count >= CATCH_UP_MIN_MEMBERS {
            self.next_request_at = self.next_request_at.min(now + CATCH_UP_INTERVAL_US);
            self.catch_up_until = now + CATCH_UP_TIMEOUT_US;
        }
    }

    /// Whether a request is due now; if so, schedules the next one. Requests and responses may be lost or
    /// dropped by the rate limit, so requests are repeated until the timeout.
    pub(crate) fn take_due_request(&mut self, now: Micros) -> bool {
        if now < self.next_request_at {
            return false;
        }
        let catching_up = now < self.catch_up_until;
        self.next_request_at = if catching_up { now + CATCH_UP_INTERVAL_US } else { Micros::MAX };
        true
    }

    /// The request to a member whose view differs; `None` if a `foca` feed is due instead.
    /// `reported_member_count` is the size of the scope as other members report it.
    pub(crate) fn next_request(
        &mut self,
        local: SocketAddr,
        members: &MemberTable,
        reported_member_count: usize,
    ) -> Option<AntiEntropyMessage> {
        self.exchanges = self.exchanges.wrapping_add(1);
        if self.exchanges.is_multiple_of(EXCHANGES_PER_FEED) {
            return None;
        }
        let digests = members.range_digests().digests(members.size().max(reported_member_count));
        Some(AntiEntropyMessage::Request { from: local, start: self.next_start, digests })
    }

    /// Records the position at which the next response starts.
    pub(crate) fn response_received(&mut self, next_start: u64) {
        self.next_start = next_start;
    }
}

/// The responses to a request: the members of the differing ranges, starting at `start`.
///
/// # Errors
/// [`DatagramError::Content`] if the number of range digests is invalid.
pub(crate) fn responses(
    local: SocketAddr,
    table: &MemberTable,
    start: u64,
    digests: &[RangeDigest],
) -> Result<Vec<AntiEntropyMessage>, DatagramError> {
    let differing = table.range_digests().differing(digests, start);
    let mut differing = differing.ok_or(DatagramError::Content)?.peekable();
    let mut responses = Vec::new();
    while responses.len() < MAX_RESPONSE_DATAGRAMS && differing.peek().is_some() {
        let mut members = Vec::new();
        let mut available_bytes = MAX_CONTENT_BYTES - RESPONSE_OVERHEAD_BYTES;
        while let Some(next) = differing.peek() {
            let member = table.get(next.address).map(|known| &known.identity);
            let member_bytes = member.map_or(0, max_encoded_bytes);
            if member_bytes > available_bytes {
                break;
            }
            available_bytes -= member_bytes;
            members.extend(member.cloned());
            differing.next();
        }
        let next_start = differing.peek().map_or(0, |next| next.position);
        responses.push(AntiEntropyMessage::Response { from: local, next_start, members });
    }
    Ok(responses)
}

/// Upper bound of the encoded size of a member.
fn max_encoded_bytes(member: &Identity) -> usize {
    let address_bytes =
        if member.address.is_ipv4() { MAX_IPV4_ADDRESS_BYTES } else { MAX_IPV6_ADDRESS_BYTES };
    MEMBER_OVERHEAD_BYTES + address_bytes + member.name.len() + member.release.len() + member.zone.len()
}
