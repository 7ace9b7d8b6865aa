//! Parses the settings object of the wire format and converts it into [`Settings`]. The adapter receives the
//! object when it creates an instance; a client proxy reads it from its configuration file.
//!
//! Unknown keys are ignored, and absent optional keys get harmless defaults. The types that derive
//! `JsonSchema` are the only definition of the format: `oakport schema` prints the schema generated from
//! them, doc comments included, and `oakport check` validates against it. Their field names and the names of
//! their schema definitions are therefore names of the wire format.

use crate::ids::{MachineTypeId, Micros, ZoneId};
use crate::settings::{
    Charges, Class, DeduplicationScope, Idempotency, Limits, LoadReporting, ObjectiveWeights, ReportDelivery,
    Rules, Settings, Tenant, WeightSource,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Upper bound of the timeouts and time spans that the schema limits, in microseconds (one hour): a greater
/// value is taken for one in another unit.
const MAX_TIMEOUT_US: u64 = 3_600_000_000;

/// Settings of a balancer: classes of calls, limits, rules and charges.
#[derive(Debug, Deserialize, Serialize, JsonSchema)]
pub struct SettingsFile {
    /// Number of client proxies that send to these endpoints, this one included.
    #[schemars(range(min = 1))]
    balancers: u32,
    /// Classes of calls; the first segment of the request path names the class.
    #[schemars(length(min = 1))]
    classes: Vec<ClassDocument>,
    /// Tenants, if there are any.
    #[serde(default)]
    tenants: Vec<TenantDocument>,
    /// How the endpoint list is updated: "push" or "ask" (polling). Over the network it is always watched.
    #[serde(default)]
    discovery: String,
    /// Limits that the deployment sets.
    limits: LimitsDocument,
    /// Parameters of the invariants that client proxies must maintain.
    invariants: RulesDocument,
    /// Weights of the terms of the service objective.
    #[serde(default)]
    result_mix: ObjectiveDocument,
    /// Resolution of the clock, in microseconds.
    #[serde(default)]
    tick_us: u64,
    /// Zone of this client proxy, as named in the endpoint list.
    #[serde(default)]
    locality: String,
    /// Costs of operations, as a share of the priority weight of one call.
    #[serde(default)]
    charges: ChargesDocument,
    /// Load reports of the endpoints.
    #[serde(default)]
    report: ReportDocument,
    /// Meaning of the weights in the endpoint list.
    #[serde(default)]
    #[schemars(extend("enum" = ["", "off", "nominal", "rough", "live"]))]
    weight_source: String,
    /// Priority weight of a call beyond its tenant's share, relative to a call within it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    over_share_worth: Option<f64>,
}

#[derive(Debug, Deserialize, Serialize, JsonSchema, Default)]
#[serde(default)]
#[schemars(rename = "ChargeFacts")]
struct ChargesDocument {
    /// Cost of an attempt at an endpoint in another zone.
    cross_zone: f64,
    /// Cost of a load poll.
    probe: f64,
    /// Cost of a new connection.
    handshake: f64,
    /// Cost of endpoint work that led to no response.
    waste: f64,
    /// Cost of priority weight that failed only after its latency objective.
    late_fail: f64,
}

#[derive(Debug, Deserialize, Serialize, JsonSchema, Default)]
#[serde(default)]
#[schemars(rename = "ReportFacts")]
struct ReportDocument {
    /// Delivery of load reports: "inline" (with every response) or "on_probe" (with load polls only).
    #[schemars(extend("enum" = ["", "off", "inline", "on_probe"]))]
    how: String,
    /// Names of the values in a load report.
    columns: Vec<String>,
}

#[derive(Debug, Deserialize, Serialize, JsonSchema)]
#[schemars(rename = "ClassFacts")]
struct ClassDocument {
    /// Name of the class, which is the first segment of the request path.
    #[schemars(length(min = 1))]
    name: String,
    /// Latency objective: time within which a response earns the full priority weight, in microseconds.
    objective_us: u64,
    /// Client timeout: how long a client waits in total, in microseconds.
    #[schemars(range(min = 1))]
    deadline_us: u64,
    /// Priority weight of a call that is served within its latency objective.
    #[serde(default)]
    worth: f64,
    /// Share of the priority weight for a response between latency objective and client timeout, 0 to 1.
    #[serde(default)]
    late_value: f64,
    /// Whether a call may be executed again: "free" (yes), "guarded" (deduplicated) or "single_shot" (no).
    #[schemars(extend("enum" = ["free", "guarded", "single_shot"]))]
    idempotency: String,
    /// Which endpoints deduplicate a guarded call.
    #[serde(default)]
    #[schemars(extend("enum" = ["", "all", "zone", "cell"]))]
    dedup_scope: String,
    /// How long endpoints recognise a repeat of a guarded call, in microseconds.
    #[serde(default)]
    repeat_window_us: u64,
}

#[derive(Debug, Deserialize, Serialize, JsonSchema)]
#[schemars(rename = "TenantFacts")]
struct TenantDocument {
    /// Name of the tenant, as given in `X-Tenant-Id`.
    name: String,
    /// Share of the service, 0 to 1.
    #[serde(default)]
    portion: f64,
    /// Calls per second, over all client proxies, up to which the tenant is within its share; 0 if unknown.
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Debug, Deserialize, Serialize, JsonSchema)]
#[serde(default)]
#[schemars(rename = "LimitFacts")]
struct LimitsDocument {
    /// Whether attempts may be cancelled.
    cancel: bool,
    /// Whether endpoints may be polled for their load.
    probes: bool,
    /// Whether a call may have two attempts in flight at once (hedging).
    second_copies: bool,
    /// Maximum number of attempts per call.
    #[schemars(range(min = 1))]
    max_attempts: u32,
    /// Whether clients respect `Retry-After`.
    retry_after: bool,
    /// Longest `Retry-After` that clients respect, in microseconds.
    max_retry_after_us: u64,
    /// Maximum number of concurrent attempts per connection; 0 if unknown.
    max_streams: u32,
    /// Maximum number of open calls; further calls are rejected.
    #[schemars(range(min = 1))]
    max_open: usize,
    /// Time after which endpoints close an idle connection, in microseconds.
    #[schemars(range(min = 1, max = MAX_TIMEOUT_US))]
    conn_idle_us: u64,
    /// Time within which a connection must be established, in microseconds.
    #[schemars(range(min = 1, max = MAX_TIMEOUT_US))]
    connect_timeout_us: u64,
}

