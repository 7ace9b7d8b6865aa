//! The listener of a process: inherited from the platform, or bound once the predecessor has released the
//! address.

use crate::socket::is_short_of_resources;
use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, FromRawFd, RawFd};
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::Instant;
use tracing::info;

/// The environment variable with the descriptor number of an inherited listener.
const LISTENER_VARIABLE: &str = "RELAY_ACCEPT_FD";
/// Lower descriptors are the standard streams.
const MIN_LISTENER_DESCRIPTOR: RawFd = 3;
/// Maximum number of connections that wait to be accepted.
const MAX_BACKLOG_CONNECTIONS: u32 = 1_024;
/// Interval between attempts to bind an address that another process is using.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// A process that is not ready within 30 s counts as crashed (FLEET, "The gate"); the cause must be logged
/// before that.
const BIND_TIMEOUT: Duration = Duration::from_secs(25);

/// Why the inherited listener cannot be used.
#[derive(Debug, Error)]
pub enum InheritedListenerError {
    /// The variable does not name a listening socket.
    #[error("RELAY_ACCEPT_FD {value:?} is not a listening socket")]
    NotListening {
        /// The variable's value.
        value: OsString,
    },
    /// The socket cannot be made non-blocking.
    #[error("cannot make the socket of RELAY_ACCEPT_FD {value:?} non-blocking: {source}")]
    Setup {
        /// The variable's value.
        value: OsString,
        /// The system's error.
        source: io::Error,
    },
}

/// The listener that `$RELAY_ACCEPT_FD` names, if it is set. Must be called once, before the program opens
/// any file or socket.
///
/// # Errors
/// The variable does not name a listening socket, or the socket cannot be made non-blocking.
pub fn inherited_listener() -> Result<Option<std::net::TcpListener>, InheritedListenerError> {
    let Some(value) = std::env::var_os(LISTENER_VARIABLE) else { return Ok(None) };
    let descriptor = value.to_str().and_then(|text| text.trim().parse().ok());
    let Some(listener) = descriptor.and_then(adopt_listener) else {
        return Err(InheritedListenerError::NotListening { value });
    };
    match listener.set_nonblocking(true) {
        Ok(()) => Ok(Some(listener)),
        Err(source) => Err(InheritedListenerError::Setup { value, source }),
    }
}

/// Takes ownership of an open descriptor as a listener. `None` if it is not a listening socket.
#[allow(unsafe_code)]
pub(super) fn adopt_listener(descriptor: RawFd) -> Option<std::net::TcpListener> {
    if descriptor < MIN_LISTENER_DESCRIPTOR {
        return None;
    }
    // SAFETY: borrowed for a single query, which fails if the descriptor is not open.
    let borrowed = unsafe { BorrowedFd::borrow_raw(descriptor) };
    if !socket2::SockRef::from(&borrowed).is_listener().unwrap_or(false) {
        return None;
    }
    // SAFETY: the query above has shown that the descriptor is open, and nothing else in this process owns
    // it: the platform passed it under this number, and this is called once, before the program opens any
    // file or socket.
    Some(unsafe { std::net::TcpListener::from_raw_fd(descriptor) })
}

/// Binds the listener. Retries while another process is using the address, or the system lacks the means for a socket.
///
/// # Errors
/// The address cannot be bound, or is still in use after [`BIND_TIMEOUT`].
pub async fn bind_when_free(address: SocketAddr) -> io::Result<TcpListener> {
    let began = Instant::now();
    let mut is_logged = false;
    loop {
        match bind(address) {
            Err(error) if is_short_of_resources(&error) && began.elapsed() < BIND_TIMEOUT => {
                tokio::time::sleep(BIND_RETRY_INTERVAL).await;
            }
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && began.elapsed() < BIND_TIMEOUT => {
                if !is_logged {
                    info!(%address, "listen address in use by another process, waiting for its release");
                    is_logged = true;
                }
                tokio::time::sleep(BIND_RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(MAX_BACKLOG_CONNECTIONS)
}
