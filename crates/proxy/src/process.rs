//! One process of a client proxy: its parts, its signals, its end.

use crate::admin;
use crate::body::MemoryLimit;
use crate::clock::Clock;
use crate::config::Config;
use crate::descriptors::Descriptors;
use crate::discovery::EndpointWatcher;
use crate::dispatcher::Dispatcher;
use crate::downstream::{Downstream, IdleConnections};
use crate::hot_restart::{self, HandoverDirectory};
use crate::membership::MembershipService;
use crate::metrics::Metrics;
use crate::upstream::pool::ConnectionPool;
use oakport_core::ListUpdateKind;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{watch, Notify};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tracing::{error, info};

/// Descriptors kept out of the count: standard streams, the runtime's own, the listeners, discovery, operators'
/// callers, and a client's connection that is closed as soon as it is accepted.
const RESERVE: usize = 48;
/// ... of these for connections of clients beyond all count. What else is in use, at its most: 12 operators' callers, two
/// calls and a watch of discovery, two listeners, peers' socket, and ten of the runtime and the standard streams.
const RESERVE_REFUSED: usize = 16;
/// Connections waiting to be accepted.
const BACKLOG: u32 = 1_024;
/// An address that another process holds is tried again after this, and given up after that: a process that is not ready
/// within 30 s counts as crashed (FLEET, "The gate"), and its log should say why before.
const HELD_PAUSE: Duration = Duration::from_millis(20);
const HELD_MOST: Duration = Duration::from_secs(25);
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_millis(250);
/// A process has noticed the next one by then, and made room for it.
const NOTICED: Duration = SWEEP.saturating_mul(4);

/// What this process may hold open, alone or beside another process of the same proxy.
struct Room {
    descriptors: Rc<Descriptors>,
    sockets: usize,
    shared: Option<Rc<RefCell<HandoverDirectory>>>,
    beside: Cell<Beside>,
}

/// Another process of the same proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Beside {
    Nobody,
    /// The next one is there.
    Successor,
    /// The one before is, and may not have noticed this one before that moment.
    Predecessor(Instant),
}

impl Room {
    fn new(sockets: usize, shared: Option<Rc<RefCell<HandoverDirectory>>>) -> Self {
        let alone = shared.as_ref().is_none_or(|shared| shared.borrow_mut().is_alone());
        let beside = if alone { Beside::Nobody } else { Beside::Predecessor(Instant::now() + NOTICED) };
        let room = Room { descriptors: Descriptors::new(0), sockets, shared, beside: Cell::new(beside) };
        room.descriptors.set_limit(room.part());
        room
    }

    /// Descriptors for clients and hosts. The two share what is left after the reserve of each: the one before holds what
    /// its last requests need, and nearly all clients are at the next one by then. Until it has been noticed that one
    /// takes a part that the other is sure to leave.
    fn part(&self) -> usize {
        let both = self.sockets.saturating_sub(2 * RESERVE);
        let part = match self.beside.get() {
            Beside::Nobody => counted(self.sockets),
            Beside::Successor => both * 2 / 5,
            Beside::Predecessor(noticed) if Instant::now() < noticed => both / 10,
            Beside::Predecessor(_) => both * 3 / 5,
        };
        part.max(8)
    }

    /// Sees whether the other process is there, and keeps to this one's part.
    fn settle(&self, pool: &ConnectionPool, resting: &IdleConnections) {
        let Some(shared) = &self.shared else { return };
        let mut shared = shared.borrow_mut();
        self.beside.set(match self.beside.get() {
            Beside::Predecessor(noticed) if !shared.is_alone() => Beside::Predecessor(noticed),
            _ if shared.has_successor() => Beside::Successor,
            _ => Beside::Nobody,
        });
        self.descriptors.set_limit(self.part());
        for _ in 0..self.descriptors.excess() {
            if !pool.evict_oldest() && !resting.make_room() {
                break;
            }
        }
    }

