//! Reads a client's request, starts its call and waits for the final response.

use super::client_presence::ClientPresence;
use super::open_request::OpenRequest;
use super::request_end::{EndOfWait, RequestEnd};
use super::request_head::{class_id, is_health_check, RequestHead};
use super::response::{final_response, rejected, text_response, RequestError, CAPACITY_RETRY_AFTER_US};
use super::shutdown::{completion_deadline, is_past_latest_completion, ShutdownSignal};
use crate::body::{
    reserve_while_arriving, AbortCondition, ByteArrivals, MemoryLimit, MemoryReservation, RequestBodyReader,
    ResponseStream, Upload, UploadPrefix, STREAMED_BODY_BYTES,
};
use crate::client_sockets::ClientSockets;
use crate::dispatcher::Dispatcher;
use crate::metrics::RejectionReason;
use crate::request::{unshared_head, Request, REQUEST_ID_HEADER};
use crate::response::FinalResponse;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use oakport_core::{CallId, Micros};
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A body may wait for memory for `1 / MEMORY_WAIT_DIVISOR` of the client's timeout, which does not include
/// that wait.
const MEMORY_WAIT_DIVISOR: Micros = 8;

/// A streamed request that is incomplete this long after its call has begun does not occupy its endpoint.
const DELAYED_REQUEST_TIME: Duration = Duration::from_millis(50);

/// Answers the requests of all client connections.
pub struct RequestHandler {
    pub dispatcher: Dispatcher,
    pub memory: Rc<MemoryLimit>,
    pub client_sockets: Rc<ClientSockets>,
}

/// The connection that a request arrived on.
pub struct RequestContext {
    pub open: Rc<OpenRequest>,
    /// Whether the client still waits for the response.
    pub client: ClientPresence,
    pub shutdown: ShutdownSignal,
}

/// The end of a request whose body is streamed.
#[derive(Clone, Copy, Debug)]
struct ExpectedEnd {
    /// Position on the connection, where the head declares the length of the body.
    position: Option<u64>,
    /// How long the client waits for its response from then on.
    client_timeout: Duration,
    /// The client had not written its last byte before this time.
    not_before: Instant,
}

/// A request's body: complete, or an upload.
struct ReceivedBody {
    buffered: Bytes,
    /// A body that is streamed.
    upload: Option<Rc<Upload>>,
    /// Length of the complete body, where its head declares it.
    length: Option<u64>,
    /// Position on the connection at which the body ends, where its head declares its length.
    end_position: Option<u64>,
    /// When the latest byte of the body that has been read arrived.
    arrived_at: Instant,
    /// Reservation of a complete body, until its request is answered.
    _reservation: MemoryReservation,
}

impl ReceivedBody {
    /// The request that an attempt sends, with this body.
    fn request(&self, parts: Parts, head: &RequestHead, client: ClientPresence) -> Request {
        // The time of a request whose body is streamed begins later.
        let is_complete = self.upload.is_none();
        let time_since_arrival = if is_complete { self.arrived_at.elapsed() } else { Duration::ZERO };
        let time_since_arrival_us = time_since_arrival.as_micros() as Micros;
        Request {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body: self.buffered.clone(),
            upload: self.upload.clone(),
            length: self.length,
            client_timeout: head.client_timeout_us.saturating_sub(time_since_arrival_us),
            single_run: head.single_run,
            client,
        }
    }
}

impl RequestHandler {
    /// The response to a request for which there is no capacity.
    pub fn reject(&self, request: &hyper::Request<Incoming>) -> Response<ResponseStream> {
        if request.headers().contains_key(REQUEST_ID_HEADER) {
            if let Some(class) = class_id(&self.dispatcher, request.uri().path()) {
                self.dispatcher.count_rejected(class, RejectionReason::ClientConnections);
            }
        }
        rejected(CAPACITY_RETRY_AFTER_US)
    }

