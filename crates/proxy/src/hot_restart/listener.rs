//! The listener of a process: inherited from the platform, or bound as soon as the predecessor has released its address.

use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, FromRawFd, RawFd};
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::Instant;
use tracing::info;

/// Names the descriptor of an inherited listener.
const LISTENER_VARIABLE: &str = "RELAY_ACCEPT_FD";
/// Lower descriptors are the standard streams.
const MIN_LISTENER_DESCRIPTOR: RawFd = 3;
/// Connections waiting to be accepted.
const MAX_BACKLOG_CONNECTIONS: u32 = 1_024;
/// How long to wait before another attempt at an address that another process holds.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// A process that is not ready within 30 s counts as crashed (FLEET, "The gate"), and its log should say why before.
const BIND_TIMEOUT: Duration = Duration::from_secs(25);

/// Why the inherited listener cannot be used.
#[derive(Debug, Error)]
pub enum InheritedListenerError {
    /// The variable names no listening socket.
    #[error("RELAY_ACCEPT_FD {value:?} is no listening socket")]
    NotListening {
        /// The variable's value.
        value: OsString,
    },
    /// The socket cannot be made non-blocking.
    #[error("RELAY_ACCEPT_FD {value:?}: {source}")]
    Setup {
        /// The variable's value.
        value: OsString,
        /// The system's error.
        source: io::Error,
    },
}

/// The listener that `$RELAY_ACCEPT_FD` names, if it is set. To be called once, before the program opens anything.
///
/// # Errors
/// The variable names no listening socket, or that cannot be set up.
pub fn inherited_listener() -> Result<Option<std::net::TcpListener>, InheritedListenerError> {
    let Some(value) = std::env::var_os(LISTENER_VARIABLE) else { return Ok(None) };
    let descriptor = value.to_str().and_then(|text| text.trim().parse().ok());
    let Some(listener) = descriptor.and_then(adopt) else {
        return Err(InheritedListenerError::NotListening { value });
    };
    match listener.set_nonblocking(true) {
        Ok(()) => Ok(Some(listener)),
        Err(source) => Err(InheritedListenerError::Setup { value, source }),
    }
}

/// Makes a listener of an open descriptor that is one.
#[allow(unsafe_code)]
pub(super) fn adopt(descriptor: RawFd) -> Option<std::net::TcpListener> {
    if descriptor < MIN_LISTENER_DESCRIPTOR {
        return None;
    }
    // SAFETY: borrowed for one query only, which fails if nothing is open under this number.
    let borrowed = unsafe { BorrowedFd::borrow_raw(descriptor) };
    if !socket2::SockRef::from(&borrowed).is_listener().unwrap_or(false) {
        return None;
    }
    // SAFETY: the query above has shown it open, and nothing else in this process owns it: the platform passed it under
    // this number, and this is called once, before the program opens anything.
    Some(unsafe { std::net::TcpListener::from_raw_fd(descriptor) })
}

/// Binds the listener, waiting for its address while another process holds it.
///
/// # Errors
/// The address cannot be bound, or was not free in time.
pub async fn bind_when_free(address: SocketAddr) -> io::Result<TcpListener> {
    let began = Instant::now();
    let mut is_reported = false;
    loop {
        match bind(address) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && began.elapsed() < BIND_TIMEOUT => {
                if !is_reported {
                    info!(%address, "waiting for the address: another process listens there");
                    is_reported = true;
                }
                tokio::time::sleep(BIND_RETRY_INTERVAL).await;
            }
            done => return done,
        }
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(MAX_BACKLOG_CONNECTIONS)
}
