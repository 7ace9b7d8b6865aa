//! What servers wrote and clients read of each response, for the rule `one_answer`: whether a truncated
//! response counts as lost, and where its bytes were when it was cut off.

use super::record::{Shared, Try};
use oakport_core::Micros;
use std::collections::HashMap;
use std::fmt::Write;

/// Bytes of a response that its server wrote, including the head, and when it stopped writing.
#[derive(Clone, Copy, Debug)]
pub struct WrittenResponse {
    pub at: Micros,
    pub bytes: usize,
    pub length: usize,
}

/// A SIGTERM to a proxy process, or the SIGKILL after it.
struct ProcessEnd {
    at: Micros,
    is_killed: bool,
}

/// Written responses, reset connections, and the ends of the proxy processes between servers and clients.
#[derive(Default)]
pub struct Delivery {
    written: HashMap<u64, WrittenResponse>,
    resets: HashMap<u64, Micros>,
    attempts: HashMap<(usize, u32), Vec<u64>>,
    process_ends: HashMap<usize, Vec<ProcessEnd>>,
    /// Requests whose connection ended before their last byte was written.
    pub unwritten: u64,
    /// Truncated responses whose server had reset the connection.
    pub excused: u64,
}

impl Delivery {
    /// A server has stopped writing a response.
    pub fn record_written(&mut self, attempt: u64, response: WrittenResponse) {
        self.written.insert(attempt, response);
    }

    /// A server has reset the connection of an attempt.
    pub fn record_reset(&mut self, attempt: u64, at: Micros) {
        self.resets.insert(attempt, at);
    }

    /// An attempt for the try (request and number) has arrived at a server.
    pub fn record_attempt(&mut self, attempt: u64, of_try: (usize, u32)) {
        self.attempts.entry(of_try).or_default().push(attempt);
    }

    /// SIGTERM was sent to a process of this proxy, or SIGKILL after it.
    pub fn record_process_end(&mut self, proxy: usize, at: Micros, is_killed: bool) {
        self.process_ends.entry(proxy).or_default().push(ProcessEnd { at, is_killed });
    }

    fn attempts(&self, done: &Try) -> impl Iterator<Item = &u64> {
        self.attempts.get(&(done.request, done.number)).into_iter().flatten()
    }

    /// Whether a server reset the connection of an attempt for this try before the try ended.
    pub fn is_reset_by_server(&self, done: &Try) -> bool {
        self.attempts(done).filter_map(|attempt| self.resets.get(attempt)).any(|at| *at <= done.ended)
    }

    /// Describes when the bytes of a try with large bodies were transferred; empty for a small one.
    pub fn trace(&self, shared: &Shared, done: &Try) -> String {
        if shared.transfer(done.request).is_none() {
            return String::new();
        }
        let s = |at: Micros| (at as f64 - shared.at(0) as f64) / 1e6;
        let time = |at: Option<Micros>| at.map_or("never".to_owned(), |at| format!("{:.3} s", s(at)));
        let progress = &done.progress;
        let mut text = format!(
            "; request sent from {:.3} s, last byte at {}; read {} response bytes, first at {}, last at {}",
            s(done.sent),
            time(progress.written),
            progress.read,
            time(progress.first),
            time(progress.last)
        );
        for written in self.attempts(done).filter_map(|attempt| self.written.get(attempt)) {
            let WrittenResponse { at, bytes, length } = *written;
            // Writing to a string cannot fail.
            let _ = write!(text, "; the server had written {bytes} of {length} bytes by {:.3} s", s(at));
        }
        let proxy = shared.arrivals[done.request].proxy;
        for end in self.process_ends.get(&proxy).into_iter().flatten().filter(|end| end.at <= done.ended) {
            let signal = if end.is_killed { "SIGKILL" } else { "SIGTERM" };
            let _ = write!(text, "; {signal} at {:.3} s", s(end.at));
        }
        text
    }
}
