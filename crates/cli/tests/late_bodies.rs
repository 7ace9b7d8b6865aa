//! Answers whose endpoint gives the head at once and the body later: nothing that it is giving may be cut off.

mod peers;

use peers::bodies::*;
use peers::*;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// The latency objective of both classes, at which the balancer gives up an attempt without an answer.
const OBJECTIVE: Duration = Duration::from_millis(400);
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// An answer over 64 KiB is timed by its first bytes (DAYS).
const LARGE_BODY_BYTES: usize = 120_000;
const SMALL_BODY_BYTES: usize = 40_000;
/// A final answer is due this long after the client's timeout at the latest (STANDING).
const FINAL_ANSWER_SLACK: Duration = Duration::from_millis(500);
/// An endpoint that is silent for this long has stalled.
const MAX_SILENCE: Duration = Duration::from_secs(10);
/// The same once a part of a long answer has come: endpoints hang for 25 s at most (BENCH).
const MAX_SILENCE_IN_LONG_ANSWER: Duration = Duration::from_secs(30);
/// Longer than any silence that a proxy lets pass.
const READ_TIMEOUT: Duration = Duration::from_secs(45);
const PARTS: u32 = 5;
const PARTS_BEFORE_HANG: usize = 3;
const FRAMINGS: [&str; 3] = ["length", "chunked", "close"];
const CLASSES: [&str; 2] = ["safe", "unsafe"];

/// An answer as an endpoint gives it.
#[derive(Clone, Copy, Debug)]
struct LateBody {
    framing: &'static str,
    size_bytes: usize,
    /// From the head of the answer to the first byte of its body.
    delay: Duration,
    /// From the first byte of the body to its last.
    duration: Duration,
    /// How long the endpoint hangs once it has given a part of the body that is larger than 64 KiB.
    hang: Duration,
}

impl LateBody {
    fn head(&self) -> String {
        let framing = match self.framing {
            "length" => format!("Content-Length: {}", self.size_bytes),
            "chunked" => "Transfer-Encoding: chunked".to_owned(),
            _ => "Connection: close".to_owned(),
        };
        format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n")
    }

    /// Writes the answer, in parts. Ends the connection where nothing else ends the body.
    fn write(&self, stream: &mut BufReader<TcpStream>) {
        let pattern = test_pattern(self.size_bytes);
        let mut is_open = send_bytes(stream, self.head().as_bytes());
        thread::sleep(self.delay);
        for (number, part) in pattern.chunks(self.size_bytes.div_ceil(PARTS as usize)).enumerate() {
            if number == PARTS_BEFORE_HANG {
                thread::sleep(self.hang);
            }
            let bytes = if self.framing == "chunked" { chunk(part) } else { part.to_vec() };
            is_open = is_open && send_bytes(stream, &bytes);
            thread::sleep(self.duration / PARTS);
        }
        match self.framing {
            "chunked" => drop(send_bytes(stream, LAST_CHUNK)),
            "close" => drop(stream.get_ref().shutdown(std::net::Shutdown::Both)),
            _ => {}
        }
    }

    fn endpoint(self) -> SocketAddr {
        endpoint(move |head, stream| {
            if body(head, stream).is_some() {
                self.write(stream);
            }
        })
    }
}

/// What a client has received.
#[derive(Debug)]
struct Received {
    status: u16,
    body: Vec<u8>,
    /// The body has ended as its framing requires.
    is_complete: bool,
    /// From the last byte of the request to the end of the answer's head.
    began: Duration,
    /// From the last byte of the request to the end of the answer or of the connection.
    elapsed: Duration,
}

/// Reads the body of an answer to its end, or to the end of the connection. True if it is complete.
fn read_body(head: &str, stream: &mut BufReader<TcpStream>, received: &mut Vec<u8>) -> bool {
    if let Some(length) = header_value(head, "content-length") {
        let length = length.parse::<u64>().expect("a length");
        let _ = stream.take(length).read_to_end(received);
        return received.len() as u64 == length;
    }
    loop {
        let mut line = String::new();
        let _ = stream.read_line(&mut line);
        let Ok(length) = u64::from_str_radix(line.trim(), 16) else { return false };
        let before = received.len() as u64;
        let _ = stream.take(length).read_to_end(received);
        if received.len() as u64 - before < length || stream.read_line(&mut line).is_err() {
            return false;
        }
        if length == 0 {
            return true;
        }
    }
}

fn call(proxy: &Proxy, class: &str) -> Received {
    let mut stream = proxy.client().stream;
    stream.get_ref().set_read_timeout(Some(READ_TIMEOUT)).expect("a time-out");
    let timeout = format!("{}m", CLIENT_TIMEOUT.as_millis());
    let request = request_head(class, &timeout, "Content-Length: 4\r\n") + "body";
    assert!(send_bytes(&mut stream, request.as_bytes()));
    let sent_at = Instant::now();
    let head = head(&mut stream).expect("an answer");
    let began = sent_at.elapsed();
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status");
    let mut body = Vec::new();
    let is_complete = read_body(&head, &mut stream, &mut body);
    Received { status, body, is_complete, began, elapsed: sent_at.elapsed() }
}

