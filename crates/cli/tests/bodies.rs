//! Large and slow bodies, and the forms in which HTTP/1.1 brings them.

mod peers;

use peers::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Far more than is held whole, and than the sockets between the peers hold.
const LARGE: usize = 24 << 20;

/// A host whose connections are served by `serve`, which sees the stream after a request's head.
fn host(serve: impl Fn(&str, &mut BufReader<TcpStream>) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || {
                let mut stream = BufReader::new(stream);
                while let Some(head) = head(&mut stream) {
                    serve(&head, &mut stream);
                }
            });
        }
    });
    address
}

/// The lines of a head; None at the end of the connection.
fn head(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if stream.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = head.lines().filter_map(|l| l.split_once(':'));
    fields.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim())
}

/// The whole body that follows a head. None if it breaks off.
fn body(head: &str, stream: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    if field(head, "transfer-encoding").is_none() {
        let mut body = vec![0; field(head, "content-length").map_or(0, |l| l.parse().expect("a length"))];
        return stream.read_exact(&mut body).ok().map(|()| body);
    }
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).ok()?;
        let mut piece = vec![0; usize::from_str_radix(line.trim(), 16).ok()?];
        stream.read_exact(&mut piece).ok()?;
        stream.read_line(&mut line).ok()?;
        if piece.is_empty() {
            return Some(body);
        }
        body.extend(piece);
    }
}

fn start(discovery: &Discovery, hosts: &[SocketAddr]) -> Proxy {
    let known: Vec<String> =
        hosts.iter().zip(1..).map(|(&a, n)| entry(&format!("s-{n}"), a, "up", 0)).collect();
    Proxy::start(discovery, &known)
}

fn request(class: &str, time: &str, framing: &str) -> String {
    format!("POST /{class} HTTP/1.1\r\nHost: x\r\nX-Request-ID: 5\r\nX-Timeout: {time}\r\n{framing}\r\n")
}

fn pattern(size: usize) -> Vec<u8> {
    (0..size).map(|n| (n / 7 % 251) as u8).collect()
}

fn chunked(body: &[u8], size: usize) -> Vec<u8> {
    let mut text = Vec::new();
    for piece in body.chunks(size) {
        text.extend(format!("{:x}\r\n", piece.len()).bytes());
        text.extend(piece);
        text.extend(b"\r\n");
    }
    text.extend(b"0\r\n\r\n");
    text
}

fn say(stream: &mut BufReader<TcpStream>, bytes: &[u8]) -> bool {
    stream.get_mut().write_all(bytes).is_ok()
}

#[test]
fn a_large_answer_is_passed_on_from_its_first_bytes_and_no_deadline_cuts_it() {
    for framing in ["Content-Length", "Transfer-Encoding"] {
        let ((go, gate), content) = (channel::<()>(), pattern(200_000));
        let (gate, sent) = (std::sync::Mutex::new(gate), content.clone());
        let host = host(move |_, stream| {
            let (first, rest) = sent.split_at(100_000);
            let whole = framing == "Content-Length";
            let wrap = |part: &[u8]| if whole { part.to_vec() } else { chunked(part, 9_000) };
            let framing = if whole { "Content-Length: 200000" } else { "Transfer-Encoding: chunked" };
            say(stream, format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes());
            let first = wrap(first);
            say(stream, &first[..first.len() - if whole { 0 } else { 5 }]);
            let _ = gate.lock().expect("one call").recv();
            say(stream, &wrap(rest));
        });
        let discovery = Discovery::start();
        let proxy = start(&discovery, &[host]);
        let mut client = proxy.client();
        client.write(&request("safe", "900m", "Content-Length: 0\r\n"));
        let head = head(&mut client.stream).expect("the answer's head, while the host still holds the rest");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        // Well past its time.
        thread::sleep(Duration::from_millis(1_200));
        go.send(()).expect("the host waits");
        assert_eq!(body(&head, &mut client.stream), Some(content), "{framing}");
        drop(go);
        assert_eq!(client.call("safe", "2000m").status(), 200, "the connection goes on");
    }
}

