//! Measures what membership costs among many nodes in virtual time: `cost MEMBERS [SECONDS [SCENARIO [SCOPES]]]`.
//!
//! SCENARIO is `started` (all at once, the default), `zone` (the last eleventh is lost), `rack` (forty are) or
//! `parted` (a third does not reach the others for three minutes); without SCOPES the fleet is one scope.

use oakport_membership::{Identity, MemberStatus, Micros, Node, NodeConfig, ScopeStatus};
use rand_pcg_next::rand_core::{Rng, SeedableRng};
use rand_pcg_next::Pcg64;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SECOND: Micros = 1_000_000;
/// Bytes are counted in spans of this length.
const SPAN_US: Micros = 100_000;
/// Spans in a second.
const SPAN_COUNT: usize = 10;
/// What IP and UDP add to a datagram.
const UDP_IP_HEADER_BYTES: u64 = 28;
const ZONE_COUNT: usize = 11;
/// Nodes that are lost in the scenario `rack`.
const RACK_MEMBERS: usize = 40;
/// Seeds of each node.
const SEED_COUNT: usize = 3;
/// Latency of the network.
const MIN_LATENCY_US: Micros = 1_000;
const LATENCY_RANGE_US: Micros = 4_000;
/// A live count is right within 1 / 20 of the true one.
const COUNT_TOLERANCE_FACTOR: usize = 20;

struct HollowNode {
    node: Node,
    running: bool,
    /// The next deadline in the event queue.
    deadline: Micros,
    sent: SentBytes,
}

/// Bytes that a node sent.
#[derive(Default)]
struct SentBytes {
    /// In each of the last spans.
    spans: [u64; SPAN_COUNT],
    last_span: u64,
    worst_second: u64,
    total: u64,
}

impl SentBytes {
    fn record(&mut self, now: Micros, bytes: u64) {
        let span = now / SPAN_US;
        if span >= self.last_span + SPAN_COUNT as u64 {
            self.spans = [0; SPAN_COUNT];
        } else {
            for skipped in self.last_span + 1..=span {
                self.spans[skipped as usize % SPAN_COUNT] = 0;
            }
        }
        self.last_span = span;
        self.spans[span as usize % SPAN_COUNT] += bytes;
        self.worst_second = self.worst_second.max(self.spans.iter().sum());
        self.total += bytes;
    }
}

enum Event {
    Deadline { node: usize },
    Datagram { to: usize, datagram: Vec<u8> },
}

/// Orders the events: by time, then by sequence number. The slot is where the event is stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at: Micros,
    sequence: u64,
    slot: usize,
}

struct Cluster {
    now: Micros,
    random: Pcg64,
    nodes: Vec<HollowNode>,
    queue: BinaryHeap<Reverse<EventKey>>,
    events: Vec<Option<Event>>,
    free_slots: Vec<usize>,
    sequence: u64,
    /// Time that the nodes themselves took.
    node_time: Duration,
    /// Nothing is delivered between the nodes below this index and the others.
    partition_index: usize,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7_000))
}

fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[2]) << 8 | usize::from(v4.ip().octets()[3]),
        SocketAddr::V6(_) => usize::MAX,
    }
}

impl Cluster {
    fn new(members: usize, scopes: usize) -> Self {
        let mut random = Pcg64::seed_from_u64(7);
        let nodes = (0..members).map(|index| hollow_node(index, members, scopes, &mut random)).collect();
        Cluster {
            now: SECOND,
            nodes,
            random: Pcg64::seed_from_u64(8),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free_slots: Vec::new(),
            sequence: 0,
            node_time: Duration::ZERO,
            partition_index: 0,
        }
    }

    fn push(&mut self, at: Micros, event: Event) {
        let slot = self.free_slots.pop().unwrap_or(self.events.len());
        if slot == self.events.len() {
            self.events.push(None);
        }
        self.events[slot] = Some(event);
        self.sequence += 1;
        self.queue.push(Reverse(EventKey { at, sequence: self.sequence, slot }));
    }

