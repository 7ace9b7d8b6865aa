//! A chain of calls: each hop is a proxy and a service behind it, whose servers call on into the next hop
//! before they answer. The same calls go the same way without the proxies, between the others.

use super::discovery::{Agent, Member};
use super::hops::cpu;
use super::http::{self, Message, Side};
use super::listener::{address, Role};
use super::processes::{Program, ProxySupervisor};
use super::record::{histogram, Shared, TOO_LATE};
use super::servers::{author, body, name};
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

/// Servers of each service: as many as the operators' fleet has for each of its services.
pub const SERVERS: usize = 6;
/// Longest wait of a client for its answer.
const DEADLINE: Duration = Duration::from_secs(3);
/// An answer that is later than its deadline by less than this is waited for.
const SLACK: Duration = Duration::from_millis(50);
/// A call without proxies begins so long after its like with them, when the servers of that are known.
const LAG: Micros = 500_000;
/// Before the first call of a pace, so that the thread that keeps the time stands.
const LEAD: Duration = Duration::from_millis(5);
/// Opens connections, and is not kept.
const WARM_UP: LoadStep = LoadStep { rate: 100.0, duration: 500_000 };
/// What the proxies are told of the site. Calls may not run twice, so that each is to pass each hop once. Six
/// callers of a service are those of 6,300 processes that call one of 1,000 services each.
const DAY: &str = r#"
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

/// How calls come from one service to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallPath {
    /// By a proxy, which chooses the server.
    Proxies,
    /// Straight to the server that the proxy had chosen for its like.
    Direct,
}

/// So many calls a second, for so long, each way.
#[derive(Clone, Copy, Debug)]
pub struct LoadStep {
    /// Calls a second.
    pub rate: f64,
    /// How long.
    pub duration: Micros,
}

impl LoadStep {
    /// How long it takes with both ways.
    pub fn total_duration(&self) -> Duration {
        Duration::from_micros(self.duration + LAG)
    }
}

/// What became of the calls of one way.
#[derive(Clone, Debug)]
pub struct PathResult {
    /// Calls.
    pub sent: usize,
    /// Those that came back with the answer that a server of the first service made for them.
    pub answered: usize,
    /// From the moment at which a call was to be sent until its answer was whole, in microseconds.
    pub latencies: Histogram<u64>,
    /// Arrivals at servers, over all hops.
    pub arrivals: usize,
    /// Hops at which a call has arrived exactly once, over all calls.
    pub arrived_once: usize,
}

/// What a pace gave.
#[derive(Clone, Debug)]
pub struct StepResult {
    /// With the proxies.
    pub proxies: PathResult,
    /// Without.
    pub direct: PathResult,
    /// Share of a core that a proxy's process took, as the mean of all.
    pub cpu_share: f64,
    /// How much later than planned calls were sent, in microseconds.
    pub late: Histogram<u64>,
}

impl StepResult {
    /// The rig itself was too late to tell what is late, or failed for that, as in a day of the fleet.
    pub fn is_load_generator_late(&self) -> bool {
        self.late.value_at_quantile(0.99) > TOO_LATE
    }
}

/// What a chain gave.
#[derive(Clone, Debug)]
pub struct ChainResult {
    /// For each pace.
    pub outcomes: Vec<StepResult>,
    /// Memory of a proxy's process in the end, as the mean of all.
    pub memory_bytes: f64,
    /// The proxies' processes, which have ended.
    pub processes: Vec<u32>,
}

/// A call at one hop; each has an id of its own on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Id {
    pace: u8,
    way: CallPath,
    call: u32,
    hop: u8,
}

impl Id {
    fn text(self) -> String {
        format!("{:02x}{:02x}{:08x}{:02x}", self.pace, self.way as u8, self.call, self.hop)
    }

