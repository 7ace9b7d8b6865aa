//! Keeps the view digests that the other members reported lately, and counts how many agree.

use crate::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// How long a reported digest counts.
const RETENTION_US: Micros = 10_000_000;

/// The last digest that a member reported.
#[derive(Clone, Copy, Debug)]
struct ReportedDigest {
    digest: u32,
    at: Micros,
}

/// One report, in the order in which they came.
#[derive(Clone, Copy, Debug)]
struct Report {
    at: Micros,
    member: SocketAddr,
}

/// How many members lately reported a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DigestAgreement {
    /// Members whose digest is the one asked for.
    pub(crate) matching: usize,
    /// Members that reported any.
    pub(crate) total: usize,
}

/// The digests that were reported lately, the last one of each member.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportedDigests {
    latest: BTreeMap<SocketAddr, ReportedDigest>,
    /// All reports within the retention time; those that a later one replaced are no longer in `latest`.
    reports: VecDeque<Report>,
    /// How many members reported each digest last.
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

    /// Removes what a member reported.
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

    /// The digest of a report, unless a later one of the same member replaced it.
    fn digest_of(&self, report: &Report) -> Option<u32> {
        let reported = self.latest.get(&report.member)?;
        (reported.at == report.at).then_some(reported.digest)
    }

    /// The member that was the last to report another digest, if since the given instant.
    pub(crate) fn last_differing(&self, digest: u32, since: Micros) -> Option<SocketAddr> {
        let mut recent = self.reports.iter().rev().take_while(|report| report.at >= since);
        let report =
            recent.find(|report| self.digest_of(report).is_some_and(|reported| reported != digest))?;
        Some(report.member)
    }

    /// A member that reported lately, chosen by a random number.
    pub(crate) fn random_member(&self, random: u64) -> Option<SocketAddr> {
        let index = random.checked_rem(self.reports.len() as u64)? as usize;
        self.reports.get(index).map(|report| report.member)
    }

    /// How many members agree with a digest.
    pub(crate) fn agreement(&self, now: Micros, digest: u32) -> DigestAgreement {
        // Reports that have expired since they were last removed.
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
