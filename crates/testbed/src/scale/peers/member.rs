//! A hollow process: a member and its timers, without sockets and calls, and what it spends.

use super::topology;
use nix::time::{clock_gettime, ClockId};
use oakport_core::Micros;
use oakport_membership::{Identity, MemberStatus, MembershipEvent, Node, NodeConfig, ScopeStatus};
use rand::Rng;
use rand_pcg::Pcg32;
use std::time::Duration;

/// Bytes of the headers of UDP and IP.
const HEADERS: u64 = 28;
/// Of so many empty measurements the median is what measuring costs.
const TRIALS: usize = 2_001;

/// What is due for a member at a moment.
pub struct Event {
    /// The member.
    pub to: usize,
    /// When.
    pub at: Micros,
    /// Who sent it, and its number among what that one sent.
    pub from: (usize, u64),
    /// None: a timer.
    pub datagram: Option<Box<[u8]>>,
}

/// What a member did in a window.
#[derive(Default)]
pub struct WindowResult {
    /// Datagrams on their way.
    pub sent: Vec<Event>,
    /// When it has to be told the time again.
    pub due: Option<Micros>,
    /// Lives that it holds dead from now on.
    pub dead: Vec<(usize, u64)>,
    /// Scopes that it holds silent from now on.
    pub silent: Vec<String>,
}

/// What members spent between two moments.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time, in nanoseconds.
    pub cpu_ns: u64,
    /// Bytes sent, with their headers.
    pub bytes: u64,
    /// Datagrams sent.
    pub datagrams: u64,
}

/// The network as a member meets it.
pub struct NetworkConditions {
    /// Members that there are.
    pub size: usize,
    /// Nothing passes to and from this region.
    pub partitioned_region: Option<usize>,
    /// Share of the datagrams that are lost.
    pub loss_share: f64,
    /// What measuring a call costs, in nanoseconds.
    pub measuring_cost_ns: u64,
}

/// A process that may run.
pub struct Member {
    number: usize,
    /// Its state machine, if it runs.
    pub node: Option<Box<Node>>,
    random: Pcg32,
    sent: u64,
    /// It was told the time up to then.
    time_handled_until: Micros,
    /// When it is told the time next.
    next_timer: Micros,
    /// What it spent since that was last taken.
    pub usage: Usage,
    /// Bytes of the heap that it holds.
    pub heap: i64,
}

impl Member {
    /// One that does not run yet.
    pub fn new(number: usize, seed: u64) -> Self {
        Member {
            number,
            node: None,
            random: Pcg32::new(seed, number as u64),
            sent: 0,
            time_handled_until: 0,
            next_timer: Micros::MAX,
            usage: Usage::default(),
            heap: 0,
        }
    }

    /// Starts as a new life that knows these seeds, in a scope or in a fleet that is one.
    pub fn start(&mut self, now: Micros, zone: usize, seeds: &[usize], scope: &str) -> Event {
        let own = Identity::new(
            &format!("fare-{}", self.number),
            topology::address(self.number),
            now / 1_000,
            "0.2.0",
            &topology::zone_name(zone),
        );
        let seeds = seeds.iter().map(|seed| topology::address(*seed)).collect();
        // Told of one process, so that what it counts is all from what it knows.
        let config = NodeConfig { fleet_name: "fares".to_owned(), seeds, configured_count: 1 };
        let seed = self.random.gen();
        let mut node = None;
        let held = allocation_counter::measure(|| {
            node = Some(Box::new(Node::with_scope(now, seed, own, config, scope)));
        });
        (self.node, self.heap, self.time_handled_until, self.next_timer) =
            (node, held.bytes_current, now, now);
        self.timer(now)
    }

    /// It is gone without a word.
    pub fn crash(&mut self) {
        self.node = None;
        self.heap = 0;
    }

    /// It says that it leaves, and is gone.
    pub fn leave(&mut self, now: Micros, conditions: &NetworkConditions) -> Vec<Event> {
        let mut done = WindowResult::default();
        self.call(now, conditions, &mut done, |node| node.leave(now));
        self.crash();
        done.sent
    }

    fn timer(&self, at: Micros) -> Event {
        Event { to: self.number, at, from: (self.number, u64::MAX), datagram: None }
    }

