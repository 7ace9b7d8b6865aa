//! How soon changed settings are in force in each of many processes, and what operators can see of it.
//!
//! Each process has an application beside it that asks ten times a second all the while, and four servers
//! that answer at once. A change replaces the file of each process, as `docs/operations.md` says, and sends
//! SIGHUP; the time of a process begins as its own file is written.
//!
//! - No process tells which settings it has: `DUMP` counts files taken and turned down (`reconfig_ok`,
//!   `reconfig_failed`), and the log's `reloaded` names classes and attempts. So each version here has a
//!   class of its own, and is in force when a call of that class is served instead of answered 404. This is
//!   asked again after `pause_ms`, by which the times may be too long.
//! - `version_told` compares what `DUMP` tells before and after a change of one figure, but for what it
//!   counts: 1 if there is a difference, 0 if operators cannot see which of two settings is in force.
//! - `ten`: ten changes within a second; the time is that of the last. `taken_least` is how many of the ten
//!   some process read one by one: a signal that comes while another is waiting is one with it.
//! - `known_6300`: the file has a list of so many servers too, as the platform's may, which counts at a start
//!   only. Of one process: its processor time until the change is in force, and the longest call meanwhile.
//! - `wrong`: a file in which one deadline is 0; `wrong_100`: one with a hundred of them. What the log says
//!   of it is counted in lines and bytes, the most of all processes.

use super::point::{Bound, Figures, MeasureError, Point, RoleSpec};
use crate::cluster::http::{self, Side};
use crate::cluster::outside;
use crate::cluster::processes::Seat;
use crate::cluster::record::Shared;
use crate::cluster::site::Site;
use bytes::BytesMut;
use oakport_simulator::scenario::Scenario;
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, timeout, timeout_at, MissedTickBehavior};

/// The role.
pub const ROLE: RoleSpec = RoleSpec {
    name: "settings",
    size_unit: "processes",
    sizes: &[1, 60, 200],
    bounds: &[
        Bound { figure: "one.most_ms_in_force", max: IN_FORCE_MS, min_size: 0, is_enforced: false },
        Bound { figure: "ten.most_ms_in_force", max: IN_FORCE_MS, min_size: 0, is_enforced: false },
        Bound { figure: "memory_bytes", max: 64e6, min_size: 0, is_enforced: false },
        none("one.lost"),
        none("ten.lost"),
        none("known.lost"),
        none("wrong.in_force"),
        none("wrong.old_lost"),
        none("wrong.not_told"),
        none("wrong_100.in_force"),
        none("wrong_100.old_lost"),
        none("calls.failed"),
    ],
    measure: play,
};

/// The operators' budget.
const IN_FORCE_MS: f64 = 8_000.0;

const fn none(figure: &'static str) -> Bound {
    Bound { figure, max: 0.0, min_size: 0, is_enforced: true }
}

/// Processes that are started at a time.
const BATCH: usize = 20;
/// Memory and descriptors that a process is counted with, of which half of what there is may be used.
const MEMORY: u64 = 16 << 20;
const DESCRIPTORS: u64 = 24;
/// Between two calls of an application.
const BEAT: Duration = Duration::from_millis(100);
/// Between two calls of one who looks for the longest.
const CALM: Duration = Duration::from_millis(10);
/// No call takes so long.
const LONG: Duration = Duration::from_secs(2);
/// What is not in force by then is lost.
const LOST: Duration = Duration::from_secs(10);
/// Changes within a second.
const TEN: u64 = 10;
/// Files that are wrong, by the faults in them.
const WRONG: [(&str, usize); 2] = [("wrong", 1), ("wrong_100", 100)];
/// Servers in the list that a file may have beside the settings.
const KNOWN: [usize; 3] = [6, 1_000, 6_300];
/// The class that all settings have.
const CLASS: &str = "card-check";
/// What counts in a report of a process, and so differs without a change of settings.
const COUNTS: [&str; 6] =
    ["calls", "inflight", "backend_calls", "hosts_down", "reconfig_ok", "reconfig_failed"];

/// How much is played.
#[derive(Clone, Copy, Debug)]
pub struct Extent {
    /// Times that one change is made.
    pub changes: u64,
    /// After each of these, with nothing but calls.
    pub rest: Duration,
    /// Between two of ten changes.
    pub apart: Duration,
}

impl Extent {
    /// What the figures are taken of.
    pub const WHOLE: Extent =
        Extent { changes: 5, rest: Duration::from_millis(400), apart: Duration::from_millis(100) };
}

fn play(point: &Point) -> Result<Figures, MeasureError> {
    measure(point, Extent::WHOLE)
}

