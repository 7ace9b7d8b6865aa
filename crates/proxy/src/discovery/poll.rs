//! Polls of the endpoint list. Successive polls can use the same connection.

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

/// Maximum length of a list: 1,024 endpoints of 4 KiB each, ten times the length of an indented entry.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Why a poll did not return a list.
#[derive(Debug, Error)]
pub enum PollError {
    /// No connection could be opened.
    #[error("connection failed: {0}")]
    Connect(#[from] io::Error),
    /// The HTTP handshake on the connection failed.
    #[error("HTTP handshake failed: {0}")]
    Handshake(#[source] hyper::Error),
    /// The service answered with an error status, for example because it is at capacity.
    #[error("rejected with status {0}")]
    Rejected(StatusCode),
    /// No answer within the timeout.
    #[error("poll timed out")]
    TimedOut,
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The connection failed before the head of the answer was received.
    #[error(transparent)]
    Exchange(#[from] hyper::Error),
    /// The body of the answer was truncated, or exceeds `MAX_LIST_BYTES`.
    #[error("{0}")]
    Body(#[source] Box<dyn Error + Send + Sync>),
    /// The body of the answer cannot be parsed as a list.
    #[error("invalid endpoint list: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The list is well-formed, but cannot be applied to the one in force.
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
            // The poll that uses the connection reports its failure.
            let _ = connection.await;
        });
        let mut connection = PollConnection { address, sender, task };
        connection.sender.ready().await.map_err(PollError::Handshake)?;
        Ok(connection)
    }

    /// Reconnects if the service has closed the connection, which it may do after any answer.
    pub async fn reconnect_if_closed(&mut self) -> Result<(), PollError> {
        if self.sender.ready().await.is_err() {
            *self = PollConnection::open(self.address).await?;
        }
        Ok(())
    }

    /// Polls for updates newer than `version`, which the service may wait for up to `wait`. Without a version, polls
    /// for a snapshot.
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
