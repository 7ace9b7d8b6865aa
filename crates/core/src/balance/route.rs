//! Which server a call goes to: the less loaded of two random ones under budget.

use super::state::*;
use crate::weighted::{draw_some, WeightedSet};
use std::collections::BTreeSet;

/// Chance of a cold server to be drawn for a call, over its present share of the fleet's capacity.
const COLD_DUTY: f64 = 1.2;
/// ... and at the most so much of what a cold server may get, at a load that all servers bear when warm:
/// where many are cold their present share grows, and the load does not fall with what they can do.
const COLD_BUDGET: f64 = 2.0 / 3.0;
/// Servers that a balancer keeps to: enough for two rounds of asking.
const SUBSET: usize = 2 * ASK_MOST;
/// Longest aims after which a server's own times count less than those of its kind.
const GROUP_AFTER: f64 = 8.0;

/// Where a call goes.
pub(super) enum Route {
    Send { server: usize, trial: bool },
    Ask { servers: Vec<usize> },
    Hold,
    Refuse { retry_after: Micros },
}

impl Balancer {
    pub(super) fn route(&mut self, id: CallId) -> Route {
        let sets = &self.sets;
        if !sets.listed.is_empty() && sets.aside == sets.listed.len() {
            let first = sets.next().unwrap_or(self.now).saturating_sub(self.now);
            return Route::Refuse { retry_after: first.max(self.first_backoff()) };
        }
        if sets.room.is_empty() && sets.trials.is_empty() && !sets.cold.iter().any(|p| self.has_room(p)) {
            return Route::Hold;
        }
        if !self.may_send() {
            return Route::Hold;
        }
        if let Some(server) = self.cold_draw(id) {
            return Route::Send { server, trial: false };
        }
        // Elsewhere, where a class fails at some servers only, unless that would make it wait.
        let (class_id, sets) = (self.calls[id].class_id, &self.sets);
        let failing = sets.failing.range((class_id, 0)..=(class_id, usize::MAX)).map(|f| f.1);
        let shuns = |&p: &usize| sets.up.contains(p) && self.servers[p].shuns(class_id, self.now);
        let shunned = failing.filter(shuns).count();
        let elsewhere = shunned > 0 && shunned * 2 <= sets.up.len();
        let mut random = self.random.clone();
        let well = elsewhere.then(|| self.pick(id, true, &mut random));
        let well = well.filter(|route| !matches!(route, Route::Hold));
        let route = well.unwrap_or_else(|| self.pick(id, false, &mut random));
        self.random = random;
        route
    }

    fn has_room(&self, place: usize) -> bool {
        let server = &self.servers[place];
        server.usable(self.now) && !server.full(self.now, &self.settings.rules)
    }

    /// A server for a call; where `well`, only one at which its class does not fail, and that has room.
    fn pick(&self, id: CallId, well: bool, random: &mut Pcg32) -> Route {
        let (call, servers, sets, settings) = (&self.calls[id], &self.servers, &self.sets, &self.settings);
        let no_warm = sets.up.is_empty();
        let may = |p: usize| call.may_go(self.now, &servers[p], settings.clock_tick);
        let new = |p: usize| call.untried(servers[p].id);
        let some_new = call.attempts.is_empty()
            || if no_warm { &sets.cold } else { &sets.up }.iter().any(|p| may(p) && new(p));
        let fits = |p: usize| {
            may(p) && (!some_new || new(p)) && !(well && servers[p].shuns(call.class_id, self.now))
        };
        // Cold ones if there is no other, or if none has room and even parts of all are not too much.
        let all = |s: &Server| (f64::from(s.in_flight) + 0.5) * f64::from(settings.proxy_count);
        let even = |s: &Server| all(s) <= START_CONCURRENCY * s.warmth(self.now, &settings.rules);
        // Each of many balancers would send its own: they have the lot alone.
        let helps = |p: usize| !self.sparse() && (no_warm || sets.room.is_empty() && even(&servers[p]));
        let cold = |p: usize| helps(p) && self.has_room(p) && fits(p);
        if self.sparse() {
            return self.pick_of_few(id, fits, cold, random);
        }
        // A pick at full budget is redrawn among those under it.
        let first = self.of_two(&sets.up, fits, random).filter(|&p| sets.room.contains(p));
        let first = first.or_else(|| self.of_two(&sets.room, fits, random));
        if let Some(server) = first.or_else(|| self.of_two(&sets.cold, cold, random)) {
            return Route::Send { server, trial: false };
        }
        let trial = if well { None } else { self.of_two(&sets.trials, fits, random) };
        trial.map_or(Route::Hold, |server| Route::Send { server, trial: true })
    }

