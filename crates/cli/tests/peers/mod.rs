//! Stub peers on loopback sockets (endpoints, discovery, clients) and the `oakport` process under test.
#![allow(dead_code)]

pub mod agent;
pub mod bodies;
pub mod faults;
pub mod memory;
pub mod shutdown;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time limit for events that must happen, much longer than they take.
pub const LONG: Duration = Duration::from_secs(20);
/// Observation period after which an event that must not happen counts as absent.
pub const SHORT: Duration = Duration::from_millis(300);

/// An HTTP message. The head is the start line and the headers.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().filter_map(|l| l.split_once(':'));
        fields.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim())
    }

    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status")
    }
}

/// Reads one message with a `Content-Length` body. None at the end of the connection.
pub fn read(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        head += &line;
    }
    let mut message = Message { head, body: Vec::new() };
    let length = message.header("content-length").map_or(0, |l| l.parse().expect("a length"));
    message.body.resize(length, 0);
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// How a stub host responds to a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Writes this text and reads the next request.
    Write(String),
    /// Writes this text and closes the connection.
    WriteAndClose(String),
    /// Writes nothing and keeps the connection open until the proxy closes it ([`HostEvent::Closed`]).
    Silence,
}

pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// An event at a stub host, with the number of its connection.
#[derive(Debug)]
pub enum HostEvent {
    Opened(usize),
    Request(usize, Message),
    Closed(usize),
}

pub struct Host {
    pub address: SocketAddr,
    pub events: Receiver<HostEvent>,
}

impl Host {
    /// A host that replies to each request with `script(n)`, where `n` counts its requests from 0.
    pub fn start(script: impl Fn(usize) -> Reply + Send + Sync + 'static) -> Host {
        Host::with_handler(move |number, _| script(number))
    }

    /// A host whose script is also passed the request.
    pub fn with_handler(script: impl Fn(usize, &Message) -> Reply + Send + Sync + 'static) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (sender, events) = channel();
        let (script, count) = (Arc::new(script), Arc::new(AtomicUsize::new(0)));
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (script, count, sender) = (Arc::clone(&script), Arc::clone(&count), sender.clone());
                thread::spawn(move || serve(number, stream, &*script, &count, &sender));
            }
        });
        Host { address, events }
    }

    pub fn serving(body: &'static str) -> Host {
        Host::start(move |_| Reply::Write(answer("200 OK", "", body)))
    }

    /// The next request and the number of its connection. Other events are skipped.
    pub fn request(&self) -> (usize, Message) {
        loop {
            if let HostEvent::Request(number, message) = self.events.recv_timeout(LONG).expect("a request") {
                return (number, message);
            }
        }
    }

    /// Waits until a connection has closed, and returns its number.
    pub fn closed(&self) -> usize {
        loop {
            if let HostEvent::Closed(number) =
                self.events.recv_timeout(LONG).expect("a connection that closes")
            {
                return number;
            }
        }
    }

    /// Waits for [`SHORT`], then counts the requests that have arrived and not been taken from `events`.
    pub fn further_requests(&self) -> usize {
        thread::sleep(SHORT);
        self.events.try_iter().filter(|s| matches!(s, HostEvent::Request(..))).count()
    }
}

fn serve(
    number: usize,
    stream: TcpStream,
    script: &dyn Fn(usize, &Message) -> Reply,
    count: &AtomicUsize,
    sender: &Sender<HostEvent>,
) {
    let _ = sender.send(HostEvent::Opened(number));
    let mut stream = BufReader::new(stream);
    while let Some(message) = read(&mut stream) {
        let reply = script(count.fetch_add(1, Ordering::SeqCst), &message);
        let last = matches!(reply, Reply::WriteAndClose(_));
        if let (true, Reply::WriteAndClose(text)) = (last, &reply) {
            let _ = stream.get_mut().write_all(text.as_bytes());
            drop(stream);
            let _ = sender.send(HostEvent::Request(number, message));
            let _ = sender.send(HostEvent::Closed(number));
            return;
        }
        let _ = sender.send(HostEvent::Request(number, message));
        if let Reply::Write(text) = reply {
            let _ = stream.get_mut().write_all(text.as_bytes());
        }
    }
    let _ = sender.send(HostEvent::Closed(number));
}

/// An address at which nothing listens. The port stays bound, as another test could otherwise be assigned it.
pub fn unused_address() -> SocketAddr {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let address = socket.local_addr().expect("its address");
    std::mem::forget(socket);
    address
}

