//! A test cluster in virtual time: nodes, the network between them, and recorded events and datagrams.

// No test file uses all items of this module.
#![allow(dead_code)]

use oakport_membership::{DatagramKind, Identity, MemberStatus, MembershipEvent, Micros, Node, NodeConfig};
use rand_pcg_next::rand_core::{Rng, SeedableRng};
use rand_pcg_next::Pcg64;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

pub const SECOND: Micros = 1_000_000;
pub const MILLI: Micros = 1_000;
/// Maximum bytes that a node may send in any second, headers included.
pub const MAX_SENT_BYTES_PER_SECOND: usize = 22_000;
/// Size of the IP and UDP headers of a datagram.
pub const UDP_IP_HEADER_BYTES: usize = 28;
/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum number of recorded datagrams.
const MAX_RECORDED_DATAGRAMS: usize = 1_000;
/// The zone of nodes without a scope.
const DEFAULT_ZONE: &str = "derby";

pub struct TestNode {
    pub node: Node,
    pub running: bool,
    /// The node is stalled until this time; datagrams that arrive earlier are delivered then.
    pub stalled_until: Micros,
    /// Time and size of each datagram sent within the last second.
    sent: VecDeque<(Micros, usize)>,
    sent_bytes: usize,
}

impl TestNode {
    pub fn new(node: Node) -> Self {
        TestNode { node, running: true, stalled_until: 0, sent: VecDeque::new(), sent_bytes: 0 }
    }

    fn record_sent(&mut self, now: Micros, datagram: &[u8]) {
        let bytes = datagram.len() + UDP_IP_HEADER_BYTES;
        self.sent.push_back((now, bytes));
        self.sent_bytes += bytes;
        while let Some((_, bytes)) = self.sent.front().copied().filter(|(at, _)| at + SECOND <= now) {
            self.sent_bytes -= bytes;
            self.sent.pop_front();
        }
        let sent_bytes = self.sent_bytes;
        assert!(
            sent_bytes <= MAX_SENT_BYTES_PER_SECOND,
            "{sent_bytes} bytes sent in the second before {now} us"
        );
    }

    fn deadline(&self) -> Micros {
        if !self.running {
            return Micros::MAX;
        }
        self.node.next_deadline().max(self.stalled_until)
    }
}

/// A datagram in transit.
pub struct InFlightDatagram {
    to: usize,
    datagram: Vec<u8>,
}

/// An event that a node reported.
#[derive(Debug)]
pub struct ReportedEvent {
    pub at: Micros,
    pub node: usize,
    pub event: MembershipEvent,
}

/// A datagram that a node sent.
pub struct RecordedDatagram {
    pub from: usize,
    pub datagram: Vec<u8>,
}

/// Modifies a datagram from one node to another; `None` drops the datagram.
pub type Transform = fn(from: usize, to: usize, Vec<u8>) -> Option<Vec<u8>>;

/// The scopes of a cluster.
#[derive(Clone, Copy)]
enum Layout {
    /// The fleet is one scope without a name.
    Unnamed,
    /// The nodes are assigned to this number of scopes round-robin.
    Scopes(usize),
}

pub struct Cluster {
    pub now: Micros,
    pub random: Pcg64,
    pub nodes: Vec<TestNode>,
    layout: Layout,
    seeds: Vec<SocketAddr>,
    configured_count: usize,
    /// Interval at which `wait_for` checks its condition.
    check_interval: Micros,
    /// Datagrams in transit, by arrival time and sequence number.
    in_flight: BTreeMap<(Micros, u64), InFlightDatagram>,
    sent_datagrams: u64,
    pub loss_ratio: f64,
    /// Whether datagrams from the first node to the second are dropped.
    pub partition: Box<dyn Fn(usize, usize) -> bool>,
    pub transform: Option<Transform>,
    pub events: Vec<ReportedEvent>,
    /// The most recently sent datagrams.
    pub recorded_datagrams: VecDeque<RecordedDatagram>,
    /// Number of scope gossip datagrams that each node sent to other scopes.
    pub cross_scope_datagrams: BTreeMap<usize, u64>,
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7_000))
}

fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = address else { panic!("{address}") };
    let [_, _, high, low] = v4.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

impl Cluster {
    /// Nodes assigned round-robin to scopes `z0`, `z1`, ...; the first two nodes are the seeds of all.
    pub fn new(seed: u64, nodes: usize, scopes: usize) -> Self {
        let seeds = vec![address(0), address(1)];
        let cluster = Cluster::empty(seed, Layout::Scopes(scopes), seeds, 1, 50 * MILLI);
        cluster.with_nodes(nodes)
    }

    /// Nodes of a fleet that is one scope without a name; the first node is the seed of all.
    pub fn without_scopes(seed: u64, nodes: usize, configured_count: usize) -> Self {
        let cluster = Cluster::empty(seed, Layout::Unnamed, vec![address(0)], configured_count, 20 * MILLI);
        cluster.with_nodes(nodes)
    }

    fn empty(
        seed: u64,
        layout: Layout,
        seeds: Vec<SocketAddr>,
        configured_count: usize,
        check_interval: Micros,
    ) -> Self {
        Cluster {
            now: SECOND,
            random: Pcg64::seed_from_u64(seed),
            nodes: Vec::new(),
            layout,
            seeds,
            configured_count,
            check_interval,
            in_flight: BTreeMap::new(),
            sent_datagrams: 0,
            loss_ratio: 0.0,
            partition: Box::new(|_, _| false),
            transform: None,
            events: Vec::new(),
            recorded_datagrams: VecDeque::new(),
            cross_scope_datagrams: BTreeMap::new(),
        }
    }

    fn with_nodes(mut self, nodes: usize) -> Self {
        for index in 0..nodes {
            let node = match self.layout {
                Layout::Unnamed => self.new_incarnation(index, self.now),
                Layout::Scopes(scopes) => self.new_node(index, &format!("z{}", index % scopes)),
            };
            self.nodes.push(node);
        }
        self
    }

    /// A node that starts now, in a scope and in a zone of the same name.
    pub fn new_node(&mut self, index: usize, scope: &str) -> TestNode {
        self.start_node(index, scope, scope, self.now)
    }

    /// A node without a scope that starts now with the given incarnation.
    pub fn new_incarnation(&mut self, index: usize, incarnation: u64) -> TestNode {
        self.start_node(index, "", DEFAULT_ZONE, incarnation)
    }

    fn start_node(&mut self, index: usize, scope: &str, zone: &str, incarnation: u64) -> TestNode {
        let identity = Identity::new(&format!("n{index}"), address(index), incarnation, "1", zone);
        let config = NodeConfig {
            fleet_name: "fares".to_owned(),
            seeds: self.seeds.clone(),
            configured_count: self.configured_count,
        };
        TestNode::new(Node::with_scope(self.now, self.random.next_u64(), identity, config, scope))
    }

