//! Buffers bytes that a client sends after a request whose response it still awaits.

use crate::body::{buffer_bytes, MemoryLimit, MemoryReservation, MAX_BUFFERED_BODY_BYTES};
use bytes::BytesMut;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::io::ReadBuf;

/// Maximum number of bytes that are buffered, if the memory suffices. Clients send one request at a time
/// (PROTOCOL), but some pipeline a few.
const MAX_READ_AHEAD_BYTES: usize = 4 * MAX_BUFFERED_BODY_BYTES;

/// Bytes of a connection that were read before the HTTP parser requested them, within the memory limit.
pub struct ReadAhead {
    buffer: RefCell<Buffer>,
    memory: Rc<MemoryLimit>,
}

#[derive(Default)]
struct Buffer {
    bytes: BytesMut,
    reservation: MemoryReservation,
}

impl ReadAhead {
    pub fn new(memory: Rc<MemoryLimit>) -> Self {
        ReadAhead { buffer: RefCell::default(), memory }
    }

    /// Reserves capacity for so many more bytes. False if there is none: they must stay in the system's buffer.
    pub fn try_reserve(&self, additional_bytes: usize) -> bool {
        let buffer = &mut *self.buffer.borrow_mut();
        let size = buffer.bytes.len() + additional_bytes;
        size <= MAX_READ_AHEAD_BYTES
            && self.memory.try_reserve_unread(&mut buffer.reservation, buffer_bytes(size))
    }

    /// Appends bytes, for which [`Self::try_reserve`] has reserved capacity.
    pub fn push(&self, bytes: &[u8]) {
        self.buffer.borrow_mut().bytes.extend_from_slice(bytes);
    }

    /// Number of bytes that are buffered.
    pub fn len(&self) -> usize {
        self.buffer.borrow().bytes.len()
    }

    /// Moves at most `max_bytes` buffered bytes to `target` and returns their number. `None` if none are buffered.
    pub fn take(&self, target: &mut ReadBuf<'_>, max_bytes: usize) -> Option<usize> {
        let buffer = &mut *self.buffer.borrow_mut();
        let count = buffer.bytes.len().min(target.remaining()).min(max_bytes);
        target.put_slice(&buffer.bytes.split_to(count));
        if count == 0 {
            return None;
        }
        if buffer.bytes.is_empty() {
            *buffer = Buffer::default();
        }
        Some(count)
    }
}
