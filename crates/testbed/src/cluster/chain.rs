//! A chain of services: each hop is a proxy in front of a service, whose servers call the next hop before
//! they answer. Each call is repeated without the proxies, straight to the same servers, for comparison.

use super::discovery::{Agent, ListedServer};
use super::hops::cpu;
use super::http::{self, Message, MessageKind};
use super::listener::{address, Role};
use super::processes::{Program, ProxySupervisor};
use super::record::{histogram, Shared, MAX_TIMER_LATENESS_US};
use super::servers::{body, name, responding_server};
use bytes::BytesMut;
use hdrhistogram::Histogram;
use oakport_core::{EndpointState, Micros};
use oakport_simulator::scenario::Scenario;
use oakport_simulator::Arrivals;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Servers per service, as in the operators' fleet.
pub const SERVERS: usize = 6;
/// Client timeout of a call that enters the chain.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Extra time beyond its deadline for which a caller still waits for a response.
const DEADLINE_SLACK: Duration = Duration::from_millis(50);
/// Delay of a direct call after the same call through the proxies, so that the servers that received it are
/// known.
const DIRECT_DELAY_US: Micros = 500_000;
/// Delay before the first call of a load step, so that the timer thread is running by then.
const START_DELAY: Duration = Duration::from_millis(5);
/// Opens the connections; its result is discarded.
const WARM_UP: LoadStep = LoadStep { rate: 100.0, duration: 500_000 };
/// Scenario from which the proxies' settings are derived. Calls are not idempotent, so each must pass each
/// hop exactly once. Six balancers call one service, as with 6,300 processes that call one of 1,000 services
/// each.
const SCENARIO: &str = r#"
purpose = "a chain of calls"
length = "1s"
balancers = 6
servers = 6
rate = 1
[[class]]
name = "checkout"
share = 1
work = 1
aim = "1s"
deadline = "3s"
idempotency = "single_shot"
"#;

/// Path of a call from one service to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallPath {
    /// Through a proxy, which selects the server.
    Proxies,
    /// Straight to the server that the proxy selected for the same call.
    Direct,
}

/// A constant call rate for a fixed time, on each path.
#[derive(Clone, Copy, Debug)]
pub struct LoadStep {
    /// Calls per second.
    pub rate: f64,
    /// Duration in microseconds.
    pub duration: Micros,
}

impl LoadStep {
    /// Duration including the delay of the direct calls.
    pub fn total_duration(&self) -> Duration {
        Duration::from_micros(self.duration + DIRECT_DELAY_US)
    }
}

/// Results of the calls on one path.
#[derive(Clone, Debug)]
pub struct PathResult {
    /// Calls sent.
    pub sent: usize,
    /// Calls answered with the response that a server of the first service made for them.
    pub answered: usize,
    /// Time from the planned send time of a call to its complete response, in microseconds.
    pub latencies: Histogram<u64>,
    /// Arrivals at servers, summed over all hops.
    pub arrivals: usize,
    /// Hops at which a call arrived exactly once, summed over all calls.
    pub arrived_once: usize,
}

/// Results of a load step.
#[derive(Clone, Debug)]
pub struct StepResult {
    /// Calls through the proxies.
    pub proxies: PathResult,
    /// Direct calls.
    pub direct: PathResult,
    /// Fraction of a core used by a proxy process, averaged over all proxies.
    pub cpu_share: f64,
    /// Delay of sending a call after its planned time, in microseconds.
    pub late: Histogram<u64>,
}

impl StepResult {
    /// Whether calls were sent too late for the measured latencies and failures to be meaningful. The limit
    /// is the one of the cluster runs.
    pub fn is_load_generator_late(&self) -> bool {
        self.late.value_at_quantile(0.99) > MAX_TIMER_LATENESS_US
    }
}

/// Results of a run of the chain.
#[derive(Clone, Debug)]
pub struct ChainResult {
    /// One result per load step.
    pub outcomes: Vec<StepResult>,
    /// Memory of a proxy process at the end of the run, averaged over all proxies.
    pub memory_bytes: f64,
    /// Process IDs of the proxies, all of which have exited.
    pub processes: Vec<u32>,
}

/// Identifies a call at one hop; each has its own request ID on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Id {
    step: u8,
    path: CallPath,
    call: u32,
    hop: u8,
}

