//! A client's request, as it passes between the parts of the proxy.

use crate::body::Upload;
use crate::downstream::connection::ClientPresence;
use bytes::Bytes;
use hyper::http::{HeaderMap, Method, Uri};
use oakport_core::{ClassId, Micros};
use std::rc::Rc;

/// A request as the client sent it, kept while it may still go to a host.
pub struct Request {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    /// The body, or the beginning of one that is too large to be held.
    pub body: Bytes,
    pub upload: Option<Rc<Upload>>,
    /// The length of the whole body, where its head tells it.
    pub length: Option<u64>,
    /// How long the client waits for the answer once all is there.
    pub client_timeout: Micros,
    /// Whether it still does.
    pub client: ClientPresence,
}

/// What the module is told of a request.
#[derive(Debug)]
pub struct CallAttributes {
    pub class: ClassId,
    pub tenant: Option<String>,
    pub is_retry: bool,
}
