//! The connections to all hosts that are open and idle, and the making of new ones.

use crate::body::MemoryLimit;
use crate::clock::Clock;
use crate::descriptors::{Descriptor, Descriptors};
use crate::metrics::Metrics;
use crate::upstream::connection::UpstreamConnection;
use crate::upstream::preconnect::{ConnectionDemand, REST};
use oakport_core::settings_wire::TransportSettings;
use oakport_core::{EndpointId, Micros, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Connections that all client proxies may have at a host between them beyond those in use. How many a host
/// holds is told nowhere and shows in failed connects (BENCH): this follows from no page and no setting. It
/// is only a bound, below which the rate decides; too low, calls wait for a rest, too high, connects fail,
/// and none is opened ahead then.
const SPARES_OF_ALL: usize = 60;
/// Idle ones that each may keep whatever its part of those: they are there already, and a new one costs more.
const KEPT: usize = 4;
/// The system's word for no descriptor left: in all, and for this process.
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;

/// Where an attempt goes.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub generation: u64,
}

/// The connections to one host.
struct EndpointConnections {
    /// Those that carry nothing, the one that may be used first before the others.
    idle: VecDeque<UpstreamConnection>,
    /// Counts them, those in use and those that come up.
    open: Rc<Descriptors>,
    /// Those of generations before this one are not kept.
    generation: u64,
    demand: ConnectionDemand,
    /// How long the last new one took to come up.
    took: Micros,
    /// None is opened ahead before that moment, as one has failed.
    ahead_from: Micros,
    /// One may be used sooner than those that rest.
    came: Rc<Notify>,
}

impl Default for EndpointConnections {
    fn default() -> Self {
        EndpointConnections {
            idle: VecDeque::new(),
            open: Descriptors::new(usize::MAX),
            generation: 0,
            demand: ConnectionDemand::default(),
            took: 0,
            ahead_from: 0,
            came: Rc::default(),
        }
    }
}

impl EndpointConnections {
    /// Takes the idle connection used last among those that have rested twice over, so that what is not
    /// needed goes unused and is let go; else the one that has rested longest. That also goes first where the
    /// rate justifies all and it would soon be let go: to open it anew would cost a handshake.
    fn take(&mut self, now: Micros, limits: &Limits) -> Option<UpstreamConnection> {
        let longest = self.idle.front().filter(|link| link.ready <= now)?;
        if longest.ready + limits.idle_most / 2 <= now && self.open.open_count() <= self.need(limits) {
            return self.idle.pop_front();
        }
        let well = self.idle.partition_point(|link| link.ready + REST <= now);
        self.idle.remove(well.saturating_sub(1))
    }

    /// The connections that its calls justify.
    fn need(&self, limits: &Limits) -> usize {
        self.demand.need(limits.idle_most, limits.spares)
    }
}

/// Idle connections that all have yet to rest.
struct Resting {
    /// The first of them may be used then.
    until: Micros,
    /// Meanwhile a new one may come.
    came: Rc<Notify>,
}

/// The connections to all hosts.
pub struct ConnectionPool {
    ways: RefCell<HashMap<EndpointId, EndpointConnections>>,
    /// The calls to all of them together.
    demand: Cell<ConnectionDemand>,
    descriptors: Rc<Descriptors>,
    clock: Clock,
    pub figures: Rc<Metrics>,
    pub memory: Rc<MemoryLimit>,
    limits: Cell<Limits>,
}

/// What the settings say of connections.
#[derive(Clone, Copy)]
struct Limits {
    connect_timeout: Duration,
    idle_most: Micros,
    spares: usize,
    /// Waits for a rest that together cost less than a new connection.
    cheap_waits: f64,
}

impl Limits {
    fn new(transport: TransportSettings, balancers: u32) -> Self {
        Limits {
            connect_timeout: Duration::from_micros(transport.connect_timeout),
            // Well ahead of the host, which may close it any time from then on. Counted from the end of its
            // rest.
            idle_most: (transport.idle_connection_timeout / 4 * 3).saturating_sub(REST),
            spares: SPARES_OF_ALL / balancers.max(1) as usize,
            // A wait takes at most a rest of the time in which an answer has its worth, a new connection its
            // price of that worth. Where that is nothing, none is waited for that comes up sooner, but by a single
            // train of calls.
            cheap_waits: transport.handshake_charge * transport.shortest_latency_objective as f64
                / REST as f64,
        }
    }
}

