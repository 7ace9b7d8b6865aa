//! Accepts client connections within the proxy's capacity until graceful shutdown closes the listener.

use super::connection::ClientConnection;
use super::detached_response::deliver;
use super::http_connection::HttpConnection;
use super::idle::IdleConnections;
use super::open_connections::{Activity, OpenConnections};
use super::request::RequestHandler;
use super::shutdown::{Shutdown, ShutdownSignal};
use crate::clock::sleep_until;
use crate::descriptors::{ConnectionDescriptors, Descriptor, Descriptors};
use crate::hot_restart::{HandoverError, HandoverListener, PredecessorConnection, SuccessorAddress};
use crate::memory_accounts::ConnectionMemory;
use crate::socket::Socket;
use crate::upstream::pool::ConnectionPool;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use tracing::{debug, info, warn};

/// In a graceful shutdown without a shared listener, connections are accepted for at least this long.
const SHUTDOWN_ACCEPT_TIME: Duration = Duration::from_millis(450);
/// Pause before accepting is retried when the system has no descriptor left.
const NO_DESCRIPTOR_PAUSE: Duration = Duration::from_millis(10);

/// Interval between checks for memory for another connection.
const NO_MEMORY_PAUSE: Duration = Duration::from_millis(5);

/// The client side of the proxy.
pub struct Downstream {
    pub handler: Rc<RequestHandler>,
    pub pool: Rc<ConnectionPool>,
    /// Descriptors for connections that are served.
    pub descriptors: Rc<Descriptors>,
    /// Descriptors reserved for connections that are accepted only to reject their request.
    pub reserved_descriptors: Rc<Descriptors>,
    /// Maximum number of connections that are served. They must leave descriptors for the connections to the
    /// endpoints: otherwise many clients could be accepted and none of them served.
    pub max_client_connections: usize,
    /// Maximum number of further connections that are accepted only to reject their request.
    pub max_rejected_connections: usize,
    pub idle_connections: Rc<IdleConnections>,
    pub open_connections: Rc<OpenConnections>,
    /// Address of the successor, if there can be one.
    pub successor: Option<SuccessorAddress>,
    /// Accepts the predecessor's connections for response handover, if there is a predecessor.
    pub handover_listener: Option<HandoverListener>,
}

/// The share of the proxy's capacity that an accepted connection occupies until it has closed.
struct ConnectionPermit {
    _slot: Option<OwnedSemaphorePermit>,
    _descriptor: Descriptor,
    _memory: ConnectionMemory,
}

/// The accept loop's state.
struct Acceptor {
    downstream: Rc<Downstream>,
    slots: Arc<Semaphore>,
    shutdown: ShutdownSignal,
    was_at_capacity: bool,
}

impl Downstream {
    /// Serves clients until `stop` resolves, then finishes the open requests. If the platform holds the
    /// listener (`shares_listener`), no connection is accepted after `stop`: those in its queue are left to
    /// the other process.
    pub async fn serve(
        self: Rc<Self>,
        listener: TcpListener,
        shares_listener: bool,
        stop: impl Future<Output = ()>,
    ) {
        let (shutdown_sender, shutdown) = watch::channel(None);
        let slot_count = self.max_client_connections + self.max_rejected_connections;
        let slots = Arc::new(Semaphore::new(slot_count));
        let dispatcher = &self.handler.dispatcher;
        let mut acceptor = Acceptor {
            downstream: Rc::clone(&self),
            slots: Arc::clone(&slots),
            shutdown,
            was_at_capacity: false,
        };
        let mut stop = pin!(stop);
        let mut accept_until: Option<Instant> = None;
        dispatcher.set_accepting(true);
        loop {
            tokio::select! {
                // Many waiting clients must not delay the shutdown, and the shutdown must not starve
                // accepting.
                biased;
                () = &mut stop, if accept_until.is_none() => {
                    // From now on each response closes its connection, and idle connections close
                    // immediately. New ones are still accepted, so that clients can move away before the
                    // listener closes.
                    let shutdown = Shutdown::begin(dispatcher.longest_deadline());
                    accept_until = Some(shutdown.began + SHUTDOWN_ACCEPT_TIME);
                    let _ = shutdown_sender.send(Some(shutdown));
                    dispatcher.set_accepting(false);
                    if shares_listener {
                        break;
                    }
                }
                predecessor = accept_predecessor(self.handover_listener.as_ref()) => {
                    acceptor.take_over(predecessor);
                }
                (accepted, slot) = acceptor.accept(&listener) => acceptor.handle(accepted, slot).await,
                () = sleep_until(accept_until) => break,
            }
        }
        if !shares_listener {
            acceptor.drain_backlog(listener);
        }
        // All slots are free once the last connection has closed. Every connection closes with its response
        // or at the time limit of a request.
        let _ = slots.acquire_many(slot_count as u32).await;
    }

