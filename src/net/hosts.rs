//! Attempts at hosts and the connections they go over. A connection is driven by the attempt that uses it:
//! there is no task behind it, so dropping the attempt closes it, and nothing is ever sent twice.

use super::bodies::{Handover, Memory, Part, Piece, Sending, BUFFER_MOST, WHOLE_MOST};
use super::driver::{Clock, Request};
use super::figures::Figures;
use super::{Descriptor, Descriptors};
use badgerramp::settings::Transport;
use badgerramp::{Load, Micros, Outcome, ServerId};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// An answer whose length is not told is passed on this long after its first bytes, whole or not.
const WHOLE_TIME: Duration = Duration::from_millis(100);
/// A host that gives nothing more of an answer, or takes nothing more of a request, for this long has stopped.
const HALT_TIME: Duration = Duration::from_secs(10);
/// ... and the least that a host is given for some of a large request.
const PATIENCE_LEAST: Duration = Duration::from_secs(1);
/// Connections that all client proxies may keep idle at a host between them, and the bounds of a part.
/// A host holds 76 in all; those in use come on top.
const SPARES_OF_ALL: usize = 60;
const SPARES: (usize, usize) = (4, 16);

/// The system's word for no descriptor left: in all, and for this process.
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;

/// Where an attempt goes.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    pub server: ServerId,
    pub address: SocketAddr,
    pub generation: u64,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct Ended {
    pub outcome: Outcome,
    pub load: Load,
    /// The whole body of a served answer, and its type. None also for one that was passed on by pieces.
    pub served: Option<(Bytes, Option<HeaderValue>)>,
}

/// A large answer that begins.
#[derive(Debug)]
pub struct Begun {
    pub first: Bytes,
    pub rest: mpsc::Receiver<Piece>,
    pub length: Option<u64>,
    pub content_type: Option<HeaderValue>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Ended { outcome, load: Load::default(), served: None }
    }
}

/// A stream that notes whether all that was to be written has been handed to the socket.
struct Watched {
    stream: TcpStream,
    handover: Rc<Handover>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Watched {
    // Not vectored: head and body are laid together and go out in one write.
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = written {
            self.handover.emptied.set(count == buf.len());
        }
        self.handover.wrote(written.is_ready());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

struct Link {
    sender: SendRequest<Sending>,
    connection: Connection<TokioIo<Watched>, Sending>,
    /// The connection has ended, and is not to be polled again.
    ended: bool,
    handover: Rc<Handover>,
    idle_since: Micros,
    generation: u64,
    _descriptor: Descriptor,
}

/// An answer as far as it is here before anything of it is passed on.
enum Came {
    Whole(Bytes),
    /// Its first bytes, when the rest is not to be waited for.
    Part(Bytes, Incoming),
}

impl Link {
    /// Is it open and ready for a request? A connection that its host has closed shows it here.
    async fn alive(&mut self) -> bool {
        if !self.ended {
            self.ended = poll_fn(|cx| Poll::Ready(Pin::new(&mut self.connection).poll(cx).is_ready())).await;
        }
        !self.ended && self.sender.is_ready()
    }

    /// Drives the connection until `work` on it is done. None: the connection ended first, and `work` needs it.
    async fn drive<T>(&mut self, figures: &Figures, needs: bool, work: impl Future<Output = T>) -> Option<T> {
        let mut work = pin!(work);
        poll_fn(|cx| {
            // The first poll hands the request over, the second writes it, the third takes an answer that
            // has come with the end of the connection.
            if let Poll::Ready(done) = work.as_mut().poll(cx) {
                return Poll::Ready(Some(done));
            }
            if !self.ended {
                let whole = self.handover.whole();
                self.ended = Pin::new(&mut self.connection).poll(cx).is_ready();
                if self.handover.whole() && !whole {
                    figures.attempt();
                }
            }
            match work.as_mut().poll(cx) {
                Poll::Ready(done) => Poll::Ready(Some(done)),
                Poll::Pending if needs && self.ended => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            }
        })
        .await
    }
}

/// Reads an answer until it is whole or is to be passed on. An answer in pieces is only passed on if it is one
/// that serves; of any other that is large no more is needed than that it is there.
async fn come(head: &Parts, mut body: Incoming, part: &mut Part, memory: &Memory) -> Option<Came> {
    let length = body.size_hint().exact();
    // A body may end with its connection, where its head says that this closes. Else that may be a cut.
    let closes = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"close");
    let framed = head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING)
        || head.headers.get_all(header::CONNECTION).iter().any(closes)
        || head.status == StatusCode::NO_CONTENT;
    let large = length.is_some_and(|length| length > WHOLE_MOST as u64);
    let mut first = BytesMut::new();
    let mut since: Option<tokio::time::Instant> = None;
    loop {
        let until = since.filter(|_| framed && length.is_none()).map(|since| since + WHOLE_TIME);
        let frame = match until {
            Some(until) => tokio::time::timeout_at(until, body.frame()).await,
            None => Ok(body.frame().await),
        };
        match frame {
            Ok(Some(frame)) => {
                if let Ok(piece) = frame.ok()?.into_data() {
                    since = since.or(Some(tokio::time::Instant::now()));
                    memory.grow(part, first.len() + piece.len()).await;
                    first.extend_from_slice(&piece);
                }
            }
            Ok(None) => return framed.then(|| Came::Whole(first.freeze())),
            Err(_) => return Some(Came::Part(first.freeze(), body)),
        }
        if framed && (large || first.len() > WHOLE_MOST) && !first.is_empty() {
            return Some(Came::Part(first.freeze(), body));
        }
        if first.len() > WHOLE_MOST {
            return None;
        }
    }
}

