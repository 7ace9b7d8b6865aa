//! The rest of a streamed response, taken out of the HTTP parsers on both sides: its remaining bytes are copied as they come.

use crate::descriptors::ConnectionDescriptors;
use crate::socket::Socket;
use bytes::Bytes;
use std::rc::Rc;
use tokio::sync::Notify;

/// What a client has yet to get of a response whose length is known.
#[derive(Debug)]
pub struct DetachedBody {
    /// What has been read, in its order.
    pub read: Vec<Bytes>,
    /// Where the bytes behind it come from; None: there are none.
    pub source: Option<BodySource>,
}

/// A response whose length is known, with the connections that it goes between.
#[derive(Debug)]
pub struct DetachedResponse {
    pub client: Socket,
    pub rest: DetachedBody,
}

impl DetachedResponse {
    /// How many bytes of it have been read and are not written to the client's socket.
    pub fn unsent_bytes(&self) -> usize {
        self.rest.read.iter().map(Bytes::len).sum()
    }

    /// How many bytes of it are still to be read from its endpoint.
    pub fn remaining_bytes(&self) -> u64 {
        self.rest.source.as_ref().map_or(0, |source| source.remaining_bytes)
    }
}

/// A connection to an endpoint on which the rest of a body arrives, and nothing else.
#[derive(Debug)]
pub struct BodySource {
    pub socket: Socket,
    /// How many bytes of the body are still to be read.
    pub remaining_bytes: u64,
    /// Held while the connection is open.
    pub _descriptors: ConnectionDescriptors,
}

/// Asks whoever reads a response from its endpoint to detach it.
#[derive(Clone, Debug, Default)]
pub struct DetachRequest(Rc<Notify>);

impl DetachRequest {
    /// Asks for it.
    pub fn send(&self) {
        self.0.notify_one();
    }

    /// Resolves once it is asked for.
    pub async fn received(&self) {
        self.0.notified().await;
    }
}
