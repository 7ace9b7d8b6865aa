//! Some answers of fare servers come in chunks and never end. Every request has to get its final answer, at most half a
//! second after its time.

#[path = "../common.rs"]
mod common;

use common::*;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 12;
const CLIENTS: usize = 10;
/// One in so many answers never ends.
const SPOILT_ONE_IN: u64 = 20;
/// Such an answer has a piece of 20 bytes each half second, up to the end of the play.
const PIECE_PAUSE: Duration = Duration::from_millis(500);
/// Up to half a second after its time a request may get its answer, and every time limit on sockets is 50 ms longer.
const ALLOWED_MS: u64 = 500 + 50;
/// A client waits so long after that before it gives up, and the record shows what came.
const WATCHED: Duration = Duration::from_secs(15);
/// Clients begin their last request this long after the beginning.
const PLAY: Duration = Duration::from_secs(10);

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn serve(stream: TcpStream, server: usize, answers: &AtomicU64, record: &Record) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader) {
        if !request.is_whole {
            return;
        }
        let id = request.field("x-request-id").to_owned();
        let number = answers.fetch_add(1, Ordering::Relaxed);
        sleep_ms(20);
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let begun = format!("{head}{}", chunk(&format!("answer to {id}")));
        if !trouble() || number % SPOILT_ONE_IN != SPOILT_ONE_IN - 1 {
            if writer.write_all(format!("{begun}0\r\n\r\n").as_bytes()).is_err() {
                return;
            }
            continue;
        }
        record.line(format!("server s{server} begins an answer to {id} that never ends"));
        let mut is_open = writer.write_all(begun.as_bytes()).is_ok();
        while is_open {
            thread::sleep(PIECE_PAUSE);
            is_open = writer.write_all(chunk("and twenty more bytes").as_bytes()).is_ok();
        }
        record.line(format!("server s{server}: the connection of {id} was closed"));
        return;
    }
}

/// How a request ended at its client.
enum End {
    /// The last byte of an answer came.
    Answer(u16),
    /// The connection ended before that: the client can tell.
    Broken(String),
    /// Nothing of both while the client watched.
    Nothing { bytes: usize },
}

/// Reads bytes until the answer or the connection ends, or the time is up.
fn read_answer(reader: &mut BufReader<TcpStream>, until: Instant) -> End {
    let mut seen = Vec::new();
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return End::Nothing { bytes: seen.len() };
        }
        let _ = reader.get_ref().set_read_timeout(Some(left));
        match reader.fill_buf() {
            Ok([]) => return End::Broken("closed".into()),
            Ok(bytes) => {
                let count = bytes.len();
                seen.extend_from_slice(bytes);
                reader.consume(count);
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(error) => return End::Broken(describe(&error)),
        }
        let mut message = &seen[..];
        if let Some(message) = read_message(&mut message).filter(|message| message.is_whole) {
            return End::Answer(message.status());
        }
    }
}

#[derive(Default)]
struct Totals {
    served: usize,
    other: usize,
    broken: usize,
    lost: Vec<String>,
}

fn client(number: usize, proxy: SocketAddr, began: Instant, totals: &Mutex<Totals>, record: &Record) {
    let kinds = [("GET", "card-check", 1_500), ("GET", "journey-lookup", 1_000), ("POST", "fare-charge", 2_000)];
    let mut count = 0;
    thread::sleep(Duration::from_millis(number as u64 * 20));
    while began.elapsed() < PLAY {
        let Ok(mut stream) = TcpStream::connect(proxy) else { return };
        let _ = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reader);
        while began.elapsed() < PLAY {
            let (method, class, timeout_ms) = kinds[count % kinds.len()];
            count += 1;
            let id = format!("{class}-{number}-{count}");
            let body = if method == "POST" { "charge" } else { "" };
            let request = request_head(method, class, &id, timeout_ms, body.len()) + body;
            if stream.write_all(request.as_bytes()).is_err() {
                break;
            }
            let sent = Instant::now();
            let allowed = Duration::from_millis(timeout_ms + ALLOWED_MS);
            let end = read_answer(&mut reader, sent + allowed + WATCHED);
            let took = sent.elapsed();
            let what = match &end {
                End::Answer(status) => format!("answer {status}"),
                End::Broken(how) => format!("connection {how} before the end of an answer"),
                End::Nothing { bytes } => format!("neither an end of the answer nor of the connection, {bytes} bytes"),
            };
            record.line(format!("client: {id}, time {timeout_ms} ms: after {} ms {what}", took.as_millis()));
            let mut totals = totals.lock().unwrap();
            if took > allowed {
                totals.lost.push(format!("{id}, time {timeout_ms} ms: after {} ms {what}", took.as_millis()));
            }
            match end {
                End::Answer(200) => totals.served += 1,
                End::Answer(_) => totals.other += 1,
                End::Broken(_) | End::Nothing { .. } => {
                    totals.broken += 1;
                    break;
                }
            }
            drop(totals);
            sleep_ms(30);
        }
    }
}

fn main() {
    let record = Record::create();
    let answers = Arc::new(AtomicU64::new(0));
    let entries: Vec<Entry> = (0..SERVERS)
        .map(|server| {
            let (answers, record) = (answers.clone(), record.clone());
            let address = start_server(move |stream| serve(stream, server, &answers, &record));
            Entry { name: format!("s{server}"), address, status: "up" }
        })
        .collect();
    let known = list_json(41, &entries);
    let agent = Agent::start(entries);
    let listen = free_address();
    let deployment = Deployment { memory_mb: 64, sockets: 1_024, balancers: 2 };
    let configuration = configuration(listen, agent.address, &deployment, &CLASSES, &known);
    let mut proxy = Proxy::start(listen, agent.address, &configuration, &record);

    let began = Instant::now();
    let totals = Arc::new(Mutex::new(Totals::default()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (totals, record) = (totals.clone(), record.clone());
            thread::spawn(move || client(number, listen, began, &totals, &record))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let ended = proxy.has_ended();
    for line in proxy.log().lines().filter(|line| line.contains("WARN") || line.contains("ERROR")).take(20) {
        record.line(format!("proxy log: {line}"));
    }
    drop(proxy);
    let totals = totals.lock().unwrap();
    for lost in &totals.lost {
        record.say(format!("lost: {lost}"));
    }
    record.say(format!(
        "{} served, {} answered otherwise, {} broken off or without an end; {} lost",
        totals.served,
        totals.other,
        totals.broken,
        totals.lost.len()
    ));
    if ended {
        record.say("the proxy ended by itself");
        std::process::exit(1);
    }
    if totals.served < 100 {
        unable("too few answers");
    }
    std::process::exit(if totals.lost.is_empty() { 0 } else { 1 });
}
