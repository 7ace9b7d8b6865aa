//! End-to-end tests of the `oakport` process with stub clients, endpoints and discovery on loopback sockets.

mod peers;

use peers::*;
use std::io::{Read, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Instant;

fn up(name: &str, host: &Host) -> String {
    entry(name, host.address, "up", 0)
}

#[test]
fn a_call_and_its_answer_are_forwarded_unchanged() {
    let discovery = Discovery::start();
    let host = Host::serving("done");
    let proxy = Proxy::start(&discovery, &[up("s-1", &host)]);
    let mut client = proxy.client();
    client.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(client.answer().expect("an answer").status(), 200);
    client.send_as("9b1f03aa", "safe", "2000m");
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"done".as_slice()));
    let (_, request) = host.request();
    assert!(request.head.starts_with("POST /safe?q=1 HTTP/1.1\r\n"), "{}", request.head);
    assert_eq!(request.body, b"body");
    assert_eq!(request.header("x-request-id"), Some("9b1f03aa"));
    assert_eq!(request.header("idempotency-key"), Some("5c0f"));
    let remaining_us: u64 =
        request.header("x-timeout").and_then(|t| t.strip_suffix('u')).expect("time").parse().expect("us");
    assert!(remaining_us > 0 && remaining_us <= 2_000_000, "{remaining_us}");
}

#[test]
fn connections_are_pooled_and_a_connection_closed_while_idle_is_replaced_before_writing() {
    let discovery = Discovery::start();
    // The third response closes its connection without `Connection: close`.
    let host = Host::start(|n| match n {
        2 => Reply::WriteAndClose(answer("200 OK", "", "x")),
        _ => Reply::Write(answer("200 OK", "", "x")),
    });
    let proxy = Proxy::start(&discovery, &[up("s-1", &host)]);
    for expected in [0, 0, 0, 1, 1] {
        // A non-idempotent call written to the closed connection would fail, as it might have run.
        assert_eq!(proxy.call("unsafe", "2000m").status(), 200);
        assert_eq!(host.request().0, expected, "number of the connection used");
    }
}

#[test]
fn a_non_idempotent_call_that_may_have_run_fails_and_is_not_retried() {
    let complete = answer("200 OK", "", "whole");
    let truncated = complete[..complete.len() - 2].to_owned();
    let unframed = "HTTP/1.1 200 OK\r\n\r\nhalf".to_owned();
    for reply in [
        Reply::WriteAndClose(String::new()),
        Reply::WriteAndClose(truncated),
        Reply::WriteAndClose(unframed),
        Reply::Write(answer("500 Internal Server Error", "", "")),
        Reply::Write(answer("503 Service Unavailable", "", "")),
        // Large responses, truncated before the first byte of the body.
        Reply::WriteAndClose("HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n".to_owned()),
        Reply::WriteAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned()),
    ] {
        let discovery = Discovery::start();
        let shown = format!("{reply:?}").chars().take(90).collect::<String>();
        let hosts = [reply.clone(), reply].map(|reply| Host::start(move |_| reply.clone()));
        let proxy = Proxy::start(&discovery, &[up("s-1", &hosts[0]), up("s-2", &hosts[1])]);
        let answer = proxy.call("unsafe", "2000m");
        assert!(![200, 429, 503].contains(&answer.status()), "{shown}: {}", answer.head);
        let requests = hosts[0].further_requests() + hosts[1].further_requests();
        assert_eq!(requests, 1, "{shown}");
    }
}

#[test]
fn a_request_answered_400_is_not_retried() {
    let discovery = Discovery::start();
    let hosts = [0, 1].map(|_| Host::start(|_| Reply::Write(answer("400 Bad Request", "", ""))));
    let proxy = Proxy::start(&discovery, &[up("s-1", &hosts[0]), up("s-2", &hosts[1])]);
    for _ in 0..6 {
        assert!(![200, 429, 503].contains(&proxy.call("safe", "2000m").status()));
    }
    assert_eq!(hosts[0].further_requests() + hosts[1].further_requests(), 6);
}

