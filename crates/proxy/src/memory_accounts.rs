//! Counts the memory of a process: bodies reserve theirs from what connections and everything else leave.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{Notify, Semaphore};

/// Memory of one connection, in KiB: the buffers of the HTTP parser, 16 KiB to read and 8 KiB to write, and the state
/// of the connection.
pub const CONNECTION_KIB: usize = 28;
/// Memory of a request that is being read or served, in KiB, besides its body: its head, of up to 4 KiB, and its state.
const REQUEST_KIB: usize = 6;
/// Memory of a client, in KiB: its connection and a request.
pub const CLIENT_KIB: usize = CONNECTION_KIB + REQUEST_KIB;
/// Memory of a body that is streamed, in KiB, besides its beginning and what is counted for its connections: of the
/// four chunks of 8 KiB between two sockets, what does not fit into the buffers of the connections.
pub const STREAMED_BODY_KIB: usize = 12;
/// Memory of the first chunk of a body that is about to be streamed, in KiB.
const FIRST_CHUNK_KIB: usize = 8;
/// So many clients are accepted whatever everything else uses.
const MIN_CLIENTS: usize = 16;
/// Memory is always left to so many connections to endpoints: bodies that hold memory wait for one of them.
const MIN_ENDPOINT_CONNECTIONS: usize = 64;
/// Upper bound on the share of bodies in the memory of a process: the amount of freed memory that the allocator
/// cannot reuse grows with this share.
const MAX_BODY_MEMORY_PERCENT: usize = 60;
/// The share of the memory that the allocator takes for the gaps between blocks.
const ALLOCATOR_OVERHEAD_PERCENT: usize = 6;
const PERCENT: usize = 100;

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
    /// Clients that are served.
    client_count: Cell<usize>,
    /// Clients whose requests are rejected.
    rejected_client_count: Cell<usize>,
    /// Connections to endpoints.
    endpoint_connection_count: Cell<usize>,
    /// Clients for which memory stays free of what is optional, whether or not they are there.
    expected_client_count: Cell<usize>,
    /// Memory that bodies have reserved.
    reserved_kib: Cell<usize>,
    /// Memory of bytes that another process has handed over, beside the memory of bodies.
    handed_over_kib: Cell<usize>,
    /// What handed-over bytes may raise the memory of this process to: all that the other process leaves.
    handover_limit_kib: Cell<usize>,
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
            client_count: Cell::new(0),
            rejected_client_count: Cell::new(0),
            endpoint_connection_count: Cell::new(0),
            expected_client_count: Cell::new(0),
            reserved_kib: Cell::new(0),
            handed_over_kib: Cell::new(0),
            handover_limit_kib: Cell::new(limit_kib),
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
        let max_kib = percent_of(self.limit_kib.get(), MAX_BODY_MEMORY_PERCENT).min(Semaphore::MAX_PERMITS);
        self.beyond_connections_kib().min(max_kib).max(self.min_body_kib)
    }

    /// The memory that remains besides connections and everything else that is counted.
    fn beyond_connections_kib(&self) -> usize {
        let limit_kib = self.limit_kib.get();
        let overhead_kib = percent_of(limit_kib, ALLOCATOR_OVERHEAD_PERCENT);
        let other_kib = self.base_kib.get() + self.connections_kib() + self.handed_over_kib.get();
        limit_kib.saturating_sub(other_kib + overhead_kib)
    }

    /// The memory of all connections, and of those to endpoints that may always be opened while clients are there.
    fn connections_kib(&self) -> usize {
        let client_count = self.client_count.get();
        let min_endpoint_connections = client_count.min(MIN_ENDPOINT_CONNECTIONS);
        let endpoint_connections = self.endpoint_connection_count.get().max(min_endpoint_connections);
        (client_count + self.rejected_client_count.get()) * CLIENT_KIB + endpoint_connections * CONNECTION_KIB
    }

    /// The memory that nothing uses.
    fn free_kib(&self) -> usize {
        self.beyond_connections_kib().saturating_sub(self.reserved_kib.get())
    }

    /// The memory that is in use or has been granted, with the allocator's overhead.
    pub fn used_kib(&self) -> usize {
        let counted_kib = self.base_kib.get() + self.granted_kib();
        counted_kib * PERCENT / (PERCENT - ALLOCATOR_OVERHEAD_PERCENT)
    }

    /// The memory that has been granted to connections, bodies and handed-over bytes.
    fn granted_kib(&self) -> usize {
        self.connections_kib() + self.reserved_kib.get() + self.handed_over_kib.get()
    }

    /// Sets what handed-over bytes may raise the memory of this process to.
    pub fn set_handover_limit(&self, limit_kib: usize) {
        self.handover_limit_kib.set(limit_kib);
    }

    /// How much another process may hand over, so that both together stay within the limit while both hold it.
    pub fn left_for_handover_kib(&self) -> usize {
        self.handover_limit_kib.get().saturating_sub(self.used_kib())
    }

    /// Counts bytes that another process hands over. False if less is left for them; see
    /// [`Self::left_for_handover_kib`].
    pub fn try_take_over(&self, kib: usize) -> bool {
        let fits = kib <= self.left_for_handover_kib();
        if fits {
            self.update(|| self.handed_over_kib.set(self.handed_over_kib.get() + kib));
        }
        fits
    }

    /// Returns the memory of handed-over bytes.
    pub fn release_handed_over(&self, kib: usize) {
        self.update(|| self.handed_over_kib.set(self.handed_over_kib.get() - kib));
    }

    /// Whether another client can be served within the limit, with a connection to an endpoint.
    pub fn has_memory_for_client(&self) -> bool {
        self.client_count.get() < MIN_CLIENTS || self.free_kib() >= CLIENT_KIB + CONNECTION_KIB
    }

    /// Whether another client can be accepted within the limit, if only to reject its request.
    pub fn has_memory_for_rejected_client(&self) -> bool {
        self.has_memory_for_client() || self.free_kib() >= CLIENT_KIB
    }

    /// Whether another connection to an endpoint can be opened within the limit.
    pub fn has_memory_for_endpoint_connection(&self) -> bool {
        let included_count = self.client_count.get().min(MIN_ENDPOINT_CONNECTIONS);
        self.endpoint_connection_count.get() < included_count || self.free_kib() >= CONNECTION_KIB
    }

    /// Sets for how many clients memory stays free of what is optional.
    pub fn set_expected_client_count(&self, count: usize) {
        self.expected_client_count.set(count);
    }

    /// The part of the memory of bodies that the expected clients do not need, who may yet come and may yet need a
    /// connection to an endpoint and a streamed body each.
    pub fn unexpected_body_memory_kib(&self) -> usize {
        let expected_count = self.expected_client_count.get();
        let absent_clients = expected_count.saturating_sub(self.client_count.get());
        let absent_connections = expected_count.saturating_sub(self.endpoint_connection_count.get());
        let exchange_kib = CONNECTION_KIB + STREAMED_BODY_KIB + FIRST_CHUNK_KIB;
        let expected_kib = absent_clients * CLIENT_KIB + absent_connections * exchange_kib;
        self.body_memory_kib().min(self.beyond_connections_kib().saturating_sub(expected_kib))
    }

    fn count_of(&self, kind: ConnectionKind) -> &Cell<usize> {
        match kind {
            ConnectionKind::Client => &self.client_count,
            ConnectionKind::RejectedClient => &self.rejected_client_count,
            ConnectionKind::Endpoint => &self.endpoint_connection_count,
        }
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
        let base_kib = resident_kib.saturating_sub(self.granted_kib()).max(min_base_kib);
        self.update(|| self.base_kib.set(base_kib));
    }
}

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionKind {
    Client,
    RejectedClient,
    Endpoint,
}

