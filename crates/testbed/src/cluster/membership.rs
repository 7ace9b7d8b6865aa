//! Compares each proxy's view of the membership with the actual state of the other proxies.

use super::record::{histogram, MemberState, PeerView, ProcessEvent, Shared};
use oakport_core::Micros;
use oakport_simulator::scenario::FaultKind;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Time for the views to converge after a proxy was stopped, started or partitioned.
const CONVERGENCE_TIME_US: Micros = 5_000_000;
/// Detection times are capped at this value; it also stands for an end that was never detected.
const MAX_DETECTION_TIME_US: Micros = 10_000_000;

/// Views reported by the proxies, as time, proxy and view, ordered by time.
pub type Views = Vec<(Micros, usize, PeerView)>;
/// Starts, signals and ends of each proxy's processes, with their times.
pub type ProcessEvents = HashMap<usize, Vec<(Micros, ProcessEvent)>>;

/// Membership figures of the report; empty if no views were recorded.
pub fn figures(
    shared: &Shared,
    views: &Views,
    process_events: &ProcessEvents,
    end: Micros,
) -> BTreeMap<String, f64> {
    let mut figures = BTreeMap::new();
    if views.is_empty() {
        return figures;
    }
    let mut put = |name: &str, value: f64| {
        figures.insert(format!("membership.{name}"), value);
    };
    for (name, end_event) in [("detect", ProcessEvent::Killed), ("leave", ProcessEvent::TermSent)] {
        let mut times = histogram();
        for (&ended, all) in process_events {
            for &(at, _) in
                all.iter().filter(|(at, event)| *event == end_event && at + MAX_DETECTION_TIME_US <= end)
            {
                for detection_time in detection_times(shared, views, process_events, ended, at) {
                    times.saturating_record(detection_time.max(1));
                }
            }
        }
        if !times.is_empty() {
            put(&format!("{name}_p99_ms"), times.value_at_quantile(0.99) as f64 / 1e3);
            put(&format!("{name}_p50_ms"), times.value_at_quantile(0.5) as f64 / 1e3);
        }
    }
    put("false_dead", false_dead(shared, views, process_events) as f64);
    let partitions = shared.scenario.events.iter().filter(|e| e.kind == FaultKind::Cut);
    if let Some(agreement_time) =
        partitions.map(|e| agreement_time(views, process_events, shared.at(e.at + e.duration), end)).max()
    {
        put("agree_ms", agreement_time as f64 / 1e3);
    }
    put("bytes_per_s", max_send_rate(views));
    let counts = || views.iter().map(|(_, _, view)| view.count);
    put("count_least", counts().min().unwrap_or(0) as f64);
    put("count_most", counts().max().unwrap_or(0) as f64);
    let last: BTreeMap<usize, usize> = views.iter().map(|(_, proxy, view)| (*proxy, view.count)).collect();
    put("count_last", last.values().sum::<usize>() as f64 / last.len() as f64);
    figures
}

/// Whether the proxy received a signal or was started in this interval.
fn was_disturbed(process_events: &ProcessEvents, proxy: usize, from: Micros, to: Micros) -> bool {
    let all = process_events.get(&proxy).into_iter().flatten();
    all.into_iter().any(|(at, _)| (from..=to).contains(at))
}

/// Whether any partition or link fault was active in this interval or ended within the convergence time
/// before it.
fn is_partitioned(shared: &Shared, from: Micros, to: Micros) -> bool {
    let faults = shared.scenario.events.iter().filter(|e| matches!(e.kind, FaultKind::Cut | FaultKind::Link));
    faults
        .into_iter()
        .any(|e| shared.at(e.at) <= to && shared.at(e.at + e.duration) + CONVERGENCE_TIME_US >= from)
}

