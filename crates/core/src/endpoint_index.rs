//! Sets of endpoints by status, updated whenever the status of an endpoint changes.

use crate::ids::Micros;
use crate::timer_queue::TimerQueue;
use crate::weighted_set::WeightedSet;
use std::collections::BTreeSet;

#[cfg(test)]
mod tests;

/// Status of an endpoint, from which its membership in the sets of the index follows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct EndpointStatus {
    pub(crate) listed: bool,
    /// Listed and ejected.
    pub(crate) ejected: bool,
    /// Ejected and due for a trial attempt that may re-admit the endpoint.
    pub(crate) readmission_due: bool,
    /// Listed and in slow start.
    pub(crate) warming_up: bool,
    /// Listed, past slow start, neither ejected nor in rejection backoff.
    pub(crate) available: bool,
    /// Available and below its in-flight budget.
    pub(crate) has_capacity: bool,
    /// Available, at its in-flight budget and due for a trial attempt that may raise the budget.
    pub(crate) growth_trial_due: bool,
    /// In this balancer's own zone.
    pub(crate) same_zone: bool,
    /// When the status changes without an event; `None` if it does not.
    pub(crate) valid_until: Option<Micros>,
}

/// Attributes by which the sets weight and rank an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct EndpointKey {
    pub(crate) size: f64,
    pub(crate) rank: u32,
    pub(crate) started_at: Micros,
}

/// The last recorded status and attributes of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct IndexEntry {
    status: EndpointStatus,
    key: EndpointKey,
}

/// A slot ordered by the rank of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RankedSlot {
    pub(crate) rank: u32,
    pub(crate) slot: usize,
}

/// A class whose calls fail at the endpoint in a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FailingClass {
    class_id: usize,
    slot: usize,
}

/// Sets of slots by the status of their endpoints; a change of status costs O(log n).
#[derive(Debug, Default)]
pub(crate) struct EndpointIndex {
    pub(crate) listed: WeightedSet,
    pub(crate) warming_up: WeightedSet,
    pub(crate) available: WeightedSet,
    pub(crate) with_capacity: WeightedSet,
    pub(crate) growth_trial_due: WeightedSet,
    pub(crate) readmission_due: BTreeSet<usize>,
    pub(crate) ejected_count: usize,
    /// Endpoints with capacity by rank; empty unless ranking is enabled.
    pub(crate) ranked: BTreeSet<RankedSlot>,
    /// The members of `ranked` in this balancer's own zone.
    pub(crate) ranked_same_zone: BTreeSet<RankedSlot>,
    failing_classes: BTreeSet<FailingClass>,
    ranking_enabled: bool,
    status_timers: TimerQueue<usize>,
    entries: Vec<IndexEntry>,
    /// Sum of size times start time, relative to `epoch`, over the endpoints in slow start.
    warming_up_start_sum: f64,
    /// Origin of the start times in the sum; it keeps them small, so that the sum stays exact.
    epoch: Micros,
}

impl EndpointIndex {
    /// Records the current status of the endpoint in this slot and updates the sets.
    pub(crate) fn update(&mut self, slot: usize, status: EndpointStatus, key: EndpointKey) {
        if slot >= self.entries.len() {
            self.entries.resize(slot + 1, IndexEntry::default());
        }
        let new = IndexEntry { status, key };
        let old = std::mem::replace(&mut self.entries[slot], new);
        if old.status.valid_until != status.valid_until {
            self.status_timers.set(slot, status.valid_until);
        }
        let old_status = EndpointStatus { valid_until: status.valid_until, ..old.status };
        if (IndexEntry { status: old_status, key: old.key }) == new {
            return;
        }
        self.update_sets(slot, &old, &new);
        if self.ranking_enabled {
            self.update_ranking(slot, &old, &new);
        }
        self.update_warming_up_start_sum(&old, &new);
    }

    fn update_sets(&mut self, slot: usize, old: &IndexEntry, new: &IndexEntry) {
        let weight = |member: bool| member.then_some(new.key.size);
        let status = &new.status;
        self.listed.set(slot, weight(status.listed));
        self.warming_up.set(slot, weight(status.warming_up));
        self.available.set(slot, weight(status.available));
        self.with_capacity.set(slot, weight(status.has_capacity));
        self.growth_trial_due.set(slot, weight(status.growth_trial_due));
        if old.status.ejected {
            self.ejected_count -= 1;
        }
        if status.ejected {
            self.ejected_count += 1;
        }
        if status.readmission_due {
            self.readmission_due.insert(slot);
        } else {
            self.readmission_due.remove(&slot);
        }
    }

