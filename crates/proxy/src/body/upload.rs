//! A client's body as it arrives: buffered up to 64 KiB, beyond that read chunk by chunk as an endpoint takes it.

use super::memory_limit::{MemoryLimit, MemoryReservation, MAX_BUFFERED_BODY_BYTES};
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming};
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep};

/// Most bytes of a request's body; a larger one gets 413.
const MAX_BODY_BYTES: u64 = 40 << 20;
/// A client that sends at least this fast is slow, not stalled.
const MIN_UPLOAD_BYTES_PER_S: f64 = 32.0 * 1024.0;
/// Longest time without any byte of a body.
const MAX_STALL: Duration = Duration::from_secs(3);

/// Why a body is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// Its sender disconnected, or sent what is no body.
    #[error("the body broke off")]
    Aborted,
    #[error("the body stalled")]
    Stalled,
    #[error("the body is too large")]
    TooLarge,
    /// There was no memory for it in time.
    #[error("no memory for the body")]
    OutOfMemory,
}

/// The beginning of a body, as far as it is buffered.
#[derive(Debug)]
pub struct BodyBeginning {
    pub bytes: Bytes,
    /// It is all of the body.
    pub is_complete: bool,
}

/// Reads a client's body and detects a stall: only the time spent waiting for the client counts.
pub struct RequestBodyReader {
    body: Incoming,
    /// Time that it may lose in total beyond what its size explains.
    slack: Duration,
    received_bytes: u64,
    waited: Duration,
    waiting_since: Option<Instant>,
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl RequestBodyReader {
    pub fn new(body: Incoming, slack: Duration) -> Self {
        RequestBodyReader {
            body,
            slack,
            received_bytes: 0,
            waited: Duration::ZERO,
            waiting_since: None,
            stall_timer: None,
        }
    }

    /// The length in bytes that the request's head declares.
    pub fn length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// When the body counts as stalled, if nothing has arrived since `waiting_since`.
    fn stall_deadline(&self, waiting_since: Instant) -> Instant {
        let expected = Duration::from_secs_f64(self.received_bytes as f64 / MIN_UPLOAD_BYTES_PER_S);
        let remaining = (self.slack + expected).saturating_sub(self.waited);
        waiting_since + remaining.min(MAX_STALL)
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        while let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) {
            if let Some(since) = self.waiting_since.take() {
                self.waited += since.elapsed();
            }
            match frame.map(|frame| frame.map(Frame::into_data)) {
                None => return Poll::Ready(None),
                Some(Err(_)) => return Poll::Ready(Some(Err(BodyError::Aborted))),
                Some(Ok(Ok(chunk))) => return Poll::Ready(Some(self.count(chunk))),
                // Trailers end with the connection that they arrived on.
                Some(Ok(Err(_))) => {}
            }
        }
        self.poll_stall(cx).map(|()| Some(Err(BodyError::Stalled)))
    }

    fn count(&mut self, chunk: Bytes) -> Result<Bytes, BodyError> {
        self.received_bytes += chunk.len() as u64;
        if self.received_bytes > MAX_BODY_BYTES {
            return Err(BodyError::TooLarge);
        }
        Ok(chunk)
    }

