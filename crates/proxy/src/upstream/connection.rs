//! One connection to a host. It is driven by the attempt that uses it: there is no task behind it, so dropping the
//! attempt closes it, and nothing is ever sent twice.

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

/// A stream that notes whether all that was to be written has been handed to the socket.
struct WatchedStream {
    socket: Socket,
    handover: Rc<WriteProgress>,
}

impl AsyncRead for WatchedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.socket.poll_read(cx, buf).map_ok(drop)
    }
}

impl AsyncWrite for WatchedStream {
    // Not vectored: head and body are laid together and go out in one write.
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = self.socket.poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = written {
            self.handover.emptied.set(count == buf.len());
        }
        self.handover.record_write(written.is_ready());
        written
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
    connection: Connection<TokioIo<WatchedStream>, RequestStream>,
    socket: Socket,
    /// The connection has ended, and is not to be polled again.
    ended: bool,
    pub handover: Rc<WriteProgress>,
    /// When it may carry a request: nothing more of the last answer is to come by then.
    pub ready: Micros,
    pub generation: u64,
    _places: [Descriptor; 2],
}

impl UpstreamConnection {
    /// Makes a connection of a stream that has these places among the sockets counted. None: it has ended
    /// already.
    pub async fn open(
        stream: TcpStream,
        generation: u64,
        places: [Descriptor; 2],
        ready: Micros,
    ) -> Option<Self> {
        let (socket, handover) = (Socket::new(stream), Rc::<WriteProgress>::default());
        let io = TokioIo::new(WatchedStream { socket: socket.clone(), handover: Rc::clone(&handover) });
        let made = http1::Builder::new().max_buf_size(MAX_CONNECTION_BUFFER_BYTES).handshake(io).await;
        let (sender, connection) = made.ok()?;
        let ended = false;
        let mut link = UpstreamConnection {
            sender,
            connection,
            socket,
            ended,
            handover,
            ready,
            generation,
            _places: places,
        };
        link.alive().await.then_some(link)
    }

    /// Is it open and ready for a request? A connection that its host has closed shows it here.
    pub async fn alive(&mut self) -> bool {
        if !self.ended {
            self.ended = poll_fn(|cx| Poll::Ready(Pin::new(&mut self.connection).poll(cx).is_ready())).await;
        }
        !self.ended && self.sender.is_ready()
    }

    /// Has anything come on it while it was idle? No answer is owed then: it is the connection's end, or what belongs to
    /// an answer that was given before, and would be taken for the next one's.
    pub fn stirs(&self) -> bool {
        self.socket.is_readable()
    }

    /// Drives the connection until `work` on it is done. None: the connection ended first, and `work` needs it.
    pub async fn drive<T>(
        &mut self,
        figures: &Metrics,
        needs: bool,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let mut work = pin!(work);
        poll_fn(|cx| {
            // The first poll hands the request over, the second writes it, the third takes an answer that
            // has come with the end of the connection.
            if let Poll::Ready(done) = work.as_mut().poll(cx) {
                return Poll::Ready(Some(done));
            }
            if !self.ended {
                let whole = self.handover.is_complete();
                self.ended = Pin::new(&mut self.connection).poll(cx).is_ready();
                if self.handover.is_complete() && !whole {
                    figures.count_attempt();
                }
            }
            match work.as_mut().poll(cx) {
                Poll::Ready(done) => Poll::Ready(Some(done)),
                Poll::Pending if needs && self.ended => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            }
        })
        .await
    }
}
