//! The remainder of a streamed response, detached from the HTTP parsers on both sides: its bytes are copied
//! unparsed.

use super::counted_bytes::CountedBytes;
use crate::descriptors::ConnectionDescriptors;
use crate::socket::Socket;
use std::rc::Rc;
use tokio::sync::Notify;

/// The part of a response of known length that its client has not received yet.
#[derive(Debug)]
pub struct DetachedBody {
    /// Chunks that have been read from the endpoint, in order.
    pub read: Vec<CountedBytes>,
    /// The connection that the bytes after `read` arrive on. `None` if all have been read.
    pub source: Option<BodySource>,
}

/// The remainder of a response of known length, with its connections to the client and to the endpoint.
#[derive(Debug)]
pub struct DetachedResponse {
    pub client: Socket,
    pub rest: DetachedBody,
}

impl DetachedResponse {
    /// Number of bytes that have been read from the endpoint and not yet written to the client's socket.
    pub fn unsent_bytes(&self) -> usize {
        self.rest.read.iter().map(CountedBytes::len).sum()
    }

    /// Number of bytes that are still to be read from the endpoint.
    pub fn remaining_bytes(&self) -> u64 {
        self.rest.source.as_ref().map_or(0, |source| source.remaining_bytes)
    }
}

/// A connection to an endpoint on which only the remainder of one body arrives.
#[derive(Debug)]
pub struct BodySource {
    pub socket: Socket,
    /// Number of bytes of the body that are still to be read.
    pub remaining_bytes: u64,
    /// Held while the connection is open.
    pub _descriptors: ConnectionDescriptors,
}

/// Requests the task that reads a response from its endpoint to detach it.
#[derive(Clone, Debug, Default)]
pub struct DetachRequest(Rc<Notify>);

impl DetachRequest {
    pub fn send(&self) {
        self.0.notify_one();
    }

    /// Resolves once the request has been sent.
    pub async fn received(&self) {
        self.0.notified().await;
    }
}
