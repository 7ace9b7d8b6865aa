//! The client proxy: sockets, clock and timers around the balancer of `oakport-core`. This crate makes no balancing
//! decisions; it rejects requests itself only if connections, memory or open calls have reached their limit.
//!
//! [`Config`] is the parsed configuration file, and [`Process`] a process that serves clients according to it.
//! `docs/architecture.md` describes the parts and the path of a request through them.

mod admin;
mod body;
mod call_table;
mod classes;
mod client_sockets;
mod clock;
mod config;
mod descriptor_budget;
mod descriptors;
mod discovery;
mod dispatcher;
mod downstream;
mod endpoint_list;
mod endpoints;
mod hot_restart;
mod membership;
mod memory_accounts;
mod metrics;
mod process;
mod process_memory;
mod reload;
mod request;
mod request_id_table;
mod request_ids;
mod response;
mod shutdown_progress;
mod socket;
mod start_times;
mod system_limits;
mod upstream;

pub use config::{Checked, Config, DiagnosticCounts, Diagnostics, Limits, MembershipConfig};
pub use descriptor_budget::{client_capacity, ClientCapacity};
pub use hot_restart::{inherited_listener, InheritedListenerError};
pub use membership::{MemberReport, MembershipReport, ScopeReport};
pub use metrics::{
    ConnectionCounts, MetricsReport, OpenConnectionCounts, OutcomeCounts, RejectionReason, ShutdownReport,
};
pub use process::{Process, ServeError, StartError};
