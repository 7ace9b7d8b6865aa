//! Scenario files: TOML with durations as text, such as "400ms", and a timeline of faults.

use crate::random::WorkDistribution;
use oakport_core::Micros;
use serde::{Deserialize, Deserializer};

/// A scenario: a fleet, its clients and the faults that it meets.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Purpose of the scenario, for readers.
    pub purpose: String,
    /// Duration of the period in which requests arrive.
    #[serde(rename = "length", deserialize_with = "duration")]
    pub duration: Micros,
    /// Number of client proxies.
    pub balancers: usize,
    /// Number of servers at the start.
    pub servers: usize,
    /// Requests per second over all client proxies, retries not counted.
    pub rate: f64,
    /// Skew of the client proxies' shares of the requests: 0 equal; at 1 the largest has several times the mean.
    #[serde(rename = "uneven", default)]
    pub proxy_skew: f64,
    /// Zones over which servers and client proxies are distributed.
    #[serde(default = "default_zones")]
    pub zones: Vec<String>,
    /// Client proxies exchange membership; on sockets only.
    #[serde(default)]
    pub peers: bool,
    /// Capacity and limits of a server.
    #[serde(default)]
    pub server: ServerSpec,
    /// Delays between client proxies and servers.
    #[serde(default)]
    pub network: NetworkSpec,
    /// Delivery of endpoint lists.
    #[serde(default)]
    pub discovery: DiscoverySpec,
    /// Retries and timeouts of clients.
    #[serde(default)]
    pub clients: ClientSpec,
    /// Request classes.
    #[serde(rename = "class")]
    pub classes: Vec<ClassSpec>,
    /// Weights and charges of the score.
    #[serde(default)]
    pub goal: GoalSpec,
    /// Faults, and when they occur.
    #[serde(default, rename = "event")]
    pub events: Vec<FaultSpec>,
    /// Bounds of the figures measured on sockets.
    #[serde(default, rename = "expect")]
    pub expectations: Vec<Expectation>,
}

/// Bounds of a measured figure.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    /// Dotted name of the figure.
    pub figure: String,
    /// Lower bound, inclusive.
    #[serde(rename = "least", default)]
    pub min: Option<f64>,
    /// Upper bound, inclusive.
    #[serde(rename = "most", default)]
    pub max: Option<f64>,
}

fn default_zones() -> Vec<String> {
    vec!["a".to_owned()]
}

/// Capacity and limits of a server.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerSpec {
    /// Cores, shared by the requests being processed.
    pub cores: f64,
    /// Requests processed concurrently.
    pub slots: usize,
    /// Requests that may wait for a slot; further ones are rejected.
    #[serde(rename = "room")]
    pub queue_capacity: usize,
    /// Capacity of a server that has just started, as a ratio of its full capacity.
    #[serde(rename = "cold_share")]
    pub initial_capacity_ratio: f64,
    /// Time from the start of a server until it has its full capacity.
    #[serde(rename = "cold_time", deserialize_with = "duration")]
    pub warm_up_duration: Micros,
    /// A cold server fails when it is sent more than this multiple of its capacity ...
    #[serde(rename = "fall_multiple")]
    pub cold_overload_factor: f64,
    /// ... over this time.
    #[serde(rename = "fall_time", deserialize_with = "duration")]
    pub cold_overload_window: Micros,
    /// Maximum number of open connections.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// A connection that has been idle for this long is closed.
    #[serde(rename = "idle_close", deserialize_with = "duration")]
    pub idle_timeout: Micros,
    /// Work that a new connection costs the server, in microseconds of one core.
    #[serde(rename = "handshake", deserialize_with = "duration")]
    pub handshake_work: Micros,
    /// Slowdown under congestion; none if absent.
    #[serde(rename = "choke")]
    pub congestion: Option<CongestionSpec>,
}

/// Congestion: a server whose queue has been too long for some time slows down until its load has been low for some
/// time (BRIEF, "Servers").
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CongestionSpec {
    /// A server becomes congested when more requests than this per core wait ...
    #[serde(rename = "at")]
    pub onset_waiting_per_core: f64,
    /// ... for this time.
    #[serde(rename = "over", deserialize_with = "duration")]
    pub onset_time: Micros,
    /// Factor by which a congested server is slower.
    #[serde(rename = "slower")]
    pub slowdown_factor: f64,
    /// Congestion ends when fewer requests than this per core are waiting or being processed ...
    #[serde(rename = "below")]
    pub recovery_load_per_core: f64,
    /// ... for this time.
    #[serde(rename = "rest", deserialize_with = "duration")]
    pub recovery_time: Micros,
    /// Congestion ends after this time in any case.
    #[serde(rename = "most", deserialize_with = "duration")]
    pub max_duration: Micros,
}

