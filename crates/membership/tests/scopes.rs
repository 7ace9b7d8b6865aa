//! A fleet of several scopes in virtual time: the status and counts of other scopes, and the live count.

mod common;

use common::*;
use oakport_membership::{DatagramKind, Envelope, MembershipEvent, ScopeStatus};
use rand_pcg_next::rand_core::{Rng, SeedableRng};
use rand_pcg_next::Pcg64;
use std::collections::BTreeMap;

impl Cluster {
    fn scope_status(&self, index: usize, name: &str) -> Option<ScopeStatus> {
        let mut scopes = self.nodes[index].node.scopes().iter();
        scopes.find(|(scope, _)| *scope == name).map(|(_, scope)| scope.status())
    }

    fn reported_silent_scopes(&self) -> usize {
        let is_silence = |event: &MembershipEvent| {
            matches!(event, MembershipEvent::ScopeChanged { status: ScopeStatus::Silent, .. })
        };
        self.events.iter().filter(|reported| is_silence(&reported.event)).count()
    }

    fn all_know_members(&self, members: usize) -> bool {
        self.running().all(|node| node.node.members().size() == members)
    }
}

#[test]
fn each_member_knows_its_own_scope_and_the_counts_of_the_others() {
    let mut cluster = Cluster::joined(1, 66, 6);
    for index in 0..66 {
        let node = &cluster.nodes[index].node;
        assert_eq!(node.members().size(), 11, "node {index}");
        assert_eq!(node.scopes().len(), 5, "node {index}");
        let zone = format!("z{}", index % 6);
        assert!(node.members().members().all(|record| record.identity.zone == zone));
    }
    cluster.run_for(60 * SECOND);
    assert!(cluster.all_live_counts_are(66));
    assert_eq!(cluster.reported_deaths(), 0);
    assert_eq!(cluster.reported_silent_scopes(), 0);
    // All scopes count a departure and a death.
    cluster.leave(8);
    cluster.kill(15);
    let elapsed = cluster.wait_for(20 * SECOND, "live count 64", |cluster| cluster.all_live_counts_are(64));
    println!("a leave and a death are counted by all scopes after {} ms", elapsed / MILLI);
    assert_eq!(cluster.reported_silent_scopes(), 0);
}

#[test]
fn no_scope_turns_silent_with_losses_and_stalls() {
    let mut cluster = Cluster::joined(2, 66, 6);
    cluster.loss_ratio = 0.05;
    for round in 0..6 {
        cluster.nodes[round * 7].stalled_until = cluster.now + 5 * SECOND;
        cluster.run_for(15 * SECOND);
    }
    assert_eq!(cluster.reported_silent_scopes(), 0);
    cluster.loss_ratio = 0.0;
    cluster.wait_for(20 * SECOND, "all members live again", |cluster| cluster.all_know_members(11));
    assert!(cluster.all_live_counts_are(66));
}

#[test]
fn a_lost_scope_turns_silent_and_its_count_stays_then_falls_step_by_step() {
    let mut cluster = Cluster::joined(3, 66, 6);
    let lost = || (0..66).filter(|index| index % 6 == 5);
    lost().for_each(|index| cluster.kill(index));
    let all_report = |cluster: &Cluster, status| {
        (0..66).filter(|index| index % 6 != 5).all(|index| cluster.scope_status(index, "z5") == Some(status))
    };
    let elapsed = cluster
        .wait_for(8 * SECOND, "scope reported silent", |cluster| all_report(cluster, ScopeStatus::Silent));
    println!("all report a lost scope silent after {} ms", elapsed / MILLI);
    cluster.run_for(50 * SECOND);
    assert!(cluster.all_live_counts_are(66), "the live count stays at first");
    cluster.run_for(12 * SECOND);
    cluster.wait_for(20 * SECOND, "live count 55", |cluster| cluster.all_live_counts_are(55));
    let mut last_changes = BTreeMap::new();
    for reported in &cluster.events {
        let MembershipEvent::LiveCountChanged { count } = reported.event else { continue };
        let previous = last_changes.insert(reported.node, (count, reported.at));
        let (previous_count, previous_at) = previous.unwrap_or((66, 0));
        assert!(
            previous_count.saturating_sub(count) <= 6 && reported.at >= previous_at + SECOND,
            "node {}: live count from {previous_count} to {count}",
            reported.node
        );
    }
    assert_eq!(cluster.reported_deaths(), 0, "members of a lost scope are not declared dead individually");
    // The lost scope restarts, in new incarnations.
    for index in lost() {
        cluster.nodes[index] = cluster.new_node(index, "z5");
    }
    let elapsed = cluster.wait_for(15 * SECOND, "scope fresh and counted", |cluster| {
        cluster.all_live_counts_are(66) && all_report(cluster, ScopeStatus::Fresh)
    });
    println!("a restarted scope is counted again after {} ms", elapsed / MILLI);
}

