//! The memory that bodies may take, and each body's reservation of it.

#[cfg(test)]
mod tests;

use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// Most bytes of a body that is buffered completely, either way.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Most bytes that a connection's own buffer takes.
pub const MAX_CONNECTION_BUFFER_BYTES: usize = 32 * 1024;
/// A body up to this costs no more than its connection does anyway.
const MAX_UNRESERVED_BODY_BYTES: usize = 16 * 1024;
/// What a streamed body takes at a time: a buffer on either side and the chunk between.
const STREAMED_BODY_BYTES: usize = MAX_BUFFERED_BODY_BYTES + 3 * MAX_CONNECTION_BUFFER_BYTES;
/// A process alone leaves so much to all but bodies, above all to the buffers of its connections, if that leaves a third of the
/// memory to bodies.
const OTHER_MEMORY_MB: usize = 20;
/// ... and at most this part of the memory to bodies: what the allocator cannot reuse of freed memory grows with it.
const MAX_BODY_MEMORY_FIFTHS: usize = 3;
const FIFTHS: usize = 5;
/// This part of the memory is left to uploads, buffered bodies and responses that begin, whatever else takes the memory of
/// bodies.
const BODY_RESERVE_DIVISOR: usize = 6;
/// This part of what remains is left besides to what certainly needs it, when read-ahead takes what may never be needed.
const SPECULATION_RESERVE_DIVISOR: usize = 2;
/// The limit allows at least so many streamed bodies.
const MIN_STREAMED_BODIES: usize = 4;
const BYTES_PER_KIB: usize = 1024;
const KIB_PER_MB: usize = 1024;

/// Who takes memory under the limit of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUsers {
    /// This process.
    OneProcess,
    /// This process and, in a hot restart, another one beside it. Each needs some memory for itself.
    TwoProcesses,
}

impl MemoryUsers {
    /// What the bodies of one process may take of so much memory.
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

/// The memory that bodies may take, in units of 1 KiB.
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

/// A body's part of the memory, returned when dropped.
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
    /// The bodies' part of `memory_mb` in all.
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

    /// Resolves when memory has been returned since this call. What is available then may not suffice.
    pub fn returned(&self) -> impl Future<Output = ()> + '_ {
        self.returned.notified()
    }

    /// Does a body of this size cost no more than its connection does anyway?
    pub fn needs_no_reservation(size_bytes: usize) -> bool {
        size_bytes <= MAX_UNRESERVED_BODY_BYTES
    }

    /// By how many KiB a reservation must grow for a body of this size.
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

    /// Makes a reservation large enough for a body of this size. False if the memory does not suffice.
    pub fn try_reserve(&self, reservation: &mut MemoryReservation, size_bytes: usize) -> bool {
        self.try_grow(reservation, MemoryLimit::missing_kib(reservation, size_bytes))
    }

    /// Makes a reservation large enough for so many bytes that wait to be read. False if the memory does not suffice.
    pub fn try_reserve_unread(&self, reservation: &mut MemoryReservation, size_bytes: usize) -> bool {
        let reserved_bytes = size_bytes.saturating_sub(MAX_UNRESERVED_BODY_BYTES);
        let kib = reserved_bytes.div_ceil(BYTES_PER_KIB).saturating_sub(reservation.kib) as u32;
        self.try_grow(reservation, kib)
    }

    /// Makes a reservation larger by so many bytes that no body needs to make progress. False if less than
    /// [`BODY_RESERVE_DIVISOR`] says would be left to bodies.
    pub fn try_reserve_optional(&self, reservation: &mut MemoryReservation, additional_bytes: usize) -> bool {
        self.try_reserve_beyond(self.body_reserve_kib, reservation, additional_bytes)
    }

    /// The same for bytes that may never be needed. False also if less than [`SPECULATION_RESERVE_DIVISOR`] says would be left to
    /// what certainly needs it.
    pub fn try_reserve_speculative(
        &self,
        reservation: &mut MemoryReservation,
        additional_bytes: usize,
    ) -> bool {
        let reserve_kib = self.body_reserve_kib + self.speculation_reserve_kib;
        self.try_reserve_beyond(reserve_kib, reservation, additional_bytes)
    }

    /// The same for bytes that complete something, so that their memory returns soon. Leaves half of what
    /// [`BODY_RESERVE_DIVISOR`] says.
    pub fn try_reserve_completing(
        &self,
        reservation: &mut MemoryReservation,
        additional_bytes: usize,
    ) -> bool {
        self.try_reserve_beyond(self.body_reserve_kib / 2, reservation, additional_bytes)
    }

    /// Makes a reservation larger by so many bytes if this reserve is left then.
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

    /// Makes a reservation large enough for a body of this size, waiting until the memory suffices.
    pub async fn reserve(&self, reservation: &mut MemoryReservation, size_bytes: usize) {
        let kib = MemoryLimit::missing_kib(reservation, size_bytes);
        if let Ok(permit) = Arc::clone(&self.available_kib).acquire_many_owned(kib).await {
            reservation.grow(kib, permit, &self.returned);
        }
    }
}
