//! A client's body as it comes: held whole up to 64 KiB, beyond that read piece by piece as a host takes it.

use super::memory_limit::{MemoryLimit, MemoryReservation, MAX_BUFFERED_BODY_BYTES};
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep};

/// Most bytes of a request's body: the largest that occur have 32 MB.
pub const BODY_MOST: u64 = 40 << 20;
/// A sender that keeps to this many bytes a second is slow, not stuck.
const RATE: f64 = 32.0 * 1024.0;
/// The longest that a body may come to a halt.
const HALT_MOST: Duration = Duration::from_secs(3);

/// Why a body did not come whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// Its sender left, or sent what is no body.
    Aborted,
    /// It came to a halt.
    Stalled,
    /// It is larger than any that occurs.
    TooLarge,
    /// There was no memory for it in time.
    OutOfMemory,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BodyError::Aborted => "the body broke off",
            BodyError::Stalled => "the body came to a halt",
            BodyError::TooLarge => "the body is too large",
            BodyError::OutOfMemory => "no memory for the body",
        })
    }
}

impl std::error::Error for BodyError {}

/// A client's body, read with an eye on its progress: only the time spent waiting for the client counts.
pub struct RequestBodyReader {
    body: Incoming,
    /// Time that it may lose on top of what its size explains.
    slack: Duration,
    bytes: u64,
    waited: Duration,
    waits_since: Option<Instant>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl RequestBodyReader {
    pub fn new(body: Incoming, slack: Duration) -> Self {
        RequestBodyReader { body, slack, bytes: 0, waited: Duration::ZERO, waits_since: None, timer: None }
    }

    /// The length that its head tells.
    pub fn length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// When it has come to a halt, if it has been waited for since `since`.
    fn halts(&self, since: Instant) -> Instant {
        let fair = self.slack + Duration::from_secs_f64(self.bytes as f64 / RATE);
        since + fair.saturating_sub(self.waited).min(HALT_MOST)
    }

    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            let frame = match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(frame) => frame,
                Poll::Pending => break,
            };
            let waited = self.waits_since.take().map(|since| since.elapsed());
            self.waited += waited.unwrap_or_default();
            match frame.map(|frame| frame.map(Frame::into_data)) {
                None => return Poll::Ready(None),
                Some(Err(_)) => return Poll::Ready(Some(Err(BodyError::Aborted))),
                Some(Ok(Ok(piece))) => {
                    self.bytes += piece.len() as u64;
                    if self.bytes > BODY_MOST {
                        return Poll::Ready(Some(Err(BodyError::TooLarge)));
                    }
                    return Poll::Ready(Some(Ok(piece)));
                }
                // Trailers end with the connection that they came on.
                Some(Ok(Err(_))) => {}
            }
        }
        let since = *self.waits_since.get_or_insert_with(Instant::now);
        let halts = self.halts(since);
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(halts)));
        if timer.deadline() != halts {
            timer.as_mut().reset(halts);
        }
        timer.as_mut().poll(cx).map(|()| Some(Err(BodyError::Stalled)))
    }

    async fn piece(&mut self) -> Option<Result<Bytes, BodyError>> {
        poll_fn(|cx| self.poll_piece(cx)).await
    }

    /// The body if it is no larger than may be held, or its beginning, and whether that is all. Memory for it is waited for
    /// as long as `patience`, and taken at once for all of it: bodies that each had some and waited for more would
    /// wait for each other.
    pub async fn begin(
        &mut self,
        part: &mut MemoryReservation,
        memory: &MemoryLimit,
        patience: Duration,
    ) -> Result<(Bytes, bool), BodyError> {
        let length = self.length();
        if length.is_some_and(|length| length > BODY_MOST) {
            return Err(BodyError::TooLarge);
        }
        let all = length
            .map_or(MAX_BUFFERED_BODY_BYTES, |length| length.min(MAX_BUFFERED_BODY_BYTES as u64) as usize);
        let mut whole = BytesMut::new();
        while let Some(piece) = self.piece().await {
            let piece = piece?;
            if !MemoryLimit::needs_no_reservation(whole.len() + piece.len()) {
                let room = tokio::time::timeout(patience, memory.reserve(part, all));
                room.await.map_err(|_| BodyError::OutOfMemory)?;
            }
            whole.extend_from_slice(&piece);
            if whole.len() > MAX_BUFFERED_BODY_BYTES {
                return Ok((whole.freeze(), false));
            }
        }
        Ok((whole.freeze(), true))
    }
}

/// What is left of a client's body that is too large to be held. It can be read once only.
pub struct Upload {
    reader: RefCell<RequestBodyReader>,
    _part: MemoryReservation,
    length: Option<u64>,
    state: Cell<Progress>,
    ended: Notify,
}

/// How far a body has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Untouched,
    Flows,
    Ended(Result<(), BodyError>),
}

impl Upload {
    /// After its beginning, with the length of the whole where that is known.
    pub fn new(reader: RequestBodyReader, part: MemoryReservation, length: Option<u64>) -> Rc<Self> {
        let state = Cell::new(Progress::Untouched);
        Rc::new(Upload { reader: RefCell::new(reader), _part: part, length, state, ended: Notify::new() })
    }

    /// May it still be sent from its beginning?
    pub fn is_unread(&self) -> bool {
        self.state.get() == Progress::Untouched
    }

    /// Takes it for one attempt; false if another has it.
    pub fn try_claim(&self) -> bool {
        let untouched = self.is_unread();
        if untouched {
            self.state.set(Progress::Flows);
        }
        untouched
    }

    /// Has it failed to come whole?
    pub fn has_failed(&self) -> bool {
        matches!(self.state.get(), Progress::Ended(Err(_)))
    }

    pub(super) fn poll_piece(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Progress::Ended(end) = self.state.get() {
            return Poll::Ready(end.err().map(Err));
        }
        let mut reader = self.reader.borrow_mut();
        let piece = std::task::ready!(reader.poll_piece(cx));
        let end = match piece {
            // Nobody asks for more after the last byte.
            Some(Ok(_)) if self.length == Some(reader.bytes) => Ok(()),
            Some(Ok(_)) => return Poll::Ready(piece),
            Some(Err(fault)) => Err(fault),
            None => Ok(()),
        };
        self.state.set(Progress::Ended(end));
        self.ended.notify_one();
        Poll::Ready(piece)
    }

    /// Waits until it has been read to its end, or has failed. For one caller.
    pub async fn ended(&self) -> Result<(), BodyError> {
        loop {
            if let Progress::Ended(end) = self.state.get() {
                return end;
            }
            self.ended.notified().await;
        }
    }

    /// Reads on and throws away: a client that is still sending would not see its answer.
    pub async fn discard(&self) {
        while let Some(Ok(_)) = poll_fn(|cx| self.poll_piece(cx)).await {}
    }
}
