//! A server: cores shared by the requests in its slots, a waiting room, a cold start, and what may be wrong with it.

use crate::scenario::ServerSpec;
use oakport_core::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet, VecDeque};

/// What is wrong with a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Health {
    /// Times slower than it should be.
    pub slowdown_factor: f64,
    /// It takes work and answers nothing.
    pub hung: bool,
    /// Every second answer is an error.
    pub errors: bool,
    /// Every third connection is reset under its request.
    pub resets: bool,
    /// What is sent there, and what it says, is lost.
    pub unreachable: bool,
}

impl Default for Health {
    fn default() -> Self {
        Health { slowdown_factor: 1.0, hung: false, errors: false, resets: false, unreachable: false }
    }
}

/// What a server does with a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is in work, or waits for a slot.
    Accepted,
    /// No place: it never runs.
    Rejected,
}

/// Work that shares the cores: all of it progresses alike.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Job {
    /// The figure of work done at which it ends.
    end_progress: f64,
    attempt: usize,
}

impl Eq for Job {}

impl PartialOrd for Job {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Job {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.end_progress.total_cmp(&other.end_progress).then(self.attempt.cmp(&other.attempt))
    }
}

/// Where a server stands that chokes under a crowd.
#[derive(Clone, Copy, Debug, Default)]
struct CongestionState {
    /// Since when too many have waited, or too few have been in hand.
    condition_since: Option<Micros>,
    /// Since when it has been slower.
    congested_since: Option<Micros>,
}

/// One server process.
#[derive(Debug)]
pub struct Server {
    spec: ServerSpec,
    /// Its zone, by its place in the scenario's list.
    pub zone: usize,
    /// What is wrong with it.
    pub health: Health,
    /// The process runs.
    pub up: bool,
    /// It takes nothing new.
    pub draining: bool,
    /// When it started; 0: long ago.
    pub started: Micros,
    work: BinaryHeap<Reverse<Job>>,
    /// Attempts that were taken out of the slots without ending.
    dropped: HashSet<usize>,
    active: usize,
    waiting: VecDeque<(usize, f64)>,
    /// Work done so far for each request that was in work all the time.
    progress: f64,
    updated_at: Micros,
    /// Counts changes, so that an end that was foreseen before one is passed over.
    pub version: u64,
    /// Work of handshakes still owed, which slows all.
    pending_handshake_work: f64,
    /// Open connections by client proxy: those in use and idle ones, by when they became idle.
    connections: BTreeMap<usize, (usize, VecDeque<Micros>)>,
    open_connections: usize,
    /// Work that arrived while it was cold, of late.
    cold_arrivals: VecDeque<(Micros, f64)>,
    congestion: CongestionState,
    /// It was sent too much while it was cold, and stays down.
    pub cold_overloaded: bool,
}

impl Server {
    /// A process that started at `started`.
    pub fn new(spec: &ServerSpec, zone: usize, started: Micros) -> Self {
        Server {
            spec: spec.clone(),
            zone,
            health: Health::default(),
            up: true,
            draining: false,
            started,
            work: BinaryHeap::new(),
            dropped: HashSet::new(),
            active: 0,
            waiting: VecDeque::new(),
            progress: 0.0,
            updated_at: started,
            version: 0,
            pending_handshake_work: 0.0,
            connections: BTreeMap::new(),
            open_connections: 0,
            cold_arrivals: VecDeque::new(),
            congestion: CongestionState::default(),
            cold_overloaded: false,
        }
    }

