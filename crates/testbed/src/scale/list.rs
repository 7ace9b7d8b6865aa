//! Role `list`: the cost for one process of holding the endpoint list, by the length of the list.
//!
//! A single process without client calls follows a discovery agent on loopback, once with lists pushed by
//! watches and once with polling. No server of the list exists, and none is called. All figures are taken
//! from outside the process: processor time from the kernel's accounting, memory from `/proc`, HTTP bytes as
//! written by the agent (without TCP and IP headers).
//!
//! - A change starts when the agent has it, so `ms_in_force` includes the agent's time for writing a list.
//! - A change is in force when the process reports the new number of servers (`hosts_listed`) at its admin
//!   endpoint, which is polled without a pause. These runs are used for times only; processor time is taken
//!   in other runs without polling, up to the process's next call to the agent.
//! - `whole` is a full list sent to a process with an empty list, `again` the same to a process that has it
//!   already. `one` is a server that leaves and returns; for `zone` (1 of 11) only the leaving counts.
//! - Each of an ordinary day's 845 events is three changes (draining, removed, ready again), all in this list
//!   however short it is. The cost of the day is the mean cost of a change, measured in a compressed series,
//!   times the number of changes, plus the cost of the idle process.

use super::point::{Bound, Figures, MeasureError, Point, RoleSpec};
use crate::cluster::discovery::{Agent, ListedServer};
use crate::cluster::process_stats;
use crate::cluster::processes::ProxySupervisor;
use crate::cluster::record::Shared;
use oakport_core::EndpointState;
use oakport_simulator::scenario::Scenario;
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::{interval, sleep, timeout, timeout_at, MissedTickBehavior};

/// How the role is measured.
pub const ROLE: RoleSpec = RoleSpec {
    name: "list",
    size_unit: "servers in the list",
    sizes: &[6, 100, 1_000, 6_300],
    bounds: &[
        budget("day.cpu_share", 0.018),
        budget("day.bytes_per_s", BYTES_PER_S),
        budget("memory_bytes", 64e6),
        budget("pushed.whole.ms_in_force", IN_FORCE_MS),
        budget("pushed.one.ms_in_force", IN_FORCE_MS),
        budget("pushed.zone.ms_in_force", IN_FORCE_MS),
        budget("asked.whole.ms_in_force", IN_FORCE_MS),
        budget("asked.one.ms_in_force", IN_FORCE_MS),
        budget("asked.zone.ms_in_force", IN_FORCE_MS),
        // A change that is sent in one response arrives within one second.
        budget("pushed.whole.bytes", BYTES_PER_S),
        budget("pushed.zone.bytes", BYTES_PER_S),
    ],
    measure: measure_fully,
};

/// The operators' budgets.
const BYTES_PER_S: f64 = 22_000.0;
const IN_FORCE_MS: f64 = 8_000.0;

const fn budget(figure: &'static str, max: f64) -> Bound {
    Bound { figure, max, min_size: 0, is_enforced: false }
}

/// Zones over which servers are spread.
const ZONES: usize = 11;
/// Machines that fail, are restarted or replaced on an ordinary day.
const EVENTS_PER_DAY: f64 = 845.0;
/// Changes of the list for each of these events.
const STATES_PER_EVENT: [EndpointState; 3] =
    [EndpointState::Draining, EndpointState::Removed, EndpointState::Ready];
const DAY_S: f64 = 86_400.0;
/// A list that is not in force after this time counts as rejected.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// The scenario, of which only the settings of the process are used.
const SCENARIO: &str = r#"
purpose = "what a list costs"
length = "1s"
balancers = 1
servers = 1
rate = 1
zones = ["a"]
[[class]]
name = "card-check"
share = 1
work = 1
spread = "fixed"
aim = "1s"
deadline = "3s"
idempotency = "free"
"#;

