//! Role `peers`: the cost of membership, measured on `oakport-membership` with simulated processes in virtual
//! time, without events and in the situations that the operators plan with.
//!
//! Members are spread over 11 zones of 3 regions. The one-way latency is 2 to 5 ms within a zone, 3 to 8 ms
//! between zones of a region, 14 to 17 ms to the next region and 28 to 31 ms to the one after it; no datagram
//! is lost. Each member starts with three random seeds and a configured count of 1, so its live count depends
//! only on the members that it knows. Processor time is that of the thread (`CLOCK_THREAD_CPUTIME_ID`) during
//! each call into `Node`, minus the cost of measuring; memory is what these calls have allocated and not
//! freed; bytes include the headers of UDP and IP.

mod member;
pub mod net;
mod topology;

use super::point::{Bound, Figures, MeasureError, Point, RoleSpec};
use net::{Network, Propagation, Scopes, Tally, SECOND_US};
use oakport_core::Micros;
use oakport_membership::{Node, RemoteScope, ScopeStatus};
use topology::ZONES;

/// How the role is measured.
pub const ROLE: RoleSpec = RoleSpec {
    name: "peers",
    size_unit: "members",
    sizes: &[60, 300, 1_000, 3_000, 6_300],
    bounds: &BOUNDS,
    measure: measure_in_one_scope,
};

/// The same with one scope for each zone.
pub const ROLE_WITH_SCOPES: RoleSpec =
    RoleSpec { size_unit: "members in scopes", measure: measure_in_zone_scopes, ..ROLE };

/// Budget of a process for membership traffic.
const MAX_BYTES_PER_S: f64 = 22_000.0;
/// Budget of a process, as a share of a core.
const MAX_CPU_SHARE: f64 = 0.018;
/// Budget of a process.
const MAX_MEMORY_BYTES: f64 = 64e6;

const fn budget(figure: &'static str, max: f64) -> Bound {
    Bound { figure, max, min_size: 1, is_enforced: false }
}

/// The budgets of the operators, and tighter targets at the size that they plan with.
const BOUNDS: [Bound; 23] = [
    budget("quiet.bytes_in_worst_second", MAX_BYTES_PER_S),
    budget("start.bytes_in_worst_second", MAX_BYTES_PER_S),
    budget("death.bytes_in_worst_second", MAX_BYTES_PER_S),
    budget("restart.bytes_in_worst_second", MAX_BYTES_PER_S),
    budget("rack.bytes_in_worst_second", MAX_BYTES_PER_S),
    budget("zone.bytes_in_worst_second", MAX_BYTES_PER_S),
    budget("back.bytes_in_worst_second", MAX_BYTES_PER_S),
    budget("parted.bytes_in_worst_second", MAX_BYTES_PER_S),
    budget("healed.bytes_in_worst_second", MAX_BYTES_PER_S),
    budget("day.bytes_in_worst_second", MAX_BYTES_PER_S),
    budget("quiet.cpu_share", MAX_CPU_SHARE),
    budget("start.cpu_share", MAX_CPU_SHARE),
    budget("zone.cpu_share", MAX_CPU_SHARE),
    budget("parted.cpu_share", MAX_CPU_SHARE),
    budget("day.cpu_share", MAX_CPU_SHARE),
    budget("memory_bytes_most", MAX_MEMORY_BYTES),
    budget("quiet.bytes_per_s_mean", 8_000.0),
    Bound { figure: "quiet.cpu_share", max: 0.006, min_size: 6_300, is_enforced: false },
    Bound { figure: "memory_bytes_most", max: 16e6, min_size: 6_300, is_enforced: false },
    budget("start.count_off_share_after_15_s", 0.05),
    budget("zone.s_until_99_know", 8.0),
    budget("zone.held_dead_wrongly", 0.0),
    budget("healed.s_until_agreed", 15.0),
];

