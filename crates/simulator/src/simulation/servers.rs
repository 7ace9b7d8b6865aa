//! Servers: arriving requests, answers and cancellations.

use super::*;

impl Simulation<'_> {
    pub(super) fn request_arrives(&mut self, attempt: usize) {
        let now = self.now();
        let Attempt { server, call, outcome, timeout_at, .. } = self.attempts[attempt];
        let work = self.requests[self.calls[call].request].work;
        let proxy = self.calls[call].proxy;
        let process = &mut self.servers[server];
        if process.health.unreachable {
            return;
        }
        self.attempts[attempt].reached_server = true;
        if !process.up || process.cold_overloaded {
            return self.reply(attempt, Outcome::Reset, 0);
        }
        if process.record_cold_arrival(now, work) {
            self.judge.cold_overloads += 1;
            self.judge.record_violation(
                "cold server overloaded",
                now - START_US,
                proxy,
                None,
                Some(EndpointId(server as u32)),
            );
            self.stop_server(server);
            return;
        }
        // The proxy ended the attempt while the request was in transit: the server sees this on arrival.
        if outcome.is_some() || timeout_at <= now {
            return;
        }
        let errors = process.health.errors;
        let resets = process.health.resets;
        if process.draining {
            return self.reply(attempt, Outcome::Rejected, 0);
        }
        if errors && self.noise_rng.gen_bool(0.5) {
            return self.reply(attempt, Outcome::Error, ERROR_DELAY_US);
        }
        if resets && self.noise_rng.gen_bool(1.0 / 3.0) {
            return self.reply(attempt, Outcome::Reset, ERROR_DELAY_US);
        }
        match self.servers[server].admit(now, attempt, work) {
            Admission::Rejected => self.reply(attempt, Outcome::Rejected, 0),
            Admission::Accepted => self.schedule_server_end(server),
        }
    }

    /// Sends the outcome of an attempt to its proxy, `after` microseconds from now plus the network delay.
    pub(super) fn reply(&mut self, attempt: usize, outcome: Outcome, after: Micros) {
        let Attempt { server, call, .. } = self.attempts[attempt];
        let delay = self.one_way_delay(self.calls[call].proxy, server);
        self.queue.schedule_after(after + delay, SimEvent::OutcomeArrives { attempt, outcome });
    }

    pub(super) fn schedule_server_end(&mut self, server: usize) {
        let now = self.now();
        let version = self.servers[server].version;
        if let Some(at) = self.servers[server].next_end(now) {
            self.queue.schedule_at(at, SimEvent::ServerEnd { server, version });
        }
    }

    pub(super) fn server_end(&mut self, server: usize, version: u64) {
        if self.servers[server].version != version {
            return;
        }
        let now = self.now();
        while let Some(attempt) = self.servers[server].pop_finished(now) {
            self.reply(attempt, Outcome::Served, 0);
        }
        self.schedule_server_end(server);
    }

    pub(super) fn cancel_arrives(&mut self, attempt: usize) {
        let now = self.now();
        let server = self.attempts[attempt].server;
        if self.servers[server].health.unreachable {
            return;
        }
        if let Some(remaining_work) = self.servers[server].drop_work(now, attempt) {
            let request = self.calls[self.attempts[attempt].call].request;
            self.judge.wasted_work += (self.requests[request].work - remaining_work).max(0.0);
            self.schedule_server_end(server);
        }
    }

    /// Ends a server process; all its requests are reset.
    pub(super) fn stop_server(&mut self, server: usize) {
        let now = self.now();
        for attempt in self.servers[server].stop(now) {
            self.reply(attempt, Outcome::Reset, 0);
        }
    }
}
