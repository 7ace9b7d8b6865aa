//! Executes one attempt: obtains a connection, sends the request, and reads or streams the response.

use crate::body::{
    CountedBytes, DetachRequest, MemoryReservation, RequestStream, WriteProgress, STREAMED_BODY_BYTES,
};
use crate::request::{unshared, Request};
use crate::response::{AttemptResult, CompleteResponse, StreamingResponse};
use crate::socket::Socket;
use crate::upstream::connection::UpstreamConnection;
use crate::upstream::early_response::SentRequest;
use crate::upstream::load_report;
use crate::upstream::pool::{ConnectError, ConnectionPool, Target};
use crate::upstream::response::{classify, read_body, PartialBody, ResponseBody, MAX_STALL};
use crate::upstream::response_forwarder::{Interruption, ReadPause, ReceiveOutcome, ResponseForwarder};
use hyper::body::Incoming;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use oakport_core::{ClassId, Micros, Outcome};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tracing::warn;

/// The upload of a streamed request that makes no progress counts as stalled after the time left to the client
/// or, if longer, after this time.
const MIN_UPLOAD_STALL: Duration = Duration::from_secs(1);
/// How often the progress of a streamed request is checked.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

const TIMEOUT_HEADER: &str = "x-timeout";
/// Hop-by-hop headers (RFC 9110, 7.6.1), and headers that the proxy writes itself.
const HEADERS_NOT_FORWARDED: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    TIMEOUT_HEADER,
];

/// The interface of an attempt to the call that it belongs to.
pub trait AttemptOwner {
    /// The time left until the attempt times out, in microseconds.
    fn remaining_time(&self) -> Micros;

    /// The class of the request.
    fn class(&self) -> ClassId;

    /// Whether the first byte may be written now. Checked once a connection has been obtained, because
    /// meanwhile the call may have ended or timed out, or its endpoint may have begun to drain or been
    /// replaced by another process.
    fn may_start(&self) -> bool;

    /// Records that the head of a 200 answer has arrived. From now on the attempt does not time out before its call.
    /// The result is notified when the answer must be passed on, even if its body has yet to begin.
    fn record_answer_head(&self) -> Rc<Notify>;

    /// Starts streaming a response to the client. Returns false if the call has ended and the response is not
    /// used.
    fn start_response(&self, response: StreamingResponse) -> bool;

    /// Reports a streamed response that ended before its last byte.
    fn report_incomplete(&self, response: &IncompleteResponse);
}

/// A streamed response that ended before its last byte.
#[derive(Debug)]
pub struct IncompleteResponse {
    /// Bytes of the body read from the endpoint.
    pub received_bytes: u64,
    /// Bytes of the body forwarded to the client.
    pub forwarded_bytes: u64,
    /// The length of the complete body in bytes, if the response head states it.
    pub length: Option<u64>,
    /// The last time that reading paused although the endpoint may have had more data.
    pub last_read_pause: Option<ReadPause>,
    /// The memory that was still available for bodies, in bytes.
    pub available_memory_bytes: usize,
    /// Why the response ended early.
    pub error: Interruption,
}

/// The head of a response, and the part of its body read so far.
struct ReceivedResponse {
    head: Parts,
    body: ResponseBody,
}

impl ReceivedResponse {
    /// Whether this is a 200 response with its complete body.
    fn is_served_completely(&self) -> bool {
        classify(&self.head) == Outcome::Served && matches!(self.body, ResponseBody::Complete(_))
    }
}

/// The outcome of sending a request on a connection and reading its response.
enum ExchangeOutcome {
    /// A response has arrived, completely or in part.
    Received(ReceivedResponse),
    /// The connection ended, or the endpoint stalled.
    Failed,
    /// No byte of the request was written, because the reused connection had received unsolicited data.
    NotWritten,
}

/// A body of which the beginning has been buffered, and the memory of the beginning.
struct BufferedBeginning {
    body: PartialBody,
    memory: MemoryReservation,
}

/// Makes one attempt and returns its result.
pub async fn attempt(
    pool: &Rc<ConnectionPool>,
    target: Target,
    request: &Request,
    owner: &impl AttemptOwner,
) -> AttemptResult {
    if request.upload.as_ref().is_some_and(|upload| !upload.is_unread()) {
        // A body of which a part has been streamed to an endpoint cannot be sent to another one.
        return Outcome::NotSent.into();
    }
    loop {
        let mut connection = match obtain_connection(pool, &target, owner).await {
            Ok(connection) => connection,
            Err(error) => return Outcome::from(error).into(),
        };
        if !owner.may_start() {
            pool.return_unused(&target, connection).await;
            return Outcome::NotSent.into();
        }
        if request.upload.as_ref().is_some_and(|upload| !upload.try_claim()) {
            return Outcome::NotSent.into();
        }
        let remaining_time = owner.remaining_time();
        let message = upstream_request(request, remaining_time, &connection.write_progress);
        let Some(message) = message else { return Outcome::NotSent.into() };
        connection.record_head(head_bytes(&message));
        let sent = SentRequest {
            class: owner.class(),
            at: pool.clock.now(),
            is_connection_reused: connection.has_carried_request(),
            remaining_time,
        };
        let mut reservation = MemoryReservation::default();
        let progress = Rc::clone(&connection.write_progress);
        let stalled = upload_stalled(progress, connection.socket().clone(), request, remaining_time);
        match exchange(pool, &mut connection, stalled, message, &mut reservation, owner).await {
            ExchangeOutcome::Received(received) => {
                let may_be_early = request.upload.is_none() && received.is_served_completely();
                if may_be_early && !sent.is_confirmed(pool, &mut connection).await {
                    pool.record_unsolicited_data(&target);
                    return fail(connection, request).await;
                }
                return finish(pool, target, connection, received, reservation, owner).await;
            }
            ExchangeOutcome::Failed => {
                log_unsolicited_end(&connection, pool.memory.available_bytes());
                return fail(connection, request).await;
            }
            ExchangeOutcome::NotWritten => pool.record_unsolicited_data(&target),
        }
        if request.upload.is_some() {
            return fail(connection, request).await;
        }
    }
}

