//! Requests that are completed late in a graceful shutdown, and slow readers that compete with other clients
//! for memory: which requests and responses the SIGKILL after SIGTERM may interrupt.

mod peers;

use peers::bodies::*;
use peers::shutdown::*;
use peers::*;
use std::io::{BufRead, Read};
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// More than the socket buffers hold of a response that nobody reads.
const LONG_RESPONSE_BYTES: usize = 5_000_000;
/// Delay from SIGTERM to the end of a response that begins before it.
const FIRST_RESPONSE_ENDS_AFTER: Duration = Duration::from_millis(1_200);
/// Service time of the following request, whose response comes after the kill but within the client timeout.
const SECOND_SERVICE_TIME: Duration = Duration::from_millis(800);

/// Starts an endpoint that writes half of the response to `part=first`, reports that, and writes the rest
/// when the returned sender is dropped or sends. It reports the time of `part=second` and answers after
/// [`SECOND_SERVICE_TIME`]. Other requests are answered immediately.
fn two_part_endpoint() -> (SocketAddr, Receiver<()>, std::sync::mpsc::Sender<()>, Receiver<Instant>) {
    let ((begun_sender, begun), (end, end_receiver), (seen_sender, seen)) =
        (channel(), channel::<()>(), channel());
    let end_receiver = std::sync::Mutex::new(end_receiver);
    let address = endpoint(move |head, stream| {
        let Some(_) = body(head, stream) else { return };
        if head.contains("part=first") {
            let content = response_body(200_000);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", content.len());
            send_bytes(stream, head.as_bytes());
            send_bytes(stream, &content[..100_000]);
            let _ = begun_sender.send(());
            let _ = end_receiver.lock().expect("an unpoisoned lock").recv();
            send_bytes(stream, &content[100_000..]);
        } else if head.contains("part=second") {
            let _ = seen_sender.send(Instant::now());
            thread::sleep(SECOND_SERVICE_TIME);
            write_response(stream, "length", b"second");
        } else {
            write_response(stream, "length", b"ok");
        }
    });
    (address, begun, end, seen)
}

/// A response begins before SIGTERM, and therefore has no `Connection: close`, and ends late. A following
/// request on its connection, pipelined or sent immediately after the response, must not reach the endpoint
/// if the kill can truncate its response.
fn assert_following_request_is_not_lost(restart: Restart, is_pipelined: bool) {
    let (address, begun, end, seen) = two_part_endpoint();
    let mut shutdown = Shutdown::prepare(restart, address);
    let mut client = shutdown.connected_clients(1).remove(0);
    let successor = shutdown.start_successor();
    client.write(&request_head("unsafe?part=first", "900m", "Content-Length: 0\r\n"));
    begun.recv_timeout(LONG).expect("a response that begins");
    let head = head(&mut client.stream).expect("the head of the response");
    let mut beginning = vec![0; 100_000];
    client.stream.read_exact(&mut beginning).expect("the beginning of the response");
    let second = request_head("unsafe?part=second", "900m", "Content-Length: 0\r\n");
    let terminated = shutdown.terminate();
    thread::sleep((terminated + FIRST_RESPONSE_ENDS_AFTER).saturating_duration_since(Instant::now()));
    if is_pipelined {
        client.write(&second);
        thread::sleep(Duration::from_millis(20));
    }
    drop(end);
    client.stream.read_exact(&mut beginning).expect("the rest of the response");
    if !is_pipelined {
        let _ = send_bytes(&mut client.stream, second.as_bytes());
    }
    let reader = thread::spawn(move || read(&mut client.stream).map(|message| message.status()));
    shutdown.kill(terminated);
    let response = reader.join().expect("a reader");
    let seen_after = seen.try_iter().next().map(|at| at - terminated);
    drop(successor);
    assert!(
        seen_after.is_none() || response == Some(200),
        "{restart:?}, pipelined {is_pipelined}: the endpoint received the request {seen_after:?} after \
         SIGTERM, the client received status {response:?}; head of the first response: {head}"
    );
}

