//! Discovery: one agent per proxy, which answers immediately with the endpoint list it currently holds.

use super::http::{self, MessageKind};
use super::listener::{address, Role};
use super::record::{ListEntry, Observation, Shared};
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

/// Maximum wait of a watch (PROTOCOL, "Discovery").
const MAX_WAIT_MS: u64 = 60_000;

/// Notification deadline of a change that a silent watch misses, counted from the start of the silence
/// (PROTOCOL, "Figures").
const SILENCE_DEADLINE_US: Micros = 6_000_000;
/// The notification deadline is no earlier than this long after the end of the watch's wait.
const WAIT_GRACE_US: Micros = 2_000_000;

/// How an agent handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Answers requests.
    #[default]
    Available,
    /// Accepts requests but does not answer them.
    Silent,
    /// Answers every request with 503.
    Unavailable,
}

/// A server as listed by an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// Ready, draining or removed.
    pub state: EndpointState,
    /// Address at which this agent's proxy reaches the server.
    pub address: SocketAddr,
    /// Zone name.
    pub zone: String,
    /// Release label of the server.
    pub release: String,
    /// Start time of the server process; 0 if it was running before the test began.
    pub started: Micros,
}

impl ListedServer {
    /// The entry recorded for this server when a proxy is notified.
    fn entry(&self, server: usize) -> ListEntry {
        ListEntry { server, state: self.state, started: self.started }
    }
}

#[derive(Default)]
struct ListState {
    /// Current version of the list.
    version: u64,
    /// A proxy with an older version than this receives a full snapshot.
    snapshot_before: u64,
    /// Servers by number, each with the version at which it last changed.
    servers: BTreeMap<usize, (ListedServer, u64)>,
    /// The version up to which all changes are recorded as notified.
    notified_version: u64,
    /// Number of open watches.
    open_watches: usize,
    /// When the longest wait among the open watches ends.
    last_wait_end: Micros,
    /// Notification deadline of changes missed by silent watches, until the proxy sends its next request.
    notified_at: Option<Micros>,
}

/// The discovery agent of one proxy.
pub struct Agent {
    proxy: usize,
    /// Listening address.
    pub address: SocketAddr,
    list_state: Mutex<ListState>,
    version: watch::Sender<u64>,
    mode: watch::Sender<Mode>,
    /// Incremented each time all open watches are made silent.
    silencings: watch::Sender<u64>,
    /// The version that the proxy sent with its last watch.
    acknowledged: watch::Sender<Option<u64>>,
    /// Bytes written to the proxy.
    bytes_written: AtomicU64,
    /// The agent runs on the proxy's machine with no fault between them: each change counts as notified at
    /// once.
    is_local: AtomicBool,
    shared: Arc<Shared>,
}

