//! Writes during graceful shutdown. The system still sends what its buffer holds when the process is killed, and nothing
//! else: so as much as possible of each response is to be there by then, however slowly the client reads.

use super::shutdown::ShutdownSignal;
use crate::body::{MemoryLimit, MemoryReservation};
use crate::socket::Socket;
use crate::system_limits::send_buffer_limits;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep};

/// How often a full send buffer is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// By how much a full send buffer is enlarged at a time.
const SEND_BUFFER_STEP_BYTES: usize = 1 << 20;

/// Writes to a client whose send buffer is full, once graceful shutdown has begun.
pub struct ShutdownWriter {
    shutdown: ShutdownSignal,
    memory: Rc<MemoryLimit>,
    /// Memory of the send buffer beyond the size that the system would give it.
    reservation: MemoryReservation,
    /// The send buffer cannot be enlarged any further.
    is_at_limit: bool,
    retry: Option<Pin<Box<Sleep>>>,
}

impl ShutdownWriter {
    pub fn new(shutdown: ShutdownSignal, memory: Rc<MemoryLimit>) -> Self {
        ShutdownWriter {
            shutdown,
            memory,
            reservation: MemoryReservation::default(),
            is_at_limit: false,
            retry: None,
        }
    }

    /// Writes some bytes and returns how many, enlarging the send buffer where it is full. To be called once the socket
    /// is not writable. Pending before graceful shutdown: the connection's task polls again when that begins.
    pub fn poll_write(
        &mut self,
        cx: &mut Context<'_>,
        socket: &Socket,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.shutdown.borrow().is_none() {
            return Poll::Pending;
        }
        loop {
            match socket.write_now(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
            if !self.enlarge_send_buffer(socket) {
                ready!(self.poll_retry(cx));
            }
        }
    }

    /// Enlarges the send buffer by one step within the memory limit. False if that is not possible.
    fn enlarge_send_buffer(&mut self, socket: &Socket) -> bool {
        if self.is_at_limit {
            return false;
        }
        let Some(size_bytes) = next_send_buffer_bytes(socket) else {
            self.is_at_limit = true;
            return false;
        };
        // Other bodies may return memory later. Until then the system goes on adapting the size.
        if !self.memory.try_reserve_optional(&mut self.reservation, SEND_BUFFER_STEP_BYTES) {
            return false;
        }
        let is_enlarged = socket.enlarge_send_buffer(size_bytes);
        self.is_at_limit = !is_enlarged;
        is_enlarged
    }

    /// Ready once the next try is due.
    fn poll_retry(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let timer = self.retry.get_or_insert_with(|| Box::pin(tokio::time::sleep(RETRY_INTERVAL)));
        ready!(timer.as_mut().poll(cx));
        timer.as_mut().reset(Instant::now() + RETRY_INTERVAL);
        Poll::Ready(())
    }
}

/// The size of the send buffer after one step more, which is beyond what the system may give it by itself. `None` if the
/// system does not allow it.
fn next_send_buffer_bytes(socket: &Socket) -> Option<usize> {
    let limits = send_buffer_limits()?;
    let current_bytes = socket.send_buffer_bytes().ok()?;
    let size_bytes = current_bytes.max(limits.max_adapted_bytes) + SEND_BUFFER_STEP_BYTES;
    (size_bytes <= limits.max_settable_bytes).then_some(size_bytes)
}