fn start_proxy(discovery: &Discovery, endpoint: SocketAddr) -> Proxy {
    let listen = "127.0.0.1:0".parse().expect("an address");
    let config = config(listen, discovery.address, 1_024, &[entry("s-1", endpoint, "up", 0)])
        .replace("\"objective_us\":1500000", &format!("\"objective_us\":{}", OBJECTIVE.as_micros()))
        .replace("\"deadline_us\":3000000", &format!("\"deadline_us\":{}", CLIENT_TIMEOUT.as_micros()));
    Proxy::with(&config)
}

/// Plays each framing and class at a time, all beside each other.
fn for_each_kind(answer: LateBody, check: impl Fn(LateBody, &Received) + Sync) {
    thread::scope(|scope| {
        for (framing, class) in FRAMINGS.iter().flat_map(|framing| CLASSES.map(|class| (framing, class))) {
            let check = &check;
            scope.spawn(move || {
                let answer = LateBody { framing, ..answer };
                let discovery = Discovery::start();
                let proxy = start_proxy(&discovery, answer.endpoint());
                check(answer, &call(&proxy, class));
            });
        }
    });
}

fn assert_received_whole(answer: LateBody, received: &Received) {
    let size_bytes = received.body.len();
    assert_eq!((received.status, size_bytes), (200, answer.size_bytes), "{answer:?} {:?}", received.elapsed);
    assert!(received.is_complete && received.body == test_pattern(answer.size_bytes), "{answer:?}");
}

#[test]
fn a_large_body_that_begins_after_the_latency_objective_reaches_its_client() {
    // Guards against time limits of attempts that end an answer whose head has arrived.
    let answer = LateBody {
        framing: "",
        size_bytes: LARGE_BODY_BYTES,
        delay: Duration::from_millis(500),
        duration: Duration::from_millis(400),
        hang: Duration::ZERO,
    };
    for_each_kind(answer, assert_received_whole);
}

#[test]
fn a_small_body_that_begins_after_the_latency_objective_reaches_its_client_in_time() {
    // Guards against the same fault for bodies that are buffered.
    let answer = LateBody {
        framing: "",
        size_bytes: SMALL_BODY_BYTES,
        delay: Duration::from_millis(500),
        duration: Duration::from_millis(100),
        hang: Duration::ZERO,
    };
    for_each_kind(answer, assert_received_whole);
}

#[test]
fn a_large_body_that_is_given_beyond_the_client_timeout_is_not_cut() {
    // Guards against the deadline of a call ending what an endpoint still gives.
    let answer = LateBody {
        framing: "",
        size_bytes: LARGE_BODY_BYTES,
        delay: Duration::from_millis(1_200),
        duration: Duration::from_millis(2_000),
        hang: Duration::ZERO,
    };
    for_each_kind(answer, assert_received_whole);
}

#[test]
fn a_large_body_that_begins_after_the_client_timeout_is_not_cut() {
    // Guards against an answer that is ended because its first byte comes later than its head.
    let answer = LateBody {
        framing: "",
        size_bytes: LARGE_BODY_BYTES,
        delay: CLIENT_TIMEOUT + FINAL_ANSWER_SLACK + Duration::from_millis(500),
        duration: Duration::from_millis(400),
        hang: Duration::ZERO,
    };
    for_each_kind(answer, |answer, received| {
        assert_received_whole(answer, received);
        assert!(received.began < CLIENT_TIMEOUT + FINAL_ANSWER_SLACK, "{answer:?} {:?}", received.began);
    });
}

#[test]
fn an_answer_whose_endpoint_hangs_in_its_middle_reaches_its_client() {
    // Guards against a pause that ends an answer although its endpoint goes on (DAYS).
    let answer = LateBody {
        framing: "",
        size_bytes: LARGE_BODY_BYTES,
        delay: Duration::ZERO,
        duration: Duration::from_millis(400),
        hang: Duration::from_secs(12),
    };
    for_each_kind(answer, assert_received_whole);
}

#[test]
fn an_answer_whose_endpoint_hangs_for_good_ends_incomplete() {
    // Guards against connections that are kept for an answer without an end.
    let answer = LateBody {
        framing: "",
        size_bytes: LARGE_BODY_BYTES,
        delay: Duration::ZERO,
        duration: Duration::from_millis(400),
        hang: Duration::from_secs(60),
    };
    for_each_kind(answer, |answer, received| {
        assert!(received.status == 200 && !received.is_complete, "{answer:?}");
        let ends_by = CLIENT_TIMEOUT + MAX_SILENCE_IN_LONG_ANSWER + FINAL_ANSWER_SLACK;
        assert!(received.elapsed < ends_by, "{answer:?} {:?}", received.elapsed);
    });
}

#[test]
fn an_answer_of_which_nothing_but_the_head_comes_begins_in_time_and_ends_incomplete() {
    // Guards against heads that are passed on without an end of the answer.
    let answer = LateBody {
        framing: "",
        size_bytes: LARGE_BODY_BYTES,
        delay: Duration::from_secs(60),
        duration: Duration::ZERO,
        hang: Duration::ZERO,
    };
    for_each_kind(answer, |answer, received| {
        let is_served = received.status == 200 && received.is_complete;
        assert!(!is_served && received.body.is_empty(), "{answer:?}");
        assert!(received.began < CLIENT_TIMEOUT + FINAL_ANSWER_SLACK, "{answer:?} {:?}", received.began);
        let ends_by = CLIENT_TIMEOUT + MAX_SILENCE + FINAL_ANSWER_SLACK;
        assert!(received.elapsed < ends_by, "{answer:?} {:?}", received.elapsed);
    });
}
