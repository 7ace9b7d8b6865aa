//! Queue of deadlines by key.

use crate::ids::Micros;
use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// Keys ordered by their deadlines; each key has at most one deadline.
#[derive(Debug)]
pub(crate) struct TimerQueue<K> {
    queue: BTreeSet<(Micros, K)>,
    deadlines: HashMap<K, Micros>,
}

impl<K> Default for TimerQueue<K> {
    fn default() -> Self {
        TimerQueue { queue: BTreeSet::new(), deadlines: HashMap::new() }
    }
}

impl<K: Copy + Hash + Ord> TimerQueue<K> {
    /// Sets a key's deadline in microseconds; `None` cancels it.
    pub(crate) fn set(&mut self, key: K, deadline: Option<Micros>) {
        let previous = match deadline {
            Some(at) => self.deadlines.insert(key, at),
            None => self.deadlines.remove(&key),
        };
        if previous == deadline {
            return;
        }
        if let Some(at) = previous {
            self.queue.remove(&(at, key));
        }
        if let Some(at) = deadline {
            self.queue.insert((at, key));
        }
    }

    /// The earliest deadline.
    pub(crate) fn next_deadline(&self) -> Option<Micros> {
        self.queue.first().map(|&(at, _)| at)
    }

    /// Removes and returns the key with the earliest deadline if that deadline has been reached.
    pub(crate) fn pop_expired(&mut self, now: Micros) -> Option<K> {
        let &(at, key) = self.queue.first().filter(|&&(at, _)| at <= now)?;
        self.queue.remove(&(at, key));
        self.deadlines.remove(&key);
        Some(key)
    }
}