    /// Takes one response over from the predecessor and delivers it.
    async fn take_response_over(&self, predecessor: PredecessorConnection) -> Result<(), HandoverError> {
        let offered = predecessor.read_offer().await?;
        let memory = &self.handler.memory;
        let required_bytes = offered.offer().unsent_bytes;
        let no_memory =
            || HandoverError::NoMemory { required_bytes, available_bytes: memory.left_for_handover_bytes() };
        let reservation = memory.try_take_over(required_bytes).ok_or_else(no_memory)?;
        let descriptors = ConnectionDescriptors::of_handed_over(self.descriptors.acquire_handed_over());
        let response = offered.accept(descriptors, reservation).await?;
        let unsent_bytes = response.unsent_bytes();
        let remaining_bytes = response.remaining_bytes();
        info!(unsent_bytes, remaining_bytes, "response taken over from the predecessor");
        if let Err(error) = deliver(response, memory).await {
            warn!(reason = %error, "detached response not delivered completely");
        }
        Ok(())
    }

    fn try_acquire_descriptor(&self) -> Option<Descriptor> {
        self.descriptors.try_acquire().or_else(|| {
            self.pool.evict_oldest();
            self.descriptors.try_acquire()
        })
    }
}

impl Acceptor {
    /// Accepts one connection. Without a free slot, clients wait in the listener's queue: rejected
    /// connections free their slots soon.
    async fn accept(&self, listener: &TcpListener) -> (io::Result<TcpStream>, Option<OwnedSemaphorePermit>) {
        let slot = Arc::clone(&self.slots).acquire_owned().await;
        let accepted = listener.accept().await;
        (accepted.map(|(stream, _)| stream), slot.ok())
    }

    async fn handle(&mut self, accepted: io::Result<TcpStream>, slot: Option<OwnedSemaphorePermit>) {
        match accepted {
            Ok(stream) => {
                self.await_memory().await;
                let at_capacity = (self.is_at_capacity()
                    && !self.downstream.idle_connections.evict_longest_idle())
                    || !self.downstream.handler.memory.has_memory_for_client();
                self.log_capacity_change(at_capacity);
                self.spawn_connection(stream, at_capacity, slot);
            }
            Err(error) => self.handle_accept_error(&error).await,
        }
    }

    /// Waits until there is memory for the connection that was accepted, and closes idle ones meanwhile.
    async fn await_memory(&self) {
        let memory = &self.downstream.handler.memory;
        if !memory.has_memory_for_client() && !self.downstream.pool.evict_oldest() {
            self.downstream.idle_connections.evict_longest_idle();
        }
        while !memory.has_memory_for_rejected_client() {
            tokio::time::sleep(NO_MEMORY_PAUSE).await;
        }
    }

    /// Whether only slots of connections to be rejected are left.
    fn is_at_capacity(&self) -> bool {
        self.slots.available_permits() < self.downstream.max_rejected_connections
    }

    fn log_capacity_change(&mut self, at_capacity: bool) {
        if at_capacity == self.was_at_capacity {
            return;
        }
        self.was_at_capacity = at_capacity;
        let max_connections = self.downstream.max_client_connections;
        let open_calls = self.downstream.handler.dispatcher.open_call_count();
        let state = if at_capacity { "at capacity" } else { "below capacity" };
        warn!(max_connections, state, open_calls, "client connection capacity state changed");
    }

