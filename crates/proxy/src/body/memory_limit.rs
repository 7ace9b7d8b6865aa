//! The memory limit of bodies, and each body's reservation within it.

#[cfg(test)]
mod tests;

use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// Maximum size of a request or response body that is buffered completely.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a connection's own buffer.
pub const MAX_CONNECTION_BUFFER_BYTES: usize = 32 * 1024;
/// A body of up to this size needs no reservation: it uses no more memory than its connection does anyway.
const MAX_UNRESERVED_BODY_BYTES: usize = 16 * 1024;
/// Memory in use for a streamed body at any moment: a buffer on either side and the chunk between them.
const STREAMED_BODY_BYTES: usize = MAX_BUFFERED_BODY_BYTES + 3 * MAX_CONNECTION_BUFFER_BYTES;
/// Memory that a single process leaves to everything but bodies, mainly to the buffers of its connections,
/// provided that a third of the memory remains for bodies.
const OTHER_MEMORY_MB: usize = 20;
/// Upper bound on the share of bodies in the memory of a single process, in fifths: the amount of freed
/// memory that the allocator cannot reuse grows with this share.
const MAX_BODY_MEMORY_FIFTHS: usize = 3;
const FIFTHS: usize = 5;
/// Optional reservations leave `1 / BODY_RESERVE_DIVISOR` of the memory free for uploads, buffered bodies and
/// responses that begin.
const BODY_RESERVE_DIVISOR: usize = 6;
/// Speculative read-ahead leaves another `1 / SPECULATION_RESERVE_DIVISOR` of the remaining body memory free
/// for bytes that are certainly needed.
const SPECULATION_RESERVE_DIVISOR: usize = 2;
/// The limit allows at least this number of streamed bodies.
const MIN_STREAMED_BODIES: usize = 4;
const BYTES_PER_KIB: usize = 1024;
const KIB_PER_MB: usize = 1024;

/// The processes that share the platform's memory limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUsers {
    /// This process.
    OneProcess,
    /// This process and, during a hot restart, another one. Each also needs memory for everything but bodies.
    TwoProcesses,
}

impl MemoryUsers {
    /// Memory for the bodies of one process, out of `memory_kib`.
    fn body_memory_kib(self, memory_kib: usize) -> usize {
        let third_kib = memory_kib / 3;
        match self {
            MemoryUsers::OneProcess => {
                let remaining_kib = memory_kib.saturating_sub(OTHER_MEMORY_MB * KIB_PER_MB);
                remaining_kib.clamp(third_kib, memory_kib * MAX_BODY_MEMORY_FIFTHS / FIFTHS)
            }
            MemoryUsers::TwoProcesses => third_kib,
        }
    }
}

/// The memory that bodies may reserve, in units of 1 KiB.
#[derive(Debug)]
pub struct MemoryLimit {
    available_kib: Arc<Semaphore>,
    /// Notified when a reservation has been returned.
    returned: Rc<Notify>,
    /// See [`BODY_RESERVE_DIVISOR`].
    body_reserve_kib: usize,
    /// See [`SPECULATION_RESERVE_DIVISOR`].
    speculation_reserve_kib: usize,
}

/// A body's reservation of memory, returned when dropped.
#[derive(Debug, Default)]
pub struct MemoryReservation {
    permits: Vec<OwnedSemaphorePermit>,
    kib: usize,
    /// See [`MemoryLimit::returned`].
    returned: Option<Rc<Notify>>,
}

impl MemoryReservation {
    fn grow(&mut self, kib: u32, permit: OwnedSemaphorePermit, returned: &Rc<Notify>) {
        self.kib += kib as usize;
        self.permits.push(permit);
        self.returned = Some(Rc::clone(returned));
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.permits.clear();
        if let Some(returned) = &self.returned {
            returned.notify_waiters();
        }
    }
}

