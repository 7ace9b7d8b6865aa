//! Bodies on their way: up to 64 KiB they are held whole, beyond that they pass piece by piece, each side waiting
//! for the other, within a budget of memory.

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{mpsc, Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, Sleep};

/// Most bytes of a body that is held whole, either way.
pub const WHOLE_MOST: usize = 64 * 1024;
/// Most bytes of a request's body: the largest that occur have 32 MB.
pub const BODY_MOST: u64 = 40 << 20;
/// Most bytes that a connection's own buffer takes.
pub const BUFFER_MOST: usize = 32 * 1024;
/// A body up to this costs no more than its connection does anyway.
const FREE: usize = 16 * 1024;
/// What a body that passes piece by piece holds at a time: a buffer on either side and the piece between.
const PASSING: usize = WHOLE_MOST + 3 * BUFFER_MOST;
/// Share of the memory that bodies may take: two processes may be there, and each needs some for itself.
const SHARE: usize = 3;
const KIB: usize = 1024;

/// A sender that keeps to this many bytes a second is slow, not stuck.
const RATE: f64 = 32.0 * 1024.0;
/// The longest that a body may come to a halt.
const HALT_MOST: Duration = Duration::from_secs(3);

/// The memory that bodies may hold.
#[derive(Debug)]
pub struct Memory(Arc<Semaphore>);

/// A body's part of it, given back when dropped.
#[derive(Debug, Default)]
pub struct Part {
    held: Vec<OwnedSemaphorePermit>,
    kib: usize,
}

impl Memory {
    /// The bodies' share of so many MB.
    pub fn new(memory_mb: usize) -> Rc<Self> {
        let kib = (memory_mb * KIB / SHARE).clamp(4 * PASSING / KIB, Semaphore::MAX_PERMITS);
        Rc::new(Memory(Arc::new(Semaphore::new(kib))))
    }

    /// How much a part must grow for a body of this size.
    fn missing(part: &Part, size: usize) -> u32 {
        let size = if size > WHOLE_MOST { PASSING } else { size };
        let kib = if size <= FREE { 0 } else { size.div_ceil(KIB) };
        kib.saturating_sub(part.kib) as u32
    }

    fn grown(part: &mut Part, kib: u32, permit: OwnedSemaphorePermit) {
        part.kib += kib as usize;
        part.held.push(permit);
    }

    /// Makes a part large enough for a body of this size, if there is room.
    pub fn try_grow(&self, part: &mut Part, size: usize) -> bool {
        let kib = Memory::missing(part, size);
        let permit = Arc::clone(&self.0).try_acquire_many_owned(kib);
        permit.map(|permit| Memory::grown(part, kib, permit)).is_ok()
    }

    /// The same, waiting for room.
    pub async fn grow(&self, part: &mut Part, size: usize) {
        let kib = Memory::missing(part, size);
        if let Ok(permit) = Arc::clone(&self.0).acquire_many_owned(kib).await {
            Memory::grown(part, kib, permit);
        }
    }
}

/// Why a body did not come whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Its sender left, or sent what is no body.
    Broken,
    /// It came to a halt.
    Halted,
    /// It is larger than any that occurs.
    TooLarge,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Fault::Broken => "the body broke off",
            Fault::Halted => "the body came to a halt",
            Fault::TooLarge => "the body is too large",
        })
    }
}

impl std::error::Error for Fault {}

