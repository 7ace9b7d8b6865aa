//! What if a request, an answer, a close or a signal comes between two lines? Each test forces one such crossing: a peer
//! holds something back, waits for a state, then acts (`docs/races.md`).

mod peers;

use peers::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A client that has gone gets no attempt that begins later than this (the operators' letter).
const GONE: Duration = Duration::from_millis(100);

fn up(name: &str, host: &Host) -> String {
    entry(name, host.address, "up", 0)
}

fn text(discovery: &Discovery, known: &[String]) -> String {
    let listen = "127.0.0.1:0".parse().expect("an address");
    config(listen, discovery.address, 1_024, known).replacen('{', r#"{"operator":"127.0.0.1:0","#, 1)
}

/// What an operator's DUMP says at this path.
fn figure(operator: SocketAddr, path: &str) -> Option<u64> {
    let mut stream = TcpStream::connect(operator).expect("it listens");
    stream.set_read_timeout(Some(LONG)).expect("a time-out");
    stream.write_all(b"DUMP\n").expect("an open connection");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer and a close");
    let figures: serde_json::Value = serde_json::from_str(text.lines().next()?).ok()?;
    figures.pointer(path).and_then(serde_json::Value::as_u64)
}

fn comes_to(operator: SocketAddr, path: &str, wanted: u64) {
    let asked = Instant::now();
    while figure(operator, path) != Some(wanted) {
        assert!(asked.elapsed() < LONG, "{path} is {:?}, not {wanted}", figure(operator, path));
        thread::sleep(Duration::from_millis(2));
    }
}

fn head(class: &str, time: &str, length: usize) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: x\r\nX-Request-ID: 9b1f03aa\r\nX-Timeout: {time}\r\n\
         Content-Length: {length}\r\n\r\n"
    )
}

/// The ways in which a client leaves: what it has written, and whether its end is a reset.
fn leavers() -> Vec<(&'static str, Vec<u8>, bool)> {
    let whole = head("safe", "3000m", 0);
    let with = |more: &[u8]| [whole.as_bytes(), more].concat();
    vec![
        ("plain", with(b""), false),
        ("half a next request", with(b"GET /safe HT"), false),
        ("a next request", with(whole.as_bytes()), false),
        ("a flood", with(&vec![b'x'; 200 << 10]), false),
        ("a flood, reset", with(&vec![b'x'; 200 << 10]), true),
        ("plain, reset", with(b""), true),
        ("half a next request, reset", with(b"GET /safe HT"), true),
    ]
}

/// Ends a connection; by a reset where `reset`.
fn leave(stream: TcpStream, reset: bool) {
    if reset {
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an open connection");
    }
    drop(stream);
}

/// Calls are held, as no host is known, when their clients leave; then one comes up.
#[test]
fn clients_that_have_gone_get_no_first_attempt() {
    const EACH: usize = 14;
    for starved in [false, true] {
        let (discovery, host) = (Discovery::start(), Host::serving("ok"));
        let mut proxy = Proxy::with(&text(&discovery, &[]));
        let operator = proxy.operator();
        discovery.asked();
        let mut clients = Vec::new();
        for (_, bytes, reset) in leavers().into_iter().cycle().take(leavers().len() * EACH) {
            let mut client = proxy.client();
            client.stream.get_mut().write_all(&bytes).expect("room for what it writes");
            clients.push((client.stream.into_inner(), reset));
        }
        comes_to(operator, "/inflight", (leavers().len() * EACH) as u64);
        if starved {
            // The process is given no time at all: when it goes on, all has happened at once.
            proxy.signal("-STOP");
        }
        clients.into_iter().for_each(|(stream, reset)| leave(stream, reset));
        let left = Instant::now();
        if starved {
            discovery.tell(&list(42, true, &[up("s-1", &host)]));
            thread::sleep(GONE);
            proxy.signal("-CONT");
        } else {
            comes_to(operator, "/inflight", 0);
            println!("{} clients were seen to have gone after {:?}", leavers().len() * EACH, left.elapsed());
            // Ten times what is allowed: how long it takes hangs on the machine, what may begin does not.
            assert!(left.elapsed() < GONE * 10, "{:?}", left.elapsed());
            thread::sleep(GONE.saturating_sub(left.elapsed()));
            discovery.tell(&list(42, true, &[up("s-1", &host)]));
        }
        assert!(discovery.asked().contains("index=42&"));
        assert_eq!(host.further_requests(), 0, "starved {starved}");
        assert_eq!(proxy.call("safe", "2000m").status(), 200);
        comes_to(operator, "/inflight", 0);
    }
}

