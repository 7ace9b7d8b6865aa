//! One client connection: its phase, its time limits and whether the client is still connected.

mod reading_ahead;

use super::arrivals::Arrivals;
use super::deadline::{body_slack, ConnectionTimes, Phase};
use super::delivery::{PendingDelivery, DELIVERY_CHECK_INTERVAL};
use super::detachment::Detachment;
use super::head_memory::HeadMemory;
use super::idle::{IdleConnections, IdleKey};
use super::open_connections::{Activity, OpenConnection};
use super::read_ahead::ReadAhead;
use crate::body::{DetachRequest, DetachedBody, MemoryLimit};
use crate::client_sockets::ClientSockets;
use crate::socket::Socket;
use std::cell::Cell;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// One client connection.
pub struct ClientConnection {
    pub socket: Socket,
    idle_connections: Rc<IdleConnections>,
    idle_key: Cell<IdleKey>,
    evicted: Rc<Notify>,
    request_count: Cell<u64>,
    accepted_at: Instant,
    phase: Cell<Phase>,
    /// The response to the latest request has begun.
    response_begun: Cell<bool>,
    /// The HTTP parser has read the latest request to its end.
    is_request_read: Cell<bool>,
    open_connection: OpenConnection,
    /// When the client's socket stopped accepting bytes. `None` while it accepts them.
    write_stalled_since: Cell<Option<Instant>>,
    /// The response has filled the system's send buffer, so that the client is probably still receiving it
    /// after the last write.
    filled_send_buffer: Cell<bool>,
    /// Number of times that all pending bytes had been written.
    flush_count: Cell<u64>,
    /// The task to wake at the next flush.
    flush_waker: Cell<Option<Waker>>,
    /// The client has closed its side: it counts as disconnected, even if some of its bytes are still unread.
    client_closed: Cell<bool>,
    read_ahead: ReadAhead,
    client_sockets: Rc<ClientSockets>,
    head_memory: HeadMemory,
    arrivals: Arrivals,
    detachment: Detachment,
    state_changed: Notify,
}

impl ClientConnection {
    /// A connection that has just been accepted.
    pub fn new(
        socket: Socket,
        idle_connections: Rc<IdleConnections>,
        memory: Rc<MemoryLimit>,
        client_sockets: Rc<ClientSockets>,
        open_connection: OpenConnection,
    ) -> Rc<Self> {
        let connection = ClientConnection {
            socket,
            idle_connections,
            idle_key: Cell::default(),
            evicted: Rc::default(),
            request_count: Cell::new(0),
            accepted_at: Instant::now(),
            phase: Cell::new(Phase::RequestOpen),
            response_begun: Cell::default(),
            is_request_read: Cell::default(),
            open_connection,
            write_stalled_since: Cell::default(),
            filled_send_buffer: Cell::default(),
            flush_count: Cell::default(),
            flush_waker: Cell::default(),
            client_closed: Cell::default(),
            read_ahead: ReadAhead::new(Rc::clone(&memory)),
            client_sockets,
            head_memory: HeadMemory::new(memory),
            arrivals: Arrivals::new(Instant::now()),
            detachment: Detachment::default(),
            state_changed: Notify::new(),
        };
        connection.observe_arrivals_before_accept();
        connection.become_idle();
        Rc::new(connection)
    }

    fn become_idle(&self) {
        self.idle_key.set(self.idle_connections.insert(&self.evicted, &self.socket));
        self.enter(Phase::Idle { since: Instant::now() });
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.open_connection.set_activity(activity(phase, self.response_begun.get()));
        self.state_changed.notify_one();
    }

    /// Records that all pending bytes have been written.
    pub(super) fn record_flush(&self) {
        self.flush_count.set(self.flush_count.get() + 1);
        if let Some(waker) = self.flush_waker.take() {
            waker.wake();
        }
        if let Phase::WritingResponse = self.phase.get() {
            self.become_idle();
            if self.filled_send_buffer.replace(false) {
                self.await_delivery();
            }
        }
    }

    /// Number of times that all pending bytes had been written.
    pub(super) fn flush_count(&self) -> u64 {
        self.flush_count.get()
    }

    /// Wakes this task once all pending bytes have been written.
    pub(super) fn wake_at_flush(&self, waker: &Waker) {
        self.flush_waker.set(Some(waker.clone()));
    }

    /// Records that the client's socket accepted some bytes (`progressed`), or currently accepts none.
    pub(super) fn record_write(&self, progressed: bool) {
        if progressed {
            self.write_stalled_since.set(None);
        } else if self.write_stalled_since.get().is_none() {
            self.write_stalled_since.set(Some(Instant::now()));
            self.filled_send_buffer.set(true);
            self.state_changed.notify_one();
        }
    }

    /// Records that the HTTP parser has read `count` bytes of a request.
    pub(super) fn record_read(&self, count: usize) {
        self.arrivals.record_read(Instant::now(), count);
        self.leave_idle();
        if let Phase::ReadingHead { .. } = self.phase.get() {
            self.head_memory.record_read(count);
        }
    }