/// Plays one number of processes.
///
/// # Errors
/// See `Stopped`.
pub fn measure(point: &Point, extent: Extent) -> Result<Figures, MeasureError> {
    fits(point.size as u64)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(odd)?;
    let played = runtime.block_on(async { timeout_at(point.deadline.into(), played(point, extent)).await });
    played.unwrap_or_else(|_| Err(MeasureError::NotRun("its time was over".to_owned())))
}

fn odd(fault: impl std::fmt::Display) -> MeasureError {
    MeasureError::Failed(fault.to_string())
}

/// Whether this machine has room for so many processes.
fn fits(size: u64) -> Result<(), MeasureError> {
    let field = |path: &str, name: &str| {
        let text = std::fs::read_to_string(path).map_err(odd)?;
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        let figure = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        figure.ok_or_else(|| odd(format!("{path}: no {name}")))
    };
    let memory = field("/proc/meminfo", "MemAvailable:")? * 1_024;
    if size * MEMORY > memory / 2 {
        return Err(MeasureError::NotRun(format!(
            "{size} processes are too many for {memory} bytes of memory"
        )));
    }
    let descriptors = field("/proc/self/limits", "Max open files")?;
    if size * DESCRIPTORS > descriptors / 2 {
        return Err(MeasureError::NotRun(format!(
            "{size} processes are too many for {descriptors} descriptors"
        )));
    }
    Ok(())
}

/// A process and what is known of it.
struct Proxy {
    seat: Seat,
    operator: SocketAddr,
    /// Its file at the start.
    file: Value,
    log: PathBuf,
}

/// Settings that differ by more than their count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Settings {
    /// Those with a class of their own.
    Version(u64),
    /// The same, but for the time within which an answer is worth all.
    Objective(u64),
    /// Those with a class of their own, in a file that also has a list of so many servers.
    Known(u64, usize),
    /// What no process may take, with so many faults.
    Wrong(u64, usize),
}

impl Settings {
    /// The class that only they have.
    fn class(self) -> String {
        let (Settings::Version(version)
        | Settings::Objective(version)
        | Settings::Known(version, _)
        | Settings::Wrong(version, _)) = self;
        format!("version-{version}")
    }

    fn file(self, start: &Value) -> Value {
        let mut file = start.clone();
        let mut class = start["settings"]["classes"][0].clone();
        class["name"] = json!(self.class());
        match self {
            Settings::Version(_) => {}
            Settings::Known(_, servers) => {
                let server = |number: usize| {
                    json!({
                        "name": format!("s-{number:08x}"), "address": "127.0.0.1:1", "zone": "zone-01",
                        "type": "first", "group": 0, "status": "up", "weight": 1.0, "since_ms": 0,
                    })
                };
                let endpoints: Vec<Value> = (0..servers).map(server).collect();
                file["known"] = json!({ "index": 0, "snapshot": true, "endpoints": endpoints });
            }
            Settings::Objective(_) => class["objective_us"] = json!(750_000),
            Settings::Wrong(..) => class["deadline_us"] = json!(0),
        }
        let times = if let Settings::Wrong(_, faults) = self { faults } else { 1 };
        if let Some(classes) = file["settings"]["classes"].as_array_mut() {
            classes.extend(std::iter::repeat_n(class, times));
        }
        file
    }
}

impl Proxy {
    /// Replaces the file and sends the signal. The moment before.
    fn change(&self, settings: Settings) -> io::Result<Instant> {
        let begin = Instant::now();
        let (file, new) = (self.seat.file(), self.seat.file().with_extension("new"));
        std::fs::write(&new, settings.file(&self.file).to_string())?;
        std::fs::rename(&new, &file)?;
        self.seat.reload();
        Ok(begin)
    }

    async fn report(&self) -> Result<Value, MeasureError> {
        outside::dump(self.operator).await.map_err(odd)
    }

    async fn count(&self, figure: &str) -> Result<u64, MeasureError> {
        self.report().await?[figure].as_u64().ok_or_else(|| odd(format!("no {figure} in a report")))
    }
}

/// Ids of requests, in turn.
#[derive(Clone)]
struct Ids {
    shared: Arc<Shared>,
    next: Arc<AtomicUsize>,
}

impl Ids {
    fn next(&self) -> String {
        Shared::id(self.next.fetch_add(1, Ordering::Relaxed) % self.shared.arrivals.len(), 0)
    }
}

/// Someone who asks a process.
struct Client {
    address: SocketAddr,
    ids: Ids,
    open: Option<(TcpStream, BytesMut)>,
}

impl Client {
    fn new(address: SocketAddr, ids: &Ids) -> Self {
        Client { address, ids: ids.clone(), open: None }
    }

