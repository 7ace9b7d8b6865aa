//! A request is complete at its last byte, whatever its length and however it arrives: from then on its client
//! timeout runs, and once an endpoint has received all of it, no rejection permits a retry.

mod peers;

use peers::bodies::*;
use peers::shutdown::*;
use peers::*;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// Lengths on either side of the bounds of the buffers: 64 KiB for a body, 32 KiB more for a connection.
const BODY_LENGTHS: [usize; 12] =
    [1_000, 65_535, 65_536, 65_537, 70_000, 90_000, 98_303, 98_304, 98_305, 110_000, 131_072, 300_000];
/// A body that is sent in many pieces is sent in pieces of this size.
const PIECE_BYTES: usize = 9_000;
const PIECE_INTERVAL: Duration = Duration::from_millis(2);
const CLIENT_TIMEOUT: Duration = Duration::from_millis(800);
/// A final response is due this long after the client timeout (STANDING).
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// The time that an attempt states to its endpoint may exceed the time left by this much (STANDING).
const STATED_TIME_SLACK: Duration = Duration::from_millis(150);

/// How a body is sent.
#[derive(Clone, Copy, Debug)]
struct Sending {
    length: usize,
    framing: &'static str,
    in_pieces: bool,
}

impl Sending {
    /// Every length in every framing, in one piece and in many.
    fn all() -> Vec<Sending> {
        let of_length = |length| {
            FRAMINGS.into_iter().flat_map(move |framing| {
                [false, true].map(|in_pieces| Sending { length, framing, in_pieces })
            })
        };
        BODY_LENGTHS.into_iter().flat_map(of_length).collect()
    }

    /// The request, with its number in the query.
    fn message(self, number: usize, timeout: Duration) -> Vec<u8> {
        let (header, body) = match self.framing {
            "chunked" => {
                let chunk_bytes = if self.in_pieces { PIECE_BYTES } else { self.length };
                (
                    "Transfer-Encoding: chunked\r\n".to_owned(),
                    chunked(&test_pattern(self.length), chunk_bytes),
                )
            }
            _ => (format!("Content-Length: {}\r\n", self.length), test_pattern(self.length)),
        };
        let target = format!("unsafe?number={number}");
        let head = request_head(&target, &format!("{}m", timeout.as_millis()), &header);
        [head.into_bytes(), body].concat()
    }

    /// Sends the request. Returns when its last byte was written.
    fn send(self, number: usize, timeout: Duration, client: &mut Client) -> Instant {
        let message = self.message(number, timeout);
        let piece_bytes = if self.in_pieces { PIECE_BYTES } else { message.len() };
        for piece in message.chunks(piece_bytes) {
            assert!(send_bytes(&mut client.stream, piece), "{self:?}: the connection is open");
            if self.in_pieces {
                thread::sleep(PIECE_INTERVAL);
            }
        }
        Instant::now()
    }
}

/// A request that an endpoint has received completely.
struct Receipt {
    number: usize,
    /// The time that the attempt stated.
    stated_time: Duration,
    received_at: Instant,
}

/// Reads complete requests, reports each, and answers none that has a number.
fn report_and_hang(
    head: &str,
    stream: &mut std::io::BufReader<std::net::TcpStream>,
    receipts: &Sender<Receipt>,
) {
    if body(head, stream).is_none() {
        return;
    }
    let Some(number) = query_value(head, "number").and_then(|number| number.parse().ok()) else {
        write_response(stream, "length", b"ok");
        return;
    };
    let stated_us = header_value(head, "x-timeout").and_then(|value| value.strip_suffix('u')?.parse().ok());
    let stated_time = Duration::from_micros(stated_us.expect("a time in microseconds"));
    let _ = receipts.send(Receipt { number, stated_time, received_at: Instant::now() });
}

fn hanging_endpoints(count: usize) -> (Vec<SocketAddr>, Receiver<Receipt>) {
    let (sender, receipts) = channel();
    let start = |_| {
        let sender = sender.clone();
        endpoint(move |head, stream| report_and_hang(head, stream, &sender))
    };
    ((0..count).map(start).collect(), receipts)
}

