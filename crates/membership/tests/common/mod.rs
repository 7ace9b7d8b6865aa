//! A fleet of processes in virtual time, for the tests.

use oakport_membership::{DatagramKind, Identity, MembershipEvent, Micros, Node, NodeConfig};
use rand_pcg_next::rand_core::{Rng, SeedableRng};
use rand_pcg_next::Pcg64;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

pub const SECOND: Micros = 1_000_000;
pub const MILLI: Micros = 1_000;
/// What a process may send in any second, and what IP and UDP add to each datagram.
pub const BOUND: usize = 22_000;
pub const HEADERS: usize = 28;
/// Datagrams that are remembered.
const SAID: usize = 1_000;

pub struct Process {
    pub peers: Node,
    pub runs: bool,
    pub stalled: Micros,
    /// What it sent in the last second, and how much that is.
    pub sent: VecDeque<(Micros, usize)>,
    pub bytes: usize,
}

impl Process {
    pub fn sends(&mut self, now: Micros, datagram: &[u8]) {
        self.sent.push_back((now, datagram.len() + HEADERS));
        self.bytes += datagram.len() + HEADERS;
        while let Some((_, bytes)) = self.sent.front().copied().filter(|(at, _)| at + SECOND <= now) {
            self.bytes -= bytes;
            self.sent.pop_front();
        }
        assert!(self.bytes <= BOUND, "{} bytes in a second at {now}", self.bytes);
    }
}

/// A kind, and who cannot read it.
type Unread = (DatagramKind, fn(usize) -> bool);

pub struct Net {
    pub now: Micros,
    pub random: Pcg64,
    pub processes: Vec<Process>,
    pub scopes: usize,
    pub under_way: BTreeMap<(Micros, u64), (usize, Vec<u8>)>,
    pub number: u64,
    pub loss: f64,
    /// Nothing passes from the one to the other.
    pub cut: Box<dyn Fn(usize, usize) -> bool>,
    /// Datagrams of a kind that some cannot read.
    pub unread: Option<Unread>,
    pub news: Vec<(Micros, usize, MembershipEvent)>,
    /// What was sent last, and by whom.
    pub said: VecDeque<(usize, Vec<u8>)>,
    /// Datagrams of the kind for scopes that each sent to other scopes.
    pub spoke: BTreeMap<usize, u64>,
}

pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_000))
}

impl Net {
    /// So many in so many scopes, one after the other in turn, of whom all know two of the first as seeds.
    pub fn new(seed: u64, number: usize, scopes: usize) -> Self {
        let mut net = Net {
            now: SECOND,
            random: Pcg64::seed_from_u64(seed),
            processes: Vec::new(),
            scopes,
            under_way: BTreeMap::new(),
            number: 0,
            loss: 0.0,
            cut: Box::new(|_, _| false),
            unread: None,
            news: Vec::new(),
            said: VecDeque::new(),
            spoke: BTreeMap::new(),
        };
        for n in 0..number {
            let process = net.process(n, &format!("z{}", n % scopes));
            net.processes.push(process);
        }
        net
    }

    pub fn process(&mut self, number: usize, scope: &str) -> Process {
        let own = Identity::new(&format!("n{number}"), address(number), self.now, "1", scope);
        let seeds = vec![address(0), address(1)];
        let config = NodeConfig { fleet_name: "fares".to_owned(), seeds, configured_count: 1 };
        let peers = Node::with_scope(self.now, self.random.next_u64(), own, config, scope);
        Process { peers, runs: true, stalled: 0, sent: VecDeque::new(), bytes: 0 }
    }

    pub fn share(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn post(&mut self, from: usize) {
        for (to, datagram) in self.processes[from].peers.take_outbox() {
            assert!(datagram.len() <= 1_400, "{} bytes", datagram.len());
            self.processes[from].sends(self.now, &datagram);
            let SocketAddr::V4(v4) = to else { panic!("{to}") };
            let to = usize::from(v4.ip().octets()[2]) << 8 | usize::from(v4.ip().octets()[3]);
            if datagram[3] == DatagramKind::ScopeGossip as u8 && to % self.scopes != from % self.scopes {
                *self.spoke.entry(from).or_default() += 1;
            }
            self.said.push_back((from, datagram.clone()));
            if self.said.len() > SAID {
                self.said.pop_front();
            }
            if self.unread.is_some_and(|(kind, by)| datagram[3] == kind as u8 && by(to)) {
                continue;
            }
            if self.share() < self.loss || (self.cut)(from, to) {
                continue;
            }
            self.number += 1;
            let after = MILLI + (self.share() * 4.0 * MILLI as f64) as Micros;
            self.under_way.insert((self.now + after, self.number), (to, datagram));
        }
        let news = self.processes[from].peers.take_events();
        self.news.extend(news.into_iter().map(|news| (self.now, from, news)));
    }

    pub fn until(&mut self, end: Micros) {
        loop {
            let due = |p: &Process| if p.runs { p.peers.next_deadline().max(p.stalled) } else { Micros::MAX };
            let timer = (0..self.processes.len()).map(|n| (due(&self.processes[n]), n)).min().expect("some");
            let datagram = self.under_way.first_key_value().map_or(Micros::MAX, |((at, _), _)| *at);
            if timer.0.min(datagram) > end {
                self.now = end;
                return;
            }
            if datagram <= timer.0 {
                let Some(((at, number), (to, bytes))) = self.under_way.pop_first() else { continue };
                self.now = at;
                let process = &mut self.processes[to];
                if process.runs && process.stalled > at {
                    self.under_way.insert((process.stalled, number), (to, bytes));
                } else if process.runs {
                    process.peers.handle_datagram(at, &bytes);
                    self.post(to);
                }
            } else {
                self.now = timer.0;
                self.processes[timer.1].peers.handle_time(self.now);
                self.post(timer.1);
            }
        }
    }

    pub fn wait(&mut self, most: Micros, what: &str, holds: impl Fn(&Net) -> bool) -> Micros {
        let begin = self.now;
        while !holds(self) {
            assert!(self.now < begin + most, "{what}: not within {} s", most / SECOND);
            self.until(self.now + 50 * MILLI);
        }
        self.now - begin
    }

    pub fn running(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(|p| p.runs)
    }

    /// All that run count so many.
    pub fn count(&self, count: usize) -> bool {
        self.running().all(|p| p.peers.live_count().get() == count)
    }

    pub fn joined(seed: u64, number: usize, scopes: usize) -> Self {
        let mut net = Net::new(seed, number, scopes);
        net.wait(15 * SECOND, "joined", |net| net.count(number));
        net.until(net.now + 5 * SECOND);
        net.news.clear();
        net
    }
}
