//! Reads and classifies an endpoint's response, until it is complete or streaming to the client begins.

use crate::body::{buffer_bytes, MemoryLimit, MemoryReservation, MAX_BUFFERED_BODY_BYTES};
use crate::clock::sleep_until;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::http::response::Parts;
use hyper::StatusCode;
use oakport_core::Outcome;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A response of unknown length is streamed if it is not complete this long after its first bytes.
const COMPLETE_RESPONSE_WAIT: Duration = Duration::from_millis(100);
/// An endpoint that neither sends nor accepts data for this long has stalled.
pub const MAX_STALL: Duration = Duration::from_secs(10);
/// The same for a long response of which a part has come: an endpoint may hang for 25 s and go on (BENCH).
pub const MAX_LONG_RESPONSE_STALL: Duration = Duration::from_secs(30);

const NOT_PROCESSED_HEADER: &str = "x-not-processed";

/// The part of a response body that was read before anything was sent to the client.
pub enum ResponseBody {
    /// The complete body.
    Complete(Bytes),
    /// The beginning of a body that is not buffered completely.
    Partial(PartialBody),
}

/// The beginning of a body, and the rest that is still to arrive.
pub struct PartialBody {
    pub first_chunk: Bytes,
    pub rest: Incoming,
}

impl PartialBody {
    /// The length of the complete body in bytes, if the response head states it.
    pub fn length(&self) -> Option<u64> {
        let remaining = self.rest.size_hint().exact()?;
        Some(remaining + self.first_chunk.len() as u64)
    }
}

/// Reads a body until it is complete, or too large or too slow to be buffered. `None` if the body was
/// truncated, which includes a body that ended with its connection although the head did not announce that,
/// or if an undelimited body exceeded the buffer. Once `overdue` is notified, a body that may be too large is
/// returned as it is, even if it has yet to begin.
pub async fn read_body(
    head: &Parts,
    mut body: Incoming,
    reservation: &mut MemoryReservation,
    memory: &MemoryLimit,
    overdue: &Notify,
) -> Option<ResponseBody> {
    let length = body.size_hint().exact();
    let is_delimited = is_delimited(head);
    let is_large = length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES as u64);
    // The memory for a body of known length is reserved at once.
    let buffered_length = length.filter(|_| !is_large).unwrap_or_default() as usize;
    let mut buffered = BytesMut::new();
    let mut first_chunk_at: Option<Instant> = None;
    loop {
        let may_stream_later = is_delimited && length.is_none();
        let stream_from = first_chunk_at.filter(|_| may_stream_later).map(|at| at + COMPLETE_RESPONSE_WAIT);
        let frame = tokio::select! {
            biased;
            frame = body.frame() => Some(frame),
            () = sleep_until(stream_from) => None,
            () = overdue.notified(), if may_stream_later || (is_delimited && is_large) => None,
        };
        match frame {
            Some(Some(frame)) => {
                if let Ok(chunk) = frame.ok()?.into_data() {
                    first_chunk_at = first_chunk_at.or(Some(Instant::now()));
                    let received_bytes = buffered.len() + chunk.len();
                    if buffered.capacity() < received_bytes {
                        let size_bytes =
                            if buffered_length > 0 { buffered_length } else { buffer_bytes(received_bytes) };
                        memory.reserve(reservation, size_bytes).await;
                        buffered.reserve(size_bytes.max(received_bytes) - buffered.len());
                    }
                    buffered.extend_from_slice(&chunk);
                }
            }
            Some(None) => return is_delimited.then(|| ResponseBody::Complete(buffered.freeze())),
            None => return Some(partial(buffered, body)),
        }
        let exceeds_buffer = buffered.len() > MAX_BUFFERED_BODY_BYTES;
        if is_delimited && (is_large || exceeds_buffer) && !buffered.is_empty() {
            return Some(partial(buffered, body));
        }
        if exceeds_buffer {
            return None;
        }
    }
}

fn partial(buffered: BytesMut, rest: Incoming) -> ResponseBody {
    ResponseBody::Partial(PartialBody { first_chunk: buffered.freeze(), rest })
}

/// Whether the head states where the body ends. A body that ends with its connection counts only if the head
/// announces that the connection closes: otherwise the connection may have been lost (RFC 9112, 6.3).
fn is_delimited(head: &Parts) -> bool {
    let is_close = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"close");
    head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING)
        || head.headers.get_all(header::CONNECTION).iter().any(is_close)
        || head.status == StatusCode::NO_CONTENT
}

/// Derives the outcome of an attempt from the response head.
pub fn classify(head: &Parts) -> Outcome {
    let is_not_processed =
        head.headers.get(NOT_PROCESSED_HEADER).is_some_and(|value| value.as_bytes() == b"1");
    match head.status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_not_processed => {
            Outcome::Rejected
        }
        StatusCode::TOO_MANY_REQUESTS => Outcome::Error,
        status if status.is_client_error() => Outcome::InvalidRequest,
        _ => Outcome::Error,
    }
}
