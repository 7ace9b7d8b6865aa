//! The keys of the configuration file (DEPLOY, "What a client proxy is told"). These types are their only definition:
//! the schema and the diagnostics of `oakport check` are generated from them.
//!
//! The doc comments are the descriptions of the keys in the schema.

use crate::endpoint_list::EndpointList;
use oakport_core::settings_wire::SettingsFile;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema)]
pub struct Limits {
    /// CPU share of the process, in cores.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cores: Option<f64>,
    /// Maximum number of open descriptors.
    #[schemars(range(min = 1))]
    pub sockets: usize,
    /// Memory of the process, in MiB.
    #[serde(default = "default_memory_mb")]
    #[schemars(range(min = 1))]
    pub memory_mb: usize,
}

/// Memory of the smallest proxy, in MiB.
fn default_memory_mb() -> usize {
    32
}

/// Membership in a fleet of client proxies.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[schemars(rename = "PeersConfig")]
pub struct MembershipConfig {
    /// Address at which this process sends and receives membership datagrams, as ADDRESS:PORT.
    #[schemars(with = "String", extend("format" = "socket-address"))]
    pub address: SocketAddr,
    /// Address at which other members reach this process, if it differs from `address`, as ADDRESS:PORT.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>", extend("format" = "socket-address"))]
    pub advertise: Option<SocketAddr>,
    /// Addresses of some other members, which are contacted to join the fleet.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    pub seeds: Vec<SocketAddr>,
    /// The name of the fleet; datagrams of other fleets are discarded.
    pub fleet: String,
    /// The zone of this process, shown to operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Members of the same scope know each other individually, and of other scopes only the number of members. Without
    /// this key, the whole fleet is one scope.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(length(max = 64))]
    pub scope: Option<String>,
}

/// The configuration of one client proxy.
#[derive(Debug, Deserialize, Serialize, JsonSchema)]
#[schemars(title = "oakport configuration")]
pub struct Document {
    /// The name of this client proxy, shown to operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
    /// Address that clients connect to, as ADDRESS:PORT.
    #[schemars(with = "String", extend("format" = "socket-address"))]
    pub listen: SocketAddr,
    /// Address of discovery, which serves the endpoint list, as ADDRESS:PORT.
    #[schemars(with = "String", extend("format" = "socket-address"))]
    pub discovery: SocketAddr,
    /// Address of the admin endpoint, as ADDRESS:PORT. Without this key, there is no admin endpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>", extend("format" = "socket-address"))]
    pub operator: Option<SocketAddr>,
    /// Membership in a fleet of client proxies. Without this key, there is none, and the number of client proxies is
    /// that of the settings.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<MembershipConfig>,
    /// Seed of the random numbers: up to 16 hexadecimal digits, different at each start.
    #[schemars(regex(pattern = r"^\+?[0-9a-fA-F]+$"), length(max = 16))]
    pub seed: String,
    /// Resource limits of the process.
    pub limits: Limits,
    /// The last endpoint list that this client proxy received.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known: Option<EndpointList>,
    /// Settings of the site.
    pub settings: SettingsFile,
}
