//! The application beside a proxy: an open loop of requests, with the retries that the site's clients make.

use super::http::{self, Message, MessageKind};
use super::record::{Moved, Observation, Shared, Try, TryEnd};
use super::servers::responding_server;
use super::slow_stream;
use bytes::BytesMut;
use oakport_core::Micros;
use oakport_simulator::random::{self, StreamId};
use oakport_simulator::scenario::{IdempotencySpec, TransferSpec};
use rand::Rng;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout_at;

/// Time after a deadline in which an answer still counts as given (PROTOCOL, "The rules on sockets").
pub const SLACK: Micros = 50_000;
/// A client watches for so much longer, so that an answer that is late is told from none.
pub const WATCH: Micros = 30_000;
/// The least time for which a try is made.
const LEAST: Micros = 2_000;

/// An open connection, and what has been read of it.
pub type Open = (TcpStream, BytesMut);

/// Open connections that rest.
#[derive(Default)]
struct Pool(Mutex<Vec<Open>>);

impl Pool {
    fn open(&self) -> MutexGuard<'_, Vec<Open>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The application beside one proxy.
pub struct App {
    pub(super) proxy: usize,
    address: SocketAddr,
    pool: Pool,
    /// Connections of clients with large bodies, whose buffers are small.
    large_pool: Pool,
    /// It asks nothing, for it stops and starts with its proxy.
    away: watch::Sender<bool>,
    /// It uses the connections that it has, and opens none.
    opens_none: AtomicBool,
    pub(super) shared: Arc<Shared>,
}

impl App {
    /// Beside the proxy that listens there.
    pub fn new(shared: &Arc<Shared>, proxy: usize, address: SocketAddr) -> Arc<Self> {
        let (pool, large_pool, away) = (Pool::default(), Pool::default(), watch::Sender::new(false));
        let opens_none = AtomicBool::new(false);
        Arc::new(App { proxy, address, pool, large_pool, away, opens_none, shared: Arc::clone(shared) })
    }

    /// Where its proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// It opens no connection from now on, or does again.
    pub fn open_none(&self, opens_none: bool) {
        self.opens_none.store(opens_none, Ordering::Relaxed);
    }

    /// It stops asking, or asks again.
    pub fn away(&self, away: bool) {
        self.away.send_replace(away);
        if away {
            self.pool.open().clear();
            self.large_pool.open().clear();
        }
    }

    /// A connection that rests; what has come on one unasked is told.
    fn resting(&self, pool: &Pool) -> Option<Open> {
        loop {
            let (stream, mut buffer) = pool.open().pop()?;
            match stream.try_read_buf(&mut buffer) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock && buffer.is_empty() => {
                    return Some((stream, buffer))
                }
                Ok(0) | Err(_) if buffer.is_empty() => {}
                _ => self
                    .shared
                    .record(Observation::UnsolicitedResponse { proxy: self.proxy, at: self.shared.now() }),
            }
        }
    }

    /// Looks at all connections for the last time.
    pub fn close(&self) {
        while self.resting(&self.pool).is_some() {}
        while self.resting(&self.large_pool).is_some() {}
    }

    /// Keeps a connection on which large bodies have been moved for the next.
    pub(super) fn keep_large(&self, open: Open) {
        if !*self.away.borrow() {
            self.large_pool.open().push(open);
        }
    }

    /// One request, over all its tries.
    pub async fn ask(self: Arc<Self>, request: usize) {
        let shared = &self.shared;
        let (class, clients) = (&shared.day.classes[shared.arrivals[request].class], &shared.day.clients);
        let first = shared.at(shared.arrivals[request].at);
        let last = first + class.client_timeout;
        let mut random = random::stream(shared.seed, StreamId::Policy(2_000_000 + request));
        let mut number = 0;
        let mut away = self.away.subscribe();
        let end = loop {
            // Whoever is away comes back, or the request's time is over.
            let back = timeout_at(shared.instant(last), away.wait_for(|away| !away)).await.is_ok();
            let now = shared.now();
            let share = clients.min_timeout_ratio + (1.0 - clients.min_timeout_ratio) * random.gen::<f64>();
            let time = ((class.client_timeout as f64 * share) as Micros).min(last.saturating_sub(now));
            if !back || time < LEAST {
                break TryEnd::Unreachable;
            }
            let mut done = self.attempt(request, number, now + time).await;
            done.ended = shared.now();
            let end = done.end;
            shared.record(Observation::TryEnded(done));
            let (comes, told) = match end {
                TryEnd::Served(_) => break end,
                TryEnd::Refused(told) => (true, told),
                TryEnd::Unreachable => (true, 0),
                _ => (class.idempotency == IdempotencySpec::Idempotent, 0),
            };
            let told = if clients.heed_retry_after { told.min(clients.max_retry_after) } else { 0 };
            let at = shared.now() + random::jitter(clients.retry_delay, 0.5, &mut random).max(told);
            if !comes || number >= clients.retries || at >= last {
                break end;
            }
            number += 1;
            shared.until(at).await;
        };
        shared.record(Observation::RequestEnded { request, at: shared.now(), end });
    }