impl Default for LimitsDocument {
    fn default() -> Self {
        LimitsDocument {
            cancel: false,
            probes: false,
            second_copies: false,
            max_attempts: 1,
            retry_after: false,
            max_retry_after_us: 0,
            max_streams: 0,
            max_open: 10_000,
            conn_idle_us: 15_000_000,
            connect_timeout_us: 250_000,
        }
    }
}

#[derive(Debug, Deserialize, Serialize, JsonSchema)]
#[schemars(rename = "RuleFacts")]
struct RulesDocument {
    /// Least share of its full capacity that an endpoint has at start, 0 to 1.
    cold_from: f64,
    /// Longest warm-up time, after which an endpoint has its full capacity, in microseconds.
    cold_us: u64,
    /// Time after which overload during warm-up makes an endpoint fail, in microseconds.
    #[schemars(range(min = 1, max = MAX_TIMEOUT_US))]
    tip_after_us: u64,
    /// Multiple of its current capacity at which the load overloads an endpoint during warm-up.
    #[serde(skip_serializing_if = "Option::is_none")]
    fall_multiple: Option<f64>,
    /// How long calls may still be sent to an endpoint reported as draining or removed, in microseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = MAX_TIMEOUT_US))]
    drain_grace_us: Option<u64>,
    /// Longest interval between polls of the endpoint list, in microseconds.
    #[serde(default = "default_poll_interval_us")]
    #[schemars(range(min = 1, max = MAX_TIMEOUT_US))]
    ask_every_us: u64,
}

fn default_poll_interval_us() -> u64 {
    Settings::default().rules.max_poll_interval
}

#[derive(Debug, Deserialize, Serialize, JsonSchema)]
#[serde(default)]
#[schemars(rename = "GoalFacts")]
struct ObjectiveDocument {
    /// Weight of all calls together.
    whole: f64,
    /// Weight of the worst-served class.
    worst_class: f64,
    /// Weight of the worst-served tenant, within its share.
    worst_tenant: f64,
    /// Weight of the worst-served time window.
    worst_window: f64,
}

