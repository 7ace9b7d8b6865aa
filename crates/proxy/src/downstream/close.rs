//! Closes a client connection without losing bytes that were written to it.

use super::delivery::delivered;
use crate::socket::Socket;
use std::time::Duration;

/// How long bytes that a client sends while its connection closes are read and discarded: closing with unread
/// bytes resets the connection, which discards data that the client has not received yet. Far longer than a
/// round trip, as client and proxy share a machine, and short enough to disconnect an invalid client within
/// its 3 s (TERMS).
pub const LINGER_TIMEOUT: Duration = Duration::from_millis(250);
/// Linger timeout of a connection that is evicted because its capacity is needed for another.
pub const EVICTION_LINGER_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum number of bytes that are read and discarded while a connection closes.
const MAX_LINGER_BYTES: usize = 256 * 1024;

/// Shuts down the writing side, then reads until the client has closed its side, or until the linger timeout
/// has expired and the client's system has acknowledged all written bytes.
pub async fn close_gracefully(socket: &Socket, linger_timeout: Duration) {
    if socket.shutdown_write().is_err() {
        return;
    }
    tokio::select! {
        () = discard_until_end(socket) => {}
        () = linger(socket, linger_timeout) => {}
    }
}

async fn linger(socket: &Socket, linger_timeout: Duration) {
    tokio::time::sleep(linger_timeout).await;
    delivered(socket).await;
}

async fn discard_until_end(socket: &Socket) {
    let mut remaining_bytes = MAX_LINGER_BYTES;
    while remaining_bytes > 0 {
        match socket.read_with(<[u8]>::len).await {
            0 => return,
            count => remaining_bytes = remaining_bytes.saturating_sub(count),
        }
    }
    socket.peer_closed().await;
}