/// Logs that an exchange failed because the endpoint sent more than its response.
fn log_unsolicited_end(connection: &UpstreamConnection, available_memory_bytes: usize) {
    if connection.has_unsolicited_data() {
        let is_request_written = connection.write_progress.is_complete();
        warn!(is_request_written, available_memory_bytes, "unsolicited data ended an exchange");
    }
}

/// Delivers a response, complete or as a stream, and returns its connection to the pool.
async fn finish(
    pool: &Rc<ConnectionPool>,
    target: Target,
    connection: UpstreamConnection,
    received: ReceivedResponse,
    reservation: MemoryReservation,
    owner: &impl AttemptOwner,
) -> AttemptResult {
    let ReceivedResponse { head, body } = received;
    let outcome = classify(&head);
    let load = load_report::from_headers(&head.headers);
    let content_type = head.headers.get(header::CONTENT_TYPE).map(unshared);
    // The head keeps the buffer allocated that it was read into.
    drop(head);
    match body {
        ResponseBody::Complete(body) => {
            pool.return_after_response(&target, connection).await;
            let is_served = outcome == Outcome::Served;
            let body = CountedBytes::new(body, reservation);
            let response = is_served.then_some(CompleteResponse { body, content_type });
            AttemptResult { outcome, load, response }
        }
        ResponseBody::Partial(body) if outcome == Outcome::Served => {
            let mut streaming_reservation = MemoryReservation::default();
            pool.memory.reserve(&mut streaming_reservation, STREAMED_BODY_BYTES).await;
            let body = BufferedBeginning { body, memory: reservation };
            match stream_response(pool, &target, connection, body, content_type, owner).await {
                Some(outcome) => AttemptResult { outcome, load, response: None },
                None => Outcome::Cancelled.into(),
            }
        }
        // The rest of any other response is discarded together with its connection.
        ResponseBody::Partial(_) => AttemptResult { outcome, load, response: None },
    }
}

/// Checks out a pooled connection, or opens a new one if none is available.
async fn obtain_connection(
    pool: &Rc<ConnectionPool>,
    target: &Target,
    owner: &impl AttemptOwner,
) -> Result<UpstreamConnection, ConnectError> {
    match pool.checkout(target, owner.remaining_time()).await {
        Some(connection) => Ok(connection),
        None => pool.connect(target).await,
    }
}

/// Sends a request and reads its response. Fails once the upload has `stalled`.
async fn exchange(
    pool: &ConnectionPool,
    connection: &mut UpstreamConnection,
    stalled: impl Future<Output = ()>,
    message: hyper::Request<RequestStream>,
    reservation: &mut MemoryReservation,
    owner: &impl AttemptOwner,
) -> ExchangeOutcome {
    let sent = connection.sender.send_request(message);
    let received = tokio::select! {
        received = receive(pool, connection, sent, reservation, owner) => received,
        () = stalled => None,
    };
    match received {
        Some(received) => ExchangeOutcome::Received(received),
        None if connection.has_refused_request() => ExchangeOutcome::NotWritten,
        None => ExchangeOutcome::Failed,
    }
}

/// Receives the response to a request that is being `sent`. `None` if the connection ends first or the response is
/// invalid.
async fn receive(
    pool: &ConnectionPool,
    connection: &mut UpstreamConnection,
    sent: impl Future<Output = hyper::Result<hyper::Response<Incoming>>>,
    reservation: &mut MemoryReservation,
    owner: &impl AttemptOwner,
) -> Option<ReceivedResponse> {
    let response = connection.drive(&pool.metrics, sent).await?;
    let (head, body) = response.ok()?.into_parts();
    let is_served = classify(&head) == Outcome::Served;
    let overdue = if is_served { owner.record_answer_head() } else { Rc::default() };
    // The body knows its own end: what has arrived of it stays valid when the connection ends.
    let body = read_body(&head, body, reservation, &pool.memory, &overdue);
    let body = connection.drive_alongside(&pool.metrics, body).await?;
    Some(ReceivedResponse { head, body })
}