impl Default for ServerSpec {
    fn default() -> Self {
        ServerSpec {
            cores: 3.0,
            slots: 12,
            queue_capacity: 24,
            initial_capacity_ratio: 0.13,
            warm_up_duration: 24_000_000,
            cold_overload_factor: 3.0,
            cold_overload_window: 3_000_000,
            max_connections: 80,
            idle_timeout: 5_000_000,
            handshake_work: 1_000,
            congestion: None,
        }
    }
}

/// Network between client proxies and servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NetworkSpec {
    /// One-way delay within a zone.
    #[serde(rename = "within", deserialize_with = "duration")]
    pub delay_within_zone: Micros,
    /// One-way delay between zones.
    #[serde(rename = "across", deserialize_with = "duration")]
    pub delay_across_zones: Micros,
    /// Maximum deviation of each delay in either direction, as a ratio of the delay.
    pub jitter: f64,
    /// A connection that is not established within this time has failed.
    #[serde(deserialize_with = "duration")]
    pub connect_timeout: Micros,
}

impl Default for NetworkSpec {
    fn default() -> Self {
        NetworkSpec {
            delay_within_zone: 300,
            delay_across_zones: 2_000,
            jitter: 0.2,
            connect_timeout: 200_000,
        }
    }
}

/// Delivery of the endpoint list.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DiscoverySpec {
    /// Delay of a list update to each client proxy, varied by up to half in either direction.
    #[serde(deserialize_with = "duration")]
    pub delay: Micros,
    /// Time for which attempts may still be sent to a server after it is listed as draining or removed.
    #[serde(deserialize_with = "duration")]
    pub drain_grace: Micros,
    /// Interval at which each client proxy polls one discovery service of limited capacity, while no poll fails;
    /// lists are pushed if absent.
    #[serde(rename = "ask_every", default, deserialize_with = "optional_duration")]
    pub poll_interval: Option<Micros>,
}

impl Default for DiscoverySpec {
    fn default() -> Self {
        DiscoverySpec { delay: 1_500_000, drain_grace: 1_000_000, poll_interval: None }
    }
}

/// Retries and timeouts of clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientSpec {
    /// Maximum number of retries.
    pub retries: u32,
    /// Delay before a retry, varied by up to half in either direction.
    #[serde(rename = "wait", deserialize_with = "duration")]
    pub retry_delay: Micros,
    /// Whether clients honour Retry-After.
    pub heed_retry_after: bool,
    /// Longer Retry-After values are cut to this.
    #[serde(rename = "retry_after_most", deserialize_with = "duration")]
    pub max_retry_after: Micros,
    /// Each try is abandoned after a random ratio of the client timeout, from this to 1.
    #[serde(rename = "patience")]
    pub min_timeout_ratio: f64,
}

impl Default for ClientSpec {
    fn default() -> Self {
        ClientSpec {
            retries: 2,
            retry_delay: 200_000,
            heed_retry_after: true,
            max_retry_after: 2_000_000,
            min_timeout_ratio: 1.0,
        }
    }
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IdempotencySpec {
    /// Repeating the request is harmless.
    #[serde(rename = "free")]
    Idempotent,
    /// The request must run at most once.
    #[default]
    #[serde(rename = "single_shot")]
    NonIdempotent,
}

/// A request class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Name of the class.
    pub name: String,
    /// Relative share of the requests.
    pub share: f64,
    /// Mean work, in microseconds of one core.
    #[serde(deserialize_with = "duration")]
    pub work: Micros,
    /// Distribution of the work around the mean.
    #[serde(rename = "spread", default)]
    pub work_distribution: WorkDistribution,
    /// Latency objective: answers within this time earn the priority weight.
    #[serde(rename = "aim", deserialize_with = "duration")]
    pub latency_objective: Micros,
    /// Time for which a client waits, including its retries.
    #[serde(rename = "deadline", deserialize_with = "duration")]
    pub client_timeout: Micros,
    /// Priority weight of an answer in time.
    #[serde(rename = "worth", default = "default_priority_weight")]
    pub priority_weight: f64,
    /// Whether requests of the class may be repeated.
    #[serde(default)]
    pub idempotency: IdempotencySpec,
    /// Large bodies that clients send and read slowly; on sockets only. Bodies are small if absent.
    #[serde(default)]
    pub transfer: Option<TransferSpec>,
}