#[test]
fn partitioned_regions_keep_the_live_count_and_agree_soon_after_healing() {
    let mut cluster = Cluster::joined(4, 66, 6);
    cluster.partition = Box::new(|from, to| (from % 6 < 2) != (to % 6 < 2));
    cluster.run_for(55 * SECOND);
    assert!(cluster.all_live_counts_are(66), "the live count stays at first");
    cluster.run_for(125 * SECOND);
    for index in 0..66 {
        let region_count = if index % 6 < 2 { 22 } else { 44 };
        assert_eq!(cluster.nodes[index].node.live_count().get(), region_count, "node {index}");
    }
    cluster.partition = Box::new(|_, _| false);
    let all_fresh =
        |node: &TestNode| node.node.scopes().iter().all(|(_, scope)| scope.status() == ScopeStatus::Fresh);
    let elapsed = cluster.wait_for(15 * SECOND, "healed", |cluster| {
        cluster.all_live_counts_are(66) && cluster.running().all(all_fresh)
    });
    println!("regions agree {} ms after healing", elapsed / MILLI);
    assert_eq!(cluster.reported_deaths(), 0);
}

#[test]
fn a_scope_in_a_one_way_partition_stays_fresh() {
    let mut cluster = Cluster::joined(5, 40, 4);
    // z1 receives nothing from z0, and z0 receives from z1; the others reach both.
    cluster.partition = Box::new(|from, to| from % 4 == 0 && to % 4 == 1);
    cluster.run_for(60 * SECOND);
    assert_eq!(cluster.reported_silent_scopes(), 0);
    assert!(cluster.all_live_counts_are(40));
    // All datagrams from z0 to other scopes are lost: these report z0 silent and keep its count for a minute.
    cluster.partition = Box::new(|from, to| from % 4 == 0 && to % 4 != 0);
    cluster.run_for(30 * SECOND);
    let others = (0..40).filter(|index| index % 4 != 0);
    for index in others {
        assert_eq!(cluster.scope_status(index, "z0"), Some(ScopeStatus::Silent), "node {index}");
    }
    assert!(cluster.all_live_counts_are(40));
}

#[test]
fn when_the_busiest_senders_of_a_scope_die_others_replace_them() {
    let mut cluster = Cluster::joined(6, 60, 3);
    for _ in 0..4 {
        cluster.cross_scope_datagrams.clear();
        cluster.run_for(2 * SECOND);
        // The two running members of z2 that recently sent the most scope gossip to other scopes.
        let mut senders: Vec<(u64, usize)> =
            cluster.cross_scope_datagrams.iter().map(|(index, sent)| (*sent, *index)).collect();
        senders.retain(|(_, index)| index % 3 == 2 && cluster.nodes[*index].running);
        senders.sort_unstable();
        senders.iter().rev().take(2).for_each(|(_, index)| cluster.kill(*index));
        cluster.run_for(10 * SECOND);
    }
    let running = cluster.running().count();
    assert_eq!(running, 52);
    cluster
        .wait_for(80 * SECOND, "all running members counted", |cluster| cluster.all_live_counts_are(running));
    assert_eq!(cluster.reported_silent_scopes(), 0);
}

#[test]
fn the_greater_count_applies_when_a_scope_is_partitioned() {
    let mut cluster = Cluster::joined(7, 60, 3);
    // Half of z2 does not reach the other half; both reach all others.
    cluster.partition = Box::new(|from, to| from % 3 == 2 && to % 3 == 2 && (from < 30) != (to < 30));
    let begin = cluster.now;
    while cluster.now < begin + 58 * SECOND {
        cluster.run_for(SECOND);
        let safe = cluster.running().all(|node| node.node.live_count().get() >= 60);
        assert!(safe, "live count below 60 after {} us", cluster.now - begin);
    }
    cluster.partition = Box::new(|_, _| false);
    cluster.wait_for(15 * SECOND, "healed", |cluster| cluster.all_know_members(20));
    cluster.wait_for(5 * SECOND, "live count 60", |cluster| cluster.all_live_counts_are(60));
    assert_eq!(cluster.reported_silent_scopes(), 0);
}

