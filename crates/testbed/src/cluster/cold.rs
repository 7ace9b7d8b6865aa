//! The load that a cold server withstands: N requests of mean work within the overload window, where N is
//! what the settings allow at its warm-up ratio, plus an allowance for random variation of 2 √N + 2
//! (`docs/test-cluster.md`).

use oakport_core::Micros;
use oakport_simulator::scenario::Scenario;
use std::collections::VecDeque;

/// Requests of mean work that a server with this warm-up ratio withstands within the overload window.
pub fn bound(scenario: &Scenario, warm_up_ratio: f64) -> f64 {
    let (share, work) = scenario.classes.iter().fold((0.0, 0.0), |(share, work), class| {
        (share + class.share, work + class.share * class.work as f64)
    });
    let server = &scenario.server;
    let allowed = server.cold_overload_factor
        * server.cores
        * warm_up_ratio
        * server.cold_overload_window as f64
        * share
        / work;
    allowed + 2.0 * allowed.sqrt() + 2.0
}

/// A sliding window of timed items.
#[derive(Debug, Default)]
pub struct Window<T>(VecDeque<(Micros, T)>);

impl<T> Window<T> {
    /// Adds an item, drops those older than `span`, and returns the rest, the new one included.
    pub fn push(&mut self, at: Micros, item: T, span: Micros) -> impl ExactSizeIterator<Item = &T> {
        self.0.push_back((at, item));
        while self.0.front().is_some_and(|(added_at, _)| added_at + span < at) {
            self.0.pop_front();
        }
        self.0.iter().map(|(_, item)| item)
    }

    /// Removes all items.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
