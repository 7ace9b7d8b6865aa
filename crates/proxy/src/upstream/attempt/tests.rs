//! Attempts at a stub endpoint.

use super::*;
use crate::clock::Clock;
use crate::upstream::test_support::{pool, request};
use oakport_core::{EndpointId, LoadReport};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

struct StubOwner {
    may_start: bool,
    remaining_time: Micros,
}

impl AttemptOwner for StubOwner {
    fn class(&self) -> ClassId {
        ClassId(0)
    }

    fn remaining_time(&self) -> Micros {
        self.remaining_time
    }

    fn may_start(&self) -> bool {
        self.may_start
    }

    fn record_answer_head(&self) -> Rc<Notify> {
        Rc::default()
    }

    fn start_response(&self, _: StreamingResponse) -> bool {
        false
    }

    fn report_incomplete(&self, _: &IncompleteResponse) {}
}

/// Makes one attempt at a stub endpoint that reads once from its connection and responds with `response`.
fn attempt_at_stub(response: &'static str, may_start: bool) -> AttemptResult {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the address of the listener");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection from the attempt");
        if stream.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {
            stream.write_all(response.as_bytes()).expect("an open connection");
        }
    });
    let pool = pool(Clock::start(), Rc::default());
    let target = Target { endpoint: EndpointId(0), address, generation: 0 };
    let request = request(1_000);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(attempt(&pool, target, &request, &StubOwner { may_start, remaining_time: 1_000 }))
}

#[test]
fn load_reports_are_parsed_with_both_sets_of_field_names() {
    let expected =
        LoadReport { in_flight: Some(7.0), queued: Some(2.5), utilisation: Some(0.5), error_rate: Some(0.0) };
    for text in [
        "HTTP/1.1 200 OK\r\nX-Server-Load: TEXT active=7, waiting=2.5, avg_ms=9, cpu=0.5, err_rps=0\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Server-Load: TEXT inflight=7,queue=2.5,util=0.5,eps=0,odd\r\nContent-Length: 0\r\n\r\n",
    ] {
        let result = attempt_at_stub(text, true);
        assert_eq!((result.outcome, result.load), (Outcome::Served, expected), "{text}");
    }
}

#[test]
fn an_attempt_that_may_not_start_is_not_sent() {
    let result = attempt_at_stub("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false);
    assert_eq!(result.outcome, Outcome::NotSent);
}

const CLIENT_TIMEOUT_US: Micros = 5_000_000;
/// How long no memory is left for bodies: an attempt that is sent again arrives well within it.
const MEMORY_SHORTAGE: Duration = Duration::from_millis(400);
/// How late the extra response follows the response.
const EXTRA_RESPONSE_DELAY: Duration = Duration::from_millis(3);

/// Answers each request of a connection, from the second one on with an extra response, and counts the requests.
fn serve_with_extra_responses(mut stream: TcpStream, response: &[u8], request_count: &AtomicUsize) {
    let mut is_first = true;
    while stream.read(&mut [0; 4096]).is_ok_and(|count| count > 0) {
        request_count.fetch_add(1, Ordering::SeqCst);
        let _ = stream.write_all(response);
        if !std::mem::take(&mut is_first) {
            thread::sleep(EXTRA_RESPONSE_DELAY);
            let _ = stream.write_all(response);
        }
    }
}

/// Starts an endpoint with [`serve_with_extra_responses`].
fn endpoint_with_extra_responses(response: Vec<u8>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the address of the listener");
    let request_count = Arc::<AtomicUsize>::default();
    let counter = Arc::clone(&request_count);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let response = response.clone();
            let counter = Arc::clone(&counter);
            thread::spawn(move || serve_with_extra_responses(stream, &response, &counter));
        }
    });
    (address, request_count)
}

/// Makes two attempts on one connection, the second one while no memory is left for bodies. Returns its result.
async fn attempt_without_memory(address: SocketAddr) -> AttemptResult {
    let pool = pool(Clock::start(), Rc::default());
    let target = Target { endpoint: EndpointId(0), address, generation: 0 };
    let request = request(CLIENT_TIMEOUT_US);
    let owner = StubOwner { may_start: true, remaining_time: CLIENT_TIMEOUT_US };
    assert_eq!(attempt(&pool, target, &request, &owner).await.outcome, Outcome::Served);
    let mut other_bodies = MemoryReservation::default();
    assert!(pool.memory.try_reserve(&mut other_bodies, pool.memory.available_bytes()));
    let return_memory = async {
        tokio::time::sleep(MEMORY_SHORTAGE).await;
        drop(other_bodies);
    };
    tokio::join!(attempt(&pool, target, &request, &owner), return_memory).0
}

fn response(body_bytes: usize, is_chunked: bool) -> Vec<u8> {
    let body = "x".repeat(body_bytes);
    let message = if is_chunked {
        format!("Transfer-Encoding: chunked\r\n\r\n{body_bytes:x}\r\n{body}\r\n0\r\n\r\n")
    } else {
        format!("Content-Length: {body_bytes}\r\n\r\n{body}")
    };
    format!("HTTP/1.1 200 OK\r\n{message}").into_bytes()
}

/// Guards against sending a request that an endpoint has executed once more, and against losing its response, when an
/// extra response ends the connection while the response waits for memory.
#[test]
fn a_response_that_waits_for_memory_survives_an_extra_response_and_is_not_requested_again() {
    for (body_bytes, is_chunked) in [(6_000, false), (16_000, false), (22_000, false), (6_000, true)] {
        let (address, request_count) = endpoint_with_extra_responses(response(body_bytes, is_chunked));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let tasks = tokio::task::LocalSet::new();
        let result = tasks.block_on(&runtime, attempt_without_memory(address));
        assert_eq!(request_count.load(Ordering::SeqCst), 2, "{body_bytes} bytes: a request ran again");
        let received_bytes = result.response.map(|response| response.body.len());
        assert_eq!((result.outcome, received_bytes), (Outcome::Served, Some(body_bytes)));
    }
}