    /// The status of an answer to a call of this class.
    async fn ask(&mut self, class: &str) -> io::Result<u16> {
        // The end of a connection that rested may cross the call: once more, on a new one.
        if let Some(open) = self.open.take() {
            if let Ok(status) = self.exchange(open, class).await {
                return Ok(status);
            }
        }
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        self.exchange((stream, BytesMut::new()), class).await
    }

    async fn exchange(&mut self, mut open: (TcpStream, BytesMut), class: &str) -> io::Result<u16> {
        let id = self.ids.next();
        let text = format!(
            "GET /{class} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
             X-Timeout: {}m\r\n\r\n",
            LONG.as_millis()
        );
        open.0.write_all(text.as_bytes()).await?;
        let answer = http::read(&mut open.0, &mut open.1, Side::Answers).await?;
        let status = answer.status();
        if !answer.closes() {
            self.open = Some(open);
        }
        Ok(status)
    }
}

/// Calls of applications: all, and those that were not served.
#[derive(Default)]
struct Calls {
    asked: AtomicU64,
    failed: AtomicU64,
}

/// An application, for ever.
async fn application(mut client: Client, number: usize, of: usize, calls: Arc<Calls>) {
    // They do not ask as one.
    sleep(BEAT * number as u32 / of.max(1) as u32).await;
    let mut beat = interval(BEAT);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        beat.tick().await;
        let served = matches!(timeout(LONG, client.ask(CLASS)).await, Ok(Ok(200)));
        calls.asked.fetch_add(1, Ordering::Relaxed);
        calls.failed.fetch_add(u64::from(!served), Ordering::Relaxed);
    }
}

/// Asks until a call of this class is served: milliseconds since then. None: it is not.
async fn served(mut client: Client, class: String, since: Instant, pause: Duration) -> Option<f64> {
    while since.elapsed() < LOST {
        if let Ok(Ok(200)) = timeout(LONG, client.ask(&class)).await {
            return Some(since.elapsed().as_secs_f64() * 1e3);
        }
        sleep(pause).await;
    }
    None
}

/// Times of many processes until something was in force, and those where it never was.
#[derive(Default)]
struct Times {
    ms: Vec<f64>,
    lost: usize,
}

impl Times {
    fn tell(mut self, name: &str, figures: &mut Figures) {
        self.ms.sort_by(f64::total_cmp);
        let told =
            [("p50_ms_in_force", self.ms.get(self.ms.len() / 2)), ("most_ms_in_force", self.ms.last())];
        figures.extend(told.into_iter().filter_map(|(figure, ms)| Some((format!("{name}.{figure}"), *ms?))));
        figures.insert(format!("{name}.lost"), self.lost as f64);
    }
}

/// All processes.
struct Fleet {
    proxies: Vec<Proxy>,
    ids: Ids,
    pause: Duration,
    /// Where their logs are.
    _logs: TempDir,
    _site: Site,
}

impl Fleet {
    /// Starts them in batches, and waits until each takes calls.
    async fn start(point: &Point) -> Result<Self, MeasureError> {
        let day = format!(
            r#"
            purpose = "how soon settings are in force"
            length = "1s"
            balancers = {}
            servers = 4
            rate = 10000
            [server]
            cores = 64
            slots = 10000
            connections = 10000
            handshake = 0
            [network]
            within = 0
            [[class]]
            name = "{CLASS}"
            share = 1
            work = 1
            spread = "fixed"
            aim = "1s"
            deadline = "3s"
            idempotency = "free"
            "#,
            point.size
        );
        let shared = Arc::new(Shared::new(Scenario::parse(&day).map_err(odd)?, point.seed));
        let site = Site::start(&shared).await.map_err(odd)?;
        let logs = tempfile::Builder::new().prefix("oakport-scale-").tempdir().map_err(odd)?;
        let mut proxies = Vec::new();
        while proxies.len() < point.size {
            let mut batch = Vec::new();
            for number in proxies.len()..(proxies.len() + BATCH).min(point.size) {
                let (agent, logs) = (&site.agents[number], logs.path());
                let mut seat =
                    Seat::new(&shared, agent, number, agent.address, false, Some(logs)).map_err(odd)?;
                let operator = seat.operated().map_err(odd)?;
                seat.start(&point.program).map_err(odd)?;
                let text = std::fs::read_to_string(seat.file()).map_err(odd)?;
                let file = serde_json::from_str(&text).map_err(odd)?;
                batch.push(Proxy { seat, operator, file, log: logs.join(format!("n{number}-1.log")) });
            }
            for proxy in &mut batch {
                proxy.seat.ready().await.map_err(odd)?;
            }
            proxies.append(&mut batch);
        }
        // Who asks so many without a pause would measure himself.
        let pause = Duration::from_millis((point.size as u64 / 10).max(1));
        let ids = Ids { shared, next: Arc::default() };
        Ok(Fleet { proxies, ids, pause, _logs: logs, _site: site })
    }

