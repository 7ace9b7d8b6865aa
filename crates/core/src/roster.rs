//! Servers by their numbers, each at a place that it keeps. It files them and decides nothing.

use crate::ids::EndpointId;
use std::collections::HashMap;
use std::ops::{Index, IndexMut};

/// Records at places; a change of the list costs what changed, however many there are. A free place holds the default.
#[derive(Debug)]
pub(crate) struct Roster<T> {
    records: Vec<T>,
    free: Vec<usize>,
    places: HashMap<EndpointId, usize>,
}

impl<T> Default for Roster<T> {
    fn default() -> Self {
        Roster { records: Vec::new(), free: Vec::new(), places: HashMap::new() }
    }
}

impl<T: Default> Roster<T> {
    pub(crate) fn place(&self, id: EndpointId) -> Option<usize> {
        self.places.get(&id).copied()
    }

    /// The place of this number, made if there is none.
    pub(crate) fn enter(&mut self, id: EndpointId) -> usize {
        *self.places.entry(id).or_insert_with(|| {
            self.free.pop().unwrap_or_else(|| {
                self.records.push(T::default());
                self.records.len() - 1
            })
        })
    }

    /// Frees a place, if it is still that of this number.
    pub(crate) fn leave(&mut self, id: EndpointId, place: usize) {
        if self.place(id) == Some(place) {
            self.places.remove(&id);
            self.records[place] = T::default();
            self.free.push(place);
        }
    }

    /// All places, free ones as well.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// All records, the defaults of free places among them.
    pub(crate) fn iter(&self) -> std::slice::Iter<'_, T> {
        self.records.iter()
    }
}

impl<T> Index<usize> for Roster<T> {
    type Output = T;

    fn index(&self, place: usize) -> &T {
        &self.records[place]
    }
}

impl<T> IndexMut<usize> for Roster<T> {
    fn index_mut(&mut self, place: usize) -> &mut T {
        &mut self.records[place]
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn places_are_kept_and_free_ones_are_used_again() {
        let mut roster: Roster<u32> = Roster::default();
        for id in 0..4 {
            let place = roster.enter(EndpointId(id));
            roster[place] = id + 10;
        }
        let kept = roster.place(EndpointId(3));
        let freed = roster.enter(EndpointId(1));
        roster.leave(EndpointId(1), freed);
        roster.leave(EndpointId(0), freed);
        assert_eq!((roster.place(EndpointId(1)), roster.place(EndpointId(3))), (None, kept));
        assert_eq!(roster.place(EndpointId(0)), Some(0), "a place that is not its own is not freed for it");
        let place = roster.enter(EndpointId(9));
        assert_eq!((roster.len(), roster[place]), (4, 0), "the free place, as new");
        assert_eq!(roster.enter(EndpointId(9)), place);
        assert_eq!(roster.iter().copied().collect::<Vec<_>>(), [10, 0, 12, 13]);
    }
}
