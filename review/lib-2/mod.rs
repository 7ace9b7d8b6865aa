//! Stand-ins for the platform, discovery, fare servers and clients, for the cases 6 to 10. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The programs that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all programs that were started.
fn end_programs() {
    for id in STARTED.lock().unwrap().drain(..) {
        let _ =
            Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {id}")).stderr(Stdio::null()).status();
    }
}

/// The record of a run, and what `run.sh` has told.
pub struct Case {
    pub trouble: bool,
    pub root: PathBuf,
    pub temporary: PathBuf,
    record: Mutex<File>,
    began: Instant,
}

impl Case {
    /// Reads `CASE_DIR`, `CASE_ROOT`, `CASE_TMP` and `TROUBLE`, which `run.sh` sets.
    pub fn begin() -> Arc<Case> {
        let path = |name: &str| PathBuf::from(std::env::var_os(name).unwrap_or_else(|| give_up(name)));
        let record =
            File::create(path("CASE_DIR").join("record.txt")).unwrap_or_else(|e| give_up(&e.to_string()));
        Arc::new(Case {
            trouble: std::env::var("TROUBLE").map_or(true, |t| t != "0"),
            root: path("CASE_ROOT"),
            temporary: path("CASE_TMP"),
            record: Mutex::new(record),
            began: Instant::now(),
        })
    }

    /// Writes one line to the record, with the time since the beginning in seconds.
    pub fn log(&self, line: &str) {
        let text = format!("{:9.4} {line}\n", self.began.elapsed().as_secs_f64());
        let _ = self.record.lock().unwrap().write_all(text.as_bytes());
    }

    /// Ends the run: exit code 1 if a rule was broken, otherwise 0.
    pub fn end(&self, breaks: &[String]) -> ! {
        for line in breaks {
            self.log(&format!("BROKEN {line}"));
            println!("BROKEN {line}");
        }
        self.log(if breaks.is_empty() { "HELD" } else { "BROKEN" });
        println!("{}", if breaks.is_empty() { "held" } else { "broken" });
        end_programs();
        std::process::exit(i32::from(!breaks.is_empty()))
    }
}

/// Ends the run with exit code 2: the case could not run.
pub fn give_up(reason: &str) -> ! {
    println!("could not run: {reason}");
    end_programs();
    std::process::exit(2)
}

/// A class of the settings.
pub struct Class {
    pub name: &'static str,
    pub objective_ms: u64,
    pub deadline_ms: u64,
    pub idempotency: &'static str,
}

/// The classes of midlands-fares.
pub const CLASSES: [Class; 3] = [
    Class { name: "card-check", objective_ms: 400, deadline_ms: 1500, idempotency: "free" },
    Class { name: "journey-lookup", objective_ms: 400, deadline_ms: 1000, idempotency: "free" },
    Class { name: "fare-charge", objective_ms: 600, deadline_ms: 2000, idempotency: "single_shot" },
];

/// The settings that DEPLOY and WIRE describe, with figures of midlands-fares.
pub fn settings(classes: &[Class]) -> String {
    let classes: Vec<String> = classes
        .iter()
        .map(|c| {
            format!(
                r#"{{"deadline_us":{},"dedup_scope":"all","idempotency":"{}","late_value":0.0,"name":"{}","objective_us":{},"repeat_window_us":5000000,"streaming":false,"worth":3.0}}"#,
                c.deadline_ms * 1000,
                c.idempotency,
                c.name,
                c.objective_ms * 1000
            )
        })
        .collect();
    format!(
        r#"{{"azs":["nottingham","derby"],"balancers":2,"charges":{{"connection":0.0,"cross_zone":0.022,"discovery":0.0,"handshake":0.0,"late_fail":0.15,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0072,"waste":0.082}},"classes":[{}],"client_habits":{{"marks_retry":true}},"discovery":"push","family":"mesh","family_info":{{"warm_keys":false}},"invariants":{{"answer_slack_us":20000,"ask_every_us":10000000,"cold_from":0.13,"cold_us":24000000,"drain_grace_us":1000000,"fall_multiple":3.0,"tip_after_us":3000000}},"kinds":["standard-3core"],"limits":{{"cancel":true,"conn_idle_us":5000000,"connect_timeout_us":200000,"cpu_us_per_request":0.0,"cpu_us_per_s":50000,"max_attempts":3,"max_open":20000,"max_retry_after_us":2000000,"max_streams":1,"may_tell":false,"probes":true,"retry_after":true,"second_copies":true}},"locality":"derby","me":0,"over_share_worth":0.2,"report":{{"columns":[],"how":"off"}},"result_mix":{{"whole":0.45,"worst_class":0.3,"worst_tenant":0.1,"worst_window":0.15}},"tenants":[{{"name":"trent-buses","portion":1.0,"quota_per_s":400.0}}],"tick_us":5000,"tier":0,"tiers":["fare-servers"],"weight_source":"rough","worth_by":"request"}}"#,
        classes.join(",")
    )
}

