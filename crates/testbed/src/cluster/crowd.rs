//! A crowd of clients that ask nothing: half are idle, the others send a request that they never complete.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// What a slow client sends, a byte at a time.
const INCOMPLETE_REQUEST: &[u8] = b"GET /card-check HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: 0";
/// Between two bytes of a slow client.
const BYTE_INTERVAL: Duration = Duration::from_millis(40);

/// The connections of a crowd, which close when this is dropped.
pub struct Crowd {
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Opens so many connections to each of these addresses.
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

/// One connection, until its proxy closes it or the crowd leaves.
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
