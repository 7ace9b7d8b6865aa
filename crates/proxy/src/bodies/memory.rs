//! The memory that bodies may hold, and each body's part of it.

use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Most bytes of a body that is held whole, either way.
pub const WHOLE_MOST: usize = 64 * 1024;
/// Most bytes that a connection's own buffer takes.
pub const BUFFER_MOST: usize = 32 * 1024;
/// A body up to this costs no more than its connection does anyway.
const FREE: usize = 16 * 1024;
/// What a body that passes piece by piece holds at a time: a buffer on either side and the piece between.
const PASSING: usize = WHOLE_MOST + 3 * BUFFER_MOST;
/// Share of the memory that bodies may take: two processes may be there, and each needs some for itself.
const SHARE: usize = 3;
const KIB: usize = 1024;

/// The memory that bodies may hold.
#[derive(Debug)]
pub struct Memory(Arc<Semaphore>);

/// A body's part of it, given back when dropped.
#[derive(Debug, Default)]
pub struct Part {
    held: Vec<OwnedSemaphorePermit>,
    kib: usize,
}

impl Memory {
    /// The bodies' share of so many MB.
    pub fn new(memory_mb: usize) -> Rc<Self> {
        let kib = (memory_mb * KIB / SHARE).clamp(4 * PASSING / KIB, Semaphore::MAX_PERMITS);
        Rc::new(Memory(Arc::new(Semaphore::new(kib))))
    }

    /// Does a body of this size cost no more than its connection does anyway?
    pub fn is_free(size: usize) -> bool {
        size <= FREE
    }

    /// How much a part must grow for a body of this size.
    fn missing(part: &Part, size: usize) -> u32 {
        let size = if size > WHOLE_MOST { PASSING } else { size };
        let kib = if Memory::is_free(size) { 0 } else { size.div_ceil(KIB) };
        kib.saturating_sub(part.kib) as u32
    }

    fn grown(part: &mut Part, kib: u32, permit: OwnedSemaphorePermit) {
        part.kib += kib as usize;
        part.held.push(permit);
    }

    /// Makes a part large enough for a body of this size, if there is room.
    pub fn try_grow(&self, part: &mut Part, size: usize) -> bool {
        let kib = Memory::missing(part, size);
        let permit = Arc::clone(&self.0).try_acquire_many_owned(kib);
        permit.map(|permit| Memory::grown(part, kib, permit)).is_ok()
    }

    /// Makes a part as large as so many bytes that wait to be read, if there is room.
    pub fn try_hold(&self, part: &mut Part, bytes: usize) -> bool {
        let kib = bytes.saturating_sub(FREE).div_ceil(KIB).saturating_sub(part.kib) as u32;
        let permit = Arc::clone(&self.0).try_acquire_many_owned(kib);
        permit.map(|permit| Memory::grown(part, kib, permit)).is_ok()
    }

    /// Makes a part large enough for a body of this size, waiting for room.
    pub async fn grow(&self, part: &mut Part, size: usize) {
        let kib = Memory::missing(part, size);
        if let Ok(permit) = Arc::clone(&self.0).acquire_many_owned(kib).await {
            Memory::grown(part, kib, permit);
        }
    }
}
