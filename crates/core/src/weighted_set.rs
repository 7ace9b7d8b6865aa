//! A set of slots with weights, from which members are sampled in proportion to their weights.

use rand::seq::SliceRandom;
use rand::Rng;

#[cfg(test)]
mod tests;

/// Units per weight of 1. Weights are stored as integers, so that sums stay exact after any number of
/// changes.
const UNITS_PER_WEIGHT: f64 = (1u64 << 20) as f64;
/// Weights outside these bounds are clamped.
const MIN_WEIGHT: f64 = 1.0 / UNITS_PER_WEIGHT;
const MAX_WEIGHT: f64 = UNITS_PER_WEIGHT;
/// Number of rejected samples after which all members are scanned.
const MAX_REJECTED_SAMPLES: usize = 32;

/// Slots with weights above 0, in a Fenwick tree: changing a weight and sampling cost O(log n).
#[derive(Debug, Default)]
pub(crate) struct WeightedSet {
    /// Weight in units by slot; 0 if the slot is not a member.
    units: Vec<u64>,
    /// The Fenwick tree over `units`; its length is a power of two.
    tree: Vec<u64>,
    total_units: u64,
    len: usize,
}

impl WeightedSet {
    /// Adds a slot or changes its weight; `None` removes the slot.
    pub(crate) fn set(&mut self, slot: usize, weight: Option<f64>) {
        let new = weight.map_or(0, |w| (w.clamp(MIN_WEIGHT, MAX_WEIGHT) * UNITS_PER_WEIGHT) as u64);
        if slot >= self.units.len() {
            if new == 0 {
                return;
            }
            self.grow(slot + 1);
        }
        let old = std::mem::replace(&mut self.units[slot], new);
        if old == new {
            return;
        }
        self.len = self.len + usize::from(new > 0) - usize::from(old > 0);
        self.total_units = self.total_units - old + new;
        let mut node = slot + 1;
        while node <= self.tree.len() {
            self.tree[node - 1] = self.tree[node - 1] - old + new;
            node += node & node.wrapping_neg();
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(crate) fn contains(&self, slot: usize) -> bool {
        self.units.get(slot).is_some_and(|&units| units > 0)
    }

    /// Sum of all weights.
    pub(crate) fn total(&self) -> f64 {
        self.total_units as f64 / UNITS_PER_WEIGHT
    }

    /// All members in the order of their slots.
    pub(crate) fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.units.iter().enumerate().filter(|(_, &units)| units > 0).map(|(slot, _)| slot)
    }

    /// Samples a member other than `excluded`, in proportion to its weight times its `acceptance`, a
    /// probability from 0 to 1.
    pub(crate) fn sample(
        &self,
        random: &mut impl Rng,
        excluded: Option<usize>,
        acceptance: impl Fn(usize) -> f64,
    ) -> Option<usize> {
        let excluded = excluded.filter(|&slot| self.contains(slot));
        let excluded_units = excluded.map_or(0, |slot| self.units[slot]);
        let excluded_from = excluded.map_or(self.total_units, |slot| self.units_before(slot));
        if self.total_units == excluded_units {
            return None;
        }
        for _ in 0..MAX_REJECTED_SAMPLES {
            let offset = random.gen_range(0..self.total_units - excluded_units);
            let skipped = if offset >= excluded_from { excluded_units } else { 0 };
            let slot = self.slot_at(offset + skipped);
            let probability = acceptance(slot);
            if probability >= 1.0 || probability > 0.0 && random.gen::<f64>() < probability {
                return Some(slot);
            }
        }
        self.sample_by_scan(random, excluded, acceptance)
    }

    /// Like [`sample`](Self::sample) but in O(n), for an `acceptance` that is low for most members.
    fn sample_by_scan(
        &self,
        random: &mut impl Rng,
        excluded: Option<usize>,
        acceptance: impl Fn(usize) -> f64,
    ) -> Option<usize> {
        let weight = |slot: usize| {
            if Some(slot) == excluded {
                0.0
            } else {
                self.units[slot] as f64 * acceptance(slot)
            }
        };
        let mut remaining = self.iter().map(weight).sum::<f64>() * random.gen::<f64>();
        let mut sampled = None;
        for slot in self.iter().filter(|&slot| weight(slot) > 0.0) {
            sampled = Some(slot);
            remaining -= weight(slot);
            if remaining < 0.0 {
                break;
            }
        }
        sampled
    }

    /// Samples two different `eligible` members, or fewer if there are fewer.
    pub(crate) fn sample_two(
        &self,
        random: &mut impl Rng,
        eligible: impl Fn(usize) -> bool,
    ) -> impl Iterator<Item = usize> {
        let acceptance = |slot: usize| if eligible(slot) { 1.0 } else { 0.0 };
        let first = self.sample(random, None, acceptance);
        let second = first.and_then(|_| self.sample(random, first, acceptance));
        first.into_iter().chain(second)
    }

    fn grow(&mut self, slot_count: usize) {
        let size = slot_count.next_power_of_two();
        self.units.resize(size, 0);
        let mut node = self.tree.len().max(1);
        self.tree.resize(size, 0);
        // The range of each new power-of-two node starts at slot 0, so it covers all present members.
        while node <= size {
            self.tree[node - 1] = self.total_units;
            node *= 2;
        }
    }

    /// Sum of the units of all slots before this one.
    fn units_before(&self, slot: usize) -> u64 {
        let mut node = slot;
        let mut sum = 0;
        while node > 0 {
            sum += self.tree[node - 1];
            node -= node & node.wrapping_neg();
        }
        sum
    }

    /// The member whose range contains `offset` when the units of all slots are concatenated.
    fn slot_at(&self, mut offset: u64) -> usize {
        let mut slot = 0;
        let mut step = self.tree.len();
        while step > 0 {
            if let Some(&sum) = self.tree.get(slot + step - 1).filter(|&&sum| sum <= offset) {
                offset -= sum;
                slot += step;
            }
            step /= 2;
        }
        slot
    }
}

/// Samples up to `max_slots` different slots, each in proportion to its weight.
pub(crate) fn sample_slots(
    random: &mut impl Rng,
    slots: &[usize],
    max_slots: usize,
    weight: impl Fn(usize) -> f64,
) -> Vec<usize> {
    let sampled = slots.choose_multiple_weighted(random, max_slots, |&slot| weight(slot));
    sampled.map(|slots| slots.copied().collect()).unwrap_or_default()
}
