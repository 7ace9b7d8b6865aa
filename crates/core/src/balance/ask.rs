//! Asking servers for their load: a balancer of little traffic knows nothing fresh of nearly all.

use super::state::*;
use crate::weighted::draw_some;

/// Points of the result that asking servers for their load may cost, and the most servers asked for a call.
const ASK_POINTS: f64 = 0.02;
/// Share of its aim that a call waits for the answers.
const ASK_WAIT: f64 = 0.05;
/// Share of its aim that a call may be expected to take where it goes: more in hand there is a full budget.
const CROWD_AIM: f64 = 0.3;

impl Balancer {
    /// Servers to ask before this call goes: a balancer of little traffic knows nothing fresh of nearly all.
    pub(super) fn ask(&self, id: CallId, room: &[usize], random: &mut Pcg32) -> Option<Vec<usize>> {
        let (limits, reports) = (self.settings.limits, self.settings.load_reporting);
        let told =
            limits.load_polling && reports.delivery == ReportDelivery::OnPoll && reports.includes_in_flight;
        let most = (ASK_POINTS / self.settings.charges.load_poll.max(f64::MIN_POSITIVE)) as usize;
        let call = &self.calls[id];
        let usual = self.classes.usual(call.class_id, call.class.latency_objective);
        let in_time = (self.now + self.ask_wait(call)) as f64 + usual < call.aim_at() as f64;
        if !told || !self.sparse() || most < 2 || !in_time {
            // What has found all full does not go blindly in the end.
            return (call.found_full > 0).then(Vec::new);
        }
        // Half full, all calls ask. An idle fleet needs less; some ask all the same, to learn when that ends.
        if call.found_full == 0 && call.chance > (self.pressure * 2.0).powi(2).max(SMOOTHING) {
            return None;
        }
        let most = if call.ask_next > self.now { 0 } else { most.min(ASK_MOST) };
        Some(draw_some(random, room, most, |p| self.servers[p].size))
    }

    pub(super) fn start_asking(&mut self, id: CallId, servers: &[usize]) {
        let wake = self.now + self.ask_wait(&self.calls[id]);
        let Some(call) = self.calls.get_mut(id) else { return };
        (call.asks, call.asks_at) = (servers.iter().map(|&i| self.servers[i].id).collect(), self.now);
        self.actions.extend(call.asks.iter().map(|&server| Action::PollLoad { endpoint: server }));
        self.asking.push(id);
        self.calls.wakes.set(id, Some(wake));
    }

    /// A server told its load, or did not answer: then it is taken for the most loaded.
    pub(crate) fn probed(&mut self, id: EndpointId, outcome: Outcome, load: LoadReport) {
        let Some(place) = self.servers.place(id) else { return };
        let told = load.in_flight.filter(|l| outcome == Outcome::Served && l.is_finite());
        let server = &mut self.servers[place];
        (server.in_hand, server.asked) = (told.map_or(f64::MAX, |l| l.max(0.0)), self.now);
        for call in std::mem::take(&mut self.asking) {
            let Some(c) = self.calls.get(call).filter(|c| !c.asks.is_empty()) else { continue };
            let waits =
                |&id: &EndpointId| self.servers.place(id).is_some_and(|p| self.servers[p].asked < c.asks_at);
            if c.asks.iter().any(waits) {
                self.asking.push(call);
            } else {
                self.decide(call);
            }
        }
    }

    /// The servers asked have told their load, or time is up: the call goes to the less loaded.
    pub(super) fn decide(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(id) else { return };
        let (asked, since) = (std::mem::take(&mut call.asks), call.asks_at);
        let (rules, tick, most) = (self.settings.rules, self.settings.clock_tick, self.crowd_limit(id));
        let mut places = Vec::new();
        for server in asked {
            let Some(place) = self.servers.place(server) else { continue };
            let server = &mut self.servers[place];
            if server.asked < since {
                (server.in_hand, server.asked) = (f64::MAX, self.now);
            }
            let (server, load) = (&self.servers[place], self.servers[place].load(self.now, &rules));
            let held = server.in_hand / (server.in_hand + 1.0);
            self.pressure += ((held * load / most).min(1.0) - self.pressure) * SMOOTHING;
            // What all balancers hold there counts against the budget of all: else each adds its one call.
            let room = !server.full(self.now, &rules) && (load <= most || server.in_hand < 1.0);
            if room && server.usable(self.now) && self.calls[id].may_go(self.now, server, tick) {
                places.push(place);
            }
        }
        match self.best(places) {
            Some(server) => self.send(id, server, false),
            None if self.calls[id].out() > 0 => {}
            None => {
                let wait = self.ask_wait(&self.calls[id]);
                if let Some(call) = self.calls.get_mut(id) {
                    call.ask_next = self.now + (wait << call.found_full.min(BACKOFF_DOUBLINGS));
                    call.found_full += 1;
                }
                self.enqueue(id, true);
            }
        }
    }

    /// Calls in hand for a server's size at which this call would take too long, learned from all servers'
    /// answers as one. It starts as if some had shown the start figure: all come before it is learned.
    pub(super) fn crowd_limit(&self, id: CallId) -> f64 {
        let listed = &self.sets.listed;
        let start = START_CONCURRENCY * listed.len() as f64 / listed.total().max(f64::MIN_POSITIVE);
        let aim = self.calls[id].class.latency_objective as f64 * CROWD_AIM;
        let (time, crowd) = (self.told.0 + aim / SMOOTHING, self.told.1 + start / SMOOTHING);
        aim * crowd / time.max(1.0)
    }

    pub(super) fn ask_wait(&self, call: &Call) -> Micros {
        ((call.class.latency_objective as f64 * ASK_WAIT) as Micros).max(self.settings.clock_tick)
    }
}
