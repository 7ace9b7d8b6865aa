//! The endpoint list as discovery sends it (PROTOCOL, "Discovery"). The doc comments are descriptions in the
//! configuration schema.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// An endpoint of the list.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[schemars(rename = "Endpoint")]
pub struct EndpointEntry {
    /// Name of the endpoint, the same for all client proxies.
    pub name: String,
    /// Address at which this client proxy reaches the endpoint, as ADDRESS:PORT.
    #[serde(default)]
    pub address: String,
    /// Zone of the endpoint.
    #[serde(default)]
    pub zone: String,
    /// Machine type of the endpoint.
    #[serde(default, rename = "type")]
    pub machine_type: String,
    /// Cell of the endpoint; the endpoints of a cell deduplicate requests among themselves.
    #[serde(default, rename = "group")]
    pub cell: u32,
    /// "up", "draining" or "removed".
    #[serde(default)]
    pub status: String,
    /// Weight, with the meaning that `weight_source` in the settings defines.
    #[serde(default)]
    pub weight: f64,
    /// Unix time in milliseconds of the last start of the endpoint; 0: long ago.
    #[serde(default)]
    pub since_ms: u64,
}

/// The endpoint list, or its changes.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[schemars(rename = "List")]
pub struct EndpointList {
    /// Version of the list.
    pub index: u64,
    /// True: the complete list. False: only changed entries.
    #[serde(default)]
    pub snapshot: bool,
    /// The endpoints.
    pub endpoints: Vec<EndpointEntry>,
}
