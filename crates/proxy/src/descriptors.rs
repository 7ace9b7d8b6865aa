//! Counts the sockets that are open, so that the process stays below its limit instead of failing at it.

use std::cell::Cell;
use std::rc::Rc;

/// How many sockets may be open, and how many are.
#[derive(Debug)]
pub struct Descriptors {
    limit: Cell<usize>,
    open: Cell<usize>,
}

/// One counted socket, until it is dropped.
#[derive(Debug)]
pub struct Descriptor(Rc<Descriptors>);

impl Descriptors {
    /// Allows `limit` sockets.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Descriptors { limit: Cell::new(limit), open: Cell::new(0) })
    }

    /// Changes the limit; what is open beyond it stays open.
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

    /// Counts one more, unless the limit is reached.
    pub fn try_acquire(self: &Rc<Self>) -> Option<Descriptor> {
        if self.open.get() >= self.limit.get() {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(Descriptor(Rc::clone(self)))
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// The descriptors that a connection to an endpoint occupies while it is open.
#[derive(Debug)]
pub struct ConnectionDescriptors {
    _process: Descriptor,
    _endpoint: Option<Descriptor>,
}

impl ConnectionDescriptors {
    /// Of one descriptor among all sockets of the process and one among the connections to its endpoint.
    pub fn new(process: Descriptor, endpoint: Descriptor) -> Self {
        ConnectionDescriptors { _process: process, _endpoint: Some(endpoint) }
    }

    /// Of one descriptor among all sockets of the process, for a connection that another process has opened.
    pub fn of_handed_over(process: Descriptor) -> Self {
        ConnectionDescriptors { _process: process, _endpoint: None }
    }
}
