//! What will happen, in the order of its time; things of one time in the order in which they were put in.

use oakport_core::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Things that are to happen at a moment.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Item<E>>>,
    serial: u64,
    now: Micros,
}

#[derive(Debug)]
struct Item<E> {
    at: Micros,
    serial: u64,
    event: E,
}

impl<E> Item<E> {
    fn key(&self) -> (Micros, u64) {
        (self.at, self.serial)
    }
}

impl<E> PartialEq for Item<E> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<E> Eq for Item<E> {}

impl<E> PartialOrd for Item<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Item<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

impl<E> EventQueue<E> {
    /// Empty, at this moment.
    pub fn new(now: Micros) -> Self {
        EventQueue { heap: BinaryHeap::new(), serial: 0, now }
    }

    /// The moment of what was taken last.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Puts in what happens at `at`, or now if that has passed.
    pub fn schedule_at(&mut self, at: Micros, what: E) {
        self.serial += 1;
        self.heap.push(Reverse(Item { at: at.max(self.now), serial: self.serial, event: what }));
    }

    /// The same, so long from now.
    pub fn schedule_after(&mut self, after: Micros, what: E) {
        self.schedule_at(self.now.saturating_add(after), what);
    }

    /// Takes the next thing, and moves on to its moment.
    pub fn pop(&mut self) -> Option<E> {
        let Reverse(item) = self.heap.pop()?;
        self.now = item.at;
        Some(item.event)
    }

    /// How many things have been put in so far.
    pub fn scheduled_count(&self) -> u64 {
        self.serial
    }
}
