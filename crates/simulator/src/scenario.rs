//! A day as it is written: TOML, times with their units, and a time line of what goes wrong.

use crate::random::WorkDistribution;
use oakport_core::Micros;
use serde::{Deserialize, Deserializer};

/// A day of a fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What the day is for, for people.
    pub purpose: String,
    /// How long requests come.
    #[serde(deserialize_with = "duration")]
    #[serde(rename = "length")]
    pub duration: Micros,
    /// Client proxies.
    pub balancers: usize,
    /// Servers at the start.
    pub servers: usize,
    /// Requests a second over all client proxies, retries not counted.
    pub rate: f64,
    /// How unequal the client proxies' parts of them are: 0 alike, 1 the largest has several times the mean.
    #[serde(default)]
    #[serde(rename = "uneven")]
    pub proxy_skew: f64,
    /// Zones over which servers and client proxies are spread.
    #[serde(default = "default_zones")]
    pub zones: Vec<String>,
    /// Client proxies know of each other; on sockets only.
    #[serde(default)]
    pub peers: bool,
    /// What a server can do.
    #[serde(default)]
    pub server: ServerSpec,
    /// The way between them.
    #[serde(default)]
    pub network: NetworkSpec,
    /// How the list comes.
    #[serde(default)]
    pub discovery: DiscoverySpec,
    /// What clients do.
    #[serde(default)]
    pub clients: ClientSpec,
    /// Classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<ClassSpec>,
    /// What the day is judged by.
    #[serde(default)]
    pub goal: GoalSpec,
    /// What goes wrong, and when.
    #[serde(default, rename = "event")]
    pub events: Vec<FaultSpec>,
    /// What the day's figures must be on sockets.
    #[serde(default, rename = "expect")]
    pub expectations: Vec<Expectation>,
}

/// What a figure of the day must be.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    /// Its dotted name.
    pub figure: String,
    /// No less than this.
    #[serde(default)]
    #[serde(rename = "least")]
    pub min: Option<f64>,
    /// No more than this.
    #[serde(default)]
    #[serde(rename = "most")]
    pub max: Option<f64>,
}

fn default_zones() -> Vec<String> {
    vec!["a".to_owned()]
}

/// What a server can do.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerSpec {
    /// Cores, shared by the requests in its slots.
    pub cores: f64,
    /// Requests in work at a time.
    pub slots: usize,
    /// Requests that may wait for a slot; beyond them it turns away.
    #[serde(rename = "room")]
    pub queue_capacity: usize,
    /// Share of its capacity that a fresh server has.
    #[serde(rename = "cold_share")]
    pub initial_capacity_ratio: f64,
    /// And is warm after this.
    #[serde(deserialize_with = "duration")]
    #[serde(rename = "cold_time")]
    pub warm_up_duration: Micros,
    /// Sent more than this multiple of what it can then do ...
    #[serde(rename = "fall_multiple")]
    pub cold_overload_factor: f64,
    /// ... over this span, a cold server falls over.
    #[serde(deserialize_with = "duration")]
    #[serde(rename = "fall_time")]
    pub cold_overload_window: Micros,
    /// Connections that it holds at the most.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// It closes a connection that has been idle for this long.
    #[serde(deserialize_with = "duration")]
    #[serde(rename = "idle_close")]
    pub idle_timeout: Micros,
    /// Work that a new connection costs it.
    #[serde(deserialize_with = "duration")]
    #[serde(rename = "handshake")]
    pub handshake_work: Micros,
    /// How it suffers under a crowd, if at all.
    #[serde(rename = "choke")]
    pub congestion: Option<CongestionSpec>,
}

