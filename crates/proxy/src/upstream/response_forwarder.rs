//! Streams the rest of a response to its client, and reads ahead of the client where the endpoint is about to leave.

use crate::body::{BodyChunk, DetachRequest, DetachedBody, MemoryLimit, ReadAheadBuffer, ReadAheadLimit};
use crate::metrics::Metrics;
use crate::upstream::connection::UpstreamConnection;
use crate::upstream::response::MAX_STALL;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use oakport_core::Outcome;
use std::error::Error as _;
use std::future::Future;
use std::pin::{pin, Pin};
use std::rc::Rc;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The end of a response, which is read as soon as there is memory. An endpoint that has passed it to its system may
/// close or reset the connection; it is more than what the systems on both sides usually hold of it.
const TAIL_BYTES: u64 = 4 << 20;

/// The very end of a response, for which memory is found first: once it is read the endpoint may end.
const LAST_BYTES: u64 = 1 << 20;

/// Why a streamed response ended before its last byte.
#[derive(Debug, Error)]
pub enum Interruption {
    /// The connection to the endpoint ended, or carried what is no body.
    #[error("{0}{cause}", cause = cause(.0))]
    Broken(#[from] hyper::Error),
    #[error("the endpoint stalled")]
    Stalled,
    #[error("the client disconnected")]
    ClientDisconnected,
}

fn cause(error: &hyper::Error) -> String {
    error.source().map(|cause| format!(": {cause}")).unwrap_or_default()
}

impl From<&Interruption> for Outcome {
    fn from(interruption: &Interruption) -> Self {
        match interruption {
            Interruption::Broken(_) => Outcome::Reset,
            Interruption::Stalled => Outcome::TimedOut,
            Interruption::ClientDisconnected => Outcome::Cancelled,
        }
    }
}

/// Why the reading of a response waits although its endpoint may have given more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldBackReason {
    /// Its client has to take what was read.
    Client,
    /// There is no memory to read ahead of its client.
    Memory,
}

/// A wait of the reading, which has ended or lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldBack {
    pub reason: HoldBackReason,
    pub until: Instant,
}

/// What comes next of a streamed response.
enum Step {
    Received(Option<Result<Frame<Bytes>, hyper::Error>>),
    Stalled,
    Forwarded,
    ClientDisconnected,
    EndpointOutdated,
    DetachRequested,
    MemoryReturned,
}

/// What a response waits for besides its client.
#[derive(Clone, Copy, Debug)]
struct Waits {
    /// Since when the endpoint's next bytes are read. `None`: they are not.
    reading_since: Option<Instant>,
    /// Memory to read ahead.
    awaits_memory: bool,
    /// A request to detach the response.
    may_detach: bool,
}

/// How the reading of a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reception {
    /// With the last byte of the body.
    Complete,
    /// The rest of the body is to be detached.
    DetachRequested,
}

/// Passes the chunks of one response on to its client.
pub struct ResponseForwarder {
    client: mpsc::Sender<BodyChunk>,
    buffer: ReadAheadBuffer,
    /// The endpoint is draining, has gone or is another process.
    is_outdated: bool,
    /// Whom the reading last waited for besides the endpoint, and until when.
    last_held_back: Option<HeldBack>,
    detach_request: DetachRequest,
    received_bytes: u64,
    forwarded_bytes: u64,
}

