//! Pools the connections to all endpoints, and opens new ones.

use crate::body::MemoryLimit;
use crate::clock::Clock;
use crate::descriptors::ConnectionDescriptors;
use crate::descriptors::Descriptors;
use crate::metrics::Metrics;
use crate::socket::{is_short_of_resources, Socket};
use crate::upstream::connection::UpstreamConnection;
use crate::upstream::endpoint_connections::EndpointConnections;
use crate::upstream::limits::ConnectionLimits;
use crate::upstream::preconnect::{ConnectionDemand, REUSE_COOLDOWN_US};
use crate::upstream::response_times::ResponseTimes;
use nix::errno::Errno;
use oakport_core::settings_wire::TransportSettings;
use oakport_core::{EndpointId, Micros, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tracing::warn;

/// A call waits for the observation of a connection only if its remaining time is at least this many times
/// the wait.
const MIN_REMAINING_TIME_TO_WAIT_RATIO: Micros = 4;

/// A connect is retried after so many failures of this system.
const MAX_LOCAL_FAILURES: usize = 4;
const LOCAL_FAILURE_PAUSE: Duration = Duration::from_millis(3);
/// Interval between checks for memory for another connection.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The destination of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    /// The endpoint's generation; connections of an earlier one are not used.
    pub generation: u64,
}

/// Why no connection could be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConnectError {
    /// A limit of the process or the system, which says nothing about the endpoint.
    #[error("no file descriptor or memory left for the connection")]
    NoDescriptor,
    /// The endpoint refused or closed the connection, or did not accept it in time.
    #[error("connect to the endpoint failed or timed out")]
    Failed,
}

impl From<ConnectError> for Outcome {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::NoDescriptor => Outcome::NotSent,
            ConnectError::Failed => Outcome::ConnectFailed,
        }
    }
}

/// Why the pool has no connection available for a call.
enum Unavailable {
    /// No connection is idle.
    NoneIdle,
    /// All idle connections are in their reuse cooldown or under observation.
    CoolingDown(Cooldown),
}

/// A pending reuse cooldown, or the pending observation of an endpoint that is not yet trusted.
struct Cooldown {
    /// When the first of the connections becomes reusable.
    until: Micros,
    /// Notified if another connection becomes reusable earlier, or if the endpoint becomes less trusted.
    reusable: Rc<Notify>,
    /// The socket of the first connection; data that arrives on it prevents its reuse.
    socket: Socket,
}

/// The connections to all endpoints.
pub struct ConnectionPool {
    endpoints: RefCell<HashMap<EndpointId, EndpointConnections>>,
    /// The demand that recent calls to all endpoints show.
    total_demand: RefCell<ConnectionDemand>,
    /// How long responses take.
    pub response_times: RefCell<ResponseTimes>,
    descriptors: Rc<Descriptors>,
    pub clock: Clock,
    pub metrics: Rc<Metrics>,
    /// The memory for the bodies of requests and responses.
    pub memory: Rc<MemoryLimit>,
    limits: Cell<ConnectionLimits>,
}

impl ConnectionPool {
    /// An empty pool for one of `proxy_count` client proxies.
    pub fn new(
        transport: TransportSettings,
        proxy_count: u32,
        descriptors: Rc<Descriptors>,
        clock: Clock,
        metrics: Rc<Metrics>,
        memory: Rc<MemoryLimit>,
    ) -> Rc<Self> {
        Rc::new(ConnectionPool {
            endpoints: RefCell::default(),
            total_demand: RefCell::default(),
            response_times: RefCell::default(),
            descriptors,
            clock,
            metrics,
            memory,
            limits: Cell::new(ConnectionLimits::new(transport, proxy_count)),
        })
    }

    /// Applies new settings.
    pub fn apply_settings(&self, transport: TransportSettings, proxy_count: u32) {
        self.limits.set(ConnectionLimits::new(transport, proxy_count));
    }

