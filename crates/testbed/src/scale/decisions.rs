//! Role `decisions`: the cost of choosing endpoints, by the number of balancers that call one service, in
//! virtual time.
//!
//! The operators plan with 310,000 calls a second in 1,000 services, so one service receives 310 calls a
//! second regardless of how many services a process calls. Processes that call 1, 6 or 17 services send 49,
//! 8.2 or 2.9 calls a second to each, and a service then has 6, 38 or 107 callers. The sizes here are those
//! of a service with more callers: with 6,300 balancers, each sends it one call in 20 s. A service of 60
//! servers receives ten times as many calls.
//!
//! Processor time is that of the thread during each call into the policy, minus the cost of measuring. Memory
//! is what these calls have allocated and not freed, plus the balancer itself.

use super::point::{Bound, Figures, MeasureError, Point, RoleSpec};
use nix::time::{clock_gettime, ClockId};
use oakport_core::{Action, EndpointInfo, Event, Micros, Settings};
use oakport_simulator::{simulate_with, Policy, PolicyKind, Scenario, ServerState, Verdict, Window};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Calls a second for each server of a service: 310,000 over 1,000 services of six servers.
const CALLS_PER_SERVER_PER_S: f64 = 310_000.0 / 1_000.0 / 6.0;
/// Numbers of servers of the simulated services.
const SERVICE_SIZES: [usize; 2] = [6, 60];
/// Windows of a verdict, of 5 s each, before the burst.
const WINDOWS_BEFORE: usize = 2;
/// Windows of the burst.
const BURST_WINDOWS: usize = 1;
/// Length of a window.
const WINDOW_S: f64 = 5.0;

/// As `scenarios/burst.toml`, with servers so large that half of their capacity is used before the burst. The
/// limit of connections is never reached here: whether a server's connection table holds so many balancers is
/// a question for tests with real sockets.
const BASE_SCENARIO: &str = r#"
purpose = "many balancers before one service"
length = "30s"
balancers = 1
servers = 6
rate = 1
uneven = 0.8
[server]
cores = 8
slots = 8
room = 160
connections = 100000
handshake = "3ms"
[server.choke]
at = 4
over = "1500ms"
slower = 3.0
below = 0.3
rest = "4s"
most = "30s"
[clients]
retries = 2
wait = "15ms"
heed_retry_after = false
[[class]]
name = "card-check"
share = 36
work = "63ms"
aim = "400ms"
deadline = "1500ms"
worth = 3
idempotency = "free"
[[class]]
name = "journey-lookup"
share = 35
work = "70ms"
aim = "400ms"
deadline = "1s"
worth = 3
idempotency = "free"
[[class]]
name = "fare-charge"
share = 29
work = "116ms"
aim = "600ms"
deadline = "2s"
worth = 5
idempotency = "single_shot"
"#;

/// Longest recovery after a burst of 5 s. The operators' requirements name no time for it.
const MAX_RECOVERY_S: f64 = 10.0;

/// How the role is measured.
pub const ROLE: RoleSpec = RoleSpec {
    name: "decisions",
    size_unit: "balancers",
    sizes: &[300, 1_000, 3_000, 6_300],
    bounds: &[
        Bound { figure: "of_6.cold.fallen", max: 0.0, min_size: 1, is_enforced: true },
        Bound { figure: "of_60.cold.fallen", max: 0.0, min_size: 1, is_enforced: true },
        Bound { figure: "of_6.after_burst.recover_s", max: MAX_RECOVERY_S, min_size: 1, is_enforced: false },
        Bound { figure: "of_60.after_burst.recover_s", max: MAX_RECOVERY_S, min_size: 1, is_enforced: false },
        Bound { figure: "of_6.rules_broken", max: 0.0, min_size: 1, is_enforced: true },
        Bound { figure: "of_60.rules_broken", max: 0.0, min_size: 1, is_enforced: true },
    ],
    measure,
};

/// What happens after the first two windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// More calls than the servers' capacity for one window; overloaded servers slow down, and clients retry
    /// at once.
    Burst,
    /// A third of the servers are replaced by cold ones within one window.
    Release,
}

