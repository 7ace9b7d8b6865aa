//! The client side: reads requests, hands them to the driver and writes the one final answer.

use super::bodies::{Fault, Memory, Part, Passing, Reader, Upload, WHOLE_MOST};
use super::driver::{Answer, Driver, Intake, Request};
use super::hosts::{Begun, Hosts};
use super::{Descriptor, Descriptors};
use badgerramp::{CallId, ClassId, Micros};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// Taken off the client's time, so that the final answer reaches it before that is up.
const MARGIN: Micros = 2_000;
/// Longest time of a client that is believed.
const TIME_MOST: Micros = 600_000_000;
/// Most bytes of a request's head.
const HEAD_MOST: usize = 32 * 1024;
/// A client may take 2 s for a request's head and rest as long between requests. A peer that never comes to a
/// whole request must be gone within 3 s of connecting, its body included.
const REST_TIME: Duration = Duration::from_millis(2_100);
const HEAD_TIME: Duration = Duration::from_millis(2_300);
const FIRST_TIME: Duration = Duration::from_millis(2_400);
const WHOLE_TIME: Duration = Duration::from_millis(2_850);
/// What a body may lose in all beyond what its size explains: of a first request, what its head has left of that.
const BODY_TIME: Duration = Duration::from_secs(2);
const BODY_LEAST: Duration = Duration::from_millis(300);
/// ... and one whose request will be refused, as its place is wanted.
const CROWDED_TIME: Duration = Duration::from_secs(1);
/// How long a client may take nothing of its answer. A slow one empties the system's buffer, which may hold
/// megabytes, by a third before more is taken from here.
const STUCK_TIME: Duration = Duration::from_secs(30);
/// A connection that has rested for less is not made to leave: a new one's request may be on its way.
const REST_LEAST: Duration = Duration::from_millis(250);
/// Advice to a client that finds no place here: by then some connection has rested for long enough.
const COME_BACK: Micros = 250_000;
/// At a stop without a successor, connections are accepted for at least this long.
const STOP_ACCEPT: Duration = Duration::from_millis(450);
/// At a stop a connection that rests is closed after this, in which all that has come is read; one on which no
/// request has come yet is given longer, as its first is on the way.
const STOP_REST: Duration = Duration::from_millis(3);
const STOP_FIRST: Duration = Duration::from_millis(300);
/// Pause of accepting when the system has no descriptor left.
const SHORT_PAUSE: Duration = Duration::from_millis(10);

pub struct Front {
    pub driver: Driver,
    pub hosts: Rc<Hosts>,
    pub descriptors: Rc<Descriptors>,
    /// Connections of clients that are served. They must leave descriptors for the way to the hosts: else a
    /// crowd of clients would be taken and none of them served.
    pub most: usize,
    /// Further ones that are taken to be refused and closed.
    pub beyond: usize,
    pub resting: Rc<Resting>,
    pub memory: Rc<Memory>,
}

/// Clients' connections without an open request, the one that has rested longest first. When no place is left
/// they make room: a crowd that keeps its connections must not keep others out.
#[derive(Default)]
pub struct Resting {
    order: RefCell<BTreeMap<u64, (Instant, Rc<Notify>)>>,
    next: Cell<u64>,
}

impl Resting {
    /// Tells the connection that has rested longest to end. False if none has rested for long enough.
    fn make_room(&self) -> bool {
        let mut order = self.order.borrow_mut();
        let longest = order.first_entry().filter(|e| e.get().0.elapsed() >= REST_LEAST);
        longest.map(|e| e.remove().1.notify_one()).is_some()
    }
}

/// One client's connection, as the front sees it.
struct Visit {
    resting: Rc<Resting>,
    leave: Rc<Notify>,
    place: Cell<u64>,
    requests: Cell<u64>,
    came: Instant,
    state: Cell<State>,
    /// Since when the client has taken nothing of what is to be written.
    stuck: Cell<Option<Instant>>,
    changed: Notify,
}

/// What happens on a connection, and since when.
#[derive(Clone, Copy)]
enum State {
    /// Nothing of a next request has come.
    Rests(Instant),
    /// Some of a head has.
    Begun(Instant),
    /// A request is open.
    Open,
    /// Its answer is there and not yet written whole.
    Answers,
}

