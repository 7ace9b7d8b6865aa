//! Writes during graceful shutdown. When the process is killed, the system still sends the contents of the
//! send buffer, and nothing else: as much as possible of each response must be in the buffer by then, however
//! slowly the client reads.

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

/// Interval at which a write to a full send buffer is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Number of bytes by which a full send buffer is enlarged per step.
const SEND_BUFFER_STEP_BYTES: usize = 1 << 20;

/// Writes to a client whose send buffer is full, after graceful shutdown has begun.
pub struct ShutdownWriter {
    shutdown: ShutdownSignal,
    memory: Rc<MemoryLimit>,
    /// Reservation for the part of the send buffer beyond the size that the system may choose.
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

    /// Writes some bytes and returns their number, enlarging the send buffer if it is full. Must be called
    /// only when the socket is not writable. Pending before graceful shutdown: the connection's task polls
    /// again when that begins.
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
        // Other bodies may return memory later. Meanwhile the system continues to adapt the size.
        if !self.memory.try_reserve_optional(&mut self.reservation, SEND_BUFFER_STEP_BYTES) {
            return false;
        }
        let is_enlarged = socket.enlarge_send_buffer(size_bytes);
        self.is_at_limit = !is_enlarged;
        is_enlarged
    }

    /// Ready when the next retry is due.
    fn poll_retry(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let timer = self.retry.get_or_insert_with(|| Box::pin(tokio::time::sleep(RETRY_INTERVAL)));
        ready!(timer.as_mut().poll(cx));
        timer.as_mut().reset(Instant::now() + RETRY_INTERVAL);
        Poll::Ready(())
    }
}

/// The size of the send buffer after another step, which is beyond the sizes that the system chooses
/// automatically. `None` if the system does not allow it.
fn next_send_buffer_bytes(socket: &Socket) -> Option<usize> {
    let limits = send_buffer_limits()?;
    let current_bytes = socket.send_buffer_bytes().ok()?;
    let size_bytes = current_bytes.max(limits.max_adapted_bytes) + SEND_BUFFER_STEP_BYTES;
    (size_bytes <= limits.max_settable_bytes).then_some(size_bytes)
}
