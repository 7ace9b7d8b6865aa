//! The memory that bodies may hold, and each body's part of it.

use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Most bytes of a body that is held whole, either way.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Most bytes that a connection's own buffer takes.
pub const MAX_CONNECTION_BUFFER_BYTES: usize = 32 * 1024;
/// A body up to this costs no more than its connection does anyway.
const FREE: usize = 16 * 1024;
/// What a body that passes piece by piece holds at a time: a buffer on either side and the piece between.
const PASSING: usize = MAX_BUFFERED_BODY_BYTES + 3 * MAX_CONNECTION_BUFFER_BYTES;
/// Share of the memory that bodies may take: two processes may be there, and each needs some for itself.
const SHARE: usize = 3;
const KIB: usize = 1024;

/// The memory that bodies may hold.
#[derive(Debug)]
pub struct MemoryLimit(Arc<Semaphore>);

/// A body's part of it, given back when dropped.
#[derive(Debug, Default)]
pub struct MemoryReservation {
    held: Vec<OwnedSemaphorePermit>,
    kib: usize,
}

impl MemoryLimit {
    /// The bodies' share of so many MB.
    pub fn new(memory_mb: usize) -> Rc<Self> {
        let kib = (memory_mb * KIB / SHARE).clamp(4 * PASSING / KIB, Semaphore::MAX_PERMITS);
        Rc::new(MemoryLimit(Arc::new(Semaphore::new(kib))))
    }

    /// Does a body of this size cost no more than its connection does anyway?
    pub fn needs_no_reservation(size: usize) -> bool {
        size <= FREE
    }

    /// How much a part must grow for a body of this size.
    fn missing(part: &MemoryReservation, size: usize) -> u32 {
        let size = if size > MAX_BUFFERED_BODY_BYTES { PASSING } else { size };
        let kib = if MemoryLimit::needs_no_reservation(size) { 0 } else { size.div_ceil(KIB) };
        kib.saturating_sub(part.kib) as u32
    }

    fn grown(part: &mut MemoryReservation, kib: u32, permit: OwnedSemaphorePermit) {
        part.kib += kib as usize;
        part.held.push(permit);
    }

    /// Makes a part large enough for a body of this size, if there is room.
    pub fn try_reserve(&self, part: &mut MemoryReservation, size: usize) -> bool {
        let kib = MemoryLimit::missing(part, size);
        let permit = Arc::clone(&self.0).try_acquire_many_owned(kib);
        permit.map(|permit| MemoryLimit::grown(part, kib, permit)).is_ok()
    }

    /// Makes a part as large as so many bytes that wait to be read, if there is room.
    pub fn try_reserve_unread(&self, part: &mut MemoryReservation, bytes: usize) -> bool {
        let kib = bytes.saturating_sub(FREE).div_ceil(KIB).saturating_sub(part.kib) as u32;
        let permit = Arc::clone(&self.0).try_acquire_many_owned(kib);
        permit.map(|permit| MemoryLimit::grown(part, kib, permit)).is_ok()
    }

    /// Makes a part large enough for a body of this size, waiting for room.
    pub async fn reserve(&self, part: &mut MemoryReservation, size: usize) {
        let kib = MemoryLimit::missing(part, size);
        if let Ok(permit) = Arc::clone(&self.0).acquire_many_owned(kib).await {
            MemoryLimit::grown(part, kib, permit);
        }
    }
}
