//! Membership events: what a node reports to the process that runs it.

use crate::identity::Identity;
use crate::member_table::MemberStatus;
use crate::remote_scope::ScopeStatus;
use std::net::SocketAddr;

/// A change that the process is notified of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A member has another status, or is new.
    MemberChanged {
        /// The member.
        member: Identity,
        /// Its status from now on.
        status: MemberStatus,
    },
    /// Two live members have the same name.
    NameConflict {
        /// The name.
        name: String,
        /// The member that was known before.
        known: SocketAddr,
        /// The member that has joined.
        joined: SocketAddr,
    },
    /// Other members had declared this process dead, and it has rejoined.
    Rejoined,
    /// Whether so many members fell silent together that a network partition is suspected.
    PartitionSuspected {
        /// False: the suspicion is over.
        suspected: bool,
    },
    /// The live count in force has changed.
    LiveCountChanged {
        /// Client proxies that share the endpoints.
        count: usize,
    },
    /// Another scope has gone silent, or is heard from again.
    ScopeChanged {
        /// Its name.
        scope: String,
        /// Its status from now on.
        status: ScopeStatus,
    },
}

impl MembershipEvent {
    /// It reports a state in force, which must not be lost when the queue of events is full.
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
