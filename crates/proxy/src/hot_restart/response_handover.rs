//! Passes responses that a process cannot finish before it may be killed to its successor, with the connections that they go
//! between.
//!
//! One connection to the successor carries one response. The predecessor sends an [`Offer`] with the descriptors of the
//! connections, the successor accepts it, the predecessor sends the bytes that the client has not got, the successor confirms
//! them, and the predecessor commits. Before that the response is the predecessor's, and from then on the successor's.

use super::directory::shared_directory;
use crate::body::{BodySource, DetachedBody, DetachedResponse};
use crate::descriptors::ConnectionDescriptors;
use crate::socket::Socket;
use bytes::Bytes;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags,
};
use serde::{Deserialize, Serialize};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{UnixListener, UnixStream};
use tokio::time::timeout;
use tracing::warn;

/// Where a successor takes responses over.
const SOCKET_FILE: &str = "oakport-responses.sock";
/// The predecessor keeps a response that the successor has not taken over by then.
const PREDECESSOR_TIMEOUT: Duration = Duration::from_millis(400);
/// The successor gives an exchange up that is not complete by then.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before accepting is retried.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Most bytes of an offer.
const MAX_OFFER_BYTES: usize = 256;
/// Most descriptors of an offer: the client's connection and the endpoint's.
const MAX_DESCRIPTORS: usize = 2;
const ACCEPTED: u8 = b'+';
const RECEIVED: u8 = b'=';
const COMMITTED: u8 = b'.';

/// A response that the predecessor would pass on.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Offer {
    /// Bytes that have been read from the endpoint, and that the client has not got.
    pub unsent_bytes: usize,
    /// Bytes that are still to be read from the endpoint. Without any, its connection is not offered.
    pub remaining_bytes: u64,
}

/// Why a response was not passed on or taken over.
#[derive(Debug, Error)]
pub enum HandoverError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("not in time")]
    TimedOut,
    #[error("the successor has no capacity for it")]
    Rejected,
    #[error("an unknown offer")]
    InvalidOffer,
    #[error("the predecessor kept it")]
    NotCommitted,
}

impl From<rustix::io::Errno> for HandoverError {
    fn from(error: rustix::io::Errno) -> Self {
        HandoverError::Io(error.into())
    }
}

/// Where a process finds its successor.
#[derive(Clone, Debug)]
pub struct SuccessorAddress {
    path: PathBuf,
}

impl SuccessorAddress {
    /// In `$TMPDIR`, if it is set.
    pub fn find() -> Option<Self> {
        shared_directory().map(|directory| SuccessorAddress { path: directory.join(SOCKET_FILE) })
    }

    /// Connects to the successor. `None` if none takes responses over.
    pub async fn connect(&self) -> Option<SuccessorConnection> {
        let stream = UnixStream::connect(&self.path).await.ok()?;
        // Left by this process as it was a successor itself.
        let is_own = stream.peer_cred().ok()?.pid() == i32::try_from(std::process::id()).ok();
        (!is_own).then_some(SuccessorConnection { stream })
    }
}

/// A connection to the successor, for one response.
#[derive(Debug)]
pub struct SuccessorConnection {
    stream: UnixStream,
}

impl SuccessorConnection {
    /// Passes a response on. From then on this process must neither use its connections nor shut them down.
    ///
    /// # Errors
    /// The response is still this process's.
    pub async fn hand_over(mut self, response: &DetachedResponse) -> Result<(), HandoverError> {
        let exchange = timeout(PREDECESSOR_TIMEOUT, self.offer(response)).await;
        exchange.unwrap_or(Err(HandoverError::TimedOut))
    }

    async fn offer(&mut self, response: &DetachedResponse) -> Result<(), HandoverError> {
        let offer =
            Offer { unsent_bytes: response.unsent_bytes(), remaining_bytes: response.remaining_bytes() };
        let text = serde_json::to_vec(&offer).map_err(io::Error::from)?;
        let source = response.rest.source.as_ref();
        let descriptors: Vec<BorrowedFd<'_>> = std::iter::once(&response.client)
            .chain(source.map(|source| &source.socket))
            .map(AsFd::as_fd)
            .collect();
        self.stream
            .async_io(Interest::WRITABLE, || send_with_descriptors(&self.stream, &text, &descriptors))
            .await?;
        self.expect(ACCEPTED).await?;
        for bytes in &response.rest.read {
            self.stream.write_all(bytes).await?;
        }
        self.expect(RECEIVED).await?;
        // Once the system has this byte, the successor goes on.
        self.stream.write_all(&[COMMITTED]).await?;
        Ok(())
    }

    async fn expect(&mut self, reply: u8) -> Result<(), HandoverError> {
        if self.stream.read_u8().await? == reply {
            Ok(())
        } else {
            Err(HandoverError::Rejected)
        }
    }
}

