//! Role `settings`: how soon changed settings are in force in each of many processes, and what operators can
//! see of it.
//!
//! Each process serves an application that sends ten calls a second throughout, and calls four servers that
//! answer at once. A change replaces the settings file of each process, as `docs/operations.md` describes,
//! and sends SIGHUP; the time of a process starts when its own file is written.
//!
//! - No process reports which settings are in force: `DUMP` counts accepted and rejected files
//!   (`reconfig_ok`, `reconfig_failed`), and the log line `reloaded` names classes and attempts. So each
//!   version here has a class of its own, and is in force once a call of that class is served instead of
//!   answered with 404. Such calls are repeated every `pause_ms`, so times may be too long by that much.
//! - `version_told` compares `DUMP`, without its counters, before and after a change of one value: 1 if they
//!   differ, 0 if operators cannot see which of the two settings is in force.
//! - `ten`: ten changes within a second; the time is that of the last one. `taken_least` is the lowest number
//!   of the ten that any process read: a signal that arrives while another is pending is merged with it.
//! - `known_6300`: the file also contains a list of this many servers, as the platform's may, which is only
//!   used at a start. Measured on one process: its processor time until the change is in force, and the
//!   longest call meanwhile.
//! - `wrong`: a file in which one deadline is 0; `wrong_100`: a file with a hundred of them. The log output
//!   about it is counted in lines and bytes, the maximum over all processes.

use super::point::{Bound, Figures, MeasureError, Point, RoleSpec};
use crate::cluster::http::{self, MessageKind};
use crate::cluster::process_stats;
use crate::cluster::processes::ProxySupervisor;
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

/// How the role is measured.
pub const ROLE: RoleSpec = RoleSpec {
    name: "settings",
    size_unit: "processes",
    sizes: &[1, 60, 200],
    bounds: &[
        Bound { figure: "one.most_ms_in_force", max: IN_FORCE_MS, min_size: 0, is_enforced: false },
        Bound { figure: "ten.most_ms_in_force", max: IN_FORCE_MS, min_size: 0, is_enforced: false },
        Bound { figure: "memory_bytes", max: 64e6, min_size: 0, is_enforced: false },
        expected_zero("one.lost"),
        expected_zero("ten.lost"),
        expected_zero("known.lost"),
        expected_zero("wrong.in_force"),
        expected_zero("wrong.old_lost"),
        expected_zero("wrong.not_told"),
        expected_zero("wrong_100.in_force"),
        expected_zero("wrong_100.old_lost"),
        expected_zero("calls.failed"),
    ],
    measure: measure_fully,
};

/// The operators' budget for a change of settings.
const IN_FORCE_MS: f64 = 8_000.0;

const fn expected_zero(figure: &'static str) -> Bound {
    Bound { figure, max: 0.0, min_size: 0, is_enforced: true }
}

/// Processes that are started concurrently.
const START_BATCH: usize = 20;
/// Memory and file descriptors assumed for each process; at most half of those available are used.
const PROCESS_MEMORY_BYTES: u64 = 16 << 20;
const PROCESS_DESCRIPTORS: u64 = 24;
/// Interval between two calls of an application.
const CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between two calls of the client that measures the longest call.
const PROBE_PAUSE: Duration = Duration::from_millis(10);
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// A change that is not in force after this time counts as lost.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Number of changes in quick succession.
const RAPID_CHANGES: u64 = 10;
/// Invalid files: name, and number of faults.
const INVALID_FILES: [(&str, usize); 2] = [("wrong", 1), ("wrong_100", 100)];
/// Sizes of the server list that a file may contain in addition to the settings.
const LIST_SIZES: [usize; 3] = [6, 1_000, 6_300];
/// The class that all versions of the settings have.
const CLASS: &str = "card-check";
/// Counters in the report of a process, which change without a change of settings.
const REPORT_COUNTERS: [&str; 6] =
    ["calls", "inflight", "backend_calls", "hosts_down", "reconfig_ok", "reconfig_failed"];

/// How much is measured.
#[derive(Clone, Copy, Debug)]
pub struct Extent {
    /// Number of single changes.
    pub changes: u64,
    /// Pause after each of them, with calls only.
    pub pause: Duration,
    /// Interval between two of the ten rapid changes.
    pub interval: Duration,
}

impl Extent {
    /// The extent of a full measurement.
    pub const FULL: Extent =
        Extent { changes: 5, pause: Duration::from_millis(400), interval: Duration::from_millis(100) };
}