/// A server that has had too many waiting for too long is slower, until it has had little to do for a while (BRIEF,
/// "Servers").
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CongestionSpec {
    /// More requests than this wait for each core ...
    #[serde(rename = "at")]
    pub min_waiting_per_core: f64,
    /// ... for this span: then it chokes.
    #[serde(deserialize_with = "duration")]
    #[serde(rename = "over")]
    pub onset_time: Micros,
    /// How many times slower it is then.
    #[serde(rename = "slower")]
    pub slowdown_factor: f64,
    /// Fewer requests than this are in hand for each core ...
    #[serde(rename = "below")]
    pub recovery_load_per_core: f64,
    /// ... for this span: then it is well again.
    #[serde(deserialize_with = "duration")]
    #[serde(rename = "rest")]
    pub recovery_time: Micros,
    /// It is well again after this in any case.
    #[serde(deserialize_with = "duration")]
    #[serde(rename = "most")]
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

/// The way between client proxies and servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NetworkSpec {
    /// One way within a zone.
    #[serde(deserialize_with = "duration")]
    #[serde(rename = "within")]
    pub delay_within_zone: Micros,
    /// One way between zones.
    #[serde(deserialize_with = "duration")]
    #[serde(rename = "across")]
    pub delay_across_zones: Micros,
    /// Share by which each delay differs, up or down.
    pub jitter: f64,
    /// A connection that is not up by then has failed.
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

/// How the list of servers comes.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DiscoverySpec {
    /// News reach each client proxy so long after they are true, give or take half of it.
    #[serde(deserialize_with = "duration")]
    pub delay: Micros,
    /// Latest that requests may go to a server after word that it drains or is gone.
    #[serde(deserialize_with = "duration")]
    pub drain_grace: Micros,
    /// One service of limited room is asked by all, each so often where nothing fails; else lists are pushed.
    #[serde(default, deserialize_with = "optional_duration")]
    #[serde(rename = "ask_every")]
    pub poll_interval: Option<Micros>,
}

impl Default for DiscoverySpec {
    fn default() -> Self {
        DiscoverySpec { delay: 1_500_000, drain_grace: 1_000_000, poll_interval: None }
    }
}

/// What clients do.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientSpec {
    /// Further tries after the first.
    pub retries: u32,
    /// How long they wait before, give or take half of it.
    #[serde(deserialize_with = "duration")]
    #[serde(rename = "wait")]
    pub retry_delay: Micros,
    /// Whether they wait at least as long as they are told.
    pub heed_retry_after: bool,
    /// The longest advice that they heed.
    #[serde(deserialize_with = "duration")]
    #[serde(rename = "retry_after_most")]
    pub max_retry_after: Micros,
    /// Least share of the deadline after which a try is given up.
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

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IdempotencySpec {
    /// It may.
    #[serde(rename = "free")]
    Idempotent,
    /// Never.
    #[default]
    #[serde(rename = "single_shot")]
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Its share of the requests, against the other classes'.
    pub share: f64,
    /// Mean work on one core.
    #[serde(deserialize_with = "duration")]
    pub work: Micros,
    /// How work is spread about the mean.
    #[serde(default)]
    #[serde(rename = "spread")]
    pub work_distribution: WorkDistribution,
    /// An answer by then earns its worth.
    #[serde(deserialize_with = "duration")]
    #[serde(rename = "aim")]
    pub latency_objective: Micros,
    /// How long a client waits over all its tries.
    #[serde(deserialize_with = "duration")]
    #[serde(rename = "deadline")]
    pub client_timeout: Micros,
    /// What an answer in time is worth.
    #[serde(default = "default_priority_weight")]
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Whether it may run again.
    #[serde(default)]
    pub idempotency: IdempotencySpec,
    /// Large bodies that a client sends and reads slowly; on sockets only. Else bodies are small.
    #[serde(default)]
    pub transfer: Option<TransferSpec>,
}

/// Large bodies of a class, and the pace of its clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TransferSpec {
    /// The least and the most bytes of a request's body; each request draws its own. None where it may run again.
    #[serde(default)]
    pub request_bytes: [usize; 2],
    /// The least and the most bytes of a response's body.
    pub response_bytes: [usize; 2],
    /// Bytes a second that a server writes of its response.
    #[serde(rename = "give_rate")]
    pub response_write_rate: usize,
    /// Bytes a second that a client writes of its request.
    #[serde(rename = "write_rate")]
    pub request_write_rate: usize,
    /// Bytes a second that a client reads of its response.
    #[serde(rename = "read_rate")]
    pub response_read_rate: usize,
    /// A client writes its next request right behind each request, before it has read the response.
    #[serde(default)]
    pub pipelined: bool,
}

impl TransferSpec {
    /// Smaller responses are judged by their last byte, others by their first (a body of a small message holds no more).
    pub const MIN_RESPONSE_BYTES: usize = 65_537;

