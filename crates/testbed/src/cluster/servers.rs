//! Servers of the test cluster: the simulator's server model (cores, slots, cold start) behind a real
//! listener.

use super::cold::{self, Window};
use super::http::{self, MessageKind};
use super::listener::{address, wait_for_reset, wait_until_not_silent, Role, SwitchableListener};
use super::record::{Observation, Shared};
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
use tokio::time::timeout;

/// Delay of an error response or reset that an injected fault causes.
const FAULT_DELAY_US: Micros = 1_000;
/// Shorter network delays are skipped: the timers have a resolution of 1 ms.
const MIN_DELAY_US: Micros = 1_000;

/// An extra response is not written if it is overdue by more than this: one delayed by the test cluster
/// itself would be a different fault from the requested one.
const MAX_EXTRA_RESPONSE_DELAY_US: Micros = 2_000;

/// Bytes of a large response that a server writes at once.
const WRITE_CHUNK_BYTES: usize = 16 * 1024;

/// Injected faults of a server's connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionFaults {
    /// Each response is sent a second time, this long after the first.
    pub extra_response_after: Option<Micros>,
    /// A connection is closed after it has been idle for this long.
    pub closes_idle_after: Option<Micros>,
}

struct Inner {
    server: Server,
    faults: ConnectionFaults,
    /// Attempts that arrived within the overload window while the server was cold.
    cold_arrivals: Window<()>,
    /// Notifies the connection of an attempt when the work is done.
    waiting: HashMap<usize, oneshot::Sender<()>>,
    /// Number of open connections.
    open_connections: usize,
    /// Random stream of the injected errors and resets.
    fault_random: Pcg64,
}

/// A server with its listener.
pub struct TestServer {
    /// Index in the fleet.
    pub number: usize,
    /// Index of the server's zone in the scenario.
    pub zone: usize,
    /// Label of the software release that the server runs.
    pub release: String,
    /// Address of its listener.
    pub address: SocketAddr,
    listener: SwitchableListener,
    inner: Mutex<Inner>,
    /// Wakes `run_work` when the earliest end of work may have changed.
    changed: Notify,
    shared: Arc<Shared>,
}

/// Number of the next attempt.
static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(0);

impl TestServer {
    /// Starts a server. With a `started` of 0, the server counts as having run for long and is warm.
    pub fn start(
        shared: &Arc<Shared>,
        number: usize,
        zone: usize,
        release: &str,
        started: Micros,
    ) -> std::io::Result<Arc<Self>> {
        let listener = SwitchableListener::new(address(Role::Server, number))?;
        let inner = Inner {
            server: Server::new(&shared.scenario.server, zone, started),
            faults: ConnectionFaults::default(),
            cold_arrivals: Window::default(),
            waiting: HashMap::new(),
            open_connections: 0,
            fault_random: random::stream(shared.seed, StreamId::Policy(1_000_000 + number)),
        };
        let server = Arc::new(TestServer {
            number,
            zone,
            release: release.to_owned(),
            address: listener.address,
            listener,
            inner: Mutex::new(inner),
            changed: Notify::new(),
            shared: Arc::clone(shared),
        });
        let accepting = Arc::clone(&server);
        tokio::spawn(async move {
            let on_connection = |stream, generation| {
                tokio::spawn(Arc::clone(&accepting).serve_connection(stream, generation));
            };
            accepting.listener.serve(on_connection).await;
        });
        tokio::spawn(Arc::clone(&server).run_work());
        Ok(server)
    }

    /// Name of the server in the endpoint list.
    pub fn name(&self) -> String {
        name(self.number)
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        // The data is consistent after each step, so a panic of another thread does not corrupt it.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.inner().open_connections
    }

    /// When the server process started; 0 if it was running before the test began.
    pub fn started(&self) -> Micros {
        self.inner().server.started
    }

    /// Whether the server is running and not draining.
    pub fn is_ready(&self) -> bool {
        let inner = self.inner();
        inner.server.up && !inner.server.draining
    }

