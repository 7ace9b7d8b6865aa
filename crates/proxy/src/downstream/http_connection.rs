//! Serves HTTP/1.1 on one client connection until it must close.

use super::client_presence::ClientPresence;
use super::close::{close_gracefully, EVICTION_LINGER_TIMEOUT, LINGER_TIMEOUT};
use super::connection::ClientConnection;
use super::detached_response::{deliver, deliver_for, DeliveryError, DeliveryState};
use super::head_memory::MAX_HEAD_BYTES;
use super::open_request::OpenRequest;
use super::rejection::reject_unread_request;
use super::request::{RequestContext, RequestHandler};
use super::response::TrackedBody;
use super::shutdown::ShutdownSignal;
use super::shutdown_writer::ShutdownWriter;
use super::stream::ObservedStream;
use crate::body::DetachedResponse;
use crate::clock::sleep_until;
use crate::hot_restart::{HandoverError, SuccessorAddress, SuccessorConnection};
use crate::metrics::RejectionReason;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{info, warn};

/// How long a response is delivered before it is offered again to a successor that has declined it. The processes share
/// out their memory anew about as often.
const HANDOVER_RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// How a connection ends.
#[derive(Debug)]
enum ConnectionEnd {
    /// Serving has ended; the client may still be connected.
    Finished,
    /// The connection is idle, and its capacity is needed for another.
    Evicted,
    /// The client disconnected before it received its response, or stopped receiving it.
    Abandoned,
    /// The remainder of the response goes to the successor.
    Detached(SuccessorConnection),
    /// No memory became available in time for the rest of a request's head.
    HeadRejected,
}

/// What follows when the HTTP parser is no longer polled.
#[derive(Debug)]
enum ServingEnd {
    /// The connection ends.
    Connection(ConnectionEnd),
    /// Another parser serves the rest of the connection, as a large head has enlarged the buffer of this one.
    ReplaceParser,
}

/// A client connection with the handler of its requests.
pub struct HttpConnection {
    pub connection: Rc<ClientConnection>,
    pub handler: Rc<RequestHandler>,
    pub shutdown: ShutdownSignal,
    /// The proxy is at capacity: the connection carries one request, which is rejected.
    pub at_capacity: bool,
    /// Address of the successor, if there can be one.
    pub successor: Option<SuccessorAddress>,
}

fn log_delivery(delivered: Result<(), DeliveryError>) {
    if let Err(error) = delivered {
        warn!(reason = %error, "detached response not delivered completely");
    }
}

impl HttpConnection {
    /// Serves the connection, then closes it.
    pub async fn serve(self) {
        // Lives until the connection is closed: it owns the reservation for an enlarged send buffer, whose
        // bytes the client must receive first.
        let shutdown_writer = ShutdownWriter::new(self.shutdown.clone(), Rc::clone(&self.handler.memory));
        let shutdown_writer = Rc::new(RefCell::new(shutdown_writer));
        let mut stream = ObservedStream::new(&self.connection, Rc::clone(&shutdown_writer));
        let end = loop {
            let this = &self;
            let service =
                service_fn(move |request| async move { Ok::<_, Infallible>(this.respond(request).await) });
            let mut serving = http1::Builder::new()
                .max_buf_size(MAX_HEAD_BYTES)
                .keep_alive(!self.at_capacity)
                .serve_connection(TokioIo::new(stream), service);
            match self.run_until_end(&mut serving).await {
                ServingEnd::Connection(end) => break end,
                ServingEnd::ReplaceParser => {
                    let parts = serving.into_parts();
                    stream = parts.io.into_inner().with_unparsed(&parts.read_buf);
                    self.connection.head_memory().release();
                }
            }
        };
        match end {
            ConnectionEnd::HeadRejected => {
                self.handler.dispatcher.count_rejected_unread(RejectionReason::Memory);
                self.connection.head_memory().log_rejection();
                reject_unread_request(&self.connection.socket).await;
            }
            ConnectionEnd::Finished => close_gracefully(&self.connection.socket, LINGER_TIMEOUT).await,
            ConnectionEnd::Evicted => {
                close_gracefully(&self.connection.socket, EVICTION_LINGER_TIMEOUT).await;
            }
            ConnectionEnd::Abandoned => {}
            ConnectionEnd::Detached(successor) => self.hand_over(successor).await,
        }
    }

    /// Hands the remainder of a detached response over to the successor. If the successor declines it, delivers it in
    /// this process meanwhile and offers it again; if that fails, delivers it for as long as the process runs.
    async fn hand_over(&self, successor: SuccessorConnection) {
        self.handler.memory.begin_handover();
        let client = self.connection.socket.clone();
        let mut response = DetachedResponse { client, rest: self.connection.detachment().take() };
        let mut successor = Some(successor);
        let mut is_decline_logged = false;
        while let Some(connected) = successor {
            let unsent_bytes = response.unsent_bytes();
            let remaining_bytes = response.remaining_bytes();
            let error = match connected.hand_over(&response).await {
                Ok(()) => {
                    info!(unsent_bytes, remaining_bytes, "response handed over to the successor");
                    return;
                }
                Err(error) => error,
            };
            let is_declined = matches!(error, HandoverError::Declined);
            if !is_declined || !std::mem::replace(&mut is_decline_logged, true) {
                let reason = error.to_string();
                warn!(unsent_bytes, remaining_bytes, reason, "response not handed over to the successor");
            }
            if !is_declined {
                break;
            }
            response = match deliver_for(HANDOVER_RETRY_INTERVAL, response, &self.handler.memory).await {
                DeliveryState::InProgress(response) => response,
                DeliveryState::Ended(delivered) => return log_delivery(delivered),
            };
            successor = self.connect_to_successor().await;
        }
        log_delivery(deliver(response, &self.handler.memory).await);
    }

