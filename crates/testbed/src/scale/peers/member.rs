//! A simulated process: a membership node and its timers, without sockets and client calls, and its resource
//! usage.

use super::topology;
use nix::time::{clock_gettime, ClockId};
use oakport_core::Micros;
use oakport_membership::{Identity, MemberStatus, MembershipEvent, Node, NodeConfig, ScopeStatus};
use rand::Rng;
use rand_pcg::Pcg32;
use std::time::Duration;

/// Headers of UDP and IP.
const HEADER_BYTES: u64 = 28;
/// Number of empty measurements whose median is the cost of measuring.
const EMPTY_MEASUREMENTS: usize = 2_001;

/// A datagram or timer that is due for a member.
pub struct Event {
    /// Number of the member.
    pub to: usize,
    /// Time at which it is due.
    pub at: Micros,
    /// Number of the sender, and sequence number of the datagram at the sender.
    pub from: (usize, u64),
    /// The datagram; `None` for a timer.
    pub datagram: Option<Box<[u8]>>,
}

/// What a member has sent and changed in a window.
#[derive(Default)]
pub struct WindowResult {
    /// Datagrams sent, due at their receivers.
    pub sent: Vec<Event>,
    /// When the member's next timer is due, if one must be set.
    pub due: Option<Micros>,
    /// Members that were declared dead, with their incarnations.
    pub dead: Vec<(usize, u64)>,
    /// Scopes that were declared silent.
    pub silent: Vec<String>,
}

/// Resources that members have used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time, in nanoseconds.
    pub cpu_ns: u64,
    /// Bytes sent, including headers.
    pub bytes: u64,
    /// Datagrams sent.
    pub datagrams: u64,
}

/// State of the simulated network.
pub struct NetworkConditions {
    /// Number of members, running or not.
    pub size: usize,
    /// The region that is partitioned from the others.
    pub partitioned_region: Option<usize>,
    /// Share of datagrams that are lost.
    pub loss_share: f64,
    /// Processor time of measuring a call, in nanoseconds.
    pub measuring_cost_ns: u64,
}

/// A simulated process, running or not.
pub struct Member {
    number: usize,
    /// Membership state machine; `None` while the process does not run.
    pub node: Option<Box<Node>>,
    random: Pcg32,
    sent: u64,
    /// Time up to which its timers have been handled.
    time_handled_until: Micros,
    /// When its next timer is set.
    next_timer: Micros,
    /// Resources used since the last tally.
    pub usage: Usage,
    /// Heap bytes of the state machine.
    pub heap: i64,
}

impl Member {
    /// A member that does not run yet.
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

    /// Starts a new incarnation with these seeds, in a scope or, if `scope` is empty, in a fleet without
    /// scopes.
    pub fn start(&mut self, now: Micros, zone: usize, seeds: &[usize], scope: &str) -> Event {
        let own = Identity::new(
            &format!("fare-{}", self.number),
            topology::address(self.number),
            now / 1_000,
            "0.2.0",
            &topology::zone_name(zone),
        );
        let seeds = seeds.iter().map(|seed| topology::address(*seed)).collect();
        // A configured count of 1, so that its live count depends only on the members that it knows.
        let config = NodeConfig { fleet_name: "fares".to_owned(), seeds, configured_count: 1 };
        let seed = self.random.gen();
        let mut node = None;
        let allocated = allocation_counter::measure(|| {
            node = Some(Box::new(Node::with_scope(now, seed, own, config, scope)));
        });
        (self.node, self.heap, self.time_handled_until, self.next_timer) =
            (node, allocated.bytes_current, now, now);
        self.timer_event(now)
    }

    /// Ends the member without notifying others.
    pub fn crash(&mut self) {
        self.node = None;
        self.heap = 0;
    }

    /// Announces that the member leaves, then ends it; returns the datagrams sent.
    pub fn leave(&mut self, now: Micros, conditions: &NetworkConditions) -> Vec<Event> {
        let mut result = WindowResult::default();
        self.call(now, conditions, &mut result, |node| node.leave(now));
        self.crash();
        result.sent
    }

    fn timer_event(&self, at: Micros) -> Event {
        Event { to: self.number, at, from: (self.number, u64::MAX), datagram: None }
    }

