//! Responses that are still in progress when the process that forwards them is killed: its successor delivers
//! the rest. No byte is lost, repeated or written by both processes.

mod peers;

use peers::bodies::*;
use peers::memory::peak_memory_kb;
use peers::shutdown::*;
use peers::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::{UnixListener, UnixStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The socket on which a successor accepts responses.
const HANDOVER_SOCKET: &str = "oakport-responses.sock";
/// Duration of a response that lasts until well after the kill, which comes 1.7 s after SIGTERM.
const SEND_TIME_UNTIL_AFTER_KILL: Duration = Duration::from_millis(3_000);
/// Duration of a response that ends before the kill, but after the handover begins, which is 0.7 s before the
/// kill.
const SEND_TIME_UNTIL_BEFORE_KILL: Duration = Duration::from_millis(1_450);
const RESPONSE_BYTES: usize = 600_000;

/// Starts an endpoint that sends the requested response evenly over the requested time. Other requests are
/// answered immediately.
fn paced_endpoint() -> SocketAddr {
    endpoint(|head, stream| {
        if body(head, stream).is_none() {
            return;
        }
        let Some((framing, size)) = requested_response(head) else {
            write_response(stream, "length", b"ok");
            return;
        };
        let send_ms = query_value(head, "give_ms").and_then(|ms| ms.parse().ok()).expect("a number");
        write_response_over(stream, framing, response_body(size), Duration::from_millis(send_ms));
    })
}

/// Requests a response on each connection, waits until all have begun, and returns their heads.
fn begin_responses(clients: &mut [Client], framing: &str, size: usize, send_time: Duration) -> Vec<String> {
    let target = format!("unsafe?framing={framing}&size={size}&give_ms={}", send_time.as_millis());
    for client in clients.iter_mut() {
        client.write(&request_head(&target, "900m", "Content-Length: 0\r\n"));
    }
    clients.iter_mut().map(|client| head(&mut client.stream).expect("a response that begins")).collect()
}

/// The number of body bytes in `received`, which must be the beginning of the response. A chunked body counts
/// only if it is complete.
fn received_bytes(head: &str, received: &[u8], size: usize) -> usize {
    if head.contains("chunked") {
        return body(head, &mut &*received).map_or(0, |content| {
            assert!(content == response_body(size), "other bytes than the endpoint sent");
            content.len()
        });
    }
    assert!(received == &response_body(size)[..received.len()], "other bytes than the endpoint sent");
    received.len()
}

/// Sends SIGTERM, reads all responses until their connections end, and kills the process at the earliest
/// time. Returns the number of bytes received of each body.
fn read_across_kill(
    shutdown: &mut Shutdown,
    clients: Vec<Client>,
    heads: &[String],
    size: usize,
    is_slow: bool,
) -> Vec<usize> {
    let terminated = shutdown.terminate();
    let is_killed = Arc::new(AtomicBool::new(!is_slow));
    let readers: Vec<_> = clients.into_iter().map(|client| spawn_slow_reader(client, &is_killed)).collect();
    shutdown.kill(terminated);
    is_killed.store(true, Ordering::SeqCst);
    let bodies = readers.into_iter().map(|reader| reader.join().expect("a reader"));
    bodies.zip(heads).map(|(body, head)| received_bytes(head, &body, size)).collect()
}

#[test]
fn a_response_with_connection_close_is_completed_by_the_successor() {
    // Guards against closing the connection for writing when the process hands the response over: a response
    // that begins after SIGTERM has Connection: close.
    let mut shutdown = Shutdown::prepare(Restart::Hot, paced_endpoint());
    let mut client = shutdown.connected_clients(1).remove(0);
    let _successor = shutdown.start_successor();
    // A partial head keeps the connection open during the shutdown.
    let target = format!("unsafe?framing=length&size={RESPONSE_BYTES}&give_ms=3000");
    let text = request_head(&target, "900m", "Content-Length: 0\r\n");
    let (beginning, rest) = text.split_at(20);
    client.write(beginning);
    thread::sleep(Duration::from_millis(50));
    let terminated = shutdown.terminate();
    thread::sleep(Duration::from_millis(200));
    client.write(rest);
    let head = head(&mut client.stream).expect("a response that begins");
    assert_eq!(header_value(&head, "connection"), Some("close"));
    let reader = spawn_slow_reader(client, &Arc::new(AtomicBool::new(true)));
    shutdown.kill(terminated);
    let body = reader.join().expect("a reader");
    assert_eq!(received_bytes(&head, &body, RESPONSE_BYTES), RESPONSE_BYTES);
}

/// Asserts that responses in progress at the kill are received completely, and that the successor serves
/// requests.
fn assert_responses_outlive_the_process(count: usize, size: usize, is_slow: bool) {
    let mut shutdown = Shutdown::prepare(Restart::Hot, paced_endpoint());
    let mut clients = shutdown.connected_clients(count);
    let successor = shutdown.start_successor().expect("a successor");
    let heads = begin_responses(&mut clients, "length", size, SEND_TIME_UNTIL_AFTER_KILL);
    let received = read_across_kill(&mut shutdown, clients, &heads, size, is_slow);
    assert_eq!(received, vec![size; count]);
    assert_eq!(successor.call("safe", "900m").status(), 200, "the successor should serve requests");
}

#[test]
fn responses_in_progress_at_the_kill_of_a_hot_restart_arrive_complete() {
    // Guards against the kill truncating a response that a successor could continue to forward.
    assert_responses_outlive_the_process(6, RESPONSE_BYTES, false);
}

/// Asserts that chunked responses are received completely that an endpoint sends over this time, from before SIGTERM on.
fn assert_chunked_responses_arrive_complete(send_time: Duration) {
    let mut shutdown = Shutdown::prepare(Restart::Hot, paced_endpoint());
    let mut clients = shutdown.connected_clients(3);
    let _successor = shutdown.start_successor();
    let heads = begin_responses(&mut clients, "chunked", RESPONSE_BYTES, send_time);
    let received = read_across_kill(&mut shutdown, clients, &heads, RESPONSE_BYTES, false);
    assert_eq!(received, [RESPONSE_BYTES; 3]);
}

#[test]
fn chunked_responses_in_progress_at_the_kill_of_a_hot_restart_arrive_complete() {
    // Guards against the kill truncating a response whose end only the parser of its framing detects.
    assert_chunked_responses_arrive_complete(SEND_TIME_UNTIL_AFTER_KILL);
}

#[test]
fn responses_to_slow_readers_in_progress_at_the_kill_of_a_hot_restart_arrive_complete() {
    // Guards against losing or repeating data that is in the buffers of the process when it hands a response
    // over.
    assert_responses_outlive_the_process(3, RESPONSE_BYTES_BEYOND_A_SEND_BUFFER, true);
}

/// Limits that the platform may choose (TERMS).
const DEPLOYMENTS: [Limits; 6] = [
    Limits { memory_mb: 32, max_sockets: 256 },
    Limits { memory_mb: 32, max_sockets: 1_024 },
    Limits { memory_mb: 48, max_sockets: 512 },
    Limits { memory_mb: 64, max_sockets: 512 },
    Limits { memory_mb: 64, max_sockets: 1_024 },
    Limits { memory_mb: 192, max_sockets: 1_024 },
];
const ENDPOINT_COUNT: usize = 12;
/// Clients that are slow at the same time.
const SLOW_CLIENT_COUNT: usize = 6;

/// Restarts a process with these limits while `count` clients receive responses that last until after the kill. Returns
/// the number of bytes that each of them received, and the peak memory of both processes.
fn restart_with_limits(limits: Limits, count: usize, size: usize, is_slow: bool) -> (Vec<usize>, usize) {
    let endpoints: Vec<_> = (0..ENDPOINT_COUNT).map(|_| paced_endpoint()).collect();
    let mut shutdown = Shutdown::prepare_with_limits(Restart::Hot, &endpoints, limits);
    let mut clients = shutdown.new_clients(count);
    let heads = begin_responses(&mut clients, "length", size, SEND_TIME_UNTIL_AFTER_KILL);
    let successor = shutdown.start_successor().expect("a successor");
    let processes = [shutdown.proxy.child.id(), successor.child.id()];
    let observed_until = Instant::now() + SEND_TIME_UNTIL_AFTER_KILL;
    let peak_kb = thread::spawn(move || peak_memory_kb(&processes, observed_until));
    let received = read_across_kill(&mut shutdown, clients, &heads, size, is_slow);
    (received, peak_kb.join().expect("an observer"))
}

#[test]
fn responses_in_progress_at_the_kill_arrive_complete_in_every_deployment() {
    // Guards against a successor that declines responses for memory which it keeps free for clients that may never come.
    for limits in DEPLOYMENTS {
        let (received, peak_kb) = restart_with_limits(limits, 3, RESPONSE_BYTES, false);
        assert_eq!(received, [RESPONSE_BYTES; 3], "{limits:?}");
        assert!(peak_kb <= limits.memory_mb * 1_024, "{limits:?}: {peak_kb} kB");
    }
}

#[test]
fn responses_of_a_third_of_the_descriptors_arrive_complete() {
    // Guards against a successor whose share of the descriptors is too small for what its predecessor hands over.
    for limits in DEPLOYMENTS {
        let count = limits.max_sockets / 3 - 1;
        let (received, peak_kb) = restart_with_limits(limits, count, RESPONSE_BYTES, false);
        let incomplete_count = received.iter().filter(|&&bytes| bytes != RESPONSE_BYTES).count();
        println!("{limits:?}: {incomplete_count} of {count} incomplete, {peak_kb} kB");
        assert_eq!(incomplete_count, 0, "{limits:?}: of {count}");
        assert!(peak_kb <= limits.memory_mb * 1_024, "{limits:?}: {peak_kb} kB");
    }
}

#[test]
fn responses_to_slow_readers_arrive_complete_in_every_deployment() {
    // Guards against a successor that declines the unsent bytes of a response once and for all, although their memory is
    // about to be returned.
    for limits in DEPLOYMENTS {
        let size = RESPONSE_BYTES_BEYOND_A_SEND_BUFFER;
        let (received, peak_kb) = restart_with_limits(limits, SLOW_CLIENT_COUNT, size, true);
        println!("{limits:?}: {received:?}, {peak_kb} kB");
        assert_eq!(received, [size; SLOW_CLIENT_COUNT], "{limits:?}");
        assert!(peak_kb <= limits.memory_mb * 1_024, "{limits:?}: {peak_kb} kB");
    }
}

/// Number of times that the longest response body is repeated in a response that is sent as fast as it is
/// read.
const BODY_REPETITIONS: usize = 5;
const REPEATED_RESPONSE_BYTES: usize = BODY_REPETITIONS * RESPONSE_BYTES_BEYOND_A_SEND_BUFFER;

/// Starts an endpoint that sends such responses to requests that specify one.
fn fast_endpoint() -> SocketAddr {
    endpoint(|head, stream| {
        let _ = body(head, stream);
        if requested_response(head).is_none() {
            write_response(stream, "length", b"ok");
            return;
        }
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {REPEATED_RESPONSE_BYTES}\r\n\r\n");
        send_bytes(stream, head.as_bytes());
        for _ in 0..BODY_REPETITIONS {
            send_bytes(stream, response_body(RESPONSE_BYTES_BEYOND_A_SEND_BUFFER));
        }
    })
}

fn assert_is_repeated_response(received: &[u8]) {
    assert_eq!(received.len(), REPEATED_RESPONSE_BYTES);
    let part = RESPONSE_BYTES_BEYOND_A_SEND_BUFFER;
    let is_right = received.chunks(part).all(|received| received == response_body(part));
    assert!(is_right, "other bytes than the endpoint sent");
}

#[test]
fn responses_that_were_read_ahead_are_handed_over_as_their_memory_is_returned() {
    // Guards against a successor that declines the unsent bytes of a response once and for all, although the processes
    // share out their memory anew.
    for limits in DEPLOYMENTS {
        let address = fast_endpoint();
        let mut shutdown = Shutdown::prepare_with_limits(Restart::Hot, &[address], limits);
        let mut clients = shutdown.new_clients(SLOW_CLIENT_COUNT);
        begin_responses(&mut clients, "length", REPEATED_RESPONSE_BYTES, Duration::ZERO);
        // What a draining endpoint sends is read as far as the memory allows.
        let is_draining = list(42, false, &[entry("s-1", address, "draining", 0)]);
        shutdown.discovery.respond_with_list(&is_draining);
        thread::sleep(SHORT);
        let successor = shutdown.start_successor().expect("a successor");
        let processes = [shutdown.proxy.child.id(), successor.child.id()];
        let is_killed = Arc::<AtomicBool>::default();
        let readers: Vec<_> =
            clients.into_iter().map(|client| spawn_slow_reader(client, &is_killed)).collect();
        let terminated = shutdown.terminate();
        let peak_kb = peak_memory_kb(&processes, terminated + DEADLINE + KILL_MARGIN);
        shutdown.kill(terminated);
        is_killed.store(true, Ordering::SeqCst);
        println!("{limits:?}: {peak_kb} kB");
        for reader in readers {
            assert_is_repeated_response(&reader.join().expect("a reader"));
        }
        assert!(peak_kb <= limits.memory_mb * 1_024, "{limits:?}: {peak_kb} kB");
    }
}

/// The peak resident memory of the process so far, in kB. None if the process has ended.
fn process_peak_kb(proxy: &Proxy) -> Option<usize> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).expect("a child");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