impl ConnectionPool {
    pub fn new(
        transport: TransportSettings,
        balancers: u32,
        descriptors: Rc<Descriptors>,
        clock: Clock,
        figures: Rc<Metrics>,
        memory: Rc<MemoryLimit>,
    ) -> Rc<Self> {
        Rc::new(ConnectionPool {
            ways: RefCell::default(),
            demand: Cell::default(),
            descriptors,
            clock,
            figures,
            memory,
            limits: Cell::new(Limits::new(transport, balancers)),
        })
    }

    /// New settings are in force.
    pub fn apply_settings(&self, transport: TransportSettings, balancers: u32) {
        self.limits.set(Limits::new(transport, balancers));
    }

    /// Closes the idle connections to a host, and those in use of a generation before this one when they
    /// come back: a host that drains would otherwise keep connections that nothing uses any more.
    pub fn close_outdated(&self, server: EndpointId, generation: u64) {
        let mut ways = self.ways.borrow_mut();
        let way = ways.entry(server).or_default();
        way.idle.clear();
        way.generation = generation;
    }

    /// Closes what has been idle for too long, and what a rate that is over had needed.
    pub fn close_expired(&self) {
        let (now, idle_most) = (self.clock.now(), self.limits.get().idle_most);
        let mut ways = self.ways.borrow_mut();
        ways.values_mut().for_each(|way| {
            way.idle.retain(|link| link.ready + idle_most > now);
            // What was opened for a rate goes with it, the ones that have rested longest first.
            if way.demand.silent(now) {
                way.idle.drain(..way.idle.len().saturating_sub(KEPT));
            }
        });
    }

    /// Closes the connection that has been idle longest, to make room. False if none is idle.
    pub fn evict_oldest(&self) -> bool {
        let mut ways = self.ways.borrow_mut();
        let oldest = ways.values_mut().filter(|way| !way.idle.is_empty());
        let oldest = oldest.min_by_key(|way| way.idle.front().map(|link| link.ready));
        oldest.and_then(|way| way.idle.pop_front()).is_some()
    }

    /// An idle connection that has rested, if it is still open. Where there is none but some that have yet to
    /// rest, the first of those is waited for: a new one costs its host work and its first request time.
    /// Where that has come to too many calls one more is opened meanwhile, if it is there sooner.
    pub async fn checkout(self: &Rc<Self>, target: &Target) -> Option<UpstreamConnection> {
        let now = self.clock.now();
        self.ways.borrow_mut().entry(target.endpoint).or_default().demand.call(now);
        self.demanded(|all| all.call(now));
        let mut waited = false;
        loop {
            let mut link = match self.find(target, !waited)? {
                Ok(link) => link,
                Err(Resting { until, came }) => {
                    waited = true;
                    tokio::select! {
                        () = tokio::time::sleep_until(self.clock.instant(until)) => {}
                        () = came.notified() => {}
                    }
                    continue;
                }
            };
            let fresh = link.ready + self.limits.get().idle_most > self.clock.now();
            if fresh && link.generation == target.generation && !link.stirs() && link.alive().await {
                return Some(link);
            }
        }
    }

    /// What there is for a call now; `first` when it asks for the first time. None: nothing is idle.
    fn find(self: &Rc<Self>, target: &Target, first: bool) -> Option<Result<UpstreamConnection, Resting>> {
        let now = self.clock.now();
        let mut ways = self.ways.borrow_mut();
        let way = ways.get_mut(&target.endpoint)?;
        if let Some(link) = way.take(now, &self.limits.get()) {
            return Some(Ok(link));
        }
        let until = way.idle.front()?.ready;
        if first {
            self.figures.count_cooldown_wait();
            way.demand.waits(now);
            let all = self.demanded(|all| all.waits(now));
            // Trains to several hosts are no single one either.
            let rate = way.demand.is_a_rate() || all.exceeds_a_train();
            let many = rate && way.demand.exceeds(self.limits.get().cheap_waits);
            if many && way.took < until.saturating_sub(now) {
                self.open_ahead(target, way);
            }
        }
        Some(Err(Resting { until, came: Rc::clone(&way.came) }))
    }

