//! A request that is open on a client connection.

use super::connection::ClientConnection;
use crate::body::{ByteArrivals, DetachRequest, DetachedBody};
use crate::system_limits::send_buffer_limits;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;
use tokio::time::Instant;

/// How often the arrival of bytes is observed that the proxy does not read yet.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How much later than the client's timeout a final response may be given, with a margin to the 0.5 s that are permitted
/// (STANDING).
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(300);

/// Keeps a request open until its response has been received completely and the request is no longer read.
pub struct OpenRequest {
    connection: Rc<ClientConnection>,
    /// Number of the request on its connection, from 1: a remainder of an earlier request must not end a
    /// later one.
    number: u64,
    /// Since when the client may have written its last byte, although it waits in the client's own send buffer.
    possibly_written_since: Cell<Option<Instant>>,
}

impl OpenRequest {
    /// Begins a request on a connection.
    pub fn begin(connection: &Rc<ClientConnection>) -> Rc<Self> {
        let number = connection.begin_request();
        Rc::new(OpenRequest {
            connection: Rc::clone(connection),
            number,
            possibly_written_since: Cell::default(),
        })
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

    /// Resolves once the bytes up to `position`, the end of the request, have arrived, whether or not they have been
    /// read; or once the client may have written them for so long that its final response is due.
    pub async fn end_at(&self, position: u64, client_timeout: Duration) {
        let max_unseen_bytes = send_buffer_limits().map_or(0, |limits| limits.max_adapted_bytes as u64);
        let mut checked_at = Instant::now();
        while !self.has_arrived(position) {
            let missing_bytes = position.saturating_sub(self.connection.arrivals().arrived_bytes());
            // While bytes wait to be read, what follows them may wait in the client's send buffer.
            let may_be_written = missing_bytes <= max_unseen_bytes && self.connection.has_unread_bytes();
            let since = self.possibly_written_since.get().unwrap_or(checked_at);
            self.possibly_written_since.set(may_be_written.then_some(since));
            if self.time_since_possible_end() >= client_timeout {
                return;
            }
            checked_at = Instant::now();
            tokio::time::sleep(ARRIVAL_CHECK_INTERVAL).await;
        }
    }

    /// How long ago the client may have written its last byte at the earliest, less the time by which a final response
    /// may be late. Zero while that cannot be.
    pub fn time_since_possible_end(&self) -> Duration {
        let since = self.possibly_written_since.get().map(|since| since.elapsed());
        since.unwrap_or_default().saturating_sub(MAX_RESPONSE_DELAY)
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
