//! A request that is open on a client connection.

use super::connection::ClientConnection;
use crate::body::{DetachRequest, DetachedBody};
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;

/// Keeps a request open until its response is there in full and nothing of the request is read any more.
pub struct OpenRequest {
    connection: Rc<ClientConnection>,
    /// Which request of its connection, from 1: what remains of an earlier one must not end a later one.
    number: u64,
}

impl OpenRequest {
    /// A request begins on a connection.
    pub fn begin(connection: &Rc<ClientConnection>) -> Rc<Self> {
        let number = connection.begin_request();
        Rc::new(OpenRequest { connection: Rc::clone(connection), number })
    }

    /// Is it the first request of its connection?
    pub fn is_first(&self) -> bool {
        self.number == 1
    }

    /// All of the request has arrived.
    pub fn complete(&self) {
        self.connection.complete_request(self.number);
    }

    /// Its response begins. Its rest can be detached by the request that comes with it.
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

    /// This is all that is left of its response, and is not written by the HTTP parser.
    pub fn detach(&self, rest: DetachedBody) {
        self.connection.detach(self.number, rest);
    }

    /// How long its body may stall in total, beyond what its size explains. To be called as the request begins.
    pub fn body_slack(&self) -> Duration {
        self.connection.body_slack()
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.connection.end_request(self.number);
    }
}
