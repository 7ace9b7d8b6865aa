//! One poll for the endpoint list, on a connection that may serve the next one too.

use super::list_update::InvalidEndpointList;
use crate::endpoint_list::EndpointList;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Most bytes of a list: 4 KiB an endpoint, ten times what an indented one takes, for 1,024 endpoints.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Why a poll brought no list.
#[derive(Debug, Error)]
pub enum PollError {
    /// No connection could be opened.
    #[error("no connection: {0}")]
    Connect(#[from] io::Error),
    /// The connection was opened, but it cannot be used.
    #[error("no connection: {0}")]
    Handshake(#[source] hyper::Error),
    /// The service answers that it has no list to give now: it is at capacity.
    #[error("answered {0}")]
    Rejected(StatusCode),
    /// No answer within the timeout.
    #[error("no answer")]
    TimedOut,
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The connection broke before the head of the answer.
    #[error(transparent)]
    Exchange(#[from] hyper::Error),
    /// The body of the answer broke off, or is longer than a list may be.
    #[error("{0}")]
    Body(#[source] Box<dyn Error + Send + Sync>),
    /// The body of the answer cannot be read as a list.
    #[error("invalid endpoint list: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The list can be read, but does not follow on the one in force.
    #[error("invalid endpoint list: {0}")]
    Invalid(#[from] InvalidEndpointList),
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
    /// Connects to discovery.
    pub async fn open(address: SocketAddr) -> Result<Self, PollError> {
        let stream = TcpStream::connect(address).await?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(PollError::Handshake)?;
        let task = tokio::task::spawn_local(async move {
            // A broken connection shows in the poll that uses it.
            let _ = connection.await;
        });
        let mut connection = PollConnection { address, sender, task };
        connection.sender.ready().await.map_err(PollError::Handshake)?;
        Ok(connection)
    }

    /// Reconnects if the service has closed the connection, as it may after any answer.
    pub async fn reconnect_if_closed(&mut self) -> Result<(), PollError> {
        if self.sender.ready().await.is_err() {
            *self = PollConnection::open(self.address).await?;
        }
        Ok(())
    }

    /// Polls for what is newer than `version`, waiting up to `wait` for it; without a version, for a snapshot.
    pub async fn poll(&mut self, version: Option<u64>, wait: Duration) -> Result<EndpointList, PollError> {
        let path = match version {
            Some(version) => format!("/catalog/members?index={version}&wait={}", wait.as_millis()),
            None => "/catalog/members".to_owned(),
        };
        let request = hyper::Request::get(path).header(HOST, self.address.to_string()).body(Empty::new())?;
        let response = self.sender.send_request(request).await?;
        if response.status() != StatusCode::OK {
            return Err(PollError::Rejected(response.status()));
        }
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await;
        let body = body.map_err(PollError::Body)?;
        Ok(serde_json::from_slice(&body.to_bytes())?)
    }
}
