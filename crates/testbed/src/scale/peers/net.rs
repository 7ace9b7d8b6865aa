//! Simulated members in virtual time. The latency of a datagram is at least one window, so the members can
//! run each window in parallel. Each member has its own random generator and handles events in the order of
//! time and sender, so the result does not depend on the threads.

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

/// A second in microseconds.
pub const SECOND_US: Micros = 1_000_000;
/// Length of a window.
const WINDOW_US: Micros = topology::MIN_LATENCY_US;
/// Number of windows that events are scheduled for; a timer that is due later fires early and is set again.
const SCHEDULED_WINDOWS: usize = 1_024;
/// With fewer active members, a window is run by one thread, which is faster.
const MIN_PARALLEL_MEMBERS: usize = 4;
/// Seeds that each member has at its start.
pub const SEEDS: usize = 3;
/// Interval between two checks of what the members know.
const KNOWLEDGE_CHECK_US: Micros = 100_000;
/// Windows between two checks of this program's memory.
const MEMORY_CHECK_WINDOWS: u64 = 250;

/// Which members know each other individually.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scopes {
    /// All members of the fleet.
    One,
    /// Members of the same zone; of other zones, a member knows only the number of members.
    Zones,
}

/// A fleet of simulated members on a simulated network.
pub struct Network {
    scopes: Scopes,
    now: Micros,
    /// Scheduled events, by window.
    due: Vec<Vec<Event>>,
    members: Vec<Member>,
    conditions: NetworkConditions,
    random: Pcg32,
    deadline: Instant,
    windows: u64,
    tally: Tally,
}

/// Resources used, and errors of the members, since the tally was started.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    start: Micros,
    /// Start of the current second.
    second_start: Micros,
    /// Running time of all members added up, in seconds.
    pub member_seconds: f64,
    /// Usage of all members together.
    pub total: Usage,
    /// For each resource, the highest usage of any member in a second.
    pub worst_second: Usage,
    /// Highest processor time of any member, in nanoseconds.
    pub max_cpu_ns: u64,
    /// Lowest live count of any member.
    pub min_live_count: usize,
    /// How often a running, reachable member was declared dead.
    pub false_dead: u64,
    /// How often a scope with running, reachable members was declared silent.
    pub false_silent: u64,
    cpu_ns_by_member: Vec<u64>,
}

/// How far the knowledge of a change has spread.
#[derive(Clone, Copy, Debug)]
pub struct Propagation {
    /// When 99 % of the members knew it, in seconds since the tally was started.
    pub s_until_99_percent: Option<f64>,
    /// When all members knew it, in seconds since the tally was started.
    pub s_until_all: Option<f64>,
    /// Share of the members that knew it at the end.
    pub known_share: f64,
}

impl Network {
    /// A fleet whose members do not run yet.
    pub fn new(size: usize, seed: u64, scopes: Scopes, deadline: Instant) -> Self {
        let conditions = NetworkConditions {
            size,
            partitioned_region: None,
            loss_share: 0.0,
            measuring_cost_ns: member::measuring_cost_ns(),
        };
        Network {
            scopes,
            // Not time 0: incarnations are derived from the time, and no member has incarnation 0.
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

    /// Number of members, running or not.
    pub fn size(&self) -> usize {
        self.members.len()
    }

    /// Number of running members in each zone.
    pub fn running(&self) -> [usize; topology::ZONES] {
        let mut running = [0; topology::ZONES];
        let members = self.members.iter().enumerate().filter(|(_, member)| member.node.is_some());
        members.for_each(|(number, _)| running[topology::zone(number, self.members.len())] += 1);
        running
    }

    /// The state machines of all running members.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.members.iter().filter_map(|member| member.node.as_deref())
    }

    /// Memory of each running member, in bytes.
    pub fn memory(&self) -> impl Iterator<Item = usize> + '_ {
        let running = self.members.iter().filter(|member| member.node.is_some());
        running.map(|member| std::mem::size_of::<Node>() + usize::try_from(member.heap).unwrap_or(0))
    }

