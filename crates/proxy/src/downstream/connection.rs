//! One client's connection: what happens on it, since when, and when it must end.

use crate::body::{MemoryLimit, MemoryReservation, MAX_BUFFERED_BODY_BYTES};
use crate::socket::Socket;
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::Instant;

/// A client may take 2 s for a request's head and rest as long between requests. A peer that never comes to a
/// whole request must be gone within 3 s of connecting, its body included.
const REST_TIME: Duration = Duration::from_millis(2_100);
const HEAD_TIME: Duration = Duration::from_millis(2_300);
const FIRST_TIME: Duration = Duration::from_millis(2_400);
const WHOLE_TIME: Duration = Duration::from_millis(2_850);
/// What a body may lose in all beyond what its size explains: of a first request, what its head has left of that.
const BODY_TIME: Duration = Duration::from_secs(2);
const BODY_LEAST: Duration = Duration::from_millis(300);
/// ... and one whose request will be refused, as its place is wanted; one of which nothing has come is given less.
const CROWDED_TIME: Duration = Duration::from_secs(1);
const CROWDED_REST: Duration = Duration::from_millis(250);
/// How long a client may take nothing of its answer. A slow one empties the system's buffer, which may hold
/// megabytes, by a third before more is taken from here.
const STUCK_TIME: Duration = Duration::from_secs(30);
/// Most bytes that are kept of what comes ahead of its time, as far as there is memory. A client sends one request at a
/// time (PROTOCOL); some write a few at once.
const AHEAD_MOST: usize = 4 * MAX_BUFFERED_BODY_BYTES;
/// Most bytes that are looked past at a time for a client's end. Much more than its system holds for it may follow.
const LOOK_MOST: usize = 1 << 20;
/// A connection that has rested for less is not made to leave: a new one's request may be on its way. A way between a
/// client and its proxy, on one machine, takes a small part of it, and a crowd of idle ones turns over the faster for it.
const REST_LEAST: Duration = Duration::from_millis(100);
/// At a stop a connection that rests is closed after this, in which all that has come is read; one on which no
/// request has come yet is given longer, as its first is on the way.
const STOP_REST: Duration = Duration::from_millis(3);
const STOP_FIRST: Duration = Duration::from_millis(300);
/// ... and a request of which some has come must be there whole by then: what comes later than 0.7 s after the stop
/// may be killed with the process before its time is up, and is lost then (PROTOCOL).
const STOP_LAST: Duration = Duration::from_millis(650);

/// Clients' connections without an open request, the one that has rested longest first. When no place is left
/// they make room: a crowd that keeps its connections must not keep others out.
#[derive(Default)]
pub struct IdleConnections {
    order: RefCell<BTreeMap<u64, (Instant, Rc<Notify>)>>,
    next: Cell<u64>,
}

impl IdleConnections {
    /// Tells the connection that has rested longest to end. False if none has rested for long enough.
    pub fn make_room(&self) -> bool {
        let mut order = self.order.borrow_mut();
        let longest = order.first_entry().filter(|e| e.get().0.elapsed() >= REST_LEAST);
        longest.map(|e| e.remove().1.notify_one()).is_some()
    }
}

/// One client's connection, as the front sees it.
pub struct ClientConnection {
    pub socket: Socket,
    resting: Rc<IdleConnections>,
    leave: Rc<Notify>,
    place: Cell<u64>,
    requests: Cell<u64>,
    came: Instant,
    state: Cell<State>,
    /// Since when the client has taken nothing of what is to be written.
    stuck: Cell<Option<Instant>>,
    /// The client has closed its side: it has gone, whatever of it is still unread.
    closed: Cell<bool>,
    /// What has come behind a request that waits for its answer, ahead of its time, and its part of the memory.
    ahead: RefCell<(BytesMut, MemoryReservation)>,
    memory: Rc<MemoryLimit>,
    /// More came than is kept: its connection ends with the answer, and what comes until then is thrown away.
    flooded: Cell<bool>,
    changed: Notify,
}

/// What happens on a connection, and since when.
#[derive(Clone, Copy)]
enum State {
    /// Nothing of a next request has come.
    Rests(Instant),
    /// Some of a head has.
    Begun(Instant),
    /// A request is open, and some of its body may be still to come.
    Open,
    /// All of it is there, and its answer is not.
    Waits,
    /// Its answer is there and not yet written whole.
    Answers,
}