    async fn attempt(&self, request: usize, number: u32, deadline: Micros) -> Try {
        let shared = &self.shared;
        let sent = shared.now();
        let mut done = Try {
            request,
            number,
            sent,
            again: None,
            deadline,
            ended: sent,
            end: TryEnd::Unreachable,
            is_written: true,
            moved: Moved::default(),
        };
        if let Some(spec) = shared.transfer(request) {
            return self.attempt_transfer(spec, done).await;
        }
        let watched = shared.instant(deadline + SLACK + WATCH);
        if let Some(open) = self.resting(&self.pool) {
            match timeout_at(watched, self.exchange(open, &done)).await {
                Ok(Some(end)) => return Try { end, ..done },
                Err(_) => return Try { end: TryEnd::Silent, ..done },
                // Its end may have crossed the request: once more, on a new connection.
                Ok(None) => done.again = Some(shared.now()),
            }
        }
        if self.opens_none.load(Ordering::Relaxed) {
            return done;
        }
        let end = match timeout_at(shared.instant(deadline), TcpStream::connect(self.address)).await {
            Ok(Ok(stream)) => {
                // It only saves time.
                let _ = stream.set_nodelay(true);
                match timeout_at(watched, self.exchange((stream, BytesMut::new()), &done)).await {
                    Ok(Some(end)) => end,
                    Ok(None) => TryEnd::Lost,
                    Err(_) => TryEnd::Silent,
                }
            }
            _ if done.again.is_some() => TryEnd::Lost,
            _ => TryEnd::Unreachable,
        };
        Try { end, ..done }
    }

    /// One try with large bodies, whose time ends with the first byte of its answer.
    async fn attempt_transfer(&self, spec: &TransferSpec, mut done: Try) -> Try {
        done.is_written = false;
        if let Some(open) = self.resting(&self.large_pool) {
            match self.transfer(open, spec, &mut done).await {
                Some(end) => return Try { end, ..done },
                // Its end may have crossed the request: once more, on a new connection.
                None => done.again = Some(self.shared.now()),
            }
        }
        if self.opens_none.load(Ordering::Relaxed) {
            return done;
        }
        let connected =
            timeout_at(self.shared.instant(done.deadline), slow_stream::connect(self.address)).await;
        done.is_written = false;
        done.end = match connected {
            Ok(Ok(stream)) => {
                let end = self.transfer((stream, BytesMut::new()), spec, &mut done).await;
                end.unwrap_or(TryEnd::Lost)
            }
            _ => TryEnd::Unreachable,
        };
        done
    }

    /// One question and its answer. None: the connection ended before one had come whole.
    async fn exchange(&self, (mut stream, mut buffer): Open, asked: &Try) -> Option<TryEnd> {
        let shared = &self.shared;
        let class = &shared.day.classes[shared.arrivals[asked.request].class];
        let id = Shared::id(asked.request, asked.number);
        let (method, body) = match class.idempotency {
            IdempotencySpec::Idempotent => ("GET", ""),
            IdempotencySpec::NonIdempotent => ("POST", "Content-Length: 1\r\n\r\n1"),
        };
        let time = asked.deadline.saturating_sub(shared.now());
        let body = if body.is_empty() { "\r\n" } else { body };
        let text = format!(
            "{method} /{} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Timeout: {time}u\r\n{body}",
            class.name
        );
        stream.write_all(text.as_bytes()).await.ok()?;
        let answer = match http::read(&mut stream, &mut buffer, MessageKind::Response).await {
            Ok(answer) => answer,
            Err(e) if e.kind() == std::io::ErrorKind::InvalidData => return Some(TryEnd::Foreign),
            Err(_) => return None,
        };
        if !buffer.is_empty() {
            shared.record(Observation::UnsolicitedResponse { proxy: self.proxy, at: shared.now() });
        } else if !answer.closes() && !*self.away.borrow() {
            self.pool.open().push((stream, buffer));
        }
        Some(self.end_of(&answer, &id, None))
    }

    /// What an answer to the try of this id is; `bytes` is the size of its body if that is large.
    pub(super) fn end_of(&self, answer: &Message, id: &str, bytes: Option<usize>) -> TryEnd {
        let told = answer.header("retry-after").and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
        match answer.status() {
            200 => responding_server(&answer.body, id, bytes).map_or(TryEnd::Foreign, TryEnd::Served),
            429 | 503 => TryEnd::Refused((told.max(0.0) * 1e6) as Micros),
            status => TryEnd::Failed(status),
        }
    }
}