    /// Lets a node act, and takes what it sends.
    fn act(&mut self, index: usize, operation: impl FnOnce(&mut Node)) {
        let begin = Instant::now();
        let node = &mut self.nodes[index].node;
        operation(node);
        let outbox = node.take_outbox();
        let deadline = node.next_deadline();
        node.take_events();
        self.node_time += begin.elapsed();
        for (to, datagram) in outbox {
            let bytes = datagram.len() as u64 + UDP_IP_HEADER_BYTES;
            self.nodes[index].sent.record(self.now, bytes);
            self.transmit(index, index_of(to), datagram);
        }
        if deadline < self.nodes[index].deadline || self.nodes[index].deadline <= self.now {
            self.nodes[index].deadline = deadline;
            self.push(deadline, Event::Deadline { node: index });
        }
    }

    fn transmit(&mut self, from: usize, to: usize, datagram: Vec<u8>) {
        let latency = MIN_LATENCY_US + self.random.next_u64() % LATENCY_RANGE_US;
        let reachable = (from < self.partition_index) == (to < self.partition_index);
        if reachable && to < self.nodes.len() {
            self.push(self.now + latency, Event::Datagram { to, datagram });
        }
    }

    fn run_until(&mut self, end: Micros) {
        while let Some(Reverse(next)) = self.queue.peek().copied().filter(|next| next.0.at <= end) {
            self.queue.pop();
            self.now = next.at;
            self.free_slots.push(next.slot);
            let Some(event) = self.events[next.slot].take() else { continue };
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Deadline { node } => {
                // An earlier deadline may have replaced it.
                if self.nodes[node].running && self.nodes[node].deadline == now {
                    self.act(node, |node| node.handle_time(now));
                }
            }
            Event::Datagram { to, datagram } => {
                if self.nodes[to].running {
                    self.act(to, |node| node.handle_datagram(now, &datagram));
                }
            }
        }
    }

    fn run_for(&mut self, span: Micros) {
        self.run_until(self.now + span);
    }

    /// Nodes whose live count is right within 5%.
    fn right_counts(&self, count: usize) -> usize {
        let is_right = |node: &&HollowNode| {
            let error = node.node.live_count().get().abs_diff(count);
            node.running && error * COUNT_TOLERANCE_FACTOR <= count
        };
        self.nodes.iter().filter(is_right).count()
    }

    fn lowest_count(&self, nodes: usize) -> Option<usize> {
        self.nodes[..nodes].iter().map(|node| node.node.live_count().get()).min()
    }

    /// Prints what the running nodes have spent since the last report.
    fn report(&mut self, what: &str, since: Micros) {
        let seconds = (self.now - since) as f64 / SECOND as f64;
        let running: Vec<&HollowNode> = self.nodes.iter().filter(|node| node.running).collect();
        let worst = running.iter().map(|node| node.sent.worst_second).max().unwrap_or(0);
        let bytes: u64 = running.iter().map(|node| node.sent.total).sum();
        let node_seconds = seconds * running.len() as f64;
        let share = self.node_time.as_secs_f64() / node_seconds * 100.0;
        let mean = bytes as f64 / node_seconds;
        println!("{what:>12}: {share:.4} % of a core, {mean:.0} B/s mean, {worst} B in the worst second");
        self.node_time = Duration::ZERO;
        for node in &mut self.nodes {
            node.sent.worst_second = 0;
            node.sent.total = 0;
        }
    }
}

fn hollow_node(index: usize, members: usize, scopes: usize, random: &mut Pcg64) -> HollowNode {
    let zone = format!("zone-{}", index / zone_members(members));
    let identity = Identity::new(&format!("n{index}"), address(index), SECOND, "1", &zone);
    let seeds = (0..SEED_COUNT).map(|_| address(random.next_u64() as usize % members)).collect();
    let config = NodeConfig { fleet_name: "fares".to_owned(), seeds, configured_count: 1 };
    let scope = if scopes > 1 { format!("zone-{}", index * scopes / members) } else { String::new() };
    let node = Node::with_scope(SECOND, random.next_u64(), identity, config, &scope);
    HollowNode { node, running: true, deadline: 0, sent: SentBytes::default() }
}