    /// Closes the idle connections to an endpoint now, and those in use of generations before `generation`
    /// when they are returned. Otherwise a draining endpoint would keep connections that are no longer used.
    pub fn close_outdated(&self, endpoint: EndpointId, generation: u64) {
        self.endpoints.borrow_mut().entry(endpoint).or_default().close_outdated(generation);
    }

    /// Resolves once the connections of a target are outdated: its endpoint is draining, has been removed, or
    /// has been replaced by another process.
    pub fn outdated(&self, target: &Target) -> impl Future<Output = ()> {
        let mut endpoints = self.endpoints.borrow_mut();
        let mut current = endpoints.entry(target.endpoint).or_default().generation.subscribe();
        let generation = target.generation;
        async move {
            if current.wait_for(|&current| current > generation).await.is_err() {
                std::future::pending().await
            }
        }
    }

    /// Closes connections that have been idle for too long, and surplus ones to endpoints whose calls have
    /// ceased.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let limits = self.limits.get();
        for connections in self.endpoints.borrow_mut().values_mut() {
            connections.close_expired(now, &limits);
        }
    }

    /// Closes the connection that has been idle longest, to free its descriptor. Returns false if none is
    /// idle.
    pub fn evict_oldest(&self) -> bool {
        let mut endpoints = self.endpoints.borrow_mut();
        let with_idle = endpoints.values_mut().filter(|connections| !connections.idle.is_empty());
        let oldest =
            with_idle.min_by_key(|connections| connections.idle.front().map(|first| first.reusable_at));
        oldest.and_then(|connections| connections.idle.pop_front()).is_some()
    }

    /// Takes an idle connection that is still open. If none is reusable yet, waits for the first: a new
    /// connection costs its endpoint work and its first request time. `None` if no connection is idle, or if
    /// the wait would take too much of the call's remaining time.
    pub async fn checkout(
        self: &Rc<Self>,
        target: &Target,
        remaining_time: Micros,
    ) -> Option<UpstreamConnection> {
        let arrived_at = self.clock.now();
        self.endpoints.borrow_mut().entry(target.endpoint).or_default().demand.record_call(arrived_at);
        self.total_demand.borrow_mut().record_call(arrived_at);
        let mut has_waited = false;
        loop {
            let now = self.clock.now();
            match self.take_reusable(target, now) {
                Ok(mut connection) => {
                    if self.is_usable(&mut connection, target).await {
                        return Some(connection);
                    }
                }
                Err(Unavailable::NoneIdle) => return None,
                Err(Unavailable::CoolingDown(cooldown)) => {
                    if !can_afford_wait(cooldown.until.saturating_sub(now), remaining_time) {
                        return None;
                    }
                    if !has_waited {
                        has_waited = true;
                        self.record_cooldown_wait(target, cooldown.until, now);
                    }
                    tokio::select! {
                        () = tokio::time::sleep_until(self.clock.instant(cooldown.until)) => {}
                        () = cooldown.reusable.notified() => {}
                        () = cooldown.socket.arrival() => {}
                    }
                }
            }
        }
    }

    fn take_reusable(&self, target: &Target, now: Micros) -> Result<UpstreamConnection, Unavailable> {
        let mut endpoints = self.endpoints.borrow_mut();
        let connections = endpoints.get_mut(&target.endpoint).ok_or(Unavailable::NoneIdle)?;
        if connections.observe(now) {
            self.distrust(target, connections);
        }
        if let Some(connection) = connections.take_reusable(now, &self.limits.get()) {
            return Ok(connection);
        }
        let until = connections.next_reusable_at(now).ok_or(Unavailable::NoneIdle)?;
        let first = connections.idle.front().ok_or(Unavailable::NoneIdle)?;
        let reusable = Rc::clone(&connections.reusable);
        Err(Unavailable::CoolingDown(Cooldown { until, reusable, socket: first.socket().clone() }))
    }

    /// Records that an endpoint has sent unsolicited data.
    pub fn record_unsolicited_data(&self, target: &Target) {
        let mut endpoints = self.endpoints.borrow_mut();
        self.distrust(target, endpoints.entry(target.endpoint).or_default());
    }

    fn distrust(&self, target: &Target, connections: &mut EndpointConnections) {
        self.metrics.count_unsolicited_data();
        if connections.distrust(self.clock.now()) {
            let address = target.address;
            warn!(%address, "unsolicited data received from endpoint; connection reuse restricted");
        }
    }

    /// Whether an idle connection can be used for a request to this target.
    async fn is_usable(&self, connection: &mut UpstreamConnection, target: &Target) -> bool {
        let expires_at = connection.reusable_at + self.limits.get().max_idle;
        let is_open = expires_at > self.clock.now()
            && connection.generation == target.generation
            && connection.is_alive().await;
        if connection.has_unsolicited_data() {
            self.record_unsolicited_data(target);
            return false;
        }
        is_open
    }

    /// Records that a call waits for the reuse cooldown to end at `until`, and preconnects if the waits
    /// justify it.
    fn record_cooldown_wait(self: &Rc<Self>, target: &Target, until: Micros, now: Micros) {
        let mut endpoints = self.endpoints.borrow_mut();
        let Some(connections) = endpoints.get_mut(&target.endpoint) else { return };
        self.metrics.count_cooldown_wait();
        connections.demand.record_wait(now);
        let mut total_demand = self.total_demand.borrow_mut();
        total_demand.record_wait(now);
        let remaining_cooldown = until.saturating_sub(now);
        if connections.waits_need_another(&total_demand, remaining_cooldown, &self.limits.get()) {
            self.preconnect(target, connections);
        }
    }

    /// Opens a connection for future calls, within the limits. Does not close an idle connection to free a
    /// descriptor.
    fn preconnect(self: &Rc<Self>, target: &Target, connections: &EndpointConnections) {
        if !connections.may_preconnect(self.clock.now(), &self.limits.get()) {
            return;
        }
        let Some(descriptors) = self.acquire_descriptors(connections) else { return };
        let pool = Rc::clone(self);
        let target = *target;
        tokio::task::spawn_local(async move {
            if let Ok(connection) = pool.open(&target, descriptors).await {
                pool.return_unused(&target, connection).await;
            }
        });
    }

    /// `None` if no descriptor or no memory is left for another connection.
    fn acquire_descriptors(&self, connections: &EndpointConnections) -> Option<ConnectionDescriptors> {
        if !self.memory.has_memory_for_endpoint_connection() {
            return None;
        }
        let process = self.descriptors.try_acquire()?;
        let endpoint = connections.open.try_acquire()?;
        Some(ConnectionDescriptors::new(process, endpoint, self.memory.connection()))
    }

    /// Opens a connection for a call that waits for it. If no descriptor is left, closes the connection that
    /// has been idle longest.
    ///
    /// # Errors
    /// If no descriptor is left, or the connect fails or times out.
    pub async fn connect(&self, target: &Target) -> Result<UpstreamConnection, ConnectError> {
        self.await_memory().await;
        let acquire =
            || self.acquire_descriptors(self.endpoints.borrow_mut().entry(target.endpoint).or_default());
        let mut descriptors = acquire();
        if descriptors.is_none() && self.evict_oldest() {
            descriptors = acquire();
        }
        self.open(target, descriptors.ok_or(ConnectError::NoDescriptor)?).await
    }

    /// Waits until there is memory for another connection, and closes idle ones meanwhile. Bodies return theirs as their
    /// calls end; the call that waits here ends at its own time limit.
    async fn await_memory(&self) {
        while !self.memory.has_memory_for_endpoint_connection() {
            if !self.evict_oldest() {
                let _ = tokio::time::timeout(MEMORY_CHECK_INTERVAL, self.memory.returned()).await;
            }
        }
    }

    async fn open(
        &self,
        target: &Target,
        descriptors: ConnectionDescriptors,
    ) -> Result<UpstreamConnection, ConnectError> {
        let started_at = self.clock.now();
        let limits = self.limits.get();
        let connect = connect_despite_local_failures(target.address);
        let result = tokio::time::timeout(limits.connect_timeout, connect).await;
        let now = self.clock.now();
        if let Some(connections) = self.endpoints.borrow_mut().get_mut(&target.endpoint) {
            match &result {
                Ok(Ok(_)) => connections.connect_time.record(now - started_at),
                _ => connections.preconnect_from = now + limits.max_idle,
            }
        }
        let stream = match result {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if is_local_failure(&error) => {
                self.evict_oldest();
                return Err(ConnectError::NoDescriptor);
            }
            _ => return Err(ConnectError::Failed),
        };
        self.metrics.count_connection();
        let connection = UpstreamConnection::open(stream, target.generation, descriptors, now).await;
        connection.ok_or(ConnectError::Failed)
    }

    /// Returns a connection after a response and starts its reuse cooldown. Preconnects if the demand
    /// justifies another connection for calls that arrive during the cooldown.
    pub async fn return_after_response(self: &Rc<Self>, target: &Target, mut connection: UpstreamConnection) {
        connection.reusable_at = self.clock.now() + REUSE_COOLDOWN_US;
        connection.end_exchange();
        self.return_unused(target, connection).await;
        let endpoints = self.endpoints.borrow();
        let Some(connections) = endpoints.get(&target.endpoint) else { return };
        let is_current = *connections.generation.borrow() <= target.generation;
        if is_current && connections.needs_another(&self.limits.get()) {
            self.preconnect(target, connections);
        }
    }

    /// Returns a connection that is new or has not been used since its checkout, which needs no further
    /// cooldown.
    pub async fn return_unused(&self, target: &Target, mut connection: UpstreamConnection) {
        let now = self.clock.now();
        let is_alive = connection.may_be_pooled() && connection.is_alive().await;
        if connection.has_unsolicited_data() {
            self.record_unsolicited_data(target);
            return;
        }
        let mut endpoints = self.endpoints.borrow_mut();
        let connections = endpoints.entry(target.endpoint).or_default();
        if !is_alive || connection.generation < *connections.generation.borrow() {
            return;
        }
        if connection.reusable_at <= now {
            connections.reusable.notify_one();
        }
        connections.pool(connection, now, &self.limits.get());
    }
}

