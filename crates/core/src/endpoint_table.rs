//! Table of endpoint records in slots. An endpoint keeps its slot index until it is removed.

use crate::ids::EndpointId;
use std::collections::HashMap;
use std::ops::{Index, IndexMut};

#[cfg(test)]
mod tests;

/// Records by endpoint id and slot index. Lookups and updates take constant time; free slots contain the
/// default record.
#[derive(Debug)]
pub(crate) struct EndpointTable<T> {
    records: Vec<T>,
    free_slots: Vec<usize>,
    slots: HashMap<EndpointId, usize>,
}

impl<T> Default for EndpointTable<T> {
    fn default() -> Self {
        EndpointTable { records: Vec::new(), free_slots: Vec::new(), slots: HashMap::new() }
    }
}

impl<T: Default> EndpointTable<T> {
    pub(crate) fn slot(&self, id: EndpointId) -> Option<usize> {
        self.slots.get(&id).copied()
    }

    /// The slot of an endpoint; allocates one if the endpoint has none.
    pub(crate) fn slot_or_insert(&mut self, id: EndpointId) -> usize {
        *self.slots.entry(id).or_insert_with(|| {
            self.free_slots.pop().unwrap_or_else(|| {
                self.records.push(T::default());
                self.records.len() - 1
            })
        })
    }

    /// Frees a slot if it belongs to this endpoint.
    pub(crate) fn remove(&mut self, id: EndpointId, slot: usize) {
        if self.slot(id) == Some(slot) {
            self.slots.remove(&id);
            self.records[slot] = T::default();
            self.free_slots.push(slot);
        }
    }

    /// Number of slots, free ones included.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// All records, the defaults in free slots included.
    pub(crate) fn iter(&self) -> std::slice::Iter<'_, T> {
        self.records.iter()
    }
}

impl<T> Index<usize> for EndpointTable<T> {
    type Output = T;

    fn index(&self, slot: usize) -> &T {
        &self.records[slot]
    }
}

impl<T> IndexMut<usize> for EndpointTable<T> {
    fn index_mut(&mut self, slot: usize) -> &mut T {
        &mut self.records[slot]
    }
}