    /// Leaves the next process its part.
    fn hand_over(&self, pool: &ConnectionPool) {
        self.beside.set(Beside::Successor);
        self.descriptors.set_limit(self.part());
        while pool.evict_oldest() {}
    }
}

/// A client proxy that is ready to serve.
pub struct Process {
    config: Config,
    listener: TcpListener,
    /// The platform holds the listener: another process follows on this one, or went before it.
    successor: bool,
    room: Rc<Room>,
    pool: Rc<ConnectionPool>,
    memory: Rc<MemoryLimit>,
    figures: Rc<Metrics>,
    driver: Dispatcher,
    peers: Option<Rc<MembershipService>>,
    /// Version of the list that it starts from.
    index: Option<u64>,
    term: Signal,
    hangup: Signal,
}

impl Process {
    /// Takes the listener, or opens it, and makes all parts. To be called within a runtime of one thread.
    ///
    /// # Errors
    /// Says which socket or signal cannot be had, and why.
    pub async fn open(mut config: Config, inherited: Option<std::net::TcpListener>) -> Result<Self, String> {
        let term = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
        let hangup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
        let successor = inherited.is_some();
        let listener = match inherited {
            Some(listener) => TcpListener::from_std(listener),
            None => listen(config.listen).await,
        };
        let listener = listener.map_err(|e| format!("listen on {}: {e}", config.listen))?;
        // Where the platform holds the listener, two processes serve for a while and share what is allowed.
        let shared =
            HandoverDirectory::open().filter(|_| successor).map(|shared| Rc::new(RefCell::new(shared)));
        let room = Rc::new(Room::new(config.limits.sockets, shared));
        let left =
            room.shared.as_ref().and_then(|shared| shared.borrow().read_endpoint_list(config.discovery));
        let known = hot_restart::newer_list(config.known.take(), left);

        let (clock, figures) = (Clock::start(), Rc::<Metrics>::default());
        let memory = MemoryLimit::new(config.limits.memory_mb);
        let facts = config.settings.clone();
        let pool = ConnectionPool::new(
            facts.transport,
            facts.settings.proxy_count,
            Rc::clone(&room.descriptors),
            clock,
            Rc::clone(&figures),
            Rc::clone(&memory),
        );
        let driver = Dispatcher::new(config.seed, facts, clock, Rc::clone(&pool), Rc::clone(&figures));
        driver.start();
        let balancers = config.settings.settings.proxy_count;
        let name = config.name.clone().unwrap_or_else(|| config.listen.to_string());
        let peers = config
            .membership
            .clone()
            .map(|peers| MembershipService::new(peers, name, config.seed, clock, balancers));
        let index = known.as_ref().map(|k| k.index);
        driver.update_endpoints(ListUpdateKind::Cached, known.as_ref().map_or(&[], |k| &k.endpoints));
        Ok(Process {
            config,
            listener,
            successor,
            room,
            pool,
            memory,
            figures,
            driver,
            peers,
            index,
            term,
            hangup,
        })
    }

