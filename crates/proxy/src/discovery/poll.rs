//! One call for the list, on a connection that may serve the next one too.

use crate::endpoint_list::EndpointList;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Most bytes of a list: 4 KiB an entry, ten times what an indented one takes, for 1,024 entries.
const LIST_MOST: usize = 4 << 20;

/// Why a call brought no list.
#[derive(Debug)]
pub enum PollError {
    /// The service answers that it has none to give now: it is full.
    Refused(StatusCode),
    /// No answer in its time.
    Silent,
    /// All else, in words.
    Failed(String),
}

impl From<String> for PollError {
    fn from(reason: String) -> Self {
        PollError::Failed(reason)
    }
}

impl std::fmt::Display for PollError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            PollError::Refused(status) => write!(f, "answered {status}"),
            PollError::Silent => f.write_str("no answer"),
            PollError::Failed(reason) => f.write_str(reason),
        }
    }
}

/// A connection to discovery.
pub struct PollConnection {
    address: SocketAddr,
    sender: SendRequest<Empty<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for PollConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl PollConnection {
    pub async fn open(address: SocketAddr) -> Result<Self, String> {
        let fault = |e: &dyn std::fmt::Display| format!("no connection: {e}");
        let stream = TcpStream::connect(address).await.map_err(|e| fault(&e))?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(|e| fault(&e))?;
        let task = tokio::task::spawn_local(async move {
            // A broken connection shows in the call that uses it.
            let _ = connection.await;
        });
        let mut link = PollConnection { address, sender, task };
        link.sender.ready().await.map_err(|e| fault(&e))?;
        Ok(link)
    }

    /// Opens the connection anew if the service has closed it, as it may after any answer.
    pub async fn renew(&mut self) -> Result<(), String> {
        if self.sender.ready().await.is_err() {
            *self = PollConnection::open(self.address).await?;
        }
        Ok(())
    }

    /// Asks for what is newer than this version, and waits so long for it; without one, for the whole list.
    pub async fn ask(&mut self, index: Option<u64>, wait: Duration) -> Result<EndpointList, PollError> {
        let path = match index {
            Some(index) => format!("/catalog/members?index={index}&wait={}", wait.as_millis()),
            None => "/catalog/members".to_owned(),
        };
        let request = hyper::Request::get(path).header(HOST, self.address.to_string()).body(Empty::new());
        let request = request.map_err(|e| e.to_string())?;
        let answer = self.sender.send_request(request).await.map_err(|e| e.to_string())?;
        if answer.status() != StatusCode::OK {
            return Err(PollError::Refused(answer.status()));
        }
        let body = Limited::new(answer.into_body(), LIST_MOST).collect().await.map_err(|e| e.to_string())?;
        Ok(serde_json::from_slice(&body.to_bytes()).map_err(|e| format!("odd list: {e}"))?)
    }
}