    /// How many bytes the HTTP parser may read now. Pending while no memory is left for more of a head.
    pub(super) fn poll_readable_bytes(&self, cx: &mut Context<'_>) -> Poll<usize> {
        match self.phase.get() {
            Phase::Idle { .. } | Phase::Delivering(_) | Phase::ReadingHead { .. } => {
                let was_waiting = self.head_memory.wait_deadline().is_some();
                let readable_bytes = self.head_memory.poll_readable_bytes(cx);
                if readable_bytes.is_pending() && !was_waiting {
                    self.observe_arrivals();
                    self.state_changed.notify_one();
                }
                readable_bytes
            }
            Phase::RequestOpen | Phase::AwaitingResponse | Phase::WritingResponse => Poll::Ready(usize::MAX),
        }
    }

    pub(super) fn head_memory(&self) -> &HeadMemory {
        &self.head_memory
    }

    /// Whether the HTTP parser keeps a buffer that a large head has enlarged, although it has read the whole request and
    /// the response has been written.
    pub(super) fn has_idle_enlarged_parser(&self) -> bool {
        self.is_idle()
            && self.is_request_read.get()
            && self.head_memory.is_enlarged()
            && !self.detachment.is_begun()
    }

    fn leave_idle(&self) {
        if let Phase::Idle { .. } | Phase::Delivering(_) = self.phase.get() {
            self.idle_connections.remove(self.idle_key.get());
            self.enter(Phase::ReadingHead { since: Instant::now() });
        }
    }

    /// Records that a request's head is complete. Returns the request's number on this connection, from 1.
    pub(super) fn begin_request(&self) -> u64 {
        self.leave_idle();
        self.head_memory.complete();
        self.request_count.set(self.request_count.get() + 1);
        self.response_begun.set(false);
        self.is_request_read.set(false);
        self.detachment.set_request(None);
        // The notification also triggers an immediate check whether the client has disconnected.
        self.enter(Phase::RequestOpen);
        self.request_count.get()
    }

    /// Records that the request with this number has arrived completely.
    pub(super) fn complete_request(&self, number: u64) {
        let is_open = matches!(self.phase.get(), Phase::RequestOpen);
        if is_open && self.request_count.get() == number {
            self.is_request_read.set(true);
            self.enter(Phase::AwaitingResponse);
        }
    }

    /// Records that the response to the request with this number begins. `detach_request`, if any, detaches
    /// it later.
    pub(super) fn begin_response(&self, number: u64, detach_request: Option<DetachRequest>) {
        if self.request_count.get() == number {
            self.response_begun.set(true);
            self.open_connection.set_activity(activity(self.phase.get(), true));
            self.detachment.set_request(detach_request);
            self.state_changed.notify_one();
        }
    }

    /// Whether the response that is being written can be detached.
    pub fn is_detachable(&self) -> bool {
        let is_request_complete =
            matches!(self.phase.get(), Phase::AwaitingResponse | Phase::WritingResponse);
        is_request_complete && self.detachment.is_possible()
    }

    /// Begins to detach the response that is being written. From now on, the client's socket is neither
    /// written to nor read from.
    pub fn begin_detachment(&self) {
        self.detachment.begin();
    }

    /// Sets the remainder of the response to the request with this number.
    pub(super) fn detach(&self, number: u64, rest: DetachedBody) {
        if self.request_count.get() == number {
            self.detachment.set_rest(rest);
            self.state_changed.notify_one();
        }
    }

    /// Whether the response that was being written has been detached, or written completely in the meantime.
    pub fn is_detached(&self) -> bool {
        let is_written = matches!(self.phase.get(), Phase::Idle { .. } | Phase::Delivering(_));
        self.detachment.is_begun() && (self.detachment.has_rest() || is_written)
    }

    pub fn detachment(&self) -> &Detachment {
        &self.detachment
    }

    /// Records that the response to the request with this number has been received completely and that the
    /// request is no longer read.
    pub(super) fn end_request(&self, number: u64) {
        if self.request_count.get() == number {
            // The notification triggers another check, as the last byte may have been written already.
            self.enter(Phase::WritingResponse);
        }
    }

    /// How long the body of the request that has just begun may stall in total, beyond the time that its size
    /// accounts for.
    pub(super) fn body_slack(&self) -> Duration {
        body_slack(self.request_count.get() <= 1, self.accepted_at)
    }

    /// Resolves when [`Self::deadline`] may have changed.
    pub async fn state_changed(&self) {
        self.state_changed.notified().await;
    }

