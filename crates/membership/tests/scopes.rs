//! A fleet of several scopes in virtual time: what each knows of the others, and what the count makes of it.

mod common;

use common::*;
use oakport_membership::{DatagramKind, Envelope, MemberStatus, MembershipEvent, ScopeStatus};
use rand_pcg_next::rand_core::{Rng, SeedableRng};
use rand_pcg_next::Pcg64;
use std::collections::BTreeMap;

impl Net {
    fn hearing(&self, n: usize, scope: &str) -> Option<ScopeStatus> {
        let mut others = self.processes[n].peers.scopes().iter();
        others.find(|(name, _)| *name == scope).map(|(_, scope)| scope.status())
    }

    fn held_dead(&self) -> usize {
        self.news
            .iter()
            .filter(|(_, _, news)| {
                matches!(news, MembershipEvent::MemberChanged { status: MemberStatus::Dead, .. })
            })
            .count()
    }

    fn silent(&self) -> usize {
        self.news
            .iter()
            .filter(|(_, _, news)| {
                matches!(news, MembershipEvent::ScopeChanged { status: ScopeStatus::Silent, .. })
            })
            .count()
    }
}

#[test]
fn each_knows_its_own_scope_and_how_many_the_others_are() {
    let mut net = Net::joined(1, 66, 6);
    for n in 0..66 {
        let peers = &net.processes[n].peers;
        assert_eq!((peers.members().size(), peers.scopes().len()), (11, 5), "{n}");
        assert!(peers.members().members().all(|seen| seen.identity.zone == format!("z{}", n % 6)));
    }
    net.until(net.now + 60 * SECOND);
    assert!(net.count(66));
    assert_eq!((net.held_dead(), net.silent()), (0, 0));
    // What is said in one is counted by all.
    let now = net.now;
    net.processes[8].peers.leave(now);
    net.post(8);
    net.processes[8].runs = false;
    net.processes[15].runs = false;
    let took = net.wait(20 * SECOND, "one left, one died", |net| net.count(64));
    println!("a leave and a death are counted by all scopes after {} ms", took / MILLI);
    assert_eq!(net.silent(), 0);
}

#[test]
fn with_losses_and_stalls_no_scope_is_held_silent() {
    let mut net = Net::joined(2, 66, 6);
    net.loss = 0.05;
    for n in 0..6 {
        net.processes[n * 7].stalled = net.now + 5 * SECOND;
        net.until(net.now + 15 * SECOND);
    }
    assert_eq!(net.silent(), 0);
    net.loss = 0.0;
    net.wait(20 * SECOND, "all back", |net| net.running().all(|p| p.peers.members().size() == 11));
    assert!(net.count(66));
}

#[test]
fn a_lost_scope_is_silent_its_count_stays_and_then_falls_step_by_step() {
    let mut net = Net::joined(3, 66, 6);
    (0..66).filter(|n| n % 6 == 5).for_each(|n| net.processes[n].runs = false);
    let all =
        |net: &Net, hearing| (0..66).filter(|n| n % 6 != 5).all(|n| net.hearing(n, "z5") == Some(hearing));
    let took = net.wait(8 * SECOND, "known", |net| all(net, ScopeStatus::Silent));
    println!("a lost scope is known to all after {} ms", took / MILLI);
    net.until(net.now + 50 * SECOND);
    assert!(net.count(66), "it stays");
    net.until(net.now + 12 * SECOND);
    net.wait(20 * SECOND, "it falls", |net| net.count(55));
    let mut last = BTreeMap::new();
    for (at, n, news) in &net.news {
        if let MembershipEvent::LiveCountChanged { count } = news {
            let (before, when) = last.insert(*n, (*count, *at)).unwrap_or((66, 0));
            assert!(before.saturating_sub(*count) <= 6 && *at >= when + SECOND, "{n}: {before} to {count}");
        }
    }
    assert_eq!(net.held_dead(), 0, "nobody is held dead one by one");
    // It comes back, as new lives.
    for n in (0..66).filter(|n| n % 6 == 5) {
        net.processes[n] = net.process(n, "z5");
    }
    let took = net.wait(15 * SECOND, "back", |net| net.count(66) && all(net, ScopeStatus::Fresh));
    println!("and counted again {} ms after it is back", took / MILLI);
}