#[test]
fn a_pipelined_request_behind_a_long_response_is_not_lost_in_a_planned_restart() {
    // Guards against forwarding a request late in the shutdown, pipelined behind a response that began before
    // SIGTERM and therefore has no Connection: close.
    assert_following_request_is_not_lost(Restart::Planned, true);
}

#[test]
fn a_pipelined_request_behind_a_long_response_is_not_lost_in_a_hot_restart() {
    // Guards against the same fault while a successor shares the listener.
    assert_following_request_is_not_lost(Restart::Hot, true);
}

#[test]
fn a_request_sent_immediately_after_a_long_response_is_not_lost_in_a_planned_restart() {
    // Guards against the same fault with a request that arrives just as the response ends.
    assert_following_request_is_not_lost(Restart::Planned, false);
}

/// The endpoint begins its response before the upload is complete and ends it `service_time` after the last
/// byte of the upload, which is sent `completed_after` SIGTERM.
fn assert_early_response_is_not_lost(completed_after: Duration, service_time: Duration) {
    let ((begun_sender, begun), (complete_sender, complete)) = (channel(), channel());
    let address = endpoint(move |head, stream| {
        if !head.contains("part=first") {
            let _ = body(head, stream);
            write_response(stream, "length", b"ok");
            return;
        }
        let _ = stream.fill_buf();
        let content = response_body(200_000);
        let response_head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", content.len());
        send_bytes(stream, response_head.as_bytes());
        send_bytes(stream, &content[..100_000]);
        let _ = begun_sender.send(());
        if body(head, stream).is_some() {
            let _ = complete_sender.send(Instant::now());
            thread::sleep(service_time);
            send_bytes(stream, &content[100_000..]);
        }
    });
    let mut shutdown = Shutdown::prepare(Restart::Planned, address);
    let mut client = shutdown.connected_clients(1).remove(0);
    let upload = test_pattern(160_000);
    let (beginning, rest) = upload.split_at(80_000);
    client.write(&request_head("unsafe?part=first", "900m", "Content-Length: 160000\r\n"));
    assert!(send_bytes(&mut client.stream, beginning));
    begun.recv_timeout(LONG).expect("a response that begins");
    let head = head(&mut client.stream).expect("the head of the response");
    let terminated = shutdown.terminate();
    let parts: Vec<_> = rest.chunks(4_000).collect();
    for (n, part) in parts.iter().enumerate() {
        let send_at = terminated + completed_after * (n as u32 + 1) / parts.len() as u32;
        thread::sleep(send_at.saturating_duration_since(Instant::now()));
        if !send_bytes(&mut client.stream, part) {
            break;
        }
    }
    let reader = thread::spawn(move || body(&head, &mut client.stream).map(|body| body.len()));
    shutdown.kill(terminated);
    let received = reader.join().expect("a reader");
    let complete_after = complete.try_iter().next().map(|at| at - terminated);
    assert!(
        complete_after.is_none() || received == Some(200_000),
        "the endpoint received the complete upload {complete_after:?} after SIGTERM, the client received \
         {received:?} bytes"
    );
}

#[test]
fn an_upload_whose_response_begins_early_is_not_lost() {
    // Guards against forwarding the end of an upload late in the shutdown because its response has begun.
    assert_early_response_is_not_lost(Duration::from_millis(1_300), Duration::from_millis(600));
}

