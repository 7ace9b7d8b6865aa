//! HTTP/1.1 messages of the test cluster's own clients and servers: a head that `httparse` parses, and a body
//! with a Content-Length.

use bytes::BytesMut;
use std::io::{Error, ErrorKind, Result};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

const MAX_HEADERS: usize = 64;

/// A request or a response.
#[derive(Clone, Debug)]
pub struct Message {
    /// Method and path of a request; status and an empty string of a response.
    pub start_line: (String, String),
    headers: Vec<(String, String)>,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
}

/// Whether requests or responses are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Requests.
    Request,
    /// Responses.
    Response,
}

impl Message {
    /// Returns a header's value; the case of its name does not matter.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, text)| text.as_str())
    }

    /// Returns the status of a response; 0 for a request.
    pub fn status(&self) -> u16 {
        self.start_line.0.parse().unwrap_or(0)
    }

    /// Whether the connection closes after this message.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|text| text.eq_ignore_ascii_case("close"))
    }

    /// Parses and removes a complete message from the buffer; `None` while its last byte is missing.
    pub(super) fn parse(buffer: &mut BytesMut, kind: MessageKind) -> Result<Option<Message>> {
        let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let invalid = |e| Error::new(ErrorKind::InvalidData, format!("invalid HTTP message head: {e}"));
        let (length, start_line, headers) = match kind {
            MessageKind::Request => {
                let mut head = httparse::Request::new(&mut header_slots);
                let httparse::Status::Complete(length) = head.parse(buffer).map_err(invalid)? else {
                    return Ok(None);
                };
                let text = |part: Option<&str>| part.unwrap_or_default().to_owned();
                (length, (text(head.method), text(head.path)), owned_headers(head.headers))
            }
            MessageKind::Response => {
                let mut head = httparse::Response::new(&mut header_slots);
                let httparse::Status::Complete(length) = head.parse(buffer).map_err(invalid)? else {
                    return Ok(None);
                };
                (length, (head.code.unwrap_or(0).to_string(), String::new()), owned_headers(head.headers))
            }
        };
        let mut message = Message { start_line, headers, body: Vec::new() };
        if message.header("transfer-encoding").is_some() {
            return Err(Error::new(
                ErrorKind::InvalidData,
                "unsupported header Transfer-Encoding: bodies need a Content-Length",
            ));
        }
        let content_length = message.header("content-length").map(str::parse::<usize>);
        let body = match content_length {
            None => 0,
            Some(Ok(body)) => body,
            Some(Err(_)) => return Err(Error::new(ErrorKind::InvalidData, "invalid Content-Length")),
        };
        if buffer.len() < length + body {
            return Ok(None);
        }
        let bytes = buffer.split_to(length + body);
        message.body = bytes[length..].to_vec();
        Ok(Some(message))
    }
}

fn owned_headers(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let text = |h: &httparse::Header<'_>| (h.name.to_owned(), String::from_utf8_lossy(h.value).into_owned());
    headers.iter().map(text).collect()
}

/// Waits until the buffer is not empty; `false` if the peer closes the connection first.
///
/// # Errors
/// The connection has failed.
pub async fn wait_for_bytes(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<bool> {
    Ok(!buffer.is_empty() || stream.read_buf(buffer).await? > 0)
}

/// Reads a complete message.
///
/// # Errors
/// The connection has failed or closed before the message was complete, or the message is invalid.
pub async fn read(stream: &mut TcpStream, buffer: &mut BytesMut, kind: MessageKind) -> Result<Message> {
    loop {
        if let Some(message) = Message::parse(buffer, kind)? {
            return Ok(message);
        }
        if stream.read_buf(buffer).await? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Formats a response with a Content-Length.
pub fn format_response(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Waits until the peer closes the connection. If a byte arrives first, it stays unread and the wait never
/// ends.
pub async fn wait_until_closed(stream: &TcpStream) {
    let mut byte = [0];
    if let Ok(1) = stream.peek(&mut byte).await {
        std::future::pending().await
    }
}

/// Closes a connection with a TCP reset.
pub fn reset(stream: TcpStream) {
    // If the option cannot be set, the connection closes with a FIN, which the peer notices too.
    let _ = socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO));
    drop(stream);
}
