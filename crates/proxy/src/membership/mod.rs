//! The datagram socket and the timers of `oakport-membership`. Without `peers` in the configuration nothing here
//! runs.

pub mod report;

pub use report::{MemberReport, MembershipReport, ScopeReport};

use crate::clock::Clock;
use crate::config::MembershipConfig;
use crate::dispatcher::Dispatcher;
use crate::hot_restart::SuccessorMarker;
use oakport_membership::{Identity, MemberStatus, MembershipEvent, Node, NodeConfig, ScopeStatus};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tracing::{error, info, warn};

/// Pause before the address is tried again: the process before this one has it until it ends.
const PAUSE: Duration = Duration::from_millis(20);
/// The longest datagram that is read whole; what is longer is none of ours.
const ROOM: usize = 2_048;

/// This process among its peers.
pub struct MembershipService {
    config: MembershipConfig,
    name: String,
    seed: u64,
    clock: Clock,
    heir: SuccessorMarker,
    /// None: the address is not to be had yet.
    machine: RefCell<Option<Node>>,
    /// What the configuration says of the number of processes.
    told: Cell<u32>,
    leave: Notify,
    gone: Notify,
}

impl MembershipService {
    /// Not yet among its peers.
    pub fn new(config: MembershipConfig, name: String, seed: u64, clock: Clock, balancers: u32) -> Rc<Self> {
        Rc::new(MembershipService {
            config,
            name,
            seed,
            clock,
            heir: SuccessorMarker::open(),
            machine: RefCell::new(None),
            told: Cell::new(balancers),
            leave: Notify::new(),
            gone: Notify::new(),
        })
    }

    /// The configuration says another number of processes.
    pub fn set_configured_count(&self, balancers: u32) {
        self.told.set(balancers);
        if let Some(machine) = self.machine.borrow_mut().as_mut() {
            machine.set_configured_count(balancers as usize);
        }
    }

    /// Says that this process leaves, unless another waits to take its address over. Returns when that is
    /// out.
    pub async fn leave(&self) {
        if self.machine.borrow().is_some() {
            self.leave.notify_one();
            self.gone.notified().await;
        }
    }

    /// What operators are told.
    pub fn report(&self) -> Option<MembershipReport> {
        let machine = self.machine.borrow();
        machine.as_ref().map(|machine| MembershipReport::new(machine, self.clock.now()))
    }

    /// Waits for the address.
    async fn bind(&self) -> UdpSocket {
        let address = self.config.address;
        let mut told = false;
        loop {
            match UdpSocket::bind(address).await {
                Ok(socket) => {
                    self.heir.set_waiting(false);
                    return socket;
                }
                Err(fault) => {
                    if !std::mem::replace(&mut told, true) {
                        info!(%address, reason = %fault, "peers' address not to be had yet");
                    }
                    self.heir.set_waiting(true);
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Is a peer until it leaves.
    pub async fn run(self: Rc<Self>, driver: Dispatcher) {
        let socket = self.bind().await;
        let Ok(bound) = socket.local_addr() else { return };
        let address = self.config.advertise.unwrap_or(bound);
        let now = self.clock.now();
        let zone = self.config.zone.as_deref().unwrap_or_default();
        let own = Identity::new(&self.name, address, now / 1_000, env!("CARGO_PKG_VERSION"), zone);
        info!(%address, fleet = self.config.fleet, "among peers");
        let config = NodeConfig {
            fleet_name: self.config.fleet.clone(),
            seeds: self.config.seeds.clone(),
            configured_count: self.told.get() as usize,
        };
        let scope = self.config.scope.as_deref().unwrap_or_default();
        *self.machine.borrow_mut() = Some(Node::with_scope(now, self.seed, own, config, scope));
        let mut room = vec![0; ROOM];
        loop {
            let due = self.machine.borrow().as_ref().map_or(now, Node::next_deadline);
            tokio::select! {
                came = socket.recv_from(&mut room) => if let Ok((length, _)) = came {
                    self.with(|machine, now| machine.handle_datagram(now, &room[..length]));
                },
                () = tokio::time::sleep_until(self.clock.instant(due)) => {}
                () = self.leave.notified() => {
                    // Whoever waits for the address is this member's next process.
                    if !self.heir.is_waiting() {
                        self.with(|machine, now| machine.leave(now));
                        self.post(&socket);
                    }
                    self.gone.notify_one();
                    return;
                }
            }
            self.with(|machine, now| machine.handle_time(now));
            self.post(&socket);
            self.tell(&driver);
        }
    }

    fn with(&self, act: impl FnOnce(&mut Node, u64)) {
        if let Some(machine) = self.machine.borrow_mut().as_mut() {
            act(machine, self.clock.now());
        }
    }

    fn post(&self, socket: &UdpSocket) {
        let outbox = self.machine.borrow_mut().as_mut().map(Node::take_outbox);
        for (to, datagram) in outbox.into_iter().flatten() {
            // A datagram may be lost; what matters is sent again.
            let _ = socket.try_send_to(&datagram, to);
        }
    }

    fn tell(&self, driver: &Dispatcher) {
        let news = self.machine.borrow_mut().as_mut().map(Node::take_events);
        for news in news.into_iter().flatten() {
            match news {
                MembershipEvent::MemberChanged(who, MemberStatus::Alive) => {
                    info!(member = who.name, address = %who.address, zone = who.zone, release = who.release, "present");
                }
                MembershipEvent::MemberChanged(who, MemberStatus::Suspected) => {
                    info!(member = who.name, address = %who.address, "suspected")
                }
                MembershipEvent::MemberChanged(who, MemberStatus::Left) => {
                    info!(member = who.name, address = %who.address, "left")
                }
                MembershipEvent::MemberChanged(who, MemberStatus::Dead) => {
                    warn!(member = who.name, address = %who.address, "dead")
                }
                MembershipEvent::NameConflict(name, one, other) => {
                    error!(name, %one, %other, "two members have one name; give each its own");
                }
                MembershipEvent::Rejoined => warn!("held dead by others, back among them"),
                MembershipEvent::PartitionSuspected(true) => {
                    warn!("so many fell silent at once that it is taken for a cut")
                }
                MembershipEvent::PartitionSuspected(false) => info!("no longer taken for a cut"),
                MembershipEvent::ScopeChanged(scope, ScopeStatus::Silent) => {
                    warn!(scope, "scope silent; its members count on for now")
                }
                MembershipEvent::ScopeChanged(scope, ScopeStatus::Fresh) => info!(scope, "scope back"),
                MembershipEvent::LiveCount(count) => {
                    info!(count, "client proxies counted");
                    driver.set_live_count(u32::try_from(count).unwrap_or(u32::MAX));
                }
            }
        }
    }
}
