//! Two processes of one proxy beside each other, on the listener that the platform holds for both.

mod peers;

use peers::*;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::Mutex;

fn text(discovery: &Discovery, known: &[String]) -> String {
    // The address that the file names is not what they listen on.
    config(nobody(), discovery.address, 1_024, known)
}

#[test]
fn the_old_process_finishes_what_it_took_and_the_new_one_serves_on() {
    let ((arrived, came), (open, gate)) = (channel(), channel::<()>());
    let gate = Mutex::new(gate);
    let host = Host::start(move |n| {
        if n == 0 {
            let _ = arrived.send(());
            let _ = gate.lock().expect("one call").recv();
        }
        Reply::Write(answer("200 OK", "", "ok"))
    });
    let (discovery, platform) = (Discovery::start(), Platform::new());
    let known = [entry("s-1", host.address, "up", 0)];
    let mut old = platform.start(&text(&discovery, &known));
    let address = platform.listener.local_addr().expect("its address");
    assert_eq!(old.address, address, "it listens where the platform does");
    let mut slow = old.client();
    slow.send("unsafe", "20000m");
    came.recv_timeout(LONG).expect("the call at the host");
    let mut kept: Vec<Client> = (0..4).map(|_| old.client()).collect();
    for client in &mut kept {
        assert_eq!(client.call("safe", "2000m").status(), 200);
    }
    let mut new = platform.start(&text(&discovery, &known));
    // A head that is half written, and a whole request, have come when the old process is told to end.
    let (mut half, mut whole) = (kept.pop().expect("four"), kept.pop().expect("four"));
    half.write("POST /safe HTTP/1.1\r\nHost: x\r\nX-Request-ID: 7\r\n");
    whole.send("safe", "2000m");
    old.terminate();
    let last = whole.answer().expect("an answer");
    assert_eq!(last.status(), 200);
    for client in &mut kept {
        assert!(client.answer().is_none(), "a connection that rests is closed");
    }
    for _ in 0..8 {
        assert_eq!(new.call("safe", "2000m").status(), 200, "nobody waits for the old process");
    }
    half.write("X-Timeout: 2000m\r\nContent-Length: 0\r\n\r\n");
    let last = half.answer().expect("an answer to what was half written");
    assert_eq!((last.status(), last.header("connection")), (200, Some("close")));
    open.send(()).expect("the host waits");
    assert_eq!(slow.answer().expect("an answer to what was under way").status(), 200);
    assert!(old.ended(), "it exits 0");
    assert_eq!(new.call("safe", "2000m").status(), 200, "the listener has outlived it");
    assert!(new.child.try_wait().expect("a child").is_none(), "the new one stays");
}

#[test]
fn the_next_process_knows_the_list_that_the_old_one_last_had() {
    let (one, two) = (Host::serving("1"), Host::serving("2"));
    let (discovery, platform) = (Discovery::start(), Platform::new());
    let stale = [entry("s-1", one.address, "up", 0)];
    let _old = platform.start(&text(&discovery, &stale));
    assert!(discovery.asked().contains("index=41&"));
    let delta = [entry("s-1", one.address, "draining", 0), entry("s-2", two.address, "up", 0)];
    discovery.tell(&list(42, false, &delta));
    assert!(discovery.asked().contains("index=42&"), "it has taken the news in");
    // Its own file is from before.
    let _new = platform.start(&text(&discovery, &stale));
    drop(_old);
    for _ in 0..10 {
        assert_eq!(_new.call("safe", "2000m").body, b"2");
    }
    assert_eq!(one.further_requests(), 0, "nothing new goes to a host that drains");
}

#[test]
fn a_file_that_was_left_and_makes_no_sense_changes_nothing() {
    let (discovery, host, platform) = (Discovery::start(), Host::serving("ok"), Platform::new());
    let left = platform.folder.join("oakport-list.json");
    let mut file = std::fs::File::create(&left).expect("a file");
    file.write_all(b"{\"discovery\":\"127.0.0.1:1\",\"list\":{\"index\":").expect("written");
    let proxy = platform.start(&text(&discovery, &[entry("s-1", host.address, "up", 0)]));
    assert_eq!(proxy.call("safe", "2000m").status(), 200);
    assert!(discovery.asked().contains("index=41&"));
}

/// The file is as the release of cd50ac2 left it, but for the two ports.
#[test]
fn a_list_that_an_older_release_left_is_read() {
    let (discovery, host, platform) = (Discovery::start(), Host::serving("ok"), Platform::new());
    let recorded = r#"{"discovery":"127.0.0.1:49229","list":{"index":42,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:9","zone":"a","type":"m1","group":3,"status":"draining","weight":1.5,"since_ms":1700000000000},{"name":"s-2","address":"127.0.0.1:10","zone":"b","type":"","group":0,"status":"up","weight":0.0,"since_ms":0}]}}"#;
    let left = recorded
        .replace("127.0.0.1:49229", &discovery.address.to_string())
        .replace("127.0.0.1:10", &host.address.to_string());
    std::fs::write(platform.folder.join("oakport-list.json"), left).expect("a file");
    let proxy = platform.start(&text(&discovery, &[]));
    assert!(discovery.asked().contains("index=42&"), "it goes on from the list that was left");
    assert_eq!(proxy.call("safe", "2000m").status(), 200, "by way of the host that only that list names");
}