/// The result of an attempt that got no response. The endpoint has certainly not executed the request only if
/// its last byte was not written.
async fn fail(connection: UpstreamConnection, request: &Request) -> AttemptResult {
    if request.upload.as_ref().is_some_and(|upload| upload.has_failed()) {
        // The client's upload failed: the downstream side ends the call.
        drop(connection);
        return std::future::pending().await;
    }
    if connection.write_progress.is_complete() {
        Outcome::Reset.into()
    } else {
        Outcome::ConnectFailed.into()
    }
}

/// Streams a response to the client. Returns `None` if the call has ended.
async fn stream_response(
    pool: &Rc<ConnectionPool>,
    target: &Target,
    mut connection: UpstreamConnection,
    beginning: BufferedBeginning,
    content_type: Option<HeaderValue>,
    owner: &impl AttemptOwner,
) -> Option<Outcome> {
    let BufferedBeginning { mut body, memory } = beginning;
    let (sender, chunks) = mpsc::channel(1);
    let length = body.length();
    let detach_request = DetachRequest::default();
    let first_bytes = body.first_chunk.len() as u64;
    let mut forwarder = ResponseForwarder::new(sender, &pool.memory, detach_request.clone(), first_bytes);
    let first_chunk = CountedBytes::new(body.first_chunk, memory);
    let response = StreamingResponse { first_chunk, chunks, length, content_type, detach_request };
    if !owner.start_response(response) {
        return None;
    }
    let outdated = pool.outdated(target);
    let received = forwarder.receive(&mut connection, &pool.metrics, &mut body.rest, outdated).await;
    let outcome = received.as_ref().map_or_else(Outcome::from, |_| Outcome::Served);
    match received {
        Ok(ReceiveOutcome::DetachRequested) => {
            let detached = forwarder.detach(connection, body.rest).await;
            return Some(detached.map_or(Outcome::Reset, |is_delivered| {
                if is_delivered {
                    Outcome::Served
                } else {
                    Outcome::Cancelled
                }
            }));
        }
        Ok(ReceiveOutcome::Complete) => pool.return_after_response(target, connection).await,
        Err(Interruption::ClientDisconnected) => return Some(outcome),
        Err(error) => {
            drop(connection);
            owner.report_incomplete(&IncompleteResponse {
                received_bytes: forwarder.received_bytes(),
                forwarded_bytes: forwarder.forwarded_bytes(),
                length,
                last_read_pause: forwarder.last_read_pause(),
                available_memory_bytes: pool.memory.available_bytes(),
                error,
            });
        }
    }
    let is_delivered = forwarder.finish(outcome == Outcome::Served).await;
    Some(if is_delivered { outcome } else { Outcome::Cancelled })
}

/// Waits until the upload of a streamed request has stalled; see [`MIN_UPLOAD_STALL`]. Never resolves for a request that is not streamed.
async fn upload_stalled(
    write_progress: Rc<WriteProgress>,
    socket: Socket,
    request: &Request,
    remaining_time: Micros,
) {
    if request.upload.is_none() {
        return std::future::pending().await;
    }
    let remaining_time = Duration::from_micros(remaining_time);
    let max_stall = remaining_time.clamp(MIN_UPLOAD_STALL, MAX_STALL);
    let mut unacknowledged_bytes = socket.unacknowledged_bytes();
    while write_progress.stalled_for() < max_stall {
        tokio::time::sleep(STALL_CHECK_INTERVAL).await;
        let previous_bytes = std::mem::replace(&mut unacknowledged_bytes, socket.unacknowledged_bytes());
        if unacknowledged_bytes < previous_bytes {
            write_progress.record_receipt();
        }
    }
}

/// The request as sent to an endpoint, with the remaining time in microseconds in a header. `None` if that
/// header value is invalid.
fn upstream_request(
    request: &Request,
    remaining_time: Micros,
    write_progress: &Rc<WriteProgress>,
) -> Option<hyper::Request<RequestStream>> {
    let upload = request.upload.as_ref().map(|upload| (Rc::clone(upload), request.length));
    let body = RequestStream::new(request.body.clone(), upload, Rc::clone(write_progress));
    let mut message = hyper::Request::new(body);
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    let headers = message.headers_mut();
    for (name, value) in &request.headers {
        if is_forwarded(name) {
            headers.append(name, value.clone());
        }
    }
    headers.insert(TIMEOUT_HEADER, HeaderValue::from_str(&format!("{remaining_time}u")).ok()?);
    Some(message)
}

/// The approximate size of a head in bytes: each field has four more bytes than its name and value.
fn head_bytes<T>(message: &hyper::Request<T>) -> usize {
    let fields = message.headers().iter().map(|(name, value)| name.as_str().len() + value.len() + 4);
    message.uri().path_and_query().map_or(0, |target| target.as_str().len()) + fields.sum::<usize>()
}

fn is_forwarded(name: &HeaderName) -> bool {
    !HEADERS_NOT_FORWARDED.contains(&name.as_str())
}

#[cfg(test)]
mod tests;
