//! Hollow members in virtual time. No datagram is under way for less than a window, so that the members play
//! a window side by side; each draws for itself and takes what came in the order of time and sender, whoever
//! plays it.

use super::member::{self, Done, Event, Member, Spent, Weather};
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
pub const SECOND: Micros = 1_000_000;
/// A window.
const WINDOW: Micros = topology::LEAST;
/// Windows that are laid out; what is due later is looked at again meanwhile.
const LAID_OUT: usize = 1_024;
/// With fewer members in a window they are played by one thread: that is sooner done.
const FEW: usize = 4;
/// Others that each member is told of at its start.
pub const SEEDS: usize = 3;
/// Between two looks at what the members hold.
const LOOK: Micros = 100_000;
/// Windows between two looks at this program's memory.
const MEMORY_LOOK: u64 = 250;

/// Which members know each other one by one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scopes {
    /// All.
    One,
    /// Those of a zone; of the others they know how many there are.
    Zones,
}

/// A fleet of hollow members on a network.
pub struct Net {
    scopes: Scopes,
    now: Micros,
    /// What is due, by its window.
    due: Vec<Vec<Event>>,
    members: Vec<Member>,
    weather: Weather,
    random: Pcg32,
    deadline: Instant,
    windows: u64,
    tally: Tally,
}

/// What was spent since a moment began.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    began: Micros,
    /// When the second that runs began.
    second: Micros,
    /// Seconds, added over the members that ran.
    pub seconds: f64,
    /// All members together.
    pub all: Spent,
    /// The most of a member in a second.
    pub worst_second: Spent,
    /// The most processor time of a member.
    pub most_processor: u64,
    /// The least that a member counted.
    pub least_count: usize,
    /// How often one was held dead that ran and could be reached.
    pub wrongly: u64,
    /// How often a scope was held silent of which some ran and could be reached.
    pub silent_wrongly: u64,
    of_each: Vec<u64>,
}

/// How far the members have learnt something.
#[derive(Clone, Copy, Debug)]
pub struct Learnt {
    /// When 99 in 100 had, in seconds from the moment's beginning.
    pub most: Option<f64>,
    /// When all had.
    pub all: Option<f64>,
    /// The share that had at the end.
    pub share: f64,
}

