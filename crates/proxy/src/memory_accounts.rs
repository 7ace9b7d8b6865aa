//! Counts the memory of a process: bodies reserve theirs from what connections and everything else leave.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{Notify, Semaphore};

/// Memory of one connection, in KiB: the buffers of the HTTP parser, which hold 8 KiB each, and the state of the
/// connection.
pub const CONNECTION_KIB: usize = 28;
/// Memory of a request that is being read or served, in KiB, besides its body: its head, and a chunk
/// that the parser has read and the body has not taken yet.
const REQUEST_KIB: usize = 10;
/// Upper bound on the share of bodies in the memory of a process: the amount of freed memory that the allocator
/// cannot reuse grows with this share.
const MAX_BODY_MEMORY_PERCENT: usize = 60;
/// The share of the memory that the allocator takes for the gaps between blocks.
const ALLOCATOR_OVERHEAD_PERCENT: usize = 6;

/// The memory of a process, in units of 1 KiB.
#[derive(Debug)]
pub struct MemoryAccounts {
    /// The memory that bodies may reserve now.
    pub available_kib: Semaphore,
    /// Memory by which more is in use than allowed. Returned memory becomes available only beyond it.
    deficit_kib: Cell<usize>,
    /// Notified when memory has become available.
    pub returned: Notify,
    limit_kib: Cell<usize>,
    /// Memory of everything but connections and bodies.
    base_kib: Cell<usize>,
    /// Memory of connections and of the requests on them.
    connections_kib: Cell<usize>,
    /// Memory that bodies have reserved.
    reserved_kib: Cell<usize>,
    /// Memory that bodies get, whatever everything else uses: without any, no request could proceed.
    min_body_kib: usize,
}

impl MemoryAccounts {
    /// For a process that may use `limit_kib`, of which bodies always get `min_body_kib`.
    pub fn new(limit_kib: usize, min_body_kib: usize) -> Rc<Self> {
        let accounts = MemoryAccounts {
            available_kib: Semaphore::new(0),
            deficit_kib: Cell::new(0),
            returned: Notify::new(),
            limit_kib: Cell::new(limit_kib),
            base_kib: Cell::new(0),
            connections_kib: Cell::new(0),
            reserved_kib: Cell::new(0),
            min_body_kib,
        };
        accounts.give(accounts.body_memory_kib());
        Rc::new(accounts)
    }

    /// The memory that the process may use.
    pub fn limit_kib(&self) -> usize {
        self.limit_kib.get()
    }

    /// The memory that all bodies together may use.
    pub fn body_memory_kib(&self) -> usize {
        let limit_kib = self.limit_kib.get();
        let overhead_kib = percent_of(limit_kib, ALLOCATOR_OVERHEAD_PERCENT);
        let other_kib = self.base_kib.get() + self.connections_kib.get() + overhead_kib;
        let remaining_kib = limit_kib.saturating_sub(other_kib);
        let max_kib = percent_of(limit_kib, MAX_BODY_MEMORY_PERCENT).min(Semaphore::MAX_PERMITS);
        remaining_kib.min(max_kib).max(self.min_body_kib)
    }

    /// Changes what the memory of bodies depends on.
    fn update(&self, change: impl FnOnce()) {
        let before_kib = self.body_memory_kib();
        change();
        let after_kib = self.body_memory_kib();
        if after_kib > before_kib {
            self.give(after_kib - before_kib);
        } else {
            self.take(before_kib - after_kib);
        }
    }

    /// Makes memory unavailable, now or as soon as bodies return it.
    fn take(&self, kib: usize) {
        let taken_kib = self.available_kib.forget_permits(kib);
        self.deficit_kib.set(self.deficit_kib.get() + kib - taken_kib);
    }

    /// Makes memory available, as far as nothing is owed.
    fn give(&self, kib: usize) {
        let repaid_kib = kib.min(self.deficit_kib.get());
        self.deficit_kib.set(self.deficit_kib.get() - repaid_kib);
        self.available_kib.add_permits(kib - repaid_kib);
        self.returned.notify_waiters();
    }

    /// Counts memory that a body has taken from what is available.
    pub fn record_reserved(&self, kib: usize) {
        self.reserved_kib.set(self.reserved_kib.get() + kib);
    }

    /// Returns the memory of a body.
    pub fn release(&self, kib: usize) {
        self.reserved_kib.set(self.reserved_kib.get() - kib);
        self.give(kib);
    }

    /// Sets the memory that the process may use.
    pub fn set_limit(&self, limit_kib: usize) {
        self.update(|| self.limit_kib.set(limit_kib));
    }

    /// Counts what the process uses beyond connections and bodies, and at least `min_base_kib`, for everything
    /// else.
    pub fn record_resident(&self, resident_kib: usize, min_base_kib: usize) {
        let counted_kib = self.connections_kib.get() + self.reserved_kib.get();
        let base_kib = resident_kib.saturating_sub(counted_kib).max(min_base_kib);
        self.update(|| self.base_kib.set(base_kib));
    }
}

/// Counts the memory of a connection, or of a request on one, until it is dropped.
#[derive(Debug)]
pub struct ConnectionMemory {
    accounts: Rc<MemoryAccounts>,
    kib: usize,
}

impl ConnectionMemory {
    pub fn of_connection(accounts: &Rc<MemoryAccounts>) -> Self {
        ConnectionMemory::new(accounts, CONNECTION_KIB)
    }

    pub fn of_request(accounts: &Rc<MemoryAccounts>) -> Self {
        ConnectionMemory::new(accounts, REQUEST_KIB)
    }

    fn new(accounts: &Rc<MemoryAccounts>, kib: usize) -> Self {
        accounts.update(|| accounts.connections_kib.set(accounts.connections_kib.get() + kib));
        ConnectionMemory { accounts: Rc::clone(accounts), kib }
    }
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        let accounts = &self.accounts;
        accounts.update(|| accounts.connections_kib.set(accounts.connections_kib.get() - self.kib));
    }
}

fn percent_of(kib: usize, percent: usize) -> usize {
    kib * percent / 100
}
