//! Large and slow bodies, framed by `Content-Length` or by chunked encoding.

mod peers;

use peers::bodies::*;
use peers::shutdown::write_response;
use peers::*;
use std::io::{BufRead, Read};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Far more than the proxy and the socket buffers between the peers hold.
const LARGE_BODY_BYTES: usize = 24 << 20;

#[test]
fn a_large_response_is_streamed_from_its_first_bytes_and_past_the_client_timeout() {
    for framing in ["Content-Length", "Transfer-Encoding"] {
        let (release, gate) = channel::<()>();
        let content = test_pattern(200_000);
        let gate = std::sync::Mutex::new(gate);
        let sent = content.clone();
        let endpoint = endpoint(move |_, stream| {
            let (first, rest) = sent.split_at(100_000);
            let has_length = framing == "Content-Length";
            let encode = |part: &[u8]| if has_length { part.to_vec() } else { chunked(part, 9_000) };
            let framing = if has_length { "Content-Length: 200000" } else { "Transfer-Encoding: chunked" };
            send_bytes(stream, format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes());
            let first = encode(first);
            send_bytes(stream, &first[..first.len() - if has_length { 0 } else { 5 }]);
            let _ = gate.lock().expect("one call").recv();
            send_bytes(stream, &encode(rest));
        });
        let discovery = Discovery::start();
        let proxy = start(&discovery, &[endpoint]);
        let mut client = proxy.client();
        client.write(&request_head("safe", "900m", "Content-Length: 0\r\n"));
        let head = head(&mut client.stream)
            .expect("the response's head, before the endpoint has sent the whole body");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        // Well past the client timeout.
        thread::sleep(Duration::from_millis(1_200));
        release.send(()).expect("the endpoint waits");
        assert_eq!(body(&head, &mut client.stream), Some(content), "{framing}");
        drop(release);
        assert_eq!(client.call("safe", "2000m").status(), 200, "the client connection stays usable");
    }
}

#[test]
fn a_response_truncated_by_its_endpoint_is_forwarded_truncated_and_not_retried() {
    for framing in ["Content-Length: 200000", "Transfer-Encoding: chunked"] {
        let attempts = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&attempts);
        let endpoint = endpoint(move |_, stream| {
            count.fetch_add(1, Ordering::SeqCst);
            send_bytes(stream, format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes());
            let part = if framing.starts_with('C') {
                test_pattern(100_000)
            } else {
                chunked(&test_pattern(100_000), 9_000)
            };
            send_bytes(stream, &part[..part.len() - 5]);
            let _ = stream.get_mut().shutdown(std::net::Shutdown::Both);
        });
        let discovery = Discovery::start();
        let proxy = start(&discovery, &[endpoint]);
        let mut client = proxy.client();
        client.write(&request_head("safe", "900m", "Content-Length: 0\r\n"));
        let head = head(&mut client.stream).expect("a head");
        assert_eq!(body(&head, &mut client.stream), None, "{framing}");
        assert_eq!(attempts.load(Ordering::SeqCst), 1, "{framing}");
    }
}

#[test]
fn a_response_that_ends_with_its_connection_is_served_only_with_connection_close() {
    for (size, connection_header, is_served) in
        [(900, "Connection: close\r\n", true), (90_000, "Connection: Close\r\n", true), (900, "", false)]
    {
        let endpoint = endpoint(move |_, stream| {
            send_bytes(stream, format!("HTTP/1.1 200 OK\r\n{connection_header}\r\n").as_bytes());
            send_bytes(stream, &test_pattern(size));
            let _ = stream.get_mut().shutdown(std::net::Shutdown::Both);
        });
        let discovery = Discovery::start();
        let proxy = start(&discovery, &[endpoint]);
        let mut client = proxy.client();
        client.write(&request_head("unsafe", "900m", "Content-Length: 0\r\n"));
        let head = head(&mut client.stream).expect("a head");
        assert_eq!(head.starts_with("HTTP/1.1 200"), is_served, "{head}");
        if is_served {
            assert_eq!(body(&head, &mut client.stream), Some(test_pattern(size)));
        }
    }
}