/// How often each kind of change is measured.
#[derive(Clone, Copy, Debug)]
pub struct Extent {
    /// Processes that start with an empty list and receive the full one; half of them are timed.
    pub starts: usize,
    /// Repetitions of a change for its processor time, and as many for the time until it is in force.
    pub changes: usize,
    /// As `changes`, for a zone and for the full list sent again.
    pub large: usize,
    /// Servers that restart in the compressed series of an ordinary day.
    pub restarts: usize,
    /// Pause between two changes of that series.
    pub pause: Duration,
    /// Length of the phase without changes, long enough to include the longest wait of a call to the agent.
    pub quiet: Duration,
}

impl Extent {
    /// The extent of a full measurement.
    pub const FULL: Extent = Extent {
        starts: 6,
        changes: 20,
        large: 5,
        restarts: 20,
        pause: Duration::from_millis(100),
        quiet: Duration::from_millis(4_200),
    };
}

fn measure_fully(point: &Point) -> Result<Figures, MeasureError> {
    measure(point, Extent::FULL)
}

/// Measures one size with a process that receives pushed lists and one that polls, concurrently.
///
/// # Errors
/// See `MeasureError`.
pub fn measure(point: &Point, extent: Extent) -> Result<Figures, MeasureError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(failed)?;
    let result = runtime.block_on(async {
        let both = async {
            tokio::try_join!(
                measure_mode(point, ListMode::Pushed, extent),
                measure_mode(point, ListMode::Polled, extent)
            )
        };
        timeout_at(point.deadline.into(), both).await
    });
    let (pushed, polled) =
        result.map_err(|_| MeasureError::NotRun("the time limit was reached".to_owned()))??;
    let mut figures = Figures::new();
    for (mode, of_mode) in [("pushed", pushed), ("asked", polled)] {
        for (name, figure) in of_mode {
            if ["memory_bytes", "day.cpu_share", "day.bytes_per_s"].contains(&name.as_str()) {
                let most = figures.entry(name.clone()).or_insert(figure);
                *most = most.max(figure);
            }
            figures.insert(format!("{mode}.{name}"), figure);
        }
    }
    Ok(figures)
}

/// How the process receives lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListMode {
    Pushed,
    Polled,
}

impl ListMode {
    /// Changes the process's settings file for this mode.
    fn file_change(self) -> fn(&mut Value) {
        match self {
            ListMode::Pushed => |_| (),
            // One call takes as long as with pushed lists, so that an idle second is comparable.
            ListMode::Polled => |file| {
                file["settings"]["discovery"] = json!("ask");
                file["settings"]["invariants"]["ask_every_us"] = json!(4_000_000);
            },
        }
    }
}

fn failed(error: impl std::fmt::Display) -> MeasureError {
    MeasureError::Failed(error.to_string())
}

/// A process and its discovery agent.
struct Process {
    shared: Arc<Shared>,
    agent: Arc<Agent>,
    supervisor: ProxySupervisor,
    pid: u32,
    admin: SocketAddr,
}

/// Processor time and bytes used so far, or by a change.
#[derive(Clone, Copy)]
struct Usage {
    cpu_s: f64,
    bytes: u64,
}

impl Process {
    /// Starts a process with an empty list, and waits until it follows the agent.
    async fn start(point: &Point, mode: ListMode) -> Result<Self, MeasureError> {
        let scenario = Scenario::parse(SCENARIO).map_err(failed)?;
        let shared = Arc::new(Shared::new(scenario, point.seed));
        let agent = Agent::start(&shared, 0).await.map_err(failed)?;
        let mut supervisor =
            ProxySupervisor::new(&shared, &agent, 0, agent.address, false, None).map_err(failed)?;
        let admin = supervisor.enable_admin().map_err(failed)?;
        supervisor.set_config_override(mode.file_change());
        supervisor.start(&point.program).map_err(failed)?;
        supervisor.ready().await.map_err(failed)?;
        let pid = supervisor.pid().ok_or_else(|| failed("the process ended after it became ready"))?;
        let process = Process { shared, agent, supervisor, pid, admin };
        process.agent.wait_for_acknowledgement(0).await;
        process.wait_until_in_force(0, Instant::now()).await?;
        Ok(process)
    }

