//! Settings of the balancer: classes of calls, tenants, limits, rules and charges.

use crate::ids::{Micros, ZoneId};

/// The endpoints that deduplicate a repeated call, which means that they do not execute it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// Whether a call of a class may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// A call may be executed any number of times.
    Idempotent,
    /// Endpoints of `scope` do not execute a repeat that is sent within `window` of the first attempt that
    /// may have been executed.
    Deduplicated {
        /// The endpoints that recognise a repeat.
        scope: DeduplicationScope,
        /// How long they recognise it, in microseconds.
        window: Micros,
    },
    /// A call must be executed at most once.
    #[default]
    NonIdempotent,
}

/// A class of calls, with its latency objective, priority and idempotency.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Class {
    /// Time within which a response earns the full priority weight, in microseconds.
    pub latency_objective: Micros,
    /// How long the client waits for a response, including its own retries, in microseconds.
    pub client_timeout: Micros,
    /// Priority weight of a call that is served within its latency objective.
    pub priority_weight: f64,
    /// Share of the priority weight for a response between latency objective and client timeout, 0 to 1.
    pub late_weight_ratio: f64,
    /// Whether a call may be executed more than once.
    pub idempotency: Idempotency,
    /// Whether the current settings contain the class; a class that was dropped keeps its id for calls in
    /// flight.
    pub active: bool,
}

/// A tenant's share of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Share of the service, 0 to 1.
    pub share: f64,
    /// Calls per second, over all client proxies, up to which the tenant is within its share; 0 if unknown.
    pub quota_per_sec: f64,
}

/// The meaning of [`EndpointInfo::weight`](crate::EndpointInfo::weight).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightSource {
    /// The weight has no meaning.
    #[default]
    Off,
    /// The endpoint's registered capacity.
    Nominal,
    /// The endpoint's approximate capacity.
    Approximate,
    /// The endpoint's capacity divided by its load at some recent time.
    LoadAdjusted,
}

/// How endpoints deliver load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportDelivery {
    /// Endpoints send no load reports.
    #[default]
    Off,
    /// With each response to a call or a load poll.
    Inline,
    /// With responses to load polls only.
    OnPoll,
}

/// Delivery and contents of load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReporting {
    /// How load reports are delivered.
    pub delivery: ReportDelivery,
    /// Whether load reports include [`LoadReport::in_flight`](crate::LoadReport::in_flight).
    pub includes_in_flight: bool,
}

/// Costs of operations, as a share of the priority weight of one call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Charges {
    /// An attempt at an endpoint in another zone.
    pub cross_zone: f64,
    /// A load poll.
    pub load_poll: f64,
    /// A new connection.
    pub handshake: f64,
    /// Endpoint work of one call that led to no response. Not used in decisions.
    pub wasted_work: f64,
    /// A call that failed only after its latency objective. Not used in decisions.
    pub late_failure: f64,
}

/// Limits that the deployment sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether endpoints may be polled for their load.
    pub load_polling: bool,
    /// Whether a call may have two attempts in flight at once.
    pub hedging: bool,
    /// Maximum number of attempts per call.
    pub max_attempts: u32,
    /// Longest `Retry-After` that clients respect, in microseconds; 0 if they ignore it.
    pub max_retry_after: Micros,
    /// Maximum number of concurrent attempts per connection; 0 if unknown. Not used in decisions.
    pub max_streams: u32,
}

/// Parameters of the invariants that client proxies must maintain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Share of its full capacity that an endpoint has at least when its process starts, 0 to 1.
    pub warm_up_initial_ratio: f64,
    /// Time from its start until an endpoint has its full capacity, in microseconds.
    pub warm_up_duration: Micros,
    /// Multiple of its current capacity at which the load overloads an endpoint during warm-up.
    pub warm_up_overload_factor: f64,
    /// Time over which that load is counted, in microseconds. Not used in decisions.
    pub warm_up_overload_window: Micros,
    /// How long calls may still be sent to an endpoint after it was reported draining or removed, in
    /// microseconds.
    pub drain_grace: Micros,
    /// Longest interval between polls of the endpoint list, in microseconds.
    pub max_poll_interval: Micros,
}

/// Weights of the terms of the service objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObjectiveWeights {
    /// Weight of all calls together.
    pub overall: f64,
    /// Weight of the worst-served class.
    pub worst_class: f64,
    /// Weight of the worst-served tenant, within its share. Not used in decisions.
    pub worst_tenant: f64,
    /// Weight of the worst-served time window. Not used in decisions.
    pub worst_window: f64,
}

/// All settings of a balancer, passed at creation and replaced by
/// [`Event::Settings`](crate::Event::Settings).
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of client proxies that send to these endpoints, this one included.
    pub proxy_count: u32,
    /// The zone of this client proxy.
    pub zone: ZoneId,
    /// Resolution of the clock, in microseconds.
    pub clock_tick: Micros,
    /// Whether the balancer polls discovery for the endpoint list, rather than receiving pushed updates.
    pub polls_endpoint_list: bool,
    /// Classes of calls.
    pub classes: Vec<Class>,
    /// Tenants, if there are any. Not used in decisions.
    pub tenants: Vec<Tenant>,
    /// Limits that the deployment sets.
    pub limits: Limits,
    /// Parameters of the invariants.
    pub rules: Rules,
    /// Weights of the terms of the service objective.
    pub objective_weights: ObjectiveWeights,
    /// Costs of operations.
    pub charges: Charges,
    /// Delivery and contents of load reports.
    pub load_reporting: LoadReporting,
    /// Meaning of the weights in the endpoint list.
    pub weight_source: WeightSource,
    /// Priority weight of a call beyond its tenant's share, relative to a call within it. Not used in
    /// decisions.
    pub over_share_weight: f64,
}

impl Default for Settings {
    /// One client proxy, a pushed endpoint list, one class of non-idempotent calls.
    fn default() -> Self {
        Settings {
            proxy_count: 1,
            zone: ZoneId::default(),
            clock_tick: 1_000,
            polls_endpoint_list: false,
            classes: vec![Class {
                latency_objective: 500_000,
                client_timeout: 1_000_000,
                priority_weight: 1.0,
                late_weight_ratio: 0.0,
                idempotency: Idempotency::NonIdempotent,
                active: true,
            }],
            tenants: Vec::new(),
            limits: Limits {
                cancellation: true,
                load_polling: false,
                hedging: false,
                max_attempts: 3,
                max_retry_after: 1_000_000,
                max_streams: 0,
            },
            rules: Rules {
                warm_up_initial_ratio: 0.1,
                warm_up_duration: 20_000_000,
                warm_up_overload_factor: 3.0,
                warm_up_overload_window: 2_000_000,
                drain_grace: 1_000_000,
                max_poll_interval: 10_000_000,
            },
            objective_weights: ObjectiveWeights {
                overall: 1.0,
                worst_class: 0.0,
                worst_tenant: 0.0,
                worst_window: 0.0,
            },
            charges: Charges::default(),
            load_reporting: LoadReporting::default(),
            weight_source: WeightSource::default(),
            over_share_weight: 1.0,
        }
    }
}
