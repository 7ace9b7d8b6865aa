//! What an attempt brings and what the client gets, as they pass between the parts of the proxy.

use crate::body::BodyChunk;
use bytes::Bytes;
use hyper::header::HeaderValue;
use oakport_core::{LoadReport, Micros, Outcome};
use tokio::sync::mpsc;

/// The one final answer.
#[derive(Debug)]
pub enum FinalResponse {
    Served {
        body: Bytes,
        content_type: Option<HeaderValue>,
    },
    /// A large one that begins.
    Streaming(StreamingResponse),
    Rejected {
        retry_after: Micros,
    },
    Failed,
    /// The time was up before the module had ended the call.
    DeadlineExceeded,
}

/// A large answer that begins.
#[derive(Debug)]
pub struct StreamingResponse {
    pub first_chunk: Bytes,
    pub chunks: mpsc::Receiver<BodyChunk>,
    pub length: Option<u64>,
    pub content_type: Option<HeaderValue>,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptResult {
    pub outcome: Outcome,
    pub load: LoadReport,
    /// The whole body of a served answer, and its type. None also for one that was passed on by pieces.
    pub served: Option<(Bytes, Option<HeaderValue>)>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, load: LoadReport::default(), served: None }
    }
}
