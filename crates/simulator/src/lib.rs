//! Simulates a fleet in virtual time: servers, network, discovery, clients and client proxies.
//!
//! [`simulate`] runs a [`Scenario`] with one policy and returns a [`Verdict`]. The result depends only on the scenario,
//! the policy and the seed, not on the machine: `docs/simulator.md` describes how, and the limits of the model.

mod arrivals;
mod judge;
mod policy;
mod queue;
pub mod random;
pub mod scenario;
pub mod server;
mod simulation;

pub use arrivals::{Arrival, Arrivals};
pub use judge::{Verdict, Violation, Window};
pub use policy::{Policy, PolicyKind, ServerState, Visibility, POLICY_KINDS};
pub use scenario::{Scenario, ScenarioError};
pub use simulation::{simulate, simulate_with, MakePolicy};
