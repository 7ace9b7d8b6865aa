//! The byte stream of a client connection, which reports reads and writes to the connection.

use super::connection::ClientConnection;
use super::shutdown_writer::ShutdownWriter;
use bytes::Bytes;
use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A client's stream: returns the bytes that were read ahead first, and reports reads and writes to the
/// connection.
pub struct ObservedStream {
    connection: Rc<ClientConnection>,
    shutdown_writer: Rc<RefCell<ShutdownWriter>>,
    /// Bytes that an earlier parser of this connection has read, but not parsed.
    unparsed: Bytes,
}

impl ObservedStream {
    pub fn new(connection: &Rc<ClientConnection>, shutdown_writer: Rc<RefCell<ShutdownWriter>>) -> Self {
        ObservedStream { connection: Rc::clone(connection), shutdown_writer, unparsed: Bytes::new() }
    }

    /// The same stream for another parser, which begins with what the earlier one has read, but not parsed.
    pub fn with_unparsed(self, unparsed: &[u8]) -> Self {
        ObservedStream { unparsed: Bytes::copy_from_slice(unparsed), ..self }
    }

    /// Moves bytes that an earlier parser has read to `buf`. False if there are none.
    fn take_unparsed(&mut self, buf: &mut ReadBuf<'_>) -> bool {
        let count = self.unparsed.len().min(buf.remaining());
        buf.put_slice(&self.unparsed.split_to(count));
        count > 0
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
        if self.take_unparsed(buf) {
            return Poll::Ready(Ok(()));
        }
        let max_bytes = ready!(self.connection.poll_readable_bytes(cx));
        let read = match self.connection.buffered_read_ahead().take(buf, max_bytes) {
            Some(count) => Poll::Ready(Ok(count)),
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