impl Net {
    /// Members that do not run yet.
    pub fn new(size: usize, seed: u64, scopes: Scopes, deadline: Instant) -> Self {
        let weather = Weather { size, parted: None, loss: 0.0, toll: member::toll() };
        Net {
            scopes,
            // Not the zero of time, which is the life of nobody.
            now: 1_000 * SECOND,
            due: (0..LAID_OUT).map(|_| Vec::new()).collect(),
            members: (0..size).map(|number| Member::new(number, seed)).collect(),
            weather,
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
        let members = self.members.iter().enumerate().filter(|(_, member)| member.peers.is_some());
        members.for_each(|(number, _)| running[topology::zone(number, self.members.len())] += 1);
        running
    }

    /// All members' state machines that run.
    pub fn peers(&self) -> impl Iterator<Item = &Node> {
        self.members.iter().filter_map(|member| member.peers.as_deref())
    }

    /// Bytes of memory that each that runs holds.
    pub fn memory(&self) -> impl Iterator<Item = usize> + '_ {
        let running = self.members.iter().filter(|member| member.peers.is_some());
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

    fn put(&mut self, event: Event) {
        // What is due later than is laid out is looked at at its end: that can only be a timer.
        let last = self.now + (LAID_OUT as Micros - 1) * WINDOW;
        let window = event.at.min(last) / WINDOW;
        self.due[window as usize % LAID_OUT].push(event);
    }

    /// Starts a member that knows these, or else some that are drawn.
    pub fn start(&mut self, number: usize, seeds: Option<&[usize]>) {
        let size = self.size();
        let others = index::sample(&mut self.random, size - 1, SEEDS.min(size - 1));
        let drawn: Vec<usize> = others.iter().map(|other| other + usize::from(other >= number)).collect();
        let zone = topology::zone(number, size);
        let scope = match self.scopes {
            Scopes::One => String::new(),
            Scopes::Zones => topology::name(zone),
        };
        let event = self.members[number].start(self.now, zone, seeds.unwrap_or(&drawn), &scope);
        self.put(event);
    }

    /// A member dies.
    pub fn die(&mut self, number: usize) {
        self.members[number].die();
    }

    /// A member says that it leaves, and ends.
    pub fn leave(&mut self, number: usize) {
        let sent = self.members[number].leave(self.now, &self.weather);
        sent.into_iter().for_each(|event| self.put(event));
    }

    /// Nothing passes to and from a region, or everything does.
    pub fn part(&mut self, region: Option<usize>) {
        self.weather.parted = region;
    }

    /// A moment begins, of which what is spent is told.
    pub fn begin(&mut self) {
        self.members.iter_mut().for_each(|member| member.spent = Spent::default());
        let least_count = usize::MAX;
        let of_each = vec![0; self.size()];
        self.tally = Tally { began: self.now, second: self.now, least_count, of_each, ..Tally::default() };
    }

    /// What has been spent since the moment began.
    pub fn spent(&mut self) -> &Tally {
        self.close();
        &self.tally
    }

    /// Adds up a second, or the part of one that has passed.
    fn close(&mut self) {
        let tally = &mut self.tally;
        let passed = (self.now - tally.second) as f64 / SECOND as f64;
        tally.second = self.now;
        for (member, processor) in self.members.iter_mut().zip(&mut tally.of_each) {
            let spent = std::mem::take(&mut member.spent);
            tally.all.processor += spent.processor;
            tally.all.bytes += spent.bytes;
            tally.all.datagrams += spent.datagrams;
            tally.worst_second.processor = tally.worst_second.processor.max(spent.processor);
            tally.worst_second.bytes = tally.worst_second.bytes.max(spent.bytes);
            tally.worst_second.datagrams = tally.worst_second.datagrams.max(spent.datagrams);
            *processor += spent.processor;
            tally.most_processor = tally.most_processor.max(*processor);
            if let Some(peers) = &member.peers {
                tally.seconds += passed;
                tally.least_count = tally.least_count.min(peers.live_count().get());
            }
        }
    }

    /// Seconds since the moment began.
    pub fn passed(&self) -> f64 {
        (self.now - self.tally.began) as f64 / SECOND as f64
    }

    /// Goes on for so long.
    ///
    /// # Errors
    /// The time or the memory that this play may take is used up.
    pub fn go(&mut self, span: Micros) -> Result<(), MeasureError> {
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
    pub fn learn(
        &mut self,
        span: Micros,
        goal: usize,
        progress: impl Fn(&Node, usize) -> usize + Sync,
    ) -> Result<Learnt, MeasureError> {
        let end = self.now + span;
        let mut far = vec![0; self.size()];
        let mut learnt = Learnt { most: None, all: None, share: 0.0 };
        loop {
            let ask = |(member, far): (&Member, &mut usize)| {
                let Some(peers) = member.peers.as_deref() else { return (0, 0) };
                if *far < goal {
                    *far = progress(peers, *far);
                }
                (1, usize::from(*far >= goal))
            };
            let sum = |a: (usize, usize), b: (usize, usize)| (a.0 + b.0, a.1 + b.1);
            let asked = self.members.par_iter().with_min_len(64).zip(&mut far).map(ask);
            let (all, know) = asked.reduce(|| (0, 0), sum);
            learnt.share = know as f64 / all.max(1) as f64;
            if know * 100 >= all * 99 {
                learnt.most.get_or_insert(self.passed());
            }
            if know == all {
                learnt.all = Some(self.passed());
                return Ok(learnt);
            }
            if self.now >= end {
                return Ok(learnt);
            }
            self.go(LOOK)?;
        }
    }

    /// Plays a window.
    fn window(&mut self) -> Result<(), MeasureError> {
        self.look_after()?;
        let end = self.now + WINDOW;
        let place = (self.now / WINDOW) as usize % LAID_OUT;
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
        let weather = &self.weather;
        let play = |(member, events): (&mut Member, &mut [Event])| {
            let done = member.play(events, end, weather);
            let wake = done.due.map(|due| member.wake(due));
            (done, wake)
        };
        let done: Vec<(Done, Option<Event>)> = if work.len() < FEW {
            work.into_iter().map(play).collect()
        } else {
            work.into_par_iter().with_min_len(FEW / 2).map(play).collect()
        };
        self.now = end;
        for (done, wake) in done {
            done.dead.iter().for_each(|dead| self.judge(*dead));
            done.silent.iter().for_each(|scope| self.judge_scope(scope));
            done.sent.into_iter().chain(wake).for_each(|event| self.put(event));
        }
        if self.now >= self.tally.second + SECOND {
            self.close();
        }
        Ok(())
    }

    /// Somebody holds a life dead: is it?
    fn judge(&mut self, (number, life): (usize, u64)) {
        let runs = self.members.get(number).and_then(|member| member.peers.as_deref());
        let wrong = runs.is_some_and(|peers| life >= peers.identity().incarnation);
        // Who is parted is not to be told from who is dead.
        self.tally.wrongly += u64::from(wrong && self.weather.parted.is_none());
    }

    /// Somebody holds a scope silent: is it?
    fn judge_scope(&mut self, scope: &str) {
        let running = self.running();
        let wrong =
            topology::named(scope).is_some_and(|zone| running.get(zone).is_some_and(|some| *some > 0));
        self.tally.silent_wrongly += u64::from(wrong && self.weather.parted.is_none());
    }

    /// Ends the play before it takes more than it may.
    fn look_after(&mut self) -> Result<(), MeasureError> {
        let at = || format!("at {:.1} s of virtual time", self.now as f64 / SECOND as f64 - 1_000.0);
        if Instant::now() >= self.deadline {
            return Err(MeasureError::NotRun(format!("its time was up {}", at())));
        }
        if self.windows.is_multiple_of(MEMORY_LOOK) {
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
