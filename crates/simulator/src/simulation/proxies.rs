//! Client proxies: events for their policies, the resulting actions, and outcomes of attempts.

use super::*;

impl Simulation<'_> {
    pub(super) fn start_policy(&mut self, proxy: usize, kind: ListUpdateKind) {
        self.deliver_event(proxy, Event::Start);
        let known = &self.proxies[proxy].known_servers;
        let listed_servers = known.iter().enumerate().filter_map(|(server, listed)| {
            let (state, started, _) = (*listed)?;
            (state != EndpointState::Removed).then(|| self.endpoint_info(server, state, started))
        });
        let entries = listed_servers.collect();
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

    /// Delivers an event to a proxy's policy and applies the resulting actions.
    pub(super) fn deliver_event(&mut self, proxy: usize, event: Event) {
        self.proxies[proxy].pending_events.push_back(event);
        // An event caused by an action is queued until all actions of the current event are applied.
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
            Action::Send { call, endpoint: server, timeout_at, .. } => {
                self.send(proxy, call, server, timeout_at)
            }
            Action::Reject { call, retry_after } => self.answer_unserved(proxy, call, Some(retry_after)),
            Action::Fail { call } => self.answer_unserved(proxy, call, None),
            Action::Cancel { call, attempt } => {
                let attempts = self.calls.get(call.0 as usize).map(|c| &c.attempts);
                let Some(&attempt) = attempts.and_then(|a| a.get(attempt as usize)) else { return };
                self.cancel_at_server(attempt);
                self.record_outcome(attempt, Outcome::Cancelled);
            }
            Action::SetTimer { after } => {
                let incarnation = self.proxies[proxy].incarnation;
                self.queue.schedule_after(after, SimEvent::PolicyTimer { proxy, incarnation });
            }
            // The simulated site supports no load polls, and pushes its list updates.
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

    /// Answers a call unserved: rejected with a Retry-After, or failed if that is `None`.
    pub(super) fn answer_unserved(&mut self, proxy: usize, id: CallId, retry_after: Option<Micros>) {
        let at = self.now() - START_US;
        let Some(call) = self.calls.get_mut(id.0 as usize).filter(|c| c.proxy == proxy) else { return };
        if !std::mem::replace(&mut call.open, false) {
            return self.judge.record_violation("call answered twice", at, proxy, Some(id), None);
        }
        let request = call.request;
        let outcomes = call.attempts.iter().map(|&a| self.attempts[a].outcome);
        let class = self.requests[request].class;
        let repeat_is_safe = self.judge.repeat_is_safe(class, outcomes);
        if retry_after.is_some() && !repeat_is_safe {
            self.judge.record_violation(
                "non-idempotent call rejected although it may have run",
                at,
                proxy,
                Some(id),
                None,
            );
        }
        match retry_after {
            Some(retry_after) => {
                self.try_ended_unserved(request, true, retry_after, RequestOutcome::Rejected)
            }
            None => {
                let may_retry = self.scenario.classes[class].idempotency == IdempotencySpec::Idempotent;
                self.try_ended_unserved(request, may_retry, 0, RequestOutcome::Failed);
            }
        }
    }

    /// Records a violation if the call is still open at its deadline plus the slack.
    pub(super) fn check_answered(&mut self, call: usize) {
        let at = self.now() - START_US;
        let open_call = &mut self.calls[call];
        if std::mem::replace(&mut open_call.open, false) {
            let proxy = open_call.proxy;
            let request = open_call.request;
            self.judge.record_violation(
                "call not answered by its deadline",
                at,
                proxy,
                Some(CallId(call as u64)),
                None,
            );
            self.finish_request(request, RequestOutcome::Failed);
        }
    }

    pub(super) fn send(&mut self, proxy: usize, id: CallId, server: EndpointId, timeout_at: Option<Micros>) {
        let now = self.now();
        let server_index = server.0 as usize;
        let at = now - START_US;
        let Some(call) = self.calls.get(id.0 as usize).filter(|c| c.proxy == proxy) else { return };
        let open = call.open;
        let deadline = call.deadline;
        let class = self.requests[call.request].class;
        let mut outcomes = call.attempts.iter().map(|&a| self.attempts[a].outcome);
        let repeat_is_safe = self.judge.repeat_is_safe(class, &mut outcomes);
        let rule = match self.proxies[proxy].known_servers.get(server_index).copied().flatten() {
            None => Some("attempt sent to an unlisted server"),
            Some((state, _, since))
                if state != EndpointState::Ready && now > since + self.scenario.discovery.drain_grace =>
            {
                Some("attempt sent to a server after its drain grace")
            }
            _ if !open => Some("attempt sent after the call was answered"),
            _ if !repeat_is_safe => Some("non-idempotent call retried although it may have run"),
            _ => None,
        };
        if let Some(rule) = rule {
            self.judge.record_violation(rule, at, proxy, Some(id), Some(server));
        }
        let timeout_at = timeout_at.unwrap_or(Micros::MAX).min(deadline);
        let attempt_index = self.attempts.len();
        let call = &mut self.calls[id.0 as usize];
        let sent_at = now;
        let reached_server = false;
        let has_connection = false;
        let attempt = Attempt {
            call: id.0 as usize,
            number: call.attempts.len() as u32,
            server: server_index,
            sent_at,
            timeout_at,
            reached_server,
            outcome: None,
            has_connection,
        };
        call.attempts.push(attempt_index);
        self.attempts.push(attempt);
        if server_index >= self.servers.len() || !open || timeout_at <= now {
            return self.record_outcome(attempt_index, Outcome::NotSent);
        }
        self.judge.attempts += 1;
        self.judge.cross_zone_attempts +=
            u64::from(self.servers[server_index].zone != self.proxies[proxy].zone);
        self.queue.schedule_at(timeout_at, SimEvent::Timeout { attempt: attempt_index });
        self.connect(attempt_index, proxy, server_index);
    }

    pub(super) fn connect(&mut self, attempt: usize, proxy: usize, server: usize) {
        let now = self.now();
        let delay = self.one_way_delay(proxy, server);
        let process = &mut self.servers[server];
        if process.health.unreachable {
            // The connection is never established.
            let connect_timeout = self.scenario.network.connect_timeout;
            let outcome = Outcome::ConnectFailed;
            return self.queue.schedule_after(connect_timeout, SimEvent::OutcomeArrives { attempt, outcome });
        }
        let connection = if process.up && !process.cold_overloaded {
            process.acquire_connection(now, proxy)
        } else {
            None
        };
        let Some(reused) = connection else {
            let outcome = Outcome::ConnectFailed;
            return self.queue.schedule_after(2 * delay, SimEvent::OutcomeArrives { attempt, outcome });
        };
        self.attempts[attempt].has_connection = true;
        self.judge.handshakes += u64::from(!reused);
        let delay = if reused { delay } else { 3 * delay };
        self.queue.schedule_after(delay, SimEvent::RequestArrives { attempt });
    }

    /// Draws the one-way network delay between a proxy and a server.
    pub(super) fn one_way_delay(&mut self, proxy: usize, server: usize) -> Micros {
        let network = &self.scenario.network;
        let same_zone = self.proxies[proxy].zone == self.servers[server].zone;
        jitter(
            if same_zone { network.delay_within_zone } else { network.delay_across_zones },
            network.jitter,
            &mut self.noise_rng,
        )
    }

    /// Handles the outcome of an attempt, such as an answer or a failed connection, at its proxy.
    pub(super) fn outcome_arrives(&mut self, attempt: usize, outcome: Outcome) {
        let Attempt { server, call, .. } = self.attempts[attempt];
        if self.servers[server].health.unreachable && outcome != Outcome::ConnectFailed {
            // The answer is lost; the attempt ends by its timeout at the proxy.
            return;
        }
        if self.attempts[attempt].outcome.is_some() {
            if outcome == Outcome::Served {
                let request = self.calls[call].request;
                self.judge.wasted_work += self.requests[request].work;
            }
            return;
        }
        self.record_outcome(attempt, outcome);
    }

    pub(super) fn timeout(&mut self, attempt: usize) {
        if self.attempts[attempt].outcome.is_none() {
            let outcome = if self.attempts[attempt].reached_server {
                Outcome::TimedOut
            } else {
                Outcome::ConnectFailed
            };
            self.cancel_at_server(attempt);
            self.record_outcome(attempt, outcome);
        }
    }

    /// Cancels an attempt at its server, one network delay from now.
    pub(super) fn cancel_at_server(&mut self, attempt: usize) {
        let Attempt { call, server, outcome, .. } = self.attempts[attempt];
        if outcome.is_none() && server < self.servers.len() {
            let delay = self.one_way_delay(self.calls[call].proxy, server);
            self.queue.schedule_after(delay, SimEvent::CancelArrives { attempt });
        }
    }

    /// Records the first outcome of an attempt and reports it to the proxy's policy.
    pub(super) fn record_outcome(&mut self, attempt_index: usize, outcome: Outcome) {
        let now = self.now();
        let attempt = &mut self.attempts[attempt_index];
        if attempt.outcome.is_some() {
            return;
        }
        attempt.outcome = Some(outcome);
        let id = attempt.call;
        let elapsed = now - attempt.sent_at;
        let server = attempt.server;
        let attempt_number = attempt.number;
        let has_connection = attempt.has_connection;
        let Call { proxy, request, open, .. } = self.calls[id];
        if has_connection {
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
