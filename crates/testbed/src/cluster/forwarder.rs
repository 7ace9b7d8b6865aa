//! The testbed's forwarder, which sends each request to a random server. It is the baseline for the
//! cost of a hop and, with `--broken`, violates one rule so that the judge can be tested.

use super::http::{self, Message, MessageKind};
use bytes::BytesMut;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{sleep, timeout_at, Instant};

/// Environment variable with the address of a server that is in no endpoint list.
pub const DECOY: &str = "OAKPORT_LAB_DECOY";
/// Maximum attempts for a request that no server has processed.
const MAX_ATTEMPTS: usize = 3;
/// One request in this many is affected by a fault that does not affect all requests.
const FAULT_INTERVAL: u32 = 100;
/// A request is given up this long before its deadline, to leave time for the response to reach the client.
const DEADLINE_MARGIN: Duration = Duration::from_millis(30);
/// How long new connections may still arrive after SIGTERM (PROTOCOL, "Figures").
const SHUTDOWN_ACCEPT_TIME: Duration = Duration::from_millis(400);
/// Longest wait of a watch, in milliseconds.
const WATCH_WAIT_MS: u64 = 20_000;

/// The rule that the forwarder violates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Broken {
    /// Answers one request in a hundred twice
    AnswersTwice,
    /// Closes the connection without an answer to one request in a hundred
    Loses,
    /// Sends each non-idempotent request (POST) twice
    Repeats,
    /// Sends requests to draining servers, as long as they answer
    ToDrained,
    /// Sends all requests to the server that started last
    FloodsCold,
    /// Selects among all servers with equal probability, including those still warming up
    IgnoresCold,
    /// Sends one request in a hundred to a server that is in no endpoint list
    ToUnlisted,
    /// Truncates one response body in a hundred and reports success
    CutsBodies,
    /// Exits immediately on SIGTERM
    IgnoresGrace,
}

/// A server in the endpoint list.
#[derive(Clone, Debug)]
struct ListedServer {
    address: SocketAddr,
    up: bool,
    since_ms: u64,
}

struct Forwarder {
    broken: Option<Broken>,
    list: RefCell<BTreeMap<String, ListedServer>>,
    index: Cell<u64>,
    warm_up_ms: u64,
    max_idle: Duration,
    idle_connections: RefCell<HashMap<SocketAddr, Vec<(TcpStream, Instant)>>>,
    random: RefCell<Pcg64>,
    request_count: Cell<u32>,
    open_connections: Cell<usize>,
    shutting_down: tokio::sync::watch::Sender<bool>,
}

