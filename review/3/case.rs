//! Clients that hold a third of the descriptors send bodies of 60 kB at 64 kB a second, many at a time. The proxy may
//! not use more memory than its configuration states: the platform kills it then, as this stand-in does.

#[path = "../common.rs"]
mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: usize = 32;
const SOCKETS: usize = 1_024;
/// Clients at a time: a third of the descriptors; without the disruption a few.
const MANY_CLIENTS: usize = 340;
const FEW_CLIENTS: usize = 40;
const BODY_BYTES: usize = 60_000;
const ANSWER_BYTES: usize = 60_000;
const BYTES_PER_S: usize = 64_000;
const SERVERS: usize = 12;
const PLAY: Duration = Duration::from_secs(20);

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    unanswered: AtomicU64,
}

fn serve(stream: TcpStream) {
    let mut writer = &stream;
    let mut reader = BufReader::new(&stream);
    while let Some(request) = read_message(&mut reader) {
        if !request.is_whole {
            return;
        }
        // A fare-charge takes 82 to 150 ms.
        sleep_ms(140);
        let mut answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n").into_bytes();
        answer.resize(answer.len() + ANSWER_BYTES, b'a');
        if writer.write_all(&answer).is_err() {
            return;
        }
    }
}

/// Sends one request after the other, each body at 64 kB a second, and reads each answer at once.
fn client(number: usize, proxy: SocketAddr, stop: &AtomicBool, counts: &Counts, record: &Record) {
    let piece = vec![b'x'; BYTES_PER_S / 20];
    let mut count = 0;
    // The clients come one after the other within 5 s.
    thread::sleep(Duration::from_millis(number as u64 * 15));
    while !stop.load(Ordering::Relaxed) {
        let Ok(stream) = TcpStream::connect(proxy) else { return };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let mut reader = BufReader::new(&stream);
        while !stop.load(Ordering::Relaxed) {
            count += 1;
            let id = format!("slow-{number}-{count}");
            let mut is_written = (&stream)
                .write_all(request_head("POST", "fare-charge", &id, 2_000, BODY_BYTES).as_bytes())
                .is_ok();
            let mut left = BODY_BYTES;
            while left > 0 && is_written {
                let size = left.min(piece.len());
                is_written = (&stream).write_all(&piece[..size]).is_ok();
                left -= size;
                thread::sleep(Duration::from_millis(50));
            }
            counts.sent.fetch_add(1, Ordering::Relaxed);
            let Some(answer) = read_message(&mut reader) else {
                counts.unanswered.fetch_add(1, Ordering::Relaxed);
                record.line(format!("client got no answer to {id}, sent whole: {is_written}"));
                break;
            };
            let counter = if answer.status() == 200 { &counts.served } else { &counts.refused };
            counter.fetch_add(1, Ordering::Relaxed);
            // All clients together send at most 260 requests a second.
            sleep_ms(250);
            if answer.field("connection").eq_ignore_ascii_case("close") {
                break;
            }
        }
    }
}

/// A figure of `/proc/PID/status`, in kB.
fn status_kb(pid: u32, key: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(key)?.strip_prefix(':'));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn main() {
    let record = Record::create();
    let entries: Vec<Entry> = (0..SERVERS)
        .map(|server| Entry { name: format!("s{server}"), address: start_server(serve), status: "up" })
        .collect();
    let known = list_json(41, &entries);
    let agent = Agent::start(entries);
    let listen = free_address();
    let deployment = Deployment { memory_mb: MEMORY_MB, sockets: SOCKETS, balancers: 2 };
    let configuration = configuration(listen, agent.address, &deployment, &CLASSES, &known);
    let mut proxy = Proxy::start(listen, agent.address, &configuration, &record);

    let clients = if trouble() { MANY_CLIENTS } else { FEW_CLIENTS };
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let mut threads = Vec::new();
    for number in 0..clients {
        let (stop, counts, record) = (stop.clone(), counts.clone(), record.clone());
        threads.push(thread::spawn(move || client(number, listen, &stop, &counts, &record)));
    }
    let began = Instant::now();
    let (mut peak_kb, mut told_kb) = (0, 0);
    let (mut killed, mut ended) = (false, false);
    while began.elapsed() < PLAY && !killed && !ended {
        sleep_ms(20);
        // Only the process's own memory counts here, without the pages of its program file.
        let used_kb = status_kb(proxy.pid(), "RssAnon") + status_kb(proxy.pid(), "RssShmem");
        peak_kb = peak_kb.max(used_kb);
        if used_kb >= told_kb + 2_000 {
            told_kb = used_kb;
            record.line(format!("platform: the proxy uses {used_kb} kB"));
        }
        ended = proxy.has_ended();
        if used_kb > MEMORY_MB as u64 * 1_024 {
            record.say(format!("platform: {used_kb} kB are over {MEMORY_MB} MB, the proxy is killed"));
            proxy.signal("KILL");
            killed = true;
        }
    }
    sleep_ms(500);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    drop(proxy);
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    record.say(format!(
        "{clients} clients, {} requests: {} served, {} refused or failed, {} without an answer; peak {peak_kb} kB of {} kB",
        count(&counts.sent),
        count(&counts.served),
        count(&counts.refused),
        count(&counts.unanswered),
        MEMORY_MB * 1_024
    ));
    if ended && !killed {
        record.say("the proxy ended by itself");
    }
    if !killed && !ended && count(&counts.served) + count(&counts.refused) < 100 {
        unable("too few requests were answered");
    }
    std::process::exit(if killed || ended { 1 } else { 0 });
}
