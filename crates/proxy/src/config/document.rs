//! The configuration file with its keys (DEPLOY, "What a client proxy is told"). These types are its only description:
//! the schema and the diagnostics of `oakport check` follow from them.
//!
//! Their doc comments are the descriptions of the keys in the schema.

use crate::endpoint_list::EndpointList;
use oakport_core::settings_wire::SettingsFile;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What the process may use.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema)]
pub struct Limits {
    /// Its share of a core.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cores: Option<f64>,
    /// Descriptors that it may hold.
    #[schemars(range(min = 1))]
    pub sockets: usize,
    /// Its memory, in MiB.
    #[serde(default = "default_memory_mb")]
    #[schemars(range(min = 1))]
    pub memory_mb: usize,
}

/// The smallest memory that a proxy is given.
fn default_memory_mb() -> usize {
    32
}

/// The other client proxies.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[schemars(rename = "PeersConfig")]
pub struct MembershipConfig {
    /// Where this process sends and receives its datagrams, as ADDRESS:PORT.
    #[schemars(with = "String", extend("format" = "socket-address"))]
    pub address: SocketAddr,
    /// Where the others reach it, if that is elsewhere, as ADDRESS:PORT.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>", extend("format" = "socket-address"))]
    pub advertise: Option<SocketAddr>,
    /// Addresses of some others, which are asked first.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    pub seeds: Vec<SocketAddr>,
    /// The name of the fleet; datagrams of others are thrown away.
    pub fleet: String,
    /// The zone of this process, for people.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Those with the same scope know each other one by one, and of other scopes how many there are; without it the whole
    /// fleet is one scope.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(length(max = 64))]
    pub scope: Option<String>,
}

/// The configuration of one client proxy.
#[derive(Debug, Deserialize, Serialize, JsonSchema)]
#[schemars(title = "oakport configuration")]
pub struct Document {
    /// The name of this client proxy, for people.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
    /// Where clients connect, as ADDRESS:PORT.
    #[schemars(with = "String", extend("format" = "socket-address"))]
    pub listen: SocketAddr,
    /// Where the list of servers is asked for, as ADDRESS:PORT.
    #[schemars(with = "String", extend("format" = "socket-address"))]
    pub discovery: SocketAddr,
    /// Where operators call, as ADDRESS:PORT; without it nothing is opened.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>", extend("format" = "socket-address"))]
    pub operator: Option<SocketAddr>,
    /// The other client proxies; without it nothing is opened, and their number is that of the settings.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<MembershipConfig>,
    /// For random numbers: up to 16 hexadecimal digits, new with each start.
    #[schemars(regex(pattern = r"^\+?[0-9a-fA-F]+$"), length(max = 16))]
    pub seed: String,
    /// What the process may use.
    pub limits: Limits,
    /// The list of servers as this client proxy last had it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known: Option<EndpointList>,
    /// What the site has settled.
    pub settings: SettingsFile,
}
