//! Races of a request, a response, a close or a signal with another event. Each test forces one order of
//! events: a peer withholds its message until the proxy has reached a known state (`docs/races.md`).

mod peers;

use peers::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// No attempt for a disconnected client begins later than this after the disconnect.
const MAX_DISCONNECT_DETECTION_TIME: Duration = Duration::from_millis(100);

fn up(name: &str, endpoint: &Host) -> String {
    entry(name, endpoint.address, "up", 0)
}

fn configuration(discovery: &Discovery, known: &[String]) -> String {
    let listen = "127.0.0.1:0".parse().expect("an address");
    config(listen, discovery.address, 1_024, known).replacen('{', r#"{"operator":"127.0.0.1:0","#, 1)
}

/// The metric at this JSON pointer in the admin endpoint's response to DUMP.
fn metric(admin: SocketAddr, path: &str) -> Option<u64> {
    let mut stream = TcpStream::connect(admin).expect("a listening process");
    stream.set_read_timeout(Some(LONG)).expect("a time-out");
    stream.write_all(b"DUMP\n").expect("an open connection");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer and a close");
    let metrics: serde_json::Value = serde_json::from_str(text.lines().next()?).ok()?;
    metrics.pointer(path).and_then(serde_json::Value::as_u64)
}

fn wait_for_metric(admin: SocketAddr, path: &str, expected: u64) {
    let began = Instant::now();
    while metric(admin, path) != Some(expected) {
        assert!(began.elapsed() < LONG, "{path} is {:?}, not {expected}", metric(admin, path));
        thread::sleep(Duration::from_millis(2));
    }
}

/// An endpoint whose first request waits until the test releases it.
struct GatedEndpoint {
    host: Host,
    /// Reports the arrival of the first request.
    arrivals: Receiver<()>,
    release: Sender<()>,
}

impl GatedEndpoint {
    /// An endpoint that answers every request with `reply`, the first one after [`GatedEndpoint::release`].
    fn start(reply: Reply) -> GatedEndpoint {
        let (arrival_sender, arrivals) = channel();
        let (release, gate) = channel::<()>();
        let gate = Mutex::new(gate);
        let host = Host::start(move |number| {
            if number == 0 {
                let _ = arrival_sender.send(());
                let _ = gate.lock().expect("one call").recv();
            }
            reply.clone()
        });
        GatedEndpoint { host, arrivals, release }
    }

    fn await_first_request(&self) {
        self.arrivals.recv_timeout(LONG).expect("the call at the endpoint");
    }

    fn release(&self) {
        self.release.send(()).expect("the endpoint waits");
    }
}

fn head(class: &str, time: &str, length: usize) -> String {
    let id = fresh_id();
    format!(
        "POST /{class} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Timeout: {time}\r\n\
         Content-Length: {length}\r\n\r\n"
    )
}

/// How a client disconnects.
#[derive(Clone)]
struct Disconnect {
    name: &'static str,
    /// Bytes that the client writes before it disconnects.
    bytes: Vec<u8>,
    is_reset: bool,
}

fn disconnects() -> Vec<Disconnect> {
    let complete = head("safe", "3000m", 0);
    let disconnect = |name, following: &[u8], is_reset| {
        let bytes = [complete.as_bytes(), following].concat();
        Disconnect { name, bytes, is_reset }
    };
    vec![
        disconnect("close", b"", false),
        disconnect("close after an incomplete next request", b"GET /safe HT", false),
        disconnect("close after a complete next request", complete.as_bytes(), false),
        disconnect("close after 200 KiB", &vec![b'x'; 200 << 10], false),
        disconnect("reset after 200 KiB", &vec![b'x'; 200 << 10], true),
        disconnect("reset", b"", true),
        disconnect("reset after an incomplete next request", b"GET /safe HT", true),
    ]
}

/// Closes a connection, with a reset if `is_reset`.
fn disconnect(stream: TcpStream, is_reset: bool) {
    if is_reset {
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an open connection");
    }
    drop(stream);
}

/// Calls are queued, as no endpoint is known. Their clients disconnect, and then an endpoint is listed.
#[test]
fn disconnected_clients_get_no_first_attempt() {
    const CLIENTS_PER_DISCONNECT: usize = 14;
    let client_count = disconnects().len() * CLIENTS_PER_DISCONNECT;
    for is_suspended in [false, true] {
        let discovery = Discovery::start();
        let endpoint = Host::serving("ok");
        let mut proxy = Proxy::with(&configuration(&discovery, &[]));
        let admin = proxy.admin_address();
        discovery.next_request();
        let mut clients = Vec::new();
        for kind in disconnects().into_iter().cycle().take(client_count) {
            let mut client = proxy.client();
            client
                .stream
                .get_mut()
                .write_all(&kind.bytes)
                .expect("a write that fits into the socket buffers");
            clients.push((client.stream.into_inner(), kind.is_reset));
        }
        wait_for_metric(admin, "/inflight", client_count as u64);
        if is_suspended {
            // The stopped process sees all disconnects and the new endpoint at the same time when it resumes.
            proxy.signal("-STOP");
        }
        for (stream, is_reset) in clients {
            disconnect(stream, is_reset);
        }
        let disconnected = Instant::now();
        if is_suspended {
            discovery.respond_with_list(&list(42, true, &[up("s-1", &endpoint)]));
            thread::sleep(MAX_DISCONNECT_DETECTION_TIME);
            proxy.signal("-CONT");
        } else {
            wait_for_metric(admin, "/inflight", 0);
            println!("{client_count} disconnects were detected after {:?}", disconnected.elapsed());
            // Ten times the limit, as the detection time depends on the machine. The checks on attempts do
            // not.
            assert!(
                disconnected.elapsed() < MAX_DISCONNECT_DETECTION_TIME * 10,
                "{:?}",
                disconnected.elapsed()
            );
            thread::sleep(MAX_DISCONNECT_DETECTION_TIME.saturating_sub(disconnected.elapsed()));
            discovery.respond_with_list(&list(42, true, &[up("s-1", &endpoint)]));
        }
        assert!(discovery.next_request().contains("index=42&"));
        assert_eq!(endpoint.further_requests(), 0, "suspended: {is_suspended}");
        assert_eq!(proxy.call("safe", "2000m").status(), 200);
        wait_for_metric(admin, "/inflight", 0);
    }
}

/// The proxy sees the client's close only after it has read the part of the body before it. An attempt may
/// begin, but its last byte, with which it counts as an attempt (PROTOCOL), is never written.
#[test]
fn a_client_that_disconnects_within_a_large_body_gets_no_complete_attempt() {
    let discovery = Discovery::start();
    let endpoint = Host::serving("ok");
    let mut proxy = Proxy::with(&configuration(&discovery, &[]));
    let admin = proxy.admin_address();
    discovery.next_request();
    let mut client = proxy.client();
    client.write(&head("safe", "3000m", 4 << 20));
    client
        .stream
        .get_mut()
        .write_all(&vec![b'x'; 1 << 20])
        .expect("a write that fits into the socket buffers");
    wait_for_metric(admin, "/inflight", 1);
    drop(client);
    discovery.respond_with_list(&list(42, true, &[up("s-1", &endpoint)]));
    assert!(discovery.next_request().contains("index=42&"));
    wait_for_metric(admin, "/inflight", 0);
    assert_eq!(endpoint.further_requests(), 0);
}

/// The client disconnects while its first attempt is in flight. The endpoint then rejects the attempt, and
/// the call is not retried.
#[test]
fn disconnected_clients_get_no_retry() {
    for Disconnect { name, bytes, is_reset } in disconnects() {
        let (arrival_sender, arrivals) = channel();
        let (release, gate) = channel::<()>();
        let gate = Mutex::new(gate);
        let requests = Arc::new(AtomicUsize::new(0));
        let request_count = Arc::clone(&requests);
        let rejection = answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "");
        let script = Arc::new(move |_| {
            request_count.fetch_add(1, Ordering::SeqCst);
            let _ = arrival_sender.send(());
            let _ = gate.lock().expect("one call").recv_timeout(SHORT);
            Reply::Write(rejection.clone())
        });
        let endpoints = [0, 1].map(|_| {
            let script = Arc::clone(&script);
            Host::start(move |n| script(n))
        });
        let discovery = Discovery::start();
        let mut proxy =
            Proxy::with(&configuration(&discovery, &[up("s-1", &endpoints[0]), up("s-2", &endpoints[1])]));
        let admin = proxy.admin_address();
        let mut client = proxy.client();
        client.stream.get_mut().write_all(&bytes).expect("a write that fits into the socket buffers");
        arrivals.recv_timeout(LONG).expect("the first attempt");
        disconnect(client.stream.into_inner(), is_reset);
        wait_for_metric(admin, "/inflight", 0);
        let _ = release.send(());
        thread::sleep(SHORT);
        assert_eq!(requests.load(Ordering::SeqCst), 1, "{name}");
    }
}

