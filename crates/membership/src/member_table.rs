//! The member table: the view that a process has of the members of its scope.
//!
//! Counts, digests and names are updated incrementally, so that no datagram and no periodic check iterates
//! over all members.

use crate::identity::Identity;
use crate::range_digest::{address_hasher, position, RangeDigests};
use crate::reported_digests::ReportedDigests;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Time for a membership update to reach all members; a digest that differs within it needs no exchange.
const PROPAGATION_US: Micros = 300_000;
/// Maximum age of a differing digest that leads to an exchange; an older one may be out of date.
const DIFFERENCE_RETENTION_US: Micros = 2_000_000;
/// How long a member that has left or died stays in the table.
const DEPARTED_RETENTION_US: Micros = 600_000_000;

/// The status of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberStatus {
    /// The member responds to probes.
    Alive,
    /// The member does not respond, and may still refute the suspicion.
    Suspected,
    /// The member announced its departure.
    Left,
    /// The member did not refute the suspicion in time.
    Dead,
}

impl MemberStatus {
    /// Whether a member with this status counts as live: alive or suspected.
    pub fn is_live(self) -> bool {
        matches!(self, MemberStatus::Alive | MemberStatus::Suspected)
    }
}

/// A member as this process sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// The identity of the member.
    pub identity: Identity,
    /// The status of the member.
    pub status: MemberStatus,
    /// When the identity or the status last changed.
    pub since: Micros,
}

/// The hash of a member's name, and the address of the member.
type NameKey = (u64, SocketAddr);

/// A member that left or died.
#[derive(Clone, Copy, Debug)]
struct Departure {
    at: Micros,
    address: SocketAddr,
}

/// All members of the scope except this process.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<SocketAddr, MemberRecord>,
    changed_at: Micros,
    /// Wrapping sum of the digest terms of the live members and of this process.
    digest_sum: u64,
    /// The term of this process in that sum.
    local_digest_term: u64,
    range_digests: RangeDigests,
    live_members: usize,
    unsuspected_members: usize,
    names: BTreeSet<NameKey>,
    /// Departed members, ordered by the time of departure.
    departures: VecDeque<Departure>,
    reported_digests: ReportedDigests,
}

/// The term that a member adds to the digest. It is hashed so that no two differences cancel out.
fn digest_term(member: &Identity) -> u64 {
    let mut hasher = address_hasher(member.address);
    hasher.update(&member.incarnation.to_be_bytes());
    hasher.digest()
}

fn name_key(member: &Identity) -> NameKey {
    (xxh3_64(member.name.as_bytes()), member.address)
}

impl MemberTable {
    /// Sets the identity and status of a member; false if neither changes.
    pub(crate) fn set(&mut self, now: Micros, member: &Identity, status: MemberStatus) -> bool {
        let known = self.members.get(&member.address);
        if known.is_some_and(|known| known.identity == *member && known.status == status) {
            return false;
        }
        self.remove(member.address);
        if status.is_live() {
            let digest_term = digest_term(member);
            self.digest_sum = self.digest_sum.wrapping_add(digest_term);
            self.range_digests.insert(member.address, digest_term);
            self.live_members += 1;
            self.unsuspected_members += usize::from(status == MemberStatus::Alive);
        } else {
            self.reported_digests.remove(member.address);
            self.departures.push_back(Departure { at: now, address: member.address });
        }
        self.names.insert(name_key(member));
        let record = MemberRecord { identity: member.clone(), status, since: now };
        self.members.insert(member.address, record);
        self.changed_at = now;
        true
    }

    fn remove(&mut self, address: SocketAddr) {
        let Some(removed) = self.members.remove(&address) else { return };
        self.names.remove(&name_key(&removed.identity));
        if removed.status.is_live() {
            let digest_term = digest_term(&removed.identity);
            self.digest_sum = self.digest_sum.wrapping_sub(digest_term);
            self.range_digests.remove(address, digest_term);
            self.live_members -= 1;
            self.unsuspected_members -= usize::from(removed.status == MemberStatus::Alive);
        }
    }

