//! What the end of an attempt teaches of its server, its group and its class.

use super::overload::LATE_AIM;
use super::state::*;

const CUT_FULL: f64 = 0.8;
/// An answer is strained beyond this many times its class's unloaded time: about two calls a core.
const STRAIN_TIMES: f64 = 3.0;
/// ... or beyond this share of its aim, whichever is shorter.
const STRAIN_AIM: f64 = 0.33;
/// Reported share of busy cores that is as much: above it waiting grows steeply.
const BUSY_FULL: f64 = 0.9;
/// Strain at which a group is used less: answers take about half their aim.
const STRAIN_DEEP: f64 = 1.5;
/// Weight of a new outcome in a server's share of failures, and the share that sets it aside: two in four.
const FAIL_WEIGHT: f64 = 0.2;
const FAIL_LIMIT: f64 = 0.3;

impl Fare {
    pub(super) fn fails(&self) -> bool {
        self.failing > FAIL_LIMIT
    }

    pub(super) fn back_off(&mut self, now: Micros, first: Micros) {
        self.retry_at = now + (first << self.doublings);
    }

    pub(super) fn note(&mut self, now: Micros, failed: bool, first: Micros) {
        self.failing += (f64::from(u8::from(failed)) - self.failing) * FAIL_WEIGHT;
        self.back_off(now, first);
        self.doublings = if failed { (self.doublings + 1).min(BACKOFF_DOUBLINGS) } else { 0 };
    }
}

impl Server {
    /// Does this class fail here, though other classes need not, and is no call of it due to try?
    pub(super) fn shuns(&self, class_id: usize, now: Micros) -> bool {
        self.fares.get(&class_id).is_some_and(|f| f.fails() && now < f.retry_at)
    }
}

impl Balancer {
    /// As many waiting as in work, or nearly all cores busy, is as much as an answer at its limit.
    pub(crate) fn report(&mut self, id: CallId, attempt: u32, load: LoadReport) {
        let Some(tried) = self.calls.get(id).and_then(|c| c.attempts.get(attempt as usize)) else { return };
        let Some(place) = self.servers.place(tried.server) else { return };
        let crowding = match load {
            LoadReport { in_flight: Some(all), queued: Some(waiting), .. } => {
                waiting / (all - waiting).max(1.0)
            }
            LoadReport { utilisation: Some(busy), .. } => busy / BUSY_FULL,
            _ => return,
        };
        self.servers[place].crowding = if crowding.is_finite() { crowding.clamp(0.0, 4.0) } else { 0.0 };
    }

    /// An answer that had begun to flow has ended: its server was done with it, but may have cut it.
    pub(crate) fn flowed(&mut self, id: EndpointId, outcome: Outcome) {
        let cut = matches!(outcome, Outcome::Reset | Outcome::TimedOut);
        if let Some(place) = self.servers.place(id).filter(|_| cut) {
            let failing = &mut self.servers[place].failing;
            *failing += (1.0 - *failing) * FAIL_WEIGHT;
        }
    }

