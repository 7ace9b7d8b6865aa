//! Reads the settings object of the wire, which the adapter gets in its first message and the program in its
//! configuration, and converts it into [`Settings`].
//!
//! Unknown keys are ignored, absent ones get harmless values. The types with `JsonSchema` are the one description of
//! the format: `oakport schema` prints the schema drawn from them, doc comments included, and `oakport check` validates
//! by it. Their field names, and the names of their definitions in the schema, are therefore those of the wire.

use crate::ids::{MachineTypeId, Micros, ZoneId};
use crate::settings::{
    Charges, Class, DeduplicationScope, Idempotency, Limits, LoadReporting, ObjectiveWeights, ReportDelivery,
    Rules, Settings, Tenant, WeightSource,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Upper bound of all time-outs and windows that the schema limits, in microseconds (one hour): a greater value was
/// meant in another unit.
const MAX_TIMEOUT_US: u64 = 3_600_000_000;

/// What the site has settled: classes of requests, limits, rules, prices.
#[derive(Debug, Deserialize, Serialize, JsonSchema)]
pub struct SettingsFile {
    /// How many client proxies send to these servers, this one included.
    #[schemars(range(min = 1))]
    balancers: u32,
    /// The classes of requests; the first part of a request's path names its class.
    #[schemars(length(min = 1))]
    classes: Vec<ClassDocument>,
    /// Tenants, if there are any.
    #[serde(default)]
    tenants: Vec<TenantDocument>,
    /// "push" or "ask"; on sockets the list always comes by a watch.
    #[serde(default)]
    discovery: String,
    /// What the site allows.
    limits: LimitsDocument,
    /// Figures of the rules that must hold.
    invariants: RulesDocument,
    /// Weights of the parts of the result.
    #[serde(default)]
    result_mix: ObjectiveDocument,
    /// Smallest step of the clock, in microseconds.
    #[serde(default)]
    tick_us: u64,
    /// The zone of this client proxy, as the list names it.
    #[serde(default)]
    locality: String,
    /// What costs points.
    #[serde(default)]
    charges: ChargesDocument,
    /// What servers report of their load.
    #[serde(default)]
    report: ReportDocument,
    /// What the list's weights mean.
    #[serde(default)]
    #[schemars(extend("enum" = ["", "off", "nominal", "rough", "live"]))]
    weight_source: String,
    /// What a request is worth beyond its tenant's share, against one within.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    over_share_worth: Option<f64>,
}

#[derive(Debug, Deserialize, Serialize, JsonSchema, Default)]
#[serde(default)]
#[schemars(rename = "ChargeFacts")]
struct ChargesDocument {
    /// Price of an attempt that crosses zones.
    cross_zone: f64,
    /// Price of a probe.
    probe: f64,
    /// Price of a new connection.
    handshake: f64,
    /// Price of server work that gave no answer.
    waste: f64,
    /// Price of worth that failed only after its aim.
    late_fail: f64,
}

#[derive(Debug, Deserialize, Serialize, JsonSchema, Default)]
#[serde(default)]
#[schemars(rename = "ReportFacts")]
struct ReportDocument {
    /// Where servers report their load.
    #[schemars(extend("enum" = ["", "off", "inline", "on_probe"]))]
    how: String,
    /// Names of the figures that they report.
    columns: Vec<String>,
}

#[derive(Debug, Deserialize, Serialize, JsonSchema)]
#[schemars(rename = "ClassFacts")]
struct ClassDocument {
    /// The class, as the first part of the path has it.
    #[schemars(length(min = 1))]
    name: String,
    /// The aim: an answer within this time earns the full worth, in microseconds.
    objective_us: u64,
    /// How long a client waits in all, in microseconds.
    #[schemars(range(min = 1))]
    deadline_us: u64,
    /// Worth of an answer in time.
    #[serde(default)]
    worth: f64,
    /// Share of the worth for an answer between aim and deadline, 0 to 1.
    #[serde(default)]
    late_value: f64,
    /// Whether a request may run again: "free", "guarded" (where servers drop repeats) or "single_shot" (never).
    #[schemars(extend("enum" = ["free", "guarded", "single_shot"]))]
    idempotency: String,
    /// Which servers drop repeats of a guarded request.
    #[serde(default)]
    #[schemars(extend("enum" = ["", "all", "zone", "cell"]))]
    dedup_scope: String,
    /// For how long they do, in microseconds.
    #[serde(default)]
    repeat_window_us: u64,
}

#[derive(Debug, Deserialize, Serialize, JsonSchema)]
#[schemars(rename = "TenantFacts")]
struct TenantDocument {
    /// The tenant, as `X-Tenant-Id` has it.
    name: String,
    /// Its share of the service, 0 to 1.
    #[serde(default)]
    portion: f64,
    /// Requests a second over all client proxies that are within its share; 0: not told.
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Debug, Deserialize, Serialize, JsonSchema)]
#[serde(default)]
#[schemars(rename = "LimitFacts")]
struct LimitsDocument {
    /// Whether an attempt may be called off.
    cancel: bool,
    /// Whether servers may be probed.
    probes: bool,
    /// Whether a request may have two attempts out at once.
    second_copies: bool,
    /// Most attempts for a request.
    #[schemars(range(min = 1))]
    max_attempts: u32,
    /// Whether clients heed `Retry-After`.
    retry_after: bool,
    /// The longest that they heed, in microseconds.
    max_retry_after_us: u64,
    /// Attempts that one connection carries at a time; 0: not told.
    max_streams: u32,
    /// Requests that may be open at once; more are turned away.
    #[schemars(range(min = 1))]
    max_open: usize,
    /// Servers close a connection that has been idle for this long, in microseconds.
    #[schemars(range(min = 1, max = MAX_TIMEOUT_US))]
    conn_idle_us: u64,
    /// A connection that is not up by then has failed, in microseconds.
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
    /// A server starts at this share of its capacity or more, 0 to 1.
    cold_from: f64,
    /// And is warm after this at the latest, in microseconds.
    cold_us: u64,
    /// A cold server that is sent too much for this long falls over, in microseconds.
    #[schemars(range(min = 1, max = MAX_TIMEOUT_US))]
    tip_after_us: u64,
    /// Too much is this multiple of what it can then do.
    #[serde(skip_serializing_if = "Option::is_none")]
    fall_multiple: Option<f64>,
    /// Latest that requests may still go to a server after word that it drains or is gone, in microseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = MAX_TIMEOUT_US))]
    drain_grace_us: Option<u64>,
    /// Longest that a client proxy may go without asking for the list, in microseconds.
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
    /// Weight of all requests together.
    whole: f64,
    /// Weight of the worst-served class.
    worst_class: f64,
    /// Weight of the worst-served tenant, within its share.
    worst_tenant: f64,
    /// Weight of the worst stretch of time.
    worst_window: f64,
}

