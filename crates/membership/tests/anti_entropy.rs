//! Differing views converge by anti-entropy with range digests.

mod common;

use common::*;
use oakport_membership::{DatagramKind, Envelope};
use rand_pcg_next::rand_core::{Rng, SeedableRng};
use rand_pcg_next::Pcg64;

/// Whether all running nodes know all nodes.
fn converged(cluster: &Cluster) -> bool {
    cluster.running().all(|node| node.node.members().size() == cluster.nodes.len())
}

/// Guards against convergence that depends on chance: nodes that learn of the others one by one from two
/// seeds request the members that they lack.
#[test]
fn a_large_scope_that_starts_at_once_converges_within_seconds() {
    let mut cluster = Cluster::new(1, 300, 1);
    let elapsed = cluster.wait_for(15 * SECOND, "converged", converged);
    println!("300 nodes that start at once converge after {} ms", elapsed / MILLI);
}

#[test]
fn a_scope_that_starts_at_once_converges_with_one_in_twenty_datagrams_lost() {
    let mut cluster = Cluster::new(3, 120, 1);
    cluster.loss_ratio = 0.05;
    cluster.wait_for(15 * SECOND, "converged", converged);
}

/// Older releases discard anti-entropy datagrams as an unknown version.
#[test]
fn a_scope_with_an_older_release_still_converges() {
    let mut cluster = Cluster::new(4, 100, 1);
    cluster.transform = Some(|_, to, datagram| {
        let discarded = datagram[3] == DatagramKind::AntiEntropy as u8 && to % 2 == 0;
        (!discarded).then_some(datagram)
    });
    cluster.wait_for(60 * SECOND, "converged", converged);
}

/// Each half declares the other dead. After the partition heals, messages with this outdated state must not
/// mark a live member dead.
#[test]
fn healed_halves_converge_and_no_live_member_stays_dead() {
    let mut cluster = Cluster::joined(5, 60, 1);
    cluster.partition = Box::new(|from, to| (from < 30) != (to < 30));
    cluster.wait_for(30 * SECOND, "partitioned", |cluster| {
        cluster.running().all(|node| node.node.members().size() == 30)
    });
    cluster.partition = Box::new(|_, _| false);
    let elapsed = cluster.wait_for(15 * SECOND, "healed", converged);
    println!("two halves of 60 nodes converge {} ms after healing", elapsed / MILLI);
    let events = cluster.events.len();
    cluster.run_for(10 * SECOND);
    assert_eq!(cluster.events.len(), events, "no event is reported after convergence");
}

/// A response is longer than its request and is sent to the address that the request names, so requests from
/// unknown senders must get none. Invalid messages are discarded.
#[test]
fn requests_from_unknown_senders_and_invalid_messages_get_no_response() {
    let mut cluster = Cluster::joined(6, 12, 1);
    // A restarted node lacks all other members, and requests them.
    let mut request = None;
    cluster.nodes[3] = cluster.new_node(3, "z0");
    while request.is_none() {
        cluster.run_for(MILLI);
        request = cluster
            .recorded_datagrams
            .iter()
            .find(|sent| sent.from == 3 && sent.datagram[3] == DatagramKind::AntiEntropy as u8)
            .map(|sent| sent.datagram.clone());
    }
    let request = request.expect("a recorded request");
    // A node of the same fleet and scope that does not know the sender.
    let now = cluster.now;
    let mut isolated = cluster.new_node(20, "z0").node;
    isolated.handle_datagram(now, &request);
    assert_eq!(isolated.take_outbox().len(), 0, "a request from an unknown sender gets no response");
    assert_eq!(isolated.discarded_datagrams().len(), 0, "a valid request is not discarded");
    let mut random = Pcg64::seed_from_u64(8);
    let fleet_hash = u32::from_be_bytes([request[4], request[5], request[6], request[7]]);
    let sizes =
        |cluster: &Cluster| cluster.nodes.iter().map(|node| node.node.members().size()).collect::<Vec<_>>();
    let before = sizes(&cluster);
    let receiver = &mut cluster.nodes[1].node;
    for round in 0..10_000u64 {
        let content: Vec<u8> = (0..random.next_u64() % 99).map(|_| random.next_u64() as u8).collect();
        let sealed = Envelope { fleet_hash, digest: 0 }.seal_as(DatagramKind::AntiEntropy, &content);
        receiver.handle_datagram(now, &sealed);
        let mut bytes = request.clone();
        let index = random.next_u64() as usize % bytes.len();
        bytes[index] ^= 1 << (round % 8);
        receiver.handle_datagram(now, &bytes);
    }
    let discarded = receiver.discarded_datagrams();
    assert!(["damaged", "content"].iter().all(|reason| discarded.contains_key(reason)), "{discarded:?}");
    receiver.take_outbox();
    assert_eq!(sizes(&cluster), before);
}
