//! Streams the rest of a response to its client, and reads ahead of the client when the endpoint may soon
//! close.

use crate::body::{
    BodyChunk, CountedBytes, DetachRequest, DetachedBody, MemoryLimit, ReadAheadBuffer, ReadAheadLimit,
    WriteProgress, MAX_BUFFERED_BODY_BYTES,
};
use crate::metrics::Metrics;
use crate::upstream::connection::UpstreamConnection;
use crate::upstream::response::{MAX_LONG_RESPONSE_STALL, MAX_STALL};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use oakport_core::Outcome;
use std::error::Error as _;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The tail of a response, which is read as soon as memory is available: an endpoint that has written it to
/// its socket may close or reset the connection. Exceeds what the socket buffers of both sides usually hold.
const TAIL_BYTES: u64 = 4 << 20;

/// The last part of a response, which has priority for memory: once it has been read, the endpoint may
/// terminate.
const LAST_BYTES: u64 = 1 << 20;

/// Why a streamed response ended before its last byte.
#[derive(Debug, Error)]
pub enum Interruption {
    /// The connection to the endpoint ended, or the body was invalid.
    #[error("{0}{cause}", cause = cause(.0))]
    Broken(#[from] hyper::Error),
    #[error("endpoint stalled: no data for {} s", .0.as_secs())]
    Stalled(Duration),
    #[error("client disconnected")]
    ClientDisconnected,
}

fn cause(error: &hyper::Error) -> String {
    error.source().map(|cause| format!(": {cause}")).unwrap_or_default()
}

impl From<&Interruption> for Outcome {
    fn from(interruption: &Interruption) -> Self {
        match interruption {
            Interruption::Broken(_) => Outcome::Reset,
            Interruption::Stalled(_) => Outcome::TimedOut,
            Interruption::ClientDisconnected => Outcome::Cancelled,
        }
    }
}

/// Why reading of a response pauses although its endpoint may have more data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadPauseReason {
    /// The client has yet to receive what was read.
    Client,
    /// No memory is available to read ahead of the client.
    Memory,
}

/// A pause in reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadPause {
    pub reason: ReadPauseReason,
    /// When the pause ended, or was last observed.
    pub until: Instant,
}

/// The next event of a streamed response.
enum StreamEvent {
    Received(Option<Result<Frame<Bytes>, hyper::Error>>),
    /// No data came for this time.
    Stalled(Duration),
    Forwarded,
    ClientDisconnected,
    EndpointOutdated,
    DetachRequested,
    MemoryReturned,
}

/// What the forwarder waits for in addition to the client.
#[derive(Clone, Copy, Debug)]
struct WaitConditions {
    /// When reading of the next chunk began; `None` while reading is paused.
    reading_since: Option<Instant>,
    /// Whether to wait for memory to read ahead.
    awaits_memory: bool,
    /// Whether to wait until the client has taken the chunk in the channel.
    awaits_channel: bool,
}

/// How receiving a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveOutcome {
    /// The last byte of the body was read.
    Complete,
    /// The rest of the body is to be detached.
    DetachRequested,
}

/// Forwards the chunks of one response to its client.
pub struct ResponseForwarder {
    client: mpsc::Sender<BodyChunk>,
    buffer: ReadAheadBuffer,
    /// The endpoint is draining, has been removed, or has been replaced by another process.
    is_outdated: bool,
    /// The last pause in reading for a reason other than the endpoint.
    last_read_pause: Option<ReadPause>,
    detach_request: DetachRequest,
    received_bytes: u64,
    forwarded_bytes: u64,
}

impl ResponseForwarder {
    /// A forwarder for a response whose first `first_bytes` bytes have already been passed to the client.
    pub fn new(
        client: mpsc::Sender<BodyChunk>,
        memory: &Rc<MemoryLimit>,
        detach_request: DetachRequest,
        first_bytes: u64,
    ) -> Self {
        ResponseForwarder {
            client,
            buffer: ReadAheadBuffer::new(memory),
            is_outdated: false,
            last_read_pause: None,
            detach_request,
            received_bytes: first_bytes,
            forwarded_bytes: first_bytes,
        }
    }

    /// The number of body bytes read from the endpoint.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// The last pause in reading although the endpoint may have had more data.
    pub fn last_read_pause(&self) -> Option<ReadPause> {
        self.last_read_pause
    }

