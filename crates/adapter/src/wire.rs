//! Messages of the wire, with the wire's names mapped to those of the balancer.

use crate::error::AdapterError;
use oakport_core::settings_wire;
use oakport_core::{
    CellId, DecisionEvent, EndpointId, EndpointInfo, EndpointState, ListUpdateKind, LoadReport, Outcome,
};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// A line of input: the inputs of all instances at one point in time.
#[derive(Deserialize)]
pub struct Batch<'a> {
    pub clock_us: u64,
    #[serde(borrow)]
    pub input: Vec<Input<'a>>,
}

/// One input of a batch. Its verb determines which fields are present.
#[derive(Deserialize)]
pub struct Input<'a> {
    #[serde(borrow)]
    pub verb: Cow<'a, str>,
    pub proxy: Option<i64>,
    pub seed: Option<u64>,
    #[serde(rename = "facts")]
    pub settings: Option<serde_json::Value>,
    #[serde(rename = "roster_id")]
    pub list_id: Option<i64>,
    #[serde(rename = "elements")]
    pub endpoints: Option<Vec<WireEndpoint>>,
    #[serde(rename = "scope")]
    pub list_kind: Option<i64>,
    #[serde(borrow)]
    pub call: Option<Cow<'a, str>>,
    #[serde(borrow, rename = "user_group")]
    pub tenant: Option<Cow<'a, str>>,
    #[serde(borrow, rename = "tier_class")]
    pub class: Option<Cow<'a, str>>,
    #[serde(rename = "time_budget_us")]
    pub remaining_time_us: Option<u64>,
    #[serde(default, rename = "resent")]
    pub is_retry: bool,
    #[serde(rename = "seq_no")]
    pub attempt: Option<u32>,
    #[serde(rename = "host")]
    pub endpoint: Option<u32>,
    #[serde(borrow, rename = "result")]
    pub outcome: Option<Cow<'a, str>>,
    pub elapsed_us: Option<u64>,
    #[serde(default, rename = "terminal")]
    pub call_closed: bool,
    #[serde(rename = "stats")]
    load: Option<WireLoad>,
}

impl Input<'_> {
    /// The value of a field that the verb requires; `field` is its name on the wire.
    pub fn require<T>(&self, value: Option<T>, field: &'static str) -> Result<T, AdapterError> {
        value.ok_or_else(|| AdapterError::MissingField { verb: self.verb.to_string(), field })
    }

    /// The endpoint's load report; empty if there is none.
    pub fn load_report(&self) -> LoadReport {
        self.load.as_ref().map(WireLoad::to_report).unwrap_or_default()
    }
}

#[derive(Deserialize)]
struct WireLoad {
    #[serde(rename = "active")]
    in_flight: Option<f64>,
    #[serde(rename = "waiting")]
    queued: Option<f64>,
    #[serde(rename = "cpu")]
    utilisation: Option<f64>,
    #[serde(rename = "err_rps")]
    error_rate: Option<f64>,
}

impl WireLoad {
    fn to_report(&self) -> LoadReport {
        LoadReport {
            in_flight: self.in_flight,
            queued: self.queued,
            utilisation: self.utilisation,
            error_rate: self.error_rate,
        }
    }
}

/// An entry of an endpoint list.
#[derive(Deserialize)]
pub struct WireEndpoint {
    #[serde(default, rename = "last_start_us")]
    started_at_us: u64,
    #[serde(default, rename = "az")]
    zone: String,
    #[serde(default, rename = "shape")]
    machine_type: String,
    #[serde(default)]
    weight: f64,
    #[serde(default, rename = "cohort")]
    cell: u32,
    #[serde(rename = "host")]
    id: u32,
    state: u32,
}

impl WireEndpoint {
    /// Converts the entry for the balancer.
    pub fn to_info(&self) -> Result<EndpointInfo, AdapterError> {
        let state = match self.state {
            0 => EndpointState::Draining,
            1 => EndpointState::Ready,
            2 => EndpointState::Removed,
            state => return Err(AdapterError::UnknownEndpointState { endpoint: self.id, state }),
        };
        Ok(EndpointInfo {
            id: EndpointId(self.id),
            state,
            zone: settings_wire::zone_id(&self.zone),
            cell: CellId(self.cell),
            machine_type: settings_wire::machine_type_id(&self.machine_type),
            weight: self.weight,
            started_at: self.started_at_us,
        })
    }
}

