//! Closes a client connection so that all that was written to it arrives.

use super::delivery::delivered;
use crate::socket::Socket;
use std::time::Duration;

/// What a client sends as its connection closes is read and discarded for this long: a close over unread bytes is a
/// reset, which discards what the client has not received yet. Far longer than a round trip between the two, which are on
/// one machine, and short enough for an invalid client to be disconnected within its 3 s (TERMS).
pub const LINGER_TIMEOUT: Duration = Duration::from_millis(250);
/// The same where the connection's capacity is needed for another.
pub const EVICTION_LINGER_TIMEOUT: Duration = Duration::from_millis(50);
/// What a client sends beyond this while its connection closes is not read any more.
const MAX_LINGER_BYTES: usize = 256 * 1024;

/// Ends the writing side, then reads until the client has ended its own, or the linger timeout is over and the client's
/// system has received all that was written.
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
