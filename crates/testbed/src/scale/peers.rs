//! Knowing who is present: `oakport-membership` by hollow processes in virtual time, in quiet and in the moments
//! that the operators plan with.
//!
//! Members lie in 11 zones of 3 regions. A datagram is under way for 2 to 5 ms within a zone, 3 to 8 ms
//! between zones of a region, 14 to 17 ms to the next region and 28 to 31 ms to the one after it; none is
//! lost. Each member is told of three others, drawn for it, and of one process, so that what it counts is all
//! from what it knows. Processor time is the thread's own (`CLOCK_THREAD_CPUTIME_ID`) around each call into
//! `Peers`, less what measuring costs; memory is what these calls allocate and hold; bytes have the headers
//! of UDP and IP.

mod member;
pub mod net;
mod topology;

use super::point::{Bound, Figures, MeasureError, Point, RoleSpec};
use net::{Network, Propagation, Scopes, Tally, SECOND_US};
use oakport_core::Micros;
use oakport_membership::{Node, RemoteScope, ScopeStatus};
use topology::ZONES;

/// The role.
pub const ROLE: RoleSpec = RoleSpec {
    name: "peers",
    size_unit: "members",
    sizes: &[60, 300, 1_000, 3_000, 6_300],
    bounds: &BOUNDS,
    measure: play,
};

/// The role with a scope for each zone.
pub const ROLE_WITH_SCOPES: RoleSpec =
    RoleSpec { size_unit: "members in scopes", measure: play_in_scopes, ..ROLE };

/// Bytes a second that control may cost a process.
const MAX_BYTES_PER_S: f64 = 22_000.0;
/// Share of a core.
const MAX_CPU_SHARE: f64 = 0.018;
/// Bytes of memory.
const MAX_MEMORY_BYTES: f64 = 64e6;

const fn budget(figure: &'static str, max: f64) -> Bound {
    Bound { figure, max, min_size: 1, is_enforced: false }
}

/// What the operators allow, and what is aimed at within it at the size they plan with.
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

/// Members of a rack.
const MAX_RACK_MEMBERS: usize = 40;
/// Of a smaller site a rack is this part.
const SMALL_SITE_RACKS: usize = 15;
/// Deaths and restarts of an ordinary day.
const DAILY_DEATHS_AND_RESTARTS: [usize; 2] = [35, 810];
/// They come within so long.
const DAY_LENGTH_US: Micros = 3_600 * SECOND_US;
/// A restart takes so long.
const RESTART_US: Micros = 2 * SECOND_US;
/// All start within this.
const START_SPREAD_US: Micros = SECOND_US;
/// Of the sizes from this one on moments are played for a shorter time, but for the parting.
const LARGE_SIZE: usize = 3_000;
/// So many members keep a thread busy.
const MEMBERS_PER_THREAD: usize = 75;
/// What is spent has settled once it falls by less than this share from one span to the next.
const SETTLED_CHANGE_RATIO: f64 = 0.02;

/// Something that happens to all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// All start at once, each with seeds of its own.
    Start,
    /// Nothing happens.
    Quiet,
    /// One dies, and starts anew.
    Death,
    /// A rack loses its power, and starts anew.
    Rack,
    /// A zone loses its power, and starts anew.
    Zone,
    /// A region is parted from the others, and joins them again.
    Partition,
    /// Machines die and are restarted as on an ordinary day, but within an hour.
    OrdinaryDay,
    /// All start at once, and all know the same three: a fleet of its own, and only of the smaller sizes.
    StartFromThree,
}