    fn read(text: &str) -> Option<Self> {
        let part = |from, to| u32::from_str_radix(text.get(from..to)?, 16).ok();
        let way = match part(2, 4)? {
            0 => CallPath::Proxies,
            1 => CallPath::Direct,
            _ => return None,
        };
        let id = Id { pace: part(0, 2)? as u8, way, call: part(4, 12)?, hop: part(12, 14)? as u8 };
        (id.text() == text).then_some(id)
    }
}

/// An open connection, and what has been read of it.
type Open = (TcpStream, BytesMut);

/// Calls an address, as the application beside a proxy does (PROTOCOL, "The application to its client
/// proxy").
struct Caller {
    address: SocketAddr,
    resting: Mutex<Vec<Open>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // What is kept is whole after each step, so that another's panic spoils nothing.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Caller {
    fn new(address: SocketAddr) -> Self {
        Caller { address, resting: Mutex::default() }
    }

    /// A connection that rests and has not been closed meanwhile.
    fn rested(&self) -> Option<Open> {
        loop {
            let (stream, mut buffer) = lock(&self.resting).pop()?;
            if stream.try_read_buf(&mut buffer).is_err_and(|e| e.kind() == ErrorKind::WouldBlock) {
                return Some((stream, buffer));
            }
        }
    }

    async fn ask(&self, text: &str) -> std::io::Result<Message> {
        if let Some(open) = self.rested() {
            match self.exchange(open, text).await {
                // Its end may have crossed the request: once more, on a new connection.
                Err(e) if e.kind() != ErrorKind::InvalidData => {}
                done => return done,
            }
        }
        let stream = TcpStream::connect(self.address).await?;
        // It only saves time.
        let _ = stream.set_nodelay(true);
        self.exchange((stream, BytesMut::new()), text).await
    }

    async fn exchange(&self, (mut stream, mut buffer): Open, text: &str) -> std::io::Result<Message> {
        stream.write_all(text.as_bytes()).await?;
        let answer = http::read(&mut stream, &mut buffer, Side::Answers).await?;
        if buffer.is_empty() && !answer.closes() {
            lock(&self.resting).push((stream, buffer));
        }
        Ok(answer)
    }
}

/// The services of the chain, and what arrived there.
struct Chain {
    hops: Vec<Hop>,
    /// The servers that each call came to at each hop, by their place in the service.
    arrivals: Mutex<BTreeMap<Id, Vec<usize>>>,
    /// A server closes a connection that has been idle for this long.
    idle: Duration,
}

/// Who can be called at a hop.
struct Hop {
    proxy: Caller,
    servers: Vec<Caller>,
}

impl Chain {
    /// Calls into a hop. True if an answer came that one of its servers made for this call.
    async fn call(&self, id: Id, left: Duration) -> bool {
        let Some(hop) = self.hops.get(usize::from(id.hop)) else { return false };
        let caller = match id.way {
            CallPath::Proxies => &hop.proxy,
            CallPath::Direct => &hop.servers[self.chosen(id)],
        };
        let (named, time) = (id.text(), left.as_micros());
        let text = format!(
            "POST /checkout HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {named}\r\n\
             X-Timeout: {time}u\r\nContent-Length: 1\r\n\r\n1"
        );
        let Ok(Ok(answer)) = timeout(left + SLACK, caller.ask(&text)).await else { return false };
        let server = author(&answer.body, &named, None).filter(|_| answer.status() == 200);
        server.is_some_and(|server| server / SERVERS == usize::from(id.hop))
    }

    /// The server that the proxy had chosen for the like of this call; another if it had come to none.
    fn chosen(&self, id: Id) -> usize {
        let arrivals = lock(&self.arrivals);
        let like = arrivals.get(&Id { way: CallPath::Proxies, ..id });
        like.and_then(|servers| servers.last()).copied().unwrap_or(id.call as usize % SERVERS)
    }