impl Disturbance {
    fn event(self) -> &'static str {
        match self {
            Disturbance::Burst => "[[event]]\nat = \"10s\"\nfor = \"5s\"\nwhat = \"surge\"\nfactor = 2.5",
            Disturbance::Release => "[[event]]\nat = \"10s\"\nfor = \"5s\"\nwhat = \"release\"\npart = 0.34",
        }
    }

    fn scenario(self, balancers: usize, servers: usize) -> Result<Scenario, MeasureError> {
        let base = Scenario::parse(&format!("{BASE_SCENARIO}{}", self.event()));
        let base = base.map_err(|e| MeasureError::Failed(e.to_string()))?;
        // After a burst, twice the time lets slowed-down servers recover without intervention.
        let length = if self == Disturbance::Burst { 2 * base.duration } else { base.duration };
        Ok(Scenario {
            balancers,
            servers,
            duration: length,
            rate: CALLS_PER_SERVER_PER_S * servers as f64,
            ..base
        })
    }
}

/// The result of a simulated scenario.
#[derive(Clone, Debug)]
pub struct Simulated {
    /// Verdict of the simulator.
    pub verdict: Verdict,
    /// Bytes that each balancer holds at the end.
    pub memory: Vec<i64>,
    /// Duration of the scenario in seconds, without the time in which the last calls end.
    pub seconds: f64,
    /// Events that the balancers handled.
    pub events: u64,
    /// Processor time that the balancers spent on them.
    pub cpu_time: Duration,
}

/// Adds up the time and memory that balancers use.
struct Meter {
    deadline: Instant,
    /// Processor time of an empty measurement.
    overhead: Duration,
    is_late: Cell<bool>,
    events: Cell<u64>,
    cpu_time: Cell<Duration>,
    memory: RefCell<Vec<i64>>,
}

impl Meter {
    fn new(deadline: Instant) -> Self {
        const TRIES: u32 = 2_000;
        let begin = thread_cpu_time();
        (0..TRIES).for_each(|_| {
            measured(|| {});
        });
        Meter {
            deadline,
            overhead: (thread_cpu_time() - begin) / TRIES,
            is_late: Cell::new(false),
            events: Cell::new(0),
            cpu_time: Cell::new(Duration::ZERO),
            memory: RefCell::default(),
        }
    }
}

/// Processor time of this thread.
fn thread_cpu_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from).unwrap_or_default()
}

/// Runs a function; returns its processor time and by how many bytes the allocated memory has grown.
fn measured(function: impl FnOnce()) -> (Duration, i64) {
    let begin = thread_cpu_time();
    let allocated = allocation_counter::measure(function);
    (thread_cpu_time() - begin, allocated.bytes_current)
}

/// A policy whose use of time and memory is measured.
struct Metered {
    policy: Box<dyn Policy>,
    number: usize,
    meter: Rc<Meter>,
}

impl Metered {
    fn make(seed: u64, settings: &Settings, meter: &Rc<Meter>) -> Box<dyn Policy> {
        let mut policy = None;
        let (_, allocated_bytes) = measured(|| policy = Some(PolicyKind::Oakport.make(seed, settings)));
        let number = meter.memory.borrow().len();
        meter.memory.borrow_mut().push(allocated_bytes);
        // The closure above always sets it.
        let policy = policy.unwrap_or_else(|| unreachable!("made above"));
        Box::new(Metered { policy, number, meter: Rc::clone(meter) })
    }
}

