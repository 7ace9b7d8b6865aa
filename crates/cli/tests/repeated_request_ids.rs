//! Clients that leave before their answer: what they sent runs at most once, and not after they have left.

mod peers;

use peers::bodies::*;
use peers::shutdown::write_response;
use peers::*;
use std::collections::HashMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVICE_TIME: Duration = Duration::from_millis(200);
/// An attempt that begins later than this after its client has closed is a lost request (STANDING).
const MAX_START_AFTER_CLOSE: Duration = Duration::from_millis(100);
const CLIENT_TIMEOUT: &str = "2000m";
const SMALL_BODY_BYTES: usize = 300;
const STREAMED_BODY_BYTES: usize = 150_000;

/// When requests began to run at the endpoints, by their ids.
#[derive(Clone, Default)]
struct Runs(Arc<Mutex<HashMap<String, Vec<Instant>>>>);

impl Runs {
    fn record(&self, id: &str) {
        self.0.lock().expect("no panic").entry(id.to_owned()).or_default().push(Instant::now());
    }

    fn of(&self, id: &str) -> usize {
        self.0.lock().expect("no panic").get(id).map_or(0, Vec::len)
    }

    fn count_after(&self, instant: Instant) -> usize {
        let runs = self.0.lock().expect("no panic");
        runs.values().flatten().filter(|&&began| began > instant).count()
    }

    /// An endpoint that records each request once its last byte has arrived.
    fn endpoint(&self, service_time: Duration) -> SocketAddr {
        let runs = self.clone();
        endpoint(move |head, stream| {
            if body(head, stream).is_some() {
                runs.record(header_value(head, "x-request-id").expect("an id"));
                thread::sleep(service_time);
                write_response(stream, "length", b"ok");
            }
        })
    }
}

fn request(class: &str, id: &str, size_bytes: usize) -> Vec<u8> {
    let head = format!(
        "POST /{class} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Timeout: {CLIENT_TIMEOUT}\r\n\
         Content-Length: {size_bytes}\r\n\r\n"
    );
    [head.into_bytes(), test_pattern(size_bytes)].concat()
}

fn connect(address: SocketAddr) -> Client {
    let stream = TcpStream::connect(address).expect("a listening process");
    stream.set_read_timeout(Some(LONG)).expect("a time-out");
    Client { stream: BufReader::new(stream) }
}

/// Sends a request and leaves after `stay`, without having read anything.
fn send_and_leave(address: SocketAddr, request: &[u8], stay: Duration) {
    let mut client = connect(address);
    assert!(send_bytes(&mut client.stream, request));
    thread::sleep(stay);
}

fn send_again(address: SocketAddr, request: &[u8]) -> u16 {
    let mut client = connect(address);
    assert!(send_bytes(&mut client.stream, request));
    client.answer().expect("a final answer").status()
}

/// Each request comes a second time, `absence` after its client left `stay` after the first.
fn runs_of_a_repeated_request(
    class: &str,
    size_bytes: usize,
    stay: Duration,
    absence: Duration,
) -> (usize, u16) {
    let discovery = Discovery::start();
    let runs = Runs::default();
    let endpoints = [runs.endpoint(SERVICE_TIME), runs.endpoint(SERVICE_TIME)];
    let proxy = start(&discovery, &endpoints);
    let request = request(class, "4be1", size_bytes);
    send_and_leave(proxy.address, &request, stay);
    thread::sleep(absence);
    let status = send_again(proxy.address, &request);
    (runs.of("4be1"), status)
}

#[test]
fn an_unsafe_request_that_comes_again_after_its_client_has_left_runs_once() {
    // Guards against ids that are forgotten with the connection that they came on.
    let pauses = [0, 20, 400].map(Duration::from_millis);
    thread::scope(|scope| {
        for size_bytes in [SMALL_BODY_BYTES, STREAMED_BODY_BYTES] {
            for (stay, absence) in pauses.iter().flat_map(|&stay| pauses.map(|absence| (stay, absence))) {
                scope.spawn(move || {
                    let (runs, status) = runs_of_a_repeated_request("unsafe", size_bytes, stay, absence);
                    let context = format!("{size_bytes} bytes, stay {stay:?}, absence {absence:?}: {status}");
                    assert!(runs <= 1, "{runs} runs, {context}");
                    // A rejection promises that nothing has run.
                    assert!(runs == 0 || status != 503, "{context}");
                });
            }
        }
    });
}

