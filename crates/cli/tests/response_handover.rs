//! Responses that their endpoints are still giving as the process is killed that passes them on: its successor delivers the
//! rest. Nothing is lost, repeated or written by both.

mod peers;

use peers::bodies::*;
use peers::shutdown::*;
use peers::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::{UnixListener, UnixStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The socket by which a successor takes responses over.
const HANDOVER_SOCKET: &str = "oakport-responses.sock";
/// Given until well after the kill, which comes 1.7 s after SIGTERM.
const GIVEN_BEYOND_THE_KILL: Duration = Duration::from_millis(3_000);
/// Given until after the handover would begin, 0.7 s before the kill, and ended before the kill.
const GIVEN_UNTIL_BEFORE_THE_KILL: Duration = Duration::from_millis(1_450);
const RESPONSE_BYTES: usize = 600_000;

/// An endpoint that gives the response that a request asks for over the time that it asks for. Others are answered at once.
fn paced_endpoint() -> SocketAddr {
    endpoint(|head, stream| {
        if body(head, stream).is_none() {
            return;
        }
        let Some((framing, size)) = requested_response(head) else {
            write_response(stream, "length", b"ok");
            return;
        };
        let give_ms = query_value(head, "give_ms").and_then(|ms| ms.parse().ok()).expect("a number");
        write_response_over(stream, framing, response_body(size), Duration::from_millis(give_ms));
    })
}

/// Asks for a response on each connection, and waits until all have begun.
fn begin_responses(clients: &mut [Client], framing: &str, size: usize, give_time: Duration) -> Vec<String> {
    let target = format!("unsafe?framing={framing}&size={size}&give_ms={}", give_time.as_millis());
    for client in clients.iter_mut() {
        client.write(&request_head(&target, "900m", "Content-Length: 0\r\n"));
    }
    clients.iter_mut().map(|client| head(&mut client.stream).expect("a response that begins")).collect()
}

/// What a client got of a response, which must be the beginning of it.
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

/// Reads all responses to the ends of their connections, and kills the process at the earliest moment. Returns how many
/// bytes of each body came.
fn read_across_the_kill(
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
fn a_response_that_announces_the_close_of_its_connection_arrives_complete_from_the_successor() {
    // Guards against the connection being closed for writing as its process gives up the response: one that begins after
    // SIGTERM says Connection: close.
    let mut shutdown = Shutdown::prepare(Restart::Hot, paced_endpoint());
    let mut client = shutdown.connected_clients(1).remove(0);
    let _successor = shutdown.start_successor();
    // Half a head keeps the connection open in the shutdown.
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

fn assert_responses_outlive_the_process(count: usize, size: usize, is_slow: bool) {
    let mut shutdown = Shutdown::prepare(Restart::Hot, paced_endpoint());
    let mut clients = shutdown.connected_clients(count);
    let successor = shutdown.start_successor().expect("a successor");
    let heads = begin_responses(&mut clients, "length", size, GIVEN_BEYOND_THE_KILL);
    let received = read_across_the_kill(&mut shutdown, clients, &heads, size, is_slow);
    assert_eq!(received, vec![size; count]);
    assert_eq!(successor.call("safe", "900m").status(), 200, "the successor serves on");
}

#[test]
fn responses_that_are_still_being_given_at_the_kill_of_a_hot_restart_arrive_complete() {
    // Guards against the kill cutting what an endpoint is still giving, though a successor could pass it on.
    assert_responses_outlive_the_process(6, RESPONSE_BYTES, false);
}

#[test]
fn responses_to_slow_readers_that_are_still_being_given_at_the_kill_of_a_hot_restart_arrive_complete() {
    // Guards against losing or repeating what is in buffers of the process as it passes a response on.
    assert_responses_outlive_the_process(3, RESPONSE_BYTES_BEYOND_A_SEND_BUFFER, true);
}

/// A response that its endpoint gives as fast as it is read, so often the longest one.
const REPEATED_RESPONSES: usize = 5;

/// The most memory that a process has had so far, in kB. None: it has ended.
fn peak_memory_kb(proxy: &Proxy) -> Option<usize> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).expect("a child");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

#[test]
fn passing_a_response_on_reads_nothing_more_of_it() {
    // Guards against reading all that a fast endpoint gives into the memory of the process that is about to be killed.
    let part = RESPONSE_BYTES_BEYOND_A_SEND_BUFFER;
    let size = REPEATED_RESPONSES * part;
    let address = endpoint(move |head, stream| {
        let _ = body(head, stream);
        if requested_response(head).is_none() {
            write_response(stream, "length", b"ok");
            return;
        }
        send_bytes(stream, format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n").as_bytes());
        for _ in 0..REPEATED_RESPONSES {
            send_bytes(stream, response_body(part));
        }
    });
    let mut shutdown = Shutdown::prepare(Restart::Hot, address);
    let mut clients = shutdown.connected_clients(1);
    let _successor = shutdown.start_successor();
    begin_responses(&mut clients, "length", size, Duration::ZERO);
    let terminated = shutdown.terminate();
    let is_killed = Arc::<AtomicBool>::default();
    let reader = spawn_slow_reader(clients.remove(0), &is_killed);
    thread::sleep(Duration::from_millis(900));
    let before_kb = peak_memory_kb(&shutdown.proxy).expect("a process that writes a response");
    let mut peak_kb = before_kb;
    // It may end once it has passed the response on.
    while let Some(kb) =
        peak_memory_kb(&shutdown.proxy).filter(|_| terminated.elapsed() < DEADLINE + KILL_MARGIN)
    {
        peak_kb = kb;
        thread::sleep(Duration::from_millis(1));
    }
    let taken_kb = peak_kb - before_kb;
    shutdown.kill(terminated);
    is_killed.store(true, Ordering::SeqCst);
    let received = reader.join().expect("a reader");
    assert_eq!(received.len(), size);
    let is_right = received.chunks(part).all(|received| received == response_body(part));
    assert!(is_right, "other bytes than the endpoint sent");
    assert!(taken_kb < 4 * 1_024, "{taken_kb} kB more");
}

#[test]
fn what_follows_a_response_that_was_passed_on_is_not_forwarded_and_may_come_again() {
    // Guards against the kill losing a request that was sent behind the response, once it is at an endpoint.
    let mut shutdown = Shutdown::prepare(Restart::Hot, paced_endpoint());
    let mut clients = shutdown.connected_clients(1);
    let _successor = shutdown.start_successor();
    let heads = begin_responses(&mut clients, "length", RESPONSE_BYTES, GIVEN_BEYOND_THE_KILL);
    clients[0].write(&request_head("unsafe?follows=1", "900m", "Content-Length: 0\r\n"));
    // Its connection ends behind the response.
    let received = read_across_the_kill(&mut shutdown, clients, &heads, RESPONSE_BYTES, false);
    assert_eq!(received, [RESPONSE_BYTES]);
}

/// What stands in the place of the successor's socket.
#[derive(Clone, Copy, Debug)]
enum BrokenSuccessor {
    /// There is none.
    Absent,
    /// It left its socket's file behind.
    Ended,
    /// It closes each connection at once.
    Closes,
    /// It says nothing.
    Silent,
    /// It accepts a response and closes before it has got all.
    ClosesLate,
    /// It accepts a response and reads nothing of it.
    AcceptsAndStalls,
    /// It answers what no version does.
    Answers(u8),
}

fn serve_broken(successor: BrokenSuccessor, mut stream: UnixStream, kept: &mut Vec<UnixStream>) {
    // Each form that reads the offer leaves the descriptors that come with it to the system.
    match successor {
        BrokenSuccessor::ClosesLate => {
            let _ = stream.read(&mut [0; 256]);
            let _ = stream.write_all(b"+");
            let _ = stream.read(&mut [0; 1]);
        }
        BrokenSuccessor::AcceptsAndStalls => {
            let _ = stream.read(&mut [0; 256]);
            let _ = stream.write_all(b"+");
            kept.push(stream);
        }
        BrokenSuccessor::Answers(byte) => {
            let _ = stream.read(&mut [0; 256]);
            let _ = stream.write_all(&[byte]);
            kept.push(stream);
        }
        BrokenSuccessor::Silent => kept.push(stream),
        BrokenSuccessor::Absent | BrokenSuccessor::Ended | BrokenSuccessor::Closes => {}
    }
}

/// With this in the successor's place, responses that end before the kill are delivered by their own process.
fn assert_process_keeps_its_responses(successor: BrokenSuccessor) {
    let mut shutdown = Shutdown::prepare(Restart::Hot, paced_endpoint());
    let path = shutdown.shared_folder().expect("a folder").join(HANDOVER_SOCKET);
    match successor {
        BrokenSuccessor::Absent => {}
        BrokenSuccessor::Ended => drop(UnixListener::bind(&path).expect("a socket")),
        _ => {
            let listener = UnixListener::bind(&path).expect("a socket");
            thread::spawn(move || {
                let mut kept = Vec::new();
                for stream in listener.incoming().flatten() {
                    serve_broken(successor, stream, &mut kept);
                }
            });
        }
    }
    let mut clients = shutdown.connected_clients(2);
    // With megabytes in the buffers of the process, an exchange does not fit into those of its socket.
    let size = RESPONSE_BYTES_BEYOND_A_SEND_BUFFER;
    let heads = begin_responses(&mut clients, "length", size, GIVEN_UNTIL_BEFORE_THE_KILL);
    let received = read_across_the_kill(&mut shutdown, clients, &heads, size, false);
    assert_eq!(received, [size; 2], "{successor:?}");
}

#[test]
fn a_process_without_a_working_successor_keeps_its_responses() {
    // Guards against a response being lost or written twice because passing it on fails at any step.
    let forms = [
        BrokenSuccessor::Absent,
        BrokenSuccessor::Ended,
        BrokenSuccessor::Closes,
        BrokenSuccessor::Silent,
        BrokenSuccessor::ClosesLate,
        BrokenSuccessor::AcceptsAndStalls,
        BrokenSuccessor::Answers(b'-'),
        BrokenSuccessor::Answers(b'.'),
    ];
    for successor in forms {
        assert_process_keeps_its_responses(successor);
    }
}

#[test]
fn a_chunked_response_that_ends_before_the_kill_is_delivered_by_its_own_process() {
    // Guards against passing on a response whose end only the parser of its framing knows.
    let mut shutdown = Shutdown::prepare(Restart::Hot, paced_endpoint());
    let mut clients = shutdown.connected_clients(2);
    let _successor = shutdown.start_successor();
    let heads = begin_responses(&mut clients, "chunked", RESPONSE_BYTES, GIVEN_UNTIL_BEFORE_THE_KILL);
    let received = read_across_the_kill(&mut shutdown, clients, &heads, RESPONSE_BYTES, false);
    assert_eq!(received, [RESPONSE_BYTES; 2]);
}

#[test]
fn a_successor_survives_whatever_connects_to_its_socket() {
    // Guards against a malformed or interrupted offer ending the successor or a response of another offer.
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
        let begun = Instant::now();
        // Closed or reset, in its time.
        let accepted = stream.read(&mut [0; 1]).unwrap_or(0);
        assert_eq!(accepted, 0, "{offer:?}");
        assert!(begun.elapsed() < LONG, "{offer:?}");
    }
    assert_eq!(successor.call("safe", "900m").status(), 200);
}