/// The metrics that the admin endpoint returns for DUMP.
pub fn metrics(admin: SocketAddr) -> serde_json::Value {
    let mut stream = TcpStream::connect(admin).expect("a listening process");
    stream.set_read_timeout(Some(LONG)).expect("a time-out");
    stream.write_all(b"DUMP\n").expect("an open connection");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer and a close");
    serde_json::from_str(text.strip_suffix("\nEND\n").expect("metrics")).expect("metrics")
}

/// A host that never accepts: its listen backlog is full, so that further connects hang.
pub struct UnresponsiveHost {
    pub address: SocketAddr,
    listener: TcpListener,
    backlog: Vec<TcpStream>,
}

impl UnresponsiveHost {
    pub fn start() -> UnresponsiveHost {
        // The standard library's listener has a long backlog; this one has a backlog of 1.
        let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().expect("a runtime");
        let _entered = runtime.enter();
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(1).and_then(tokio::net::TcpListener::into_std).expect("a listener");
        let address = listener.local_addr().expect("its address");
        let mut backlog = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, SHORT) {
            backlog.push(stream);
            assert!(backlog.len() < 64, "the listen backlog never fills");
        }
        UnresponsiveHost { address, listener, backlog }
    }

    /// Accepts the connections in the backlog. Returns whether another one follows while a pending connect
    /// would retransmit its SYN.
    pub fn accepts_another_connection(self) -> bool {
        self.listener.set_nonblocking(true).expect("a listener");
        let known: Vec<_> = self.backlog.iter().map(|own| own.local_addr().expect("an address")).collect();
        let began = std::time::Instant::now();
        while began.elapsed() < SHORT * 10 {
            match self.listener.accept() {
                Ok((_, from)) if !known.contains(&from) => return true,
                _ => thread::sleep(SHORT / 30),
            }
        }
        false
    }
}

impl UnresponsiveHost {
    /// Becomes an endpoint that calls `serve` for each request, on all connections from now on.
    pub fn serve(self, serve: impl Fn(&str, &mut BufReader<TcpStream>) + Send + Sync + 'static) {
        let UnresponsiveHost { listener, backlog, .. } = self;
        drop(backlog);
        bodies::serve_connections(listener, serve);
    }

    /// Accepts the connections in the backlog and those after them, and counts the bytes received from the
    /// proxy.
    pub fn count_bytes_received(self) -> usize {
        let known: Vec<_> = self.backlog.iter().map(|own| own.local_addr().expect("an address")).collect();
        let (mut proxy_connections, mut byte_count) = (Vec::new(), 0);
        self.listener.set_nonblocking(true).expect("a listener");
        let began = std::time::Instant::now();
        // A pending connect retransmits its SYN after 1 s, and again 2 s later.
        while began.elapsed() < SHORT * 12 {
            match self.listener.accept() {
                Ok((stream, from)) if !known.contains(&from) => proxy_connections.push(stream),
                Ok(_) => {}
                Err(_) => thread::sleep(SHORT / 30),
            }
            for stream in &mut proxy_connections {
                let _ = stream.set_nonblocking(true);
                byte_count += stream.read(&mut [0; 4096]).unwrap_or(0);
            }
        }
        byte_count
    }
}

/// A stub of the discovery service. The test receives each request line and supplies each response.
pub struct Discovery {
    pub address: SocketAddr,
    requests: Receiver<String>,
    responses: Sender<String>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let ((request_sender, requests), (responses, pending)) = (channel(), channel::<String>());
        let pending = Arc::new(Mutex::new(pending));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut stream = BufReader::new(stream);
                let _ = stream.get_mut().set_nodelay(true);
                while let Some(message) = read(&mut stream) {
                    let line = message.head.lines().next().unwrap_or_default().to_owned();
                    let Ok(()) = request_sender.send(line) else { return };
                    let Ok(text) = pending.lock().expect("one thread").recv() else { return };
                    // The text after a `|` is written byte by byte.
                    let (at_once, bytes) = text.split_once('|').unwrap_or((&text, ""));
                    let sent = stream.get_mut().write_all(at_once.as_bytes());
                    let sent = sent.and_then(|()| {
                        bytes.as_bytes().chunks(1).try_for_each(|byte| stream.get_mut().write_all(byte))
                    });
                    if sent.is_err() || text.is_empty() {
                        break;
                    }
                }
            }
        });
        Discovery { address, requests, responses }
    }

    /// The request line of the next request.
    pub fn next_request(&self) -> String {
        self.requests.recv_timeout(LONG).expect("a request to discovery")
    }

    /// Answers the open request 200 with this endpoint list.
    pub fn respond_with_list(&self, list: &str) {
        self.responses.send(answer("200 OK", "", list)).expect("discovery runs");
    }

    /// Answers the open request with this text, and closes the connection if it is empty.
    pub fn respond(&self, text: String) {
        self.responses.send(text).expect("discovery runs");
    }
}

