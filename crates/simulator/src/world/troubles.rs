//! The list and its news, and what goes wrong.

use super::*;

impl Simulation<'_> {
    /// News of a server goes to all proxies.
    pub(super) fn tell(&mut self, server: usize, state: EndpointState) {
        let delay = self.scenario.discovery.delay;
        let started = self.servers[server].started;
        for proxy in 0..self.proxies.len() {
            let delay = jitter(delay, 0.5, &mut self.fleet);
            self.queue.after(delay, SimEvent::News { proxy, server, state, started });
        }
    }

    pub(super) fn news(&mut self, proxy: usize, server: usize, state: EndpointState, started: Micros) {
        let now = self.now();
        let told = &mut self.proxies[proxy].told;
        if told.len() <= server {
            told.resize(server + 1, None);
        }
        // News that overtake others are not taken back by them.
        if told[server].is_some_and(|(old, since, _)| {
            since > started || since == started && old == EndpointState::Removed
        }) {
            return;
        }
        let since = match told[server] {
            Some((old, _, since)) if old != EndpointState::Ready && state != EndpointState::Ready => since,
            _ => now,
        };
        told[server] = Some((state, started, since));
        let entries = vec![self.entry(server, state, started)];
        self.event(proxy, Event::EndpointList { kind: ListUpdateKind::Delta, endpoints: entries });
    }

    /// A machine goes, and another comes in its place, cold.
    pub(super) fn replace(&mut self, place: usize) {
        let now = self.now();
        self.fall(place);
        self.tell(place, EndpointState::Removed);
        let zone = self.servers[place].zone;
        self.servers.push(Server::new(&self.scenario.server, zone, now));
        self.look();
        self.tell(self.servers.len() - 1, EndpointState::Ready);
    }

    /// What the ceiling's policies see.
    pub(super) fn look(&mut self) {
        let now = self.queue.now();
        let truth = self.servers.iter().map(|server| ServerState {
            backlog: server.backlog(),
            capacity: server.capacity(now),
            serves: server.serves() && !server.draining && !server.health.hangs && server.holds_more(),
            zone: ZoneId(server.zone as u32),
        });
        self.truth.clear();
        self.truth.extend(truth);
    }

    /// The servers that a trouble meets.
    pub(super) fn met(&mut self, spec: &FaultSpec) -> Vec<usize> {
        let zone = spec.zone.as_ref().and_then(|zone| self.scenario.zones.iter().position(|z| z == zone));
        let running = (0..self.servers.len()).filter(|&s| self.servers[s].up && !self.servers[s].draining);
        let mut met: Vec<usize> =
            running.filter(|&s| zone.is_none_or(|z| self.servers[s].zone == z)).collect();
        if zone.is_none() {
            let count = (met.len() as f64 * spec.part).round() as usize;
            met.shuffle(&mut self.faults);
            met.truncate(count);
        }
        met
    }

    pub(super) fn begin(&mut self, trouble: usize) {
        let spec = self.scenario.events[trouble].clone();
        match spec.what {
            FaultKind::Surge => {
                self.surge *= spec.factor;
                self.queue.after(spec.lasts, SimEvent::Finish { trouble, server: 0 });
                return;
            }
            FaultKind::Herd => return self.herd(&spec),
            FaultKind::Release => {
                let met = self.met(&spec);
                let step = spec.lasts / met.len().max(1) as Micros;
                for (place, server) in met.into_iter().enumerate() {
                    self.queue.after(step * place as Micros, SimEvent::Drain { server });
                }
                return;
            }
            _ => {}
        }
        let now = self.now();
        for server in self.met(&spec) {
            let health = &mut self.servers[server].health;
            match spec.what {
                FaultKind::Slow => {
                    self.servers[server].advance(now);
                    self.servers[server].health.slow = spec.factor;
                    self.servers[server].version += 1;
                }
                FaultKind::Hang => {
                    self.servers[server].advance(now);
                    self.servers[server].health.hangs = true;
                    self.servers[server].version += 1;
                }
                FaultKind::Error => health.errors = true,
                FaultKind::Reset => health.resets = true,
                FaultKind::Silent => health.silent = true,
                _ => {
                    self.fall(server);
                    self.tell(server, EndpointState::Removed);
                }
            }
            self.foresee(server);
            self.queue.after(spec.lasts, SimEvent::Finish { trouble, server });
        }
    }

    pub(super) fn finish(&mut self, trouble: usize, server: usize) {
        let now = self.now();
        match self.scenario.events[trouble].what {
            FaultKind::Surge => self.surge /= self.scenario.events[trouble].factor,
            FaultKind::Crash => {
                self.servers[server].restart(now);
                self.tell(server, EndpointState::Ready);
            }
            _ if self.scenario.events[trouble].cold => {
                self.fall(server);
                self.servers[server].restart(now);
                self.tell(server, EndpointState::Ready);
            }
            _ => {
                self.servers[server].advance(now);
                self.servers[server].health = Default::default();
                self.servers[server].version += 1;
                self.foresee(server);
            }
        }
    }

    /// Client proxies die at once and start again from what they were told.
    pub(super) fn herd(&mut self, spec: &FaultSpec) {
        let mut all: Vec<usize> = (0..self.proxies.len()).collect();
        all.shuffle(&mut self.faults);
        all.truncate((self.proxies.len() as f64 * spec.part).round() as usize);
        for &number in &all {
            for call in 0..self.calls.len() {
                if self.calls[call].proxy != number || !self.calls[call].open {
                    continue;
                }
                self.calls[call].open = false;
                for attempt in self.calls[call].attempts.clone() {
                    self.abandon(attempt);
                    self.attempts[attempt].outcome.get_or_insert(Outcome::Unknown);
                }
                let request = self.calls[call].request;
                let free = self.scenario.classes[self.requests[request].class].idempotency == IdempotencySpec::Free;
                self.unserved(request, free, 0, RequestOutcome::Failed);
            }
        }
        for number in all {
            self.servers.iter_mut().for_each(|server| server.forget(number));
            let seed = self.fleet.gen::<u64>() ^ chance::policy_seed(self.seed, number);
            let proxy = &mut self.proxies[number];
            proxy.life += 1;
            proxy.events.clear();
            proxy.policy = (self.make)(seed, &site::settings(self.scenario, proxy.zone));
            self.start(number, ListUpdateKind::Cached);
        }
    }
}
