//! The byte stream of a client connection, which reports reads and writes to the connection.

use super::connection::ClientConnection;
use super::shutdown_writer::ShutdownWriter;
use std::cell::RefCell;
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, Sleep};

/// Interval between checks for memory for a large head.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// A client's stream: returns the bytes that were read ahead first, and reports reads and writes to the
/// connection.
pub struct ObservedStream {
    connection: Rc<ClientConnection>,
    shutdown_writer: Rc<RefCell<ShutdownWriter>>,
    /// Runs while no memory is left for more of a head.
    memory_retry: Option<Pin<Box<Sleep>>>,
}

impl ObservedStream {
    pub fn new(connection: &Rc<ClientConnection>, shutdown_writer: Rc<RefCell<ShutdownWriter>>) -> Self {
        ObservedStream { connection: Rc::clone(connection), shutdown_writer, memory_retry: None }
    }

    /// Pending, but has the task poll again later: there may be memory for more of a head by then. The time limit of
    /// the head applies meanwhile.
    fn poll_memory_retry<T>(&mut self, cx: &mut Context<'_>) -> Poll<T> {
        let timer = self.memory_retry.get_or_insert_with(|| Box::pin(sleep(MEMORY_RETRY_INTERVAL)));
        if timer.as_mut().poll(cx).is_ready() {
            self.memory_retry = None;
            cx.waker().wake_by_ref();
        }
        Poll::Pending
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.connection.detachment().is_begun() {
            return Poll::Pending;
        }
        let max_bytes = self.connection.readable_bytes();
        if max_bytes == 0 {
            return self.poll_memory_retry(cx);
        }
        let read = match self.connection.buffered_read_ahead().take(buf, max_bytes) {
            Some(count) => Poll::Ready(Ok(count)),
            // The bytes that would follow have been discarded.
            None if self.connection.read_ahead_overflowed() => Poll::Pending,
            None => self.connection.socket.poll_read_at_most(cx, buf, max_bytes),
        };
        read.map_ok(|count| {
            if count > 0 {
                self.connection.record_read(count);
            }
        })
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.connection.detachment().try_capture(buf) {
            return Poll::Ready(Ok(buf.len()));
        }
        let socket = &self.connection.socket;
        let written = match socket.poll_write(cx, buf) {
            Poll::Pending => self.shutdown_writer.borrow_mut().poll_write(cx, socket, buf),
            written => written,
        };
        self.connection.record_write(written.is_ready());
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if !self.connection.detachment().is_begun() {
            if let Poll::Ready(written) = self.connection.socket.poll_write_vectored(cx, bufs) {
                self.connection.record_write(true);
                return Poll::Ready(written);
            }
        }
        // Captured by the detachment, or written by the shutdown writer.
        let first = bufs.iter().find(|buf| !buf.is_empty());
        self.poll_write(cx, first.map_or(&[], |buf| buf))
    }

    /// With vectored writes, the bytes that the parser has yet to write stay in their original chunks, which
    /// are freed once written. Otherwise each connection would keep a buffer as large as the most bytes ever
    /// pending on it.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Called when no pending bytes are left.
        self.connection.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.connection.detachment().is_begun() {
            // The captured bytes are still to be written.
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(self.connection.socket.shutdown_write())
    }
}
