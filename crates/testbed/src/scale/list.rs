//! What holding the list of servers costs one process, by the length of the list.
//!
//! A process of its own, with no calls, follows an agent of discovery on loopback, once as it is pushed
//! lists and once as it asks for them. No server of the list answers, and none is asked. Seen from outside:
//! processor time by the kernel's count, memory by `/proc`, bytes of HTTP by what the agent has written (TCP
//! and IP headers are not in it).
//!
//! - A change counts from when the agent has it: its own time for writing a list is in `ms_in_force`.
//! - It is in force when the process tells operators the new number of servers (`hosts_listed`), asked
//!   without a pause. These plays are timed only; processor time is taken of others, where nobody asks, up to
//!   the process's next call.
//! - `whole` is told to a process that has nothing, `again` to one that has all of it already; `one` leaves
//!   and comes back, and of `zone` (1 of 11) the leaving counts.
//! - An ordinary day's 845 events are three changes each (drains, is gone, is there again), all in this list
//!   however short it is. The day is that many times what a change costs in a series pressed together, beside
//!   what a quiet second costs.

use super::point::{Bound, Figures, MeasureError, Point, RoleSpec};
use crate::cluster::discovery::{Agent, Member};
use crate::cluster::outside;
use crate::cluster::processes::Seat;
use crate::cluster::record::Shared;
use oakport_core::EndpointState;
use oakport_simulator::scenario::Scenario;
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::{interval, sleep, timeout, timeout_at, MissedTickBehavior};

/// The role.
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
        // What is told as one comes within one second.
        budget("pushed.whole.bytes", BYTES_PER_S),
        budget("pushed.zone.bytes", BYTES_PER_S),
    ],
    measure: play,
};

/// The operators' budgets.
const BYTES_PER_S: f64 = 22_000.0;
const IN_FORCE_MS: f64 = 8_000.0;

const fn budget(figure: &'static str, max: f64) -> Bound {
    Bound { figure, max, min_size: 0, is_enforced: false }
}

/// Zones over which servers are spread.
const ZONES: usize = 11;
/// Machines that fail, are restarted or replaced on an ordinary day, and what the list has to tell of each.
const EVENTS_A_DAY: f64 = 845.0;
const STEPS: [EndpointState; 3] = [EndpointState::Draining, EndpointState::Removed, EndpointState::Ready];
const DAY_S: f64 = 86_400.0;
/// What is not in force by then never will be: the list is not taken.
const NEVER: Duration = Duration::from_secs(20);
/// The site, of which only the names of the process's settings count here.
const SITE: &str = r#"
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

/// How often each moment is played.
#[derive(Clone, Copy, Debug)]
pub struct Extent {
    /// Processes that are wholly told from nothing, half of them timed.
    pub starts: usize,
    /// Times that a change is played for its processor time, and again for the time until it is in force.
    pub changes: usize,
    /// See `changes`, for a zone and for the whole list again.
    pub large: usize,
    /// Servers that are restarted on the day that is pressed together, and the pause between two changes.
    pub restarts: usize,
    /// See `restarts`.
    pub pause: Duration,
    /// How long nothing happens; with it the longest wait of a call is seen.
    pub quiet: Duration,
}

impl Extent {
    /// What the figures are taken of.
    pub const WHOLE: Extent = Extent {
        starts: 6,
        changes: 20,
        large: 5,
        restarts: 20,
        pause: Duration::from_millis(100),
        quiet: Duration::from_millis(4_200),
    };
}

fn play(point: &Point) -> Result<Figures, MeasureError> {
    measure(point, Extent::WHOLE)
}

/// Plays one size with a process that is pushed lists and one that asks for them, side by side.
///
/// # Errors
/// See `Stopped`.
pub fn measure(point: &Point, extent: Extent) -> Result<Figures, MeasureError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(odd)?;
    let played = runtime.block_on(async {
        let both =
            async { tokio::try_join!(played(point, Way::Pushed, extent), played(point, Way::Asked, extent)) };
        timeout_at(point.deadline.into(), both).await
    });
    let (pushed, asked) = played.map_err(|_| MeasureError::NotRun("its time was over".to_owned()))??;
    let mut figures = Figures::new();
    for (way, of_way) in [("pushed", pushed), ("asked", asked)] {
        for (name, figure) in of_way {
            if ["memory_bytes", "day.cpu_share", "day.bytes_per_s"].contains(&name.as_str()) {
                let most = figures.entry(name.clone()).or_insert(figure);
                *most = most.max(figure);
            }
            figures.insert(format!("{way}.{name}"), figure);
        }
    }
    Ok(figures)
}

/// How lists come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Pushed,
    Asked,
}

