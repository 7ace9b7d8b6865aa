//! The lab's own forwarder: it sends each request to a server picked at random. It is the baseline of what a hop costs,
//! and, with one of its switches, breaks one rule for the judge to find.

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

/// The variable that tells where a server listens that no list names.
pub const DECOY: &str = "OAKPORT_LAB_DECOY";
/// Servers that are tried for a request that none has taken.
const TRIES: usize = 3;
/// One in so many is met, where a switch does not meet all.
const ONE_IN: u32 = 100;
/// It gives a request up so long before its deadline, for its answer has a way to go.
const EARLY: Duration = Duration::from_millis(30);
/// For so long new connections still come after SIGTERM (PROTOCOL, "Figures").
const STILL: Duration = Duration::from_millis(400);
/// How long discovery may wait for news, in milliseconds.
const WAIT: u64 = 20_000;

/// What it does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Broken {
    /// It answers each request in a hundred twice
    AnswersTwice,
    /// It loses one request in a hundred
    Loses,
    /// It sends what may not run again twice
    Repeats,
    /// It sends to servers that drain, as long as they answer
    ToDrained,
    /// It sends all to the server that started last
    FloodsCold,
    /// It picks among all servers alike, cold or not
    IgnoresCold,
    /// It sends one request in a hundred to a server that no list names
    ToUnlisted,
    /// It cuts one body in a hundred and says nothing of it
    CutsBodies,
    /// It ends at once on SIGTERM
    IgnoresGrace,
}

/// A server as the list has it.
#[derive(Clone, Debug)]
struct Listed {
    address: SocketAddr,
    up: bool,
    since_ms: u64,
}

struct Forwarder {
    broken: Option<Broken>,
    list: RefCell<BTreeMap<String, Listed>>,
    index: Cell<u64>,
    cold_ms: u64,
    idle: Duration,
    resting: RefCell<HashMap<SocketAddr, Vec<(TcpStream, Instant)>>>,
    random: RefCell<Pcg64>,
    count: Cell<u32>,
    open: Cell<usize>,
    ending: tokio::sync::watch::Sender<bool>,
}

