//! The identity of a member: name, address and incarnation.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum length of a name, release, zone or scope, so that many identities fit into a datagram.
pub(crate) const MAX_TEXT_BYTES: usize = 64;
/// The first renewal increases an incarnation by this step; each further step is twice as large.
const FIRST_RENEWAL_STEP_MS: u64 = 1_000;
/// Maximum number of doublings; the step is then more than a hundred years.
const MAX_RENEWAL_DOUBLINGS: u8 = 32;

/// The longest prefix of a text that fits [`MAX_TEXT_BYTES`].
pub(crate) fn truncate_text(text: &str) -> String {
    let longest = text.len().min(MAX_TEXT_BYTES);
    let end = (0..=longest).rev().find(|end| text.is_char_boundary(*end)).unwrap_or(0);
    text[..end].to_owned()
}

/// The identity of a member of the fleet. The order of the fields defines the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The name, which does not change when the member restarts.
    pub name: String,
    /// The address at which other members reach this one; the key in their member tables.
    pub address: SocketAddr,
    /// Start time in milliseconds since the Unix epoch, increased by renewals. If two members have the same
    /// address, the one with the greater incarnation takes precedence.
    pub incarnation: u64,
    /// The release that the member runs.
    pub release: String,
    /// The zone of the member.
    pub zone: String,
    /// Whether the member has announced its departure.
    pub leaving: bool,
    /// How often the incarnation has been renewed.
    renewals: u8,
}

impl Identity {
    /// The identity of a member that starts; texts longer than 64 bytes are truncated.
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

    /// A placeholder for a member of which only the address is known.
    pub fn unidentified(address: SocketAddr) -> Self {
        Identity::new("", address, 0, "", "")
    }

    /// The same member, marked as leaving, in its last incarnation.
    pub fn into_leaving(&self) -> Self {
        Identity { leaving: true, incarnation: self.incarnation + 1, ..self.clone() }
    }
}

impl foca::Identity for Identity {
    type Addr = SocketAddr;

    /// A member that was declared dead rejoins in a new incarnation. The step doubles with each renewal, so
    /// that the incarnation eventually exceeds that of a predecessor whose clock was ahead.
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
        // The name breaks the tie if both started in the same millisecond, so that all members agree.
        (self.incarnation, &self.name) > (adversary.incarnation, &adversary.name)
    }
}