/// Large bodies of a class, and their transfer rates.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TransferSpec {
    /// Minimum and maximum size of a request body; drawn for each request. Idempotent requests have no body.
    #[serde(default)]
    pub request_bytes: [usize; 2],
    /// Minimum and maximum size of a response body.
    pub response_bytes: [usize; 2],
    /// Bytes per second at which a server writes a response.
    #[serde(rename = "give_rate")]
    pub response_write_rate: usize,
    /// Bytes per second at which a client writes a request.
    #[serde(rename = "write_rate")]
    pub request_write_rate: usize,
    /// Bytes per second at which a client reads a response.
    #[serde(rename = "read_rate")]
    pub response_read_rate: usize,
    /// Clients pipeline: the next request is written before the response to the previous one is read.
    #[serde(default)]
    pub pipelined: bool,
}

impl TransferSpec {
    /// Latency is measured to the last byte of smaller responses and to the first byte of others (the body of a small
    /// message is never this large).
    pub const MIN_RESPONSE_BYTES: usize = 65_537;

    /// Returns the first invalid value, for a class with this idempotency.
    fn validation_error(&self, idempotency: IdempotencySpec) -> Option<&'static str> {
        let ordered = |[min, max]: [usize; 2]| min <= max;
        match () {
            () if !ordered(self.request_bytes) || !ordered(self.response_bytes) => {
                Some("request_bytes and response_bytes must be [minimum, maximum]")
            }
            () if self.response_bytes[0] < Self::MIN_RESPONSE_BYTES => {
                Some("response_bytes must be above 65,536")
            }
            () if [self.response_write_rate, self.request_write_rate, self.response_read_rate]
                .contains(&0) =>
            {
                Some("give_rate, write_rate and read_rate must be above 0")
            }
            () if idempotency == IdempotencySpec::Idempotent && self.request_bytes[1] > 0 => {
                Some("request_bytes requires idempotency = \"single_shot\"; other requests have no body")
            }
            () if idempotency != IdempotencySpec::Idempotent && self.pipelined => {
                Some("pipelined requires idempotency = \"free\": other requests may run only once")
            }
            () => None,
        }
    }
}

fn default_priority_weight() -> f64 {
    1.0
}

/// Weights and charges of the score G.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GoalSpec {
    /// Weight of the served share of the whole scenario.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// Weight of the served share of the worst 10 s.
    pub worst_window: f64,
    /// Weight of the served share of the worst-served class.
    pub worst_class: f64,
    /// Charge for one attempt to another zone per request.
    pub cross_zone: f64,
    /// Charge for wasting as much work as was requested.
    #[serde(rename = "waste")]
    pub wasted_work: f64,
    /// Charge if all requests end unserved or late after their latency objective.
    #[serde(rename = "late_fail")]
    pub late_failure: f64,
    /// Charge for one new connection per request.
    pub handshake: f64,
}

impl Default for GoalSpec {
    /// Weights and charges of BRIEF; the weight of the worst tenant is added to `overall`.
    fn default() -> Self {
        GoalSpec {
            overall: 0.55,
            worst_window: 0.15,
            worst_class: 0.30,
            cross_zone: 0.022,
            wasted_work: 0.082,
            late_failure: 0.15,
            handshake: 0.0,
        }
    }
}

/// A fault of limited duration.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// Start of the fault, relative to the start of the scenario.
    #[serde(deserialize_with = "duration")]
    pub at: Micros,
    /// Duration of the fault; with some kinds, the period over which it is spread.
    #[serde(rename = "for", deserialize_with = "duration")]
    pub duration: Micros,
    /// Kind of fault.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// Share of the servers or client proxies affected, if `zone` is absent; else all in the zone are.
    #[serde(rename = "part", default = "default_share")]
    pub share: f64,
    /// Name of the affected zone; all zones if absent.
    #[serde(default)]
    pub zone: Option<String>,
    /// Factor by which servers are slower, or by which the request rate rises.
    #[serde(default = "default_factor")]
    pub factor: f64,
    /// Affected servers restart cold when the fault ends.
    #[serde(rename = "cold", default)]
    pub restart_cold: bool,
    /// For a cut or an impaired link: the two groups that it separates, each as "zone:derby", "proxies:derby",
    /// "servers:derby", "proxies", "servers", "proxy:3", "server:5" or "discovery".
    #[serde(rename = "cut", default)]
    pub link_groups: Vec<String>,
    /// Only traffic from the first group to the second is affected.
    #[serde(default)]
    pub one_way: bool,
    /// Impairments of the link.
    #[serde(default)]
    pub link: LinkSpec,
    /// Delay of an extra response after the first, or idle time after which a connection is closed.
    #[serde(default, deserialize_with = "duration")]
    pub after: Micros,
    /// Signals to send, spread evenly over the duration.
    #[serde(default)]
    pub signals: Vec<SignalSpec>,
    /// Clients of a process that received SIGTERM keep using their open connections until it is killed.
    #[serde(rename = "clients_stay", default)]
    pub clients_keep_connections: bool,
    /// Number of extra connections to each client proxy, for a crowd.
    #[serde(default)]
    pub connections: usize,
}

