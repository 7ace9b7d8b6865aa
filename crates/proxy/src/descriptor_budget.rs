//! Limits the descriptors that a process uses, alone or alongside another process of the same proxy.

use crate::descriptors::Descriptors;
use crate::downstream::IdleConnections;
use crate::hot_restart::HandoverDirectory;
use crate::upstream::pool::ConnectionPool;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How often the budget is checked.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The time within which a process notices its successor and frees descriptors for it.
const SUCCESSOR_NOTICE_TIME: Duration = CHECK_INTERVAL.saturating_mul(4);
/// Descriptors that are reserved instead of counted: standard streams, the runtime, the listeners, discovery,
/// connections to the admin endpoint, and client connections that are closed as soon as they are accepted.
const RESERVED_DESCRIPTOR_COUNT: usize = 48;
/// The part of the reserve for client connections beyond the capacity. The other uses are at most 12
/// connections to the admin endpoint, two polls and a watch of discovery, two listeners, the membership
/// and the netlink socket, and ten descriptors of the runtime and the standard streams.
pub const RESERVED_CLIENT_DESCRIPTOR_COUNT: usize = 16;
/// Descriptors that every process may use, however low its limit.
const MIN_DESCRIPTORS: usize = 8;
/// Clients hold `1 / EXPECTED_CLIENTS_DIVISOR` of the descriptors at most.
const EXPECTED_CLIENTS_DIVISOR: usize = 3;
/// Denominator of the shares that two processes use.
const TENTHS: usize = 10;
/// A process with a successor has almost no clients left and needs descriptors only for its last requests.
const PREDECESSOR_SHARE_TENTHS: usize = 4;
const SUCCESSOR_SHARE_TENTHS: usize = 6;
/// Until its predecessor has noticed it, a successor uses only what the predecessor certainly leaves free.
const UNNOTICED_SUCCESSOR_SHARE_TENTHS: usize = 1;

/// How many client connections a process holds at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientCapacity {
    /// Connections that are served.
    pub max_connections: usize,
    /// Further connections, which are accepted only to be rejected and closed.
    pub max_rejected: usize,
}

/// The client capacity of a process that may hold `max_sockets` descriptors in total. Each served connection
/// needs a second descriptor for its attempt at an endpoint.
pub fn client_capacity(max_sockets: usize) -> ClientCapacity {
    let counted = counted_descriptors(max_sockets);
    ClientCapacity { max_connections: counted / 2, max_rejected: counted / 8 }
}

/// The number of clients that may come to a process with `max_sockets` descriptors: a third of these (TERMS).
pub fn expected_client_count(max_sockets: usize) -> usize {
    max_sockets / EXPECTED_CLIENTS_DIVISOR
}

/// The part of `max_sockets` descriptors that is available to clients and endpoints.
fn counted_descriptors(max_sockets: usize) -> usize {
    max_sockets.saturating_sub(RESERVED_DESCRIPTOR_COUNT).max(MIN_DESCRIPTORS)
}

/// Another process of the same proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OtherProcess {
    None,
    Successor,
    /// The predecessor may need until `notices_by` to notice this process.
    Predecessor {
        notices_by: Instant,
    },
}

/// The descriptors that this process may hold open.
pub struct DescriptorBudget {
    pub descriptors: Rc<Descriptors>,
    /// The total number of descriptors, including those that are not counted.
    pub max_sockets: usize,
    /// The directory shared with the other process; `None` if there can be no other.
    pub handover: Option<Rc<RefCell<HandoverDirectory>>>,
    other_process: Cell<OtherProcess>,
}

impl DescriptorBudget {
    /// The budget of a starting process.
    pub fn new(max_sockets: usize, handover: Option<Rc<RefCell<HandoverDirectory>>>) -> Self {
        let is_alone = handover.as_ref().is_none_or(|handover| handover.borrow_mut().is_alone());
        let other_process = if is_alone {
            OtherProcess::None
        } else {
            OtherProcess::Predecessor { notices_by: Instant::now() + SUCCESSOR_NOTICE_TIME }
        };
        let budget = DescriptorBudget {
            descriptors: Descriptors::new(0),
            max_sockets,
            handover,
            other_process: Cell::new(other_process),
        };
        budget.apply_limit();
        budget
    }

    /// Sets the limit on descriptors for clients and endpoints. Two processes share what remains after the reserve of each;
    /// what the predecessor has handed over it no longer holds.
    fn apply_limit(&self) {
        let shared = self.max_sockets.saturating_sub(2 * RESERVED_DESCRIPTOR_COUNT);
        let share = |tenths: usize| (shared * tenths / TENTHS).max(MIN_DESCRIPTORS);
        match self.other_process.get() {
            OtherProcess::None => self.descriptors.set_limit(counted_descriptors(self.max_sockets)),
            OtherProcess::Successor => self.descriptors.set_limit(share(PREDECESSOR_SHARE_TENTHS)),
            OtherProcess::Predecessor { notices_by } => {
                let is_unnoticed = Instant::now() < notices_by;
                let tenths =
                    if is_unnoticed { UNNOTICED_SUCCESSOR_SHARE_TENTHS } else { SUCCESSOR_SHARE_TENTHS };
                self.descriptors.set_limit_beside_handed_over(share(tenths));
            }
        }
    }

    /// Checks whether another process runs, updates the limit, and closes idle connections beyond it.
    pub fn check(&self, pool: &ConnectionPool, idle_connections: &IdleConnections) {
        let Some(handover) = &self.handover else { return };
        self.other_process.set(self.find_other_process(&mut handover.borrow_mut()));
        self.apply_limit();
        for _ in 0..self.descriptors.excess() {
            if !pool.evict_oldest() && !idle_connections.evict_longest_idle() {
                break;
            }
        }
    }

    fn find_other_process(&self, handover: &mut HandoverDirectory) -> OtherProcess {
        let other_process = self.other_process.get();
        if matches!(other_process, OtherProcess::Predecessor { .. }) && !handover.is_alone() {
            other_process
        } else if handover.has_successor() {
            OtherProcess::Successor
        } else {
            OtherProcess::None
        }
    }

    /// Leaves the successor its share at shutdown: lowers the limit and closes all idle upstream connections.
    pub fn hand_over(&self, pool: &ConnectionPool) {
        self.other_process.set(OtherProcess::Successor);
        self.apply_limit();
        while pool.evict_oldest() {}
    }
}