#[test]
fn a_non_idempotent_call_that_did_not_run_is_retried_at_another_endpoint() {
    let rejection = answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "");
    let discovery = Discovery::start();
    let rejecting = Host::start(move |_| Reply::Write(rejection.clone()));
    let good = Host::serving("ok");
    let entries = [up("s-1", &rejecting), up("s-2", &good), entry("s-3", unused_address(), "up", 0)];
    let proxy = Proxy::start(&discovery, &entries);
    for _ in 0..12 {
        assert_eq!(proxy.call("unsafe", "2000m").status(), 200);
    }
    assert!(rejecting.further_requests() > 0, "some attempts go to the rejecting endpoint");
}

#[test]
fn a_call_to_a_silent_endpoint_ends_at_its_timeout() {
    let discovery = Discovery::start();
    let host = Host::start(|_| Reply::Silence);
    let proxy = Proxy::start(&discovery, &[up("s-1", &host)]);
    let started_at = Instant::now();
    let answer = proxy.call("unsafe", "400m");
    assert!(![200, 429, 503].contains(&answer.status()), "the call may have run: {}", answer.head);
    assert!(
        started_at.elapsed().as_millis() >= 300 && started_at.elapsed() < LONG / 4,
        "{:?}",
        started_at.elapsed()
    );
    // The attempt that timed out closes its connection.
    assert_eq!(host.closed(), 0);
}