    /// The response to a request.
    pub async fn handle(
        &self,
        request: hyper::Request<Incoming>,
        context: RequestContext,
    ) -> Response<ResponseStream> {
        let (parts, body) = request.into_parts();
        if is_health_check(&parts) {
            return text_response(StatusCode::OK, "ok");
        }
        let head = unshared_head(&parts);
        drop(parts);
        let response = self.forward(head, body, context).await;
        response.unwrap_or_else(RequestError::into_response)
    }

    async fn forward(
        &self,
        parts: Parts,
        body: Incoming,
        context: RequestContext,
    ) -> Result<Response<ResponseStream>, RequestError> {
        let RequestContext { open, client, shutdown } = context;
        let head = RequestHead::parse(&self.dispatcher, &parts)?;
        // The first request of a connection was sent early in a shutdown, however late it is read.
        if !open.is_first() && is_past_latest_completion(&shutdown) {
            return Err(self.reject_late(&head));
        }
        // The response to a request that completes later could be lost when the process is killed.
        let mut completion_deadline = Box::pin(completion_deadline(shutdown));
        let body = tokio::select! {
            biased;
            body = self.receive_body(body, &head, &open) => body?,
            () = completion_deadline.as_mut() => return Err(self.reject_late(&head)),
            never = open.observe_arrivals() => match never {},
        };
        let ReceivedBody { end_position, arrived_at, .. } = body;
        let started = self.dispatcher.start_call(head.call_attributes(), body.request(parts, &head, client));
        let (call, response) = match started {
            Ok(started) => started,
            Err(error) => {
                discard_remaining(body.upload, &open);
                return Err(error.into());
            }
        };
        let _guard = CallGuard { dispatcher: &self.dispatcher, call };
        let Some(upload) = body.upload else { return Ok(final_response(response.await.ok())) };
        let client_timeout = Duration::from_micros(head.client_timeout_us);
        let expected_end = ExpectedEnd { position: end_position, client_timeout, not_before: arrived_at };
        let response = self
            .await_streamed(call, &upload, expected_end, response, &open, completion_deadline.as_mut())
            .await;
        if matches!(response, Err(RequestError::ShuttingDown)) {
            discard(upload, &open);
            return Err(self.reject_late(&head));
        }
        let response = response?;
        let is_streaming = matches!(response, Some(FinalResponse::Streaming(_)));
        let mut response = final_response(response);
        if is_streaming {
            // The endpoint may still be reading the request although its response has begun.
            let condition = incomplete_after(completion_deadline, upload, open, end_position);
            response.body_mut().abort_if(condition);
        } else {
            discard(upload, &open);
        }
        Ok(response)
    }

    /// Counts a request that was not complete by the completion deadline of a graceful shutdown, and returns
    /// its rejection.
    fn reject_late(&self, head: &RequestHead) -> RequestError {
        self.dispatcher.count_rejected(head.class, RejectionReason::Shutdown);
        RequestError::ShuttingDown
    }

    /// Reads the body to its end, or up to the size that is buffered.
    async fn receive_body(
        &self,
        body: Incoming,
        head: &RequestHead,
        open: &Rc<OpenRequest>,
    ) -> Result<ReceivedBody, RequestError> {
        let mut reservation = MemoryReservation::default();
        let mut reader = RequestBodyReader::new(body, open.body_slack());
        let length = reader.length();
        let memory_wait = Duration::from_micros(head.client_timeout_us / MEMORY_WAIT_DIVISOR);
        let prefix = match reader.read_prefix(&mut reservation, &self.memory, memory_wait, &**open).await {
            Ok(prefix) => prefix,
            Err(error) => return Err(RequestError::Body(error)),
        };
        if prefix.is_complete {
            open.complete();
            let time_since_arrival = open.time_since_arrival(open.read_bytes()).unwrap_or_default();
            let arrived_at = Instant::now() - time_since_arrival;
            return Ok(ReceivedBody {
                buffered: prefix.bytes,
                upload: None,
                length,
                end_position: None,
                arrived_at,
                _reservation: reservation,
            });
        }
        // The beginning is read at the client's pace.
        let arrived_at = open.latest_arrival();
        let end_position = prefix.end_position;
        let prefix = UploadPrefix::new(prefix, reservation);
        let mut reservation = MemoryReservation::default();
        let reserved =
            reserve_while_arriving(&mut reservation, &self.memory, STREAMED_BODY_BYTES, memory_wait, &**open);
        let reserved = reserved.await;
        let upload = Upload::new(reader, prefix, reservation, length);
        // Without the memory to stream the body, no part of it is forwarded.
        if reserved.is_err() {
            self.dispatcher.count_rejected(head.class, RejectionReason::Memory);
            discard(upload, open);
            return Err(RequestError::AtCapacity);
        }
        Ok(ReceivedBody {
            buffered: Bytes::new(),
            upload: Some(upload),
            length,
            end_position,
            arrived_at,
            _reservation: MemoryReservation::default(),
        })
    }