#[test]
fn an_answer_that_is_cut_shows_as_cut_and_is_not_asked_for_again() {
    for framing in ["Content-Length: 200000", "Transfer-Encoding: chunked"] {
        let asked = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&asked);
        let host = host(move |_, stream| {
            count.fetch_add(1, Ordering::SeqCst);
            say(stream, format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes());
            let part =
                if framing.starts_with('C') { pattern(100_000) } else { chunked(&pattern(100_000), 9_000) };
            say(stream, &part[..part.len() - 5]);
            let _ = stream.get_mut().shutdown(std::net::Shutdown::Both);
        });
        let discovery = Discovery::start();
        let proxy = start(&discovery, &[host]);
        let mut client = proxy.client();
        client.write(&request("safe", "900m", "Content-Length: 0\r\n"));
        let head = head(&mut client.stream).expect("a head");
        assert_eq!(body(&head, &mut client.stream), None, "{framing}");
        assert_eq!(asked.load(Ordering::SeqCst), 1, "{framing}");
    }
}

#[test]
fn an_answer_that_ends_with_its_connection_serves_where_it_says_so() {
    for (size, says, serves) in
        [(900, "Connection: close\r\n", true), (90_000, "Connection: Close\r\n", true), (900, "", false)]
    {
        let host = host(move |_, stream| {
            say(stream, format!("HTTP/1.1 200 OK\r\n{says}\r\n").as_bytes());
            say(stream, &pattern(size));
            let _ = stream.get_mut().shutdown(std::net::Shutdown::Both);
        });
        let discovery = Discovery::start();
        let proxy = start(&discovery, &[host]);
        let mut client = proxy.client();
        client.write(&request("unsafe", "900m", "Content-Length: 0\r\n"));
        let head = head(&mut client.stream).expect("a head");
        assert_eq!(head.starts_with("HTTP/1.1 200"), serves, "{head}");
        if serves {
            assert_eq!(body(&head, &mut client.stream), Some(pattern(size)));
        }
    }
}

