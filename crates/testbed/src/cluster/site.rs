//! The environment of the proxies: servers, discovery agents and relays, and the list updates that the
//! agents receive.

use super::discovery::{Agent, ListedServer};
use super::links::Relay;
use super::record::Shared;
use super::servers::TestServer;
use oakport_core::EndpointState;
use oakport_simulator::random::{self, StreamId};
use oakport_simulator::scenario::{FaultKind, FaultSpec, Group, Scenario};
use rand::seq::SliceRandom;
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// A link from a proxy to a server, or with `None` to the proxy's discovery agent.
pub type Link = (usize, Option<usize>);

/// The servers, discovery agents and relays of a test cluster.
pub struct Site {
    servers: Mutex<Vec<Arc<TestServer>>>,
    /// Relays of the links that a fault of the scenario affects; other links are direct.
    pub relays: BTreeMap<Link, Arc<Relay>>,
    /// Discovery agent of each proxy.
    pub agents: Vec<Arc<Agent>>,
    random: Mutex<Pcg64>,
    /// State shared by all parties.
    pub shared: Arc<Shared>,
}

/// Links that a fault affects, each with the affected direction: 0 from the proxy, 1 to the proxy.
pub fn affected_links(scenario: &Scenario, event: &FaultSpec) -> Vec<(Link, usize)> {
    let groups: Vec<Group> =
        event.link_groups.iter().filter_map(|text| Group::parse(text, scenario)).collect();
    let [one, other] = groups.as_slice() else { return Vec::new() };
    let zone = |number: usize| number % scenario.zones.len();
    let mut affected = Vec::new();
    for (direction, from, to) in [(0, one, other), (1, other, one)] {
        for proxy in (0..scenario.balancers).filter(|&p| from.contains_proxy(p, zone(p))) {
            let servers = (0..scenario.servers).filter(|&s| to.contains_server(s, zone(s)));
            affected.extend(servers.map(|server| ((proxy, Some(server)), direction)));
            if *to == Group::Discovery {
                affected.push(((proxy, None), direction));
            }
        }
    }
    affected
}

/// Sender and receiver pairs of proxies between which a fault affects the traffic.
pub fn affected_peer_links(scenario: &Scenario, event: &FaultSpec) -> Vec<(usize, usize)> {
    let groups: Vec<Group> =
        event.link_groups.iter().filter_map(|text| Group::parse(text, scenario)).collect();
    let [one, other] = groups.as_slice() else { return Vec::new() };
    let members_of = |group: &Group| {
        let group = *group;
        (0..scenario.balancers).filter(move |&p| group.contains_proxy(p, p % scenario.zones.len()))
    };
    let mut affected: Vec<(usize, usize)> =
        members_of(one).flat_map(|a| members_of(other).map(move |b| (a, b))).collect();
    if !event.one_way {
        affected.extend(affected.clone().into_iter().map(|(a, b)| (b, a)));
    }
    affected.retain(|(a, b)| a != b);
    affected
}

/// All links that need a relay in this scenario.
fn relayed_links(scenario: &Scenario) -> Vec<Link> {
    let events = scenario.events.iter().filter(|e| matches!(e.kind, FaultKind::Cut | FaultKind::Link));
    let mut links: Vec<Link> =
        events.flat_map(|event| affected_links(scenario, event)).map(|(link, _)| link).collect();
    links.sort();
    links.dedup();
    links
}