    /// Serves until SIGTERM, then finishes what is taken. To be called within a `LocalSet`.
    ///
    /// # Errors
    /// A part without which calls would stay unanswered has ended: better a crash that is seen.
    pub async fn serve(self) -> Result<(), String> {
        let Process { config, listener, successor, room, pool, memory, figures, driver, peers, .. } = self;
        let (moved, address) = watch::channel(config.discovery);
        let mut timers = {
            let driver = driver.clone();
            tokio::task::spawn_local(async move { driver.run_timers().await })
        };
        let mut watch: JoinHandle<()> = tokio::task::spawn_local(
            EndpointWatcher::new(driver.clone(), address, self.index, room.shared.clone(), config.seed).run(),
        );
        if let Some(address) = config.admin_address {
            tokio::task::spawn_local(admin::run(driver.clone(), peers.clone(), address));
        }
        if let Some(peers) = &peers {
            tokio::task::spawn_local(Rc::clone(peers).run(driver.clone()));
        }
        if let Ok(address) = listener.local_addr() {
            info!(%address, "listening");
        }
        let resting = Rc::<IdleConnections>::default();
        let front = Rc::new(Downstream {
            driver: driver.clone(),
            pool: Rc::clone(&pool),
            descriptors: Rc::clone(&room.descriptors),
            uncounted: Descriptors::new(RESERVE_REFUSED),
            most: most_clients(counted(room.sockets)),
            beyond: beyond_clients(counted(room.sockets)),
            resting: Rc::clone(&resting),
            memory,
        });
        let (mut term, stopped) = (self.term, Notify::new());
        let stop = async {
            term.recv().await;
            stopped.notify_one();
            if successor {
                room.hand_over(&pool);
            }
        };
        // Peers are told beside that: clients do not wait for a word to them.
        let leave = async {
            stopped.notified().await;
            if let Some(peers) = &peers {
                peers.leave().await;
            }
        };
        tokio::select! {
            ((), ()) = async { tokio::join!(front.serve(listener, successor, stop), leave) } => Ok(()),
            ended = &mut timers => Err(format!("the timers ended: {ended:?}")),
            ended = &mut watch => Err(format!("discovery ended: {ended:?}")),
            () = sweep(&room, &pool, &resting) => Ok(()),
            () = reloads(self.hangup, config, (&driver, peers.as_deref()), &figures, &moved) => {
                Err("no more signals".to_owned())
            }
        }
    }
}

/// Descriptors for clients and hosts among `sockets` in all.
fn counted(sockets: usize) -> usize {
    sockets.saturating_sub(RESERVE).max(8)
}

/// Connections of clients that are served: the way to the hosts must have as many.
fn most_clients(counted: usize) -> usize {
    counted / 2
}

/// Further ones that are taken to be refused and closed.
fn beyond_clients(counted: usize) -> usize {
    counted / 8
}

/// How many connections of clients are served at a time by a process that may hold so many descriptors, and how many
/// more are taken to be refused.
pub fn client_capacity(sockets: usize) -> (usize, usize) {
    (most_clients(counted(sockets)), beyond_clients(counted(sockets)))
}

/// Opens the listener. The process before this one may hold its address for as long as it takes clients.
async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let (asked, mut told) = (Instant::now(), false);
    loop {
        let listener = TcpSocket::new_v4().and_then(|socket| {
            socket.set_reuseaddr(true)?;
            socket.bind(address)?;
            socket.listen(BACKLOG)
        });
        match listener {
            Err(fault) if fault.kind() == io::ErrorKind::AddrInUse && asked.elapsed() < HELD_MOST => {
                if !std::mem::replace(&mut told, true) {
                    info!(%address, "waiting for the address: another process listens there");
                }
                tokio::time::sleep(HELD_PAUSE).await;
            }
            done => return done,
        }
    }
}

/// Closes what has been idle for too long, and sees when the other process has ended.
async fn sweep(room: &Room, pool: &ConnectionPool, resting: &IdleConnections) {
    loop {
        tokio::time::sleep(SWEEP).await;
        pool.close_expired();
        room.settle(pool, resting);
    }
}

/// Takes the configuration file again at each SIGHUP, whole or not at all.
async fn reloads(
    mut hangup: Signal,
    mut config: Config,
    (driver, peers): (&Dispatcher, Option<&MembershipService>),
    figures: &Metrics,
    moved: &watch::Sender<SocketAddr>,
) {
    while hangup.recv().await.is_some() {
        let next = config.reload();
        figures.count_reload(next.is_ok());
        match next {
            Ok(next) => {
                config = next;
                let (discovery, attempts) = (config.discovery, config.settings.settings.limits.max_attempts);
                info!(%discovery, classes = %config.settings.class_names.join(" "), attempts, "reloaded");
                driver.apply_settings(config.settings.clone());
                if let Some(peers) = peers {
                    peers.set_configured_count(config.settings.settings.proxy_count);
                }
                moved.send_if_modified(|at| std::mem::replace(at, config.discovery) != config.discovery);
            }
            Err(reason) => error!(%reason, "not reloaded, nothing changed"),
        }
    }
}
