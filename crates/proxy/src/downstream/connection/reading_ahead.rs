//! Reads what a client sends after a request that awaits its response, and detects that the client has closed behind it.

use super::ClientConnection;
use crate::socket::READ_BUFFER_BYTES;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of bytes read in one check whether the client has closed: unread bytes hide a close. The
/// bound keeps a client that sends without end from stalling the proxy.
const MAX_CLOSE_SEARCH_BYTES: usize = 1 << 20;
/// Interval between checks whether the client has closed behind bytes that stay unread.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What an attempt to read ahead has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadAheadStep {
    /// So many bytes were read; 0 at the end of the stream.
    Read(usize),
    NoBytes,
    /// Bytes have arrived that cannot be buffered.
    NoCapacity,
}

impl ClientConnection {
    /// Reads bytes that arrive after a request that awaits its response, as far as they can be buffered.
    pub async fn read_ahead(&self) {
        self.socket.arrival().await;
        if self.try_read_ahead() == ReadAheadStep::NoCapacity {
            self.observe_client_socket();
            if !self.client_closed.get() {
                tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
            }
        }
        // A client that sends without end must not starve other tasks.
        tokio::task::yield_now().await;
    }

    /// Reads bytes that have arrived, if they can be buffered.
    fn try_read_ahead(&self) -> ReadAheadStep {
        let max_bytes = self.socket.unread_bytes().min(READ_BUFFER_BYTES);
        if !self.read_ahead.try_reserve(max_bytes) {
            return ReadAheadStep::NoCapacity;
        }
        // The end of the stream is read into a buffer of any size but 0.
        let read = self.socket.try_read_at_most_with(max_bytes.max(1), |bytes| self.record_read_ahead(bytes));
        read.map_or(ReadAheadStep::NoBytes, ReadAheadStep::Read)
    }

    /// Observes at the client's own socket what it has written, and whether it has closed, behind bytes that cannot be
    /// buffered.
    fn observe_client_socket(&self) {
        // In this order, no byte counts twice.
        let unread_bytes = self.read_ahead.len() + self.socket.unread_bytes();
        let Some(client_socket) = self.client_sockets.client_socket(&self.socket) else { return };
        if client_socket.is_closed {
            self.record_client_close();
        }
        self.arrivals.record_unread(
            Instant::now(),
            unread_bytes + client_socket.unsent_bytes.unwrap_or_default() as usize,
        );
    }

    /// Whether the client is known to have closed its side. Unread bytes hide a close, so they are read
    /// first.
    pub(in crate::downstream) fn has_client_closed(&self) -> bool {
        let mut budget_bytes = MAX_CLOSE_SEARCH_BYTES;
        while self.awaits_response() && !self.client_closed.get() && budget_bytes > 0 {
            match self.try_read_ahead() {
                ReadAheadStep::Read(count) => budget_bytes = budget_bytes.saturating_sub(count.max(1)),
                ReadAheadStep::NoBytes => break,
                ReadAheadStep::NoCapacity => {
                    self.observe_client_socket();
                    break;
                }
            }
        }
        self.client_closed.get() || self.socket.is_peer_closed()
    }

    /// Buffers bytes that were read ahead and returns their number. No bytes mark the end of the stream.
    fn record_read_ahead(&self, bytes: &[u8]) -> usize {
        if bytes.is_empty() {
            self.record_client_close();
        } else {
            self.read_ahead.push(bytes);
            self.observe_arrivals();
        }
        bytes.len()
    }
}
