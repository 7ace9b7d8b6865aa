//! A crowd of clients that send no complete request: half are idle, the others send a request byte by byte
//! and never finish it.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// What a slow client sends, byte by byte.
const INCOMPLETE_REQUEST: &[u8] = b"GET /card-check HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: 0";
/// Interval between two bytes of a slow client.
const BYTE_INTERVAL: Duration = Duration::from_millis(40);

/// The open connections; dropping it closes them.
pub struct Crowd {
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Opens `connections` connections to each address.
    pub fn open(addresses: &[SocketAddr], connections: usize) -> Self {
        let mut clients = JoinSet::new();
        for &address in addresses {
            for number in 0..connections {
                clients.spawn(client(address, number % 2 == 0));
            }
        }
        Crowd { _clients: clients }
    }
}

/// Runs one connection until its proxy closes it or the crowd is dropped.
async fn client(address: SocketAddr, is_idle: bool) {
    let Ok(mut stream) = TcpStream::connect(address).await else { return };
    if is_idle {
        return super::http::wait_until_closed(&stream).await;
    }
    for byte in INCOMPLETE_REQUEST {
        if stream.write_all(&[*byte]).await.is_err() {
            return;
        }
        sleep(BYTE_INTERVAL).await;
    }
    super::http::wait_until_closed(&stream).await;
}
