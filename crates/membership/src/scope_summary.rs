//! The summary of a scope that its members send to other scopes: counts and their age, but no identities.

use crate::identity::MAX_TEXT_BYTES;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum scope size that a summary may report; a summary with a greater count is invalid.
const MAX_SCOPE_MEMBERS: u32 = 1 << 20;
/// Maximum number of contacts in a summary.
pub(crate) const MAX_CONTACTS: usize = 16;

/// The summary of a scope. The order of the fields defines the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeSummary {
    /// Name of the scope; empty for members without a scope.
    pub scope: String,
    /// Number of client proxies that share the endpoints: a conservative estimate of the summary's creator.
    pub live_count: u32,
    /// Number of live members.
    pub member_count: u32,
    /// Number of live members that are not suspected.
    pub unsuspected_count: u32,
    /// Digest of the view of the member that created the summary.
    pub digest: u32,
    /// Age of the summary, in milliseconds.
    pub age_ms: u32,
    /// Addresses of some members of the scope.
    pub contacts: Vec<SocketAddr>,
}

impl ScopeSummary {
    /// Whether counts and lengths are within the limits and consistent.
    pub(crate) fn is_valid(&self) -> bool {
        let counts_valid = self.unsuspected_count <= self.member_count
            && self.member_count <= MAX_SCOPE_MEMBERS
            && self.live_count <= MAX_SCOPE_MEMBERS;
        counts_valid && self.scope.len() <= MAX_TEXT_BYTES && self.contacts.len() <= MAX_CONTACTS
    }
}
