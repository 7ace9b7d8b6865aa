//! Client side of large requests and responses: slow uploads, slow reads, and pipelined requests.

use super::clients::{App, Connection, LATE_TOLERANCE_US, LATE_WAIT_US};
use super::http::{self, Message, MessageKind};
use super::record::{Observation, Shared, TransferProgress, Try, TryEnd};
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

/// Longest pause within a large response (DAYS, "Hard days").
const MAX_RESPONSE_PAUSE: Duration = Duration::from_micros(2_000_000 + LATE_TOLERANCE_US);
/// Most bytes that a slow client writes or reads at once.
const CHUNK_BYTES: usize = 8 * 1024;

/// How writing a request ended.
enum WriteEnd {
    /// The last byte was written.
    Complete,
    /// Response bytes arrived before the last byte was written.
    Answered,
    /// The connection ended before the last byte was written.
    Disconnected,
}

impl App {
    /// Runs a try with large bodies on an open connection. `None` if the connection ended before the first
    /// byte of a response.
    pub(super) async fn transfer(
        &self,
        (mut stream, mut buffer): Connection,
        spec: &TransferSpec,
        this_try: &mut Try,
    ) -> Option<TryEnd> {
        let shared = &self.shared;
        let timeout_us = this_try.deadline.saturating_sub(this_try.sent);
        let text = self.transfer_text(spec, this_try, timeout_us);
        let answered_early =
            match write_slowly(&mut stream, &mut buffer, &text, spec.request_write_rate).await {
                WriteEnd::Complete => {
                    let now = shared.now();
                    this_try.is_written = true;
                    this_try.progress.written = Some(now);
                    // The time limit counts from the last byte of the request.
                    this_try.deadline = now + timeout_us;
                    false
                }
                WriteEnd::Answered => true,
                WriteEnd::Disconnected => return None,
            };
        let give_up = shared.instant(this_try.deadline + LATE_TOLERANCE_US + LATE_WAIT_US);
        match timeout_at(give_up, http::wait_for_bytes(&mut stream, &mut buffer)).await {
            Ok(Ok(true)) => this_try.progress.first = Some(shared.now()),
            Ok(_) => return None,
            Err(_) => return Some(TryEnd::Silent),
        }
        let response = match self.read_slowly(&mut stream, &mut buffer, spec, this_try).await {
            Ok(response) => response,
            Err(end) => return Some(end),
        };
        let id = Shared::id(this_try.request, this_try.number);
        let bytes = shared.response_bytes(this_try.request, this_try.number);
        let end = self.end_of(&response, &id, bytes);
        if !matches!(end, TryEnd::Served(_)) {
            // An error response is small: its last byte must arrive by the deadline.
            this_try.progress.first = None;
        }
        let mut is_open = !response.closes() && !answered_early;
        if spec.pipelined {
            is_open =
                self.read_pipelined(&mut stream, &mut buffer, this_try, response.closes()).await && is_open;
        }
        if !buffer.is_empty() {
            shared.record(Observation::UnsolicitedResponse { proxy: self.proxy, at: shared.now() });
        } else if is_open {
            self.reuse_large((stream, buffer));
        }
        Some(end)
    }

    /// The request, followed by a second one if the class pipelines requests.
    fn transfer_text(&self, spec: &TransferSpec, this_try: &Try, timeout_us: Micros) -> String {
        let class = &self.shared.scenario.classes[self.shared.arrivals[this_try.request].class];
        let id = Shared::id(this_try.request, this_try.number);
        let head = |method: &str, id: &str| {
            let name = &class.name;
            format!(
                "{method} /{name} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
                 X-Timeout: {timeout_us}u\r\n"
            )
        };
        let body = upload(&id, self.shared.request_bytes(this_try.request).unwrap_or(1));
        let request = match class.idempotency {
            IdempotencySpec::Idempotent => head("GET", &id) + "\r\n",
            IdempotencySpec::NonIdempotent => {
                format!("{}Content-Length: {}\r\n\r\n{body}", head("POST", &id), body.len())
            }
        };
        let pipelined = Shared::id(this_try.request, Shared::pipelined(this_try.number));
        request + &if spec.pipelined { head("GET", &pipelined) + "\r\n" } else { String::new() }
    }

