//! The proxy is told to end while a third of the fare servers hang. A `fare-charge` that a fare server has received whole
//! may not be refused: its client would charge once more.

#[path = "../common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 12;
/// Fare servers that hang: between a quarter and a half.
const HUNG: usize = 4;
const HANG_FROM: Duration = Duration::from_millis(2_000);
const HANG: Duration = Duration::from_secs(8);
/// When SIGTERM is sent, and how much later SIGKILL: the longest deadline and 0.7 s.
const END_AT: Duration = Duration::from_millis(2_300);
const KILL_AFTER: Duration = Duration::from_millis(2_700);
const CLIENTS: usize = 24;
const BODY_BYTES: usize = 70_000;
const TIMEOUT_MS: u64 = 2_000;
/// Clients begin their last charge this long after the beginning.
const PLAY: Duration = Duration::from_secs(9);

/// What the fare servers have booked: for each charge, and for each request.
#[derive(Default)]
struct Books {
    by_charge: HashMap<String, Vec<String>>,
    by_request: HashMap<String, String>,
}

/// Books a charge as soon as its request is whole, and answers some 60 ms later, or not while it hangs.
fn serve(stream: TcpStream, server: usize, began: Instant, books: &Mutex<Books>, record: &Record) {
    let mut writer = &stream;
    let mut reader = BufReader::new(&stream);
    while let Some(request) = read_message(&mut reader) {
        if !request.is_whole {
            return;
        }
        let id = request.field("x-request-id").to_owned();
        // The body begins with the name of its charge, which ends with a full stop.
        let name = request.body.split(|&byte| byte == b'.').next().unwrap_or(&[]);
        let charge = String::from_utf8_lossy(name).into_owned();
        {
            let mut books = books.lock().unwrap();
            books.by_charge.entry(charge.clone()).or_default().push(format!("{id} at s{server}"));
            books.by_request.insert(id.clone(), format!("s{server}"));
        }
        let now = began.elapsed();
        let hangs = trouble() && server < HUNG && now >= HANG_FROM && now < HANG_FROM + HANG;
        let how = if hangs { ", and hangs" } else { "" };
        record.line(format!("server s{server} has all of {id} and books {charge}{how}"));
        thread::sleep(if hangs { HANG_FROM + HANG - now } else { Duration::from_millis(60) });
        if writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbooked").is_err() {
            return;
        }
    }
}

#[derive(Default)]
struct Totals {
    served: usize,
    refused: usize,
    failed: usize,
    unanswered: usize,
    /// Refused requests that a fare server had received whole.
    broken: Vec<String>,
}

struct Play {
    proxy: SocketAddr,
    began: Instant,
    books: Arc<Mutex<Books>>,
    totals: Mutex<Totals>,
    record: Record,
}

impl Play {
    /// Sends one charge after the other. A refused one is sent again, at most twice, as a refusal permits.
    fn client(&self, number: usize) {
        let mut count = 0;
        thread::sleep(Duration::from_millis(number as u64 * 20));
        while self.began.elapsed() < PLAY {
            count += 1;
            let charge = format!("charge-{number}-{count}");
            for attempt in 1..=3 {
                let Some(pause) = self.send(&charge, attempt) else { break };
                thread::sleep(pause);
            }
            sleep_ms(20);
        }
    }

