//! A TCP stream that several components share: one reads and writes messages, others detect its close.

use bytes::BufMut;
use nix::errno::Errno;
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, OwnedFd};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;

/// Size of a read where the number of available bytes is unknown, and of the buffer with which an HTTP parser
/// begins.
pub const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Maximum size of a read by an HTTP parser. A read that fills the buffer would enlarge it for as long as the
/// connection is open.
const MAX_READ_BYTES: usize = READ_BUFFER_BYTES - 1;

/// Linux makes a send buffer larger than requested by this factor, for its own overhead (socket(7)).
pub const SEND_BUFFER_OVERHEAD_FACTOR: usize = 2;

/// A shared stream; each clone keeps it open.
#[derive(Clone, Debug)]
pub struct Socket(Rc<TcpStream>);

impl Socket {
    pub fn new(stream: TcpStream) -> Self {
        // Without this option the system may delay small writes, which a reset would then discard.
        let _ = stream.set_nodelay(true);
        Socket(Rc::new(stream))
    }

    /// Wraps a stream that was received from another process.
    pub fn from_descriptor(descriptor: OwnedFd) -> io::Result<Self> {
        let stream = std::net::TcpStream::from(descriptor);
        stream.set_nonblocking(true)?;
        Ok(Socket::new(TcpStream::from_std(stream)?))
    }

    /// Reads at most [`MAX_READ_BYTES`] and returns their number; 0 at the end of the stream.
    pub fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<usize>> {
        self.poll_read_at_most(cx, buf, MAX_READ_BYTES)
    }

    /// Like [`Self::poll_read`], but reads at most `max_bytes`, which must not be zero.
    pub fn poll_read_at_most(
        &self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        max_bytes: usize,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read_buf(&mut buf.limit(max_bytes.min(MAX_READ_BYTES))) {
                Ok(count) => return Poll::Ready(Ok(count)),
                Err(error) if is_temporary(&error) => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    /// Writes some bytes and returns their number.
    pub fn poll_write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(buf) {
                Err(error) if is_temporary(&error) => {}
                written => return Poll::Ready(written),
            }
        }
    }

