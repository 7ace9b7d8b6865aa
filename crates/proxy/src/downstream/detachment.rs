//! Takes a streamed response out of the HTTP parser of its client's connection, without losing or repeating a byte.

use crate::body::{DetachRequest, DetachedBody};
use bytes::{Bytes, BytesMut};
use std::cell::{Cell, RefCell};

/// Detaches the response that a connection writes. From the beginning of that on, what the parser writes is captured: it is
/// a part of the response that the client's socket has not got.
#[derive(Debug, Default)]
pub struct Detachment {
    /// Detaches the current response, if that is possible.
    request: RefCell<Option<DetachRequest>>,
    is_begun: Cell<bool>,
    captured: RefCell<BytesMut>,
    rest: RefCell<Option<DetachedBody>>,
}

impl Detachment {
    /// A response begins, which this can detach.
    pub fn set_request(&self, request: Option<DetachRequest>) {
        self.request.replace(request);
    }

    /// Can the current response be detached?
    pub fn is_possible(&self) -> bool {
        self.request.borrow().is_some() && !self.is_begun.get()
    }

    /// Begins to detach the current response.
    pub fn begin(&self) {
        if let Some(request) = &*self.request.borrow() {
            self.is_begun.set(true);
            request.send();
        }
    }

    pub fn is_begun(&self) -> bool {
        self.is_begun.get()
    }

    /// Keeps what the parser writes, if the detachment has begun.
    pub fn try_capture(&self, bytes: &[u8]) -> bool {
        if self.is_begun.get() {
            self.captured.borrow_mut().extend_from_slice(bytes);
        }
        self.is_begun.get()
    }

    /// All that the parser will not write.
    pub fn set_rest(&self, rest: DetachedBody) {
        self.rest.replace(Some(rest));
    }

    pub fn has_rest(&self) -> bool {
        self.rest.borrow().is_some()
    }

    /// All that the client's socket has not got of the response. Without a rest the parser has written it to its end.
    pub fn take(&self) -> DetachedBody {
        let captured: Bytes = self.captured.take().freeze();
        let mut rest = self.rest.take().unwrap_or(DetachedBody { read: Vec::new(), source: None });
        rest.read.insert(0, captured);
        rest
    }
}
