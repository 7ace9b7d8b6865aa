//! The servers: what arrives there, what they answer, and when.

use super::*;

impl Simulation<'_> {
    pub(super) fn request_arrives(&mut self, number: usize) {
        let now = self.now();
        let Attempt { server: place, call, outcome, timeout_at: until, .. } = self.attempts[number];
        let (work, proxy) = (self.requests[self.calls[call].request].work, self.calls[call].proxy);
        let server = &mut self.servers[place];
        if server.health.unreachable {
            return;
        }
        self.attempts[number].reached_server = true;
        if !server.up || server.cold_overloaded {
            return self.reply(number, Outcome::Reset, 0);
        }
        if server.record_cold_arrival(now, work) {
            self.judge.cold_overloads += 1;
            self.judge.record_violation(
                "a cold server was pushed over",
                now - START_US,
                proxy,
                None,
                Some(EndpointId(place as u32)),
            );
            self.stop_server(place);
            return;
        }
        // What its client has given up meanwhile is seen as it arrives.
        if outcome.is_some() || until <= now {
            return;
        }
        let (errors, resets) = (server.health.errors, server.health.resets);
        if server.draining {
            return self.reply(number, Outcome::Rejected, 0);
        }
        if errors && self.noise_rng.gen_bool(0.5) {
            return self.reply(number, Outcome::Error, ERROR_DELAY_US);
        }
        if resets && self.noise_rng.gen_bool(1.0 / 3.0) {
            return self.reply(number, Outcome::Reset, ERROR_DELAY_US);
        }
        match self.servers[place].admit(now, number, work) {
            Admission::Rejected => self.reply(number, Outcome::Rejected, 0),
            Admission::Accepted => self.schedule_server_end(place),
        }
    }

    /// Sends an answer on its way.
    pub(super) fn reply(&mut self, number: usize, outcome: Outcome, after: Micros) {
        let Attempt { server, call, .. } = self.attempts[number];
        let way = self.one_way_delay(self.calls[call].proxy, server);
        self.queue.schedule_after(after + way, SimEvent::OutcomeArrives { attempt: number, outcome });
    }

    pub(super) fn schedule_server_end(&mut self, place: usize) {
        let now = self.now();
        let version = self.servers[place].version;
        if let Some(at) = self.servers[place].next_end(now) {
            self.queue.schedule_at(at, SimEvent::ServerEnd { server: place, version });
        }
    }

    pub(super) fn server_end(&mut self, place: usize, version: u64) {
        if self.servers[place].version != version {
            return;
        }
        let now = self.now();
        while let Some(number) = self.servers[place].pop_finished(now) {
            self.reply(number, Outcome::Served, 0);
        }
        self.schedule_server_end(place);
    }

    pub(super) fn cancel_arrives(&mut self, number: usize) {
        let (now, place) = (self.now(), self.attempts[number].server);
        if self.servers[place].health.unreachable {
            return;
        }
        if let Some(left) = self.servers[place].drop_work(now, number) {
            let request = self.calls[self.attempts[number].call].request;
            self.judge.wasted_work += (self.requests[request].work - left).max(0.0);
            self.schedule_server_end(place);
        }
    }

    /// All that a server holds breaks off.
    pub(super) fn stop_server(&mut self, place: usize) {
        let now = self.now();
        for number in self.servers[place].stop(now) {
            self.reply(number, Outcome::Reset, 0);
        }
    }
}
