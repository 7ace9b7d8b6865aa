//! The client side: reads requests, hands them to the driver and writes the one final answer.

use super::connection::{ClientConnection, ObservedStream, OpenRequest};
use super::connection::{ClientPresence, IdleConnections};
use super::response::{improper, not_whole, plain, refused, served, Ending, COME_BACK};
use crate::body::{
    BodyError, MemoryLimit, MemoryReservation, RequestBodyReader, ResponseStream, Upload,
    MAX_BUFFERED_BODY_BYTES,
};
use crate::descriptors::{Descriptor, Descriptors};
use crate::dispatcher::Dispatcher;
use crate::request::{CallAttributes, Request};
use crate::response::{FinalResponse, StreamingResponse};
use crate::socket::Socket;
use crate::upstream::pool::ConnectionPool;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Response, StatusCode};
use hyper_util::rt::TokioIo;
use oakport_core::{CallId, ClassId, Micros};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use tracing::warn;

/// Taken off the client's time, so that the final answer reaches it before that is up.
const MARGIN: Micros = 2_000;
/// Longest time of a client that is believed.
const TIME_MOST: Micros = 600_000_000;
/// Most bytes of a request's head.
const HEAD_MOST: usize = 32 * 1024;
/// Memory for a body is waited for this part of the client's time: it does not know of that wait.
const MEMORY_PART: Micros = 8;
/// At a stop without a successor, connections are accepted for at least this long.
const STOP_ACCEPT: Duration = Duration::from_millis(450);
/// What a client sends as its connection is shut is read and thrown away for this long: a close over unread bytes is a
/// reset, which takes what is still on its way to the client with it. Far longer than a way between the two takes, and
/// short enough for a peer to be rid of within its 3 s (TERMS).
const LINGER: Duration = Duration::from_millis(250);
const LINGER_CROWDED: Duration = Duration::from_millis(50);
/// ... and no more than this: a peer that sends without end is not read on.
const LINGER_MOST: usize = 256 * 1024;
/// Pause of accepting when the system has no descriptor left.
const SHORT_PAUSE: Duration = Duration::from_millis(10);

pub struct Downstream {
    pub driver: Dispatcher,
    pub pool: Rc<ConnectionPool>,
    pub descriptors: Rc<Descriptors>,
    /// Those of the reserve that clients' connections may take: they are refused and closed.
    pub uncounted: Rc<Descriptors>,
    /// Connections of clients that are served. They must leave descriptors for the way to the hosts: else a
    /// crowd of clients would be taken and none of them served.
    pub most: usize,
    /// Further ones that are taken to be refused and closed.
    pub beyond: usize,
    pub resting: Rc<IdleConnections>,
    pub memory: Rc<MemoryLimit>,
}

