//! The limits of the connections to endpoints, derived from the settings.

use crate::upstream::preconnect::REUSE_COOLDOWN_US;
use oakport_core::settings_wire::TransportSettings;
use oakport_core::Micros;
use std::time::Duration;

/// Limit on open connections to one endpoint up to which all client proxies together preconnect. Endpoints do
/// not report how many they accept; with too few, calls wait for the reuse cooldown, and with too many,
/// connects fail.
const MAX_PRECONNECTED_OF_ALL_PROXIES: usize = 60;
/// Idle connections to one endpoint that each client proxy may pool, however small its share of that limit.
pub const MIN_POOLED_CONNECTIONS: usize = 4;

/// The limits of the connections to each endpoint.
#[derive(Clone, Copy)]
pub struct ConnectionLimits {
    /// A connect that takes longer counts as failed.
    pub connect_timeout: Duration,
    /// How long after its reuse cooldown an idle connection stays pooled, in microseconds.
    pub max_idle: Micros,
    /// Connections are preconnected only while fewer than this many are open to the endpoint.
    pub max_preconnected: usize,
    /// The number of waits for the reuse cooldown that cost as much as a new connection.
    pub affordable_waits: f64,
}

impl ConnectionLimits {
    /// The limits of each of `proxy_count` client proxies.
    pub fn new(transport: TransportSettings, proxy_count: u32) -> Self {
        ConnectionLimits {
            connect_timeout: Duration::from_micros(transport.connect_timeout),
            max_idle: max_idle(transport.idle_connection_timeout),
            max_preconnected: MAX_PRECONNECTED_OF_ALL_PROXIES / proxy_count.max(1) as usize,
            affordable_waits: affordable_waits(transport),
        }
    }
}

/// The pooling time of an idle connection after its cooldown, in microseconds. Ends well before the
/// endpoint's own idle timeout: a request sent while the endpoint closes the connection would fail.
fn max_idle(idle_connection_timeout: Micros) -> Micros {
    (idle_connection_timeout / 4 * 3).saturating_sub(REUSE_COOLDOWN_US)
}

/// How many waits for the reuse cooldown cost as much as a new connection. A wait costs at most the ratio of
/// the cooldown to the shortest latency objective, a new connection its handshake charge. Without a charge no
/// wait is affordable.
fn affordable_waits(transport: TransportSettings) -> f64 {
    transport.handshake_charge * transport.shortest_latency_objective as f64 / REUSE_COOLDOWN_US as f64
}
