//! Hands responses that a process cannot finish before it may be killed over to its successor, together with
//! the connections to their client and endpoint.
//!
//! One connection to the successor carries one response. The predecessor sends an [`Offer`] with the
//! descriptors of the connections, the successor accepts it, the predecessor sends the bytes that have not
//! been written to the client, the successor confirms them, and the predecessor commits. The predecessor owns
//! the response until it commits, and the successor from then on.

use super::directory::shared_directory;
use crate::body::{BodySource, CountedBytes, DetachedBody, DetachedResponse, MemoryReservation};
use crate::descriptors::ConnectionDescriptors;
use crate::socket::Socket;
use bytes::{Buf, Bytes};
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
use tokio::time::{timeout, Instant};
use tracing::warn;

/// The socket on which a successor accepts responses.
const SOCKET_FILE: &str = "oakport-responses.sock";
/// The predecessor keeps a response whose handover is not complete after this time.
const PREDECESSOR_TIMEOUT: Duration = Duration::from_millis(400);
/// The successor aborts a handover if the offer, or the exchange after it, takes longer than this.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before accepting is retried.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Maximum size of an offer.
const MAX_OFFER_BYTES: usize = 256;
/// Maximum number of descriptors in an offer: the client's connection and the endpoint's.
const MAX_DESCRIPTORS: usize = 2;
const ACCEPTED: u8 = b'+';
const RECEIVED: u8 = b'=';
const COMMITTED: u8 = b'.';

/// The predecessor's description of a response to hand over.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Offer {
    /// Number of bytes that have been read from the endpoint and not been written to the client.
    pub unsent_bytes: usize,
    /// Number of bytes that are still to be read from the endpoint. If it is 0, the endpoint's connection is
    /// not offered.
    pub remaining_bytes: u64,
}

/// Why a response was not handed over or taken over.
#[derive(Debug, Error)]
pub enum HandoverError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("handover timed out")]
    TimedOut,
    #[error("successor has no capacity for the response now")]
    Declined,
    #[error("reply of the successor is invalid")]
    InvalidReply,
    #[error("no client connection left for the response")]
    NoConnection,
    #[error("no memory left for the response: {required_bytes} bytes required, {available_bytes} available")]
    NoMemory {
        /// Bytes that the response needs at once.
        required_bytes: usize,
        /// Bytes that both processes leave.
        available_bytes: usize,
    },
    #[error("handover offer is invalid")]
    InvalidOffer,
    #[error("predecessor did not commit the handover and kept the response")]
    NotCommitted,
}

impl From<rustix::io::Errno> for HandoverError {
    fn from(error: rustix::io::Errno) -> Self {
        HandoverError::Io(error.into())
    }
}

/// The address on which a process reaches its successor.
#[derive(Clone, Debug)]
pub struct SuccessorAddress {
    path: PathBuf,
}

impl SuccessorAddress {
    /// The address in `$TMPDIR`. `None` if that is not set.
    pub fn find() -> Option<Self> {
        shared_directory().map(|directory| SuccessorAddress { path: directory.join(SOCKET_FILE) })
    }

    /// Connects to the successor. `None` if no successor accepts responses.
    pub async fn connect(&self) -> Option<SuccessorConnection> {
        let stream = self.connect_when_not_busy().await.ok()?;
        // The socket belongs to this process if it was a successor itself and has no successor of its own.
        let is_own = stream.peer_cred().ok()?.pid() == i32::try_from(std::process::id()).ok();
        (!is_own).then_some(SuccessorConnection { stream })
    }

    /// Connects to the socket. Many responses are handed over at once, so that the queue of its listener may be full for
    /// a moment.
    async fn connect_when_not_busy(&self) -> io::Result<UnixStream> {
        let busy_until = Instant::now() + PREDECESSOR_TIMEOUT;
        loop {
            match UnixStream::connect(&self.path).await {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock && Instant::now() < busy_until => {
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
                connected => return connected,
            }
        }
    }
}

/// A connection to the successor, for one response.
#[derive(Debug)]
pub struct SuccessorConnection {
    stream: UnixStream,
}

impl SuccessorConnection {
    /// Hands a response over. After success, this process must neither use the response's connections nor
    /// shut them down.
    ///
    /// # Errors
    /// The handover failed: this process still owns the response.
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
        self.expect_accepted().await?;
        for bytes in &response.rest.read {
            self.stream.write_all(bytes.chunk()).await?;
        }
        self.expect_reply(RECEIVED).await?;
        // Once this byte is written, the successor owns the response.
        self.stream.write_all(&[COMMITTED]).await?;
        Ok(())
    }

    /// A successor that has no capacity closes the connection without a reply.
    async fn expect_accepted(&mut self) -> Result<(), HandoverError> {
        match self.expect_reply(ACCEPTED).await {
            Err(HandoverError::Io(error)) if error.kind() == io::ErrorKind::UnexpectedEof => {
                Err(HandoverError::Declined)
            }
            reply => reply,
        }
    }

    async fn expect_reply(&mut self, expected: u8) -> Result<(), HandoverError> {
        if self.stream.read_u8().await? == expected {
            Ok(())
        } else {
            Err(HandoverError::InvalidReply)
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

/// Accepts the predecessor's connections for response handover.
#[derive(Debug)]
pub struct HandoverListener {
    listener: UnixListener,
}

impl HandoverListener {
    /// Listens in `$TMPDIR`, in place of an earlier process. `None` if that fails: the predecessor then keeps
    /// its responses.
    pub fn open() -> Option<Self> {
        let path = shared_directory()?.join(SOCKET_FILE);
        match HandoverListener::bind(&path) {
            Ok(listener) => Some(HandoverListener { listener }),
            Err(error) => {
                warn!(
                    path = %path.display(),
                    reason = %error,
                    "handover socket not opened, responses stay with the predecessor"
                );
                None
            }
        }
    }

    fn bind(path: &Path) -> io::Result<UnixListener> {
        // The socket file of an earlier process remains after the process has ended.
        let _ = std::fs::remove_file(path);
        UnixListener::bind(path)
    }

    /// Accepts the next connection of the predecessor.
    pub async fn accept(&self) -> PredecessorConnection {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => return PredecessorConnection { stream },
                // Without a free descriptor the connection is not accepted, and the predecessor keeps its
                // response.
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

/// A response that the predecessor offers, with its connections. Dropping the offer closes this process's
/// descriptors of them, but does not shut the connections down.
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
    /// The offer did not arrive within [`SUCCESSOR_TIMEOUT`], or is invalid.
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

    /// Takes the response over. `descriptors` account for the connection to its endpoint, and `reservation` for the bytes
    /// that have yet to be sent.
    ///
    /// # Errors
    /// The handover failed or was not committed.
    pub async fn accept(
        self,
        descriptors: ConnectionDescriptors,
        reservation: MemoryReservation,
    ) -> Result<DetachedResponse, HandoverError> {
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
        let read = vec![CountedBytes::new(unsent, reservation)];
        Ok(DetachedResponse { client, rest: DetachedBody { read, source } })
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