impl Default for ObjectiveDocument {
    fn default() -> Self {
        ObjectiveDocument { whole: 1.0, worst_class: 0.0, worst_tenant: 0.0, worst_window: 0.0 }
    }
}

/// Settings of connections and admission, which the client proxy itself applies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TransportSettings {
    /// Maximum number of open calls; further calls are rejected.
    pub max_open_requests: usize,
    /// Time after which endpoints close an idle connection, in microseconds.
    pub idle_connection_timeout: Micros,
    /// Time within which a connection must be established, in microseconds.
    pub connect_timeout: Micros,
    /// Cost of a new connection, as a share of the priority weight of one call.
    pub handshake_charge: f64,
    /// Shortest latency objective of all classes, in microseconds.
    pub shortest_latency_objective: Micros,
}

/// A settings object after parsing.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedSettings {
    /// Settings of the balancer.
    pub settings: Settings,
    /// Names of the classes, by [`ClassId`](crate::ClassId).
    pub class_names: Vec<String>,
    /// Names of the tenants, by [`TenantId`](crate::TenantId).
    pub tenant_names: Vec<String>,
    /// Settings of connections and admission.
    pub transport: TransportSettings,
}

/// FNV-1a hash of a name, the same in every process.
fn name_hash(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

/// Id of the zone with this name.
pub fn zone_id(name: &str) -> ZoneId {
    ZoneId(name_hash(name))
}

/// Id of the machine type with this name.
pub fn machine_type_id(name: &str) -> MachineTypeId {
    MachineTypeId(name_hash(name))
}

/// Error of settings that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}: {problem}", pointer.trim_start_matches('/').replace('/', "."))]
pub struct InvalidSettings {
    /// JSON pointer to the invalid value in the settings (`/classes/0/deadline_us`); empty if it concerns the
    /// settings as a whole.
    pub pointer: String,
    /// What is wrong with the value.
    pub problem: String,
}

impl InvalidSettings {
    fn new(pointer: impl Into<String>, problem: impl Into<String>) -> Self {
        InvalidSettings { pointer: pointer.into(), problem: problem.into() }
    }
}

/// Parses the settings object.
///
/// # Errors
/// If a key is missing or a value is invalid.
pub fn parse(object: &Value) -> Result<ParsedSettings, InvalidSettings> {
    convert(SettingsFile::deserialize(object).map_err(|e| InvalidSettings::new("", e.to_string()))?)
}

/// Converts a settings object that has been deserialized.
///
/// # Errors
/// If a client timeout or the number of attempts is 0, or if two classes have the same name.
pub fn convert(file: SettingsFile) -> Result<ParsedSettings, InvalidSettings> {
    let classes = convert_classes(&file.classes)?;
    if file.limits.max_attempts == 0 {
        return Err(InvalidSettings::new("/limits/max_attempts", "expected at least 1, found 0"));
    }
    let defaults = Settings::default();
    let settings = Settings {
        proxy_count: file.balancers,
        zone: zone_id(&file.locality),
        clock_tick: file.tick_us,
        polls_endpoint_list: file.discovery == "ask",
        classes,
        tenants: file.tenants.iter().map(TenantDocument::tenant).collect(),
        limits: file.limits.limits(),
        rules: file.invariants.rules(&defaults.rules),
        objective_weights: file.result_mix.weights(),
        charges: file.charges.charges(),
        load_reporting: file.report.load_reporting(),
        weight_source: weight_source(&file.weight_source),
        over_share_weight: file.over_share_worth.unwrap_or(defaults.over_share_weight),
    };
    let transport = transport(&file);
    let class_names = file.classes.into_iter().map(|class| class.name).collect();
    let tenant_names = file.tenants.into_iter().map(|tenant| tenant.name).collect();
    Ok(ParsedSettings { settings, class_names, tenant_names, transport })
}

fn convert_classes(documents: &[ClassDocument]) -> Result<Vec<Class>, InvalidSettings> {
    let mut classes = Vec::with_capacity(documents.len());
    for (index, document) in documents.iter().enumerate() {
        if document.deadline_us == 0 {
            return Err(InvalidSettings::new(
                format!("/classes/{index}/deadline_us"),
                "expected at least 1, found 0",
            ));
        }
        if documents[..index].iter().any(|earlier| earlier.name == document.name) {
            let problem = format!("class {} is named twice", document.name);
            return Err(InvalidSettings::new(format!("/classes/{index}/name"), problem));
        }
        classes.push(document.class());
    }
    Ok(classes)
}

fn weight_source(name: &str) -> WeightSource {
    match name {
        "nominal" => WeightSource::Nominal,
        "rough" => WeightSource::Approximate,
        "live" => WeightSource::LoadAdjusted,
        _ => WeightSource::Off,
    }
}

fn transport(file: &SettingsFile) -> TransportSettings {
    let objectives = file.classes.iter().map(|class| class.objective_us);
    TransportSettings {
        max_open_requests: file.limits.max_open,
        idle_connection_timeout: file.limits.conn_idle_us,
        connect_timeout: file.limits.connect_timeout_us,
        handshake_charge: file.charges.handshake,
        shortest_latency_objective: objectives.min().unwrap_or(Micros::MAX),
    }
}

impl ClassDocument {
    fn class(&self) -> Class {
        Class {
            latency_objective: self.objective_us,
            client_timeout: self.deadline_us,
            priority_weight: self.worth,
            late_weight_ratio: self.late_value,
            idempotency: self.idempotency(),
            active: true,
        }
    }

    /// An unknown idempotency or deduplication scope counts as non-idempotent, which allows no repeat.
    fn idempotency(&self) -> Idempotency {
        let scope = match self.dedup_scope.as_str() {
            "all" => Some(DeduplicationScope::All),
            "zone" => Some(DeduplicationScope::Zone),
            "cell" => Some(DeduplicationScope::Cell),
            _ => None,
        };
        match (self.idempotency.as_str(), scope) {
            ("free", _) => Idempotency::Idempotent,
            ("guarded", Some(scope)) => Idempotency::Deduplicated { scope, window: self.repeat_window_us },
            _ => Idempotency::NonIdempotent,
        }
    }
}

impl TenantDocument {
    fn tenant(&self) -> Tenant {
        Tenant { share: self.portion, quota_per_sec: self.quota_per_s }
    }
}

impl LimitsDocument {
    fn limits(&self) -> Limits {
        Limits {
            cancellation: self.cancel,
            load_polling: self.probes,
            hedging: self.second_copies,
            max_attempts: self.max_attempts,
            max_retry_after: if self.retry_after { self.max_retry_after_us } else { 0 },
            max_streams: self.max_streams,
        }
    }
}

impl RulesDocument {
    fn rules(&self, defaults: &Rules) -> Rules {
        Rules {
            warm_up_initial_ratio: self.cold_from,
            warm_up_duration: self.cold_us,
            warm_up_overload_factor: self.fall_multiple.unwrap_or(defaults.warm_up_overload_factor),
            warm_up_overload_window: self.tip_after_us,
            drain_grace: self.drain_grace_us.unwrap_or(defaults.drain_grace),
            max_poll_interval: self.ask_every_us,
        }
    }
}

impl ObjectiveDocument {
    fn weights(&self) -> ObjectiveWeights {
        ObjectiveWeights {
            overall: self.whole,
            worst_class: self.worst_class,
            worst_tenant: self.worst_tenant,
            worst_window: self.worst_window,
        }
    }
}

impl ChargesDocument {
    fn charges(&self) -> Charges {
        Charges {
            cross_zone: self.cross_zone,
            load_poll: self.probe,
            handshake: self.handshake,
            wasted_work: self.waste,
            late_failure: self.late_fail,
        }
    }
}

impl ReportDocument {
    fn load_reporting(&self) -> LoadReporting {
        let delivery = match self.how.as_str() {
            "inline" => ReportDelivery::Inline,
            "on_probe" => ReportDelivery::OnPoll,
            _ => ReportDelivery::Off,
        };
        LoadReporting { delivery, includes_in_flight: self.columns.iter().any(|column| column == "active") }
    }
}