/// Serves, as configured by the platform's environment variables, until SIGTERM.
///
/// # Errors
/// Fails if an environment variable or the configuration file is missing or invalid.
pub async fn run(broken: Option<Broken>) -> Result<(), String> {
    let variable =
        |name: &str| std::env::var(name).map_err(|_| format!("environment variable {name} is not set"));
    let text = std::fs::read_to_string(variable("RELAY_CONFIG")?)
        .map_err(|e| format!("cannot read the file named by RELAY_CONFIG: {e}"))?;
    let config: Value = serde_json::from_str(&text)
        .map_err(|e| format!("the file named by RELAY_CONFIG is not valid JSON: {e}"))?;
    let settings = &config["settings"];
    let setting = |section: &str, key: &str| settings[section][key].as_u64().unwrap_or(0);
    let seed = config["seed"].as_str().and_then(|seed| u64::from_str_radix(seed, 16).ok()).unwrap_or(0);
    let forwarder = Rc::new(Forwarder {
        broken,
        list: RefCell::default(),
        index: Cell::new(0),
        warm_up_ms: setting("invariants", "cold_us") / 1_000,
        max_idle: Duration::from_micros(setting("limits", "conn_idle_us") / 2),
        idle_connections: RefCell::default(),
        random: RefCell::new(Pcg64::seed_from_u64(seed)),
        request_count: Cell::new(0),
        open_connections: Cell::new(0),
        shutting_down: tokio::sync::watch::Sender::new(false),
    });
    forwarder.apply_update(&config["known"]);
    let listen: SocketAddr = variable("RELAY_LISTEN")?
        .parse()
        .map_err(|e| format!("RELAY_LISTEN is not a socket address: {e}"))?;
    let discovery = variable("RELAY_DISCOVERY")?
        .parse()
        .map_err(|e| format!("RELAY_DISCOVERY is not a socket address: {e}"))?;
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    tokio::task::spawn_local(Rc::clone(&forwarder).watch(discovery));
    let mut term =
        signal(SignalKind::terminate()).map_err(|e| format!("cannot install the SIGTERM handler: {e}"))?;
    tokio::select! {
        () = forwarder.accept(&listener) => {}
        _ = term.recv() => {}
    }
    if broken == Some(Broken::IgnoresGrace) {
        return Ok(());
    }
    tokio::select! {
        () = forwarder.accept(&listener) => {}
        () = sleep(SHUTDOWN_ACCEPT_TIME) => {}
    }
    drop(listener);
    forwarder.shutting_down.send_replace(true);
    while forwarder.open_connections.get() > 0 {
        sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

impl Forwarder {
    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                let forwarder = Rc::clone(self);
                forwarder.open_connections.set(forwarder.open_connections.get() + 1);
                tokio::task::spawn_local(async move {
                    forwarder.serve(stream).await;
                    forwarder.open_connections.set(forwarder.open_connections.get() - 1);
                });
            }
        }
    }

    /// Applies a snapshot or an update of the endpoint list.
    fn apply_update(&self, update: &Value) {
        self.index.set(update["index"].as_u64().unwrap_or(0));
        let mut list = self.list.borrow_mut();
        let keeps_removed = self.broken == Some(Broken::ToDrained);
        if update["snapshot"].as_bool() == Some(true) && !keeps_removed {
            list.clear();
        }
        for entry in update["endpoints"].as_array().into_iter().flatten() {
            let (Some(name), Some(Ok(address))) =
                (entry["name"].as_str(), entry["address"].as_str().map(str::parse))
            else {
                continue;
            };
            let up = entry["status"] == "up";
            let since_ms = entry["since_ms"].as_u64().unwrap_or(0);
            list.insert(name.to_owned(), ListedServer { address, up, since_ms });
        }
    }

    async fn watch(self: Rc<Self>, discovery: SocketAddr) {
        loop {
            // A failed watch is retried: discovery may be unavailable for a while.
            let _ = self.watch_once(discovery).await;
            sleep(Duration::from_millis(100)).await;
        }
    }

    async fn watch_once(&self, discovery: SocketAddr) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(discovery).await?;
        let mut buffer = BytesMut::new();
        loop {
            let index = self.index.get();
            let text = format!(
                "GET /catalog/members?index={index}&wait={WATCH_WAIT_MS} HTTP/1.1\r\nHost: discovery\r\n\r\n"
            );
            stream.write_all(text.as_bytes()).await?;
            let answer = http::read(&mut stream, &mut buffer, MessageKind::Response).await?;
            if answer.status() == 200 {
                self.apply_update(&serde_json::from_slice(&answer.body)?);
            } else {
                sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// Whether this request is one of those to which the fault applies.
    fn is_affected(&self, number: u32, broken: Broken) -> bool {
        self.broken == Some(broken) && number.is_multiple_of(FAULT_INTERVAL)
    }

    fn select_server(&self, number: u32) -> Option<SocketAddr> {
        let list = self.list.borrow();
        let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_millis() as u64);
        let is_warm = |s: &&ListedServer| s.up && s.since_ms + self.warm_up_ms < now_ms;
        let random = |all: Vec<&ListedServer>| {
            let index = self.random.borrow_mut().gen_range(0..all.len().max(1));
            all.get(index).map(|s| s.address)
        };
        let not_up: Vec<&ListedServer> = list.values().filter(|s| !s.up).collect();
        match self.broken {
            Some(Broken::ToDrained) if !not_up.is_empty() => random(not_up),
            Some(Broken::FloodsCold) => {
                list.values().filter(|s| s.up).max_by_key(|s| s.since_ms).map(|s| s.address)
            }
            Some(Broken::IgnoresCold) => random(list.values().filter(|s| s.up).collect()),
            _ if self.is_affected(number, Broken::ToUnlisted) => std::env::var(DECOY).ok()?.parse().ok(),
            _ => random(list.values().filter(is_warm).collect()),
        }
    }

    async fn serve(&self, mut stream: TcpStream) {
        // Best effort: TCP_NODELAY only reduces latency.
        let _ = stream.set_nodelay(true);
        let mut buffer = BytesMut::new();
        let mut shutting_down = self.shutting_down.subscribe();
        loop {
            let has_request = tokio::select! {
                begun = http::wait_for_bytes(&mut stream, &mut buffer) => begun,
                _ = shutting_down.wait_for(|shutting_down| *shutting_down) => return,
            };
            if !matches!(has_request, Ok(true)) {
                return;
            }
            let Ok(request) = http::read(&mut stream, &mut buffer, MessageKind::Request).await else {
                return;
            };
            let number = self.request_count.get() + 1;
            self.request_count.set(number);
            let text = self.answer(&request, number).await;
            if self.is_affected(number, Broken::Loses) {
                return;
            }
            let repetitions = if self.is_affected(number, Broken::AnswersTwice) { 2 } else { 1 };
            if stream.write_all(text.repeat(repetitions).as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// The complete response to a request.
    async fn answer(&self, request: &Message, number: u32) -> String {
        if request.start_line.1 == "/_health" {
            return http::format_response(200, "", "");
        }
        let client_timeout = request.header("x-timeout").and_then(|text| {
            let (number, micros_per_unit) = match text.strip_suffix('m') {
                Some(number) => (number, 1_000),
                None => (text.strip_suffix('u')?, 1),
            };
            Some(Duration::from_micros(number.parse::<u64>().ok()? * micros_per_unit))
        });
        let client_timeout = client_timeout.unwrap_or(Duration::from_secs(1));
        let deadline = Instant::now() + client_timeout.saturating_sub(DEADLINE_MARGIN);
        for _ in 0..MAX_ATTEMPTS {
            let Some(address) = self.select_server(number) else { break };
            let copies =
                if self.broken == Some(Broken::Repeats) && request.start_line.0 == "POST" { 2 } else { 1 };
            let mut answer = None;
            for _ in 0..copies {
                answer = match timeout_at(deadline, self.forward(address, request)).await {
                    Ok(answer) => answer,
                    Err(_) => return http::format_response(504, "", ""),
                };
            }
            match answer {
                Some(Some(answer)) if answer.status() == 200 => {
                    let mut body = String::from_utf8_lossy(&answer.body).into_owned();
                    if self.is_affected(number, Broken::CutsBodies) {
                        body.truncate(body.len() / 2);
                    }
                    return http::format_response(200, "", &body);
                }
                Some(Some(answer)) if answer.header("x-not-processed").is_some() => {}
                // The request may have been processed, so it is not retried.
                Some(_) => return http::format_response(502, "", ""),
                None => {}
            }
        }
        http::format_response(503, "Retry-After: 0.2\r\n", "")
    }

    /// Sends a request to a server. The outer `None` means that the request cannot have been processed, the
    /// inner one that no complete response arrived.
    async fn forward(&self, address: SocketAddr, request: &Message) -> Option<Option<Message>> {
        let idle = self.idle_connections.borrow_mut().get_mut(&address).and_then(Vec::pop);
        let idle = idle.filter(|(_, since)| since.elapsed() < self.max_idle).map(|(stream, _)| stream);
        let mut stream = match idle {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect(address).await.ok()?;
                // Best effort: TCP_NODELAY only reduces latency.
                let _ = stream.set_nodelay(true);
                stream
            }
        };
        let id = request.header("x-request-id").unwrap_or_default();
        let (method, path) = &request.start_line;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nContent-Length: {}\r\n\r\n",
            request.body.len()
        );
        let message = [head.as_bytes(), &request.body].concat();
        if stream.write_all(&message).await.is_err() {
            return Some(None);
        }
        let mut buffer = BytesMut::new();
        let answer = http::read(&mut stream, &mut buffer, MessageKind::Response).await.ok();
        if answer.as_ref().is_some_and(|answer| !answer.closes()) {
            self.idle_connections.borrow_mut().entry(address).or_default().push((stream, Instant::now()));
        }
        Some(answer)
    }
}
