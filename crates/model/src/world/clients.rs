//! What clients do: when they ask, when they ask again, when they give up.

use super::*;

impl World<'_> {
    pub(super) fn next_arrival(&mut self) {
        let gap: f64 = Exp1.sample(&mut self.arrivals);
        let at = self.now() + (gap * 1e6 / (self.scenario.rate * self.surge)) as Micros;
        if at < START + self.scenario.length {
            self.queue.at(at, Happening::Arrival);
        }
    }

    pub(super) fn arrival(&mut self) {
        let total: f64 = self.scenario.classes.iter().map(|c| c.share).sum();
        let mut mark = self.arrivals.gen::<f64>() * total;
        let last = self.scenario.classes.len() - 1;
        let found = self.scenario.classes.iter().position(|c| {
            mark -= c.share;
            mark < 0.0
        });
        let class = found.unwrap_or(last);
        let spec = &self.scenario.classes[class];
        let work = spec.spread.draw(spec.work as f64, &mut self.arrivals).max(1.0);
        let mark = self.arrivals.gen::<f64>() * self.shares.last().copied().unwrap_or(1.0);
        let proxy = self.shares.partition_point(|sum| *sum <= mark).min(self.proxies.len() - 1);
        let asked = self.now();
        self.judge.asked(class, asked - START, work);
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
            return self.done(number, End::Failed);
        }
        self.requests[number].tries += 1;
        self.judge.tries += 1;
        let (call, deadline) = (self.calls.len(), now + time_left);
        self.calls.push(Call { request: number, proxy, deadline, open: true, attempts: Vec::new() });
        self.queue.at(deadline + SLACK, Happening::Backstop { call });
        let event = Event::Request {
            call: CallId(call as u64),
            class: ClassId(class),
            tenant: None,
            time_left,
            resent: tries > 0,
        };
        self.event(proxy, event);
    }

    /// A client hears that its try has ended unserved.
    pub(super) fn unserved(&mut self, number: usize, may_come: bool, told: Micros, end: End) {
        let spec = &self.scenario.clients;
        let Request { class, asked, tries, ended, .. } = self.requests[number];
        if ended {
            return;
        }
        let wait = jitter(spec.wait, 0.5, &mut self.clients);
        let told = if spec.heed_retry_after { told.min(spec.retry_after_most) } else { 0 };
        let at = self.now() + wait.max(told);
        if may_come && tries <= spec.retries && at < asked + self.scenario.classes[class].deadline {
            self.queue.at(at, Happening::Retry { request: number });
        } else {
            self.done(number, end);
        }
    }

    pub(super) fn done(&mut self, number: usize, end: End) {
        let now = self.now() - START;
        let request = &mut self.requests[number];
        if !std::mem::replace(&mut request.ended, true) {
            self.judge.ended(request.class, request.asked - START, now, end);
        }
    }

    /// What is open when the day is over has failed.
    pub(super) fn give_up_rest(&mut self) {
        for number in 0..self.requests.len() {
            self.done(number, End::Failed);
        }
    }
}
