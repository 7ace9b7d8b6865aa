//! What clients do: when they ask, when they ask again, when they give up.

use super::*;

impl Simulation<'_> {
    pub(super) fn schedule_arrival(&mut self) {
        let at = self.now() + self.arrivals.interval(self.scenario.rate * self.surge_factor);
        if at < START_US + self.scenario.duration {
            self.queue.schedule_at(at, SimEvent::Arrival);
        }
    }

    pub(super) fn handle_arrival(&mut self) {
        let asked = self.now();
        let Arrival { class, work, proxy, .. } = self.arrivals.sample(self.scenario, asked - START_US);
        self.judge.record_request(class, asked - START_US, work);
        self.requests.push(Request { class, proxy, arrived_at: asked, work, tries: 0, ended: false });
        self.start_try(self.requests.len() - 1);
        self.schedule_arrival();
    }

    /// A client's try reaches its proxy.
    pub(super) fn start_try(&mut self, number: usize) {
        let now = self.now();
        let patience = self.scenario.clients.min_timeout_ratio;
        let Request { class, proxy, arrived_at: asked, tries, .. } = self.requests[number];
        let spec = &self.scenario.classes[class];
        let left = (asked + spec.client_timeout).saturating_sub(now);
        let share = patience + (1.0 - patience) * self.client_rng.gen::<f64>();
        let time_left = ((spec.client_timeout as f64 * share) as Micros).min(left);
        if time_left < 2_000 {
            return self.finish_request(number, RequestOutcome::Failed);
        }
        self.requests[number].tries += 1;
        self.judge.tries += 1;
        let (call, deadline) = (self.calls.len(), now + time_left);
        self.calls.push(Call { request: number, proxy, deadline, open: true, attempts: Vec::new() });
        self.queue.schedule_at(deadline + ANSWER_SLACK_US, SimEvent::AnswerDeadline { call });
        let event = Event::Request {
            call: CallId(call as u64),
            class: ClassId(class),
            tenant: None,
            remaining_time: time_left,
            is_retry: tries > 0,
        };
        self.deliver_event(proxy, event);
    }

    /// A client hears that its try has ended unserved.
    pub(super) fn try_ended_unserved(
        &mut self,
        number: usize,
        may_come: bool,
        told: Micros,
        end: RequestOutcome,
    ) {
        let spec = &self.scenario.clients;
        let Request { class, arrived_at: asked, tries, ended, .. } = self.requests[number];
        if ended {
            return;
        }
        let wait = jitter(spec.retry_delay, 0.5, &mut self.client_rng);
        let told = if spec.heed_retry_after { told.min(spec.max_retry_after) } else { 0 };
        let at = self.now() + wait.max(told);
        if may_come && tries <= spec.retries && at < asked + self.scenario.classes[class].client_timeout {
            self.queue.schedule_at(at, SimEvent::Retry { request: number });
        } else {
            self.finish_request(number, end);
        }
    }

    pub(super) fn finish_request(&mut self, number: usize, end: RequestOutcome) {
        let now = self.now() - START_US;
        let request = &mut self.requests[number];
        if !std::mem::replace(&mut request.ended, true) {
            self.judge.record_outcome(request.class, request.arrived_at - START_US, now, end);
        }
    }

    /// What is open when the day is over has failed.
    pub(super) fn fail_open_requests(&mut self) {
        for number in 0..self.requests.len() {
            self.finish_request(number, RequestOutcome::Failed);
        }
    }
}
