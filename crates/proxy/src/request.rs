//! A client's request, as it passes between the parts of the proxy.

use crate::body::Upload;
use crate::downstream::connection::ClientPresence;
use bytes::Bytes;
use hyper::http::{HeaderMap, Method, Uri};
use oakport_core::{ClassId, Micros};
use std::rc::Rc;

/// Identifies a request; a client's retry has an id of its own.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// A request as the client sent it, buffered while an attempt may still need it.
pub struct Request {
    /// The client's method.
    pub method: Method,
    /// The client's target.
    pub uri: Uri,
    /// The client's headers, those of its connection included.
    pub headers: HeaderMap,
    /// The body, or the beginning of one that is too large to be buffered.
    pub body: Bytes,
    /// The rest of a body that is too large to be buffered.
    pub upload: Option<Rc<Upload>>,
    /// The length of the complete body in bytes, if its head states it.
    pub length: Option<u64>,
    /// How long the client waits for the answer once the request is complete, in microseconds.
    pub client_timeout: Micros,
    /// Whether the client is still connected.
    pub client: ClientPresence,
}

impl Request {
    /// The client's identifier of it, for the log; empty if it is no text.
    pub fn id(&self) -> &str {
        let id = self.headers.get(REQUEST_ID_HEADER);
        id.and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// What the balancer needs to know of a request.
#[derive(Debug)]
pub struct CallAttributes {
    /// Its class.
    pub class: ClassId,
    /// The name of its tenant, if it states one.
    pub tenant: Option<String>,
    /// The client says that this is a retry.
    pub is_retry: bool,
}