impl MemoryLimit {
    /// Limits bodies to their share of `memory_mb`, the memory of all `users` together.
    pub fn new(memory_mb: usize, users: MemoryUsers) -> Rc<Self> {
        let min_kib = MIN_STREAMED_BODIES * STREAMED_BODY_BYTES / BYTES_PER_KIB;
        let memory_kib = memory_mb * KIB_PER_MB;
        let total_kib = users.body_memory_kib(memory_kib).clamp(min_kib, Semaphore::MAX_PERMITS);
        let body_reserve_kib = memory_kib / BODY_RESERVE_DIVISOR;
        let optional_kib = total_kib.saturating_sub(body_reserve_kib);
        Rc::new(MemoryLimit {
            available_kib: Arc::new(Semaphore::new(total_kib)),
            returned: Rc::default(),
            body_reserve_kib,
            speculation_reserve_kib: optional_kib / SPECULATION_RESERVE_DIVISOR,
        })
    }

    /// The memory that is not reserved.
    pub fn available_bytes(&self) -> usize {
        self.available_kib.available_permits() * BYTES_PER_KIB
    }

    /// Resolves once memory has been returned after this call. The available memory may still not suffice
    /// then.
    pub fn returned(&self) -> impl Future<Output = ()> + '_ {
        self.returned.notified()
    }

    /// Whether a body of this size uses no more memory than its connection does anyway.
    pub fn needs_no_reservation(size_bytes: usize) -> bool {
        size_bytes <= MAX_UNRESERVED_BODY_BYTES
    }

    /// Number of KiB by which a reservation must grow for a body of this size.
    fn missing_kib(reservation: &MemoryReservation, size_bytes: usize) -> u32 {
        let size_bytes = if size_bytes > MAX_BUFFERED_BODY_BYTES { STREAMED_BODY_BYTES } else { size_bytes };
        if MemoryLimit::needs_no_reservation(size_bytes) {
            return 0;
        }
        size_bytes.div_ceil(BYTES_PER_KIB).saturating_sub(reservation.kib) as u32
    }

    fn try_grow(&self, reservation: &mut MemoryReservation, kib: u32) -> bool {
        let Ok(permit) = Arc::clone(&self.available_kib).try_acquire_many_owned(kib) else { return false };
        reservation.grow(kib, permit, &self.returned);
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
    /// leave less than the body reserve; see [`BODY_RESERVE_DIVISOR`].
    pub fn try_reserve_optional(&self, reservation: &mut MemoryReservation, additional_bytes: usize) -> bool {
        self.try_reserve_beyond(self.body_reserve_kib, reservation, additional_bytes)
    }

    /// Like [`Self::try_reserve_optional`], for bytes that may never be needed: also leaves the speculation
    /// reserve; see [`SPECULATION_RESERVE_DIVISOR`].
    pub fn try_reserve_speculative(
        &self,
        reservation: &mut MemoryReservation,
        additional_bytes: usize,
    ) -> bool {
        let reserve_kib = self.body_reserve_kib + self.speculation_reserve_kib;
        self.try_reserve_beyond(reserve_kib, reservation, additional_bytes)
    }

    /// Like [`Self::try_reserve_optional`], for bytes that complete a response, so that their memory is
    /// returned soon: leaves only half of the body reserve.
    pub fn try_reserve_completing(
        &self,
        reservation: &mut MemoryReservation,
        additional_bytes: usize,
    ) -> bool {
        self.try_reserve_beyond(self.body_reserve_kib / 2, reservation, additional_bytes)
    }

    /// Grows a reservation by `additional_bytes` if at least `reserve_kib` remain available afterwards.
    fn try_reserve_beyond(
        &self,
        reserve_kib: usize,
        reservation: &mut MemoryReservation,
        additional_bytes: usize,
    ) -> bool {
        let additional_kib = additional_bytes.div_ceil(BYTES_PER_KIB);
        self.available_kib.available_permits() >= reserve_kib.saturating_add(additional_kib)
            && self.try_grow(reservation, additional_kib as u32)
    }

    /// Grows a reservation to fit a body of this size, waiting until the memory suffices.
    pub async fn reserve(&self, reservation: &mut MemoryReservation, size_bytes: usize) {
        let kib = MemoryLimit::missing_kib(reservation, size_bytes);
        if let Ok(permit) = Arc::clone(&self.available_kib).acquire_many_owned(kib).await {
            reservation.grow(kib, permit, &self.returned);
        }
    }
}
