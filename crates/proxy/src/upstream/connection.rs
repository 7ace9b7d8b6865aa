//! One connection to an endpoint. It is polled by the attempt that uses it, without a separate task: dropping
//! the attempt closes the connection, and nothing is ever sent twice.

use crate::body::{BodySource, RequestStream, WriteProgress};
use crate::descriptors::ConnectionDescriptors;
use crate::metrics::Metrics;
use crate::socket::{Socket, READ_BUFFER_BYTES};
use bytes::Bytes;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use oakport_core::Micros;
use std::cell::Cell;
use std::error::Error;
use std::future::{poll_fn, Future};
use std::io::{self, IoSlice};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// State of the current exchange (a request and its response), shared by a connection and its stream.
#[derive(Debug, Default)]
struct Exchange {
    /// Writing of the request has begun, and the response is not yet complete.
    is_in_progress: Cell<bool>,
    /// Data arrived while no exchange was in progress.
    has_unsolicited_data: Cell<bool>,
}

/// A stream that records whether all pending data has been written to the socket. It refuses to write a
/// request after unsolicited data, which would be taken for the response.
struct WatchedStream {
    socket: Socket,
    write_progress: Rc<WriteProgress>,
    exchange: Rc<Exchange>,
}

impl WatchedStream {
    /// Starts an exchange.
    ///
    /// # Errors
    /// If unsolicited data has arrived.
    fn begin_exchange(&self) -> io::Result<()> {
        if self.exchange.has_unsolicited_data.get() || self.socket.has_unread_bytes() {
            self.exchange.has_unsolicited_data.set(true);
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "unsolicited data received before the request was written",
            ));
        }
        self.exchange.is_in_progress.set(true);
        Ok(())
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let read = self.socket.poll_read(cx, buf);
        let has_data = matches!(read, Poll::Ready(Ok(count)) if count > 0);
        if has_data && !self.exchange.is_in_progress.get() {
            self.exchange.has_unsolicited_data.set(true);
        }
        read.map_ok(drop)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if !self.exchange.is_in_progress.get() {
            self.begin_exchange()?;
        }
        let written = self.socket.poll_write_vectored(cx, bufs);
        if let Poll::Ready(Ok(count)) = written {
            // hyper passes all pending bytes at once: it queues fewer chunks than it writes in one call.
            let pending_bytes: usize = bufs.iter().map(|buf| buf.len()).sum();
            if count == pending_bytes {
                self.write_progress.record_emptied();
            } else {
                self.write_progress.emptied.set(false);
            }
        }
        self.write_progress.record_write(written.is_ready());
        written
    }

    /// With vectored writes, head and body go out together without a copy of the body, which would stay
    /// allocated for as long as the connection is open.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.socket.shutdown_write())
    }
}

pub struct UpstreamConnection {
    pub sender: SendRequest<RequestStream>,
    /// Boxed, as the tasks of attempts hold a connection in several places.
    connection: Box<Connection<TokioIo<WatchedStream>, RequestStream>>,
    socket: Socket,
    /// The connection has ended and must not be polled again.
    has_ended: bool,
    exchange: Rc<Exchange>,
    /// A request has been sent, and answered, on this connection.
    has_carried_request: bool,
    /// The head of a request has enlarged the parser's buffer, which keeps its size.
    has_enlarged_buffer: bool,
    /// How much of the request has been written.
    pub write_progress: Rc<WriteProgress>,
    /// When the reuse cooldown ends. After that, no further data of the last response is expected.
    pub reusable_at: Micros,
    /// The generation of the endpoint that the connection was opened to.
    pub generation: u64,
    descriptors: ConnectionDescriptors,
}

impl UpstreamConnection {
    /// Sets up HTTP/1.1 on a TCP stream. `None` if the connection has already ended.
    pub async fn open(
        stream: TcpStream,
        generation: u64,
        descriptors: ConnectionDescriptors,
        reusable_at: Micros,
    ) -> Option<Self> {
        let socket = Socket::new(stream);
        let write_progress = Rc::<WriteProgress>::default();
        let exchange = Rc::<Exchange>::default();
        let watched = WatchedStream {
            socket: socket.clone(),
            write_progress: Rc::clone(&write_progress),
            exchange: Rc::clone(&exchange),
        };
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let (sender, connection) = builder.handshake(TokioIo::new(watched)).await.ok()?;
        let mut opened = UpstreamConnection {
            sender,
            connection: Box::new(connection),
            socket,
            has_ended: false,
            exchange,
            has_carried_request: false,
            has_enlarged_buffer: false,
            write_progress,
            reusable_at,
            generation,
            descriptors,
        };
        opened.is_alive().await.then_some(opened)
    }

    /// Whether the connection is open and ready for a request. Detects that the endpoint has closed it.
    pub async fn is_alive(&mut self) -> bool {
        if !self.has_ended {
            poll_fn(|cx| {
                self.poll_connection(cx);
                Poll::Ready(())
            })
            .await;
        }
        !self.has_ended && self.sender.is_ready()
    }