/// Members of a rack, if the fleet has at least `SMALL_FLEET_RACKS` times as many.
const MAX_RACK_MEMBERS: usize = 40;
/// Number of racks of a smaller fleet.
const SMALL_FLEET_RACKS: usize = 15;
/// Deaths and restarts on an ordinary day.
const DAILY_DEATHS_AND_RESTARTS: [usize; 2] = [35, 810];
/// Duration into which the events of an ordinary day are compressed.
const COMPRESSED_DAY_US: Micros = 3_600 * SECOND_US;
/// Time between the leaving of a member and its restart.
const RESTART_US: Micros = 2 * SECOND_US;
/// Time within which all members start.
const START_SPREAD_US: Micros = SECOND_US;
/// From this size on, phases are shortened, except for the partition.
const LARGE_SIZE: usize = 3_000;
/// Members that keep one thread busy.
const MEMBERS_PER_THREAD: usize = 75;
/// The byte rate has settled once it falls by less than this share from one span to the next.
const SETTLED_CHANGE_RATIO: f64 = 0.02;

/// A phase of the measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// All members start together, each with its own random seeds.
    Start,
    /// No member starts, leaves or dies.
    Quiet,
    /// One member dies and restarts.
    Death,
    /// A rack loses power and restarts.
    Rack,
    /// A zone loses power and restarts.
    Zone,
    /// A region is partitioned from the others, then the partition heals.
    Partition,
    /// Machines die and restart as on an ordinary day, compressed into an hour.
    OrdinaryDay,
    /// A new fleet, in which all members start together with the same three seeds; only for the smaller
    /// sizes.
    StartFromThree,
}

impl Phase {
    /// All phases, in the order in which they run.
    pub const ALL: [Phase; 8] = [
        Phase::Start,
        Phase::Quiet,
        Phase::Death,
        Phase::Rack,
        Phase::Zone,
        Phase::OrdinaryDay,
        Phase::Partition,
        Phase::StartFromThree,
    ];
}

fn measure_in_one_scope(point: &Point) -> Result<Figures, MeasureError> {
    run_phases(point, Scopes::One, &Phase::ALL)
}

fn measure_in_zone_scopes(point: &Point) -> Result<Figures, MeasureError> {
    run_phases(point, Scopes::Zones, &Phase::ALL)
}

/// Runs the phases in order; the first must be `Phase::Start`.
///
/// # Errors
/// The time or memory limit was reached; with the figures of the phases that had ended.
pub fn run_phases(point: &Point, scopes: Scopes, phases: &[Phase]) -> Result<Figures, MeasureError> {
    // With more threads than there is work for in a window, threads only wait for each other.
    let threads = (point.size / MEMBERS_PER_THREAD).clamp(1, rayon::current_num_threads());
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build();
    let pool = pool.map_err(|e| MeasureError::Failed(format!("threads: {e}")))?;
    let mut figures = Figures::new();
    match pool.install(|| run_in_order(point, scopes, phases, &mut figures)) {
        Ok(()) => Ok(figures),
        Err(MeasureError::NotRun(reason)) if !figures.is_empty() => {
            Err(MeasureError::Partial(figures, reason))
        }
        Err(error) => Err(error),
    }
}

/// Runs phases and adds the figures of each that has ended.
fn run_in_order(
    point: &Point,
    scopes: Scopes,
    phases: &[Phase],
    figures: &mut Figures,
) -> Result<(), MeasureError> {
    let mut network = Network::new(point.size, point.seed, scopes, point.deadline);
    for phase in phases {
        let result = match phase {
            Phase::Start => start(&mut network, figures),
            Phase::Quiet => quiet(&mut network, figures),
            Phase::Death => death(&mut network, figures),
            Phase::Rack => rack(&mut network, figures),
            Phase::Zone => zone(&mut network, figures),
            Phase::Partition => partition(&mut network, figures),
            Phase::OrdinaryDay => ordinary_day(&mut network, figures),
            Phase::StartFromThree if point.size >= LARGE_SIZE => Ok(()),
            Phase::StartFromThree => {
                network = Network::new(point.size, point.seed, scopes, point.deadline);
                start_from_three(&mut network, figures)
            }
        };
        result.map_err(|error| match error {
            MeasureError::NotRun(reason) => MeasureError::NotRun(format!("{reason}, in phase {phase:?}")),
            other => other,
        })?;
    }
    Ok(())
}

