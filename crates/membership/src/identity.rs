//! Identifies a member: its name, address and incarnation.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest name, release, zone or scope: an identity fits a datagram many times.
pub(crate) const MAX_TEXT_BYTES: usize = 64;
/// The first step by which an incarnation is renewed; each further one is twice as large.
const FIRST_RENEWAL_STEP_MS: u64 = 1_000;
/// Limit on the doublings of that step: more than a hundred years.
const MAX_RENEWAL_DOUBLINGS: u8 = 32;

/// The longest prefix of a text that fits [`MAX_TEXT_BYTES`].
pub(crate) fn truncate_text(text: &str) -> String {
    let longest = text.len().min(MAX_TEXT_BYTES);
    let end = (0..=longest).rev().find(|end| text.is_char_boundary(*end)).unwrap_or(0);
    text[..end].to_owned()
}

/// A member of the fleet. The order of the fields is the order on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where other members reach it; the key by which it is known.
    pub address: SocketAddr,
    /// When it started, in milliseconds of Unix time; of two members at one address the greater one wins.
    pub incarnation: u64,
    /// The release it runs.
    pub release: String,
    /// Its zone.
    pub zone: String,
    /// It has announced that it leaves.
    pub leaving: bool,
    /// How often it has renewed its incarnation.
    renewals: u8,
}

impl Identity {
    /// A member that starts; texts that are too long are truncated.
    pub fn new(name: &str, address: SocketAddr, incarnation: u64, release: &str, zone: &str) -> Self {
        Identity {
            name: truncate_text(name),
            address,
            incarnation,
            release: truncate_text(release),
            zone: truncate_text(zone),
            leaving: false,
            renewals: 0,
        }
    }

    /// A placeholder for the member at an address of which only the address is known.
    pub fn unidentified(address: SocketAddr) -> Self {
        Identity::new("", address, 0, "", "")
    }

    /// The same member in a last incarnation, marked as leaving.
    pub fn into_leaving(&self) -> Self {
        Identity { leaving: true, incarnation: self.incarnation + 1, ..self.clone() }
    }
}

impl foca::Identity for Identity {
    type Addr = SocketAddr;

    /// A member that was declared dead comes back in a new incarnation. The steps double, so that they overtake
    /// the incarnation of a predecessor whose clock was ahead.
    fn renew(&self) -> Option<Self> {
        if self.leaving {
            return None;
        }
        let step = FIRST_RENEWAL_STEP_MS << self.renewals.min(MAX_RENEWAL_DOUBLINGS);
        Some(Identity {
            incarnation: self.incarnation.saturating_add(step),
            renewals: self.renewals.saturating_add(1),
            ..self.clone()
        })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        // Names break the tie of two that started in the same millisecond, so that all members prefer the same.
        (self.incarnation, &self.name) > (adversary.incarnation, &adversary.name)
    }
}
