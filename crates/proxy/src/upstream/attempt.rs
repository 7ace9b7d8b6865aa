//! One attempt, from the checkout of its connection to its outcome.

use crate::body::{DetachRequest, MemoryReservation, RequestStream, WriteProgress, MAX_BUFFERED_BODY_BYTES};
use crate::request::Request;
use crate::response::{AttemptResult, CompleteResponse, StreamingResponse};
use crate::upstream::connection::UpstreamConnection;
use crate::upstream::load_report;
use crate::upstream::pool::{ConnectError, ConnectionPool, Target};
use crate::upstream::response::{classify, read_body, PartialBody, ResponseBody, MAX_STALL};
use crate::upstream::response_forwarder::{HeldBack, Interruption, Reception, ResponseForwarder};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use oakport_core::{Micros, Outcome};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// An endpoint is given at least this long to take a part of a streamed request.
const MIN_UPLOAD_STALL: Duration = Duration::from_secs(1);
/// How often the progress of a streamed request is checked.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

const TIMEOUT_HEADER: &str = "x-timeout";
/// Headers that concern one connection only (RFC 9110, 7.6.1), and those that are written anew.
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

/// What an attempt needs to know of its call.
pub trait AttemptOwner {
    /// The time that the attempt still has, in microseconds.
    fn remaining_time(&self) -> Micros;

    /// Whether the first byte may be written now. Asked once the connection is there: meanwhile the call may have
    /// ended, its time may be up, or its endpoint may be draining or another process.
    fn may_start(&self) -> bool;

    /// Takes a response that is streamed. Returns false if the call has ended: the response is no longer wanted.
    fn start_response(&self, response: StreamingResponse) -> bool;

    /// Reports a streamed response that its endpoint did not complete.
    fn report_incomplete(&self, response: &IncompleteResponse);
}

/// How far a streamed response came that its endpoint did not complete.
#[derive(Debug)]
pub struct IncompleteResponse {
    /// Bytes of its body that were read.
    pub received_bytes: u64,
    /// Bytes of its body that were passed on to the client.
    pub forwarded_bytes: u64,
    /// The length of the complete body in bytes, if its head states it.
    pub length: Option<u64>,
    /// When and why its reading last waited although the endpoint may have given more.
    pub held_back: Option<HeldBack>,
    /// The memory that bodies might still have taken, in bytes.
    pub available_memory_bytes: usize,
    /// Why it ended.
    pub error: Interruption,
}

/// The head of a response, with its body as far as it was read.
struct ReceivedResponse {
    head: Parts,
    body: ResponseBody,
}

/// What came of a request on one connection.
enum Exchange {
    /// The head of a response, with its body as far as it was read.
    Received(ReceivedResponse),
    /// The connection ended, or the endpoint stalled.
    Failed,
    /// Nothing was written: the connection, used before, had received unsolicited data.
    Unsolicited,
}

/// Makes one attempt and returns how it ended.
pub async fn attempt(
    pool: &Rc<ConnectionPool>,
    target: Target,
    request: &Request,
    owner: &impl AttemptOwner,
) -> AttemptResult {
    if request.upload.as_ref().is_some_and(|upload| !upload.is_unread()) {
        // What was streamed to one endpoint is not available for another.
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
        let message = upstream_request(request, owner.remaining_time(), &connection.write_progress);
        let Some(message) = message else { return Outcome::NotSent.into() };
        let mut reservation = MemoryReservation::default();
        match exchange(pool, &mut connection, request, message, &mut reservation).await {
            Exchange::Received(received) => {
                return finish(pool, target, connection, received, reservation, owner).await;
            }
            Exchange::Failed => return fail(connection, request).await,
            Exchange::Unsolicited => pool.record_unsolicited_data(&target),
        }
        if request.upload.is_some() {
            return fail(connection, request).await;
        }
    }
}

/// Returns a response, or streams it, and returns its connection.
async fn finish(
    pool: &Rc<ConnectionPool>,
    target: Target,
    connection: UpstreamConnection,
    received: ReceivedResponse,
    mut reservation: MemoryReservation,
    owner: &impl AttemptOwner,
) -> AttemptResult {
    let ReceivedResponse { head, body } = received;
    let outcome = classify(&head);
    let load = load_report::from_headers(&head.headers);
    let content_type = head.headers.get(header::CONTENT_TYPE).cloned();
    match body {
        ResponseBody::Complete(body) => {
            pool.return_after_response(&target, connection).await;
            let is_served = outcome == Outcome::Served;
            let response = is_served.then_some(CompleteResponse { body, content_type });
            AttemptResult { outcome, load, response }
        }
        ResponseBody::Partial(body) if outcome == Outcome::Served => {
            pool.memory.reserve(&mut reservation, MAX_BUFFERED_BODY_BYTES + 1).await;
            match stream_response(pool, &target, connection, body, content_type, owner).await {
                Some(outcome) => AttemptResult { outcome, load, response: None },
                None => Outcome::Cancelled.into(),
            }
        }
        // The rest of a response that is not served is dropped with its connection.
        ResponseBody::Partial(_) => AttemptResult { outcome, load, response: None },
    }
}

