//! What the proxies held of each other, against what was so.

use super::record::{histogram, MemberState, PeerView, ProcessEvent, Shared};
use oakport_core::Micros;
use oakport_simulator::scenario::FaultKind;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Whoever was stopped, started or cut off is given so long to be known again.
const SETTLE: Micros = 5_000_000;
/// An end that is not known by then is taken to be known then.
const LONGEST: Micros = 10_000_000;

/// What each proxy held, in the order of time.
pub type Views = Vec<(Micros, usize, PeerView)>;
/// What was done to each proxy.
pub type Signals = HashMap<usize, Vec<(Micros, ProcessEvent)>>;

/// Figures of the membership, if there was one.
pub fn figures(shared: &Shared, views: &Views, signals: &Signals, end: Micros) -> BTreeMap<String, f64> {
    let mut figures = BTreeMap::new();
    if views.is_empty() {
        return figures;
    }
    let mut put = |name: &str, value: f64| {
        figures.insert(format!("membership.{name}"), value);
    };
    for (name, signal) in [("detect", ProcessEvent::Killed), ("leave", ProcessEvent::TermSent)] {
        let mut times = histogram();
        for (&gone, all) in signals {
            for &(at, _) in all.iter().filter(|(at, what)| *what == signal && at + LONGEST <= end) {
                for took in known(shared, views, signals, gone, at) {
                    times.saturating_record(took.max(1));
                }
            }
        }
        if !times.is_empty() {
            put(&format!("{name}_p99_ms"), times.value_at_quantile(0.99) as f64 / 1e3);
            put(&format!("{name}_p50_ms"), times.value_at_quantile(0.5) as f64 / 1e3);
        }
    }
    put("false_dead", false_dead(shared, views, signals) as f64);
    let cuts = shared.scenario.events.iter().filter(|e| e.kind == FaultKind::Cut);
    if let Some(agreed) = cuts.map(|e| agree(views, signals, shared.at(e.at + e.duration), end)).max() {
        put("agree_ms", agreed as f64 / 1e3);
    }
    put("bytes_per_s", bytes(views));
    let counts = || views.iter().map(|(_, _, held)| held.count);
    put("count_least", counts().min().unwrap_or(0) as f64);
    put("count_most", counts().max().unwrap_or(0) as f64);
    let last: BTreeMap<usize, usize> = views.iter().map(|(_, proxy, held)| (*proxy, held.count)).collect();
    put("count_last", last.values().sum::<usize>() as f64 / last.len() as f64);
    figures
}

/// Something was done to it in this span, its first start aside.
fn disturbed(signals: &Signals, proxy: usize, from: Micros, to: Micros) -> bool {
    let all = signals.get(&proxy).into_iter().flatten();
    all.into_iter().any(|(at, _)| (from..=to).contains(at))
}

/// A cut that may have parted anybody was there in this span.
fn parted(shared: &Shared, from: Micros, to: Micros) -> bool {
    let cuts = shared.scenario.events.iter().filter(|e| matches!(e.kind, FaultKind::Cut | FaultKind::Link));
    cuts.into_iter().any(|e| shared.at(e.at) <= to && shared.at(e.at + e.duration) + SETTLE >= from)
}

/// How long the others took to know that a life had ended at this moment.
fn known(shared: &Shared, views: &Views, signals: &Signals, gone: usize, at: Micros) -> Vec<Micros> {
    let mut first: BTreeMap<usize, Micros> = BTreeMap::new();
    let whole = |proxy: &usize| {
        *proxy != gone && !disturbed(signals, *proxy, at.saturating_sub(SETTLE), at + LONGEST)
    };
    let watchers: BTreeSet<usize> = views.iter().map(|(_, proxy, _)| *proxy).filter(whole).collect();
    if parted(shared, at, at + LONGEST) {
        return Vec::new();
    }
    let unix = shared.unix_ms(at);
    for (seen, proxy, held) in views.iter().filter(|(seen, proxy, _)| *seen >= at && watchers.contains(proxy))
    {
        // Another life there has taken its place.
        let there =
            held.members.iter().any(|(n, life, s)| *n == gone && *s == MemberState::Present && *life < unix);
        if !there {
            first.entry(*proxy).or_insert(seen - at);
        }
    }
    watchers.iter().map(|proxy| first.get(proxy).copied().unwrap_or(LONGEST).min(LONGEST)).collect()
}

/// Pairs of which one held the other dead that ran, was not disturbed, and could be reached.
fn false_dead(shared: &Shared, views: &Views, signals: &Signals) -> usize {
    let mut found = BTreeSet::new();
    for (at, proxy, held) in views {
        let from = at.saturating_sub(SETTLE);
        let calm = |n: usize| !disturbed(signals, n, from, *at);
        if !calm(*proxy) || parted(shared, from, *at) {
            continue;
        }
        for (n, _, _) in held.members.iter().filter(|(_, _, s)| *s == MemberState::Dead) {
            let last = signals.get(n).into_iter().flatten().rev().find(|(when, _)| when <= at);
            let runs =
                last.is_some_and(|(_, what)| matches!(what, ProcessEvent::Started | ProcessEvent::Continued));
            if runs && calm(*n) {
                found.insert((*proxy, *n));
            }
        }
    }
    found.len()
}

/// How long after this moment all that ran held the same.
fn agree(views: &Views, signals: &Signals, from: Micros, end: Micros) -> Micros {
    let mut last: BTreeMap<usize, u64> = BTreeMap::new();
    let ends = |what: &ProcessEvent| {
        matches!(
            what,
            ProcessEvent::Killed | ProcessEvent::TermSent | ProcessEvent::Crashed | ProcessEvent::Stopped
        )
    };
    let runs = |proxy: &usize| {
        let last = signals.get(proxy).into_iter().flatten().rev().find(|(at, _)| *at <= from);
        last.is_some_and(|(_, what)| !ends(what))
    };
    let running = signals.keys().filter(|proxy| runs(proxy)).count();
    for (at, proxy, held) in views.iter().filter(|(at, _, _)| *at >= from) {
        last.insert(*proxy, held.digest);
        let digests: BTreeSet<u64> = last.values().copied().collect();
        if last.len() >= running && digests.len() == 1 {
            return at - from;
        }
    }
    end - from
}

/// Bytes a second that any proxy sent, at the most, over its longest life.
fn bytes(views: &Views) -> f64 {
    let mut lives: BTreeMap<usize, Vec<[(Micros, u64); 2]>> = BTreeMap::new();
    for (at, proxy, held) in views {
        let lives = lives.entry(*proxy).or_default();
        match lives.last_mut().filter(|life| life[1].1 <= held.bytes) {
            Some(life) => life[1] = (*at, held.bytes),
            None => lives.push([(*at, held.bytes); 2]),
        }
    }
    let longest = lives.values().filter_map(|lives| lives.iter().max_by_key(|life| life[1].0 - life[0].0));
    let rate = |[from, to]: &[(Micros, u64); 2]| (to.1 - from.1) as f64 * 1e6 / (to.0 - from.0).max(1) as f64;
    longest.map(rate).fold(0.0, f64::max)
}
