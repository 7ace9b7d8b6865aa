//! The byte stream of a client connection, which reports its progress to the connection.

use super::connection::ClientConnection;
use super::shutdown_writer::ShutdownWriter;
use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A client's stream: reads what was read ahead first, and reports reads and writes.
pub struct ObservedStream {
    connection: Rc<ClientConnection>,
    shutdown_writer: Rc<RefCell<ShutdownWriter>>,
}

impl ObservedStream {
    pub fn new(connection: &Rc<ClientConnection>, shutdown_writer: Rc<RefCell<ShutdownWriter>>) -> Self {
        ObservedStream { connection: Rc::clone(connection), shutdown_writer }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.connection.detachment().is_begun() {
            return Poll::Pending;
        }
        let read = match self.connection.buffered().take(buf) {
            Some(count) => Poll::Ready(Ok(count)),
            // What would follow has been discarded.
            None if self.connection.read_ahead_overflowed() => Poll::Pending,
            None => self.connection.socket.poll_read(cx, buf),
        };
        read.map_ok(|count| {
            if count > 0 {
                self.connection.record_read();
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
        // Captured, or written as far as the system takes it in a graceful shutdown.
        let first = bufs.iter().find(|buf| !buf.is_empty());
        self.poll_write(cx, first.map_or(&[], |buf| buf))
    }

    /// What the parser has yet to write stays in the chunks that it came in, which are freed as they are written. Otherwise
    /// each connection kept a buffer as large as the most that it ever had to write.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Called when nothing is left to write.
        self.connection.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.connection.detachment().is_begun() {
            // What is captured has still to be written.
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(self.connection.socket.shutdown_write())
    }
}
