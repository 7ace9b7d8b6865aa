//! What a hop costs: the same requests to the same servers by several ways, in turn.

use super::http::{self, Side};
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

/// Connections that ask as fast as they are answered.
const CROWD: usize = 16;
/// How long each way is asked so.
const BURST: Duration = Duration::from_secs(1);
/// How often the one connection asks by which latencies are taken, and how many times.
const BEAT: Duration = Duration::from_millis(2);
/// See `BEAT`.
const BEATS: usize = 500;
/// How long calls come at a steady rate, and how long before that is not counted.
const STEADY: (f64, f64) = (20.0, 3.0);
/// Servers that get them.
const STEADY_SERVERS: usize = 6;
/// A client's connection that has been idle for longer is not used again: it may be closed after 2 s (TERMS).
const IDLE: Duration = Duration::from_secs(1);
/// No answer takes so long.
const LONG: Duration = Duration::from_secs(5);
/// A day on which servers answer at once.
const DAY: &str = r#"
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

/// A way from the client to the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// Straight to one server.
    Direct,
    /// By a relay of the cluster, without a fault.
    Relay,
    /// By the lab's forwarder.
    Forwarder,
    /// By oakport.
    Oakport,
    /// By another build of it, if there is one to compare.
    Other,
}

impl Route {
    /// All, in their order.
    pub const ALL: [Route; 5] = [Route::Direct, Route::Relay, Route::Forwarder, Route::Oakport, Route::Other];

    /// For people.
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

/// What one turn of a way gave.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// Requests a second that a crowd got through.
    pub rate: f64,
    /// Requests for each second of a core that the proxy's process took; 0 without one.
    pub per_core: f64,
    /// Time of an answer when there is no crowd, in microseconds.
    pub p50: f64,
    /// See `p50`.
    pub p99: f64,
    /// What the connections to servers cost; None where nobody tells.
    pub cost: Option<Cost>,
}

/// What the connections to servers cost a number of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Requests.
    pub requests: u64,
    /// Connections opened.
    pub opened: u64,
    /// Attempts that waited for a connection to rest.
    pub waits: u64,
}

impl Cost {
    /// Connections opened for each request.
    pub fn handshakes(&self) -> f64 {
        self.opened as f64 / self.requests.max(1) as f64
    }

    /// The share of requests that waited.
    pub fn waiting(&self) -> f64 {
        self.waits as f64 / self.requests.max(1) as f64
    }
}

/// Where a build of oakport tells its figures.
struct Told {
    operator: SocketAddr,
    _holder: Socket,
}

impl Told {
    /// The program, told to listen for operators, and the place.
    fn by(program: &Program, number: usize) -> std::io::Result<(Program, Told)> {
        let holder = reserve(address(Role::Proxy, number))?;
        let operator = bound_address(&holder)?;
        let mut program = program.clone();
        program.environment.push(("RELAY_OPERATOR".to_owned(), operator.to_string()));
        Ok((program, Told { operator, _holder: holder }))
    }

    /// Its counts so far. None: a build that does not count them.
    async fn counts(&self) -> Option<(u64, u64)> {
        let figures = process_stats::admin_report(self.operator).await.ok()?;
        let of = |name: &str| figures["connections"][name].as_u64();
        Some((of("opened")?, of("waits")?))
    }

    /// What these requests have cost since the counts were so.
    async fn since(&self, before: Option<(u64, u64)>, requests: u64) -> Option<Cost> {
        let ((opened, waits), (opened_before, waits_before)) = (self.counts().await?, before?);
        Some(Cost { requests, opened: opened - opened_before, waits: waits - waits_before })
    }
}

/// Asks by each way in turn, for so many rounds; `other` is a build to compare with.
///
/// # Errors
/// A party cannot be started, or does not answer.
pub async fn measure(
    oakport: &Program,
    other: Option<&Program>,
    forwarder: &Program,
    rounds: u64,
) -> Result<Vec<Vec<Sample>>, String> {
    let odd = |e: std::io::Error| format!("the rig's sockets: {e}");
    let day = Scenario::parse(DAY).map_err(|e| e.to_string())?;
    let shared = Arc::new(Shared::new(day, 1));
    let site = Site::start(&shared).await.map_err(odd)?;
    let server = site.machines()[0].address;
    let relay = Relay::start(server).map_err(odd)?;
    let mut ways = vec![(server, None, None), (relay.address(), None, None)];
    let mut seats = Vec::new();
    for (number, program) in [forwarder, oakport].into_iter().chain(other).enumerate() {
        let (program, told) = Told::by(program, number).map_err(odd)?;
        let seat = seated(&shared, &site, number, &program).await?;
        ways.push((seat.address, seat.pid(), Some(told)));
        seats.push(seat);
    }
    let next = Arc::new(AtomicUsize::new(0));
    let mut all = Vec::new();
    // The first round warms all up and is not kept.
    for round in 0..=rounds {
        let mut samples = Vec::new();
        for (address, pid, told) in &ways {
            let before = match told {
                Some(told) => told.counts().await,
                None => None,
            };
            let (mut sample, requests) = turn(&shared, *address, *pid, &next).await?;
            if let Some(told) = told {
                sample.cost = told.since(before, requests).await;
            }
            samples.push(sample);
            // What was seen is for the judge, whom nobody asks here.
            shared.close();
        }
        if round > 0 {
            all.push(samples);
        }
    }
    for seat in &mut seats {
        seat.end(Duration::ZERO).await;
    }
    Ok(all)
}