/// Part of a large body lies before the client's end, which the system cannot see until that is read: no attempt comes to
/// its last byte, which is when it counts (PROTOCOL).
#[test]
fn a_client_that_leaves_in_a_large_body_gets_no_attempt_that_counts() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let mut proxy = Proxy::with(&text(&discovery, &[]));
    let operator = proxy.operator();
    discovery.asked();
    let mut client = proxy.client();
    client.write(&head("safe", "3000m", 4 << 20));
    client.stream.get_mut().write_all(&vec![b'x'; 1 << 20]).expect("room for what it writes");
    comes_to(operator, "/inflight", 1);
    drop(client);
    discovery.tell(&list(42, true, &[up("s-1", &host)]));
    assert!(discovery.asked().contains("index=42&"));
    comes_to(operator, "/inflight", 0);
    assert_eq!(host.further_requests(), 0);
}

/// The client leaves while its first attempt is out; that is turned away afterwards, and nothing goes to another host.
#[test]
fn clients_that_have_gone_get_no_further_attempt() {
    for (name, bytes, reset) in leavers() {
        let ((arrived, came), (open, gate)) = (channel(), channel::<()>());
        let (gate, requests) = (Mutex::new(gate), Arc::new(AtomicUsize::new(0)));
        let seen = Arc::clone(&requests);
        let turned_away = answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "");
        let script = Arc::new(move |_| {
            seen.fetch_add(1, Ordering::SeqCst);
            let _ = arrived.send(());
            let _ = gate.lock().expect("one call").recv_timeout(SHORT);
            Reply::Write(turned_away.clone())
        });
        let hosts = [0, 1].map(|_| {
            let script = Arc::clone(&script);
            Host::start(move |n| script(n))
        });
        let discovery = Discovery::start();
        let mut proxy = Proxy::with(&text(&discovery, &[up("s-1", &hosts[0]), up("s-2", &hosts[1])]));
        let operator = proxy.operator();
        let mut client = proxy.client();
        client.stream.get_mut().write_all(&bytes).expect("room for what it writes");
        came.recv_timeout(LONG).expect("the first attempt");
        leave(client.stream.into_inner(), reset);
        comes_to(operator, "/inflight", 0);
        let _ = open.send(());
        thread::sleep(SHORT);
        assert_eq!(requests.load(Ordering::SeqCst), 1, "{name}");
    }
}

/// A connection that is on its way when the client leaves comes up and carries nothing.
#[test]
fn a_client_that_leaves_while_a_connection_comes_up_gets_no_attempt() {
    let (discovery, deaf) = (Discovery::start(), Deaf::start());
    let text = text(&discovery, &[entry("s-1", deaf.address, "up", 0)])
        .replace(r#""connect_timeout_us":1000000"#, r#""connect_timeout_us":60000000"#);
    let mut proxy = Proxy::with(&text);
    let operator = proxy.operator();
    let mut client = proxy.client();
    client.write(&format!("{}GET /safe HT", head("unsafe", "30000m", 0)));
    comes_to(operator, "/inflight", 1);
    drop(client);
    thread::sleep(GONE);
    assert_eq!(deaf.take_all(), 0);
}

/// Reads to the end; the error if that is no orderly one. A reset that follows on an end shows only in the socket.
fn rest(stream: &mut TcpStream) -> Result<Vec<u8>, ErrorKind> {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).map_err(|e| e.kind())?;
    thread::sleep(SHORT / 6);
    match stream.take_error().expect("a socket") {
        None => Ok(bytes),
        Some(fault) => Err(fault.kind()),
    }
}

/// A request comes in the moment in which the stop ends a resting connection: it is not sent on, and nothing is reset.
#[test]
fn a_request_that_crosses_the_stop_is_not_sent_on() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let proxy = Proxy::with(&text(&discovery, &[up("s-1", &host)]));
    let mut clients: Vec<Client> = (0..20).map(|_| proxy.client()).collect();
    for client in &mut clients {
        assert_eq!(client.call("safe", "2000m").status(), 200);
    }
    assert_eq!(host.further_requests(), 20);
    proxy.terminate();
    for client in &mut clients {
        let stream = client.stream.get_mut();
        // Its end has come; what is written now has crossed it.
        assert_eq!(stream.read(&mut [0; 9]).expect("an orderly end"), 0);
        stream.write_all(head("safe", "2000m", 0).as_bytes()).expect("the other way is open");
    }
    thread::sleep(SHORT / 6);
    for client in &mut clients {
        assert_eq!(rest(client.stream.get_mut()), Ok(Vec::new()), "no reset");
    }
    assert_eq!(host.further_requests(), 0, "none of them was sent on");
}