    fn change(&self, settings: Settings) -> Result<Vec<Instant>, MeasureError> {
        self.proxies.iter().map(|proxy| proxy.change(settings).map_err(odd)).collect()
    }

    /// Waits until the settings that were changed to are in force, in each process since its own moment.
    async fn in_force(&self, settings: Settings, since: &[Instant], times: &mut Times) {
        let mut probes = JoinSet::new();
        for (proxy, since) in self.proxies.iter().zip(since) {
            let client = Client::new(proxy.seat.address, &self.ids);
            probes.spawn(served(client, settings.class(), *since, self.pause));
        }
        while let Some(probed) = probes.join_next().await {
            match probed {
                Ok(Some(ms)) => times.ms.push(ms),
                _ => times.lost += 1,
            }
        }
    }

    /// What a change costs one process in processor time, and how long the longest call takes meanwhile.
    async fn cost(&self, proxy: &Proxy, settings: Settings) -> Result<[f64; 2], MeasureError> {
        let spent = || outside::cpu_s(proxy.seat.pid().unwrap_or(0)).map_err(odd);
        let mut client = Client::new(proxy.seat.address, &self.ids);
        client.ask(CLASS).await.map_err(odd)?;
        sleep(CALM).await;
        let before = spent()?;
        let (begin, mut longest) = (proxy.change(settings).map_err(odd)?, Duration::ZERO);
        while begin.elapsed() < LOST {
            let asked = Instant::now();
            client.ask(CLASS).await.map_err(odd)?;
            longest = longest.max(asked.elapsed());
            if client.ask(&settings.class()).await.map_err(odd)? == 200 {
                return Ok([spent()? - before, longest.as_secs_f64() * 1e3]);
            }
            // Calls without a pause between them wait some 10 ms in oakport, changes or none.
            sleep(CALM).await;
        }
        Err(odd(format!("{settings:?} were not in force within {LOST:?}")))
    }

    /// What processes tell operators of their settings, without what they count.
    async fn told(&self) -> Result<Vec<Value>, MeasureError> {
        let mut all = Vec::new();
        for proxy in &self.proxies {
            let mut report = proxy.report().await?;
            if let Some(figures) = report.as_object_mut() {
                COUNTS.iter().for_each(|count| _ = figures.remove(*count));
            }
            all.push(report);
        }
        Ok(all)
    }

    /// Processes that serve a call of these settings' class.
    async fn serving(&self, settings: Settings) -> usize {
        let mut probes = JoinSet::new();
        for proxy in &self.proxies {
            let mut client = Client::new(proxy.seat.address, &self.ids);
            probes.spawn(async move { timeout(LONG, client.ask(&settings.class())).await });
        }
        probes.join_all().await.iter().filter(|probed| matches!(probed, Ok(Ok(200)))).count()
    }

    /// Waits until each process has turned so many files down: those that have not by then.
    async fn turned_down(&self, files: u64) -> Result<usize, MeasureError> {
        let (begin, mut not) = (Instant::now(), 0);
        for proxy in &self.proxies {
            while proxy.count("reconfig_failed").await? < files {
                if begin.elapsed() > LOST {
                    not += 1;
                    break;
                }
                sleep(self.pause).await;
            }
        }
        Ok(not)
    }

    /// The lengths of all logs.
    fn logged(&self) -> Result<Vec<usize>, MeasureError> {
        let length = |proxy: &Proxy| Ok(std::fs::metadata(&proxy.log).map_err(odd)?.len() as usize);
        self.proxies.iter().map(length).collect()
    }

    /// Lines and bytes that were added to logs for a file turned down, the most of all.
    fn told_wrong(&self, before: &[usize]) -> Result<[usize; 2], MeasureError> {
        let (mut lines, mut bytes) = (0, 0);
        for (proxy, before) in self.proxies.iter().zip(before) {
            let text = std::fs::read(&proxy.log).map_err(odd)?;
            let since = String::from_utf8_lossy(text.get(*before..).unwrap_or_default()).into_owned();
            // A fault that went on over lines of its own would count; other events do not.
            let other = |line: &&str| line.contains(" INFO ") || line.contains(" WARN ");
            let told: Vec<&str> = since.lines().filter(|line| !other(line)).collect();
            lines = lines.max(told.len());
            bytes = bytes.max(told.iter().map(|line| line.len()).sum());
        }
        Ok([lines, bytes])
    }
}