impl ClientConnection {
    pub fn new(socket: Socket, resting: Rc<IdleConnections>, memory: Rc<MemoryLimit>) -> Rc<Self> {
        let visit = ClientConnection {
            socket,
            resting,
            leave: Rc::default(),
            place: Cell::new(0),
            requests: Cell::new(0),
            came: Instant::now(),
            state: Cell::new(State::Open),
            stuck: Cell::default(),
            closed: Cell::default(),
            ahead: RefCell::default(),
            memory,
            flooded: Cell::default(),
            changed: Notify::new(),
        };
        visit.rest();
        Rc::new(visit)
    }

    fn rest(&self) {
        self.place.set(self.resting.next.get());
        self.resting.next.set(self.place.get() + 1);
        self.resting.order.borrow_mut().insert(self.place.get(), (Instant::now(), Rc::clone(&self.leave)));
        self.state.set(State::Rests(Instant::now()));
        self.changed.notify_one();
    }

    /// The answer is there.
    fn answer(&self) {
        self.state.set(State::Answers);
        // The connection is looked at once more, as its last byte may be written already.
        self.changed.notify_one();
    }

    /// All that there was to write has been written.
    fn flushed(&self) {
        if let State::Answers = self.state.get() {
            self.rest();
        }
    }

    /// The client has taken some of what is to be written, or for now takes nothing.
    fn wrote(&self, some: bool) {
        match (some, self.stuck.get()) {
            (true, _) => self.stuck.set(None),
            (false, None) => {
                self.stuck.set(Some(Instant::now()));
                self.changed.notify_one();
            }
            (false, Some(_)) => {}
        }
    }

    /// Some bytes have come.
    fn heard(&self) {
        if let State::Rests(_) = self.state.get() {
            self.resting.order.borrow_mut().remove(&self.place.get());
            self.state.set(State::Begun(Instant::now()));
            self.changed.notify_one();
        }
    }

    /// Resolves when `due` may have changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Resolves when its place is wanted for another.
    pub async fn told_to_leave(&self) {
        self.leave.notified().await;
    }

    /// Has nothing of a next request come?
    pub fn rests(&self) -> bool {
        matches!(self.state.get(), State::Rests(_))
    }

    /// The client has closed its side.
    pub fn closes(&self) {
        self.closed.set(true);
    }

    /// Does a request wait for its answer although its client has gone?
    pub fn deserted(&self) -> bool {
        self.closed.get() && matches!(self.state.get(), State::Open | State::Waits)
    }

    /// Does a request that is there whole wait for its answer?
    pub fn waits(&self) -> bool {
        matches!(self.state.get(), State::Waits)
    }

    pub fn flooded(&self) -> bool {
        self.flooded.get()
    }

    /// Reads some of what comes behind a request that waits.
    pub async fn read_ahead(&self) {
        self.socket.read_with(|bytes| self.came_ahead(bytes)).await;
        // A flood must leave others their time.
        tokio::task::yield_now().await;
    }

    /// Has the client closed its side, as far as can be known now? What hides that is read first.
    fn has_closed(&self) -> bool {
        let mut left = LOOK_MOST;
        while self.waits() && !self.closed.get() && left > 0 {
            let Some(count) = self.socket.try_read_with(|bytes| self.came_ahead(bytes)) else { break };
            left = left.saturating_sub(count.max(1));
        }
        self.closed.get() || self.socket.is_peer_closed()
    }

    /// Takes bytes that came ahead of their time, and tells how many; none are the end.
    fn came_ahead(&self, bytes: &[u8]) -> usize {
        let (ahead, part) = &mut *self.ahead.borrow_mut();
        let size = ahead.len() + bytes.len();
        if bytes.is_empty() {
            self.closes();
        } else if self.flooded.get() || size > AHEAD_MOST || !self.memory.try_reserve_unread(part, size) {
            self.flooded.set(true);
        } else {
            ahead.extend_from_slice(bytes);
        }
        bytes.len()
    }

    /// Takes what was read ahead; None: nothing was.
    fn take_ahead(&self, buf: &mut ReadBuf<'_>) -> Option<usize> {
        let (ahead, part) = &mut *self.ahead.borrow_mut();
        let count = ahead.len().min(buf.remaining());
        buf.put_slice(&ahead.split_to(count));
        if count > 0 && ahead.is_empty() {
            (*ahead, *part) = (BytesMut::new(), MemoryReservation::default());
        }
        (count > 0).then_some(count)
    }

