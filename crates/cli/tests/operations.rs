//! Operation of a running process: admin endpoint, metrics and reloads.

mod peers;

use peers::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Adds an admin endpoint to a configuration.
fn with_admin_address(text: &str) -> String {
    text.replacen('{', r#"{"operator":"127.0.0.1:0","#, 1)
}

fn start(discovery: &Discovery, known: &[String]) -> Proxy {
    let listen = "127.0.0.1:0".parse().expect("an address");
    Proxy::with(&with_admin_address(&config(listen, discovery.address, 1_024, known)))
}

fn up(name: &str, host: &Host) -> String {
    entry(name, host.address, "up", 0)
}

/// Sends these bytes to the admin endpoint and returns its response.
fn query(address: SocketAddr, line: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("a listening process");
    stream.set_read_timeout(Some(LONG)).expect("a time-out");
    stream.write_all(line).expect("an open connection");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer and a close");
    text
}

fn metrics(address: SocketAddr) -> serde_json::Value {
    let text = query(address, b"DUMP\n");
    let (metrics, end) = text.split_once('\n').expect("two lines");
    assert_eq!(end, "END\n");
    serde_json::from_str(metrics).expect("the metrics")
}

/// Polls the metrics until the value at `path` is `expected`.
fn await_metric(address: SocketAddr, path: &str, expected: u64) -> serde_json::Value {
    let began = Instant::now();
    loop {
        let metrics = metrics(address);
        if metrics.pointer(path).and_then(|v| v.as_u64()) == Some(expected) {
            return metrics;
        }
        assert!(began.elapsed() < LONG, "{path} is not {expected}: {metrics}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn health_is_answered_and_unknown_lines_are_rejected() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let mut proxy = start(&discovery, &[up("s-1", &host)]);
    let admin = proxy.admin_address();
    for line in ["HEALTH\n", "HEALTH\r\n"] {
        assert!(query(admin, line.as_bytes()).starts_with("YES"), "{line:?}");
    }
    let long = [b'H'; 100_000];
    for line in [&b"health\n"[..], b"\n", b"HEALTH now\n", b" HEALTH\n", b"LEAVE\n", b"\xff\xfe\x00\n", &long]
    {
        let answer = query(admin, line);
        assert!(answer.starts_with("NO ") && answer.ends_with('\n'), "{answer:?}");
    }
    // A client that shuts down its sending side instead of writing a newline.
    let mut stream = TcpStream::connect(admin).expect("a listening process");
    stream.write_all(b"HEALTH").expect("an open connection");
    stream.shutdown(Shutdown::Write).expect("an open connection");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer");
    assert!(text.starts_with("YES"), "{text:?}");
    assert!(proxy.child.try_wait().expect("a child").is_none(), "the process still runs");
}

#[test]
fn the_admin_address_of_the_environment_overrides_that_of_the_file() {
    let (discovery, in_use) = (Discovery::start(), Discovery::start());
    let listen = "127.0.0.1:0".parse().expect("an address");
    let text = config(listen, discovery.address, 1_024, &[]);
    // One file has no admin address. In the other the address is in use, so that binding it would fail.
    let file = format!(r#"{{"operator":"{}","#, in_use.address);
    for text in [text.clone(), text.replacen('{', &file, 1)] {
        let mut proxy = Proxy::with_env(&text, ("RELAY_OPERATOR", "127.0.0.1:0"));
        let admin = proxy.admin_address();
        assert_ne!(admin, in_use.address);
        assert!(query(admin, b"HEALTH\n").starts_with("YES"));
    }
}

#[test]
fn idle_admin_connections_do_not_delay_queries() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let mut proxy = start(&discovery, &[up("s-1", &host)]);
    let admin = proxy.admin_address();
    let idle: Vec<TcpStream> = (0..40)
        .map(|n| {
            let mut stream = TcpStream::connect(admin).expect("a listening process");
            // The write may fail, as the proxy closes the oldest of many connections.
            let _ = stream.write_all(if n % 2 == 0 { b"" } else { b"DUM" });
            stream
        })
        .collect();
    let began = Instant::now();
    assert!(query(admin, b"HEALTH\n").starts_with("YES"));
    metrics(admin);
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
    assert_eq!(proxy.call("safe", "2000m").status(), 200);
    drop(idle);
}

#[test]
fn without_an_admin_address_no_listener_is_opened() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let listen = "127.0.0.1:0".parse().expect("an address");
    let text = config(listen, discovery.address, 1_024, &[up("s-1", &host)]);
    let listeners = |proxy: &Proxy| {
        let id = proxy.child.id();
        let open = std::fs::read_dir(format!("/proc/{id}/fd")).expect("a process");
        let links = open.flatten().filter_map(|fd| std::fs::read_link(fd.path()).ok());
        let sockets: Vec<String> = links
            .filter_map(|l| l.to_str()?.strip_prefix("socket:[")?.strip_suffix(']').map(str::to_owned))
            .collect();
        // Column 4 is the socket's state, 0A for a listener; column 10 is its inode.
        let table = std::fs::read_to_string(format!("/proc/{id}/net/tcp")).expect("a table");
        let rows = table.lines().map(|l| l.split_whitespace().collect::<Vec<_>>());
        rows.filter(|r| r.get(3) == Some(&"0A") && r.get(9).is_some_and(|i| sockets.iter().any(|s| s == i)))
            .count()
    };
    assert_eq!(listeners(&Proxy::with(&text)), 1);
    let mut proxy = Proxy::with(&with_admin_address(&text));
    proxy.admin_address();
    assert_eq!(listeners(&proxy), 2);
}

#[test]
fn metrics_count_request_outcomes_and_calls_in_flight() {
    let ((arrival_sender, arrivals), (release, gate)) = (channel(), channel::<()>());
    let gate = Mutex::new(gate);
    let host = Host::start(move |n| match n {
        0 | 1 => Reply::Write(answer("200 OK", "", "ok")),
        2 => Reply::Write(answer("400 Bad Request", "", "")),
        _ => {
            let _ = arrival_sender.send(());
            let _ = gate.lock().expect("one call").recv();
            Reply::Write(answer("200 OK", "", "late"))
        }
    });
    let discovery = Discovery::start();
    let mut proxy = start(&discovery, &[up("s-1", &host), entry("s-2", unused_address(), "removed", 0)]);
    let admin = proxy.admin_address();
    assert_eq!(proxy.call("safe", "2000m").status(), 200);
    assert_eq!(proxy.call("unsafe", "2000m").status(), 200);
    assert_ne!(proxy.call("unsafe", "2000m").status(), 200);
    assert_eq!(proxy.call("never-heard-of", "2000m").status(), 404);
    let mut client = proxy.client();
    client.send("safe", "20000m");
    arrivals.recv_timeout(LONG).expect("the call at the host");
    let mut metrics = await_metric(admin, "/inflight", 1);
    // The number of connections opened and of waits for one depends on the response times.
    let connections =
        metrics.as_object_mut().and_then(|f| f.remove("connections")).expect("connection metrics");
    let opened = connections["opened"].as_u64().expect("a count");
    assert!((1..=4).contains(&opened) && connections["waits"].as_u64() <= Some(3), "{connections}");
    let expected = serde_json::json!({
        "calls": {"safe": {"success": 1, "busy": 0, "failure": 0}, "unsafe": {"success": 1, "busy": 0, "failure": 1}},
        "inflight": 1, "backend_calls": 4, "hosts_listed": 1, "hosts_down": 0, "reconfig_ok": 0,
        "reconfig_failed": 0,
    });
    assert_eq!(metrics, expected);
    release.send(()).expect("the host waits");
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert_eq!(await_metric(admin, "/inflight", 0)["calls"]["safe"]["success"], 2);
}

#[test]
fn metrics_count_rejections_and_unavailable_endpoints() {
    let discovery = Discovery::start();
    let unreachable: Vec<String> =
        (1..3).map(|n| entry(&format!("s-{n}"), unused_address(), "up", 0)).collect();
    let mut proxy = start(&discovery, &unreachable);
    let admin = proxy.admin_address();
    for _ in 0..6 {
        let answer = proxy.call("unsafe", "900m");
        assert_eq!(answer.status(), 503, "{}", answer.head);
    }
    let metrics = metrics(admin);
    assert_eq!(metrics["calls"]["unsafe"], serde_json::json!({"success": 0, "busy": 6, "failure": 0}));
    assert_eq!((&metrics["backend_calls"], &metrics["hosts_listed"]), (&0.into(), &2.into()));
    // At most half of the endpoints may be ejected: one of two.
    assert_eq!(metrics["hosts_down"], 1);
}

#[test]
fn an_invalid_file_is_rejected_completely_at_reload_and_counted() {
    let (discovery, decoy, host) = (Discovery::start(), Discovery::start(), Host::serving("ok"));
    let listen = "127.0.0.1:0".parse().expect("an address");
    let text = with_admin_address(&config(listen, discovery.address, 1_024, &[up("s-1", &host)]));
    let mut proxy = Proxy::with(&text);
    let admin = proxy.admin_address();
    assert!(discovery.next_request().contains("index=41&"));
    // Each invalid file also names another discovery address and another class, neither of which may be
    // applied.
    let other = text
        .replace(&discovery.address.to_string(), &decoy.address.to_string())
        .replace(r#""name":"safe""#, r#""name":"other""#);
    let invalid = [
        String::new(),
        other[..other.len() / 2].to_owned(),
        other.replace(r#""max_attempts":3"#, r#""max_attempts":0"#),
        other.replace(r#""deadline_us":3000000"#, r#""deadline_us":"soon""#),
        other.replace(r#""seed":"8c1f30d27a5be964","#, ""),
        other.replace(r#""invariants""#, r#""rules""#),
    ];
    for (count, text) in (1..).zip(&invalid) {
        proxy.reload(text);
        let metrics = await_metric(admin, "/reconfig_failed", count);
        assert_eq!(metrics["reconfig_ok"], 0, "{text}");
        assert_eq!(proxy.call("safe", "2000m").status(), 200);
        assert_eq!(proxy.call("other", "2000m").status(), 404);
    }
    discovery.respond_with_list(&list(42, false, &[]));
    assert!(discovery.next_request().contains("index=42&"), "the old discovery address is still watched");
    proxy.reload(&other);
    await_metric(admin, "/reconfig_ok", 1);
    assert!(decoy.next_request().starts_with("GET /catalog/members HTTP"), "the valid file moves the watch");
    assert_eq!(proxy.call("other", "2000m").status(), 200);
    assert_eq!(proxy.call("safe", "2000m").status(), 404);
}

#[test]
fn a_call_in_flight_keeps_its_class_when_a_reload_changes_or_removes_it() {
    let ((arrival_sender, arrivals), (release, gate)) = (channel(), channel::<()>());
    let gate = Mutex::new(gate);
    let failing = Host::start(move |_| {
        let _ = arrival_sender.send(());
        let _ = gate.lock().expect("one call").recv();
        Reply::WriteAndClose(String::new())
    });
    let listen = "127.0.0.1:0".parse().expect("an address");
    let discovery = Discovery::start();
    let text = with_admin_address(&config(listen, discovery.address, 1_024, &[up("s-1", &failing)]));
    let mut proxy = Proxy::with(&text);
    let admin = proxy.admin_address();
    discovery.next_request();
    let mut clients = ["safe", "unsafe"].map(|class| {
        let mut client = proxy.client();
        client.send(class, "20000m");
        arrivals.recv_timeout(LONG).expect("the call at the host");
        client
    });
    // The first reload swaps the names of the idempotent and the non-idempotent class; the second file is
    // the original with `safe` renamed to `x`.
    let swapped =
        text.replace(r#""name":"safe""#, r#""name":"x""#).replace(r#""name":"unsafe""#, r#""name":"safe""#);
    proxy.reload(&swapped.replace(r#""name":"x""#, r#""name":"unsafe""#));
    await_metric(admin, "/reconfig_ok", 1);
    proxy.reload(&text.replace(r#""name":"safe""#, r#""name":"x""#));
    await_metric(admin, "/reconfig_ok", 2);
    let healthy = Host::serving("ok");
    discovery.respond_with_list(&list(42, false, &[up("s-2", &healthy)]));
    discovery.next_request();
    // Both connections close with their requests unanswered.
    release.send(()).expect("the host waits");
    release.send(()).expect("the host waits");
    assert_eq!(
        clients[0].answer().expect("an answer").status(),
        200,
        "the call is retried, as its class allowed when the call arrived"
    );
    assert!(
        ![200, 429, 503].contains(&clients[1].answer().expect("an answer").status()),
        "the call is not retried"
    );
    assert_eq!(healthy.further_requests(), 1);
    let metrics = metrics(admin);
    assert_eq!(metrics["calls"]["safe"]["success"], 1);
    assert_eq!(metrics["calls"]["unsafe"]["failure"], 1);
    assert_eq!(metrics["calls"]["x"]["success"], 0);
}

/// Guards against calls that wait until a large file has been read: calls are answered between SIGHUP and the
/// reload.
#[test]
fn calls_are_answered_while_a_large_file_is_reloaded() {
    const ENDPOINTS: usize = 6_300;
    const MIN_CALLS_DURING_RELOAD: usize = 5;
    let discovery = Discovery::start();
    let host = Host::serving("ok");
    let known: Vec<String> = (0..ENDPOINTS).map(|number| up(&format!("s-{number}"), &host)).collect();
    let listen = "127.0.0.1:0".parse().expect("an address");
    let text = with_admin_address(&config(listen, discovery.address, 1_024, &known));
    let mut proxy = Proxy::with(&text);
    let admin = proxy.admin_address();
    let mut client = proxy.client();
    assert_eq!(client.call("safe", "2000m").status(), 200);
    proxy.reload(&text);
    let mut answered = 0;
    while metrics(admin).pointer("/reconfig_ok").and_then(serde_json::Value::as_u64) != Some(1) {
        assert_eq!(client.call("safe", "2000m").status(), 200);
        answered += 1;
        assert!(answered < 100_000, "the file is reloaded");
    }
    println!("{answered} calls were answered between SIGHUP and the reload");
    assert!(answered >= MIN_CALLS_DURING_RELOAD, "{answered} calls");
}
