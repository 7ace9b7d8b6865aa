//! Hot restart: a predecessor and a successor serve side by side on a listener that both inherit from the
//! platform.

mod peers;

use peers::*;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::Mutex;

fn configuration(discovery: &Discovery, known: &[String]) -> String {
    // The processes ignore the listen address in the file and use the inherited listener.
    config(unused_address(), discovery.address, 1_024, known)
}

#[test]
fn the_predecessor_finishes_its_open_requests_and_the_successor_serves_on() {
    let (arrival_sender, arrivals) = channel();
    let (release, gate) = channel::<()>();
    let gate = Mutex::new(gate);
    let endpoint = Host::start(move |n| {
        if n == 0 {
            let _ = arrival_sender.send(());
            let _ = gate.lock().expect("one call").recv();
        }
        Reply::Write(answer("200 OK", "", "ok"))
    });
    let discovery = Discovery::start();
    let platform = Platform::new();
    let known = [entry("s-1", endpoint.address, "up", 0)];
    let mut predecessor = platform.start(&configuration(&discovery, &known));
    let address = platform.listener.local_addr().expect("its address");
    assert_eq!(predecessor.address, address, "the process serves on the inherited listener");
    let mut slow = predecessor.client();
    slow.send("unsafe", "20000m");
    arrivals.recv_timeout(LONG).expect("the call at the endpoint");
    let mut idle: Vec<Client> = (0..4).map(|_| predecessor.client()).collect();
    for client in &mut idle {
        assert_eq!(client.call("safe", "2000m").status(), 200);
    }
    let mut successor = platform.start(&configuration(&discovery, &known));
    // One client has sent an incomplete head and one a complete request when the predecessor receives
    // SIGTERM.
    let mut incomplete = idle.pop().expect("four");
    let mut complete = idle.pop().expect("four");
    incomplete.write("POST /safe HTTP/1.1\r\nHost: x\r\nX-Request-ID: 7\r\n");
    complete.send("safe", "2000m");
    predecessor.terminate();
    let response = complete.answer().expect("a response");
    assert_eq!(response.status(), 200);
    for client in &mut idle {
        assert!(client.answer().is_none(), "an idle connection is closed");
    }
    for _ in 0..8 {
        assert_eq!(
            successor.call("safe", "2000m").status(),
            200,
            "the successor serves before the predecessor has exited"
        );
    }
    incomplete.write("X-Timeout: 2000m\r\nContent-Length: 0\r\n\r\n");
    let response = incomplete.answer().expect("a response to the request completed during shutdown");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    release.send(()).expect("the endpoint waits");
    assert_eq!(slow.answer().expect("a response to the open request").status(), 200);
    assert!(predecessor.exits_successfully(), "the predecessor exits with status 0");
    assert_eq!(successor.call("safe", "2000m").status(), 200, "the listener outlives the predecessor");
    assert!(successor.child.try_wait().expect("a child").is_none(), "the successor still runs");
}

#[test]
fn the_successor_starts_from_the_endpoint_list_of_its_predecessor() {
    let one = Host::serving("1");
    let two = Host::serving("2");
    let discovery = Discovery::start();
    let platform = Platform::new();
    let stale = [entry("s-1", one.address, "up", 0)];
    let predecessor = platform.start(&configuration(&discovery, &stale));
    assert!(discovery.next_request().contains("index=41&"));
    let delta = [entry("s-1", one.address, "draining", 0), entry("s-2", two.address, "up", 0)];
    discovery.respond_with_list(&list(42, false, &delta));
    assert!(discovery.next_request().contains("index=42&"), "the predecessor has applied the watch event");
    // The successor's own configuration file has the older list.
    let successor = platform.start(&configuration(&discovery, &stale));
    drop(predecessor);
    for _ in 0..10 {
        assert_eq!(successor.call("safe", "2000m").body, b"2");
    }
    assert_eq!(one.further_requests(), 0, "a draining endpoint gets no new calls");
}

#[test]
fn an_invalid_handover_file_is_ignored() {
    let discovery = Discovery::start();
    let endpoint = Host::serving("ok");
    let platform = Platform::new();
    let path = platform.folder.join("oakport-list.json");
    let mut file = std::fs::File::create(&path).expect("a file");
    file.write_all(b"{\"discovery\":\"127.0.0.1:1\",\"list\":{\"index\":").expect("written");
    let proxy = platform.start(&configuration(&discovery, &[entry("s-1", endpoint.address, "up", 0)]));
    assert_eq!(proxy.call("safe", "2000m").status(), 200);
    assert!(discovery.next_request().contains("index=41&"));
}

/// The handover file was recorded from release cd50ac2; only its two ports are replaced.
#[test]
fn the_handover_file_of_an_older_release_is_read() {
    let discovery = Discovery::start();
    let endpoint = Host::serving("ok");
    let platform = Platform::new();
    let recorded = r#"{"discovery":"127.0.0.1:49229","list":{"index":42,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:9","zone":"a","type":"m1","group":3,"status":"draining","weight":1.5,"since_ms":1700000000000},{"name":"s-2","address":"127.0.0.1:10","zone":"b","type":"","group":0,"status":"up","weight":0.0,"since_ms":0}]}}"#;
    let handover = recorded
        .replace("127.0.0.1:49229", &discovery.address.to_string())
        .replace("127.0.0.1:10", &endpoint.address.to_string());
    std::fs::write(platform.folder.join("oakport-list.json"), handover).expect("a file");
    let proxy = platform.start(&configuration(&discovery, &[]));
    assert!(
        discovery.next_request().contains("index=42&"),
        "the watch continues from the version in the handover file"
    );
    assert_eq!(
        proxy.call("safe", "2000m").status(),
        200,
        "served by an endpoint that only the handover file lists"
    );
}
