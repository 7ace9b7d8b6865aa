//! Uploads in progress in a graceful shutdown, with a kill at the earliest time that the protocol allows. If
//! an endpoint receives a complete request, its client must receive the complete response.

mod peers;

use peers::bodies::*;
use peers::shutdown::*;
use peers::*;
use std::io::BufRead;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Bytes of an upload that are sent in each [`UPLOAD_INTERVAL`]: 64 KB per second.
const UPLOAD_CHUNK_BYTES: usize = 3_200;
const UPLOAD_INTERVAL: Duration = Duration::from_millis(50);
/// Bytes of an upload that are sent before SIGTERM: enough that the proxy streams it to the endpoint, which
/// receives the beginning before SIGTERM.
const UPLOAD_BYTES_BEFORE_SHUTDOWN: usize = 80_000;
/// Pairs of the time from SIGTERM to the completion of an upload and its service time: completed from well
/// before the kill to just before it, with a short service time.
const UPLOADS_WITH_LARGE_RESPONSES_MS: [(u64, u64); 4] =
    [(1_000, 100), (1_200, 100), (1_400, 100), (1_600, 100)];
/// Pairs of completion and service time of uploads served within their client timeout, but after the kill.
const UPLOADS_SERVED_AFTER_THE_KILL_MS: [(u64, u64); 2] = [(900, 850), (1_300, 600)];
const SMALL_RESPONSE_BYTES: usize = 1_000;
/// Times from SIGTERM to the completion of an upload: early enough that its client timeout of 300 ms ends
/// well before the kill.
const UPLOADS_WITH_A_SHORT_TIMEOUT_MS: [u64; 3] = [800, 950, 1_100];
/// Duration of a response that ends after the kill if it begins later than 0.7 s after SIGTERM.
const LONG_SEND_TIME: Duration = Duration::from_millis(1_200);

/// An upload in progress when SIGTERM is sent, and the requested response.
#[derive(Clone, Copy, Debug)]
struct UploadPlan {
    framing: &'static str,
    /// Delay from SIGTERM to the last byte of the upload.
    completed_after: Duration,
    /// Delay at the endpoint between the complete upload and the response.
    service_time: Duration,
    response_bytes: usize,
    client_timeout: &'static str,
    /// The endpoint sends the response evenly over this time.
    send_time: Duration,
}

/// The result of an upload, as seen by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UploadOutcome {
    Served,
    /// 503 with Retry-After, and its connection was closed.
    Rejected,
    /// The connection was closed without a response.
    Closed,
    /// Anything else, such as a truncated response.
    Broken,
}

impl UploadPlan {
    fn body(&self) -> Vec<u8> {
        let chunk_count = self.completed_after.as_millis() / UPLOAD_INTERVAL.as_millis();
        test_pattern(UPLOAD_BYTES_BEFORE_SHUTDOWN + chunk_count as usize * UPLOAD_CHUNK_BYTES)
    }

    /// Writes the head and the beginning of the body. Returns the remaining parts of the body, encoded for
    /// the connection.
    fn begin(&self, number: usize, client: &mut Client) -> Vec<Vec<u8>> {
        let body = self.body();
        let (beginning, rest) = body.split_at(UPLOAD_BYTES_BEFORE_SHUTDOWN);
        let parts = std::iter::once(beginning).chain(rest.chunks(UPLOAD_CHUNK_BYTES));
        let (header, mut parts): (String, Vec<Vec<u8>>) = match self.framing {
            "chunked" => ("Transfer-Encoding: chunked\r\n".to_owned(), parts.map(chunk).collect()),
            _ => (format!("Content-Length: {}\r\n", body.len()), parts.map(<[u8]>::to_vec).collect()),
        };
        if self.framing == "chunked" {
            parts.last_mut().expect("a part").extend(LAST_CHUNK);
        }
        let target = format!(
            "unsafe?number={number}&framing={}&size={}&service_ms={}&give_ms={}",
            self.framing,
            self.response_bytes,
            self.service_time.as_millis(),
            self.send_time.as_millis()
        );
        client.write(&request_head(&target, self.client_timeout, &header));
        assert!(send_bytes(&mut client.stream, &parts.remove(0)));
        parts
    }

    fn outcome(&self, response: &[u8]) -> UploadOutcome {
        if response.is_empty() {
            return UploadOutcome::Closed;
        }
        let mut rest = response;
        let head = head(&mut rest).unwrap_or_default();
        let is_rejection = head.starts_with("HTTP/1.1 503")
            && header_value(&head, "retry-after").is_some()
            && header_value(&head, "connection") == Some("close");
        match body(&head, &mut rest) {
            Some(_) if is_rejection => UploadOutcome::Rejected,
            Some(content) if content == response_body(self.response_bytes) => UploadOutcome::Served,
            _ => UploadOutcome::Broken,
        }
    }
}

