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
use net::{Learnt, Net, Scopes, Tally, SECOND};
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
const BYTES: f64 = 22_000.0;
/// Share of a core.
const PROCESSOR: f64 = 0.018;
/// Bytes of memory.
const MEMORY: f64 = 64e6;

const fn budget(figure: &'static str, max: f64) -> Bound {
    Bound { figure, max, min_size: 1, is_enforced: false }
}

/// What the operators allow, and what is aimed at within it at the size they plan with.
const BOUNDS: [Bound; 23] = [
    budget("quiet.bytes_in_worst_second", BYTES),
    budget("start.bytes_in_worst_second", BYTES),
    budget("death.bytes_in_worst_second", BYTES),
    budget("restart.bytes_in_worst_second", BYTES),
    budget("rack.bytes_in_worst_second", BYTES),
    budget("zone.bytes_in_worst_second", BYTES),
    budget("back.bytes_in_worst_second", BYTES),
    budget("parted.bytes_in_worst_second", BYTES),
    budget("healed.bytes_in_worst_second", BYTES),
    budget("day.bytes_in_worst_second", BYTES),
    budget("quiet.cpu_share", PROCESSOR),
    budget("start.cpu_share", PROCESSOR),
    budget("zone.cpu_share", PROCESSOR),
    budget("parted.cpu_share", PROCESSOR),
    budget("day.cpu_share", PROCESSOR),
    budget("memory_bytes_most", MEMORY),
    budget("quiet.bytes_per_s_mean", 8_000.0),
    Bound { figure: "quiet.cpu_share", max: 0.006, min_size: 6_300, is_enforced: false },
    Bound { figure: "memory_bytes_most", max: 16e6, min_size: 6_300, is_enforced: false },
    budget("start.count_off_share_after_15_s", 0.05),
    budget("zone.s_until_99_know", 8.0),
    budget("zone.held_dead_wrongly", 0.0),
    budget("healed.s_until_agreed", 15.0),
];

/// Members of a rack.
const RACK: usize = 40;
/// Of a smaller site a rack is this part.
const RACK_PART: usize = 15;
/// Deaths and restarts of an ordinary day.
const DAY: [usize; 2] = [35, 810];
/// They come within so long.
const DAY_LENGTH: Micros = 3_600 * SECOND;
/// A restart takes so long.
const RESTART: Micros = 2 * SECOND;
/// All start within this.
const TOGETHER: Micros = SECOND;
/// Of the sizes from this one on moments are played for a shorter time, but for the parting.
const LARGE: usize = 3_000;
/// So many members keep a thread busy.
const MEMBERS_A_THREAD: usize = 75;
/// What is spent has settled once it falls by less than this share from one span to the next.
const SETTLED: f64 = 0.02;

/// Something that happens to all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
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
    Parted,
    /// Machines die and are restarted as on an ordinary day, but within an hour.
    Day,
    /// All start at once, and all know the same three: a fleet of its own, and only of the smaller sizes.
    StartFromThree,
}

impl Moment {
    /// All, in the order in which they are played.
    pub const ALL: [Moment; 8] = [
        Moment::Start,
        Moment::Quiet,
        Moment::Death,
        Moment::Rack,
        Moment::Zone,
        Moment::Day,
        Moment::Parted,
        Moment::StartFromThree,
    ];
}

fn play(point: &Point) -> Result<Figures, MeasureError> {
    moments(point, Scopes::One, &Moment::ALL)
}

fn play_in_scopes(point: &Point) -> Result<Figures, MeasureError> {
    moments(point, Scopes::Zones, &Moment::ALL)
}

/// Plays one moment after the other, the first of which is the start.
///
/// # Errors
/// The time or the memory that it may take was used up; with the figures of the moments that had ended.
pub fn moments(point: &Point, scopes: Scopes, moments: &[Moment]) -> Result<Figures, MeasureError> {
    // More threads than have something to do in a window only wait for one another.
    let threads = (point.size / MEMBERS_A_THREAD).clamp(1, rayon::current_num_threads());
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build();
    let pool = pool.map_err(|e| MeasureError::Failed(format!("threads: {e}")))?;
    let mut figures = Figures::new();
    match pool.install(|| in_turn(point, scopes, moments, &mut figures)) {
        Ok(()) => Ok(figures),
        Err(MeasureError::NotRun(why)) if !figures.is_empty() => Err(MeasureError::Partial(figures, why)),
        Err(stopped) => Err(stopped),
    }
}

