//! The connections to all hosts that are open and idle, and the making of new ones.

use crate::bodies::Memory;
use crate::clock::Clock;
use crate::descriptors::Descriptors;
use crate::figures::Figures;
use crate::link::Link;
use oakport_core::settings::Transport;
use oakport_core::{Micros, Outcome, ServerId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Connections that all client proxies may keep idle at a host between them, and the bounds of a part.
/// A host holds 76 in all; those in use come on top.
const SPARES_OF_ALL: usize = 60;
const SPARES: (usize, usize) = (4, 16);

/// A host may add to an answer some milliseconds after it (FLEET, "join+mass"). What comes while the connection is idle
/// ends it; what came after the next request would be taken for that one's answer. So a connection rests for this long.
const SETTLES: Micros = 10_000;
/// The system's word for no descriptor left: in all, and for this process.
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;

/// Where an attempt goes.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    pub server: ServerId,
    pub address: SocketAddr,
    pub generation: u64,
}

/// The connections to all hosts.
pub struct Pool {
    idle: RefCell<HashMap<ServerId, Vec<Link>>>,
    current: RefCell<HashMap<ServerId, u64>>,
    descriptors: Rc<Descriptors>,
    clock: Clock,
    pub figures: Rc<Figures>,
    pub memory: Rc<Memory>,
    limits: Cell<Limits>,
}

/// What the settings say of connections.
#[derive(Clone, Copy)]
struct Limits {
    connect_timeout: Duration,
    idle_most: Micros,
    spares: usize,
}

impl Limits {
    fn new(transport: Transport, balancers: u32) -> Self {
        Limits {
            connect_timeout: Duration::from_micros(transport.connect_timeout),
            // Well ahead of the host, which may close it any time from then on.
            idle_most: transport.conn_idle / 4 * 3,
            spares: (SPARES_OF_ALL / balancers.max(1) as usize).clamp(SPARES.0, SPARES.1),
        }
    }
}

impl Pool {
    pub fn new(
        transport: Transport,
        balancers: u32,
        descriptors: Rc<Descriptors>,
        clock: Clock,
        figures: Rc<Figures>,
        memory: Rc<Memory>,
    ) -> Rc<Self> {
        Rc::new(Pool {
            idle: RefCell::new(HashMap::new()),
            current: RefCell::new(HashMap::new()),
            descriptors,
            clock,
            figures,
            memory,
            limits: Cell::new(Limits::new(transport, balancers)),
        })
    }

    /// New settings are in force.
    pub fn retune(&self, transport: Transport, balancers: u32) {
        self.limits.set(Limits::new(transport, balancers));
    }

    /// Closes the idle connections to a host, and those in use of a generation before this one when they
    /// come back: a host that drains would otherwise keep connections that nothing uses any more.
    pub fn close(&self, server: ServerId, generation: u64) {
        self.idle.borrow_mut().remove(&server);
        self.current.borrow_mut().insert(server, generation);
    }

    /// Closes what has been idle for too long.
    pub fn sweep(&self) {
        let (now, idle_most) = (self.clock.now(), self.limits.get().idle_most);
        let mut idle = self.idle.borrow_mut();
        idle.values_mut().for_each(|links| links.retain(|l| l.idle_since + idle_most > now));
        idle.retain(|_, links| !links.is_empty());
    }

    /// Closes the connection that has been idle longest, to make room. False if none is idle.
    pub fn evict(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest =
            idle.values_mut().min_by_key(|links| links.first().map_or(Micros::MAX, |l| l.idle_since));
        match oldest {
            Some(links) if !links.is_empty() => {
                links.remove(0);
                true
            }
            _ => false,
        }
    }

    /// The idle connection used last of those that have rested, if it is still open. Where there is none but one that has
    /// yet to rest, that is waited for: a new one would take as long, and cost its host work.
    pub async fn checkout(&self, target: &Target) -> Option<Link> {
        loop {
            let now = self.clock.now();
            let rests_until = {
                let mut idle = self.idle.borrow_mut();
                let links = idle.get_mut(&target.server)?;
                match links.iter().rposition(|l| l.idle_since + SETTLES <= now) {
                    Some(rested) => Ok(links.remove(rested)),
                    None => Err(links.first()?.idle_since + SETTLES),
                }
            };
            let mut link = match rests_until {
                Ok(link) => link,
                Err(until) => {
                    tokio::time::sleep_until(self.clock.instant(until)).await;
                    continue;
                }
            };
            let fresh = link.idle_since + self.limits.get().idle_most > now;
            if fresh && link.generation == target.generation && !link.stirs() && link.alive().await {
                return Some(link);
            }
        }
    }

    pub async fn connect(&self, target: &Target) -> Result<Link, Outcome> {
        let descriptor = match self.descriptors.take() {
            Some(descriptor) => descriptor,
            // Our own want of sockets says nothing of the host: not sent, rather than no connection.
            None if self.evict() => self.descriptors.take().ok_or(Outcome::NotSent)?,
            None => return Err(Outcome::NotSent),
        };
        let connect =
            tokio::time::timeout(self.limits.get().connect_timeout, TcpStream::connect(target.address));
        let stream = match connect.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(fault)) if matches!(fault.raw_os_error(), Some(ENFILE | EMFILE)) => {
                self.evict();
                return Err(Outcome::NotSent);
            }
            _ => return Err(Outcome::NoConnection),
        };
        let link = Link::open(stream, target.generation, descriptor, self.clock.now()).await;
        link.ok_or(Outcome::NoConnection)
    }

    /// Takes a connection back after an answer.
    pub async fn keep(&self, server: ServerId, mut link: Link) {
        link.idle_since = self.clock.now();
        self.put_back(server, link).await;
    }

    /// Takes back one that has carried nothing: to its host it has been idle all the while.
    pub async fn put_back(&self, server: ServerId, mut link: Link) {
        let old = self.current.borrow().get(&server).is_some_and(|&current| link.generation < current);
        if old || !link.alive().await {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(server).or_default();
        // The one that has been idle longest comes first.
        let place = links.partition_point(|other| other.idle_since <= link.idle_since);
        links.insert(place, link);
        if links.len() > self.limits.get().spares {
            links.remove(0);
        }
    }
}
