//! Runs the membership state machine of `oakport-membership`, with a UDP socket, timers and log lines.
//!
//! Without `peers` in the configuration, no membership service runs.

pub mod report;

pub use report::{MemberReport, MembershipReport, ScopeReport};

use crate::clock::Clock;
use crate::config::MembershipConfig;
use crate::dispatcher::Dispatcher;
use crate::hot_restart::SuccessorMarker;
use oakport_membership::{Identity, MemberStatus, MembershipEvent, Micros, Node, NodeConfig, ScopeStatus};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tracing::{error, info, warn};

/// Delay between attempts to bind the address, which the predecessor uses during a hot restart until it ends.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Size of the receive buffer. A longer datagram is not a membership datagram.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// The membership of this process in its fleet.
pub struct MembershipService {
    config: MembershipConfig,
    name: String,
    seed: u64,
    clock: Clock,
    successor: SuccessorMarker,
    /// `None` until the address is bound.
    node: RefCell<Option<Node>>,
    /// The number of client proxies that the configuration names.
    configured_count: Cell<u32>,
    leave_requested: Notify,
    left: Notify,
}

impl MembershipService {
    /// A service that has not joined its fleet yet.
    pub fn new(
        config: MembershipConfig,
        name: String,
        seed: u64,
        clock: Clock,
        configured_count: u32,
    ) -> Rc<Self> {
        Rc::new(MembershipService {
            config,
            name,
            seed,
            clock,
            successor: SuccessorMarker::open(),
            node: RefCell::new(None),
            configured_count: Cell::new(configured_count),
            leave_requested: Notify::new(),
            left: Notify::new(),
        })
    }

    /// Applies the number of client proxies of a new configuration.
    pub fn set_configured_count(&self, configured_count: u32) {
        self.configured_count.set(configured_count);
        if let Some(node) = self.node.borrow_mut().as_mut() {
            node.set_configured_count(configured_count as usize);
        }
    }

    /// Announces that this process leaves the fleet, unless a successor is waiting for its address. Returns once the
    /// datagrams have been sent.
    pub async fn leave(&self) {
        if self.node.borrow().is_some() {
            self.leave_requested.notify_one();
            self.left.notified().await;
        }
    }

    /// The report for the admin endpoint; `None` until the address is bound.
    pub fn report(&self) -> Option<MembershipReport> {
        let node = self.node.borrow();
        node.as_ref().map(|node| MembershipReport::new(node, self.clock.now()))
    }

    /// Binds the address, retrying until it is free.
    async fn bind(&self) -> UdpSocket {
        let address = self.config.address;
        let mut logged = false;
        loop {
            match UdpSocket::bind(address).await {
                Ok(socket) => {
                    self.successor.set_waiting(false);
                    return socket;
                }
                Err(error) => {
                    if !logged {
                        info!(%address, reason = %error, "binding membership address failed, retrying");
                        logged = true;
                    }
                    self.successor.set_waiting(true);
                }
            }
            tokio::time::sleep(BIND_RETRY_DELAY).await;
        }
    }

    /// Joins the fleet; other members reach this process at `address`.
    fn join(&self, address: SocketAddr) {
        let now = self.clock.now();
        let zone = self.config.zone.as_deref().unwrap_or_default();
        let scope = self.config.scope.as_deref().unwrap_or_default();
        let incarnation_ms = now / 1_000;
        let identity = Identity::new(&self.name, address, incarnation_ms, env!("CARGO_PKG_VERSION"), zone);
        let config = NodeConfig {
            fleet_name: self.config.fleet.clone(),
            seeds: self.config.seeds.clone(),
            configured_count: self.configured_count.get() as usize,
        };
        info!(%address, fleet = self.config.fleet, "joining fleet");
        *self.node.borrow_mut() = Some(Node::with_scope(now, self.seed, identity, config, scope));
    }

    /// Participates in the membership until [`MembershipService::leave`].
    pub async fn run(self: Rc<Self>, dispatcher: Dispatcher) {
        let socket = self.bind().await;
        let Ok(bound) = socket.local_addr() else { return };
        self.join(self.config.advertise.unwrap_or(bound));
        let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
        loop {
            let deadline = self.next_deadline();
            tokio::select! {
                received = socket.recv_from(&mut buffer) => if let Ok((length, _)) = received {
                    self.with_node(|node, now| node.handle_datagram(now, &buffer[..length]));
                },
                () = tokio::time::sleep_until(self.clock.instant(deadline)) => {}
                () = self.leave_requested.notified() => {
                    // A process that waits for the address continues this member, which therefore does not leave.
                    if !self.successor.is_waiting() {
                        self.with_node(|node, now| node.leave(now));
                        self.send_outbox(&socket);
                    }
                    self.left.notify_one();
                    return;
                }
            }
            self.with_node(|node, now| node.handle_time(now));
            self.send_outbox(&socket);
            self.handle_events(&dispatcher);
        }
    }

    fn next_deadline(&self) -> Micros {
        self.node.borrow().as_ref().map_or(self.clock.now(), Node::next_deadline)
    }

    fn with_node(&self, operation: impl FnOnce(&mut Node, Micros)) {
        if let Some(node) = self.node.borrow_mut().as_mut() {
            operation(node, self.clock.now());
        }
    }

    fn send_outbox(&self, socket: &UdpSocket) {
        let outbox = self.node.borrow_mut().as_mut().map(Node::take_outbox);
        for (to, datagram) in outbox.into_iter().flatten() {
            // The protocol tolerates lost datagrams.
            let _ = socket.try_send_to(&datagram, to);
        }
    }

    fn handle_events(&self, dispatcher: &Dispatcher) {
        let events = self.node.borrow_mut().as_mut().map(Node::take_events);
        for event in events.into_iter().flatten() {
            log_event(&event);
            if let MembershipEvent::LiveCountChanged { count } = event {
                dispatcher.set_live_count(u32::try_from(count).unwrap_or(u32::MAX));
            }
        }
    }
}

fn log_event(event: &MembershipEvent) {
    match event {
        MembershipEvent::MemberChanged { member, status } => log_member(member, *status),
        MembershipEvent::NameConflict { name, known, joined } => {
            error!(name, %known, %joined, "duplicate member name; each member needs a unique name");
        }
        MembershipEvent::Rejoined => warn!("declared dead by other members; rejoined"),
        MembershipEvent::PartitionSuspected { suspected: true } => {
            warn!("network partition suspected: many members silent at once; live count frozen");
        }
        MembershipEvent::PartitionSuspected { suspected: false } => {
            info!("network partition no longer suspected");
        }
        MembershipEvent::ScopeChanged { scope, status: ScopeStatus::Silent } => {
            warn!(scope, "scope silent; last live count retained");
        }
        MembershipEvent::ScopeChanged { scope, status: ScopeStatus::Fresh } => {
            info!(scope, "scope heard from again");
        }
        MembershipEvent::LiveCountChanged { count } => info!(count, "live proxy count changed"),
    }
}

fn log_member(member: &Identity, status: MemberStatus) {
    let Identity { name, address, zone, release, .. } = member;
    match status {
        MemberStatus::Alive => info!(member = name, %address, zone, release, "member alive"),
        MemberStatus::Suspected => info!(member = name, %address, "member suspected"),
        MemberStatus::Left => info!(member = name, %address, "member left"),
        MemberStatus::Dead => warn!(member = name, %address, "member dead"),
    }
}
