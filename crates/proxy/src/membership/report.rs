//! The membership report of the admin endpoint. Its JSON keys are read by operators and must stay.

use oakport_membership::{MemberRecord, MemberStatus, Micros, Node, RemoteScope, ScopeStatus};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const MICROS_PER_MILLI: Micros = 1_000;

/// The membership as this process sees it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct MembershipReport {
    /// The name of this process.
    pub name: String,
    /// Where other members reach it, as ADDRESS:PORT.
    pub address: String,
    /// Live members, this process included.
    pub size: usize,
    /// A hash that is the same for all processes that hold the same members to be live.
    pub digest: String,
    /// For how long the view has not changed, in milliseconds.
    pub age_ms: u64,
    /// Share of the other members that lately reported the same digest, 0 to 1.
    #[serde(rename = "agreement")]
    pub agreement_ratio: f64,
    /// The live proxy count in force.
    #[serde(rename = "count")]
    pub live_count: usize,
    /// So many members fell silent at once that a network partition is suspected.
    #[serde(rename = "cut")]
    pub partition_suspected: bool,
    /// Bytes of the membership datagrams sent since the start.
    pub bytes_sent: u64,
    /// Membership datagrams discarded since the start, by reason.
    #[serde(rename = "thrown_away")]
    pub discarded_datagrams: BTreeMap<String, u64>,
    /// The other members of its scope.
    pub members: Vec<MemberReport>,
    /// The scope of this process; absent if the whole fleet is one.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub scope: String,
    /// The other scopes that are known.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub scopes: Vec<ScopeReport>,
}

/// Another scope as this process sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct ScopeReport {
    /// Its name; empty for the members without a scope.
    pub name: String,
    /// Live members by the youngest summary.
    #[serde(rename = "present")]
    pub member_count: usize,
    /// Its part of the live proxy count.
    #[serde(rename = "counted")]
    pub live_count: usize,
    /// The digest of the youngest summary.
    pub digest: String,
    /// How old the youngest summary is, in milliseconds.
    pub age_ms: u64,
    /// `fresh` or `silent`.
    #[serde(rename = "hearing")]
    pub status: String,
}

/// A member as this process sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct MemberReport {
    /// Its name.
    pub name: String,
    /// Where it is reached, as ADDRESS:PORT.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// The release it runs.
    pub release: String,
    /// When it started, in milliseconds of Unix time.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// `present`, `suspected`, `left` or `dead`.
    #[serde(rename = "standing")]
    pub status: String,
    /// For how long it has had that status, in milliseconds.
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