/// What happens while the requests are at the endpoint.
#[derive(Clone, Copy, Debug)]
enum Disruption {
    None,
    Reload,
    Terminate,
}

/// Sends every request to an endpoint that hangs and disrupts the process once all of them are there. Each
/// must be answered in time, and not with a rejection.
fn assert_complete_requests_are_final(restart: Restart, disruption: Disruption) {
    let sendings = Sending::all();
    let (endpoints, receipts) = hanging_endpoints(sendings.len());
    let shutdown = Shutdown::prepare_with_endpoints(restart, &endpoints);
    let clients = shutdown.connected_clients(sendings.len());
    let _successor = matches!(disruption, Disruption::Terminate).then(|| shutdown.start_successor());
    let calls = sendings.iter().zip(clients).enumerate().map(|(number, (&sending, mut client))| {
        thread::spawn(move || {
            let sent_at = sending.send(number, CLIENT_TIMEOUT, &mut client);
            let status = client.answer().map(|answer| answer.status());
            (status, sent_at.elapsed())
        })
    });
    let calls: Vec<_> = calls.collect();
    for _ in &sendings {
        receipts.recv_timeout(LONG).expect("each request at the endpoint");
    }
    match disruption {
        Disruption::None => {}
        Disruption::Reload => shutdown.reload(),
        Disruption::Terminate => drop(shutdown.terminate()),
    }
    let results: Vec<_> = calls.into_iter().map(|call| call.join().expect("a client")).collect();
    let wrong: Vec<_> = sendings
        .iter()
        .zip(results)
        .filter(|(_, (status, elapsed))| {
            !matches!(status, Some(502 | 504)) || *elapsed > CLIENT_TIMEOUT + RESPONSE_GRACE
        })
        .collect();
    assert!(wrong.is_empty(), "{restart:?}, {disruption:?}: status and time of {wrong:?}");
}

#[test]
fn a_complete_request_of_any_length_is_answered_in_time() {
    // Guards against a request whose end goes unnoticed, and which has no deadline at an endpoint that hangs.
    assert_complete_requests_are_final(Restart::Planned, Disruption::None);
}

#[test]
fn a_complete_request_of_any_length_is_answered_in_time_across_a_reload() {
    // Guards against the same fault when new settings arrive meanwhile.
    assert_complete_requests_are_final(Restart::Planned, Disruption::Reload);
}

#[test]
fn a_planned_restart_rejects_no_request_that_an_endpoint_has_received() {
    // Guards against a rejection of a request whose end went unnoticed: its retry runs a second time.
    assert_complete_requests_are_final(Restart::Planned, Disruption::Terminate);
}

#[test]
fn a_hot_restart_rejects_no_request_that_an_endpoint_has_received() {
    // Guards against the same fault where a successor shares the listener.
    assert_complete_requests_are_final(Restart::Hot, Disruption::Terminate);
}

#[test]
fn the_time_before_an_attempt_counts_for_a_request_that_has_arrived() {
    // Guards against a client timeout that begins only when the attempt reads the end of the request.
    let timeout = Duration::from_millis(1_500);
    let sendings = [("length", 70_000), ("length", 300_000), ("chunked", 70_000), ("chunked", 300_000)];
    for (framing, length) in sendings {
        let sending = Sending { length, framing, in_pieces: false };
        // The connect succeeds once the client's system repeats it, 1 s after its first try.
        let host = UnresponsiveHost::start();
        let (sender, receipts) = channel();
        let discovery = Discovery::start();
        let known = [entry("s-1", host.address, "up", 0)];
        let config = config("127.0.0.1:0".parse().expect("an address"), discovery.address, 1_024, &known)
            .replace("\"connect_timeout_us\":1000000", "\"connect_timeout_us\":1400000");
        let proxy = Proxy::with(&config);
        let mut client = proxy.client();
        let sent_at = sending.send(1, timeout, &mut client);
        host.serve(move |head, stream| report_and_hang(head, stream, &sender));
        let status = client.answer().map(|answer| answer.status());
        let elapsed = sent_at.elapsed();
        assert!(matches!(status, Some(502 | 504)), "{sending:?}: {status:?}");
        assert!(elapsed < timeout + RESPONSE_GRACE, "{sending:?} answered after {elapsed:?}");
        let receipt = receipts.recv_timeout(LONG).expect("the request at the endpoint");
        assert_eq!(receipt.number, 1);
        let left = (sent_at + timeout).saturating_duration_since(receipt.received_at);
        assert!(
            receipt.stated_time < left + STATED_TIME_SLACK,
            "{sending:?}: stated {:?} of {left:?}",
            receipt.stated_time
        );
    }
}