/// Times that the other proxies took to detect that the process of proxy `ended` had ended at `at`.
fn detection_times(
    shared: &Shared,
    views: &Views,
    process_events: &ProcessEvents,
    ended: usize,
    at: Micros,
) -> Vec<Micros> {
    let mut first: BTreeMap<usize, Micros> = BTreeMap::new();
    let is_observer = |proxy: &usize| {
        *proxy != ended
            && !was_disturbed(
                process_events,
                *proxy,
                at.saturating_sub(CONVERGENCE_TIME_US),
                at + MAX_DETECTION_TIME_US,
            )
    };
    let observers: BTreeSet<usize> = views.iter().map(|(_, proxy, _)| *proxy).filter(is_observer).collect();
    if is_partitioned(shared, at, at + MAX_DETECTION_TIME_US) {
        return Vec::new();
    }
    let ended_unix_ms = shared.unix_ms(at);
    for (seen, proxy, view) in
        views.iter().filter(|(seen, proxy, _)| *seen >= at && observers.contains(proxy))
    {
        // A later incarnation does not count as the ended process.
        let still_listed = view.members.iter().any(|(n, incarnation, s)| {
            *n == ended && *s == MemberState::Present && *incarnation < ended_unix_ms
        });
        if !still_listed {
            first.entry(*proxy).or_insert(seen - at);
        }
    }
    observers
        .iter()
        .map(|proxy| first.get(proxy).copied().unwrap_or(MAX_DETECTION_TIME_US).min(MAX_DETECTION_TIME_US))
        .collect()
}

/// Number of pairs in which one proxy considered the other dead although it was running, undisturbed and
/// reachable.
fn false_dead(shared: &Shared, views: &Views, process_events: &ProcessEvents) -> usize {
    let mut pairs = BTreeSet::new();
    for (at, proxy, view) in views {
        let from = at.saturating_sub(CONVERGENCE_TIME_US);
        let undisturbed = |n: usize| !was_disturbed(process_events, n, from, *at);
        if !undisturbed(*proxy) || is_partitioned(shared, from, *at) {
            continue;
        }
        for (n, _, _) in view.members.iter().filter(|(_, _, s)| *s == MemberState::Dead) {
            let last = process_events.get(n).into_iter().flatten().rev().find(|(when, _)| when <= at);
            let is_running = last
                .is_some_and(|(_, event)| matches!(event, ProcessEvent::Started | ProcessEvent::Continued));
            if is_running && undisturbed(*n) {
                pairs.insert((*proxy, *n));
            }
        }
    }
    pairs.len()
}

/// Time after `from` until the views of all running proxies had the same digest.
fn agreement_time(views: &Views, process_events: &ProcessEvents, from: Micros, end: Micros) -> Micros {
    let mut last: BTreeMap<usize, u64> = BTreeMap::new();
    let is_end = |event: &ProcessEvent| {
        matches!(
            event,
            ProcessEvent::Killed | ProcessEvent::TermSent | ProcessEvent::Crashed | ProcessEvent::Stopped
        )
    };
    let is_running = |proxy: &usize| {
        let last = process_events.get(proxy).into_iter().flatten().rev().find(|(at, _)| *at <= from);
        last.is_some_and(|(_, event)| !is_end(event))
    };
    let running = process_events.keys().filter(|proxy| is_running(proxy)).count();
    for (at, proxy, view) in views.iter().filter(|(at, _, _)| *at >= from) {
        last.insert(*proxy, view.digest);
        let digests: BTreeSet<u64> = last.values().copied().collect();
        if last.len() >= running && digests.len() == 1 {
            return at - from;
        }
    }
    end - from
}

/// Highest rate at which any proxy sent bytes to its peers, in bytes per second, over its longest
/// incarnation.
fn max_send_rate(views: &Views) -> f64 {
    let mut incarnations: BTreeMap<usize, Vec<[(Micros, u64); 2]>> = BTreeMap::new();
    for (at, proxy, view) in views {
        let incarnations = incarnations.entry(*proxy).or_default();
        match incarnations.last_mut().filter(|incarnation| incarnation[1].1 <= view.bytes) {
            Some(incarnation) => incarnation[1] = (*at, view.bytes),
            None => incarnations.push([(*at, view.bytes); 2]),
        }
    }
    let longest = incarnations.values().filter_map(|incarnations| {
        incarnations.iter().max_by_key(|incarnation| incarnation[1].0 - incarnation[0].0)
    });
    let rate = |[from, to]: &[(Micros, u64); 2]| (to.1 - from.1) as f64 * 1e6 / (to.0 - from.0).max(1) as f64;
    longest.map(rate).fold(0.0, f64::max)
}