impl Id {
    fn text(self) -> String {
        format!("{:02x}{:02x}{:08x}{:02x}", self.step, self.path as u8, self.call, self.hop)
    }

    fn read(text: &str) -> Option<Self> {
        let part = |from, to| u32::from_str_radix(text.get(from..to)?, 16).ok();
        let path = match part(2, 4)? {
            0 => CallPath::Proxies,
            1 => CallPath::Direct,
            _ => return None,
        };
        let id = Id { step: part(0, 2)? as u8, path, call: part(4, 12)?, hop: part(12, 14)? as u8 };
        (id.text() == text).then_some(id)
    }
}

/// An open connection and the bytes read from it so far.
type Connection = (TcpStream, BytesMut);

/// HTTP client of one address that behaves like the application beside a proxy (PROTOCOL, "The application to
/// its client proxy").
struct HttpClient {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // The guarded values are consistent after each statement, so a poisoned lock is safe to use.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl HttpClient {
    fn new(address: SocketAddr) -> Self {
        HttpClient { address, idle: Mutex::default() }
    }

    /// Takes an idle connection that the server has not closed.
    fn take_idle(&self) -> Option<Connection> {
        loop {
            let (stream, mut buffer) = lock(&self.idle).pop()?;
            if stream.try_read_buf(&mut buffer).is_err_and(|e| e.kind() == ErrorKind::WouldBlock) {
                return Some((stream, buffer));
            }
        }
    }

    async fn call(&self, text: &str) -> std::io::Result<Message> {
        if let Some(open) = self.take_idle() {
            match self.exchange(open, text).await {
                // The server may have closed the idle connection while the request was sent: retries once on
                // a new connection.
                Err(e) if e.kind() != ErrorKind::InvalidData => {}
                done => return done,
            }
        }
        let stream = TcpStream::connect(self.address).await?;
        // Best effort: TCP_NODELAY only reduces latency.
        let _ = stream.set_nodelay(true);
        self.exchange((stream, BytesMut::new()), text).await
    }

    async fn exchange(&self, (mut stream, mut buffer): Connection, text: &str) -> std::io::Result<Message> {
        stream.write_all(text.as_bytes()).await?;
        let answer = http::read(&mut stream, &mut buffer, MessageKind::Response).await?;
        if buffer.is_empty() && !answer.closes() {
            lock(&self.idle).push((stream, buffer));
        }
        Ok(answer)
    }
}

/// The services of the chain, and a record of the calls that arrived.
struct Chain {
    hops: Vec<Hop>,
    /// For each call at each hop, the indices within the service of the servers at which it arrived.
    arrivals: Mutex<BTreeMap<Id, Vec<usize>>>,
    /// Idle timeout of connections at the servers.
    idle_timeout: Duration,
}

/// Clients of the proxy and of the servers of one hop.
struct Hop {
    proxy: HttpClient,
    servers: Vec<HttpClient>,
}

impl Chain {
    /// Calls a hop. Returns true if the response was made for this call by a server of that hop.
    async fn call(&self, id: Id, time_left: Duration) -> bool {
        let Some(hop) = self.hops.get(usize::from(id.hop)) else { return false };
        let client = match id.path {
            CallPath::Proxies => &hop.proxy,
            CallPath::Direct => &hop.servers[self.selected_server(id)],
        };
        let request_id = id.text();
        let time = time_left.as_micros();
        let text = format!(
            "POST /checkout HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {request_id}\r\n\
             X-Timeout: {time}u\r\nContent-Length: 1\r\n\r\n1"
        );
        let Ok(Ok(answer)) = timeout(time_left + DEADLINE_SLACK, client.call(&text)).await else {
            return false;
        };
        let server = responding_server(&answer.body, &request_id, None).filter(|_| answer.status() == 200);
        server.is_some_and(|server| server / SERVERS == usize::from(id.hop))
    }

    /// Index of the server that the proxy selected for the same call, or any server if the call reached none.
    fn selected_server(&self, id: Id) -> usize {
        let arrivals = lock(&self.arrivals);
        let through_proxy = arrivals.get(&Id { path: CallPath::Proxies, ..id });
        through_proxy.and_then(|servers| servers.last()).copied().unwrap_or(id.call as usize % SERVERS)
    }