fn measure_fully(point: &Point) -> Result<Figures, MeasureError> {
    measure(point, Extent::FULL)
}

/// Measures one number of processes.
///
/// # Errors
/// See `MeasureError`.
pub fn measure(point: &Point, extent: Extent) -> Result<Figures, MeasureError> {
    check_resources(point.size as u64)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(failed)?;
    let result =
        runtime.block_on(async { timeout_at(point.deadline.into(), measure_fleet(point, extent)).await });
    result.unwrap_or_else(|_| Err(MeasureError::NotRun("the time limit was reached".to_owned())))
}

fn failed(error: impl std::fmt::Display) -> MeasureError {
    MeasureError::Failed(error.to_string())
}

/// Returns an error if this machine does not have the memory or descriptors for this many processes.
fn check_resources(size: u64) -> Result<(), MeasureError> {
    let field = |path: &str, name: &str| {
        let text = std::fs::read_to_string(path).map_err(failed)?;
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        let figure = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        figure.ok_or_else(|| failed(format!("{path}: field {name} is missing")))
    };
    let memory = field("/proc/meminfo", "MemAvailable:")? * 1_024;
    if size * PROCESS_MEMORY_BYTES > memory / 2 {
        return Err(MeasureError::NotRun(format!(
            "{size} processes need more than half of {memory} bytes of available memory"
        )));
    }
    let descriptors = field("/proc/self/limits", "Max open files")?;
    if size * PROCESS_DESCRIPTORS > descriptors / 2 {
        return Err(MeasureError::NotRun(format!(
            "{size} processes need more than half of {descriptors} file descriptors"
        )));
    }
    Ok(())
}

/// A client proxy under test, with its files.
struct Proxy {
    supervisor: ProxySupervisor,
    admin: SocketAddr,
    /// Contents of the proxy's settings file at the start.
    file: Value,
    log: PathBuf,
}

/// The kinds of settings files; the first value is the version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Settings {
    /// Valid settings with a class of their own.
    Version(u64),
    /// As `Version`, with another latency objective.
    Objective(u64),
    /// As `Version`, in a file that also contains a list of this many servers.
    WithList(u64, usize),
    /// Invalid settings with this many faults, which every process must reject.
    Invalid(u64, usize),
}

impl Settings {
    /// The class that only this version has.
    fn class(self) -> String {
        let (Settings::Version(version)
        | Settings::Objective(version)
        | Settings::WithList(version, _)
        | Settings::Invalid(version, _)) = self;
        format!("version-{version}")
    }

    fn file(self, start: &Value) -> Value {
        let mut file = start.clone();
        let mut class = start["settings"]["classes"][0].clone();
        class["name"] = json!(self.class());
        match self {
            Settings::Version(_) => {}
            Settings::WithList(_, servers) => {
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
            Settings::Invalid(..) => class["deadline_us"] = json!(0),
        }
        let times = if let Settings::Invalid(_, faults) = self { faults } else { 1 };
        if let Some(classes) = file["settings"]["classes"].as_array_mut() {
            classes.extend(std::iter::repeat_n(class, times));
        }
        file
    }
}

impl Proxy {
    /// Replaces the settings file and sends SIGHUP; returns the time before that.
    fn change(&self, settings: Settings) -> io::Result<Instant> {
        let begin = Instant::now();
        let file = self.supervisor.config_path();
        let new = self.supervisor.config_path().with_extension("new");
        std::fs::write(&new, settings.file(&self.file).to_string())?;
        std::fs::rename(&new, &file)?;
        self.supervisor.reload();
        Ok(begin)
    }

    async fn report(&self) -> Result<Value, MeasureError> {
        process_stats::admin_report(self.admin).await.map_err(failed)
    }

    async fn count(&self, figure: &str) -> Result<u64, MeasureError> {
        self.report().await?[figure]
            .as_u64()
            .ok_or_else(|| failed(format!("no {figure} in the report of a process")))
    }
}

/// Generates the ids of requests.
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

/// A client with one connection to a process.
struct Client {
    address: SocketAddr,
    ids: Ids,
    open: Option<(TcpStream, BytesMut)>,
}

impl Client {
    fn new(address: SocketAddr, ids: &Ids) -> Self {
        Client { address, ids: ids.clone(), open: None }
    }

    /// Sends a call of this class; returns the status of its response.
    async fn call(&mut self, class: &str) -> io::Result<u16> {
        // The server may have closed an idle connection at the same moment: retries on a new one.
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
            CALL_TIMEOUT.as_millis()
        );
        open.0.write_all(text.as_bytes()).await?;
        let answer = http::read(&mut open.0, &mut open.1, MessageKind::Response).await?;
        let status = answer.status();
        if !answer.closes() {
            self.open = Some(open);
        }
        Ok(status)
    }
}