#[test]
fn regions_that_lose_each_other_keep_the_count_and_agree_soon_after() {
    let mut net = Net::joined(4, 66, 6);
    net.cut = Box::new(|a, b| (a % 6 < 2) != (b % 6 < 2));
    net.until(net.now + 55 * SECOND);
    assert!(net.count(66), "it stays");
    net.until(net.now + 125 * SECOND);
    assert!((0..66).all(|n| net.processes[n].peers.live_count().get() == if n % 6 < 2 { 22 } else { 44 }));
    net.cut = Box::new(|_, _| false);
    let fresh = |p: &Process| p.peers.scopes().iter().all(|(_, s)| s.status() == ScopeStatus::Fresh);
    let took = net.wait(15 * SECOND, "healed", |net| net.count(66) && net.running().all(fresh));
    println!("regions agree {} ms after they are healed", took / MILLI);
    assert_eq!(net.held_dead(), 0);
}

#[test]
fn a_scope_cut_from_one_side_only_is_still_heard_of() {
    let mut net = Net::joined(5, 40, 4);
    // z1 hears nothing of z0, and is heard there; the others reach both.
    net.cut = Box::new(|a, b| a % 4 == 0 && b % 4 == 1);
    net.until(net.now + 60 * SECOND);
    assert_eq!(net.silent(), 0);
    assert!(net.count(40));
    // All that z0 says to others is lost: it hears of them, they hold it silent and count on for a minute.
    net.cut = Box::new(|a, b| a % 4 == 0 && b % 4 != 0);
    net.until(net.now + 30 * SECOND);
    assert!((0..40).filter(|n| n % 4 != 0).all(|n| net.hearing(n, "z0") == Some(ScopeStatus::Silent)));
    assert!(net.count(40));
}

#[test]
fn those_who_speak_for_a_scope_die_and_others_speak() {
    let mut net = Net::joined(6, 60, 3);
    for _ in 0..4 {
        net.spoke.clear();
        net.until(net.now + 2 * SECOND);
        // The two of z2 that said most to others of late.
        let mut spoke: Vec<(u64, usize)> = net.spoke.iter().map(|(n, sent)| (*sent, *n)).collect();
        spoke.retain(|(_, n)| n % 3 == 2 && net.processes[*n].runs);
        spoke.sort_unstable();
        spoke.iter().rev().take(2).for_each(|(_, n)| net.processes[*n].runs = false);
        net.until(net.now + 10 * SECOND);
    }
    let alive = net.running().count();
    assert_eq!(alive, 52);
    net.wait(80 * SECOND, "counted", |net| net.count(alive));
    assert_eq!(net.silent(), 0);
}

#[test]
fn of_two_parts_of_a_scope_the_count_that_is_safe_is_taken() {
    let mut net = Net::joined(7, 60, 3);
    // Half of z2 does not reach the other half; both reach all others.
    net.cut = Box::new(|a, b| a % 3 == 2 && b % 3 == 2 && (a < 30) != (b < 30));
    let begin = net.now;
    while net.now < begin + 58 * SECOND {
        net.until(net.now + SECOND);
        assert!(net.running().all(|p| p.peers.live_count().get() >= 60), "at {}", net.now - begin);
    }
    net.cut = Box::new(|_, _| false);
    net.wait(15 * SECOND, "healed", |net| net.running().all(|p| p.peers.members().size() == 20));
    net.wait(5 * SECOND, "counted", |net| net.count(60));
    assert_eq!(net.silent(), 0);
}