    /// What makes no sense although it can be read, for this class of requests.
    fn validation_error(&self, idempotency: IdempotencySpec) -> Option<&'static str> {
        let ordered = |[least, most]: [usize; 2]| least <= most;
        match () {
            () if !ordered(self.request_bytes) || !ordered(self.response_bytes) => {
                Some("of bytes give the least first, then the most")
            }
            () if self.response_bytes[0] < Self::MIN_RESPONSE_BYTES => {
                Some("response_bytes must be above 65,536")
            }
            () if [self.response_write_rate, self.request_write_rate, self.response_read_rate]
                .contains(&0) =>
            {
                Some("rates must be above 0")
            }
            () if idempotency == IdempotencySpec::Idempotent && self.request_bytes[1] > 0 => {
                Some("request_bytes needs idempotency = \"single_shot\", as other requests have no body")
            }
            () if idempotency != IdempotencySpec::Idempotent && self.pipelined => {
                Some("pipelined needs idempotency = \"free\": what may not run again is not written ahead")
            }
            () => None,
        }
    }
}

fn default_priority_weight() -> f64 {
    1.0
}

/// What the day is judged by: weights of the parts of G, and prices.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GoalSpec {
    /// The whole day.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// The worst 10 s.
    pub worst_window: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// Price of each request crossing zones once.
    pub cross_zone: f64,
    /// Price of as much work wasted as was asked for.
    #[serde(rename = "waste")]
    pub wasted_work: f64,
    /// Price of all failing only after its aim.
    #[serde(rename = "late_fail")]
    pub late_failure: f64,
    /// Price of a new connection for each request.
    pub handshake: f64,
}

impl Default for GoalSpec {
    /// BRIEF's weights and deductions; its share for the worst tenant goes to the whole.
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

/// Something that goes wrong for a while.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// When it begins.
    #[serde(deserialize_with = "duration")]
    pub at: Micros,
    /// How long it lasts.
    #[serde(rename = "for", deserialize_with = "duration")]
    pub duration: Micros,
    /// What.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// Share of the servers that it meets; of a zone, all.
    #[serde(default = "default_share")]
    #[serde(rename = "part")]
    pub share: f64,
    /// The zone that it meets, by its name; else servers of all zones.
    #[serde(default)]
    pub zone: Option<String>,
    /// How many times slower, or how many times the rate.
    #[serde(default = "default_factor")]
    pub factor: f64,
    /// Servers that it met start again, cold, when it is over.
    #[serde(default)]
    #[serde(rename = "cold")]
    pub restart_cold: bool,
    /// For a cut or a bad link: the two groups between which it lies, each as "zone:derby", "proxies:derby",
    /// "servers:derby", "proxies", "servers", "proxy:3", "server:5" or "discovery".
    #[serde(default)]
    #[serde(rename = "cut")]
    pub link_groups: Vec<String>,
    /// Only what the first group sends to the second is met.
    #[serde(default)]
    pub one_way: bool,
    /// What a link does.
    #[serde(default)]
    pub link: LinkSpec,
    /// An extra response follows so long after the first, or an idle connection is closed so long after a response.
    #[serde(default, deserialize_with = "duration")]
    pub after: Micros,
    /// The signals of a series, evenly over the time.
    #[serde(default)]
    pub signals: Vec<SignalSpec>,
    /// Clients of a process that was told to end use their open connections until it is killed.
    #[serde(default)]
    #[serde(rename = "clients_stay")]
    pub clients_keep_connections: bool,
    /// The connections of a crowd to each client proxy.
    #[serde(default)]
    pub connections: usize,
}

/// A signal of a series.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SignalSpec {
    /// SIGHUP.
    Hup,
    /// SIGHUP while the configuration file is cut in half; it is whole again before the next signal.
    HupInvalid,
    /// SIGTERM.
    Term,
}

/// What a bad link does to what passes over it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkSpec {
    /// All comes so much later.
    #[serde(deserialize_with = "duration")]
    pub delay: Micros,
    /// Share of the datagrams that are lost.
    pub drop: f64,
    /// Share of the datagrams that come twice.
    pub duplicate: f64,
    /// Share of the datagrams that the next one overtakes.
    pub reorder: f64,
    /// Nothing passes, and nobody is told.
    pub stall: bool,
    /// Connections that are open are reset.
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

