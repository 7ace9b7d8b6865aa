//! A connection's stream that more than one part looks at: what reads and writes messages on it, and what sees to its
//! beginning and its end.

use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use std::io;
use std::net::Shutdown;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that are read at a time, where nothing says how many come.
const READ: usize = 8 * 1024;

/// The stream; whoever holds a clone keeps it open.
#[derive(Clone, Debug)]
pub struct Socket(Rc<TcpStream>);

impl Socket {
    pub fn new(stream: TcpStream) -> Self {
        // Small writes that the system holds back would go with a reset.
        let _ = stream.set_nodelay(true);
        Socket(Rc::new(stream))
    }

    /// Reads some; 0 bytes at the end.
    pub fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    buf.advance(count);
                    return Poll::Ready(Ok(count));
                }
                Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {}
                Err(fault) => return Poll::Ready(Err(fault)),
            }
        }
    }

    /// Writes some.
    pub fn poll_write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(buf) {
                Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    /// Ends this side.
    pub fn shutdown_write(&self) -> io::Result<()> {
        socket2::SockRef::from(&*self.0).shutdown(Shutdown::Write)
    }

    /// Hands what is there now to `take`, 0 bytes at the end; None: nothing is.
    pub fn try_read_with<T>(&self, take: impl Fn(&[u8]) -> T) -> Option<T> {
        let mut some = [0; READ];
        match self.0.try_read(&mut some) {
            Ok(count) => Some(take(&some[..count])),
            Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => None,
            Err(_) => Some(take(&[])),
        }
    }

    /// Waits for bytes and hands them to `take`; 0 bytes at the end, and where the connection broke.
    pub async fn read_with<T>(&self, take: impl Fn(&[u8]) -> T) -> T {
        loop {
            // A connection that cannot be waited for cannot be read either, which tells its end.
            let _ = self.0.readable().await;
            if let Some(taken) = self.try_read_with(&take) {
                return taken;
            }
        }
    }

    /// Resolves when the other side has ended or reset the connection, whatever is unread before that.
    pub async fn peer_closed(&self) {
        // Of this interest the system tells ends only, as no urgent data is asked for.
        let told = self.0.ready(Interest::PRIORITY).await;
        if !told.is_ok_and(|ready| ready.is_read_closed()) {
            std::future::pending().await
        }
    }

    /// Has the other side ended or reset the connection? Asks the system, not the runtime: an event that the runtime has
    /// not taken yet hides an end from it, as do bytes that nobody reads.
    pub fn is_peer_closed(&self) -> bool {
        // `nix` has no name for the end of the other side; a reset is told unasked.
        tells(&self.0, PollFlags::from_bits_retain(nix::libc::POLLRDHUP))
    }

    /// Is there anything to be read, an end included? Asks the system, as above.
    pub fn is_readable(&self) -> bool {
        tells(&self.0, PollFlags::POLLIN)
    }
}

fn tells(stream: &TcpStream, of: PollFlags) -> bool {
    poll(&mut [PollFd::new(stream.as_fd(), of)], PollTimeout::ZERO).is_ok_and(|found| found > 0)
}
