//! Views that differ come together by the digests of their ranges.

mod common;

use common::*;
use oakport_membership::{DatagramKind, Envelope};
use rand_pcg_next::rand_core::{Rng, SeedableRng};
use rand_pcg_next::Pcg64;

/// All hold all.
fn whole(net: &Net) -> bool {
    net.running().all(|p| p.peers.members().size() == net.processes.len())
}

/// A scope whose members are told one after the other of two that were there before does not hear of all by
/// chance, but by asking for what it lacks.
#[test]
fn a_large_scope_that_starts_at_once_knows_itself_within_seconds() {
    let mut net = Net::new(1, 300, 1);
    let took = net.wait(15 * SECOND, "all know all", whole);
    println!("300 that start at once know each other after {} ms", took / MILLI);
}

#[test]
fn with_one_in_twenty_datagrams_lost_a_scope_that_starts_at_once_knows_itself_as_well() {
    let mut net = Net::new(3, 120, 1);
    net.loss = 0.05;
    net.wait(15 * SECOND, "all know all", whole);
}

/// Releases before this one take what is asked and given for another version and throw it away.
#[test]
fn beside_an_older_release_all_know_all_still() {
    let mut net = Net::new(4, 100, 1);
    net.unread = Some((DatagramKind::AntiEntropy, |to| to % 2 == 0));
    net.wait(60 * SECOND, "all know all", whole);
}

/// Both halves of a cut hold the other dead; what they are given then must not make anybody dead.
#[test]
fn halves_that_were_cut_know_all_again_and_nobody_that_is_there_stays_dead() {
    let mut net = Net::joined(5, 60, 1);
    net.cut = Box::new(|from, to| (from < 30) != (to < 30));
    net.wait(30 * SECOND, "cut", |net| net.running().all(|p| p.peers.members().size() == 30));
    net.cut = Box::new(|_, _| false);
    let took = net.wait(15 * SECOND, "healed", whole);
    println!("halves of 60 know all again {} ms after the cut", took / MILLI);
    let news = net.news.len();
    net.until(net.now + 10 * SECOND);
    assert_eq!(net.news.len(), news, "nothing changes any more");
}

/// An ask by a stranger is not answered: what is given is longer than what is asked, and would go to whomever
/// the ask names. Nonsense is thrown away.
#[test]
fn strangers_and_nonsense_get_nothing() {
    let mut net = Net::joined(6, 12, 1);
    // Somebody who lacks all others asks for them.
    let mut ask = None;
    net.processes[3] = net.process(3, "z0");
    while ask.is_none() {
        net.until(net.now + MILLI);
        ask = net
            .said
            .iter()
            .find(|(from, d)| *from == 3 && d[3] == DatagramKind::AntiEntropy as u8)
            .map(|(_, d)| d.clone());
    }
    let ask = ask.expect("it asks");
    // One of the same fleet and scope that does not know who asks.
    let (now, mut alone) = (net.now, net.process(20, "z0").peers);
    alone.handle_datagram(now, &ask);
    assert_eq!(
        (alone.take_outbox().len(), alone.discarded_datagrams().len()),
        (0, 0),
        "it does not know who asks"
    );
    let mut random = Pcg64::seed_from_u64(8);
    let fleet = u32::from_be_bytes([ask[4], ask[5], ask[6], ask[7]]);
    let sizes = |net: &Net| net.processes.iter().map(|p| p.peers.members().size()).collect::<Vec<_>>();
    let before = sizes(&net);
    for round in 0..10_000u64 {
        let content: Vec<u8> = (0..random.next_u64() % 99).map(|_| random.next_u64() as u8).collect();
        let whole = Envelope { fleet_hash: fleet, digest: 0 }.seal_as(DatagramKind::AntiEntropy, &content);
        net.processes[1].peers.handle_datagram(now, &whole);
        let mut bytes = ask.clone();
        let place = random.next_u64() as usize % bytes.len();
        bytes[place] ^= 1 << (round % 8);
        net.processes[1].peers.handle_datagram(now, &bytes);
    }
    let odd = &net.processes[1].peers.discarded_datagrams();
    assert!(["damaged", "content"].iter().all(|why| odd.contains_key(why)), "{odd:?}");
    net.processes[1].peers.take_outbox();
    assert_eq!(sizes(&net), before);
}