/// Sends the remaining parts of an upload, the last one at `completed_at`, and reads the response slowly.
fn finish_upload(
    mut client: Client,
    parts: Vec<Vec<u8>>,
    completed_at: Instant,
    killed: &AtomicBool,
) -> Vec<u8> {
    let intervals = (0..parts.len() as u32).rev();
    for (part, intervals_left) in parts.iter().zip(intervals) {
        let send_at = completed_at - UPLOAD_INTERVAL * intervals_left;
        thread::sleep(send_at.saturating_duration_since(Instant::now()));
        // The proxy has closed the connection.
        if !send_bytes(&mut client.stream, part) {
            break;
        }
    }
    read_slowly(client.stream, killed)
}

/// Reports of an endpoint that receives uploads.
struct UploadReports {
    /// One message for each upload whose first bytes have arrived.
    begun: Receiver<()>,
    /// The number of each upload that has ended, and whether it was complete.
    ended: Receiver<(usize, bool)>,
}

/// Starts an endpoint for the uploads of [`UploadPlan::begin`]. Other requests are answered immediately.
fn upload_endpoint() -> (SocketAddr, UploadReports) {
    let ((begun_sender, begun), (ended_sender, ended)) = (channel(), channel());
    let address = endpoint(move |head, stream| {
        let Some((framing, size)) = requested_response(head) else {
            let _ = body(head, stream);
            write_response(stream, "length", b"ok");
            return;
        };
        if stream.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
            let _ = begun_sender.send(());
        }
        let number_of =
            |name| query_value(head, name).and_then(|n| n.parse::<usize>().ok()).expect("a number");
        let (number, service_ms) = (number_of("number"), number_of("service_ms"));
        let send_time = Duration::from_millis(number_of("give_ms") as u64);
        let is_complete = body(head, stream).is_some();
        let _ = ended_sender.send((number, is_complete));
        if is_complete {
            thread::sleep(Duration::from_millis(service_ms as u64));
            write_response_over(stream, framing, response_body(size), send_time);
        }
    });
    (address, UploadReports { begun, ended })
}

/// Sends these uploads concurrently and kills the process at the earliest time. Returns, for each upload, the
/// outcome at its client and whether the endpoint received the complete request.
fn run_uploads(restart: Restart, plans: &[UploadPlan]) -> Vec<(UploadOutcome, bool)> {
    let (endpoint, reports) = upload_endpoint();
    let mut shutdown = Shutdown::prepare(restart, endpoint);
    let mut clients = shutdown.connected_clients(plans.len());
    let successor = shutdown.start_successor();
    let remaining_parts: Vec<_> =
        plans.iter().zip(&mut clients).enumerate().map(|(n, (plan, client))| plan.begin(n, client)).collect();
    for _ in plans {
        reports.begun.recv_timeout(LONG).expect("the beginning of each upload at the endpoint");
    }
    let terminated = shutdown.terminate();
    let killed = Arc::<AtomicBool>::default();
    let uploads = clients.into_iter().zip(remaining_parts).zip(plans).map(|((client, parts), plan)| {
        let (completed_at, killed) = (terminated + plan.completed_after, Arc::clone(&killed));
        thread::spawn(move || finish_upload(client, parts, completed_at, &killed))
    });
    let uploads: Vec<_> = uploads.collect();
    shutdown.kill(terminated);
    killed.store(true, Ordering::SeqCst);
    let responses: Vec<_> = uploads.into_iter().map(|upload| upload.join().expect("a client")).collect();
    // Each upload that began has ended, because the process has ended. A successor may have sent an upload
    // again.
    let mut ended: Vec<(usize, bool)> =
        plans.iter().map(|_| reports.ended.recv_timeout(LONG).expect("the end of each upload")).collect();
    ended.extend(reports.ended.try_iter());
    if let Some(successor) = successor {
        assert_eq!(successor.call("safe", "900m").status(), 200, "the successor should serve requests");
    }
    let outcomes = plans.iter().zip(&responses).map(|(plan, response)| plan.outcome(response));
    outcomes.enumerate().map(|(number, outcome)| (outcome, ended.contains(&(number, true)))).collect()
}

/// Runs an upload of each framing for each pair of `milliseconds`: the completion after SIGTERM and the
/// service time.
fn assert_no_complete_upload_is_lost(restart: Restart, milliseconds: &[(u64, u64)], response_bytes: usize) {
    let plans: Vec<UploadPlan> = milliseconds
        .iter()
        .flat_map(|&(completed_after_ms, service_ms)| {
            FRAMINGS.map(|framing| UploadPlan {
                framing,
                completed_after: Duration::from_millis(completed_after_ms),
                service_time: Duration::from_millis(service_ms),
                response_bytes,
                client_timeout: "900m",
                send_time: Duration::ZERO,
            })
        })
        .collect();
    assert_no_upload_is_lost(restart, &plans);
}

