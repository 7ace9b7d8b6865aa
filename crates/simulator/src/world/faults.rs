//! The list and its news, and what goes wrong.

use super::*;

impl Simulation<'_> {
    /// News of a server goes to all proxies.
    pub(super) fn publish(&mut self, server: usize, state: EndpointState) {
        let delay = self.scenario.discovery.delay;
        let started = self.servers[server].started;
        for proxy in 0..self.proxies.len() {
            let delay = jitter(delay, 0.5, &mut self.fleet_rng);
            self.queue.schedule_after(delay, SimEvent::ListUpdate { proxy, server, state, started });
        }
    }

    pub(super) fn list_update_arrives(
        &mut self,
        proxy: usize,
        server: usize,
        state: EndpointState,
        started: Micros,
    ) {
        let now = self.now();
        let told = &mut self.proxies[proxy].known_servers;
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
        let entries = vec![self.endpoint_info(server, state, started)];
        self.deliver_event(proxy, Event::EndpointList { kind: ListUpdateKind::Delta, endpoints: entries });
    }

    /// A machine goes, and another comes in its place, cold.
    pub(super) fn replace(&mut self, place: usize) {
        let now = self.now();
        self.stop_server(place);
        self.publish(place, EndpointState::Removed);
        let zone = self.servers[place].zone;
        self.servers.push(Server::new(&self.scenario.server, zone, now));
        self.refresh_server_states();
        self.publish(self.servers.len() - 1, EndpointState::Ready);
    }

    /// What the ceiling's policies see.
    pub(super) fn refresh_server_states(&mut self) {
        let now = self.queue.now();
        let truth = self.servers.iter().map(|server| ServerState {
            backlog: server.backlog(),
            capacity: server.capacity(now),
            available: server.is_available()
                && !server.draining
                && !server.health.hung
                && server.accepts_connection(),
            zone: ZoneId(server.zone as u32),
        });
        self.server_states.clear();
        self.server_states.extend(truth);
    }

    /// The servers that a trouble meets.
    pub(super) fn affected_servers(&mut self, spec: &FaultSpec) -> Vec<usize> {
        let zone = spec.zone.as_ref().and_then(|zone| self.scenario.zones.iter().position(|z| z == zone));
        let running = (0..self.servers.len()).filter(|&s| self.servers[s].up && !self.servers[s].draining);
        let mut met: Vec<usize> =
            running.filter(|&s| zone.is_none_or(|z| self.servers[s].zone == z)).collect();
        if zone.is_none() {
            let count = (met.len() as f64 * spec.share).round() as usize;
            met.shuffle(&mut self.fault_rng);
            met.truncate(count);
        }
        met
    }

    pub(super) fn begin_fault(&mut self, trouble: usize) {
        let spec = self.scenario.events[trouble].clone();
        match spec.kind {
            FaultKind::Surge => {
                self.surge_factor *= spec.factor;
                self.queue.schedule_after(spec.duration, SimEvent::FaultEnds { fault: trouble, server: 0 });
                return;
            }
            FaultKind::Herd => return self.restart_proxies(&spec),
            FaultKind::Release => {
                let met = self.affected_servers(&spec);
                let step = spec.duration / met.len().max(1) as Micros;
                for (place, server) in met.into_iter().enumerate() {
                    self.queue.schedule_after(step * place as Micros, SimEvent::Drain { server });
                }
                return;
            }
            _ => {}
        }
        let now = self.now();
        for server in self.affected_servers(&spec) {
            let health = &mut self.servers[server].health;
            match spec.kind {
                FaultKind::Slow => {
                    self.servers[server].advance(now);
                    self.servers[server].health.slowdown_factor = spec.factor;
                    self.servers[server].version += 1;
                }
                FaultKind::Hang => {
                    self.servers[server].advance(now);
                    self.servers[server].health.hung = true;
                    self.servers[server].version += 1;
                }
                FaultKind::Error => health.errors = true,
                FaultKind::Reset => health.resets = true,
                FaultKind::Silent => health.unreachable = true,
                _ => {
                    self.stop_server(server);
                    self.publish(server, EndpointState::Removed);
                }
            }
            self.schedule_server_end(server);
            self.queue.schedule_after(spec.duration, SimEvent::FaultEnds { fault: trouble, server });
        }
    }

    pub(super) fn end_fault(&mut self, trouble: usize, server: usize) {
        let now = self.now();
        match self.scenario.events[trouble].kind {
            FaultKind::Surge => self.surge_factor /= self.scenario.events[trouble].factor,
            FaultKind::Crash => {
                self.servers[server].restart(now);
                self.publish(server, EndpointState::Ready);
            }
            _ if self.scenario.events[trouble].restart_cold => {
                self.stop_server(server);
                self.servers[server].restart(now);
                self.publish(server, EndpointState::Ready);
            }
            _ => {
                self.servers[server].advance(now);
                self.servers[server].health = Default::default();
                self.servers[server].version += 1;
                self.schedule_server_end(server);
            }
        }
    }

    /// Client proxies die at once and start again from what they were told.
    pub(super) fn restart_proxies(&mut self, spec: &FaultSpec) {
        let mut all: Vec<usize> = (0..self.proxies.len()).collect();
        all.shuffle(&mut self.fault_rng);
        all.truncate((self.proxies.len() as f64 * spec.share).round() as usize);
        for &number in &all {
            for call in 0..self.calls.len() {
                if self.calls[call].proxy != number || !self.calls[call].open {
                    continue;
                }
                self.calls[call].open = false;
                for attempt in self.calls[call].attempts.clone() {
                    self.cancel_at_server(attempt);
                    self.attempts[attempt].outcome.get_or_insert(Outcome::Unknown);
                }
                let request = self.calls[call].request;
                let free = self.scenario.classes[self.requests[request].class].idempotency
                    == IdempotencySpec::Idempotent;
                self.try_ended_unserved(request, free, 0, RequestOutcome::Failed);
            }
        }
        for number in all {
            self.servers.iter_mut().for_each(|server| server.drop_connections(number));
            let seed = self.fleet_rng.gen::<u64>() ^ random::policy_seed(self.seed, number);
            let proxy = &mut self.proxies[number];
            proxy.incarnation += 1;
            proxy.pending_events.clear();
            proxy.policy = (self.make_policy)(seed, &site::settings(self.scenario, proxy.zone));
            self.start_policy(number, ListUpdateKind::Cached);
        }
    }
}