/// The connections to all hosts.
pub struct Hosts {
    idle: RefCell<HashMap<ServerId, Vec<Link>>>,
    current: RefCell<HashMap<ServerId, u64>>,
    descriptors: Rc<Descriptors>,
    clock: Clock,
    figures: Rc<Figures>,
    memory: Rc<Memory>,
    limits: Cell<Limits>,
}

/// What the settings say of connections.
#[derive(Clone, Copy)]
struct Limits {
    connect_timeout: Duration,
    idle_most: Micros,
    spares: usize,
}

impl Limits {
    fn new(transport: Transport, balancers: u32) -> Self {
        Limits {
            connect_timeout: Duration::from_micros(transport.connect_timeout),
            // Well ahead of the host, which may close it any time from then on.
            idle_most: transport.conn_idle / 4 * 3,
            spares: (SPARES_OF_ALL / balancers.max(1) as usize).clamp(SPARES.0, SPARES.1),
        }
    }
}

impl Hosts {
    pub fn new(
        transport: Transport,
        balancers: u32,
        descriptors: Rc<Descriptors>,
        clock: Clock,
        figures: Rc<Figures>,
        memory: Rc<Memory>,
    ) -> Rc<Self> {
        Rc::new(Hosts {
            idle: RefCell::new(HashMap::new()),
            current: RefCell::new(HashMap::new()),
            descriptors,
            clock,
            figures,
            memory,
            limits: Cell::new(Limits::new(transport, balancers)),
        })
    }

    /// New settings are in force.
    pub fn retune(&self, transport: Transport, balancers: u32) {
        self.limits.set(Limits::new(transport, balancers));
    }

    /// Closes the idle connections to a host, and those in use of a generation before this one when they
    /// come back: a host that drains would otherwise keep connections that nothing uses any more.
    pub fn close(&self, server: ServerId, generation: u64) {
        self.idle.borrow_mut().remove(&server);
        self.current.borrow_mut().insert(server, generation);
    }