/// Counts of the calls of all applications, and of those that were not served.
#[derive(Default)]
struct Calls {
    sent: AtomicU64,
    failed: AtomicU64,
}

/// Runs an application. Never returns.
async fn application(mut client: Client, number: usize, count: usize, calls: Arc<Calls>) {
    // Spreads the calls of the applications over the interval.
    sleep(CALL_INTERVAL * number as u32 / count.max(1) as u32).await;
    let mut ticker = interval(CALL_INTERVAL);
    ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        let served = matches!(timeout(CALL_TIMEOUT, client.call(CLASS)).await, Ok(Ok(200)));
        calls.sent.fetch_add(1, Ordering::Relaxed);
        calls.failed.fetch_add(u64::from(!served), Ordering::Relaxed);
    }
}

/// Repeats calls until one of this class is served; returns the milliseconds since `since`, or `None` after
/// `MAX_WAIT`.
async fn time_until_served(
    mut client: Client,
    class: String,
    since: Instant,
    pause: Duration,
) -> Option<f64> {
    while since.elapsed() < MAX_WAIT {
        if let Ok(Ok(200)) = timeout(CALL_TIMEOUT, client.call(&class)).await {
            return Some(since.elapsed().as_secs_f64() * 1e3);
        }
        sleep(pause).await;
    }
    None
}

/// Times until a change was in force, over many processes, and the number of processes where it never was.
#[derive(Default)]
struct Times {
    ms: Vec<f64>,
    lost: usize,
}

impl Times {
    fn add_to(mut self, name: &str, figures: &mut Figures) {
        self.ms.sort_by(f64::total_cmp);
        let quantiles =
            [("p50_ms_in_force", self.ms.get(self.ms.len() / 2)), ("most_ms_in_force", self.ms.last())];
        figures.extend(
            quantiles.into_iter().filter_map(|(figure, ms)| Some((format!("{name}.{figure}"), *ms?))),
        );
        figures.insert(format!("{name}.lost"), self.lost as f64);
    }
}

/// All client proxies under test.
struct Fleet {
    proxies: Vec<Proxy>,
    ids: Ids,
    pause: Duration,
    /// Folder of the proxies' logs.
    _logs: TempDir,
    _site: Site,
}