/// A message: its start line, its headers (lower case names) and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// The body ended as its head says.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads messages from a connection. Bytes beyond a message are kept for the next one.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        let _ = stream.set_nodelay(true);
        Reader { stream, buffer: Vec::new() }
    }

    /// Reads more bytes. False at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 65536];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&b| b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, count: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        let mut missing = count;
        while missing > 0 {
            if self.buffer.is_empty() && !self.fill()? {
                return Ok(false);
            }
            let part = missing.min(self.buffer.len());
            body.extend(self.buffer.drain(..part));
            missing -= part;
        }
        Ok(true)
    }

    /// Reads the head of a message. `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        let Some(start) = self.line()? else { return Ok(None) };
        message.start = start;
        loop {
            let Some(line) = self.line()? else { return Ok(None) };
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
    }

    /// Reads the body of a message whose head has been read. An error or an early end leaves it incomplete.
    pub fn body(&mut self, message: &mut Message) {
        message.is_whole = if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            self.chunks(&mut message.body).unwrap_or(false)
        } else {
            let length = message.header("content-length").parse().unwrap_or(0);
            self.take(length, &mut message.body).unwrap_or(false)
        };
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(line) = self.line()? else { return Ok(false) };
            let Ok(size) = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16) else {
                return Ok(false);
            };
            if !self.take(size, body)? {
                return Ok(false);
            }
            let Some(_) = self.line()? else { return Ok(false) };
            if size == 0 {
                return Ok(true);
            }
        }
    }

    /// Reads a whole message. `None` at the end of the connection.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        self.body(&mut message);
        Ok(Some(message))
    }
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| give_up(&e.to_string()));
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// A free address on which nothing listens. Connections made on this machine begin at 127.0.0.1, so they do not take it.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.11:0").unwrap_or_else(|e| give_up(&e.to_string()));
    listener.local_addr().unwrap()
}

/// Discovery's agent: answers calls at once with what it has, and watches when that changes.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<(Mutex<(u64, String)>, Condvar)>,
}

