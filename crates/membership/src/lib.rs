//! Cluster membership: which client proxies are alive, and how many of them share the endpoints
//! (`docs/membership.md`).
//!
//! The crate is a state machine without sockets or clock: a [`Node`] is passed datagrams and the current
//! time, and produces datagrams and [`MembershipEvent`]s.

mod anti_entropy;
mod envelope;
mod fleet_count;
mod foca_packet;
mod identity;
mod live_count;
mod member_table;
mod membership_event;
mod node;
mod outbox;
mod range_digest;
mod rate_limit;
mod remote_scope;
mod reported_digests;
mod scope_gossip;
mod scope_summary;
mod scope_table;
mod swim;

pub use envelope::{DatagramError, DatagramKind, Envelope, OpenedDatagram};
pub use identity::Identity;
pub use live_count::LiveCount;
pub use member_table::{MemberRecord, MemberStatus, MemberTable};
pub use membership_event::MembershipEvent;
pub use node::{Node, NodeConfig};
pub use remote_scope::{RemoteScope, ScopeStatus};
pub use scope_summary::ScopeSummary;
pub use scope_table::ScopeTable;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