/// Kinds of trouble (BENCH, "Troubles", and the days of the full fleet).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Processes die and come back cold.
    Crash,
    /// They run `factor` times slower.
    Slow,
    /// They take work and answer nothing.
    Hang,
    /// They answer every second request with an error, fast.
    Error,
    /// They reset every third connection under its request.
    Reset,
    /// They are cut off: what is sent there is lost in silence.
    Silent,
    /// They drain and are replaced by cold ones, evenly over the time.
    Release,
    /// `factor` times the requests.
    Surge,
    /// A share of the client proxies die at once and start again from nothing.
    Herd,
    /// A share of the client proxies die at once, and start again one after the other over the time.
    Kill,
    /// A share of the client proxies are stopped where they stand, and go on after it.
    Stall,
    /// A share of the client proxies are told to end, as for a planned restart, and start again.
    Restart,
    /// A share of the client proxies are relieved by another process on the same listener.
    Upgrade,
    /// Discovery says nothing to a share of the client proxies.
    ListSilent,
    /// Discovery answers 503 to a share of the client proxies.
    ListUnavailable,
    /// The open watches of a share of the client proxies fall silent; new ones are answered.
    WatchesSilent,
    /// A share of the client proxies are told that the servers of a zone, or a tenth of all, are gone, though they serve.
    ListDiffers,
    /// Nothing passes between two groups.
    Cut,
    /// What passes between two groups suffers.
    Link,
    /// A share of the client proxies get a series of signals; one that was told to end starts again.
    Signals,
    /// Idle and slow clients open connections to a share of the client proxies.
    Crowd,
    /// Servers send each response a second time, `after` the first.
    ExtraResponses,
    /// Servers close a connection that has been idle for `after`.
    ClosesIdle,
}

impl FaultKind {
    /// It is played on sockets only.
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

/// Why a scenario cannot be played.
#[derive(Clone, Debug, PartialEq)]
pub struct ScenarioError(pub String);

impl std::fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0.trim_end())
    }
}

impl std::error::Error for ScenarioError {}

impl Scenario {
    /// Reads a day.
    ///
    /// # Errors
    /// What is wrong, with its place in the text, or which figure makes no sense.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| ScenarioError(e.to_string()))?;
        match scenario.validation_error(text) {
            Some(odd) => Err(ScenarioError(odd)),
            None => Ok(scenario),
        }
    }

    /// The first event that virtual time does not play yet, if there is one.
    pub fn first_socket_only_fault(&self) -> Option<FaultKind> {
        self.events.iter().map(|e| e.kind).find(|what| what.requires_sockets())
    }

    /// What makes no sense although it can be read.
    fn validation_error(&self, text: &str) -> Option<String> {
        let share = |value: f64| (0.0..=1.0).contains(&value);
        let positive = |value: f64| value.is_finite() && value > 0.0;
        let scenario_checks = [
            (self.balancers > 0, "balancers: at least 1 is needed"),
            (self.servers > 0, "servers: at least 1 is needed"),
            (positive(self.rate), "rate: must be above 0 requests a second"),
            (self.duration >= 1_000_000, "length: at least 1s is needed"),
            (!self.zones.is_empty(), "zones: at least one is needed; leave the key out for one zone"),
            (!self.classes.is_empty(), "class: at least one [[class]] is needed"),
            (share(self.proxy_skew), "uneven: must be from 0 to 1"),
            (positive(self.server.cores), "server.cores: must be above 0"),
            (self.server.slots > 0, "server.slots: at least 1 is needed"),
            (
                self.server.congestion.as_ref().is_none_or(|c| positive(c.slowdown_factor)),
                "server.choke.slower: must be above 0",
            ),
            (share(self.server.initial_capacity_ratio), "server.cold_share: must be from 0 to 1"),
            (share(self.network.jitter), "network.jitter: must be from 0 to 1"),
            (share(self.clients.min_timeout_ratio), "clients.patience: must be from 0 to 1"),
        ];
        let odd = scenario_checks.into_iter().find(|(fine, _)| !fine).map(|(_, odd)| odd.to_owned());
        let class = || {
            let fine = |c: &&ClassSpec| {
                c.client_timeout > 0 && positive(c.share) && c.work > 0 && c.priority_weight >= 0.0
            };
            let bad = self.classes.iter().find(|c| !fine(c))?;
            Some(format!("class {}: share, work and deadline must be above 0, worth not below", bad.name))
        };
        let transfer = || {
            let odd = |c: &ClassSpec| {
                c.transfer.as_ref().and_then(|transfer| transfer.validation_error(c.idempotency))
            };
            let (class, odd) = self.classes.iter().find_map(|c| Some((c, odd(c)?)))?;
            Some(format!("class {}: transfer: {odd}", class.name))
        };
        let event = || {
            let fine = |t: &FaultSpec| {
                let known = t.zone.as_ref().is_none_or(|z| self.zones.contains(z));
                known && share(t.share) && positive(t.factor)
            };
            let number = self.events.iter().position(|t| !fine(t))?;
            Some(format!(
                "line {}: event {:?}: its zone must be one of {}, part from 0 to 1, factor above 0",
                line_of(text, "[[event]]", number),
                self.events[number].kind,
                self.zones.join(", ")
            ))
        };
        let link = || {
            let odd = |t: &FaultSpec| {
                match t.kind {
                FaultKind::Cut | FaultKind::Link if t.link_groups.len() != 2 => {
                    Some("cut must name two groups, such as [\"zone:derby\", \"servers\"]".to_owned())
                }
                _ => t.link_groups.iter().find(|group| Group::parse(group, self).is_none()).map(|group| {
                    let zones = self.zones.join(", ");
                    format!(
                        "{group} is no group; write zone:, proxies: or servers: with one of {zones}, or proxies, \
                         servers, proxy:0 to proxy:{}, server:0 to server:{}, discovery",
                        self.balancers - 1,
                        self.servers - 1
                    )
                }),
            }
            };
            let found = self.events.iter().enumerate().find_map(|(n, t)| Some((n, odd(t)?)));
            found.map(|(n, odd)| format!("line {}: event: {odd}", line_of(text, "[[event]]", n)))
        };
        let expect = || {
            let number = self.expectations.iter().position(|e| e.min.is_none() && e.max.is_none())?;
            let line = line_of(text, "[[expect]]", number);
            Some(format!(
                "line {line}: expect {}: give least, most or both",
                self.expectations[number].figure
            ))
        };
        let signals = || {
            let number =
                self.events.iter().position(|t| t.kind == FaultKind::Signals && t.signals.is_empty())?;
            let line = line_of(text, "[[event]]", number);
            Some(format!("line {line}: event: signals must name at least one of hup, hup_invalid, term"))
        };
        odd.or_else(class).or_else(transfer).or_else(event).or_else(link).or_else(signals).or_else(expect)
    }
}

