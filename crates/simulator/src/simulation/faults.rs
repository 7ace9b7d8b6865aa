//! List updates and faults.

use super::*;

impl Simulation<'_> {
    /// Sends the state of a server to all proxies, each after a delay of its own.
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
        let known = &mut self.proxies[proxy].known_servers;
        if known.len() <= server {
            known.resize(server + 1, None);
        }
        // Updates can overtake each other: one that is older than the known state is ignored.
        if known[server].is_some_and(|(known_state, known_started, _)| {
            known_started > started || known_started == started && known_state == EndpointState::Removed
        }) {
            return;
        }
        let since = match known[server] {
            Some((known_state, _, since))
                if known_state != EndpointState::Ready && state != EndpointState::Ready =>
            {
                since
            }
            _ => now,
        };
        known[server] = Some((state, started, since));
        let entries = vec![self.endpoint_info(server, state, started)];
        self.deliver_event(proxy, Event::EndpointList { kind: ListUpdateKind::Delta, endpoints: entries });
    }

    /// Removes a server and adds a cold one in its zone.
    pub(super) fn replace(&mut self, server: usize) {
        let now = self.now();
        self.stop_server(server);
        self.publish(server, EndpointState::Removed);
        let zone = self.servers[server].zone;
        self.servers.push(Server::new(&self.scenario.server, zone, now));
        self.refresh_server_states();
        self.publish(self.servers.len() - 1, EndpointState::Ready);
    }

    /// Updates the server state that the ceiling policies see.
    pub(super) fn refresh_server_states(&mut self) {
        let now = self.queue.now();
        let states = self.servers.iter().map(|server| ServerState {
            backlog: server.backlog(),
            capacity: server.capacity(now),
            available: server.is_available()
                && !server.draining
                && !server.health.hung
                && server.accepts_connection(),
            zone: ZoneId(server.zone as u32),
        });
        self.server_states.clear();
        self.server_states.extend(states);
    }

    /// Draws the servers that a fault affects.
    pub(super) fn affected_servers(&mut self, spec: &FaultSpec) -> Vec<usize> {
        let zone = spec.zone.as_ref().and_then(|zone| self.scenario.zones.iter().position(|z| z == zone));
        let running = (0..self.servers.len()).filter(|&s| self.servers[s].up && !self.servers[s].draining);
        let mut affected: Vec<usize> =
            running.filter(|&s| zone.is_none_or(|z| self.servers[s].zone == z)).collect();
        if zone.is_none() {
            let count = (affected.len() as f64 * spec.share).round() as usize;
            affected.shuffle(&mut self.fault_rng);
            affected.truncate(count);
        }
        affected
    }

    pub(super) fn begin_fault(&mut self, fault: usize) {
        let spec = self.scenario.events[fault].clone();
        match spec.kind {
            FaultKind::Surge => {
                self.surge_factor *= spec.factor;
                self.queue.schedule_after(spec.duration, SimEvent::FaultEnds { fault, server: 0 });
                return;
            }
            FaultKind::Herd => return self.restart_proxies(&spec),
            FaultKind::Release => {
                let affected = self.affected_servers(&spec);
                let step = spec.duration / affected.len().max(1) as Micros;
                for (index, server) in affected.into_iter().enumerate() {
                    self.queue.schedule_after(step * index as Micros, SimEvent::Drain { server });
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
            self.queue.schedule_after(spec.duration, SimEvent::FaultEnds { fault, server });
        }
    }

    pub(super) fn end_fault(&mut self, fault: usize, server: usize) {
        let now = self.now();
        match self.scenario.events[fault].kind {
            FaultKind::Surge => self.surge_factor /= self.scenario.events[fault].factor,
            FaultKind::Crash => {
                self.servers[server].restart(now);
                self.publish(server, EndpointState::Ready);
            }
            _ if self.scenario.events[fault].restart_cold => {
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

    /// Restarts client proxies at the same time; their calls are lost, and their new policies start from the list that
    /// they last had.
    pub(super) fn restart_proxies(&mut self, spec: &FaultSpec) {
        let mut affected: Vec<usize> = (0..self.proxies.len()).collect();
        affected.shuffle(&mut self.fault_rng);
        affected.truncate((self.proxies.len() as f64 * spec.share).round() as usize);
        for &proxy in &affected {
            for call in 0..self.calls.len() {
                if self.calls[call].proxy != proxy || !self.calls[call].open {
                    continue;
                }
                self.calls[call].open = false;
                for attempt in self.calls[call].attempts.clone() {
                    self.cancel_at_server(attempt);
                    self.attempts[attempt].outcome.get_or_insert(Outcome::Unknown);
                }
                let request = self.calls[call].request;
                let may_retry = self.scenario.classes[self.requests[request].class].idempotency
                    == IdempotencySpec::Idempotent;
                self.try_ended_unserved(request, may_retry, 0, RequestOutcome::Failed);
            }
        }
        for proxy in affected {
            self.servers.iter_mut().for_each(|server| server.drop_connections(proxy));
            let seed = self.fleet_rng.gen::<u64>() ^ random::policy_seed(self.seed, proxy);
            let state = &mut self.proxies[proxy];
            state.incarnation += 1;
            state.pending_events.clear();
            state.policy = (self.make_policy)(seed, &site::settings(self.scenario, state.zone));
            self.start_policy(proxy, ListUpdateKind::Cached);
        }
    }
}