#[test]
fn a_pending_connect_is_abandoned_when_its_call_ends() {
    let discovery = Discovery::start();
    let unresponsive = UnresponsiveHost::start();
    let listen = "127.0.0.1:0".parse().expect("an address");
    let text = config(listen, discovery.address, 1_024, &[entry("s-1", unresponsive.address, "up", 0)]);
    let text = text.replace(r#""connect_timeout_us":1000000"#, r#""connect_timeout_us":60000000"#);
    let proxy = Proxy::with(&text);
    let answer = proxy.call("unsafe", "300m");
    assert_ne!(answer.status(), 200);
    assert!(!unresponsive.accepts_another_connection(), "no connect continues after the final response");
}

#[test]
fn a_connect_that_hangs_ends_after_the_connect_timeout_and_the_call_is_rejected() {
    let discovery = Discovery::start();
    let unresponsive = UnresponsiveHost::start();
    let proxy = Proxy::start(&discovery, &[entry("s-1", unresponsive.address, "up", 0)]);
    let started_at = Instant::now();
    let answer = proxy.call("unsafe", "60000m");
    assert_eq!(answer.status(), 503, "rejected, as no attempt has run: {}", answer.head);
    assert!(started_at.elapsed() < LONG, "{:?}", started_at.elapsed());
}

#[test]
fn the_attempt_of_a_disconnected_client_is_cancelled() {
    let discovery = Discovery::start();
    let host = Host::start(|_| Reply::Silence);
    let proxy = Proxy::start(&discovery, &[up("s-1", &host)]);
    let mut client = proxy.client();
    client.send("unsafe", "60000m");
    host.request();
    drop(client);
    assert_eq!(host.closed(), 0);
}

#[test]
fn a_call_that_reaches_no_endpoint_is_rejected_at_once_with_retry_after() {
    let discovery = Discovery::start();
    let proxy = Proxy::start(
        &discovery,
        &[entry("s-1", unused_address(), "up", 0), entry("s-2", unused_address(), "up", 0)],
    );
    // A call that reaches no endpoint is rejected once its attempts are used up, as none of them has run.
    let started_at = Instant::now();
    let answer = proxy.call("unsafe", "60000m");
    assert_eq!(answer.status(), 503);
    let retry_after: f64 = answer.header("retry-after").expect("retry-after").parse().expect("seconds");
    assert!(retry_after > 0.0);
    assert!(started_at.elapsed() < LONG / 2, "well before the client timeout: {:?}", started_at.elapsed());
}

#[test]
fn invalid_requests_are_answered_4xx_and_do_not_affect_other_clients() {
    let discovery = Discovery::start();
    let host = Host::serving("ok");
    let proxy = Proxy::start(&discovery, &[up("s-1", &host)]);
    let head = "POST /safe HTTP/1.1\r\nHost: x\r\nX-Request-ID: 1\r\n";
    let big = format!("{head}X-Timeout: 900m\r\nContent-Length: 60000000\r\n\r\n{}", "x".repeat(70_000));
    let long = format!("{head}X-Timeout: 900m\r\nX-Long: {}\r\n\r\n", "x".repeat(90_000));
    for text in [
        "rubbish\r\n\r\n".to_owned(),
        format!("{head}\r\n"),
        format!("{head}X-Timeout: soon\r\n\r\n"),
        format!("{head}X-Timeout: -5m\r\n\r\n"),
        format!("{head}X-Timeout: 0m\r\n\r\n"),
        format!("{head}X-Timeout: 99999999999999999999999m\r\n\r\n"),
        format!("{head}X-Timeout: 900\r\n\r\n"),
        format!("{head}X-Timeout: 900m\r\nContent-Length: nine\r\n\r\n"),
        "POST /safe HTTP/1.1\r\nHost: x\r\nX-Timeout: 900m\r\n\r\n".to_owned(),
        "GET /never-heard-of HTTP/1.1\r\nHost: x\r\nX-Request-ID: 1\r\nX-Timeout: 900m\r\n\r\n".to_owned(),
        "GET / HTTP/1.1\r\nHost: x\r\nX-Request-ID: 1\r\nX-Timeout: 900m\r\n\r\n".to_owned(),
        big,
        long,
    ] {
        let mut client = proxy.client();
        let shown: String = text.chars().take(120).collect();
        // The proxy may close the connection before it has read the whole request.
        let _ = client.stream.get_mut().write_all(text.as_bytes());
        if let Some(answer) = client.answer() {
            assert!((400..500).contains(&answer.status()), "{shown}: {}", answer.head);
            let started_at = Instant::now();
            assert!(client.answer().is_none(), "{shown}");
            assert!(started_at.elapsed() < SHORT, "{shown}: the connection is closed at once");
        }
    }
    assert_eq!(host.further_requests(), 0, "no invalid request reached the endpoint");
    assert_eq!(proxy.call("unsafe", "2000m").status(), 200);
}

#[test]
fn clients_that_never_complete_a_request_are_disconnected() {
    let discovery = Discovery::start();
    let host = Host::serving("ok");
    let listen = "127.0.0.1:0".parse().expect("an address");
    let proxy = Proxy::with(&config(listen, discovery.address, 64, &[up("s-1", &host)]));
    let head =
        "GET /safe HTTP/1.1\r\nHost: x\r\nX-Request-ID: 1\r\nX-Timeout: 60000m\r\nContent-Length: 9\r\n";
    let mut clients: Vec<Client> = ["", "GET /sa", head, &format!("{head}\r\nhalf")]
        .iter()
        .cycle()
        .take(8)
        .map(|text| {
            let mut client = proxy.client();
            client.write(text);
            client
        })
        .collect();
    let started_at = Instant::now();
    for client in &mut clients {
        assert!(client.answer().is_none_or(|a| (400..500).contains(&a.status())));
        // The proxy disconnects them within 3 s; the clients themselves never close.
        assert!(started_at.elapsed() < LONG / 2, "{:?}", started_at.elapsed());
    }
    assert_eq!(proxy.call("safe", "2000m").status(), 200, "there is capacity again");
    assert_eq!(host.further_requests(), 1, "only the complete request reached the endpoint");
}

#[test]
fn invalid_load_reports_are_ignored() {
    let discovery = Discovery::start();
    let host = Host::start(|n| {
        let report =
            ["TEXT inflight=nan, queue=-3", "TEXT ,,=,x", "\u{1}", "TEXT inflight=1e999, queue=", ""][n % 5];
        Reply::Write(answer("200 OK", &format!("X-Server-Load: {}\r\n", report.replace('\u{1}', "=")), "ok"))
    });
    let proxy = Proxy::start(&discovery, &[up("s-1", &host)]);
    for _ in 0..10 {
        assert_eq!(proxy.call("safe", "2000m").status(), 200);
    }
}

#[test]
fn no_call_goes_to_a_draining_or_removed_endpoint() {
    let discovery = Discovery::start();
    let one = Host::serving("1");
    let two = Host::serving("2");
    let proxy = Proxy::start(&discovery, &[up("s-1", &one), up("s-2", &two)]);
    assert!(discovery.next_request().starts_with("GET /catalog/members?index=41&wait="));
    let all_from = |body: &[u8]| (0..20).all(|_| proxy.call("safe", "2000m").body == body);
    discovery.respond_with_list(&list(42, false, &[entry("s-1", one.address, "draining", 0)]));
    // The proxy opens its next watch only after it has applied the update.
    assert!(discovery.next_request().contains("index=42&"));
    assert!(all_from(b"2"));
    discovery.respond_with_list(&list(43, true, &[up("s-1", &one)]));
    assert!(discovery.next_request().contains("index=43&"));
    assert!(all_from(b"1"), "an endpoint absent from a complete list is removed");
    discovery.respond_with_list(&list(
        44,
        false,
        &[entry("s-1", one.address, "removed", 0), up("s-2", &two)],
    ));
    assert!(discovery.next_request().contains("index=44&"));
    assert!(all_from(b"2"));
}

#[test]
fn the_endpoint_list_is_watched_in_push_mode_too() {
    let discovery = Discovery::start();
    let one = Host::serving("1");
    let two = Host::serving("2");
    let listen = "127.0.0.1:0".parse().expect("an address");
    let text = config(listen, discovery.address, 1_024, &[up("s-1", &one)]);
    let proxy = Proxy::with(&text.replace(r#""discovery":"ask""#, r#""discovery":"push""#));
    assert!(discovery.next_request().contains("index=41&"));
    discovery.respond_with_list(&list(42, true, &[up("s-2", &two)]));
    assert!(discovery.next_request().contains("index=42&"));
    assert_eq!(proxy.call("safe", "2000m").body, b"2");
    discovery.respond(String::new());
    assert!(discovery.next_request().contains("index=42&"), "a watch whose connection closes is reopened");
}

#[test]
fn a_restart_or_new_address_of_an_endpoint_closes_its_old_connections() {
    let discovery = Discovery::start();
    let old = Host::serving("old");
    let new = Host::serving("new");
    let proxy = Proxy::start(&discovery, &[up("s-1", &old)]);
    discovery.next_request();
    assert_eq!(proxy.call("safe", "2000m").body, b"old");
    discovery.respond_with_list(&list(42, false, &[entry("s-1", old.address, "up", 1_000)]));
    assert_eq!(old.closed(), 0, "a new start time means a new process");
    discovery.next_request();
    assert_eq!(proxy.call("safe", "2000m").body, b"old");
    discovery.respond_with_list(&list(43, false, &[entry("s-1", new.address, "up", 1_000)]));
    assert_eq!(old.closed(), 1);
    discovery.next_request();
    assert_eq!(proxy.call("safe", "2000m").body, b"new");
}

#[test]
fn a_draining_endpoint_finishes_its_call_and_its_connection_is_closed() {
    let (arrival_sender, arrivals) = channel();
    let (release, gate) = channel::<()>();
    let gate = Mutex::new(gate);
    let host = Host::start(move |_| {
        let _ = arrival_sender.send(());
        let _ = gate.lock().expect("one call").recv();
        Reply::Write(answer("200 OK", "", "late"))
    });
    let discovery = Discovery::start();
    let proxy = Proxy::start(&discovery, &[up("s-1", &host)]);
    discovery.next_request();
    let mut client = proxy.client();
    client.send("unsafe", "20000m");
    arrivals.recv_timeout(LONG).expect("the call at the endpoint");
    discovery.respond_with_list(&list(42, false, &[entry("s-1", host.address, "draining", 0)]));
    discovery.next_request();
    release.send(()).expect("the endpoint waits");
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert_eq!(host.closed(), 0);
}

#[test]
fn the_most_recently_used_connection_is_reused_first() {
    let (arrival_sender, arrivals) = channel();
    let (release, gate) = channel::<()>();
    let gate = Mutex::new(gate);
    let host = Host::start(move |n| {
        let _ = arrival_sender.send(());
        if n == 0 {
            let _ = gate.lock().expect("one call").recv();
        }
        Reply::Write(answer("200 OK", "", "ok"))
    });
    let discovery = Discovery::start();
    let proxy = Proxy::start(&discovery, &[up("s-1", &host)]);
    let mut slow = proxy.client();
    slow.send("unsafe", "20000m");
    arrivals.recv_timeout(LONG).expect("the first call at the endpoint");
    assert_eq!(proxy.call("unsafe", "2000m").status(), 200);
    assert_eq!(host.request().0, 1, "a second connection while the first is in use");
    release.send(()).expect("the endpoint waits");
    assert_eq!(slow.answer().expect("an answer").status(), 200);
    assert_eq!(host.request().0, 0);
    for _ in 0..3 {
        // A connection just returned is in its reuse cooldown of 10 ms, in which the other one is preferred.
        std::thread::sleep(SHORT / 6);
        assert_eq!(proxy.call("unsafe", "2000m").status(), 200);
        assert_eq!(host.request().0, 0, "the connection returned last is used");
    }
}

#[test]
fn a_failed_watch_is_retried_and_calls_are_still_served() {
    let discovery = Discovery::start();
    let host = Host::serving("ok");
    let proxy = Proxy::start(&discovery, &[up("s-1", &host)]);
    for fault in [
        answer("503 Service Unavailable", "", ""),
        answer("200 OK", "", "{\"index\":"),
        answer("200 OK", "", "{\"index\":42,\"endpoints\":7}"),
        String::new(),
    ] {
        assert!(discovery.next_request().contains("index=41&"), "the known list stays in force");
        assert_eq!(proxy.call("safe", "2000m").status(), 200);
        discovery.respond(fault);
    }
    discovery.next_request();
    discovery.respond_with_list(&list(42, false, &[]));
    assert!(discovery.next_request().contains("index=42&"));
}

/// The last valid list stays in force, the failure is logged with its address and reason, and the list is
/// polled again.
#[test]
fn invalid_endpoint_lists_change_nothing() {
    let discovery = Discovery::start();
    let host = Host::serving("1");
    let other = Host::serving("2");
    let mut proxy = Proxy::start(&discovery, &[up("s-1", &host)]);
    let good = list(42, true, &[up("s-2", &other)]);
    let invalid = [
        (good[..good.len() - 9].to_owned(), "EOF while parsing"),
        ("<html>".to_owned(), "expected value"),
        (good.replace(r#""index":42,"#, ""), "missing field `index`"),
        (good.replace(r#""name":"s-2","#, ""), "missing field `name`"),
        (good.replace("\"index\":42", "\"index\":-1"), "invalid value"),
        (list(42, true, &[up("s-2", &other), up("s-2", &host)]), "s-2 listed twice"),
        (format!("{good}{}", " ".repeat(5 << 20)), "length limit exceeded"),
        (list(40, true, &[up("s-2", &other)]), "version 40 after 41"),
        // A delta in response to a poll for the complete list.
        (list(42, false, &[up("s-2", &other)]), "a delta where a snapshot was requested"),
    ];
    let mut polls_complete = false;
    for (text, reason) in invalid {
        let request = discovery.next_request();
        assert_eq!(request.contains("index=41&"), !polls_complete, "{request} before {reason}");
        discovery.respond_with_list(&text);
        proxy.expect_log(&format!("discovery failed address={}", discovery.address), reason);
        assert_eq!(proxy.call("safe", "2000m").body, b"1", "{reason}");
        // A lower version means that the service has restarted: its complete list is polled.
        polls_complete |= reason.starts_with("version");
    }
    discovery.next_request();
    discovery.respond_with_list(&list(40, true, &[up("s-2", &other)]));
    assert!(discovery.next_request().contains("index=40&"));
    assert_eq!(proxy.call("safe", "2000m").body, b"2", "a complete list is applied whatever its version");
}

/// An indented list that arrives byte by byte and has an entry with an invalid address: its valid entries are
/// applied.
#[test]
fn unusual_but_valid_endpoint_lists_are_applied() {
    let discovery = Discovery::start();
    let host = Host::serving("1");
    let other = Host::serving("2");
    let proxy = Proxy::start(&discovery, &[up("s-1", &host)]);
    let drained = entry("s-1", host.address, "draining", 0);
    let invalid = entry("s-0", host.address, "up", 0).replace(&host.address.to_string(), "nowhere");
    let indented = list(42, false, &[invalid, drained, up("s-2", &other)])
        .replace(',', ",\r\n    ")
        .replace(':', ": ")
        .replace("127.0.0.1: ", "127.0.0.1:");
    discovery.next_request();
    let text = answer("200 OK", "", &indented);
    discovery.respond(text.replace("\r\n\r\n", "\r\n\r\n|"));
    assert!(discovery.next_request().contains("index=42&"));
    assert!((0..20).all(|_| proxy.call("safe", "2000m").body == b"2"));
    // A response that never completes is abandoned; the known list stays in force.
    discovery.respond(text[..text.len() - 9].to_owned());
    assert!(discovery.next_request().contains("index=42&"));
    assert_eq!(proxy.call("safe", "2000m").body, b"2");
}

#[test]
fn a_reload_moves_the_watch_to_the_new_discovery_address() {
    let old = Discovery::start();
    let new = Discovery::start();
    let one = Host::serving("1");
    let two = Host::serving("2");
    let listen = "127.0.0.1:0".parse().expect("an address");
    let at = |discovery: &Discovery| config(listen, discovery.address, 1_024, &[up("s-1", &one)]);
    let mut proxy = Proxy::with(&at(&old));
    assert!(old.next_request().contains("index=41&"));
    // An incomplete file and a file with the same address leave the open watch as it is.
    proxy.reload("{\"name\":");
    proxy.reload(&at(&old));
    old.respond_with_list(&list(42, false, &[]));
    assert!(old.next_request().contains("index=42&"));
    proxy.reload(&at(&new));
    assert!(
        new.next_request().starts_with("GET /catalog/members HTTP"),
        "the complete list is polled at once"
    );
    assert_eq!(proxy.call("safe", "2000m").body, b"1", "the known list stays in force meanwhile");
    new.respond_with_list(&list(7, true, &[up("s-2", &two)]));
    assert!(new.next_request().contains("index=7&"));
    assert_eq!(proxy.call("safe", "2000m").body, b"2");
    assert!(proxy.child.try_wait().expect("a child").is_none(), "the process still runs");
}

#[test]
fn a_graceful_shutdown_finishes_open_calls_and_a_restart_binds_the_same_address_at_once() {
    let discovery = Discovery::start();
    let host = Host::start(|n| match n {
        0 => Reply::Silence,
        _ => Reply::Write(answer("200 OK", "", "ok")),
    });
    let listen = "127.0.0.1:0".parse().expect("an address");
    let mut proxy = Proxy::with(&config(listen, discovery.address, 1_024, &[up("s-1", &host)]));
    let mut idle = proxy.client();
    idle.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(idle.answer().expect("an answer").status(), 200);
    let mut slow = proxy.client();
    slow.send("unsafe", "1200m");
    host.request();
    // Neither an unused connection nor one with an incomplete request delays the shutdown.
    let _unused = proxy.client();
    let mut incomplete = proxy.client();
    incomplete.write("POST /safe HTTP/1.1\r\nHost:");
    proxy.terminate();
    assert!(idle.answer().is_none(), "an idle connection closes when the shutdown begins");
    // New connections are still accepted during shutdown, and each is closed with its response.
    let answer = proxy.call("safe", "1000m");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    let answer = slow.answer().expect("an open call is answered");
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(proxy.exits_successfully(), "the process exits with status 0");
    let restarted = Proxy::with(&config(proxy.address, discovery.address, 1_024, &[up("s-1", &host)]));
    assert_eq!(restarted.address, proxy.address);
    assert_eq!(restarted.call("safe", "2000m").status(), 200);
}

#[test]
fn calls_beyond_the_descriptor_limit_are_rejected_and_the_process_recovers() {
    let discovery = Discovery::start();
    // While the host is stalled, accepted calls stay open until their client timeout.
    let is_stalled = Arc::new(AtomicBool::new(true));
    let reply = Reply::Write(answer("200 OK", "", "ok"));
    let stalled = Arc::clone(&is_stalled);
    let host =
        Host::start(move |_| if stalled.load(Ordering::SeqCst) { Reply::Silence } else { reply.clone() });
    let listen = "127.0.0.1:0".parse().expect("an address");
    let proxy = Proxy::with(&config(listen, discovery.address, 64, &[up("s-1", &host)]));
    let mut clients: Vec<Client> = (0..40).map(|_| proxy.client()).collect();
    clients.iter_mut().for_each(|c| c.send("unsafe", "2000m"));
    let answers: Vec<Message> = clients.iter_mut().map(|c| c.answer().expect("a final answer")).collect();
    // The balancer also rejects some calls, but leaves their connections open.
    let at_capacity = |a: &&Message| a.status() == 503 && a.header("connection") == Some("close");
    let rejected = answers.iter().find(at_capacity).expect("a call rejected at the descriptor limit");
    assert!(rejected.header("retry-after").is_some(), "{}", rejected.head);
    drop(clients);
    is_stalled.store(false, Ordering::SeqCst);
    // Capacity returns as connections close.
    let started_at = Instant::now();
    while proxy.call("safe", "2000m").status() != 200 {
        assert!(started_at.elapsed() < LONG);
    }
}

#[test]
fn idle_client_connections_at_capacity_are_closed_for_new_ones() {
    let discovery = Discovery::start();
    let host = Host::serving("ok");
    let listen = "127.0.0.1:0".parse().expect("an address");
    let proxy = Proxy::with(&config(listen, discovery.address, 64, &[up("s-1", &host)]));
    let mut idle: Vec<Client> = (0..8)
        .map(|_| {
            let mut client = proxy.client();
            client.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
            assert_eq!(client.answer().expect("an answer").status(), 200);
            client
        })
        .collect();
    let started_at = Instant::now();
    while proxy.call("safe", "2000m").status() != 200 {}
    // One of the eight was closed for the new connection; otherwise all would have stayed open for 2 s.
    assert!(started_at.elapsed() < SHORT * 5, "{:?}", started_at.elapsed());
    assert!(idle[0].answer().is_none(), "the connection idle for the longest time is closed");
}

#[test]
fn the_process_recovers_from_exhausted_descriptors() {
    let discovery = Discovery::start();
    let host = Host::serving("ok");
    let listen = "127.0.0.1:0".parse().expect("an address");
    let text = config(listen, discovery.address, 1_024, &[up("s-1", &host)]);
    // The system permits 24 descriptors, far fewer than the 1024 in the configuration.
    let mut proxy = Proxy::with_descriptor_limit(&text, Some(24));
    discovery.next_request();
    let clients: Vec<Client> = (0..40)
        .map(|_| {
            let mut client = proxy.client();
            client.send("unsafe", "500m");
            client
        })
        .collect();
    drop(clients);
    let started_at = Instant::now();
    while proxy.call("safe", "2000m").status() != 200 {
        assert!(started_at.elapsed() < LONG);
    }
    assert!(proxy.child.try_wait().expect("a child").is_none(), "the process still runs");
}

#[test]
fn an_invalid_configuration_exits_with_status_1_and_one_error_line() {
    let address = unused_address();
    let good = config(address, address, 1_024, &[]);
    for text in ["", "{", "{}", &good.replace("8c1f", "seed"), &good.replace("\"cold_from\"", "\"warm\"")] {
        let (mut child, path) = spawn(text, None);
        let mut message = String::new();
        child.stderr.take().expect("piped").read_to_string(&mut message).expect("text");
        assert_eq!(child.wait().expect("an end").code(), Some(1), "{text}");
        assert!(message.lines().count() == 1 && message.starts_with("oakport: "), "{message}");
        let _ = std::fs::remove_file(path);
    }
}
