//! Many processes in virtual time: deaths, leaves, cuts, losses, wrong names, foreign datagrams.

use oakport_membership::{
    Envelope, Identity, LiveCount, MemberStatus, MembershipEvent, Micros, Node, NodeConfig,
};
use rand_pcg_next::rand_core::{Rng, SeedableRng};
use rand_pcg_next::Pcg64;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const SECOND: Micros = 1_000_000;
const MILLI: Micros = 1_000;

/// A process, and whether it runs.
struct Process {
    peers: Node,
    runs: bool,
    /// It stands still until then; what comes meanwhile waits.
    stalled: Micros,
}

/// A fleet on a network.
struct Net {
    now: Micros,
    random: Pcg64,
    processes: Vec<Process>,
    /// Datagrams under way, by when they come and their order.
    under_way: BTreeMap<(Micros, u64), (usize, Vec<u8>)>,
    number: u64,
    /// Share of the datagrams that are lost.
    loss: f64,
    /// Nothing passes from the one to the other.
    cut: fn(usize, usize) -> bool,
    /// Processes below this number make the digest of their view by another formula.
    other_formula: usize,
    news: Vec<(Micros, usize, MembershipEvent)>,
    balancers: usize,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_000))
}

impl Net {
    /// So many, of which all know the first as their seed.
    fn new(seed: u64, number: usize, balancers: usize) -> Self {
        let mut net = Net {
            now: SECOND,
            random: Pcg64::seed_from_u64(seed),
            processes: Vec::new(),
            under_way: BTreeMap::new(),
            number: 0,
            loss: 0.0,
            cut: |_, _| false,
            other_formula: 0,
            news: Vec::new(),
            balancers,
        };
        (0..number).for_each(|n| {
            let process = net.process(n, net.now);
            net.processes.push(process);
        });
        net
    }

    fn process(&mut self, number: usize, life: Micros) -> Process {
        let own = Identity::new(&format!("n{number}"), address(number), life, "1", "derby");
        let config = NodeConfig {
            fleet_name: "fares".to_owned(),
            seeds: vec![address(0)],
            configured_count: self.balancers,
        };
        Process { peers: Node::new(self.now, self.random.next_u64(), own, config), runs: true, stalled: 0 }
    }