/// A signal sent to a client proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SignalSpec {
    /// SIGHUP.
    Hup,
    /// SIGHUP while the configuration file is truncated to half; the file is restored before the next signal.
    HupInvalid,
    /// SIGTERM.
    Term,
}

/// Impairments of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkSpec {
    /// Additional delay of all traffic.
    #[serde(deserialize_with = "duration")]
    pub delay: Micros,
    /// Share of the datagrams that are lost.
    pub drop: f64,
    /// Share of the datagrams that are duplicated.
    pub duplicate: f64,
    /// Share of the datagrams that are overtaken by the next one.
    pub reorder: f64,
    /// Traffic stalls without an error to either side.
    pub stall: bool,
    /// Open connections are reset.
    pub reset: bool,
    /// New connections are refused.
    pub refuse: bool,
}

fn default_share() -> f64 {
    0.1
}

fn default_factor() -> f64 {
    3.0
}

/// Kinds of fault (BENCH, "Troubles", and the scenarios of the full fleet).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Server processes die and restart cold.
    Crash,
    /// Servers run `factor` times slower.
    Slow,
    /// Servers accept work and never answer.
    Hang,
    /// Servers answer half of the requests, at random, with an immediate error.
    Error,
    /// Servers reset the connections of a third of the requests, at random.
    Reset,
    /// Servers are unreachable: traffic to and from them is lost without an error.
    Silent,
    /// Servers drain and are replaced by cold ones, spread evenly over the duration.
    Release,
    /// The request rate rises by `factor`.
    Surge,
    /// A share of the client proxies die at the same time and restart at once, without their balancing state.
    Herd,
    /// A share of the client proxies die at the same time and restart one after the other over the duration.
    Kill,
    /// A share of the client proxies are suspended for the duration.
    Stall,
    /// A share of the client proxies receive SIGTERM, as for a planned restart, and restart.
    Restart,
    /// A share of the client proxies hand over to a successor process on the same listener.
    Upgrade,
    /// Discovery does not respond to a share of the client proxies.
    ListSilent,
    /// Discovery answers 503 to a share of the client proxies.
    ListUnavailable,
    /// Open watches of a share of the client proxies get no more updates; new watches work.
    WatchesSilent,
    /// A share of the client proxies get a list without the servers of a zone, or a tenth of all, though these serve.
    ListDiffers,
    /// All traffic between two groups is lost.
    Cut,
    /// Traffic between two groups is impaired.
    Link,
    /// A share of the client proxies get a series of signals; a process that received SIGTERM restarts.
    Signals,
    /// Idle and slow clients open connections to a share of the client proxies.
    Crowd,
    /// Servers send each response a second time, `after` the first.
    ExtraResponses,
    /// Servers close a connection that has been idle for `after`.
    ClosesIdle,
}

impl FaultKind {
    /// Returns whether the fault can only be played on sockets.
    pub fn requires_sockets(self) -> bool {
        use FaultKind::*;
        matches!(
            self,
            Kill | Stall
                | Restart
                | Upgrade
                | ListSilent
                | ListUnavailable
                | WatchesSilent
                | ListDiffers
                | Cut
                | Link
                | Signals
                | Crowd
                | ExtraResponses
                | ClosesIdle
        )
    }
}

/// Reason why a scenario is invalid.
#[derive(Clone, Debug, PartialEq)]
pub struct ScenarioError(pub String);

impl std::fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0.trim_end())
    }
}

impl std::error::Error for ScenarioError {}