    fn update_ranking(&mut self, slot: usize, old: &IndexEntry, new: &IndexEntry) {
        let old_rank = RankedSlot { rank: old.key.rank, slot };
        let new_rank = RankedSlot { rank: new.key.rank, slot };
        if old.status.has_capacity {
            self.ranked.remove(&old_rank);
        }
        if new.status.has_capacity {
            self.ranked.insert(new_rank);
        }
        if old.status.has_capacity && old.status.same_zone {
            self.ranked_same_zone.remove(&old_rank);
        }
        if new.status.has_capacity && new.status.same_zone {
            self.ranked_same_zone.insert(new_rank);
        }
    }

    fn update_warming_up_start_sum(&mut self, old: &IndexEntry, new: &IndexEntry) {
        if old.status.warming_up {
            self.warming_up_start_sum -= old.key.size * self.since_epoch(old.key.started_at);
        }
        if new.status.warming_up && !old.status.warming_up && self.warming_up.len() == 1 {
            // This is the only member: reset the sum to discard accumulated rounding errors.
            self.epoch = new.key.started_at;
            self.warming_up_start_sum = 0.0;
        }
        if new.status.warming_up {
            self.warming_up_start_sum += new.key.size * self.since_epoch(new.key.started_at);
        }
    }

    /// Records whether calls of a class fail at the endpoint in this slot.
    pub(crate) fn set_class_failing(&mut self, class_id: usize, slot: usize, failing: bool) {
        let key = FailingClass { class_id, slot };
        if failing {
            self.failing_classes.insert(key);
        } else {
            self.failing_classes.remove(&key);
        }
    }

    /// Clears the failing classes of a slot after its endpoint has restarted or been removed.
    pub(crate) fn clear_failing_classes<'a>(
        &mut self,
        slot: usize,
        class_ids: impl Iterator<Item = &'a usize>,
    ) {
        for &class_id in class_ids {
            self.set_class_failing(class_id, slot, false);
        }
    }

    /// Slots of the endpoints at which calls of a class fail.
    pub(crate) fn slots_failing_class(&self, class_id: usize) -> impl Iterator<Item = usize> + '_ {
        let first = FailingClass { class_id, slot: 0 };
        let last = FailingClass { class_id, slot: usize::MAX };
        self.failing_classes.range(first..=last).map(|failing| failing.slot)
    }

    /// Enables or disables the sets by rank, which make every change of an endpoint's capacity more
    /// expensive.
    pub(crate) fn enable_ranking(&mut self, enabled: bool) {
        if self.ranking_enabled == enabled {
            return;
        }
        self.ranking_enabled = enabled;
        self.ranked.clear();
        self.ranked_same_zone.clear();
        if !enabled {
            return;
        }
        for slot in 0..self.entries.len() {
            let entry = self.entries[slot];
            let unranked = IndexEntry { status: EndpointStatus::default(), key: entry.key };
            self.update_ranking(slot, &unranked, &entry);
        }
    }

    /// The last recorded status of the endpoint in this slot.
    #[cfg(test)]
    pub(crate) fn status(&self, slot: usize) -> EndpointStatus {
        self.entries.get(slot).map_or(EndpointStatus::default(), |entry| entry.status)
    }

    /// Removes and returns a slot whose recorded status is outdated since its `valid_until` has passed.
    pub(crate) fn pop_expired_status(&mut self, now: Micros) -> Option<usize> {
        let slot = self.status_timers.pop_expired(now)?;
        self.entries[slot].status.valid_until = None;
        Some(slot)
    }

    /// When the next recorded status expires.
    pub(crate) fn next_status_expiry(&self) -> Option<Micros> {
        self.status_timers.next_deadline()
    }

    /// Sum of size times age, in microseconds, over the endpoints in slow start.
    pub(crate) fn warming_up_age_sum_us(&self, now: Micros) -> f64 {
        (self.warming_up.total() * self.since_epoch(now) - self.warming_up_start_sum).max(0.0)
    }

    /// Microseconds since `epoch`; negative for times before it.
    fn since_epoch(&self, at: Micros) -> f64 {
        at.wrapping_sub(self.epoch) as i64 as f64
    }
}