#[test]
fn a_safe_request_that_comes_again_is_served_again() {
    // Guards against ids that are remembered although their requests may run twice.
    let stay = Duration::from_millis(100);
    assert_eq!(runs_of_a_repeated_request("safe", SMALL_BODY_BYTES, stay, stay), (2, 200));
}

#[test]
fn an_unsafe_request_that_never_ran_is_served_when_it_comes_again() {
    // Guards against ids that are remembered although no endpoint has received their requests.
    let discovery = Discovery::start();
    let host = Host::start(|number| {
        let (status, header) = if number == 0 { ("503 x", "X-Not-Processed: 1\r\n") } else { ("200 OK", "") };
        Reply::Write(answer(status, header, "ok"))
    });
    let listen = "127.0.0.1:0".parse().expect("an address");
    let config = config(listen, discovery.address, 1_024, &[entry("s-1", host.address, "up", 0)])
        .replace("\"max_attempts\":3", "\"max_attempts\":1");
    let proxy = Proxy::with(&config);
    let request = request("unsafe", "4be1", SMALL_BODY_BYTES);
    assert_eq!(send_again(proxy.address, &request), 503);
    assert_eq!(send_again(proxy.address, &request), 200);
}

#[test]
fn an_unsafe_request_runs_once_in_the_two_processes_of_a_hot_restart() {
    // Guards against ids that only one of two processes knows, whichever of them they come to first.
    let discovery = Discovery::start();
    let runs = Runs::default();
    let listen = "127.0.0.1:0".parse().expect("an address");
    let known = [entry("s-1", runs.endpoint(SERVICE_TIME), "up", 0)];
    let config = config(listen, discovery.address, 1_024, &known);
    let platform = Platform::new();
    let address = platform.listener.local_addr().expect("its address");
    let predecessor = platform.start(&config);
    let before: Vec<String> = (0..8).map(|number| format!("a{number}")).collect();
    for id in &before {
        send_and_leave(address, &request("unsafe", id, SMALL_BODY_BYTES), SERVICE_TIME / 4);
    }
    let mut successor = platform.start(&config);
    // Either process may accept a connection while both listen.
    let during: Vec<String> = (0..32).map(|number| format!("b{number}")).collect();
    for id in &during {
        send_and_leave(address, &request("unsafe", id, SMALL_BODY_BYTES), SERVICE_TIME / 8);
        send_again(address, &request("unsafe", id, SMALL_BODY_BYTES));
    }
    predecessor.terminate();
    thread::sleep(SHORT);
    for id in before.iter().chain(&during) {
        send_again(address, &request("unsafe", id, SMALL_BODY_BYTES));
        assert!(runs.of(id) <= 1, "{id}: {} runs", runs.of(id));
    }
    assert!(successor.child.try_wait().expect("a child").is_none());
}

#[test]
fn requests_of_a_client_that_closed_with_much_unread_are_not_forwarded() {
    // Guards against requests that are forwarded from a buffer although their client has left.
    let discovery = Discovery::start();
    let runs = Runs::default();
    let proxy = start(&discovery, &[runs.endpoint(Duration::from_millis(20))]);
    for (round, size_bytes) in [0, 300, 20_000, 150_000].into_iter().enumerate() {
        let requests: Vec<u8> =
            (0..40).flat_map(|number| request("safe", &format!("{round}-{number}"), size_bytes)).collect();
        let mut client = connect(proxy.address);
        let _ = client.stream.get_ref().set_write_timeout(Some(MAX_START_AFTER_CLOSE));
        let _ = send_bytes(&mut client.stream, &requests);
        drop(client);
        let closed_at = Instant::now();
        thread::sleep(Duration::from_secs(1));
        let late = runs.count_after(closed_at + MAX_START_AFTER_CLOSE);
        assert_eq!(late, 0, "requests of {size_bytes} bytes began after their client had left");
    }
}
