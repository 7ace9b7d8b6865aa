//! What processes of oakport know of each other: who is present (`docs/membership.md`). No sockets, no clock:
//! datagrams and the time in, datagrams and news out.

mod between;
mod bucket;
mod count;
mod envelope;
mod heard;
mod identity;
mod peers;
mod ranges;
mod scopes;
mod sync;
mod view;
mod wire;

pub use count::LiveCount;
pub use envelope::{DatagramError, DatagramKind, Envelope};
pub use identity::Identity;
pub use peers::{MembershipEvent, Node, NodeConfig};
pub use scopes::{RemoteScope, ScopeStatus, ScopeSummary, ScopeTable};
pub use view::{MemberRecord, MemberStatus, MemberTable};

/// A moment or a span, in microseconds.
pub type Micros = u64;