    /// Connects to the successor, if there is one.
    async fn connect_to_successor(&self) -> Option<SuccessorConnection> {
        self.successor.as_ref()?.connect().await
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<TrackedBody> {
        let open = OpenRequest::begin(&self.connection);
        let mut response = if self.at_capacity {
            self.handler.reject(&request)
        } else {
            let context = RequestContext {
                open: Rc::clone(&open),
                client: ClientPresence::of(&self.connection),
                shutdown: self.shutdown.clone(),
            };
            self.handler.handle(request, context).await
        };
        if self.shutdown.borrow().is_some() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response.map(|body| TrackedBody::new(body, open))
    }

    /// How the connection ends after its deadline.
    fn end_at_deadline(&self) -> ConnectionEnd {
        if self.connection.is_stalled() {
            ConnectionEnd::Abandoned
        } else {
            ConnectionEnd::Finished
        }
    }

    async fn run_until_end(&self, serving: &mut (impl Future + Unpin)) -> ServingEnd {
        let connection = &self.connection;
        let mut shutdown = self.shutdown.clone();
        let mut peer_closed = pin!(connection.socket.peer_closed());
        let mut close_seen = false;
        let mut successor = None;
        let mut is_handover_tried = false;
        loop {
            let shutdown_state = *shutdown.borrow_and_update();
            let shutdown_began = shutdown_state.map(|shutdown| shutdown.began);
            let handover_at = shutdown_state.map(|shutdown| shutdown.handover_at());
            let may_hand_over = connection.is_detachable() && !is_handover_tried && self.successor.is_some();
            let deadline = connection.deadline(self.at_capacity, shutdown_began);
            tokio::select! {
                // Bytes that have arrived are read before the deadline is checked.
                biased;
                // The result is ignored: the connection's calls are dropped with the future.
                _ = &mut *serving => {
                    let end = successor.map_or(ConnectionEnd::Finished, ConnectionEnd::Detached);
                    return ServingEnd::Connection(end);
                }
                () = peer_closed.as_mut(), if !close_seen => {
                    close_seen = true;
                    connection.record_client_close();
                }
                // Unread bytes hide the client's close.
                () = connection.read_ahead(), if connection.awaits_response() => {}
                () = connection.check_delivery(), if connection.is_delivering() => {}
                () = sleep_until(deadline) => {
                    if let Some(end) = self.end_if_overdue(shutdown_began) {
                        return ServingEnd::Connection(end);
                    }
                }
                () = sleep_until(handover_at), if may_hand_over => {
                    is_handover_tried = true;
                    successor = self.connect_to_successor().await;
                    if successor.is_some() {
                        connection.begin_detachment();
                    }
                }
                () = sleep_until(connection.head_memory().wait_deadline()) => {
                    // The wait may have ended since, or another one begun.
                    if is_over(connection.head_memory().wait_deadline()) {
                        return ServingEnd::Connection(ConnectionEnd::HeadRejected);
                    }
                }
                () = connection.state_changed() => {}
                Ok(()) = shutdown.changed() => {}
                () = connection.evicted() => {
                    if connection.is_idle() {
                        return ServingEnd::Connection(ConnectionEnd::Evicted);
                    }
                }
            }
            if let Some(successor) = successor.take_if(|_| connection.is_detached()) {
                return ServingEnd::Connection(ConnectionEnd::Detached(successor));
            }
            if let Some(end) = self.serving_end() {
                return end;
            }
        }
    }

    /// Whether serving ends in the present state of the connection.
    fn serving_end(&self) -> Option<ServingEnd> {
        // Unread bytes, such as a part of the next request, hide the client's close from the HTTP parser.
        if self.connection.is_abandoned() {
            return Some(ServingEnd::Connection(ConnectionEnd::Abandoned));
        }
        self.connection.has_idle_enlarged_parser().then_some(ServingEnd::ReplaceParser)
    }

    /// How the connection ends if its deadline is over and its client has received all that was written.
    fn end_if_overdue(&self, shutdown_began: Option<Instant>) -> Option<ConnectionEnd> {
        let is_overdue = is_over(self.connection.deadline(self.at_capacity, shutdown_began));
        (is_overdue && !self.connection.await_delivery()).then(|| self.end_at_deadline())
    }
}

fn is_over(deadline: Option<Instant>) -> bool {
    deadline.is_some_and(|deadline| deadline <= Instant::now())
}
