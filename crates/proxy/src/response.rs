//! The response of an endpoint to an attempt, and the final answer to the client, as passed from the upstream
//! to the downstream side of the proxy.

use crate::body::{BodyChunk, CountedBytes, DetachRequest};
use hyper::header::HeaderValue;
use oakport_core::{LoadReport, Micros, Outcome};
use tokio::sync::mpsc;

/// The final answer to a call; each call gets one.
#[derive(Debug)]
pub enum FinalResponse {
    /// A complete response of an endpoint.
    Served {
        /// The complete body.
        body: CountedBytes,
        /// The endpoint's `Content-Type`.
        content_type: Option<HeaderValue>,
    },
    /// A response that is streamed to the client while it arrives.
    Streaming(StreamingResponse),
    /// The call was shed; the client may safely retry it.
    Rejected {
        /// How long the client should wait before it retries, in microseconds.
        retry_after: Micros,
    },
    /// The call failed; it may have been executed.
    Failed,
    /// The call's deadline passed before the balancer ended the call.
    DeadlineExceeded,
}

/// A response that is streamed to the client while it arrives.
#[derive(Debug)]
pub struct StreamingResponse {
    /// The buffered beginning of the body.
    pub first_chunk: CountedBytes,
    /// The rest of the body, which ends with [`BodyChunk::End`].
    pub chunks: mpsc::Receiver<BodyChunk>,
    /// The length of the complete body in bytes, if the response head states it.
    pub length: Option<u64>,
    /// The endpoint's `Content-Type`.
    pub content_type: Option<HeaderValue>,
    /// Requests that the rest of the body be detached, if its length is known.
    pub detach_request: DetachRequest,
}

/// A response whose body has arrived completely.
#[derive(Debug)]
pub struct CompleteResponse {
    /// The complete body.
    pub body: CountedBytes,
    /// The endpoint's `Content-Type`.
    pub content_type: Option<HeaderValue>,
}

/// The result of an attempt.
#[derive(Debug)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The endpoint's load report.
    pub load: LoadReport,
    /// The response, if it was served and complete; `None` if it was streamed.
    pub response: Option<CompleteResponse>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, load: LoadReport::default(), response: None }
    }
}