impl Default for ObjectiveDocument {
    fn default() -> Self {
        ObjectiveDocument { whole: 1.0, worst_class: 0.0, worst_tenant: 0.0, worst_window: 0.0 }
    }
}

/// The part of the settings that concerns connections and requests rather than decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TransportSettings {
    /// Requests that may be open at once.
    pub max_open_requests: usize,
    /// Endpoints close a connection that has been idle for this long, in microseconds.
    pub idle_connection_timeout: Micros,
    /// A connection that is not established by then has failed, in microseconds.
    pub connect_timeout: Micros,
    /// What a new connection costs, as a share of the priority weight of one call.
    pub handshake_charge: f64,
    /// The shortest latency objective of a class, in microseconds.
    pub shortest_latency_objective: Micros,
}

/// A settings object after parsing.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedSettings {
    /// What decisions follow.
    pub settings: Settings,
    /// Names of the classes, by [`ClassId`](crate::ClassId).
    pub class_names: Vec<String>,
    /// Names of the tenants, by [`TenantId`](crate::TenantId).
    pub tenant_names: Vec<String>,
    /// What connections and requests follow.
    pub transport: TransportSettings,
}

/// A number for a name (FNV-1a), the same in every process.
fn name_hash(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

/// The number of a zone by its name.
pub fn zone_id(name: &str) -> ZoneId {
    ZoneId(name_hash(name))
}

/// The number of a machine type by its name.
pub fn machine_type_id(name: &str) -> MachineTypeId {
    MachineTypeId(name_hash(name))
}

/// Why settings cannot be used although each key has a value of its type.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}: {problem}", pointer.trim_start_matches('/').replace('/', "."))]
pub struct InvalidSettings {
    /// Where, as a JSON pointer into the settings (`/classes/0/deadline_us`); empty: the settings as a whole.
    pub pointer: String,
    /// What is wrong there.
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
/// Names the part that is missing or invalid.
pub fn parse(object: &Value) -> Result<ParsedSettings, InvalidSettings> {
    convert(SettingsFile::deserialize(object).map_err(|e| InvalidSettings::new("", e.to_string()))?)
}

/// Converts a settings object that has been deserialized.
///
/// # Errors
/// A client timeout or a number of attempts of 0, and a class that is named twice.
pub fn convert(file: SettingsFile) -> Result<ParsedSettings, InvalidSettings> {
    let classes = convert_classes(&file.classes)?;
    if file.limits.max_attempts == 0 {
        return Err(InvalidSettings::new("/limits/max_attempts", "0 attempts"));
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
            return Err(InvalidSettings::new(format!("/classes/{index}/deadline_us"), "a deadline of 0"));
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

    /// An idempotency or a deduplication scope that is not known allows no repeat.
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
