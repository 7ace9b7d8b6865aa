//! The list of servers, and when it is asked for again.

use super::state::*;
use rand::Rng;

/// Balancers that may ask for the list again at short intervals without filling discovery, and the doublings
/// of those intervals: up to a quarter of the longest that one may go without asking, or all of it for many.
const ASK_TOGETHER: u32 = 6;
const ASK_DOUBLINGS: u32 = 5;

impl Balancer {
    pub(crate) fn members(&mut self, kind: ListUpdateKind, entries: &[EndpointInfo]) {
        if kind == ListUpdateKind::Failed {
            // Jitter keeps balancers that lost the list together from asking together again.
            // One service answers all balancers: those that ask on while it is full keep it full.
            let many = Micros::from(self.settings.proxy_count / ASK_TOGETHER);
            let (first, last) = (many.clamp(1, 8), 8 * many.clamp(1, 4));
            let step = self.settings.rules.max_poll_interval / 32;
            let wait = step * (first << self.ask_failures.min(ASK_DOUBLINGS)).min(last);
            self.ask_failures += 1;
            if self.settings.polls_endpoint_list {
                self.ask_at = self.now + wait / 2 + (self.unit() * wait as f64) as Micros;
            }
            return;
        }
        if kind != ListUpdateKind::Cached {
            self.ask_failures = 0;
        }
        let (budget, weights) = (self.settings.proxy_count, self.settings.weight_source);
        let random = &mut self.random;
        // A restart under the same number is a new, cold process: nothing learned of the old one holds.
        let fresh = |entry: &EndpointInfo| Server {
            rank: random.gen(),
            ..Server::new(entry, weights, Budget::new(budget))
        };
        for (place, old) in self.servers.merge(kind != ListUpdateKind::Delta, entries, fresh) {
            self.sets.well_again(place, old.iter().flat_map(|s| s.fares.keys()));
            self.refile(place);
        }
        self.sets.order(self.sparse());
    }
}