    fn usage(&self) -> Result<Usage, MeasureError> {
        Ok(Usage {
            cpu_s: process_stats::cpu_s(self.pid).map_err(failed)?,
            bytes: self.agent.bytes_written(),
        })
    }

    /// The list entry of a server.
    fn list_entry(&self, server: usize, state: EndpointState) -> ListedServer {
        // Nothing listens at this address, and nothing is sent there.
        let [_, _, high, low] = (server as u32).to_be_bytes();
        ListedServer {
            state,
            address: SocketAddr::from((Ipv4Addr::new(127, 9, high, low), 1)),
            zone: format!("zone-{:02}", server % ZONES),
            release: "first".to_owned(),
            started: if state == EndpointState::Ready { self.shared.now() } else { 0 },
        }
    }

    fn list_entries(
        &self,
        servers: impl Iterator<Item = usize>,
        state: EndpointState,
    ) -> Vec<(usize, ListedServer)> {
        servers.map(|server| (server, self.list_entry(server, state))).collect()
    }

    /// Waits until the process has received the agent's current version, shown by its next call.
    async fn wait_until_received(&self) -> Result<(), MeasureError> {
        let result = timeout(MAX_WAIT, self.agent.wait_for_acknowledgement(self.agent.version())).await;
        result.map_err(|_| {
            MeasureError::NotRun(format!("the process did not receive a list within {MAX_WAIT:?}"))
        })
    }

    /// Polls the process until it reports this number of servers; returns the milliseconds since the change.
    async fn wait_until_in_force(&self, servers: usize, since: Instant) -> Result<f64, MeasureError> {
        loop {
            let listed =
                process_stats::admin_report(self.admin).await.map_err(failed)?["hosts_listed"].as_u64();
            if listed == Some(servers as u64) {
                return Ok(since.elapsed().as_secs_f64() * 1e3);
            }
            if since.elapsed() > MAX_WAIT {
                let reason = format!("{listed:?} servers listed after {MAX_WAIT:?}, expected {servers}");
                return Err(MeasureError::NotRun(reason));
            }
        }
    }

    /// Number of servers that the process reports.
    async fn listed(&self) -> Result<f64, MeasureError> {
        let report = process_stats::admin_report(self.admin).await.map_err(failed)?;
        report["hosts_listed"].as_f64().ok_or_else(|| failed("no hosts_listed in the report of the process"))
    }

    /// The cost of a change, up to the process's next call to the agent.
    async fn cost(&self, change: impl FnOnce()) -> Result<Usage, MeasureError> {
        let before = self.usage()?;
        change();
        self.wait_until_received().await?;
        let after = self.usage()?;
        Ok(Usage { cpu_s: after.cpu_s - before.cpu_s, bytes: after.bytes - before.bytes })
    }

    /// Removes and re-adds servers repeatedly. Returns the mean processor time and bytes of a removal, the
    /// longest time until a change is in force in milliseconds, and the number of servers that a removal took
    /// from the list. For a single server the re-addition counts too, as it also changes one entry.
    async fn measure_leaving(
        &self,
        size: usize,
        servers: &[usize],
        times: usize,
    ) -> Result<[f64; 4], MeasureError> {
        let remove =
            || self.agent.update_all(self.list_entries(servers.iter().copied(), EndpointState::Removed));
        let re_add =
            || self.agent.update_all(self.list_entries(servers.iter().copied(), EndpointState::Ready));
        let mut usages = Vec::new();
        for _ in 0..times {
            usages.push(self.cost(remove).await?);
            let returned = self.cost(re_add).await?;
            if servers.len() == 1 {
                usages.push(returned);
            }
        }
        let mut slowest = 0.0_f64;
        let mut changed = 0.0;
        for _ in 0..times {
            let begin = Instant::now();
            remove();
            slowest = slowest.max(self.wait_until_in_force(size - servers.len(), begin).await?);
            changed = size as f64 - self.listed().await?;
            let begin = Instant::now();
            re_add();
            slowest = slowest.max(self.wait_until_in_force(size, begin).await?);
        }
        let [cpu_s, bytes] = mean(&usages);
        Ok([cpu_s, bytes, slowest, changed])
    }
}

