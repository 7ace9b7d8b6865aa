//! Endpoint list requests while discovery fails: their rate, and how soon after the recovery all proxies have
//! an answer.

use super::record::Shared;
use oakport_core::Micros;
use oakport_simulator::scenario::{FaultKind, FaultSpec};
use std::collections::BTreeMap;

/// Requests for the endpoint list and their answers, as proxy and time.
#[derive(Default)]
pub struct ListCalls {
    pub requests: Vec<(usize, Micros)>,
    pub answers: Vec<(usize, Micros)>,
}

impl ListCalls {
    /// Computes the requests per second of all proxies together while discovery fails for all of them (mean,
    /// and maximum of one second), counted once every watch that was open before has ended; and the time from
    /// the recovery until each proxy has an answer. Of several failures the worst counts. Empty if discovery
    /// never fails for long.
    pub fn figures(&self, shared: &Shared) -> BTreeMap<&'static str, f64> {
        /// The shortest duration of a watch, plus the time until its client notices the end and sends the
        /// next request.
        const WATCH_END_US: Micros = 6_500_000;
        const SECOND_US: Micros = 1_000_000;
        let is_long_failure = |event: &&FaultSpec| {
            matches!(event.kind, FaultKind::ListSilent | FaultKind::ListUnavailable)
                && event.share >= 1.0
                && event.duration >= WATCH_END_US + SECOND_US
        };
        let mut figures = BTreeMap::new();
        let mut put = |name, value: f64| {
            figures.entry(name).and_modify(|worst: &mut f64| *worst = worst.max(value)).or_insert(value);
        };
        for event in shared.scenario.events.iter().filter(is_long_failure) {
            let from = shared.at(event.at) + WATCH_END_US;
            let to = shared.at(event.at + event.duration);
            let mut per_second = vec![0_u32; ((to - from) / SECOND_US) as usize];
            for (_, at) in self.requests.iter().filter(|(_, at)| *at >= from) {
                if let Some(count) = per_second.get_mut(((at - from) / SECOND_US) as usize) {
                    *count += 1;
                }
            }
            let sum: u32 = per_second.iter().sum();
            put("list.failing_calls_per_s", f64::from(sum) / per_second.len() as f64);
            put("list.failing_calls_most", f64::from(per_second.iter().copied().max().unwrap_or(0)));
            let mut first_answers: BTreeMap<usize, Micros> = BTreeMap::new();
            for &(proxy, at) in self.answers.iter().filter(|(_, at)| *at >= to) {
                first_answers.entry(proxy).and_modify(|first| *first = at.min(*first)).or_insert(at);
            }
            let mut delays: Vec<Micros> = first_answers.into_values().map(|at| at - to).collect();
            delays.sort_unstable();
            put("list.never_answered", (shared.scenario.balancers - delays.len()) as f64);
            if let (Some(median), Some(last)) = (delays.get(delays.len() / 2), delays.last()) {
                put("list.answered_p50_s", *median as f64 / 1e6);
                put("list.answered_most_s", *last as f64 / 1e6);
            }
        }
        figures
    }
}