/// Waits until the program, told to end, closes connections with its answers. The signal may still be on its way
/// when the first answer is made.
fn wait_until_it_stops(proxy: &Proxy) {
    let asked = Instant::now();
    let closes = || {
        let mut asks = proxy.client();
        asks.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
        asks.answer().expect("an answer").header("connection") == Some("close")
    };
    while !closes() {
        assert!(asked.elapsed() < LONG, "it stops");
    }
}

/// Bytes that nobody reads lie behind the last request when its answer goes out and the connection ends: the answer
/// arrives, and an orderly end after it.
#[test]
fn unread_bytes_do_not_take_the_last_answer() {
    for stops in [true, false] {
        let ((arrived, came), (open, gate)) = (channel(), channel::<()>());
        let gate = Mutex::new(gate);
        let host = Host::start(move |_| {
            let _ = arrived.send(());
            let _ = gate.lock().expect("one call").recv();
            Reply::Write(answer("200 OK", "", "last"))
        });
        let discovery = Discovery::start();
        let proxy = Proxy::with(&text(&discovery, &[up("s-1", &host)]));
        let mut client = proxy.client();
        client.write(
            &head("unsafe", "9000m", 0)
                .replace("Host", if stops { "Host" } else { "Connection: close\r\nHost" }),
        );
        came.recv_timeout(LONG).expect("the call at the host");
        if stops {
            proxy.terminate();
            wait_until_it_stops(&proxy);
        }
        client.stream.get_mut().write_all(&vec![b'x'; 150 << 10]).expect("room for what it writes");
        open.send(()).expect("the host waits");
        let last = client.answer().expect("the answer");
        assert_eq!((last.status(), last.body.as_slice()), (200, &b"last"[..]));
        assert_eq!(rest(client.stream.get_mut()), Ok(Vec::new()), "an orderly end, stops {stops}");
    }
}

/// What is half there at the stop is waited for no longer than its time could still be kept.
#[test]
fn half_a_request_ends_soon_after_the_stop() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let mut proxy = Proxy::with(&text(&discovery, &[up("s-1", &host)]));
    let mut client = proxy.client();
    assert_eq!(client.call("safe", "2000m").status(), 200);
    client.write("POST /safe HTTP/1.1\r\nHost: x\r\n");
    let asked = Instant::now();
    proxy.terminate();
    assert_eq!(rest(client.stream.get_mut()), Ok(Vec::new()));
    // 0.65 s; its usual time would be 2.3 s.
    assert!(asked.elapsed() < Duration::from_millis(1_500), "{:?}", asked.elapsed());
    assert!(proxy.ended());
    assert_eq!(host.further_requests(), 1);
}

/// Connections, with their requests, wait in the listener's queue when the time of taking clients is over.
#[test]
fn what_is_in_the_queue_as_the_listener_closes_is_answered() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let mut proxy = Proxy::with(&text(&discovery, &[up("s-1", &host)]));
    proxy.terminate();
    wait_until_it_stops(&proxy);
    proxy.signal("-STOP");
    let mut clients: Vec<Client> = (0..20).map(|_| proxy.client()).collect();
    clients.iter_mut().for_each(|client| client.send("safe", "5000m"));
    // Far past the 450 ms in which it takes clients, and past all else that the stop times.
    thread::sleep(SHORT * 4);
    proxy.signal("-CONT");
    for client in &mut clients {
        assert_eq!(client.answer().expect("an answer").status(), 200);
    }
    assert!(proxy.ended());
}