    /// Waits for the response to a request whose body has not been read to its end, which is at
    /// `end_position` where it is known. The request is complete once its last byte has arrived, even if the
    /// endpoint does not accept it yet. Fails if the body fails before the response begins, or is incomplete
    /// when `completion_deadline` resolves.
    async fn await_streamed(
        &self,
        call: CallId,
        upload: &Upload,
        expected_end: ExpectedEnd,
        response: oneshot::Receiver<FinalResponse>,
        open: &OpenRequest,
        completion_deadline: impl Future<Output = ()>,
    ) -> Result<Option<FinalResponse>, RequestError> {
        let mut response = pin!(response);
        let mut end = RequestEnd::new(
            open,
            upload,
            &self.client_sockets,
            expected_end.position,
            expected_end.client_timeout,
            expected_end.not_before,
        );
        let mut completion_deadline = pin!(completion_deadline);
        let mut delayed = pin!(tokio::time::sleep(DELAYED_REQUEST_TIME));
        let mut is_delayed = false;
        let end_of_wait = loop {
            tokio::select! {
                biased;
                response = response.as_mut() => return Ok(response.ok()),
                end = upload.ended() => {
                    end.map_err(RequestError::Body)?;
                    break EndOfWait::Arrived;
                }
                end_of_wait = end.wait() => break end_of_wait,
                () = completion_deadline.as_mut() => return Err(RequestError::ShuttingDown),
                () = delayed.as_mut(), if !is_delayed => {
                    is_delayed = true;
                    self.dispatcher.record_delayed_request(call);
                }
            }
        };
        if end_of_wait == EndOfWait::ResponseDue {
            self.dispatcher.record_overdue_upload(call, &end.overdue_upload());
        }
        self.dispatcher.complete_request(call, end.time_since_end(end_of_wait));
        tokio::select! {
            biased;
            response = response.as_mut() => return Ok(response.ok()),
            end = upload.ended() => end.map_err(RequestError::Body)?,
        }
        open.complete();
        Ok(response.await.ok())
    }
}

/// Resolves to true at the deadline if the request has not arrived completely by then. Otherwise completes
/// the request once it has been read.
fn incomplete_after(
    deadline: impl Future<Output = ()> + 'static,
    upload: Rc<Upload>,
    open: Rc<OpenRequest>,
    end_position: Option<u64>,
) -> AbortCondition {
    Box::pin(async move {
        let has_arrived = tokio::select! {
            biased;
            _ = upload.ended() => true,
            () = deadline => end_position.is_some_and(|position| open.has_arrived(position)),
        };
        if has_arrived && upload.ended().await.is_ok() {
            open.complete();
        }
        !has_arrived
    })
}

/// Spawns a task that discards the rest of an upload after its response: the client may read the response
/// only once it has sent everything.
fn discard(upload: Rc<Upload>, open: &Rc<OpenRequest>) {
    let open = Rc::clone(open);
    tokio::task::spawn_local(async move {
        upload.discard().await;
        drop(open);
    });
}

fn discard_remaining(upload: Option<Rc<Upload>>, open: &Rc<OpenRequest>) {
    if let Some(upload) = upload {
        discard(upload, open);
    }
}

/// Notifies the dispatcher when the client disconnects before its response, which makes hyper drop the
/// request's future.
struct CallGuard<'a> {
    dispatcher: &'a Dispatcher,
    call: CallId,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.dispatcher.record_client_disconnect(self.call);
    }
}