    /// Writes some bytes of these buffers, in order, and returns their number.
    pub fn poll_write_vectored(&self, cx: &mut Context<'_>, bufs: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write_vectored(bufs) {
                Err(error) if is_temporary(&error) => {}
                written => return Poll::Ready(written),
            }
        }
    }

    /// Writes some bytes and returns their number, even if the system does not report the socket as writable:
    /// it does so only once a third of the send buffer is free.
    ///
    /// # Errors
    /// The send buffer is full (`WouldBlock`), or the connection has failed.
    pub fn write_now(&self, buf: &[u8]) -> io::Result<usize> {
        socket2::SockRef::from(&*self.0).send_with_flags(buf, nix::libc::MSG_NOSIGNAL)
    }

    /// Size of the system's send buffer in bytes, including its overhead.
    pub fn send_buffer_bytes(&self) -> io::Result<usize> {
        socket2::SockRef::from(&*self.0).send_buffer_size()
    }

    /// Size of the system's receive buffer in bytes, including its overhead.
    pub fn receive_buffer_bytes(&self) -> io::Result<usize> {
        socket2::SockRef::from(&*self.0).recv_buffer_size()
    }

    /// Enlarges the system's send buffer, after which the system no longer adapts its size. False if it has
    /// not grown.
    pub fn enlarge_send_buffer(&self, size_bytes: usize) -> bool {
        let previous_bytes = self.send_buffer_bytes().unwrap_or(usize::MAX);
        let requested_bytes = size_bytes / SEND_BUFFER_OVERHEAD_FACTOR;
        let is_set = socket2::SockRef::from(&*self.0).set_send_buffer_size(requested_bytes).is_ok();
        is_set && self.send_buffer_bytes().is_ok_and(|size_bytes| size_bytes > previous_bytes)
    }

    /// Sets how many bytes must be unread before the system reports the socket as readable.
    #[allow(unsafe_code)]
    pub fn set_receive_low_watermark(&self, bytes: usize) {
        let bytes = nix::libc::c_int::try_from(bytes).unwrap_or(nix::libc::c_int::MAX);
        // SAFETY: the descriptor stays open during the call, which reads one `c_int` and keeps no pointer.
        unsafe {
            nix::libc::setsockopt(
                self.0.as_raw_fd(),
                nix::libc::SOL_SOCKET,
                nix::libc::SO_RCVLOWAT,
                (&raw const bytes).cast(),
                size_of::<nix::libc::c_int>() as nix::libc::socklen_t,
            )
        };
    }

    /// Ready once the system reports the socket as readable, which bytes below the low watermark do not make
    /// it, or once the connection has failed.
    pub fn poll_readable_at_watermark(&self, cx: &mut Context<'_>) -> Poll<()> {
        let is_open = ready!(self.0.poll_read_ready(cx)).is_ok();
        if is_open && !self.is_readable() {
            // The runtime still holds the readiness of earlier bytes. It cannot be cleared once the peer has
            // closed, so a second attempt would never end.
            let _ = self.0.try_io(Interest::READABLE, || Err::<(), _>(io::ErrorKind::WouldBlock.into()));
            return self.0.poll_read_ready(cx).map(drop);
        }
        Poll::Ready(())
    }

    /// The addresses of this side and of its peer.
    pub fn addresses(&self) -> io::Result<(SocketAddr, SocketAddr)> {
        Ok((self.0.local_addr()?, self.0.peer_addr()?))
    }

    /// Shuts down the writing side.
    pub fn shutdown_write(&self) -> io::Result<()> {
        socket2::SockRef::from(&*self.0).shutdown(Shutdown::Write)
    }

    /// Passes the bytes that have arrived to `consume`: 0 bytes at the end of the stream, or if the
    /// connection has failed. `None` if no bytes have arrived.
    pub fn try_read_with<T>(&self, consume: impl Fn(&[u8]) -> T) -> Option<T> {
        self.try_read_at_most_with(READ_BUFFER_BYTES, consume)
    }

    /// Like [`Self::try_read_with`], for at most `max_bytes`, which must not be 0.
    pub fn try_read_at_most_with<T>(&self, max_bytes: usize, consume: impl Fn(&[u8]) -> T) -> Option<T> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        let max_bytes = max_bytes.min(READ_BUFFER_BYTES);
        match self.0.try_read(&mut buffer[..max_bytes]) {
            Ok(count) => Some(consume(&buffer[..count])),
            Err(error) if is_temporary(&error) => None,
            Err(_) => Some(consume(&[])),
        }
    }

    /// Waits for bytes and passes them to `consume`: 0 bytes at the end of the stream, or if the connection
    /// has failed.
    pub async fn read_with<T>(&self, consume: impl Fn(&[u8]) -> T) -> T {
        loop {
            // If waiting fails, so does the read, which then counts as the end of the stream.
            let _ = self.0.readable().await;
            if let Some(result) = self.try_read_with(&consume) {
                return result;
            }
        }
    }

    /// Resolves when the peer has closed or reset the connection, even if bytes before that are unread.
    pub async fn peer_closed(&self) {
        // Without urgent data, the only events that the system reports for this interest are closes and
        // resets.
        let readiness = self.0.ready(Interest::PRIORITY).await;
        if !readiness.is_ok_and(|ready| ready.is_read_closed()) {
            std::future::pending().await
        }
    }

    /// Whether the peer has closed or reset the connection. Polls the system instead of the runtime: the
    /// runtime does not see a close whose event it has not processed yet, or that unread bytes hide.
    pub fn is_peer_closed(&self) -> bool {
        // `nix` has no constant for a close by the peer; a reset is always reported.
        has_event(&self.0, PollFlags::from_bits_retain(nix::libc::POLLRDHUP))
    }

    /// Whether there are bytes to read, or the end of the stream. Polls the system, like
    /// [`Self::is_peer_closed`].
    pub fn is_readable(&self) -> bool {
        has_event(&self.0, PollFlags::POLLIN)
    }

    /// Whether bytes have arrived that are not read yet. Polls the system, like [`Self::is_peer_closed`]; the
    /// bytes stay unread.
    pub fn has_unread_bytes(&self) -> bool {
        self.is_readable()
            && socket2::SockRef::from(&*self.0)
                .peek(&mut [MaybeUninit::uninit()])
                .is_ok_and(|count| count > 0)
    }

    /// Number of bytes that were written and that the peer's system has not acknowledged; a shutdown of the
    /// writing side counts as one byte. 0 if the system does not report it.
    pub fn unacknowledged_bytes(&self) -> usize {
        self.queued_bytes(nix::libc::TIOCOUTQ)
    }

    /// Number of bytes that have arrived and have not been read. 0 if the system does not report it.
    pub fn unread_bytes(&self) -> usize {
        self.queued_bytes(nix::libc::FIONREAD)
    }

    /// How long ago the latest segment with bytes arrived. `None` if the system does not report it.
    #[allow(unsafe_code)]
    pub fn time_since_latest_arrival(&self) -> Option<Duration> {
        let mut info = MaybeUninit::<nix::libc::tcp_info>::zeroed();
        let mut length = size_of::<nix::libc::tcp_info>() as nix::libc::socklen_t;
        // SAFETY: the descriptor stays open during the call, which writes at most `length` bytes to `info` and keeps no
        // pointer. `tcp_info` consists of integers, for which any bytes are valid.
        let (result, info) = unsafe {
            let result = nix::libc::getsockopt(
                self.0.as_raw_fd(),
                nix::libc::IPPROTO_TCP,
                nix::libc::TCP_INFO,
                info.as_mut_ptr().cast(),
                &raw mut length,
            );
            (result, info.assume_init())
        };
        (result == 0).then(|| Duration::from_millis(u64::from(info.tcpi_last_data_recv)))
    }

    /// Number of bytes in a queue of the system, which `request` selects.
    #[allow(unsafe_code)]
    fn queued_bytes(&self, request: nix::libc::Ioctl) -> usize {
        let mut count: nix::libc::c_int = 0;
        // SAFETY: the descriptor stays open during the call, which writes one `c_int` to `count` and keeps no
        // pointer.
        let result = unsafe { nix::libc::ioctl(self.0.as_raw_fd(), request, &mut count) };
        if result == 0 {
            usize::try_from(count).unwrap_or(0)
        } else {
            0
        }
    }

    /// Resolves when there are bytes to read, or the stream has ended or failed; the bytes stay unread.
    pub async fn arrival(&self) {
        let _ = self.0.peek(&mut [0]).await;
    }

    /// For each socket, whether there are bytes to read, or the end of the stream. Polls the system once for
    /// all sockets.
    pub fn poll_readable<'a>(sockets: impl Iterator<Item = &'a Socket>) -> Vec<bool> {
        let mut polled: Vec<_> =
            sockets.map(|socket| PollFd::new(socket.0.as_fd(), PollFlags::POLLIN)).collect();
        // If polling fails, the check before the first byte of a request still applies.
        let _ = poll(&mut polled, PollTimeout::ZERO);
        polled.iter().map(|socket| socket.any().unwrap_or(false)).collect()
    }
}

impl AsFd for Socket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}

/// Whether the process or the system lacks descriptors, buffers or memory for a socket, or was interrupted: it may lack
/// them for a moment only.
pub fn is_short_of_resources(error: &io::Error) -> bool {
    let causes = [Errno::EMFILE, Errno::ENFILE, Errno::ENOBUFS, Errno::ENOMEM, Errno::EAGAIN, Errno::EINTR];
    error.raw_os_error().is_some_and(|code| causes.contains(&Errno::from_raw(code)))
}

/// Whether an operation can be retried once the system reports the socket as ready.
fn is_temporary(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

fn has_event(stream: &TcpStream, events: PollFlags) -> bool {
    loop {
        match poll(&mut [PollFd::new(stream.as_fd(), events)], PollTimeout::ZERO) {
            Err(Errno::EINTR) => {}
            polled => return polled.is_ok_and(|count| count > 0),
        }
    }
}
