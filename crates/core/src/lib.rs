//! The decision logic of a client-side load balancer: which endpoint a call is sent to, and when a call is
//! queued, retried, hedged, rejected or failed. The crate does no I/O and reads no clock.
//!
//! A client proxy creates one [`Balancer`], passes it [`Event`]s and carries out the resulting [`Action`]s:
//!
//! ```
//! use oakport_core::{
//!     Action, Balancer, CallId, ClassId, EndpointId, EndpointInfo, EndpointState, Event, ListUpdateKind, Settings,
//! };
//!
//! let mut balancer = Balancer::new(7, Settings::default());
//! let mut actions = Vec::new();
//! balancer.handle(0, Event::Start, &mut actions);
//! let endpoints = vec![EndpointInfo { id: EndpointId(1), state: EndpointState::Ready, ..EndpointInfo::default() }];
//! balancer.handle(0, Event::EndpointList { kind: ListUpdateKind::Snapshot, endpoints }, &mut actions);
//! let event = Event::Request {
//!     call: CallId(1),
//!     class: ClassId(0),
//!     tenant: None,
//!     remaining_time: 500_000,
//!     is_retry: false,
//! };
//! balancer.handle(1_000, event, &mut actions);
//! for action in actions.drain(..) {
//!     match action {
//!         Action::Send { call, endpoint, .. } => println!("send {call:?} to {endpoint:?}"),
//!         Action::SetTimer { after } => println!("send Event::Timer in {after} us"),
//!         other => println!("{other:?}"),
//!     }
//! }
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod action;
mod balance;
mod call_table;
mod endpoint;
mod endpoint_index;
mod endpoint_table;
mod event;
mod event_loop;
mod ids;
mod latency_stats;
mod settings;
pub mod settings_wire;
mod timer_queue;
mod weighted_set;

pub use action::{Action, DecisionEvent};
pub use balance::Balancer;
pub use event::{EndpointInfo, EndpointState, Event, ListUpdateKind, LoadReport, Outcome};
pub use ids::{CallId, CellId, ClassId, EndpointId, MachineTypeId, Micros, TenantId, ZoneId};
pub use settings::{
    Charges, Class, DeduplicationScope, Idempotency, Limits, LoadReporting, ObjectiveWeights, ReportDelivery,
    Rules, Settings, Tenant, WeightSource,
};