/// Serves by the environment that the platform gives, until SIGTERM.
///
/// # Errors
/// The environment or the configuration is not as the platform's.
pub async fn run(broken: Option<Broken>) -> Result<(), String> {
    let told = |name: &str| std::env::var(name).map_err(|_| format!("{name} is not set"));
    let text = std::fs::read_to_string(told("RELAY_CONFIG")?).map_err(|e| format!("RELAY_CONFIG: {e}"))?;
    let config: Value = serde_json::from_str(&text).map_err(|e| format!("RELAY_CONFIG: {e}"))?;
    let settings = &config["settings"];
    let figure = |part: &str, key: &str| settings[part][key].as_u64().unwrap_or(0);
    let seed = config["seed"].as_str().and_then(|seed| u64::from_str_radix(seed, 16).ok()).unwrap_or(0);
    let forwarder = Rc::new(Forwarder {
        broken,
        list: RefCell::default(),
        index: Cell::new(0),
        cold_ms: figure("invariants", "cold_us") / 1_000,
        idle: Duration::from_micros(figure("limits", "conn_idle_us") / 2),
        resting: RefCell::default(),
        random: RefCell::new(Pcg64::seed_from_u64(seed)),
        count: Cell::new(0),
        open: Cell::new(0),
        ending: tokio::sync::watch::Sender::new(false),
    });
    forwarder.learn(&config["known"]);
    let listen: SocketAddr = told("RELAY_LISTEN")?.parse().map_err(|e| format!("RELAY_LISTEN: {e}"))?;
    let discovery = told("RELAY_DISCOVERY")?.parse().map_err(|e| format!("RELAY_DISCOVERY: {e}"))?;
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("{listen}: {e}"))?;
    tokio::task::spawn_local(Rc::clone(&forwarder).watch(discovery));
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    tokio::select! {
        () = forwarder.accept(&listener) => {}
        _ = term.recv() => {}
    }
    if broken == Some(Broken::IgnoresGrace) {
        return Ok(());
    }
    tokio::select! {
        () = forwarder.accept(&listener) => {}
        () = sleep(STILL) => {}
    }
    drop(listener);
    forwarder.ending.send_replace(true);
    while forwarder.open.get() > 0 {
        sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

impl Forwarder {
    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                let own = Rc::clone(self);
                own.open.set(own.open.get() + 1);
                tokio::task::spawn_local(async move {
                    own.serve(stream).await;
                    own.open.set(own.open.get() - 1);
                });
            }
        }
    }

    /// Takes news of the list in.
    fn learn(&self, news: &Value) {
        self.index.set(news["index"].as_u64().unwrap_or(0));
        let mut list = self.list.borrow_mut();
        let drained = self.broken == Some(Broken::ToDrained);
        if news["snapshot"].as_bool() == Some(true) && !drained {
            list.clear();
        }
        for entry in news["endpoints"].as_array().into_iter().flatten() {
            let (Some(name), Some(Ok(address))) =
                (entry["name"].as_str(), entry["address"].as_str().map(str::parse))
            else {
                continue;
            };
            let (up, since_ms) = (entry["status"] == "up", entry["since_ms"].as_u64().unwrap_or(0));
            list.insert(name.to_owned(), Listed { address, up, since_ms });
        }
    }

    async fn watch(self: Rc<Self>, discovery: SocketAddr) {
        loop {
            // Discovery may be away for a while.
            let _ = self.watch_once(discovery).await;
            sleep(Duration::from_millis(100)).await;
        }
    }

    async fn watch_once(&self, discovery: SocketAddr) -> std::io::Result<()> {
        let (mut stream, mut buffer) = (TcpStream::connect(discovery).await?, BytesMut::new());
        loop {
            let index = self.index.get();
            let text =
                format!("GET /catalog/members?index={index}&wait={WAIT} HTTP/1.1\r\nHost: discovery\r\n\r\n");
            stream.write_all(text.as_bytes()).await?;
            let answer = http::read(&mut stream, &mut buffer, MessageKind::Response).await?;
            if answer.status() == 200 {
                self.learn(&serde_json::from_slice(&answer.body)?);
            } else {
                sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// The request of this number is the one in a hundred.
    fn this_one(&self, number: u32, broken: Broken) -> bool {
        self.broken == Some(broken) && number.is_multiple_of(ONE_IN)
    }

    fn pick(&self, number: u32) -> Option<SocketAddr> {
        let list = self.list.borrow();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_millis() as u64);
        let warm = |s: &&Listed| s.up && s.since_ms + self.cold_ms < unix;
        let random = |all: Vec<&Listed>| {
            let place = self.random.borrow_mut().gen_range(0..all.len().max(1));
            all.get(place).map(|s| s.address)
        };
        let drained: Vec<&Listed> = list.values().filter(|s| !s.up).collect();
        match self.broken {
            Some(Broken::ToDrained) if !drained.is_empty() => random(drained),
            Some(Broken::FloodsCold) => {
                list.values().filter(|s| s.up).max_by_key(|s| s.since_ms).map(|s| s.address)
            }
            Some(Broken::IgnoresCold) => random(list.values().filter(|s| s.up).collect()),
            _ if self.this_one(number, Broken::ToUnlisted) => std::env::var(DECOY).ok()?.parse().ok(),
            _ => random(list.values().filter(warm).collect()),
        }
    }

    async fn serve(&self, mut stream: TcpStream) {
        // It only saves time.
        let _ = stream.set_nodelay(true);
        let mut buffer = BytesMut::new();
        let mut ending = self.ending.subscribe();
        loop {
            let begun = tokio::select! {
                begun = http::wait_for_bytes(&mut stream, &mut buffer) => begun,
                _ = ending.wait_for(|ending| *ending) => return,
            };
            if !matches!(begun, Ok(true)) {
                return;
            }
            let Ok(request) = http::read(&mut stream, &mut buffer, MessageKind::Request).await else {
                return;
            };
            let number = self.count.get() + 1;
            self.count.set(number);
            let text = self.answer(&request, number).await;
            if self.this_one(number, Broken::Loses) {
                return;
            }
            let times = if self.this_one(number, Broken::AnswersTwice) { 2 } else { 1 };
            if stream.write_all(text.repeat(times).as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// The whole answer to a request.
    async fn answer(&self, request: &Message, number: u32) -> String {
        if request.start_line.1 == "/_health" {
            return http::format_response(200, "", "");
        }
        let time = request.header("x-timeout").and_then(|text| {
            let (figure, micros) = match text.strip_suffix('m') {
                Some(figure) => (figure, 1_000),
                None => (text.strip_suffix('u')?, 1),
            };
            Some(Duration::from_micros(figure.parse::<u64>().ok()? * micros))
        });
        let time = time.unwrap_or(Duration::from_secs(1));
        let deadline = Instant::now() + time.saturating_sub(EARLY);
        for _ in 0..TRIES {
            let Some(address) = self.pick(number) else { break };
            let times =
                if self.broken == Some(Broken::Repeats) && request.start_line.0 == "POST" { 2 } else { 1 };
            let mut answer = None;
            for _ in 0..times {
                answer = match timeout_at(deadline, self.pass(address, request)).await {
                    Ok(answer) => answer,
                    Err(_) => return http::format_response(504, "", ""),
                };
            }
            match answer {
                Some(Some(answer)) if answer.status() == 200 => {
                    let mut body = String::from_utf8_lossy(&answer.body).into_owned();
                    if self.this_one(number, Broken::CutsBodies) {
                        body.truncate(body.len() / 2);
                    }
                    return http::format_response(200, "", &body);
                }
                Some(Some(answer)) if answer.header("x-not-processed").is_some() => {}
                // It may have run.
                Some(_) => return http::format_response(502, "", ""),
                None => {}
            }
        }
        http::format_response(503, "Retry-After: 0.2\r\n", "")
    }

    /// Sends a request to a server. None: it cannot have run; within: no whole answer came.
    async fn pass(&self, address: SocketAddr, request: &Message) -> Option<Option<Message>> {
        let rested = self.resting.borrow_mut().get_mut(&address).and_then(Vec::pop);
        let rested = rested.filter(|(_, since)| since.elapsed() < self.idle).map(|(stream, _)| stream);
        let mut stream = match rested {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect(address).await.ok()?;
                // It only saves time.
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
        let whole = [head.as_bytes(), &request.body].concat();
        if stream.write_all(&whole).await.is_err() {
            return Some(None);
        }
        let mut buffer = BytesMut::new();
        let answer = http::read(&mut stream, &mut buffer, MessageKind::Response).await.ok();
        if answer.as_ref().is_some_and(|answer| !answer.closes()) {
            self.resting.borrow_mut().entry(address).or_default().push((stream, Instant::now()));
        }
        Some(answer)
    }
}
