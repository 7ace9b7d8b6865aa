//! What the others told of their views of late, counted as it comes and as it grows old.

use crate::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// What another said of its view counts for so long.
const HEARD: Micros = 10_000_000;

/// The digests that were told lately, each member's last.
#[derive(Clone, Debug, Default)]
pub(crate) struct Heard {
    /// What each told last, and when.
    last: BTreeMap<SocketAddr, (u32, Micros)>,
    /// All that was told of late, in its order; what was told anew since is no longer in `last`.
    queue: VecDeque<(Micros, SocketAddr)>,
    /// How many told which digest last.
    counts: BTreeMap<u32, usize>,
}

impl Heard {
    /// A member told the digest of its view.
    pub(crate) fn told(&mut self, now: Micros, from: SocketAddr, digest: u32) {
        self.forget(from);
        self.last.insert(from, (digest, now));
        *self.counts.entry(digest).or_default() += 1;
        self.queue.push_back((now, from));
        self.tidy(now);
    }

    /// A member is not there any more, or tells anew.
    pub(crate) fn forget(&mut self, from: SocketAddr) {
        let Some((digest, _)) = self.last.remove(&from) else { return };
        if let Some(count) = self.counts.get_mut(&digest) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&digest);
            }
        }
    }

    /// Forgets what is too old.
    pub(crate) fn tidy(&mut self, now: Micros) {
        while let Some((at, from)) = self.queue.front().copied().filter(|(at, _)| at + HEARD < now) {
            self.queue.pop_front();
            if self.is_last(at, from) {
                self.forget(from);
            }
        }
    }

    fn is_last(&self, at: Micros, from: SocketAddr) -> bool {
        self.last.get(&from).is_some_and(|(_, last)| *last == at)
    }

    /// The last since a moment to tell another digest.
    pub(crate) fn other(&self, digest: u32, since: Micros) -> Option<SocketAddr> {
        let lately = self.queue.iter().rev().take_while(|(at, _)| *at >= since);
        let differs = |at: Micros, from: SocketAddr| {
            self.last.get(&from).is_some_and(|(told, last)| *last == at && *told != digest)
        };
        lately.copied().find(|(at, from)| differs(*at, *from)).map(|(_, from)| from)
    }

    /// One who told lately, by a random number.
    pub(crate) fn someone(&self, random: u64) -> Option<SocketAddr> {
        let number = random.checked_rem(self.queue.len() as u64)? as usize;
        self.queue.get(number).map(|(_, from)| *from)
    }

    /// How many lately told this digest, and how many told any.
    pub(crate) fn agree(&self, now: Micros, digest: u32) -> (usize, usize) {
        // What has grown old since it was last tidied.
        let old = self.queue.iter().take_while(|(at, _)| at + HEARD < now);
        let old = old.filter(|(at, from)| self.is_last(*at, *from));
        let old: Vec<u32> = old.filter_map(|(_, from)| self.last.get(from)).map(|(told, _)| *told).collect();
        let same = self.counts.get(&digest).copied().unwrap_or(0);
        (same - old.iter().filter(|told| **told == digest).count(), self.last.len() - old.len())
    }
}