/// Number of members that a member knows of in the scope of another zone.
fn count_in_zone(node: &Node, zone: usize) -> usize {
    let of_zone = |(name, _): &(&str, &RemoteScope)| topology::zone_index(name) == Some(zone);
    match node.scopes().iter().find(of_zone) {
        // The last count of a silent scope says nothing about its present members.
        Some((_, scope)) if scope.status() == ScopeStatus::Fresh => scope.member_count(),
        _ => 0,
    }
}

/// Whether a member counts exactly the members that run, given their number in each zone.
fn knows_all(node: &Node, running: &[usize; ZONES]) -> bool {
    let Some(own) = topology::zone_index(node.scope()) else {
        return node.members().size() == running.iter().sum::<usize>();
    };
    let mut counted = [0; ZONES];
    counted[own] = node.members().size();
    counted[own] == running[own] && {
        for (name, scope) in node.scopes().iter().filter(|(_, scope)| scope.status() == ScopeStatus::Fresh) {
            if let Some(counted) = topology::zone_index(name).and_then(|zone| counted.get_mut(zone)) {
                *counted = scope.member_count();
            }
        }
        counted == *running
    }
}

/// Whether a member knows that another has stopped. Of other scopes it knows only the number of members.
fn knows_stopped(node: &Node, stopped: usize, size: usize, running: &[usize; ZONES]) -> bool {
    let zone = topology::zone(stopped, size);
    match topology::zone_index(node.scope()) {
        Some(own) if own != zone => count_in_zone(node, zone) <= running[zone],
        _ => !node.members().get(topology::address(stopped)).is_some_and(|seen| seen.status.is_live()),
    }
}

/// Runs until all members know exactly the running members.
fn run_until_all_known(network: &mut Network, timeout: Micros) -> Result<Propagation, MeasureError> {
    let running = network.running();
    network.run_until_known(timeout, 1, |node, _| usize::from(knows_all(node, &running)))
}

/// Runs until all running members know that these have stopped.
fn run_until_stop_known(
    network: &mut Network,
    timeout: Micros,
    stopped: &[usize],
) -> Result<Propagation, MeasureError> {
    let size = network.size();
    let running = network.running();
    network.run_until_known(timeout, stopped.len(), |node, known| {
        known
            + stopped[known..]
                .iter()
                .take_while(|stopped| knows_stopped(node, **stopped, size, &running))
                .count()
    })
}

/// Adds the costs of a phase.
fn add(figures: &mut Figures, name: &str, tally: &Tally) {
    let mut add = |figure: &str, value| figures.insert(format!("{name}.{figure}"), value);
    let seconds = tally.member_seconds.max(f64::MIN_POSITIVE);
    add("cpu_share", tally.total.cpu_ns as f64 / 1e9 / seconds);
    add("cpu_share_in_worst_second", tally.worst_second.cpu_ns as f64 / 1e9);
    add("bytes_per_s_mean", tally.total.bytes as f64 / seconds);
    add("bytes_in_worst_second", tally.worst_second.bytes as f64);
    add("datagrams_per_s_mean", tally.total.datagrams as f64 / seconds);
    add("datagrams_in_worst_second", tally.worst_second.datagrams as f64);
    add("held_dead_wrongly", tally.false_dead as f64);
    add("scopes_silent_wrongly", tally.false_silent as f64);
}

/// Adds the times until members knew of a change.
fn add_propagation(figures: &mut Figures, name: &str, propagation: Propagation) {
    let mut add = |figure: &str, value| figures.insert(format!("{name}.{figure}"), value);
    add("know_share", propagation.known_share);
    propagation.s_until_99_percent.map(|seconds| add("s_until_99_know", seconds));
    propagation.s_until_all.map(|seconds| add("s_until_all_know", seconds));
}

/// The lowest live count of any member, as a share of the running members.
fn count_least_share(tally: &Tally, running: usize) -> f64 {
    tally.min_live_count as f64 / running as f64
}

/// Length of a phase in seconds: `large` for large sizes, else `seconds`.
fn phase_seconds(network: &Network, seconds: f64, large: f64) -> f64 {
    if network.size() < LARGE_SIZE {
        return seconds;
    }
    large
}

/// Runs until this many seconds have passed since the tally was started.
fn run_to(network: &mut Network, seconds: f64) -> Result<(), MeasureError> {
    network.run_for(((seconds - network.elapsed_s()).max(0.0) * SECOND_US as f64) as Micros)
}