/// Parties between which a link lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Proxies and servers of a zone, by its place in the scenario's list.
    Zone(usize),
    /// Proxies, of a zone or all.
    Proxies(Option<usize>),
    /// Servers, of a zone or all.
    Servers(Option<usize>),
    /// One proxy.
    Proxy(usize),
    /// One server.
    Server(usize),
    /// All that tells the list.
    Discovery,
}

impl Group {
    /// The group that a text names in this scenario.
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

    /// Does a proxy of this number and zone belong to it?
    pub fn contains_proxy(self, number: usize, zone: usize) -> bool {
        match self {
            Group::Zone(z) | Group::Proxies(Some(z)) => z == zone,
            Group::Proxies(None) => true,
            Group::Proxy(n) => n == number,
            Group::Servers(_) | Group::Server(_) | Group::Discovery => false,
        }
    }

    /// Does a server of this number and zone belong to it?
    pub fn contains_server(self, number: usize, zone: usize) -> bool {
        match self {
            Group::Zone(z) | Group::Servers(Some(z)) => z == zone,
            Group::Servers(None) => true,
            Group::Server(n) => n == number,
            Group::Proxies(_) | Group::Proxy(_) | Group::Discovery => false,
        }
    }
}

/// The line at which the table of this number begins, from 1; 0 if it is not written as a table of its own.
fn line_of(text: &str, header: &str, number: usize) -> usize {
    let lines = text.lines().enumerate().filter(|(_, line)| line.trim() == header);
    lines.map(|(line, _)| line + 1).nth(number).unwrap_or(0)
}

/// A time that is given.
fn optional_duration<'de, D: Deserializer<'de>>(reader: D) -> Result<Option<Micros>, D::Error> {
    duration(reader).map(Some)
}

/// A time such as "400ms", or a whole number of microseconds.
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
            Ok(span) => Ok(span.as_micros() as Micros),
            Err(odd) => {
                Err(serde::de::Error::custom(format!("\"{text}\" is no time: {odd}; write \"400ms\"")))
            }
        },
        Err(_) => Err(serde::de::Error::custom("expected a time such as \"400ms\"")),
    }
}