async fn played(point: &Point, extent: Extent) -> Result<Figures, MeasureError> {
    let mut fleet = Fleet::start(point).await?;
    let (size, mut figures) = (fleet.proxies.len(), Figures::new());
    let (mut applications, calls) = (JoinSet::new(), Arc::<Calls>::default());
    for (number, proxy) in fleet.proxies.iter().enumerate() {
        let client = Client::new(proxy.seat.address, &fleet.ids);
        applications.spawn(application(client, number, size, Arc::clone(&calls)));
    }

    let mut version = 0;
    let mut times = Times::default();
    for _ in 0..extent.changes {
        version += 1;
        let settings = Settings::Version(version);
        let since = fleet.change(settings)?;
        fleet.in_force(settings, &since, &mut times).await;
        sleep(extent.rest).await;
    }
    times.tell("one", &mut figures);

    // The class stays, so that only a figure differs.
    let before = fleet.told().await?;
    let settings = Settings::Objective(version);
    let mut taken = Vec::new();
    for proxy in &fleet.proxies {
        taken.push(proxy.count("reconfig_ok").await? + 1);
    }
    fleet.change(settings)?;
    for (proxy, taken) in fleet.proxies.iter().zip(&taken) {
        let begin = Instant::now();
        while proxy.count("reconfig_ok").await? < *taken && begin.elapsed() < LOST {
            sleep(fleet.pause).await;
        }
    }
    figures.insert("version_told".to_owned(), f64::from(u8::from(fleet.told().await? != before)));

    let (mut times, mut since, mut settings) = (Times::default(), Vec::new(), settings);
    let mut beat = interval(extent.apart);
    for _ in 0..TEN {
        beat.tick().await;
        version += 1;
        settings = Settings::Version(version);
        since = fleet.change(settings)?;
    }
    fleet.in_force(settings, &since, &mut times).await;
    times.tell("ten", &mut figures);
    let mut least = TEN;
    for (proxy, taken) in fleet.proxies.iter().zip(&taken) {
        least = least.min(proxy.count("reconfig_ok").await?.saturating_sub(*taken));
    }
    figures.insert("ten.taken_least".to_owned(), least as f64);

    for servers in KNOWN {
        let (mut cpu_s, mut longest) = (0.0, 0.0_f64);
        for _ in 0..extent.changes {
            version += 1;
            let [spent, call] = fleet.cost(&fleet.proxies[0], Settings::Known(version, servers)).await?;
            cpu_s += spent / extent.changes as f64;
            longest = longest.max(call);
        }
        figures.insert(format!("known_{servers}.cpu_s"), cpu_s);
        figures.insert(format!("known_{servers}.longest_call_ms"), longest);
    }
    // All have the same settings again.
    version += 1;
    settings = Settings::Version(version);
    since = fleet.change(settings)?;
    let mut times = Times::default();
    fleet.in_force(settings, &since, &mut times).await;
    figures.insert("known.lost".to_owned(), times.lost as f64);

    for ((name, faults), files) in WRONG.into_iter().zip(1..) {
        version += 1;
        let wrong = Settings::Wrong(version, faults);
        let before = fleet.logged()?;
        fleet.change(wrong)?;
        let not_told = fleet.turned_down(files).await?;
        let (in_force, old_lost) = (fleet.serving(wrong).await, size - fleet.serving(settings).await);
        let [lines, bytes] = fleet.told_wrong(&before)?;
        let counted = [("not_told", not_told), ("in_force", in_force), ("old_lost", old_lost)];
        let logged = [("log_lines", lines), ("log_bytes", bytes)];
        let all = counted.into_iter().chain(logged);
        figures.extend(all.map(|(figure, n)| (format!("{name}.{figure}"), n as f64)));
    }

    applications.shutdown().await;
    let memory = fleet.proxies.iter().filter_map(|proxy| outside::memory(proxy.seat.pid()?).ok());
    figures.insert("memory_bytes".to_owned(), memory.map(|memory| memory.most).max().unwrap_or(0) as f64);
    figures.insert("calls.asked".to_owned(), calls.asked.load(Ordering::Relaxed) as f64);
    figures.insert("calls.failed".to_owned(), calls.failed.load(Ordering::Relaxed) as f64);
    figures.insert("pause_ms".to_owned(), fleet.pause.as_secs_f64() * 1e3);
    for proxy in &mut fleet.proxies {
        proxy.seat.end(Duration::ZERO).await;
    }
    Ok(figures)
}
