//! The stream of a slow client, and the pace of its bytes.

use std::io::Result;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};

/// The receive buffer of a slow client, so that what it has not read yet waits at its proxy.
const RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;

/// Connects as a client does whose buffers are small.
pub async fn connect(address: SocketAddr) -> Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.connect(address).await
}

/// How long so many bytes take at so many a second.
pub fn pace(bytes: usize, rate: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / rate.max(1) as f64)
}
