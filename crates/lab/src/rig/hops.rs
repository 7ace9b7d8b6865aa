//! What a hop costs: the same requests to the same servers by several ways, in turn.

use super::http::{self, Side};
use super::links::Relay;
use super::processes::{Program, Seat};
use super::record::{histogram, Shared};
use super::site::Site;
use bytes::BytesMut;
use nix::unistd::{sysconf, SysconfVar};
use oakport_model::scenario::Scenario;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
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
pub enum Way {
    /// Straight to one server.
    Direct,
    /// By a relay of the rig, without a fault.
    Relay,
    /// By the lab's forwarder.
    Forwarder,
    /// By oakport.
    Oakport,
}

impl Way {
    /// All, in their order.
    pub const ALL: [Way; 4] = [Way::Direct, Way::Relay, Way::Forwarder, Way::Oakport];

    /// For people.
    pub fn name(self) -> &'static str {
        match self {
            Way::Direct => "direct",
            Way::Relay => "relay",
            Way::Forwarder => "forwarder",
            Way::Oakport => "oakport",
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
}

/// Asks by each way in turn, for so many rounds.
///
/// # Errors
/// A party cannot be started, or does not answer.
pub async fn measure(
    oakport: &Program,
    forwarder: &Program,
    rounds: u64,
) -> Result<Vec<[Sample; 4]>, String> {
    let odd = |e: std::io::Error| format!("the rig's sockets: {e}");
    let day = Scenario::parse(DAY).map_err(|e| e.to_string())?;
    let shared = Arc::new(Shared::new(day, 1));
    let site = Site::start(&shared).await.map_err(odd)?;
    let server = site.machines()[0].address;
    let relay = Relay::start(server).map_err(odd)?;
    let mut seats = Vec::new();
    for (number, program) in [forwarder, oakport].into_iter().enumerate() {
        let agent = &site.agents[0];
        let mut seat = Seat::new(&shared, agent, number, agent.address, false, None).map_err(odd)?;
        seat.start(program)?;
        seat.ready().await?;
        seats.push(seat);
    }
    let ways = [
        (server, None),
        (relay.address(), None),
        (seats[0].address, seats[0].pid()),
        (seats[1].address, seats[1].pid()),
    ];
    let next = Arc::new(AtomicUsize::new(0));
    let mut all = Vec::new();
    // The first round warms all up and is not kept.
    for round in 0..=rounds {
        let mut samples = [Sample::default(); 4];
        for (sample, (address, pid)) in samples.iter_mut().zip(ways) {
            *sample = turn(&shared, address, pid, &next).await?;
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

async fn turn(
    shared: &Shared,
    address: SocketAddr,
    pid: Option<u32>,
    next: &Arc<AtomicUsize>,
) -> Result<Sample, String> {
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
    Ok(Sample {
        rate,
        per_core: if spent > 0.0 { count as f64 / spent } else { 0.0 },
        p50: times.value_at_quantile(0.5) as f64 / 1e3,
        p99: times.value_at_quantile(0.99) as f64 / 1e3,
    })
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