    /// Ends the exchange after a complete response: all data from now on is unsolicited.
    pub fn end_exchange(&mut self) {
        self.exchange.is_in_progress.set(false);
        self.has_carried_request = true;
    }

    /// Records the size of a head that is about to be written.
    pub fn record_head(&mut self, head_bytes: usize) {
        self.has_enlarged_buffer |= head_bytes > READ_BUFFER_BYTES;
    }

    /// Whether the connection may be pooled: with an enlarged buffer it takes more memory than is counted for it.
    pub fn may_be_pooled(&self) -> bool {
        !self.has_enlarged_buffer
    }

    /// Whether a request has been sent, and answered, on this connection. Before that, no response can arrive
    /// late.
    pub fn has_carried_request(&self) -> bool {
        self.has_carried_request
    }

    /// Whether data has arrived outside an exchange: part of an extra response, which would be taken for the
    /// next one. The end of the connection does not count as data.
    pub fn has_unsolicited_data(&self) -> bool {
        self.exchange.has_unsolicited_data.get()
            || (!self.exchange.is_in_progress.get() && self.socket.has_unread_bytes())
    }

    /// Whether no byte of the latest request was written, because unsolicited data had arrived on the reused
    /// connection. Such a request may be sent again, whatever its class.
    pub fn has_refused_request(&self) -> bool {
        self.has_carried_request && !self.exchange.is_in_progress.get() && self.has_unsolicited_data()
    }

    /// The socket, used to wait for data while the connection is idle.
    pub fn socket(&self) -> &Socket {
        &self.socket
    }

    /// Detaches the connection from the HTTP parser, which has yet to pass on `remaining_bytes` of a body.
    /// Returns the bytes that the parser has already read, and a source for the others.
    pub fn into_body_source(self, remaining_bytes: u64) -> (Bytes, BodySource) {
        let mut read = self.connection.into_parts().read_buf;
        // Data after the end of the body is unsolicited.
        read.truncate(usize::try_from(remaining_bytes).unwrap_or(usize::MAX));
        let remaining_bytes = remaining_bytes - read.len() as u64;
        (read, BodySource { socket: self.socket, remaining_bytes, _descriptors: self.descriptors })
    }

    /// Polls the connection until `work`, which depends on it, completes. `None` if the connection ends
    /// first.
    pub async fn drive<T>(&mut self, metrics: &Metrics, work: impl Future<Output = T>) -> Option<T> {
        let mut work = pin!(work);
        poll_fn(|cx| match self.poll_with(cx, metrics, work.as_mut()) {
            Poll::Ready(output) => Poll::Ready(Some(output)),
            Poll::Pending if self.has_ended => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        })
        .await
    }

    /// Polls the connection, as long as it is open, until `work` completes, which does not depend on the
    /// connection.
    pub async fn drive_alongside<T>(&mut self, metrics: &Metrics, work: impl Future<Output = T>) -> T {
        let mut work = pin!(work);
        poll_fn(|cx| self.poll_with(cx, metrics, work.as_mut())).await
    }

    /// Polls the connection and records whether it has ended. It must not have ended before.
    fn poll_connection(&mut self, cx: &mut Context<'_>) {
        let polled = Pin::new(&mut *self.connection).poll(cx);
        self.has_ended = polled.is_ready();
        if matches!(&polled, Poll::Ready(Err(error)) if is_unsolicited_data(error)) {
            self.exchange.has_unsolicited_data.set(true);
        }
    }

    /// Polls `work`, the connection and `work` again: the first poll queues the request, the second writes
    /// it, and the third receives a response that has arrived together with the end of the connection.
    fn poll_with<T>(
        &mut self,
        cx: &mut Context<'_>,
        metrics: &Metrics,
        mut work: Pin<&mut impl Future<Output = T>>,
    ) -> Poll<T> {
        if let Poll::Ready(output) = work.as_mut().poll(cx) {
            return Poll::Ready(output);
        }
        if !self.has_ended {
            let was_complete = self.write_progress.is_complete();
            self.poll_connection(cx);
            if self.write_progress.is_complete() && !was_complete {
                metrics.count_attempt();
            }
        }
        work.poll(cx)
    }
}

/// Whether a connection failed because it received more than the expected response. hyper has no predicate
/// for this kind of error, which is the only kind with neither a source nor a predicate.
fn is_unsolicited_data(error: &hyper::Error) -> bool {
    let is_other_kind = error.is_incomplete_message()
        || error.is_body_write_aborted()
        || error.is_closed()
        || error.is_canceled()
        || error.is_parse()
        || error.is_user()
        || error.is_timeout()
        || error.is_shutdown();
    error.source().is_none() && !is_other_kind
}