/// A connect that is in progress when the client disconnects succeeds later. Nothing is written to its
/// connection.
#[test]
fn a_client_that_disconnects_during_connect_gets_no_attempt() {
    let discovery = Discovery::start();
    let unresponsive = UnresponsiveHost::start();
    let text = configuration(&discovery, &[entry("s-1", unresponsive.address, "up", 0)])
        .replace(r#""connect_timeout_us":1000000"#, r#""connect_timeout_us":60000000"#);
    let mut proxy = Proxy::with(&text);
    let admin = proxy.admin_address();
    let mut client = proxy.client();
    client.write(&format!("{}GET /safe HT", head("unsafe", "30000m", 0)));
    wait_for_metric(admin, "/inflight", 1);
    drop(client);
    thread::sleep(MAX_DISCONNECT_DETECTION_TIME);
    assert_eq!(unresponsive.count_bytes_received(), 0);
}

/// Reads to the end of the stream. An error if the connection is reset, also if the reset follows the end of
/// the stream: the socket's error then holds it.
fn read_to_end(stream: &mut TcpStream) -> Result<Vec<u8>, ErrorKind> {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).map_err(|e| e.kind())?;
    thread::sleep(SHORT / 6);
    match stream.take_error().expect("a socket") {
        None => Ok(bytes),
        Some(error) => Err(error.kind()),
    }
}

