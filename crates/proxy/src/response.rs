//! The response of an endpoint to an attempt, and the final answer to the client, as they pass between the parts of
//! the proxy.

use crate::body::{BodyChunk, DetachRequest};
use bytes::Bytes;
use hyper::header::HeaderValue;
use oakport_core::{LoadReport, Micros, Outcome};
use tokio::sync::mpsc;

/// The final answer to a call; each call gets one.
#[derive(Debug)]
pub enum FinalResponse {
    /// A complete response of an endpoint.
    Served {
        /// The complete body.
        body: Bytes,
        /// The endpoint's `Content-Type`.
        content_type: Option<HeaderValue>,
    },
    /// A response that is streamed to the client while it arrives.
    Streaming(StreamingResponse),
    /// The call was shed; the client may safely retry it.
    Rejected {
        /// After how long the client should retry, in microseconds.
        retry_after: Micros,
    },
    /// The call failed; it may have been executed.
    Failed,
    /// The client's time was up before the balancer had ended the call.
    DeadlineExceeded,
}

/// A response that is streamed to the client while it arrives.
#[derive(Debug)]
pub struct StreamingResponse {
    /// The beginning of the body, as far as it was buffered.
    pub first_chunk: Bytes,
    /// The rest of the body, which ends with [`BodyChunk::End`].
    pub chunks: mpsc::Receiver<BodyChunk>,
    /// The length of the complete body in bytes, if its head states it.
    pub length: Option<u64>,
    /// The endpoint's `Content-Type`.
    pub content_type: Option<HeaderValue>,
    /// Has the rest of the body detached, if its length is known.
    pub detach_request: DetachRequest,
}

/// A response whose body has arrived completely.
#[derive(Debug)]
pub struct CompleteResponse {
    /// The complete body.
    pub body: Bytes,
    /// The endpoint's `Content-Type`.
    pub content_type: Option<HeaderValue>,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptResult {
    /// How it ended.
    pub outcome: Outcome,
    /// The endpoint's load report.
    pub load: LoadReport,
    /// The response, if it was served and complete; `None` also for one that was streamed.
    pub response: Option<CompleteResponse>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, load: LoadReport::default(), response: None }
    }
}