#[test]
fn handing_over_a_response_reads_nothing_more_of_it() {
    // Guards against reading a response from a fast endpoint into the memory of the process that is about to
    // be killed.
    let size = REPEATED_RESPONSE_BYTES;
    let mut shutdown = Shutdown::prepare(Restart::Hot, fast_endpoint());
    let mut clients = shutdown.connected_clients(1);
    let _successor = shutdown.start_successor();
    begin_responses(&mut clients, "length", size, Duration::ZERO);
    let terminated = shutdown.terminate();
    let is_killed = Arc::<AtomicBool>::default();
    let reader = spawn_slow_reader(clients.remove(0), &is_killed);
    thread::sleep(Duration::from_millis(900));
    let before_kb = process_peak_kb(&shutdown.proxy).expect("a process that writes a response");
    let mut peak_kb = before_kb;
    // The process may end as soon as it has handed the response over.
    while let Some(kb) =
        process_peak_kb(&shutdown.proxy).filter(|_| terminated.elapsed() < DEADLINE + KILL_MARGIN)
    {
        peak_kb = peak_kb.max(kb);
        thread::sleep(Duration::from_millis(1));
    }
    let growth_kb = peak_kb - before_kb;
    shutdown.kill(terminated);
    is_killed.store(true, Ordering::SeqCst);
    let received = reader.join().expect("a reader");
    assert_is_repeated_response(&received);
    assert!(growth_kb < 4 * 1_024, "peak memory grew by {growth_kb} kB during the handover");
}