#[test]
fn an_early_response_does_not_end_the_next_request() {
    // The first request is answered 400 before its body has arrived. The response to the next one takes
    // longer than the idle limit of a connection.
    let endpoint = endpoint(|head, stream| {
        if head.contains("/unsafe") {
            send_bytes(stream, b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            let _ = body(head, stream);
            let _ = stream.get_mut().shutdown(std::net::Shutdown::Both);
        } else {
            send_bytes(stream, b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
            send_bytes(stream, &test_pattern(50_000));
            thread::sleep(Duration::from_millis(2_600));
            send_bytes(stream, &test_pattern(50_000));
        }
    });
    let discovery = Discovery::start();
    let proxy = start(&discovery, &[endpoint]);
    let mut client = proxy.client();
    client.write(&request_head("unsafe", "9000m", "Content-Length: 400000\r\n"));
    assert!(send_bytes(&mut client.stream, &test_pattern(200_000)));
    assert_eq!(client.answer().expect("a response").status(), 502, "at once");
    assert!(send_bytes(&mut client.stream, &test_pattern(200_000)));
    client.write(&request_head("safe", "9000m", "Content-Length: 0\r\n"));
    assert_eq!(client.answer().expect("a complete response").status(), 200);
}

/// An endpoint that sends None over the channel when a body's first bytes arrive, and then the complete body.
fn recording_endpoint() -> (SocketAddr, Receiver<Option<Vec<u8>>>) {
    let (sender, received) = channel();
    let address = endpoint(move |head, stream| {
        if stream.fill_buf().is_ok_and(|b| !b.is_empty()) {
            let _ = sender.send(None);
        }
        let Some(body) = body(head, stream) else { return };
        let _ = sender.send(Some(body));
        send_bytes(stream, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    (address, received)
}

#[test]
fn a_large_request_is_streamed_and_its_timeout_starts_at_its_last_byte() {
    let content = test_pattern(300_000);
    for framing in ["Content-Length: 300000\r\n", "Transfer-Encoding: chunked\r\n"] {
        let (endpoint, received) = recording_endpoint();
        let discovery = Discovery::start();
        let proxy = start(&discovery, &[endpoint]);
        let text = if framing.starts_with('C') { content.clone() } else { chunked(&content, 50_000) };
        let mut client = proxy.client();
        client.write(&request_head("unsafe", "700m", framing));
        let (first, rest) = text.split_at(150_000);
        assert!(send_bytes(&mut client.stream, first));
        assert_eq!(
            received.recv_timeout(LONG),
            Ok(None),
            "the endpoint receives part of the request before the client has sent all of it"
        );
        // The remaining ten parts together take longer than the client timeout.
        for part in rest.chunks(rest.len() / 10 + 1) {
            thread::sleep(Duration::from_millis(100));
            assert!(send_bytes(&mut client.stream, part));
        }
        assert_eq!(client.answer().expect("a response").status(), 200);
        assert_eq!(received.recv_timeout(LONG), Ok(Some(content.clone())), "{framing}");
    }
}

#[test]
fn a_streamed_request_whose_attempt_fails_is_rejected_with_retry_after_and_not_retried() {
    let attempts = Arc::new(AtomicUsize::new(0));
    let endpoints = [0, 1].map(|_| {
        let count = Arc::clone(&attempts);
        endpoint(move |_, stream| {
            count.fetch_add(1, Ordering::SeqCst);
            // Reads part of the body and closes the connection before the last byte has arrived.
            let _ = stream.read_exact(&mut [0; 80_000]);
            let _ = stream.get_mut().shutdown(std::net::Shutdown::Both);
        })
    });
    let discovery = Discovery::start();
    let proxy = start(&discovery, &endpoints);
    let mut client = proxy.client();
    client.write(&request_head("unsafe", "5000m", "Content-Length: 20000000\r\n"));
    // The proxy reads the rest of the body, so that the client receives the response.
    assert!(send_bytes(&mut client.stream, &test_pattern(20_000_000)));
    let response = client.answer().expect("a response");
    assert_eq!(response.status(), 503, "no endpoint was sent the last byte: {}", response.head);
    assert!(response.header("retry-after").is_some());
    assert_eq!(attempts.load(Ordering::SeqCst), 1);
    assert_eq!(client.call("safe", "900m").status(), 503, "the client's connection stays usable");
}

#[test]
fn a_request_with_a_stalled_body_is_answered_408_and_disconnected() {
    let (endpoint, received) = recording_endpoint();
    let discovery = Discovery::start();
    let proxy = start(&discovery, &[endpoint]);
    for sent in [0, 900, 100_000] {
        let mut client = proxy.client();
        client.write(&request_head("unsafe", "60000m", "Content-Length: 300000\r\n"));
        assert!(send_bytes(&mut client.stream, &test_pattern(sent)));
        let began = Instant::now();
        let response = client.answer().expect("an error");
        assert_eq!(response.status(), 408, "{sent}");
        assert!(began.elapsed() < Duration::from_secs(10), "{sent}: {:?}", began.elapsed());
        assert!(client.answer().is_none(), "the client connection closes");
    }
    assert_eq!(received.try_iter().filter(Option::is_some).count(), 0, "no request ran");
}

#[test]
fn a_client_that_does_not_read_causes_back_pressure_and_uses_little_memory() {
    let written = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&written);
    // Generated before the first request: between a head and its body this would take longer than the client
    // timeout.
    let content = test_pattern(LARGE_BODY_BYTES);
    let endpoint = endpoint(move |_, stream| {
        send_bytes(
            stream,
            format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n").as_bytes(),
        );
        for part in content.chunks(16_384) {
            if !send_bytes(stream, part) {
                return;
            }
            count.fetch_add(part.len(), Ordering::SeqCst);
        }
    });
    let discovery = Discovery::start();
    let proxy = start(&discovery, &[endpoint]);
    let before_kb = proxy.resident_kb();
    let mut clients: Vec<Client> = (0..4).map(|_| proxy.client()).collect();
    for client in &mut clients {
        client.write(&request_head("safe", "2000m", "Content-Length: 0\r\n"));
    }
    let heads: Vec<String> = clients.iter_mut().map(|c| head(&mut c.stream).expect("a head")).collect();
    thread::sleep(SHORT * 2);
    assert!(proxy.resident_kb() < before_kb + 4 * 1_024, "{} from {before_kb} kB", proxy.resident_kb());
    assert!(written.load(Ordering::SeqCst) < 4 * LARGE_BODY_BYTES, "the endpoint's writes block");
    for (head, client) in heads.iter().zip(&mut clients) {
        assert_eq!(body(head, &mut client.stream).map(|b| b.len()), Some(LARGE_BODY_BYTES));
    }
}

/// Number of clients that are idle after a large response.
const IDLE_CLIENTS: usize = 60;
/// Maximum size of each of a connection's two buffers, one for reading and one for writing.
const CONNECTION_BUFFER_KB: usize = 32;

#[test]
fn a_client_connection_releases_the_memory_of_a_large_response() {
    // Guards against buffers outside the memory limit for bodies that stay allocated on each connection that
    // has carried a large response.
    let content = test_pattern(300_000);
    let endpoint = endpoint(move |_, stream| write_response(stream, "chunked", &content));
    let discovery = Discovery::start();
    let proxy = start(&discovery, &[endpoint]);
    let call = || {
        let mut client = proxy.client();
        client.write(&request_head("safe", "2900m", "Content-Length: 0\r\n"));
        let head = head(&mut client.stream).expect("a head");
        assert_eq!(body(&head, &mut client.stream).map(|body| body.len()), Some(300_000));
        client
    };
    drop(call());
    let before_kb = proxy.resident_kb();
    let idle: Vec<Client> = (0..IDLE_CLIENTS).map(|_| call()).collect();
    let growth_kb = proxy.resident_kb().saturating_sub(before_kb);
    assert!(
        growth_kb < idle.len() * 2 * CONNECTION_BUFFER_KB,
        "{growth_kb} kB for {IDLE_CLIENTS} connections"
    );
}

#[test]
fn disconnecting_from_a_large_response_closes_its_upstream_connection() {
    let (closed_sender, closed) = channel();
    let endpoint = endpoint(move |_, stream| {
        send_bytes(stream, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        while send_bytes(stream, b"400\r\n")
            && send_bytes(stream, &[b'x'; 1_024])
            && send_bytes(stream, b"\r\n")
        {}
        let _ = closed_sender.send(());
    });
    let discovery = Discovery::start();
    let proxy = start(&discovery, &[endpoint]);
    let mut client = proxy.client();
    client.write(&request_head("safe", "2000m", "Content-Length: 0\r\n"));
    assert!(head(&mut client.stream).is_some());
    drop(client);
    closed.recv_timeout(LONG).expect("the upstream connection closes");
}

#[test]
fn slow_clients_that_make_progress_are_served() {
    let (endpoint, received) = recording_endpoint();
    let discovery = Discovery::start();
    let proxy = start(&discovery, &[endpoint]);
    let mut client = proxy.client();
    // The client writes byte by byte: the head takes more than a second, and the body has chunks of three
    // bytes.
    let mut text = request_head("unsafe", "900m", "Transfer-Encoding: chunked\r\n").into_bytes();
    text.extend(chunked(b"slow but sure", 3));
    for byte in &text {
        assert!(send_bytes(&mut client.stream, &[*byte]));
        thread::sleep(Duration::from_millis(8));
    }
    assert_eq!(client.answer().expect("a response").status(), 200);
    assert_eq!(received.try_iter().flatten().next().as_deref(), Some(b"slow but sure".as_slice()));
}

#[test]
fn expect_100_continue_gets_100_or_the_final_error() {
    let (endpoint, received) = recording_endpoint();
    let discovery = Discovery::start();
    let proxy = start(&discovery, &[endpoint]);
    let mut client = proxy.client();
    client.write(&request_head("unsafe", "900m", "Expect: 100-continue\r\nContent-Length: 100000\r\n"));
    let first = head(&mut client.stream).expect("an interim response");
    assert!(first.starts_with("HTTP/1.1 100"), "{first}");
    assert!(send_bytes(&mut client.stream, &test_pattern(100_000)));
    assert_eq!(client.answer().expect("a response").status(), 200);
    assert_eq!(received.iter().flatten().next().map(|b| b.len()), Some(100_000));
    // A rejected request gets its final response instead of 100.
    client.write(&request_head("nobody", "900m", "Expect: 100-continue\r\nContent-Length: 100000\r\n"));
    assert_eq!(client.answer().expect("a response").status(), 404);
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let endpoint = endpoint(|head, stream| {
        let body = body(head, stream).unwrap_or_default();
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        send_bytes(stream, text.as_bytes());
        send_bytes(stream, &body);
    });
    let discovery = Discovery::start();
    let proxy = start(&discovery, &[endpoint]);
    let mut client = proxy.client();
    let sizes = [3, 100_000, 0, 70_000, 7];
    let text: Vec<u8> = sizes
        .iter()
        .flat_map(|&size| {
            let head = request_head("safe", "5000m", &format!("Content-Length: {size}\r\n"));
            [head.into_bytes(), test_pattern(size)].concat()
        })
        .collect();
    assert!(send_bytes(&mut client.stream, &text));
    for size in sizes {
        let head = head(&mut client.stream).expect("a head");
        assert_eq!(body(&head, &mut client.stream), Some(test_pattern(size)), "{head}");
    }
}
