//! Calls that wait, in the order of their arrival: how long, for what, and who wakes them.

use super::route::Route;
use super::state::*;

/// Wait in the hold beyond which new calls are refused, as a share of their aim.
const WAIT_AIM: f64 = 0.1;
/// Times of the shortest aim that count at the most: patient calls must not fill the hold before brief ones.
const WAIT_LONGEST: f64 = 2.0;
/// Held calls looked at beyond the first, at an event: it bounds the CPU that a long hold costs.
const LOOK_PAST: usize = 16;

impl Balancer {
    /// Puts a call into the hold; one that goes again is older than those waiting and goes to the front.
    pub(super) fn enqueue(&mut self, id: CallId, again: bool) {
        let call = &self.calls[id];
        let (class_id, aim, end, last) =
            (call.class_id, call.class.latency_objective, call.aim_at(), call.deadline);
        // Its way out: when a usual answer could not come in time, and always before the client gives up.
        let wake = end.saturating_sub(self.classes.usual(class_id, aim) as Micros).max(self.now + 1);
        let shed = self.sparse() && call.found_full == 0;
        let wake = if shed { wake.min(self.now + self.wait_limit(id)) } else { wake };
        self.calls.wait(id, again, wake.min(last.saturating_sub(self.settings.clock_tick).max(self.now)));
    }

    /// How long may the hold's head have waited for this call to join? Without a bound all would be served
    /// late. Classes of much worth for their work wait longest.
    pub(super) fn wait_limit(&self, id: CallId) -> Micros {
        let call = &self.calls[id];
        let usual = self.classes.usual(call.class_id, call.class.latency_objective);
        let aim = call.aim_at().saturating_sub(call.arrived) as f64;
        let shortest = self.classes.live().map(|c| c.0.latency_objective).min().unwrap_or(0) as f64;
        let limit = aim.min(WAIT_LONGEST * shortest) * WAIT_AIM;
        let protected = if self.protected(call) { aim - SPARE_TIMES * usual } else { 0.0 };
        limit.max(protected).min(aim - usual).max(0.0) as Micros
    }

    pub(super) fn protected(&self, call: &Call) -> bool {
        let (worth, work) = self
            .classes
            .live()
            .fold((0.0, 0.0), |(w, t), (c, p)| (w + p.asked * c.priority_weight, t + p.asked * p.base));
        let base = self.classes.base(call.class_id);
        let density = call.class.priority_weight / base * work / worth.max(f64::MIN_POSITIVE);
        let goal = &self.settings.objective_weights;
        goal.overall * density > goal.overall + goal.worst_class
    }

    pub(crate) fn drain_hold(&mut self) {
        while let Some(&place) = self.sets.returning.first() {
            let mut held = self.calls.hold().iter().take(LOOK_PAST);
            let Some(index) = held.position(|&id| self.may_test(&self.calls[id])) else { break };
            let id = self.calls.hold()[index];
            self.calls.take(index);
            self.send(id, place, true);
        }
        let mut index = 0;
        while let Some(&id) = self.calls.hold().get(index) {
            match self.route(id) {
                Route::Send { server, trial } => {
                    self.calls.take(index);
                    self.send(id, server, trial);
                    self.refusing = false;
                }
                Route::Ask { servers } => {
                    self.calls.take(index);
                    self.start_asking(id, &servers);
                }
                Route::Refuse { retry_after } => {
                    if !std::mem::replace(&mut self.refusing, true) {
                        self.actions.push(Action::Log(DecisionEvent::AllEndpointsEjected));
                    }
                    self.give_up(id, retry_after);
                }
                // Arrival order: the first that stays keeps the rest, unless bound to some servers.
                Route::Hold if self.calls[id].binding().is_some() && index < LOOK_PAST => index += 1,
                Route::Hold => break,
            }
        }
    }

    /// A set-aside server is tried by a call that can go again, where the site has such calls.
    pub(super) fn may_test(&self, call: &Call) -> bool {
        let repeats = |c: &Class| c.idempotency != Idempotency::NonIdempotent;
        // Else trials of many servers set aside would take most calls of a balancer of little traffic.
        let few = !self.sparse() || call.chance < SMOOTHING;
        few && call.attempts.is_empty()
            && (repeats(&call.class) || !self.classes.live().any(|c| repeats(&c.0)))
    }

    pub(crate) fn wake_calls(&mut self) {
        while let Some(id) = self.calls.wakes.pop(self.now) {
            if self.calls[id].held {
                // As long as it has waited in vain: no sooner is there room for another.
                let waited = self.now.saturating_sub(self.calls[id].arrived);
                self.give_up(id, waited);
            } else if !self.calls[id].asks.is_empty() {
                self.decide(id);
            } else {
                self.second_copy(id);
            }
        }
    }
}
