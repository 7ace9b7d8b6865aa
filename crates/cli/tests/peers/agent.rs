//! A stub of the discovery agent on a client proxy's machine. It answers polls, holds watches open and
//! simulates the faults that the protocol page describes. Also a host that records the time and the id of
//! each request.

use super::{answer, read, Host, Reply};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    index: u64,
    /// By endpoint name: the version in which the entry last changed, and its JSON text.
    entries: BTreeMap<String, (u64, String)>,
    /// Polls are read and never answered, even after the agent has become responsive again.
    is_unresponsive: bool,
    /// Polls are answered 503.
    is_at_capacity: bool,
    /// Each answer is cut in half and its connection closed.
    is_truncating: bool,
    /// Number of times that all open polls were left unanswered.
    silence_count: u64,
    /// Number of times that all connections were closed.
    reset_count: u64,
    /// Open watches: when each was opened, its wait, and the version that its client knows.
    open_watches: Vec<(Instant, Duration, u64)>,
    call_count: usize,
    /// Delay of every answer. To an observer this looks like a proxy that applies its updates late.
    delay: Duration,
}

#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Agent {
    pub fn start(entries: &[(String, String)]) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let agent = Agent { address: listener.local_addr().expect("its address"), state: Arc::default() };
        agent.change(entries);
        let serving = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = serving.clone();
                thread::spawn(move || agent.serve(stream));
            }
        });
        agent
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("lock not poisoned")
    }

    fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let done = change(&mut self.lock());
        self.state.1.notify_all();
        done
    }

    /// Adds or replaces these entries in a new version of the list.
    pub fn change(&self, entries: &[(String, String)]) {
        self.update(|state| {
            state.index += 1;
            let index = state.index;
            state.entries.extend(entries.iter().map(|(name, text)| (name.clone(), (index, text.clone()))));
        });
    }

    pub fn set_unresponsive(&self, is_unresponsive: bool) {
        self.update(|state| state.is_unresponsive = is_unresponsive);
    }

    pub fn set_at_capacity(&self, is_at_capacity: bool) {
        self.update(|state| state.is_at_capacity = is_at_capacity);
    }

    pub fn set_truncating(&self, is_truncating: bool) {
        self.update(|state| state.is_truncating = is_truncating);
    }

    pub fn set_delay(&self, delay: Duration) {
        self.update(|state| state.delay = delay);
    }

    /// Leaves all open watches unanswered. Returns the latest time at which the protocol counts an update
    /// that they miss as notified.
    pub fn silence_watches(&self) -> Instant {
        let now = Instant::now();
        let watches = self.update(|state| {
            state.silence_count += 1;
            std::mem::take(&mut state.open_watches)
        });
        let deadline = |(opened_at, wait, _)| opened_at + wait + Duration::from_secs(2);
        watches.into_iter().map(deadline).fold(now + Duration::from_secs(6), Instant::max)
    }

    /// Closes all connections: those with an open poll at once, others at their next poll.
    pub fn reset_connections(&self) {
        self.update(|state| state.reset_count += 1);
    }

    pub fn calls(&self) -> usize {
        self.lock().call_count
    }

    /// Waits until a watch for changes after the newest version is open.
    pub fn await_watch(&self) {
        self.await_watches(1);
    }

    /// Waits until `count` such watches are open.
    pub fn await_watches(&self, count: usize) {
        let mut state = self.lock();
        while state.open_watches.iter().filter(|(_, _, index)| *index == state.index).count() < count {
            state = self.state.1.wait_timeout(state, super::LONG).expect("lock not poisoned").0;
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        let reset_count = self.lock().reset_count;
        while let Some(message) = read(&mut stream) {
            let query = |name: &str| {
                let line = message.head.lines().next().unwrap_or_default();
                let (_, rest) = line.split_once(&format!("{name}="))?;
                rest.split(['&', ' ']).next()?.parse::<u64>().ok()
            };
            let Some(text) = self.await_answer(query("index"), query("wait").unwrap_or(0), reset_count)
            else {
                let _ = stream.get_mut().shutdown(Shutdown::Both);
                return;
            };
            if text.is_empty() {
                // The poll stays unanswered; the connection stays open until the client closes it.
                while read(&mut stream).is_some() {}
                return;
            }
            let status = if self.lock().is_at_capacity { "503 Service Unavailable" } else { "200 OK" };
            let text = answer(status, "", &text);
            if self.lock().is_truncating {
                let _ = stream.get_mut().write_all(&text.as_bytes()[..text.len() / 2]);
                let _ = stream.get_mut().shutdown(Shutdown::Both);
                return;
            }
            let _ = stream.get_mut().write_all(text.as_bytes());
        }
    }

    /// Waits for the body of a poll's answer. None if the connection is to be closed; empty if the poll is to
    /// stay unanswered.
    fn await_answer(&self, index: Option<u64>, wait: u64, reset_count: u64) -> Option<String> {
        let (polled_at, wait) = (Instant::now(), Duration::from_millis(wait));
        let mut state = self.lock();
        state.call_count += 1;
        let silence_count = state.silence_count;
        let is_watch =
            index == Some(state.index) && !state.is_unresponsive && wait > Duration::from_millis(100);
        if is_watch {
            let known_version = state.index;
            state.open_watches.push((polled_at, wait, known_version));
            self.state.1.notify_all();
        }
        loop {
            if state.reset_count != reset_count {
                return None;
            }
            if state.is_unresponsive || state.silence_count != silence_count {
                return Some(String::new());
            }
            let remaining = wait.saturating_sub(polled_at.elapsed());
            if index != Some(state.index) || remaining.is_zero() {
                break;
            }
            state = self.state.1.wait_timeout(state, remaining).expect("lock not poisoned").0;
        }
        if is_watch {
            state.open_watches.retain(|w| (w.0, w.1) != (polled_at, wait));
        }
        let (version, delay) = (state.index, state.delay);
        let changed = state.entries.values().filter(|(at, _)| index.is_none_or(|index| *at > index));
        let text =
            super::list(version, index.is_none(), &changed.map(|(_, text)| text.clone()).collect::<Vec<_>>());
        drop(state);
        thread::sleep(delay);
        Some(text)
    }
}

/// A host that records the arrival time and the id of each request.
pub struct RecordingHost {
    pub host: Host,
    arrivals: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl RecordingHost {
    pub fn start() -> RecordingHost {
        let arrivals = Arc::<Mutex<Vec<(Instant, String)>>>::default();
        let recorded = Arc::clone(&arrivals);
        let host = Host::with_handler(move |_, message| {
            let id = message.header("x-request-id").unwrap_or_default().to_owned();
            recorded.lock().expect("lock not poisoned").push((Instant::now(), id));
            Reply::Write(answer("200 OK", "", "ok"))
        });
        RecordingHost { host, arrivals }
    }

    /// Arrival times of the requests with this id.
    pub fn arrivals_of(&self, id: &str) -> Vec<Instant> {
        let arrivals = self.arrivals.lock().expect("lock not poisoned");
        arrivals.iter().filter(|(_, request_id)| request_id == id).map(|(at, _)| *at).collect()
    }
}
