//! A fleet of one scope in virtual time: deaths, departures, partitions, datagram losses, name conflicts and
//! foreign datagrams.

mod common;

use common::*;
use oakport_membership::{Envelope, Identity, MemberStatus, MembershipEvent, Micros, Node, NodeConfig};
use rand_pcg_next::rand_core::{Rng, SeedableRng};
use rand_pcg_next::Pcg64;
use std::collections::BTreeMap;

impl Cluster {
    fn running_indices(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|index| self.nodes[*index].running).collect()
    }

    /// Whether all running nodes have the same view, of exactly the running nodes.
    fn views_agree(&self) -> bool {
        let running = self.running_indices();
        let view = |index: usize| self.nodes[index].node.members();
        let digest = view(running[0]).digest();
        running.iter().all(|index| view(*index).digest() == digest && view(*index).size() == running.len())
    }

    fn with_equal_views(seed: u64, nodes: usize) -> Self {
        let mut cluster = Cluster::without_scopes(seed, nodes, nodes);
        cluster.wait_for(30 * SECOND, "joined", Cluster::views_agree);
        cluster
    }

    /// The time that each running node takes to record a status of a member.
    fn detection_times(&mut self, member: usize, status: MemberStatus, timeout: Micros) -> Vec<Micros> {
        let begin = self.now;
        let mut detected = BTreeMap::new();
        while detected.len() < self.running_indices().len() {
            let running = self.running_indices().len();
            assert!(self.now < begin + timeout, "{} of {running} nodes recorded {status:?}", detected.len());
            self.run_for(10 * MILLI);
            for index in self.running_indices() {
                let record = self.nodes[index].node.members().get(address(member));
                if record.is_some_and(|record| record.status == status) {
                    detected.entry(index).or_insert(self.now - begin);
                }
            }
        }
        detected.into_values().collect()
    }

    fn bytes_sent(&self) -> Vec<u64> {
        self.nodes.iter().map(|node| node.node.bytes_sent()).collect()
    }
}

/// The same datagram with a digest that never equals the digest of the receiver.
fn with_other_digest(datagram: &[u8]) -> Vec<u8> {
    // Receivers do not compare the digest of scope gossip.
    let Ok(opened) = Envelope::open(Envelope::fleet_hash("fares"), datagram) else {
        return datagram.to_vec();
    };
    Envelope { digest: !opened.envelope.digest, ..opened.envelope }.seal(opened.content)
}

fn p99(mut times: Vec<Micros>) -> Micros {
    times.sort_unstable();
    times[(times.len() * 99).div_ceil(100) - 1]
}

#[test]
fn deaths_and_departures_are_detected_by_all_members_in_time() {
    let mut deaths = Vec::new();
    let mut departures = Vec::new();
    // LONG=1 runs ten times as many seeds.
    let seeds = if std::env::var_os("LONG").is_some() { 40 } else { 4 };
    for seed in 0..seeds {
        let mut cluster = Cluster::with_equal_views(seed, 60);
        for dead in [7, 23, 41] {
            cluster.kill(dead);
            deaths.extend(cluster.detection_times(dead, MemberStatus::Dead, 10 * SECOND));
        }
        for leaving in [8, 24, 42] {
            cluster.leave(leaving);
            departures.extend(cluster.detection_times(leaving, MemberStatus::Left, 10 * SECOND));
        }
        assert_eq!(cluster.nodes[0].node.members().size(), 54);
    }
    let deaths = p99(deaths);
    let departures = p99(departures);
    println!("death detected: p99 {deaths} us, departure detected: p99 {departures} us");
    assert!(deaths <= 3 * SECOND, "p99 {deaths} us, limit 3 s");
    assert!(departures <= SECOND, "p99 {departures} us, limit 1 s");
}

#[test]
fn reachable_members_are_never_declared_dead_and_bytes_sent_do_not_grow_with_the_fleet() {
    // LONG=1 runs three seeds of 60 nodes instead of one, each run for ten minutes.
    let long = std::env::var_os("LONG").is_some();
    let mut bytes_per_second = Vec::new();
    for (nodes, seed) in [(10, 3), (60, 3), (60, 4), (60, 5)].into_iter().take(if long { 4 } else { 2 }) {
        let mut cluster = Cluster::with_equal_views(seed, nodes);
        cluster.loss_ratio = 0.05;
        // After this time, joining no longer causes traffic.
        cluster.run_for(20 * SECOND);
        cluster.events.clear();
        let before = cluster.bytes_sent();
        let begin = cluster.now;
        let seconds = if long { 600 } else { 120 };
        while cluster.now < begin + seconds * SECOND {
            // One node stalls for one second in every ten.
            cluster.nodes[5].stalled_until = cluster.now + SECOND;
            cluster.run_for(10 * SECOND);
        }
        let dead = cluster.reported_deaths();
        println!("{nodes} nodes: {dead} reports of dead members in {seconds} s");
        assert_eq!(dead, 0, "reachable members declared dead in {seconds} s");
        let sent = cluster.bytes_sent().into_iter().zip(before).map(|(after, before)| after - before);
        bytes_per_second.push(sent.max().expect("at least one node") as f64 / seconds as f64);
    }
    println!("bytes per second of the busiest node: {bytes_per_second:?}");
    assert!(bytes_per_second.iter().all(|bytes| *bytes <= 2_048.0), "{bytes_per_second:?}");
    assert!(bytes_per_second[1] <= bytes_per_second[0] * 1.3, "{bytes_per_second:?}");
}

