//! Hollow members in virtual time. No datagram is under way for less than a window, so that the members play
//! a window side by side; each draws for itself and takes what came in the order of time and sender, whoever
//! plays it.

use super::member::{self, Event, Member, NetworkConditions, Usage, WindowResult};
use super::topology;
use crate::scale::point::MeasureError;
use oakport_core::Micros;
use oakport_membership::Node;
use rand::seq::index;
use rand::Rng;
use rand_pcg::Pcg32;
use rayon::prelude::*;
use std::time::Instant;

/// A second.
pub const SECOND_US: Micros = 1_000_000;
/// A window.
const WINDOW_US: Micros = topology::MIN_LATENCY_US;
/// Windows that are laid out; what is due later is looked at again meanwhile.
const SCHEDULED_WINDOWS: usize = 1_024;
/// With fewer members in a window they are played by one thread: that is sooner done.
const MIN_PARALLEL_MEMBERS: usize = 4;
/// Others that each member is told of at its start.
pub const SEEDS: usize = 3;
/// Between two looks at what the members hold.
const KNOWLEDGE_CHECK_US: Micros = 100_000;
/// Windows between two looks at this program's memory.
const MEMORY_CHECK_WINDOWS: u64 = 250;

/// Which members know each other one by one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scopes {
    /// All.
    One,
    /// Those of a zone; of the others they know how many there are.
    Zones,
}

/// A fleet of hollow members on a network.
pub struct Network {
    scopes: Scopes,
    now: Micros,
    /// What is due, by its window.
    due: Vec<Vec<Event>>,
    members: Vec<Member>,
    conditions: NetworkConditions,
    random: Pcg32,
    deadline: Instant,
    windows: u64,
    tally: Tally,
}

/// What was spent since a moment began.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    start: Micros,
    /// When the second that runs began.
    second_start: Micros,
    /// Seconds, added over the members that ran.
    pub member_seconds: f64,
    /// All members together.
    pub total: Usage,
    /// The most of a member in a second.
    pub worst_second: Usage,
    /// The most processor time of a member.
    pub max_cpu_ns: u64,
    /// The least that a member counted.
    pub least_count: usize,
    /// How often one was held dead that ran and could be reached.
    pub false_dead: u64,
    /// How often a scope was held silent of which some ran and could be reached.
    pub false_silent: u64,
    cpu_ns_by_member: Vec<u64>,
}

/// How far the members have learnt something.
#[derive(Clone, Copy, Debug)]
pub struct Propagation {
    /// When 99 in 100 had, in seconds from the moment's beginning.
    pub most: Option<f64>,
    /// When all had.
    pub all: Option<f64>,
    /// The share that had at the end.
    pub share: f64,
}

impl Network {
    /// Members that do not run yet.
    pub fn new(size: usize, seed: u64, scopes: Scopes, deadline: Instant) -> Self {
        let conditions = NetworkConditions {
            size,
            partitioned_region: None,
            loss_share: 0.0,
            measuring_cost_ns: member::measuring_cost_ns(),
        };
        Network {
            scopes,
            // Not the zero of time, which is the life of nobody.
            now: 1_000 * SECOND_US,
            due: (0..SCHEDULED_WINDOWS).map(|_| Vec::new()).collect(),
            members: (0..size).map(|number| Member::new(number, seed)).collect(),
            conditions,
            random: Pcg32::new(seed, size as u64),
            deadline,
            windows: 0,
            tally: Tally::default(),
        }
    }

    /// Members, running or not.
    pub fn size(&self) -> usize {
        self.members.len()
    }

    /// How many run in each zone.
    pub fn running(&self) -> [usize; topology::ZONES] {
        let mut running = [0; topology::ZONES];
        let members = self.members.iter().enumerate().filter(|(_, member)| member.node.is_some());
        members.for_each(|(number, _)| running[topology::zone(number, self.members.len())] += 1);
        running
    }

