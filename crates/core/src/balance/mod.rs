//! All decisions of the balancer, one file a concern; `src/api.rs` is the interface.
//!
//! `retry` has a call from arrival to end, `hold` its waiting, `route` the pick, `budget` who has room.

mod ask;
mod budget;
mod hold;
mod learn;
mod members;
mod overload;
mod retry;
mod route;
mod state;

pub use state::Balancer;
use state::*;

impl Balancer {
    /// Listed servers that are sent nothing now: set aside, or resting after a refusal as full.
    pub fn unavailable_endpoints(&self, now: Micros) -> usize {
        self.servers.iter().filter(|s| s.listed && !s.usable(now)).count()
    }

    /// What is learned stays, and calls under way keep their class. Classes keep their numbers.
    pub(crate) fn retune(&mut self, mut settings: Settings) {
        self.classes.retune(std::mem::take(&mut settings.classes));
        self.settings = settings;
        self.sets.order(self.sparse());
        let listed: Vec<usize> = self.sets.listed.iter().collect();
        listed.into_iter().for_each(|place| self.refile(place));
    }
}
