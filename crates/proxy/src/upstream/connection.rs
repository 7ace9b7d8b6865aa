//! One connection to an endpoint. It is driven by the attempt that uses it, without a task of its own: dropping the
//! attempt closes the connection, and nothing is ever sent twice.

use crate::body::{RequestStream, WriteProgress, MAX_CONNECTION_BUFFER_BYTES};
use crate::descriptors::Descriptor;
use crate::metrics::Metrics;
use crate::socket::Socket;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use oakport_core::Micros;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A stream that records whether all that was to be written has been passed to the socket.
struct WatchedStream {
    socket: Socket,
    write_progress: Rc<WriteProgress>,
}

impl AsyncRead for WatchedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.socket.poll_read(cx, buf).map_ok(drop)
    }
}

impl AsyncWrite for WatchedStream {
    // Not vectored: head and body are joined and go out in one write.
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = self.socket.poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = written {
            self.write_progress.emptied.set(count == buf.len());
        }
        self.write_progress.record_write(written.is_ready());
        written
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.socket.shutdown_write())
    }
}

/// The descriptors that a connection occupies while it is open.
pub struct ConnectionDescriptors {
    _process: Descriptor,
    _endpoint: Descriptor,
}

impl ConnectionDescriptors {
    /// Of one descriptor among all sockets of the process and one among the connections to its endpoint.
    pub fn new(process: Descriptor, endpoint: Descriptor) -> Self {
        ConnectionDescriptors { _process: process, _endpoint: endpoint }
    }
}

/// A connection to an endpoint.
pub struct UpstreamConnection {
    pub sender: SendRequest<RequestStream>,
    connection: Connection<TokioIo<WatchedStream>, RequestStream>,
    socket: Socket,
    /// The connection has ended, and must not be polled again.
    has_ended: bool,
    /// How far the request has been written.
    pub write_progress: Rc<WriteProgress>,
    /// When its reuse cooldown ends: nothing more of the last response is expected from then on.
    pub reusable_at: Micros,
    /// The generation of the endpoint that it leads to.
    pub generation: u64,
    _descriptors: ConnectionDescriptors,
}

impl UpstreamConnection {
    /// Makes a connection of a stream. `None` if it has already ended.
    pub async fn open(
        stream: TcpStream,
        generation: u64,
        descriptors: ConnectionDescriptors,
        reusable_at: Micros,
    ) -> Option<Self> {
        let socket = Socket::new(stream);
        let write_progress = Rc::<WriteProgress>::default();
        let watched = WatchedStream { socket: socket.clone(), write_progress: Rc::clone(&write_progress) };
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_CONNECTION_BUFFER_BYTES);
        let (sender, connection) = builder.handshake(TokioIo::new(watched)).await.ok()?;
        let mut opened = UpstreamConnection {
            sender,
            connection,
            socket,
            has_ended: false,
            write_progress,
            reusable_at,
            generation,
            _descriptors: descriptors,
        };
        opened.is_alive().await.then_some(opened)
    }

    /// Whether it is open and ready for a request. This notices a connection that its endpoint has closed.
    pub async fn is_alive(&mut self) -> bool {
        if !self.has_ended {
            self.has_ended =
                poll_fn(|cx| Poll::Ready(Pin::new(&mut self.connection).poll(cx).is_ready())).await;
        }
        !self.has_ended && self.sender.is_ready()
    }

    /// Whether anything has arrived while it was idle: the end of the connection, or a part of an earlier response that
    /// would be taken for the next one.
    pub fn has_unsolicited_data(&self) -> bool {
        self.socket.is_readable()
    }

    /// Drives the connection until `work`, which needs it, is done. `None` if the connection ended first.
    pub async fn drive<T>(&mut self, metrics: &Metrics, work: impl Future<Output = T>) -> Option<T> {
        let mut work = pin!(work);
        poll_fn(|cx| match self.poll_with(cx, metrics, work.as_mut()) {
            Poll::Ready(output) => Poll::Ready(Some(output)),
            Poll::Pending if self.has_ended => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        })
        .await
    }

    /// Drives the connection while it lasts until `work`, which does not need it, is done.
    pub async fn drive_alongside<T>(&mut self, metrics: &Metrics, work: impl Future<Output = T>) -> T {
        let mut work = pin!(work);
        poll_fn(|cx| self.poll_with(cx, metrics, work.as_mut())).await
    }

    /// Polls the work, the connection and the work again: the first poll passes the request on, the second writes it,
    /// the third takes a response that has arrived with the end of the connection.
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
            self.has_ended = Pin::new(&mut self.connection).poll(cx).is_ready();
            if self.write_progress.is_complete() && !was_complete {
                metrics.count_attempt();
            }
        }
        work.poll(cx)
    }
}