/// A pooled connection, else a new one.
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

/// Sends a request and reads its response.
async fn exchange(
    pool: &ConnectionPool,
    connection: &mut UpstreamConnection,
    request: &Request,
    message: hyper::Request<RequestStream>,
    reservation: &mut MemoryReservation,
) -> Exchange {
    let sent = connection.sender.send_request(message);
    let stalled = upload_stalled(Rc::clone(&connection.write_progress), request);
    let received = connection.drive(&pool.metrics, async {
        let (head, body) = sent.await.ok()?.into_parts();
        let body = read_body(&head, body, reservation, &pool.memory).await?;
        Some(ReceivedResponse { head, body })
    });
    let received = tokio::select! {
        received = received => received.flatten(),
        () = stalled => None,
    };
    match received {
        Some(received) => Exchange::Received(received),
        None if connection.has_carried_request() && connection.has_unsolicited_data() => {
            Exchange::Unsolicited
        }
        None => Exchange::Failed,
    }
}

/// The result of an attempt without a response. It was certainly not executed only if its last byte was not written.
async fn fail(connection: UpstreamConnection, request: &Request) -> AttemptResult {
    if request.upload.as_ref().is_some_and(|upload| upload.has_failed()) {
        // The client's body broke off: the downstream side ends the call.
        drop(connection);
        return std::future::pending().await;
    }
    if connection.write_progress.is_complete() {
        Outcome::Reset.into()
    } else {
        Outcome::ConnectFailed.into()
    }
}

/// Streams a response to the client. `None` if the call has ended.
async fn stream_response(
    pool: &Rc<ConnectionPool>,
    target: &Target,
    mut connection: UpstreamConnection,
    mut body: PartialBody,
    content_type: Option<HeaderValue>,
    owner: &impl AttemptOwner,
) -> Option<Outcome> {
    let (sender, chunks) = mpsc::channel(1);
    let length = body.length();
    let detach_request = DetachRequest::default();
    let first_bytes = body.first_chunk.len() as u64;
    let mut forwarder = ResponseForwarder::new(sender, &pool.memory, detach_request.clone(), first_bytes);
    let first_chunk = body.first_chunk;
    let response = StreamingResponse { first_chunk, chunks, length, content_type, detach_request };
    if !owner.start_response(response) {
        return None;
    }
    let outdated = pool.outdated(target);
    let received = forwarder.receive(&mut connection, &pool.metrics, &mut body.rest, outdated).await;
    let outcome = received.as_ref().map_or_else(Outcome::from, |_| Outcome::Served);
    match received {
        Ok(Reception::DetachRequested) => {
            let detached = forwarder.detach(connection, body.rest).await;
            return Some(detached.map_or(Outcome::Reset, |is_taken| {
                if is_taken {
                    Outcome::Served
                } else {
                    Outcome::Cancelled
                }
            }));
        }
        Ok(Reception::Complete) => pool.return_after_response(target, connection).await,
        Err(Interruption::ClientDisconnected) => return Some(outcome),
        Err(error) => {
            drop(connection);
            owner.report_incomplete(&IncompleteResponse {
                received_bytes: forwarder.received_bytes(),
                forwarded_bytes: forwarder.forwarded_bytes(),
                length,
                held_back: forwarder.last_held_back(),
                available_memory_bytes: pool.memory.available_bytes(),
                error,
            });
        }
    }
    let is_taken = forwarder.finish(outcome == Outcome::Served).await;
    Some(if is_taken { outcome } else { Outcome::Cancelled })
}

/// Waits until the endpoint has taken nothing of a streamed request for as long as the client would wait for an
/// answer, within bounds. Never ends for a request that is not streamed.
async fn upload_stalled(write_progress: Rc<WriteProgress>, request: &Request) {
    if request.upload.is_none() {
        return std::future::pending().await;
    }
    let max_stall = Duration::from_micros(request.client_timeout).clamp(MIN_UPLOAD_STALL, MAX_STALL);
    while write_progress.stalled_for() < max_stall {
        tokio::time::sleep(STALL_CHECK_INTERVAL).await;
    }
}

/// The request as it goes to an endpoint, with the remaining time in microseconds. `None` if a header cannot be
/// written.
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

fn is_forwarded(name: &HeaderName) -> bool {
    !HEADERS_NOT_FORWARDED.contains(&name.as_str())
}

#[cfg(test)]
mod tests;