/// Starts an endpoint that sends the response requested by the query. Other requests are answered
/// immediately.
fn large_response_endpoint() -> SocketAddr {
    endpoint(|head, stream| {
        if body(head, stream).is_none() {
            return;
        }
        match requested_response(head) {
            Some((_, size)) => {
                // The generated body has LONG_RESPONSE_BYTES only, so it is repeated.
                send_bytes(stream, format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n").as_bytes());
                for _ in 0..size / LONG_RESPONSE_BYTES {
                    send_bytes(stream, response_body(LONG_RESPONSE_BYTES));
                }
            }
            None => write_response(stream, "length", b"ok"),
        }
    })
}

/// Sends a request with a body of 40 KB on an unused connection. Returns the status and the time to the
/// response.
fn post_40_kb(mut client: Client) -> (Option<u16>, Duration) {
    let started = Instant::now();
    client.write(&request_head("unsafe", "900m", "Content-Length: 40000\r\n"));
    assert!(send_bytes(&mut client.stream, &test_pattern(40_000)));
    (client.answer().map(|message| message.status()), started.elapsed())
}

/// Starts a process with 32 MB of memory and `count` clients of long responses that read only the head.
fn start_with_stalled_readers(count: usize, response_bytes: usize) -> (Proxy, Vec<Client>, Discovery) {
    let discovery = Discovery::start();
    let _ = response_body(0);
    let known: Vec<String> =
        (1..=6).map(|n| entry(&format!("s-{n}"), large_response_endpoint(), "up", 0)).collect();
    let text = config("127.0.0.1:0".parse().expect("an address"), discovery.address, 1_024, &known)
        .replace("\"memory_mb\":192", "\"memory_mb\":32");
    let proxy = Proxy::with(&text);
    let mut clients: Vec<Client> = (0..count).map(|_| proxy.client()).collect();
    for client in &mut clients {
        let socket = socket2::SockRef::from(client.stream.get_ref());
        socket.set_recv_buffer_size(65_536).expect("a receive buffer");
        let target = format!("unsafe?framing=length&size={response_bytes}");
        client.write(&request_head(&target, "900m", "Content-Length: 0\r\n"));
        let head = head(&mut client.stream).expect("a response that begins");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    }
    thread::sleep(Duration::from_millis(500));
    (proxy, clients, discovery)
}

#[test]
fn slow_readers_leave_memory_to_a_small_request_in_a_shutdown() {
    // Guards against the send buffers that grow during a shutdown using the memory that a request of 40 KB
    // needs. The request must be served as before SIGTERM.
    let (proxy, clients, _discovery) = start_with_stalled_readers(6, LONG_RESPONSE_BYTES);
    let before = post_40_kb(proxy.client());
    let waiting = proxy.client();
    thread::sleep(Duration::from_millis(20));
    proxy.terminate();
    thread::sleep(Duration::from_millis(200));
    let after = post_40_kb(waiting);
    drop(clients);
    assert_eq!(
        (before.0, after.0),
        (Some(200), Some(200)),
        "before SIGTERM {before:?}, in the shutdown {after:?}"
    );
}

/// Delays from SIGTERM to the last byte of chunked uploads: about 650 ms, the completion timeout of requests,
/// and later.
const COMPLETED_AFTER_MS: [u64; 16] =
    [642, 644, 646, 648, 650, 652, 654, 656, 792, 794, 796, 798, 800, 802, 804, 806];

/// Sends uploads with a client timeout of 900 ms that are completed after [`COMPLETED_AFTER_MS`], to an
/// endpoint that answers immediately or never. Returns a description of each upload that was lost or
/// corrupted.
fn faults_of_uploads_around_the_completion_timeout(endpoint_answers: bool) -> Vec<String> {
    let (complete_sender, complete) = channel();
    let address = endpoint(move |head, stream| {
        let received = body(head, stream);
        let Some(number) = query_value(head, "number") else {
            write_response(stream, "length", b"ok");
            return;
        };
        let number: usize = number.parse().expect("a number");
        let Some(received) = received else { return };
        let _ = complete_sender.send((number, received == test_pattern(80_000)));
        if !endpoint_answers {
            thread::sleep(LONG);
        }
        write_response(stream, "length", b"done");
    });
    let mut shutdown = Shutdown::prepare(Restart::Planned, address);
    let mut clients = shutdown.connected_clients(COMPLETED_AFTER_MS.len());
    let content = test_pattern(80_000);
    for (number, client) in clients.iter_mut().enumerate() {
        let target = format!("unsafe?number={number}");
        client.write(&request_head(&target, "900m", "Transfer-Encoding: chunked\r\n"));
        assert!(send_bytes(&mut client.stream, &chunk(&content[..76_000])));
    }
    thread::sleep(Duration::from_millis(100));
    let terminated = shutdown.terminate();
    let uploads: Vec<_> = clients
        .into_iter()
        .zip(COMPLETED_AFTER_MS)
        .map(|(mut client, completed_after_ms)| {
            let end = [chunk(&content[76_000..]), LAST_CHUNK.to_vec()].concat();
            let send_at = terminated + Duration::from_millis(completed_after_ms);
            thread::spawn(move || {
                thread::sleep(send_at.saturating_duration_since(Instant::now()));
                send_bytes(&mut client.stream, &end);
                client.answer().map(|message| message.status())
            })
        })
        .collect();
    shutdown.kill(terminated);
    let statuses: Vec<_> = uploads.into_iter().map(|upload| upload.join().expect("a client")).collect();
    let complete: Vec<(usize, bool)> = complete.try_iter().collect();
    let mut faults = Vec::new();
    for (number, status) in statuses.iter().enumerate() {
        let seen = complete.iter().find(|(n, _)| *n == number).map(|(_, is_intact)| *is_intact);
        if seen == Some(false) || (seen.is_some() && matches!(status, None | Some(503))) {
            faults.push(format!(
                "completed after {} ms: intact at the endpoint {seen:?}, status {status:?}",
                COMPLETED_AFTER_MS[number]
            ));
        }
    }
    faults
}

#[test]
fn an_upload_completed_around_the_completion_timeout_is_served_or_not_forwarded_completely() {
    // Guards against a race between the last byte of an upload and its completion timeout.
    let faults: Vec<_> = (0..5).map(|_| faults_of_uploads_around_the_completion_timeout(true)).collect();
    assert!(faults.iter().all(Vec::is_empty), "{faults:#?}");
}

#[test]
fn an_upload_completed_around_the_completion_timeout_is_answered_although_its_endpoint_hangs() {
    // Guards against a final response that is due just when the process is killed.
    let faults: Vec<_> = (0..5).map(|_| faults_of_uploads_around_the_completion_timeout(false)).collect();
    assert!(faults.iter().all(Vec::is_empty), "{faults:#?}");
}

/// Asserts that 16 concurrent uploads of 40 KB are served, before SIGTERM and during the shutdown, although
/// stalled readers occupy memory.
fn assert_stalled_readers_leave_memory(readers: usize, response_bytes: usize) {
    const POSTS: usize = 16;
    let (proxy, clients, _discovery) = start_with_stalled_readers(readers, response_bytes);
    let post_all = |clients: Vec<Client>| {
        let posts: Vec<_> =
            clients.into_iter().map(|client| thread::spawn(|| post_40_kb(client).0)).collect();
        posts.into_iter().map(|post| post.join().expect("a client")).collect::<Vec<_>>()
    };
    let before = post_all((0..POSTS).map(|_| proxy.client()).collect());
    let waiting: Vec<_> = (0..POSTS).map(|_| proxy.client()).collect();
    thread::sleep(Duration::from_millis(20));
    proxy.terminate();
    thread::sleep(Duration::from_millis(150));
    let after = post_all(waiting);
    drop(clients);
    let served = |statuses: &[Option<u16>]| statuses.iter().filter(|status| **status == Some(200)).count();
    assert_eq!(
        (served(&before), served(&after)),
        (POSTS, POSTS),
        "statuses before SIGTERM {before:?}, in the shutdown {after:?}"
    );
}

#[test]
fn slow_readers_leave_memory_to_several_requests_in_a_shutdown() {
    // Guards against the same fault with several concurrent requests of 40 KB.
    assert_stalled_readers_leave_memory(10, LONG_RESPONSE_BYTES);
}

#[test]
fn slow_readers_of_very_long_responses_leave_memory_to_several_requests_in_a_shutdown() {
    // Guards against the same fault with responses that exceed the largest send buffer and keep their memory
    // reserved.
    assert_stalled_readers_leave_memory(4, 4 * LONG_RESPONSE_BYTES);
}

#[test]
fn data_sent_behind_a_long_response_does_not_truncate_it_in_a_shutdown() {
    // Guards against closing a connection with megabytes in its send buffer: data that arrives later then
    // resets it.
    for sent_after in [Duration::from_millis(100), Duration::from_millis(600)] {
        let (proxy, mut clients, _discovery) = start_with_stalled_readers(1, LONG_RESPONSE_BYTES);
        let mut client = clients.remove(0);
        proxy.terminate();
        thread::sleep(sent_after);
        client.write(&request_head("unsafe?part=second", "900m", "Content-Length: 0\r\n"));
        thread::sleep(Duration::from_millis(100));
        let mut received = Vec::new();
        let end = client.stream.read_to_end(&mut received);
        assert!(
            received.len() >= LONG_RESPONSE_BYTES,
            "request sent {sent_after:?} after SIGTERM: received {} of {LONG_RESPONSE_BYTES} bytes, {end:?}",
            received.len()
        );
    }
}

#[test]
fn a_slow_small_body_completed_too_late_is_rejected_without_forwarding() {
    // Guards against forwarding a body of up to 64 KiB so late that its response may come after the kill.
    for expectation in ["", "Expect: 100-continue\r\n"] {
        let (complete_sender, complete) = channel();
        let address = endpoint(move |head, stream| {
            let _ = body(head, stream);
            if head.contains("part=first") {
                let _ = complete_sender.send(());
                thread::sleep(Duration::from_millis(600));
            }
            write_response(stream, "length", b"ok");
        });
        let mut shutdown = Shutdown::prepare(Restart::Planned, address);
        let mut client = shutdown.connected_clients(1).remove(0);
        let header = format!("{expectation}Content-Length: 40000\r\n");
        client.write(&request_head("unsafe?part=first", "900m", &header));
        let content = test_pattern(40_000);
        assert!(send_bytes(&mut client.stream, &content[..1_000]));
        thread::sleep(Duration::from_millis(50));
        let terminated = shutdown.terminate();
        for (n, part) in content[1_000..].chunks(3_000).enumerate() {
            let send_at = terminated + Duration::from_millis(100 * (n as u64 + 1));
            thread::sleep(send_at.saturating_duration_since(Instant::now()));
            if !send_bytes(&mut client.stream, part) {
                break;
            }
        }
        let reader = thread::spawn(move || {
            let first = client.answer().map(|message| message.status());
            if first == Some(100) {
                client.answer().map(|message| message.status())
            } else {
                first
            }
        });
        shutdown.kill(terminated);
        let status = reader.join().expect("a reader");
        let seen = complete.try_iter().count();
        assert_eq!((seen, status), (0, Some(503)), "requests at the endpoint and status, {expectation:?}");
    }
}

#[test]
fn a_response_is_streamed_in_a_shutdown_despite_slow_readers_of_very_long_responses() {
    // Guards against a streamed response waiting until the kill for memory that is in use by send buffers.
    let (proxy, clients, _discovery) = start_with_stalled_readers(4, 4 * LONG_RESPONSE_BYTES);
    let mut client = proxy.client();
    thread::sleep(Duration::from_millis(20));
    proxy.terminate();
    thread::sleep(Duration::from_millis(150));
    let target = format!("unsafe?framing=length&size={LONG_RESPONSE_BYTES}");
    let started = Instant::now();
    client.write(&request_head(&target, "900m", "Content-Length: 0\r\n"));
    client.stream.get_ref().set_read_timeout(Some(Duration::from_secs(3))).expect("a timeout");
    let mut received = Vec::new();
    let end = client.stream.read_to_end(&mut received);
    drop(clients);
    assert!(
        received.len() > LONG_RESPONSE_BYTES,
        "received {} of {LONG_RESPONSE_BYTES} bytes in {:?}: {end:?}",
        received.len(),
        started.elapsed()
    );
}
