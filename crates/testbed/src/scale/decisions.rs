//! Deciding where calls go: so many balancers before one service, in virtual time.
//!
//! The operators plan with 310,000 calls a second in 1,000 services: one service sees 310 a second, however
//! many services a process calls. Processes that call 1, 6 or 17 services send each 49, 8.2 or 2.9 calls a
//! second, and a service then has 6, 38 or 107 callers. The sizes played here are those of a service that
//! more call: with 6,300 balancers each sends it a call in 20 s. One of 60 servers sees ten times as much.
//!
//! Time is the thread's own around each call into the policy, less what measuring costs; memory is what the
//! allocator gave to these calls and has not got back, and the balancer itself.

use super::point::{Bound, Figures, MeasureError, Point, RoleSpec};
use nix::time::{clock_gettime, ClockId};
use oakport_core::{Action, EndpointInfo, Event, Micros, Settings};
use oakport_simulator::{simulate_with, Policy, PolicyKind, Scenario, ServerState, Verdict, Window};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Calls a second of a service for each of its servers: 310,000 by 1,000 services of six.
const RATE: f64 = 310_000.0 / 1_000.0 / 6.0;
/// Servers of the services that are played.
const SERVICES: [usize; 2] = [6, 60];
/// Windows of a verdict, of 5 s each, without trouble, and then in it.
const CALM: usize = 2;
/// See `CALM`.
const TROUBLE: usize = 1;
/// Seconds of a window.
const WINDOW: f64 = 5.0;

/// That of `scenarios/burst.toml`, with servers so large that in calm they do half of what they can do. More
/// connections than this are not looked at here: whether a server's table holds so many balancers is for
/// sockets to show.
const DAY: &str = r#"
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

/// A burst of 5 s is over after this, in seconds. The letter names no time; it is ours.
const WAY_BACK: f64 = 10.0;

/// The role.
pub const ROLE: RoleSpec = RoleSpec {
    name: "decisions",
    size_unit: "balancers",
    sizes: &[300, 1_000, 3_000, 6_300],
    bounds: &[
        Bound { figure: "of_6.cold.fallen", max: 0.0, min_size: 1, is_enforced: true },
        Bound { figure: "of_60.cold.fallen", max: 0.0, min_size: 1, is_enforced: true },
        Bound { figure: "of_6.after_burst.recover_s", max: WAY_BACK, min_size: 1, is_enforced: false },
        Bound { figure: "of_60.after_burst.recover_s", max: WAY_BACK, min_size: 1, is_enforced: false },
        Bound { figure: "of_6.rules_broken", max: 0.0, min_size: 1, is_enforced: true },
        Bound { figure: "of_60.rules_broken", max: 0.0, min_size: 1, is_enforced: true },
    ],
    measure: play,
};

/// What happens after the calm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Day {
    /// More calls than the servers bear, for a window; crowded servers choke, and clients come again at once.
    Burst,
    /// A third of the servers are replaced by cold ones, within a window.
    Release,
}

impl Day {
    fn event(self) -> &'static str {
        match self {
            Day::Burst => "[[event]]\nat = \"10s\"\nfor = \"5s\"\nwhat = \"surge\"\nfactor = 2.5",
            Day::Release => "[[event]]\nat = \"10s\"\nfor = \"5s\"\nwhat = \"release\"\npart = 0.34",
        }
    }

    fn scenario(self, balancers: usize, servers: usize) -> Result<Scenario, MeasureError> {
        let day = Scenario::parse(&format!("{DAY}{}", self.event()));
        let day = day.map_err(|odd| MeasureError::Failed(odd.to_string()))?;
        // After a burst there is time for choked servers to be well again by themselves.
        let length = if self == Day::Burst { 2 * day.duration } else { day.duration };
        Ok(Scenario { balancers, servers, duration: length, rate: RATE * servers as f64, ..day })
    }
}

/// What a day gave.
#[derive(Clone, Debug)]
pub struct Course {
    /// How it was judged.
    pub verdict: Verdict,
    /// Bytes that each balancer holds in the end.
    pub memory: Vec<i64>,
    /// Its length without its end, in seconds.
    pub seconds: f64,
    /// Events that balancers were told of.
    pub events: u64,
    /// Time that they took for them, on a core.
    pub spent: Duration,
}

/// Counts what balancers take.
struct Meter {
    deadline: Instant,
    /// What a measurement takes itself.
    costs: Duration,
    late: Cell<bool>,
    events: Cell<u64>,
    spent: Cell<Duration>,
    memory: RefCell<Vec<i64>>,
}

impl Meter {
    fn new(deadline: Instant) -> Self {
        const TRIES: u32 = 2_000;
        let begin = on_core();
        (0..TRIES).for_each(|_| {
            measured(|| {});
        });
        Meter {
            deadline,
            costs: (on_core() - begin) / TRIES,
            late: Cell::new(false),
            events: Cell::new(0),
            spent: Cell::new(Duration::ZERO),
            memory: RefCell::default(),
        }
    }
}

/// Time that this thread has spent on a core.
fn on_core() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from).unwrap_or_default()
}