    /// Changes the health of the server, to inject or end a fault.
    pub fn change_health(&self, change: impl FnOnce(&mut Health)) {
        let mut inner = self.inner();
        inner.server.advance(self.shared.now());
        change(&mut inner.server.health);
        let silent = inner.server.health.unreachable;
        drop(inner);
        self.listener.silence(silent);
        self.changed.notify_one();
    }

    /// Changes the injected faults of the server's connections.
    pub fn change_connection_faults(&self, change: impl FnOnce(&mut ConnectionFaults)) {
        change(&mut self.inner().faults);
    }

    /// Time after which an idle connection is closed.
    fn idle_timeout(&self) -> Duration {
        let fault = self.inner().faults.closes_idle_after;
        let normal = self.shared.scenario.server.idle_timeout;
        Duration::from_micros(fault.map_or(normal, |after| after.min(normal)))
    }

    /// Sends a response a second time, if that fault is injected.
    ///
    /// # Errors
    /// The connection has failed, or must be closed because the test cluster was too late to send the extra
    /// response: left open, it would look like the connection of a server without the fault.
    async fn repeat_response(&self, stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
        let Some(after) = self.inner().faults.extra_response_after else { return Ok(()) };
        let at = self.shared.now() + after;
        self.shared.sleep_until(at).await;
        if self.shared.now() > at + MAX_EXTRA_RESPONSE_DELAY_US {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        stream.write_all(text.as_bytes()).await
    }

    /// Rejects new attempts from now on.
    pub fn drain(&self) {
        self.inner().server.draining = true;
    }

    /// Simulates the end of the server process: connections are reset and new ones refused.
    pub fn stop(&self) {
        let mut inner = self.inner();
        inner.server.stop(self.shared.now());
        inner.waiting.clear();
        drop(inner);
        self.listener.close();
        self.changed.notify_one();
    }

    /// Simulates the start of a new, cold process at the same address.
    pub fn restart(&self) {
        let mut inner = self.inner();
        inner.server.restart(self.shared.now());
        inner.cold_arrivals.clear();
        drop(inner);
        self.listener.open();
    }

    /// Notifies the connection of each attempt whose work is done.
    async fn run_work(self: Arc<Self>) {
        loop {
            let next = {
                let mut inner = self.inner();
                let now = self.shared.now();
                while let Some(attempt) = inner.server.pop_finished(now) {
                    // A connection that has closed needs no response.
                    let _ = inner.waiting.remove(&attempt).map(|sender| sender.send(()));
                }
                inner.server.next_end(now)
            };
            match next {
                Some(at) => tokio::select! {
                    () = self.shared.sleep_until(at) => {}
                    () = self.changed.notified() => {}
                },
                None => self.changed.notified().await,
            }
        }
    }

    /// Serves one connection until it ends.
    async fn serve_connection(self: Arc<Self>, mut stream: TcpStream, generation: u32) {
        let counted = CountedConnection::new(&self);
        if counted.total > self.shared.scenario.server.max_connections {
            return http::reset(stream);
        }
        self.inner().server.add_handshake_work();
        // Best effort: TCP_NODELAY only reduces latency.
        let _ = stream.set_nodelay(true);
        let mut state = self.listener.watch();
        let mut buffer = BytesMut::new();
        let mut last_attempt = None;
        loop {
            let began = tokio::select! {
                began = timeout(self.idle_timeout(), http::wait_for_bytes(&mut stream, &mut buffer)) => began,
                () = wait_for_reset(&mut state, generation) => {
                    last_attempt.into_iter().for_each(|attempt| self.record_reset(attempt));
                    return http::reset(stream);
                }
            };
            if !matches!(began, Ok(Ok(true))) {
                return;
            }
            let first = self.shared.now();
            let message = tokio::select! {
                message = http::read(&mut stream, &mut buffer, MessageKind::Request) => message,
                () = wait_for_reset(&mut state, generation) => return http::reset(stream),
            };
            let Ok(message) = message else { return };
            let id = message.header("x-request-id").and_then(|id| self.shared.parse_id(id));
            let Some((request, number)) = id else {
                let text = http::format_response(404, "", "");
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            };
            let attempt = NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed);
            let server = self.number;
            let complete = self.shared.now();
            self.shared.record(Observation::AttemptArrived {
                attempt,
                request,
                number,
                server,
                first,
                complete,
            });
            let work = self.shared.arrivals[request].work;
            let (outcome, wasted) = tokio::select! {
                done = self.serve(&mut stream, attempt, request) => done,
                () = wait_for_reset(&mut state, generation) => (Outcome::Reset, work),
            };
            self.shared.record(Observation::AttemptEnded { attempt, outcome, wasted });
            let text = match outcome {
                Outcome::Served => self.response(request, number, &message.body),
                Outcome::Rejected => http::format_response(503, "X-Not-Processed: 1\r\n", ""),
                Outcome::Error => http::format_response(500, "", ""),
                _ => return http::reset(stream),
            };
            tokio::select! {
                () = wait_until_not_silent(self.listener.watch()) => {}
                () = wait_for_reset(&mut state, generation) => return http::reset(stream),
            }
            let written = tokio::select! {
                written = write_response(&mut stream, text.as_bytes(), self.write_rate(request)) => written,
                () = wait_for_reset(&mut state, generation) => {
                    self.record_reset(attempt);
                    return http::reset(stream);
                }
            };
            let at = self.shared.now();
            let length = text.len();
            self.shared.record(Observation::ResponseWritten { attempt, at, bytes: written, length });
            if written < length || self.repeat_response(&mut stream, &text).await.is_err() {
                return;
            }
            last_attempt = Some(attempt);
        }
    }