#[test]
fn a_request_of_any_length_is_served_whole_after_a_refused_connect() {
    // Guards against a request whose end is lost between one attempt and the next.
    let (sender, receipts) = channel();
    let serving = endpoint(move |head, stream| {
        let Some(body) = body(head, stream) else { return };
        let _ = sender.send(body);
        write_response(stream, "length", b"ok");
    });
    for sending in Sending::all() {
        let discovery = Discovery::start();
        let proxy = start(&discovery, &[unused_address(), unused_address(), serving]);
        let mut client = proxy.client();
        sending.send(1, Duration::from_secs(3), &mut client);
        assert_eq!(client.answer().map(|answer| answer.status()), Some(200), "{sending:?}");
        let received = receipts.recv_timeout(LONG).expect("the request at the endpoint");
        assert!(received == test_pattern(sending.length), "{sending:?}: other bytes than the client sent");
    }
}

/// How many of these requests, sent at once on one connection, are answered after their time. Each is served in 80 ms.
fn late_answers_to_pipelined_requests(count: usize) -> usize {
    let timeout = Duration::from_secs(1);
    let discovery = Discovery::start();
    let serving = endpoint(|head, stream| {
        let _ = body(head, stream);
        thread::sleep(Duration::from_millis(80));
        write_response(stream, "length", b"ok");
    });
    let proxy = start(&discovery, &[serving]);
    let mut client = proxy.client();
    let timeout_text = format!("{}m", timeout.as_millis());
    let requests: String =
        (0..count).map(|_| request_head("safe", &timeout_text, "Content-Length: 2\r\n") + "ok").collect();
    client.write(&requests);
    let sent_at = Instant::now();
    let mut late_count = 0;
    for number in 0..count {
        let status = client.answer().map(|answer| answer.status());
        assert!(status.is_some(), "request {number} of {count} got no answer");
        let is_late = sent_at.elapsed() > timeout + RESPONSE_GRACE;
        late_count += usize::from(is_late);
    }
    late_count
}

#[test]
fn pipelined_requests_are_answered_in_time_although_they_are_forwarded_one_by_one() {
    // Guards against a client timeout that begins when the parser comes to a request that it read long before.
    for count in [40, 200] {
        assert_eq!(late_answers_to_pipelined_requests(count), 0, "late of {count}");
    }
}

#[test]
fn a_request_that_waits_to_be_accepted_is_answered_in_time() {
    // Guards against a client timeout that begins when the proxy accepts the connection.
    let timeout = Duration::from_millis(600);
    let (endpoints, _receipts) = hanging_endpoints(1);
    let discovery = Discovery::start();
    let proxy = start(&discovery, &endpoints);
    proxy.signal("-STOP");
    let mut client = proxy.client();
    let sending = Sending { length: 1_000, framing: "length", in_pieces: false };
    let sent_at = sending.send(1, timeout, &mut client);
    thread::sleep(Duration::from_millis(900));
    proxy.signal("-CONT");
    assert!(client.answer().is_some(), "a final answer");
    assert!(sent_at.elapsed() < timeout + RESPONSE_GRACE, "answered after {:?}", sent_at.elapsed());
}
