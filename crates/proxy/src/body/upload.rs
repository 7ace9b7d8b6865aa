//! Reads a client's request body: buffered up to 64 KiB, beyond that chunk by chunk at the endpoint's pace.

use super::memory_limit::{buffer_bytes, MemoryLimit, MemoryReservation, MAX_BUFFERED_BODY_BYTES};
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep};

/// Maximum size of a request's body; a larger one is answered with 413.
const MAX_BODY_BYTES: u64 = 40 << 20;
/// A client that sends at least this fast is slow, not stalled.
const MIN_UPLOAD_BYTES_PER_S: f64 = 32.0 * 1024.0;
/// A body counts as stalled after this long without a byte.
const MAX_STALL: Duration = Duration::from_secs(3);

/// Why a body is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The sender disconnected, or sent a malformed body.
    #[error("body ended early or is malformed")]
    Aborted,
    #[error("body stalled: no byte arrived in time")]
    Stalled,
    #[error("body exceeds {} MiB", MAX_BODY_BYTES >> 20)]
    TooLarge,
    /// No memory became available in time.
    #[error("no memory became available for the body in time")]
    OutOfMemory,
}

/// The buffered prefix of a body.
#[derive(Debug)]
pub struct BodyPrefix {
    pub bytes: Bytes,
    /// A chunk behind these bytes for which no memory was left in their buffer.
    pub last_chunk: Option<Bytes>,
    /// The prefix is the complete body.
    pub is_complete: bool,
    /// Position on the connection at which a longer body ends, if its length is known.
    pub end_position: Option<u64>,
}

impl BodyPrefix {
    fn complete(bytes: Bytes) -> Self {
        BodyPrefix { bytes, last_chunk: None, is_complete: true, end_position: None }
    }

    /// The beginning of a body that will be streamed.
    fn partial(bytes: Bytes, end_position: Option<u64>) -> Self {
        BodyPrefix { bytes, last_chunk: None, is_complete: false, end_position }
    }
}

/// The bytes that arrive on the connection of a request, whether or not they have been read. Positions count all
/// bytes of the connection.
pub trait ByteArrivals {
    /// Number of bytes that the HTTP parser has read.
    fn read_bytes(&self) -> u64;

    /// Number of bytes that have arrived.
    fn arrived_bytes(&self) -> u64;

    /// When the latest byte is known to have arrived.
    fn latest_arrival(&self) -> Instant;

    /// Waits until the bytes up to `position` have arrived, or no more can arrive before some are read.
    fn arrival(&self, position: u64) -> impl Future<Output = ()>;
}