/// Asserts that each client receives its complete response, or that the endpoint has not received the
/// complete request.
fn assert_no_upload_is_lost(restart: Restart, plans: &[UploadPlan]) {
    let results = run_uploads(restart, plans);
    let is_consistent = |(outcome, complete_at_endpoint): &(UploadOutcome, bool)| match outcome {
        UploadOutcome::Served => *complete_at_endpoint,
        UploadOutcome::Rejected | UploadOutcome::Closed => !complete_at_endpoint,
        UploadOutcome::Broken => false,
    };
    assert!(
        results.iter().all(is_consistent),
        "{restart:?}: outcome of each upload and whether the endpoint received all of it: {results:?}"
    );
}

#[test]
fn an_upload_with_a_large_response_is_not_lost_by_the_kill_that_ends_a_hot_restart() {
    // Guards against truncating a response that begins shortly before the kill.
    let uploads = &UPLOADS_WITH_LARGE_RESPONSES_MS;
    assert_no_complete_upload_is_lost(Restart::Hot, uploads, RESPONSE_BYTES_BEYOND_A_SEND_BUFFER);
}

#[test]
fn an_upload_with_a_large_response_is_not_lost_by_the_kill_that_ends_a_planned_restart() {
    // Guards against the same fault while no successor shares the listener.
    let uploads = &UPLOADS_WITH_LARGE_RESPONSES_MS;
    assert_no_complete_upload_is_lost(Restart::Planned, uploads, RESPONSE_BYTES_BEYOND_A_SEND_BUFFER);
}

#[test]
fn an_upload_that_is_served_after_the_kill_is_not_lost_in_a_hot_restart() {
    // Guards against forwarding the end of an upload whose response may come after the kill.
    let uploads = &UPLOADS_SERVED_AFTER_THE_KILL_MS;
    assert_no_complete_upload_is_lost(Restart::Hot, uploads, SMALL_RESPONSE_BYTES);
}

#[test]
fn an_upload_that_is_served_after_the_kill_is_not_lost_in_a_planned_restart() {
    // Guards against the same fault while no successor shares the listener.
    let uploads = &UPLOADS_SERVED_AFTER_THE_KILL_MS;
    assert_no_complete_upload_is_lost(Restart::Planned, uploads, SMALL_RESPONSE_BYTES);
}

/// Runs uploads with a short client timeout whose responses begin within the timeout and end after the kill.
fn assert_no_upload_with_a_long_response_is_lost(restart: Restart) {
    let plans: Vec<UploadPlan> = UPLOADS_WITH_A_SHORT_TIMEOUT_MS
        .iter()
        .flat_map(|&completed_after_ms| {
            FRAMINGS.map(|framing| UploadPlan {
                framing,
                completed_after: Duration::from_millis(completed_after_ms),
                service_time: Duration::from_millis(20),
                response_bytes: 200_000,
                client_timeout: "300m",
                send_time: LONG_SEND_TIME,
            })
        })
        .collect();
    assert_no_upload_is_lost(restart, &plans);
}

#[test]
fn an_upload_whose_response_ends_after_the_kill_is_not_lost_in_a_hot_restart() {
    // Guards against treating the client timeout, which bounds only the first byte, as a bound on the whole
    // response.
    assert_no_upload_with_a_long_response_is_lost(Restart::Hot);
}

#[test]
fn an_upload_whose_response_ends_after_the_kill_is_not_lost_in_a_planned_restart() {
    // Guards against the same fault while no successor shares the listener.
    assert_no_upload_with_a_long_response_is_lost(Restart::Planned);
}

/// Asserts that uploads completed early enough to be accepted, whose responses end well before the kill, are
/// served.
fn assert_timely_upload_is_served(restart: Restart) {
    let plans = FRAMINGS.map(|framing| UploadPlan {
        framing,
        completed_after: Duration::from_millis(500),
        service_time: Duration::from_millis(100),
        response_bytes: SMALL_RESPONSE_BYTES,
        client_timeout: "900m",
        send_time: Duration::ZERO,
    });
    assert_eq!(run_uploads(restart, &plans), [(UploadOutcome::Served, true); 2], "{restart:?}");
}

#[test]
fn an_upload_that_is_complete_in_time_is_served_in_a_hot_restart() {
    // Guards against avoiding lost uploads by closing the connections of all uploads.
    assert_timely_upload_is_served(Restart::Hot);
}

#[test]
fn an_upload_that_is_complete_in_time_is_served_in_a_planned_restart() {
    // Guards against the same fault while no successor shares the listener.
    assert_timely_upload_is_served(Restart::Planned);
}