    /// Handles the events of a window in order, and the timers due before its end.
    pub fn run_window(
        &mut self,
        events: &mut [Event],
        end: Micros,
        conditions: &NetworkConditions,
    ) -> WindowResult {
        let mut result = WindowResult::default();
        for event in events {
            self.handle_timers(event.at, conditions, &mut result);
            let Some(datagram) = event.datagram.take() else { continue };
            let at = event.at;
            // The same order as in the receive loop of the real socket.
            self.call(at, conditions, &mut result, |node| {
                node.handle_datagram(at, &datagram);
                node.handle_time(at);
            });
        }
        self.handle_timers(end - 1, conditions, &mut result);
        let due = self.node.as_ref().map(|node| node.next_deadline().max(end));
        // An earlier timer that is set already is not set again; if it fires too early, nothing is due.
        if let Some(due) = due.filter(|due| self.next_timer < end || *due < self.next_timer) {
            self.next_timer = due;
            result.due = Some(due);
        }
        result
    }

    /// The timer event for a time that `run_window` returned.
    pub fn timer_at(&self, at: Micros) -> Event {
        self.timer_event(at)
    }

    /// Handles all timers due up to a time.
    fn handle_timers(&mut self, deadline: Micros, conditions: &NetworkConditions, result: &mut WindowResult) {
        while let Some(node) = &self.node {
            let due = node.next_deadline().max(self.time_handled_until);
            if due > deadline {
                return;
            }
            self.time_handled_until = due + 1;
            self.call(due, conditions, result, |node| node.handle_time(due));
        }
    }

    /// Calls the state machine; only this call is measured. Then sends its datagrams and collects its events.
    fn call(
        &mut self,
        now: Micros,
        conditions: &NetworkConditions,
        result: &mut WindowResult,
        act: impl FnOnce(&mut Node),
    ) {
        let Some(node) = &mut self.node else { return };
        let mut outbox = Vec::new();
        let mut node_events = Vec::new();
        let (allocated_bytes, elapsed) = measured(|| {
            act(node);
            (outbox, node_events) = (node.take_outbox(), node.take_events());
        });
        self.usage.cpu_ns += elapsed.saturating_sub(conditions.measuring_cost_ns);
        for (to, datagram) in &outbox {
            self.sent += 1;
            self.usage.datagrams += 1;
            self.usage.bytes += datagram.len() as u64 + HEADER_BYTES;
            let Some(to) = topology::member_at(*to).filter(|to| *to < conditions.size) else { continue };
            let region = |member| topology::region(member, conditions.size);
            let crosses = region(self.number) != region(to);
            let is_cut =
                |partitioned| crosses && (region(self.number) == partitioned || region(to) == partitioned);
            let lost = conditions.loss_share > 0.0 && self.random.gen_bool(conditions.loss_share);
            if conditions.partitioned_region.is_some_and(is_cut) || lost {
                continue;
            }
            let at = now + topology::latency(self.number, to, conditions.size, &mut self.random);
            let datagram = Some(Box::from(datagram.as_slice()));
            result.sent.push(Event { to, at, from: (self.number, self.sent), datagram });
        }
        result.dead.extend(node_events.iter().filter_map(|event| match event {
            MembershipEvent::MemberChanged { member, status: MemberStatus::Dead } => {
                Some((topology::member_at(member.address)?, member.incarnation))
            }
            _ => None,
        }));
        result.silent.extend(node_events.iter().filter_map(|event| match event {
            MembershipEvent::ScopeChanged { scope, status: ScopeStatus::Silent } => Some(scope.clone()),
            _ => None,
        }));
        // The outbox and events were allocated in the measured call but do not belong to the state machine.
        let freed = allocation_counter::measure(|| drop((outbox, node_events)));
        self.heap += allocated_bytes + freed.bytes_current;
    }
}

/// Runs a function; returns by how many bytes the allocated memory has grown, and its processor time in
/// nanoseconds.
fn measured(act: impl FnOnce()) -> (i64, u64) {
    let mut elapsed = Duration::ZERO;
    let allocated = allocation_counter::measure(|| {
        let begin = thread_cpu_time();
        act();
        elapsed = thread_cpu_time().saturating_sub(begin);
    });
    (allocated.bytes_current, elapsed.as_nanos() as u64)
}

/// Processor time of this thread.
fn thread_cpu_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}

/// Processor time of measuring a call, in nanoseconds.
pub fn measuring_cost_ns() -> u64 {
    let mut all: Vec<u64> = (0..EMPTY_MEASUREMENTS).map(|_| measured(|| ()).1).collect();
    all.sort_unstable();
    all[EMPTY_MEASUREMENTS / 2]
}