/// Reads a client's body and detects stalls: only the time spent waiting for the client counts.
pub struct RequestBodyReader {
    body: Incoming,
    /// How long the body may stall in total, beyond the time that its size accounts for.
    slack: Duration,
    received_bytes: u64,
    chunk_count: u64,
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
            chunk_count: 0,
            waited: Duration::ZERO,
            waiting_since: None,
            stall_timer: None,
        }
    }

    /// The length in bytes that the request's head declares, if it does. Must be called before the body is
    /// read.
    pub fn length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// When the body counts as stalled if no byte arrives after `waiting_since`.
    fn stall_deadline(&self, waiting_since: Instant) -> Instant {
        waiting_since + self.remaining_wait(self.received_bytes).min(MAX_STALL)
    }

    /// How much longer the client may take in total if `arrived_bytes` of the body have arrived.
    fn remaining_wait(&self, arrived_bytes: u64) -> Duration {
        let expected = Duration::from_secs_f64(arrived_bytes as f64 / MIN_UPLOAD_BYTES_PER_S);
        (self.slack + expected).saturating_sub(self.waited)
    }

    /// Waits until the body has arrived, whose last byte is at `end_position`, while the system buffers it: a
    /// slow client needs no memory of the process meanwhile.
    async fn wait_for_arrival(
        &mut self,
        arrivals: &impl ByteArrivals,
        end_position: u64,
    ) -> Result<(), BodyError> {
        let began = Instant::now();
        let first_position = arrivals.read_bytes() - self.received_bytes;
        let mut arrival = pin!(arrivals.arrival(end_position));
        loop {
            let arrived_bytes = arrivals.arrived_bytes() - first_position;
            let deadline = began + self.remaining_wait(arrived_bytes);
            let deadline = deadline.min(arrivals.latest_arrival() + MAX_STALL);
            if deadline <= Instant::now() {
                return Err(BodyError::Stalled);
            }
            tokio::select! {
                biased;
                () = arrival.as_mut() => break,
                () = tokio::time::sleep_until(deadline) => {}
            }
        }
        self.waited += began.elapsed();
        Ok(())
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        while let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) {
            self.stop_waiting();
            match frame.map(|frame| frame.map(Frame::into_data)) {
                None => return Poll::Ready(None),
                Some(Err(_)) => return Poll::Ready(Some(Err(BodyError::Aborted))),
                Some(Ok(Ok(chunk))) => return Poll::Ready(Some(self.count(chunk))),
                // Trailers are dropped: they apply only to the connection that they arrived on.
                Some(Ok(Err(_))) => {}
            }
        }
        self.poll_stall(cx).map(|()| Some(Err(BodyError::Stalled)))
    }

    /// Ends the wait for the client, if there is one.
    fn stop_waiting(&mut self) {
        if let Some(since) = self.waiting_since.take() {
            self.waited += since.elapsed();
        }
    }

    fn count(&mut self, chunk: Bytes) -> Result<Bytes, BodyError> {
        self.chunk_count += 1;
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

    /// Reads the body to its end or, if it exceeds the size that is buffered or the available memory, its beginning.
    ///
    /// # Errors
    /// The body is incomplete or too large.
    pub async fn read_prefix(
        &mut self,
        reservation: &mut MemoryReservation,
        memory: &MemoryLimit,
        memory_wait: Duration,
        arrivals: &impl ByteArrivals,
    ) -> Result<BodyPrefix, BodyError> {
        match self.length() {
            Some(length) if length > MAX_BODY_BYTES => Err(BodyError::TooLarge),
            Some(length) => self.read_known_length(length, reservation, memory, memory_wait, arrivals).await,
            None => self.read_unknown_length(reservation, memory).await,
        }
    }

    /// Leaves the body to the system until it has arrived, or as much of it as is buffered. Then memory is
    /// reserved for all of it at once: bodies that each held a part and waited for more would reject each other.
    async fn read_known_length(
        &mut self,
        length: u64,
        reservation: &mut MemoryReservation,
        memory: &MemoryLimit,
        memory_wait: Duration,
        arrivals: &impl ByteArrivals,
    ) -> Result<BodyPrefix, BodyError> {
        let Some(first_chunk) = self.next_chunk().await.transpose()? else {
            return Ok(BodyPrefix::complete(Bytes::new()));
        };
        // The HTTP parser has read no byte beyond this chunk yet. While the body waits, it reads another one.
        let start_position = arrivals.read_bytes() - self.received_bytes;
        let buffered_length = length.min(MAX_BUFFERED_BODY_BYTES as u64);
        if !self.body.is_end_stream() {
            self.wait_for_arrival(arrivals, start_position + buffered_length).await?;
        }
        let end_position = Some(start_position + length);
        if length > buffered_length {
            return Ok(BodyPrefix::partial(first_chunk, end_position));
        }
        let length = length as usize;
        if reserve_while_arriving(reservation, memory, length, memory_wait, arrivals).await.is_err() {
            return Ok(BodyPrefix::partial(first_chunk, end_position));
        }
        let mut bytes = BytesMut::with_capacity(length);
        bytes.extend_from_slice(&first_chunk);
        drop(first_chunk);
        while let Some(chunk) = self.next_chunk().await {
            bytes.extend_from_slice(&chunk?);
        }
        Ok(BodyPrefix::complete(bytes.freeze()))
    }

    /// Reserves memory as the body arrives: most are much smaller than the size that is buffered. Does not wait for
    /// memory: bodies that each held a part and waited for more would wait for each other.
    async fn read_unknown_length(
        &mut self,
        reservation: &mut MemoryReservation,
        memory: &MemoryLimit,
    ) -> Result<BodyPrefix, BodyError> {
        let mut bytes = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await {
            let chunk = chunk?;
            let received_size = bytes.len() + chunk.len();
            if received_size > MAX_BUFFERED_BODY_BYTES
                || !grow(&mut bytes, received_size, reservation, memory)
            {
                let last_chunk = Some(chunk);
                return Ok(BodyPrefix { last_chunk, ..BodyPrefix::partial(bytes.freeze(), None) });
            }
            bytes.extend_from_slice(&chunk);
        }
        Ok(BodyPrefix::complete(bytes.freeze()))
    }
}

/// Grows a buffer to hold `size_bytes`. False if the memory does not suffice.
fn grow(
    buffer: &mut BytesMut,
    size_bytes: usize,
    reservation: &mut MemoryReservation,
    memory: &MemoryLimit,
) -> bool {
    if buffer.capacity() >= size_bytes {
        return true;
    }
    let capacity_bytes = buffer_bytes(size_bytes);
    if !memory.try_reserve_half(reservation, capacity_bytes) {
        return false;
    }
    buffer.reserve(capacity_bytes - buffer.len());
    true
}

/// Reserves memory for a body. While bytes still arrive, the system buffers them, and the client does not wait.
///
/// # Errors
/// No memory became available within `memory_wait` after the latest byte.
pub async fn reserve_while_arriving(
    reservation: &mut MemoryReservation,
    memory: &MemoryLimit,
    size_bytes: usize,
    memory_wait: Duration,
    arrivals: &impl ByteArrivals,
) -> Result<(), BodyError> {
    if memory.try_reserve(reservation, size_bytes) {
        return Ok(());
    }
    let mut reserved = pin!(memory.reserve(reservation, size_bytes));
    let began = Instant::now();
    loop {
        let deadline = arrivals.latest_arrival().max(began) + memory_wait;
        if deadline <= Instant::now() {
            return Err(BodyError::OutOfMemory);
        }
        tokio::select! {
            biased;
            () = reserved.as_mut() => return Ok(()),
            () = tokio::time::sleep_until(deadline) => {}
        }
    }
}