/// A guarded call is tried again on a connection that comes up only when servers no longer drop it as a repeat.
#[test]
fn no_repeat_begins_after_its_window() {
    let ((arrived, came), (open, gate)) = (channel(), channel::<()>());
    let gate = Mutex::new(gate);
    let first = Host::start(move |_| {
        let _ = arrived.send(());
        let _ = gate.lock().expect("one call").recv();
        Reply::WriteAndClose(String::new())
    });
    let (discovery, deaf) = (Discovery::start(), Deaf::start());
    let guarded = r#""idempotency":"guarded","dedup_scope":"all","repeat_window_us":600000"#;
    let text = text(&discovery, &[up("s-1", &first)])
        .replace(r#""idempotency":"free""#, guarded)
        .replace(
            r#""objective_us":1500000,"deadline_us":3000000"#,
            r#""objective_us":9000000,"deadline_us":9000000"#,
        )
        .replace(r#""connect_timeout_us":1000000"#, r#""connect_timeout_us":60000000"#);
    let proxy = Proxy::with(&text);
    discovery.asked();
    let mut client = proxy.client();
    client.send("safe", "9000m");
    came.recv_timeout(LONG).expect("the first attempt");
    // The only other host is one whose connections are late, by 1 s at the least.
    discovery.tell(&list(42, true, &[entry("s-2", deaf.address, "up", 0)]));
    assert!(discovery.asked().contains("index=42&"));
    open.send(()).expect("the host waits");
    // Only then is there room for the connection.
    thread::sleep(Duration::from_millis(700));
    assert_eq!(deaf.take_all(), 0, "bytes of a repeat after its window");
    assert_ne!(client.answer().expect("a final answer").status(), 200);
}

/// A host that answers, and adds another answer some milliseconds later: no other request is answered by that.
#[test]
fn a_late_second_answer_is_nobodys() {
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
    let proxy = Proxy::with(&text(&discovery, &[entry("s-1", address, "up", 0)]));
    let mut client = proxy.client();
    for round in 0..40 {
        let answer = client.call("safe", "2000m");
        assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"right"[..]), "round {round}");
    }
}

