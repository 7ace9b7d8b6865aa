//! The memory limit of bodies, and each body's reservation within it.

#[cfg(test)]
mod tests;

use crate::memory_accounts::{ConnectionMemory, MemoryAccounts, STREAMED_BODY_KIB};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

/// Maximum size of a request or response body that is buffered completely.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a connection's own buffer.
pub const MAX_CONNECTION_BUFFER_BYTES: usize = 32 * 1024;
/// A body of up to this size needs no reservation: it uses no more memory than is counted for its connection.
const MAX_UNRESERVED_BODY_BYTES: usize = 4 * 1024;
/// See [`STREAMED_BODY_KIB`].
pub const STREAMED_BODY_BYTES: usize = STREAMED_BODY_KIB * BYTES_PER_KIB;
/// Memory that optional reservations leave to connections that may still come, provided that a third of the
/// memory remains for bodies: what was read ahead is returned only as its clients take it.
const OTHER_MEMORY_KIB: usize = 20 * KIB_PER_MB;
/// Size of the buffer in which a body of this size is collected: a growing buffer doubles.
pub fn buffer_bytes(size_bytes: usize) -> usize {
    size_bytes.next_power_of_two()
}

/// Optional reservations leave `1 / BODY_RESERVE_DIVISOR` of the memory free for uploads, buffered bodies and
/// responses that begin.
const BODY_RESERVE_DIVISOR: usize = 6;
/// Speculative read-ahead leaves another `1 / SPECULATION_RESERVE_DIVISOR` of the remaining body memory free
/// for bytes that are certainly needed.
const SPECULATION_RESERVE_DIVISOR: usize = 2;
/// The limit allows at least this number of streamed bodies, each with a beginning that fills the buffer.
const MIN_STREAMED_BODIES: usize = 4;
const MIN_BODY_KIB: usize =
    MIN_STREAMED_BODIES * (MAX_BUFFERED_BODY_BYTES + STREAMED_BODY_BYTES) / BYTES_PER_KIB;
const BYTES_PER_KIB: usize = 1024;
const KIB_PER_MB: usize = 1024;

/// The memory that bodies may reserve, in units of 1 KiB.
#[derive(Debug)]
pub struct MemoryLimit {
    accounts: Rc<MemoryAccounts>,
    /// See [`BODY_RESERVE_DIVISOR`].
    body_reserve_kib: usize,
    /// Memory that incomplete heads hold or wait for.
    pub(super) incomplete_heads_kib: Cell<usize>,
    is_handing_over: Cell<bool>,
}

/// A body's reservation of memory, returned when dropped.
#[derive(Debug, Default)]
pub struct MemoryReservation {
    kib: usize,
    accounts: Option<Rc<MemoryAccounts>>,
    /// Another process has handed these bytes over.
    is_handed_over: bool,
}

impl MemoryReservation {
    fn grow(&mut self, kib: u32, accounts: &Rc<MemoryAccounts>) {
        accounts.record_reserved(kib as usize);
        self.kib += kib as usize;
        self.accounts = Some(Rc::clone(accounts));
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        match &self.accounts {
            Some(accounts) if self.is_handed_over => accounts.release_handed_over(self.kib),
            Some(accounts) => accounts.release(self.kib),
            None => {}
        }
    }
}

impl MemoryLimit {
    /// The memory of a process that may use `memory_mb` in total.
    pub fn new(memory_mb: usize) -> Rc<Self> {
        let memory_kib = memory_mb * KIB_PER_MB;
        Rc::new(MemoryLimit {
            accounts: MemoryAccounts::new(memory_kib, MIN_BODY_KIB),
            body_reserve_kib: memory_kib / BODY_RESERVE_DIVISOR,
            incomplete_heads_kib: Cell::default(),
            is_handing_over: Cell::default(),
        })
    }

    /// Sets the memory that the process may use.
    pub fn set_limit(&self, limit_kib: usize) {
        self.accounts.set_limit(limit_kib);
    }

    /// Records how much memory the process uses, and how much it uses at least without a connection.
    pub fn record_resident(&self, resident_kib: usize, min_base_kib: usize) {
        self.accounts.record_resident(resident_kib, min_base_kib);
    }

    /// See [`MemoryAccounts::body_memory_kib`].
    pub(super) fn body_memory_kib(&self) -> usize {
        self.accounts.body_memory_kib()
    }

    /// See [`MemoryAccounts::used_kib`].
    pub fn used_kib(&self) -> usize {
        self.accounts.used_kib()
    }

    /// Counts the memory of a connection to an endpoint.
    pub fn connection(&self) -> ConnectionMemory {
        ConnectionMemory::of_endpoint_connection(&self.accounts)
    }

