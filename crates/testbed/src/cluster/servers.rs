//! Servers on sockets: the model's server, with its cores, slots and cold start, behind a listener of its own.

use super::cold::{self, Window};
use super::http::{self, Side};
use super::listener::{address, wait_for_reset, wait_until_not_silent, Role, SwitchableListener};
use super::record::{Seen, Shared};
use super::slow_stream;
use bytes::BytesMut;
use oakport_core::{Micros, Outcome};
use oakport_simulator::random::{self, StreamId};
use oakport_simulator::server::{Admission, Health, Server};
use rand::Rng;
use rand_pcg::Pcg64;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Notify};

/// A fast error comes after this.
const FAST: Micros = 1_000;
/// The shortest way that is waited for: the timers know no less.
const SHORTEST_WAY: Micros = 1_000;

/// How late an extra response may be written at the latest, beyond its time: one that the test cluster itself has held up
/// would be another fault than the one asked for.
const MAX_EXTRA_RESPONSE_DELAY_US: Micros = 2_000;

/// What a server writes of a large answer at a time.
const GIVEN_CHUNK_BYTES: usize = 16 * 1024;

/// What a server does wrong on its connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Quirks {
    /// It sends each response a second time, so long after the first.
    pub extra_response_after: Option<Micros>,
    /// It closes a connection that has been idle for so long.
    pub closes_idle_after: Option<Micros>,
}

struct Inner {
    server: Server,
    quirks: Quirks,
    /// What came of late while it was cold.
    flood: Window<()>,
    waiting: HashMap<usize, oneshot::Sender<()>>,
    open: usize,
    luck: Pcg64,
}

/// A server.
pub struct Machine {
    /// By its place in the fleet.
    pub number: usize,
    /// Its zone, by its place in the scenario.
    pub zone: usize,
    /// The label of what runs there.
    pub release: String,
    /// Where it listens.
    pub address: SocketAddr,
    gate: SwitchableListener,
    inner: Mutex<Inner>,
    changed: Notify,
    shared: Arc<Shared>,
}

/// Counts the attempts of a play.
static ATTEMPTS: AtomicU64 = AtomicU64::new(0);

impl Machine {
    /// Starts a server; `started` 0: it has run for long and is warm.
    pub fn start(
        shared: &Arc<Shared>,
        number: usize,
        zone: usize,
        release: &str,
        started: Micros,
    ) -> std::io::Result<Arc<Self>> {
        let gate = SwitchableListener::new(address(Role::Server, number))?;
        let inner = Inner {
            server: Server::new(&shared.day.server, zone, started),
            quirks: Quirks::default(),
            flood: Window::default(),
            waiting: HashMap::new(),
            open: 0,
            luck: random::stream(shared.seed, StreamId::Policy(1_000_000 + number)),
        };
        let machine = Arc::new(Machine {
            number,
            zone,
            release: release.to_owned(),
            address: gate.address,
            gate,
            inner: Mutex::new(inner),
            changed: Notify::new(),
            shared: Arc::clone(shared),
        });
        let taking = Arc::clone(&machine);
        tokio::spawn(async move {
            let taken = |stream, life| {
                tokio::spawn(Arc::clone(&taking).connection(stream, life));
            };
            taking.gate.serve(taken).await;
        });
        tokio::spawn(Arc::clone(&machine).work());
        Ok(machine)
    }

