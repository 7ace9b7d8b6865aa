//! Case 6: a single-shot request runs twice when the answer to it is followed by a second one while its own waits for
//! memory.

#[path = "../lib-2/mod.rs"]
mod lib;

use lib::*;
use std::io::Write;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 12;
/// A third of 1,024 descriptors are 341.
const CLIENTS: usize = 300;
const BODY_BYTES: usize = 60_000;
const ANSWER_BYTES: usize = 6_000;
const WORK: Duration = Duration::from_millis(400);
/// How late a second answer comes.
const SECOND_ANSWER_DELAY: Duration = Duration::from_millis(3);
/// Each fare server spoils its answers in this order: one of so many.
const SPOILT_OF: usize = 20;
const PLAY: Duration = Duration::from_secs(25);

fn main() {
    let case = Case::begin();
    let runs = Runs::default();
    let servers: Vec<_> = (0..SERVERS)
        .map(|_| {
            let count = AtomicUsize::new(0);
            let log = Arc::clone(&case);
            fare_server(&case, "fare server", &runs, move |exchange| {
                thread::sleep(WORK);
                let id = exchange.request.header("x-request-id");
                let mut body = id.as_bytes().to_vec();
                body.resize(ANSWER_BYTES, b'.');
                let answer = served(&body);
                if exchange.stream.write_all(&answer).is_err() {
                    return false;
                }
                // A second answer on a connection that has carried a request before.
                let is_spoilt = exchange.number > 1 && count.fetch_add(1, Ordering::Relaxed) % SPOILT_OF == 0;
                if is_spoilt && log.trouble {
                    thread::sleep(SECOND_ANSWER_DELAY);
                    log.log(&format!("second answer after that to {id}"));
                    return exchange.stream.write_all(&answer).is_ok();
                }
                true
            })
        })
        .collect();
    let agent = Agent::start(&servers);
    let proxy = start_proxy(
        &case,
        &Start {
            discovery: agent.address,
            servers: &servers,
            settings: settings(&CLASSES),
            memory_mb: 32,
            sockets: 1024,
        },
    );
    let end = Instant::now() + PLAY;
    let next_id = Arc::new(AtomicU64::new(1));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (address, case) = (proxy.listen, Arc::clone(&case));
            let (next_id, sent) = (Arc::clone(&next_id), Arc::clone(&sent));
            thread::spawn(move || {
                while Instant::now() < end {
                    let mut client = connect(address);
                    let _ = client.stream.set_read_timeout(Some(Duration::from_secs(4)));
                    while Instant::now() < end {
                        let id = id(next_id.fetch_add(1, Ordering::Relaxed));
                        let request = request("fare-charge", &id, 2000, "", Some(&[b'b'; BODY_BYTES]));
                        sent.lock().unwrap().push(id.clone());
                        if client.stream.write_all(&request).is_err() {
                            break;
                        }
                        let Ok(Some(answer)) = client.message() else { break };
                        case.log(&format!("client: {id} answered {}", answer.status()));
                        if answer.status() == 503 {
                            let wait = answer.header("retry-after").parse().unwrap_or(0.1_f64);
                            thread::sleep(Duration::from_secs_f64(wait.clamp(0.02, 2.0)));
                        }
                        if answer.header("connection") == "close" {
                            break;
                        }
                    }
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(2500));
    let sent = sent.lock().unwrap();
    case.log(&format!("{} requests sent", sent.len()));
    let twice = sent.iter().filter(|id| runs.count(id) > 1);
    let breaks: Vec<String> = twice.map(|id| format!("{id} ran {} times", runs.count(id))).collect();
    drop(proxy);
    case.end(&breaks)
}
