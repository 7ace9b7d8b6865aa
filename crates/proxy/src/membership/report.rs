//! The membership report of the admin endpoint. Operators' tools read its JSON keys, so they must not change.

use oakport_membership::{MemberRecord, MemberStatus, Micros, Node, RemoteScope, ScopeStatus};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const MICROS_PER_MILLI: Micros = 1_000;

/// The membership from the view of this process.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct MembershipReport {
    /// The name of this process.
    pub name: String,
    /// Address at which other members reach this process, as ADDRESS:PORT.
    pub address: String,
    /// Live members, this process included.
    pub size: usize,
    /// View digest: a hash that is equal for all processes with the same set of live members.
    pub digest: String,
    /// Time since the last change of the view, in milliseconds.
    pub age_ms: u64,
    /// Share of the other members that recently reported the same digest, 0 to 1.
    #[serde(rename = "agreement")]
    pub agreement_ratio: f64,
    /// The live proxy count in force.
    #[serde(rename = "count")]
    pub live_count: usize,
    /// Whether a network partition is suspected, because many members became silent at once.
    #[serde(rename = "cut")]
    pub partition_suspected: bool,
    /// Total length of the membership datagrams sent since the start, in bytes.
    pub bytes_sent: u64,
    /// Number of membership datagrams discarded since the start, by reason.
    #[serde(rename = "thrown_away")]
    pub discarded_datagrams: BTreeMap<String, u64>,
    /// The other members of the scope of this process.
    pub members: Vec<MemberReport>,
    /// The scope of this process; absent if the whole fleet is one scope.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub scope: String,
    /// The other known scopes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub scopes: Vec<ScopeReport>,
}

/// Another scope from the view of this process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct ScopeReport {
    /// Name of the scope; empty for members without a scope.
    pub name: String,
    /// Number of live members in the latest summary.
    #[serde(rename = "present")]
    pub member_count: usize,
    /// Number of members that the scope adds to the live proxy count.
    #[serde(rename = "counted")]
    pub live_count: usize,
    /// The view digest in the latest summary.
    pub digest: String,
    /// Age of the latest summary, in milliseconds.
    pub age_ms: u64,
    /// `fresh` or `silent`.
    #[serde(rename = "hearing")]
    pub status: String,
}

/// A member from the view of this process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct MemberReport {
    /// Name of the member.
    pub name: String,
    /// Address at which other members reach the member, as ADDRESS:PORT.
    pub address: String,
    /// Zone of the member.
    pub zone: String,
    /// Release that the member runs.
    pub release: String,
    /// Incarnation: start time of the member, in milliseconds of Unix time.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// `present`, `suspected`, `left` or `dead`.
    #[serde(rename = "standing")]
    pub status: String,
    /// Time since the last change of the status, in milliseconds.
    #[serde(rename = "for_ms")]
    pub status_age_ms: u64,
}

impl MembershipReport {
    pub(super) fn new(node: &Node, now: Micros) -> Self {
        let identity = node.identity();
        let members = node.members();
        let discarded = node.discarded_datagrams().iter();
        MembershipReport {
            name: identity.name.clone(),
            address: identity.address.to_string(),
            size: members.size(),
            digest: format_digest(members.digest()),
            age_ms: members.age(now) / MICROS_PER_MILLI,
            agreement_ratio: members.agreement_ratio(now),
            live_count: node.live_count().get(),
            partition_suspected: node.suspects_partition(),
            bytes_sent: node.bytes_sent(),
            discarded_datagrams: discarded.map(|(reason, count)| ((*reason).to_owned(), *count)).collect(),
            members: members.members().map(|record| MemberReport::new(record, now)).collect(),
            scope: node.scope().to_owned(),
            scopes: node.scopes().iter().map(|(name, scope)| ScopeReport::new(name, scope, now)).collect(),
        }
    }
}

impl ScopeReport {
    fn new(name: &str, scope: &RemoteScope, now: Micros) -> Self {
        let status = match scope.status() {
            ScopeStatus::Fresh => "fresh",
            ScopeStatus::Silent => "silent",
        };
        ScopeReport {
            name: name.to_owned(),
            member_count: scope.member_count(),
            live_count: scope.live_count(),
            digest: format_digest(scope.digest()),
            age_ms: scope.age(now) / MICROS_PER_MILLI,
            status: status.to_owned(),
        }
    }
}

impl MemberReport {
    fn new(record: &MemberRecord, now: Micros) -> Self {
        let status = match record.status {
            MemberStatus::Alive => "present",
            MemberStatus::Suspected => "suspected",
            MemberStatus::Left => "left",
            MemberStatus::Dead => "dead",
        };
        MemberReport {
            name: record.identity.name.clone(),
            address: record.identity.address.to_string(),
            zone: record.identity.zone.clone(),
            release: record.identity.release.clone(),
            incarnation: record.identity.incarnation,
            status: status.to_owned(),
            status_age_ms: now.saturating_sub(record.since) / MICROS_PER_MILLI,
        }
    }
}

fn format_digest(digest: u32) -> String {
    format!("{digest:08x}")
}

#[cfg(test)]
mod tests;
