//! The responses to clients.

use super::open_request::OpenRequest;
use crate::body::{BodyError, CountedBytes, ResponseStream};
use crate::dispatcher::StartError;
use crate::response::{FinalResponse, StreamingResponse};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use oakport_core::Micros;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use thiserror::Error;

/// `Retry-After` of a request that is rejected for lack of capacity: after this time, some connection has
/// been idle for long enough to be evicted.
pub const CAPACITY_RETRY_AFTER_US: Micros = 250_000;

/// Why a request was not forwarded, or not completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    #[error("X-Timeout missing or odd")]
    InvalidTimeout,
    #[error("X-Request-ID missing")]
    MissingRequestId,
    #[error("no such class of request")]
    UnknownClass,
    #[error("refused")]
    AtCapacity,
    /// Still incomplete when its response might not be ready before the process ends.
    #[error("refused")]
    ShuttingDown,
    /// A request with this id may have run already.
    #[error("a request with this X-Request-ID may have run already")]
    Repeated,
    #[error(transparent)]
    Body(BodyError),
}

impl From<StartError> for RequestError {
    fn from(error: StartError) -> Self {
        match error {
            StartError::AtCapacity => RequestError::AtCapacity,
            StartError::Repeated => RequestError::Repeated,
        }
    }
}

impl RequestError {
    /// The response that reports the error to the client.
    pub fn into_response(self) -> Response<ResponseStream> {
        let status = match self {
            RequestError::InvalidTimeout | RequestError::MissingRequestId => StatusCode::BAD_REQUEST,
            RequestError::UnknownClass => StatusCode::NOT_FOUND,
            RequestError::AtCapacity | RequestError::ShuttingDown => {
                return rejected(CAPACITY_RETRY_AFTER_US)
            }
            RequestError::Repeated => return text_response(StatusCode::CONFLICT, self.to_string()),
            RequestError::Body(error) => return body_error(error),
        };
        closing_response(status, self.to_string())
    }
}

fn body_error(error: BodyError) -> Response<ResponseStream> {
    match error {
        BodyError::Aborted => closing_response(StatusCode::BAD_REQUEST, "broken body"),
        BodyError::TooLarge => closing_response(StatusCode::PAYLOAD_TOO_LARGE, "body over 40 MiB"),
        BodyError::OutOfMemory => rejected(CAPACITY_RETRY_AFTER_US),
        BodyError::Stalled => closing_response(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
    }
}

/// The response to a call that was started. `None`: the dispatcher has dropped the call.
pub fn final_response(response: Option<FinalResponse>) -> Response<ResponseStream> {
    match response {
        Some(FinalResponse::Served { body, content_type }) => successful(body.into(), content_type),
        Some(FinalResponse::Streaming(streaming)) => {
            let content_type = streaming.content_type.clone();
            successful(streamed(streaming), content_type)
        }
        Some(FinalResponse::Rejected { retry_after }) => rejected(retry_after),
        Some(FinalResponse::Failed) => text_response(StatusCode::BAD_GATEWAY, "failed"),
        Some(FinalResponse::DeadlineExceeded) | None => {
            text_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
        }
    }
}

/// The body of a response that is streamed.
fn streamed(streaming: StreamingResponse) -> ResponseStream {
    let StreamingResponse { first_chunk, chunks, length, detach_request, .. } = streaming;
    ResponseStream::stream(first_chunk, chunks, length, detach_request)
}

fn successful(body: ResponseStream, content_type: Option<HeaderValue>) -> Response<ResponseStream> {
    let mut response = Response::new(body);
    if let Some(content_type) = content_type {
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    }
    response
}

/// A plain text response.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseStream> {
    let mut response = Response::new(ResponseStream::from(CountedBytes::from(text.into())));
    *response.status_mut() = status;
    response
}

/// The response to an invalid request. The connection closes after it, which frees its capacity.
fn closing_response(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseStream> {
    let mut response = text_response(status, text);
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// The value of `Retry-After`: seconds with milliseconds.
pub fn retry_after_seconds(retry_after_us: Micros) -> String {
    format!("{}.{:03}", retry_after_us / 1_000_000, retry_after_us / 1_000 % 1_000)
}

/// A rejection, with `Retry-After` in seconds.
pub fn rejected(retry_after_us: Micros) -> Response<ResponseStream> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
    if let Ok(value) = HeaderValue::from_str(&retry_after_seconds(retry_after_us)) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// A response's body that keeps its request open until all of the body has been passed to the HTTP library.
pub struct TrackedBody {
    body: ResponseStream,
    open: Rc<OpenRequest>,
    failure: Option<Failure>,
    /// The connection's [`OpenRequest::flush_count`] when the latest chunk was passed on.
    chunk_passed_at: Option<u64>,
}

/// A failure of a body before its end. It is passed on once all preceding bytes have been written.
struct Failure {
    error: BodyError,
    /// The connection's [`OpenRequest::flush_count`] when the body failed.
    flush_count: u64,
}

impl TrackedBody {
    pub fn new(body: ResponseStream, open: Rc<OpenRequest>) -> Self {
        open.begin_response(body.detach_request());
        TrackedBody { body, open, failure: None, chunk_passed_at: None }
    }
}

impl TrackedBody {
    /// Ready once the chunk before has been written to the system: so only one is in memory at a time.
    fn poll_chunk_written(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let flush_count = self.open.flush_count();
        if self.chunk_passed_at.is_some_and(|passed_at| passed_at >= flush_count) {
            self.open.wake_at_flush(cx.waker());
            return Poll::Pending;
        }
        Poll::Ready(())
    }

    /// Fails the body once all preceding bytes have been written to the system: when a body fails, the HTTP
    /// library discards the bytes that it has yet to write.
    fn poll_failure(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<CountedBytes>, BodyError>>> {
        let flush_count = self.open.flush_count();
        match self.failure.take_if(|failure| failure.flush_count < flush_count) {
            Some(failure) => Poll::Ready(Some(Err(failure.error))),
            None => {
                self.open.wake_at_flush(cx.waker());
                Poll::Pending
            }
        }
    }
}

impl Body for TrackedBody {
    type Data = CountedBytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<CountedBytes>, BodyError>>> {
        if self.failure.is_some() {
            return self.poll_failure(cx);
        }
        self.body.poll_abort(cx);
        if !self.body.is_aborted() {
            std::task::ready!(self.poll_chunk_written(cx));
        }
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(frame, Poll::Ready(Some(Ok(_)))) {
            self.chunk_passed_at = Some(self.open.flush_count());
        }
        if let Some(rest) = self.body.take_detached() {
            self.open.detach(rest);
        }
        if let Poll::Ready(Some(Err(error))) = frame {
            if self.body.is_aborted() {
                return Poll::Ready(Some(Err(error)));
            }
            self.failure = Some(Failure { error, flush_count: self.open.flush_count() });
            return self.poll_failure(cx);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
