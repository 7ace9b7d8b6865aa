//! The admin endpoint: answers one request line per connection with the health or the metrics of the process. Requests
//! do not change any state.

use crate::dispatcher::Dispatcher;
use crate::membership::MembershipService;
use crate::metrics::MetricsReport;
use crate::shutdown_progress::ShutdownProgress;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

/// Maximum number of open connections. A further one closes the oldest, so that idle connections do not block others.
const MAX_CONNECTIONS: usize = 12;
/// Maximum number of connections waiting to be accepted.
const MAX_BACKLOG_CONNECTIONS: u32 = 64;
/// Maximum length of a request line, without its line end.
const MAX_REQUEST_LINE_BYTES: usize = 64;
/// Timeout for a client to send its request line.
const REQUEST_LINE_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for a client to read the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of bytes that are read and discarded after the response. Closing a socket with unread bytes resets
/// the connection, which could destroy the response.
const MAX_DISCARDED_BYTES: u64 = 64 * 1024;
/// Delay before listening or accepting is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The parts of the program whose state is reported.
#[derive(Clone)]
pub struct Sources {
    pub dispatcher: Dispatcher,
    pub membership: Option<Rc<MembershipService>>,
    pub shutdown: Rc<ShutdownProgress>,
}

impl Sources {
    /// The current metrics.
    fn report(&self) -> MetricsReport {
        MetricsReport {
            membership: self.membership.as_deref().and_then(MembershipService::report),
            shutdown: self.shutdown.report(),
            ..self.dispatcher.report()
        }
    }
}

/// Serves the admin endpoint at `address` for as long as the program runs.
pub async fn run(sources: Sources, address: SocketAddr) {
    let listener = listen(address).await;
    if let Ok(address) = listener.local_addr() {
        info!(%address, "admin endpoint listening");
    }
    let mut connections = JoinSet::new();
    let mut oldest_first: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    oldest_first.retain(|connection| !connection.is_finished());
                    if oldest_first.len() >= MAX_CONNECTIONS {
                        if let Some(oldest) = oldest_first.pop_front() {
                            oldest.abort();
                        }
                    }
                    let connection = serve(sources.clone(), stream);
                    oldest_first.push_back(connections.spawn_local(connection));
                }
                Err(_) => sleep(RETRY_DELAY).await,
            },
            // The result of a connection only concerns its client.
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Listens at `address`, retrying until that succeeds. The process serves its clients meanwhile.
async fn listen(address: SocketAddr) -> TcpListener {
    let mut warned = false;
    loop {
        match try_listen(address) {
            Ok(listener) => return listener,
            Err(error) if !warned => {
                warn!(%address, reason = %error, "admin endpoint failed to listen, retrying");
                warned = true;
            }
            Err(_) => {}
        }
        sleep(RETRY_DELAY).await;
    }
}

fn try_listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(MAX_BACKLOG_CONNECTIONS)
}

/// Serves one connection: reads a line, writes the response and closes.
async fn serve(sources: Sources, mut stream: TcpStream) {
    let response = match timeout(REQUEST_LINE_TIMEOUT, read_request_line(&mut stream)).await {
        Ok(Some(line)) => respond(&sources, &line),
        Ok(None) => return,
        Err(_) => "NO not a whole line in time\n".to_owned(),
    };
    // The connection of a client that does not read its response is closed.
    let _ = timeout(RESPONSE_TIMEOUT, send_response(stream, &response)).await;
}

async fn send_response(mut stream: TcpStream, response: &str) -> io::Result<()> {
    stream.write_all(response.as_bytes()).await?;
    stream.shutdown().await?;
    let mut unread = stream.take(MAX_DISCARDED_BYTES);
    tokio::io::copy(&mut unread, &mut tokio::io::sink()).await?;
    Ok(())
}

/// Reads the request line without its line end; of a line that is too long, its beginning. `None` if the client sent
/// nothing.
async fn read_request_line(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut line = Vec::new();
    let mut chunk = [0; MAX_REQUEST_LINE_BYTES + 1];
    while line.len() <= MAX_REQUEST_LINE_BYTES {
        let count = stream.read(&mut chunk).await.ok()?;
        line.extend_from_slice(&chunk[..count]);
        if let Some(end) = line.iter().position(|&byte| byte == b'\n') {
            line.truncate(end);
            line.pop_if(|last| *last == b'\r');
            return Some(line);
        }
        if count == 0 {
            return (!line.is_empty()).then_some(line);
        }
    }
    Some(line)
}

fn respond(sources: &Sources, line: &[u8]) -> String {
    match line {
        b"HEALTH" if sources.dispatcher.is_accepting() => "YES\n".to_owned(),
        b"HEALTH" => "NO clients are not taken any more\n".to_owned(),
        b"DUMP" => match serde_json::to_string(&sources.report()) {
            Ok(json) => format!("{json}\nEND\n"),
            Err(error) => format!("NO {error}\n"),
        },
        _ => "NO only HEALTH and DUMP are known\n".to_owned(),
    }
}
