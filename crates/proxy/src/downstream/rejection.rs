//! Rejects a request of which the head cannot be read.

use super::close::{close_gracefully, LINGER_TIMEOUT};
use super::response::{retry_after_seconds, CAPACITY_RETRY_AFTER_US};
use crate::socket::Socket;
use std::future::poll_fn;
use tokio::time::timeout;

/// Answers a request that the HTTP parser has not read with a rejection, which may be retried, and closes the connection.
/// Everything before that request must have been answered.
pub async fn reject_unread_request(socket: &Socket) {
    let retry_after = retry_after_seconds(CAPACITY_RETRY_AFTER_US);
    let response = format!(
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {retry_after}\r\nConnection: close\r\n\
         Content-Length: 7\r\n\r\nrefused"
    );
    let _ = timeout(LINGER_TIMEOUT, write_all(socket, response.as_bytes())).await;
    close_gracefully(socket, LINGER_TIMEOUT).await;
}

async fn write_all(socket: &Socket, mut bytes: &[u8]) {
    while !bytes.is_empty() {
        let Ok(count) = poll_fn(|cx| socket.poll_write(cx, bytes)).await else { return };
        bytes = &bytes[count..];
    }
}
