//! Stub endpoints and messages with large bodies, framed by `Content-Length` or by chunked encoding.

use super::{entry, fresh_id, Discovery, Proxy};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// Starts an endpoint that calls `serve` for each request, with its head and the stream positioned after it.
pub fn endpoint(serve: impl Fn(&str, &mut BufReader<TcpStream>) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    serve_connections(listener, serve);
    address
}

/// Accepts connections on its own thread and calls `serve` for each request on them.
pub fn serve_connections(
    listener: TcpListener,
    serve: impl Fn(&str, &mut BufReader<TcpStream>) + Send + Sync + 'static,
) {
    let _ = listener.set_nonblocking(false);
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
}

/// Reads the head of a message. None at the end of the connection.
pub fn head(stream: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if stream.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

pub fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = head.lines().filter_map(|l| l.split_once(':'));
    fields.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim())
}

/// Reads the complete body that follows `head`. None if it is truncated.
pub fn body(head: &str, stream: &mut impl BufRead) -> Option<Vec<u8>> {
    if header_value(head, "transfer-encoding").is_none() {
        let mut body =
            vec![0; header_value(head, "content-length").map_or(0, |l| l.parse().expect("a length"))];
        return stream.read_exact(&mut body).ok().map(|()| body);
    }
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).ok()?;
        let mut chunk = vec![0; usize::from_str_radix(line.trim(), 16).ok()?];
        stream.read_exact(&mut chunk).ok()?;
        stream.read_line(&mut line).ok()?;
        if chunk.is_empty() {
            return Some(body);
        }
        body.extend(chunk);
    }
}

pub fn start(discovery: &Discovery, endpoints: &[SocketAddr]) -> Proxy {
    let known: Vec<String> =
        endpoints.iter().zip(1..).map(|(&a, n)| entry(&format!("s-{n}"), a, "up", 0)).collect();
    Proxy::start(discovery, &known)
}

pub fn request_head(class: &str, time: &str, framing: &str) -> String {
    let id = fresh_id();
    format!("POST /{class} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Timeout: {time}\r\n{framing}\r\n")
}

pub fn test_pattern(size: usize) -> Vec<u8> {
    (0..size).map(|n| (n / 7 % 251) as u8).collect()
}

/// The last chunk, of length zero, which ends a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Encodes one chunk of a chunked body.
pub fn chunk(content: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", content.len()).as_bytes(), content, b"\r\n"].concat()
}

/// Encodes a complete body in chunks of `size` bytes.
pub fn chunked(body: &[u8], size: usize) -> Vec<u8> {
    let mut text = body.chunks(size).map(chunk).collect::<Vec<_>>().concat();
    text.extend(LAST_CHUNK);
    text
}

/// Writes the bytes; false if the connection has failed.
pub fn send_bytes(stream: &mut BufReader<TcpStream>, bytes: &[u8]) -> bool {
    stream.get_mut().write_all(bytes).is_ok()
}