impl Way {
    /// What a process's file says of it.
    fn file(self) -> fn(&mut Value) {
        match self {
            Way::Pushed => |_| (),
            // A call waits as long as where lists are pushed, so that a quiet second is the same.
            Way::Asked => |file| {
                file["settings"]["discovery"] = json!("ask");
                file["settings"]["invariants"]["ask_every_us"] = json!(4_000_000);
            },
        }
    }
}

fn odd(fault: impl std::fmt::Display) -> MeasureError {
    MeasureError::Failed(fault.to_string())
}

/// A process and its agent.
struct Process {
    shared: Arc<Shared>,
    agent: Arc<Agent>,
    seat: Seat,
    pid: u32,
    operator: SocketAddr,
}

/// What has been spent up to a moment.
#[derive(Clone, Copy)]
struct Spent {
    cpu_s: f64,
    bytes: u64,
}

impl Process {
    /// Starts one whose list is empty, and waits until it watches.
    async fn start(point: &Point, way: Way) -> Result<Self, MeasureError> {
        let day = Scenario::parse(SITE).map_err(odd)?;
        let shared = Arc::new(Shared::new(day, point.seed));
        let agent = Agent::start(&shared, 0).await.map_err(odd)?;
        let mut seat = Seat::new(&shared, &agent, 0, agent.address, false, None).map_err(odd)?;
        let operator = seat.operated().map_err(odd)?;
        seat.differs(way.file());
        seat.start(&point.program).map_err(odd)?;
        seat.ready().await.map_err(odd)?;
        let pid = seat.pid().ok_or_else(|| odd("the process has ended"))?;
        let process = Process { shared, agent, seat, pid, operator };
        process.agent.taken(0).await;
        process.in_force(0, Instant::now()).await?;
        Ok(process)
    }

    fn spent(&self) -> Result<Spent, MeasureError> {
        Ok(Spent { cpu_s: outside::cpu_s(self.pid).map_err(odd)?, bytes: self.agent.written() })
    }

    /// A server as the list has it.
    fn member(&self, server: usize, state: EndpointState) -> Member {
        // Nobody is there, nor is anybody asked.
        let [_, _, high, low] = (server as u32).to_be_bytes();
        Member {
            state,
            address: SocketAddr::from((Ipv4Addr::new(127, 9, high, low), 1)),
            zone: format!("zone-{:02}", server % ZONES),
            release: "first".to_owned(),
            started: if state == EndpointState::Ready { self.shared.now() } else { 0 },
        }
    }

    fn members(&self, servers: impl Iterator<Item = usize>, state: EndpointState) -> Vec<(usize, Member)> {
        servers.map(|server| (server, self.member(server, state))).collect()
    }

    /// Waits until the process has taken what the agent has, by its next call.
    async fn taken(&self) -> Result<(), MeasureError> {
        let taken = timeout(NEVER, self.agent.taken(self.agent.version())).await;
        taken.map_err(|_| MeasureError::NotRun(format!("a list was not taken within {NEVER:?}")))
    }

    /// Asks the process until it tells this number of servers: milliseconds since the change.
    async fn in_force(&self, servers: usize, since: Instant) -> Result<f64, MeasureError> {
        loop {
            let listed = outside::dump(self.operator).await.map_err(odd)?["hosts_listed"].as_u64();
            if listed == Some(servers as u64) {
                return Ok(since.elapsed().as_secs_f64() * 1e3);
            }
            if since.elapsed() > NEVER {
                let told = format!("{listed:?} servers listed after {NEVER:?}, not {servers}");
                return Err(MeasureError::NotRun(told));
            }
        }
    }

    /// Servers that the process tells to have.
    async fn listed(&self) -> Result<f64, MeasureError> {
        let report = outside::dump(self.operator).await.map_err(odd)?;
        report["hosts_listed"].as_f64().ok_or_else(|| odd("no hosts_listed"))
    }

    /// What a change costs, up to the process's next call.
    async fn cost(&self, change: impl FnOnce()) -> Result<Spent, MeasureError> {
        let before = self.spent()?;
        change();
        self.taken().await?;
        let after = self.spent()?;
        Ok(Spent { cpu_s: after.cpu_s - before.cpu_s, bytes: after.bytes - before.bytes })
    }

