//! Detaches a streamed response from the HTTP parser of its client's connection, without losing or repeating
//! a byte.

use crate::body::{DetachRequest, DetachedBody};
use bytes::{Bytes, BytesMut};
use std::cell::{Cell, RefCell};

/// Detaches the response that a connection writes. Once the detachment has begun, the bytes that the parser
/// writes are captured: they belong to the response, but have not been written to the client's socket.
#[derive(Debug, Default)]
pub struct Detachment {
    /// Requests the current response to be detached. `None` if it cannot be.
    request: RefCell<Option<DetachRequest>>,
    is_begun: Cell<bool>,
    captured: RefCell<BytesMut>,
    rest: RefCell<Option<DetachedBody>>,
}

impl Detachment {
    /// Sets the request that detaches the response that begins now. `None` if the response cannot be
    /// detached.
    pub fn set_request(&self, request: Option<DetachRequest>) {
        self.request.replace(request);
    }

    /// Whether the current response can be detached.
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

    /// Captures bytes that the parser writes, if the detachment has begun. False if it has not.
    pub fn try_capture(&self, bytes: &[u8]) -> bool {
        if self.is_begun.get() {
            self.captured.borrow_mut().extend_from_slice(bytes);
        }
        self.is_begun.get()
    }

    /// Sets the remainder of the response, which the parser will not write.
    pub fn set_rest(&self, rest: DetachedBody) {
        self.rest.replace(Some(rest));
    }

    pub fn has_rest(&self) -> bool {
        self.rest.borrow().is_some()
    }

    /// Takes all of the response that has not been written to the client's socket. Without a remainder, the
    /// captured bytes run to its end.
    pub fn take(&self) -> DetachedBody {
        let captured: Bytes = self.captured.take().freeze();
        let mut rest = self.rest.take().unwrap_or(DetachedBody { read: Vec::new(), source: None });
        rest.read.insert(0, captured.into());
        rest
    }
}
