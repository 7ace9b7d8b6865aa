//! Graceful shutdown, up to the SIGKILL that follows SIGTERM at the earliest time that the protocol allows.

mod peers;

use peers::bodies::*;
use peers::shutdown::*;
use peers::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Sizes of responses, some of which are slightly larger than what the kernel buffers for a slow reader:
/// about 4 MB, the usual limit of a send buffer (`net.ipv4.tcp_wmem`).
const RESPONSE_BYTES_AROUND_A_SEND_BUFFER: [usize; 8] =
    [3_600_000, 3_700_000, 3_800_000, 3_900_000, 4_000_000, 4_100_000, 4_200_000, 4_300_000];
/// Delay from SIGTERM to the end of a request head that must still be served.
const LATEST_HEAD: Duration = Duration::from_millis(600);
/// If a busy machine sends the end of the head later than [`LATEST_HEAD`] plus this, the attempt is repeated.
const LATEST_HEAD_TOLERANCE: Duration = Duration::from_millis(20);
const MAX_LATE_HEAD_ATTEMPTS: usize = 10;

/// Asserts that slow readers receive their complete responses, which have these lengths and alternate between
/// the framings. Their requests are complete at the endpoint when SIGTERM is sent.
fn assert_slow_readers_receive_everything(restart: Restart, response_bytes: &[usize]) {
    let (endpoint, arrivals) = gated_endpoint();
    let mut shutdown = Shutdown::prepare(restart, endpoint);
    let mut clients = shutdown.connected_clients(response_bytes.len());
    let successor = shutdown.start_successor();
    for ((client, framing), size) in clients.iter_mut().zip(FRAMINGS.iter().cycle()).zip(response_bytes) {
        let target = format!("unsafe?framing={framing}&size={size}");
        client.write(&request_head(&target, "900m", "Content-Length: 0\r\n"));
    }
    let gates: Vec<Sender<()>> =
        clients.iter().map(|_| arrivals.recv_timeout(LONG).expect("the request at the endpoint")).collect();
    let terminated = shutdown.terminate();
    drop(gates);
    let killed = Arc::<AtomicBool>::default();
    let readers: Vec<_> = clients.into_iter().map(|client| spawn_slow_reader(client, &killed)).collect();
    shutdown.kill(terminated);
    killed.store(true, Ordering::SeqCst);
    let responses = readers.into_iter().map(|reader| reader.join().expect("a reader"));
    let lost_bytes: Vec<usize> =
        responses.zip(response_bytes).map(|(response, &size)| missing_bytes(&response, size)).collect();
    assert!(
        lost_bytes.iter().all(|&count| count == 0),
        "{restart:?}: bytes lost by each client: {lost_bytes:?}"
    );
    if let Some(successor) = successor {
        assert_eq!(successor.call("safe", "900m").status(), 200, "the successor should serve requests");
    }
}

/// The minimum number of bytes missing from a response with a body of this size. Panics if its status is
/// not 200 or a complete body differs from what the endpoint sent.
fn missing_bytes(response: &[u8], body_bytes: usize) -> usize {
    let mut rest = response;
    let head = head(&mut rest).unwrap_or_default();
    assert!(head.is_empty() || head.starts_with("HTTP/1.1 200"), "{head}");
    let received_bytes = rest.len();
    match body(&head, &mut rest) {
        Some(content) if !head.is_empty() => {
            assert!(content == response_body(body_bytes), "other bytes than the endpoint sent");
            0
        }
        _ => body_bytes.saturating_sub(received_bytes).max(1),
    }
}

#[test]
fn a_slow_reader_gets_its_complete_response_although_a_hot_restart_ends_in_a_kill() {
    // Guards against the small remainder of a response waiting in the process until a third of the send
    // buffer is free.
    assert_slow_readers_receive_everything(Restart::Hot, &RESPONSE_BYTES_AROUND_A_SEND_BUFFER);
}

