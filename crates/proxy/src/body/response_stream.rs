//! Streams a response's body to the client.

use super::counted_bytes::CountedBytes;
use super::detached_body::{DetachRequest, DetachedBody};
use super::upload::BodyError;
use hyper::body::{Body, Frame, SizeHint};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// One chunk of a streamed response, or its end. If the channel closes without an end, the response is
/// incomplete.
#[derive(Debug)]
pub enum BodyChunk {
    Data(CountedBytes),
    /// The remainder of the response, sent after a [`DetachRequest`]. It is not passed on as a part of the
    /// stream.
    Detached(DetachedBody),
    End,
}

/// Resolves when it is decided whether a response must be aborted; true if it must.
pub type AbortCondition = Pin<Box<dyn Future<Output = bool>>>;

/// A response's body as it is sent to the client: complete, or its first chunk and a channel for the
/// remaining ones.
pub struct ResponseStream {
    first_chunk: CountedBytes,
    chunks: Option<mpsc::Receiver<BodyChunk>>,
    /// Number of bytes still to be sent, where the length is known.
    remaining_bytes: Option<u64>,
    abort_condition: Option<AbortCondition>,
    is_aborted: bool,
    detach_request: Option<DetachRequest>,
    detached: Option<DetachedBody>,
}

impl ResponseStream {
    /// A body that is still arriving, with its length in bytes where that is known.
    pub fn stream(
        first_chunk: CountedBytes,
        chunks: mpsc::Receiver<BodyChunk>,
        length: Option<u64>,
        detach_request: DetachRequest,
    ) -> Self {
        ResponseStream {
            first_chunk,
            chunks: Some(chunks),
            remaining_bytes: length,
            abort_condition: None,
            is_aborted: false,
            detach_request: Some(detach_request),
            detached: None,
        }
    }

    /// Requests the remainder of the response to be detached. `None` if the response cannot be detached:
    /// without a known length, only the parser of its framing detects its end.
    pub fn detach_request(&self) -> Option<DetachRequest> {
        self.remaining_bytes.and(self.detach_request.clone())
    }

    /// The remainder of the response once it is detached. All preceding bytes have been passed on, and no
    /// further frame follows.
    pub fn take_detached(&mut self) -> Option<DetachedBody> {
        self.detached.take()
    }

    /// Aborts the response, leaving it incomplete, if the condition resolves to true before its end.
    pub fn abort_if(&mut self, condition: AbortCondition) {
        self.abort_condition = Some(condition);
    }

    /// Whether the response was aborted, even if some of it is still to be written.
    pub fn is_aborted(&self) -> bool {
        self.is_aborted
    }

    /// Polls the condition of [`Self::abort_if`], which must proceed also while no chunk is taken.
    pub fn poll_abort(&mut self, cx: &mut Context<'_>) {
        let Some(condition) = &mut self.abort_condition else { return };
        let Poll::Ready(is_aborted) = condition.as_mut().poll(cx) else { return };
        self.abort_condition = None;
        self.is_aborted = is_aborted;
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Result<BodyChunk, BodyError>> {
        if !self.first_chunk.is_empty() {
            return Poll::Ready(Ok(BodyChunk::Data(std::mem::take(&mut self.first_chunk))));
        }
        let Some(chunks) = &mut self.chunks else { return Poll::Ready(Ok(BodyChunk::End)) };
        // The client must notice that the body is incomplete: the connection closes without the end of the
        // body.
        chunks.poll_recv(cx).map(|chunk| chunk.ok_or(BodyError::Aborted))
    }
}

impl From<CountedBytes> for ResponseStream {
    fn from(complete: CountedBytes) -> Self {
        let remaining_bytes = Some(complete.len() as u64);
        ResponseStream {
            first_chunk: complete,
            chunks: None,
            remaining_bytes,
            abort_condition: None,
            is_aborted: false,
            detach_request: None,
            detached: None,
        }
    }
}

impl Body for ResponseStream {
    type Data = CountedBytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<CountedBytes>, BodyError>>> {
        self.poll_abort(cx);
        if self.is_aborted {
            return Poll::Ready(Some(Err(BodyError::Aborted)));
        }
        match std::task::ready!(self.poll_chunk(cx)) {
            Ok(BodyChunk::Data(chunk)) => {
                if let Some(remaining_bytes) = &mut self.remaining_bytes {
                    *remaining_bytes = remaining_bytes.saturating_sub(chunk.len() as u64);
                }
                Poll::Ready(Some(Ok(Frame::data(chunk))))
            }
            Ok(BodyChunk::Detached(rest)) => {
                self.detached = Some(rest);
                Poll::Pending
            }
            Ok(BodyChunk::End) => {
                self.chunks = None;
                Poll::Ready(None)
            }
            Err(error) => Poll::Ready(Some(Err(error))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.remaining_bytes == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining_bytes.map(SizeHint::with_exact).unwrap_or_default()
    }
}
