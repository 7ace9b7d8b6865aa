//! Counts the memory of large request heads before they are read: while a head is incomplete, the parser's buffer grows
//! with it.

use crate::body::{MemoryLimit, MemoryReservation};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tracing::warn;

/// A head of up to this size fits into what is counted for its client.
const MAX_UNRESERVED_HEAD_BYTES: usize = 4 * 1024;
/// Memory of a larger head: 64 KiB for the parser's buffer, 32 KiB for the copy that is forwarded, and 64 KiB for the
/// buffer from which it is written to an endpoint, without what is counted for the connections.
const LARGE_HEAD_BYTES: usize = 144 * 1024;

/// The memory of the head that is being read on one connection.
pub struct HeadMemory {
    memory: Rc<MemoryLimit>,
    /// Bytes of the head that have been read.
    read_bytes: Cell<usize>,
    /// Kept until the connection closes, as the parser's buffer keeps its size.
    reservation: RefCell<Option<MemoryReservation>>,
    /// The wait of this head for memory has been logged.
    has_logged_wait: Cell<bool>,
}

impl HeadMemory {
    /// For a connection on which nothing has been read.
    pub fn new(memory: Rc<MemoryLimit>) -> Self {
        HeadMemory {
            memory,
            read_bytes: Cell::new(0),
            reservation: RefCell::default(),
            has_logged_wait: Cell::new(false),
        }
    }

    /// How many bytes of a head may be read now; 0 if no memory is left for more.
    pub fn readable_bytes(&self) -> usize {
        let unreserved_bytes = MAX_UNRESERVED_HEAD_BYTES.saturating_sub(self.read_bytes.get());
        if unreserved_bytes > 0 && self.reservation.borrow().is_none() {
            return unreserved_bytes;
        }
        if self.try_reserve() {
            usize::MAX
        } else {
            0
        }
    }

    fn try_reserve(&self) -> bool {
        let mut reservation = self.reservation.borrow_mut();
        if reservation.is_none() {
            let mut reserved = MemoryReservation::default();
            *reservation =
                self.memory.try_reserve_optional(&mut reserved, LARGE_HEAD_BYTES).then_some(reserved);
        }
        if reservation.is_none() && !self.has_logged_wait.replace(true) {
            let available_bytes = self.memory.available_bytes();
            warn!(required_bytes = LARGE_HEAD_BYTES, available_bytes, "request head waits for memory");
        }
        reservation.is_some()
    }

    /// Records that bytes of a head have been read.
    pub fn record_read(&self, count: usize) {
        self.read_bytes.set(self.read_bytes.get() + count);
    }

    /// Records that the head is complete.
    pub fn complete(&self) {
        self.read_bytes.set(0);
        self.has_logged_wait.set(false);
    }
}
