//! What a member costs among many hollow ones in virtual time: `cost MEMBERS [SECONDS [MOMENT [SCOPES]]]`.
//! MOMENT is `started` (all at once, the default), `zone` (the last eleventh is lost), `rack` (forty are) or
//! `parted` (a third does not reach the others for three minutes); without SCOPES the fleet is one scope.

use oakport_membership::{Identity, MemberStatus, Micros, Node, NodeConfig, ScopeStatus};
use rand_pcg_next::rand_core::{Rng, SeedableRng};
use rand_pcg_next::Pcg64;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SECOND: Micros = 1_000_000;
/// Bytes are counted in spans of this length; ten of them are a second.
const SPAN: Micros = 100_000;
/// What IP and UDP add to a datagram.
const HEADERS: u64 = 28;
/// Zones of a fleet.
const ZONES: usize = 11;

struct Process {
    peers: Node,
    runs: bool,
    /// When its time is to be told next, as far as that is in the heap.
    due: Micros,
    /// Bytes sent in each of the last ten spans, and the number of the last.
    spans: [u64; 10],
    span: u64,
    worst: u64,
    bytes: u64,
}

impl Process {
    fn sent(&mut self, now: Micros, bytes: u64) {
        let span = now / SPAN;
        if span >= self.span + 10 {
            self.spans = [0; 10];
        } else {
            (self.span + 1..=span).for_each(|s| self.spans[(s % 10) as usize] = 0);
        }
        self.span = span;
        self.spans[(span % 10) as usize] += bytes;
        self.worst = self.worst.max(self.spans.iter().sum());
        self.bytes += bytes;
    }
}

enum Event {
    Time(usize),
    Datagram(usize, Vec<u8>),
}

struct Net {
    now: Micros,
    random: Pcg64,
    processes: Vec<Process>,
    heap: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    number: u64,
    own: Duration,
    /// Nothing passes between those below this number and the others.
    parted: usize,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_000))
}

fn number(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[2]) << 8 | usize::from(v4.ip().octets()[3]),
        SocketAddr::V6(_) => usize::MAX,
    }
}

impl Net {
    fn push(&mut self, at: Micros, event: Event) {
        let place = self.free.pop().unwrap_or(self.events.len());
        if place == self.events.len() {
            self.events.push(None);
        }
        self.events[place] = Some(event);
        self.number += 1;
        self.heap.push(Reverse((at, self.number, place)));
    }

    fn act(&mut self, n: usize, act: impl FnOnce(&mut Node)) {
        let begin = Instant::now();
        let process = &mut self.processes[n];
        act(&mut process.peers);
        let (outbox, due) = (process.peers.take_outbox(), process.peers.next_deadline());
        process.peers.take_events();
        self.own += begin.elapsed();
        for (to, datagram) in outbox {
            self.processes[n].sent(self.now, datagram.len() as u64 + HEADERS);
            let after = 1_000 + self.random.next_u64() % 4_000;
            let passes = (n < self.parted) == (number(to) < self.parted);
            if passes && number(to) < self.processes.len() {
                self.push(self.now + after, Event::Datagram(number(to), datagram));
            }
        }
        if due < self.processes[n].due || self.processes[n].due <= self.now {
            self.processes[n].due = due;
            self.push(due, Event::Time(n));
        }
    }

    fn until(&mut self, end: Micros) {
        while let Some(Reverse((at, _, place))) = self.heap.peek().copied().filter(|next| next.0 .0 <= end) {
            self.heap.pop();
            self.now = at;
            self.free.push(place);
            match self.events[place].take() {
                Some(Event::Time(n)) if self.processes[n].runs && self.processes[n].due == at => {
                    self.act(n, |peers| peers.handle_time(at));
                }
                Some(Event::Datagram(n, bytes)) if self.processes[n].runs => {
                    self.act(n, |peers| peers.handle_datagram(at, &bytes));
                }
                _ => {}
            }
        }
        self.now = end;
    }

    /// Tells of what has passed since the last time.
    fn tell(&mut self, what: &str, since: Micros) {
        let span = (self.now - since) as f64 / SECOND as f64;
        let running = self.processes.iter().filter(|p| p.runs).count();
        let (worst, bytes) = self
            .processes
            .iter()
            .filter(|p| p.runs)
            .fold((0, 0), |(worst, bytes), p| (p.worst.max(worst), bytes + p.bytes));
        let share = self.own.as_secs_f64() / span / running as f64 * 100.0;
        let mean = bytes as f64 / span / running as f64;
        println!("{what:>12}: {share:.4} % of a core, {mean:.0} B/s mean, {worst} B in the worst second");
        self.own = Duration::ZERO;
        self.processes.iter_mut().for_each(|p| (p.worst, p.bytes) = (0, 0));
    }
}