#[test]
fn live_count_stays_during_partitions_and_views_agree_after_healing() {
    let halves: fn(usize, usize) -> bool = |from, to| (from < 30) != (to < 30);
    let thirds: fn(usize, usize) -> bool = |from, to| from / 20 != to / 20;
    let one_way: fn(usize, usize) -> bool = |from, to| from < 30 && to >= 30;
    for (name, partition, seconds) in
        [("halves", halves, 20), ("thirds", thirds, 20), ("one way", one_way, 10)]
    {
        let mut cluster = Cluster::with_equal_views(11, 60);
        cluster.partition = Box::new(partition);
        cluster.run_for(seconds * SECOND);
        for index in 0..60 {
            assert_eq!(
                cluster.nodes[index].node.live_count().get(),
                60,
                "{name}: live count of node {index}"
            );
        }
        cluster.partition = Box::new(|_, _| false);
        let elapsed = cluster.wait_for(30 * SECOND, name, Cluster::views_agree);
        println!("{name}: views agree {} ms after healing", elapsed / MILLI);
        assert!(elapsed <= 5 * SECOND, "{name}: views agreed after {elapsed} us, limit 5 s");
    }
}

#[test]
fn live_count_rises_at_once_and_falls_slowly() {
    let mut cluster = Cluster::without_scopes(5, 20, 10);
    let first_count = |cluster: &Cluster| cluster.nodes[0].node.live_count().get();
    cluster.wait_for(30 * SECOND, "joined", Cluster::views_agree);
    assert!(cluster.all_live_counts_are(20), "the live count rises at once");
    // Three of twenty leave, one after the other.
    for leaving in [3, 4, 5] {
        cluster.leave(leaving);
        cluster.run_for(2 * SECOND);
    }
    cluster.wait_for(10 * SECOND, "live count 17", |cluster| first_count(cluster) == 17);
    // Twelve of the seventeen die at once, which looks like a partition.
    (8..20).for_each(|index| cluster.kill(index));
    cluster.run_for(30 * SECOND);
    assert_eq!(cluster.nodes[0].node.members().size(), 5);
    assert_eq!(first_count(&cluster), 17);
    cluster.wait_for(60 * SECOND, "live count 5", |cluster| first_count(cluster) == 5);
    let counts: Vec<usize> = cluster
        .events
        .iter()
        .filter(|reported| reported.node == 0)
        .filter_map(|reported| match reported.event {
            MembershipEvent::LiveCountChanged { count } => Some(count),
            _ => None,
        })
        .collect();
    assert!(counts.windows(2).all(|pair| pair[1] + 2 >= pair[0] || pair[1] > pair[0]), "{counts:?}");
    // Without other members, the live count returns to the configured count.
    (1..8).for_each(|index| cluster.kill(index));
    cluster.run_for(10 * SECOND);
    assert_eq!(first_count(&cluster), 10);
}

#[test]
fn two_digest_formulas_in_one_fleet_only_delay_the_decrease_of_the_live_count() {
    let mut cluster = Cluster::without_scopes(37, 30, 40);
    // Nodes below 15 compute the digest of their view by another formula.
    cluster.transform = Some(|from, to, datagram| {
        let formulas_differ = (from < 15) != (to < 15);
        Some(if formulas_differ { with_other_digest(&datagram) } else { datagram })
    });
    let all_know =
        |cluster: &Cluster, size: usize| cluster.running().all(|node| node.node.members().size() == size);
    cluster.wait_for(30 * SECOND, "joined", |cluster| all_know(cluster, 30));
    let before = cluster.bytes_sent();
    let begin = cluster.now;
    cluster.run_for(120 * SECOND);
    // The views disagree, so the live count does not fall to the number of live members.
    assert!(cluster.all_live_counts_are(40));
    assert!(cluster.nodes.iter().all(|node| node.node.members().agreement_ratio(cluster.now) < 0.9));
    let sent = cluster.bytes_sent().into_iter().zip(before).map(|(after, before)| after - before);
    let bytes_per_second =
        sent.max().expect("at least one node") as f64 / ((cluster.now - begin) / SECOND) as f64;
    println!("two formulas: at most {bytes_per_second:.0} bytes per second");
    // Exchanges of views stay within their byte limit.
    assert!(bytes_per_second <= 8_192.0, "{bytes_per_second} bytes per second");
    assert_eq!(cluster.reported_deaths(), 0);
    // Announced and confirmed departures are detected and counted.
    cluster.leave(3);
    cluster.kill(20);
    cluster.run_for(12 * SECOND);
    assert!(all_know(&cluster, 28));
    assert!(cluster.all_live_counts_are(38));
}