    /// Its name in the list.
    pub fn name(&self) -> String {
        name(self.number)
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        // Each step leaves it whole, so that another's panic spoils nothing.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Connections that it holds.
    pub fn connections(&self) -> usize {
        self.inner().open
    }

    /// When its process started; 0: long ago.
    pub fn started(&self) -> Micros {
        self.inner().server.started
    }

    /// It runs, and is not told to drain.
    pub fn takes(&self) -> bool {
        let inner = self.inner();
        inner.server.up && !inner.server.draining
    }

    /// Something is wrong with it from now on, or nothing any more.
    pub fn fall_ill(&self, change: impl FnOnce(&mut Health)) {
        let mut inner = self.inner();
        inner.server.advance(self.shared.now());
        change(&mut inner.server.health);
        let silent = inner.server.health.unreachable;
        drop(inner);
        self.gate.silence(silent);
        self.changed.notify_one();
    }

    /// Changes what it does wrong on its connections.
    pub fn change_quirks(&self, change: impl FnOnce(&mut Quirks)) {
        change(&mut self.inner().quirks);
    }

    /// How long it keeps an idle connection.
    fn idle_time(&self) -> Duration {
        let quirk = self.inner().quirks.closes_idle_after;
        let usual = self.shared.day.server.idle_timeout;
        Duration::from_micros(quirk.map_or(usual, |after| after.min(usual)))
    }

    /// Sends a response again some time after it, if that is what it does wrong now.
    ///
    /// # Errors
    /// The connection has failed, or must end: the test cluster was held up, and an open connection that stays silent would
    /// be one of an endpoint that sends no extra responses.
    async fn repeat_response(&self, stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
        let Some(after) = self.inner().quirks.extra_response_after else { return Ok(()) };
        let at = self.shared.now() + after;
        self.shared.until(at).await;
        if self.shared.now() > at + MAX_EXTRA_RESPONSE_DELAY_US {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        stream.write_all(text.as_bytes()).await
    }

    /// It takes nothing new from now on.
    pub fn drain(&self) {
        self.inner().server.draining = true;
    }

    /// Its process dies: connections are reset, new ones refused.
    pub fn stop(&self) {
        let mut inner = self.inner();
        inner.server.stop(self.shared.now());
        inner.waiting.clear();
        drop(inner);
        self.gate.close();
        self.changed.notify_one();
    }

    /// A process starts there, cold.
    pub fn restart(&self) {
        let mut inner = self.inner();
        inner.server.restart(self.shared.now());
        inner.flood.clear();
        drop(inner);
        self.gate.open();
    }

    /// Ends requests when their work is done.
    async fn work(self: Arc<Self>) {
        loop {
            let next = {
                let (mut inner, now) = (self.inner(), self.shared.now());
                while let Some(attempt) = inner.server.pop_finished(now) {
                    // One that has gone away needs no answer.
                    let _ = inner.waiting.remove(&attempt).map(|ends| ends.send(()));
                }
                inner.server.next_end(now)
            };
            match next {
                Some(at) => tokio::select! {
                    () = self.shared.until(at) => {}
                    () = self.changed.notified() => {}
                },
                None => self.changed.notified().await,
            }
        }
    }

    /// One connection, until it ends.
    async fn connection(self: Arc<Self>, mut stream: TcpStream, life: u32) {
        let counted = Counted::new(&self);
        if counted.of > self.shared.day.server.max_connections {
            return http::reset(stream);
        }
        self.inner().server.add_handshake_work();
        // It only saves time.
        let _ = stream.set_nodelay(true);
        let mut phase = self.gate.watch();
        let mut buffer = BytesMut::new();
        let mut last = None;
        loop {
            let began = tokio::select! {
                began = tokio::time::timeout(self.idle_time(), http::begun(&mut stream, &mut buffer)) => began,
                () = wait_for_reset(&mut phase, life) => {
                    last.into_iter().for_each(|attempt| self.broke_off(attempt));
                    return http::reset(stream);
                }
            };
            if !matches!(began, Ok(Ok(true))) {
                return;
            }
            let first = self.shared.now();
            let message = tokio::select! {
                message = http::read(&mut stream, &mut buffer, Side::Asks) => message,
                () = wait_for_reset(&mut phase, life) => return http::reset(stream),
            };
            let Ok(message) = message else { return };
            let id = message.header("x-request-id").and_then(|id| self.shared.of_id(id));
            let Some((request, number)) = id else {
                let text = http::answer(404, "", "");
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            };
            let attempt = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
            let (server, whole) = (self.number, self.shared.now());
            self.shared.saw(Seen::Began { attempt, request, number, server, first, whole });
            let work = self.shared.arrivals[request].work;
            let (outcome, wasted) = tokio::select! {
                done = self.serve(&mut stream, attempt, request) => done,
                () = wait_for_reset(&mut phase, life) => (Outcome::Reset, work),
            };
            self.shared.saw(Seen::Ended { attempt, outcome, wasted });
            let text = match outcome {
                Outcome::Served => self.answer(request, number, &message.body),
                Outcome::Rejected => http::answer(503, "X-Not-Processed: 1\r\n", ""),
                Outcome::Error => http::answer(500, "", ""),
                _ => return http::reset(stream),
            };
            tokio::select! {
                () = wait_until_not_silent(self.gate.watch()) => {}
                () = wait_for_reset(&mut phase, life) => return http::reset(stream),
            }
            let given = tokio::select! {
                given = give(&mut stream, text.as_bytes(), self.give_rate(request)) => given,
                () = wait_for_reset(&mut phase, life) => {
                    self.broke_off(attempt);
                    return http::reset(stream);
                }
            };
            let (at, length) = (self.shared.now(), text.len());
            self.shared.saw(Seen::Given { attempt, at, bytes: given, length });
            if given < length || self.repeat_response(&mut stream, &text).await.is_err() {
                return;
            }
            last = Some(attempt);
        }
    }

    /// The served answer to a request with this body.
    fn answer(&self, request: usize, number: u32, found: &[u8]) -> String {
        let id = Shared::id(request, number);
        let sent = self.shared.request_bytes(request).filter(|_| !Shared::is_ahead(number));
        let text = match sent {
            Some(bytes) if found != upload(&id, bytes).as_bytes() => format!("{id} came with another body\n"),
            _ => body(&self.name(), &id, self.shared.response_bytes(request, number)),
        };
        http::answer(200, "", &text)
    }

    /// Bytes a second that it writes of the answer to a request, if that is large.
    fn give_rate(&self, request: usize) -> Option<usize> {
        self.shared.transfer(request).map(|transfer| transfer.response_write_rate)
    }

    /// The connection of an attempt is reset by the server, which throws away what its client has not read yet.
    fn broke_off(&self, attempt: u64) {
        self.shared.saw(Seen::BrokeOff { attempt, at: self.shared.now() });
    }

    /// What comes of an attempt, and the work that was done for nobody.
    async fn serve(&self, stream: &mut TcpStream, attempt: u64, request: usize) -> (Outcome, f64) {
        let (work, proxy) = (self.shared.arrivals[request].work, self.shared.arrivals[request].proxy);
        wait_until_not_silent(self.gate.watch()).await;
        let network = &self.shared.day.network;
        let way = if self.shared.zone(proxy) == self.zone {
            network.delay_within_zone
        } else {
            network.delay_across_zones
        };
        self.pass(way).await;
        let attempt = attempt as usize;
        let ends = match self.take(attempt, work) {
            Ok(ends) => ends,
            Err((outcome, after)) => {
                self.pass(after.max(way)).await;
                return (outcome, 0.0);
            }
        };
        tokio::select! {
            done = ends => match done {
                Ok(()) => {
                    self.pass(way).await;
                    (Outcome::Served, 0.0)
                }
                Err(_) => (Outcome::Reset, work),
            },
            () = http::closed(stream) => {
                let left = self.inner().server.drop_work(self.shared.now(), attempt);
                self.inner().waiting.remove(&attempt);
                self.changed.notify_one();
                // Its client has gone, so that nothing is told.
                (Outcome::Reset, (work - left.unwrap_or(0.0)).max(0.0))
            }
        }
    }

    async fn pass(&self, span: Micros) {
        if span >= SHORTEST_WAY {
            self.shared.until(self.shared.now() + span).await;
        }
    }

    /// An attempt has come, whatever becomes of it. True if that pushes a cold server over.
    fn falls(&self, inner: &mut Inner, now: Micros, attempt: usize) -> bool {
        let warmth = inner.server.warm_up_ratio(now);
        if warmth >= 1.0 {
            return false;
        }
        let day = &self.shared.day;
        let bound = cold::bound(day, warmth);
        let came = inner.flood.push(now, (), day.server.cold_overload_window).len();
        let (server, started) = (self.number, inner.server.started);
        self.shared.saw(Seen::Cold { attempt: attempt as u64, server, started, at: now, bound });
        came as f64 > bound
    }

    /// Takes work in, or tells what becomes of it and after how long.
    fn take(&self, attempt: usize, work: f64) -> Result<oneshot::Receiver<()>, (Outcome, Micros)> {
        let mut inner = self.inner();
        // Not before: whoever holds the lock meanwhile takes the server on to a later moment.
        let now = self.shared.now();
        if !inner.server.up {
            // Its connection came before the process ended.
            return Err((Outcome::Reset, 0));
        }
        if self.falls(&mut inner, now, attempt) {
            drop(inner);
            self.stop();
            return Err((Outcome::Reset, 0));
        }
        if inner.server.draining {
            return Err((Outcome::Rejected, 0));
        }
        let Health { errors, resets, .. } = inner.server.health;
        if errors && inner.luck.gen_bool(0.5) {
            return Err((Outcome::Error, FAST));
        }
        if resets && inner.luck.gen_bool(1.0 / 3.0) {
            return Err((Outcome::Reset, FAST));
        }
        if inner.server.admit(now, attempt, work) == Admission::Rejected {
            return Err((Outcome::Rejected, 0));
        }
        let (sender, ends) = oneshot::channel();
        inner.waiting.insert(attempt, sender);
        drop(inner);
        self.changed.notify_one();
        Ok(ends)
    }
}

/// Writes an answer at this many bytes a second, or as fast as it is read; how many of its bytes were written before the
/// connection ended.
async fn give(stream: &mut TcpStream, text: &[u8], rate: Option<usize>) -> usize {
    let mut given = 0;
    let chunk_bytes = if rate.is_some() { GIVEN_CHUNK_BYTES } else { text.len() };
    while given < text.len() {
        let end = text.len().min(given + chunk_bytes);
        match stream.write(&text[given..end]).await {
            Ok(bytes) if bytes > 0 => given += bytes,
            _ => break,
        }
        // An extra response is timed from the last byte.
        if let Some(rate) = rate.filter(|_| given < text.len()) {
            tokio::time::sleep(slow_stream::pace(chunk_bytes, rate)).await;
        }
    }
    given
}

/// The body of a large request.
pub fn upload(id: &str, bytes: usize) -> String {
    body("client", id, Some(bytes))
}

/// The name of a server in the list.
pub fn name(number: usize) -> String {
    format!("s-{number:04}")
}

/// The body of an answer, which no other server would have given, nor this one to another request. A large one repeats its
/// line up to this size.
pub fn body(server: &str, id: &str, bytes: Option<usize>) -> String {
    let line = format!("{server} served {id} whole\n");
    match bytes {
        None => line,
        Some(bytes) => {
            let mut text = line.repeat(bytes.div_ceil(line.len()));
            text.truncate(bytes);
            text
        }
    }
}

/// The server whose answer to this try a body is.
pub fn author(found: &[u8], id: &str, bytes: Option<usize>) -> Option<usize> {
    let text = std::str::from_utf8(found).ok()?;
    let number = text.strip_prefix("s-")?.split(' ').next()?.parse().ok()?;
    (text == body(&name(number), id, bytes)).then_some(number)
}

/// An open connection in a server's count.
struct Counted<'a> {
    machine: &'a Machine,
    /// How many are open with it.
    of: usize,
}

impl<'a> Counted<'a> {
    fn new(machine: &'a Machine) -> Self {
        let mut inner = machine.inner();
        inner.open += 1;
        Counted { machine, of: inner.open }
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.machine.inner().open -= 1;
    }
}