    /// The response to a served request; `received` is the request's body.
    fn response(&self, request: usize, number: u32, received: &[u8]) -> String {
        let id = Shared::id(request, number);
        let expected = self.shared.request_bytes(request).filter(|_| !Shared::is_pipelined(number));
        let text = match expected {
            Some(bytes) if received != upload(&id, bytes).as_bytes() => {
                format!("{id} came with another body\n")
            }
            _ => body(&self.name(), &id, self.shared.response_bytes(request, number)),
        };
        http::format_response(200, "", &text)
    }

    /// Rate in bytes per second at which the response to a request is written, if its bodies are large.
    fn write_rate(&self, request: usize) -> Option<usize> {
        self.shared.transfer(request).map(|transfer| transfer.response_write_rate)
    }

    /// Records that the server resets the connection of an attempt, which discards response bytes still
    /// unread.
    fn record_reset(&self, attempt: u64) {
        self.shared.record(Observation::ConnectionReset { attempt, at: self.shared.now() });
    }

    /// Executes an attempt; returns its outcome and the work done for a response that nobody receives.
    async fn serve(&self, stream: &mut TcpStream, attempt: u64, request: usize) -> (Outcome, f64) {
        let work = self.shared.arrivals[request].work;
        let proxy = self.shared.arrivals[request].proxy;
        wait_until_not_silent(self.listener.watch()).await;
        let network = &self.shared.scenario.network;
        let delay = if self.shared.zone(proxy) == self.zone {
            network.delay_within_zone
        } else {
            network.delay_across_zones
        };
        self.pass_delay(delay).await;
        let attempt = attempt as usize;
        let finished = match self.admit(attempt, work) {
            Ok(finished) => finished,
            Err((outcome, after)) => {
                self.pass_delay(after.max(delay)).await;
                return (outcome, 0.0);
            }
        };
        tokio::select! {
            done = finished => match done {
                Ok(()) => {
                    self.pass_delay(delay).await;
                    (Outcome::Served, 0.0)
                }
                Err(_) => (Outcome::Reset, work),
            },
            () = http::wait_until_closed(stream) => {
                let remaining = self.inner().server.drop_work(self.shared.now(), attempt);
                self.inner().waiting.remove(&attempt);
                self.changed.notify_one();
                // The client has closed the connection, so no response is sent.
                (Outcome::Reset, (work - remaining.unwrap_or(0.0)).max(0.0))
            }
        }
    }

    async fn pass_delay(&self, delay: Micros) {
        if delay >= MIN_DELAY_US {
            self.shared.sleep_until(self.shared.now() + delay).await;
        }
    }

