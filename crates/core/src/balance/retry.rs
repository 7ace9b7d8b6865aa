//! A call from its arrival to its one final answer: attempts, second copies, refusals.

use super::route::Route;
use super::state::*;

/// Further attempts and second copies that each call earns, and the most that may be saved up.
const RETRY_EARNED: f64 = 0.2;
/// Share of the longest wait for a try that is taken for the same patience.
const PATIENCE_SAME: f64 = 0.95;

impl Call {
    /// May this call go again, here? Proof over all its attempts decides, never the last outcome alone.
    pub(super) fn may_go(&self, now: Micros, server: &Server, tick: Micros) -> bool {
        match (self.binding(), self.class.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some(_), Idempotency::NonIdempotent) => false,
            (Some(first), Idempotency::Deduplicated { scope, window }) => {
                let zone = scope == DeduplicationScope::Zone && first.zone == server.zone;
                let inside = scope == DeduplicationScope::All
                    || zone
                    || scope == DeduplicationScope::Cell && first.cell == server.cell;
                inside && now.saturating_add(tick) < first.sent.saturating_add(window)
            }
        }
    }

    /// Until when may another attempt be sent, where a server drops repeats for a while only?
    pub(super) fn window_end(&self, tick: Micros) -> Option<Micros> {
        let Idempotency::Deduplicated { window, .. } = self.class.idempotency else { return None };
        self.binding().map(|first| first.sent.saturating_add(window).saturating_sub(tick))
    }

    pub(super) fn may_be_refused(&self) -> bool {
        let harmless = matches!(
            self.class.idempotency,
            Idempotency::Idempotent | Idempotency::Deduplicated { scope: DeduplicationScope::All, .. }
        );
        harmless || self.binding().is_none()
    }
}

impl Balancer {
    pub(crate) fn request(&mut self, id: CallId, (class, left, lot): (ClassId, Micros, bool)) {
        // A class that the settings do not name is unsafe.
        let unknown = Class { latency_objective: left, client_timeout: left, ..Class::default() };
        let spec = self.classes.class(class.0).unwrap_or(unknown);
        let call = Call {
            class: spec,
            class_id: class.0,
            most: self.settings.limits.max_attempts,
            arrived: self.now,
            asked: self.now.saturating_sub(self.spent(class.0, &spec, left)),
            deadline: self.now.saturating_add(left),
            lot,
            chance: self.unit(),
            ..Call::default()
        };
        self.calls.open(id, call);
        self.retries = (self.retries + RETRY_EARNED).min(RETRY_SAVED);
        self.classes.pace(class.0).into_iter().for_each(|p| p.asked += 1.0);
        let waited =
            self.calls.hold().front().map_or(0, |&head| self.now.saturating_sub(self.calls[head].arrived));
        if waited > self.wait_limit(id) {
            self.give_up(id, waited);
        } else {
            self.enqueue(id, false);
        }
    }

    /// All of a call is there at last: what it was sent with before counts from now, for it and its server.
    pub(crate) fn whole(&mut self, id: CallId, time_left: Micros) {
        let Some(call) = self.calls.get_mut(id).filter(|c| !c.ended) else { return };
        call.asked += self.now.saturating_sub(call.arrived);
        (call.arrived, call.deadline) = (self.now, self.now.saturating_add(time_left));
        call.attempts.iter_mut().filter(|a| a.effect == Effect::Out).for_each(|a| a.sent = self.now);
        if !call.held {
            // It cannot go twice: no second copy.
            self.calls.wakes.set(id, None);
        }
    }

    /// How long ago did the client first ask? One that waits less for this try than others do has used up the
    /// rest. Only as many are taken to have tried before as were turned back: patience may be unequal.
    pub(super) fn spent(&mut self, class_id: usize, class: &Class, left: Micros) -> Micros {
        let Some(pace) = self.classes.pace(class_id) else { return 0 };
        pace.patience = pace.patience.max(left);
        if left as f64 >= pace.patience as f64 * PATIENCE_SAME || pace.turned_back == 0 {
            return 0;
        }
        pace.turned_back -= 1;
        class.client_timeout.saturating_sub(left)
    }

    /// After an attempt's end: the call's end, another attempt, or nothing while a copy is out.
    pub(crate) fn proceed(&mut self, id: CallId, outcome: Outcome, closed: bool) {
        if closed || outcome == Outcome::Served {
            self.calls.end(id);
            self.cancel_others(id, None);
        } else if self.calls.get(id).is_some_and(|c| !c.ended && !c.held && c.out() == 0) {
            if outcome == Outcome::InvalidRequest {
                self.close(id, Action::Fail { call: id });
            } else {
                self.again(id, outcome);
            }
        }
        self.calls.forget(id);
    }

    /// After an attempt that did not serve: again, or the end.
    pub(super) fn again(&mut self, id: CallId, outcome: Outcome) {
        let call = &self.calls[id];
        let in_time = self.now as f64 + self.classes.usual(call.class_id, call.class.latency_objective)
            < call.aim_at() as f64;
        let some = self
            .sets
            .listed
            .iter()
            .any(|p| call.may_go(self.now, &self.servers[p], self.settings.clock_tick));
        let more = self.more(call);
        let paid = self.retries >= 1.0 || outcome == Outcome::ConnectFailed;
        if in_time && some && more && paid && !call.streaming {
            self.retries = (self.retries - 1.0).max(0.0);
            self.enqueue(id, true);
        } else {
            self.give_up(id, self.first_backoff());
        }
    }

    /// May this call have another attempt, by what was allowed when it came and by what is now?
    pub(super) fn more(&self, call: &Call) -> bool {
        (call.attempts.len() as u32) < call.most.min(self.settings.limits.max_attempts)
    }

    /// A second copy for a call that is late on a server that may have stalled.
    pub(super) fn second_copy(&mut self, id: CallId) {
        let call = &self.calls[id];
        // Where others were answered since, its server has not stalled: the call is long, and is so anywhere.
        let answers =
            |a: &Attempt| self.servers.place(a.server).is_some_and(|p| self.servers[p].answered > a.sent);
        let long = call.attempts.iter().any(|a| a.effect == Effect::Out && answers(a));
        let more = self.more(call) && call.out() == 1 && !long;
        let spare = self.retries >= 1.0 && self.calls.hold().is_empty() && !call.streaming;
        if !more || !spare {
            return;
        }
        match self.route(id) {
            Route::Send { server, trial: false } => self.send(id, server, false),
            _ => return,
        }
        self.retries -= 1.0;
    }

    /// The call's last answer, and its end.
    pub(super) fn close(&mut self, id: CallId, last: Action) {
        self.actions.push(last);
        self.calls.end(id);
        self.cancel_others(id, None);
        self.calls.forget(id);
    }

    pub(super) fn give_up(&mut self, id: CallId, retry_after: Micros) {
        let class_id = self.calls[id].class_id;
        self.classes.pace(class_id).into_iter().for_each(|p| p.turned_back += 1);
        let retry_after = retry_after.min(self.settings.limits.max_retry_after);
        let refuse = self.calls[id].may_be_refused();
        let last = if refuse { Action::Reject { call: id, retry_after } } else { Action::Fail { call: id } };
        self.close(id, last);
    }

    pub(crate) fn cancel_others(&mut self, id: CallId, but: Option<u32>) {
        if self.settings.limits.cancellation {
            self.actions.extend(self.calls.losers(id, but));
        }
    }
}