#[test]
fn rolling_restarts_leave_the_live_count_stable() {
    let mut cluster = Cluster::joined(8, 66, 6);
    for index in 0..66 {
        cluster.leave(index);
        cluster.run_for(300 * MILLI);
        cluster.nodes[index] = cluster.new_node(index, &format!("z{}", index % 6));
        let begin = cluster.now;
        while cluster.now < begin + 300 * MILLI {
            cluster.run_for(50 * MILLI);
        }
        let joined = cluster.running().filter(|node| node.node.members().size() > 1);
        let lowest_count = joined.map(|node| node.node.live_count().get()).min();
        assert!(lowest_count >= Some(55), "restart of node {index}: lowest live count {lowest_count:?}");
    }
    cluster.wait_for(15 * SECOND, "live count 66", |cluster| cluster.all_live_counts_are(66));
    assert_eq!(cluster.reported_silent_scopes(), 0);
}

#[test]
fn members_with_and_without_a_scope_find_and_count_each_other() {
    let mut cluster = Cluster::new(9, 20, 2);
    // Nodes of older releases have no scope; a seed may be such a node.
    for index in (0..20).filter(|index| index % 2 == 0) {
        cluster.nodes[index] = cluster.new_node(index, "");
    }
    cluster.wait_for(15 * SECOND, "live count 20", |cluster| cluster.all_live_counts_are(20));
    assert!(cluster.all_know_members(10));
}

#[test]
fn damaged_foreign_and_unknown_version_datagrams_are_discarded() {
    let mut cluster = Cluster::joined(10, 12, 3);
    let now = cluster.now;
    let mut valid = None;
    while valid.is_none() {
        let sender = &mut cluster.nodes[0].node;
        let at = sender.next_deadline();
        sender.handle_time(at);
        let datagrams = sender.take_outbox().into_iter().map(|(_, datagram)| datagram);
        valid = datagrams.into_iter().find(|datagram| datagram[3] == DatagramKind::ScopeGossip as u8);
    }
    let valid = valid.expect("scope gossip");
    let known_scopes = |cluster: &Cluster| {
        let scopes = cluster.nodes[1].node.scopes().iter();
        scopes.map(|(name, scope)| (name.to_owned(), scope.live_count(), scope.age(now))).collect::<Vec<_>>()
    };
    let before = known_scopes(&cluster);
    let receiver = &mut cluster.nodes[1].node;
    let mut random = Pcg64::seed_from_u64(31);
    for round in 0..10_000 {
        let mut bytes = valid.clone();
        let index = random.next_u64() as usize % bytes.len();
        bytes[index] ^= 1 << (round % 8);
        bytes.truncate(bytes.len() - round / 2 % 3);
        receiver.handle_datagram(now, &bytes);
        // Random content in a valid envelope of another fleet.
        let content: Vec<u8> = (0..random.next_u64() % 99).map(|_| random.next_u64() as u8).collect();
        let envelope = Envelope { fleet_hash: Envelope::fleet_hash("others"), digest: 0 };
        receiver.handle_datagram(now, &envelope.seal_as(DatagramKind::ScopeGossip, &content));
    }
    let mut next_version = valid.clone();
    next_version[3] = 0x12;
    receiver.handle_datagram(now, &next_version);
    let envelope = Envelope { fleet_hash: Envelope::fleet_hash("fares"), digest: 0 };
    receiver.handle_datagram(now, &envelope.seal_as(DatagramKind::ScopeGossip, &[7; 60]));
    let discarded = receiver.discarded_datagrams();
    let reasons = ["damaged", "fleet", "version", "content"];
    assert!(reasons.iter().all(|reason| discarded.contains_key(reason)), "{discarded:?}");
    assert_eq!(known_scopes(&cluster), before);
    // A release that supports only SWIM discards scope gossip as an unknown version.
    assert!(Envelope::open(Envelope::fleet_hash("fares"), &valid).is_err());
}

#[test]
fn no_second_exceeds_the_byte_limit_when_many_start_die_or_stall() {
    // A single scope has the most updates to disseminate. `TestNode::record_sent` checks the limit.
    let mut cluster = Cluster::new(11, 150, 1);
    cluster.wait_for(15 * SECOND, "joined", |cluster| cluster.all_live_counts_are(150));
    (110..150).for_each(|index| cluster.kill(index));
    let elapsed =
        cluster.wait_for(15 * SECOND, "forty deaths known to all", |cluster| cluster.all_know_members(110));
    println!("forty deaths at once are known to all after {} ms", elapsed / MILLI);
    (0..50).for_each(|index| cluster.nodes[index].stalled_until = cluster.now + 5 * SECOND);
    cluster.run_for(5 * SECOND);
    cluster.wait_for(20 * SECOND, "all members live again", |cluster| cluster.all_know_members(110));
}
