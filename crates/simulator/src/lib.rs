//! A fleet in virtual time: servers, network, discovery, clients and client proxies, from one seed.
//!
//! [`Scenario`] is a day as it is written, [`play`] plays it with one policy and judges it. One seed gives one result,
//! whatever the machine: `docs/simulator.md` says how, and what the model leaves out.

mod arrivals;
pub mod chance;
mod judge;
mod policy;
mod queue;
pub mod scenario;
pub mod server;
mod world;

pub use arrivals::{Arrival, Arrivals};
pub use judge::{Verdict, Violation, Window};
pub use policy::{PolicyKind, Policy, Visibility, ServerState, POLICY_KINDS};
pub use scenario::{ScenarioError, Scenario};
pub use world::{simulate, simulate_with, MakePolicy};