    /// Servers leave and come back, again and again: processor time and bytes when they leave, the longest
    /// until it is in force, and how many the process then lacks. Of one server both ways count, as both
    /// change one.
    async fn leave(&self, size: usize, servers: &[usize], times: usize) -> Result<[f64; 4], MeasureError> {
        let gone = || self.agent.news_of_many(self.members(servers.iter().copied(), EndpointState::Removed));
        let back = || self.agent.news_of_many(self.members(servers.iter().copied(), EndpointState::Ready));
        let mut spent = Vec::new();
        for _ in 0..times {
            spent.push(self.cost(gone).await?);
            let returned = self.cost(back).await?;
            if servers.len() == 1 {
                spent.push(returned);
            }
        }
        let (mut slowest, mut changed) = (0.0_f64, 0.0);
        for _ in 0..times {
            let begin = Instant::now();
            gone();
            slowest = slowest.max(self.in_force(size - servers.len(), begin).await?);
            changed = size as f64 - self.listed().await?;
            let begin = Instant::now();
            back();
            slowest = slowest.max(self.in_force(size, begin).await?);
        }
        let [cpu_s, bytes] = mean(&spent);
        Ok([cpu_s, bytes, slowest, changed])
    }
}

/// Processor time and bytes of one among these.
fn mean(spent: &[Spent]) -> [f64; 2] {
    let count = spent.len().max(1) as f64;
    [
        spent.iter().map(|spent| spent.cpu_s).sum::<f64>() / count,
        spent.iter().map(|spent| spent.bytes as f64).sum::<f64>() / count,
    ]
}

async fn played(point: &Point, way: Way, extent: Extent) -> Result<Figures, MeasureError> {
    let size = point.size;
    let mut figures = Figures::new();
    let mut tell = |name: &str, figure: f64| _ = figures.insert(name.to_owned(), figure);

    // From nothing: every second process is asked when it is in force, and the others are left alone.
    let (mut spent, mut slowest) = (Vec::new(), 0.0_f64);
    let mut last: Option<Process> = None;
    for start in 0..extent.starts.max(2) {
        if let Some(mut before) = last.take() {
            before.seat.end(Duration::ZERO).await;
        }
        let process = Process::start(point, way).await?;
        let all = process.members(0..size, EndpointState::Ready);
        if start % 2 == 0 {
            let begin = Instant::now();
            process.agent.begin_anew(all);
            slowest = slowest.max(process.in_force(size, begin).await?);
        } else {
            spent.push(process.cost(|| process.agent.begin_anew(all)).await?);
        }
        last = Some(process);
    }
    let Some(mut process) = last else { unreachable!("at least one was started") };
    let [cpu_s, bytes] = mean(&spent);
    tell("whole.cpu_s", cpu_s);
    tell("whole.bytes", bytes);
    tell("whole.ms_in_force", slowest);
    tell("whole.listed", process.listed().await?);
    tell("whole.memory_bytes", outside::memory(process.pid).map_err(odd)?.now as f64);

    let mut spent = Vec::new();
    for _ in 0..extent.large {
        spent.push(process.cost(|| process.agent.begin_anew([])).await?);
    }
    tell("again.cpu_s", mean(&spent)[0]);

    let zone: Vec<usize> = (0..size).step_by(ZONES).collect();
    for (name, servers, times) in [("one", &zone[..1], extent.changes), ("zone", &zone, extent.large)] {
        let [cpu_s, bytes, slowest, changed] = process.leave(size, servers, times).await?;
        tell(&format!("{name}.cpu_s"), cpu_s);
        tell(&format!("{name}.bytes"), bytes);
        tell(&format!("{name}.ms_in_force"), slowest);
        tell(&format!("{name}.changed"), changed);
    }

    let before = process.spent()?;
    sleep(extent.quiet).await;
    let after = process.spent()?;
    let second = extent.quiet.as_secs_f64();
    let quiet = [(after.cpu_s - before.cpu_s) / second, (after.bytes - before.bytes) as f64 / second];
    tell("quiet.cpu_share", quiet[0]);
    tell("quiet.bytes_per_s", quiet[1]);

    let mut beat = interval(extent.pause);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut spent = Vec::new();
    for restart in 0..extent.restarts {
        // Far from each other, as machines that fail on one day are.
        let server = restart * size / extent.restarts;
        for state in STEPS {
            beat.tick().await;
            let change = || process.agent.news_of_many([(server, process.member(server, state))]);
            spent.push(process.cost(change).await?);
        }
    }
    let a_second = EVENTS_A_DAY * STEPS.len() as f64 / DAY_S;
    let [cpu_s, bytes] = mean(&spent).map(|change| change * a_second);
    tell("day.cpu_share", quiet[0] + cpu_s);
    tell("day.bytes_per_s", quiet[1] + bytes);
    tell("day.listed", process.listed().await?);
    tell("memory_bytes", outside::memory(process.pid).map_err(odd)?.most as f64);
    process.seat.end(Duration::ZERO).await;
    Ok(figures)
}