impl Agent {
    /// An agent that lists these fare servers as long running.
    pub fn start(servers: &[SocketAddr]) -> Agent {
        let (listener, address) = listen();
        let agent = Agent { address, state: Arc::new((Mutex::new((1, entries(servers))), Condvar::new())) };
        let serving = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = serving.clone();
                thread::spawn(move || agent.serve(stream));
            }
        });
        agent
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Ok(Some(call)) = reader.message() {
            let figure = |name: &str| {
                let (_, query) = call.path().split_once('?')?;
                query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let known = figure("index").unwrap_or(0);
            let end = Instant::now() + ms(figure("wait").unwrap_or(0));
            let mut state = self.state.0.lock().unwrap();
            while state.0 <= known && Instant::now() < end {
                let left = end.saturating_duration_since(Instant::now());
                state = self.state.1.wait_timeout(state, left).unwrap().0;
            }
            let is_news = state.0 > known;
            let list = if is_news { state.1.as_str() } else { "" };
            let text = format!(r#"{{"index":{},"snapshot":{is_news},"endpoints":[{list}]}}"#, state.0);
            drop(state);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if reader.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// The entries of a list of fare servers.
pub fn entries(servers: &[SocketAddr]) -> String {
    let entry = |(number, address): (usize, &SocketAddr)| {
        format!(
            r#"{{"name":"s-{number}","address":"{address}","zone":"derby","type":"standard-3core","group":0,"status":"up","weight":1.0,"since_ms":0}}"#
        )
    };
    servers.iter().enumerate().map(entry).collect::<Vec<_>>().join(",")
}

/// What a fare server has run, by request id.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<BTreeMap<String, usize>>>);

impl Runs {
    pub fn record(&self, id: &str) -> usize {
        let mut runs = self.0.lock().unwrap();
        let count = runs.entry(id.to_owned()).or_default();
        *count += 1;
        *count
    }

    pub fn count(&self, id: &str) -> usize {
        self.0.lock().unwrap().get(id).copied().unwrap_or(0)
    }
}

/// One exchange at a fare server.
pub struct Exchange<'a> {
    pub request: &'a Message,
    pub stream: &'a mut TcpStream,
    /// The connection, counted from 1.
    pub connection: usize,
    /// The exchange on its connection, counted from 1.
    pub number: usize,
}

/// A fare server. It begins a request when its last byte has arrived, records that as a run, and lets `answer` write the
/// answer. It closes the connection if `answer` returns false, and after 5 s without a request.
pub fn fare_server(
    case: &Arc<Case>,
    name: &'static str,
    runs: &Runs,
    answer: impl Fn(Exchange<'_>) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    let (listener, address) = listen();
    let (case, runs, answer) = (Arc::clone(case), runs.clone(), Arc::new(answer));
    let connections = AtomicUsize::new(0);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let connection = connections.fetch_add(1, Ordering::Relaxed) + 1;
            let (case, runs, answer) = (Arc::clone(&case), runs.clone(), Arc::clone(&answer));
            thread::spawn(move || {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
                let mut reader = Reader::new(stream);
                let mut number = 0;
                while let Ok(Some(request)) = reader.message() {
                    if !request.is_whole {
                        return;
                    }
                    number += 1;
                    let id = request.header("x-request-id").to_owned();
                    let count = runs.record(&id);
                    let (start, timeout) = (&request.start, request.header("x-timeout"));
                    case.log(&format!(
                        "{name} connection {connection}: runs {id} (run {count}), {:.60}, X-Timeout {timeout}",
                        start
                    ));
                    let stream = &mut reader.stream;
                    if !answer(Exchange { request: &request, stream, connection, number }) {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A 200 answer with this body.
pub fn served(body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    text.extend_from_slice(body);
    text
}

/// One client proxy, started by the command of the deploy file.
pub struct Proxy {
    pub child: Child,
    pub listen: SocketAddr,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        STARTED.lock().unwrap().retain(|&id| id != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// How a proxy is started.
pub struct Start<'a> {
    pub discovery: SocketAddr,
    pub servers: &'a [SocketAddr],
    pub settings: String,
    pub memory_mb: usize,
    pub sockets: usize,
}

/// Starts a proxy and waits until it is ready.
pub fn start_proxy(case: &Case, start: &Start<'_>) -> Proxy {
    let listen = free_address();
    let proxy = spawn_proxy(case, start, listen, None, "");
    let end = Instant::now() + Duration::from_secs(30);
    while !is_ready(listen) {
        if Instant::now() > end {
            give_up("the proxy is not ready");
        }
        thread::sleep(ms(50));
    }
    case.log("proxy ready");
    proxy
}

extern "C" {
    fn dup2(from: i32, to: i32) -> i32;
}

/// The descriptor by which a process inherits the platform's listening socket (DAYS, "Upgrades").
const LISTENER_DESCRIPTOR: i32 = 7;

/// Starts a process that takes clients from the platform's listening socket, and waits until it says that it does. Two
/// such processes share their folder.
pub fn start_process(case: &Case, start: &Start<'_>, listener: &TcpListener) -> Proxy {
    let listen = listener.local_addr().unwrap();
    let operator = free_address();
    let proxy =
        spawn_proxy(case, start, listen, Some(listener.as_raw_fd()), &format!(r#""operator":"{operator}","#));
    let end = Instant::now() + Duration::from_secs(30);
    while !says_yes(operator) {
        if Instant::now() > end {
            give_up("the proxy is not ready");
        }
        thread::sleep(ms(50));
    }
    case.log(&format!("process {} says yes", proxy.child.id()));
    proxy
}

fn says_yes(operator: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(operator) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut answer = [0; 3];
    stream.write_all(b"HEALTH\n").is_ok() && stream.read_exact(&mut answer).is_ok() && &answer == b"YES"
}

fn spawn_proxy(
    case: &Case,
    start: &Start<'_>,
    listen: SocketAddr,
    listener: Option<i32>,
    operator: &str,
) -> Proxy {
    let text = format!(
        r#"{{"name":"n1","listen":"{listen}",{operator}"discovery":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{{"index":1,"snapshot":true,"endpoints":[{}]}},"settings":{}}}"#,
        start.discovery,
        start.memory_mb,
        start.sockets,
        entries(start.servers),
        start.settings
    );
    let config = case.temporary.join("config.json");
    let shared = case.temporary.join("proxy");
    let _ = std::fs::create_dir_all(&shared);
    std::fs::write(&config, text).unwrap_or_else(|e| give_up(&e.to_string()));
    let log = File::options().create(true).append(true).open(case.temporary.join("proxy.log"));
    let log = log.unwrap_or_else(|e| give_up(&e.to_string()));
    let mut command = Command::new("/bin/sh");
    if let Some(listener) = listener {
        command.env("RELAY_ACCEPT_FD", LISTENER_DESCRIPTOR.to_string());
        // SAFETY: the child only copies a descriptor, which may be done between fork and exec.
        unsafe {
            command.pre_exec(move || {
                if dup2(listener, LISTENER_DESCRIPTOR) < 0 {
                    return Err(io::Error::last_os_error());
                }
                Ok(())
            });
        }
    }
    let child = command
        .arg("-c")
        .arg(run_command(&case.root))
        .current_dir(&case.root)
        .env("RELAY_NAME", "n1")
        .env("RELAY_LISTEN", listen.to_string())
        .env("RELAY_DISCOVERY", start.discovery.to_string())
        .env("RELAY_CONFIG", &config)
        .env("TMPDIR", &shared)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap_or_else(|e| give_up(&e.to_string()));
    let proxy = Proxy { child, listen };
    STARTED.lock().unwrap().push(proxy.child.id());
    // For `run.sh`, should this program be ended from outside.
    let mut ids = File::options().create(true).append(true).open(case.temporary.join("ids")).unwrap();
    let _ = writeln!(ids, "{}", proxy.child.id());
    case.log(&format!("proxy {} started at {listen}", proxy.child.id()));
    proxy
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(address) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut reader = Reader::new(stream);
    let call = b"GET /_health HTTP/1.1\r\nHost: service.internal\r\n\r\n";
    reader.stream.write_all(call).is_ok()
        && matches!(reader.message(), Ok(Some(answer)) if answer.status() == 200)
}

/// The value of `run` in the deploy file.
fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))
        .unwrap_or_else(|e| give_up(&e.to_string()));
    let line = text.lines().find(|line| line.starts_with("run")).unwrap_or_else(|| give_up("no run command"));
    line.split('"').nth(1).unwrap_or_else(|| give_up("no run command")).to_owned()
}

impl Proxy {
    /// Sends a signal to the program that `run` started.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

/// A request of a client. Its head is that of the protocol page.
pub fn request(class: &str, id: &str, timeout_ms: u64, extra: &str, body: Option<&[u8]>) -> Vec<u8> {
    let method = if body.is_some() { "POST" } else { "GET" };
    let length = body.map_or(String::new(), |body| format!("Content-Length: {}\r\n", body.len()));
    let mut text = format!(
        "{method} /{class}/1 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Tenant-Id: trent-buses\r\n\
         X-Timeout: {timeout_ms}m\r\n{extra}{length}\r\n"
    )
    .into_bytes();
    text.extend_from_slice(body.unwrap_or_default());
    text
}

/// A request id in the form of the protocol page.
pub fn id(number: u64) -> String {
    format!("9b1f03aa{:08x}", number)
}

/// A client connection.
pub fn connect(address: SocketAddr) -> Reader {
    let stream =
        TcpStream::connect(address).unwrap_or_else(|e| give_up(&format!("client cannot connect: {e}")));
    Reader::new(stream)
}
