//! A request and its one final answer, as they pass between the parts.

use crate::bodies::{Piece, Upload};
use crate::front::Presence;
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::http::{HeaderMap, Method, Uri};
use oakport_core::{ClassId, LoadReport, Micros, Outcome};
use std::rc::Rc;
use tokio::sync::mpsc;

/// A request as the client sent it, kept while it may still go to a host.
pub struct Request {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    /// The body, or the beginning of one that is too large to be held.
    pub body: Bytes,
    pub rest: Option<Rc<Upload>>,
    /// The length of the whole body, where its head tells it.
    pub length: Option<u64>,
    /// How long the client waits for the answer once all is there.
    pub time: Micros,
    /// Whether it still does.
    pub client: Presence,
}

/// What the module is told of a request.
#[derive(Debug)]
pub struct Intake {
    pub class: ClassId,
    pub tenant: Option<String>,
    pub resent: bool,
}

/// The one final answer.
#[derive(Debug)]
pub enum Answer {
    Served {
        body: Bytes,
        content_type: Option<HeaderValue>,
    },
    /// A large one that begins.
    Begun(Begun),
    Refused {
        retry_after: Micros,
    },
    Failed,
    /// The time was up before the module had ended the call.
    Overdue,
}

/// A large answer that begins.
#[derive(Debug)]
pub struct Begun {
    pub first: Bytes,
    pub rest: mpsc::Receiver<Piece>,
    pub length: Option<u64>,
    pub content_type: Option<HeaderValue>,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct Ended {
    pub outcome: Outcome,
    pub load: LoadReport,
    /// The whole body of a served answer, and its type. None also for one that was passed on by pieces.
    pub served: Option<(Bytes, Option<HeaderValue>)>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Ended { outcome, load: LoadReport::default(), served: None }
    }
}
