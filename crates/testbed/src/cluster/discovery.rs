//! Discovery: an agent beside each proxy, which answers at once with what it has been sent.

use super::http::{self, Side};
use super::listener::{address, Role};
use super::record::{Seen, Shared, Word};
use super::servers::name;
use bytes::BytesMut;
use oakport_core::{EndpointState, Micros};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Longest that a call may wait (PROTOCOL, "Discovery").
const LONGEST_WAIT: u64 = 60_000;

/// What a watch that fell silent misses counts as told so long after that, and not before so long after its wait
/// (PROTOCOL, "Figures").
const SILENCE: Micros = 6_000_000;
const AFTER_WAIT: Micros = 2_000_000;

/// What an agent does when it is asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// It answers.
    #[default]
    Available,
    /// It takes the question and says nothing.
    Silent,
    /// It answers 503.
    Unavailable,
}

/// A server as an agent knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Whether it is listed, drains, or is gone.
    pub state: EndpointState,
    /// Where this proxy reaches it.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// The label of what runs there.
    pub release: String,
    /// When its process started; 0: long ago.
    pub started: Micros,
}

impl Member {
    /// What is told of it, by its number.
    fn word(&self, server: usize) -> Word {
        Word { server, state: self.state, started: self.started }
    }
}

#[derive(Default)]
struct Known {
    index: u64,
    /// Whoever has an older version than this is told the whole list.
    whole_from: u64,
    /// By the server's number, with the version at which it last changed.
    members: BTreeMap<usize, (Member, u64)>,
    /// The version up to which all is told.
    told: u64,
    /// Watches that are open, and when the longest wait among them is over.
    watches: usize,
    over: Micros,
    /// While the watches are silent and none has come since: when what they miss counts as told.
    told_at: Option<Micros>,
}

/// The agent of one proxy.
pub struct Agent {
    proxy: usize,
    /// Where it listens.
    pub address: SocketAddr,
    known: Mutex<Known>,
    version: watch::Sender<u64>,
    mode: watch::Sender<Mode>,
    /// Counts the times that all open watches fell silent.
    hushed: watch::Sender<u64>,
    /// The version that its proxy last said it has.
    has: watch::Sender<Option<u64>>,
    /// Bytes that were written to its proxy.
    written: AtomicU64,
    /// It is on the proxy's own machine: nothing comes between, and what it has counts as told.
    near: AtomicBool,
    shared: Arc<Shared>,
}

