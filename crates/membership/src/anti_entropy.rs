//! Anti-entropy within a scope: reconciles two views that differ.
//!
//! A member that notices a differing digest sends the digests of its ranges, and receives the members of the ranges
//! that differ, in their order, so that a view is completed range by range.

use crate::envelope::DatagramError;
use crate::identity::Identity;
use crate::member_table::MemberTable;
use crate::range_digest::RangeDigest;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Datagrams in a response at the most; a member that lacks more requests again.
const MAX_RESPONSES: usize = 2;
/// Room for content in a datagram.
const CONTENT_BYTES: usize = 1_380;
/// What a response takes beside its members.
const RESPONSE_HEAD_BYTES: usize = 36;
/// What a member takes beside its address and texts.
const MEMBER_HEAD_BYTES: usize = 16;
/// What an address takes at the most.
const IPV4_ADDRESS_BYTES: usize = 8;
const IPV6_ADDRESS_BYTES: usize = 20;
/// So many new members from one datagram show that this process lacks many, and is catching up.
const CATCH_UP_MIN_MEMBERS: usize = 3;
/// Interval of the requests of a process that is catching up.
const CATCH_UP_INTERVAL_US: Micros = 200_000;
/// Catching up ends when no such datagram has come for so long.
const CATCH_UP_TIMEOUT_US: Micros = 2_000_000;
/// Each so many-th exchange requests a feed of `foca`, as older releases know no ranges.
const FEED_PER_EXCHANGES: u32 = 3;

/// What two members send each other. The order of variants and fields is the order on the wire.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum AntiEntropyMessage {
    /// Requests the members of ranges whose digests differ, from a position on.
    Request { from: SocketAddr, start: u64, digests: Vec<RangeDigest> },
    /// Some of these members, and the position from which on there are more.
    Response { from: SocketAddr, next_start: u64, members: Vec<Identity> },
}

impl AntiEntropyMessage {
    /// Decodes a message.
    ///
    /// # Errors
    /// [`DatagramError::Content`] if it cannot be decoded.
    pub(crate) fn decode(content: &[u8]) -> Result<AntiEntropyMessage, DatagramError> {
        Ok(postcard::from_bytes(content)?)
    }

    /// Encodes the message; `None` if that fails, then the next exchange repeats it.
    pub(crate) fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_allocvec(self).ok()
    }

    /// The sender.
    pub(crate) fn sender(&self) -> SocketAddr {
        match self {
            AntiEntropyMessage::Request { from, .. } | AntiEntropyMessage::Response { from, .. } => *from,
        }
    }
}

/// The requests of one process: where to go on, and when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AntiEntropy {
    /// The position at which the next response is to begin.
    next_start: u64,
    exchanges: u32,
    /// The next request while catching up; [`Micros::MAX`] otherwise.
    next_request_at: Micros,
    catch_up_until: Micros,
}

impl Default for AntiEntropy {
    fn default() -> Self {
        AntiEntropy { next_start: 0, exchanges: 0, next_request_at: Micros::MAX, catch_up_until: 0 }
    }
}

impl AntiEntropy {
    /// When the next request of a process that is catching up is due.
    pub(crate) fn next_deadline(&self) -> Micros {
        self.next_request_at
    }

    /// So many members were learned from one datagram.
    pub(crate) fn members_learned(&mut self, now: Micros, members: usize) {
        if members >= CATCH_UP_MIN_MEMBERS {
            self.next_request_at = self.next_request_at.min(now + CATCH_UP_INTERVAL_US);
            self.catch_up_until = now + CATCH_UP_TIMEOUT_US;
        }
    }

    /// Whether a request is due now; if so, sets when the next one is. Requests and responses may be lost or held
    /// back by the rate limit, so they are repeated until the timeout.
    pub(crate) fn take_due_request(&mut self, now: Micros) -> bool {
        if now < self.next_request_at {
            return false;
        }
        let catching_up = now < self.catch_up_until;
        self.next_request_at = if catching_up { now + CATCH_UP_INTERVAL_US } else { Micros::MAX };
        true
    }

    /// The request to a member with a differing view; `None` if a feed of `foca` is due instead.
    /// `reported_members` is the size of the scope as others report it.
    pub(crate) fn next_request(
        &mut self,
        local: SocketAddr,
        members: &MemberTable,
        reported_members: usize,
    ) -> Option<AntiEntropyMessage> {
        self.exchanges = self.exchanges.wrapping_add(1);
        if self.exchanges.is_multiple_of(FEED_PER_EXCHANGES) {
            return None;
        }
        let digests = members.range_digests().digests(members.size().max(reported_members));
        Some(AntiEntropyMessage::Request { from: local, start: self.next_start, digests })
    }

    /// A response ended before this position.
    pub(crate) fn response_received(&mut self, next_start: u64) {
        self.next_start = next_start;
    }
}

/// The responses to a request.
///
/// # Errors
/// [`DatagramError::Content`] if there cannot be that many ranges.
pub(crate) fn responses(
    local: SocketAddr,
    table: &MemberTable,
    start: u64,
    digests: &[RangeDigest],
) -> Result<Vec<AntiEntropyMessage>, DatagramError> {
    let differing = table.range_digests().differing(digests, start);
    let mut differing = differing.ok_or(DatagramError::Content)?.peekable();
    let mut responses = Vec::new();
    while responses.len() < MAX_RESPONSES && differing.peek().is_some() {
        let mut members = Vec::new();
        let mut available_bytes = CONTENT_BYTES - RESPONSE_HEAD_BYTES;
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

/// Bytes that a member takes at the most.
fn max_encoded_bytes(member: &Identity) -> usize {
    let address_bytes = if member.address.is_ipv4() { IPV4_ADDRESS_BYTES } else { IPV6_ADDRESS_BYTES };
    MEMBER_HEAD_BYTES + address_bytes + member.name.len() + member.release.len() + member.zone.len()
}