impl Visit {
    fn new(resting: Rc<Resting>) -> Rc<Self> {
        let visit = Visit {
            resting,
            leave: Rc::default(),
            place: Cell::new(0),
            requests: Cell::new(0),
            came: Instant::now(),
            state: Cell::new(State::Open),
            stuck: Cell::default(),
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

    /// How long the body of the request that has just begun may come to no more.
    fn body_time(&self) -> Duration {
        match self.requests.get() {
            0 | 1 => WHOLE_TIME.saturating_sub(self.came.elapsed()).clamp(BODY_LEAST, BODY_TIME),
            _ => BODY_TIME,
        }
    }

    fn work(&self) {
        self.heard();
        self.requests.set(self.requests.get() + 1);
        self.state.set(State::Open);
    }

    /// When must the connection end if nothing more comes? `stop` is when the program was told to end.
    fn due(&self, crowded: bool, stop: Option<Instant>) -> Option<Instant> {
        let first = self.requests.get() == 0;
        let usual = match self.state.get() {
            State::Open | State::Answers => return self.stuck.get().map(|since| since + STUCK_TIME),
            State::Begun(since) if first => (since + HEAD_TIME).min(self.came + FIRST_TIME),
            State::Begun(since) => since + HEAD_TIME,
            State::Rests(_) if first => self.came + FIRST_TIME,
            State::Rests(since) => since + REST_TIME,
        };
        let crowd = if crowded { self.came + CROWDED_TIME } else { usual };
        let stopped = match (self.state.get(), stop) {
            (State::Rests(since), Some(stop)) if first => since.max(stop) + STOP_FIRST,
            (State::Rests(since), Some(stop)) => since.max(stop) + STOP_REST,
            _ => usual,
        };
        Some(usual.min(crowd).min(stopped))
    }
}

impl Drop for Visit {
    fn drop(&mut self) {
        self.resting.order.borrow_mut().remove(&self.place.get());
    }
}

/// Keeps a request open until its answer is there whole and nothing of it is read any more.
struct Open {
    visit: Rc<Visit>,
    /// Which request of its connection, from 1: what is left of an earlier one must not end a later one.
    number: u64,
}

impl Drop for Open {
    fn drop(&mut self) {
        if self.visit.requests.get() == self.number {
            self.visit.answer();
        }
    }
}

/// An answer's body with its open request.
struct Ending {
    body: Passing,
    _open: Rc<Open>,
}

impl Body for Ending {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A client's stream that says when something comes.
struct Heard {
    stream: TcpStream,
    visit: Rc<Visit>,
}

impl AsyncRead for Heard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.visit.heard();
        }
        read
    }
}

