//! The client proxy round the decisions of `oakport-core`: sockets, clock and timers. It decides nothing.
//!
//! [`Config`] is the configuration file, [`Server`] the process that serves by it. `docs/architecture.md` shows the
//! parts and the way of one request through them.

mod bodies;
mod calls;
mod classes;
mod clock;
mod config;
mod demand;
mod descriptors;
mod discovery;
mod driver;
mod figures;
mod front;
mod hosts;
mod link;
mod list;
mod message;
mod operator;
mod peers;
mod pool;
mod server;
mod socket;
mod upgrade;
mod upstream;

pub use config::{Checked, Config, Faults, Limits, PeersConfig};
pub use figures::{Connections, Ends, Report};
pub use peers::{MemberReport, PeersReport, ScopeReport};
pub use server::{places, Server};
pub use upgrade::inherited;