/// A request arrives as graceful shutdown closes its idle connection: it is not forwarded, and the connection
/// is not reset.
#[test]
fn a_request_that_races_with_the_close_at_shutdown_is_not_forwarded() {
    let discovery = Discovery::start();
    let endpoint = Host::serving("ok");
    let proxy = Proxy::with(&configuration(&discovery, &[up("s-1", &endpoint)]));
    let mut clients: Vec<Client> = (0..20).map(|_| proxy.client()).collect();
    for client in &mut clients {
        assert_eq!(client.call("safe", "2000m").status(), 200);
    }
    assert_eq!(endpoint.further_requests(), 20);
    proxy.terminate();
    for client in &mut clients {
        let stream = client.stream.get_mut();
        // The proxy has closed its side, so this request crosses the close.
        assert_eq!(stream.read(&mut [0; 9]).expect("an orderly end"), 0);
        stream.write_all(head("safe", "2000m", 0).as_bytes()).expect("the other direction is open");
    }
    thread::sleep(SHORT / 6);
    for client in &mut clients {
        assert_eq!(read_to_end(client.stream.get_mut()), Ok(Vec::new()), "no reset");
    }
    assert_eq!(endpoint.further_requests(), 0, "no request was forwarded");
}

/// Waits until responses carry `Connection: close`. The first response may precede the signal's delivery.
fn wait_for_shutdown(proxy: &Proxy) {
    let began = Instant::now();
    let is_shutting_down = || {
        let mut client = proxy.client();
        client.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
        client.answer().expect("a response").header("connection") == Some("close")
    };
    while !is_shutting_down() {
        assert!(began.elapsed() < LONG, "graceful shutdown has begun");
    }
}

