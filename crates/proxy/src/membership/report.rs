//! What operators are told of the peers.

use oakport_membership::{MemberRecord, MemberStatus, Micros, Node, RemoteScope, ScopeStatus};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Who is present, as this process sees it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct MembershipReport {
    /// The name of this process.
    pub name: String,
    /// Where others reach it, as ADDRESS:PORT.
    pub address: String,
    /// Members that are there, this process included.
    pub size: usize,
    /// The same for those who hold the same members to be there.
    pub digest: String,
    /// How long the view has been as it is, in milliseconds.
    pub age_ms: u64,
    /// Share of the others that lately told the same digest, 0 to 1.
    pub agreement: f64,
    /// Client proxies counted, as the decisions go by it.
    pub count: usize,
    /// So many fell silent at once that it is taken for a cut.
    pub cut: bool,
    /// Bytes sent to peers since the start.
    pub bytes_sent: u64,
    /// Datagrams thrown away since the start, by why.
    pub thrown_away: BTreeMap<String, u64>,
    /// The others of its scope.
    pub members: Vec<MemberReport>,
    /// The scope of this process; absent if the whole fleet is one.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub scope: String,
    /// The other scopes that are known.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub scopes: Vec<ScopeReport>,
}

/// Another scope as this process hears of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct ScopeReport {
    /// Its name; empty is that of those who have none.
    pub name: String,
    /// Members that were there by the youngest record.
    pub present: usize,
    /// Members that are counted.
    pub counted: usize,
    /// The digest of the youngest record's maker.
    pub digest: String,
    /// How old the youngest record is, in milliseconds.
    pub age_ms: u64,
    /// `fresh` or `silent`.
    pub hearing: String,
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
    /// What it runs.
    pub release: String,
    /// When it started, in milliseconds of Unix time.
    pub life: u64,
    /// `present`, `suspected`, `left` or `dead`.
    pub standing: String,
    /// For how long, in milliseconds.
    pub for_ms: u64,
}

impl MembershipReport {
    pub(super) fn new(machine: &Node, now: Micros) -> Self {
        let (own, view, count) = (machine.identity(), machine.members(), machine.live_count());
        MembershipReport {
            name: own.name.clone(),
            address: own.address.to_string(),
            size: view.size(),
            digest: format!("{:08x}", view.digest()),
            age_ms: view.age(now) / 1_000,
            agreement: view.agreement_ratio(now),
            count: count.get(),
            cut: machine.suspects_partition(),
            bytes_sent: machine.bytes_sent,
            thrown_away: machine
                .discarded_datagrams
                .iter()
                .map(|(why, count)| ((*why).to_owned(), *count))
                .collect(),
            members: view.members().map(|seen| member(seen, now)).collect(),
            scope: machine.scope().to_owned(),
            scopes: machine.scopes().iter().map(|(name, seen)| scope(name, seen, now)).collect(),
        }
    }
}

fn scope(name: &str, seen: &RemoteScope, now: Micros) -> ScopeReport {
    let hearing = match seen.status() {
        ScopeStatus::Fresh => "fresh",
        ScopeStatus::Silent => "silent",
    };
    ScopeReport {
        name: name.to_owned(),
        present: seen.member_count(),
        counted: seen.live_count(),
        digest: format!("{:08x}", seen.digest()),
        age_ms: seen.age(now) / 1_000,
        hearing: hearing.to_owned(),
    }
}

fn member(seen: &MemberRecord, now: Micros) -> MemberReport {
    let standing = match seen.status {
        MemberStatus::Alive => "present",
        MemberStatus::Suspected => "suspected",
        MemberStatus::Left => "left",
        MemberStatus::Dead => "dead",
    };
    MemberReport {
        name: seen.identity.name.clone(),
        address: seen.identity.address.to_string(),
        zone: seen.identity.zone.clone(),
        release: seen.identity.release.clone(),
        life: seen.identity.incarnation,
        standing: standing.to_owned(),
        for_ms: now.saturating_sub(seen.since) / 1_000,
    }
}