impl Downstream {
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
        self.driver.set_accepting(true);
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
                    self.driver.set_accepting(false);
                    if successor {
                        break;
                    }
                }
                (accepted, place) = accept => match accepted {
                    Ok((stream, _)) => {
                        let full = places.available_permits() < self.beyond;
                        let crowded = full && !self.resting.make_room();
                        if crowded != std::mem::replace(&mut was_crowded, crowded) {
                            let (most, open) = (self.most, self.driver.open_call_count());
                            let state = if crowded { "all taken" } else { "free again" };
                            warn!(places = most, state, calls = open, "places of clients");
                        }
                        self.accepted(stream, closed.clone(), crowded, place);
                    }
                    Err(fault) => self.short_of_sockets(&fault).await,
                },
                () = late => break,
            }
        }
        if !successor {
            self.last_of(listener, &places, &closed);
        }
        // All places are free once the last connection has ended. Each ends by itself: with its answer, or with
        // the time that it has for a request.
        let _ = places.acquire_many((self.most + self.beyond) as u32).await;
    }

    /// Takes what is in the listener's queue as it closes, which would be reset with it. The system is asked, as the
    /// runtime may not have heard yet of those that came last.
    fn last_of(
        self: &Rc<Self>,
        listener: TcpListener,
        places: &Arc<Semaphore>,
        closed: &watch::Receiver<Option<Instant>>,
    ) {
        let Ok(listener) = listener.into_std() else { return };
        while let Ok(place) = Arc::clone(places).try_acquire_owned() {
            let Ok((stream, _)) = listener.accept() else { return };
            let taken = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            let Ok(stream) = taken else { return };
            let crowded = places.available_permits() < self.beyond;
            self.accepted(stream, closed.clone(), crowded, Some(place));
        }
    }

    /// Running out of descriptors must not end the program: idle connections go first.
    async fn short_of_sockets(&self, fault: &io::Error) {
        let aborted = [io::ErrorKind::ConnectionAborted, io::ErrorKind::ConnectionReset];
        if !aborted.contains(&fault.kind()) && !self.pool.evict_oldest() {
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
        let descriptor = self.descriptors.try_acquire().or_else(|| {
            self.pool.evict_oldest();
            self.descriptors.try_acquire()
        });
        // One that is only told to come back may be open beyond the count, as long as few are.
        let uncounted = descriptor.is_none();
        let Some(descriptor) = descriptor.or_else(|| self.uncounted.try_acquire()) else { return };
        let crowded = crowded || uncounted;
        let front = Rc::clone(self);
        tokio::task::spawn_local(front.connection(stream, closing, crowded, (place, descriptor)));
    }

    async fn connection(
        self: Rc<Self>,
        stream: TcpStream,
        closing: watch::Receiver<Option<Instant>>,
        crowded: bool,
        _held: (Option<OwnedSemaphorePermit>, Descriptor),
    ) {
        let visit =
            ClientConnection::new(Socket::new(stream), Rc::clone(&self.resting), Rc::clone(&self.memory));
        let stopping = closing.clone();
        let service = service_fn(|request| {
            let (front, visit, stopping) = (&self, &visit, &stopping);
            let client = ClientPresence::of(visit);
            async move {
                let open = OpenRequest::begin(visit);
                let mut answer = if crowded {
                    front.turn_back(&request)
                } else {
                    front.request(request, &open, client).await
                };
                if stopping.borrow().is_some() || visit.flooded() {
                    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(answer.map(|body| Ending::new(body, open)))
            }
        });
        let serving = http1::Builder::new()
            .max_buf_size(HEAD_MOST)
            .keep_alive(!crowded)
            .serve_connection(TokioIo::new(ObservedStream::new(&visit)), service);
        let ends = attend(serving, &visit, closing, crowded).await;
        // All that was written arrives, and nothing that still comes is taken for a request.
        let linger = match ends {
            OutcomeCounts::Parted => LINGER,
            OutcomeCounts::MadeRoom => LINGER_CROWDED,
            OutcomeCounts::Deserted => return,
        };
        if visit.socket.shutdown_write().is_ok() {
            // A client that goes on for longer is cut.
            let _ = tokio::time::timeout(linger, discard_rest(&visit.socket)).await;
        }
    }

    /// The class is the first part of the path.
    fn class(&self, path: &str) -> Option<ClassId> {
        self.driver.class_id(path.trim_start_matches('/').split('/').next().unwrap_or_default())
    }

    /// The answer to whoever finds no place.
    fn turn_back(&self, request: &hyper::Request<Incoming>) -> Response<ResponseStream> {
        let proper = request.headers().contains_key("x-request-id");
        if let Some(class) = self.class(request.uri().path()).filter(|_| proper) {
            self.driver.count_rejected(class);
        }
        refused(COME_BACK)
    }

    async fn request(
        &self,
        request: hyper::Request<Incoming>,
        open: &Rc<OpenRequest>,
        client: ClientPresence,
    ) -> Response<ResponseStream> {
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
        let mut part = MemoryReservation::default();
        let mut reader = RequestBodyReader::new(body, open.body_time());
        let length = reader.length();
        let patience = Duration::from_micros(time / MEMORY_PART);
        let (body, whole) = match reader.begin(&mut part, &self.memory, patience).await {
            Ok(begun) => begun,
            Err(fault) => {
                if fault == BodyError::OutOfMemory {
                    self.driver.count_rejected(class);
                    discard(Upload::new(reader, MemoryReservation::default(), length), open);
                }
                return not_whole(fault);
            }
        };
        if whole {
            open.whole();
        }
        let rest = if whole {
            None
        } else {
            // Without memory for it none of it is passed on.
            let room = self.memory.try_reserve(&mut part, MAX_BUFFERED_BODY_BYTES + 1);
            let rest = Upload::new(reader, std::mem::take(&mut part), length);
            if !room {
                self.driver.count_rejected(class);
                discard(rest, open);
                return refused(COME_BACK);
            }
            Some(rest)
        };
        let intake = CallAttributes {
            class,
            tenant: text(&parts.headers, "x-tenant-id"),
            is_retry: { parts.headers.get("x-retried").is_some_and(|v| v.as_bytes() == b"1") },
        };
        let (method, uri, headers) = (parts.method, parts.uri, parts.headers);
        let request = Request {
            method,
            uri,
            headers,
            body,
            upload: rest.clone(),
            length,
            client_timeout: time,
            client,
        };
        let Some((call, answer)) = self.driver.start_call(intake, request) else {
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
                        open.whole();
                        self.driver.complete_request(call);
                        answer.await
                    }
                    Err(fault) => return not_whole(fault),
                }
            },
        };
        // A host that has begun its answer may be reading still.
        let begun = matches!(answer, Ok(FinalResponse::Streaming(_)));
        rest.into_iter().filter(|_| !begun).for_each(|rest| discard(rest, open));
        match answer {
            Ok(FinalResponse::Served { body, content_type }) => served(body.into(), content_type),
            Ok(FinalResponse::Streaming(StreamingResponse {
                first_chunk: first,
                chunks: rest,
                length,
                content_type,
            })) => served(ResponseStream::stream(first, rest, length), content_type),
            Ok(FinalResponse::Rejected { retry_after }) => refused(retry_after),
            Ok(FinalResponse::Failed) => plain(StatusCode::BAD_GATEWAY, "failed"),
            Ok(FinalResponse::DeadlineExceeded) | Err(_) => {
                plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
            }
        }
    }
}

