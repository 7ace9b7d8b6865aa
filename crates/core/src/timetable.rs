//! When which thing is due. It orders moments and decides nothing.

use crate::ids::Micros;
use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// When which key is due; each has one time at the most.
#[derive(Debug)]
pub(crate) struct Timetable<K> {
    due: BTreeSet<(Micros, K)>,
    times: HashMap<K, Micros>,
}

impl<K> Default for Timetable<K> {
    fn default() -> Self {
        Timetable { due: BTreeSet::new(), times: HashMap::new() }
    }
}

impl<K: Copy + Hash + Ord> Timetable<K> {
    /// Sets a key's time, or takes it off.
    pub(crate) fn set(&mut self, key: K, at: Option<Micros>) {
        let old = match at {
            Some(at) => self.times.insert(key, at),
            None => self.times.remove(&key),
        };
        if old == at {
            return;
        }
        if let Some(old) = old {
            self.due.remove(&(old, key));
        }
        if let Some(at) = at {
            self.due.insert((at, key));
        }
    }

    /// The earliest time.
    pub(crate) fn next(&self) -> Option<Micros> {
        self.due.first().map(|d| d.0)
    }

    /// Takes off a key that is due by now.
    pub(crate) fn pop(&mut self, now: Micros) -> Option<K> {
        let &(at, key) = self.due.first().filter(|d| d.0 <= now)?;
        self.due.remove(&(at, key));
        self.times.remove(&key);
        Some(key)
    }
}
