//! Case 8: requests with a head of more than 4 KiB get no answer where 32 MB go with 1,024 descriptors.

#[path = "../lib-2/mod.rs"]
mod lib;

use lib::*;
use std::io::Write;
use std::time::{Duration, Instant};

const TIMEOUT_MS: u64 = 1500;
/// FLEET: later than half a second after its time, a request is lost.
const LATEST: Duration = Duration::from_millis(TIMEOUT_MS + 500);

fn main() {
    let case = Case::begin();
    let runs = Runs::default();
    let server = fare_server(&case, "fare server", &runs, |exchange| {
        exchange.stream.write_all(&served(exchange.request.header("x-request-id").as_bytes())).is_ok()
    });
    let agent = Agent::start(&[server]);
    let proxy = start_proxy(
        &case,
        &Start {
            discovery: agent.address,
            servers: &[server],
            settings: settings(&CLASSES),
            memory_mb: 32,
            sockets: 1024,
        },
    );
    let mut breaks = Vec::new();
    // The requests come one after the other; nothing else goes on.
    for round in 0..10 {
        let mut client = connect(proxy.listen);
        let _ = client.stream.set_read_timeout(Some(Duration::from_secs(5)));
        let long = if case.trouble { 4_600 + 500 * round as usize } else { 3_000 };
        for (number, figures_bytes) in [(1, 20), (2, long)] {
            let id = id(round * 10 + number);
            let figures = format!("X-Attrs: note={}\r\n", "7".repeat(figures_bytes));
            let request = request("card-check", &id, TIMEOUT_MS, &figures, None);
            let sent_at = Instant::now();
            let is_written = client.stream.write_all(&request).is_ok();
            case.log(&format!(
                "client: sent {id}, a head of {} bytes, written whole: {is_written}",
                request.len()
            ));
            let answer = client.message();
            let after = sent_at.elapsed();
            let text = match &answer {
                Ok(Some(answer)) => format!("{}", answer.status()),
                Ok(None) => "nothing, the proxy closed the connection".to_owned(),
                Err(error) => format!("nothing, {error}"),
            };
            case.log(&format!("client: {id} got {text} after {:.3} s", after.as_secs_f64()));
            let is_answered = matches!(&answer, Ok(Some(answer)) if answer.is_whole) && after <= LATEST;
            if !is_answered {
                let bytes = request.len();
                breaks.push(format!(
                    "{id}, {bytes} bytes: {text} after {:.3} s, {} runs",
                    after.as_secs_f64(),
                    runs.count(&id)
                ));
            }
        }
    }
    drop(proxy);
    case.end(&breaks)
}
