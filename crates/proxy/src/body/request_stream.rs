//! A request's body on its way to a host, and how far it has got.

use super::upload::{BodyError, Upload};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::Instant;

/// Whether all of a request has been handed to the socket.
#[derive(Debug, Default)]
pub struct WriteProgress {
    /// The last write took all that there was.
    pub emptied: Cell<bool>,
    /// Nothing more comes.
    ended: Cell<bool>,
    /// Since when the socket has taken nothing.
    stuck: Cell<Option<Instant>>,
}

impl WriteProgress {
    /// Was the last byte handed over?
    pub fn is_complete(&self) -> bool {
        self.ended.get() && self.emptied.get()
    }

    /// The socket has taken something, or for now takes nothing.
    pub fn record_write(&self, some: bool) {
        self.stuck.set(if some { None } else { self.stuck.get().or_else(|| Some(Instant::now())) });
    }

    /// How long it has taken nothing.
    pub fn stalled_for(&self) -> Duration {
        self.stuck.get().map(|since| since.elapsed()).unwrap_or_default()
    }

    fn more(&self, ended: bool) {
        self.emptied.set(false);
        self.ended.set(ended);
    }
}

/// A request's body as it goes to a host.
pub struct RequestStream {
    first: Bytes,
    rest: Option<Rc<Upload>>,
    /// What is still to come, where its length is known.
    left: Option<u64>,
    handover: Rc<WriteProgress>,
}

impl RequestStream {
    pub fn new(first: Bytes, rest: Option<(Rc<Upload>, Option<u64>)>, handover: Rc<WriteProgress>) -> Self {
        let (rest, left) = match rest {
            Some((rest, length)) => (Some(rest), length),
            None => (None, Some(first.len() as u64)),
        };
        handover.more(first.is_empty() && rest.is_none());
        RequestStream { first, rest, left, handover }
    }
}

impl Body for RequestStream {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let piece = if !self.first.is_empty() {
            Some(Ok(std::mem::take(&mut self.first)))
        } else if let Some(rest) = &self.rest {
            std::task::ready!(rest.poll_piece(cx))
        } else {
            None
        };
        if let (Some(Ok(piece)), Some(left)) = (&piece, &mut self.left) {
            *left = left.saturating_sub(piece.len() as u64);
        }
        self.handover.more(piece.is_none() || self.left == Some(0));
        Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.left == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map(SizeHint::with_exact).unwrap_or_default()
    }
}
