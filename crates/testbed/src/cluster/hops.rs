//! Measures the cost of a hop: sends the same requests to the same servers by several routes in turn.

use super::http::{self, MessageKind};
use super::links::Relay;
use super::listener::{address, bound_address, reserve, Role};
use super::process_stats;
use super::processes::{Program, ProxySupervisor};
use super::record::{histogram, Shared};
use super::site::Site;
use bytes::BytesMut;
use nix::unistd::{sysconf, SysconfVar};
use oakport_simulator::random::{self, StreamId};
use oakport_simulator::scenario::Scenario;
use rand::Rng;
use socket2::Socket;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, timeout, Instant, MissedTickBehavior};

/// Concurrent connections for the throughput measurement; each sends its next request on the previous
/// response.
const THROUGHPUT_CONNECTIONS: usize = 16;
/// Duration of the throughput measurement of one route.
const THROUGHPUT_DURATION: Duration = Duration::from_secs(1);
/// Interval between the requests of the latency measurement, which uses one connection.
const LATENCY_INTERVAL: Duration = Duration::from_millis(2);
/// Number of requests of the latency measurement.
const LATENCY_REQUESTS: usize = 500;
/// Measured duration at a steady rate, and the warm-up before it, in seconds.
const STEADY_AND_WARM_UP_S: (f64, f64) = (20.0, 3.0);
/// Servers that are called at a steady rate.
const STEADY_SERVERS: usize = 6;
/// A client does not reuse a connection that has been idle for longer, since it may be closed after 2 s
/// (TERMS).
const MAX_IDLE: Duration = Duration::from_secs(1);
/// Timeout of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// A scenario in which servers answer without delay.
const SCENARIO: &str = r#"
purpose = "what a hop costs"
length = "3s"
balancers = 1
servers = 4
rate = 100000
[server]
cores = 64
slots = 256
connections = 1000
handshake = 0
[network]
within = 0
[[class]]
name = "card-check"
share = 1
work = 1
spread = "fixed"
aim = "1s"
deadline = "3s"
idempotency = "free"
"#;

/// A route from the client to the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// Straight to one server, without a proxy.
    Direct,
    /// Through a relay of the test cluster that injects no fault.
    Relay,
    /// Through the testbed's forwarder.
    Forwarder,
    /// Through oakport.
    Oakport,
    /// Through another build of oakport, if one is given for comparison.
    Other,
}

impl Route {
    /// All routes, in the order in which they are measured.
    pub const ALL: [Route; 5] = [Route::Direct, Route::Relay, Route::Forwarder, Route::Oakport, Route::Other];

    /// Display name.
    pub fn name(self) -> &'static str {
        match self {
            Route::Direct => "direct",
            Route::Relay => "relay",
            Route::Forwarder => "forwarder",
            Route::Oakport => "oakport",
            Route::Other => "other",
        }
    }
}

/// Results of one round on one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// Throughput with concurrent connections, in requests per second.
    pub rate: f64,
    /// Requests per CPU second of the proxy process; 0 on a route without one.
    pub per_core: f64,
    /// Median latency without concurrent requests, in microseconds.
    pub p50: f64,
    /// 99th percentile of the latency without concurrent requests, in microseconds.
    pub p99: f64,
    /// Connection cost; `None` if the program does not report it.
    pub cost: Option<Cost>,
}

/// Connections opened to servers and waits for connections, over a number of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Requests.
    pub requests: u64,
    /// Connections opened.
    pub opened: u64,
    /// Attempts that waited for a connection to become idle.
    pub waits: u64,
}

impl Cost {
    /// Connections opened per request.
    pub fn handshakes(&self) -> f64 {
        self.opened as f64 / self.requests.max(1) as f64
    }

    /// Fraction of requests that waited for a connection.
    pub fn waiting(&self) -> f64 {
        self.waits as f64 / self.requests.max(1) as f64
    }
}

/// Admin endpoint of a build of oakport.
struct AdminEndpoint {
    address: SocketAddr,
    _holder: Socket,
}

impl AdminEndpoint {
    /// The program configured with an admin endpoint, and that endpoint.
    fn configure(program: &Program, number: usize) -> std::io::Result<(Program, AdminEndpoint)> {
        let holder = reserve(address(Role::Proxy, number))?;
        let address = bound_address(&holder)?;
        let mut program = program.clone();
        program.environment.push(("RELAY_OPERATOR".to_owned(), address.to_string()));
        Ok((program, AdminEndpoint { address, _holder: holder }))
    }