    /// Counts an attempt that arrives at a cold server, whatever its outcome. Returns whether it overloads
    /// the server.
    fn overloads_cold_server(&self, inner: &mut Inner, now: Micros, attempt: usize) -> bool {
        let warm_up_ratio = inner.server.warm_up_ratio(now);
        if warm_up_ratio >= 1.0 {
            return false;
        }
        let scenario = &self.shared.scenario;
        let bound = cold::bound(scenario, warm_up_ratio);
        let arrived = inner.cold_arrivals.push(now, (), scenario.server.cold_overload_window).len();
        let server = self.number;
        let started = inner.server.started;
        self.shared.record(Observation::ColdArrival {
            attempt: attempt as u64,
            server,
            started,
            at: now,
            bound,
        });
        arrived as f64 > bound
    }

    /// Admits an attempt and returns a receiver for its completion, or the outcome and the delay of its
    /// response.
    fn admit(&self, attempt: usize, work: f64) -> Result<oneshot::Receiver<()>, (Outcome, Micros)> {
        let mut inner = self.inner();
        // Read only under the lock: another holder of the lock may have advanced the server to a later time.
        let now = self.shared.now();
        if !inner.server.up {
            // The connection was established before the process ended.
            return Err((Outcome::Reset, 0));
        }
        if self.overloads_cold_server(&mut inner, now, attempt) {
            drop(inner);
            self.stop();
            return Err((Outcome::Reset, 0));
        }
        if inner.server.draining {
            return Err((Outcome::Rejected, 0));
        }
        let Health { errors, resets, .. } = inner.server.health;
        if errors && inner.fault_random.gen_bool(0.5) {
            return Err((Outcome::Error, FAULT_DELAY_US));
        }
        if resets && inner.fault_random.gen_bool(1.0 / 3.0) {
            return Err((Outcome::Reset, FAULT_DELAY_US));
        }
        if inner.server.admit(now, attempt, work) == Admission::Rejected {
            return Err((Outcome::Rejected, 0));
        }
        let (sender, finished) = oneshot::channel();
        inner.waiting.insert(attempt, sender);
        drop(inner);
        self.changed.notify_one();
        Ok(finished)
    }
}

/// Writes a response at `rate` bytes per second, or as fast as it is read if there is no rate. Returns the
/// number of bytes written before the connection ended.
async fn write_response(stream: &mut TcpStream, text: &[u8], rate: Option<usize>) -> usize {
    let mut written = 0;
    let chunk_bytes = if rate.is_some() { WRITE_CHUNK_BYTES } else { text.len() };
    while written < text.len() {
        let end = text.len().min(written + chunk_bytes);
        match stream.write(&text[written..end]).await {
            Ok(bytes) if bytes > 0 => written += bytes,
            _ => break,
        }
        // No pause after the last byte, from which an extra response is timed.
        if let Some(rate) = rate.filter(|_| written < text.len()) {
            tokio::time::sleep(slow_stream::pace(chunk_bytes, rate)).await;
        }
    }
    written
}

/// The body of a large request.
pub fn upload(id: &str, bytes: usize) -> String {
    body("client", id, Some(bytes))
}

/// The name of a server in the endpoint list.
pub fn name(number: usize) -> String {
    format!("s-{number:04}")
}

/// The body of a response, unique to the server and the request ID. With `bytes`, its line is repeated up to
/// that size.
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

/// The server that produced this body as its response to the try with this request ID; `None` if no server
/// did.
pub fn responding_server(received: &[u8], id: &str, bytes: Option<usize>) -> Option<usize> {
    let text = std::str::from_utf8(received).ok()?;
    let number = text.strip_prefix("s-")?.split(' ').next()?.parse().ok()?;
    (text == body(&name(number), id, bytes)).then_some(number)
}

/// Counts an open connection of a server until it is dropped.
struct CountedConnection<'a> {
    server: &'a TestServer,
    /// Open connections of the server, this one included.
    total: usize,
}

impl<'a> CountedConnection<'a> {
    fn new(server: &'a TestServer) -> Self {
        let mut inner = server.inner();
        inner.open_connections += 1;
        CountedConnection { server, total: inner.open_connections }
    }
}

impl Drop for CountedConnection<'_> {
    fn drop(&mut self) {
        self.server.inner().open_connections -= 1;
    }
}