/// Does something, and tells how long it took on a core and how many bytes more are held after it.
fn measured(does: impl FnOnce()) -> (Duration, i64) {
    let begin = on_core();
    let held = allocation_counter::measure(does);
    (on_core() - begin, held.bytes_current)
}

/// A policy, and what it takes.
struct Metered {
    policy: Box<dyn Policy>,
    number: usize,
    meter: Rc<Meter>,
}

impl Metered {
    fn make(seed: u64, settings: &Settings, meter: &Rc<Meter>) -> Box<dyn Policy> {
        let mut policy = None;
        let (_, held) = measured(|| policy = Some(PolicyKind::Oakport.make(seed, settings)));
        let number = meter.memory.borrow().len();
        meter.memory.borrow_mut().push(held);
        // It has just been made.
        let policy = policy.unwrap_or_else(|| unreachable!("made above"));
        Box::new(Metered { policy, number, meter: Rc::clone(meter) })
    }
}

impl Policy for Metered {
    fn handle(&mut self, now: Micros, event: Event, truth: &[ServerState], actions: &mut Vec<Action>) {
        /// Room for what an event brings: the list of actions is not the balancer's, and is not to grow.
        const ROOM: usize = 256;
        let meter = &self.meter;
        if meter.late.get() || Instant::now() > meter.deadline {
            // A day cannot be stopped, but without decisions it soon ends.
            return meter.late.set(true);
        }
        actions.reserve(ROOM);
        // What comes with an event was given by others, and is given back here.
        let given = match &event {
            Event::EndpointList { endpoints: entries, .. } => entries.capacity() * size_of::<EndpointInfo>(),
            _ => 0,
        };
        let (spent, held) = measured(|| self.policy.handle(now, event, truth, actions));
        meter.events.set(meter.events.get() + 1);
        meter.spent.set(meter.spent.get() + spent.saturating_sub(meter.costs));
        meter.memory.borrow_mut()[self.number] += held + given as i64;
    }
}

/// Plays a day with so many balancers before a service of so many servers.
///
/// # Errors
/// It did not end in its time.
pub fn course(
    balancers: usize,
    servers: usize,
    day: Day,
    seed: u64,
    deadline: Instant,
) -> Result<Course, MeasureError> {
    let meter = Rc::new(Meter::new(deadline));
    let make = |seed: u64, settings: &Settings| Metered::make(seed, settings, &meter);
    let scenario = day.scenario(balancers, servers)?;
    let verdict = simulate_with(&scenario, "oakport", PolicyKind::Oakport.visibility(), &make, seed);
    if meter.late.get() {
        let why = format!("{day:?} with {servers} servers did not end in its time");
        return Err(MeasureError::NotRun(why));
    }
    Ok(Course {
        verdict,
        memory: meter.memory.take(),
        seconds: scenario.duration as f64 / 1e6,
        events: meter.events.get(),
        spent: meter.spent.get(),
    })
}

/// Share of the worth asked for that was served in time.
fn served(windows: &[Window]) -> f64 {
    let sum = |part: fn(&Window) -> f64| windows.iter().map(part).sum::<f64>();
    match sum(|w| w.requested_weight) {
        worth if worth > 0.0 => sum(|w| w.served_weight) / worth,
        _ => 1.0,
    }
}

fn play(point: &Point) -> Result<Figures, MeasureError> {
    let mut figures = Figures::new();
    for servers in SERVICES {
        let course = |day| course(point.size, servers, day, point.seed, point.deadline);
        let (burst, release) = (course(Day::Burst)?, course(Day::Release)?);
        let (calm, troubled) = burst.verdict.windows.split_at(CALM);
        let (stirred, rest) = troubled.split_at(TROUBLE);
        let mut tell = |name: &str, value: f64| figures.insert(format!("of_{servers}.{name}"), value);
        tell("calm.served_share", served(calm));
        tell("burst.served_share", served(stirred));
        tell("after_burst.served_share", served(rest));
        // Where it is never served as before, at least the rest of the day.
        let never = burst.seconds - (CALM + TROUBLE) as f64 * WINDOW;
        tell("after_burst.recover_s", burst.verdict.recovery_time.map_or(never, |took| took as f64 / 1e6));
        tell("cold.served_share", served(&release.verdict.windows[CALM..]));
        tell("cold.fallen", (burst.verdict.cold_overloads + release.verdict.cold_overloads) as f64);
        tell("rules_broken", (burst.verdict.violation_count + release.verdict.violation_count) as f64);
        let memory = burst.memory.iter().sum::<i64>() as f64 / point.size as f64;
        tell("memory_bytes", memory);
        tell("memory_bytes_most", burst.memory.iter().max().copied().unwrap_or(0) as f64);
        let spent = (burst.spent + release.spent).as_secs_f64();
        let seconds = burst.seconds + release.seconds;
        tell("cpu_share", spent / seconds / point.size as f64);
        tell("us_per_try", spent * 1e6 / (burst.verdict.tries + release.verdict.tries) as f64);
    }
    Ok(figures)
}