    /// Ready once the body has stalled.
    fn poll_stall(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let since = *self.waiting_since.get_or_insert_with(Instant::now);
        let deadline = self.stall_deadline(since);
        let timer = self.stall_timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        if timer.deadline() != deadline {
            timer.as_mut().reset(deadline);
        }
        timer.as_mut().poll(cx)
    }

    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        poll_fn(|cx| self.poll_chunk(cx)).await
    }

    /// Reads the body to its end, or until it is larger than what is buffered. Waits for memory no longer than
    /// `memory_wait`, and takes it for all of the body at once: bodies that each had some and waited for more would
    /// wait for each other.
    ///
    /// # Errors
    /// The body is incomplete, too large, or found no memory in time.
    pub async fn read_beginning(
        &mut self,
        reservation: &mut MemoryReservation,
        memory: &MemoryLimit,
        memory_wait: Duration,
    ) -> Result<BodyBeginning, BodyError> {
        let length = self.length();
        if length.is_some_and(|length| length > MAX_BODY_BYTES) {
            return Err(BodyError::TooLarge);
        }
        let max_buffered = MAX_BUFFERED_BODY_BYTES as u64;
        let buffered_size = length.map_or(max_buffered, |length| length.min(max_buffered)) as usize;
        let mut bytes = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await {
            let chunk = chunk?;
            if !MemoryLimit::needs_no_reservation(bytes.len() + chunk.len()) {
                let reserved = tokio::time::timeout(memory_wait, memory.reserve(reservation, buffered_size));
                reserved.await.map_err(|_| BodyError::OutOfMemory)?;
            }
            bytes.extend_from_slice(&chunk);
            if bytes.len() > MAX_BUFFERED_BODY_BYTES {
                return Ok(BodyBeginning { bytes: bytes.freeze(), is_complete: false });
            }
        }
        Ok(BodyBeginning { bytes: bytes.freeze(), is_complete: true })
    }
}

/// What remains of a client's body that is too large to be buffered. It can be read once only.
pub struct Upload {
    reader: RefCell<RequestBodyReader>,
    _reservation: MemoryReservation,
    /// Length of the complete body in bytes, where that is known.
    length: Option<u64>,
    state: Cell<UploadState>,
    ended: Notify,
}

/// How far a body has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UploadState {
    Unread,
    Streaming,
    Ended(Result<(), BodyError>),
}

impl Upload {
    /// What follows the beginning that `reader` has read, with the complete body's length where that is known.
    pub fn new(reader: RequestBodyReader, reservation: MemoryReservation, length: Option<u64>) -> Rc<Self> {
        Rc::new(Upload {
            reader: RefCell::new(reader),
            _reservation: reservation,
            length,
            state: Cell::new(UploadState::Unread),
            ended: Notify::new(),
        })
    }

    /// Can the body still be sent from its beginning?
    pub fn is_unread(&self) -> bool {
        self.state.get() == UploadState::Unread
    }

    /// Claims the body for one attempt. False if another has it.
    pub fn try_claim(&self) -> bool {
        let is_unread = self.is_unread();
        if is_unread {
            self.state.set(UploadState::Streaming);
        }
        is_unread
    }

    /// Has some of the body still to be read?
    pub fn is_incomplete(&self) -> bool {
        !matches!(self.state.get(), UploadState::Ended(_))
    }

    /// Did the body end incomplete?
    pub fn has_failed(&self) -> bool {
        matches!(self.state.get(), UploadState::Ended(Err(_)))
    }

    pub(super) fn poll_chunk(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let UploadState::Ended(end) = self.state.get() {
            return Poll::Ready(end.err().map(Err));
        }
        let mut reader = self.reader.borrow_mut();
        let chunk = std::task::ready!(reader.poll_chunk(cx));
        let end = match chunk {
            // Nobody polls for more after the last byte.
            Some(Ok(_)) if self.length == Some(reader.received_bytes) => Ok(()),
            Some(Ok(_)) => return Poll::Ready(chunk),
            Some(Err(error)) => Err(error),
            None => Ok(()),
        };
        self.state.set(UploadState::Ended(end));
        self.ended.notify_one();
        Poll::Ready(chunk)
    }

    /// Waits until the body has been read to its end. For one caller.
    ///
    /// # Errors
    /// The body ended incomplete.
    pub async fn ended(&self) -> Result<(), BodyError> {
        loop {
            if let UploadState::Ended(end) = self.state.get() {
                return end;
            }
            self.ended.notified().await;
        }
    }

    /// Reads on and discards: a client that is still sending would not see its response.
    pub async fn discard(&self) {
        while let Some(Ok(_)) = poll_fn(|cx| self.poll_chunk(cx)).await {}
    }
}
