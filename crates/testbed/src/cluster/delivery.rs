//! What endpoints gave and clients got of each response, for the rule `one_answer`: whether a cut response is lost, and
//! where its bytes were when it was cut.

use super::record::{Shared, Try};
use oakport_core::Micros;
use std::collections::HashMap;
use std::fmt::Write;

/// What a server has written of an answer, the head included, by when its writing ended.
#[derive(Clone, Copy, Debug)]
pub struct Given {
    pub at: Micros,
    pub bytes: usize,
    pub length: usize,
}

/// A process was told to end, or killed after that.
struct End {
    at: Micros,
    is_killed: bool,
}

/// What both sides saw of responses, and the ends of processes between them.
#[derive(Default)]
pub struct Delivery {
    given: HashMap<u64, Given>,
    broken_off: HashMap<u64, Micros>,
    attempts: HashMap<(usize, u32), Vec<u64>>,
    ends: HashMap<usize, Vec<End>>,
    /// Requests that ended before their last byte had been written.
    pub unwritten: u64,
    /// Cut responses that an endpoint had broken off.
    pub excused: u64,
}

impl Delivery {
    /// An endpoint has ended its writing of a response.
    pub fn gave(&mut self, attempt: u64, given: Given) {
        self.given.insert(attempt, given);
    }

    /// An endpoint has reset the connection of an attempt.
    pub fn broke_off(&mut self, attempt: u64, at: Micros) {
        self.broken_off.insert(attempt, at);
    }

    /// An attempt has come to an endpoint for this try.
    pub fn came(&mut self, attempt: u64, of: (usize, u32)) {
        self.attempts.entry(of).or_default().push(attempt);
    }

    /// A process of this proxy was told to end, or killed after that.
    pub fn ended(&mut self, proxy: usize, at: Micros, is_killed: bool) {
        self.ends.entry(proxy).or_default().push(End { at, is_killed });
    }

    fn attempts(&self, done: &Try) -> impl Iterator<Item = &u64> {
        self.attempts.get(&(done.request, done.number)).into_iter().flatten()
    }

    /// An endpoint reset the connection of an attempt for this try before the try ended.
    pub fn is_broken_off(&self, done: &Try) -> bool {
        self.attempts(done).filter_map(|attempt| self.broken_off.get(attempt)).any(|at| *at <= done.ended)
    }

    /// What was moved for this try and when, in words; nothing for a small one.
    pub fn trace(&self, shared: &Shared, done: &Try) -> String {
        if shared.transfer(done.request).is_none() {
            return String::new();
        }
        let s = |at: Micros| (at as f64 - shared.at(0) as f64) / 1e6;
        let time = |at: Option<Micros>| at.map_or("never".to_owned(), |at| format!("{:.3} s", s(at)));
        let moved = &done.moved;
        let mut text = format!(
            "; sent from {:.3} s, its last byte written at {}; read {} bytes, the first at {}, the last at {}",
            s(done.sent),
            time(moved.written),
            moved.read,
            time(moved.first),
            time(moved.last)
        );
        for given in self.attempts(done).filter_map(|attempt| self.given.get(attempt)) {
            let Given { at, bytes, length } = *given;
            // Writing to a string cannot fail.
            let _ = write!(text, "; its endpoint had written {bytes} of {length} by {:.3} s", s(at));
        }
        let proxy = shared.arrivals[done.request].proxy;
        for end in self.ends.get(&proxy).into_iter().flatten().filter(|end| end.at <= done.ended) {
            let signal = if end.is_killed { "SIGKILL" } else { "SIGTERM" };
            let _ = write!(text, "; {signal} at {:.3} s", s(end.at));
        }
        text
    }
}