impl ResponseForwarder {
    /// For a response of which the client has got the first bytes.
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
            last_held_back: None,
            detach_request,
            received_bytes: first_bytes,
            forwarded_bytes: first_bytes,
        }
    }

    /// The bytes of the body that have been read from the endpoint.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// When and why the reading last waited although its endpoint may have given more.
    pub fn last_held_back(&self) -> Option<HeldBack> {
        self.last_held_back
    }

    /// Why nothing may be read although the endpoint may have given more.
    fn hold_back_reason(&self, limit: ReadAheadLimit) -> HoldBackReason {
        if self.buffer.has_reached(limit) {
            HoldBackReason::Client
        } else {
            HoldBackReason::Memory
        }
    }

    /// The bytes of the body that have been passed on to the client.
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes
    }

    /// Reads the body to its end, and passes on what the client takes meanwhile. A chunk is read once the one before has
    /// been taken; from the moment that `outdated` resolves, and from [`TAIL_BYTES`] before the end on, as soon as there is
    /// memory: the endpoint may end although the client has yet to take what was sent. Where nothing tells the end,
    /// [`TAIL_BYTES`] are read ahead of the client all the time, as far as there is memory to spare.
    ///
    /// # Errors
    /// The body ended incomplete, or the client has disconnected.
    pub async fn receive(
        &mut self,
        connection: &mut UpstreamConnection,
        metrics: &Metrics,
        body: &mut Incoming,
        outdated: impl Future<Output = ()>,
    ) -> Result<Reception, Interruption> {
        let mut outdated = pin!(outdated);
        let mut reading_since = Some(Instant::now());
        loop {
            let limit = self.limit(body);
            let may_read = self.buffer.try_reserve_chunk(limit);
            let hold_back = (!may_read).then(|| self.hold_back_reason(limit));
            reading_since = may_read.then(|| reading_since.unwrap_or_else(Instant::now));
            // The connection is driven also while nothing is read: a part of the request may still have to be written.
            // An endpoint that has yet to read some of the request needs the parser that writes it.
            let may_detach = connection.write_progress.is_complete();
            let awaits_memory = hold_back == Some(HoldBackReason::Memory);
            let waits = Waits { reading_since, awaits_memory, may_detach };
            let next_step = self.next_step(body, waits, outdated.as_mut());
            let step = connection.drive_alongside(metrics, next_step).await;
            if let Some(reason) = hold_back {
                self.last_held_back = Some(HeldBack { reason, until: Instant::now() });
            }
            match step {
                Step::Received(Some(frame)) => {
                    self.push(frame?);
                    reading_since = None;
                }
                Step::Received(None) => return Ok(Reception::Complete),
                Step::Stalled => return Err(Interruption::Stalled),
                Step::Forwarded | Step::MemoryReturned => {}
                Step::ClientDisconnected => return Err(Interruption::ClientDisconnected),
                Step::DetachRequested => return Ok(Reception::DetachRequested),
                Step::EndpointOutdated => self.is_outdated = true,
            }
        }
    }

    /// How far the body may be read ahead of the client now.
    fn limit(&self, body: &Incoming) -> ReadAheadLimit {
        match body.size_hint().exact() {
            Some(remaining_bytes) if remaining_bytes <= LAST_BYTES => ReadAheadLimit::Completing,
            _ if self.is_outdated => ReadAheadLimit::AvailableMemory,
            Some(remaining_bytes) if remaining_bytes <= TAIL_BYTES => ReadAheadLimit::AvailableMemory,
            Some(_) => ReadAheadLimit::OneChunk,
            // Any part may be the end.
            None => ReadAheadLimit::Speculative { max_bytes: TAIL_BYTES as usize },
        }
    }

    /// Waits for the client, and for what `waits` says.
    async fn next_step(
        &mut self,
        body: &mut Incoming,
        waits: Waits,
        outdated: Pin<&mut impl Future<Output = ()>>,
    ) -> Step {
        let Waits { reading_since, awaits_memory, may_detach } = waits;
        let memory_returned = self.buffer.memory_returned();
        let has_chunk = !self.buffer.is_empty();
        // After the last byte it does not matter whether the client is still there.
        let needs_client = has_chunk || !body.is_end_stream();
        let stalled_at = reading_since.unwrap_or_else(Instant::now) + MAX_STALL;
        tokio::select! {
            biased;
            permit = self.client.reserve(), if has_chunk => {
                let (Ok(permit), Some(chunk)) = (permit, self.buffer.pop()) else {
                    return Step::ClientDisconnected;
                };
                self.forwarded_bytes += chunk.len() as u64;
                permit.send(BodyChunk::Data(chunk));
                Step::Forwarded
            }
            frame = tokio::time::timeout_at(stalled_at, body.frame()), if reading_since.is_some() => {
                frame.map_or(Step::Stalled, Step::Received)
            }
            () = self.client.closed(), if needs_client => Step::ClientDisconnected,
            () = memory_returned, if awaits_memory => Step::MemoryReturned,
            () = self.detach_request.received(), if may_detach => Step::DetachRequested,
            () = outdated, if !self.is_outdated => Step::EndpointOutdated,
        }
    }

    /// Trailers are not passed on.
    fn push(&mut self, frame: Frame<Bytes>) {
        if let Ok(chunk) = frame.into_data() {
            self.received_bytes += chunk.len() as u64;
            self.buffer.push(chunk);
        }
    }

    /// Detaches the rest of the body: what was read ahead and, unless the body is complete, what its connection has read and
    /// will read. False if the client disconnected first.
    ///
    /// # Errors
    /// The connection ended before the body was complete.
    pub async fn detach(
        mut self,
        connection: UpstreamConnection,
        mut body: Incoming,
    ) -> Result<bool, hyper::Error> {
        let mut read = self.buffer.drain();
        // What the parser has passed on, without letting it read any more.
        while let Some(frame) = next_frame_now(&mut body).await.transpose()? {
            read.extend(frame.into_data().ok());
        }
        let remaining_bytes = body.size_hint().exact().unwrap_or_default();
        let mut source = None;
        if remaining_bytes > 0 {
            let (rest, body_source) = connection.into_body_source(remaining_bytes);
            read.push(rest);
            source = (body_source.remaining_bytes > 0).then_some(body_source);
        }
        let rest = DetachedBody { read, source };
        Ok(self.client.send(BodyChunk::Detached(rest)).await.is_ok())
    }

    /// Passes on what was read ahead, and the end of the body if it is complete. False if the client disconnected first.
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
            // A client that knows the length has gone once it has the last byte.
            let _ = self.client.send(BodyChunk::End).await;
        }
        true
    }
}

/// The frame of a body that is there already, if one is.
async fn next_frame_now(body: &mut Incoming) -> Option<Result<Frame<Bytes>, hyper::Error>> {
    tokio::select! {
        biased;
        frame = body.frame() => frame,
        () = std::future::ready(()) => None,
    }
}