impl Phase {
    /// All, in the order in which they are played.
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

fn play(point: &Point) -> Result<Figures, MeasureError> {
    run_phases(point, Scopes::One, &Phase::ALL)
}

fn play_in_scopes(point: &Point) -> Result<Figures, MeasureError> {
    run_phases(point, Scopes::Zones, &Phase::ALL)
}

/// Plays one moment after the other, the first of which is the start.
///
/// # Errors
/// The time or the memory that it may take was used up; with the figures of the moments that had ended.
pub fn run_phases(point: &Point, scopes: Scopes, phases: &[Phase]) -> Result<Figures, MeasureError> {
    // More threads than have something to do in a window only wait for one another.
    let threads = (point.size / MEMBERS_PER_THREAD).clamp(1, rayon::current_num_threads());
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build();
    let pool = pool.map_err(|e| MeasureError::Failed(format!("threads: {e}")))?;
    let mut figures = Figures::new();
    match pool.install(|| run_in_order(point, scopes, phases, &mut figures)) {
        Ok(()) => Ok(figures),
        Err(MeasureError::NotRun(why)) if !figures.is_empty() => Err(MeasureError::Partial(figures, why)),
        Err(stopped) => Err(stopped),
    }
}

/// Plays moments and adds the figures of each that has ended.
fn run_in_order(
    point: &Point,
    scopes: Scopes,
    phases: &[Phase],
    figures: &mut Figures,
) -> Result<(), MeasureError> {
    let mut network = Network::new(point.size, point.seed, scopes, point.deadline);
    for phase in phases {
        let played = match phase {
            Phase::Start => start(&mut network, figures),
            Phase::Quiet => quiet(&mut network, figures),
            Phase::Death => death(&mut network, figures),
            Phase::Rack => rack(&mut network, figures),
            Phase::Zone => zone(&mut network, figures),
            Phase::Partition => parted(&mut network, figures),
            Phase::OrdinaryDay => day(&mut network, figures),
            Phase::StartFromThree if point.size >= LARGE_SIZE => Ok(()),
            Phase::StartFromThree => {
                network = Network::new(point.size, point.seed, scopes, point.deadline);
                start_from_three(&mut network, figures)
            }
        };
        played.map_err(|stopped| match stopped {
            MeasureError::NotRun(why) => MeasureError::NotRun(format!("{why}, in its moment {phase:?}")),
            other => other,
        })?;
    }
    Ok(())
}

/// How many a member holds to be in another scope than its own.
fn count_in_zone(node: &Node, zone: usize) -> usize {
    let of_zone = |(name, _): &(&str, &RemoteScope)| topology::zone_index(name) == Some(zone);
    match node.scopes().iter().find(of_zone) {
        // What a scope that is silent had last is not known to be there.
        Some((_, scope)) if scope.status() == ScopeStatus::Fresh => scope.member_count(),
        _ => 0,
    }
}

/// Whether a member holds all that run to be there, and no other; so many run in each zone.
fn knows_all(node: &Node, running: &[usize; ZONES]) -> bool {
    let Some(own) = topology::zone_index(node.scope()) else {
        return node.members().size() == running.iter().sum::<usize>();
    };
    let mut held = [0; ZONES];
    held[own] = node.members().size();
    held[own] == running[own] && {
        for (name, scope) in node.scopes().iter().filter(|(_, scope)| scope.status() == ScopeStatus::Fresh) {
            if let Some(held) = topology::zone_index(name).and_then(|zone| held.get_mut(zone)) {
                *held = scope.member_count();
            }
        }
        held == *running
    }
}

/// Whether a member knows that another is gone. Of another scope it is told how many there are.
fn knows_gone(node: &Node, gone: usize, size: usize, running: &[usize; ZONES]) -> bool {
    let zone = topology::zone(gone, size);
    match topology::zone_index(node.scope()) {
        Some(own) if own != zone => count_in_zone(node, zone) <= running[zone],
        _ => !node.members().get(topology::address(gone)).is_some_and(|seen| seen.status.is_live()),
    }
}

/// Goes on until all hold all that run to be there, and no other.
fn run_until_all_known(network: &mut Network, most: Micros) -> Result<Propagation, MeasureError> {
    let running = network.running();
    network.run_until_known(most, 1, |node, _| usize::from(knows_all(node, &running)))
}

/// Goes on until all know that these are gone.
fn run_until_gone_known(
    network: &mut Network,
    most: Micros,
    gone: &[usize],
) -> Result<Propagation, MeasureError> {
    let (size, running) = (network.size(), network.running());
    network.run_until_known(most, gone.len(), |node, known| {
        known + gone[known..].iter().take_while(|gone| knows_gone(node, **gone, size, &running)).count()
    })
}

/// Adds what a moment cost.
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

/// Adds how long it took until members knew.
fn add_propagation(figures: &mut Figures, name: &str, propagation: Propagation) {
    let mut add = |figure: &str, value| figures.insert(format!("{name}.{figure}"), value);
    add("know_share", propagation.share);
    propagation.most.map(|seconds| add("s_until_99_know", seconds));
    propagation.all.map(|seconds| add("s_until_all_know", seconds));
}

/// The least that a member counted, as a share of those that are really there.
fn count_least_share(tally: &Tally, there: usize) -> f64 {
    tally.least_count as f64 / there as f64
}

/// So many seconds, or of large sizes fewer.
fn phase_seconds(network: &Network, seconds: f64, large: f64) -> f64 {
    if network.size() < LARGE_SIZE {
        return seconds;
    }
    large
}

/// Goes on until a moment that began has lasted so long.
fn run_to(network: &mut Network, seconds: f64) -> Result<(), MeasureError> {
    network.run_for(((seconds - network.elapsed_s()).max(0.0) * SECOND_US as f64) as Micros)
}

/// Starts all within a second.
fn start_all(network: &mut Network, seeds: Option<&[usize]>) -> Result<(), MeasureError> {
    let size = network.size();
    for (order, member) in network.shuffled().into_iter().enumerate() {
        run_to(network, START_SPREAD_US as f64 * order as f64 / size as f64 / SECOND_US as f64)?;
        network.start(member, seeds);
    }
    Ok(())
}

/// All start at once, each with seeds of its own.
fn start(network: &mut Network, figures: &mut Figures) -> Result<(), MeasureError> {
    network.start_tally();
    start_all(network, None)?;
    let all = network.size();
    let mut propagation = run_until_all_known(network, 15 * SECOND_US - START_SPREAD_US)?;
    run_to(network, 15.0)?;
    let off = network.nodes().map(|node| node.live_count().get().abs_diff(all)).max().unwrap_or(all);
    if propagation.all.is_none() {
        propagation = run_until_all_known(network, 45 * SECOND_US)?;
    }
    let tally = network.tally().clone();
    add(figures, "start", &tally);
    add_propagation(figures, "start", propagation);
    figures.insert("start.count_off_share_after_15_s".to_owned(), off as f64 / all as f64);
    Ok(())
}

/// All start at once, and all know the same three.
fn start_from_three(network: &mut Network, figures: &mut Figures) -> Result<(), MeasureError> {
    network.start_tally();
    let size = network.size();
    start_all(network, Some(&[0, size / 3, 2 * size / 3]))?;
    let propagation = run_until_all_known(network, 120 * SECOND_US)?;
    add(figures, "start_from_three", &network.tally().clone());
    add_propagation(figures, "start_from_three", propagation);
    Ok(())
}

/// Goes on until what is spent falls no more.
fn settle(network: &mut Network) -> Result<f64, MeasureError> {
    const MAX_SECONDS: f64 = 120.0;
    let span = phase_seconds(network, 5.0, 2.0);
    let (mut before, mut settled) = (f64::INFINITY, 0.0);
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

/// Nothing happens.
fn quiet(network: &mut Network, figures: &mut Figures) -> Result<(), MeasureError> {
    let settled = settle(network)?;
    network.start_tally();
    run_to(network, phase_seconds(network, 30.0, 10.0))?;
    let tally = network.tally().clone();
    add(figures, "quiet", &tally);
    figures.insert("quiet.s_until_settled".to_owned(), settled);
    let memory: Vec<usize> = network.memory().collect();
    let mean = memory.iter().sum::<usize>() as f64 / memory.len().max(1) as f64;
    figures.insert("memory_bytes".to_owned(), mean);
    let most = memory.iter().max().copied().unwrap_or(0);
    figures.insert("memory_bytes_most".to_owned(), most as f64);
    Ok(())
}

/// One dies.
fn death(network: &mut Network, figures: &mut Figures) -> Result<(), MeasureError> {
    network.start_tally();
    let dead = network.size() / 2;
    network.crash(dead);
    let propagation = run_until_gone_known(network, 20 * SECOND_US, &[dead])?;
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

/// A rack loses its power.
fn rack(network: &mut Network, figures: &mut Figures) -> Result<(), MeasureError> {
    settle(network)?;
    network.start_tally();
    let rack: Vec<usize> = (0..MAX_RACK_MEMBERS.min(network.size() / SMALL_SITE_RACKS)).collect();
    rack.iter().for_each(|member| network.crash(*member));
    let propagation = run_until_gone_known(network, 30 * SECOND_US, &rack)?;
    run_to(network, phase_seconds(network, 15.0, 8.0))?;
    add(figures, "rack", &network.tally().clone());
    add_propagation(figures, "rack", propagation);
    rack.iter().for_each(|member| network.start(*member, None));
    run_until_all_known(network, 60 * SECOND_US)?;
    Ok(())
}

/// A zone loses its power, and starts anew half a minute later.
fn zone(network: &mut Network, figures: &mut Figures) -> Result<(), MeasureError> {
    settle(network)?;
    network.start_tally();
    let size = network.size();
    let zone: Vec<usize> = (0..size).filter(|member| topology::zone(*member, size) == 1).collect();
    zone.iter().for_each(|member| network.crash(*member));
    let propagation = run_until_gone_known(network, 30 * SECOND_US, &zone)?;
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

/// A region is parted from the others for three minutes.
fn parted(network: &mut Network, figures: &mut Figures) -> Result<(), MeasureError> {
    settle(network)?;
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
    // Who was parted is held dead until it is heard again.
    figures.retain(|name, _| !(name.starts_with("healed.") && name.ends_with("_wrongly")));
    figures.insert("healed.agreed_share".to_owned(), propagation.share);
    propagation.all.map(|seconds| figures.insert("healed.s_until_agreed".to_owned(), seconds));
    Ok(())
}

/// Some minutes of an ordinary day whose events come within an hour.
fn day(network: &mut Network, figures: &mut Figures) -> Result<(), MeasureError> {
    settle(network)?;
    network.start_tally();
    let size = network.size();
    let length = phase_seconds(network, 180.0, 30.0) as u64 * SECOND_US;
    let [deaths, restarts] = DAILY_DEATHS_AND_RESTARTS;
    let every = DAY_LENGTH_US / (deaths + restarts) as Micros;
    let mut down: Option<usize> = None;
    for event in 0..(length / every) as usize {
        let begin = network.elapsed_s();
        let member = network.draw(size);
        // Each 24th is a death, which another machine replaces only after this.
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
        run_to(network, begin + every as f64 / SECOND_US as f64)?;
    }
    let tally = network.tally().clone();
    add(figures, "day", &tally);
    figures.insert("day.s_played".to_owned(), network.elapsed_s());
    Ok(())
}