/// Plays moments and adds the figures of each that has ended.
fn in_turn(
    point: &Point,
    scopes: Scopes,
    moments: &[Moment],
    figures: &mut Figures,
) -> Result<(), MeasureError> {
    let mut net = Net::new(point.size, point.seed, scopes, point.deadline);
    for moment in moments {
        let played = match moment {
            Moment::Start => start(&mut net, figures),
            Moment::Quiet => quiet(&mut net, figures),
            Moment::Death => death(&mut net, figures),
            Moment::Rack => rack(&mut net, figures),
            Moment::Zone => zone(&mut net, figures),
            Moment::Parted => parted(&mut net, figures),
            Moment::Day => day(&mut net, figures),
            Moment::StartFromThree if point.size >= LARGE => Ok(()),
            Moment::StartFromThree => {
                net = Net::new(point.size, point.seed, scopes, point.deadline);
                start_from_three(&mut net, figures)
            }
        };
        played.map_err(|stopped| match stopped {
            MeasureError::NotRun(why) => MeasureError::NotRun(format!("{why}, in its moment {moment:?}")),
            other => other,
        })?;
    }
    Ok(())
}

/// How many a member holds to be in another scope than its own.
fn in_scope(peers: &Node, zone: usize) -> usize {
    let of_zone = |(name, _): &(&str, &RemoteScope)| topology::named(name) == Some(zone);
    match peers.scopes().iter().find(of_zone) {
        // What a scope that is silent had last is not known to be there.
        Some((_, scope)) if scope.status() == ScopeStatus::Fresh => scope.member_count(),
        _ => 0,
    }
}

/// Whether a member holds all that run to be there, and no other; so many run in each zone.
fn knows_all(peers: &Node, running: &[usize; ZONES]) -> bool {
    let Some(own) = topology::named(peers.scope()) else {
        return peers.members().size() == running.iter().sum::<usize>();
    };
    let mut held = [0; ZONES];
    held[own] = peers.members().size();
    held[own] == running[own] && {
        for (name, scope) in peers.scopes().iter().filter(|(_, scope)| scope.status() == ScopeStatus::Fresh) {
            if let Some(held) = topology::named(name).and_then(|zone| held.get_mut(zone)) {
                *held = scope.member_count();
            }
        }
        held == *running
    }
}

/// Whether a member knows that another is gone. Of another scope it is told how many there are.
fn knows_gone(peers: &Node, gone: usize, size: usize, running: &[usize; ZONES]) -> bool {
    let zone = topology::zone(gone, size);
    match topology::named(peers.scope()) {
        Some(own) if own != zone => in_scope(peers, zone) <= running[zone],
        _ => !peers.members().get(topology::address(gone)).is_some_and(|seen| seen.status.is_live()),
    }
}

/// Goes on until all hold all that run to be there, and no other.
fn all_know_all(net: &mut Net, most: Micros) -> Result<Learnt, MeasureError> {
    let running = net.running();
    net.learn(most, 1, |peers, _| usize::from(knows_all(peers, &running)))
}

/// Goes on until all know that these are gone.
fn all_know_gone(net: &mut Net, most: Micros, gone: &[usize]) -> Result<Learnt, MeasureError> {
    let (size, running) = (net.size(), net.running());
    net.learn(most, gone.len(), |peers, known| {
        known + gone[known..].iter().take_while(|gone| knows_gone(peers, **gone, size, &running)).count()
    })
}

/// Adds what a moment cost.
fn add(figures: &mut Figures, name: &str, tally: &Tally) {
    let mut add = |figure: &str, value| figures.insert(format!("{name}.{figure}"), value);
    let seconds = tally.seconds.max(f64::MIN_POSITIVE);
    add("cpu_share", tally.all.processor as f64 / 1e9 / seconds);
    add("cpu_share_in_worst_second", tally.worst_second.processor as f64 / 1e9);
    add("bytes_per_s_mean", tally.all.bytes as f64 / seconds);
    add("bytes_in_worst_second", tally.worst_second.bytes as f64);
    add("datagrams_per_s_mean", tally.all.datagrams as f64 / seconds);
    add("datagrams_in_worst_second", tally.worst_second.datagrams as f64);
    add("held_dead_wrongly", tally.wrongly as f64);
    add("scopes_silent_wrongly", tally.silent_wrongly as f64);
}

