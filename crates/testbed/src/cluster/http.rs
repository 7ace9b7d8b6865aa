//! HTTP/1.1 messages of the rig's own parties: a head that `httparse` reads, and a body of a stated length.

use bytes::BytesMut;
use std::io::{Error, ErrorKind, Result};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Headers that a message may have.
const HEADERS: usize = 64;

/// A message.
#[derive(Clone, Debug)]
pub struct Message {
    /// Method and path, or the status and nothing.
    pub first: (String, String),
    headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// Which side's messages are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Requests.
    Asks,
    /// Answers.
    Answers,
}

impl Message {
    /// A header's text, whatever the case of its name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, text)| text.as_str())
    }

    /// The status of an answer; 0 for none.
    pub fn status(&self) -> u16 {
        self.first.0.parse().unwrap_or(0)
    }

    /// The connection ends after it.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|text| text.eq_ignore_ascii_case("close"))
    }

    /// Takes a whole message out of what has been read.
    pub(super) fn take(buffer: &mut BytesMut, side: Side) -> Result<Option<Message>> {
        let mut room = [httparse::EMPTY_HEADER; HEADERS];
        let odd = |e| Error::new(ErrorKind::InvalidData, format!("no HTTP: {e}"));
        let (length, first, headers) = match side {
            Side::Asks => {
                let mut head = httparse::Request::new(&mut room);
                let httparse::Status::Complete(length) = head.parse(buffer).map_err(odd)? else {
                    return Ok(None);
                };
                let text = |part: Option<&str>| part.unwrap_or_default().to_owned();
                (length, (text(head.method), text(head.path)), texts(head.headers))
            }
            Side::Answers => {
                let mut head = httparse::Response::new(&mut room);
                let httparse::Status::Complete(length) = head.parse(buffer).map_err(odd)? else {
                    return Ok(None);
                };
                (length, (head.code.unwrap_or(0).to_string(), String::new()), texts(head.headers))
            }
        };
        let mut message = Message { first, headers, body: Vec::new() };
        if message.header("transfer-encoding").is_some() {
            return Err(Error::new(ErrorKind::InvalidData, "a body in pieces, which the rig does not read"));
        }
        let stated = message.header("content-length").map(str::parse::<usize>);
        let body = match stated {
            None => 0,
            Some(Ok(body)) => body,
            Some(Err(_)) => return Err(Error::new(ErrorKind::InvalidData, "a Content-Length that is none")),
        };
        if buffer.len() < length + body {
            return Ok(None);
        }
        let whole = buffer.split_to(length + body);
        message.body = whole[length..].to_vec();
        Ok(Some(message))
    }
}

fn texts(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let text = |h: &httparse::Header<'_>| (h.name.to_owned(), String::from_utf8_lossy(h.value).into_owned());
    headers.iter().map(text).collect()
}

/// Waits until something has come. False: the other side has closed.
///
/// # Errors
/// The connection has broken.
pub async fn begun(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<bool> {
    Ok(!buffer.is_empty() || stream.read_buf(buffer).await? > 0)
}

/// Reads a message.
///
/// # Errors
/// The connection has broken or ended before its last byte, or it is none.
pub async fn read(stream: &mut TcpStream, buffer: &mut BytesMut, side: Side) -> Result<Message> {
    loop {
        if let Some(message) = Message::take(buffer, side)? {
            return Ok(message);
        }
        if stream.read_buf(buffer).await? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
    }
}

/// An answer as text.
pub fn answer(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Waits until the other side has closed. Bytes that come instead are left; they end the watch.
pub async fn closed(stream: &TcpStream) {
    let mut byte = [0];
    if let Ok(1) = stream.peek(&mut byte).await {
        std::future::pending().await
    }
}

/// Ends a connection with a reset.
pub fn reset(stream: TcpStream) {
    // Without the option it is an ordinary end, which the other side sees too.
    let _ = socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO));
    drop(stream);
}
