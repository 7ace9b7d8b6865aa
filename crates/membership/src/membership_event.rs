//! Membership events, which a node reports to the process that runs it.

use crate::identity::Identity;
use crate::member_table::MemberStatus;
use crate::remote_scope::ScopeStatus;
use std::net::SocketAddr;

/// A change that a node reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A member is new, or its identity or status has changed.
    MemberChanged {
        /// The member.
        member: Identity,
        /// The new status.
        status: MemberStatus,
    },
    /// Two alive members have the same name.
    NameConflict {
        /// The name that both have.
        name: String,
        /// Address of the member that was known before.
        known: SocketAddr,
        /// Address of the member that has joined.
        joined: SocketAddr,
    },
    /// Other members had declared this process dead, and it has rejoined.
    Rejoined,
    /// So many members were suspected together that a network partition is suspected, or no longer is.
    PartitionSuspected {
        /// Whether a partition is suspected now.
        suspected: bool,
    },
    /// The live count has changed.
    LiveCountChanged {
        /// Number of client proxies that share the endpoints.
        count: usize,
    },
    /// Another scope has become silent, or its summaries are received again.
    ScopeChanged {
        /// Name of the scope.
        scope: String,
        /// The new status.
        status: ScopeStatus,
    },
}

impl MembershipEvent {
    /// Whether the event reports a current state, which must not be lost when the event queue is full.
    pub(crate) fn is_state(&self) -> bool {
        match self {
            MembershipEvent::LiveCountChanged { .. }
            | MembershipEvent::PartitionSuspected { .. }
            | MembershipEvent::ScopeChanged { .. } => true,
            MembershipEvent::MemberChanged { .. }
            | MembershipEvent::NameConflict { .. }
            | MembershipEvent::Rejoined => false,
        }
    }
}