    /// All members in random order.
    pub fn shuffled(&mut self) -> Vec<usize> {
        index::sample(&mut self.random, self.members.len(), self.members.len()).into_vec()
    }

    /// A random number less than `below`.
    pub fn draw(&mut self, below: usize) -> usize {
        self.random.gen_range(0..below)
    }

    fn schedule(&mut self, event: Event) {
        // Only a timer can be due after the last scheduled window; it fires in that window instead.
        let last = self.now + (SCHEDULED_WINDOWS as Micros - 1) * WINDOW_US;
        let window = event.at.min(last) / WINDOW_US;
        self.due[window as usize % SCHEDULED_WINDOWS].push(event);
    }

    /// Starts a member with these seeds, or else with random ones.
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

    /// Ends a member without notifying others.
    pub fn crash(&mut self, number: usize) {
        self.members[number].crash();
    }

    /// Ends a member after it has announced that it leaves.
    pub fn leave(&mut self, number: usize) {
        let sent = self.members[number].leave(self.now, &self.conditions);
        sent.into_iter().for_each(|event| self.schedule(event));
    }

    /// Partitions a region from the others, or heals the partition.
    pub fn set_partition(&mut self, region: Option<usize>) {
        self.conditions.partitioned_region = region;
    }

    /// Starts a new tally of resources.
    pub fn start_tally(&mut self) {
        self.members.iter_mut().for_each(|member| member.usage = Usage::default());
        let min_live_count = usize::MAX;
        let cpu_ns_by_member = vec![0; self.size()];
        self.tally = Tally {
            start: self.now,
            second_start: self.now,
            min_live_count,
            cpu_ns_by_member,
            ..Tally::default()
        };
    }

    /// The tally up to now.
    pub fn tally(&mut self) -> &Tally {
        self.close_second();
        &self.tally
    }