    /// Resolves when the connection must close because its capacity is needed for another.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Whether no bytes of a next request have arrived after the last response was written.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase.get(), Phase::Idle { .. })
    }

    /// Makes an idle connection wait until its client's system has received the whole last response. False if
    /// the connection is not idle, or no bytes are unacknowledged.
    pub fn await_delivery(&self) -> bool {
        if !self.is_idle() {
            return false;
        }
        let unacknowledged_bytes = self.socket.unacknowledged_bytes();
        let Some(delivery) = PendingDelivery::begin(unacknowledged_bytes, Instant::now()) else {
            return false;
        };
        self.idle_connections.remove(self.idle_key.get());
        self.enter(Phase::Delivering(delivery));
        true
    }

    /// Whether the client's system has not yet received the whole last response.
    pub fn is_delivering(&self) -> bool {
        matches!(self.phase.get(), Phase::Delivering(_))
    }

    /// Checks after [`DELIVERY_CHECK_INTERVAL`] how many bytes of the last response are unacknowledged. The
    /// connection becomes idle once there are none.
    pub async fn check_delivery(&self) {
        tokio::time::sleep(DELIVERY_CHECK_INTERVAL).await;
        let Phase::Delivering(delivery) = self.phase.get() else { return };
        match delivery.update(self.socket.unacknowledged_bytes(), Instant::now()) {
            Some(delivery) => self.phase.set(Phase::Delivering(delivery)),
            None => self.become_idle(),
        }
    }

    /// Whether the client has stopped receiving its response. Meaningful only after the connection's
    /// deadline.
    pub fn is_stalled(&self) -> bool {
        match self.phase.get() {
            Phase::Idle { .. } | Phase::ReadingHead { .. } => false,
            Phase::RequestOpen | Phase::AwaitingResponse | Phase::WritingResponse => true,
            Phase::Delivering(delivery) => delivery.stalls_at() <= Instant::now(),
        }
    }

    /// Records that the client has closed its side.
    pub fn record_client_close(&self) {
        self.client_closed.set(true);
    }

    /// Whether the client has disconnected while a request is unanswered.
    pub fn is_abandoned(&self) -> bool {
        let is_unanswered = matches!(self.phase.get(), Phase::RequestOpen | Phase::AwaitingResponse);
        self.client_closed.get() && is_unanswered
    }

    /// Whether a complete request awaits its response.
    pub fn awaits_response(&self) -> bool {
        matches!(self.phase.get(), Phase::AwaitingResponse)
    }

    /// Observes bytes that arrived while the connection waited to be accepted.
    fn observe_arrivals_before_accept(&self) {
        let Some(age) = self.socket.time_since_latest_arrival() else { return };
        let arrived_at = Instant::now().checked_sub(age).unwrap_or(self.accepted_at);
        self.arrivals.record_unread(arrived_at, self.socket.unread_bytes());
    }

    /// Observes how many bytes have arrived, which the HTTP parser may have left unread.
    pub(super) fn observe_arrivals(&self) {
        let unread_bytes = self.read_ahead.len() + self.socket.unread_bytes();
        self.arrivals.record_unread(Instant::now(), unread_bytes);
    }

    /// Ready once the bytes up to `position` have arrived, the system has no room for more, or the client has
    /// closed. The low watermark stays set until [`Self::stop_awaiting_arrival`].
    pub(super) fn poll_arrival(&self, cx: &mut Context<'_>, position: u64) -> Poll<()> {
        let missing_bytes =
            position.saturating_sub(self.arrivals.read_bytes() + self.read_ahead.len() as u64);
        let missing_bytes = usize::try_from(missing_bytes).unwrap_or(usize::MAX);
        if self.socket.unread_bytes() >= missing_bytes {
            return Poll::Ready(());
        }
        self.socket.set_receive_low_watermark(missing_bytes);
        self.socket.poll_readable_at_watermark(cx)
    }

    /// Resets the low watermark that [`Self::poll_arrival`] has set.
    pub(super) fn stop_awaiting_arrival(&self) {
        self.socket.set_receive_low_watermark(1);
    }

    /// Number of bytes that have arrived, whether or not they have been read.
    pub(super) fn arrived_bytes(&self) -> u64 {
        self.observe_arrivals();
        self.arrivals.arrived_bytes()
    }

    pub(super) fn arrivals(&self) -> &Arrivals {
        &self.arrivals
    }

    pub(super) fn buffered_read_ahead(&self) -> &ReadAhead {
        &self.read_ahead
    }

    /// When the connection must close if no more bytes arrive; see [`ConnectionTimes::deadline`].
    pub fn deadline(&self, at_capacity: bool, shutdown_began: Option<Instant>) -> Option<Instant> {
        let times = ConnectionTimes {
            phase: self.phase.get(),
            accepted_at: self.accepted_at,
            awaits_first_request: self.request_count.get() == 0,
            write_stalled_since: self.write_stalled_since.get(),
        };
        times.deadline(at_capacity, shutdown_began)
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.idle_connections.remove(self.idle_key.get());
    }
}

/// The activity under which a connection is counted in this phase. A streamed response begins long before its
/// request ends.
fn activity(phase: Phase, response_begun: bool) -> Activity {
    match phase {
        Phase::Idle { .. } | Phase::ReadingHead { .. } | Phase::Delivering(_) => Activity::NoRequest,
        Phase::RequestOpen => Activity::IncompleteRequest,
        Phase::AwaitingResponse if !response_begun => Activity::AwaitingResponse,
        Phase::AwaitingResponse | Phase::WritingResponse => Activity::WritingResponse,
    }
}
