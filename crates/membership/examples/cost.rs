//! Measures the processing time and the bytes sent by many membership nodes in virtual time.
//!
//! Usage: `cost MEMBERS [SECONDS [SCENARIO [SCOPES]]]`. SCENARIO is `started` (all nodes start at once, the
//! default), `zone` (the last eleventh of the nodes stops), `rack` (the last forty nodes stop) or `parted`
//! (a third of the nodes is partitioned from the others for three minutes). Without SCOPES the fleet is one
//! scope.

use oakport_membership::{Identity, MemberStatus, Micros, Node, NodeConfig, ScopeStatus};
use rand_pcg_next::rand_core::{Rng, SeedableRng};
use rand_pcg_next::Pcg64;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SECOND: Micros = 1_000_000;
/// Sent bytes are counted in windows of this length.
const WINDOW_US: Micros = 100_000;
/// Number of windows per second.
const WINDOWS_PER_SECOND: usize = 10;
/// Size of the IP and UDP headers of a datagram.
const UDP_IP_HEADER_BYTES: u64 = 28;
const ZONE_COUNT: usize = 11;
/// Number of nodes that stop in the scenario `rack`.
const RACK_MEMBERS: usize = 40;
/// Number of seeds of each node.
const SEED_COUNT: usize = 3;
/// Network latency: the minimum, and the range above it.
const MIN_LATENCY_US: Micros = 1_000;
const LATENCY_RANGE_US: Micros = 4_000;
/// A live count is accurate if it differs by at most 1 / 20 from the true count.
const COUNT_TOLERANCE_FACTOR: usize = 20;

struct SimulatedNode {
    node: Node,
    running: bool,
    /// The next deadline of the node in the event queue.
    deadline: Micros,
    sent: SentBytes,
}

/// Bytes that a node sent.
#[derive(Default)]
struct SentBytes {
    /// Bytes in each of the last windows.
    windows: [u64; WINDOWS_PER_SECOND],
    last_window: u64,
    worst_second: u64,
    total: u64,
}

impl SentBytes {
    fn record(&mut self, now: Micros, bytes: u64) {
        let window = now / WINDOW_US;
        if window >= self.last_window + WINDOWS_PER_SECOND as u64 {
            self.windows = [0; WINDOWS_PER_SECOND];
        } else {
            for skipped in self.last_window + 1..=window {
                self.windows[skipped as usize % WINDOWS_PER_SECOND] = 0;
            }
        }
        self.last_window = window;
        self.windows[window as usize % WINDOWS_PER_SECOND] += bytes;
        self.worst_second = self.worst_second.max(self.windows.iter().sum());
        self.total += bytes;
    }
}

enum Event {
    Deadline { node: usize },
    Datagram { to: usize, datagram: Vec<u8> },
}

/// Orders the events by time, then by sequence number. `slot` is the index at which the event is stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at: Micros,
    sequence: u64,
    slot: usize,
}

struct Cluster {
    now: Micros,
    random: Pcg64,
    nodes: Vec<SimulatedNode>,
    queue: BinaryHeap<Reverse<EventKey>>,
    events: Vec<Option<Event>>,
    free_slots: Vec<usize>,
    sequence: u64,
    /// Wall-clock time spent in the nodes.
    node_time: Duration,
    /// No datagram is delivered between the nodes below this index and the others.
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
        let nodes = (0..members).map(|index| simulated_node(index, members, scopes, &mut random)).collect();
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

    /// Runs an operation of a node, and transmits the datagrams that the node sends.
    fn run_node(&mut self, index: usize, operation: impl FnOnce(&mut Node)) {
        let start = Instant::now();
        let node = &mut self.nodes[index].node;
        operation(node);
        let outbox = node.take_outbox();
        let deadline = node.next_deadline();
        node.take_events();
        self.node_time += start.elapsed();
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
                // An earlier deadline may have replaced this one.
                if self.nodes[node].running && self.nodes[node].deadline == now {
                    self.run_node(node, |node| node.handle_time(now));
                }
            }
            Event::Datagram { to, datagram } => {
                if self.nodes[to].running {
                    self.run_node(to, |node| node.handle_datagram(now, &datagram));
                }
            }
        }
    }

    fn run_for(&mut self, duration: Micros) {
        self.run_until(self.now + duration);
    }

    /// Number of running nodes whose live count is accurate within 5%.
    fn accurate_nodes(&self, true_count: usize) -> usize {
        let is_accurate = |node: &&SimulatedNode| {
            let error = node.node.live_count().get().abs_diff(true_count);
            node.running && error * COUNT_TOLERANCE_FACTOR <= true_count
        };
        self.nodes.iter().filter(is_accurate).count()
    }

    fn lowest_count(&self, nodes: usize) -> Option<usize> {
        self.nodes[..nodes].iter().map(|node| node.node.live_count().get()).min()
    }

    /// Prints the processing time and the sent bytes of the running nodes since the last report.
    fn report(&mut self, label: &str, since: Micros) {
        let seconds = (self.now - since) as f64 / SECOND as f64;
        let running: Vec<&SimulatedNode> = self.nodes.iter().filter(|node| node.running).collect();
        let worst = running.iter().map(|node| node.sent.worst_second).max().unwrap_or(0);
        let bytes: u64 = running.iter().map(|node| node.sent.total).sum();
        let node_seconds = seconds * running.len() as f64;
        let percent = self.node_time.as_secs_f64() / node_seconds * 100.0;
        let mean = bytes as f64 / node_seconds;
        println!("{label:>12}: {percent:.4} % of a core, {mean:.0} B/s mean, {worst} B in the worst second");
        self.node_time = Duration::ZERO;
        for node in &mut self.nodes {
            node.sent.worst_second = 0;
            node.sent.total = 0;
        }
    }
}