impl Policy for Metered {
    fn handle(&mut self, now: Micros, event: Event, truth: &[ServerState], actions: &mut Vec<Action>) {
        /// Reserved actions, so that the list, which does not belong to the balancer, does not grow while it
        /// is measured.
        const RESERVED_ACTIONS: usize = 256;
        let meter = &self.meter;
        if meter.is_late.get() || Instant::now() > meter.deadline {
            // The simulation cannot be stopped, but without decisions it ends soon.
            return meter.is_late.set(true);
        }
        actions.reserve(RESERVED_ACTIONS);
        // The memory of an event was allocated outside the measurement but is freed within it.
        let freed_bytes = match &event {
            Event::EndpointList { endpoints: entries, .. } => entries.capacity() * size_of::<EndpointInfo>(),
            _ => 0,
        };
        let (cpu_time, allocated_bytes) = measured(|| self.policy.handle(now, event, truth, actions));
        meter.events.set(meter.events.get() + 1);
        meter.cpu_time.set(meter.cpu_time.get() + cpu_time.saturating_sub(meter.overhead));
        meter.memory.borrow_mut()[self.number] += allocated_bytes + freed_bytes as i64;
    }
}

/// Simulates a service with these numbers of balancers and servers.
///
/// # Errors
/// The simulation did not end before `deadline`.
pub fn simulate_service(
    balancers: usize,
    servers: usize,
    disturbance: Disturbance,
    seed: u64,
    deadline: Instant,
) -> Result<Simulated, MeasureError> {
    let meter = Rc::new(Meter::new(deadline));
    let make = |seed: u64, settings: &Settings| Metered::make(seed, settings, &meter);
    let scenario = disturbance.scenario(balancers, servers)?;
    let verdict = simulate_with(&scenario, "oakport", PolicyKind::Oakport.visibility(), &make, seed);
    if meter.is_late.get() {
        let reason = format!("{disturbance:?} with {servers} servers did not end before the time limit");
        return Err(MeasureError::NotRun(reason));
    }
    Ok(Simulated {
        verdict,
        memory: meter.memory.take(),
        seconds: scenario.duration as f64 / 1e6,
        events: meter.events.get(),
        cpu_time: meter.cpu_time.get(),
    })
}

/// Share of the requests served in time, weighted by priority.
fn served(windows: &[Window]) -> f64 {
    let sum = |part: fn(&Window) -> f64| windows.iter().map(part).sum::<f64>();
    match sum(|w| w.requested_weight) {
        requested if requested > 0.0 => sum(|w| w.served_weight) / requested,
        _ => 1.0,
    }
}

fn measure(point: &Point) -> Result<Figures, MeasureError> {
    let mut figures = Figures::new();
    for servers in SERVICE_SIZES {
        let simulate =
            |disturbance| simulate_service(point.size, servers, disturbance, point.seed, point.deadline);
        let burst = simulate(Disturbance::Burst)?;
        let release = simulate(Disturbance::Release)?;
        let (before, from_burst) = burst.verdict.windows.split_at(WINDOWS_BEFORE);
        let (during, rest) = from_burst.split_at(BURST_WINDOWS);
        let mut add = |name: &str, value: f64| figures.insert(format!("of_{servers}.{name}"), value);
        add("calm.served_share", served(before));
        add("burst.served_share", served(during));
        add("after_burst.served_share", served(rest));
        // Without recovery, the rest of the scenario is a lower bound of the time.
        let lower_bound = burst.seconds - (WINDOWS_BEFORE + BURST_WINDOWS) as f64 * WINDOW_S;
        add(
            "after_burst.recover_s",
            burst.verdict.recovery_time.map_or(lower_bound, |took| took as f64 / 1e6),
        );
        add("cold.served_share", served(&release.verdict.windows[WINDOWS_BEFORE..]));
        add("cold.fallen", (burst.verdict.cold_overloads + release.verdict.cold_overloads) as f64);
        add("rules_broken", (burst.verdict.violation_count + release.verdict.violation_count) as f64);
        let memory = burst.memory.iter().sum::<i64>() as f64 / point.size as f64;
        add("memory_bytes", memory);
        add("memory_bytes_most", burst.memory.iter().max().copied().unwrap_or(0) as f64);
        let cpu_time = (burst.cpu_time + release.cpu_time).as_secs_f64();
        let seconds = burst.seconds + release.seconds;
        add("cpu_share", cpu_time / seconds / point.size as f64);
        add("us_per_try", cpu_time * 1e6 / (burst.verdict.tries + release.verdict.tries) as f64);
    }
    Ok(figures)
}