/// Whether a call with `remaining_time` left can wait this long for a connection. The reuse cooldown is short
/// enough for any call.
fn can_afford_wait(wait: Micros, remaining_time: Micros) -> bool {
    wait <= REUSE_COOLDOWN_US || wait <= remaining_time / MIN_REMAINING_TIME_TO_WAIT_RATIO
}

/// Connects to an endpoint. A failure of this system may last for a moment only, and says nothing about the endpoint.
async fn connect_despite_local_failures(address: SocketAddr) -> io::Result<TcpStream> {
    for _ in 0..MAX_LOCAL_FAILURES {
        match TcpStream::connect(address).await {
            Err(error) if is_local_failure(&error) || is_unreachable(&error) => {
                tokio::time::sleep(LOCAL_FAILURE_PAUSE).await;
            }
            connected => return connected,
        }
    }
    TcpStream::connect(address).await
}

/// Whether this system could not make a connection, whatever the endpoint.
fn is_local_failure(error: &io::Error) -> bool {
    is_short_of_resources(error) || error.raw_os_error() == Some(Errno::EADDRNOTAVAIL as i32)
}

/// Whether no route leads to the endpoint, which may be the system's fault or the network's.
fn is_unreachable(error: &io::Error) -> bool {
    error.raw_os_error() == Some(Errno::ENETUNREACH as i32)
}
