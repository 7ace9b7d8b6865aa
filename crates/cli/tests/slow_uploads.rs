//! Large requests that their endpoint reads slowly: the client's time counts from its own last byte.

mod peers;

use peers::bodies::*;
use peers::shutdown::write_response;
use peers::*;
use std::io::Read;
use std::thread;
use std::time::{Duration, Instant};

const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A final answer is due this long after the client's timeout at the latest (STANDING).
const FINAL_ANSWER_SLACK: Duration = Duration::from_millis(500);
/// An endpoint reads 1 MB a second.
const PIECE_BYTES: usize = 100_000;
const PIECE_INTERVAL: Duration = Duration::from_millis(100);

/// How long after its last byte was written a client had its final answer.
fn time_to_answer(request_bytes: usize) -> Duration {
    let discovery = Discovery::start();
    let slow = endpoint(move |_, stream| {
        let mut piece = vec![0; PIECE_BYTES];
        let mut read_bytes = 0;
        while read_bytes < request_bytes {
            match stream.read(&mut piece) {
                Ok(count @ 1..) => read_bytes += count,
                _ => return,
            }
            thread::sleep(PIECE_INTERVAL);
        }
        write_response(stream, "length", b"ok");
    });
    let proxy = start(&discovery, &[slow]);
    let mut client = proxy.client();
    let timeout = format!("{}m", CLIENT_TIMEOUT.as_millis());
    let head = request_head("unsafe", &timeout, &format!("Content-Length: {request_bytes}\r\n"));
    let sent = send_bytes(&mut client.stream, &[head.into_bytes(), test_pattern(request_bytes)].concat());
    let sent_at = Instant::now();
    let answer = client.answer();
    println!(
        "{request_bytes} bytes: {sent} {:?} after {:?}",
        answer.map(|answer| answer.status()),
        sent_at.elapsed()
    );
    sent_at.elapsed()
}

#[test]
fn a_request_that_its_endpoint_reads_slowly_has_its_final_answer_in_time() {
    // Guards against a deadline that counts from the arrival of bytes that wait in the client's own send buffer.
    for request_bytes in [1_000_000, 4_000_000, 12_000_000, 20_000_000] {
        let elapsed = time_to_answer(request_bytes);
        assert!(elapsed < CLIENT_TIMEOUT + FINAL_ANSWER_SLACK, "{request_bytes} bytes: {elapsed:?}");
    }
}