    /// Counts the memory of a client that is served.
    pub fn client(&self) -> ConnectionMemory {
        ConnectionMemory::of_client(&self.accounts)
    }

    /// Counts the memory of a client whose request will be rejected.
    pub fn rejected_client(&self) -> ConnectionMemory {
        ConnectionMemory::of_rejected_client(&self.accounts)
    }

    /// See [`MemoryAccounts::has_memory_for_client`].
    pub fn has_memory_for_client(&self) -> bool {
        self.accounts.has_memory_for_client()
    }

    /// See [`MemoryAccounts::has_memory_for_rejected_client`].
    pub fn has_memory_for_rejected_client(&self) -> bool {
        self.accounts.has_memory_for_rejected_client()
    }

    /// See [`MemoryAccounts::has_memory_for_endpoint_connection`].
    pub fn has_memory_for_endpoint_connection(&self) -> bool {
        self.accounts.has_memory_for_endpoint_connection()
    }

    /// See [`MemoryAccounts::set_expected_client_count`].
    pub fn set_expected_client_count(&self, count: usize) {
        self.accounts.set_expected_client_count(count);
    }

    /// The memory that optional reservations leave to bodies; see [`BODY_RESERVE_DIVISOR`] and
    /// [`OTHER_MEMORY_KIB`].
    fn optional_reserve_kib(&self) -> usize {
        let body_memory_kib = self.accounts.body_memory_kib();
        let limit_kib = self.accounts.limit_kib();
        let max_optional_kib = limit_kib.saturating_sub(OTHER_MEMORY_KIB).max(limit_kib / 3);
        let unavailable_kib = body_memory_kib.saturating_sub(max_optional_kib);
        self.body_reserve_kib + unavailable_kib
    }

    /// The part of the memory of bodies that the expected clients need who are yet to come, with half of the body
    /// reserve for the bodies that are buffered beside theirs.
    fn expected_clients_kib(&self) -> usize {
        let expected_kib = self.accounts.body_memory_kib() - self.accounts.unexpected_body_memory_kib();
        expected_kib + self.body_reserve_kib / 2
    }

    /// See [`SPECULATION_RESERVE_DIVISOR`].
    fn speculation_reserve_kib(&self) -> usize {
        let optional_kib = self.accounts.body_memory_kib().saturating_sub(self.optional_reserve_kib());
        optional_kib / SPECULATION_RESERVE_DIVISOR
    }

    /// The memory that is not reserved.
    pub fn available_bytes(&self) -> usize {
        self.accounts.available_kib.available_permits() * BYTES_PER_KIB
    }

