//! The servers: what arrives there, what they answer, and when.

use super::*;

impl Simulation<'_> {
    pub(super) fn at_server(&mut self, number: usize) {
        let now = self.now();
        let Attempt { server: place, call, outcome, until, .. } = self.attempts[number];
        let (work, proxy) = (self.requests[self.calls[call].request].work, self.calls[call].proxy);
        let server = &mut self.servers[place];
        if server.health.silent {
            return;
        }
        self.attempts[number].reached = true;
        if !server.up || server.fallen {
            return self.reply(number, Outcome::Reset, 0);
        }
        if server.flooded(now, work) {
            self.judge.fallen += 1;
            self.judge.broke(
                "a cold server was pushed over",
                now - START_US,
                proxy,
                None,
                Some(EndpointId(place as u32)),
            );
            self.fall(place);
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
        if errors && self.luck.gen_bool(0.5) {
            return self.reply(number, Outcome::Error, ERROR_DELAY_US);
        }
        if resets && self.luck.gen_bool(1.0 / 3.0) {
            return self.reply(number, Outcome::Reset, ERROR_DELAY_US);
        }
        match self.servers[place].take(now, number, work) {
            Admission::Full => self.reply(number, Outcome::Rejected, 0),
            Admission::Yes => self.foresee(place),
        }
    }

    /// Sends an answer on its way.
    pub(super) fn reply(&mut self, number: usize, outcome: Outcome, after: Micros) {
        let Attempt { server, call, .. } = self.attempts[number];
        let way = self.way(self.calls[call].proxy, server);
        self.queue.after(after + way, SimEvent::AtProxy { attempt: number, outcome });
    }

    pub(super) fn foresee(&mut self, place: usize) {
        let now = self.now();
        let version = self.servers[place].version;
        if let Some(at) = self.servers[place].next_end(now) {
            self.queue.at(at, SimEvent::ServerEnd { server: place, version });
        }
    }

    pub(super) fn server_end(&mut self, place: usize, version: u64) {
        if self.servers[place].version != version {
            return;
        }
        let now = self.now();
        while let Some(number) = self.servers[place].ended(now) {
            self.reply(number, Outcome::Served, 0);
        }
        self.foresee(place);
    }

    pub(super) fn drop_at(&mut self, number: usize) {
        let (now, place) = (self.now(), self.attempts[number].server);
        if self.servers[place].health.silent {
            return;
        }
        if let Some(left) = self.servers[place].drop_work(now, number) {
            let request = self.calls[self.attempts[number].call].request;
            self.judge.wasted_work += (self.requests[request].work - left).max(0.0);
            self.foresee(place);
        }
    }

    /// All that a server holds breaks off.
    pub(super) fn fall(&mut self, place: usize) {
        let now = self.now();
        for number in self.servers[place].stop(now) {
            self.reply(number, Outcome::Reset, 0);
        }
    }
}