/// Where no request may have two attempts out, one whose host has ended its side has closed its own when the next is
/// written. One that is given up for its time is its call's last.
#[test]
fn an_attempt_that_broke_is_closed_before_the_next_begins() {
    // The first one's connection stays open here; whoever sees the next request looks at that.
    let first = Arc::new(Mutex::new(None::<TcpStream>));
    let (verdict, told) = channel();
    let hosts = [0, 1].map(|_| {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (first, verdict) = (Arc::clone(&first), verdict.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut reader = std::io::BufReader::new(stream.try_clone().expect("a descriptor"));
                let (first, verdict) = (Arc::clone(&first), verdict.clone());
                thread::spawn(move || {
                    if read(&mut reader).is_none() {
                        return;
                    }
                    let mut held = first.lock().expect("no panic holds it");
                    match &mut *held {
                        None => *held = Some(stream),
                        Some(earlier) => {
                            earlier.set_nonblocking(true).expect("an open descriptor");
                            let _ = verdict.send(earlier.read(&mut [0; 9]).map_err(|e| e.kind()));
                            let _ = (&stream).write_all(answer("200 OK", "", "ok").as_bytes());
                        }
                    }
                });
            }
        });
        address
    });
    let discovery = Discovery::start();
    let known = [entry("s-1", hosts[0], "up", 0), entry("s-2", hosts[1], "up", 0)];
    let text = text(&discovery, &known)
        .replace(r#""objective_us":1500000,"#, r#""objective_us":400000,"late_value":0.5,"#)
        .replace(r#""conn_idle_us""#, r#""max_streams":1,"conn_idle_us""#);
    let proxy = Proxy::with(&text);
    let mut client = proxy.client();
    client.send("safe", "2500m");
    // The first one's host ends its side and keeps the other: the proxy goes again.
    let held = Instant::now();
    while first.lock().expect("no panic holds it").is_none() {
        assert!(held.elapsed() < LONG);
        thread::sleep(Duration::from_millis(2));
    }
    first.lock().expect("no panic holds it").as_ref().map(|stream| stream.shutdown(Shutdown::Write));
    assert_eq!(client.answer().expect("an answer").status(), 200);
    let seen = told.recv_timeout(LONG).expect("a second attempt");
    assert!(matches!(seen, Ok(0) | Err(ErrorKind::ConnectionReset)), "still open: {seen:?}");
}

/// New settings come during the stop, and twice in a row: what is taken is answered, and the last settings hold.
#[test]
fn hangups_cross_the_stop_and_each_other() {
    let ((arrived, came), (open, gate)) = (channel(), channel::<()>());
    let gate = Mutex::new(gate);
    let host = Host::start(move |n| {
        if n == 0 {
            let _ = arrived.send(());
            let _ = gate.lock().expect("one call").recv();
        }
        Reply::Write(answer("200 OK", "", "ok"))
    });
    let discovery = Discovery::start();
    let known = [up("s-1", &host)];
    let mut proxy = Proxy::with(&text(&discovery, &known));
    let without =
        |class: &str| text(&discovery, &known).replace(&format!(r#""name":"{class}""#), r#""name":"other""#);
    // A class goes between the head of a request and its body.
    let mut half = proxy.client();
    half.write(&head("unsafe", "5000m", 4));
    let mut slow = proxy.client();
    slow.send("safe", "9000m");
    came.recv_timeout(LONG).expect("the call at the host");
    proxy.reload(&without("safe"));
    proxy.reload(&without("unsafe"));
    let asked = Instant::now();
    while proxy.call("safe", "2000m").status() != 200 || proxy.call("unsafe", "2000m").status() != 404 {
        assert!(asked.elapsed() < LONG, "the last settings hold");
    }
    half.write("body");
    assert_eq!(half.answer().expect("a final answer").status(), 200, "it was known when its head came");
    proxy.terminate();
    proxy.reload(&without("safe"));
    proxy.terminate();
    open.send(()).expect("the host waits");
    assert_eq!(slow.answer().expect("an answer").status(), 200);
    assert!(proxy.ended(), "it exits 0");
}

/// The next process is there, says that it is ready, and dies: the one before goes on.
#[test]
fn a_successor_that_dies_leaves_the_one_before_to_serve() {
    let (discovery, host, platform) = (Discovery::start(), Host::serving("ok"), Platform::new());
    let known = [up("s-1", &host)];
    let old = platform.start(&config(nobody(), discovery.address, 256, &known));
    for _ in 0..3 {
        let mut new = platform.start(&config(nobody(), discovery.address, 256, &known));
        new.child.kill().expect("a child");
        new.child.wait().expect("a child");
        for _ in 0..10 {
            assert_eq!(old.call("safe", "2000m").status(), 200);
        }
    }
}

/// New settings let a class be repeated, or forbid it, while its first attempt is out: the call goes by what was in force when
/// it came.
#[test]
fn a_repeat_goes_by_the_settings_that_were_there_when_its_call_came() {
    for (class, wanted) in [("unsafe", 1), ("safe", 2)] {
        let ((arrived, came), (open, gate)) = (channel(), channel::<()>());
        let gate = Mutex::new(gate);
        let first = Host::start(move |n| {
            if n == 0 {
                let _ = arrived.send(());
                let _ = gate.lock().expect("one call").recv();
            }
            Reply::WriteAndClose(String::new())
        });
        let (discovery, second) = (Discovery::start(), Host::serving("ok"));
        let before = text(&discovery, &[up("s-1", &first)]);
        let (free, once) = (r#""idempotency":"free""#, r#""idempotency":"single_shot""#);
        let after = before.replace(free, "FREE").replace(once, free).replace("FREE", once);
        let mut proxy = Proxy::with(&before);
        let operator = proxy.operator();
        discovery.asked();
        let mut client = proxy.client();
        client.send(class, "2900m");
        came.recv_timeout(LONG).expect("the first attempt");
        proxy.reload(&after);
        comes_to(operator, "/reconfig_ok", 1);
        discovery.tell(&list(42, false, &[up("s-2", &second)]));
        assert!(discovery.asked().contains("index=42&"));
        open.send(()).expect("the host waits");
        let status = client.answer().expect("a final answer").status();
        let attempts = 1 + first.further_requests().saturating_sub(1) + second.further_requests();
        assert_eq!((attempts, status == 200), (wanted, wanted == 2), "{class}: {status}");
    }
}

/// The signal to end comes at any moment of the start: the process ends, and holds its address no longer.
#[test]
fn a_stop_may_come_at_any_moment_of_the_start() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    for step in 0..30 {
        let (mut child, path) = spawn(&text(&discovery, &[up("s-1", &host)]), None);
        thread::sleep(Duration::from_millis(step * 2));
        let told = std::process::Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
        assert!(told.expect("kill").success());
        let asked = Instant::now();
        let status = loop {
            match child.try_wait().expect("a child") {
                Some(status) => break status,
                None => assert!(asked.elapsed() < LONG, "it goes on after {step}"),
            }
            thread::sleep(Duration::from_millis(2));
        };
        // By the signal itself before it is heard for, and of its own accord from then on.
        let by_signal = std::os::unix::process::ExitStatusExt::signal(&status) == Some(15);
        assert!(by_signal || status.success(), "{status} after {step}");
        let _ = std::fs::remove_file(path);
    }
}
