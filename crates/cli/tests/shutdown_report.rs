//! What a process reports during graceful shutdown: its log lines and the `shutdown` object of the metrics.

mod peers;

use peers::*;
use std::io::{BufRead, Read};
use std::net::SocketAddr;
use std::process::Command;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// More than the socket buffers on both sides of the proxy hold.
const LARGE_BODY_BYTES: usize = 24 << 20;
const UPLOAD_BYTES: usize = 1 << 20;
const UPLOAD_CHUNK_BYTES: usize = UPLOAD_BYTES / 4;
/// The ID of the request that the endpoint answers when the test releases it.
const HELD_ID: &str = "7e1d0001";
/// The ID of the request with the large response.
const LARGE_ID: &str = "7e1d0002";

const ALL_OPEN: &str = "connections=3 incomplete_requests=1 awaiting_response=1 writing_response=1";

fn config_with_admin_address(discovery: &Discovery, endpoint: &Endpoint) -> String {
    let listen = "127.0.0.1:0".parse().expect("an address");
    let known = [entry("s-1", endpoint.host.address, "up", 0)];
    let text = config(listen, discovery.address, 1_024, &known);
    // The held request must not reach a deadline before the test releases it.
    let text = text.replace(r#""deadline_us":3000000"#, r#""deadline_us":60000000"#);
    text.replacen('{', r#"{"operator":"127.0.0.1:0","#, 1)
}

/// An endpoint that answers the held request only when the test releases it.
struct Endpoint {
    host: Host,
    held_arrived: Receiver<()>,
    release: Sender<()>,
}

fn endpoint() -> Endpoint {
    let ((arrived, held_arrived), (release, released)) = (channel(), channel());
    let released = Mutex::new(released);
    let large = answer("200 OK", "", &"x".repeat(LARGE_BODY_BYTES));
    let host = Host::with_handler(move |_, request| match request.header("x-request-id") {
        Some(HELD_ID) => {
            let _ = arrived.send(());
            let _ = released.lock().expect("an unpoisoned lock").recv();
            Reply::Write(answer("200 OK", "", "held"))
        }
        Some(LARGE_ID) => Reply::Write(large.clone()),
        _ => Reply::Write(answer("200 OK", "", "ok")),
    });
    Endpoint { host, held_arrived, release }
}

/// The clients of three open requests: one awaits its response, the response of one is being written, and one
/// is incomplete.
struct OpenRequests {
    held: Client,
    large: Client,
    upload: Client,
}

impl OpenRequests {
    fn begin(proxy: &Proxy, endpoint: &Endpoint) -> OpenRequests {
        let mut held = proxy.client();
        held.send_as(HELD_ID, "safe", "60000m");
        endpoint.held_arrived.recv_timeout(LONG).expect("the request at the endpoint");
        let mut large = proxy.client();
        large.send_as(LARGE_ID, "safe", "60000m");
        assert!(read_line(&mut large).starts_with("HTTP/1.1 200"));
        let mut upload = proxy.client();
        upload.write(&format!(
            "POST /safe HTTP/1.1\r\nHost: x\r\nX-Request-ID: 7e1d0003\r\nX-Timeout: 1000m\r\n\
             Expect: 100-continue\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
        ));
        assert!(read_line(&mut upload).starts_with("HTTP/1.1 100"));
        assert_eq!(read_line(&mut upload), "\r\n");
        let mut open = OpenRequests { held, large, upload };
        open.upload_chunk();
        open
    }

    fn upload_chunk(&mut self) {
        self.upload.write(&"u".repeat(UPLOAD_CHUNK_BYTES));
    }

    /// Sends the remaining 3 chunks.
    fn finish_upload(&mut self) {
        for _ in 0..3 {
            self.upload_chunk();
        }
        assert_eq!(self.upload.answer().expect("a response").status(), 200);
    }

    fn finish_held(&mut self, endpoint: &Endpoint) {
        endpoint.release.send(()).expect("a waiting endpoint");
        assert_eq!(self.held.answer().expect("a response").status(), 200);
    }

    fn finish_large(&mut self) {
        while read_line(&mut self.large) != "\r\n" {}
        let mut body = vec![0; LARGE_BODY_BYTES];
        self.large.stream.read_exact(&mut body).expect("the complete body");
    }
}

fn read_line(client: &mut Client) -> String {
    let mut line = String::new();
    assert!(client.stream.read_line(&mut line).expect("text") > 0, "a line");
    line
}

/// Waits until the metrics report these counts of open connections, incomplete requests, awaited responses
/// and responses being written.
fn wait_for_open_counts(admin: SocketAddr, expected: [u64; 4]) {
    let started = Instant::now();
    loop {
        let metrics = metrics(admin);
        let keys = ["connections", "incomplete_requests", "awaiting_response", "writing_response"];
        let open = keys.map(|key| metrics["shutdown"][key].as_u64().expect("a count"));
        if open == expected {
            return;
        }
        assert!(started.elapsed() < LONG, "open requests: {open:?}, expected {expected:?}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// The unread part of the log of a process that has ended.
fn remaining_log(proxy: &mut Proxy) -> String {
    let mut text = String::new();
    proxy.log.read_to_string(&mut text).expect("text");
    text
}

#[test]
fn log_and_metrics_count_open_requests_in_graceful_shutdown() {
    let (discovery, endpoint) = (Discovery::start(), endpoint());
    let mut proxy = Proxy::with(&config_with_admin_address(&discovery, &endpoint));
    let admin = proxy.admin_address();
    let mut open = OpenRequests::begin(&proxy, &endpoint);
    assert_eq!(metrics(admin).get("shutdown"), None, "no shutdown has begun");
    let terminated = Instant::now();
    proxy.terminate();
    proxy.expect_log("graceful shutdown began", &format!("shares_listener=false {ALL_OPEN}"));
    let mut shutdown = metrics(admin)["shutdown"].take();
    let began_ms_ago = shutdown.as_object_mut().and_then(|keys| keys.remove("began_ms_ago"));
    let began_ms_ago = began_ms_ago.and_then(|age| age.as_u64()).expect("a time");
    assert!(Duration::from_millis(began_ms_ago) <= terminated.elapsed(), "{began_ms_ago} ms");
    let expected = serde_json::json!({
        "connections": 3, "incomplete_requests": 1, "awaiting_response": 1, "writing_response": 1
    });
    assert_eq!(shutdown, expected);
    let table =
        Command::new(env!("CARGO_BIN_EXE_oakport")).args(["ctl", &admin.to_string(), "dump"]).output();
    let table = String::from_utf8(table.expect("the output of oakport ctl").stdout).expect("text");
    let value = |row: &str| table.lines().find_map(|line| line.trim().strip_prefix(row)).map(str::trim);
    assert_eq!(value("client connections"), Some("3"), "{table}");
    for row in ["incomplete requests", "awaiting response", "writing response"] {
        assert_eq!(value(row), Some("1"), "{table}");
    }
    proxy.expect_log("graceful shutdown in progress", ALL_OPEN);
    open.finish_upload();
    wait_for_open_counts(admin, [2, 0, 1, 1]);
    open.finish_held(&endpoint);
    wait_for_open_counts(admin, [1, 0, 0, 1]);
    open.finish_large();
    drop(open);
    assert!(proxy.exits_successfully());
    let log = remaining_log(&mut proxy);
    let last = log.lines().last().expect("a line");
    let duration_ms =
        last.split_once("graceful shutdown ended duration_ms=").expect("the last line of the shutdown").1;
    let duration = Duration::from_millis(duration_ms.trim().parse().expect("a number"));
    assert!(duration >= Duration::from_millis(500) && duration <= terminated.elapsed(), "{duration:?}");
}

#[test]
fn the_last_log_line_of_a_killed_process_reports_its_open_requests() {
    let (discovery, endpoint) = (Discovery::start(), endpoint());
    let platform = Platform::new();
    let mut proxy = platform.start(&config_with_admin_address(&discovery, &endpoint));
    let mut held = proxy.client();
    held.send_as(HELD_ID, "safe", "60000m");
    endpoint.held_arrived.recv_timeout(LONG).expect("the request at the endpoint");
    proxy.terminate();
    let open = "connections=1 incomplete_requests=0 awaiting_response=1 writing_response=0";
    proxy.expect_log("graceful shutdown began", &format!("shares_listener=true {open}"));
    proxy.expect_log("graceful shutdown in progress", open);
    proxy.signal("-KILL");
    assert!(!proxy.exits_successfully(), "a killed process should not exit with status 0");
    let log = remaining_log(&mut proxy);
    // Only more progress lines may have been logged between that line and the kill.
    assert!(log.lines().all(|line| line.contains("in progress") && line.contains(open)), "{log}");
}