    /// Closes what has been idle for too long.
    pub fn sweep(&self) {
        let (now, idle_most) = (self.clock.now(), self.limits.get().idle_most);
        let mut idle = self.idle.borrow_mut();
        idle.values_mut().for_each(|links| links.retain(|l| l.idle_since + idle_most > now));
        idle.retain(|_, links| !links.is_empty());
    }

    /// Closes the connection that has been idle longest, to make room. False if none is idle.
    pub fn evict(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest =
            idle.values_mut().min_by_key(|links| links.first().map_or(Micros::MAX, |l| l.idle_since));
        match oldest {
            Some(links) if !links.is_empty() => {
                links.remove(0);
                true
            }
            _ => false,
        }
    }

    /// The idle connection used last, if it is still open.
    async fn checkout(&self, target: &Target) -> Option<Link> {
        loop {
            let mut link = self.idle.borrow_mut().get_mut(&target.server)?.pop()?;
            let fresh = link.idle_since + self.limits.get().idle_most > self.clock.now();
            if fresh && link.generation == target.generation && link.alive().await {
                return Some(link);
            }
        }
    }

    async fn connect(&self, target: &Target) -> Result<Link, Outcome> {
        let descriptor = match self.descriptors.take() {
            Some(descriptor) => descriptor,
            // Our own want of sockets says nothing of the host: not sent, rather than no connection.
            None if self.evict() => self.descriptors.take().ok_or(Outcome::NotSent)?,
            None => return Err(Outcome::NotSent),
        };
        let connect =
            tokio::time::timeout(self.limits.get().connect_timeout, TcpStream::connect(target.address));
        let stream = match connect.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(fault)) if matches!(fault.raw_os_error(), Some(ENFILE | EMFILE)) => {
                self.evict();
                return Err(Outcome::NotSent);
            }
            _ => return Err(Outcome::NoConnection),
        };
        let _ = stream.set_nodelay(true);
        let handover = Rc::<Handover>::default();
        let io = TokioIo::new(Watched { stream, handover: Rc::clone(&handover) });
        let made = http1::Builder::new().max_buf_size(BUFFER_MOST).handshake(io).await;
        let (sender, connection) = made.map_err(|_| Outcome::NoConnection)?;
        let (idle_since, generation, ended) = (0, target.generation, false);
        let mut link =
            Link { sender, connection, ended, handover, idle_since, generation, _descriptor: descriptor };
        if link.alive().await {
            Ok(link)
        } else {
            Err(Outcome::NoConnection)
        }
    }

    async fn keep(&self, server: ServerId, mut link: Link) {
        let old = self.current.borrow().get(&server).is_some_and(|&current| link.generation < current);
        if old || !link.alive().await {
            return;
        }
        link.idle_since = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(server).or_default();
        links.push(link);
        if links.len() > self.limits.get().spares {
            links.remove(0);
        }
    }
}

