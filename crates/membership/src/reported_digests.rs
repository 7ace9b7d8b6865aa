//! Stores the view digests that other members reported recently, and counts how many of them agree.

use crate::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// How long a reported digest is retained.
const RETENTION_US: Micros = 10_000_000;

/// The last digest that a member reported.
#[derive(Clone, Copy, Debug)]
struct ReportedDigest {
    digest: u32,
    at: Micros,
}

/// An entry of the report queue, which is ordered by time.
#[derive(Clone, Copy, Debug)]
struct Report {
    at: Micros,
    member: SocketAddr,
}

/// How many of the recently reported digests equal a given one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DigestAgreement {
    /// Number of members that reported the given digest.
    pub(crate) matching: usize,
    /// Number of members that reported any digest.
    pub(crate) total: usize,
}

/// The last digest of each member that reported one recently.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportedDigests {
    latest: BTreeMap<SocketAddr, ReportedDigest>,
    /// All reports within the retention time, including those that a later report of the same member replaced
    /// in `latest`.
    reports: VecDeque<Report>,
    /// Number of members by the digest that they reported last.
    member_counts: BTreeMap<u32, usize>,
}

impl ReportedDigests {
    /// Records the digest that a member reported.
    pub(crate) fn record(&mut self, now: Micros, member: SocketAddr, digest: u32) {
        self.remove(member);
        self.latest.insert(member, ReportedDigest { digest, at: now });
        *self.member_counts.entry(digest).or_default() += 1;
        self.reports.push_back(Report { at: now, member });
        self.expire(now);
    }

    /// Removes the digest that a member reported.
    pub(crate) fn remove(&mut self, member: SocketAddr) {
        let Some(reported) = self.latest.remove(&member) else { return };
        if let Some(count) = self.member_counts.get_mut(&reported.digest) {
            *count -= 1;
            if *count == 0 {
                self.member_counts.remove(&reported.digest);
            }
        }
    }

    /// Removes reports that are older than the retention time.
    pub(crate) fn expire(&mut self, now: Micros) {
        while let Some(report) = self.reports.front().copied().filter(|report| is_expired(report, now)) {
            self.reports.pop_front();
            if self.digest_of(&report).is_some() {
                self.remove(report.member);
            }
        }
    }

    /// The digest of a report, unless a later report of the same member replaced it.
    fn digest_of(&self, report: &Report) -> Option<u32> {
        let reported = self.latest.get(&report.member)?;
        (reported.at == report.at).then_some(reported.digest)
    }

    /// The member that most recently reported another digest, at `since` or later.
    pub(crate) fn last_differing(&self, digest: u32, since: Micros) -> Option<SocketAddr> {
        let mut recent = self.reports.iter().rev().take_while(|report| report.at >= since);
        let report =
            recent.find(|report| self.digest_of(report).is_some_and(|reported| reported != digest))?;
        Some(report.member)
    }

    /// The member of a recent report, selected by a random number.
    pub(crate) fn random_member(&self, random: u64) -> Option<SocketAddr> {
        let index = random.checked_rem(self.reports.len() as u64)? as usize;
        self.reports.get(index).map(|report| report.member)
    }

    /// How many members reported a digest equal to the given one.
    pub(crate) fn agreement(&self, now: Micros, digest: u32) -> DigestAgreement {
        // Reports that have expired but have not been removed yet.
        let expired = self.reports.iter().take_while(|report| is_expired(report, now));
        let expired: Vec<u32> = expired.filter_map(|report| self.digest_of(report)).collect();
        let expired_matching = expired.iter().filter(|reported| **reported == digest).count();
        let matching = self.member_counts.get(&digest).copied().unwrap_or(0);
        DigestAgreement { matching: matching - expired_matching, total: self.latest.len() - expired.len() }
    }
}

fn is_expired(report: &Report, now: Micros) -> bool {
    report.at + RETENTION_US < now
}