    /// Connections opened and attempts that waited so far; `None` if the build does not count them.
    async fn counts(&self) -> Option<(u64, u64)> {
        let report = process_stats::admin_report(self.address).await.ok()?;
        let count = |name: &str| report["connections"][name].as_u64();
        Some((count("opened")?, count("waits")?))
    }

    /// Cost of these requests since `before`.
    async fn since(&self, before: Option<(u64, u64)>, requests: u64) -> Option<Cost> {
        let ((opened, waits), (opened_before, waits_before)) = (self.counts().await?, before?);
        Some(Cost { requests, opened: opened - opened_before, waits: waits - waits_before })
    }
}

/// Measures each route in turn, for `rounds` rounds; `other` is a build to compare with.
///
/// # Errors
/// Fails if a party cannot be started or does not answer.
pub async fn measure(
    oakport: &Program,
    other: Option<&Program>,
    forwarder: &Program,
    rounds: u64,
) -> Result<Vec<Vec<Sample>>, String> {
    let setup_error = |e: std::io::Error| format!("cannot set up the test cluster: {e}");
    let scenario = Scenario::parse(SCENARIO).map_err(|e| e.to_string())?;
    let shared = Arc::new(Shared::new(scenario, 1));
    let site = Site::start(&shared).await.map_err(setup_error)?;
    let server = site.servers()[0].address;
    let relay = Relay::start(server).map_err(setup_error)?;
    let mut routes = vec![(server, None, None), (relay.address(), None, None)];
    let mut proxies = Vec::new();
    for (number, program) in [forwarder, oakport].into_iter().chain(other).enumerate() {
        let (program, admin) = AdminEndpoint::configure(program, number).map_err(setup_error)?;
        let proxy = start_proxy(&shared, &site, number, &program).await?;
        routes.push((proxy.address, proxy.pid(), Some(admin)));
        proxies.push(proxy);
    }
    let next = Arc::new(AtomicUsize::new(0));
    let mut all = Vec::new();
    // The first round is a warm-up and is discarded.
    for round in 0..=rounds {
        let mut samples = Vec::new();
        for (address, pid, admin) in &routes {
            let before = match admin {
                Some(admin) => admin.counts().await,
                None => None,
            };
            let (mut sample, requests) = measure_route(&shared, *address, *pid, &next).await?;
            if let Some(admin) = admin {
                sample.cost = admin.since(before, requests).await;
            }
            samples.push(sample);
            // No judge evaluates this run, so the observations are discarded.
            shared.take_observations();
        }
        if round > 0 {
            all.push(samples);
        }
    }
    for proxy in &mut proxies {
        proxy.end(Duration::ZERO).await;
    }
    Ok(all)
}

/// Starts a proxy process of a program and waits until it is ready.
async fn start_proxy(
    shared: &Arc<Shared>,
    site: &Site,
    number: usize,
    program: &Program,
) -> Result<ProxySupervisor, String> {
    let agent = &site.agents[0];
    let proxy = ProxySupervisor::new(shared, agent, number, agent.address, false, None);
    let mut proxy = proxy.map_err(|e| format!("cannot set up the test cluster: {e}"))?;
    proxy.start(program)?;
    proxy.ready().await?;
    Ok(proxy)
}

/// Measures the connection cost of calls that arrive at random (Poisson) at a steady rate, as from many
/// clients.
///
/// # Errors
/// Fails if a party cannot be started, does not answer, or does not report its connection counts.
pub async fn measure_connections(oakport: &Program, rate: f64) -> Result<Cost, String> {
    let setup_error = |e: std::io::Error| format!("cannot set up the test cluster: {e}");
    let mut scenario = Scenario::parse(SCENARIO).map_err(|e| e.to_string())?;
    scenario.servers = STEADY_SERVERS;
    let shared = Arc::new(Shared::new(scenario, 1));
    let site = Site::start(&shared).await.map_err(setup_error)?;
    let (program, admin) = AdminEndpoint::configure(oakport, 0).map_err(setup_error)?;
    let mut proxy = start_proxy(&shared, &site, 0, &program).await?;
    let address = proxy.address;
    let idle = Arc::new(Mutex::new(Vec::new()));
    let mut random = random::stream(1, StreamId::Arrivals);
    let mut due = Instant::now();
    let mut calls = JoinSet::new();
    let mut before = None;
    let (measured, warm_up) = STEADY_AND_WARM_UP_S;
    let all = (rate * (measured + warm_up)) as usize;
    let first = (rate * warm_up) as usize;
    for number in 0..all {
        due += Duration::from_secs_f64(-(1.0 - random.gen::<f64>()).ln() / rate);
        tokio::time::sleep_until(due).await;
        if number == first {
            before = admin.counts().await;
        }
        let idle = Arc::clone(&idle);
        let id = Shared::id(number, 0);
        calls.spawn(async move {
            let reusable: Option<(Instant, _)> = idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
            let mut open = match reusable {
                Some((since, open)) if since.elapsed() < MAX_IDLE => open,
                _ => (TcpStream::connect(address).await?, BytesMut::new()),
            };
            request(&mut open, &id).await?;
            idle.lock().unwrap_or_else(PoisonError::into_inner).push((Instant::now(), open));
            Ok::<(), std::io::Error>(())
        });
    }
    while let Some(done) = calls.join_next().await {
        done.map_err(|e| e.to_string())?.map_err(|e| format!("request to {address} failed: {e}"))?;
    }
    let cost = admin.since(before, (all - first) as u64).await;
    proxy.end(Duration::ZERO).await;
    cost.ok_or_else(|| format!("{}: the admin endpoint reports no connection counts", program.path.display()))
}