    /// Notes something of the calls to all hosts, and tells how they stand.
    fn demanded(&self, note: impl FnOnce(&mut ConnectionDemand)) -> ConnectionDemand {
        let mut all = self.demand.get();
        note(&mut all);
        self.demand.set(all);
        all
    }

    /// Opens a connection for calls to come, where there is room for it. It takes no descriptor from anything
    /// else.
    fn open_ahead(self: &Rc<Self>, target: &Target, way: &EndpointConnections) {
        let fits = way.open.open_count() < self.limits.get().spares && way.ahead_from <= self.clock.now();
        let Some(places) = fits.then(|| self.places(way)).flatten() else { return };
        let (pool, target) = (Rc::clone(self), *target);
        tokio::task::spawn_local(async move {
            if let Ok(link) = pool.open(&target, places).await {
                pool.return_unused(target.endpoint, link).await;
            }
        });
    }

    /// A place among all sockets, and one among those to this host.
    fn places(&self, way: &EndpointConnections) -> Option<[Descriptor; 2]> {
        Some([self.descriptors.try_acquire()?, way.open.try_acquire()?])
    }

    /// A new connection for a call that waits for it.
    pub async fn connect(&self, target: &Target) -> Result<UpstreamConnection, Outcome> {
        let places = || self.places(self.ways.borrow_mut().entry(target.endpoint).or_default());
        // Our own want of sockets says nothing of the host: not sent, rather than no connection.
        let places = places().or_else(|| self.evict_oldest().then(places).flatten());
        self.open(target, places.ok_or(Outcome::NotSent)?).await
    }

    async fn open(&self, target: &Target, places: [Descriptor; 2]) -> Result<UpstreamConnection, Outcome> {
        let (asked, limits) = (self.clock.now(), self.limits.get());
        let connect = tokio::time::timeout(limits.connect_timeout, TcpStream::connect(target.address)).await;
        let now = self.clock.now();
        if let Some(way) = self.ways.borrow_mut().get_mut(&target.endpoint) {
            match &connect {
                Ok(Ok(_)) => way.took = now - asked,
                _ => way.ahead_from = now + limits.idle_most,
            }
        }
        let stream = match connect {
            Ok(Ok(stream)) => stream,
            Ok(Err(fault)) if matches!(fault.raw_os_error(), Some(ENFILE | EMFILE)) => {
                self.evict_oldest();
                return Err(Outcome::NotSent);
            }
            _ => return Err(Outcome::ConnectFailed),
        };
        self.figures.count_connection();
        UpstreamConnection::open(stream, target.generation, places, now).await.ok_or(Outcome::ConnectFailed)
    }

    /// Takes a connection back after an answer. While it rests another call may come: where the rate says so,
    /// one more is opened before that.
    pub async fn return_after_response(self: &Rc<Self>, target: &Target, mut link: UpstreamConnection) {
        link.ready = self.clock.now() + REST;
        self.return_unused(target.endpoint, link).await;
        let limits = self.limits.get();
        let ways = self.ways.borrow();
        let Some(way) = ways.get(&target.endpoint).filter(|way| way.generation <= target.generation) else {
            return;
        };
        // Where there is no room the rate need not be looked at; one that its host closed is no call's need.
        let open = way.open.open_count();
        if (1..limits.spares).contains(&open) && open < way.need(&limits) {
            self.open_ahead(target, way);
        }
    }

    /// Takes back one that has carried nothing since it was taken out, or at all: it need not rest.
    pub async fn return_unused(&self, server: EndpointId, mut link: UpstreamConnection) {
        let now = self.clock.now();
        if !link.alive().await {
            return;
        }
        let mut ways = self.ways.borrow_mut();
        let way = ways.entry(server).or_default();
        if link.generation < way.generation {
            return;
        }
        if link.ready <= now {
            way.came.notify_one();
        }
        let place = way.idle.partition_point(|other| other.ready <= link.ready);
        way.idle.insert(place, link);
        if way.idle.len() > self.limits.get().spares.max(KEPT) {
            way.idle.pop_front();
        }
    }
}
