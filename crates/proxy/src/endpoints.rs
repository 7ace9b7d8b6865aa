//! Tracks the endpoints that discovery has reported: their identifiers, addresses and processes.

use crate::endpoint_list::{EndpointEntry, EndpointList};
use oakport_core::{settings_wire, CellId, EndpointId, EndpointInfo, EndpointState, ListUpdateKind, Micros};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

const MICROS_PER_MILLI: u64 = 1_000;

/// An endpoint as last reported by discovery.
#[derive(Debug)]
pub struct Endpoint {
    entry: EndpointEntry,
    /// `None` if no valid address is known.
    pub address: Option<SocketAddr>,
    /// When the endpoint's process started, by the clock of this process; 0 if long ago.
    started_at: Micros,
    /// Whether the endpoint accepts calls.
    pub state: EndpointState,
    /// Incremented when open connections become outdated; connections of an earlier generation are not used.
    pub generation: u64,
}

/// Connections to an endpoint that must be closed: those of generations before `generation`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutdatedConnections {
    pub endpoint: EndpointId,
    /// The first generation of the endpoint that is not outdated.
    pub generation: u64,
}

/// The consequences of an update of the endpoint list.
#[derive(Debug, Default)]
pub struct EndpointUpdate {
    /// The entries of the update, for the balancer.
    pub entries: Vec<EndpointInfo>,
    pub outdated: Vec<OutdatedConnections>,
}

/// All endpoints ever reported, by identifier.
#[derive(Debug, Default)]
pub struct Endpoints {
    ids: HashMap<String, EndpointId>,
    endpoints: Vec<Endpoint>,
}

impl Endpoints {
    /// The endpoint with this identifier.
    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(id.0 as usize)
    }

    /// The endpoint's name in discovery, or `?` for an unknown endpoint.
    pub fn name(&self, id: EndpointId) -> &str {
        self.get(id).map_or("?", |endpoint| &endpoint.entry.name)
    }

    /// The endpoints that are currently listed.
    pub fn listed(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter().filter(|endpoint| endpoint.state != EndpointState::Removed)
    }

    /// The complete list, with `index` as its version.
    pub fn list(&self, index: u64) -> EndpointList {
        EndpointList {
            index,
            snapshot: true,
            endpoints: self.listed().map(|endpoint| endpoint.entry.clone()).collect(),
        }
    }

    /// Applies an update of the list. A complete list also removes the endpoints that it does not contain.
    /// `started_at` converts the start time of a process, in Unix microseconds, to the clock of this process.
    pub fn update(
        &mut self,
        kind: ListUpdateKind,
        list: &[EndpointEntry],
        started_at: impl Fn(Micros) -> Micros,
    ) -> EndpointUpdate {
        let mut update = EndpointUpdate::default();
        if matches!(kind, ListUpdateKind::Snapshot | ListUpdateKind::Cached) {
            update.outdated = self.remove_unlisted(list);
        }
        for entry in list {
            let id = self.id_of(entry, &started_at);
            let Some(endpoint) = self.endpoints.get_mut(id.0 as usize) else { continue };
            if endpoint.update(entry, &started_at) {
                update.outdated.push(OutdatedConnections { endpoint: id, generation: endpoint.generation });
            }
            update.entries.push(endpoint.info(id));
        }
        update
    }

    fn remove_unlisted(&mut self, list: &[EndpointEntry]) -> Vec<OutdatedConnections> {
        let listed: HashSet<&str> = list.iter().map(|entry| entry.name.as_str()).collect();
        let mut outdated = Vec::new();
        for (number, endpoint) in (0..).zip(&mut self.endpoints) {
            if endpoint.state != EndpointState::Removed && !listed.contains(endpoint.entry.name.as_str()) {
                endpoint.state = EndpointState::Removed;
                endpoint.generation += 1;
                let id = EndpointId(number);
                outdated.push(OutdatedConnections { endpoint: id, generation: endpoint.generation });
            }
        }
        outdated
    }

    /// The identifier of an entry's endpoint. Adds the endpoint if its name is new.
    fn id_of(&mut self, entry: &EndpointEntry, started_at: impl Fn(Micros) -> Micros) -> EndpointId {
        let next = EndpointId(self.endpoints.len() as u32);
        let id = *self.ids.entry(entry.name.clone()).or_insert(next);
        if id == next {
            self.endpoints.push(Endpoint::new(entry, started_at));
        }
        id
    }
}

impl Endpoint {
    fn new(entry: &EndpointEntry, started_at: impl Fn(Micros) -> Micros) -> Self {
        Endpoint {
            entry: entry.clone(),
            address: None,
            started_at: started_at(unix_start_us(entry)),
            state: listed_state(entry),
            generation: 0,
        }
    }

    /// Applies an entry. Returns whether the open connections are outdated: the endpoint accepts no calls,
    /// its start time has changed, which means a new process under the same name, or its address has changed.
    fn update(&mut self, entry: &EndpointEntry, started_at: impl Fn(Micros) -> Micros) -> bool {
        let mut state = listed_state(entry);
        let is_restarted = entry.since_ms != self.entry.since_ms;
        // An endpoint that is not ready keeps its last address, to finish its calls.
        let last_address = self.address.filter(|_| state != EndpointState::Ready);
        let address = entry.address.parse().ok().or(last_address);
        if state == EndpointState::Ready && address.is_none() {
            // No call can be sent without an address.
            state = EndpointState::Draining;
        }
        let is_outdated = state != EndpointState::Ready || address != self.address || is_restarted;
        if is_outdated {
            self.generation += 1;
        }
        self.state = state;
        self.address = address;
        if is_restarted {
            self.started_at = started_at(unix_start_us(entry));
        }
        self.entry = entry.clone();
        is_outdated
    }

    /// The entry for the balancer.
    fn info(&self, id: EndpointId) -> EndpointInfo {
        EndpointInfo {
            id,
            state: self.state,
            zone: settings_wire::zone_id(&self.entry.zone),
            cell: CellId(self.entry.cell),
            machine_type: settings_wire::machine_type_id(&self.entry.machine_type),
            weight: self.entry.weight,
            started_at: self.started_at,
        }
    }
}

/// The state in an entry. An unknown state counts as draining: no new calls are sent.
fn listed_state(entry: &EndpointEntry) -> EndpointState {
    match entry.status.as_str() {
        "up" => EndpointState::Ready,
        "removed" => EndpointState::Removed,
        _ => EndpointState::Draining,
    }
}

/// When the process of an entry started, in Unix microseconds.
fn unix_start_us(entry: &EndpointEntry) -> Micros {
    entry.since_ms.saturating_mul(MICROS_PER_MILLI)
}

#[cfg(test)]
mod tests;