impl Agent {
    /// Starts the agent of a proxy with an empty list.
    pub async fn start(shared: &Arc<Shared>, proxy: usize) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address(Role::Agent, proxy)).await?;
        let agent = Arc::new(Agent {
            proxy,
            address: listener.local_addr()?,
            list_state: Mutex::default(),
            version: watch::Sender::new(0),
            mode: watch::Sender::default(),
            silencings: watch::Sender::default(),
            acknowledged: watch::Sender::default(),
            bytes_written: AtomicU64::new(0),
            is_local: AtomicBool::new(true),
            shared: Arc::clone(shared),
        });
        tokio::spawn(Arc::clone(&agent).accept(listener));
        Ok(agent)
    }

    fn list_state(&self) -> MutexGuard<'_, ListState> {
        self.list_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies an update of one server. An update of a server process that was since restarted or removed is
    /// ignored.
    pub fn update(&self, server: usize, listed: ListedServer) {
        let mut list_state = self.list_state();
        if list_state.servers.get(&server).is_some_and(|(old, _)| {
            old.started > listed.started
                || old.started == listed.started && old.state == EndpointState::Removed
        }) {
            return;
        }
        self.set(&mut list_state, [(server, listed)]);
    }

    /// Applies an update of several servers as one new version, without the check for outdated updates.
    pub fn update_all(&self, servers: impl IntoIterator<Item = (usize, ListedServer)>) {
        self.set(&mut self.list_state(), servers);
    }

    /// Like `update_all`, and the proxy receives a full snapshot next, whichever version it has.
    pub fn update_all_as_snapshot(&self, servers: impl IntoIterator<Item = (usize, ListedServer)>) {
        let mut list_state = self.list_state();
        list_state.snapshot_before = list_state.version + 1;
        self.set(&mut list_state, servers);
    }

    /// Current version of the list.
    pub fn version(&self) -> u64 {
        self.list_state().version
    }

    /// Waits until a watch of the proxy confirms that it has this version.
    pub async fn wait_for_acknowledgement(&self, version: u64) {
        // Cannot fail: the agent owns the sender.
        let _ = self
            .acknowledged
            .subscribe()
            .wait_for(|acknowledged| acknowledged.is_some_and(|a| a >= version))
            .await;
    }

    /// Bytes written to the proxy since the agent started.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written.load(Ordering::Relaxed)
    }

    /// Lists a server in another state than its actual one, or in its actual state again.
    pub fn override_state(&self, server: usize, state: EndpointState) {
        let mut list_state = self.list_state();
        if let Some((listed, _)) = list_state.servers.get(&server).cloned() {
            self.set(&mut list_state, [(server, ListedServer { state, ..listed })]);
        }
    }

    fn set(&self, list_state: &mut ListState, servers: impl IntoIterator<Item = (usize, ListedServer)>) {
        list_state.version += 1;
        let version = list_state.version;
        list_state.servers.extend(servers.into_iter().map(|(server, listed)| (server, (listed, version))));
        self.version.send_replace(version);
        self.record_pending(list_state);
    }

    /// Changes how requests are handled from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
        self.record_pending(&mut self.list_state());
    }

    /// Marks the agent as reached through a relay, or as a stand-in for a shared service: only what is
    /// written to the proxy counts as notified.
    pub fn set_remote(&self) {
        self.is_local.store(false, Ordering::Relaxed);
    }

    /// Makes all open watches silent: they are never answered.
    pub fn silence_watches(&self) {
        let mut list_state = self.list_state();
        if list_state.open_watches > 0 {
            list_state.notified_at =
                Some((self.shared.now() + SILENCE_DEADLINE_US).max(list_state.last_wait_end + WAIT_GRACE_US));
        }
        self.silencings.send_modify(|count| *count += 1);
    }

    /// Records pending changes as notified while the agent is available: now, or by the notification deadline
    /// of silent watches.
    fn record_pending(&self, list_state: &mut ListState) {
        if *self.mode.borrow() != Mode::Available || !self.is_local.load(Ordering::Relaxed) {
            return;
        }
        let new =
            list_state.servers.iter().filter(|(_, (_, version))| *version > list_state.notified_version);
        let entries: Vec<ListEntry> = new.map(|(&server, (listed, _))| listed.entry(server)).collect();
        list_state.notified_version = list_state.version;
        if !entries.is_empty() {
            let now = self.shared.now();
            let at = list_state.notified_at.map_or(now, |at| at.max(now));
            self.shared.record(Observation::ListNotified { proxy: self.proxy, at, entries });
        }
    }

    /// The list as a full snapshot, or as the changes since a version; and the entries that it notifies the
    /// proxy of.
    fn list(&self, since: Option<u64>) -> (Value, Vec<ListEntry>) {
        let list_state = self.list_state();
        let since = since.filter(|since| *since >= list_state.snapshot_before);
        let is_included = |(listed, version): &&(ListedServer, u64)| match since {
            Some(since) => *version > since,
            None => listed.state != EndpointState::Removed,
        };
        let mut endpoints = Vec::new();
        let mut notified = Vec::new();
        for (&server, entry) in list_state.servers.iter().filter(|(_, entry)| is_included(entry)) {
            let listed = &entry.0;
            let status = match listed.state {
                EndpointState::Ready => "up",
                EndpointState::Draining => "draining",
                EndpointState::Removed => "removed",
            };
            notified.push(listed.entry(server));
            endpoints.push(json!({
                "name": name(server), "address": listed.address, "zone": listed.zone, "type": listed.release,
                "group": 0, "status": status, "weight": 1.0,
                "since_ms": self.shared.unix_ms(listed.started),
            }));
        }
        if since.is_none() {
            // A snapshot also notifies the proxy of removals, by omission.
            let all = list_state.servers.iter().map(|(&server, (listed, _))| listed.entry(server));
            notified.extend(all.filter(|entry| entry.state == EndpointState::Removed));
        }
        (json!({"index": list_state.version, "snapshot": since.is_none(), "endpoints": endpoints}), notified)
    }

    fn record_notified(&self, entries: Vec<ListEntry>) {
        if !entries.is_empty() {
            self.shared.record(Observation::ListNotified {
                proxy: self.proxy,
                at: self.shared.now(),
                entries,
            });
        }
    }

    /// The list for a starting proxy process; it counts as notified.
    pub fn initial_list(&self) -> Value {
        let (list, notified) = self.list(None);
        self.record_notified(notified);
        list
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&self).serve_connection(stream));
            }
        }
    }

    async fn serve_connection(self: Arc<Self>, mut stream: TcpStream) {
        let mut buffer = BytesMut::new();
        while let Ok(message) = http::read(&mut stream, &mut buffer, MessageKind::Request).await {
            self.shared.record(Observation::ListRequested { proxy: self.proxy, at: self.shared.now() });
            let path = message.start_line.1;
            let parameter = |key: &str| {
                let (_, query) = path.split_once('?')?;
                query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let since = parameter("index");
            if let Some(since) = since {
                self.acknowledged.send_replace(Some(since));
                let wait = Duration::from_millis(parameter("wait").unwrap_or(0).min(MAX_WAIT_MS));
                let mut version = self.version.subscribe();
                let mut silencings = self.silencings.subscribe();
                let _watch = Watch::open(&self, wait);
                let silent = tokio::select! {
                    _ = tokio::time::timeout(wait, version.wait_for(|v| *v > since)) => false,
                    _ = silencings.changed() => true,
                    () = http::wait_until_closed(&stream) => return,
                };
                if silent {
                    http::wait_until_closed(&stream).await;
                    return;
                }
            }
            if *self.mode.borrow() == Mode::Silent && self.shared.scenario.discovery.poll_interval.is_some() {
                // A stalled shared service never answers the request; an agent answers once it is available
                // again.
                http::wait_until_closed(&stream).await;
                return;
            }
            let mode = {
                let mut mode = self.mode.subscribe();
                tokio::select! {
                    mode = mode.wait_for(|mode| *mode != Mode::Silent) => match mode {
                        Ok(mode) => *mode,
                        Err(_) => return,
                    },
                    () = http::wait_until_closed(&stream) => return,
                }
            };
            let (text, notified) = match mode {
                Mode::Unavailable => (http::format_response(503, "", ""), Vec::new()),
                _ if !path.starts_with("/catalog/members") => {
                    (http::format_response(404, "", ""), Vec::new())
                }
                _ => {
                    let (list, notified) = self.list(since);
                    // The proxy has sent a new request, so it has detected the silent watch.
                    self.list_state().notified_at = None;
                    (
                        http::format_response(200, "Content-Type: application/json\r\n", &list.to_string()),
                        notified,
                    )
                }
            };
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            self.bytes_written.fetch_add(text.len() as u64, Ordering::Relaxed);
            if mode == Mode::Available {
                self.shared.record(Observation::ListAnswered { proxy: self.proxy, at: self.shared.now() });
            }
            self.record_notified(notified);
        }
    }
}

/// An open watch; dropping it closes it.
struct Watch<'a>(&'a Agent);

impl<'a> Watch<'a> {
    fn open(agent: &'a Agent, wait: Duration) -> Self {
        let mut list_state = agent.list_state();
        list_state.open_watches += 1;
        list_state.last_wait_end =
            list_state.last_wait_end.max(agent.shared.now() + wait.as_micros() as Micros);
        Watch(agent)
    }
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        let mut list_state = self.0.list_state();
        list_state.open_watches -= 1;
        if list_state.open_watches == 0 {
            list_state.last_wait_end = 0;
        }
    }
}