    /// Accepts the connections in the queue of the listener before it closes, which would reset them. Calls
    /// the system directly, as the runtime may not have been notified of the latest connections yet.
    fn drain_backlog(&self, listener: TcpListener) {
        let Ok(listener) = listener.into_std() else { return };
        while let Ok(slot) = Arc::clone(&self.slots).try_acquire_owned() {
            let Ok((stream, _)) = listener.accept() else { return };
            let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            let Ok(stream) = stream else { return };
            self.spawn_connection(stream, self.is_at_capacity(), Some(slot));
        }
    }

    /// Closes an idle upstream connection, or pauses if there is none: running out of descriptors must not
    /// end the program.
    async fn handle_accept_error(&self, error: &io::Error) {
        let concerns_one_connection = matches!(
            error.kind(),
            io::ErrorKind::ConnectionAborted | io::ErrorKind::ConnectionReset | io::ErrorKind::Interrupted
        );
        if !concerns_one_connection && !self.downstream.pool.evict_oldest() {
            tokio::time::sleep(NO_DESCRIPTOR_PAUSE).await;
        }
    }

    /// Spawns a task that takes a response over from the predecessor and delivers it. Without capacity for
    /// it, the response stays with the predecessor.
    fn take_over(&self, predecessor: PredecessorConnection) {
        let Some(permit) = self.permit_for_handover() else {
            debug!(reason = %HandoverError::NoConnection, "response not taken over from the predecessor");
            return;
        };
        let downstream = Rc::clone(&self.downstream);
        let open_connection = downstream.open_connections.open();
        open_connection.set_activity(Activity::WritingResponse);
        tokio::task::spawn_local(async move {
            if let Err(error) = downstream.take_response_over(predecessor).await {
                debug!(reason = %error, "response not taken over from the predecessor");
            }
            drop((open_connection, permit));
        });
    }

    /// The capacity of a connection that the predecessor hands over. Its descriptor and its memory need not be left: the
    /// predecessor returns as much. `None` without a free slot.
    fn permit_for_handover(&self) -> Option<ConnectionPermit> {
        if self.is_at_capacity() {
            self.downstream.idle_connections.evict_longest_idle();
        }
        let slot = Arc::clone(&self.slots).try_acquire_owned().ok()?;
        let descriptor = self.downstream.descriptors.acquire_handed_over();
        let memory = self.downstream.handler.memory.client();
        Some(ConnectionPermit { _slot: Some(slot), _descriptor: descriptor, _memory: memory })
    }

    /// Spawns a task that serves a connection. Closes the connection immediately if no descriptor is left for
    /// it.
    fn spawn_connection(&self, stream: TcpStream, at_capacity: bool, slot: Option<OwnedSemaphorePermit>) {
        let downstream = &self.downstream;
        let (descriptor, at_capacity) = match downstream.try_acquire_descriptor() {
            Some(descriptor) => (Some(descriptor), at_capacity),
            None => (downstream.reserved_descriptors.try_acquire(), true),
        };
        let Some(descriptor) = descriptor else { return };
        let memory = &downstream.handler.memory;
        let memory = if at_capacity { memory.rejected_client() } else { memory.client() };
        let permit = ConnectionPermit { _slot: slot, _descriptor: descriptor, _memory: memory };
        let connection = HttpConnection {
            connection: ClientConnection::new(
                Socket::new(stream),
                Rc::clone(&downstream.idle_connections),
                Rc::clone(&downstream.handler.memory),
                Rc::clone(&downstream.handler.client_sockets),
                downstream.open_connections.open(),
            ),
            handler: Rc::clone(&downstream.handler),
            shutdown: self.shutdown.clone(),
            at_capacity,
            successor: downstream.successor.clone(),
        };
        tokio::task::spawn_local(async move {
            connection.serve().await;
            drop(permit);
        });
    }
}

/// Accepts the next connection of the predecessor. Pending without a listener.
async fn accept_predecessor(listener: Option<&HandoverListener>) -> PredecessorConnection {
    match listener {
        Some(listener) => listener.accept().await,
        None => std::future::pending().await,
    }
}