/// Sees a connection through until it must end.
async fn attend(
    serving: impl Future,
    visit: &ClientConnection,
    mut closing: watch::Receiver<Option<Instant>>,
    crowded: bool,
) -> OutcomeCounts {
    let (mut serving, mut closed, mut has_closed) = (pin!(serving), pin!(visit.socket.peer_closed()), false);
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
            _ = serving.as_mut() => return OutcomeCounts::Parted,
            () = closed.as_mut(), if !has_closed => {
                has_closed = true;
                visit.closes();
            }
            // Else a close stays behind bytes for which the system has no room until some are read.
            () = visit.read_ahead(), if visit.waits() => {}
            () = late => {
                if visit.due(crowded, stop).is_some_and(|due| due <= Instant::now()) {
                    return OutcomeCounts::Parted;
                }
            }
            () = visit.changed() => {}
            Ok(()) = closing.changed() => {}
            () = visit.told_to_leave() => {
                if visit.rests() {
                    return OutcomeCounts::MadeRoom;
                }
            }
        }
        // Bytes that nobody reads, such as half a next request, hide the close from who reads requests.
        if visit.deserted() {
            return OutcomeCounts::Deserted;
        }
    }
}

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OutcomeCounts {
    /// Nothing more is to be done on it; the client may be there still.
    Parted,
    /// The same, and its place is wanted for another.
    MadeRoom,
    /// The client has gone while it was owed an answer.
    Deserted,
}

/// Reads until a client has ended its side, and throws away what comes.
async fn discard_rest(socket: &Socket) {
    let mut left = LINGER_MOST;
    while left > 0 {
        match socket.read_with(<[u8]>::len).await {
            0 => return,
            count => left = left.saturating_sub(count),
        }
    }
}

/// Reads on what a client still sends after its answer is there: it may look for that only then.
fn discard(rest: Rc<Upload>, open: &Rc<OpenRequest>) {
    let open = Rc::clone(open);
    tokio::task::spawn_local(async move {
        rest.discard().await;
        drop(open);
    });
}

/// Tells the driver when the client goes before its answer: hyper drops the request's future then.
struct Gone<'a> {
    driver: &'a Dispatcher,
    call: CallId,
}

impl Drop for Gone<'_> {
    fn drop(&mut self) {
        self.driver.disconnect_client(self.call);
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
