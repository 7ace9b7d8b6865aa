//! A request that is open on a client connection.

use super::connection::ClientConnection;
use crate::body::{ByteArrivals, DetachRequest, DetachedBody};
use crate::client_sockets::{ClientSockets, UnseenBytes};
use std::convert::Infallible;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;
use tokio::time::Instant;

/// How often the arrival of bytes is observed that the proxy does not read yet.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

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

    /// How long ago the byte before `position` arrived, which the HTTP parser has read or may still read.
    /// `None` if it has not arrived.
    pub fn time_since_arrival(&self, position: u64) -> Option<Duration> {
        let arrivals = self.connection.arrivals();
        let arrived_at = arrivals.arrived_at(position);
        let since_arrival = arrived_at.map(|arrived_at| arrived_at.elapsed());
        since_arrival.or((position <= arrivals.read_bytes()).then_some(Duration::ZERO))
    }

    /// Whether the bytes up to `position` have arrived by now.
    pub fn has_arrived(&self, position: u64) -> bool {
        self.connection.observe_arrivals();
        self.time_since_arrival(position).is_some()
    }

    /// Observes periodically how many bytes have arrived.
    pub async fn observe_arrivals(&self) -> Infallible {
        loop {
            self.connection.observe_arrivals();
            tokio::time::sleep(ARRIVAL_CHECK_INTERVAL).await;
        }
    }

    /// How many bytes the client has written that have not arrived; see [`ClientSockets::unseen_bytes`].
    pub fn unseen_bytes(&self, sockets: &ClientSockets) -> UnseenBytes {
        sockets.unseen_bytes(&self.connection.socket)
    }

    /// Size of the system's receive buffer in bytes, including its overhead. 0 if the system does not report it.
    pub fn receive_buffer_bytes(&self) -> u64 {
        self.connection.socket.receive_buffer_bytes().map_or(0, |size| size as u64)
    }

    /// The position at which the HTTP parser's latest read began.
    pub fn latest_read_position(&self) -> u64 {
        self.connection.arrivals().latest_read_position()
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

impl ByteArrivals for OpenRequest {
    fn read_bytes(&self) -> u64 {
        self.connection.arrivals().read_bytes()
    }

    fn arrived_bytes(&self) -> u64 {
        self.connection.arrived_bytes()
    }

    fn latest_arrival(&self) -> Instant {
        self.connection.arrivals().latest()
    }

    async fn arrival(&self, position: u64) {
        let _reset = AwaitedArrival(&self.connection);
        poll_fn(|cx| self.connection.poll_arrival(cx, position)).await;
    }
}

/// Ends the wait for an arrival when dropped.
struct AwaitedArrival<'a>(&'a ClientConnection);

impl Drop for AwaitedArrival<'_> {
    fn drop(&mut self) {
        self.0.stop_awaiting_arrival();
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.connection.end_request(self.number);
    }
}
