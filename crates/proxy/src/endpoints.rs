//! The hosts that discovery has named: their numbers, addresses and processes.

use crate::endpoint_list::{EndpointEntry, EndpointList};
use oakport_core::{settings_wire, CellId, EndpointId, EndpointInfo, EndpointState, ListUpdateKind, Micros};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// A host, and what discovery last told of it.
#[derive(Debug)]
pub struct Endpoint {
    told: EndpointEntry,
    pub address: Option<SocketAddr>,
    started: Micros,
    pub state: EndpointState,
    /// Counts processes and addresses: connections of an earlier one are not used.
    pub generation: u64,
}

/// Connections to a host of generations before this one lead to what is not there any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutdatedConnections {
    pub endpoint: EndpointId,
    pub generation: u64,
}

/// All hosts ever named, by their numbers.
#[derive(Debug, Default)]
pub struct Endpoints {
    numbers: HashMap<String, EndpointId>,
    hosts: Vec<Endpoint>,
}

impl Endpoints {
    pub fn get(&self, server: EndpointId) -> Option<&Endpoint> {
        self.hosts.get(server.0 as usize)
    }

    /// The name by which people know it.
    pub fn name(&self, server: EndpointId) -> &str {
        self.get(server).map_or("?", |host| &host.told.name)
    }

    /// Those that are in the list.
    pub fn listed(&self) -> impl Iterator<Item = &Endpoint> {
        self.hosts.iter().filter(|host| host.state != EndpointState::Removed)
    }

    /// The list as it is now, of this version.
    pub fn list(&self, index: u64) -> EndpointList {
        EndpointList {
            index,
            snapshot: true,
            endpoints: self.listed().map(|host| host.told.clone()).collect(),
        }
    }

    /// Takes news of the list in: what the module is told of it, and whose connections are outdated.
    pub fn update(
        &mut self,
        kind: ListUpdateKind,
        list: &[EndpointEntry],
    ) -> (Vec<EndpointInfo>, Vec<OutdatedConnections>) {
        let (mut entries, mut outdated) = (Vec::new(), Vec::new());
        if matches!(kind, ListUpdateKind::Snapshot | ListUpdateKind::Cached) {
            let named: HashSet<&str> = list.iter().map(|e| e.name.as_str()).collect();
            for (host, number) in self.hosts.iter_mut().zip(0..) {
                if host.state != EndpointState::Removed && !named.contains(host.told.name.as_str()) {
                    host.state = EndpointState::Removed;
                    host.generation += 1;
                    outdated.push(OutdatedConnections {
                        endpoint: EndpointId(number),
                        generation: host.generation,
                    });
                }
            }
        }
        for endpoint in list {
            let state = match endpoint.status.as_str() {
                "up" => EndpointState::Ready,
                "removed" => EndpointState::Removed,
                // Draining, and what is not known: nothing new goes there.
                _ => EndpointState::Draining,
            };
            let (next, started) = (self.hosts.len() as u32, endpoint.since_ms.saturating_mul(1_000));
            let server = *self.numbers.entry(endpoint.name.clone()).or_insert(EndpointId(next));
            if server.0 == next {
                self.hosts.push(Endpoint {
                    told: endpoint.clone(),
                    address: None,
                    started,
                    state,
                    generation: 0,
                });
            }
            let Some(host) = self.hosts.get_mut(server.0 as usize) else { continue };
            let address =
                endpoint.address.parse().ok().or(host.address.filter(|_| state != EndpointState::Ready));
            // Nothing can go to a host of which no address is told.
            let state = if state == EndpointState::Ready && address.is_none() {
                EndpointState::Draining
            } else {
                state
            };
            // The same name with a new start is a new process, and a new address another way to it: what is
            // open leads to the old one.
            if state != EndpointState::Ready || address != host.address || started != host.started {
                host.generation += 1;
                outdated.push(OutdatedConnections { endpoint: server, generation: host.generation });
            }
            (host.state, host.address, host.started) = (state, address, started);
            host.told = endpoint.clone();
            entries.push(EndpointInfo {
                id: server,
                state,
                zone: settings_wire::zone_id(&endpoint.zone),
                cell: CellId(endpoint.group),
                machine_type: settings_wire::machine_type_id(&endpoint.kind),
                weight: endpoint.weight,
                started_at: started,
            });
        }
        (entries, outdated)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A host's state, address and start as told, one after another, and how often its connections are given up.
    #[test]
    fn connections_are_given_up_when_they_lead_to_what_is_not_there_any_more() {
        let told = |status: &str, address: &str, since_ms: u64| {
            let text = format!(
                r#"[{{"name":"s","address":"{address}","status":"{status}","since_ms":{since_ms}}}]"#
            );
            serde_json::from_str::<Vec<EndpointEntry>>(&text).expect("a list")
        };
        let (one, two) = ("127.0.0.1:9", "127.0.0.1:10");
        let mut hosts = Endpoints::default();
        for (status, address, since, state, given_up) in [
            ("up", one, 5, EndpointState::Ready, 1),
            ("up", one, 5, EndpointState::Ready, 0),
            ("up", two, 5, EndpointState::Ready, 1),
            ("up", two, 6, EndpointState::Ready, 1),
            ("draining", "", 6, EndpointState::Draining, 1),
            ("odd", two, 6, EndpointState::Draining, 1),
            ("up", "nowhere", 6, EndpointState::Draining, 1),
            ("removed", two, 6, EndpointState::Removed, 1),
        ] {
            let (entries, outdated) = hosts.update(ListUpdateKind::Delta, &told(status, address, since));
            assert_eq!((entries[0].state, outdated.len()), (state, given_up), "{status} {address} {since}");
            assert_eq!(entries[0].started_at, since * 1_000, "on the clock's own scale");
        }
        hosts.update(ListUpdateKind::Snapshot, &told("up", one, 7));
        let (entries, outdated) = hosts.update(ListUpdateKind::Snapshot, &[]);
        assert_eq!((entries.len(), outdated.len(), hosts.listed().count()), (0, 1, 0), "left out: gone");
    }
}