    /// Takes what is due before the end of a window, in its order.
    pub fn play(
        &mut self,
        events: &mut [Event],
        end: Micros,
        conditions: &NetworkConditions,
    ) -> WindowResult {
        let mut done = WindowResult::default();
        for event in events {
            self.timers(event.at, conditions, &mut done);
            let Some(datagram) = event.datagram.take() else { continue };
            let at = event.at;
            // As the socket's loop does.
            self.call(at, conditions, &mut done, |node| {
                node.handle_datagram(at, &datagram);
                node.handle_time(at);
            });
        }
        self.timers(end - 1, conditions, &mut done);
        let due = self.node.as_ref().map(|node| node.next_deadline().max(end));
        // A timer that is set already is not set again; one that comes too early finds nothing due.
        if let Some(due) = due.filter(|due| self.next_timer < end || *due < self.next_timer) {
            self.next_timer = due;
            done.due = Some(due);
        }
        done
    }

    /// The timer that was asked for.
    pub fn wake(&self, at: Micros) -> Event {
        self.timer(at)
    }

    /// Tells it the time whenever that is due, up to a moment.
    fn timers(&mut self, deadline: Micros, conditions: &NetworkConditions, done: &mut WindowResult) {
        while let Some(node) = &self.node {
            let due = node.next_deadline().max(self.time_handled_until);
            if due > deadline {
                return;
            }
            self.time_handled_until = due + 1;
            self.call(due, conditions, done, |node| node.handle_time(due));
        }
    }

    /// A call into the state machine, of which alone its processor time and its memory are taken.
    fn call(
        &mut self,
        now: Micros,
        conditions: &NetworkConditions,
        done: &mut WindowResult,
        act: impl FnOnce(&mut Node),
    ) {
        let Some(node) = &mut self.node else { return };
        let (mut outbox, mut news) = (Vec::new(), Vec::new());
        let (held, took) = measured(|| {
            act(node);
            (outbox, news) = (node.take_outbox(), node.take_events());
        });
        self.usage.cpu_ns += took.saturating_sub(conditions.measuring_cost_ns);
        for (to, datagram) in &outbox {
            self.sent += 1;
            self.usage.datagrams += 1;
            self.usage.bytes += datagram.len() as u64 + HEADERS;
            let Some(to) = topology::member_at(*to).filter(|to| *to < conditions.size) else { continue };
            let region = |member| topology::region(member, conditions.size);
            let crosses = region(self.number) != region(to);
            let cut = |parted| crosses && (region(self.number) == parted || region(to) == parted);
            let lost = conditions.loss_share > 0.0 && self.random.gen_bool(conditions.loss_share);
            if conditions.partitioned_region.is_some_and(cut) || lost {
                continue;
            }
            let at = now + topology::latency(self.number, to, conditions.size, &mut self.random);
            let datagram = Some(Box::from(datagram.as_slice()));
            done.sent.push(Event { to, at, from: (self.number, self.sent), datagram });
        }
        done.dead.extend(news.iter().filter_map(|news| match news {
            MembershipEvent::MemberChanged { member, status: MemberStatus::Dead } => {
                Some((topology::member_at(member.address)?, member.incarnation))
            }
            _ => None,
        }));
        done.silent.extend(news.iter().filter_map(|news| match news {
            MembershipEvent::ScopeChanged { scope, status: ScopeStatus::Silent } => Some(scope.clone()),
            _ => None,
        }));
        // What it gave away is not its own any more.
        let given = allocation_counter::measure(|| drop((outbox, news)));
        self.heap += held + given.bytes_current;
    }
}

/// Bytes that a call allocated and still holds, and the nanoseconds of the processor that it took.
fn measured(act: impl FnOnce()) -> (i64, u64) {
    let mut took = Duration::ZERO;
    let held = allocation_counter::measure(|| {
        let begin = thread_cpu_time();
        act();
        took = thread_cpu_time().saturating_sub(begin);
    });
    (held.bytes_current, took.as_nanos() as u64)
}

/// Processor time of this thread.
fn thread_cpu_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}

/// What measuring a call costs, in nanoseconds.
pub fn measuring_cost_ns() -> u64 {
    let mut all: Vec<u64> = (0..TRIALS).map(|_| measured(|| ()).1).collect();
    all.sort_unstable();
    all[TRIALS / 2]
}
