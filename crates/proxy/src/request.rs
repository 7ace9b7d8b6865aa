//! A client's request, as passed from the downstream to the upstream side of the proxy.

use crate::body::Upload;
use crate::downstream::client_presence::ClientPresence;
use crate::request_id_table::RequestDigest;
use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::http::{HeaderMap, HeaderValue, Method, Uri};
use oakport_core::{ClassId, Micros};
use std::rc::Rc;
use std::time::Duration;

/// Identifies a request; a retry by the client has a new id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// A request as the client sent it, buffered while an attempt may still need it.
pub struct Request {
    /// The request method.
    pub method: Method,
    /// The request target.
    pub uri: Uri,
    /// The request headers, including hop-by-hop headers.
    pub headers: HeaderMap,
    /// The body; empty if it is streamed.
    pub body: Bytes,
    /// A body that is streamed.
    pub upload: Option<Rc<Upload>>,
    /// The length of the complete body in bytes, if the request head states it.
    pub length: Option<u64>,
    /// How long the client waits for the response after the request is complete, in microseconds.
    pub client_timeout: Micros,
    /// The digest of the id of a request that must not run twice; `None` for an idempotent one.
    pub single_run: Option<RequestDigest>,
    /// Tracks whether the client is still connected.
    pub client: ClientPresence,
}

impl Request {
    /// The client's request id, for the log; empty if missing or not valid text.
    pub fn id(&self) -> &str {
        let id = self.headers.get(REQUEST_ID_HEADER);
        id.and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// A request that has not been read to its end although its final response is due.
#[derive(Clone, Copy, Debug)]
pub struct OverdueUpload {
    /// Number of chunks of the body that have been received.
    pub received_chunks: u64,
    /// Number of bytes that have been read from the connection.
    pub read_bytes: u64,
    /// Number of bytes that have arrived and have not been read.
    pub unread_bytes: u64,
    /// At most how many bytes wait in the client's own send buffer.
    pub max_unseen_bytes: u64,
    /// How long ago the client can have written its last byte.
    pub time_since_earliest_end: Duration,
}

/// A copy of a header value that does not keep the buffer allocated that it was read into.
pub fn unshared(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

/// A copy of a request's head that does not keep the parser's buffer allocated while the request is served.
pub fn unshared_head(parts: &Parts) -> Parts {
    let (mut copy, ()) = hyper::Request::new(()).into_parts();
    copy.method = parts.method.clone();
    copy.uri = parts.uri.to_string().parse().unwrap_or_else(|_| parts.uri.clone());
    copy.headers = parts.headers.iter().map(|(name, value)| (name.clone(), unshared(value))).collect();
    copy
}

/// The attributes of a request that the balancer uses.
#[derive(Debug)]
pub struct CallAttributes {
    /// The class of the request.
    pub class: ClassId,
    /// The name of the tenant, if the request states one.
    pub tenant: Option<String>,
    /// Whether the client has marked the request as a retry.
    pub is_retry: bool,
}