/// The beginning of a streamed body, with its memory.
#[derive(Default)]
pub struct UploadPrefix {
    chunks: VecDeque<Bytes>,
    _reservation: MemoryReservation,
}

impl UploadPrefix {
    /// The prefix that was read, in the memory of `reservation`.
    pub fn new(prefix: BodyPrefix, reservation: MemoryReservation) -> Self {
        let chunks = [Some(prefix.bytes), prefix.last_chunk].into_iter().flatten();
        let chunks = chunks.filter(|chunk| !chunk.is_empty()).collect();
        UploadPrefix { chunks, _reservation: reservation }
    }
}

/// A client's body that is too large to be buffered. It can be read only once.
pub struct Upload {
    reader: RefCell<RequestBodyReader>,
    /// What was read before the body was streamed. Its memory is returned once it has been written.
    prefix: RefCell<UploadPrefix>,
    _reservation: MemoryReservation,
    /// Length of the complete body in bytes, where that is known.
    length: Option<u64>,
    state: Cell<UploadState>,
    ended: Notify,
}

/// How far the body of a request has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadState {
    /// Number of chunks that the reader has received from the HTTP parser.
    pub chunk_count: u64,
    /// Since when the reader, which has passed on all that it received, waits for the client. `None` if it does not.
    pub waiting_since: Option<Instant>,
}

/// The phase of an upload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UploadState {
    Unread,
    Streaming,
    Ended(Result<(), BodyError>),
}

impl Upload {
    /// A body that begins with `prefix`, which `reader` has read, with its length where that is known.
    /// `reservation` is the memory to stream it.
    pub fn new(
        reader: RequestBodyReader,
        prefix: UploadPrefix,
        reservation: MemoryReservation,
        length: Option<u64>,
    ) -> Rc<Self> {
        Rc::new(Upload {
            reader: RefCell::new(reader),
            prefix: RefCell::new(prefix),
            _reservation: reservation,
            length,
            state: Cell::new(UploadState::Unread),
            ended: Notify::new(),
        })
    }

    /// Whether the body can still be sent from its beginning.
    pub fn is_unread(&self) -> bool {
        self.state.get() == UploadState::Unread
    }

    /// Claims the body for one attempt. False if an attempt has already claimed it.
    pub fn try_claim(&self) -> bool {
        let is_unread = self.is_unread();
        if is_unread {
            self.state.set(UploadState::Streaming);
        }
        is_unread
    }

    /// How far the body has been read.
    pub fn read_state(&self) -> ReadState {
        let reader = self.reader.borrow();
        ReadState { chunk_count: reader.chunk_count, waiting_since: reader.waiting_since }
    }

    /// Records that no attempt reads the body any more.
    pub(super) fn stop_reading(&self) {
        self.reader.borrow_mut().stop_waiting();
    }

    /// Whether the body ended before it was complete.
    pub fn has_failed(&self) -> bool {
        matches!(self.state.get(), UploadState::Ended(Err(_)))
    }

    pub(super) fn poll_chunk(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let UploadState::Ended(end) = self.state.get() {
            return Poll::Ready(end.err().map(Err));
        }
        if let Some(chunk) = self.prefix.borrow_mut().chunks.pop_front() {
            return Poll::Ready(Some(Ok(chunk)));
        }
        // A chunk is requested once the one before has been written.
        self.prefix.take();
        let mut reader = self.reader.borrow_mut();
        let chunk = std::task::ready!(reader.poll_chunk(cx));
        let end = match chunk {
            // The body is not polled again after the last byte of its declared length.
            Some(Ok(_)) if self.length == Some(reader.received_bytes) => Ok(()),
            Some(Ok(_)) => return Poll::Ready(chunk),
            Some(Err(error)) => Err(error),
            None => Ok(()),
        };
        self.state.set(UploadState::Ended(end));
        self.ended.notify_one();
        Poll::Ready(chunk)
    }

    /// Waits until the body has been read to its end. Supports a single caller.
    ///
    /// # Errors
    /// The body ended before it was complete.
    pub async fn ended(&self) -> Result<(), BodyError> {
        loop {
            if let UploadState::Ended(end) = self.state.get() {
                return end;
            }
            self.ended.notified().await;
        }
    }

    /// Reads and discards the rest of the body: a client may not read its response while it is still sending.
    pub async fn discard(&self) {
        while let Some(Ok(_)) = poll_fn(|cx| self.poll_chunk(cx)).await {}
    }
}
