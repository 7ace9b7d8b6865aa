//! Large requests and responses at a client's pace: slow uploads, slow readers, and requests that are written ahead.

use super::clients::{App, Open, SLACK, WATCH};
use super::http::{self, Message, MessageKind};
use super::record::{Moved, Observation, Shared, Try, TryEnd};
use super::servers::upload;
use super::slow_stream::pace;
use bytes::{BufMut, BytesMut};
use oakport_core::Micros;
use oakport_simulator::scenario::{IdempotencySpec, TransferSpec};
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, timeout_at};

/// The rest of a large response may be held back for less than this (the bench's page, "Hard days").
const MAX_HELD_BACK: Duration = Duration::from_micros(2_000_000 + SLACK);
/// What a slow client writes or reads at a time.
const CHUNK_BYTES: usize = 8 * 1024;

/// How the writing of a request ended.
enum Written {
    /// With its last byte.
    Completely,
    /// A response came before that.
    Answered,
    /// The connection ended before that.
    Ended,
}

impl App {
    /// One try with large bodies on this connection. None: the connection ended before anything of a response had come.
    pub(super) async fn transfer(
        &self,
        (mut stream, mut buffer): Open,
        spec: &TransferSpec,
        done: &mut Try,
    ) -> Option<TryEnd> {
        let shared = &self.shared;
        let time = done.deadline.saturating_sub(done.sent);
        let text = self.transfer_text(spec, done, time);
        let early = match write_slowly(&mut stream, &mut buffer, &text, spec.request_write_rate).await {
            Written::Completely => {
                let now = shared.now();
                done.is_written = true;
                done.moved.written = Some(now);
                // Its time counts from its last byte.
                done.deadline = now + time;
                false
            }
            Written::Answered => true,
            Written::Ended => return None,
        };
        let watched = shared.instant(done.deadline + SLACK + WATCH);
        match timeout_at(watched, http::wait_for_bytes(&mut stream, &mut buffer)).await {
            Ok(Ok(true)) => done.moved.first = Some(shared.now()),
            Ok(_) => return None,
            Err(_) => return Some(TryEnd::Silent),
        }
        let answer = match self.read_slowly(&mut stream, &mut buffer, spec, done).await {
            Ok(answer) => answer,
            Err(end) => return Some(end),
        };
        let id = Shared::id(done.request, done.number);
        let bytes = shared.response_bytes(done.request, done.number);
        let end = self.end_of(&answer, &id, bytes);
        if !matches!(end, TryEnd::Served(_)) {
            // It is small, and in time by its last byte.
            done.moved.first = None;
        }
        let mut is_open = !answer.closes() && !early;
        if spec.pipelined {
            is_open = self.read_ahead(&mut stream, &mut buffer, done, answer.closes()).await && is_open;
        }
        if !buffer.is_empty() {
            shared.record(Observation::UnsolicitedResponse { proxy: self.proxy, at: shared.now() });
        } else if is_open {
            self.keep_large((stream, buffer));
        }
        Some(end)
    }

    /// The request, and the next one behind it if it is written ahead.
    fn transfer_text(&self, spec: &TransferSpec, done: &Try, time: Micros) -> String {
        let class = &self.shared.day.classes[self.shared.arrivals[done.request].class];
        let id = Shared::id(done.request, done.number);
        let head = |method: &str, id: &str| {
            let name = &class.name;
            format!("{method} /{name} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Timeout: {time}u\r\n")
        };
        let body = upload(&id, self.shared.request_bytes(done.request).unwrap_or(1));
        let own = match class.idempotency {
            IdempotencySpec::Idempotent => head("GET", &id) + "\r\n",
            IdempotencySpec::NonIdempotent => {
                format!("{}Content-Length: {}\r\n\r\n{body}", head("POST", &id), body.len())
            }
        };
        let ahead = Shared::id(done.request, Shared::ahead(done.number));
        own + &if spec.pipelined { head("GET", &ahead) + "\r\n" } else { String::new() }
    }

    /// The rest of an answer, read at the client's pace while the day lasts and at once after it.
    async fn read_slowly(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        spec: &TransferSpec,
        done: &mut Try,
    ) -> Result<Message, TryEnd> {
        let day_end = self.shared.at(self.shared.day.duration);
        loop {
            done.moved.read = buffer.len();
            done.moved.last = Some(self.shared.now());
            match Message::parse(buffer, MessageKind::Response) {
                Ok(Some(answer)) => return Ok(answer),
                Ok(None) => {}
                Err(_) => return Err(TryEnd::Foreign),
            }
            let mut room = (&mut *buffer).limit(CHUNK_BYTES);
            match timeout(MAX_HELD_BACK, stream.read_buf(&mut room)).await {
                Ok(Ok(bytes)) if bytes > 0 => {
                    if self.shared.now() < day_end {
                        sleep(pace(bytes, spec.response_read_rate)).await;
                    }
                }
                Ok(_) => return Err(TryEnd::Lost),
                Err(_) => return Err(TryEnd::HeldBack),
            }
        }
    }

    /// The answer to the request that was written ahead, a try of its own. False: the connection has ended.
    async fn read_ahead(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        first: &Try,
        is_closed: bool,
    ) -> bool {
        let shared = &self.shared;
        let (sent, number) = (shared.now(), Shared::ahead(first.number));
        let class = &shared.day.classes[shared.arrivals[first.request].class];
        let deadline = sent + class.client_timeout;
        let ahead = Try {
            number,
            sent,
            deadline,
            is_written: true,
            moved: Moved { written: first.moved.written, ..Moved::default() },
            ..first.clone()
        };
        let watched = shared.instant(deadline + SLACK + WATCH);
        let answer = match is_closed {
            true => Ok(Err(ErrorKind::UnexpectedEof.into())),
            false => timeout_at(watched, http::read(stream, buffer, MessageKind::Response)).await,
        };
        let ended = shared.now();
        let (end, again, is_open) = match answer {
            Ok(Ok(answer)) => {
                let id = Shared::id(first.request, number);
                (self.end_of(&answer, &id, None), None, !answer.closes())
            }
            Ok(Err(e)) if e.kind() == ErrorKind::InvalidData => (TryEnd::Foreign, None, false),
            // It would be sent once more on another connection, which is right unless it had been sent on.
            Ok(Err(_)) => (TryEnd::Unreachable, Some(ended), false),
            Err(_) => (TryEnd::Silent, None, false),
        };
        shared.record(Observation::TryEnded(Try { ended, end, again, ..ahead }));
        is_open
    }
}

/// Writes a request at this pace until its last byte, or until the other side does something first.
async fn write_slowly(stream: &mut TcpStream, buffer: &mut BytesMut, text: &str, rate: usize) -> Written {
    for chunk in text.as_bytes().chunks(CHUNK_BYTES) {
        match stream.try_read_buf(buffer) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Ok(bytes) if bytes > 0 => return Written::Answered,
            _ => return Written::Ended,
        }
        if stream.write_all(chunk).await.is_err() {
            // A response may have come before the end.
            return match stream.try_read_buf(buffer) {
                Ok(bytes) if bytes > 0 => Written::Answered,
                _ => Written::Ended,
            };
        }
        if chunk.len() == CHUNK_BYTES {
            sleep(pace(CHUNK_BYTES, rate)).await;
        }
    }
    Written::Completely
}