impl Scenario {
    /// Parses and validates a scenario.
    ///
    /// # Errors
    /// The syntax error with its location in the text, or the first invalid value.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| ScenarioError(e.to_string()))?;
        match scenario.validation_error(text) {
            Some(message) => Err(ScenarioError(message)),
            None => Ok(scenario),
        }
    }

    /// The first fault that the simulator does not support, if any.
    pub fn first_socket_only_fault(&self) -> Option<FaultKind> {
        self.events.iter().map(|e| e.kind).find(|what| what.requires_sockets())
    }

    /// Returns a message on the first invalid value.
    fn validation_error(&self, text: &str) -> Option<String> {
        self.value_error()
            .or_else(|| self.class_error())
            .or_else(|| self.transfer_error())
            .or_else(|| self.event_error(text))
            .or_else(|| self.link_error(text))
            .or_else(|| self.signals_error(text))
            .or_else(|| self.expectation_error(text))
    }

    fn value_error(&self) -> Option<String> {
        let checks = [
            (self.balancers > 0, "balancers: at least 1 is needed"),
            (self.servers > 0, "servers: at least 1 is needed"),
            (is_positive(self.rate), "rate: must be above 0 requests a second"),
            (self.duration >= 1_000_000, "length: at least 1s is needed"),
            (!self.zones.is_empty(), "zones: at least one is needed; leave the key out for one zone"),
            (!self.classes.is_empty(), "class: at least one [[class]] is needed"),
            (is_ratio(self.proxy_skew), "uneven: must be from 0 to 1"),
            (is_positive(self.server.cores), "server.cores: must be above 0"),
            (self.server.slots > 0, "server.slots: at least 1 is needed"),
            (
                self.server.congestion.as_ref().is_none_or(|c| is_positive(c.slowdown_factor)),
                "server.choke.slower: must be above 0",
            ),
            (is_ratio(self.server.initial_capacity_ratio), "server.cold_share: must be from 0 to 1"),
            (is_ratio(self.network.jitter), "network.jitter: must be from 0 to 1"),
            (is_ratio(self.clients.min_timeout_ratio), "clients.patience: must be from 0 to 1"),
        ];
        checks.into_iter().find(|(is_valid, _)| !is_valid).map(|(_, message)| message.to_owned())
    }

    fn class_error(&self) -> Option<String> {
        let is_valid = |class: &&ClassSpec| {
            class.client_timeout > 0
                && is_positive(class.share)
                && class.work > 0
                && class.priority_weight >= 0.0
        };
        let invalid = self.classes.iter().find(|class| !is_valid(class))?;
        let name = &invalid.name;
        Some(format!("class {name}: share, work and deadline must be above 0, worth at least 0"))
    }

    fn transfer_error(&self) -> Option<String> {
        let message = |class: &ClassSpec| class.transfer.as_ref()?.validation_error(class.idempotency);
        let (class, message) = self.classes.iter().find_map(|class| Some((class, message(class)?)))?;
        Some(format!("class {}: transfer: {message}", class.name))
    }

    fn event_error(&self, text: &str) -> Option<String> {
        let is_valid = |fault: &FaultSpec| {
            let zone_exists = fault.zone.as_ref().is_none_or(|zone| self.zones.contains(zone));
            zone_exists && is_ratio(fault.share) && is_positive(fault.factor)
        };
        let index = self.events.iter().position(|fault| !is_valid(fault))?;
        Some(format!(
            "line {}: event {:?}: its zone must be one of {}, part from 0 to 1, factor above 0",
            line_of(text, "[[event]]", index),
            self.events[index].kind,
            self.zones.join(", ")
        ))
    }

    fn link_error(&self, text: &str) -> Option<String> {
        let mut faults = self.events.iter().enumerate();
        let (index, message) = faults.find_map(|(index, fault)| Some((index, self.group_error(fault)?)))?;
        Some(format!("line {}: event: {message}", line_of(text, "[[event]]", index)))
    }

    /// Returns a message if the groups that a fault of the network separates are invalid.
    fn group_error(&self, fault: &FaultSpec) -> Option<String> {
        let is_link = matches!(fault.kind, FaultKind::Cut | FaultKind::Link);
        if is_link && fault.link_groups.len() != 2 {
            return Some("cut must name two groups, such as [\"zone:derby\", \"servers\"]".to_owned());
        }
        let group = fault.link_groups.iter().find(|group| Group::parse(group, self).is_none())?;
        Some(format!(
            "{group} is no group; use zone:, proxies: or servers: with one of {}, or proxies, \
             servers, proxy:0 to proxy:{}, server:0 to server:{}, discovery",
            self.zones.join(", "),
            self.balancers - 1,
            self.servers - 1
        ))
    }

    fn signals_error(&self, text: &str) -> Option<String> {
        let is_invalid = |fault: &FaultSpec| fault.kind == FaultKind::Signals && fault.signals.is_empty();
        let index = self.events.iter().position(is_invalid)?;
        let line = line_of(text, "[[event]]", index);
        Some(format!("line {line}: event: signals must name at least one of hup, hup_invalid, term"))
    }

    fn expectation_error(&self, text: &str) -> Option<String> {
        let index = self.expectations.iter().position(|e| e.min.is_none() && e.max.is_none())?;
        let line = line_of(text, "[[expect]]", index);
        Some(format!("line {line}: expect {}: give least, most or both", self.expectations[index].figure))
    }
}