/// A client's body, read with an eye on its progress: only the time spent waiting for the client counts.
pub struct Reader {
    body: Incoming,
    /// Time that it may lose on top of what its size explains.
    slack: Duration,
    bytes: u64,
    waited: Duration,
    waits_since: Option<Instant>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl Reader {
    pub fn new(body: Incoming, slack: Duration) -> Self {
        Reader { body, slack, bytes: 0, waited: Duration::ZERO, waits_since: None, timer: None }
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

    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Fault>>> {
        loop {
            let frame = match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(frame) => frame,
                Poll::Pending => break,
            };
            let waited = self.waits_since.take().map(|since| since.elapsed());
            self.waited += waited.unwrap_or_default();
            match frame.map(|frame| frame.map(Frame::into_data)) {
                None => return Poll::Ready(None),
                Some(Err(_)) => return Poll::Ready(Some(Err(Fault::Broken))),
                Some(Ok(Ok(piece))) => {
                    self.bytes += piece.len() as u64;
                    if self.bytes > BODY_MOST {
                        return Poll::Ready(Some(Err(Fault::TooLarge)));
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
        timer.as_mut().poll(cx).map(|()| Some(Err(Fault::Halted)))
    }

    async fn piece(&mut self) -> Option<Result<Bytes, Fault>> {
        poll_fn(|cx| self.poll_piece(cx)).await
    }

    /// The body if it is no larger than may be held, or its beginning, and whether that is all.
    pub async fn begin(&mut self, part: &mut Part, memory: &Memory) -> Result<(Bytes, bool), Fault> {
        if self.length().is_some_and(|length| length > BODY_MOST) {
            return Err(Fault::TooLarge);
        }
        let mut whole = BytesMut::new();
        while let Some(piece) = self.piece().await {
            let piece = piece?;
            memory.grow(part, whole.len() + piece.len()).await;
            whole.extend_from_slice(&piece);
            if whole.len() > WHOLE_MOST {
                return Ok((whole.freeze(), false));
            }
        }
        Ok((whole.freeze(), true))
    }
}

/// What is left of a client's body that is too large to be held. It can be read once only.
pub struct Upload {
    reader: RefCell<Reader>,
    _part: Part,
    length: Option<u64>,
    state: Cell<Progress>,
    ended: Notify,
}

/// How far a body has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Untouched,
    Flows,
    Ended(Result<(), Fault>),
}

impl Upload {
    /// After its beginning, with the length of the whole where that is known.
    pub fn new(reader: Reader, part: Part, length: Option<u64>) -> Rc<Self> {
        let state = Cell::new(Progress::Untouched);
        Rc::new(Upload { reader: RefCell::new(reader), _part: part, length, state, ended: Notify::new() })
    }

    /// May it still be sent from its beginning?
    pub fn untouched(&self) -> bool {
        self.state.get() == Progress::Untouched
    }

    /// Takes it for one attempt; false if another has it.
    pub fn claim(&self) -> bool {
        let untouched = self.untouched();
        if untouched {
            self.state.set(Progress::Flows);
        }
        untouched
    }

    /// Has it failed to come whole?
    pub fn failed(&self) -> bool {
        matches!(self.state.get(), Progress::Ended(Err(_)))
    }

    fn poll_piece(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Fault>>> {
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
    pub async fn ended(&self) -> Result<(), Fault> {
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

/// Whether all of a request has been handed to the socket.
#[derive(Debug, Default)]
pub struct Handover {
    /// The last write took all that there was.
    pub emptied: Cell<bool>,
    /// Nothing more comes.
    ended: Cell<bool>,
    /// Since when the socket has taken nothing.
    stuck: Cell<Option<Instant>>,
}

impl Handover {
    /// Was the last byte handed over?
    pub fn whole(&self) -> bool {
        self.ended.get() && self.emptied.get()
    }

    /// The socket has taken something, or for now takes nothing.
    pub fn wrote(&self, some: bool) {
        self.stuck.set(if some { None } else { self.stuck.get().or_else(|| Some(Instant::now())) });
    }

    /// How long it has taken nothing.
    pub fn stuck_for(&self) -> Duration {
        self.stuck.get().map(|since| since.elapsed()).unwrap_or_default()
    }

    fn more(&self, ended: bool) {
        self.emptied.set(false);
        self.ended.set(ended);
    }
}

/// A request's body as it goes to a host.
pub struct Sending {
    first: Bytes,
    rest: Option<Rc<Upload>>,
    /// What is still to come, where its length is known.
    left: Option<u64>,
    handover: Rc<Handover>,
}

impl Sending {
    pub fn new(first: Bytes, rest: Option<(Rc<Upload>, Option<u64>)>, handover: Rc<Handover>) -> Self {
        let (rest, left) = match rest {
            Some((rest, length)) => (Some(rest), length),
            None => (None, Some(first.len() as u64)),
        };
        handover.more(first.is_empty() && rest.is_none());
        Sending { first, rest, left, handover }
    }
}

impl Body for Sending {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let piece = if !self.first.is_empty() {
            Some(Ok(std::mem::take(&mut self.first)))
        } else if let Some(rest) = &self.rest {
            std::task::ready!(rest.poll_piece(cx))
        } else {
            None
        };
        if let (Some(Ok(piece)), Some(left)) = (&piece, &mut self.left) {
            *left = left.saturating_sub(piece.len() as u64);
        }
        self.handover.more(piece.is_none() || self.left == Some(0));
        Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.left == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map(SizeHint::with_exact).unwrap_or_default()
    }
}

/// One piece of an answer that is passed on, or its end; a channel that closes without the end was cut.
#[derive(Debug)]
pub enum Piece {
    Data(Bytes),
    End,
}

/// An answer as it goes to the client: whole, or its first bytes and a channel for the rest.
#[derive(Debug)]
pub struct Passing {
    first: Bytes,
    rest: Option<mpsc::Receiver<Piece>>,
    left: Option<u64>,
}

impl Passing {
    pub fn stream(first: Bytes, rest: mpsc::Receiver<Piece>, length: Option<u64>) -> Self {
        Passing { first, rest: Some(rest), left: length }
    }
}

impl From<Bytes> for Passing {
    fn from(whole: Bytes) -> Self {
        let left = Some(whole.len() as u64);
        Passing { first: whole, rest: None, left }
    }
}

impl Body for Passing {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let piece = if !self.first.is_empty() {
            Piece::Data(std::mem::take(&mut self.first))
        } else if let Some(rest) = &mut self.rest {
            match std::task::ready!(rest.poll_recv(cx)) {
                Some(piece) => piece,
                // The client must see that this is not all: the connection ends without the end of the body.
                None => return Poll::Ready(Some(Err(Fault::Broken))),
            }
        } else {
            Piece::End
        };
        Poll::Ready(match piece {
            Piece::Data(piece) => {
                if let Some(left) = &mut self.left {
                    *left = left.saturating_sub(piece.len() as u64);
                }
                Some(Ok(Frame::data(piece)))
            }
            Piece::End => {
                self.rest = None;
                None
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        self.left == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map(SizeHint::with_exact).unwrap_or_default()
    }
}