    /// All members' state machines that run.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.members.iter().filter_map(|member| member.node.as_deref())
    }

    /// Bytes of memory that each that runs holds.
    pub fn memory(&self) -> impl Iterator<Item = usize> + '_ {
        let running = self.members.iter().filter(|member| member.node.is_some());
        running.map(|member| std::mem::size_of::<Node>() + usize::try_from(member.heap).unwrap_or(0))
    }

    /// All members, in an order by lot.
    pub fn shuffled(&mut self) -> Vec<usize> {
        index::sample(&mut self.random, self.members.len(), self.members.len()).into_vec()
    }

    /// A number below another, by lot.
    pub fn draw(&mut self, below: usize) -> usize {
        self.random.gen_range(0..below)
    }

    fn schedule(&mut self, event: Event) {
        // What is due later than is laid out is looked at at its end: that can only be a timer.
        let last = self.now + (SCHEDULED_WINDOWS as Micros - 1) * WINDOW_US;
        let window = event.at.min(last) / WINDOW_US;
        self.due[window as usize % SCHEDULED_WINDOWS].push(event);
    }

    /// Starts a member that knows these, or else some that are drawn.
    pub fn start(&mut self, number: usize, seeds: Option<&[usize]>) {
        let size = self.size();
        let others = index::sample(&mut self.random, size - 1, SEEDS.min(size - 1));
        let drawn: Vec<usize> = others.iter().map(|other| other + usize::from(other >= number)).collect();
        let zone = topology::zone(number, size);
        let scope = match self.scopes {
            Scopes::One => String::new(),
            Scopes::Zones => topology::zone_name(zone),
        };
        let event = self.members[number].start(self.now, zone, seeds.unwrap_or(&drawn), &scope);
        self.schedule(event);
    }

    /// A member dies.
    pub fn crash(&mut self, number: usize) {
        self.members[number].crash();
    }

    /// A member says that it leaves, and ends.
    pub fn leave(&mut self, number: usize) {
        let sent = self.members[number].leave(self.now, &self.conditions);
        sent.into_iter().for_each(|event| self.schedule(event));
    }

    /// Nothing passes to and from a region, or everything does.
    pub fn set_partition(&mut self, region: Option<usize>) {
        self.conditions.partitioned_region = region;
    }

    /// A moment begins, of which what is spent is told.
    pub fn start_tally(&mut self) {
        self.members.iter_mut().for_each(|member| member.usage = Usage::default());
        let least_count = usize::MAX;
        let cpu_ns_by_member = vec![0; self.size()];
        self.tally = Tally {
            start: self.now,
            second_start: self.now,
            least_count,
            cpu_ns_by_member,
            ..Tally::default()
        };
    }

    /// What has been spent since the moment began.
    pub fn tally(&mut self) -> &Tally {
        self.close_second();
        &self.tally
    }

    /// Adds up a second, or the part of one that has passed.
    fn close_second(&mut self) {
        let tally = &mut self.tally;
        let passed = (self.now - tally.second_start) as f64 / SECOND_US as f64;
        tally.second_start = self.now;
        for (member, cpu_ns) in self.members.iter_mut().zip(&mut tally.cpu_ns_by_member) {
            let usage = std::mem::take(&mut member.usage);
            tally.total.cpu_ns += usage.cpu_ns;
            tally.total.bytes += usage.bytes;
            tally.total.datagrams += usage.datagrams;
            tally.worst_second.cpu_ns = tally.worst_second.cpu_ns.max(usage.cpu_ns);
            tally.worst_second.bytes = tally.worst_second.bytes.max(usage.bytes);
            tally.worst_second.datagrams = tally.worst_second.datagrams.max(usage.datagrams);
            *cpu_ns += usage.cpu_ns;
            tally.max_cpu_ns = tally.max_cpu_ns.max(*cpu_ns);
            if let Some(node) = &member.node {
                tally.member_seconds += passed;
                tally.least_count = tally.least_count.min(node.live_count().get());
            }
        }
    }

    /// Seconds since the moment began.
    pub fn elapsed_s(&self) -> f64 {
        (self.now - self.tally.start) as f64 / SECOND_US as f64
    }

    /// Goes on for so long.
    ///
    /// # Errors
    /// The time or the memory that this play may take is used up.
    pub fn run_for(&mut self, span: Micros) -> Result<(), MeasureError> {
        let end = self.now + span;
        while self.now < end {
            self.window()?;
        }
        Ok(())
    }

    /// Goes on until all that run have learnt something, or for so long. `progress` tells how far one has,
    /// given how far it had when it was last asked; at `goal` it has.
    ///
    /// # Errors
    /// As `go`.
    pub fn run_until_known(
        &mut self,
        span: Micros,
        goal: usize,
        progress: impl Fn(&Node, usize) -> usize + Sync,
    ) -> Result<Propagation, MeasureError> {
        let end = self.now + span;
        let mut far = vec![0; self.size()];
        let mut propagation = Propagation { most: None, all: None, share: 0.0 };
        loop {
            let ask = |(member, far): (&Member, &mut usize)| {
                let Some(node) = member.node.as_deref() else { return (0, 0) };
                if *far < goal {
                    *far = progress(node, *far);
                }
                (1, usize::from(*far >= goal))
            };
            let sum = |a: (usize, usize), b: (usize, usize)| (a.0 + b.0, a.1 + b.1);
            let asked = self.members.par_iter().with_min_len(64).zip(&mut far).map(ask);
            let (all, know) = asked.reduce(|| (0, 0), sum);
            propagation.share = know as f64 / all.max(1) as f64;
            if know * 100 >= all * 99 {
                propagation.most.get_or_insert(self.elapsed_s());
            }
            if know == all {
                propagation.all = Some(self.elapsed_s());
                return Ok(propagation);
            }
            if self.now >= end {
                return Ok(propagation);
            }
            self.run_for(KNOWLEDGE_CHECK_US)?;
        }
    }

    /// Plays a window.
    fn window(&mut self) -> Result<(), MeasureError> {
        self.check_limits()?;
        let end = self.now + WINDOW_US;
        let place = (self.now / WINDOW_US) as usize % SCHEDULED_WINDOWS;
        let mut events = std::mem::take(&mut self.due[place]);
        events.sort_unstable_by_key(|event| (event.to, event.at, event.from));
        let (mut rest, mut first) = (self.members.as_mut_slice(), 0);
        let mut work = Vec::new();
        for events in events.chunk_by_mut(|a, b| a.to == b.to) {
            let to = events[0].to;
            let (_, from) = std::mem::take(&mut rest).split_at_mut(to - first);
            let Some((member, after)) = from.split_first_mut() else { break };
            (rest, first) = (after, to + 1);
            work.push((member, events));
        }
        let conditions = &self.conditions;
        let play = |(member, events): (&mut Member, &mut [Event])| {
            let done = member.play(events, end, conditions);
            let wake = done.due.map(|due| member.wake(due));
            (done, wake)
        };
        let done: Vec<(WindowResult, Option<Event>)> = if work.len() < MIN_PARALLEL_MEMBERS {
            work.into_iter().map(play).collect()
        } else {
            work.into_par_iter().with_min_len(MIN_PARALLEL_MEMBERS / 2).map(play).collect()
        };
        self.now = end;
        for (done, wake) in done {
            done.dead.iter().for_each(|dead| self.count_false_dead(*dead));
            done.silent.iter().for_each(|scope| self.count_false_silent(scope));
            done.sent.into_iter().chain(wake).for_each(|event| self.schedule(event));
        }
        if self.now >= self.tally.second_start + SECOND_US {
            self.close_second();
        }
        Ok(())
    }

    /// Somebody holds a life dead: is it?
    fn count_false_dead(&mut self, (number, life): (usize, u64)) {
        let runs = self.members.get(number).and_then(|member| member.node.as_deref());
        let wrong = runs.is_some_and(|node| life >= node.identity().incarnation);
        // Who is parted is not to be told from who is dead.
        self.tally.false_dead += u64::from(wrong && self.conditions.partitioned_region.is_none());
    }

    /// Somebody holds a scope silent: is it?
    fn count_false_silent(&mut self, scope: &str) {
        let running = self.running();
        let wrong =
            topology::zone_index(scope).is_some_and(|zone| running.get(zone).is_some_and(|some| *some > 0));
        self.tally.false_silent += u64::from(wrong && self.conditions.partitioned_region.is_none());
    }

    /// Ends the play before it takes more than it may.
    fn check_limits(&mut self) -> Result<(), MeasureError> {
        let at = || format!("at {:.1} s of virtual time", self.now as f64 / SECOND_US as f64 - 1_000.0);
        if Instant::now() >= self.deadline {
            return Err(MeasureError::NotRun(format!("its time was up {}", at())));
        }
        if self.windows.is_multiple_of(MEMORY_CHECK_WINDOWS) {
            let (own, half) =
                (memory("/proc/self/status", "VmRSS:"), memory("/proc/meminfo", "MemTotal:") / 2);
            if own > half {
                return Err(MeasureError::NotRun(format!("it took half of the machine's memory {}", at())));
            }
        }
        self.windows += 1;
        Ok(())
    }
}

/// A line of a file of the kernel's, in kilobytes; 0 if there is none.
fn memory(path: &str, line: &str) -> u64 {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let found = text.lines().find_map(|text| text.strip_prefix(line));
    found.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