    /// What a server's answer, or its absence, teaches.
    pub(crate) fn learn(&mut self, tried: Attempt, class_id: usize, outcome: Outcome) {
        let Attempt { server: id, sent, trial, .. } = tried;
        let elapsed = self.now.saturating_sub(sent);
        let (first, longest, longest_aim) =
            (self.first_backoff(), self.classes.longest_usual(), self.classes.longest_aim());
        let may_set_aside = self.may_set_aside();
        let Some(place) = self.servers.place(id) else { return };
        let aim = self.classes.class(class_id).map_or(f64::MAX, |c| c.latency_objective as f64);
        let base = self.classes.base(class_id);
        let limit = (base * STRAIN_TIMES).min(aim * STRAIN_AIM).max(base);
        let server = &mut self.servers[place];
        server.in_flight = server.in_flight.saturating_sub(1);
        let late = if outcome == Outcome::TimedOut && server.answered > sent { 2.0 } else { 0.0 };
        let mut strain = (elapsed as f64 / limit).clamp(late, 4.0);
        // Errors and resets tell nothing of load; who never went, or was called off early, nothing at all.
        let late_back = match outcome {
            Outcome::Served => Some(elapsed as f64 > aim * LATE_AIM),
            Outcome::TimedOut | Outcome::Rejected => Some(true),
            // A dead process refuses at once, a crowded one is slow to accept.
            Outcome::ConnectFailed => (strain > 1.0).then_some(true),
            _ => None,
        };
        let at = (server.zone, server.kind);
        self.comes_back(at, elapsed, late_back);
        let server = &mut self.servers[place];
        let failed = match outcome {
            Outcome::Served => false,
            // Late while others are answered: the server is slow, not gone, and is sent less, not nothing.
            Outcome::TimedOut if server.answered > sent => false,
            Outcome::Cancelled | Outcome::NotSent | Outcome::InvalidRequest => {
                // A loser called off was at least this slow.
                server.strain += (strain - server.strain).max(0.0) * SMOOTHING;
                server.budget.trial_out &= !trial;
                self.refile(place);
                return;
            }
            _ => true,
        };
        // Errors and silence may meet one class alone: the others' answers must not hide that.
        let silent = outcome == Outcome::TimedOut && elapsed as f64 > limit;
        if outcome == Outcome::Served || outcome == Outcome::Error || silent {
            let fare = server.fares.entry(class_id).or_default();
            let failed_before = fare.fails();
            fare.note(self.now, outcome != Outcome::Served, first);
            self.sets.fails(class_id, place, fare.fails());
            if fare.fails() && !failed_before {
                self.actions.push(Action::Log(DecisionEvent::ClassFailing {
                    endpoint: id,
                    class: ClassId(class_id),
                }));
            }
        }
        // A time-out proves less than an error: a crowded server may owe a lone call for that long.
        let weight = if outcome == Outcome::TimedOut { FAIL_WEIGHT / 2.0 } else { FAIL_WEIGHT };
        server.failing += (f64::from(u8::from(failed)) - server.failing) * weight;
        let group = self.groups.entry((server.zone, server.kind)).or_insert(Group { strain, share: 1.0 });
        let seen = if failed { STRAIN_DEEP * 2.0 } else { strain };
        group.strain += (seen - group.strain) * SMOOTHING;
        let change = (STRAIN_DEEP - seen).max(-STRAIN_DEEP) * SMOOTHING;
        group.share = (group.share * change.exp()).clamp(SMOOTHING / 2.0, 1.0);
        // Few answers a second must not make the strain a memory of long ago.
        let gap = self.now.saturating_sub(server.heard) as f64 / longest_aim;
        let weight = SMOOTHING.max(1.0 - (-gap).exp());
        server.heard = self.now;
        if !failed {
            strain = strain.max(server.crowding);
            server.strain += (strain - server.strain) * weight;
            server.answers_since += 1;
        }
        // Answers alone would make the mean that of the lucky: late ones count for what was waited.
        if let Some(pace) = self.classes.pace(class_id).filter(|_| !failed) {
            pace.answered(self.now, elapsed as f64);
        }
        if tried.crowd > 0.0 && matches!(outcome, Outcome::Served | Outcome::TimedOut) {
            let faded = 1.0 - SMOOTHING / 2.0;
            self.told = (self.told.0 * faded + elapsed as f64, self.told.1 * faded + tried.crowd);
        }
        if outcome == Outcome::Served {
            server.answered = self.now;
        }
        // Latency well above an unloaded server's is the sign, beside refusals, of too much in flight.
        if outcome == Outcome::Rejected {
            server.budget.cut(CUT_FULL, 0.0);
            // Fast refusals leave it looking idle: without a pause it would draw in call after call.
            server.not_before = server.not_before.max(self.now + longest as Micros);
        } else if server.strain > 1.0 && self.now >= server.settled_at(longest) {
            let floor = server.budget.floor * if server.strain > STRAIN_DEEP { CUT_MOST / 2.0 } else { 1.0 };
            server.budget.cut(1.0 / server.strain, floor);
            // The cut answers for part of it: else one jam would be cut for again and again.
            server.strain = server.strain.sqrt();
            (server.answers_since, server.changed) = (0, self.now);
        }
        let was_up = server.budget.steps > 0;
        if matches!(outcome, Outcome::ConnectFailed | Outcome::Reset)
            && (server.budget.steps > 1 || may_set_aside)
        {
            server.budget.steps = server.budget.steps.saturating_sub(1);
        }
        server.budget.trial_out &= !trial;
        if trial {
            if outcome != Outcome::Served {
                server.budget.back_off(self.now, first);
            } else if was_up && server.strain > 1.0 {
                server.budget.backoff_end = self.now + first;
            } else if was_up || server.failing < FAIL_LIMIT / 2.0 {
                server.budget.trial_served();
                (server.answers_since, server.changed) = (0, self.now);
                if !was_up {
                    self.actions.push(Action::Log(DecisionEvent::EndpointReadmitted { endpoint: id }));
                }
            } else {
                // One good answer of a server that fails most does not bring it back: several in a row do.
                server.budget.doublings = 0;
            }
        }
        // Fast errors and refusals make a server look idle.
        if was_up && server.failing > FAIL_LIMIT && may_set_aside {
            server.budget.steps = 0;
        }
        if was_up && server.budget.steps == 0 {
            server.budget.back_off(self.now, first);
            server.strain = 1.0;
            self.actions.push(Action::Log(DecisionEvent::EndpointEjected { endpoint: id, outcome }));
        }
        self.refile(place);
    }
}