fn main() {
    let mut given = std::env::args().skip(1);
    let members: usize = given.next().and_then(|n| n.parse().ok()).unwrap_or(60);
    let seconds: u64 = given.next().and_then(|n| n.parse().ok()).unwrap_or(20);
    let moment = given.next().unwrap_or_else(|| "started".to_owned());
    let scopes: usize = given.next().and_then(|n| n.parse().ok()).unwrap_or(1);
    let mut random = Pcg64::seed_from_u64(7);
    let zone = members.div_ceil(ZONES);
    let processes = (0..members).map(|n| {
        let own = Identity::new(&format!("n{n}"), address(n), SECOND, "1", &format!("zone-{}", n / zone));
        let seeds = (0..3).map(|_| address(random.next_u64() as usize % members)).collect();
        let config = NodeConfig { fleet_name: "fares".to_owned(), seeds, configured_count: 1 };
        let scope = if scopes > 1 { format!("zone-{}", n * scopes / members) } else { String::new() };
        let peers = Node::with_scope(SECOND, random.next_u64(), own, config, &scope);
        Process { peers, runs: true, due: 0, spans: [0; 10], span: 0, worst: 0, bytes: 0 }
    });
    let mut net = Net {
        now: SECOND,
        processes: processes.collect(),
        random: Pcg64::seed_from_u64(8),
        heap: BinaryHeap::new(),
        events: Vec::new(),
        free: Vec::new(),
        number: 0,
        own: Duration::ZERO,
        parted: 0,
    };
    (0..members).for_each(|n| net.act(n, |peers| peers.handle_time(SECOND)));
    let right = |net: &Net, count: usize| {
        let near = |p: &&Process| p.runs && p.peers.live_count().get().abs_diff(count) * 20 <= count;
        net.processes.iter().filter(near).count()
    };
    let begin = net.now;
    let mut took = None;
    for half in 1..=120 {
        net.until(net.now + SECOND / 2);
        if half % 4 == 0 {
            println!("{} s: {} of {members} count right", half / 2, right(&net, members));
        }
        if right(&net, members) == members {
            took = Some(net.now - begin);
            break;
        }
    }
    let took = took.map_or("not in 60 s".to_owned(), |took| format!("{:.1} s", took as f64 / SECOND as f64));
    println!("{members} members started at once: all count right within 5% after {took}");
    net.tell("started", begin);
    net.until(net.now + 20 * SECOND);
    net.tell("settling", net.now - 20 * SECOND);
    net.until(net.now + seconds * SECOND);
    net.tell("quiet", net.now - seconds * SECOND);
    if moment == "parted" {
        let begin = net.now;
        net.parted = members * (scopes / 3).max(1) / scopes.max(3);
        for second in [50, 180] {
            net.until(begin + second * SECOND);
            let least = net.processes.iter().map(|p| p.peers.live_count().get()).min();
            println!("parted for {second} s: least count {least:?}");
        }
        net.tell("parted", begin);
        let begin = net.now;
        net.parted = 0;
        while right(&net, members) < members && net.now < begin + 60 * SECOND {
            net.until(net.now + SECOND / 2);
        }
        println!("healed: all count right within 5% after {:.1} s", (net.now - begin) as f64 / SECOND as f64);
        net.until(begin + 15 * SECOND);
        let exact = net.processes.iter().filter(|p| p.peers.live_count().get() == members).count();
        println!("15 s after it healed {exact} of {members} count {members}");
        return net.tell("healed, 15 s", begin);
    }
    let lost = match moment.as_str() {
        "zone" => zone,
        "rack" => 40,
        _ => return,
    };
    let alive = members - lost;
    net.processes[alive..].iter_mut().for_each(|p| p.runs = false);
    let begin = net.now;
    for second in 1..=10 {
        net.until(begin + second * SECOND);
        let silent = |p: &&Process| p.peers.scopes().iter().any(|(_, s)| s.status() == ScopeStatus::Silent);
        let all = |p: &&Process| {
            p.peers.members().members().filter(|s| s.status == MemberStatus::Dead).count() >= lost
        };
        let alive = &net.processes[..alive];
        let (silent, all) = (alive.iter().filter(silent).count(), alive.iter().filter(all).count());
        println!("{second} s: {silent} hold a scope silent, {all} hold {lost} dead");
    }
    net.tell("lost, 10 s", begin);
    let least = net.processes[..alive].iter().map(|p| p.peers.live_count().get()).min();
    println!("least count {least:?} of {alive}");
}
