//! A fleet in virtual time: servers, network, discovery, clients and client proxies, from one seed.
//!
//! [`Scenario`] is a day as it is written, [`play`] plays it with one policy and judges it. One seed gives one result,
//! whatever the machine: `docs/simulator.md` says how, and what the model leaves out.

mod arrivals;
mod judge;
mod policy;
mod queue;
pub mod random;
pub mod scenario;
pub mod server;
mod world;

pub use arrivals::{Arrival, Arrivals};
pub use judge::{Verdict, Violation, Window};
pub use policy::{Policy, PolicyKind, ServerState, Visibility, POLICY_KINDS};
pub use scenario::{Scenario, ScenarioError};
pub use world::{simulate, simulate_with, MakePolicy};