impl Agent {
    /// Starts the agent of a proxy, which knows no server yet.
    pub async fn start(shared: &Arc<Shared>, proxy: usize) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address(Role::Agent, proxy)).await?;
        let agent = Arc::new(Agent {
            proxy,
            address: listener.local_addr()?,
            known: Mutex::default(),
            version: watch::Sender::new(0),
            mode: watch::Sender::default(),
            hushed: watch::Sender::default(),
            has: watch::Sender::default(),
            written: AtomicU64::new(0),
            near: AtomicBool::new(true),
            shared: Arc::clone(shared),
        });
        tokio::spawn(Arc::clone(&agent).accept(listener));
        Ok(agent)
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// It has been sent news of a server. Old news of a process that another has followed are passed over.
    pub fn update(&self, server: usize, member: Member) {
        let mut known = self.known();
        if known.members.get(&server).is_some_and(|(old, _)| {
            old.started > member.started
                || old.started == member.started && old.state == EndpointState::Removed
        }) {
            return;
        }
        self.set(&mut known, [(server, member)]);
    }

    /// It has been sent news of many servers as one, whatever it had of them.
    pub fn update_all(&self, members: impl IntoIterator<Item = (usize, Member)>) {
        self.set(&mut self.known(), members);
    }

    /// The same, and it begins anew: its proxy is told the whole list, whatever version that has.
    pub fn update_all_as_snapshot(&self, members: impl IntoIterator<Item = (usize, Member)>) {
        let mut known = self.known();
        known.whole_from = known.index + 1;
        self.set(&mut known, members);
    }

    /// The version of what it has.
    pub fn version(&self) -> u64 {
        self.known().index
    }

    /// Waits until its proxy says, with its next call, that it has this version.
    pub async fn wait_for_acknowledgement(&self, version: u64) {
        // The sender is this agent's own, so that it cannot be gone.
        let _ = self.has.subscribe().wait_for(|has| has.is_some_and(|has| has >= version)).await;
    }

    /// Bytes that were written to its proxy since its start.
    pub fn bytes_written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// For a while it tells of a server what is not so, or stops doing so.
    pub fn override_state(&self, server: usize, state: EndpointState) {
        let mut known = self.known();
        if let Some((member, _)) = known.members.get(&server).cloned() {
            self.set(&mut known, [(server, Member { state, ..member })]);
        }
    }

    fn set(&self, known: &mut Known, members: impl IntoIterator<Item = (usize, Member)>) {
        known.index += 1;
        let index = known.index;
        known.members.extend(members.into_iter().map(|(server, member)| (server, (member, index))));
        self.version.send_replace(index);
        self.count(known);
    }

    /// What it does when it is asked, from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
        self.count(&mut self.known());
    }

    /// A relay is between it and its proxy, or it stands for a service that all share: only what is written there counts as told.
    pub fn set_remote(&self) {
        self.near.store(false, Ordering::Relaxed);
    }

    /// All open watches fall silent, for ever.
    pub fn silence_watches(&self) {
        let mut known = self.known();
        if known.watches > 0 {
            known.told_at = Some((self.shared.now() + SILENCE).max(known.over + AFTER_WAIT));
        }
        self.hushed.send_modify(|times| *times += 1);
    }

    /// Counts as told what it has, while it answers: at once, or when silent watches were to be noticed.
    fn count(&self, known: &mut Known) {
        if *self.mode.borrow() != Mode::Available || !self.near.load(Ordering::Relaxed) {
            return;
        }
        let new = known.members.iter().filter(|(_, (_, index))| *index > known.told);
        let entries: Vec<Word> = new.map(|(&server, (member, _))| member.word(server)).collect();
        known.told = known.index;
        if !entries.is_empty() {
            let now = self.shared.now();
            let at = known.told_at.map_or(now, |at| at.max(now));
            self.shared.saw(Seen::Told { proxy: self.proxy, at, entries });
        }
    }

    /// What it holds, as a whole list, or as changes since a version; and what that tells.
    fn list(&self, since: Option<u64>) -> (Value, Vec<Word>) {
        let known = self.known();
        let since = since.filter(|since| *since >= known.whole_from);
        let wanted = |(member, index): &&(Member, u64)| match since {
            Some(since) => *index > since,
            None => member.state != EndpointState::Removed,
        };
        let (mut endpoints, mut told) = (Vec::new(), Vec::new());
        for (&server, entry) in known.members.iter().filter(|(_, entry)| wanted(entry)) {
            let member = &entry.0;
            let status = match member.state {
                EndpointState::Ready => "up",
                EndpointState::Draining => "draining",
                EndpointState::Removed => "removed",
            };
            told.push(member.word(server));
            endpoints.push(json!({
                "name": name(server), "address": member.address, "zone": member.zone, "type": member.release,
                "group": 0, "status": status, "weight": 1.0,
                "since_ms": self.shared.unix_ms(member.started),
            }));
        }
        if since.is_none() {
            // A whole list tells also what is not in it.
            let all = known.members.iter().map(|(&server, (member, _))| member.word(server));
            told.extend(all.filter(|word| word.state == EndpointState::Removed));
        }
        (json!({"index": known.index, "snapshot": since.is_none(), "endpoints": endpoints}), told)
    }

    fn told(&self, entries: Vec<Word>) {
        if !entries.is_empty() {
            self.shared.saw(Seen::Told { proxy: self.proxy, at: self.shared.now(), entries });
        }
    }

    /// The list for a process that starts; it counts as told.
    pub fn initial_list(&self) -> Value {
        let (list, told) = self.list(None);
        self.told(told);
        list
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&self).connection(stream));
            }
        }
    }

    async fn connection(self: Arc<Self>, mut stream: TcpStream) {
        let mut buffer = BytesMut::new();
        while let Ok(message) = http::read(&mut stream, &mut buffer, Side::Asks).await {
            self.shared.saw(Seen::Asked { proxy: self.proxy, at: self.shared.now() });
            let path = message.first.1;
            let figure = |key: &str| {
                let (_, query) = path.split_once('?')?;
                query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let since = figure("index");
            if let Some(since) = since {
                self.has.send_replace(Some(since));
                let wait = Duration::from_millis(figure("wait").unwrap_or(0).min(LONGEST_WAIT));
                let (mut version, mut hushed) = (self.version.subscribe(), self.hushed.subscribe());
                let _watch = Watch::open(&self, wait);
                let silent = tokio::select! {
                    _ = tokio::time::timeout(wait, version.wait_for(|v| *v > since)) => false,
                    _ = hushed.changed() => true,
                    () = http::closed(&stream) => return,
                };
                if silent {
                    http::closed(&stream).await;
                    return;
                }
            }
            if *self.mode.borrow() == Mode::Silent && self.shared.day.discovery.poll_interval.is_some() {
                // A service that stands still swallows what it is asked; an agent answers once it goes on.
                http::closed(&stream).await;
                return;
            }
            let mode = {
                let mut mode = self.mode.subscribe();
                tokio::select! {
                    mode = mode.wait_for(|mode| *mode != Mode::Silent) => match mode {
                        Ok(mode) => *mode,
                        Err(_) => return,
                    },
                    () = http::closed(&stream) => return,
                }
            };
            let (text, told) = match mode {
                Mode::Unavailable => (http::answer(503, "", ""), Vec::new()),
                _ if !path.starts_with("/catalog/members") => (http::answer(404, "", ""), Vec::new()),
                _ => {
                    let (list, told) = self.list(since);
                    // Whoever asks has noticed that its watch was silent.
                    self.known().told_at = None;
                    (http::answer(200, "Content-Type: application/json\r\n", &list.to_string()), told)
                }
            };
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            self.written.fetch_add(text.len() as u64, Ordering::Relaxed);
            if mode == Mode::Available {
                self.shared.saw(Seen::Answered { proxy: self.proxy, at: self.shared.now() });
            }
            self.told(told);
        }
    }
}

/// A watch that is open.
struct Watch<'a>(&'a Agent);

impl<'a> Watch<'a> {
    fn open(agent: &'a Agent, wait: Duration) -> Self {
        let mut known = agent.known();
        known.watches += 1;
        known.over = known.over.max(agent.shared.now() + wait.as_micros() as Micros);
        Watch(agent)
    }
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        let mut known = self.0.known();
        known.watches -= 1;
        if known.watches == 0 {
            known.over = 0;
        }
    }
}
