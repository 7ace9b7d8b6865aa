//! Anti-entropy within a scope: who holds another view than somebody else sends the digests of its ranges, and
//! is given the members of those that differ, in their order, so that a view comes whole and not by lot.

use crate::view::MemberTable;
use crate::{Identity, Micros};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An answer takes so many datagrams at the most; who lacks more asks again.
const GIVES: usize = 2;
/// Bytes of content of a datagram, and what a give and a member in it take beside that and its texts.
const CONTENT: usize = 1_380;
const HEAD: usize = 36;
const MEMBER: usize = 16;
/// Who lacks many asks this often, ...
const PACE: Micros = 200_000;
/// ... until none came for so long.
const PATIENCE: Micros = 2_000_000;
/// So many members that come with one datagram are more than single news.
const MANY: usize = 3;
/// Every so many a time a feed is asked for in place of ranges, as who runs an older release gives no ranges.
const FEED: u32 = 3;

/// What members say to each other.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Sync {
    /// Asks for members where digests differ, from a place on.
    Ask { from: SocketAddr, place: u64, digests: Vec<[u8; 4]> },
    /// Some members, and the place from which on there are more.
    Give { from: SocketAddr, place: u64, members: Vec<Identity> },
}

impl Sync {
    pub(crate) fn read(content: &[u8]) -> Option<Sync> {
        postcard::from_bytes(content).ok()
    }

    pub(crate) fn write(&self) -> Option<Vec<u8>> {
        // It can only fail to encode, which is tried again.
        postcard::to_allocvec(self).ok()
    }

    pub(crate) fn from(&self) -> SocketAddr {
        match self {
            Sync::Ask { from, .. } | Sync::Give { from, .. } => *from,
        }
    }
}

/// What a process remembers between two exchanges.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Exchange {
    /// Where the next answer begins.
    place: u64,
    turn: u32,
    /// It lacks many, and asks for them then, ...
    pub(crate) again: Micros,
    /// ... up to this.
    until: Micros,
}

impl Default for Exchange {
    fn default() -> Self {
        Exchange { place: 0, turn: 0, again: Micros::MAX, until: 0 }
    }
}

impl Exchange {
    /// So many came with one datagram.
    pub(crate) fn came(&mut self, now: Micros, members: usize) {
        if members >= MANY {
            (self.again, self.until) = (self.again.min(now + PACE), now + PATIENCE);
        }
    }

    /// Whether it asks now as it lacks many. What is asked or given may be lost, or have no room.
    pub(crate) fn is_due(&mut self, now: Micros) -> bool {
        let due = now >= self.again;
        if due {
            self.again = if now < self.until { now + PACE } else { Micros::MAX };
        }
        due
    }

    /// What somebody with another view is asked; None: for a feed.
    pub(crate) fn ask(&mut self, own: SocketAddr, view: &MemberTable, present: usize) -> Option<Sync> {
        self.turn = self.turn.wrapping_add(1);
        let digests = view.ranges().digests(view.size().max(present));
        (!self.turn.is_multiple_of(FEED)).then_some(Sync::Ask { from: own, place: self.place, digests })
    }

    /// An answer ended there.
    pub(crate) fn given(&mut self, place: u64) {
        self.place = place;
    }
}

/// The answer to who lacks, or holds too many, members of some ranges; None: there cannot be such ranges.
pub(crate) fn give(
    own: SocketAddr,
    view: &MemberTable,
    place: u64,
    digests: &[[u8; 4]],
) -> Option<Vec<Sync>> {
    let mut differing = view.ranges().differing(digests, place)?.peekable();
    let mut gives = Vec::new();
    while gives.len() < GIVES && differing.peek().is_some() {
        let (mut members, mut room) = (Vec::new(), CONTENT - HEAD);
        while let Some((_, address)) = differing.peek() {
            let who = view.get(*address).map(|seen| &seen.identity);
            let size = who.map_or(0, size);
            if size > room {
                break;
            }
            room -= size;
            members.extend(who.cloned());
            differing.next();
        }
        let place = differing.peek().map_or(0, |(place, _)| *place);
        gives.push(Sync::Give { from: own, place, members });
    }
    Some(gives)
}

/// Bytes of a member at the most.
fn size(who: &Identity) -> usize {
    let address = if who.address.is_ipv4() { 8 } else { 20 };
    MEMBER + address + who.name.len() + who.release.len() + who.zone.len()
}