#[test]
fn restarts_in_a_wave_leave_the_count_where_it_is() {
    let mut net = Net::joined(8, 66, 6);
    for n in 0..66 {
        let (now, scope) = (net.now, format!("z{}", n % 6));
        net.processes[n].peers.leave(now);
        net.post(n);
        net.processes[n].runs = false;
        net.until(net.now + 300 * MILLI);
        net.processes[n] = net.process(n, &scope);
        let begin = net.now;
        while net.now < begin + 300 * MILLI {
            net.until(net.now + 50 * MILLI);
        }
        let least = net.processes.iter().filter(|p| p.runs && p.peers.members().size() > 1);
        let least = least.map(|p| p.peers.live_count().get()).min();
        assert!(least >= Some(55), "{n}: {least:?}");
    }
    net.wait(15 * SECOND, "all", |net| net.count(66));
    assert_eq!(net.silent(), 0);
}

#[test]
fn one_without_a_scope_and_those_with_one_find_and_count_each_other() {
    let mut net = Net::new(9, 20, 2);
    // Those of before this release have no scope; they may be the seeds.
    for n in (0..20).filter(|n| n % 2 == 0) {
        net.processes[n] = net.process(n, "");
    }
    net.wait(15 * SECOND, "all", |net| net.count(20));
    assert!(net.running().all(|p| p.peers.members().size() == 10));
}

#[test]
fn what_is_damaged_foreign_or_of_another_version_is_thrown_away() {
    let mut net = Net::joined(10, 12, 3);
    let now = net.now;
    let mut sound = None;
    while sound.is_none() {
        let at = net.processes[0].peers.next_deadline();
        net.processes[0].peers.handle_time(at);
        let outbox = net.processes[0].peers.take_outbox();
        sound = outbox
            .into_iter()
            .map(|(_, datagram)| datagram)
            .find(|d| d[3] == DatagramKind::ScopeGossip as u8);
    }
    let sound = sound.expect("it talks");
    let told = |net: &Net| {
        let scopes = net.processes[1].peers.scopes();
        scopes.iter().map(|(name, s)| (name.to_owned(), s.live_count(), s.age(now))).collect::<Vec<_>>()
    };
    let before = told(&net);
    let mut random = Pcg64::seed_from_u64(31);
    for round in 0..10_000 {
        let mut bytes = sound.clone();
        let place = random.next_u64() as usize % bytes.len();
        bytes[place] ^= 1 << (round % 8);
        bytes.truncate(bytes.len() - round / 2 % 3);
        net.processes[1].peers.handle_datagram(now, &bytes);
        // Random content behind a right envelope.
        let content: Vec<u8> = (0..random.next_u64() % 99).map(|_| random.next_u64() as u8).collect();
        let envelope = Envelope { fleet_hash: Envelope::fleet_hash("others"), digest: 0 };
        net.processes[1].peers.handle_datagram(now, &envelope.seal_as(DatagramKind::ScopeGossip, &content));
    }
    let mut later = sound.clone();
    later[3] = 0x12;
    net.processes[1].peers.handle_datagram(now, &later);
    let nonsense = Envelope { fleet_hash: Envelope::fleet_hash("fares"), digest: 0 }
        .seal_as(DatagramKind::ScopeGossip, &[7; 60]);
    net.processes[1].peers.handle_datagram(now, &nonsense);
    let odd = &net.processes[1].peers.discarded_datagrams();
    assert!(["damaged", "fleet", "version", "content"].iter().all(|why| odd.contains_key(why)), "{odd:?}");
    assert_eq!(told(&net), before);
    // Who knows the first kind only takes it for another version.
    assert!(Envelope::open(Envelope::fleet_hash("fares"), &sound).is_err());
}

#[test]
fn no_second_is_over_the_bound_when_all_start_many_die_and_many_are_stopped() {
    // As one scope, which has the most to tell.
    let mut net = Net::new(11, 150, 1);
    net.wait(15 * SECOND, "joined", |net| net.count(150));
    (110..150).for_each(|n| net.processes[n].runs = false);
    let dead = |net: &Net| net.running().all(|p| p.peers.members().size() == 110);
    let took = net.wait(15 * SECOND, "forty died", dead);
    println!("forty deaths at once are known to all after {} ms", took / MILLI);
    (0..50).for_each(|n| net.processes[n].stalled = net.now + 5 * SECOND);
    net.until(net.now + 5 * SECOND);
    net.wait(20 * SECOND, "all back", dead);
}
