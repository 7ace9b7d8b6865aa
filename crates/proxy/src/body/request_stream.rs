//! Streams a request's body to an endpoint and tracks how much of the request has been written.

use super::upload::{BodyError, Upload};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::time::Instant;

/// Tracks whether all of a request has been written to the socket.
#[derive(Debug, Default)]
pub struct WriteProgress {
    /// The last write accepted all bytes that were pending.
    pub emptied: Cell<bool>,
    /// The body has ended: no further bytes will be written.
    body_ended: Cell<bool>,
    /// When the socket stopped accepting bytes. `None` while it accepts them.
    stalled_since: Cell<Option<Instant>>,
    /// A chunk of the body has yet to be written.
    has_pending_chunk: Cell<bool>,
    /// The task to wake once that chunk has been written.
    emptied_waker: RefCell<Option<Waker>>,
}

impl WriteProgress {
    /// Whether the last byte has been written.
    pub fn is_complete(&self) -> bool {
        self.body_ended.get() && self.emptied.get()
    }

    /// Records that the socket accepted some bytes (`progressed`), or currently accepts none.
    pub fn record_write(&self, progressed: bool) {
        if progressed {
            self.stalled_since.set(None);
        } else if self.stalled_since.get().is_none() {
            self.stalled_since.set(Some(Instant::now()));
        }
    }

    /// Records that all pending bytes have been written.
    pub fn record_emptied(&self) {
        self.emptied.set(true);
        self.has_pending_chunk.set(false);
        if let Some(waker) = self.emptied_waker.take() {
            waker.wake();
        }
    }

    /// Ready once the chunk before has been written: so only one is in memory at a time.
    fn poll_chunk_written(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.has_pending_chunk.get() {
            self.emptied_waker.replace(Some(cx.waker().clone()));
            return Poll::Pending;
        }
        Poll::Ready(())
    }

    /// Records that the endpoint has received bytes, although the socket may still accept none: it does so only once a
    /// third of its buffer is free.
    pub fn record_receipt(&self) {
        if self.stalled_since.get().is_some() {
            self.stalled_since.set(Some(Instant::now()));
        }
    }

    /// How long the socket has accepted no bytes, and the endpoint has received none.
    pub fn stalled_for(&self) -> Duration {
        self.stalled_since.get().map(|since| since.elapsed()).unwrap_or_default()
    }

    /// Records that a chunk is to be written, the last one if `body_ended`.
    fn record_chunk(&self, body_ended: bool) {
        self.emptied.set(false);
        self.body_ended.set(body_ended);
    }
}

/// A request's body as it is sent to an endpoint.
pub struct RequestStream {
    first_chunk: Bytes,
    upload: Option<Rc<Upload>>,
    /// Number of bytes still to be sent, where the length is known.
    remaining_bytes: Option<u64>,
    progress: Rc<WriteProgress>,
}

impl RequestStream {
    /// A body that consists of `first_chunk`, or that is `streamed`, with its length in bytes where that is known.
    pub fn new(
        first_chunk: Bytes,
        streamed: Option<(Rc<Upload>, Option<u64>)>,
        progress: Rc<WriteProgress>,
    ) -> Self {
        let (upload, remaining_bytes) = match streamed {
            Some((upload, length)) => (Some(upload), length),
            None => (None, Some(first_chunk.len() as u64)),
        };
        progress.record_chunk(first_chunk.is_empty() && upload.is_none());
        RequestStream { first_chunk, upload, remaining_bytes, progress }
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if !self.first_chunk.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.first_chunk))));
        }
        match &self.upload {
            Some(upload) => upload.poll_chunk(cx),
            None => Poll::Ready(None),
        }
    }
}

impl Drop for RequestStream {
    fn drop(&mut self) {
        if let Some(upload) = &self.upload {
            upload.stop_reading();
        }
    }
}

impl Body for RequestStream {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        std::task::ready!(self.progress.poll_chunk_written(cx));
        let chunk = std::task::ready!(self.poll_chunk(cx));
        self.progress.has_pending_chunk.set(matches!(chunk, Some(Ok(_))));
        if let (Some(Ok(chunk)), Some(remaining_bytes)) = (&chunk, &mut self.remaining_bytes) {
            *remaining_bytes = remaining_bytes.saturating_sub(chunk.len() as u64);
        }
        self.progress.record_chunk(chunk.is_none() || self.remaining_bytes == Some(0));
        Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining_bytes == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining_bytes.map(SizeHint::with_exact).unwrap_or_default()
    }
}