#[test]
fn a_request_behind_a_handed_over_response_is_not_forwarded_and_may_be_retried() {
    // Guards against forwarding the request behind the response: the kill would lose it at the endpoint.
    let mut shutdown = Shutdown::prepare(Restart::Hot, paced_endpoint());
    let mut clients = shutdown.connected_clients(1);
    let _successor = shutdown.start_successor();
    let heads = begin_responses(&mut clients, "length", RESPONSE_BYTES, SEND_TIME_UNTIL_AFTER_KILL);
    clients[0].write(&request_head("unsafe?follows=1", "900m", "Content-Length: 0\r\n"));
    // The connection ends after the response.
    let received = read_across_kill(&mut shutdown, clients, &heads, RESPONSE_BYTES, false);
    assert_eq!(received, [RESPONSE_BYTES]);
}

/// Starts an endpoint that begins its response before it reads the request's body, and ends it after the kill.
fn early_endpoint() -> SocketAddr {
    endpoint(|head, stream| {
        let Some((_, size)) = requested_response(head) else {
            let _ = body(head, stream);
            write_response(stream, "length", b"ok");
            return;
        };
        let (beginning, rest) = response_body(size).split_at(size / 2);
        send_bytes(stream, format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n").as_bytes());
        send_bytes(stream, beginning);
        let _ = body(head, stream);
        thread::sleep(SEND_TIME_UNTIL_AFTER_KILL);
        send_bytes(stream, rest);
    })
}

#[test]
fn a_response_that_began_before_its_request_was_complete_is_completed_by_the_successor() {
    // Guards against a request whose last byte goes unnoticed once its response has begun: the kill cuts that
    // response.
    for framing in FRAMINGS {
        let mut shutdown = Shutdown::prepare(Restart::Hot, early_endpoint());
        let mut client = shutdown.connected_clients(1).remove(0);
        let _successor = shutdown.start_successor();
        let content = test_pattern(200_000);
        let (header, content) = match framing {
            "chunked" => ("Transfer-Encoding: chunked\r\n", chunked(&content, 9_000)),
            _ => ("Content-Length: 200000\r\n", content),
        };
        let (beginning, rest) = content.split_at(120_000);
        let target = format!("unsafe?framing=length&size={RESPONSE_BYTES}");
        client.write(&request_head(&target, "900m", header));
        assert!(send_bytes(&mut client.stream, beginning));
        let head = head(&mut client.stream).expect("a response that begins");
        assert!(send_bytes(&mut client.stream, rest));
        thread::sleep(Duration::from_millis(100));
        let received = read_across_kill(&mut shutdown, vec![client], &[head], RESPONSE_BYTES, false);
        assert_eq!(received, [RESPONSE_BYTES], "{framing}");
    }
}

/// A fault of the successor or its socket.
#[derive(Clone, Copy, Debug)]
enum BrokenSuccessor {
    /// The socket does not exist.
    Absent,
    /// The successor has ended and left the socket file behind.
    Ended,
    /// Closes each connection immediately.
    Closes,
    /// Accepts connections and sends nothing.
    Silent,
    /// Accepts a response and closes the connection before it has received all of it.
    ClosesLate,
    /// Accepts a response and reads none of it.
    AcceptsAndStalls,
    /// Replies to an offer with this byte, which no version does.
    Answers(u8),
}

fn serve_broken(successor: BrokenSuccessor, mut stream: UnixStream, open: &mut Vec<UnixStream>) {
    // Where the offer is read, the kernel closes the descriptors that are passed with it.
    match successor {
        BrokenSuccessor::ClosesLate => {
            let _ = stream.read(&mut [0; 256]);
            let _ = stream.write_all(b"+");
            let _ = stream.read(&mut [0; 1]);
        }
        BrokenSuccessor::AcceptsAndStalls => {
            let _ = stream.read(&mut [0; 256]);
            let _ = stream.write_all(b"+");
            open.push(stream);
        }
        BrokenSuccessor::Answers(byte) => {
            let _ = stream.read(&mut [0; 256]);
            let _ = stream.write_all(&[byte]);
            open.push(stream);
        }
        BrokenSuccessor::Silent => open.push(stream),
        BrokenSuccessor::Absent | BrokenSuccessor::Ended | BrokenSuccessor::Closes => {}
    }
}

/// Asserts that a process whose successor has this fault delivers responses that end before the kill itself.
fn assert_process_keeps_its_responses(successor: BrokenSuccessor) {
    let mut shutdown = Shutdown::prepare(Restart::Hot, paced_endpoint());
    let path = shutdown.shared_folder().expect("a folder").join(HANDOVER_SOCKET);
    match successor {
        BrokenSuccessor::Absent => {}
        BrokenSuccessor::Ended => drop(UnixListener::bind(&path).expect("a socket")),
        _ => {
            let listener = UnixListener::bind(&path).expect("a socket");
            thread::spawn(move || {
                let mut open = Vec::new();
                for stream in listener.incoming().flatten() {
                    serve_broken(successor, stream, &mut open);
                }
            });
        }
    }
    let mut clients = shutdown.connected_clients(2);
    // With megabytes of unsent data in the process, the handover exceeds the buffers of the handover socket.
    let size = RESPONSE_BYTES_BEYOND_A_SEND_BUFFER;
    let heads = begin_responses(&mut clients, "length", size, SEND_TIME_UNTIL_BEFORE_KILL);
    let received = read_across_kill(&mut shutdown, clients, &heads, size, false);
    assert_eq!(received, [size; 2], "{successor:?}");
}

#[test]
fn a_process_without_a_working_successor_delivers_its_responses_itself() {
    // Guards against losing a response or writing it twice when its handover fails at any step.
    let faults = [
        BrokenSuccessor::Absent,
        BrokenSuccessor::Ended,
        BrokenSuccessor::Closes,
        BrokenSuccessor::Silent,
        BrokenSuccessor::ClosesLate,
        BrokenSuccessor::AcceptsAndStalls,
        BrokenSuccessor::Answers(b'-'),
        BrokenSuccessor::Answers(b'.'),
    ];
    for successor in faults {
        assert_process_keeps_its_responses(successor);
    }
}

#[test]
fn a_chunked_response_that_ends_before_the_kill_is_delivered_by_its_own_process() {
    // Guards against handing over a response whose end can only be found by parsing its chunks.
    assert_chunked_responses_arrive_complete(SEND_TIME_UNTIL_BEFORE_KILL);
}

#[test]
fn a_successor_survives_malformed_and_interrupted_offers() {
    // Guards against a malformed or interrupted offer terminating the successor or the response of another
    // offer.
    let shutdown = Shutdown::prepare(Restart::Hot, paced_endpoint());
    let successor = shutdown.start_successor().expect("a successor");
    let path = shutdown.shared_folder().expect("a folder").join(HANDOVER_SOCKET);
    let offers: [&[u8]; 6] = [
        b"",
        b"{",
        b"\xff\x00",
        br#"{"unsent_bytes":0,"remaining_bytes":5}"#,
        br#"{"unsent_bytes":18446744073709551615,"remaining_bytes":0}"#,
        &[b'x'; 4_096],
    ];
    for offer in offers {
        let mut stream = UnixStream::connect(&path).expect("the successor's socket");
        stream.set_read_timeout(Some(LONG)).expect("a timeout");
        stream.write_all(offer).expect("an open connection");
        let started = Instant::now();
        // The successor closes or resets the connection after its timeout at the latest.
        let received = stream.read(&mut [0; 1]).unwrap_or(0);
        assert_eq!(received, 0, "{offer:?} was answered");
        assert!(started.elapsed() < LONG, "the connection of {offer:?} was not closed within {LONG:?}");
    }
    assert_eq!(successor.call("safe", "900m").status(), 200);
}