/// The connection has unread bytes after its last request when the response is written and the connection
/// closes. Closing a socket with unread bytes resets it, which can discard the response: the client must
/// receive the response and an orderly end of the stream.
#[test]
fn the_last_response_is_delivered_despite_unread_bytes() {
    for shuts_down in [true, false] {
        let endpoint = GatedEndpoint::start(Reply::Write(answer("200 OK", "", "last")));
        let discovery = Discovery::start();
        let proxy = Proxy::with(&configuration(&discovery, &[up("s-1", &endpoint.host)]));
        let mut client = proxy.client();
        client.write(
            &head("unsafe", "9000m", 0)
                .replace("Host", if shuts_down { "Host" } else { "Connection: close\r\nHost" }),
        );
        endpoint.await_first_request();
        if shuts_down {
            proxy.terminate();
            wait_for_shutdown(&proxy);
        }
        client
            .stream
            .get_mut()
            .write_all(&vec![b'x'; 150 << 10])
            .expect("a write that fits into the socket buffers");
        endpoint.release();
        let last = client.answer().expect("the response");
        assert_eq!((last.status(), last.body.as_slice()), (200, &b"last"[..]));
        assert_eq!(
            read_to_end(client.stream.get_mut()),
            Ok(Vec::new()),
            "an orderly end; graceful shutdown: {shuts_down}"
        );
    }
}

/// Graceful shutdown waits for an incomplete request only as long as it could still be answered.
#[test]
fn an_incomplete_request_ends_soon_after_shutdown_begins() {
    let discovery = Discovery::start();
    let endpoint = Host::serving("ok");
    let mut proxy = Proxy::with(&configuration(&discovery, &[up("s-1", &endpoint)]));
    let mut client = proxy.client();
    assert_eq!(client.call("safe", "2000m").status(), 200);
    client.write("POST /safe HTTP/1.1\r\nHost: x\r\n");
    let began = Instant::now();
    proxy.terminate();
    assert_eq!(read_to_end(client.stream.get_mut()), Ok(Vec::new()));
    // Expected after 0.65 s. Outside shutdown the time limit of an incomplete request is 2.3 s.
    assert!(began.elapsed() < Duration::from_millis(1_500), "{:?}", began.elapsed());
    assert!(proxy.exits_successfully());
    assert_eq!(endpoint.further_requests(), 1);
}

/// Connections with requests are in the listen backlog when the period of accepting during shutdown is over.
#[test]
fn requests_in_the_listen_backlog_are_answered_as_the_listener_closes() {
    let discovery = Discovery::start();
    let endpoint = Host::serving("ok");
    let mut proxy = Proxy::with(&configuration(&discovery, &[up("s-1", &endpoint)]));
    proxy.terminate();
    wait_for_shutdown(&proxy);
    proxy.signal("-STOP");
    let mut clients: Vec<Client> = (0..20).map(|_| proxy.client()).collect();
    clients.iter_mut().for_each(|client| client.send("safe", "5000m"));
    // Well past the 450 ms for which shutdown accepts connections, and past its other time limits.
    thread::sleep(SHORT * 4);
    proxy.signal("-CONT");
    for client in &mut clients {
        assert_eq!(client.answer().expect("a response").status(), 200);
    }
    assert!(proxy.exits_successfully());
}

/// The connect of a retry succeeds only after the deduplication window, when endpoints no longer recognize
/// duplicates.
#[test]
fn no_retry_begins_after_its_deduplication_window() {
    let first = GatedEndpoint::start(Reply::WriteAndClose(String::new()));
    let discovery = Discovery::start();
    let unresponsive = UnresponsiveHost::start();
    let deduplicated = r#""idempotency":"guarded","dedup_scope":"all","repeat_window_us":600000"#;
    let text = configuration(&discovery, &[up("s-1", &first.host)])
        .replace(r#""idempotency":"free""#, deduplicated)
        .replace(
            r#""objective_us":1500000,"deadline_us":3000000"#,
            r#""objective_us":9000000,"deadline_us":9000000"#,
        )
        .replace(r#""connect_timeout_us":1000000"#, r#""connect_timeout_us":60000000"#);
    let proxy = Proxy::with(&text);
    discovery.next_request();
    let mut client = proxy.client();
    client.send("safe", "9000m");
    first.await_first_request();
    // A connect to the only other endpoint takes at least 1 s.
    discovery.respond_with_list(&list(42, true, &[entry("s-2", unresponsive.address, "up", 0)]));
    assert!(discovery.next_request().contains("index=42&"));
    first.release();
    // The backlog is emptied, and the connect can succeed, only after the deduplication window of 600 ms.
    thread::sleep(Duration::from_millis(700));
    assert_eq!(unresponsive.count_bytes_received(), 0, "bytes of a retry after its window");
    assert_ne!(client.answer().expect("a final response").status(), 200);
}

/// An endpoint sends a second response a few milliseconds after the first: it must not answer another
/// request.
#[test]
fn a_late_extra_response_is_not_used_for_another_request() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut stream = std::io::BufReader::new(stream);
                let _ = stream.get_mut().set_nodelay(true);
                while read(&mut stream).is_some() {
                    for (body, pause) in [("right", 2), ("wrong", 0)] {
                        let _ = stream.get_mut().write_all(answer("200 OK", "", body).as_bytes());
                        thread::sleep(Duration::from_millis(pause));
                    }
                }
            });
        }
    });
    let discovery = Discovery::start();
    let proxy = Proxy::with(&configuration(&discovery, &[entry("s-1", address, "up", 0)]));
    let mut client = proxy.client();
    for round in 0..40 {
        let answer = client.call("safe", "2000m");
        assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"right"[..]), "round {round}");
    }
}

