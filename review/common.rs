//! What the cases share: the proxy under test, the stand-ins for discovery and for fare servers, and the record.
//! Standard library only; every address is a loopback address.

#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Whether the disruption is played; `TROUBLE=0` plays the same without it.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The record of a run: one line for each event, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(&path).unwrap_or_else(|error| unable(&format!("cannot write {path}: {error}")));
        Record { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.began.elapsed().as_secs_f64() * 1000.0;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:10.1} ms  {}", text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// Ends the run as one that could not be played.
pub fn unable(reason: &str) -> ! {
    eprintln!("the case cannot run: {reason}");
    std::process::exit(2)
}

/// A port that was free a moment ago.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| unable(&error.to_string()));
    listener.local_addr().unwrap()
}

/// The value of a key of `deploy/balancer.toml` with a string for its value.
fn deploy_value(root: &Path, key: &str) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))
        .unwrap_or_else(|error| unable(&format!("deploy/balancer.toml: {error}")));
    let line = text.lines().find(|line| line.split('=').next().map(str::trim) == Some(key));
    let value = line.and_then(|line| line.split_once('=')).map(|(_, value)| value.trim().trim_matches('"'));
    value.unwrap_or_else(|| unable("no such key in deploy/balancer.toml")).to_owned()
}

/// One class of requests in the settings.
pub struct Class {
    pub name: &'static str,
    pub objective_ms: u64,
    pub deadline_ms: u64,
    pub idempotency: &'static str,
}

/// The classes of the operators' site.
pub const CLASSES: [Class; 3] = [
    Class { name: "card-check", objective_ms: 400, deadline_ms: 1_500, idempotency: "free" },
    Class { name: "journey-lookup", objective_ms: 400, deadline_ms: 1_000, idempotency: "free" },
    Class { name: "fare-charge", objective_ms: 600, deadline_ms: 2_000, idempotency: "single_shot" },
];

/// What a configuration file states beside the classes.
pub struct Deployment {
    pub memory_mb: usize,
    pub sockets: usize,
    pub balancers: usize,
}

/// A configuration as DEPLOY describes it, with the settings of WIRE's example.
pub fn configuration(
    listen: SocketAddr,
    discovery: SocketAddr,
    deployment: &Deployment,
    classes: &[Class],
    known: &str,
) -> String {
    let classes: Vec<String> = classes
        .iter()
        .map(|class| {
            format!(
                r#"{{"deadline_us":{},"dedup_scope":"all","idempotency":"{}","late_value":0.0,"name":"{}","objective_us":{},"repeat_window_us":5000000,"streaming":false,"worth":3.0}}"#,
                class.deadline_ms * 1000, class.idempotency, class.name, class.objective_ms * 1000
            )
        })
        .collect();
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"{seed:x}",
"limits":{{"cores":1.0,"memory_mb":{memory},"sockets":{sockets}}},
"known":{known},
"settings":{{"azs":["nottingham","derby","leicester"],"balancers":{balancers},
"charges":{{"connection":0.0,"cross_zone":0.022,"discovery":0.0,"handshake":0.0,"late_fail":0.15,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0072,"waste":0.082}},
"classes":[{classes}],
"client_habits":{{"marks_retry":true}},"discovery":"push","family":"mesh","family_info":{{"warm_keys":false}},
"invariants":{{"answer_slack_us":20000,"ask_every_us":10000000,"cold_from":0.13,"cold_us":24000000,"drain_grace_us":1000000,"fall_multiple":3.0,"tip_after_us":3000000}},
"kinds":["standard-3core"],
"limits":{{"cancel":true,"conn_idle_us":5000000,"connect_timeout_us":200000,"cpu_us_per_request":0.0,"cpu_us_per_s":50000,"max_attempts":3,"max_open":20000,"max_retry_after_us":2000000,"max_streams":1,"may_tell":false,"probes":true,"retry_after":true,"second_copies":true}},
"locality":"derby","me":0,"over_share_worth":0.2,"report":{{"columns":[],"how":"off"}},
"result_mix":{{"whole":0.45,"worst_class":0.3,"worst_tenant":0.1,"worst_window":0.15}},
"tenants":[{{"name":"trent-buses","portion":1.0,"quota_per_s":260.0}}],
"tick_us":5000,"tier":0,"tiers":["fare-servers"],"weight_source":"rough","worth_by":"request"}}}}
"#,
        seed = std::process::id(),
        memory = deployment.memory_mb,
        sockets = deployment.sockets,
        balancers = deployment.balancers,
        classes = classes.join(","),
    )
}

/// A running proxy, started by the `run` command of the deploy file.
pub struct Proxy {
    child: Child,
    pub listen: SocketAddr,
    folder: PathBuf,
}

