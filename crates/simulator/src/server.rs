//! Server model: cores shared by the active requests, a queue, connections, warm-up, congestion and faults.

use crate::scenario::ServerSpec;
use oakport_core::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet, VecDeque};

/// Faults that a server suffers from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Health {
    /// Factor by which the server is slower than normal.
    pub slowdown_factor: f64,
    /// The server accepts work and never answers.
    pub hung: bool,
    /// Half of the answers, at random, are errors.
    pub errors: bool,
    /// The connections of a third of the requests, at random, are reset.
    pub resets: bool,
    /// Traffic to and from the server is lost.
    pub unreachable: bool,
}

impl Default for Health {
    fn default() -> Self {
        Health { slowdown_factor: 1.0, hung: false, errors: false, resets: false, unreachable: false }
    }
}

/// Result of offering a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is active or waits for a slot.
    Accepted,
    /// All slots and the queue are full: the request never runs.
    Rejected,
}

/// An active request. Active requests share the cores and progress at the same rate.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Job {
    /// Value of [`Server::progress`] at which the request ends.
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

/// Congestion state of a server.
#[derive(Clone, Copy, Debug, Default)]
struct CongestionState {
    /// Time since which the condition for entering or leaving congestion has held.
    condition_since: Option<Micros>,
    /// Time since which the server has been congested.
    congested_since: Option<Micros>,
}

/// One server process.
#[derive(Debug)]
pub struct Server {
    spec: ServerSpec,
    /// Index of the server's zone in the scenario.
    pub zone: usize,
    /// Current faults.
    pub health: Health,
    /// The process is running.
    pub up: bool,
    /// The server is draining and rejects new requests.
    pub draining: bool,
    /// Start time; 0 means long ago, so that the server is warm.
    pub started: Micros,
    work: BinaryHeap<Reverse<Job>>,
    /// Cancelled attempts whose jobs are still in `work`.
    dropped: HashSet<usize>,
    active: usize,
    waiting: VecDeque<(usize, f64)>,
    /// Cumulative work done, in microseconds of one core, for a request that is active all the time.
    progress: f64,
    updated_at: Micros,
    /// Incremented on each change, so that ends scheduled before it are ignored.
    pub version: u64,
    /// Handshake work still to be done; it delays all requests.
    pending_handshake_work: f64,
    /// Open connections by client proxy: the number in use, and the times since which the others have been idle.
    connections: BTreeMap<usize, (usize, VecDeque<Micros>)>,
    open_connections: usize,
    /// Times and work of recent requests that arrived during the warm-up.
    cold_arrivals: VecDeque<(Micros, f64)>,
    congestion: CongestionState,
    /// The server was overloaded during its warm-up and stays down until it restarts.
    pub cold_overloaded: bool,
}

impl Server {
    /// Creates a server whose process started at `started`.
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