fn zone_members(members: usize) -> usize {
    members.div_ceil(ZONE_COUNT)
}

/// Starts all nodes at once, and runs them until they are quiet.
fn start(cluster: &mut Cluster, quiet_seconds: u64) {
    let members = cluster.nodes.len();
    let begin = cluster.now;
    for index in 0..members {
        cluster.act(index, |node| node.handle_time(SECOND));
    }
    let mut took = None;
    for half_seconds in 1..=120 {
        cluster.run_for(SECOND / 2);
        let right = cluster.right_counts(members);
        if half_seconds % 4 == 0 {
            println!("{} s: {right} of {members} count right", half_seconds / 2);
        }
        if right == members {
            took = Some(cluster.now - begin);
            break;
        }
    }
    let took = took.map_or("not in 60 s".to_owned(), |took| format!("{:.1} s", took as f64 / SECOND as f64));
    println!("{members} members started at once: all count right within 5% after {took}");
    cluster.report("started", begin);
    cluster.run_for(20 * SECOND);
    cluster.report("settling", cluster.now - 20 * SECOND);
    cluster.run_for(quiet_seconds * SECOND);
    cluster.report("quiet", cluster.now - quiet_seconds * SECOND);
}

/// Partitions a third of the nodes from the others for three minutes.
fn partition(cluster: &mut Cluster, scopes: usize) {
    let members = cluster.nodes.len();
    let begin = cluster.now;
    cluster.partition_index = members * (scopes / 3).max(1) / scopes.max(3);
    for second in [50, 180] {
        cluster.run_until(begin + second * SECOND);
        let lowest = cluster.lowest_count(members);
        println!("parted for {second} s: least count {lowest:?}");
    }
    cluster.report("parted", begin);
    let begin = cluster.now;
    cluster.partition_index = 0;
    while cluster.right_counts(members) < members && cluster.now < begin + 60 * SECOND {
        cluster.run_for(SECOND / 2);
    }
    let seconds = (cluster.now - begin) as f64 / SECOND as f64;
    println!("healed: all count right within 5% after {seconds:.1} s");
    cluster.run_until(begin + 15 * SECOND);
    let exact = cluster.nodes.iter().filter(|node| node.node.live_count().get() == members).count();
    println!("15 s after it healed {exact} of {members} count {members}");
    cluster.report("healed, 15 s", begin);
}

/// Stops the last nodes at once.
fn lose(cluster: &mut Cluster, lost: usize) {
    let alive = cluster.nodes.len() - lost;
    for node in &mut cluster.nodes[alive..] {
        node.running = false;
    }
    let begin = cluster.now;
    for second in 1..=10 {
        cluster.run_until(begin + second * SECOND);
        let survivors = &cluster.nodes[..alive];
        let silent = survivors.iter().filter(|node| holds_scope_silent(&node.node)).count();
        let all = survivors.iter().filter(|node| dead_members(&node.node) >= lost).count();
        println!("{second} s: {silent} hold a scope silent, {all} hold {lost} dead");
    }
    cluster.report("lost, 10 s", begin);
    let lowest = cluster.lowest_count(alive);
    println!("least count {lowest:?} of {alive}");
}

fn holds_scope_silent(node: &Node) -> bool {
    node.scopes().iter().any(|(_, scope)| scope.status() == ScopeStatus::Silent)
}

fn dead_members(node: &Node) -> usize {
    node.members().members().filter(|record| record.status == MemberStatus::Dead).count()
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let members: usize = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(60);
    let quiet_seconds: u64 = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(20);
    let scenario = arguments.next().unwrap_or_else(|| "started".to_owned());
    let scopes: usize = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(1);
    let mut cluster = Cluster::new(members, scopes);
    start(&mut cluster, quiet_seconds);
    match scenario.as_str() {
        "parted" => partition(&mut cluster, scopes),
        "zone" => lose(&mut cluster, zone_members(members)),
        "rack" => lose(&mut cluster, RACK_MEMBERS),
        _ => {}
    }
}