    /// Share of its capacity that it has by its warmth.
    pub fn warm_up_ratio(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.started);
        if self.started == 0 || age >= self.spec.warm_up_duration {
            return 1.0;
        }
        let rise = age as f64 / self.spec.warm_up_duration as f64;
        self.spec.initial_capacity_ratio + (1.0 - self.spec.initial_capacity_ratio) * rise
    }

    /// Cores' worth of work that it can do now.
    pub fn capacity(&self, now: Micros) -> f64 {
        let choked = self
            .spec
            .congestion
            .as_ref()
            .filter(|_| self.congestion.congested_since.is_some())
            .map_or(1.0, |c| c.slowdown_factor);
        self.spec.cores * self.warm_up_ratio(now) / self.health.slowdown_factor / choked
    }

    /// Work in hand, in microseconds of one core.
    pub fn backlog(&self) -> f64 {
        let open = self.work.iter().filter(|Reverse(job)| !self.dropped.contains(&job.attempt));
        let in_work: f64 = open.map(|Reverse(job)| (job.end_progress - self.progress).max(0.0)).sum();
        in_work + self.waiting.iter().map(|(_, work)| work).sum::<f64>()
    }

    /// Would it take one more connection?
    pub fn accepts_connection(&self) -> bool {
        self.open_connections < self.spec.max_connections
    }

    /// Can it be reached, and does it take work?
    pub fn is_available(&self) -> bool {
        self.up && !self.cold_overloaded && !self.health.unreachable
    }

    /// Work for each request that is done in a microsecond.
    fn progress_rate(&self, now: Micros) -> f64 {
        if self.active == 0 || self.health.hung {
            return 0.0;
        }
        let capacity = self.capacity(now);
        (capacity / self.active as f64).min(capacity / self.spec.cores)
    }

    /// Brings the work done up to now.
    pub fn advance(&mut self, now: Micros) {
        let mut span = now.saturating_sub(self.updated_at) as f64;
        // A cold server's pace is taken at the middle of the span.
        let pace = self.progress_rate(self.updated_at + (now - self.updated_at) / 2);
        if self.pending_handshake_work > 0.0 && !self.health.hung {
            let capacity = self.capacity(now).max(f64::MIN_POSITIVE);
            let spent = (self.pending_handshake_work / capacity).min(span);
            self.pending_handshake_work -= spent * capacity;
            span -= spent;
        }
        self.progress += pace * span;
        self.updated_at = now;
        self.update_congestion(now);
    }

    /// Chokes, or is well again, once what leads there has lasted. Looked at whenever something happens here.
    fn update_congestion(&mut self, now: Micros) {
        let Some(spec) = &self.spec.congestion else { return };
        let (waiting, in_hand) = (self.waiting.len() as f64, (self.active + self.waiting.len()) as f64);
        let (turns, lasts) = match self.congestion.congested_since {
            None => (waiting > spec.min_waiting_per_core * self.spec.cores, spec.onset_time),
            Some(_) => (in_hand < spec.recovery_load_per_core * self.spec.cores, spec.recovery_time),
        };
        let since = *self.congestion.condition_since.get_or_insert(now);
        let over = self.congestion.congested_since.is_some_and(|slower| now >= slower + spec.max_duration);
        if !turns && !over {
            self.congestion.condition_since = None;
        } else if over || now >= since + lasts {
            let slower = if self.congestion.congested_since.is_none() { Some(now) } else { None };
            self.congestion = CongestionState { condition_since: None, congested_since: slower };
            self.version += 1;
        }
    }

    /// A request with so much work arrives.
    pub fn admit(&mut self, now: Micros, attempt: usize, work: f64) -> Admission {
        self.advance(now);
        if self.active < self.spec.slots {
            self.start(attempt, work);
        } else if self.waiting.len() < self.spec.queue_capacity {
            self.waiting.push_back((attempt, work));
        } else {
            return Admission::Rejected;
        }
        Admission::Accepted
    }

    fn start(&mut self, attempt: usize, work: f64) {
        self.work.push(Reverse(Job { end_progress: self.progress + work, attempt }));
        self.active += 1;
        self.version += 1;
    }

    /// Passes over what was dropped.
    fn discard_dropped(&mut self) {
        while let Some(Reverse(job)) = self.work.peek() {
            if !self.dropped.remove(&job.attempt) {
                break;
            }
            self.work.pop();
        }
    }

    /// When the next request ends, if nothing changes; the moment is looked at again if it is cold.
    pub fn next_end(&mut self, now: Micros) -> Option<Micros> {
        /// The longest for which a cold server's pace is taken to stay.
        const COLD_STEP: f64 = 200_000.0;
        self.discard_dropped();
        let Reverse(job) = self.work.peek()?;
        let pace = self.progress_rate(now);
        if pace <= 0.0 {
            return None;
        }
        let owed = self.pending_handshake_work / self.capacity(now).max(f64::MIN_POSITIVE);
        let mut span = ((job.end_progress - self.progress) / pace).max(0.0) + owed;
        if self.warm_up_ratio(now) < 1.0 {
            span = span.min(COLD_STEP);
        }
        Some(now + span.ceil().max(1.0) as Micros)
    }

    /// Takes out a request that has ended by now, and starts one that waits.
    pub fn pop_finished(&mut self, now: Micros) -> Option<usize> {
        /// Work that is too little to wait for: rounding, in microseconds.
        const ROUNDING: f64 = 0.5;
        self.advance(now);
        self.discard_dropped();
        let attempt =
            self.work.peek().filter(|Reverse(job)| job.end_progress <= self.progress + ROUNDING)?.0.attempt;
        self.work.pop();
        self.free_slot();
        Some(attempt)
    }

    /// One request less is in work.
    fn free_slot(&mut self) {
        self.active -= 1;
        self.version += 1;
        if let Some((attempt, work)) = self.waiting.pop_front() {
            self.start(attempt, work);
        }
    }

    /// Takes out a request that nobody wants any more; tells how much work was still to do, if it was in hand.
    pub fn drop_work(&mut self, now: Micros, attempt: usize) -> Option<f64> {
        self.advance(now);
        if let Some(place) = self.waiting.iter().position(|(waiting, _)| *waiting == attempt) {
            return self.waiting.remove(place).map(|(_, work)| work);
        }
        let job = self.work.iter().find(|Reverse(job)| job.attempt == attempt)?.0;
        if !self.dropped.insert(attempt) {
            return None;
        }
        self.free_slot();
        Some((job.end_progress - self.progress).max(0.0))
    }

    /// The process ends; what was in hand is lost.
    pub fn stop(&mut self, now: Micros) -> Vec<usize> {
        self.advance(now);
        let dropped = std::mem::take(&mut self.dropped);
        let in_work = std::mem::take(&mut self.work).into_sorted_vec().into_iter().rev();
        let lost = in_work.map(|Reverse(job)| job.attempt).filter(|attempt| !dropped.contains(attempt));
        let lost = lost.chain(self.waiting.drain(..).map(|(attempt, _)| attempt)).collect();
        self.active = 0;
        self.version += 1;
        self.up = false;
        self.pending_handshake_work = 0.0;
        self.connections.clear();
        self.open_connections = 0;
        lost
    }

    /// The process starts, cold.
    pub fn restart(&mut self, now: Micros) {
        (self.up, self.draining, self.cold_overloaded, self.started) = (true, false, false, now);
        (self.updated_at, self.health) = (now, Health::default());
        self.cold_arrivals.clear();
        self.congestion = CongestionState::default();
    }

    /// Work arrives, wherever it goes from here. True if that pushes a cold server over.
    pub fn record_cold_arrival(&mut self, now: Micros, work: f64) -> bool {
        if self.warm_up_ratio(now) >= 1.0 || self.cold_overloaded {
            return false;
        }
        self.cold_arrivals.push_back((now, work));
        let since = now.saturating_sub(self.spec.cold_overload_window);
        while self.cold_arrivals.front().is_some_and(|(at, _)| *at < since) {
            self.cold_arrivals.pop_front();
        }
        let sent: f64 = self.cold_arrivals.iter().map(|(_, work)| work).sum();
        let can = self.spec.cores * self.warm_up_ratio(now) * self.spec.cold_overload_window as f64;
        // Room for chance: one long request alone is no flood.
        self.cold_overloaded =
            sent > self.spec.cold_overload_factor * can && self.cold_arrivals.len() > self.spec.slots;
        self.cold_overloaded
    }

    /// A connection of a client proxy: true if one that rests was there. None: the server holds no more.
    pub fn acquire_connection(&mut self, now: Micros, proxy: usize) -> Option<bool> {
        let idle_close = self.spec.idle_timeout;
        let (used, idle) = self.connections.entry(proxy).or_default();
        let before = idle.len();
        idle.retain(|since| since + idle_close > now);
        self.open_connections -= before - idle.len();
        *used += 1;
        if idle.pop_back().is_some() {
            return Some(true);
        }
        if self.open_connections >= self.spec.max_connections {
            *used -= 1;
            return None;
        }
        self.open_connections += 1;
        self.add_handshake_work();
        Some(false)
    }

    /// A connection comes up whose number is kept elsewhere: the work of its handshake is owed.
    pub fn add_handshake_work(&mut self) {
        self.pending_handshake_work += self.spec.handshake_work as f64;
    }

    /// A client proxy has died, and its connections with it.
    pub fn drop_connections(&mut self, proxy: usize) {
        if let Some((used, idle)) = self.connections.remove(&proxy) {
            self.open_connections -= used + idle.len();
        }
    }

    /// A connection is not used any more; it rests, or is closed.
    pub fn release_connection(&mut self, now: Micros, proxy: usize, keep: bool) {
        let Some((used, idle)) = self.connections.get_mut(&proxy).filter(|(used, _)| *used > 0) else {
            return;
        };
        *used -= 1;
        if keep {
            idle.push_back(now);
        } else {
            self.open_connections -= 1;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::CongestionSpec;

    fn run(server: &mut Server, mut now: Micros) -> Vec<(usize, Micros)> {
        let mut ends = Vec::new();
        while let Some(at) = server.next_end(now) {
            now = at;
            while let Some(attempt) = server.pop_finished(now) {
                ends.push((attempt, now));
            }
        }
        ends
    }

    #[test]
    fn requests_share_the_cores_and_wait_for_slots() {
        let spec = ServerSpec { cores: 2.0, slots: 4, queue_capacity: 1, ..ServerSpec::default() };
        let mut server = Server::new(&spec, 0, 0);
        let taken: Vec<Admission> = (0..6).map(|attempt| server.admit(0, attempt, 10_000.0)).collect();
        assert_eq!(
            taken,
            [
                Admission::Accepted,
                Admission::Accepted,
                Admission::Accepted,
                Admission::Accepted,
                Admission::Accepted,
                Admission::Rejected
            ]
        );
        // Four share two cores: 20 ms. The fifth then has a core to itself.
        assert_eq!(run(&mut server, 0), [(0, 20_000), (1, 20_000), (2, 20_000), (3, 20_000), (4, 30_000)]);
    }

    #[test]
    fn what_is_dropped_leaves_its_core_to_the_others() {
        let spec = ServerSpec { cores: 1.0, slots: 4, ..ServerSpec::default() };
        let mut server = Server::new(&spec, 0, 0);
        (0..2).for_each(|attempt| assert_eq!(server.admit(0, attempt, 10_000.0), Admission::Accepted));
        assert_eq!(server.drop_work(10_000, 0), Some(5_000.0), "half of it is done");
        assert_eq!((server.drop_work(10_000, 0), server.backlog()), (None, 5_000.0));
        assert_eq!(run(&mut server, 10_000), [(1, 15_000)]);
    }

    #[test]
    fn slow_cold_and_hanging_servers_take_their_time() {
        let spec = ServerSpec {
            cores: 1.0,
            initial_capacity_ratio: 0.5,
            warm_up_duration: 1_000_000,
            ..ServerSpec::default()
        };
        let end = |started, health| {
            let mut server = Server::new(&spec, 0, started);
            server.health = health;
            server.admit(started.max(1), 0, 10_000.0);
            run(&mut server, started.max(1)).first().map(|(_, at)| at - started.max(1))
        };
        assert_eq!(end(0, Health::default()), Some(10_000));
        assert_eq!(end(0, Health { slowdown_factor: 3.0, ..Health::default() }), Some(30_000));
        assert_eq!(end(0, Health { hung: true, ..Health::default() }), None);
        let cold = end(5_000_000, Health::default()).expect("an end");
        assert!((19_000..21_000).contains(&cold), "half the pace at first: {cold}");
    }

    #[test]
    fn a_crowded_server_chokes_and_is_well_again_after_rest_or_in_the_end() {
        let (over, rest, most) = (100_000, 50_000, 400_000);
        let choke = CongestionSpec {
            min_waiting_per_core: 2.0,
            onset_time: over,
            slowdown_factor: 4.0,
            recovery_load_per_core: 1.0,
            recovery_time: rest,
            max_duration: most,
        };
        let spec = ServerSpec { cores: 1.0, slots: 1, congestion: Some(choke), ..ServerSpec::default() };
        // What waits, when it leaves, and when the server is asked; its pace then.
        let cases = [(2, None, 200_000, 1.0), (4, Some(50_000), 200_000, 1.0), (4, None, 200_000, 0.25)];
        let more =
            [(4, Some(200_000), 240_000, 0.25), (4, Some(200_000), 260_000, 1.0), (4, None, 510_000, 1.0)];
        for (waiting, leaves, asked, pace) in cases.into_iter().chain(more) {
            let mut server = Server::new(&spec, 0, 0);
            let taken = (0..=waiting).filter(|&n| server.admit(1, n, 9e9) == Admission::Accepted).count();
            assert_eq!(taken, waiting + 1);
            for at in (1..=asked).step_by(1_000) {
                server.advance(at);
                if leaves.is_some_and(|l| at > l) {
                    (0..=waiting).for_each(|n| {
                        server.drop_work(at, n);
                    });
                }
            }
            server.advance(asked);
            assert_eq!(server.capacity(asked), pace, "{waiting} waiting until {leaves:?}, at {asked}");
        }
    }

    #[test]
    fn connections_are_kept_counted_and_closed_when_idle() {
        let spec = ServerSpec { max_connections: 2, idle_timeout: 1_000, ..ServerSpec::default() };
        let mut server = Server::new(&spec, 0, 0);
        assert_eq!(
            (
                server.acquire_connection(0, 7),
                server.acquire_connection(0, 8),
                server.acquire_connection(0, 7)
            ),
            (Some(false), Some(false), None)
        );
        server.release_connection(10, 7, true);
        assert_eq!(server.acquire_connection(500, 7), Some(true), "it rested for less");
        server.release_connection(600, 7, true);
        assert_eq!(server.acquire_connection(1_700, 7), Some(false), "closed meanwhile, and opened anew");
        server.release_connection(1_800, 8, false);
        assert_eq!(server.acquire_connection(1_900, 9), Some(false));
    }

    #[test]
    fn a_cold_server_falls_over_when_it_is_sent_too_much_and_a_warm_one_does_not() {
        let spec =
            ServerSpec { cores: 1.0, slots: 2, cold_overload_window: 1_000_000, ..ServerSpec::default() };
        for (started, falls) in [(0, false), (9_000_000, true)] {
            let mut server = Server::new(&spec, 0, started);
            let fell =
                (0..40).filter(|i| server.record_cold_arrival(9_000_000 + i * 1_000, 50_000.0)).count();
            assert_eq!((fell, server.cold_overloaded), (usize::from(falls), falls));
        }
    }
}
