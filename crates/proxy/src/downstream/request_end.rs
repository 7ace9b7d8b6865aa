//! Determines when the final response to a request that is streamed to its endpoint is due: the client's timeout begins
//! with the last byte that the client wrote, however late the endpoint lets the proxy read that byte.

use super::end_bound::EndBound;
use super::open_request::OpenRequest;
use super::open_window::{Arrived, OpenWindow, MAX_TRANSIT};
use crate::body::{ByteArrivals, ReadState, Upload};
use crate::client_sockets::{ClientSockets, UnseenBytes};
use crate::request::OverdueUpload;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// How often the client is observed.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(100);
/// How often it is observed if the kernel does not show its socket: only what arrives shows how much it has written.
const ARRIVAL_OBSERVATION_INTERVAL: Duration = Duration::from_millis(25);
/// How much later than the client's timeout a final response may be given, with a margin to the 0.5 s that are permitted
/// (STANDING).
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(300);
/// How soon an observation is repeated that finds unread bytes, which the proxy may be about to read.
const REPEATED_OBSERVATION_DELAY: Duration = Duration::from_millis(5);
/// The HTTP parser parses at most one chunk ahead of the reader. So the second chunk after a read was parsed after it.
const CHUNKS_AFTER_READ: u64 = 2;

/// What is observed of a client and its request at one time.
#[derive(Clone, Copy, Debug)]
struct Observation {
    at: Instant,
    arrived_bytes: u64,
    unread_bytes: u64,
    /// When the latest byte arrived.
    latest_arrival: Instant,
    read_state: ReadState,
}

impl Observation {
    fn take(open: &OpenRequest, upload: &Upload) -> Self {
        let arrived_bytes = open.arrived_bytes();
        Observation {
            at: Instant::now(),
            arrived_bytes,
            unread_bytes: arrived_bytes - open.read_bytes(),
            latest_arrival: open.latest_arrival(),
            read_state: upload.read_state(),
        }
    }

    /// Since when the proxy, which has read and passed on all that arrived, has waited for the client without a byte.
    fn waiting_since(&self) -> Option<Instant> {
        let since = self.read_state.waiting_since.filter(|_| self.unread_bytes == 0);
        since.map(|since| since.max(self.latest_arrival))
    }

    /// From when on the pause of the client, which has sent nothing since it was waited for, shows that no byte is in
    /// transit.
    fn pause_shown_at(&self) -> Option<Instant> {
        self.waiting_since().map(|since| since + MAX_TRANSIT)
    }

    fn arrived(&self) -> Arrived {
        Arrived { at: self.at, arrived_bytes: self.arrived_bytes, unread_bytes: self.unread_bytes }
    }
}

/// A position before which the request does not end, once further chunks have been received.
#[derive(Clone, Copy, Debug)]
struct ReadPosition {
    position: u64,
    chunk_count: u64,
}

/// Why the wait for the end of a request is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOfWait {
    /// The last byte has arrived.
    Arrived,
    /// The final response is due if the client wrote its last byte as early as it can have.
    ResponseDue,
}

/// The end of a request whose body is streamed.
pub struct RequestEnd<'a> {
    open: &'a OpenRequest,
    upload: &'a Upload,
    sockets: &'a ClientSockets,
    /// Position on the connection, where the head declares the length of the body.
    position: Option<u64>,
    /// How long the client waits for its response from then on.
    client_timeout: Duration,
    bound: EndBound,
    window: OpenWindow,
    previous: Observation,
    /// The kernel shows how much the client has written.
    is_client_socket_shown: bool,
    /// Bytes were unread at the previous observation, and none at the one before.
    has_new_unread_bytes: bool,
    read_position: ReadPosition,
}

impl<'a> RequestEnd<'a> {
    /// The end of a request that the client has not written before `not_before`.
    pub fn new(
        open: &'a OpenRequest,
        upload: &'a Upload,
        sockets: &'a ClientSockets,
        position: Option<u64>,
        client_timeout: Duration,
        not_before: Instant,
    ) -> Self {
        let previous = Observation::take(open, upload);
        let read_position = read_position(open, &previous);
        RequestEnd {
            open,
            upload,
            sockets,
            position,
            client_timeout,
            bound: EndBound::new(not_before),
            window: OpenWindow::default(),
            previous,
            is_client_socket_shown: false,
            has_new_unread_bytes: false,
            read_position,
        }
    }