fn send_with_descriptors(stream: &UnixStream, text: &[u8], descriptors: &[BorrowedFd<'_>]) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    ancillary.push(SendAncillaryMessage::ScmRights(descriptors));
    let count = rustix::net::sendmsg(stream, &[IoSlice::new(text)], &mut ancillary, SendFlags::NOSIGNAL)?;
    if count == text.len() {
        Ok(())
    } else {
        Err(io::ErrorKind::WriteZero.into())
    }
}

/// Takes responses over from the predecessor.
#[derive(Debug)]
pub struct HandoverListener {
    listener: UnixListener,
}

impl HandoverListener {
    /// Listens in `$TMPDIR`, in place of an earlier process. `None` if that is not possible: the predecessor then keeps its
    /// responses.
    pub fn open() -> Option<Self> {
        let path = shared_directory()?.join(SOCKET_FILE);
        match HandoverListener::bind(&path) {
            Ok(listener) => Some(HandoverListener { listener }),
            Err(error) => {
                warn!(path = %path.display(), reason = %error, "no responses taken over from the predecessor");
                None
            }
        }
    }

    fn bind(path: &Path) -> io::Result<UnixListener> {
        // The file of an earlier process remains after its end.
        let _ = std::fs::remove_file(path);
        UnixListener::bind(path)
    }

    /// The next connection of the predecessor.
    pub async fn accept(&self) -> PredecessorConnection {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => return PredecessorConnection { stream },
                // Without a descriptor the predecessor keeps its response.
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
            }
        }
    }
}

/// A connection of the predecessor, for one response.
#[derive(Debug)]
pub struct PredecessorConnection {
    stream: UnixStream,
}

/// A response that the predecessor offers, with its connections. They are closed, and not shut down, if it is dropped.
#[derive(Debug)]
pub struct OfferedResponse {
    stream: UnixStream,
    offer: Offer,
    client: OwnedFd,
    endpoint: Option<OwnedFd>,
}

impl PredecessorConnection {
    /// Reads the offer.
    ///
    /// # Errors
    /// It did not come, or is none.
    pub async fn read_offer(self) -> Result<OfferedResponse, HandoverError> {
        let read = self.stream.async_io(Interest::READABLE, || receive_with_descriptors(&self.stream));
        let (text, descriptors) =
            timeout(SUCCESSOR_TIMEOUT, read).await.map_err(|_| HandoverError::TimedOut)??;
        let offer: Offer = serde_json::from_slice(&text).map_err(|_| HandoverError::InvalidOffer)?;
        let mut descriptors = descriptors.into_iter();
        let client = descriptors.next().ok_or(HandoverError::InvalidOffer)?;
        let endpoint = descriptors.next();
        if endpoint.is_some() != (offer.remaining_bytes > 0) {
            return Err(HandoverError::InvalidOffer);
        }
        Ok(OfferedResponse { stream: self.stream, offer, client, endpoint })
    }
}

fn receive_with_descriptors(stream: &UnixStream) -> io::Result<(Vec<u8>, Vec<OwnedFd>)> {
    let mut text = vec![0; MAX_OFFER_BYTES];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut parts = [IoSliceMut::new(&mut text)];
    let received = rustix::net::recvmsg(stream, &mut parts, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
    text.truncate(received.bytes);
    let descriptors = ancillary.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
        _ => None,
    });
    Ok((text, descriptors.flatten().collect()))
}

impl OfferedResponse {
    pub fn offer(&self) -> Offer {
        self.offer
    }

    /// Takes the response over. Its endpoint's connection is counted by these descriptors.
    ///
    /// # Errors
    /// The predecessor has kept it.
    pub async fn accept(self, descriptors: ConnectionDescriptors) -> Result<DetachedResponse, HandoverError> {
        let OfferedResponse { mut stream, offer, client, endpoint } = self;
        let unsent = timeout(SUCCESSOR_TIMEOUT, read_unsent(&mut stream, offer.unsent_bytes)).await;
        let unsent = unsent.map_err(|_| HandoverError::TimedOut)??;
        let source = match endpoint {
            Some(endpoint) => {
                let socket = Socket::from_descriptor(endpoint)?;
                Some(BodySource { socket, remaining_bytes: offer.remaining_bytes, _descriptors: descriptors })
            }
            None => None,
        };
        let client = Socket::from_descriptor(client)?;
        Ok(DetachedResponse { client, rest: DetachedBody { read: vec![unsent], source } })
    }
}

async fn read_unsent(stream: &mut UnixStream, unsent_bytes: usize) -> Result<Bytes, HandoverError> {
    stream.write_all(&[ACCEPTED]).await?;
    let mut unsent = vec![0; unsent_bytes];
    stream.read_exact(&mut unsent).await.map_err(|_| HandoverError::NotCommitted)?;
    stream.write_all(&[RECEIVED]).await?;
    match stream.read_u8().await {
        Ok(COMMITTED) => Ok(unsent.into()),
        _ => Err(HandoverError::NotCommitted),
    }
}
