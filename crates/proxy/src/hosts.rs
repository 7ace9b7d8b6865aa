//! The hosts that discovery has named: their numbers, addresses and processes.

use crate::list::{Endpoint, List};
use oakport_core::{settings, CellId, Entry, ListKind, Micros, ServerId, State};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// A host, and what discovery last told of it.
#[derive(Debug)]
pub struct Host {
    told: Endpoint,
    pub address: Option<SocketAddr>,
    started: Micros,
    pub state: State,
    /// Counts processes and addresses: connections of an earlier one are not used.
    pub generation: u64,
}

/// Connections to a host of generations before this one lead to what is not there any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outdated {
    pub server: ServerId,
    pub generation: u64,
}

/// All hosts ever named, by their numbers.
#[derive(Debug, Default)]
pub struct Hosts {
    numbers: HashMap<String, ServerId>,
    hosts: Vec<Host>,
}

impl Hosts {
    pub fn get(&self, server: ServerId) -> Option<&Host> {
        self.hosts.get(server.0 as usize)
    }

    /// The name by which people know it.
    pub fn name(&self, server: ServerId) -> &str {
        self.get(server).map_or("?", |host| &host.told.name)
    }

    /// Those that are in the list.
    pub fn listed(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(|host| host.state != State::Gone)
    }

    /// The list as it is now, of this version.
    pub fn list(&self, index: u64) -> List {
        List { index, snapshot: true, endpoints: self.listed().map(|host| host.told.clone()).collect() }
    }

    /// Takes news of the list in: what the module is told of it, and whose connections are outdated.
    pub fn news(&mut self, kind: ListKind, list: &[Endpoint]) -> (Vec<Entry>, Vec<Outdated>) {
        let (mut entries, mut outdated) = (Vec::new(), Vec::new());
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            let named: HashSet<&str> = list.iter().map(|e| e.name.as_str()).collect();
            for (host, number) in self.hosts.iter_mut().zip(0..) {
                if host.state != State::Gone && !named.contains(host.told.name.as_str()) {
                    host.state = State::Gone;
                    host.generation += 1;
                    outdated.push(Outdated { server: ServerId(number), generation: host.generation });
                }
            }
        }
        for endpoint in list {
            let state = match endpoint.status.as_str() {
                "up" => State::Ready,
                "removed" => State::Gone,
                // Draining, and what is not known: nothing new goes there.
                _ => State::Draining,
            };
            let (next, started) = (self.hosts.len() as u32, endpoint.since_ms.saturating_mul(1_000));
            let server = *self.numbers.entry(endpoint.name.clone()).or_insert(ServerId(next));
            if server.0 == next {
                self.hosts.push(Host {
                    told: endpoint.clone(),
                    address: None,
                    started,
                    state,
                    generation: 0,
                });
            }
            let Some(host) = self.hosts.get_mut(server.0 as usize) else { continue };
            let address = endpoint.address.parse().ok().or(host.address.filter(|_| state != State::Ready));
            // Nothing can go to a host of which no address is told.
            let state = if state == State::Ready && address.is_none() { State::Draining } else { state };
            // The same name with a new start is a new process, and a new address another way to it: what is
            // open leads to the old one.
            if state != State::Ready || address != host.address || started != host.started {
                host.generation += 1;
                outdated.push(Outdated { server, generation: host.generation });
            }
            (host.state, host.address, host.started) = (state, address, started);
            host.told = endpoint.clone();
            entries.push(Entry {
                server,
                state,
                zone: settings::zone(&endpoint.zone),
                cell: CellId(endpoint.group),
                kind: settings::kind(&endpoint.kind),
                weight: endpoint.weight,
                started,
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
            serde_json::from_str::<Vec<Endpoint>>(&text).expect("a list")
        };
        let (one, two) = ("127.0.0.1:9", "127.0.0.1:10");
        let mut hosts = Hosts::default();
        for (status, address, since, state, given_up) in [
            ("up", one, 5, State::Ready, 1),
            ("up", one, 5, State::Ready, 0),
            ("up", two, 5, State::Ready, 1),
            ("up", two, 6, State::Ready, 1),
            ("draining", "", 6, State::Draining, 1),
            ("odd", two, 6, State::Draining, 1),
            ("up", "nowhere", 6, State::Draining, 1),
            ("removed", two, 6, State::Gone, 1),
        ] {
            let (entries, outdated) = hosts.news(ListKind::Delta, &told(status, address, since));
            assert_eq!((entries[0].state, outdated.len()), (state, given_up), "{status} {address} {since}");
            assert_eq!(entries[0].started, since * 1_000, "on the clock's own scale");
        }
        hosts.news(ListKind::Full, &told("up", one, 7));
        let (entries, outdated) = hosts.news(ListKind::Full, &[]);
        assert_eq!((entries.len(), outdated.len(), hosts.listed().count()), (0, 1, 0), "left out: gone");
    }
}