    fn work(&self) {
        self.heard();
        self.requests.set(self.requests.get() + 1);
        self.state.set(State::Open);
        // What a client left behind when it went is looked at at once.
        self.changed.notify_one();
    }

    /// When must the connection end if nothing more comes? `stop` is when the program was told to end.
    pub fn due(&self, crowded: bool, stop: Option<Instant>) -> Option<Instant> {
        let first = self.requests.get() == 0;
        let usual = match self.state.get() {
            State::Open | State::Waits | State::Answers => {
                return self.stuck.get().map(|since| since + STUCK_TIME)
            }
            State::Begun(since) if first => (since + HEAD_TIME).min(self.came + FIRST_TIME),
            State::Begun(since) => since + HEAD_TIME,
            State::Rests(_) if first => self.came + FIRST_TIME,
            State::Rests(since) => since + REST_TIME,
        };
        let crowd = match self.state.get() {
            _ if !crowded => usual,
            State::Rests(_) => self.came + CROWDED_REST,
            _ => self.came + CROWDED_TIME,
        };
        let stopped = match (self.state.get(), stop) {
            (State::Rests(since), Some(stop)) if first => {
                // What has come by the time it is looked at first is read.
                (since.max(stop) + STOP_FIRST).min((stop + STOP_LAST).max(since + STOP_REST))
            }
            (State::Rests(since), Some(stop)) => since.max(stop) + STOP_REST,
            (State::Begun(since), Some(stop)) => usual.min((stop + STOP_LAST).max(since + STOP_REST)),
            _ => usual,
        };
        Some(usual.min(crowd).min(stopped))
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.resting.order.borrow_mut().remove(&self.place.get());
    }
}

/// Tells whether the client of a request is still there, without keeping its connection.
#[derive(Clone, Default)]
pub struct ClientPresence(Option<Weak<ClientConnection>>);

impl ClientPresence {
    pub fn of(visit: &Rc<ClientConnection>) -> Self {
        ClientPresence(Some(Rc::downgrade(visit)))
    }

    /// Where nothing is known of a client it is there.
    pub fn gone(&self) -> bool {
        self.0.as_ref().is_some_and(|visit| visit.upgrade().is_none_or(|visit| visit.has_closed()))
    }
}

/// Keeps a request open until its answer is there whole and nothing of it is read any more.
pub struct OpenRequest {
    visit: Rc<ClientConnection>,
    /// Which request of its connection, from 1: what is left of an earlier one must not end a later one.
    number: u64,
}

impl OpenRequest {
    /// A request begins on a connection.
    pub fn begin(visit: &Rc<ClientConnection>) -> Rc<Self> {
        visit.work();
        Rc::new(OpenRequest { visit: Rc::clone(visit), number: visit.requests.get() })
    }

    /// All of the request is there.
    pub fn whole(&self) {
        if let (State::Open, true) = (self.visit.state.get(), self.visit.requests.get() == self.number) {
            self.visit.state.set(State::Waits);
            self.visit.changed.notify_one();
        }
    }

    /// How long the body of the request that has just begun may come to no more.
    pub fn body_time(&self) -> Duration {
        match self.visit.requests.get() {
            0 | 1 => WHOLE_TIME.saturating_sub(self.visit.came.elapsed()).clamp(BODY_LEAST, BODY_TIME),
            _ => BODY_TIME,
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.visit.requests.get() == self.number {
            self.visit.answer();
        }
    }
}

/// A client's stream that says when something comes.
pub struct ObservedStream {
    visit: Rc<ClientConnection>,
}

impl ObservedStream {
    pub fn new(visit: &Rc<ClientConnection>) -> Self {
        ObservedStream { visit: Rc::clone(visit) }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let read = match self.visit.take_ahead(buf) {
            Some(count) => Poll::Ready(Ok(count)),
            // What would follow has been thrown away.
            None if self.visit.flooded() => Poll::Pending,
            None => self.visit.socket.poll_read(cx, buf),
        };
        read.map_ok(|count| {
            if count > 0 {
                self.visit.heard();
            }
        })
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = self.visit.socket.poll_write(cx, buf);
        self.visit.wrote(written.is_ready());
        written
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // It is called when nothing is left to write.
        self.visit.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.visit.socket.shutdown_write())
    }
}