/// Starts all members within a second.
fn start_all(network: &mut Network, seeds: Option<&[usize]>) -> Result<(), MeasureError> {
    let size = network.size();
    for (order, member) in network.shuffled().into_iter().enumerate() {
        run_to(network, START_SPREAD_US as f64 * order as f64 / size as f64 / SECOND_US as f64)?;
        network.start(member, seeds);
    }
    Ok(())
}

/// Starts all members together, each with its own random seeds.
fn start(network: &mut Network, figures: &mut Figures) -> Result<(), MeasureError> {
    network.start_tally();
    start_all(network, None)?;
    let all = network.size();
    let mut propagation = run_until_all_known(network, 15 * SECOND_US - START_SPREAD_US)?;
    run_to(network, 15.0)?;
    let max_deviation =
        network.nodes().map(|node| node.live_count().get().abs_diff(all)).max().unwrap_or(all);
    if propagation.s_until_all.is_none() {
        propagation = run_until_all_known(network, 45 * SECOND_US)?;
    }
    let tally = network.tally().clone();
    add(figures, "start", &tally);
    add_propagation(figures, "start", propagation);
    figures.insert("start.count_off_share_after_15_s".to_owned(), max_deviation as f64 / all as f64);
    Ok(())
}

/// Starts all members together with the same three seeds.
fn start_from_three(network: &mut Network, figures: &mut Figures) -> Result<(), MeasureError> {
    network.start_tally();
    let size = network.size();
    start_all(network, Some(&[0, size / 3, 2 * size / 3]))?;
    let propagation = run_until_all_known(network, 120 * SECOND_US)?;
    add(figures, "start_from_three", &network.tally().clone());
    add_propagation(figures, "start_from_three", propagation);
    Ok(())
}

/// Runs until the byte rate has settled; returns the seconds that it took.
fn run_until_settled(network: &mut Network) -> Result<f64, MeasureError> {
    const MAX_SECONDS: f64 = 120.0;
    let span = phase_seconds(network, 5.0, 2.0);
    let mut before = f64::INFINITY;
    let mut settled = 0.0;
    while settled < MAX_SECONDS {
        network.start_tally();
        run_to(network, span)?;
        settled += span;
        let tally = network.tally();
        let rate = tally.total.bytes as f64 / tally.member_seconds;
        if rate > before * (1.0 - SETTLED_CHANGE_RATIO) {
            break;
        }
        before = rate;
    }
    Ok(settled)
}

/// Measures a settled fleet without events.
fn quiet(network: &mut Network, figures: &mut Figures) -> Result<(), MeasureError> {
    let settling_s = run_until_settled(network)?;
    network.start_tally();
    run_to(network, phase_seconds(network, 30.0, 10.0))?;
    let tally = network.tally().clone();
    add(figures, "quiet", &tally);
    figures.insert("quiet.s_until_settled".to_owned(), settling_s);
    let memory: Vec<usize> = network.memory().collect();
    let mean = memory.iter().sum::<usize>() as f64 / memory.len().max(1) as f64;
    figures.insert("memory_bytes".to_owned(), mean);
    let most = memory.iter().max().copied().unwrap_or(0);
    figures.insert("memory_bytes_most".to_owned(), most as f64);
    Ok(())
}

/// One member dies and restarts.
fn death(network: &mut Network, figures: &mut Figures) -> Result<(), MeasureError> {
    network.start_tally();
    let dead = network.size() / 2;
    network.crash(dead);
    let propagation = run_until_stop_known(network, 20 * SECOND_US, &[dead])?;
    run_to(network, phase_seconds(network, 10.0, 5.0))?;
    add(figures, "death", &network.tally().clone());
    add_propagation(figures, "death", propagation);
    network.start_tally();
    network.start(dead, None);
    let propagation = run_until_all_known(network, 30 * SECOND_US)?;
    run_to(network, phase_seconds(network, 5.0, 3.0))?;
    add(figures, "restart", &network.tally().clone());
    add_propagation(figures, "restart", propagation);
    Ok(())
}

