//! Connections of slow clients, and the pacing of transfers.

use std::io::Result;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};

/// Receive buffer of a slow client: small, so that unread bytes wait at its proxy.
const RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;

/// Connects with a small receive buffer.
pub async fn connect(address: SocketAddr) -> Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.connect(address).await
}

/// Time to transfer `bytes` at `rate` bytes per second.
pub fn pace(bytes: usize, rate: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / rate.max(1) as f64)
}