/// Counts the memory of a connection until it is dropped.
#[derive(Debug)]
pub struct ConnectionMemory {
    accounts: Rc<MemoryAccounts>,
    kind: ConnectionKind,
}

impl ConnectionMemory {
    /// For a client that is served.
    pub fn of_client(accounts: &Rc<MemoryAccounts>) -> Self {
        ConnectionMemory::new(accounts, ConnectionKind::Client)
    }

    /// For a client whose request will be rejected.
    pub fn of_rejected_client(accounts: &Rc<MemoryAccounts>) -> Self {
        ConnectionMemory::new(accounts, ConnectionKind::RejectedClient)
    }

    /// For a connection to an endpoint.
    pub fn of_endpoint_connection(accounts: &Rc<MemoryAccounts>) -> Self {
        ConnectionMemory::new(accounts, ConnectionKind::Endpoint)
    }

    fn new(accounts: &Rc<MemoryAccounts>, kind: ConnectionKind) -> Self {
        let count = accounts.count_of(kind);
        accounts.update(|| count.set(count.get() + 1));
        ConnectionMemory { accounts: Rc::clone(accounts), kind }
    }
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        let count = self.accounts.count_of(self.kind);
        self.accounts.update(|| count.set(count.get() - 1));
    }
}

fn percent_of(kib: usize, percent: usize) -> usize {
    kib * percent / PERCENT
}
