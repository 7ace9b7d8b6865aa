//! Discovery's agent on a client proxy's machine, from the protocol page: it answers what it has, holds watches, and fails
//! in the ways that are told of agents. And a host that notes when each request came, and of whom.

use super::{answer, read, Host, Reply};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Default)]
struct Has {
    index: u64,
    /// The version in which each entry last changed, and its text.
    entries: BTreeMap<String, (u64, String)>,
    /// Calls are swallowed: neither now nor later does an answer come.
    down: bool,
    /// Calls are answered 503.
    full: bool,
    /// Answers break off in their middle.
    halves: bool,
    /// Counts the times that all open calls were swallowed or reset.
    hushed: u64,
    reset: u64,
    /// Open watches: when each was made, its wait, and the version that it knows.
    open: Vec<(Instant, Duration, u64)>,
    calls: usize,
    /// Every answer comes so much late: as a client that is late would look from outside.
    late: Duration,
}

#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    has: Arc<(Mutex<Has>, Condvar)>,
}

impl Agent {
    pub fn start(entries: &[(String, String)]) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let agent = Agent { address: listener.local_addr().expect("its address"), has: Arc::default() };
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

    fn has(&self) -> MutexGuard<'_, Has> {
        self.has.0.lock().expect("no panic holds it")
    }

    fn with<T>(&self, change: impl FnOnce(&mut Has) -> T) -> T {
        let done = change(&mut self.has());
        self.has.1.notify_all();
        done
    }

    /// It gets these entries now.
    pub fn change(&self, entries: &[(String, String)]) {
        self.with(|has| {
            has.index += 1;
            let index = has.index;
            has.entries.extend(entries.iter().map(|(name, text)| (name.clone(), (index, text.clone()))));
        });
    }

    pub fn set_unresponsive(&self, down: bool) {
        self.with(|has| has.down = down);
    }

    pub fn set_at_capacity(&self, full: bool) {
        self.with(|has| has.full = full);
    }

    pub fn set_truncated(&self, halves: bool) {
        self.with(|has| has.halves = halves);
    }

    pub fn set_delay(&self, late: Duration) {
        self.with(|has| has.late = late);
    }

    /// All open watches fall silent. When what they miss counts as told, by the protocol's clock.
    pub fn silence_watches(&self) -> Instant {
        let now = Instant::now();
        let open = self.with(|has| {
            has.hushed += 1;
            std::mem::take(&mut has.open)
        });
        let after = |(at, wait, _)| at + wait + Duration::from_secs(2);
        open.into_iter().map(after).fold(now + Duration::from_secs(6), Instant::max)
    }

    /// All connections end.
    pub fn reset_connections(&self) {
        self.with(|has| has.reset += 1);
    }

    pub fn calls(&self) -> usize {
        self.has().calls
    }

    /// Waits until a watch is open that knows the newest version.
    pub fn await_watch(&self) {
        self.await_watches(1);
    }

    /// Waits until so many such watches are open.
    pub fn await_watches(&self, many: usize) {
        let mut has = self.has();
        while has.open.iter().filter(|(_, _, index)| *index == has.index).count() < many {
            has = self.has.1.wait_timeout(has, super::LONG).expect("no panic holds it").0;
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        let reset = self.has().reset;
        while let Some(message) = read(&mut stream) {
            let query = |name: &str| {
                let line = message.head.lines().next().unwrap_or_default();
                let (_, rest) = line.split_once(&format!("{name}="))?;
                rest.split(['&', ' ']).next()?.parse::<u64>().ok()
            };
            let Some(text) = self.await_news(query("index"), query("wait").unwrap_or(0), reset) else {
                let _ = stream.get_mut().shutdown(Shutdown::Both);
                return;
            };
            if text.is_empty() {
                // Swallowed: it stays open until the other side ends it.
                while read(&mut stream).is_some() {}
                return;
            }
            let status = if self.has().full { "503 Service Unavailable" } else { "200 OK" };
            let text = answer(status, "", &text);
            if self.has().halves {
                let _ = stream.get_mut().write_all(&text.as_bytes()[..text.len() / 2]);
                let _ = stream.get_mut().shutdown(Shutdown::Both);
                return;
            }
            let _ = stream.get_mut().write_all(text.as_bytes());
        }
    }

    /// What a call gets: None, if its connection is reset; nothing, if it is swallowed.
    fn await_news(&self, index: Option<u64>, wait: u64, reset: u64) -> Option<String> {
        let (asked, wait) = (Instant::now(), Duration::from_millis(wait));
        let mut has = self.has();
        has.calls += 1;
        let hushed = has.hushed;
        let watch = index == Some(has.index) && !has.down && wait > Duration::from_millis(100);
        if watch {
            let knows = has.index;
            has.open.push((asked, wait, knows));
            self.has.1.notify_all();
        }
        loop {
            if has.reset != reset {
                return None;
            }
            if has.down || has.hushed != hushed {
                return Some(String::new());
            }
            let left = wait.saturating_sub(asked.elapsed());
            if index != Some(has.index) || left.is_zero() {
                break;
            }
            has = self.has.1.wait_timeout(has, left).expect("no panic holds it").0;
        }
        if watch {
            has.open.retain(|w| (w.0, w.1) != (asked, wait));
        }
        let (version, late) = (has.index, has.late);
        let news = has.entries.values().filter(|(at, _)| index.is_none_or(|index| *at > index));
        let text =
            super::list(version, index.is_none(), &news.map(|(_, text)| text.clone()).collect::<Vec<_>>());
        drop(has);
        thread::sleep(late);
        Some(text)
    }
}

/// A host that notes when each request came, and its id.
pub struct RecordingHost {
    pub host: Host,
    came: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl RecordingHost {
    pub fn start() -> RecordingHost {
        let came = Arc::<Mutex<Vec<(Instant, String)>>>::default();
        let notes = Arc::clone(&came);
        let host = Host::with_handler(move |_, message| {
            let id = message.header("x-request-id").unwrap_or_default().to_owned();
            notes.lock().expect("no panic holds it").push((Instant::now(), id));
            Reply::Write(answer("200 OK", "", "ok"))
        });
        RecordingHost { host, came }
    }

    /// When requests with this id came.
    pub fn arrivals_of(&self, id: &str) -> Vec<Instant> {
        let came = self.came.lock().expect("no panic holds it");
        came.iter().filter(|(_, of)| of == id).map(|(at, _)| *at).collect()
    }
}
