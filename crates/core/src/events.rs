//! The way of an event into the module: to whom it goes, and when the module next wants to hear the time. Nothing is
//! decided here.

use crate::action::*;
use crate::balance::Balancer;
use crate::event::*;
use crate::ids::*;

impl Balancer {
    /// Takes one event at time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        while let Some(place) = self.sets.due(now) {
            self.refile(place);
        }
        self.take_in(event);
        self.wake_calls();
        self.drain_hold();
        if now >= self.ask_at {
            self.ask_at = Micros::MAX;
            self.actions.push(Action::PollEndpointList);
        }
        self.set_timer();
        actions.append(&mut self.actions);
    }

    fn take_in(&mut self, event: Event) {
        match event {
            Event::Start => {
                self.actions.extend(self.settings.polls_endpoint_list.then_some(Action::PollEndpointList))
            }
            Event::LoadPolled { endpoint: server, outcome, load, .. } => self.probed(server, outcome, load),
            Event::EndpointList { kind, endpoints: entries } => self.members(kind, &entries),
            Event::Request { call, class, remaining_time: time_left, is_retry: resent, .. }
                if self.calls.get(call).is_none() =>
            {
                self.request(call, (class, time_left, !resent));
            }
            Event::AttemptEnded { call, attempt, outcome, elapsed, call_closed: closed, load } => {
                self.report(call, attempt, load);
                if let Some((mut tried, class_id)) = self.calls.attempt_over(call, attempt, outcome) {
                    tried.sent = tried.sent.min(self.now.saturating_sub(elapsed));
                    if tried.flows {
                        self.flowed(tried.server, outcome);
                    } else {
                        self.learn(tried, class_id, outcome);
                    }
                    self.proceed(call, outcome, closed);
                }
            }
            Event::ResponseStarted { call, attempt } if self.calls.get(call).is_some_and(|c| !c.ended) => {
                if let Some((tried, class_id)) = self.calls.flows(call, attempt) {
                    self.learn(tried, class_id, Outcome::Served);
                }
                self.cancel_others(call, Some(attempt));
            }
            // A number that is taken, and an answer of a call that has ended, say nothing.
            Event::Request { .. } | Event::ResponseStarted { .. } => {}
            Event::RequestComplete { call, remaining_time } => self.whole(call, remaining_time),
            Event::ClientDisconnected { call } => {
                self.calls.end(call);
                self.cancel_others(call, None);
                self.calls.forget(call);
            }
            Event::Timer => self.timer_at = Micros::MAX,
            Event::Settings(settings) => self.retune(*settings),
        }
    }

    /// Asks for the moment at which something is next due, unless an earlier one is asked for.
    fn set_timer(&mut self) {
        let mut next = self.ask_at.min(self.calls.wakes.next().unwrap_or(Micros::MAX));
        if let Some(&head) = self.calls.hold().front() {
            let asks = Some(self.calls[head].ask_next).filter(|&at| at > self.now);
            let paced = Some(self.allowance.next_at).filter(|&at| at > self.now);
            next = self.sets.next().into_iter().chain(asks).chain(paced).fold(next, Micros::min);
        }
        if next < self.timer_at {
            self.timer_at = next;
            self.actions.push(Action::SetTimer { after: next.saturating_sub(self.now).max(1) });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::sets::Standing;
    use crate::settings::*;
    use rand::{Rng, SeedableRng};
    use rand_pcg::Pcg32;

    /// Lists, restarts under a number, failures, settings and time that passes alone: after each event every server is
    /// filed where it stands. Only what moves with the fleet's answer times, or with a cold one's warmth, may lag.
    #[test]
    fn each_server_is_filed_where_it_stands() {
        for seed in 0..60 {
            let mut random = Pcg32::seed_from_u64(seed);
            let class = Class { idempotency: Idempotency::Idempotent, ..Settings::default().classes[0] };
            let balancers = [1, 7, 300][seed as usize % 3];
            let settings = Settings { proxy_count: balancers, classes: vec![class], ..Settings::default() };
            let mut balancer = Balancer::new(seed, settings.clone());
            let (mut now, mut out, mut actions) = (1_000_000_000, Vec::new(), Vec::new());
            for step in 0..1_500u64 {
                now += random.gen_range(0..60_000) * if random.gen_ratio(1, 50) { 100 } else { 1 };
                let event = match random.gen_range(0..20) {
                    0 => Event::Timer,
                    1 => {
                        let kind = if random.gen_ratio(1, 4) {
                            ListUpdateKind::Snapshot
                        } else {
                            ListUpdateKind::Delta
                        };
                        let state = if random.gen_ratio(1, 4) {
                            EndpointState::Draining
                        } else {
                            EndpointState::Ready
                        };
                        let started = if random.gen_ratio(1, 3) { now } else { 0 };
                        let some = if kind == ListUpdateKind::Snapshot { 9 } else { random.gen_range(1..3) };
                        let server = |_| EndpointId(random.gen_range(0..12));
                        let servers: Vec<EndpointId> = (0..some).map(server).collect();
                        let entry = |server| EndpointInfo {
                            id: server,
                            state,
                            started_at: started,
                            ..EndpointInfo::default()
                        };
                        Event::EndpointList { kind, endpoints: servers.into_iter().map(entry).collect() }
                    }
                    2 if step % 7 == 0 => Event::Settings(Box::new(settings.clone())),
                    3..=11 if !out.is_empty() => {
                        let (call, attempt, closed) = out.swap_remove(random.gen_range(0..out.len()));
                        let outcomes =
                            [Outcome::Served, Outcome::Served, Outcome::Served, Outcome::ConnectFailed];
                        let more = [Outcome::Error, Outcome::Rejected, Outcome::TimedOut, Outcome::Cancelled];
                        let outcome =
                            [outcomes, more][usize::from(random.gen_ratio(1, 3))][random.gen_range(0..4)];
                        let (elapsed, load) = (random.gen_range(1_000..200_000), LoadReport::default());
                        Event::AttemptEnded { call, attempt, outcome, elapsed, call_closed: closed, load }
                    }
                    _ => {
                        let (call, class, time_left) = (CallId(step), ClassId(0), 900_000);
                        Event::Request {
                            call,
                            class,
                            tenant: None,
                            remaining_time: time_left,
                            is_retry: false,
                        }
                    }
                };
                balancer.handle(now, event, &mut actions);
                for action in actions.drain(..) {
                    if let Action::Send { call, .. } = action {
                        let attempt = out.iter().filter(|o| o.0 == call).count() as u32;
                        out.push((call, attempt, false));
                    }
                }
                for place in 0..balancer.servers.len() {
                    let plain = |s: Standing| {
                        let fixed = Standing { until: None, trial: false, room: s.room && s.up, ..s };
                        if s.listed {
                            fixed
                        } else {
                            Standing::default()
                        }
                    };
                    let is = plain(balancer.standing(&balancer.servers[place]));
                    assert_eq!(
                        plain(balancer.sets.standing(place)),
                        is,
                        "seed {seed}, step {step}, place {place}"
                    );
                }
            }
        }
    }
}
