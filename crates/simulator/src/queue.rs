//! Event queue in order of time; events of the same time are processed in the order in which they were scheduled.

use oakport_core::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Queue of scheduled events with a virtual clock.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<ScheduledEvent<E>>>,
    serial: u64,
    now: Micros,
}

#[derive(Debug)]
struct ScheduledEvent<E> {
    at: Micros,
    serial: u64,
    event: E,
}

impl<E> ScheduledEvent<E> {
    fn key(&self) -> (Micros, u64) {
        (self.at, self.serial)
    }
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for ScheduledEvent<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

impl<E> EventQueue<E> {
    /// Creates an empty queue whose clock reads `now`.
    pub fn new(now: Micros) -> Self {
        EventQueue { heap: BinaryHeap::new(), serial: 0, now }
    }

    /// Time of the event removed last, or the start time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Schedules an event at `at`, or at the current time if `at` has passed.
    pub fn schedule_at(&mut self, at: Micros, event: E) {
        self.serial += 1;
        self.heap.push(Reverse(ScheduledEvent { at: at.max(self.now), serial: self.serial, event }));
    }

    /// Schedules an event `delay` microseconds from now.
    pub fn schedule_after(&mut self, delay: Micros, event: E) {
        self.schedule_at(self.now.saturating_add(delay), event);
    }

    /// Removes the next event and advances the clock to its time.
    pub fn pop(&mut self) -> Option<E> {
        let Reverse(item) = self.heap.pop()?;
        self.now = item.at;
        Some(item.event)
    }

    /// Number of events scheduled so far.
    pub fn scheduled_count(&self) -> u64 {
        self.serial
    }
}