    fn share(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Sends what a process has to send.
    fn post(&mut self, from: usize) {
        for (to, datagram) in self.processes[from].peers.take_outbox() {
            assert!(datagram.len() <= 1_400, "{} bytes", datagram.len());
            let Some(to) = (0..self.processes.len()).find(|n| address(*n) == to) else { continue };
            if self.share() < self.loss || (self.cut)(from, to) {
                continue;
            }
            let mixed = (from < self.other_formula) != (to < self.other_formula);
            let datagram = if mixed { of_another_formula(&datagram) } else { datagram };
            self.number += 1;
            let after = MILLI + (self.share() * 4.0 * MILLI as f64) as Micros;
            self.under_way.insert((self.now + after, self.number), (to, datagram));
        }
        let news = self.processes[from].peers.take_events();
        self.news.extend(news.into_iter().map(|news| (self.now, from, news)));
    }

    /// Goes on until this moment.
    fn until(&mut self, end: Micros) {
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

    fn running(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|n| self.processes[*n].runs).collect()
    }

    /// Goes on until something holds, and tells how long that took.
    fn wait(&mut self, most: Micros, what: &str, holds: impl Fn(&Net) -> bool) -> Micros {
        let begin = self.now;
        while !holds(self) {
            assert!(self.now < begin + most, "{what}: not within {} s", most / SECOND);
            self.until(self.now + 20 * MILLI);
        }
        self.now - begin
    }

    /// All that run hold the same.
    fn agree(&self) -> bool {
        let running = self.running();
        let view = |n: usize| self.processes[n].peers.members();
        running
            .iter()
            .all(|n| view(*n).digest() == view(running[0]).digest() && view(*n).size() == running.len())
    }

    fn joined(seed: u64, number: usize) -> Self {
        let mut net = Net::new(seed, number, number);
        net.wait(30 * SECOND, "joined", Net::agree);
        net
    }

    /// How long each that runs takes to hold another so.
    fn learnt(&mut self, who: usize, standing: MemberStatus, most: Micros) -> Vec<Micros> {
        let begin = self.now;
        let mut found = BTreeMap::new();
        while found.len() < self.running().len() {
            assert!(self.now < begin + most, "{} of {} know", found.len(), self.running().len());
            self.until(self.now + 10 * MILLI);
            for n in self.running() {
                let seen = self.processes[n].peers.members().get(address(who)).map(|seen| seen.status);
                if seen == Some(standing) {
                    found.entry(n).or_insert(self.now - begin);
                }
            }
        }
        found.into_values().collect()
    }
}

/// The same datagram with a digest that never is the receiver's.
fn of_another_formula(datagram: &[u8]) -> Vec<u8> {
    // The digest of scope gossip is not compared.
    let Ok(opened) = Envelope::open(Envelope::fleet_hash("fares"), datagram) else {
        return datagram.to_vec();
    };
    Envelope { digest: !opened.envelope.digest, ..opened.envelope }.seal(opened.content)
}

/// The 99th percentile.
fn p99(mut all: Vec<Micros>) -> Micros {
    all.sort_unstable();
    all[(all.len() * 99).div_ceil(100) - 1]
}

#[test]
fn deaths_and_leaves_become_known_to_all_in_their_time() {
    let (mut deaths, mut leaves) = (Vec::new(), Vec::new());
    // LONG=1 plays ten times as many.
    let seeds = if std::env::var_os("LONG").is_some() { 40 } else { 4 };
    for seed in 0..seeds {
        let mut net = Net::joined(seed, 60);
        for dead in [7, 23, 41] {
            net.processes[dead].runs = false;
            deaths.extend(net.learnt(dead, MemberStatus::Dead, 10 * SECOND));
        }
        for leaves_now in [8, 24, 42] {
            let now = net.now;
            net.processes[leaves_now].peers.leave(now);
            net.post(leaves_now);
            net.processes[leaves_now].runs = false;
            leaves.extend(net.learnt(leaves_now, MemberStatus::Left, 10 * SECOND));
        }
        assert_eq!(net.processes[0].peers.members().size(), 54);
    }
    let (deaths, leaves) = (p99(deaths), p99(leaves));
    println!("death p99 {deaths} us, leave p99 {leaves} us");
    assert!(deaths <= 3 * SECOND, "{deaths}");
    assert!(leaves <= SECOND, "{leaves}");
}

#[test]
fn no_one_who_can_be_reached_is_held_dead_and_what_it_costs_is_flat() {
    // LONG=1 plays ten minutes of three seeds.
    let long = std::env::var_os("LONG").is_some();
    let mut costs = Vec::new();
    for (number, seed) in [(10, 3), (60, 3), (60, 4), (60, 5)].into_iter().take(if long { 4 } else { 2 }) {
        let mut net = Net::joined(seed, number);
        net.loss = 0.05;
        // What joining costs is over.
        net.until(net.now + 20 * SECOND);
        net.news.clear();
        let sent = |net: &Net| net.processes.iter().map(|p| p.peers.bytes_sent()).collect::<Vec<_>>();
        let (before, begin) = (sent(&net), net.now);
        let length = if long { 600 } else { 120 };
        while net.now < begin + length * SECOND {
            // One stands still for a second every ten.
            net.processes[5].stalled = net.now + SECOND;
            net.until(net.now + 10 * SECOND);
        }
        let dead = net
            .news
            .iter()
            .filter(|(_, _, n)| {
                matches!(n, MembershipEvent::MemberChanged { status: MemberStatus::Dead, .. })
            })
            .count();
        println!("{number} processes: held dead {dead} times in {length} s");
        assert_eq!(dead, 0, "held dead in {length} s");
        let most = sent(&net).iter().zip(before).map(|(after, before)| after - before).max().expect("some");
        costs.push(most as f64 / length as f64);
    }
    println!("bytes a second, at most: {costs:?}");
    assert!(costs.iter().all(|cost| *cost <= 2_048.0), "{costs:?}");
    assert!(costs[1] <= costs[0] * 1.3, "{costs:?}");
}

#[test]
fn cuts_heal_and_the_count_stays_meanwhile() {
    let halves: fn(usize, usize) -> bool = |a, b| (a < 30) != (b < 30);
    let thirds: fn(usize, usize) -> bool = |a, b| a / 20 != b / 20;
    for (name, cut, lasts) in [
        ("halves", halves, 20),
        ("thirds", thirds, 20),
        ("one way", (|a, b| a < 30 && b >= 30) as fn(usize, usize) -> bool, 10),
    ] {
        let mut net = Net::joined(11, 60);
        net.cut = cut;
        net.until(net.now + lasts * SECOND);
        for n in 0..60 {
            assert_eq!(net.processes[n].peers.live_count().get(), 60, "{name}: {n} counts on");
        }
        net.cut = |_, _| false;
        let took = net.wait(30 * SECOND, name, Net::agree);
        println!("{name}: agreed {} ms after it healed", took / MILLI);
        assert!(took <= 5 * SECOND, "{name}: {took}");
    }
}

#[test]
fn the_count_rises_at_once_and_falls_slowly() {
    let mut net = Net::new(5, 20, 10);
    net.wait(30 * SECOND, "joined", Net::agree);
    assert!(
        net.running().iter().all(|n| net.processes[*n].peers.live_count().get() == 20),
        "it rises at once"
    );
    // Three of twenty leave, one after the other.
    for n in [3, 4, 5] {
        let now = net.now;
        net.processes[n].peers.leave(now);
        net.post(n);
        net.processes[n].runs = false;
        net.until(net.now + 2 * SECOND);
    }
    net.wait(10 * SECOND, "it follows", |net| net.processes[0].peers.live_count().get() == 17);
    // Twelve of the seventeen die at once: for all that can be known, a cut.
    (8..20).for_each(|n| net.processes[n].runs = false);
    net.until(net.now + 30 * SECOND);
    assert_eq!(net.processes[0].peers.members().size(), 5);
    assert_eq!(net.processes[0].peers.live_count().get(), 17);
    net.wait(60 * SECOND, "in the end it falls", |net| net.processes[0].peers.live_count().get() == 5);
    let falls: Vec<(Micros, usize)> = net
        .news
        .iter()
        .filter(|(_, n, _)| *n == 0)
        .filter_map(|(at, _, news)| match news {
            MembershipEvent::LiveCountChanged { count } => Some((*at, *count)),
            _ => None,
        })
        .collect();
    assert!(falls.windows(2).all(|w| w[1].1 + 2 >= w[0].1 || w[1].1 > w[0].1), "{falls:?}");
    // Alone, it counts as many as it was told of.
    (1..8).for_each(|n| net.processes[n].runs = false);
    net.until(net.now + 10 * SECOND);
    assert_eq!(net.processes[0].peers.live_count().get(), 10);
}

#[test]
fn two_formulas_of_the_digest_in_one_fleet_only_make_the_count_slower_to_fall() {
    let mut net = Net::new(37, 30, 40);
    net.other_formula = 15;
    let size = |net: &Net, size: usize| {
        net.running().iter().all(|n| net.processes[*n].peers.members().size() == size)
    };
    net.wait(30 * SECOND, "joined", |net| size(net, 30));
    let before: Vec<u64> = net.processes.iter().map(|p| p.peers.bytes_sent()).collect();
    let begin = net.now;
    net.until(net.now + 120 * SECOND);
    // They disagree, so the count does not come down to those that are there, ...
    assert!(net
        .processes
        .iter()
        .all(|p| p.peers.live_count().get() == 40 && p.peers.members().agreement_ratio(net.now) < 0.9));
    let sent = net.processes.iter().zip(before).map(|(p, before)| p.peers.bytes_sent() - before);
    let most = sent.max().expect("some") as f64 / ((net.now - begin) / SECOND) as f64;
    println!("two formulas: {most:.0} bytes a second at most");
    // ... asking each other for their views costs what it may, ...
    assert!(most <= 8_192.0, "{most}");
    assert!(!net.news.iter().any(|(_, _, news)| matches!(
        news,
        MembershipEvent::MemberChanged { status: MemberStatus::Dead, .. }
    )));
    // ... and what is said or confirmed is known and counted as ever.
    let now = net.now;
    net.processes[3].peers.leave(now);
    net.post(3);
    net.processes[3].runs = false;
    net.processes[20].runs = false;
    net.until(net.now + 12 * SECOND);
    assert!(size(&net, 28));
    assert!(net.running().iter().all(|n| net.processes[*n].peers.live_count().get() == 38));
}

#[test]
fn a_stopped_process_refutes_and_a_restart_is_a_new_life() {
    let mut net = Net::joined(17, 12);
    net.processes[4].stalled = net.now + 5 * SECOND;
    net.until(net.now + 5 * SECOND);
    net.wait(5 * SECOND, "it is back", Net::agree);
    // A restart within the detection time, with a clock that went back by an hour.
    let life = 1;
    net.processes[6] = net.process(6, life);
    net.wait(30 * SECOND, "the new life", |net| {
        net.agree() && net.processes[0].peers.members().get(address(6)).is_some_and(|s| s.status.is_live())
    });
    let now = net.now;
    net.processes[6] = net.process(6, now);
    net.wait(5 * SECOND, "a newer life", Net::agree);
    assert_eq!(net.processes[0].peers.members().get(address(6)).map(|s| s.identity.incarnation), Some(now));
}

#[test]
fn one_name_for_two_is_told_once_and_both_stay() {
    let mut net = Net::joined(23, 6);
    let twin = Identity::new("n3", address(6), 9 * SECOND, "1", "derby");
    let config = NodeConfig { fleet_name: "fares".to_owned(), seeds: vec![address(0)], configured_count: 6 };
    net.processes.push(Process { peers: Node::new(net.now, 99, twin, config), runs: true, stalled: 0 });
    net.wait(10 * SECOND, "seven", Net::agree);
    net.until(net.now + 20 * SECOND);
    assert!(net.agree());
    let told = net
        .news
        .iter()
        .filter(|(_, n, news)| *n == 0 && matches!(news, MembershipEvent::NameConflict { .. }));
    let told: Vec<_> = told.collect();
    assert_eq!(told.len(), 1, "{told:?}");
    assert!(
        matches!(&told[0].2, MembershipEvent::NameConflict { name, known, joined } if name == "n3" && known != joined)
    );
}

#[test]
fn what_is_foreign_or_random_changes_nothing() {
    let mut net = Net::joined(29, 4);
    let own = Identity::new("x", address(9), 5, "1", "derby");
    let config = NodeConfig { fleet_name: "others".to_owned(), seeds: vec![address(1)], configured_count: 4 };
    let mut foreign = Node::new(net.now, 1, own, config);
    foreign.handle_time(net.now);
    let (_, datagram) = foreign.take_outbox().pop().expect("it asks its seed");
    let digest = net.processes[1].peers.members().digest();
    let now = net.now;
    let target = &mut net.processes[1].peers;
    target.handle_datagram(now, &datagram);
    assert_eq!(target.discarded_datagrams().get("fleet"), Some(&1));
    let mut random = Pcg64::seed_from_u64(31);
    let mut sound = net_datagram(&mut net);
    for round in 0..20_000u64 {
        let mut bytes: Vec<u8> = (0..random.next_u64() % 200).map(|_| random.next_u64() as u8).collect();
        if round % 2 == 0 {
            // One of our own with a byte changed, or its end cut off.
            bytes = sound.clone();
            let place = random.next_u64() as usize % bytes.len();
            bytes[place] ^= 1 << (round % 8);
            bytes.truncate(bytes.len() - (round as usize / 2) % 3);
        }
        net.processes[1].peers.handle_datagram(now, &bytes);
    }
    sound[3] = 2;
    net.processes[1].peers.handle_datagram(now, &sound);
    let target = &net.processes[1].peers;
    assert!(
        target.discarded_datagrams().get("version").is_some_and(|n| *n >= 1),
        "another version is told from noise"
    );
    assert!(
        target.discarded_datagrams().get("damaged").is_some_and(|n| *n > 5_000),
        "{:?}",
        target.discarded_datagrams()
    );
    assert_eq!(target.members().digest(), digest);
}

/// A datagram of the fleet's own.
fn net_datagram(net: &mut Net) -> Vec<u8> {
    let now = net.now + SECOND;
    net.processes[0].peers.handle_time(now);
    net.processes[0].peers.take_outbox().pop().expect("it pings").1
}

/// Looks each second for so long, with all that are there in agreement.
fn looks(count: &mut LiveCount, from: u64, to: u64, there: usize) -> usize {
    (from..to).for_each(|second| count.update(second * SECOND, there, there, true));
    count.get()
}

#[test]
fn the_count_falls_by_what_was_said_or_confirmed_and_by_no_more() {
    // Fewer are there than were told of: a leave is one departure and no word on the others.
    let mut count = LiveCount::new(0, 60);
    count.member_left();
    assert_eq!(looks(&mut count, 2, 50, 11), 59);
    assert_eq!(looks(&mut count, 50, 60, 11), 59, "until the view has agreed for a minute");
    assert_eq!(looks(&mut count, 60, 120, 11), 11);
    // A death, a leave, and then the rest of a third within the same three seconds: a cut.
    let mut count = LiveCount::new(0, 30);
    looks(&mut count, 0, 100, 30);
    for (silent, at) in (0..10).zip(101..) {
        count.member_suspected(101 * SECOND + silent * 200 * MILLI);
        if silent < 2 {
            count.member_died(at * SECOND + MILLI);
        }
    }
    count.member_left();
    assert!(count.suspects_partition());
    assert_eq!(looks(&mut count, 103, 150, 19), 29, "the one that said so");
    assert_eq!(looks(&mut count, 200, 240, 19), 19);
    // Alone it goes back to what it was told of, no lower, and not at once.
    assert_eq!(looks(&mut count, 240, 260, 1), 30);
    let mut count = LiveCount::new(0, 4);
    looks(&mut count, 0, 100, 20);
    count.member_died(100 * SECOND);
    assert_eq!(looks(&mut count, 100, 103, 1), 20);
    assert_eq!(looks(&mut count, 103, 150, 1), 19);
    assert_eq!(looks(&mut count, 160, 260, 1), 4);
}
