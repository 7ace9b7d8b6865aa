//! What clients do: when they ask, when they ask again, when they give up.

use super::*;

impl Simulation<'_> {
    pub(super) fn next_arrival(&mut self) {
        let at = self.now() + self.arrivals.gap(self.scenario.rate * self.surge);
        if at < START_US + self.scenario.length {
            self.queue.at(at, SimEvent::Arrival);
        }
    }

    pub(super) fn arrival(&mut self) {
        let asked = self.now();
        let Arrival { class, work, proxy, .. } = self.arrivals.draw(self.scenario, asked - START_US);
        self.judge.asked(class, asked - START_US, work);
        self.requests.push(Request { class, proxy, asked, work, tries: 0, ended: false });
        self.try_again(self.requests.len() - 1);
        self.next_arrival();
    }

    /// A client's try reaches its proxy.
    pub(super) fn try_again(&mut self, number: usize) {
        let now = self.now();
        let patience = self.scenario.clients.patience;
        let Request { class, proxy, asked, tries, .. } = self.requests[number];
        let spec = &self.scenario.classes[class];
        let left = (asked + spec.deadline).saturating_sub(now);
        let share = patience + (1.0 - patience) * self.clients.gen::<f64>();
        let time_left = ((spec.deadline as f64 * share) as Micros).min(left);
        if time_left < 2_000 {
            return self.done(number, RequestOutcome::Failed);
        }
        self.requests[number].tries += 1;
        self.judge.tries += 1;
        let (call, deadline) = (self.calls.len(), now + time_left);
        self.calls.push(Call { request: number, proxy, deadline, open: true, attempts: Vec::new() });
        self.queue.at(deadline + ANSWER_SLACK_US, SimEvent::Backstop { call });
        let event = Event::Request {
            call: CallId(call as u64),
            class: ClassId(class),
            tenant: None,
            remaining_time: time_left,
            is_retry: tries > 0,
        };
        self.event(proxy, event);
    }

    /// A client hears that its try has ended unserved.
    pub(super) fn unserved(&mut self, number: usize, may_come: bool, told: Micros, end: RequestOutcome) {
        let spec = &self.scenario.clients;
        let Request { class, asked, tries, ended, .. } = self.requests[number];
        if ended {
            return;
        }
        let wait = jitter(spec.wait, 0.5, &mut self.clients);
        let told = if spec.heed_retry_after { told.min(spec.retry_after_most) } else { 0 };
        let at = self.now() + wait.max(told);
        if may_come && tries <= spec.retries && at < asked + self.scenario.classes[class].deadline {
            self.queue.at(at, SimEvent::Retry { request: number });
        } else {
            self.done(number, end);
        }
    }

    pub(super) fn done(&mut self, number: usize, end: RequestOutcome) {
        let now = self.now() - START_US;
        let request = &mut self.requests[number];
        if !std::mem::replace(&mut request.ended, true) {
            self.judge.ended(request.class, request.asked - START_US, now, end);
        }
    }

    /// What is open when the day is over has failed.
    pub(super) fn give_up_rest(&mut self) {
        for number in 0..self.requests.len() {
            self.done(number, RequestOutcome::Failed);
        }
    }
}