/// Adds how long it took until members knew.
fn add_learnt(figures: &mut Figures, name: &str, learnt: Learnt) {
    let mut add = |figure: &str, value| figures.insert(format!("{name}.{figure}"), value);
    add("know_share", learnt.share);
    learnt.most.map(|seconds| add("s_until_99_know", seconds));
    learnt.all.map(|seconds| add("s_until_all_know", seconds));
}

/// The least that a member counted, as a share of those that are really there.
fn count_least_share(tally: &Tally, there: usize) -> f64 {
    tally.least_count as f64 / there as f64
}

/// So many seconds, or of large sizes fewer.
fn lasts(net: &Net, seconds: f64, large: f64) -> f64 {
    if net.size() < LARGE {
        return seconds;
    }
    large
}

/// Goes on until a moment that began has lasted so long.
fn last(net: &mut Net, seconds: f64) -> Result<(), MeasureError> {
    net.go(((seconds - net.passed()).max(0.0) * SECOND as f64) as Micros)
}

/// Starts all within a second.
fn start_all(net: &mut Net, seeds: Option<&[usize]>) -> Result<(), MeasureError> {
    let size = net.size();
    for (order, member) in net.shuffled().into_iter().enumerate() {
        last(net, TOGETHER as f64 * order as f64 / size as f64 / SECOND as f64)?;
        net.start(member, seeds);
    }
    Ok(())
}

/// All start at once, each with seeds of its own.
fn start(net: &mut Net, figures: &mut Figures) -> Result<(), MeasureError> {
    net.begin();
    start_all(net, None)?;
    let all = net.size();
    let mut learnt = all_know_all(net, 15 * SECOND - TOGETHER)?;
    last(net, 15.0)?;
    let off = net.peers().map(|peers| peers.live_count().get().abs_diff(all)).max().unwrap_or(all);
    if learnt.all.is_none() {
        learnt = all_know_all(net, 45 * SECOND)?;
    }
    let tally = net.spent().clone();
    add(figures, "start", &tally);
    add_learnt(figures, "start", learnt);
    figures.insert("start.count_off_share_after_15_s".to_owned(), off as f64 / all as f64);
    Ok(())
}

/// All start at once, and all know the same three.
fn start_from_three(net: &mut Net, figures: &mut Figures) -> Result<(), MeasureError> {
    net.begin();
    let size = net.size();
    start_all(net, Some(&[0, size / 3, 2 * size / 3]))?;
    let learnt = all_know_all(net, 120 * SECOND)?;
    add(figures, "start_from_three", &net.spent().clone());
    add_learnt(figures, "start_from_three", learnt);
    Ok(())
}

/// Goes on until what is spent falls no more.
fn settle(net: &mut Net) -> Result<f64, MeasureError> {
    const MOST: f64 = 120.0;
    let span = lasts(net, 5.0, 2.0);
    let (mut before, mut settled) = (f64::INFINITY, 0.0);
    while settled < MOST {
        net.begin();
        last(net, span)?;
        settled += span;
        let tally = net.spent();
        let rate = tally.all.bytes as f64 / tally.seconds;
        if rate > before * (1.0 - SETTLED) {
            break;
        }
        before = rate;
    }
    Ok(settled)
}

/// Nothing happens.
fn quiet(net: &mut Net, figures: &mut Figures) -> Result<(), MeasureError> {
    let settled = settle(net)?;
    net.begin();
    last(net, lasts(net, 30.0, 10.0))?;
    let tally = net.spent().clone();
    add(figures, "quiet", &tally);
    figures.insert("quiet.s_until_settled".to_owned(), settled);
    let memory: Vec<usize> = net.memory().collect();
    let mean = memory.iter().sum::<usize>() as f64 / memory.len().max(1) as f64;
    figures.insert("memory_bytes".to_owned(), mean);
    let most = memory.iter().max().copied().unwrap_or(0);
    figures.insert("memory_bytes_most".to_owned(), most as f64);
    Ok(())
}