#[test]
fn a_stalled_member_refutes_the_suspicion_and_a_restarted_member_has_a_new_incarnation() {
    let mut cluster = Cluster::with_equal_views(17, 12);
    cluster.nodes[4].stalled_until = cluster.now + 5 * SECOND;
    cluster.run_for(5 * SECOND);
    cluster.wait_for(5 * SECOND, "refuted suspicion", Cluster::views_agree);
    // A restart within the detection time, with a clock that is behind that of the predecessor.
    cluster.nodes[6] = cluster.new_incarnation(6, 1);
    cluster.wait_for(30 * SECOND, "new incarnation", |cluster| {
        let record = cluster.nodes[0].node.members().get(address(6));
        cluster.views_agree() && record.is_some_and(|record| record.status.is_live())
    });
    let now = cluster.now;
    cluster.nodes[6] = cluster.new_incarnation(6, now);
    cluster.wait_for(5 * SECOND, "newer incarnation", Cluster::views_agree);
    let record = cluster.nodes[0].node.members().get(address(6));
    assert_eq!(record.map(|record| record.identity.incarnation), Some(now));
}

#[test]
fn a_name_conflict_is_reported_once_and_both_members_stay() {
    let mut cluster = Cluster::with_equal_views(23, 6);
    let same_name = Identity::new("n3", address(6), 9 * SECOND, "1", "derby");
    let config = NodeConfig { fleet_name: "fares".to_owned(), seeds: vec![address(0)], configured_count: 6 };
    cluster.nodes.push(TestNode::new(Node::new(cluster.now, 99, same_name, config)));
    cluster.wait_for(10 * SECOND, "seven members", Cluster::views_agree);
    cluster.run_for(20 * SECOND);
    assert!(cluster.views_agree());
    let conflicts: Vec<&MembershipEvent> = cluster
        .events
        .iter()
        .filter(|reported| reported.node == 0)
        .map(|reported| &reported.event)
        .filter(|event| matches!(event, MembershipEvent::NameConflict { .. }))
        .collect();
    assert_eq!(conflicts.len(), 1, "{conflicts:?}");
    assert!(matches!(
        conflicts[0],
        MembershipEvent::NameConflict { name, known, joined } if name == "n3" && known != joined
    ));
}

#[test]
fn foreign_and_random_datagrams_do_not_change_the_view() {
    let mut cluster = Cluster::with_equal_views(29, 4);
    let foreign = Identity::new("x", address(9), 5, "1", "derby");
    let config = NodeConfig { fleet_name: "others".to_owned(), seeds: vec![address(1)], configured_count: 4 };
    let mut foreign = Node::new(cluster.now, 1, foreign, config);
    foreign.handle_time(cluster.now);
    let (_, datagram) = foreign.take_outbox().pop().expect("a poll of the seed");
    let digest = cluster.nodes[1].node.members().digest();
    let now = cluster.now;
    let receiver = &mut cluster.nodes[1].node;
    receiver.handle_datagram(now, &datagram);
    assert_eq!(receiver.discarded_datagrams().get("fleet"), Some(&1));
    let mut random = Pcg64::seed_from_u64(31);
    let mut valid = valid_datagram(&mut cluster);
    let receiver = &mut cluster.nodes[1].node;
    for round in 0..20_000u64 {
        let mut bytes: Vec<u8> = (0..random.next_u64() % 200).map(|_| random.next_u64() as u8).collect();
        if round % 2 == 0 {
            // A valid datagram with one bit flipped, and truncated by up to two bytes.
            bytes = valid.clone();
            let index = random.next_u64() as usize % bytes.len();
            bytes[index] ^= 1 << (round % 8);
            bytes.truncate(bytes.len() - (round as usize / 2) % 3);
        }
        receiver.handle_datagram(now, &bytes);
    }
    valid[3] = 2;
    receiver.handle_datagram(now, &valid);
    let discarded = receiver.discarded_datagrams();
    assert!(
        discarded.get("version").is_some_and(|count| *count >= 1),
        "unknown versions are counted separately"
    );
    assert!(discarded.get("damaged").is_some_and(|count| *count > 5_000), "{discarded:?}");
    assert_eq!(receiver.members().digest(), digest);
}

/// A datagram of a member of the cluster.
fn valid_datagram(cluster: &mut Cluster) -> Vec<u8> {
    let now = cluster.now + SECOND;
    cluster.nodes[0].node.handle_time(now);
    cluster.nodes[0].node.take_outbox().pop().expect("a ping").1
}