#[test]
fn an_answer_before_the_end_of_its_request_does_not_end_the_next_one() {
    // The first is turned down before its body is there; the next takes longer than a connection may rest.
    let host = host(|head, stream| {
        if head.contains("/unsafe") {
            say(stream, b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            let _ = body(head, stream);
            let _ = stream.get_mut().shutdown(std::net::Shutdown::Both);
        } else {
            say(stream, b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
            say(stream, &pattern(50_000));
            thread::sleep(Duration::from_millis(2_600));
            say(stream, &pattern(50_000));
        }
    });
    let discovery = Discovery::start();
    let proxy = start(&discovery, &[host]);
    let mut client = proxy.client();
    client.write(&request("unsafe", "9000m", "Content-Length: 400000\r\n"));
    assert!(say(&mut client.stream, &pattern(200_000)));
    assert_eq!(client.answer().expect("an answer").status(), 502, "at once");
    assert!(say(&mut client.stream, &pattern(200_000)));
    client.write(&request("safe", "9000m", "Content-Length: 0\r\n"));
    assert_eq!(client.answer().expect("a whole answer").status(), 200);
}

/// A host that tells what bodies came to it, after the first bytes of each.
fn recorder() -> (SocketAddr, Receiver<Option<Vec<u8>>>) {
    let (sender, came) = channel();
    let address = host(move |head, stream| {
        if stream.fill_buf().is_ok_and(|b| !b.is_empty()) {
            let _ = sender.send(None);
        }
        let Some(body) = body(head, stream) else { return };
        let _ = sender.send(Some(body));
        say(stream, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    (address, came)
}

#[test]
fn a_large_request_passes_as_it_comes_and_its_time_counts_from_its_last_byte() {
    let content = pattern(300_000);
    for framing in ["Content-Length: 300000\r\n", "Transfer-Encoding: chunked\r\n"] {
        let (host, came) = recorder();
        let discovery = Discovery::start();
        let proxy = start(&discovery, &[host]);
        let text = if framing.starts_with('C') { content.clone() } else { chunked(&content, 50_000) };
        let mut client = proxy.client();
        client.write(&request("unsafe", "700m", framing));
        let (first, rest) = text.split_at(150_000);
        assert!(say(&mut client.stream, first));
        assert_eq!(came.recv_timeout(LONG), Ok(None), "the host has some of it before it is whole");
        // Longer than the client waits for an answer, and slower than any: the rest comes in ten parts.
        for part in rest.chunks(rest.len() / 10 + 1) {
            thread::sleep(Duration::from_millis(100));
            assert!(say(&mut client.stream, part));
        }
        assert_eq!(client.answer().expect("an answer").status(), 200);
        assert_eq!(came.recv_timeout(LONG), Ok(Some(content.clone())), "{framing}");
    }
}

#[test]
fn a_large_request_that_broke_off_goes_nowhere_else_and_may_come_again() {
    let others = Arc::new(AtomicUsize::new(0));
    let hosts = [0, 1].map(|_| {
        let count = Arc::clone(&others);
        host(move |_, stream| {
            count.fetch_add(1, Ordering::SeqCst);
            // It reads some and resets the connection before the last byte has come.
            let _ = stream.read_exact(&mut [0; 80_000]);
            let _ = stream.get_mut().shutdown(std::net::Shutdown::Both);
        })
    });
    let discovery = Discovery::start();
    let proxy = start(&discovery, &hosts);
    let mut client = proxy.client();
    client.write(&request("unsafe", "5000m", "Content-Length: 20000000\r\n"));
    // The rest is read all the same, so that the client sees its answer.
    assert!(say(&mut client.stream, &pattern(20_000_000)));
    let answer = client.answer().expect("an answer");
    assert_eq!(answer.status(), 503, "the last byte was never written to a host: {}", answer.head);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(others.load(Ordering::SeqCst), 1);
    assert_eq!(client.call("safe", "900m").status(), 503, "the client's connection goes on");
}

#[test]
fn a_body_that_comes_to_a_halt_ends_its_request_in_time() {
    let (host, came) = recorder();
    let discovery = Discovery::start();
    let proxy = start(&discovery, &[host]);
    for sent in [0, 900, 100_000] {
        let mut client = proxy.client();
        client.write(&request("unsafe", "60000m", "Content-Length: 300000\r\n"));
        assert!(say(&mut client.stream, &pattern(sent)));
        let asked = Instant::now();
        let answer = client.answer().expect("an error");
        assert_eq!(answer.status(), 408, "{sent}");
        assert!(asked.elapsed() < Duration::from_secs(10), "{sent}: {:?}", asked.elapsed());
        assert!(client.answer().is_none(), "and its connection ends");
    }
    assert_eq!(came.try_iter().filter(Option::is_some).count(), 0, "none of them ran");
}

#[test]
fn whoever_takes_nothing_holds_the_other_side_up_and_no_memory() {
    let written = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&written);
    // Made before the first request: between a head and its body it would take longer than the client waits.
    let all = pattern(LARGE);
    let host = host(move |_, stream| {
        say(stream, format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n").as_bytes());
        for part in all.chunks(16_384) {
            if !say(stream, part) {
                return;
            }
            count.fetch_add(part.len(), Ordering::SeqCst);
        }
    });
    let discovery = Discovery::start();
    let proxy = start(&discovery, &[host]);
    let resident = || {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).expect("a process");
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("its memory").to_owned();
        line.split_whitespace().nth(1).and_then(|n| n.parse::<usize>().ok()).expect("a number")
    };
    let before = resident();
    let mut clients: Vec<Client> = (0..4).map(|_| proxy.client()).collect();
    for client in &mut clients {
        client.write(&request("safe", "2000m", "Content-Length: 0\r\n"));
    }
    let heads: Vec<String> = clients.iter_mut().map(|c| head(&mut c.stream).expect("a head")).collect();
    thread::sleep(SHORT * 2);
    assert!(resident() < before + 4 * 1_024, "{} from {before} kB", resident());
    assert!(written.load(Ordering::SeqCst) < 4 * LARGE, "the host is held up");
    for (head, client) in heads.iter().zip(&mut clients) {
        assert_eq!(body(head, &mut client.stream).map(|b| b.len()), Some(LARGE));
    }
}

#[test]
fn a_client_that_leaves_a_large_answer_takes_it_along() {
    let (left, gone) = channel();
    let host = host(move |_, stream| {
        say(stream, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        while say(stream, b"400\r\n") && say(stream, &[b'x'; 1_024]) && say(stream, b"\r\n") {}
        let _ = left.send(());
    });
    let discovery = Discovery::start();
    let proxy = start(&discovery, &[host]);
    let mut client = proxy.client();
    client.write(&request("safe", "2000m", "Content-Length: 0\r\n"));
    assert!(head(&mut client.stream).is_some());
    drop(client);
    gone.recv_timeout(LONG).expect("its connection to the host closes");
}

#[test]
fn slow_clients_that_make_progress_are_served() {
    let (host, came) = recorder();
    let discovery = Discovery::start();
    let proxy = start(&discovery, &[host]);
    let mut client = proxy.client();
    // Byte by byte, the head for more than a second, the body in chunks of three.
    let mut text = request("unsafe", "900m", "Transfer-Encoding: chunked\r\n").into_bytes();
    text.extend(chunked(b"slow but sure", 3));
    for byte in &text {
        assert!(say(&mut client.stream, &[*byte]));
        thread::sleep(Duration::from_millis(8));
    }
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert_eq!(came.try_iter().flatten().next().as_deref(), Some(b"slow but sure".as_slice()));
}

#[test]
fn a_client_that_expects_to_be_told_to_go_on_is() {
    let (host, came) = recorder();
    let discovery = Discovery::start();
    let proxy = start(&discovery, &[host]);
    let mut client = proxy.client();
    client.write(&request("unsafe", "900m", "Expect: 100-continue\r\nContent-Length: 100000\r\n"));
    let first = head(&mut client.stream).expect("a word");
    assert!(first.starts_with("HTTP/1.1 100"), "{first}");
    assert!(say(&mut client.stream, &pattern(100_000)));
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert_eq!(came.iter().flatten().next().map(|b| b.len()), Some(100_000));
    // And one that is not wanted is told that instead.
    client.write(&request("nobody", "900m", "Expect: 100-continue\r\nContent-Length: 100000\r\n"));
    assert_eq!(client.answer().expect("an answer").status(), 404);
}

#[test]
fn requests_written_at_once_are_answered_in_their_order() {
    let host = host(|head, stream| {
        let body = body(head, stream).unwrap_or_default();
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        say(stream, text.as_bytes());
        say(stream, &body);
    });
    let discovery = Discovery::start();
    let proxy = start(&discovery, &[host]);
    let mut client = proxy.client();
    let sizes = [3, 100_000, 0, 70_000, 7];
    let text: Vec<u8> = sizes
        .iter()
        .flat_map(|&size| {
            let head = request("safe", "5000m", &format!("Content-Length: {size}\r\n"));
            [head.into_bytes(), pattern(size)].concat()
        })
        .collect();
    assert!(say(&mut client.stream, &text));
    for size in sizes {
        let head = head(&mut client.stream).expect("a head");
        assert_eq!(body(&head, &mut client.stream), Some(pattern(size)), "{head}");
    }
}