/// Mean processor time and bytes.
fn mean(usages: &[Usage]) -> [f64; 2] {
    let count = usages.len().max(1) as f64;
    [
        usages.iter().map(|usage| usage.cpu_s).sum::<f64>() / count,
        usages.iter().map(|usage| usage.bytes as f64).sum::<f64>() / count,
    ]
}

async fn measure_mode(point: &Point, mode: ListMode, extent: Extent) -> Result<Figures, MeasureError> {
    let size = point.size;
    let mut figures = Figures::new();
    let mut add = |name: &str, figure: f64| _ = figures.insert(name.to_owned(), figure);

    // Full list to an empty process: half of the processes are polled for the time, the others measured
    // undisturbed.
    let mut usages = Vec::new();
    let mut slowest = 0.0_f64;
    let mut last: Option<Process> = None;
    for start in 0..extent.starts.max(2) {
        if let Some(mut before) = last.take() {
            before.supervisor.end(Duration::ZERO).await;
        }
        let process = Process::start(point, mode).await?;
        let all = process.list_entries(0..size, EndpointState::Ready);
        if start % 2 == 0 {
            let begin = Instant::now();
            process.agent.update_all_as_snapshot(all);
            slowest = slowest.max(process.wait_until_in_force(size, begin).await?);
        } else {
            usages.push(process.cost(|| process.agent.update_all_as_snapshot(all)).await?);
        }
        last = Some(process);
    }
    let Some(mut process) = last else { unreachable!("at least two processes were started") };
    let [cpu_s, bytes] = mean(&usages);
    add("whole.cpu_s", cpu_s);
    add("whole.bytes", bytes);
    add("whole.ms_in_force", slowest);
    add("whole.listed", process.listed().await?);
    add("whole.memory_bytes", process_stats::memory(process.pid).map_err(failed)?.current as f64);

    let mut usages = Vec::new();
    for _ in 0..extent.large {
        usages.push(process.cost(|| process.agent.update_all_as_snapshot([])).await?);
    }
    add("again.cpu_s", mean(&usages)[0]);

    let zone: Vec<usize> = (0..size).step_by(ZONES).collect();
    for (name, servers, times) in [("one", &zone[..1], extent.changes), ("zone", &zone, extent.large)] {
        let [cpu_s, bytes, slowest, changed] = process.measure_leaving(size, servers, times).await?;
        add(&format!("{name}.cpu_s"), cpu_s);
        add(&format!("{name}.bytes"), bytes);
        add(&format!("{name}.ms_in_force"), slowest);
        add(&format!("{name}.changed"), changed);
    }

    let before = process.usage()?;
    sleep(extent.quiet).await;
    let after = process.usage()?;
    let seconds = extent.quiet.as_secs_f64();
    let quiet = [(after.cpu_s - before.cpu_s) / seconds, (after.bytes - before.bytes) as f64 / seconds];
    add("quiet.cpu_share", quiet[0]);
    add("quiet.bytes_per_s", quiet[1]);

    let mut ticker = interval(extent.pause);
    ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut usages = Vec::new();
    for restart in 0..extent.restarts {
        // Far apart in the list, as machines that fail on one day are.
        let server = restart * size / extent.restarts;
        for state in STATES_PER_EVENT {
            ticker.tick().await;
            let change = || process.agent.update_all([(server, process.list_entry(server, state))]);
            usages.push(process.cost(change).await?);
        }
    }
    let changes_per_s = EVENTS_PER_DAY * STATES_PER_EVENT.len() as f64 / DAY_S;
    let [cpu_s, bytes] = mean(&usages).map(|change| change * changes_per_s);
    add("day.cpu_share", quiet[0] + cpu_s);
    add("day.bytes_per_s", quiet[1] + bytes);
    add("day.listed", process.listed().await?);
    add("memory_bytes", process_stats::memory(process.pid).map_err(failed)?.peak as f64);
    process.supervisor.end(Duration::ZERO).await;
    Ok(figures)
}