/// Makes one attempt and tells how it ended. `left` is the time it still has; `may_start` is asked right
/// before the first byte; `begin` takes a large answer, unless nobody wants it any more.
pub async fn attempt(
    hosts: &Hosts,
    target: Target,
    request: &Request,
    left: impl Fn() -> Micros,
    may_start: impl Fn() -> bool,
    begin: impl FnOnce(Begun) -> bool,
) -> Ended {
    if request.rest.as_ref().is_some_and(|rest| !rest.untouched()) {
        // What has gone to one host is not here any more for another.
        return Outcome::NotSent.into();
    }
    let mut link = match hosts.checkout(&target).await {
        Some(link) => link,
        None => match hosts.connect(&target).await {
            Ok(link) => link,
            Err(outcome) => return outcome.into(),
        },
    };
    if !may_start() {
        hosts.keep(target.server, link).await;
        return Outcome::NotSent.into();
    }
    let claimed = request.rest.as_ref().is_none_or(|rest| rest.claim());
    let message = message(request, left(), &link.handover).filter(|_| claimed);
    let Some(message) = message else { return Outcome::NotSent.into() };
    let mut part = Part::default();
    let sent = link.sender.send_request(message);
    let stuck = stuck(Rc::clone(&link.handover), request);
    let came = link.drive(&hosts.figures, true, async {
        let (head, body) = sent.await.ok()?.into_parts();
        let came = come(&head, body, &mut part, &hosts.memory).await?;
        Some((head, came))
    });
    let came = tokio::select! {
        came = came => came.flatten(),
        () = stuck => None,
    };
    let Some((head, came)) = came else {
        if request.rest.as_ref().is_some_and(|rest| rest.failed()) {
            // The client's fault, and its request's end: the front sees to that.
            drop(link);
            return std::future::pending().await;
        }
        // Never ran only if the last byte was not handed to the socket; all else may have run.
        return if link.handover.whole() { Outcome::Reset } else { Outcome::NoConnection }.into();
    };
    let load = head.headers.get("x-server-load").map(load).unwrap_or_default();
    let content_type = head.headers.get(header::CONTENT_TYPE).cloned();
    let turned_away = head.headers.get("x-not-processed").is_some_and(|v| v.as_bytes() == b"1");
    let outcome = match head.status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => Outcome::TurnedAway,
        StatusCode::TOO_MANY_REQUESTS => Outcome::Error,
        status if status.is_client_error() => Outcome::Rejected,
        _ => Outcome::Error,
    };
    let served = match came {
        Came::Whole(body) => {
            hosts.keep(target.server, link).await;
            (outcome == Outcome::Served).then_some((body, content_type))
        }
        Came::Part(first, body) if outcome == Outcome::Served => {
            hosts.memory.grow(&mut part, WHOLE_MOST + 1).await;
            let (pieces, rest) = mpsc::channel(1);
            let length = body.size_hint().exact().map(|left| left + first.len() as u64);
            if !begin(Begun { first, rest, length, content_type }) {
                return Outcome::CalledOff.into();
            }
            let ended = pass_on(&mut link, &hosts.figures, body, pieces).await;
            if ended == Outcome::Served {
                hosts.keep(target.server, link).await;
            }
            return Ended { outcome: ended, load, served: None };
        }
        // The rest of an answer that serves nobody goes with its connection.
        Came::Part(..) => None,
    };
    Ended { outcome, load, served }
}

/// Waits until a host has taken nothing of a large request for as long as the client would wait for an answer.
async fn stuck(handover: Rc<Handover>, request: &Request) {
    let patience = Duration::from_micros(request.time).clamp(PATIENCE_LEAST, HALT_TIME);
    while request.rest.is_some() && handover.stuck_for() < patience {
        tokio::time::sleep(PATIENCE_LEAST / 10).await;
    }
    if request.rest.is_none() {
        std::future::pending::<()>().await;
    }
}

/// Passes the rest of an answer on, each piece once the one before has been taken. What the host still gives
/// is never cut; if it comes to a halt, or the client leaves, it ends.
async fn pass_on(
    link: &mut Link,
    figures: &Figures,
    mut body: Incoming,
    pieces: mpsc::Sender<Piece>,
) -> Outcome {
    loop {
        // After the last byte nobody need be there to take more.
        let whole = body.is_end_stream();
        let next = tokio::time::timeout(HALT_TIME, body.frame());
        let frame = tokio::select! {
            biased;
            frame = link.drive(figures, true, next) => frame,
            () = pieces.closed(), if !whole => return Outcome::CalledOff,
        };
        let piece = match frame {
            Some(Ok(Some(Ok(frame)))) => match frame.into_data() {
                Ok(piece) => Piece::Data(piece),
                Err(_) => continue,
            },
            Some(Ok(None)) => Piece::End,
            Some(Ok(Some(Err(_)))) | None => return Outcome::Reset,
            Some(Err(_)) => return Outcome::TimedOut,
        };
        // The connection is driven on: some of the request may still be on its way out.
        let end = matches!(piece, Piece::End);
        match link.drive(figures, false, pieces.reserve()).await {
            Some(Ok(place)) => place.send(piece),
            _ if !end => return Outcome::CalledOff,
            _ => {}
        }
        if end {
            return Outcome::Served;
        }
    }
}

