//! Counts the sockets that are open, so that the process stays under its limit instead of finding it.

use std::cell::Cell;
use std::rc::Rc;

/// How many sockets may be open, and how many are.
#[derive(Debug)]
pub struct Descriptors {
    limit: Cell<usize>,
    open: Cell<usize>,
}

/// One counted socket; dropping it counts it out.
#[derive(Debug)]
pub struct Descriptor(Rc<Descriptors>);

impl Descriptors {
    /// Room for `limit` sockets.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Descriptors { limit: Cell::new(limit), open: Cell::new(0) })
    }

    /// Another limit from now on; what is open beyond it stays.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// How many are open.
    pub fn open_count(&self) -> usize {
        self.open.get()
    }

    /// How many are open beyond the limit.
    pub fn excess(&self) -> usize {
        self.open.get().saturating_sub(self.limit.get())
    }

    /// Counts one more in, if there is room.
    pub fn try_acquire(self: &Rc<Self>) -> Option<Descriptor> {
        (self.open.get() < self.limit.get()).then(|| {
            self.open.set(self.open.get() + 1);
            Descriptor(Rc::clone(self))
        })
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}