/// An entry of an endpoint list, as JSON.
pub fn entry(name: &str, address: SocketAddr, status: &str, since_ms: u64) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":1,"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#
    )
}

pub fn list(index: u64, snapshot: bool, entries: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

/// The process under test. It is killed when dropped, if it still runs.
pub struct Proxy {
    pub address: SocketAddr,
    pub child: Child,
    pub log: BufReader<ChildStderr>,
    config: std::path::PathBuf,
}

/// A request id that no other request has (PROTOCOL).
pub fn fresh_id() -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(0x9b1f_03aa);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst))
}

static RUNS: AtomicUsize = AtomicUsize::new(0);

/// Starts the program with this configuration and at most `descriptors` file descriptors.
pub fn spawn(config: &str, descriptors: Option<u32>) -> (Child, std::path::PathBuf) {
    let name = format!("oakport-{}-{}.json", std::process::id(), RUNS.fetch_add(1, Ordering::SeqCst));
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config).expect("a temporary file");
    let limit = descriptors.map(|max| format!("ulimit -n {max}; ")).unwrap_or_default();
    (launch(&path, &format!("{limit}exec \"$0\" serve"), |c| c), path)
}

fn launch(config: &Path, script: &str, more: impl Fn(&mut Command) -> &mut Command) -> Child {
    let mut command = Command::new("sh");
    command.arg("-c").arg(script).arg(env!("CARGO_BIN_EXE_oakport"));
    command.env("RELAY_CONFIG", config).stderr(Stdio::piped());
    more(&mut command).spawn().expect("the program starts")
}

/// Resources that the platform provides to successive processes of one proxy: the client listener and a
/// folder.
pub struct Platform {
    pub listener: TcpListener,
    pub folder: std::path::PathBuf,
}

impl Platform {
    pub fn new() -> Platform {
        let name = format!("oakport-{}-{}.d", std::process::id(), RUNS.fetch_add(1, Ordering::SeqCst));
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        Platform { listener: TcpListener::bind("127.0.0.1:0").expect("a port"), folder }
    }

    /// Starts a process that inherits the listener as descriptor 7.
    pub fn start(&self, text: &str) -> Proxy {
        self.start_with_variables(text, &[])
    }

    /// Starts a process with additional environment variables.
    pub fn start_with_variables(&self, text: &str, variables: &[(&str, &str)]) -> Proxy {
        let config = self.folder.join(format!("config-{}", RUNS.fetch_add(1, Ordering::SeqCst)));
        std::fs::write(&config, text).expect("a temporary file");
        let child = launch(&config, "exec 7<&0 0</dev/null; exec \"$0\" serve", |command| {
            let listener = self.listener.try_clone().expect("a descriptor");
            command.envs(variables.iter().copied());
            command.env("TMPDIR", &self.folder).env("RELAY_ACCEPT_FD", "7").stdin(OwnedFd::from(listener))
        });
        Proxy::listening(child, config)
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub const SETTINGS: &str = r#"{"balancers":1,"tick_us":1000,"discovery":"ask","locality":"a",
"classes":[{"name":"safe","objective_us":1500000,"deadline_us":3000000,"worth":1,"idempotency":"free"},
{"name":"unsafe","objective_us":1500000,"deadline_us":3000000,"worth":1,"idempotency":"single_shot"}],
"limits":{"cancel":true,"max_attempts":3,"second_copies":false,"retry_after":true,"max_retry_after_us":700000,
"conn_idle_us":60000000,"connect_timeout_us":1000000,"max_open":1000},
"invariants":{"cold_from":0.3,"cold_us":7000000,"tip_after_us":2000000,"ask_every_us":1600000},
"report":{"how":"inline","columns":["active","waiting"]}}"#;

pub fn config(listen: SocketAddr, discovery: SocketAddr, sockets: usize, known: &[String]) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{},"settings":{SETTINGS}}}"#,
        list(41, true, known)
    )
}

impl Proxy {
    pub fn start(discovery: &Discovery, known: &[String]) -> Proxy {
        let listen = "127.0.0.1:0".parse().expect("an address");
        Proxy::with(&config(listen, discovery.address, 1_024, known))
    }