fn simulated_node(index: usize, members: usize, scopes: usize, random: &mut Pcg64) -> SimulatedNode {
    let zone = format!("zone-{}", index / zone_members(members));
    let identity = Identity::new(&format!("n{index}"), address(index), SECOND, "1", &zone);
    let seeds = (0..SEED_COUNT).map(|_| address(random.next_u64() as usize % members)).collect();
    let config = NodeConfig { fleet_name: "fares".to_owned(), seeds, configured_count: 1 };
    let scope = if scopes > 1 { format!("zone-{}", index * scopes / members) } else { String::new() };
    let node = Node::with_scope(SECOND, random.next_u64(), identity, config, &scope);
    SimulatedNode { node, running: true, deadline: 0, sent: SentBytes::default() }
}

fn zone_members(members: usize) -> usize {
    members.div_ceil(ZONE_COUNT)
}

/// Starts all nodes at once, and measures the start, the next 20 s, and a quiet period.
fn start(cluster: &mut Cluster, quiet_seconds: u64) {
    let members = cluster.nodes.len();
    let begin = cluster.now;
    for index in 0..members {
        cluster.run_node(index, |node| node.handle_time(SECOND));
    }
    let mut elapsed = None;
    for half_seconds in 1..=120 {
        cluster.run_for(SECOND / 2);
        let accurate = cluster.accurate_nodes(members);
        if half_seconds % 4 == 0 {
            println!("{} s: {accurate} of {members} live counts are accurate", half_seconds / 2);
        }
        if accurate == members {
            elapsed = Some(cluster.now - begin);
            break;
        }
    }
    let outcome = elapsed
        .map_or("not within 60 s".to_owned(), |us| format!("after {:.1} s", us as f64 / SECOND as f64));
    println!("{members} members started at once: all live counts are accurate within 5%: {outcome}");
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
        println!("partitioned for {second} s: lowest live count {lowest:?}");
    }
    cluster.report("parted", begin);
    let begin = cluster.now;
    cluster.partition_index = 0;
    while cluster.accurate_nodes(members) < members && cluster.now < begin + 60 * SECOND {
        cluster.run_for(SECOND / 2);
    }
    let seconds = (cluster.now - begin) as f64 / SECOND as f64;
    println!("partition healed: all live counts are accurate within 5% after {seconds:.1} s");
    cluster.run_until(begin + 15 * SECOND);
    let exact = cluster.nodes.iter().filter(|node| node.node.live_count().get() == members).count();
    println!("15 s after healing, {exact} of {members} live counts are exactly {members}");
    cluster.report("healed, 15 s", begin);
}

/// Stops the last nodes at once.
fn stop_last(cluster: &mut Cluster, stopped: usize) {
    let alive = cluster.nodes.len() - stopped;
    for node in &mut cluster.nodes[alive..] {
        node.running = false;
    }
    let begin = cluster.now;
    for second in 1..=10 {
        cluster.run_until(begin + second * SECOND);
        let survivors = &cluster.nodes[..alive];
        let silent = survivors.iter().filter(|node| reports_silent_scope(&node.node)).count();
        let all = survivors.iter().filter(|node| dead_members(&node.node) >= stopped).count();
        println!("{second} s: {silent} nodes report a silent scope, {all} report {stopped} dead members");
    }
    cluster.report("lost, 10 s", begin);
    let lowest = cluster.lowest_count(alive);
    println!("lowest live count {lowest:?} with {alive} nodes running");
}

fn reports_silent_scope(node: &Node) -> bool {
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
        "zone" => stop_last(&mut cluster, zone_members(members)),
        "rack" => stop_last(&mut cluster, RACK_MEMBERS),
        _ => {}
    }
}
