//! Clients: arrivals, retries and final outcomes of requests.

use super::*;

impl Simulation<'_> {
    pub(super) fn schedule_arrival(&mut self) {
        let at = self.now() + self.arrivals.interval(self.scenario.rate * self.surge_factor);
        if at < START_US + self.scenario.duration {
            self.queue.schedule_at(at, SimEvent::Arrival);
        }
    }

    pub(super) fn handle_arrival(&mut self) {
        let arrived_at = self.now();
        let Arrival { class, work, proxy, .. } = self.arrivals.sample(self.scenario, arrived_at - START_US);
        self.judge.record_request(class, arrived_at - START_US, work);
        self.requests.push(Request { class, proxy, arrived_at, work, tries: 0, ended: false });
        self.start_try(self.requests.len() - 1);
        self.schedule_arrival();
    }

    /// Sends a client request, or a retry of it, to its proxy.
    pub(super) fn start_try(&mut self, request: usize) {
        let now = self.now();
        let min_ratio = self.scenario.clients.min_timeout_ratio;
        let Request { class, proxy, arrived_at, tries, .. } = self.requests[request];
        let spec = &self.scenario.classes[class];
        let remaining = (arrived_at + spec.client_timeout).saturating_sub(now);
        let timeout_ratio = min_ratio + (1.0 - min_ratio) * self.client_rng.gen::<f64>();
        let remaining_time = ((spec.client_timeout as f64 * timeout_ratio) as Micros).min(remaining);
        if remaining_time < 2_000 {
            return self.finish_request(request, RequestOutcome::Failed);
        }
        self.requests[request].tries += 1;
        self.judge.tries += 1;
        let call = self.calls.len();
        let deadline = now + remaining_time;
        self.calls.push(Call { request, proxy, deadline, open: true, attempts: Vec::new() });
        self.queue.schedule_at(deadline + ANSWER_SLACK_US, SimEvent::AnswerDeadline { call });
        let event = Event::Request {
            call: CallId(call as u64),
            class: ClassId(class),
            tenant: None,
            remaining_time,
            is_retry: tries > 0,
        };
        self.deliver_event(proxy, event);
    }

    /// Handles a request that ended unserved: schedules a retry, or ends it with `outcome`.
    pub(super) fn try_ended_unserved(
        &mut self,
        request: usize,
        may_retry: bool,
        retry_after: Micros,
        outcome: RequestOutcome,
    ) {
        let clients = &self.scenario.clients;
        let Request { class, arrived_at, tries, ended, .. } = self.requests[request];
        if ended {
            return;
        }
        let delay = jitter(clients.retry_delay, 0.5, &mut self.client_rng);
        let retry_after = if clients.heed_retry_after { retry_after.min(clients.max_retry_after) } else { 0 };
        let at = self.now() + delay.max(retry_after);
        if may_retry
            && tries <= clients.retries
            && at < arrived_at + self.scenario.classes[class].client_timeout
        {
            self.queue.schedule_at(at, SimEvent::Retry { request });
        } else {
            self.finish_request(request, outcome);
        }
    }

    pub(super) fn finish_request(&mut self, request: usize, outcome: RequestOutcome) {
        let now = self.now() - START_US;
        let request = &mut self.requests[request];
        if !std::mem::replace(&mut request.ended, true) {
            self.judge.record_outcome(request.class, request.arrived_at - START_US, now, outcome);
        }
    }

    /// Ends all requests that are still open as failed.
    pub(super) fn fail_open_requests(&mut self) {
        for request in 0..self.requests.len() {
            self.finish_request(request, RequestOutcome::Failed);
        }
    }
}