/// The kind of a list update, from its code on the wire.
pub fn list_update_kind(code: i64) -> Result<ListUpdateKind, AdapterError> {
    match code {
        0 => Ok(ListUpdateKind::Failed),
        1 => Ok(ListUpdateKind::Cached),
        2 => Ok(ListUpdateKind::Delta),
        3 => Ok(ListUpdateKind::Snapshot),
        unknown => Err(AdapterError::UnknownListKind(unknown)),
    }
}

/// The outcome of an attempt or load poll, from its code on the wire.
pub fn outcome(code: &str) -> Outcome {
    match code {
        "served" => Outcome::Served,
        "server_error" => Outcome::Error,
        "turned_away" => Outcome::Rejected,
        "no_answer" => Outcome::TimedOut,
        "no_connection" => Outcome::ConnectFailed,
        "connection_lost" => Outcome::Reset,
        "called_off" => Outcome::Cancelled,
        "not_sent" => Outcome::NotSent,
        _ => Outcome::Unknown,
    }
}

/// A line of output: the commands that result from a batch.
#[derive(Serialize)]
pub struct Reply {
    #[serde(rename = "cmds")]
    pub commands: Vec<Command>,
}

/// A command for the client proxy of an instance.
#[derive(Serialize)]
#[serde(tag = "verb")]
pub enum Command {
    #[serde(rename = "ROUTE")]
    Send {
        proxy: i64,
        call: String,
        #[serde(rename = "host")]
        endpoint: u32,
        #[serde(rename = "stop_at_us", skip_serializing_if = "Option::is_none")]
        timeout_at_us: Option<u64>,
    },
    #[serde(rename = "DROP_ATTEMPT")]
    Cancel {
        proxy: i64,
        call: String,
        #[serde(rename = "seq_no")]
        attempt: u32,
    },
    #[serde(rename = "TEST")]
    PollLoad {
        proxy: i64,
        #[serde(rename = "host")]
        endpoint: u32,
    },
    #[serde(rename = "SET_ALARM")]
    SetTimer {
        proxy: i64,
        #[serde(rename = "offset_us")]
        after_us: u64,
        tag: u64,
    },
    #[serde(rename = "DROP_REQUEST")]
    Fail { proxy: i64, call: String },
    #[serde(rename = "BOUNCE")]
    Reject {
        proxy: i64,
        call: String,
        #[serde(rename = "hold_off_us")]
        retry_after_us: u64,
    },
    #[serde(rename = "LISTEN")]
    PollEndpointList { proxy: i64, enable: bool },
    #[serde(rename = "TRACE")]
    Log {
        proxy: i64,
        #[serde(rename = "note_text")]
        text: String,
    },
}

/// The log text of a decision. Its wording is part of the wire format.
pub fn log_text(decision: DecisionEvent) -> String {
    match decision {
        DecisionEvent::AllEndpointsEjected => "no server is up: refusing".to_owned(),
        DecisionEvent::EndpointEjected { endpoint, outcome } => {
            format!("server {} set aside: {}", endpoint.0, outcome_name(outcome))
        }
        DecisionEvent::EndpointReadmitted { endpoint } => format!("server {} taken back", endpoint.0),
        DecisionEvent::ClassFailing { endpoint, class } => {
            format!("server {} fails class #{}", endpoint.0, class.0)
        }
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "Served",
        Outcome::Error => "Error",
        Outcome::InvalidRequest => "Rejected",
        Outcome::Rejected => "TurnedAway",
        Outcome::TimedOut => "TimedOut",
        Outcome::ConnectFailed => "NoConnection",
        Outcome::Reset => "Reset",
        Outcome::Cancelled => "CalledOff",
        Outcome::NotSent => "NotSent",
        Outcome::Unknown => "Unknown",
    }
}