    pub fn with(text: &str) -> Proxy {
        Proxy::with_descriptor_limit(text, None)
    }

    pub fn with_descriptor_limit(text: &str, descriptors: Option<u32>) -> Proxy {
        let (child, config) = spawn(text, descriptors);
        Proxy::listening(child, config)
    }

    /// Starts the program with an additional environment variable.
    pub fn with_env(text: &str, variable: (&str, &str)) -> Proxy {
        Proxy::with_variables(text, &[variable])
    }

    /// Starts the program with additional environment variables.
    pub fn with_variables(text: &str, variables: &[(&str, &str)]) -> Proxy {
        let file = format!("oakport-{}-{}.json", std::process::id(), RUNS.fetch_add(1, Ordering::SeqCst));
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, text).expect("a temporary file");
        let child = launch(&path, "exec \"$0\" serve", |command| command.envs(variables.iter().copied()));
        Proxy::listening(child, path)
    }

    /// Waits for the log line with the listen address.
    fn listening(mut child: Child, config: std::path::PathBuf) -> Proxy {
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        loop {
            let mut line = String::new();
            assert!(log.read_line(&mut line).expect("text") > 0, "the process exited before it listened");
            if let Some((_, address)) = line.split_once("listening address=") {
                let address = address.trim().parse().expect("an address");
                return Proxy { address, child, log, config };
            }
        }
    }

    /// Waits for a log line that contains `message`, and asserts that the line also contains `fields`.
    pub fn expect_log(&mut self, message: &str, fields: &str) {
        // Kills the process if the line does not appear in time, as reading its log would block for ever.
        let (found, cancelled) = channel::<()>();
        let process = self.child.id().to_string();
        thread::spawn(move || {
            if cancelled.recv_timeout(LONG).is_err_and(|e| e == RecvTimeoutError::Timeout) {
                let _ = Command::new("kill").args(["-KILL", &process]).status();
            }
        });
        loop {
            let mut line = String::new();
            assert!(
                self.log.read_line(&mut line).expect("text") > 0,
                "the process exited before it logged {message} {fields}"
            );
            if line.contains(message) {
                assert!(line.contains(fields), "{line} without {fields}");
                drop(found);
                return;
            }
        }
    }

    /// Waits for the log line of the admin endpoint and returns its address.
    pub fn admin_address(&mut self) -> SocketAddr {
        loop {
            let mut line = String::new();
            assert!(
                self.log.read_line(&mut line).expect("text") > 0,
                "the process exited before it logged its admin address"
            );
            if let Some((_, address)) = line.split_once("admin endpoint listening address=") {
                return address.trim().parse().expect("an address");
            }
        }
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.config, text).expect("a temporary file");
        self.signal("-HUP");
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").arg(name).arg(self.child.id().to_string()).status();
        assert!(done.expect("kill").success());
    }

    /// Waits for the process to exit. True if it exits with status 0 within [`LONG`].
    pub fn exits_successfully(&mut self) -> bool {
        let began = std::time::Instant::now();
        while began.elapsed() < LONG {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status.success();
            }
            thread::sleep(SHORT / 30);
        }
        false
    }

    /// Current resident memory of the process in kB.
    pub fn resident_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("a process");
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("its memory");
        line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).expect("a number")
    }

    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("a listening process");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        Client { stream: BufReader::new(stream) }
    }

    /// Makes one call on a new connection.
    pub fn call(&self, class: &str, time: &str) -> Message {
        self.client().call(class, time)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

pub struct Client {
    pub stream: BufReader<TcpStream>,
}

impl Client {
    pub fn send(&mut self, class: &str, time: &str) {
        self.send_as(&fresh_id(), class, time);
    }

    /// Sends a request with this `X-Request-ID`.
    pub fn send_as(&mut self, id: &str, class: &str, time: &str) {
        let text = format!(
            "POST /{class}?q=1 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
             X-Timeout: {time}\r\nIdempotency-Key: 5c0f\r\nContent-Length: 4\r\n\r\nbody"
        );
        self.write(&text);
    }

    pub fn write(&mut self, text: &str) {
        self.stream.get_mut().write_all(text.as_bytes()).expect("an open connection");
    }

    pub fn answer(&mut self) -> Option<Message> {
        read(&mut self.stream)
    }

    pub fn call(&mut self, class: &str, time: &str) -> Message {
        self.send(class, time);
        self.answer().expect("a final answer")
    }
}