    async fn accept(self: Arc<Self>, listener: TcpListener, hop: usize, server: usize) {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&self).serve(stream, hop, server));
            }
        }
    }

    /// Serves one connection of a server until it ends.
    async fn serve(self: Arc<Self>, mut stream: TcpStream, hop: usize, server: usize) {
        // Best effort: TCP_NODELAY only reduces latency.
        let _ = stream.set_nodelay(true);
        let mut buffer = BytesMut::new();
        while matches!(
            timeout(self.idle_timeout, http::wait_for_bytes(&mut stream, &mut buffer)).await,
            Ok(Ok(true))
        ) {
            let Ok(message) = http::read(&mut stream, &mut buffer, MessageKind::Request).await else {
                return;
            };
            let text = match message.header("x-request-id").map(Id::read) {
                None => http::format_response(404, "", ""),
                Some(id) => match id.filter(|id| usize::from(id.hop) == hop) {
                    None => http::format_response(400, "", ""),
                    Some(id) => {
                        lock(&self.arrivals).entry(id).or_default().push(server);
                        let time_left =
                            message.header("x-timeout").and_then(parse_timeout).unwrap_or(CLIENT_TIMEOUT);
                        let called = tokio::select! {
                            called = self.call_next_hop(id, time_left) => called,
                            // The caller has given up, so the call to the next hop is cancelled too.
                            () = http::wait_until_closed(&stream) => return,
                        };
                        match called {
                            true => http::format_response(
                                200,
                                "",
                                &body(&name(hop * SERVERS + server), &id.text(), None),
                            ),
                            false => http::format_response(500, "", ""),
                        }
                    }
                },
            };
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Calls the next hop on behalf of a server; succeeds at once at the last hop.
    async fn call_next_hop(&self, id: Id, time_left: Duration) -> bool {
        usize::from(id.hop) + 1 == self.hops.len() || self.call(Id { hop: id.hop + 1, ..id }, time_left).await
    }

    /// Collects the results of a load step on one path.
    fn path_result(&self, step: u8, path: CallPath, sent: usize, latencies: Histogram<u64>) -> PathResult {
        let arrivals = lock(&self.arrivals);
        let of_path = arrivals.iter().filter(|(id, _)| (id.step, id.path) == (step, path));
        let mut result =
            PathResult { sent, answered: latencies.len() as usize, latencies, arrivals: 0, arrived_once: 0 };
        for (_, servers) in of_path {
            result.arrivals += servers.len();
            result.arrived_once += usize::from(servers.len() == 1);
        }
        result
    }
}

/// Parses the value of `X-Timeout`.
fn parse_timeout(text: &str) -> Option<Duration> {
    let value = |unit| text.strip_suffix(unit)?.parse().ok();
    value('m').map(Duration::from_millis).or_else(|| value('u').map(Duration::from_micros))
}

/// Runs a chain of `hops` hops through each load step in turn.
///
/// # Errors
/// Fails if a proxy, a server or a discovery agent cannot be started.
pub async fn run(
    program: &Program,
    hops: usize,
    steps: &[LoadStep],
    seed: u64,
) -> Result<ChainResult, String> {
    let setup_error = |e: std::io::Error| format!("cannot set up the test cluster: {e}");
    let scenario = Scenario::parse(SCENARIO).map_err(|e| e.to_string())?;
    let shared = Arc::new(Shared::new(scenario, seed));
    let mut hop_clients = Vec::new();
    let mut proxies = Vec::new();
    let mut listeners = Vec::new();
    for hop in 0..hops {
        let agent = Agent::start(&shared, hop).await.map_err(setup_error)?;
        let mut servers = Vec::new();
        for number in hop * SERVERS..(hop + 1) * SERVERS {
            let listener = TcpListener::bind(address(Role::Server, number)).await.map_err(setup_error)?;
            let address = listener.local_addr().map_err(setup_error)?;
            let zone = shared.scenario.zones[0].clone();
            let listed_server = ListedServer {
                state: EndpointState::Ready,
                address,
                zone,
                release: "first".to_owned(),
                started: 0,
            };
            agent.update(number, listed_server);
            servers.push(HttpClient::new(address));
            listeners.push((listener, hop, number % SERVERS));
        }
        let mut proxy =
            ProxySupervisor::new(&shared, &agent, hop, agent.address, false, None).map_err(setup_error)?;
        proxy.start(program)?;
        hop_clients.push(Hop { proxy: HttpClient::new(proxy.address), servers });
        proxies.push(proxy);
    }
    let idle_timeout = Duration::from_micros(shared.scenario.server.idle_timeout);
    let chain = Arc::new(Chain { hops: hop_clients, arrivals: Mutex::default(), idle_timeout });
    let mut accepting = JoinSet::new();
    for (listener, hop, server) in listeners {
        accepting.spawn(Arc::clone(&chain).accept(listener, hop, server));
    }
    for proxy in &mut proxies {
        proxy.ready().await?;
    }
    let processes: Vec<u32> = proxies.iter().filter_map(ProxySupervisor::pid).collect();
    let mean = |figure: fn(u32) -> f64| {
        processes.iter().map(|pid| figure(*pid)).sum::<f64>() / processes.len().max(1) as f64
    };
    let mut outcomes = Vec::new();
    for (number, step) in (0..).zip([WARM_UP].iter().chain(steps)) {
        let calls = plan_calls(&shared.scenario, seed, step);
        let cpu_before = mean(cpu);
        let begin = Instant::now();
        let (paths, late) = send_calls(&chain, number, calls).await;
        let cpu_share = (mean(cpu) - cpu_before) / begin.elapsed().as_secs_f64();
        let [proxies, direct] =
            paths.map(|(path, sent, latencies)| chain.path_result(number, path, sent, latencies));
        outcomes.push(StepResult { proxies, direct, cpu_share, late });
    }
    outcomes.remove(0);
    let memory_bytes = mean(resident_memory);
    for proxy in &mut proxies {
        proxy.end(Duration::ZERO).await;
    }
    Ok(ChainResult { outcomes, memory_bytes, processes })
}

/// The planned send time of a call, its path and its number.
type PlannedCall = (Duration, CallPath, u32);

/// Plans the calls of a load step, ordered by send time. The two paths alternate, so that other load on the
/// machine affects both alike.
fn plan_calls(scenario: &Scenario, seed: u64, step: &LoadStep) -> Vec<PlannedCall> {
    let scenario = Scenario { rate: step.rate, duration: step.duration, ..scenario.clone() };
    let mut calls = Vec::new();
    for (call, arrival) in (0..).zip(Arrivals::generate_all(&scenario, seed)) {
        calls.push((Duration::from_micros(arrival.at), CallPath::Proxies, call));
        calls.push((Duration::from_micros(arrival.at + DIRECT_DELAY_US), CallPath::Direct, call));
    }
    calls.sort_unstable();
    calls
}

/// A path, the number of calls sent on it, and the latencies of the answered ones.
type PathLatencies = (CallPath, usize, Histogram<u64>);

/// Sends calls at their planned times, independent of the completion of earlier ones (open loop). Also
/// returns the delays after the planned times.
async fn send_calls(
    chain: &Arc<Chain>,
    step: u8,
    planned_calls: Vec<PlannedCall>,
) -> ([PathLatencies; 2], Histogram<u64>) {
    let begin = Instant::now() + START_DELAY;
    let (sender, mut due) = mpsc::unbounded_channel();
    // A thread's sleep is more precise than the runtime's timers, which have a resolution of 1 ms.
    std::thread::spawn(move || {
        for (after, path, call) in planned_calls {
            let planned = begin + after;
            std::thread::sleep(planned.saturating_duration_since(Instant::now()));
            if sender.send((planned, path, call)).is_err() {
                return;
            }
        }
    });
    let micros = |span: Duration| (span.as_micros() as u64).max(1);
    let mut paths = [CallPath::Proxies, CallPath::Direct].map(|path| (path, 0, histogram()));
    let mut late = histogram();
    let mut calls = JoinSet::new();
    while let Some((planned, path, call)) = due.recv().await {
        late.saturating_record(micros(planned.elapsed()));
        paths[path as usize].1 += 1;
        let chain = Arc::clone(chain);
        calls.spawn(async move {
            let answered = chain.call(Id { step, path, call, hop: 0 }, CLIENT_TIMEOUT).await;
            answered.then(|| (path, planned.elapsed()))
        });
    }
    while let Some(done) = calls.join_next().await {
        if let Ok(Some((path, took))) = done {
            paths[path as usize].2.saturating_record(micros(took));
        }
    }
    (paths, late)
}

/// Resident memory of a process in bytes, including shared pages; 0 if the process has exited.
fn resident_memory(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1_024.0
}
