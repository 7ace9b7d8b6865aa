//! Calls for lists while discovery fails: what they come to each second, and how soon after its return all are answered.

use super::record::Shared;
use oakport_core::Micros;
use oakport_simulator::scenario::{FaultKind, FaultSpec};
use std::collections::BTreeMap;

/// Calls for lists and their answers, by proxy and time.
#[derive(Default)]
pub struct Calls {
    pub asked: Vec<(usize, Micros)>,
    pub answered: Vec<(usize, Micros)>,
}

impl Calls {
    /// Calls a second over all proxies while discovery fails for all, mean and most in one second, once no watch is open
    /// any more that was before; and for each proxy the time from the return until it has an answer. Of several failures
    /// the worst; none where discovery never fails for long.
    pub fn figures(&self, shared: &Shared) -> BTreeMap<&'static str, f64> {
        /// The shortest wait of a watch, and until its client has noticed and asked once more.
        const BEFORE: Micros = 6_500_000;
        const SECOND: Micros = 1_000_000;
        let fails = |event: &&FaultSpec| {
            matches!(event.kind, FaultKind::ListSilent | FaultKind::ListUnavailable)
                && event.share >= 1.0
                && event.duration >= BEFORE + SECOND
        };
        let mut figures = BTreeMap::new();
        let mut put = |name, value: f64| {
            figures.entry(name).and_modify(|old: &mut f64| *old = old.max(value)).or_insert(value);
        };
        for event in shared.day.events.iter().filter(fails) {
            let (from, to) = (shared.at(event.at) + BEFORE, shared.at(event.at + event.duration));
            let mut seconds = vec![0_u32; ((to - from) / SECOND) as usize];
            for (_, at) in self.asked.iter().filter(|(_, at)| *at >= from) {
                if let Some(second) = seconds.get_mut(((at - from) / SECOND) as usize) {
                    *second += 1;
                }
            }
            let sum: u32 = seconds.iter().sum();
            put("list.failing_calls_per_s", f64::from(sum) / seconds.len() as f64);
            put("list.failing_calls_most", f64::from(seconds.iter().copied().max().unwrap_or(0)));
            let mut first: BTreeMap<usize, Micros> = BTreeMap::new();
            for &(proxy, at) in self.answered.iter().filter(|(_, at)| *at >= to) {
                first.entry(proxy).and_modify(|old| *old = at.min(*old)).or_insert(at);
            }
            let mut after: Vec<Micros> = first.into_values().map(|at| at - to).collect();
            after.sort_unstable();
            put("list.never_answered", (shared.day.balancers - after.len()) as f64);
            if let (Some(middle), Some(last)) = (after.get(after.len() / 2), after.last()) {
                put("list.answered_p50_s", *middle as f64 / 1e6);
                put("list.answered_most_s", *last as f64 / 1e6);
            }
        }
        figures
    }
}
