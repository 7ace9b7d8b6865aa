//! What a cold server bears: N requests of mean work in the time that the settings name, N being what they allow
//! it then, and what chance explains, 2 root of N + 2 (`docs/test-cluster.md`).

use oakport_core::Micros;
use oakport_simulator::scenario::Scenario;
use std::collections::VecDeque;

/// Requests of mean work that a server of this warmth bears within the fall time.
pub fn bound(day: &Scenario, warmth: f64) -> f64 {
    let (share, work) = day.classes.iter().fold((0.0, 0.0), |(share, work), class| {
        (share + class.share, work + class.share * class.work as f64)
    });
    let server = &day.server;
    let allowed =
        server.cold_overload_factor * server.cores * warmth * server.cold_overload_window as f64 * share
            / work;
    allowed + 2.0 * allowed.sqrt() + 2.0
}

/// What came within the last span of this length.
#[derive(Debug, Default)]
pub struct Window<T>(VecDeque<(Micros, T)>);

impl<T> Window<T> {
    /// One more has come; all that came within the span up to then.
    pub fn push(&mut self, at: Micros, what: T, span: Micros) -> impl ExactSizeIterator<Item = &T> {
        self.0.push_back((at, what));
        while self.0.front().is_some_and(|(old, _)| old + span < at) {
            self.0.pop_front();
        }
        self.0.iter().map(|(_, what)| what)
    }

    /// Nothing has come yet.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