    /// Why reading pauses at this limit.
    fn read_pause_reason(&self, limit: ReadAheadLimit) -> ReadPauseReason {
        if self.buffer.is_empty() || self.buffer.has_reached(limit) {
            ReadPauseReason::Client
        } else {
            ReadPauseReason::Memory
        }
    }

    /// The number of body bytes forwarded to the client.
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes
    }

    /// Reads the body to its end, and meanwhile forwards chunks as the client accepts them. A chunk is read
    /// once the previous one has been forwarded; after `outdated` has resolved, and within [`TAIL_BYTES`] of
    /// the end, chunks are read as soon as memory is available, because the endpoint may close before the
    /// client has received everything. If the length is unknown, up to [`TAIL_BYTES`] are always read ahead
    /// of the client, as far as memory is not needed elsewhere.
    ///
    /// # Errors
    /// If the body ended incomplete, the endpoint stalled, or the client disconnected.
    pub async fn receive(
        &mut self,
        connection: &mut UpstreamConnection,
        metrics: &Metrics,
        body: &mut Incoming,
        outdated: impl Future<Output = ()>,
    ) -> Result<ReceiveOutcome, Interruption> {
        let mut outdated = pin!(outdated);
        let mut reading_since = Some(Instant::now());
        let write_progress = Rc::clone(&connection.write_progress);
        loop {
            let limit = self.limit(body);
            // Without read-ahead, a chunk is read only once the one before has left the channel.
            let is_channel_empty = self.client.capacity() == self.client.max_capacity();
            let may_read = (limit != ReadAheadLimit::OneChunk || is_channel_empty)
                && self.buffer.try_reserve_chunk(limit);
            let pause_reason = (!may_read).then(|| self.read_pause_reason(limit));
            reading_since = may_read.then(|| reading_since.unwrap_or_else(Instant::now));
            // The connection is polled also while reading pauses, because part of the request may still have
            // to be written.
            let awaits_memory = pause_reason == Some(ReadPauseReason::Memory);
            let awaits_channel = !may_read && self.buffer.is_empty();
            let waits = WaitConditions { reading_since, awaits_memory, awaits_channel };
            let next_event = self.next_event(body, &write_progress, waits, outdated.as_mut());
            let event = connection.drive_alongside(metrics, next_event).await;
            if let Some(reason) = pause_reason {
                self.last_read_pause = Some(ReadPause { reason, until: Instant::now() });
            }
            match event {
                StreamEvent::Received(Some(frame)) => {
                    self.push(frame?);
                    reading_since = None;
                }
                StreamEvent::Received(None) => return Ok(ReceiveOutcome::Complete),
                StreamEvent::Stalled(time) => return Err(Interruption::Stalled(time)),
                StreamEvent::Forwarded | StreamEvent::MemoryReturned => {}
                StreamEvent::ClientDisconnected => return Err(Interruption::ClientDisconnected),
                StreamEvent::DetachRequested => return Ok(ReceiveOutcome::DetachRequested),
                StreamEvent::EndpointOutdated => self.is_outdated = true,
            }
        }
    }

    /// How long the endpoint may be silent.
    fn max_stall(&self, body: &Incoming) -> Duration {
        let remaining_bytes = body.size_hint().exact().unwrap_or_default();
        let is_long = self.received_bytes + remaining_bytes > MAX_BUFFERED_BODY_BYTES as u64;
        if is_long && self.received_bytes > 0 {
            MAX_LONG_RESPONSE_STALL
        } else {
            MAX_STALL
        }
    }

    /// How far the body may be read ahead of the client now.
    fn limit(&self, body: &Incoming) -> ReadAheadLimit {
        match body.size_hint().exact() {
            Some(remaining_bytes) if remaining_bytes <= LAST_BYTES => ReadAheadLimit::Completing,
            _ if self.is_outdated => ReadAheadLimit::Urgent,
            Some(remaining_bytes) if remaining_bytes <= TAIL_BYTES => ReadAheadLimit::AvailableMemory,
            Some(_) => ReadAheadLimit::OneChunk,
            // Any chunk may be the last.
            None => ReadAheadLimit::Speculative { max_bytes: TAIL_BYTES as usize },
        }
    }

    /// Waits for the client and for the events enabled in `waits`.
    async fn next_event(
        &mut self,
        body: &mut Incoming,
        write_progress: &WriteProgress,
        waits: WaitConditions,
        outdated: Pin<&mut impl Future<Output = ()>>,
    ) -> StreamEvent {
        let WaitConditions { reading_since, awaits_memory, awaits_channel } = waits;
        let memory_returned = self.buffer.memory_returned();
        let has_chunk = !self.buffer.is_empty();
        // After the last byte, a disconnect of the client no longer matters.
        let needs_client = has_chunk || !body.is_end_stream();
        let max_stall = self.max_stall(body);
        let stalled_at = reading_since.unwrap_or_else(Instant::now) + max_stall;
        tokio::select! {
            biased;
            permit = self.client.reserve(), if has_chunk || awaits_channel => {
                let Ok(permit) = permit else { return StreamEvent::ClientDisconnected };
                if let Some(chunk) = self.buffer.pop() {
                    self.forwarded_bytes += chunk.len() as u64;
                    permit.send(BodyChunk::Data(chunk));
                }
                StreamEvent::Forwarded
            }
            frame = tokio::time::timeout_at(stalled_at, body.frame()), if reading_since.is_some() => {
                frame.map_or(StreamEvent::Stalled(max_stall), StreamEvent::Received)
            }
            () = self.client.closed(), if needs_client => StreamEvent::ClientDisconnected,
            () = memory_returned, if awaits_memory => StreamEvent::MemoryReturned,
            () = may_detach(&self.detach_request, write_progress) => StreamEvent::DetachRequested,
            () = outdated, if !self.is_outdated => StreamEvent::EndpointOutdated,
        }
    }

    /// Buffers the data of a frame; trailers are not forwarded.
    fn push(&mut self, frame: Frame<Bytes>) {
        if let Ok(chunk) = frame.into_data() {
            self.received_bytes += chunk.len() as u64;
            self.buffer.push(chunk);
        }
    }

    /// Detaches the rest of the body: the chunks read ahead and, unless the body is complete, the data that
    /// the connection has read and will read. Returns false if the client disconnected first.
    ///
    /// # Errors
    /// If the connection ended before the body was complete.
    pub async fn detach(
        mut self,
        connection: UpstreamConnection,
        mut body: Incoming,
    ) -> Result<bool, hyper::Error> {
        let mut read = self.buffer.drain();
        // Takes the frames that are already parsed, without reading more from the connection.
        while let Some(frame) = next_frame_now(&mut body).await.transpose()? {
            read.extend(frame.into_data().ok().map(CountedBytes::from));
        }
        let remaining_bytes = body.size_hint().exact().unwrap_or_default();
        let mut source = None;
        if remaining_bytes > 0 {
            let (rest, body_source) = connection.into_body_source(remaining_bytes);
            read.push(rest.into());
            source = (body_source.remaining_bytes > 0).then_some(body_source);
        }
        let rest = DetachedBody { read, source };
        Ok(self.client.send(BodyChunk::Detached(rest)).await.is_ok())
    }

    /// Forwards the chunks read ahead, and the end of the body if it is complete. Returns false if the client
    /// disconnected first.
    pub async fn finish(mut self, is_complete: bool) -> bool {
        while !self.buffer.is_empty() {
            let permit = tokio::select! {
                biased;
                permit = self.client.reserve() => permit,
                () = self.detach_request.received() => {
                    let rest = DetachedBody { read: self.buffer.drain(), source: None };
                    return self.client.send(BodyChunk::Detached(rest)).await.is_ok();
                }
            };
            let (Ok(permit), Some(chunk)) = (permit, self.buffer.pop()) else { return false };
            permit.send(BodyChunk::Data(chunk));
        }
        if is_complete {
            // A client that knows the length may already have stopped receiving after the last byte.
            let _ = self.client.send(BodyChunk::End).await;
        }
        true
    }
}

/// Resolves once the response is to be detached and its request has been written completely: until then, the
/// response cannot be detached from the parser that writes the request. Must be polled together with the
/// connection.
async fn may_detach(request: &DetachRequest, write_progress: &WriteProgress) {
    poll_fn(|_| if write_progress.is_complete() { Poll::Ready(()) } else { Poll::Pending }).await;
    request.received().await;
}

/// The next frame of a body if it is already available.
async fn next_frame_now(body: &mut Incoming) -> Option<Result<Frame<Bytes>, hyper::Error>> {
    tokio::select! {
        biased;
        frame = body.frame() => frame,
        () = std::future::ready(()) => None,
    }
}
