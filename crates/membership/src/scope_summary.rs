//! The summary by which members tell other scopes of their own: counts with their age, not who the members are.

use crate::identity::MAX_TEXT_BYTES;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The largest scope that a summary may report; one that reports more is invalid.
const MAX_SCOPE_MEMBERS: u32 = 1 << 20;
/// Contacts in a summary at the most.
pub(crate) const MAX_CONTACTS: usize = 16;

/// What is passed on about a scope. The order of the fields is the order on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeSummary {
    /// Its name; empty for the members without a scope.
    pub scope: String,
    /// Client proxies that share the endpoints, by the safe estimate of the member that made the summary.
    pub live_count: u32,
    /// Live members.
    pub member_count: u32,
    /// Live members that are not suspected.
    pub unsuspected_count: u32,
    /// The digest of the view of the member that made the summary.
    pub digest: u32,
    /// How old the summary is, in milliseconds.
    pub age_ms: u32,
    /// Addresses of some of its members.
    pub contacts: Vec<SocketAddr>,
}

impl ScopeSummary {
    /// Its numbers and lengths are within what a member can report.
    pub(crate) fn is_valid(&self) -> bool {
        let counts_valid = self.unsuspected_count <= self.member_count
            && self.member_count <= MAX_SCOPE_MEMBERS
            && self.live_count <= MAX_SCOPE_MEMBERS;
        counts_valid && self.scope.len() <= MAX_TEXT_BYTES && self.contacts.len() <= MAX_CONTACTS
    }
}
