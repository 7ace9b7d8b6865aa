//! What one process holds of the others.

use crate::heard::Heard;
use crate::ranges::{place, Ranges};
use crate::{Identity, Micros};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, SocketAddr};
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

/// MembershipEvent need so long to go round; who differs within it will know soon by itself.
const SPREAD: Micros = 300_000;
/// Who told another digest longer ago may have changed its mind.
const DISSENT: Micros = 2_000_000;
/// A member that has left or died is told of for so long.
const REMEMBERED: Micros = 600_000_000;

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberStatus {
    /// It is there.
    Alive,
    /// It is silent, and may refute that.
    Suspected,
    /// It said that it leaves.
    Left,
    /// It was silent for too long.
    Dead,
}

impl MemberStatus {
    /// It counts as there.
    pub fn is_live(self) -> bool {
        matches!(self, MemberStatus::Alive | MemberStatus::Suspected)
    }
}

/// A member as it is seen from here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Who it is.
    pub identity: Identity,
    /// How it stands.
    pub status: MemberStatus,
    /// Since when.
    pub since: Micros,
}

/// All members but this process itself. What is told of them together is kept as they change; nothing walks
/// them all.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<SocketAddr, MemberRecord>,
    /// When it last changed.
    changed: Micros,
    /// The sum of the parts of those that are there, and of this process itself.
    sum: u64,
    /// The part of this process itself in it.
    own: u64,
    /// The same sum, range by range.
    ranges: Ranges,
    /// How many are there.
    there: usize,
    /// How many of them are not suspected.
    sure: usize,
    /// The names' hashes, and who has them.
    names: BTreeSet<(u64, SocketAddr)>,
    /// Those that went, by when.
    gone: VecDeque<(Micros, SocketAddr)>,
    heard: Heard,
}

/// What a member adds to the sum: the parts of others say nothing of it, so that none hides another.
fn part(who: &Identity) -> u64 {
    let mut hasher = Xxh3::new();
    match who.address.ip() {
        IpAddr::V4(ip) => hasher.update(&ip.octets()),
        IpAddr::V6(ip) => hasher.update(&ip.octets()),
    }
    hasher.update(&who.address.port().to_be_bytes());
    hasher.update(&who.incarnation.to_be_bytes());
    hasher.digest()
}

fn name(who: &Identity) -> (u64, SocketAddr) {
    (xxh3_64(who.name.as_bytes()), who.address)
}

impl MemberTable {
    /// A member stands so from now on. True if that is new.
    pub(crate) fn set(&mut self, now: Micros, who: &Identity, standing: MemberStatus) -> bool {
        let old = self.members.get(&who.address);
        if old.is_some_and(|old| old.identity == *who && old.status == standing) {
            return false;
        }
        self.take(who.address);
        if standing.is_live() {
            self.sum = self.sum.wrapping_add(part(who));
            self.ranges.add(who.address, part(who));
            self.there += 1;
            self.sure += usize::from(standing == MemberStatus::Alive);
        } else {
            self.heard.forget(who.address);
            self.gone.push_back((now, who.address));
        }
        self.names.insert(name(who));
        self.members
            .insert(who.address, MemberRecord { identity: who.clone(), status: standing, since: now });
        self.changed = now;
        true
    }

    /// Takes what is known of an address out.
    fn take(&mut self, address: SocketAddr) {
        let Some(old) = self.members.remove(&address) else { return };
        self.names.remove(&name(&old.identity));
        if old.status.is_live() {
            self.sum = self.sum.wrapping_sub(part(&old.identity));
            self.ranges.take(address, part(&old.identity));
            self.there -= 1;
            self.sure -= usize::from(old.status == MemberStatus::Alive);
        }
    }

    /// Forgets those that went long ago, and what the others told too long ago.
    pub(crate) fn tidy(&mut self, now: Micros) {
        while let Some((since, address)) = self.gone.front().copied().filter(|(at, _)| now >= at + REMEMBERED)
        {
            self.gone.pop_front();
            // Unless it has come back since.
            if self.members.get(&address).is_some_and(|s| s.since == since && !s.status.is_live()) {
                self.take(address);
            }
        }
        self.heard.tidy(now);
    }

    /// A member told the digest of its view.
    pub(crate) fn heard(&mut self, now: Micros, from: SocketAddr, digest: u32) {
        if self.get(from).is_some_and(|seen| seen.status.is_live()) {
            self.heard.told(now, from, digest);
        }
    }

    /// This process itself is part of the digest.
    pub(crate) fn own(&mut self, own: &Identity) {
        let part = part(own);
        self.sum = self.sum.wrapping_sub(self.own).wrapping_add(part);
        self.ranges.shift(place(own.address), part.wrapping_sub(self.own));
        self.own = part;
    }

    /// All members that are told of, by their addresses.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values()
    }

    /// The member at an address.
    pub fn get(&self, address: SocketAddr) -> Option<&MemberRecord> {
        self.members.get(&address)
    }

    /// Another that is present and has the same name.
    pub(crate) fn namesake(&self, who: &Identity) -> Option<SocketAddr> {
        let (hash, own) = name(who);
        let lowest = SocketAddr::from(([0, 0, 0, 0], 0));
        let alike = self.names.range((hash, lowest)..).take_while(|(other, _)| *other == hash);
        let same = |seen: &&MemberRecord| {
            seen.status == MemberStatus::Alive
                && seen.identity.name == who.name
                && seen.identity.address != own
        };
        alike.filter_map(|(_, address)| self.get(*address)).find(same).map(|seen| seen.identity.address)
    }

    /// Those that are there, this process included.
    pub fn size(&self) -> usize {
        1 + self.there
    }

    /// Those that are there and not suspected, this process included.
    pub fn unsuspected_count(&self) -> usize {
        1 + self.sure
    }

    /// A number that is the same for those who hold the same members to be there.
    pub fn digest(&self) -> u32 {
        (self.sum >> 32) as u32
    }

    /// How long it has been as it is, in microseconds.
    pub fn age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.changed)
    }

    /// One that is there and has told another digest since this view last changed: the last to do so.
    pub(crate) fn dissenter(&self, now: Micros) -> Option<&Identity> {
        let since = (self.changed + SPREAD).max(now.saturating_sub(DISSENT));
        let other = self.heard.other(self.digest(), since)?;
        self.get(other).map(|seen| &seen.identity)
    }

    /// One that is there and told another digest lately, whether or not this view has changed since.
    pub(crate) fn other(&self, now: Micros) -> Option<SocketAddr> {
        self.heard.other(self.digest(), now.saturating_sub(DISSENT))
    }

    pub(crate) fn ranges(&self) -> &Ranges {
        &self.ranges
    }

    /// One that is there and was heard lately, by a random number; none if that one went since.
    pub(crate) fn someone(&self, random: u64) -> Option<SocketAddr> {
        let someone = self.heard.someone(random)?;
        self.get(someone).filter(|seen| seen.status.is_live()).map(|seen| seen.identity.address)
    }

    /// Share of the others that lately told the digest that is held here, of those that told any; 1 if none
    /// did.
    pub fn agreement_ratio(&self, now: Micros) -> f64 {
        let (same, all) = self.heard.agree(now, self.digest());
        if all == 0 {
            return 1.0;
        }
        same as f64 / all as f64
    }
}