/// With at most one attempt in flight per call, a failed attempt's connection is closed before the retry is
/// written. Its endpoint has closed only its own side. An attempt that is cancelled at its time limit is the
/// last of its call.
#[test]
fn a_failed_attempt_is_closed_before_its_retry_begins() {
    // Holds the first attempt's connection open; the endpoint that receives the second attempt checks it.
    let first = Arc::new(Mutex::new(None::<TcpStream>));
    let (check_sender, checks) = channel();
    let endpoints = [0, 1].map(|_| {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let first = Arc::clone(&first);
        let check_sender = check_sender.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut reader = std::io::BufReader::new(stream.try_clone().expect("a descriptor"));
                let first = Arc::clone(&first);
                let check_sender = check_sender.clone();
                thread::spawn(move || {
                    if read(&mut reader).is_none() {
                        return;
                    }
                    let mut held = first.lock().expect("lock not poisoned");
                    match &mut *held {
                        None => *held = Some(stream),
                        Some(earlier) => {
                            earlier.set_nonblocking(true).expect("an open descriptor");
                            let _ = check_sender.send(earlier.read(&mut [0; 9]).map_err(|e| e.kind()));
                            let _ = (&stream).write_all(answer("200 OK", "", "ok").as_bytes());
                        }
                    }
                });
            }
        });
        address
    });
    let discovery = Discovery::start();
    let known = [entry("s-1", endpoints[0], "up", 0), entry("s-2", endpoints[1], "up", 0)];
    let text = configuration(&discovery, &known)
        .replace(r#""objective_us":1500000,"#, r#""objective_us":400000,"late_value":0.5,"#)
        .replace(r#""conn_idle_us""#, r#""max_streams":1,"conn_idle_us""#);
    let proxy = Proxy::with(&text);
    let mut client = proxy.client();
    client.send("safe", "2500m");
    // The first endpoint shuts down only its sending side: the proxy retries.
    let began = Instant::now();
    while first.lock().expect("lock not poisoned").is_none() {
        assert!(began.elapsed() < LONG);
        thread::sleep(Duration::from_millis(2));
    }
    first.lock().expect("lock not poisoned").as_ref().map(|stream| stream.shutdown(Shutdown::Write));
    assert_eq!(client.answer().expect("a response").status(), 200);
    let read_result = checks.recv_timeout(LONG).expect("a second attempt");
    assert!(matches!(read_result, Ok(0) | Err(ErrorKind::ConnectionReset)), "still open: {read_result:?}");
}

/// Settings are reloaded twice in a row, and again during graceful shutdown: open requests are answered, and
/// the last settings are in force.
#[test]
fn reloads_race_with_shutdown_and_each_other() {
    let endpoint = GatedEndpoint::start(Reply::Write(answer("200 OK", "", "ok")));
    let discovery = Discovery::start();
    let known = [up("s-1", &endpoint.host)];
    let mut proxy = Proxy::with(&configuration(&discovery, &known));
    let without = |class: &str| {
        configuration(&discovery, &known).replace(&format!(r#""name":"{class}""#), r#""name":"other""#)
    };
    // A class is removed between the head of a request and its body.
    let mut incomplete = proxy.client();
    incomplete.write(&head("unsafe", "5000m", 4));
    let mut slow = proxy.client();
    slow.send("safe", "9000m");
    endpoint.await_first_request();
    proxy.reload(&without("safe"));
    proxy.reload(&without("unsafe"));
    let began = Instant::now();
    while proxy.call("safe", "2000m").status() != 200 || proxy.call("unsafe", "2000m").status() != 404 {
        assert!(began.elapsed() < LONG, "the last settings are in force");
    }
    incomplete.write("body");
    assert_eq!(
        incomplete.answer().expect("a final response").status(),
        200,
        "the class was known when the request head arrived"
    );
    proxy.terminate();
    proxy.reload(&without("safe"));
    proxy.terminate();
    endpoint.release();
    assert_eq!(slow.answer().expect("a response").status(), 200);
    assert!(proxy.exits_successfully(), "the process exits with status 0");
}

/// A successor starts, logs its listen address and is killed: the predecessor continues to serve.
#[test]
fn the_predecessor_continues_to_serve_when_its_successor_is_killed() {
    let discovery = Discovery::start();
    let endpoint = Host::serving("ok");
    let platform = Platform::new();
    let known = [up("s-1", &endpoint)];
    let predecessor = platform.start(&config(unused_address(), discovery.address, 256, &known));
    for _ in 0..3 {
        let mut successor = platform.start(&config(unused_address(), discovery.address, 256, &known));
        successor.child.kill().expect("a child");
        successor.child.wait().expect("a child");
        for _ in 0..10 {
            assert_eq!(predecessor.call("safe", "2000m").status(), 200);
        }
    }
}

/// A reload allows or forbids retries of a class while a call's first attempt is in flight: the call follows
/// the settings that were in force when it arrived.
#[test]
fn a_retry_follows_the_settings_in_force_when_its_call_arrived() {
    for (class, expected_attempts) in [("unsafe", 1), ("safe", 2)] {
        let first = GatedEndpoint::start(Reply::WriteAndClose(String::new()));
        let discovery = Discovery::start();
        let second = Host::serving("ok");
        let before = configuration(&discovery, &[up("s-1", &first.host)]);
        let idempotent = r#""idempotency":"free""#;
        let non_idempotent = r#""idempotency":"single_shot""#;
        let after = before
            .replace(idempotent, "IDEMPOTENT")
            .replace(non_idempotent, idempotent)
            .replace("IDEMPOTENT", non_idempotent);
        let mut proxy = Proxy::with(&before);
        let admin = proxy.admin_address();
        discovery.next_request();
        let mut client = proxy.client();
        client.send(class, "2900m");
        first.await_first_request();
        proxy.reload(&after);
        wait_for_metric(admin, "/reconfig_ok", 1);
        discovery.respond_with_list(&list(42, false, &[up("s-2", &second)]));
        assert!(discovery.next_request().contains("index=42&"));
        first.release();
        let status = client.answer().expect("a final response").status();
        let attempts = 1 + first.host.further_requests().saturating_sub(1) + second.further_requests();
        assert_eq!(
            (attempts, status == 200),
            (expected_attempts, expected_attempts == 2),
            "{class}: {status}"
        );
    }
}

/// SIGTERM arrives 0 ms to 58 ms after the start of the process.
#[test]
fn sigterm_at_any_time_during_startup_ends_the_process() {
    let discovery = Discovery::start();
    let endpoint = Host::serving("ok");
    for step in 0..30 {
        let (mut child, path) = spawn(&configuration(&discovery, &[up("s-1", &endpoint)]), None);
        thread::sleep(Duration::from_millis(step * 2));
        let killed = std::process::Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
        assert!(killed.expect("kill").success());
        let began = Instant::now();
        let status = loop {
            match child.try_wait().expect("a child") {
                Some(status) => break status,
                None => assert!(began.elapsed() < LONG, "still running, step {step}"),
            }
            thread::sleep(Duration::from_millis(2));
        };
        // Before the signal handler is installed the signal itself ends the process, later a graceful
        // shutdown.
        let by_signal = std::os::unix::process::ExitStatusExt::signal(&status) == Some(15);
        assert!(by_signal || status.success(), "{status}, step {step}");
        let _ = std::fs::remove_file(path);
    }
}
