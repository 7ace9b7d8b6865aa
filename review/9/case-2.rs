//! Case 9: of requests that a client sends at once on one connection, those that do not fit into 256 KiB are read,
//! discarded and never answered.

#[path = "../lib-2/mod.rs"]
mod lib;

use lib::*;
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

const ROUNDS: u64 = 5;
const COUNT: u64 = 8;
const BODY_BYTES: usize = 60_000;
const WORK: Duration = Duration::from_millis(120);
const TIMEOUT_MS: u64 = 2000;

fn main() {
    let case = Case::begin();
    let runs = Runs::default();
    let server = fare_server(&case, "fare server", &runs, |exchange| {
        thread::sleep(WORK);
        exchange.stream.write_all(&served(exchange.request.header("x-request-id").as_bytes())).is_ok()
    });
    let agent = Agent::start(&[server]);
    let proxy = start_proxy(
        &case,
        &Start {
            discovery: agent.address,
            servers: &[server],
            settings: settings(&CLASSES),
            memory_mb: 64,
            sockets: 512,
        },
    );
    let mut breaks = Vec::new();
    for round in 0..ROUNDS {
        let mut client = connect(proxy.listen);
        let _ = client.stream.set_read_timeout(Some(Duration::from_millis(TIMEOUT_MS + 1000)));
        let ids: Vec<_> = (1..=COUNT).map(|number| id(round * 100 + number)).collect();
        let text = |id: &str| request("fare-charge", id, TIMEOUT_MS, "", Some(&[b'b'; BODY_BYTES]));
        let began = Instant::now();
        if case.trouble {
            // All at once, and read only after that: the answers are short.
            let all: Vec<u8> = ids.iter().flat_map(|id| text(id)).collect();
            let is_written = client.stream.write_all(&all).is_ok();
            let after = began.elapsed().as_secs_f64();
            case.log(&format!("client: {COUNT} requests, {} bytes, written whole: {is_written}, after {after:.3} s", all.len()));
        }
        for id in ids {
            if !case.trouble {
                let _ = client.stream.write_all(&text(&id));
            }
            let answer = client.message();
            let after = began.elapsed().as_secs_f64();
            let (status, is_whole) = match &answer {
                Ok(Some(answer)) => (answer.status().to_string(), answer.is_whole),
                Ok(None) => ("nothing, the proxy closed the connection".to_owned(), false),
                Err(error) => (format!("nothing, {error}"), false),
            };
            case.log(&format!("client: {id} got {status} at {after:.3} s"));
            if !is_whole {
                breaks.push(format!("{id} was sent whole and got {status} at {after:.3} s; runs: {}", runs.count(&id)));
            }
        }
    }
    drop(proxy);
    case.end(&breaks)
}