impl AsyncWrite for Heard {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.visit.wrote(written.is_ready());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // It is called when nothing is left to write.
        self.visit.flushed();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Front {
    /// Serves clients until `stop` resolves, then finishes what is taken. With a `successor`, which has the same
    /// listener, no connection is accepted from then on: what waits there is the successor's.
    pub async fn serve(
        self: Rc<Self>,
        listener: TcpListener,
        successor: bool,
        stop: impl Future<Output = ()>,
    ) {
        let (closing, closed) = watch::channel(None);
        let places = Arc::new(Semaphore::new(self.most + self.beyond));
        let mut stop = pin!(stop);
        let mut end: Option<Instant> = None;
        let mut was_crowded = false;
        self.driver.take_clients(true);
        loop {
            let late = async move {
                match end {
                    Some(end) => tokio::time::sleep_until(end).await,
                    None => std::future::pending().await,
                }
            };
            // With no place left, clients wait in the listener's queue: those refused leave soon.
            let accept = async {
                let place = Arc::clone(&places).acquire_owned().await;
                (listener.accept().await, place.ok())
            };
            tokio::select! {
                // A crowd of clients must not keep the stop from being heard, nor a stop clients from being taken.
                biased;
                () = &mut stop, if end.is_none() => {
                    // From now on each answer closes its connection, and idle ones close at once, while new
                    // ones are still taken: clients move over before the listener goes.
                    end = Some(Instant::now() + STOP_ACCEPT);
                    let _ = closing.send(Some(Instant::now()));
                    self.driver.take_clients(false);
                    if successor {
                        break;
                    }
                }
                (accepted, place) = accept => match accepted {
                    Ok((stream, _)) => {
                        let full = places.available_permits() < self.beyond;
                        let crowded = full && !self.resting.make_room();
                        if crowded != std::mem::replace(&mut was_crowded, crowded) {
                            let (most, open) = (self.most, self.driver.open_calls());
                            let state = if crowded { "all taken" } else { "free again" };
                            eprintln!("badgerramp: clients' {most} places {state}, {open} calls open");
                        }
                        self.accepted(stream, closed.clone(), crowded, place);
                    }
                    Err(fault) => self.short_of_sockets(&fault).await,
                },
                () = late => break,
            }
        }
        drop(listener);
        // All places are free once the last connection has ended. Each ends by itself: with its answer, or with
        // the time that it has for a request.
        let _ = places.acquire_many((self.most + self.beyond) as u32).await;
    }

    /// Running out of descriptors must not end the program: idle connections go first.
    async fn short_of_sockets(&self, fault: &io::Error) {
        let aborted = [io::ErrorKind::ConnectionAborted, io::ErrorKind::ConnectionReset];
        if !aborted.contains(&fault.kind()) && !self.hosts.evict() {
            tokio::time::sleep(SHORT_PAUSE).await;
        }
    }

    fn accepted(
        self: &Rc<Self>,
        stream: TcpStream,
        closing: watch::Receiver<Option<Instant>>,
        crowded: bool,
        place: Option<OwnedSemaphorePermit>,
    ) {
        let descriptor = self.descriptors.take().or_else(|| {
            self.hosts.evict();
            self.descriptors.take()
        });
        let crowded = crowded || descriptor.is_none();
        let front = Rc::clone(self);
        tokio::task::spawn_local(front.connection(stream, closing, crowded, (place, descriptor)));
    }

    async fn connection(
        self: Rc<Self>,
        stream: TcpStream,
        mut closing: watch::Receiver<Option<Instant>>,
        crowded: bool,
        _held: (Option<OwnedSemaphorePermit>, Option<Descriptor>),
    ) {
        let _ = stream.set_nodelay(true);
        let visit = Visit::new(Rc::clone(&self.resting));
        let (stopping, stream) = (closing.clone(), Heard { stream, visit: Rc::clone(&visit) });
        let service = service_fn(|request| {
            let (front, visit, stopping) = (&self, &visit, &stopping);
            async move {
                visit.work();
                let open = Rc::new(Open { visit: Rc::clone(visit), number: visit.requests.get() });
                let mut answer =
                    if crowded { front.turn_back(&request) } else { front.request(request, &open).await };
                if stopping.borrow().is_some() {
                    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(answer.map(|body| Ending { body, _open: open }))
            }
        });
        let connection = http1::Builder::new()
            .max_buf_size(HEAD_MOST)
            .keep_alive(!crowded)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        loop {
            let stop = *closing.borrow_and_update();
            let due = visit.due(crowded, stop);
            let late = async move {
                match due {
                    Some(due) => tokio::time::sleep_until(due).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                // What has come is read before the time is looked at.
                biased;
                // How a client's connection ends concerns nobody: its calls are dropped with it.
                _ = connection.as_mut() => return,
                () = late => {
                    if visit.due(crowded, stop).is_some_and(|due| due <= Instant::now()) {
                        return;
                    }
                }
                () = visit.changed.notified() => {}
                Ok(()) = closing.changed() => {}
                () = visit.leave.notified() => {
                    if let State::Rests(_) = visit.state.get() {
                        return;
                    }
                }
            }
        }
    }

    /// The class is the first part of the path.
    fn class(&self, path: &str) -> Option<ClassId> {
        self.driver.class(path.trim_start_matches('/').split('/').next().unwrap_or_default())
    }

    /// The answer to whoever finds no place.
    fn turn_back(&self, request: &hyper::Request<Incoming>) -> Response<Passing> {
        let proper = request.headers().contains_key("x-request-id");
        if let Some(class) = self.class(request.uri().path()).filter(|_| proper) {
            self.driver.turned_back(class);
        }
        refused(COME_BACK)
    }

    async fn request(&self, request: hyper::Request<Incoming>, open: &Rc<Open>) -> Response<Passing> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path();
        if path == "/_health" && matches!(parts.method, Method::GET | Method::HEAD) {
            return plain(StatusCode::OK, "ok");
        }
        let time = match parts.headers.get("x-timeout").map(|v| v.to_str().ok().and_then(timeout)) {
            Some(Some(time)) => time.saturating_sub(MARGIN).max(1),
            _ => return improper(StatusCode::BAD_REQUEST, "X-Timeout missing or odd"),
        };
        if !parts.headers.contains_key("x-request-id") {
            return improper(StatusCode::BAD_REQUEST, "X-Request-ID missing");
        }
        // No server knows what the settings do not name: it would only answer with an error.
        let Some(class) = self.class(path) else {
            return improper(StatusCode::NOT_FOUND, "no such class of request");
        };
        let mut part = Part::default();
        let mut reader = Reader::new(body, open.visit.body_time());
        let length = reader.length();
        let (body, whole) = match reader.begin(&mut part, &self.memory).await {
            Ok(begun) => begun,
            Err(fault) => return not_whole(fault),
        };
        let rest = if whole {
            None
        } else {
            // Without memory for it none of it is passed on.
            let room = self.memory.try_grow(&mut part, WHOLE_MOST + 1);
            let rest = Upload::new(reader, std::mem::take(&mut part), length);
            if !room {
                self.driver.turned_back(class);
                discard(rest, open);
                return refused(COME_BACK);
            }
            Some(rest)
        };
        let intake = Intake {
            class,
            tenant: text(&parts.headers, "x-tenant-id"),
            resent: { parts.headers.get("x-retried").is_some_and(|v| v.as_bytes() == b"1") },
        };
        let (method, uri, headers) = (parts.method, parts.uri, parts.headers);
        let request = Request { method, uri, headers, body, rest: rest.clone(), length, time };
        let Some((call, answer)) = self.driver.request(intake, request) else {
            rest.into_iter().for_each(|rest| discard(rest, open));
            return refused(COME_BACK);
        };
        let _gone = Gone { driver: &self.driver, call };
        let mut answer = pin!(answer);
        let answer = match &rest {
            None => answer.await,
            Some(upload) => tokio::select! {
                biased;
                answer = answer.as_mut() => answer,
                end = upload.ended() => match end {
                    Ok(()) => {
                        self.driver.whole(call);
                        answer.await
                    }
                    Err(fault) => return not_whole(fault),
                }
            },
        };
        // A host that has begun its answer may be reading still.
        let begun = matches!(answer, Ok(Answer::Begun(_)));
        rest.into_iter().filter(|_| !begun).for_each(|rest| discard(rest, open));
        match answer {
            Ok(Answer::Served { body, content_type }) => served(body.into(), content_type),
            Ok(Answer::Begun(Begun { first, rest, length, content_type })) => {
                served(Passing::stream(first, rest, length), content_type)
            }
            Ok(Answer::Refused { retry_after }) => refused(retry_after),
            Ok(Answer::Failed) => plain(StatusCode::BAD_GATEWAY, "failed"),
            Ok(Answer::Overdue) | Err(_) => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        }
    }
}

/// Reads on what a client still sends after its answer is there: it may look for that only then.
fn discard(rest: Rc<Upload>, open: &Rc<Open>) {
    let open = Rc::clone(open);
    tokio::task::spawn_local(async move {
        rest.discard().await;
        drop(open);
    });
}

fn not_whole(fault: Fault) -> Response<Passing> {
    match fault {
        Fault::Broken => improper(StatusCode::BAD_REQUEST, "broken body"),
        Fault::TooLarge => improper(StatusCode::PAYLOAD_TOO_LARGE, "body over 40 MiB"),
        Fault::Halted => improper(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
    }
}

fn served(body: Passing, content_type: Option<HeaderValue>) -> Response<Passing> {
    let mut response = Response::new(body);
    if let Some(content_type) = content_type {
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    }
    response
}

/// Tells the driver when the client goes before its answer: hyper drops the request's future then.
struct Gone<'a> {
    driver: &'a Driver,
    call: CallId,
}

impl Drop for Gone<'_> {
    fn drop(&mut self) {
        self.driver.gone(self.call);
    }
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// A number and a unit: `m` milliseconds or `u` microseconds.
fn timeout(text: &str) -> Option<Micros> {
    let text = text.trim();
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let scale = match unit {
        "m" => 1_000,
        "u" => 1,
        _ => return None,
    };
    if !number.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let time = number.parse::<Micros>().ok()?.saturating_mul(scale);
    (time > 0).then_some(time.min(TIME_MOST))
}

fn plain(status: StatusCode, text: &'static str) -> Response<Passing> {
    let mut response = Response::new(Passing::from(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// The answer to what is no request of a client's. Its connection ends with it and frees its place.
fn improper(status: StatusCode, text: &'static str) -> Response<Passing> {
    let mut response = plain(status, text);
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// A refusal tells the client when to come back, in seconds.
fn refused(retry_after: Micros) -> Response<Passing> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
    let seconds = format!("{}.{:03}", retry_after / 1_000_000, retry_after / 1_000 % 1_000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