fn is_ratio(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

/// Processes on one side of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Proxies and servers of a zone, by its index in the scenario.
    Zone(usize),
    /// Proxies, of a zone or all.
    Proxies(Option<usize>),
    /// Servers, of a zone or all.
    Servers(Option<usize>),
    /// One proxy.
    Proxy(usize),
    /// One server.
    Server(usize),
    /// The discovery service.
    Discovery,
}

impl Group {
    /// Parses the name of a group; `None` if the scenario has no such group.
    pub fn parse(text: &str, scenario: &Scenario) -> Option<Group> {
        let (kind, name) = text.split_once(':').map_or((text, None), |(kind, name)| (kind, Some(name)));
        let zone = || scenario.zones.iter().position(|zone| Some(zone.as_str()) == name);
        let number = |below: usize| name?.parse().ok().filter(|number| *number < below);
        match (kind, name) {
            ("zone", _) => zone().map(Group::Zone),
            ("proxies", None) => Some(Group::Proxies(None)),
            ("proxies", _) => zone().map(|z| Group::Proxies(Some(z))),
            ("servers", None) => Some(Group::Servers(None)),
            ("servers", _) => zone().map(|z| Group::Servers(Some(z))),
            ("proxy", _) => number(scenario.balancers).map(Group::Proxy),
            ("server", _) => number(scenario.servers).map(Group::Server),
            ("discovery", None) => Some(Group::Discovery),
            _ => None,
        }
    }

    /// Returns whether the group contains the proxy of this index and zone.
    pub fn contains_proxy(self, number: usize, zone: usize) -> bool {
        match self {
            Group::Zone(z) | Group::Proxies(Some(z)) => z == zone,
            Group::Proxies(None) => true,
            Group::Proxy(n) => n == number,
            Group::Servers(_) | Group::Server(_) | Group::Discovery => false,
        }
    }

    /// Returns whether the group contains the server of this index and zone.
    pub fn contains_server(self, number: usize, zone: usize) -> bool {
        match self {
            Group::Zone(z) | Group::Servers(Some(z)) => z == zone,
            Group::Servers(None) => true,
            Group::Server(n) => n == number,
            Group::Proxies(_) | Group::Proxy(_) | Group::Discovery => false,
        }
    }
}

/// Line, from 1, of the header of the table with this index; 0 if it has no header line, such as an inline table.
fn line_of(text: &str, header: &str, number: usize) -> usize {
    let lines = text.lines().enumerate().filter(|(_, line)| line.trim() == header);
    lines.map(|(line, _)| line + 1).nth(number).unwrap_or(0)
}

/// Deserializes a duration that is present.
fn optional_duration<'de, D: Deserializer<'de>>(reader: D) -> Result<Option<Micros>, D::Error> {
    duration(reader).map(Some)
}

/// Deserializes a duration: text such as "400ms", or a whole number of microseconds.
fn duration<'de, D: Deserializer<'de>>(reader: D) -> Result<Micros, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum DurationText {
        Number(u64),
        Text(String),
    }
    match DurationText::deserialize(reader) {
        Ok(DurationText::Number(number)) => Ok(number),
        Ok(DurationText::Text(text)) => match humantime::parse_duration(&text) {
            Ok(duration) => Ok(duration.as_micros() as Micros),
            Err(error) => Err(serde::de::Error::custom(format!(
                "invalid duration \"{text}\": {error}; write \"400ms\""
            ))),
        },
        Err(_) => Err(serde::de::Error::custom("expected a duration such as \"400ms\"")),
    }
}
