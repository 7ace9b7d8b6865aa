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

pub use count::Count;
pub use envelope::{Envelope, Kind, Odd};
pub use identity::Identity;
pub use peers::{Config, News, Peers};
pub use scopes::{Hearing, Record, Scope, Scopes};
pub use view::{Seen, Standing, View};

/// A moment or a span, in microseconds.
pub type Micros = u64;
