//! The client proxies: what their policies are told, and what comes of what they say.

use super::*;

impl Simulation<'_> {
    pub(super) fn start_policy(&mut self, proxy: usize, kind: ListUpdateKind) {
        self.deliver_event(proxy, Event::Start);
        let told = &self.proxies[proxy].known_servers;
        let known = told.iter().enumerate().filter_map(|(server, told)| {
            let (state, started, _) = (*told)?;
            (state != EndpointState::Removed).then(|| self.endpoint_info(server, state, started))
        });
        let entries = known.collect();
        self.deliver_event(proxy, Event::EndpointList { kind, endpoints: entries });
    }

    pub(super) fn endpoint_info(&self, server: usize, state: EndpointState, started: Micros) -> EndpointInfo {
        let zone = ZoneId(self.servers[server].zone as u32);
        EndpointInfo {
            id: EndpointId(server as u32),
            state,
            zone,
            started_at: started,
            weight: 1.0,
            ..EndpointInfo::default()
        }
    }

    /// Hands an event to a proxy's policy and carries out what it says.
    pub(super) fn deliver_event(&mut self, proxy: usize, event: Event) {
        self.proxies[proxy].pending_events.push_back(event);
        // What an action brings at once waits until the actions before it are carried out.
        if std::mem::replace(&mut self.applying_actions, true) {
            return;
        }
        while let Some(event) = self.proxies[proxy].pending_events.pop_front() {
            if self.visibility == Visibility::Current {
                self.refresh_server_states();
            }
            let mut actions = std::mem::take(&mut self.actions);
            self.proxies[proxy].policy.handle(self.queue.now(), event, &self.server_states, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(proxy, action);
            }
            self.actions = actions;
        }
        self.applying_actions = false;
    }

    pub(super) fn apply_action(&mut self, proxy: usize, action: Action) {
        match action {
            Action::Send { call, endpoint: server, timeout_at: until, .. } => {
                self.send(proxy, call, server, until)
            }
            Action::Reject { call, retry_after } => self.answer_unserved(proxy, call, Some(retry_after)),
            Action::Fail { call } => self.answer_unserved(proxy, call, None),
            Action::Cancel { call, attempt } => {
                let attempts = self.calls.get(call.0 as usize).map(|c| &c.attempts);
                let Some(&number) = attempts.and_then(|a| a.get(attempt as usize)) else { return };
                self.cancel_at_server(number);
                self.record_outcome(number, Outcome::Cancelled);
            }
            Action::SetTimer { after } => {
                let life = self.proxies[proxy].incarnation;
                self.queue.schedule_after(after, SimEvent::PolicyTimer { proxy, incarnation: life });
            }
            // A site without probes, and with a list that comes by itself.
            Action::PollLoad { endpoint: server } => {
                self.proxies[proxy].pending_events.push_back(Event::LoadPolled {
                    endpoint: server,
                    outcome: Outcome::NotSent,
                    elapsed: 0,
                    load: LoadReport::default(),
                })
            }
            Action::PollEndpointList | Action::Log(_) => {}
        }
    }

    /// The proxy's final answer that serves nobody.
    pub(super) fn answer_unserved(&mut self, proxy: usize, id: CallId, refused: Option<Micros>) {
        let at = self.now() - START_US;
        let Some(call) = self.calls.get_mut(id.0 as usize).filter(|c| c.proxy == proxy) else { return };
        if !std::mem::replace(&mut call.open, false) {
            return self.judge.record_violation("a second final answer", at, proxy, Some(id), None);
        }
        let request = call.request;
        let outcomes = call.attempts.iter().map(|&a| self.attempts[a].outcome);
        let class = self.requests[request].class;
        let harmless = self.judge.repeat_is_safe(class, outcomes);
        if refused.is_some() && !harmless {
            self.judge.record_violation("refused though it may have run", at, proxy, Some(id), None);
        }
        match refused {
            Some(told) => self.try_ended_unserved(request, true, told, RequestOutcome::Refused),
            None => {
                let free = self.scenario.classes[class].idempotency == IdempotencySpec::Idempotent;
                self.try_ended_unserved(request, free, 0, RequestOutcome::Failed);
            }
        }
    }

    /// The client's time is up and it has no answer: the rule on lost requests is broken.
    pub(super) fn check_answered(&mut self, number: usize) {
        let at = self.now() - START_US;
        let call = &mut self.calls[number];
        if std::mem::replace(&mut call.open, false) {
            let (proxy, request) = (call.proxy, call.request);
            self.judge.record_violation("no answer in time", at, proxy, Some(CallId(number as u64)), None);
            self.finish_request(request, RequestOutcome::Failed);
        }
    }

    pub(super) fn send(&mut self, proxy: usize, id: CallId, server: EndpointId, until: Option<Micros>) {
        let (now, place) = (self.now(), server.0 as usize);
        let at = now - START_US;
        let Some(call) = self.calls.get(id.0 as usize).filter(|c| c.proxy == proxy) else { return };
        let (open, deadline) = (call.open, call.deadline);
        let class = self.requests[call.request].class;
        let mut outcomes = call.attempts.iter().map(|&a| self.attempts[a].outcome);
        let harmless = self.judge.repeat_is_safe(class, &mut outcomes);
        let rule = match self.proxies[proxy].known_servers.get(place).copied().flatten() {
            None => Some("sent to a server that no list named"),
            Some((state, _, since))
                if state != EndpointState::Ready && now > since + self.scenario.discovery.drain_grace =>
            {
                Some("sent to a server past its drain window")
            }
            _ if !open => Some("sent after the final answer"),
            _ if !harmless => Some("sent again though it may have run"),
            _ => None,
        };
        if let Some(rule) = rule {
            self.judge.record_violation(rule, at, proxy, Some(id), Some(server));
        }
        let until = until.unwrap_or(Micros::MAX).min(deadline);
        let number = self.attempts.len();
        let call = &mut self.calls[id.0 as usize];
        let (sent, reached, linked) = (now, false, false);
        let attempt = Attempt {
            call: id.0 as usize,
            number: call.attempts.len() as u32,
            server: place,
            sent_at: sent,
            timeout_at: until,
            reached_server: reached,
            outcome: None,
            has_connection: linked,
        };
        call.attempts.push(number);
        self.attempts.push(attempt);
        if place >= self.servers.len() || !open || until <= now {
            return self.record_outcome(number, Outcome::NotSent);
        }
        self.judge.attempts += 1;
        self.judge.cross_zone_attempts += u64::from(self.servers[place].zone != self.proxies[proxy].zone);
        self.queue.schedule_at(until, SimEvent::Timeout { attempt: number });
        self.connect(number, proxy, place);
    }

    pub(super) fn connect(&mut self, number: usize, proxy: usize, place: usize) {
        let (now, way) = (self.now(), self.one_way_delay(proxy, place));
        let server = &mut self.servers[place];
        if server.health.unreachable {
            // It never comes up.
            let connect_timeout = self.scenario.network.connect_timeout;
            let outcome = Outcome::ConnectFailed;
            return self
                .queue
                .schedule_after(connect_timeout, SimEvent::OutcomeArrives { attempt: number, outcome });
        }
        let link =
            if server.up && !server.cold_overloaded { server.acquire_connection(now, proxy) } else { None };
        let Some(kept) = link else {
            let outcome = Outcome::ConnectFailed;
            return self.queue.schedule_after(2 * way, SimEvent::OutcomeArrives { attempt: number, outcome });
        };
        self.attempts[number].has_connection = true;
        self.judge.handshakes += u64::from(!kept);
        let way = if kept { way } else { 3 * way };
        self.queue.schedule_after(way, SimEvent::RequestArrives { attempt: number });
    }

    /// One way between a proxy and a server, as it is this time.
    pub(super) fn one_way_delay(&mut self, proxy: usize, server: usize) -> Micros {
        let network = &self.scenario.network;
        let near = self.proxies[proxy].zone == self.servers[server].zone;
        jitter(
            if near { network.delay_within_zone } else { network.delay_across_zones },
            network.jitter,
            &mut self.noise_rng,
        )
    }

    /// An answer, or what stands for it, reaches the proxy.
    pub(super) fn outcome_arrives(&mut self, number: usize, outcome: Outcome) {
        let Attempt { server, call, .. } = self.attempts[number];
        if self.servers[server].health.unreachable && outcome != Outcome::ConnectFailed {
            // Lost on the way; the proxy's own time ends it.
            return;
        }
        if self.attempts[number].outcome.is_some() {
            if outcome == Outcome::Served {
                let request = self.calls[call].request;
                self.judge.wasted_work += self.requests[request].work;
            }
            return;
        }
        self.record_outcome(number, outcome);
    }

    pub(super) fn timeout(&mut self, number: usize) {
        if self.attempts[number].outcome.is_none() {
            let outcome =
                if self.attempts[number].reached_server { Outcome::TimedOut } else { Outcome::ConnectFailed };
            self.cancel_at_server(number);
            self.record_outcome(number, outcome);
        }
    }

    /// The proxy closes the connection of an attempt: its server hears of it.
    pub(super) fn cancel_at_server(&mut self, number: usize) {
        let Attempt { call, server, outcome, .. } = self.attempts[number];
        if outcome.is_none() && server < self.servers.len() {
            let way = self.one_way_delay(self.calls[call].proxy, server);
            self.queue.schedule_after(way, SimEvent::CancelArrives { attempt: number });
        }
    }

    /// The first outcome of an attempt, which its proxy is told.
    pub(super) fn record_outcome(&mut self, number: usize, outcome: Outcome) {
        let now = self.now();
        let attempt = &mut self.attempts[number];
        if attempt.outcome.is_some() {
            return;
        }
        attempt.outcome = Some(outcome);
        let (id, elapsed, server) = (attempt.call, now - attempt.sent_at, attempt.server);
        let (attempt_number, linked) = (attempt.number, attempt.has_connection);
        let Call { proxy, request, open, .. } = self.calls[id];
        if linked {
            let keep = matches!(outcome, Outcome::Served | Outcome::Error | Outcome::Rejected);
            self.servers[server].release_connection(now, proxy, keep);
        }
        if outcome == Outcome::Served {
            if open {
                self.calls[id].open = false;
                self.finish_request(request, RequestOutcome::Served(now - self.requests[request].arrived_at));
            } else {
                self.judge.wasted_work += self.requests[request].work;
            }
        }
        let closed = !self.calls[id].open;
        let call = CallId(id as u64);
        let load = LoadReport::default();
        let event = Event::AttemptEnded {
            call,
            attempt: attempt_number,
            outcome,
            elapsed,
            call_closed: closed,
            load,
        };
        self.deliver_event(proxy, event);
    }
}
