//! What one process holds of the others.

use crate::{Identity, Micros};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::Xxh3;

/// What another said of its view counts for so long.
const HEARD: Micros = 10_000_000;
/// News need so long to go round; who differs within it will know soon by itself.
const SPREAD: Micros = 300_000;
/// Who told another digest longer ago may have changed its mind.
const DISSENT: Micros = 2_000_000;
/// A member that has left or died is told of for so long.
const REMEMBERED: Micros = 600_000_000;

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It is there.
    Present,
    /// It is silent, and may refute that.
    Suspected,
    /// It said that it leaves.
    Left,
    /// It was silent for too long.
    Dead,
}

impl Standing {
    /// It counts as there.
    pub fn is_there(self) -> bool {
        matches!(self, Standing::Present | Standing::Suspected)
    }
}

/// A member as it is seen from here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// Who it is.
    pub who: Identity,
    /// How it stands.
    pub standing: Standing,
    /// Since when.
    pub since: Micros,
    /// The digest of its view, and when it told it.
    heard: Option<(u32, Micros)>,
}

/// All members but this process itself.
#[derive(Clone, Debug, Default)]
pub struct View {
    members: BTreeMap<SocketAddr, Seen>,
    /// When it last changed.
    changed: Micros,
    digest: u32,
    /// What the digest was made of has changed since.
    stale: bool,
    own: Option<u64>,
}

impl View {
    /// A member stands so from now on. True if that is new.
    pub(crate) fn set(&mut self, now: Micros, who: &Identity, standing: Standing) -> bool {
        let old = self.members.get(&who.address);
        if old.is_some_and(|old| old.who == *who && old.standing == standing) {
            return false;
        }
        let heard = old.and_then(|old| old.heard);
        self.members.insert(who.address, Seen { who: who.clone(), standing, since: now, heard });
        (self.changed, self.stale) = (now, true);
        true
    }

    /// Forgets those that went long ago.
    pub(crate) fn tidy(&mut self, now: Micros) {
        self.members.retain(|_, seen| seen.standing.is_there() || now < seen.since + REMEMBERED);
    }

    /// A member told the digest of its view.
    pub(crate) fn heard(&mut self, now: Micros, from: SocketAddr, digest: u32) {
        if let Some(seen) = self.members.get_mut(&from) {
            seen.heard = Some((digest, now));
        }
    }

    /// Makes the digest anew, of those that are there and of this process itself, if one has changed.
    pub(crate) fn sum(&mut self, own: &Identity) {
        if !self.stale && self.own == Some(own.life) {
            return;
        }
        (self.stale, self.own) = (false, Some(own.life));
        let there = self.members.values().filter(|seen| seen.standing.is_there()).map(|seen| &seen.who);
        let mut all: Vec<(SocketAddr, u64)> = there.chain([own]).map(|who| (who.address, who.life)).collect();
        all.sort_unstable();
        let mut hasher = Xxh3::new();
        for (address, life) in all {
            hasher.update(address.to_string().as_bytes());
            hasher.update(&life.to_be_bytes());
        }
        self.digest = hasher.digest() as u32;
    }

    /// All members that are told of, by their addresses.
    pub fn members(&self) -> impl Iterator<Item = &Seen> {
        self.members.values()
    }

    /// The member at an address.
    pub fn get(&self, address: SocketAddr) -> Option<&Seen> {
        self.members.get(&address)
    }

    /// Those that are there, this process included.
    pub fn size(&self) -> usize {
        1 + self.members.values().filter(|seen| seen.standing.is_there()).count()
    }

    /// Those that are there and not suspected, this process included.
    pub fn sure(&self) -> usize {
        1 + self.members.values().filter(|seen| seen.standing == Standing::Present).count()
    }

    /// A number that is the same for those who hold the same members to be there.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// How long it has been as it is, in microseconds.
    pub fn age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.changed)
    }

    /// One that is there and has told another digest since this view last changed: the last to do so.
    pub(crate) fn dissenter(&self, now: Micros) -> Option<&Identity> {
        let there = self.members.values().filter(|seen| seen.standing.is_there());
        let lately = there.filter_map(|seen| Some((seen.heard?, &seen.who)));
        let since = (self.changed + SPREAD).max(now.saturating_sub(DISSENT));
        let others = lately.filter(|((digest, at), _)| *digest != self.digest && *at >= since);
        others.max_by_key(|((_, at), _)| *at).map(|(_, who)| who)
    }

    /// Share of the others that lately told the digest that is held here, of those that told any; 1 if none did.
    pub fn agreement(&self, now: Micros) -> f64 {
        let there = self.members.values().filter(|seen| seen.standing.is_there());
        let lately = there.filter_map(|seen| seen.heard).filter(|(_, at)| now <= at + HEARD);
        let (all, same) = lately
            .fold((0, 0), |(all, same), (digest, _)| (all + 1, same + usize::from(digest == self.digest)));
        if all == 0 {
            return 1.0;
        }
        same as f64 / all as f64
    }
}