    /// Reads the rest of a response: at the client's rate until the scenario ends, then without pauses.
    async fn read_slowly(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        spec: &TransferSpec,
        this_try: &mut Try,
    ) -> Result<Message, TryEnd> {
        let scenario_end = self.shared.at(self.shared.scenario.duration);
        loop {
            this_try.progress.read = buffer.len();
            this_try.progress.last = Some(self.shared.now());
            match Message::parse(buffer, MessageKind::Response) {
                Ok(Some(response)) => return Ok(response),
                Ok(None) => {}
                Err(_) => return Err(TryEnd::Foreign),
            }
            let mut limited = (&mut *buffer).limit(CHUNK_BYTES);
            match timeout(MAX_RESPONSE_PAUSE, stream.read_buf(&mut limited)).await {
                Ok(Ok(bytes)) if bytes > 0 => {
                    if self.shared.now() < scenario_end {
                        sleep(pace(bytes, spec.response_read_rate)).await;
                    }
                }
                Ok(_) => return Err(TryEnd::Lost),
                Err(_) => return Err(TryEnd::HeldBack),
            }
        }
    }

    /// Reads the response to the pipelined request, which counts as a separate try. Returns whether the
    /// connection stays open.
    async fn read_pipelined(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        first: &Try,
        is_closed: bool,
    ) -> bool {
        let shared = &self.shared;
        let sent = shared.now();
        let number = Shared::pipelined(first.number);
        let class = &shared.scenario.classes[shared.arrivals[first.request].class];
        let deadline = sent + class.client_timeout;
        let pipelined = Try {
            number,
            sent,
            deadline,
            is_written: true,
            progress: TransferProgress { written: first.progress.written, ..TransferProgress::default() },
            ..first.clone()
        };
        let give_up = shared.instant(deadline + LATE_TOLERANCE_US + LATE_WAIT_US);
        let response = match is_closed {
            true => Ok(Err(ErrorKind::UnexpectedEof.into())),
            false => timeout_at(give_up, http::read(stream, buffer, MessageKind::Response)).await,
        };
        let ended = shared.now();
        let (end, resent, is_open) = match response {
            Ok(Ok(response)) => {
                let id = Shared::id(first.request, number);
                (self.end_of(&response, &id, None), None, !response.closes())
            }
            Ok(Err(e)) if e.kind() == ErrorKind::InvalidData => (TryEnd::Foreign, None, false),
            // A client would resend it on another connection, which is safe unless the proxy had forwarded
            // it.
            Ok(Err(_)) => (TryEnd::Unreachable, Some(ended), false),
            Err(_) => (TryEnd::Silent, None, false),
        };
        shared.record(Observation::TryEnded(Try { ended, end, resent, ..pipelined }));
        is_open
    }
}

/// Writes a request at `rate` bytes per second, and stops early if the peer answers or closes the connection.
async fn write_slowly(stream: &mut TcpStream, buffer: &mut BytesMut, text: &str, rate: usize) -> WriteEnd {
    for chunk in text.as_bytes().chunks(CHUNK_BYTES) {
        match stream.try_read_buf(buffer) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Ok(bytes) if bytes > 0 => return WriteEnd::Answered,
            _ => return WriteEnd::Disconnected,
        }
        if stream.write_all(chunk).await.is_err() {
            // A response may have arrived before the connection failed.
            return match stream.try_read_buf(buffer) {
                Ok(bytes) if bytes > 0 => WriteEnd::Answered,
                _ => WriteEnd::Disconnected,
            };
        }
        if chunk.len() == CHUNK_BYTES {
            sleep(pace(CHUNK_BYTES, rate)).await;
        }
    }
    WriteEnd::Complete
}