/// One dies.
fn death(net: &mut Net, figures: &mut Figures) -> Result<(), MeasureError> {
    net.begin();
    let dead = net.size() / 2;
    net.die(dead);
    let learnt = all_know_gone(net, 20 * SECOND, &[dead])?;
    last(net, lasts(net, 10.0, 5.0))?;
    add(figures, "death", &net.spent().clone());
    add_learnt(figures, "death", learnt);
    net.begin();
    net.start(dead, None);
    let learnt = all_know_all(net, 30 * SECOND)?;
    last(net, lasts(net, 5.0, 3.0))?;
    add(figures, "restart", &net.spent().clone());
    add_learnt(figures, "restart", learnt);
    Ok(())
}

/// A rack loses its power.
fn rack(net: &mut Net, figures: &mut Figures) -> Result<(), MeasureError> {
    settle(net)?;
    net.begin();
    let rack: Vec<usize> = (0..RACK.min(net.size() / RACK_PART)).collect();
    rack.iter().for_each(|member| net.die(*member));
    let learnt = all_know_gone(net, 30 * SECOND, &rack)?;
    last(net, lasts(net, 15.0, 8.0))?;
    add(figures, "rack", &net.spent().clone());
    add_learnt(figures, "rack", learnt);
    rack.iter().for_each(|member| net.start(*member, None));
    all_know_all(net, 60 * SECOND)?;
    Ok(())
}

/// A zone loses its power, and starts anew half a minute later.
fn zone(net: &mut Net, figures: &mut Figures) -> Result<(), MeasureError> {
    settle(net)?;
    net.begin();
    let size = net.size();
    let zone: Vec<usize> = (0..size).filter(|member| topology::zone(*member, size) == 1).collect();
    zone.iter().for_each(|member| net.die(*member));
    let learnt = all_know_gone(net, 30 * SECOND, &zone)?;
    last(net, lasts(net, 30.0, 15.0))?;
    let tally = net.spent().clone();
    add(figures, "zone", &tally);
    add_learnt(figures, "zone", learnt);
    figures.insert("zone.count_least_share".to_owned(), count_least_share(&tally, size - zone.len()));
    net.begin();
    zone.iter().for_each(|member| net.start(*member, None));
    let learnt = all_know_all(net, 60 * SECOND)?;
    last(net, lasts(net, 15.0, 10.0))?;
    add(figures, "back", &net.spent().clone());
    add_learnt(figures, "back", learnt);
    Ok(())
}

/// A region is parted from the others for three minutes.
fn parted(net: &mut Net, figures: &mut Figures) -> Result<(), MeasureError> {
    settle(net)?;
    net.begin();
    net.part(Some(1));
    net.go(180 * SECOND)?;
    let tally = net.spent().clone();
    add(figures, "parted", &tally);
    figures.retain(|name, _| !(name.starts_with("parted.") && name.ends_with("_wrongly")));
    figures
        .insert("parted.count_least_share".to_owned(), count_least_share(&tally, net.running().iter().sum()));
    net.begin();
    net.part(None);
    let learnt = all_know_all(net, 120 * SECOND)?;
    last(net, lasts(net, 15.0, 8.0))?;
    add(figures, "healed", &net.spent().clone());
    // Who was parted is held dead until it is heard again.
    figures.retain(|name, _| !(name.starts_with("healed.") && name.ends_with("_wrongly")));
    figures.insert("healed.agreed_share".to_owned(), learnt.share);
    learnt.all.map(|seconds| figures.insert("healed.s_until_agreed".to_owned(), seconds));
    Ok(())
}

/// Some minutes of an ordinary day whose events come within an hour.
fn day(net: &mut Net, figures: &mut Figures) -> Result<(), MeasureError> {
    settle(net)?;
    net.begin();
    let size = net.size();
    let length = lasts(net, 180.0, 30.0) as u64 * SECOND;
    let [deaths, restarts] = DAY;
    let every = DAY_LENGTH / (deaths + restarts) as Micros;
    let mut down: Option<usize> = None;
    for event in 0..(length / every) as usize {
        let begin = net.passed();
        let member = net.draw(size);
        // Each 24th is a death, which another machine replaces only after this.
        if event % ((deaths + restarts) / deaths) == 0 {
            net.die(member);
        } else {
            net.leave(member);
            down = Some(member);
        }
        net.go(RESTART)?;
        if let Some(member) = down.take() {
            net.start(member, None);
        }
        last(net, begin + every as f64 / SECOND as f64)?;
    }
    let tally = net.spent().clone();
    add(figures, "day", &tally);
    figures.insert("day.s_played".to_owned(), net.passed());
    Ok(())
}
