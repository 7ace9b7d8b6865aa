//! A request that is open on a client connection.

use super::connection::ClientConnection;
use crate::body::{DetachRequest, DetachedBody};
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;

/// Keeps a request open until its response has been received completely and the request is no longer read.
pub struct OpenRequest {
    connection: Rc<ClientConnection>,
    /// Number of the request on its connection, from 1: a remainder of an earlier request must not end a
    /// later one.
    number: u64,
}

impl OpenRequest {
    /// Begins a request on a connection.
    pub fn begin(connection: &Rc<ClientConnection>) -> Rc<Self> {
        let number = connection.begin_request();
        Rc::new(OpenRequest { connection: Rc::clone(connection), number })
    }

    /// Whether this is the first request of its connection.
    pub fn is_first(&self) -> bool {
        self.number == 1
    }

    /// Records that the request has arrived completely.
    pub fn complete(&self) {
        self.connection.complete_request(self.number);
    }

    /// Records that the response begins. `detach_request`, if any, detaches it later.
    pub fn begin_response(&self, detach_request: Option<DetachRequest>) {
        self.connection.begin_response(self.number, detach_request);
    }

    /// See [`ClientConnection::flush_count`].
    pub fn flush_count(&self) -> u64 {
        self.connection.flush_count()
    }

    /// See [`ClientConnection::wake_at_flush`].
    pub fn wake_at_flush(&self, waker: &Waker) {
        self.connection.wake_at_flush(waker);
    }

    /// Sets the remainder of the response, which the HTTP parser will not write.
    pub fn detach(&self, rest: DetachedBody) {
        self.connection.detach(self.number, rest);
    }

    /// How long the request's body may stall in total, beyond the time that its size accounts for. Must be
    /// called when the request begins.
    pub fn body_slack(&self) -> Duration {
        self.connection.body_slack()
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.connection.end_request(self.number);
    }
}
