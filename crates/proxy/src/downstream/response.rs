//! What a client is answered, in the protocol's words.

use super::connection::OpenRequest;
use crate::body::{BodyError, ResponseStream};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use oakport_core::Micros;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Advice to a client that finds no place here: by then some connection has rested for long enough.
pub const COME_BACK: Micros = 250_000;

/// An answer's body with its open request.
pub struct Ending {
    body: ResponseStream,
    _open: Rc<OpenRequest>,
}

impl Ending {
    pub fn new(body: ResponseStream, open: Rc<OpenRequest>) -> Self {
        Ending { body, _open: open }
    }
}

impl Body for Ending {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

pub fn not_whole(fault: BodyError) -> Response<ResponseStream> {
    match fault {
        BodyError::Aborted => improper(StatusCode::BAD_REQUEST, "broken body"),
        BodyError::TooLarge => improper(StatusCode::PAYLOAD_TOO_LARGE, "body over 40 MiB"),
        BodyError::OutOfMemory => refused(COME_BACK),
        BodyError::Stalled => improper(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
    }
}

pub fn served(body: ResponseStream, content_type: Option<HeaderValue>) -> Response<ResponseStream> {
    let mut response = Response::new(body);
    if let Some(content_type) = content_type {
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    }
    response
}

pub fn plain(status: StatusCode, text: &'static str) -> Response<ResponseStream> {
    let mut response = Response::new(ResponseStream::from(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// The answer to what is no request of a client's. Its connection ends with it and frees its place.
pub fn improper(status: StatusCode, text: &'static str) -> Response<ResponseStream> {
    let mut response = plain(status, text);
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// A refusal tells the client when to come back, in seconds.
pub fn refused(retry_after: Micros) -> Response<ResponseStream> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
    let seconds = format!("{}.{:03}", retry_after / 1_000_000, retry_after / 1_000 % 1_000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