    fn random_fraction(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn is_cross_scope(&self, from: usize, to: usize) -> bool {
        match self.layout {
            Layout::Unnamed => false,
            Layout::Scopes(scopes) => from % scopes != to % scopes,
        }
    }

    /// Transmits the queued datagrams of a node, and records its events.
    pub fn send_outbox(&mut self, from: usize) {
        for (to, datagram) in self.nodes[from].node.take_outbox() {
            assert!(datagram.len() <= MAX_DATAGRAM_BYTES, "datagram of {} bytes", datagram.len());
            self.nodes[from].record_sent(self.now, &datagram);
            let to = index_of(to);
            if datagram[3] == DatagramKind::ScopeGossip as u8 && self.is_cross_scope(from, to) {
                *self.cross_scope_datagrams.entry(from).or_default() += 1;
            }
            self.recorded_datagrams.push_back(RecordedDatagram { from, datagram: datagram.clone() });
            if self.recorded_datagrams.len() > MAX_RECORDED_DATAGRAMS {
                self.recorded_datagrams.pop_front();
            }
            self.transmit(from, to, datagram);
        }
        let (at, events) = (self.now, self.nodes[from].node.take_events());
        self.events.extend(events.into_iter().map(|event| ReportedEvent { at, node: from, event }));
    }

    fn transmit(&mut self, from: usize, to: usize, datagram: Vec<u8>) {
        if to >= self.nodes.len() {
            return;
        }
        let delivered = match self.transform {
            Some(transform) => transform(from, to, datagram),
            None => Some(datagram),
        };
        let Some(datagram) = delivered else { return };
        if self.random_fraction() < self.loss_ratio || (self.partition)(from, to) {
            return;
        }
        self.sent_datagrams += 1;
        let latency = MILLI + (self.random_fraction() * 4.0 * MILLI as f64) as Micros;
        let arrival = (self.now + latency, self.sent_datagrams);
        self.in_flight.insert(arrival, InFlightDatagram { to, datagram });
    }

    /// Runs the cluster until a point in time.
    pub fn run_until(&mut self, end: Micros) {
        loop {
            let deadlines = self.nodes.iter().enumerate().map(|(index, node)| (node.deadline(), index));
            let (deadline, index) = deadlines.min().expect("a cluster with nodes");
            let arrival = self.in_flight.first_key_value().map_or(Micros::MAX, |((at, _), _)| *at);
            if deadline.min(arrival) > end {
                self.now = end;
                return;
            }
            if arrival <= deadline {
                self.deliver_next();
            } else {
                self.now = deadline;
                self.nodes[index].node.handle_time(self.now);
                self.send_outbox(index);
            }
        }
    }

    fn deliver_next(&mut self) {
        let Some(((at, sequence), next)) = self.in_flight.pop_first() else { return };
        self.now = at;
        let receiver = &mut self.nodes[next.to];
        if !receiver.running {
            return;
        }
        if receiver.stalled_until > at {
            self.in_flight.insert((receiver.stalled_until, sequence), next);
            return;
        }
        receiver.node.handle_datagram(at, &next.datagram);
        self.send_outbox(next.to);
    }

    /// Runs the cluster for a duration.
    pub fn run_for(&mut self, duration: Micros) {
        self.run_until(self.now + duration);
    }

    /// Runs the cluster until a condition holds, and returns the elapsed time.
    pub fn wait_for(
        &mut self,
        timeout: Micros,
        expected: &str,
        condition: impl Fn(&Cluster) -> bool,
    ) -> Micros {
        let begin = self.now;
        while !condition(self) {
            assert!(self.now < begin + timeout, "{expected}: not reached within {} s", timeout / SECOND);
            self.run_for(self.check_interval);
        }
        self.now - begin
    }

    pub fn running(&self) -> impl Iterator<Item = &TestNode> {
        self.nodes.iter().filter(|node| node.running)
    }

    /// Whether all running nodes have this live count.
    pub fn all_live_counts_are(&self, live_count: usize) -> bool {
        self.running().all(|node| node.node.live_count().get() == live_count)
    }

    /// Number of events that report a member dead.
    pub fn reported_deaths(&self) -> usize {
        let is_death = |event: &MembershipEvent| {
            matches!(event, MembershipEvent::MemberChanged { status: MemberStatus::Dead, .. })
        };
        self.events.iter().filter(|reported| is_death(&reported.event)).count()
    }

    /// A cluster whose nodes have joined and settled.
    pub fn joined(seed: u64, nodes: usize, scopes: usize) -> Self {
        let mut cluster = Cluster::new(seed, nodes, scopes);
        cluster.wait_for(15 * SECOND, "joined", |cluster| cluster.all_live_counts_are(nodes));
        cluster.run_for(5 * SECOND);
        cluster.events.clear();
        cluster
    }

    /// Stops a node without announcing its departure.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].running = false;
    }

    /// Announces the departure of a node, and stops the node.
    pub fn leave(&mut self, index: usize) {
        let now = self.now;
        self.nodes[index].node.leave(now);
        self.send_outbox(index);
        self.kill(index);
    }
}