    /// Waits until the last byte has arrived, or the final response is due although it has not.
    pub async fn wait(&mut self) -> EndOfWait {
        loop {
            self.observe();
            if self.position.is_some_and(|position| self.open.has_arrived(position)) {
                return EndOfWait::Arrived;
            }
            let due = self.bound.not_before() + self.client_timeout + MAX_RESPONSE_DELAY;
            if due <= Instant::now() {
                return EndOfWait::ResponseDue;
            }
            sleep_until(due.min(self.next_observation())).await;
        }
    }

    /// How long ago the client wrote its last byte, after this end of the wait: at least so long that the final response is
    /// given in time.
    pub fn time_since_end(&self, end_of_wait: EndOfWait) -> Duration {
        let since_earliest_end = self.bound.not_before().elapsed().saturating_sub(MAX_RESPONSE_DELAY);
        match end_of_wait {
            EndOfWait::Arrived => since_earliest_end.max(self.time_since_arrival()),
            EndOfWait::ResponseDue => since_earliest_end,
        }
    }

    fn time_since_arrival(&self) -> Duration {
        let position = self.position.unwrap_or_else(|| self.open.read_bytes());
        self.open.time_since_arrival(position).unwrap_or_default()
    }

    /// What is known of a request whose final response is due.
    pub fn overdue_upload(&self) -> OverdueUpload {
        OverdueUpload {
            received_chunks: self.previous.read_state.chunk_count,
            read_bytes: self.open.read_bytes(),
            unread_bytes: self.previous.unread_bytes,
            max_unseen_bytes: self.open.unseen_bytes(self.sockets).max(),
            time_since_earliest_end: self.bound.not_before().elapsed(),
        }
    }

    /// When to observe the client again: at the latest when its present pause, if any, shows that nothing is under way.
    fn next_observation(&self) -> Instant {
        let pause_shown_at = self.previous.pause_shown_at().filter(|at| *at > self.previous.at);
        let next = self.previous.at + self.observation_interval();
        pause_shown_at.map_or(next, |at| at.min(next))
    }

    /// Without the repetition, a client could write at just the interval of the observations, which would all find unread
    /// bytes.
    fn observation_interval(&self) -> Duration {
        if self.is_client_socket_shown {
            OBSERVATION_INTERVAL
        } else if self.has_new_unread_bytes {
            REPEATED_OBSERVATION_DELAY
        } else {
            ARRIVAL_OBSERVATION_INTERVAL
        }
    }

    fn observe(&mut self) {
        let current = Observation::take(self.open, self.upload);
        if let Some(written) = self.window.observe(current.arrived(), self.open.receive_buffer_bytes()) {
            self.bound.record_written(written.at, written.max_position);
        }
        if current.pause_shown_at().is_some_and(|at| at <= current.at) {
            // What the client had written by then would have arrived by now.
            self.bound.record_incomplete(current.at - MAX_TRANSIT);
        } else {
            // In this order: bytes that arrive in between count twice instead of never.
            let unseen_bytes = self.open.unseen_bytes(self.sockets);
            let arrived_bytes = self.open.arrived_bytes();
            self.bound.record_written(current.at, arrived_bytes.saturating_add(unseen_bytes.max()));
            self.is_client_socket_shown = matches!(unseen_bytes, UnseenBytes::Exactly(_));
        }
        let excluded_position = self.excluded_position(&current);
        self.bound.exclude_end_up_to(excluded_position);
        self.has_new_unread_bytes = self.previous.unread_bytes == 0 && current.unread_bytes > 0;
        self.previous = current;
    }

    /// The last position at which the request is known not to end.
    fn excluded_position(&mut self, current: &Observation) -> u64 {
        if let Some(end) = self.position {
            return end.saturating_sub(1);
        }
        if current.read_state.chunk_count < self.read_position.chunk_count + CHUNKS_AFTER_READ {
            return 0;
        }
        let next = read_position(self.open, current);
        std::mem::replace(&mut self.read_position, next).position
    }
}

/// The parser reads on once it has parsed everything before: what it parses after its latest read lies behind the
/// beginning of that read.
fn read_position(open: &OpenRequest, observation: &Observation) -> ReadPosition {
    let position = open.latest_read_position();
    ReadPosition { position, chunk_count: observation.read_state.chunk_count }
}