impl Proxy {
    /// Starts the proxy with this configuration and waits until `/_health` answers 200.
    pub fn start(listen: SocketAddr, discovery: SocketAddr, configuration: &str, record: &Record) -> Self {
        let root = PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| "../..".into()));
        let run = deploy_value(&root, "run");
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), listen.port()));
        let temporary = folder.join("tmp");
        std::fs::create_dir_all(&temporary).unwrap_or_else(|error| unable(&error.to_string()));
        let config = folder.join("config.json");
        std::fs::write(&config, configuration).unwrap_or_else(|error| unable(&error.to_string()));
        let log = File::create(folder.join("log")).unwrap_or_else(|error| unable(&error.to_string()));
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(&root)
            .env("RELAY_NAME", "n1")
            .env("RELAY_LISTEN", listen.to_string())
            .env("RELAY_DISCOVERY", discovery.to_string())
            .env("RELAY_CONFIG", &config)
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| unable(&format!("{run}: {error}")));
        record.line(format!("proxy started: {run}, pid {}, listens at {listen}", child.id()));
        note_process(child.id());
        let mut proxy = Proxy { child, listen, folder };
        let began = Instant::now();
        while !proxy.is_healthy() {
            let ended = proxy.child.try_wait().ok().flatten().is_some();
            if ended || began.elapsed() > Duration::from_secs(30) {
                eprintln!("{}", proxy.log());
                drop(proxy);
                unable("the proxy is not ready");
            }
            sleep_ms(20);
        }
        record.line("proxy ready");
        proxy
    }

    fn is_healthy(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.listen) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = "GET /_health HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n";
        if stream.write_all(request.as_bytes()).is_err() {
            return false;
        }
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        answer.starts_with("HTTP/1.1 200")
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, by its name without SIG.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.pid())]).status();
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        // A process that has ended was waited for: its number is no longer its own.
        if !self.has_ended() {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Names a process that was started, so that `run.sh` can end it if the case is interrupted.
fn note_process(pid: u32) {
    let Some(path) = std::env::var_os("PIDS") else { return };
    if let Ok(mut file) = std::fs::OpenOptions::new().create(true).append(true).open(path) {
        let _ = writeln!(file, "{pid}");
    }
}

/// One HTTP message: its first line, its header fields with lower-case names, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
    /// The body is whole, as its framing states.
    pub is_whole: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message. `None` at the end of the stream or on an error.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line).ok()? == 0 || line.last() != Some(&b'\n') {
            return None;
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if message.first_line.is_empty() {
            message.first_line = line;
        } else if line.is_empty() {
            return Some(message);
        } else if let Some((name, value)) = line.split_once(':') {
            message.fields.insert(name.trim().to_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads the body that belongs to a head, by Content-Length or in chunks.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) {
    if message.field("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let Ok(size) = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16) else { return };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return;
            }
            if size == 0 {
                message.is_whole = true;
                return;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length: usize = message.field("content-length").parse().unwrap_or(0);
    let mut limited = reader.take(length as u64);
    let _ = limited.read_to_end(&mut message.body);
    message.is_whole = message.body.len() == length;
}

/// Reads a whole message.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    read_body(reader, &mut message);
    Some(message)
}

/// An entry of the list of fare servers.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub status: &'static str,
}

/// The list as JSON.
pub fn list_json(index: u64, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries
        .iter()
        .map(|entry| {
            format!(
                r#"{{"name":"{}","address":"{}","zone":"derby","type":"standard-3core","group":1,"status":"{}","weight":1.0,"since_ms":0}}"#,
                entry.name, entry.address, entry.status
            )
        })
        .collect();
    format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{}]}}"#, entries.join(","))
}

/// Discovery's agent: answers the whole list, and a watch once the list has changed or its wait is over.
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<(Mutex<(u64, Vec<Entry>)>, Condvar)>,
}

impl Agent {
    pub fn start(entries: Vec<Entry>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| unable(&error.to_string()));
        let address = listener.local_addr().unwrap();
        let state = Arc::new((Mutex::new((41, entries)), Condvar::new()));
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || Agent::serve(stream, &shared));
            }
        });
        Agent { address, state }
    }

    fn serve(stream: TcpStream, shared: &(Mutex<(u64, Vec<Entry>)>, Condvar)) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let target = request.first_line.split(' ').nth(1).unwrap_or("").to_owned();
            let parameter = |name: &str| -> Option<u64> {
                let query = target.split_once('?')?.1;
                let pair = query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")))?;
                pair.parse().ok()
            };
            let wait = Duration::from_millis(parameter("wait").unwrap_or(0).min(60_000));
            let state = shared.0.lock().unwrap();
            let state = match parameter("index") {
                Some(index) => shared.1.wait_timeout_while(state, wait, |state| state.0 <= index).unwrap().0,
                None => state,
            };
            let body = list_json(state.0, &state.1);
            drop(state);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Changes the list and tells it to every watch.
    pub fn set(&self, entries: Vec<Entry>) {
        let mut state = self.state.0.lock().unwrap();
        state.0 += 1;
        state.1 = entries;
        self.state.1.notify_all();
    }
}

/// A fare server that handles each connection with `serve`, in a thread of its own.
pub fn start_server(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| unable(&error.to_string()));
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                serve(stream);
            });
        }
    });
    address
}

/// The head of a request of a client.
pub fn request_head(method: &str, class: &str, id: &str, timeout_ms: u64, length: usize) -> String {
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Tenant-Id: trent-buses\r\nX-Timeout: {timeout_ms}m\r\nContent-Length: {length}\r\n\r\n"
    )
}

/// The system's error of a failed call, in a word.
pub fn describe(error: &io::Error) -> String {
    format!("{:?}", error.kind())
}
