//! Counts the memory of large request heads before they are read: while a head is incomplete, the parser's buffer grows
//! with it.

use crate::body::{reserve_head, HeadReservation, MemoryLimit};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::Instant;
use tracing::info;

/// Maximum size of a request's head.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// A head of up to this size fits into what is counted for its client.
const MAX_UNRESERVED_HEAD_BYTES: usize = 4 * 1024;
/// Memory of a larger head by its size: twice the size for the parser's buffer, once for the copy that is forwarded, and
/// twice for the buffer from which it is written to an endpoint.
const MEMORY_PER_HEAD_BYTE: usize = 5;
/// The part of that memory that is counted for the connection of the client.
const CONNECTION_READ_BUFFER_BYTES: usize = 16 * 1024;
/// A head that has waited for memory for so long is rejected: its final response is due 0.5 s after the client's timeout
/// (STANDING), however short that is.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(250);

/// A wait for the memory of the next part of a head.
struct MemoryWait {
    began: Instant,
    reserved: Pin<Box<dyn Future<Output = HeadReservation>>>,
}

/// The memory of the head that is being read on one connection.
pub struct HeadMemory {
    limit: Rc<MemoryLimit>,
    /// Bytes of the head that have been read.
    read_bytes: Cell<usize>,
    /// The size of a head for which memory is counted.
    counted_bytes: Cell<usize>,
    /// Kept until the parser's buffer is freed.
    reservation: RefCell<HeadReservation>,
    wait: RefCell<Option<MemoryWait>>,
    /// How long the head has waited for memory before.
    waited: Cell<Duration>,
}

impl HeadMemory {
    /// For a connection on which nothing has been read.
    pub fn new(limit: Rc<MemoryLimit>) -> Self {
        HeadMemory {
            limit,
            read_bytes: Cell::default(),
            counted_bytes: Cell::new(MAX_UNRESERVED_HEAD_BYTES),
            reservation: RefCell::default(),
            wait: RefCell::default(),
            waited: Cell::default(),
        }
    }

    /// How many bytes of a head may be read now. Pending while no memory is left for more.
    pub fn poll_readable_bytes(&self, cx: &mut Context<'_>) -> Poll<usize> {
        loop {
            let counted_bytes = self.counted_bytes.get();
            if counted_bytes >= MAX_HEAD_BYTES {
                // The parser rejects a larger head.
                return Poll::Ready(usize::MAX);
            }
            let readable_bytes = counted_bytes.saturating_sub(self.read_bytes.get());
            if readable_bytes > 0 {
                return Poll::Ready(readable_bytes);
            }
            ready!(self.poll_reserve(cx, 2 * counted_bytes));
        }
    }

    /// Ready once memory is reserved for a head of this size.
    fn poll_reserve(&self, cx: &mut Context<'_>, head_bytes: usize) -> Poll<()> {
        let mut wait = self.wait.borrow_mut();
        let current = wait.get_or_insert_with(|| {
            let memory_bytes = MEMORY_PER_HEAD_BYTE * head_bytes - CONNECTION_READ_BUFFER_BYTES;
            let reserved = reserve_head(Rc::clone(&self.limit), self.reservation.take(), memory_bytes);
            MemoryWait { began: Instant::now(), reserved: Box::pin(reserved) }
        });
        let reservation = ready!(current.reserved.as_mut().poll(cx));
        self.waited.set(self.waited.get() + current.began.elapsed());
        *wait = None;
        self.reservation.replace(reservation);
        self.counted_bytes.set(head_bytes);
        Poll::Ready(())
    }

    /// When the head has waited for memory for too long. `None` while it does not wait.
    pub fn wait_deadline(&self) -> Option<Instant> {
        let wait = self.wait.borrow();
        wait.as_ref().map(|wait| wait.began + MAX_MEMORY_WAIT.saturating_sub(self.waited.get()))
    }

    /// Logs that the head is rejected for lack of memory.
    pub fn log_rejection(&self) {
        let available_bytes = self.limit.available_bytes();
        let read_bytes = self.read_bytes.get();
        info!(read_bytes, available_bytes, "request head rejected: no memory left for more of it");
    }

    /// Records that bytes of a head have been read.
    pub fn record_read(&self, count: usize) {
        self.read_bytes.set(self.read_bytes.get() + count);
    }

    /// Records that the head is complete.
    pub fn complete(&self) {
        self.read_bytes.set(0);
        self.waited.set(Duration::ZERO);
        self.reservation.borrow_mut().complete();
    }

    /// Whether a head has enlarged the parser's buffer, which keeps its size.
    pub fn is_enlarged(&self) -> bool {
        self.counted_bytes.get() > MAX_UNRESERVED_HEAD_BYTES
    }

    /// Returns the memory, once the parser's buffer has been freed.
    pub fn release(&self) {
        self.counted_bytes.set(MAX_UNRESERVED_HEAD_BYTES);
        self.reservation.take();
    }
}
