//! Attempts at a stub endpoint.

use super::*;
use crate::clock::Clock;
use crate::upstream::test_support::{pool, request};
use oakport_core::{EndpointId, LoadReport};
use std::io::{Read, Write};
use std::net::TcpListener;

struct StubOwner {
    may_start: bool,
}

impl AttemptOwner for StubOwner {
    fn remaining_time(&self) -> Micros {
        1_000
    }

    fn may_start(&self) -> bool {
        self.may_start
    }

    fn record_answer_head(&self) -> Rc<Notify> {
        Rc::default()
    }

    fn deadline(&self) -> Option<Instant> {
        None
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
    runtime.block_on(attempt(&pool, target, &request, &StubOwner { may_start }))
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
