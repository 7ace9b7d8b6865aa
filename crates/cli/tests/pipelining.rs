//! Requests that a client sends on one connection before it has the responses to earlier ones.

mod peers;

use peers::bodies::*;
use peers::shutdown::write_response;
use peers::*;
use socket2::SockRef;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A final answer is due this long after the client's timeout at the latest (STANDING).
const FINAL_ANSWER_SLACK: Duration = Duration::from_millis(500);
const RESPONSE_TIME: Duration = Duration::from_millis(120);
const RESPONSE_TIME_MS: u64 = 1_500;

/// Starts an endpoint that counts requests and answers each after this time.
fn counting_endpoint(response_time: Duration) -> (SocketAddr, Arc<AtomicUsize>) {
    let count = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&count);
    let address = endpoint(move |head, stream| {
        if body(head, stream).is_some() {
            counter.fetch_add(1, Ordering::SeqCst);
            thread::sleep(response_time);
            write_response(stream, "length", b"ok");
        }
    });
    (address, count)
}

fn requests(count: usize, body_bytes: usize, timeout: &str) -> Vec<u8> {
    let request = |_| {
        let head = request_head("unsafe", timeout, &format!("Content-Length: {body_bytes}\r\n"));
        [head.into_bytes(), test_pattern(body_bytes)].concat()
    };
    (0..count).flat_map(request).collect()
}

/// Sends requests at once and returns the statuses of all responses.
fn statuses(count: usize, body_bytes: usize, memory_mb: u32) -> Vec<Option<u16>> {
    let (endpoint, _) = counting_endpoint(RESPONSE_TIME);
    let discovery = Discovery::start();
    let known = [entry("s-1", endpoint, "up", 0)];
    let listen = "127.0.0.1:0".parse().expect("an address");
    let text = config(listen, discovery.address, 1_024, &known)
        .replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory_mb}"));
    let proxy = Proxy::with(&text);
    let mut client = proxy.client();
    let mut writer = client.stream.get_ref().try_clone().expect("a descriptor");
    let sent = requests(count, body_bytes, "5000m");
    let writing = thread::spawn(move || writer.write_all(&sent).is_ok());
    let statuses = (0..count).map(|_| client.answer().map(|answer| answer.status())).collect();
    assert!(writing.join().expect("a writer"), "the connection should take all requests");
    statuses
}

#[test]
fn requests_sent_at_once_are_answered_however_large_they_are_together() {
    // Guards against requests that are read while an earlier one is served, and discarded.
    for (count, body_bytes) in [(8, 60_000), (6, 200_000), (3, 6_000_000)] {
        let served = vec![Some(200); count];
        assert_eq!(statuses(count, body_bytes, 192), served, "{count} of {body_bytes} bytes");
    }
}

#[test]
fn requests_sent_at_once_are_answered_with_the_least_memory() {
    // Guards against requests that are discarded where no memory is left to buffer them.
    assert_eq!(statuses(8, 60_000, 32), [Some(200); 8]);
}

#[test]
fn requests_that_wait_in_the_client_s_send_buffer_are_answered_in_time() {
    // Guards against time that counts from the moment at which the proxy has room for a request.
    let (endpoint, _) = counting_endpoint(RESPONSE_TIME);
    let discovery = Discovery::start();
    let proxy = start(&discovery, &[endpoint]);
    let mut client = proxy.client();
    SockRef::from(client.stream.get_ref()).set_send_buffer_size(4 << 20).expect("a send buffer");
    let count = 40;
    client.stream.get_mut().write_all(&requests(count, 60_000, "1000m")).expect("room for all requests");
    let written_at = Instant::now();
    let answers: Vec<_> =
        (0..count).map(|_| client.answer().map(|answer| (answer.status(), written_at.elapsed()))).collect();
    let due = Duration::from_secs(1) + FINAL_ANSWER_SLACK;
    let is_in_time = |answer: &Option<(u16, Duration)>| answer.is_some_and(|(_, at)| at <= due);
    assert!(answers.iter().all(is_in_time), "{answers:?}");
}

#[test]
fn requests_of_a_client_that_has_left_are_not_forwarded_however_many_it_sent() {
    // Guards against a close that stays unseen behind bytes that are not read.
    let (endpoint, count) = counting_endpoint(Duration::from_millis(RESPONSE_TIME_MS));
    let discovery = Discovery::start();
    let proxy = start(&discovery, &[endpoint]);
    let mut client = proxy.client();
    let mut writer = client.stream.get_ref().try_clone().expect("a descriptor");
    let writing = thread::spawn(move || writer.write_all(&requests(400, 60_000, "5000m")));
    while count.load(Ordering::SeqCst) == 0 {
        thread::sleep(Duration::from_millis(10));
    }
    // The buffers of both sides are full by then.
    thread::sleep(Duration::from_millis(RESPONSE_TIME_MS / 3));
    client.stream.get_mut().shutdown(std::net::Shutdown::Both).expect("a connection");
    drop(client);
    let _ = writing.join();
    thread::sleep(Duration::from_millis(2 * RESPONSE_TIME_MS));
    assert_eq!(count.load(Ordering::SeqCst), 1, "requests at the endpoint");
}