    async fn accept(self: Arc<Self>, listener: TcpListener, hop: usize, server: usize) {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&self).serve(stream, hop, server));
            }
        }
    }

    /// One connection of a server, until it ends.
    async fn serve(self: Arc<Self>, mut stream: TcpStream, hop: usize, server: usize) {
        // It only saves time.
        let _ = stream.set_nodelay(true);
        let mut buffer = BytesMut::new();
        while matches!(timeout(self.idle, http::begun(&mut stream, &mut buffer)).await, Ok(Ok(true))) {
            let Ok(message) = http::read(&mut stream, &mut buffer, Side::Asks).await else { return };
            let text = match message.header("x-request-id").map(Id::read) {
                None => http::answer(404, "", ""),
                Some(id) => match id.filter(|id| usize::from(id.hop) == hop) {
                    None => http::answer(400, "", ""),
                    Some(id) => {
                        lock(&self.arrivals).entry(id).or_default().push(server);
                        let left = message.header("x-timeout").and_then(time_left).unwrap_or(DEADLINE);
                        let called = tokio::select! {
                            called = self.call_on(id, left) => called,
                            // Whoever called has given up, and with it all behind.
                            () = http::closed(&stream) => return,
                        };
                        match called {
                            true => {
                                http::answer(200, "", &body(&name(hop * SERVERS + server), &id.text(), None))
                            }
                            false => http::answer(500, "", ""),
                        }
                    }
                },
            };
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// What a server does for a call: it needs the next hop's answer, at the last hop nothing.
    async fn call_on(&self, id: Id, left: Duration) -> bool {
        usize::from(id.hop) + 1 == self.hops.len() || self.call(Id { hop: id.hop + 1, ..id }, left).await
    }

    /// What became of the calls of a pace by one way.
    fn trip(&self, pace: u8, way: CallPath, asked: usize, times: Histogram<u64>) -> PathResult {
        let arrivals = lock(&self.arrivals);
        let own = arrivals.iter().filter(|(id, _)| (id.pace, id.way) == (pace, way));
        let mut trip = PathResult {
            sent: asked,
            answered: times.len() as usize,
            latencies: times,
            arrivals: 0,
            arrived_once: 0,
        };
        for (_, servers) in own {
            trip.arrivals += servers.len();
            trip.arrived_once += usize::from(servers.len() == 1);
        }
        trip
    }
}

/// A time as `X-Timeout` has it.
fn time_left(text: &str) -> Option<Duration> {
    let figure = |unit| text.strip_suffix(unit)?.parse().ok();
    figure('m').map(Duration::from_millis).or_else(|| figure('u').map(Duration::from_micros))
}

/// Plays a chain of so many hops at each pace in turn.
///
/// # Errors
/// A party cannot be started.
pub async fn run(
    program: &Program,
    hops: usize,
    paces: &[LoadStep],
    seed: u64,
) -> Result<ChainResult, String> {
    let odd = |e: std::io::Error| format!("the rig's sockets: {e}");
    let day = Scenario::parse(DAY).map_err(|e| e.to_string())?;
    let shared = Arc::new(Shared::new(day, seed));
    let (mut parties, mut seats, mut listeners) = (Vec::new(), Vec::new(), Vec::new());
    for hop in 0..hops {
        let agent = Agent::start(&shared, hop).await.map_err(odd)?;
        let mut servers = Vec::new();
        for number in hop * SERVERS..(hop + 1) * SERVERS {
            let listener = TcpListener::bind(address(Role::Server, number)).await.map_err(odd)?;
            let address = listener.local_addr().map_err(odd)?;
            let zone = shared.day.zones[0].clone();
            let member = Member {
                state: EndpointState::Ready,
                address,
                zone,
                release: "first".to_owned(),
                started: 0,
            };
            agent.update(number, member);
            servers.push(Caller::new(address));
            listeners.push((listener, hop, number % SERVERS));
        }
        let mut seat = ProxySupervisor::new(&shared, &agent, hop, agent.address, false, None).map_err(odd)?;
        seat.start(program)?;
        parties.push(Hop { proxy: Caller::new(seat.address), servers });
        seats.push(seat);
    }
    let idle = Duration::from_micros(shared.day.server.idle_timeout);
    let chain = Arc::new(Chain { hops: parties, arrivals: Mutex::default(), idle });
    let mut accepting = JoinSet::new();
    for (listener, hop, server) in listeners {
        accepting.spawn(Arc::clone(&chain).accept(listener, hop, server));
    }
    for seat in &mut seats {
        seat.ready().await?;
    }
    let processes: Vec<u32> = seats.iter().filter_map(ProxySupervisor::pid).collect();
    let mean = |figure: fn(u32) -> f64| {
        processes.iter().map(|pid| figure(*pid)).sum::<f64>() / processes.len().max(1) as f64
    };
    let mut outcomes = Vec::new();
    for (number, pace) in (0..).zip([WARM_UP].iter().chain(paces)) {
        let moments = moments(&shared.day, seed, pace);
        let (before, begin) = (mean(cpu), Instant::now());
        let (ways, late) = ask(&chain, number, moments).await;
        let cpu_share = (mean(cpu) - before) / begin.elapsed().as_secs_f64();
        let [proxies, direct] = ways.map(|(way, asked, times)| chain.trip(number, way, asked, times));
        outcomes.push(StepResult { proxies, direct, cpu_share, late });
    }
    outcomes.remove(0);
    let memory_bytes = mean(memory);
    for seat in &mut seats {
        seat.end(Duration::ZERO).await;
    }
    Ok(ChainResult { outcomes, memory_bytes, processes })
}

/// A moment, and the call that is to be sent then.
type Moment = (Duration, CallPath, u32);

/// When calls are to be sent, in order. Both ways take turns: what else the machine does meets them alike.
fn moments(day: &Scenario, seed: u64, pace: &LoadStep) -> Vec<Moment> {
    let day = Scenario { rate: pace.rate, duration: pace.duration, ..day.clone() };
    let mut moments = Vec::new();
    for (call, arrival) in (0..).zip(Arrivals::generate_all(&day, seed)) {
        moments.push((Duration::from_micros(arrival.at), CallPath::Proxies, call));
        moments.push((Duration::from_micros(arrival.at + LAG), CallPath::Direct, call));
    }
    moments.sort_unstable();
    moments
}

/// What was sent by a way, and the times of what was answered.
type Sent = (CallPath, usize, Histogram<u64>);

/// Sends calls at their moments, whatever has become of the earlier ones; and tells by how much the moments
/// were missed.
async fn ask(chain: &Arc<Chain>, pace: u8, moments: Vec<Moment>) -> ([Sent; 2], Histogram<u64>) {
    let begin = Instant::now() + LEAD;
    let (sender, mut due) = mpsc::unbounded_channel();
    // The runtime's timers know whole milliseconds only, a thread's sleep does better.
    std::thread::spawn(move || {
        for (after, way, call) in moments {
            let planned = begin + after;
            std::thread::sleep(planned.saturating_duration_since(Instant::now()));
            if sender.send((planned, way, call)).is_err() {
                return;
            }
        }
    });
    let micros = |span: Duration| (span.as_micros() as u64).max(1);
    let (mut ways, mut late) =
        ([CallPath::Proxies, CallPath::Direct].map(|way| (way, 0, histogram())), histogram());
    let mut calls = JoinSet::new();
    while let Some((planned, way, call)) = due.recv().await {
        late.saturating_record(micros(planned.elapsed()));
        ways[way as usize].1 += 1;
        let chain = Arc::clone(chain);
        calls.spawn(async move {
            let answered = chain.call(Id { pace, way, call, hop: 0 }, DEADLINE).await;
            answered.then(|| (way, planned.elapsed()))
        });
    }
    while let Some(done) = calls.join_next().await {
        if let Ok(Some((way, took))) = done {
            ways[way as usize].2.saturating_record(micros(took));
        }
    }
    (ways, late)
}

/// Bytes of memory that a process holds, those that it shares with others included; 0 if it has ended.
fn memory(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) * 1_024.0
}