    /// Adds the usage of the current second, or of the part that has passed, to the tally.
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
                tally.min_live_count = tally.min_live_count.min(node.live_count().get());
            }
        }
    }

    /// Seconds since the tally was started.
    pub fn elapsed_s(&self) -> f64 {
        (self.now - self.tally.start) as f64 / SECOND_US as f64
    }

    /// Runs for a time span.
    ///
    /// # Errors
    /// The time or memory limit of the measurement was reached.
    pub fn run_for(&mut self, span: Micros) -> Result<(), MeasureError> {
        let end = self.now + span;
        while self.now < end {
            self.run_window()?;
        }
        Ok(())
    }

    /// Runs until all running members know of a change, or for `span` at most. `progress` returns how much a
    /// node knows, given its last result; at `goal` the node knows of the change.
    ///
    /// # Errors
    /// As `run_for`.
    pub fn run_until_known(
        &mut self,
        span: Micros,
        goal: usize,
        progress: impl Fn(&Node, usize) -> usize + Sync,
    ) -> Result<Propagation, MeasureError> {
        let end = self.now + span;
        let mut progress_by_member = vec![0; self.size()];
        let mut propagation = Propagation { s_until_99_percent: None, s_until_all: None, known_share: 0.0 };
        loop {
            let check = |(member, known): (&Member, &mut usize)| {
                let Some(node) = member.node.as_deref() else { return (0, 0) };
                if *known < goal {
                    *known = progress(node, *known);
                }
                (1, usize::from(*known >= goal))
            };
            let sum = |a: (usize, usize), b: (usize, usize)| (a.0 + b.0, a.1 + b.1);
            let checked = self.members.par_iter().with_min_len(64).zip(&mut progress_by_member).map(check);
            let (all, know) = checked.reduce(|| (0, 0), sum);
            propagation.known_share = know as f64 / all.max(1) as f64;
            if know * 100 >= all * 99 {
                propagation.s_until_99_percent.get_or_insert(self.elapsed_s());
            }
            if know == all {
                propagation.s_until_all = Some(self.elapsed_s());
                return Ok(propagation);
            }
            if self.now >= end {
                return Ok(propagation);
            }
            self.run_for(KNOWLEDGE_CHECK_US)?;
        }
    }

    /// Runs a window.
    fn run_window(&mut self) -> Result<(), MeasureError> {
        self.check_limits()?;
        let end = self.now + WINDOW_US;
        let window_index = (self.now / WINDOW_US) as usize % SCHEDULED_WINDOWS;
        let mut events = std::mem::take(&mut self.due[window_index]);
        events.sort_unstable_by_key(|event| (event.to, event.at, event.from));
        let mut rest = self.members.as_mut_slice();
        let mut first = 0;
        let mut work = Vec::new();
        for events in events.chunk_by_mut(|a, b| a.to == b.to) {
            let to = events[0].to;
            let (_, from) = std::mem::take(&mut rest).split_at_mut(to - first);
            let Some((member, after)) = from.split_first_mut() else { break };
            (rest, first) = (after, to + 1);
            work.push((member, events));
        }
        let conditions = &self.conditions;
        let run_member = |(member, events): (&mut Member, &mut [Event])| {
            let result = member.run_window(events, end, conditions);
            let timer = result.due.map(|due| member.timer_at(due));
            (result, timer)
        };
        let results: Vec<(WindowResult, Option<Event>)> = if work.len() < MIN_PARALLEL_MEMBERS {
            work.into_iter().map(run_member).collect()
        } else {
            work.into_par_iter().with_min_len(MIN_PARALLEL_MEMBERS / 2).map(run_member).collect()
        };
        self.now = end;
        for (result, timer) in results {
            result.dead.iter().for_each(|dead| self.count_false_dead(*dead));
            result.silent.iter().for_each(|scope| self.count_false_silent(scope));
            result.sent.into_iter().chain(timer).for_each(|event| self.schedule(event));
        }
        if self.now >= self.tally.second_start + SECOND_US {
            self.close_second();
        }
        Ok(())
    }

    /// Counts a declaration of death if the incarnation still runs.
    fn count_false_dead(&mut self, (number, incarnation): (usize, u64)) {
        let runs = self.members.get(number).and_then(|member| member.node.as_deref());
        let is_false = runs.is_some_and(|node| incarnation >= node.identity().incarnation);
        // During a partition, unreachable members cannot be distinguished from dead ones.
        self.tally.false_dead += u64::from(is_false && self.conditions.partitioned_region.is_none());
    }

    /// Counts a declaration of a silent scope if some of its members still run.
    fn count_false_silent(&mut self, scope: &str) {
        let running = self.running();
        let is_false =
            topology::zone_index(scope).is_some_and(|zone| running.get(zone).is_some_and(|some| *some > 0));
        self.tally.false_silent += u64::from(is_false && self.conditions.partitioned_region.is_none());
    }

    /// Returns an error once the time or memory limit is reached.
    fn check_limits(&mut self) -> Result<(), MeasureError> {
        let at = || format!("at {:.1} s of virtual time", self.now as f64 / SECOND_US as f64 - 1_000.0);
        if Instant::now() >= self.deadline {
            return Err(MeasureError::NotRun(format!("the time limit was reached {}", at())));
        }
        if self.windows.is_multiple_of(MEMORY_CHECK_WINDOWS) {
            let own = proc_kb("/proc/self/status", "VmRSS:");
            let half = proc_kb("/proc/meminfo", "MemTotal:") / 2;
            if own > half {
                return Err(MeasureError::NotRun(format!(
                    "this program used more than half of the machine's memory {}",
                    at()
                )));
            }
        }
        self.windows += 1;
        Ok(())
    }
}

/// The value of a line of a `/proc` file, in kilobytes; 0 if the line is missing.
fn proc_kb(path: &str, line: &str) -> u64 {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let found = text.lines().find_map(|text| text.strip_prefix(line));
    found.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