    /// Ratio of the full capacity that is available at this stage of the warm-up.
    pub fn warm_up_ratio(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.started);
        if self.started == 0 || age >= self.spec.warm_up_duration {
            return 1.0;
        }
        let rise = age as f64 / self.spec.warm_up_duration as f64;
        self.spec.initial_capacity_ratio + (1.0 - self.spec.initial_capacity_ratio) * rise
    }

    /// Current capacity, in cores.
    pub fn capacity(&self, now: Micros) -> f64 {
        let slowdown = self
            .spec
            .congestion
            .as_ref()
            .filter(|_| self.congestion.congested_since.is_some())
            .map_or(1.0, |c| c.slowdown_factor);
        self.spec.cores * self.warm_up_ratio(now) / self.health.slowdown_factor / slowdown
    }

    /// Work accepted and not yet done, in microseconds of one core.
    pub fn backlog(&self) -> f64 {
        let open = self.work.iter().filter(|Reverse(job)| !self.dropped.contains(&job.attempt));
        let in_work: f64 = open.map(|Reverse(job)| (job.end_progress - self.progress).max(0.0)).sum();
        in_work + self.waiting.iter().map(|(_, work)| work).sum::<f64>()
    }

    /// Returns whether the server would accept another connection.
    pub fn accepts_connection(&self) -> bool {
        self.open_connections < self.spec.max_connections
    }

    /// Returns whether the server is reachable and running.
    pub fn is_available(&self) -> bool {
        self.up && !self.cold_overloaded && !self.health.unreachable
    }

    /// Work done per active request and microsecond.
    fn progress_rate(&self, now: Micros) -> f64 {
        if self.active == 0 || self.health.hung {
            return 0.0;
        }
        let capacity = self.capacity(now);
        (capacity / self.active as f64).min(capacity / self.spec.cores)
    }

    /// Updates the work done up to `now`.
    pub fn advance(&mut self, now: Micros) {
        let mut elapsed = now.saturating_sub(self.updated_at) as f64;
        // During the warm-up the rate at the middle of the interval is used.
        let rate = self.progress_rate(self.updated_at + (now - self.updated_at) / 2);
        if self.pending_handshake_work > 0.0 && !self.health.hung {
            let capacity = self.capacity(now).max(f64::MIN_POSITIVE);
            let spent = (self.pending_handshake_work / capacity).min(elapsed);
            self.pending_handshake_work -= spent * capacity;
            elapsed -= spent;
        }
        self.progress += rate * elapsed;
        self.updated_at = now;
        self.update_congestion(now);
    }

    /// Enters or leaves congestion once its condition has held for the configured time. Evaluated on each event here.
    fn update_congestion(&mut self, now: Micros) {
        let Some(spec) = &self.spec.congestion else { return };
        let waiting = self.waiting.len() as f64;
        let accepted = (self.active + self.waiting.len()) as f64;
        let (condition_holds, required_time) = match self.congestion.congested_since {
            None => (waiting > spec.onset_waiting_per_core * self.spec.cores, spec.onset_time),
            Some(_) => (accepted < spec.recovery_load_per_core * self.spec.cores, spec.recovery_time),
        };
        let since = *self.congestion.condition_since.get_or_insert(now);
        let expired = self
            .congestion
            .congested_since
            .is_some_and(|congested_since| now >= congested_since + spec.max_duration);
        if !condition_holds && !expired {
            self.congestion.condition_since = None;
        } else if expired || now >= since + required_time {
            let congested_since = if self.congestion.congested_since.is_none() { Some(now) } else { None };
            self.congestion = CongestionState { condition_since: None, congested_since };
            self.version += 1;
        }
    }

    /// Offers a request with this work to the server.
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

    /// Removes cancelled jobs from the head of the heap.
    fn discard_dropped(&mut self) {
        while let Some(Reverse(job)) = self.work.peek() {
            if !self.dropped.remove(&job.attempt) {
                break;
            }
            self.work.pop();
        }
    }

    /// Time at which the next request ends if nothing changes; during the warm-up a time at which to check again.
    pub fn next_end(&mut self, now: Micros) -> Option<Micros> {
        /// Longest interval over which the rate of a cold server is assumed constant.
        const MAX_COLD_STEP_US: f64 = 200_000.0;
        self.discard_dropped();
        let Reverse(job) = self.work.peek()?;
        let rate = self.progress_rate(now);
        if rate <= 0.0 {
            return None;
        }
        let handshake_time = self.pending_handshake_work / self.capacity(now).max(f64::MIN_POSITIVE);
        let mut remaining = ((job.end_progress - self.progress) / rate).max(0.0) + handshake_time;
        if self.warm_up_ratio(now) < 1.0 {
            remaining = remaining.min(MAX_COLD_STEP_US);
        }
        Some(now + remaining.ceil().max(1.0) as Micros)
    }

    /// Removes a request that has ended by now, and starts a waiting one.
    pub fn pop_finished(&mut self, now: Micros) -> Option<usize> {
        /// Remaining work below this is a rounding error.
        const MAX_ROUNDING_ERROR_US: f64 = 0.5;
        self.advance(now);
        self.discard_dropped();
        let attempt = self
            .work
            .peek()
            .filter(|Reverse(job)| job.end_progress <= self.progress + MAX_ROUNDING_ERROR_US)?
            .0
            .attempt;
        self.work.pop();
        self.free_slot();
        Some(attempt)
    }

    /// Frees a slot and starts the next waiting request.
    fn free_slot(&mut self) {
        self.active -= 1;
        self.version += 1;
        if let Some((attempt, work)) = self.waiting.pop_front() {
            self.start(attempt, work);
        }
    }

    /// Cancels a request; returns its remaining work if it was active or waiting.
    pub fn drop_work(&mut self, now: Micros, attempt: usize) -> Option<f64> {
        self.advance(now);
        if let Some(index) = self.waiting.iter().position(|(waiting, _)| *waiting == attempt) {
            return self.waiting.remove(index).map(|(_, work)| work);
        }
        let job = self.work.iter().find(|Reverse(job)| job.attempt == attempt)?.0;
        if !self.dropped.insert(attempt) {
            return None;
        }
        self.free_slot();
        Some((job.end_progress - self.progress).max(0.0))
    }

    /// Ends the process; returns the attempts that are lost.
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

    /// Starts the process, cold.
    pub fn restart(&mut self, now: Micros) {
        (self.up, self.draining, self.cold_overloaded, self.started) = (true, false, false, now);
        (self.updated_at, self.health) = (now, Health::default());
        self.cold_arrivals.clear();
        self.congestion = CongestionState::default();
    }

    /// Records work that arrives during the warm-up, whether it is accepted or not. Returns true if it overloads the
    /// server.
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
        let capacity = self.spec.cores * self.warm_up_ratio(now) * self.spec.cold_overload_window as f64;
        // More than `slots` requests must arrive, so that a single long request is no overload.
        self.cold_overloaded =
            sent > self.spec.cold_overload_factor * capacity && self.cold_arrivals.len() > self.spec.slots;
        self.cold_overloaded
    }

    /// Acquires a connection for a client proxy: true if an idle one is reused, false if it is new, `None` if the
    /// server is at its limit.
    pub fn acquire_connection(&mut self, now: Micros, proxy: usize) -> Option<bool> {
        let idle_timeout = self.spec.idle_timeout;
        let (in_use, idle) = self.connections.entry(proxy).or_default();
        let idle_before = idle.len();
        idle.retain(|since| since + idle_timeout > now);
        self.open_connections -= idle_before - idle.len();
        *in_use += 1;
        if idle.pop_back().is_some() {
            return Some(true);
        }
        if self.open_connections >= self.spec.max_connections {
            *in_use -= 1;
            return None;
        }
        self.open_connections += 1;
        self.add_handshake_work();
        Some(false)
    }

    /// Adds the work of a handshake, for a new connection that the caller counts.
    pub fn add_handshake_work(&mut self) {
        self.pending_handshake_work += self.spec.handshake_work as f64;
    }

    /// Drops all connections of a client proxy that has died.
    pub fn drop_connections(&mut self, proxy: usize) {
        if let Some((in_use, idle)) = self.connections.remove(&proxy) {
            self.open_connections -= in_use + idle.len();
        }
    }

    /// Releases a connection: it becomes idle if `keep` is set, else it is closed.
    pub fn release_connection(&mut self, now: Micros, proxy: usize, keep: bool) {
        let Some((in_use, idle)) = self.connections.get_mut(&proxy).filter(|(in_use, _)| *in_use > 0) else {
            return;
        };
        *in_use -= 1;
        if keep {
            idle.push_back(now);
        } else {
            self.open_connections -= 1;
        }
    }
}

#[cfg(test)]
mod tests;