#[test]
fn a_slow_reader_gets_its_complete_response_although_a_planned_restart_ends_in_a_kill() {
    // Guards against the same fault while no successor shares the listener.
    assert_slow_readers_receive_everything(Restart::Planned, &RESPONSE_BYTES_AROUND_A_SEND_BUFFER);
}

#[test]
fn several_slow_readers_get_their_complete_responses_although_a_hot_restart_ends_in_a_kill() {
    // Guards against truncating responses that exceed the default limit of a send buffer, and against
    // completing the response of only one client.
    assert_slow_readers_receive_everything(Restart::Hot, &[RESPONSE_BYTES_BEYOND_A_SEND_BUFFER; 6]);
}

#[test]
fn several_slow_readers_get_their_complete_responses_although_a_planned_restart_ends_in_a_kill() {
    // Guards against the same fault while no successor shares the listener.
    assert_slow_readers_receive_everything(Restart::Planned, &[RESPONSE_BYTES_BEYOND_A_SEND_BUFFER; 6]);
}

/// Completes the head of a small request [`LATEST_HEAD`] after SIGTERM. Returns the response, or None if the
/// machine was too busy to send the end of the head in time.
fn try_late_head(restart: Restart) -> Option<Option<Message>> {
    let host = Host::serving("ok");
    let shutdown = Shutdown::prepare(restart, host.address);
    let mut client = shutdown.connected_clients(1).remove(0);
    let _successor = shutdown.start_successor();
    client.write("POST /safe HTTP/1.1\r\nHost: x\r\nX-Request-ID: 7\r\n");
    let before_signal = Instant::now();
    let terminated = shutdown.terminate();
    thread::sleep((terminated + LATEST_HEAD).saturating_duration_since(Instant::now()));
    client.write("X-Timeout: 900m\r\nContent-Length: 0\r\n\r\n");
    let is_in_time = before_signal.elapsed() <= LATEST_HEAD + LATEST_HEAD_TOLERANCE;
    is_in_time.then(|| client.answer())
}

fn assert_late_head_is_served(restart: Restart) {
    let response = (0..MAX_LATE_HEAD_ATTEMPTS)
        .find_map(|_| try_late_head(restart))
        .expect("a head sent in time within the attempts");
    assert_eq!(response.expect("a response").status(), 200, "{restart:?}");
}

#[test]
fn a_small_request_whose_head_is_complete_in_time_is_served_in_a_hot_restart() {
    // Guards against closing connections of requests that arrive within 0.7 s after SIGTERM, which must be
    // served.
    assert_late_head_is_served(Restart::Hot);
}

#[test]
fn a_small_request_whose_head_is_complete_in_time_is_served_in_a_planned_restart() {
    // Guards against the same fault while no successor shares the listener.
    assert_late_head_is_served(Restart::Planned);
}

#[test]
fn a_second_sigterm_changes_nothing() {
    // Guards against dropping open requests, or terminating the process, when SIGTERM is sent again.
    for restart in [Restart::Hot, Restart::Planned] {
        let (endpoint, arrivals) = gated_endpoint();
        let mut shutdown = Shutdown::prepare(restart, endpoint);
        let mut clients = shutdown.connected_clients(2);
        let successor = shutdown.start_successor();
        let mut open = clients.remove(0);
        open.write(&request_head("unsafe?framing=length&size=100000", "900m", "Content-Length: 0\r\n"));
        let gate = arrivals.recv_timeout(LONG).expect("the request at the endpoint");
        shutdown.terminate();
        assert!(clients[0].answer().is_none(), "the shutdown should close an idle connection");
        shutdown.terminate();
        drop(gate);
        let head = head(&mut open.stream).expect("a response");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        assert!(
            body(&head, &mut open.stream).as_deref() == Some(response_body(100_000)),
            "the body should be complete"
        );
        drop(open);
        assert!(shutdown.proxy.exits_successfully(), "the process should exit with status 0");
        if let Some(successor) = successor {
            assert_eq!(successor.call("safe", "900m").status(), 200, "the successor should serve requests");
        }
    }
}