/// A process of a program, ready.
async fn seated(
    shared: &Arc<Shared>,
    site: &Site,
    number: usize,
    program: &Program,
) -> Result<ProxySupervisor, String> {
    let agent = &site.agents[0];
    let seat = ProxySupervisor::new(shared, agent, number, agent.address, false, None);
    let mut seat = seat.map_err(|e| format!("the rig's sockets: {e}"))?;
    seat.start(program)?;
    seat.ready().await?;
    Ok(seat)
}

/// What the connections cost calls that come by chance at a steady rate, as those of many clients do.
///
/// # Errors
/// A party cannot be started, does not answer, or does not tell its figures.
pub async fn measure_connections(oakport: &Program, rate: f64) -> Result<Cost, String> {
    let odd = |e: std::io::Error| format!("the rig's sockets: {e}");
    let mut day = Scenario::parse(DAY).map_err(|e| e.to_string())?;
    day.servers = STEADY_SERVERS;
    let shared = Arc::new(Shared::new(day, 1));
    let site = Site::start(&shared).await.map_err(odd)?;
    let (program, told) = Told::by(oakport, 0).map_err(odd)?;
    let mut seat = seated(&shared, &site, 0, &program).await?;
    let address = seat.address;
    let idle = Arc::new(Mutex::new(Vec::new()));
    let mut chance = random::stream(1, StreamId::Arrivals);
    let (mut due, mut calls, mut before) = (Instant::now(), JoinSet::new(), None);
    let (length, unseen) = STEADY;
    let (all, first) = ((rate * (length + unseen)) as usize, (rate * unseen) as usize);
    for number in 0..all {
        due += Duration::from_secs_f64(-(1.0 - chance.gen::<f64>()).ln() / rate);
        tokio::time::sleep_until(due).await;
        if number == first {
            before = told.counts().await;
        }
        let (idle, id) = (Arc::clone(&idle), Shared::id(number, 0));
        calls.spawn(async move {
            let free: Option<(Instant, _)> = idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
            let mut open = match free {
                Some((since, open)) if since.elapsed() < IDLE => open,
                _ => (TcpStream::connect(address).await?, BytesMut::new()),
            };
            ask(&mut open, &id).await?;
            idle.lock().unwrap_or_else(PoisonError::into_inner).push((Instant::now(), open));
            Ok::<(), std::io::Error>(())
        });
    }
    while let Some(done) = calls.join_next().await {
        done.map_err(|e| e.to_string())?.map_err(|e| format!("{address}: {e}"))?;
    }
    let cost = told.since(before, (all - first) as u64).await;
    seat.end(Duration::ZERO).await;
    cost.ok_or_else(|| format!("{}: it does not tell what connections cost", program.path.display()))
}

/// One turn of a way, and how many requests it took.
async fn turn(
    shared: &Shared,
    address: SocketAddr,
    pid: Option<u32>,
    next: &Arc<AtomicUsize>,
) -> Result<(Sample, u64), String> {
    let odd = |e: std::io::Error| format!("{address}: {e}");
    let requests = shared.arrivals.len();
    let id = {
        let next = Arc::clone(next);
        move || Shared::id(next.fetch_add(1, Ordering::Relaxed) % requests, 0)
    };
    let mut times = histogram();
    let mut open = (TcpStream::connect(address).await.map_err(odd)?, BytesMut::new());
    let mut beat = interval(BEAT);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for _ in 0..BEATS {
        beat.tick().await;
        let asked = Instant::now();
        ask(&mut open, &id()).await.map_err(odd)?;
        times.saturating_record((asked.elapsed().as_nanos() as u64).max(1));
    }
    let (before, begin) = (pid.map_or(0.0, cpu), Instant::now());
    let mut crowd = JoinSet::new();
    for _ in 0..CROWD {
        let id = id.clone();
        crowd.spawn(async move {
            let mut open = (TcpStream::connect(address).await?, BytesMut::new());
            let mut count = 0u64;
            while begin.elapsed() < BURST {
                ask(&mut open, &id()).await?;
                count += 1;
            }
            Ok::<u64, std::io::Error>(count)
        });
    }
    let mut count = 0;
    while let Some(done) = crowd.join_next().await {
        count += done.map_err(|e| e.to_string())?.map_err(odd)?;
    }
    let rate = count as f64 / begin.elapsed().as_secs_f64();
    let spent = pid.map_or(0.0, cpu) - before;
    sleep(BEAT).await;
    let sample = Sample {
        rate,
        per_core: if spent > 0.0 { count as f64 / spent } else { 0.0 },
        p50: times.value_at_quantile(0.5) as f64 / 1e3,
        p99: times.value_at_quantile(0.99) as f64 / 1e3,
        cost: None,
    };
    Ok((sample, BEATS as u64 + count))
}

/// One question and its answer, which must be 200.
async fn ask((stream, buffer): &mut (TcpStream, BytesMut), id: &str) -> std::io::Result<()> {
    // It only saves time.
    let _ = stream.set_nodelay(true);
    let text = format!(
        "GET /card-check HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Timeout: 3000000u\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await?;
    let answer = timeout(LONG, http::read(stream, buffer, Side::Answers)).await??;
    match answer.status() {
        200 => Ok(()),
        status => Err(std::io::Error::other(format!("answered {status}"))),
    }
}

/// Seconds of a core that a process has taken; 0 if it has ended.
pub(super) fn cpu(pid: u32) -> f64 {
    let ticks = sysconf(SysconfVar::CLK_TCK).ok().flatten().unwrap_or(100) as f64;
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let Some((_, rest)) = text.rsplit_once(')') else { return 0.0 };
    // Fields 14 and 15 of the whole line, of which two are before the bracket.
    let own = rest.split_whitespace().skip(11).take(2).filter_map(|field| field.parse::<f64>().ok());
    own.sum::<f64>() / ticks
}
