//! Counts open sockets, so that the process stays below its descriptor limit instead of failing when it is
//! reached.

#[cfg(test)]
mod tests;

use crate::memory_accounts::ConnectionMemory;
use std::cell::Cell;
use std::rc::Rc;

/// The limit on open sockets, and their current number.
#[derive(Debug)]
pub struct Descriptors {
    limit: Cell<usize>,
    /// The limit does not include handed-over sockets.
    excludes_handed_over: Cell<bool>,
    open: Cell<usize>,
    /// Open sockets that another process of this proxy has handed over.
    handed_over: Cell<usize>,
}

/// A guard that counts one socket as open until it is dropped.
#[derive(Debug)]
pub struct Descriptor {
    descriptors: Rc<Descriptors>,
    is_handed_over: bool,
}

impl Descriptors {
    /// A counter that allows `limit` open sockets.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Descriptors {
            limit: Cell::new(limit),
            excludes_handed_over: Cell::default(),
            open: Cell::default(),
            handed_over: Cell::default(),
        })
    }

    /// Changes the limit. Sockets open beyond it stay open.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
        self.excludes_handed_over.set(false);
    }

    /// Changes the limit to this number beside the sockets that the other process hands over: it no longer holds them, so
    /// that both together hold as many as before.
    pub fn set_limit_beside_handed_over(&self, limit: usize) {
        self.limit.set(limit);
        self.excludes_handed_over.set(true);
    }

    fn limit(&self) -> usize {
        let handed_over = if self.excludes_handed_over.get() { self.handed_over.get() } else { 0 };
        self.limit.get() + handed_over
    }

    /// The number of open sockets.
    pub fn open_count(&self) -> usize {
        self.open.get()
    }

    /// The number of open sockets beyond the limit.
    pub fn excess(&self) -> usize {
        self.open.get().saturating_sub(self.limit())
    }

    /// Counts one more socket. `None` if the limit is reached.
    pub fn try_acquire(self: &Rc<Self>) -> Option<Descriptor> {
        if self.open.get() >= self.limit() {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(Descriptor { descriptors: Rc::clone(self), is_handed_over: false })
    }

    /// Counts a socket that another process hands over, whatever the limit.
    pub fn acquire_handed_over(self: &Rc<Self>) -> Descriptor {
        self.open.set(self.open.get() + 1);
        self.handed_over.set(self.handed_over.get() + 1);
        Descriptor { descriptors: Rc::clone(self), is_handed_over: true }
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        let Descriptors { open, handed_over, .. } = &*self.descriptors;
        open.set(open.get() - 1);
        if self.is_handed_over {
            handed_over.set(handed_over.get() - 1);
        }
    }
}

/// The descriptors and the memory that a connection to an endpoint occupies while it is open.
#[derive(Debug)]
pub struct ConnectionDescriptors {
    _process: Descriptor,
    _endpoint: Option<Descriptor>,
    _memory: Option<ConnectionMemory>,
}

impl ConnectionDescriptors {
    /// For a connection opened by this process: counted for the process and for the endpoint.
    pub fn new(process: Descriptor, endpoint: Descriptor, memory: ConnectionMemory) -> Self {
        ConnectionDescriptors { _process: process, _endpoint: Some(endpoint), _memory: Some(memory) }
    }

    /// For a connection opened by another process: counted for this process only.
    pub fn of_handed_over(process: Descriptor) -> Self {
        ConnectionDescriptors { _process: process, _endpoint: None, _memory: None }
    }
}