    /// Removes members that departed longer ago than the retention time, and expired digests.
    pub(crate) fn expire(&mut self, now: Micros) {
        while let Some(departure) = self.departures.front().copied() {
            if now < departure.at + DEPARTED_RETENTION_US {
                break;
            }
            self.departures.pop_front();
            // The member may have rejoined since.
            let known = self.members.get(&departure.address);
            if known.is_some_and(|known| known.since == departure.at && !known.status.is_live()) {
                self.remove(departure.address);
            }
        }
        self.reported_digests.expire(now);
    }

    /// Records the view digest that a member reported; ignored if the member is not live.
    pub(crate) fn record_digest(&mut self, now: Micros, member: SocketAddr, digest: u32) {
        if self.is_live(member) {
            self.reported_digests.record(now, member, digest);
        }
    }

    /// Sets the identity of this process, whose term is part of the digest.
    pub(crate) fn set_local(&mut self, local: &Identity) {
        let digest_term = digest_term(local);
        self.digest_sum = self.digest_sum.wrapping_sub(self.local_digest_term).wrapping_add(digest_term);
        let change = digest_term.wrapping_sub(self.local_digest_term);
        self.range_digests.add_term(position(local.address), change);
        self.local_digest_term = digest_term;
    }

    /// All members in the table, ordered by address.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values()
    }

    /// The member at an address.
    pub fn get(&self, address: SocketAddr) -> Option<&MemberRecord> {
        self.members.get(&address)
    }

    /// Whether the member at an address is known and live.
    pub(crate) fn is_live(&self, address: SocketAddr) -> bool {
        self.get(address).is_some_and(|known| known.status.is_live())
    }

    /// The address of another alive member with the same name.
    pub(crate) fn name_conflict(&self, member: &Identity) -> Option<SocketAddr> {
        let (name_hash, address) = name_key(member);
        let lowest_address = SocketAddr::from(([0, 0, 0, 0], 0));
        let same_hash = self.names.range((name_hash, lowest_address)..);
        let same_hash = same_hash.take_while(|(other, _)| *other == name_hash);
        let mut records = same_hash.filter_map(|(_, address)| self.get(*address));
        let conflict = records.find(|known| {
            known.status == MemberStatus::Alive
                && known.identity.name == member.name
                && known.identity.address != address
        })?;
        Some(conflict.identity.address)
    }

    /// The number of live members, this process included.
    pub fn size(&self) -> usize {
        1 + self.live_members
    }

    /// The number of live members that are not suspected, this process included.
    pub fn unsuspected_count(&self) -> usize {
        1 + self.unsuspected_members
    }

    /// A hash of the live members, equal in all processes that have the same view.
    pub fn digest(&self) -> u32 {
        (self.digest_sum >> 32) as u32
    }

    /// Time since the view last changed, in microseconds.
    pub fn age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.changed_at)
    }

    /// The last live member that reported a differing digest after this view had time to propagate.
    pub(crate) fn settled_differing_member(&self, now: Micros) -> Option<SocketAddr> {
        let retained_since = now.saturating_sub(DIFFERENCE_RETENTION_US);
        let since = retained_since.max(self.changed_at + PROPAGATION_US);
        let member = self.reported_digests.last_differing(self.digest(), since)?;
        self.get(member).map(|known| known.identity.address)
    }

    /// The last live member that reported a differing digest, whether or not this view has changed since.
    pub(crate) fn differing_member(&self, now: Micros) -> Option<SocketAddr> {
        let since = now.saturating_sub(DIFFERENCE_RETENTION_US);
        self.reported_digests.last_differing(self.digest(), since)
    }

    /// The digests of the ranges of this view.
    pub(crate) fn range_digests(&self) -> &RangeDigests {
        &self.range_digests
    }

    /// A random one of the members that reported a digest recently; `None` if it has departed since.
    pub(crate) fn random_member(&self, random: u64) -> Option<SocketAddr> {
        let member = self.reported_digests.random_member(random)?;
        self.is_live(member).then_some(member)
    }

    /// Share, 0 to 1, of the other members whose last digest equals the local one; 1 if none reported any.
    pub fn agreement_ratio(&self, now: Micros) -> f64 {
        let agreement = self.reported_digests.agreement(now, self.digest());
        if agreement.total == 0 {
            return 1.0;
        }
        agreement.matching as f64 / agreement.total as f64
    }
}
