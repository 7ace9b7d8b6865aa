//! Case 9: in an upgrade, the old process does not get rid of the answers that it still passes on, and they are cut when
//! it is killed.

#[path = "../lib-2/mod.rs"]
mod lib;

use lib::*;
use std::io::Write;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: u64 = 3;
const ANSWER_BYTES: usize = 4 << 20;
/// The fare server gives 64 KiB each 0.1 s, a whole answer in 6.4 s.
const PIECE_BYTES: usize = 64 << 10;
const PACE: Duration = Duration::from_millis(100);
/// DAYS: the longest deadline (2 s here) and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(2700);

fn main() {
    let case = Case::begin();
    let runs = Runs::default();
    let log = Arc::clone(&case);
    let server = fare_server(&case, "fare server", &runs, move |exchange| {
        let id = exchange.request.header("x-request-id");
        let mut body = id.as_bytes().to_vec();
        body.resize(ANSWER_BYTES, b'.');
        for piece in served(&body).chunks(PIECE_BYTES) {
            if exchange.stream.write_all(piece).is_err() {
                log.log(&format!("fare server: the connection broke in the answer to {id}"));
                return false;
            }
            thread::sleep(PACE);
        }
        log.log(&format!("fare server: gave the whole answer to {id}"));
        true
    });
    let agent = Agent::start(&[server]);
    let listener = TcpListener::bind("127.0.0.11:0").unwrap_or_else(|e| give_up(&e.to_string()));
    let address = listener.local_addr().unwrap();
    let start = Start {
        discovery: agent.address,
        servers: &[server],
        settings: settings(&CLASSES),
        memory_mb: 64,
        sockets: 512,
    };
    let mut old = start_process(&case, &start, &listener);
    thread::sleep(Duration::from_millis(1200));
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|number| {
            let case = Arc::clone(&case);
            thread::spawn(move || {
                let id = id(number);
                let mut client = connect(address);
                let _ = client.stream.set_read_timeout(Some(Duration::from_secs(20)));
                let began = Instant::now();
                let _ = client.stream.write_all(&request("card-check", &id, 1500, "", None));
                case.log(&format!("client: sent {id}"));
                let Ok(Some(mut answer)) = client.head() else { return Some(format!("{id} got no answer")) };
                client.body(&mut answer);
                let text = format!(
                    "{id} got {} and {} of {ANSWER_BYTES} bytes by {:.3} s, whole: {}",
                    answer.status(),
                    answer.body.len(),
                    began.elapsed().as_secs_f64(),
                    answer.is_whole
                );
                case.log(&format!("client: {text}"));
                (!answer.is_whole).then_some(text)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let new = case.trouble.then(|| start_process(&case, &start, &listener));
    if case.trouble {
        case.log("SIGTERM to the old process");
        old.signal("TERM");
        let killed_at = Instant::now() + KILL_AFTER;
        while Instant::now() < killed_at && !old.has_ended() {
            thread::sleep(Duration::from_millis(5));
        }
        case.log(&format!("SIGKILL to the old process; ended by itself: {}", old.has_ended()));
        let _ = old.child.kill();
    }
    let breaks: Vec<String> = clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect();
    drop((old, new));
    case.end(&breaks)
}