impl Site {
    /// Starts all parties and lists all servers with the agents.
    pub async fn start(shared: &Arc<Shared>) -> std::io::Result<Self> {
        let scenario = &shared.scenario;
        let mut servers = Vec::new();
        let mut agents = Vec::new();
        let mut relays = BTreeMap::new();
        for number in 0..scenario.servers {
            servers.push(TestServer::start(shared, number, shared.zone(number), "first", 0)?);
        }
        for proxy in 0..scenario.balancers {
            agents.push(Agent::start(shared, proxy).await?);
        }
        for link in relayed_links(scenario) {
            let target = match link {
                (_, Some(server)) => servers[server].address,
                (proxy, None) => agents[proxy].address,
            };
            relays.insert(link, Relay::start(target)?);
        }
        let fault_random = Mutex::new(random::stream(shared.seed, StreamId::Faults));
        let site = Site {
            servers: Mutex::new(servers),
            relays,
            agents,
            random: fault_random,
            shared: Arc::clone(shared),
        };
        for (proxy, agent) in site.agents.iter().enumerate() {
            if site.relays.contains_key(&(proxy, None))
                || site.shared.scenario.discovery.poll_interval.is_some()
            {
                agent.set_remote();
            }
        }
        for server in site.servers().iter() {
            for (proxy, agent) in site.agents.iter().enumerate() {
                agent.update(server.number, site.listed_server(proxy, server, EndpointState::Ready));
            }
        }
        Ok(site)
    }

    /// All servers, including those that were removed.
    pub fn servers(&self) -> MutexGuard<'_, Vec<Arc<TestServer>>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn random(&self) -> MutexGuard<'_, Pcg64> {
        self.random.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Zone index and release label of each server.
    pub fn zones_and_releases(&self) -> Vec<(usize, String)> {
        self.servers().iter().map(|server| (server.zone, server.release.clone())).collect()
    }

    /// Address at which a proxy reaches its discovery agent.
    pub fn discovery_address(&self, proxy: usize) -> SocketAddr {
        self.relays.get(&(proxy, None)).map_or(self.agents[proxy].address, |relay| relay.address())
    }

    /// The list entry of a server for one proxy.
    fn listed_server(&self, proxy: usize, server: &TestServer, state: EndpointState) -> ListedServer {
        let relay = self.relays.get(&(proxy, Some(server.number)));
        ListedServer {
            state,
            address: relay.map_or(server.address, |relay| relay.address()),
            zone: self.shared.scenario.zones[server.zone].clone(),
            release: server.release.clone(),
            started: server.started(),
        }
    }

    /// Sends an update of a server to all agents, to each after its own random delay.
    pub fn announce(&self, server: &TestServer, state: EndpointState) {
        let delay = self.shared.scenario.discovery.delay;
        for proxy in 0..self.agents.len() {
            let after = random::jitter(delay, 0.5, &mut *self.random());
            let agent = Arc::clone(&self.agents[proxy]);
            let listed_server = self.listed_server(proxy, server, state);
            let number = server.number;
            tokio::spawn(async move {
                sleep(Duration::from_micros(after)).await;
                agent.update(number, listed_server);
            });
        }
    }

    /// Servers that a fault affects: all of its zone, or a random share.
    pub fn affected_servers(&self, event: &FaultSpec) -> Vec<Arc<TestServer>> {
        let zones = &self.shared.scenario.zones;
        let zone = event.zone.as_ref().and_then(|zone| zones.iter().position(|z| z == zone));
        let servers = self.servers();
        let mut affected: Vec<_> = servers.iter().filter(|server| server.is_ready()).cloned().collect();
        drop(servers);
        match zone {
            Some(zone) => affected.retain(|server| server.zone == zone),
            None => self.keep_random_share(&mut affected, event.share),
        }
        affected
    }

    /// Proxies that a fault affects: all of its zone, or a random share.
    pub fn affected_proxies(&self, event: &FaultSpec) -> Vec<usize> {
        let zones = &self.shared.scenario.zones;
        let zone = event.zone.as_ref().and_then(|zone| zones.iter().position(|z| z == zone));
        let mut affected: Vec<usize> = (0..self.agents.len()).collect();
        match zone {
            Some(zone) => affected.retain(|proxy| self.shared.zone(*proxy) == zone),
            None => self.keep_random_share(&mut affected, event.share),
        }
        affected
    }

    fn keep_random_share<T>(&self, all: &mut Vec<T>, share: f64) {
        let count = (all.len() as f64 * share).round() as usize;
        all.shuffle(&mut *self.random());
        all.truncate(count);
    }
}