/// A rack loses power and restarts.
fn rack(network: &mut Network, figures: &mut Figures) -> Result<(), MeasureError> {
    run_until_settled(network)?;
    network.start_tally();
    let rack: Vec<usize> = (0..MAX_RACK_MEMBERS.min(network.size() / SMALL_FLEET_RACKS)).collect();
    rack.iter().for_each(|member| network.crash(*member));
    let propagation = run_until_stop_known(network, 30 * SECOND_US, &rack)?;
    run_to(network, phase_seconds(network, 15.0, 8.0))?;
    add(figures, "rack", &network.tally().clone());
    add_propagation(figures, "rack", propagation);
    rack.iter().for_each(|member| network.start(*member, None));
    run_until_all_known(network, 60 * SECOND_US)?;
    Ok(())
}

/// A zone loses power and restarts half a minute later.
fn zone(network: &mut Network, figures: &mut Figures) -> Result<(), MeasureError> {
    run_until_settled(network)?;
    network.start_tally();
    let size = network.size();
    let zone: Vec<usize> = (0..size).filter(|member| topology::zone(*member, size) == 1).collect();
    zone.iter().for_each(|member| network.crash(*member));
    let propagation = run_until_stop_known(network, 30 * SECOND_US, &zone)?;
    run_to(network, phase_seconds(network, 30.0, 15.0))?;
    let tally = network.tally().clone();
    add(figures, "zone", &tally);
    add_propagation(figures, "zone", propagation);
    figures.insert("zone.count_least_share".to_owned(), count_least_share(&tally, size - zone.len()));
    network.start_tally();
    zone.iter().for_each(|member| network.start(*member, None));
    let propagation = run_until_all_known(network, 60 * SECOND_US)?;
    run_to(network, phase_seconds(network, 15.0, 10.0))?;
    add(figures, "back", &network.tally().clone());
    add_propagation(figures, "back", propagation);
    Ok(())
}

/// A region is partitioned from the others for three minutes.
fn partition(network: &mut Network, figures: &mut Figures) -> Result<(), MeasureError> {
    run_until_settled(network)?;
    network.start_tally();
    network.set_partition(Some(1));
    network.run_for(180 * SECOND_US)?;
    let tally = network.tally().clone();
    add(figures, "parted", &tally);
    figures.retain(|name, _| !(name.starts_with("parted.") && name.ends_with("_wrongly")));
    figures.insert(
        "parted.count_least_share".to_owned(),
        count_least_share(&tally, network.running().iter().sum()),
    );
    network.start_tally();
    network.set_partition(None);
    let propagation = run_until_all_known(network, 120 * SECOND_US)?;
    run_to(network, phase_seconds(network, 15.0, 8.0))?;
    add(figures, "healed", &network.tally().clone());
    // Members beyond the partition are considered dead until they are heard again.
    figures.retain(|name, _| !(name.starts_with("healed.") && name.ends_with("_wrongly")));
    figures.insert("healed.agreed_share".to_owned(), propagation.known_share);
    propagation.s_until_all.map(|seconds| figures.insert("healed.s_until_agreed".to_owned(), seconds));
    Ok(())
}

/// Some minutes of an ordinary day whose events are compressed into an hour.
fn ordinary_day(network: &mut Network, figures: &mut Figures) -> Result<(), MeasureError> {
    run_until_settled(network)?;
    network.start_tally();
    let size = network.size();
    let length = phase_seconds(network, 180.0, 30.0) as u64 * SECOND_US;
    let [deaths, restarts] = DAILY_DEATHS_AND_RESTARTS;
    let interval = COMPRESSED_DAY_US / (deaths + restarts) as Micros;
    let mut down: Option<usize> = None;
    for event in 0..(length / interval) as usize {
        let begin = network.elapsed_s();
        let member = network.draw(size);
        // Every 24th event is a death; another machine replaces the member only after this phase.
        if event % ((deaths + restarts) / deaths) == 0 {
            network.crash(member);
        } else {
            network.leave(member);
            down = Some(member);
        }
        network.run_for(RESTART_US)?;
        if let Some(member) = down.take() {
            network.start(member, None);
        }
        run_to(network, begin + interval as f64 / SECOND_US as f64)?;
    }
    let tally = network.tally().clone();
    add(figures, "day", &tally);
    figures.insert("day.s_played".to_owned(), network.elapsed_s());
    Ok(())
}