/// Measures one route once. Also returns the number of requests sent.
async fn measure_route(
    shared: &Shared,
    address: SocketAddr,
    pid: Option<u32>,
    next: &Arc<AtomicUsize>,
) -> Result<(Sample, u64), String> {
    let request_error = |e: std::io::Error| format!("request to {address} failed: {e}");
    let requests = shared.arrivals.len();
    let id = {
        let next = Arc::clone(next);
        move || Shared::id(next.fetch_add(1, Ordering::Relaxed) % requests, 0)
    };
    let mut times = histogram();
    let mut open = (TcpStream::connect(address).await.map_err(request_error)?, BytesMut::new());
    let mut ticks = interval(LATENCY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for _ in 0..LATENCY_REQUESTS {
        ticks.tick().await;
        let sent = Instant::now();
        request(&mut open, &id()).await.map_err(request_error)?;
        times.saturating_record((sent.elapsed().as_nanos() as u64).max(1));
    }
    let cpu_before = pid.map_or(0.0, cpu);
    let begin = Instant::now();
    let mut connections = JoinSet::new();
    for _ in 0..THROUGHPUT_CONNECTIONS {
        let id = id.clone();
        connections.spawn(async move {
            let mut open = (TcpStream::connect(address).await?, BytesMut::new());
            let mut count = 0u64;
            while begin.elapsed() < THROUGHPUT_DURATION {
                request(&mut open, &id()).await?;
                count += 1;
            }
            Ok::<u64, std::io::Error>(count)
        });
    }
    let mut count = 0;
    while let Some(done) = connections.join_next().await {
        count += done.map_err(|e| e.to_string())?.map_err(request_error)?;
    }
    let rate = count as f64 / begin.elapsed().as_secs_f64();
    let cpu_used = pid.map_or(0.0, cpu) - cpu_before;
    sleep(LATENCY_INTERVAL).await;
    let sample = Sample {
        rate,
        per_core: if cpu_used > 0.0 { count as f64 / cpu_used } else { 0.0 },
        p50: times.value_at_quantile(0.5) as f64 / 1e3,
        p99: times.value_at_quantile(0.99) as f64 / 1e3,
        cost: None,
    };
    Ok((sample, LATENCY_REQUESTS as u64 + count))
}

/// Sends one request and reads its response, which must have status 200.
async fn request((stream, buffer): &mut (TcpStream, BytesMut), id: &str) -> std::io::Result<()> {
    // Best effort: TCP_NODELAY only reduces latency.
    let _ = stream.set_nodelay(true);
    let text = format!(
        "GET /card-check HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Timeout: 3000000u\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await?;
    let answer = timeout(RESPONSE_TIMEOUT, http::read(stream, buffer, MessageKind::Response)).await??;
    match answer.status() {
        200 => Ok(()),
        status => Err(std::io::Error::other(format!("expected status 200, got {status}"))),
    }
}

/// CPU time used by a process, in seconds; 0 if the process has exited.
pub(super) fn cpu(pid: u32) -> f64 {
    let ticks = sysconf(SysconfVar::CLK_TCK).ok().flatten().unwrap_or(100) as f64;
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let Some((_, rest)) = text.rsplit_once(')') else { return 0.0 };
    // utime and stime: fields 14 and 15 of the line, two of which precede the closing parenthesis.
    let own = rest.split_whitespace().skip(11).take(2).filter_map(|field| field.parse::<f64>().ok());
    own.sum::<f64>() / ticks
}