    /// Sends a charge once, on a connection of its own. Returns how long to wait if it was refused.
    fn send(&self, charge: &str, attempt: usize) -> Option<Duration> {
        let id = format!("{charge}-try-{attempt}");
        let Ok(stream) = TcpStream::connect(self.proxy) else {
            // The proxy is between its end and its next start.
            sleep_ms(50);
            return None;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(TIMEOUT_MS + 600)));
        let mut request = request_head("POST", "fare-charge", &id, TIMEOUT_MS, BODY_BYTES).into_bytes();
        request.extend(format!("{charge}.").bytes());
        request.resize(request.len() + BODY_BYTES - charge.len() - 1, b' ');
        if (&stream).write_all(&request).is_err() {
            return None;
        }
        let sent = Instant::now();
        let answer = read_message(&mut BufReader::new(&stream));
        let mut totals = self.totals.lock().unwrap();
        let Some(answer) = answer else {
            totals.unanswered += 1;
            self.record.line(format!("client got no answer to {id} within {} ms", sent.elapsed().as_millis()));
            return None;
        };
        let status = answer.status();
        match status {
            200 => totals.served += 1,
            429 | 503 => totals.refused += 1,
            _ => totals.failed += 1,
        }
        if status != 200 {
            self.record.line(format!("client got {status} to {id} after {} ms", sent.elapsed().as_millis()));
        }
        if status != 429 && status != 503 {
            return None;
        }
        if let Some(server) = self.books.lock().unwrap().by_request.get(&id) {
            totals.broken.push(format!("{id} was refused with {status} although {server} had received it whole"));
        }
        let seconds: f64 = answer.field("retry-after").parse().unwrap_or(0.1);
        Some(Duration::from_secs_f64(seconds.min(2.0)))
    }
}

fn main() {
    let record = Record::create();
    let books = Arc::new(Mutex::new(Books::default()));
    let began = Arc::new(Mutex::new(Instant::now()));
    let entries: Vec<Entry> = (0..SERVERS)
        .map(|server| {
            let (books, record, began) = (books.clone(), record.clone(), began.clone());
            let address = start_server(move |stream| {
                let began = *began.lock().unwrap();
                serve(stream, server, began, &books, &record)
            });
            Entry { name: format!("s{server}"), address, status: "up" }
        })
        .collect();
    let known = list_json(41, &entries);
    let agent = Agent::start(entries);
    let listen = free_address();
    let deployment = Deployment { memory_mb: 64, sockets: 1_024, balancers: 2 };
    let configuration = configuration(listen, agent.address, &deployment, &CLASSES, &known);
    let mut proxy = Proxy::start(listen, agent.address, &configuration, &record);

    let play_began = Instant::now();
    *began.lock().unwrap() = play_began;
    let play = Arc::new(Play {
        proxy: listen,
        began: play_began,
        books: books.clone(),
        totals: Mutex::default(),
        record: record.clone(),
    });
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let play = play.clone();
            thread::spawn(move || play.client(number))
        })
        .collect();
    if trouble() {
        thread::sleep(END_AT.saturating_sub(play_began.elapsed()));
        record.line("platform: SIGTERM to the proxy, a planned restart");
        proxy.signal("TERM");
        let told = Instant::now();
        while !proxy.has_ended() && told.elapsed() < KILL_AFTER {
            sleep_ms(5);
        }
        if proxy.has_ended() {
            record.line("the proxy has ended");
        } else {
            record.line("platform: SIGKILL to the proxy");
        }
        drop(proxy);
        proxy = Proxy::start(listen, agent.address, &configuration, &record);
    }
    for client in clients {
        let _ = client.join();
    }
    let ended = proxy.has_ended();
    drop(proxy);
    let totals = play.totals.lock().unwrap();
    let books = books.lock().unwrap();
    for broken in &totals.broken {
        record.say(broken);
    }
    for (charge, entries) in books.by_charge.iter().filter(|(_, entries)| entries.len() > 1) {
        record.say(format!("{charge} is booked {} times: {}", entries.len(), entries.join(", ")));
    }
    record.say(format!(
        "{} served, {} refused, {} failed, {} without an answer; {} refused although they may have run",
        totals.served,
        totals.refused,
        totals.failed,
        totals.unanswered,
        totals.broken.len()
    ));
    if ended {
        record.say("the proxy ended by itself");
        std::process::exit(1);
    }
    if totals.served < 50 {
        unable("too few charges were served");
    }
    std::process::exit(if totals.broken.is_empty() { 0 } else { 1 });
}