    /// Resolves once memory has been returned after this call. The available memory may still not suffice
    /// then.
    pub fn returned(&self) -> impl Future<Output = ()> + '_ {
        self.accounts.returned.notified()
    }

    /// Whether a body of this size uses no more memory than its connection does anyway.
    pub fn needs_no_reservation(size_bytes: usize) -> bool {
        size_bytes <= MAX_UNRESERVED_BODY_BYTES
    }

    /// Number of KiB by which a reservation must grow for a body of this size.
    fn missing_kib(reservation: &MemoryReservation, size_bytes: usize) -> u32 {
        if MemoryLimit::needs_no_reservation(size_bytes) {
            return 0;
        }
        let kib = size_bytes.div_ceil(BYTES_PER_KIB).saturating_sub(reservation.kib);
        u32::try_from(kib).unwrap_or(u32::MAX)
    }

    fn try_grow(&self, reservation: &mut MemoryReservation, kib: u32) -> bool {
        let Ok(permit) = self.accounts.available_kib.try_acquire_many(kib) else { return false };
        permit.forget();
        reservation.grow(kib, &self.accounts);
        true
    }

    /// Grows a reservation to fit a body of this size. False if the memory does not suffice.
    pub fn try_reserve(&self, reservation: &mut MemoryReservation, size_bytes: usize) -> bool {
        self.try_grow(reservation, MemoryLimit::missing_kib(reservation, size_bytes))
    }

    /// Grows a reservation to fit `size_bytes` that have arrived and wait to be processed. False if the
    /// memory does not suffice.
    pub fn try_reserve_unread(&self, reservation: &mut MemoryReservation, size_bytes: usize) -> bool {
        let reserved_bytes = size_bytes.saturating_sub(MAX_UNRESERVED_BODY_BYTES);
        let kib = reserved_bytes.div_ceil(BYTES_PER_KIB).saturating_sub(reservation.kib) as u32;
        self.try_grow(reservation, kib)
    }

    /// Grows a reservation by `additional_bytes` that no body needs to make progress. False if that would
    /// leave less than the body reserve (see [`BODY_RESERVE_DIVISOR`]), or less than the expected clients need.
    pub fn try_reserve_optional(&self, reservation: &mut MemoryReservation, additional_bytes: usize) -> bool {
        let reserve_kib = self.optional_reserve_kib().max(self.expected_clients_kib());
        self.try_reserve_beyond(reserve_kib, reservation, additional_bytes)
    }

    /// Like [`Self::try_reserve_optional`], for bytes that are lost unless they are read soon: does not leave memory
    /// to clients that may never come.
    pub fn try_reserve_urgent(&self, reservation: &mut MemoryReservation, additional_bytes: usize) -> bool {
        self.try_reserve_beyond(self.optional_reserve_kib(), reservation, additional_bytes)
    }

    /// Grows a reservation to fit a body of this size if half of the memory of bodies remains available: a body that
    /// can be streamed instead must not keep responses waiting.
    pub fn try_reserve_half(&self, reservation: &mut MemoryReservation, size_bytes: usize) -> bool {
        let kib = MemoryLimit::missing_kib(reservation, size_bytes);
        let reserve_kib = self.accounts.body_memory_kib() / 2;
        self.accounts.available_kib.available_permits() >= reserve_kib + kib as usize
            && self.try_grow(reservation, kib)
    }

    /// Like [`Self::try_reserve_optional`], for bytes that may never be needed: also leaves the speculation
    /// reserve; see [`SPECULATION_RESERVE_DIVISOR`].
    pub fn try_reserve_speculative(
        &self,
        reservation: &mut MemoryReservation,
        additional_bytes: usize,
    ) -> bool {
        let reserve_kib = self.optional_reserve_kib() + self.speculation_reserve_kib();
        let reserve_kib = reserve_kib.max(self.expected_clients_kib());
        self.try_reserve_beyond(reserve_kib, reservation, additional_bytes)
    }

    /// Like [`Self::try_reserve_optional`], for bytes that complete a response, so that their memory is
    /// returned soon: leaves only half of the body reserve.
    pub fn try_reserve_completing(
        &self,
        reservation: &mut MemoryReservation,
        additional_bytes: usize,
    ) -> bool {
        let reserve_kib = self.optional_reserve_kib() - self.body_reserve_kib / 2;
        self.try_reserve_beyond(reserve_kib, reservation, additional_bytes)
    }

    /// Grows a reservation by `additional_bytes` if at least `reserve_kib` remain available afterwards.
    fn try_reserve_beyond(
        &self,
        reserve_kib: usize,
        reservation: &mut MemoryReservation,
        additional_bytes: usize,
    ) -> bool {
        let additional_kib = additional_bytes.div_ceil(BYTES_PER_KIB);
        self.accounts.available_kib.available_permits() >= reserve_kib.saturating_add(additional_kib)
            && self.try_grow(reservation, additional_kib as u32)
    }

    /// Reserves memory for bytes that another process hands over, which returns as much: beside the memory of bodies, as
    /// these bytes are a block of their own. `None` if both processes together would exceed the limit meanwhile.
    pub fn try_take_over(&self, size_bytes: usize) -> Option<MemoryReservation> {
        let kib = size_bytes.div_ceil(BYTES_PER_KIB);
        if !self.accounts.try_take_over(kib) {
            return None;
        }
        Some(MemoryReservation { kib, accounts: Some(Rc::clone(&self.accounts)), is_handed_over: true })
    }

    /// See [`MemoryAccounts::left_for_handover_kib`].
    pub fn left_for_handover_bytes(&self) -> usize {
        self.accounts.left_for_handover_kib() * BYTES_PER_KIB
    }

    /// See [`MemoryAccounts::set_handover_limit`].
    pub fn set_handover_limit(&self, limit_kib: usize) {
        self.accounts.set_handover_limit(limit_kib);
    }

    /// Records that this process hands its responses over, and needs hardly more memory than it uses.
    pub fn begin_handover(&self) {
        self.is_handing_over.set(true);
    }

    /// See [`Self::begin_handover`].
    pub fn is_handing_over(&self) -> bool {
        self.is_handing_over.get()
    }

    /// Grows a reservation to fit a body of this size, waiting until the memory suffices.
    pub async fn reserve(&self, reservation: &mut MemoryReservation, size_bytes: usize) {
        let kib = MemoryLimit::missing_kib(reservation, size_bytes);
        if let Ok(permit) = self.accounts.available_kib.acquire_many(kib).await {
            permit.forget();
            reservation.grow(kib, &self.accounts);
        }
    }
}