/// Headers that concern one connection only (RFC 9110, 7.6.1), and those that are written anew.
fn passes(name: &HeaderName) -> bool {
    let own = [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-timeout",
    ];
    !own.contains(&name.as_str())
}

fn message(request: &Request, left: Micros, handover: &Rc<Handover>) -> Option<hyper::Request<Sending>> {
    let rest = request.rest.as_ref().map(|rest| (Rc::clone(rest), request.length));
    let mut message = hyper::Request::new(Sending::new(request.body.clone(), rest, Rc::clone(handover)));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    let headers = message.headers_mut();
    for (name, value) in request.headers.iter().filter(|(name, _)| passes(name)) {
        headers.append(name, value.clone());
    }
    headers.insert("x-timeout", HeaderValue::from_str(&format!("{left}u")).ok()?);
    Some(message)
}

/// Reads a load report. What is odd in it is skipped. Its figures bear the names that the settings give the
/// columns (`active`), or those of the protocol's example (`inflight`): a reader of the latter alone left the
/// module without any report, and hosts were loaded until calls timed out.
pub fn load(value: &HeaderValue) -> Load {
    let mut load = Load::default();
    let text = value.to_str().unwrap_or_default();
    for (name, value) in text.trim_start_matches("TEXT").split(',').filter_map(|part| part.split_once('=')) {
        let value = value.trim().parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0);
        match name.trim() {
            "active" | "inflight" => load.in_hand = value,
            "waiting" | "queue" => load.waiting = value,
            "cpu" | "util" => load.busy = value,
            "err_rps" | "eps" => load.error_rate = value,
            _ => {}
        }
    }
    load
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::header::HeaderMap;
    use hyper::http::{Method, Uri};
    use std::io::{Read, Write};
    use std::net::TcpListener;

    /// One attempt at a stub that reads a little and answers `text`.
    fn attempt_at(text: &'static str, may_start: bool) -> Ended {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            if stream.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {
                stream.write_all(text.as_bytes()).expect("an open connection");
            }
        });
        let transport = Transport {
            max_open: 9,
            conn_idle: 60_000_000,
            connect_timeout: Duration::from_secs(9).as_micros() as Micros,
        };
        let hosts =
            Hosts::new(transport, 1, Descriptors::new(9), Clock::start(), Rc::default(), Memory::new(64));
        let target = Target { server: ServerId(0), address, generation: 0 };
        let request = Request {
            method: Method::GET,
            uri: Uri::from_static("/a"),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            rest: None,
            length: Some(0),
            time: 1_000,
        };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(attempt(&hosts, target, &request, || 1_000, || may_start, |_| false))
    }

    #[test]
    fn a_load_report_is_read_under_the_names_of_the_settings_and_of_the_example() {
        let wanted = Load { in_hand: Some(7.0), waiting: Some(2.5), busy: Some(0.5), error_rate: Some(0.0) };
        for text in [
            "HTTP/1.1 200 OK\r\nX-Server-Load: TEXT active=7, waiting=2.5, avg_ms=9, cpu=0.5, err_rps=0\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nX-Server-Load: TEXT inflight=7,queue=2.5,util=0.5,eps=0,odd\r\nContent-Length: 0\r\n\r\n",
        ] {
            let ended = attempt_at(text, true);
            assert_eq!((ended.outcome, ended.load), (Outcome::Served, wanted), "{text}");
        }
    }

    #[test]
    fn what_may_not_start_any_more_is_not_sent() {
        let ended = attempt_at("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false);
        assert_eq!(ended.outcome, Outcome::NotSent);
    }
}