impl Fleet {
    /// Starts the processes in batches, and waits until each accepts calls.
    async fn start(point: &Point) -> Result<Self, MeasureError> {
        let scenario = format!(
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
        let shared = Arc::new(Shared::new(Scenario::parse(&scenario).map_err(failed)?, point.seed));
        let site = Site::start(&shared).await.map_err(failed)?;
        let logs = tempfile::Builder::new().prefix("oakport-scale-").tempdir().map_err(failed)?;
        let mut proxies = Vec::new();
        while proxies.len() < point.size {
            let mut batch = Vec::new();
            for number in proxies.len()..(proxies.len() + START_BATCH).min(point.size) {
                let agent = &site.agents[number];
                let logs = logs.path();
                let mut supervisor =
                    ProxySupervisor::new(&shared, agent, number, agent.address, false, Some(logs))
                        .map_err(failed)?;
                let admin = supervisor.enable_admin().map_err(failed)?;
                supervisor.start(&point.program).map_err(failed)?;
                let text = std::fs::read_to_string(supervisor.config_path()).map_err(failed)?;
                let file = serde_json::from_str(&text).map_err(failed)?;
                batch.push(Proxy { supervisor, admin, file, log: logs.join(format!("n{number}-1.log")) });
            }
            for proxy in &mut batch {
                proxy.supervisor.ready().await.map_err(failed)?;
            }
            proxies.append(&mut batch);
        }
        // Probing this many processes without a pause would measure the prober itself.
        let pause = Duration::from_millis((point.size as u64 / 10).max(1));
        let ids = Ids { shared, next: Arc::default() };
        Ok(Fleet { proxies, ids, pause, _logs: logs, _site: site })
    }

    fn change(&self, settings: Settings) -> Result<Vec<Instant>, MeasureError> {
        self.proxies.iter().map(|proxy| proxy.change(settings).map_err(failed)).collect()
    }

    /// Waits until these settings are in force in all processes, and adds the time of each since its own
    /// change.
    async fn wait_until_in_force(&self, settings: Settings, since: &[Instant], times: &mut Times) {
        let mut probes = JoinSet::new();
        for (proxy, since) in self.proxies.iter().zip(since) {
            let client = Client::new(proxy.supervisor.address, &self.ids);
            probes.spawn(time_until_served(client, settings.class(), *since, self.pause));
        }
        while let Some(probed) = probes.join_next().await {
            match probed {
                Ok(Some(ms)) => times.ms.push(ms),
                _ => times.lost += 1,
            }
        }
    }

    /// Processor time of a change in one process in seconds, and the longest call meanwhile in milliseconds.
    async fn cost(&self, proxy: &Proxy, settings: Settings) -> Result<[f64; 2], MeasureError> {
        let cpu_s = || process_stats::cpu_s(proxy.supervisor.pid().unwrap_or(0)).map_err(failed);
        let mut client = Client::new(proxy.supervisor.address, &self.ids);
        client.call(CLASS).await.map_err(failed)?;
        sleep(PROBE_PAUSE).await;
        let before = cpu_s()?;
        let begin = proxy.change(settings).map_err(failed)?;
        let mut longest = Duration::ZERO;
        while begin.elapsed() < MAX_WAIT {
            let sent_at = Instant::now();
            client.call(CLASS).await.map_err(failed)?;
            longest = longest.max(sent_at.elapsed());
            if client.call(&settings.class()).await.map_err(failed)? == 200 {
                return Ok([cpu_s()? - before, longest.as_secs_f64() * 1e3]);
            }
            // Calls without a pause between them wait about 10 ms in oakport, with or without a change.
            sleep(PROBE_PAUSE).await;
        }
        Err(failed(format!("{settings:?} not in force within {MAX_WAIT:?}")))
    }

    /// The reports of all processes without their counters.
    async fn reports_without_counters(&self) -> Result<Vec<Value>, MeasureError> {
        let mut all = Vec::new();
        for proxy in &self.proxies {
            let mut report = proxy.report().await?;
            if let Some(figures) = report.as_object_mut() {
                REPORT_COUNTERS.iter().for_each(|count| _ = figures.remove(*count));
            }
            all.push(report);
        }
        Ok(all)
    }

    /// Number of processes that serve a call of these settings' class.
    async fn serving(&self, settings: Settings) -> usize {
        let mut probes = JoinSet::new();
        for proxy in &self.proxies {
            let mut client = Client::new(proxy.supervisor.address, &self.ids);
            probes.spawn(async move { timeout(CALL_TIMEOUT, client.call(&settings.class())).await });
        }
        probes.join_all().await.iter().filter(|probed| matches!(probed, Ok(Ok(200)))).count()
    }

    /// Waits until each process has rejected this many files; returns the number of processes that have not.
    async fn wait_until_rejected(&self, files: u64) -> Result<usize, MeasureError> {
        let begin = Instant::now();
        let mut missing = 0;
        for proxy in &self.proxies {
            while proxy.count("reconfig_failed").await? < files {
                if begin.elapsed() > MAX_WAIT {
                    missing += 1;
                    break;
                }
                sleep(self.pause).await;
            }
        }
        Ok(missing)
    }

    /// The lengths of all logs in bytes.
    fn log_lengths(&self) -> Result<Vec<usize>, MeasureError> {
        let length = |proxy: &Proxy| Ok(std::fs::metadata(&proxy.log).map_err(failed)?.len() as usize);
        self.proxies.iter().map(length).collect()
    }

    /// Lines and bytes added to a log for a rejected file, the maximum over all processes.
    fn log_output_since(&self, before: &[usize]) -> Result<[usize; 2], MeasureError> {
        let mut lines = 0;
        let mut bytes = 0;
        for (proxy, before) in self.proxies.iter().zip(before) {
            let text = std::fs::read(&proxy.log).map_err(failed)?;
            let since = String::from_utf8_lossy(text.get(*before..).unwrap_or_default()).into_owned();
            // Continuation lines of an error message count; log lines of other events do not.
            let other = |line: &&str| line.contains(" INFO ") || line.contains(" WARN ");
            let messages: Vec<&str> = since.lines().filter(|line| !other(line)).collect();
            lines = lines.max(messages.len());
            bytes = bytes.max(messages.iter().map(|line| line.len()).sum());
        }
        Ok([lines, bytes])
    }
}

async fn measure_fleet(point: &Point, extent: Extent) -> Result<Figures, MeasureError> {
    let mut fleet = Fleet::start(point).await?;
    let size = fleet.proxies.len();
    let mut figures = Figures::new();
    let mut applications = JoinSet::new();
    let calls = Arc::<Calls>::default();
    for (number, proxy) in fleet.proxies.iter().enumerate() {
        let client = Client::new(proxy.supervisor.address, &fleet.ids);
        applications.spawn(application(client, number, size, Arc::clone(&calls)));
    }

    let mut version = 0;
    let mut times = Times::default();
    for _ in 0..extent.changes {
        version += 1;
        let settings = Settings::Version(version);
        let since = fleet.change(settings)?;
        fleet.wait_until_in_force(settings, &since, &mut times).await;
        sleep(extent.pause).await;
    }
    times.add_to("one", &mut figures);

    // Keeps the class, so that only one value differs.
    let before = fleet.reports_without_counters().await?;
    let settings = Settings::Objective(version);
    let mut accepted_files = Vec::new();
    for proxy in &fleet.proxies {
        accepted_files.push(proxy.count("reconfig_ok").await? + 1);
    }
    fleet.change(settings)?;
    for (proxy, accepted) in fleet.proxies.iter().zip(&accepted_files) {
        let begin = Instant::now();
        while proxy.count("reconfig_ok").await? < *accepted && begin.elapsed() < MAX_WAIT {
            sleep(fleet.pause).await;
        }
    }
    figures.insert(
        "version_told".to_owned(),
        f64::from(u8::from(fleet.reports_without_counters().await? != before)),
    );

    let mut times = Times::default();
    let mut since = Vec::new();
    let mut settings = settings;
    let mut ticker = interval(extent.interval);
    for _ in 0..RAPID_CHANGES {
        ticker.tick().await;
        version += 1;
        settings = Settings::Version(version);
        since = fleet.change(settings)?;
    }
    fleet.wait_until_in_force(settings, &since, &mut times).await;
    times.add_to("ten", &mut figures);
    let mut least = RAPID_CHANGES;
    for (proxy, accepted) in fleet.proxies.iter().zip(&accepted_files) {
        least = least.min(proxy.count("reconfig_ok").await?.saturating_sub(*accepted));
    }
    figures.insert("ten.taken_least".to_owned(), least as f64);

    for servers in LIST_SIZES {
        let mut cpu_s = 0.0;
        let mut longest = 0.0_f64;
        for _ in 0..extent.changes {
            version += 1;
            let [spent_s, call] = fleet.cost(&fleet.proxies[0], Settings::WithList(version, servers)).await?;
            cpu_s += spent_s / extent.changes as f64;
            longest = longest.max(call);
        }
        figures.insert(format!("known_{servers}.cpu_s"), cpu_s);
        figures.insert(format!("known_{servers}.longest_call_ms"), longest);
    }
    // Restores the same settings in all processes.
    version += 1;
    settings = Settings::Version(version);
    since = fleet.change(settings)?;
    let mut times = Times::default();
    fleet.wait_until_in_force(settings, &since, &mut times).await;
    figures.insert("known.lost".to_owned(), times.lost as f64);

    for ((name, faults), files) in INVALID_FILES.into_iter().zip(1..) {
        version += 1;
        let invalid = Settings::Invalid(version, faults);
        let before = fleet.log_lengths()?;
        fleet.change(invalid)?;
        let not_rejected = fleet.wait_until_rejected(files).await?;
        let in_force = fleet.serving(invalid).await;
        let old_lost = size - fleet.serving(settings).await;
        let [lines, bytes] = fleet.log_output_since(&before)?;
        let counted = [("not_told", not_rejected), ("in_force", in_force), ("old_lost", old_lost)];
        let logged = [("log_lines", lines), ("log_bytes", bytes)];
        let all = counted.into_iter().chain(logged);
        figures.extend(all.map(|(figure, n)| (format!("{name}.{figure}"), n as f64)));
    }

    applications.shutdown().await;
    let memory = fleet.proxies.iter().filter_map(|proxy| process_stats::memory(proxy.supervisor.pid()?).ok());
    figures.insert("memory_bytes".to_owned(), memory.map(|memory| memory.peak).max().unwrap_or(0) as f64);
    figures.insert("calls.asked".to_owned(), calls.sent.load(Ordering::Relaxed) as f64);
    figures.insert("calls.failed".to_owned(), calls.failed.load(Ordering::Relaxed) as f64);
    figures.insert("pause_ms".to_owned(), fleet.pause.as_secs_f64() * 1e3);
    for proxy in &mut fleet.proxies {
        proxy.supervisor.end(Duration::ZERO).await;
    }
    Ok(figures)
}