    /// The same for a balancer of little traffic, which keeps to a few servers and may ask them first.
    fn pick_of_few(
        &self,
        id: CallId,
        fits: impl Fn(usize) -> bool,
        cold: impl Fn(usize) -> bool,
        random: &mut Pcg32,
    ) -> Route {
        let (call, servers, sets) = (&self.calls[id], &self.servers, &self.sets);
        // A stable few, more when they were full: they bound connections, and what they show is fresh.
        let most = SUBSET << call.found_full.min(BACKOFF_DOUBLINGS);
        let few = |ranked: &BTreeSet<(u32, usize)>, well: bool| -> Vec<usize> {
            let group = |p: usize| self.groups.get(&(servers[p].zone, servers[p].kind));
            let well = |p: usize| !well || group(p).is_none_or(|g| g.share >= call.chance);
            ranked.iter().map(|r| r.1).filter(|&p| well(p) && fits(p)).take(most).collect()
        };
        // Own zone first, where crossing costs: others' when it has no room, or is strained and they are not.
        let crossing = self.settings.charges.cross_zone > 0.0 && call.found_full == 0;
        let near = if crossing { &sets.near } else { &sets.ranked };
        let mut room = few(near, true);
        if room.is_empty() && sets.up.is_empty() {
            let cold = sets.cold.iter().filter(|&p| cold(p)).map(|p| (servers[p].rank, p)).collect();
            room = few(&cold, false);
        }
        for (ranked, well) in [(&sets.ranked, true), (near, false), (&sets.ranked, false)] {
            room = if room.is_empty() { few(ranked, well) } else { room };
        }
        if room.is_empty() {
            let trial = self.of_two(&sets.trials, fits, random);
            return trial.map_or(Route::Hold, |server| Route::Send { server, trial: true });
        }
        if let Some(servers) = self.ask(id, &room, random) {
            return if servers.is_empty() { Route::Hold } else { Route::Ask { servers } };
        }
        let pair = draw_some(random, &room, 2, |p| servers[p].size);
        self.best(pair).map_or(Route::Hold, |server| Route::Send { server, trial: false })
    }

    /// All balancers hear of a cold server together, and each finds it idle. It gets calls by lot,
    /// with the chance of its present share of the capacity. Repeats draw none: they come in storms.
    fn cold_draw(&mut self, id: CallId) -> Option<usize> {
        let call = self.calls.get_mut(id).filter(|c| c.lot && c.attempts.is_empty())?;
        call.lot = false;
        let (lot, rules, sets) = (self.unit(), self.settings.rules, &self.sets);
        if sets.cold.is_empty() {
            return None;
        }
        let (cold, grown) =
            (sets.cold.total(), sets.cold_ages(self.now) / rules.warm_up_duration.max(1) as f64);
        let present = cold * rules.warm_up_initial_ratio + grown * (1.0 - rules.warm_up_initial_ratio);
        let all = sets.listed.total();
        let chance =
            (COLD_DUTY / (all - cold + present)).min(COLD_BUDGET * rules.warm_up_overload_factor / all);
        if lot >= chance * present {
            return None;
        }
        let warmth = |p: usize| self.servers[p].warmth(self.now, &rules);
        let place = sets.cold.draw(&mut self.random, None, warmth)?;
        self.has_room(place).then_some(place)
    }

    /// The less loaded of two random servers of a set, each drawn with a chance in proportion to its size.
    fn of_two(&self, set: &WeightedSet, fits: impl Fn(usize) -> bool, random: &mut Pcg32) -> Option<usize> {
        self.best(set.draw_two(random, fits))
    }

    /// The less loaded by own calls in flight; what servers told, then the strain expected break ties.
    pub(super) fn best(&self, among: impl IntoIterator<Item = usize>) -> Option<usize> {
        let rules = &self.settings.rules;
        let ties = |s: &Server| (s.load(self.now, rules), self.expected(s));
        among.into_iter().reduce(|a, b| {
            let (one, other) = (&self.servers[a], &self.servers[b]);
            let less = other.in_flight < one.in_flight
                || other.in_flight == one.in_flight && ties(other) < ties(one);
            [a, b][usize::from(less)]
        })
    }

    /// The strain to expect: a server's own of late, its group's the longer ago that was.
    pub(super) fn expected(&self, server: &Server) -> f64 {
        let known = (-(self.now.saturating_sub(server.heard) as f64)
            / (GROUP_AFTER * self.classes.longest_aim()))
        .exp();
        let group = self.groups.get(&(server.zone, server.kind)).map_or(0.0, |g| g.strain);
        server.strain * known + group * (1.0 - known)
    }

    pub(super) fn send(&mut self, id: CallId, place: usize, trial: bool) {
        let (fresh_for, first) = (self.ask_wait(&self.calls[id]), self.first_backoff());
        let server = &mut self.servers[place];
        if let Some(fare) = server.fares.get_mut(&self.calls[id].class_id).filter(|f| f.fails()) {
            fare.back_off(self.now, first);
        }
        let fresh = server.asked != 0 && server.in_hand < f64::MAX && server.asked + fresh_for > self.now;
        let crowd = if fresh { server.load(self.now, &self.settings.rules) } else { 0.0 };
        server.in_flight += 1;
        server.in_hand += 1.0;
        server.budget.trial_out |= trial;
        let tick = self.settings.clock_tick;
        let Some(call) = self.calls.get_mut(id) else { return };
        let by = call.window_end(tick);
        let (server, zone, cell) = (server.id, server.zone, server.cell);
        let (flows, effect) = (false, Effect::Out);
        call.attempts.push(Attempt { server, zone, cell, sent: self.now, trial, crowd, flows, effect });
        let (copies, class_id) = (call.attempts.len(), call.class_id);
        // An answer after the aim is worth little: its server is better used by others.
        let (aim, arrived) = (call.aim_at(), call.arrived);
        let (deadline, usual) =
            (call.deadline, self.classes.usual(class_id, self.calls[id].class.latency_objective));
        let until = (aim < deadline && aim as f64 > self.now as f64 + usual).then_some(aim);
        self.actions.push(Action::Send { call: id, endpoint: server, timeout_at: until, send_before: by });
        // A second copy as late as can be in time, but not before the first is slow.
        let copy_at = (aim as f64 - SPARE_TIMES * usual).max(arrived as f64 + 1.5 * usual);
        let copy =
            copies == 1 && !self.sparse() && self.settings.limits.hedging && copy_at + usual <= aim as f64;
        self.calls.wakes.set(id, copy.then_some((copy_at as Micros).max(self.now + 1)));
        self.goes_out();
        self.refile(place);
    }
}
