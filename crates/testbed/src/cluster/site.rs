//! The parties that are not oakport, and what is told of them to whom.

use super::discovery::{Agent, Member};
use super::links::Relay;
use super::record::Shared;
use super::servers::Machine;
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

/// A proxy, and the server that it reaches through a relay; none: its agent of discovery.
pub type Link = (usize, Option<usize>);

/// Servers, agents and the relays between.
pub struct Site {
    machines: Mutex<Vec<Arc<Machine>>>,
    /// Between those parties that events name, and none elsewhere.
    pub relays: BTreeMap<Link, Arc<Relay>>,
    /// The agent of each proxy.
    pub agents: Vec<Arc<Agent>>,
    luck: Mutex<Pcg64>,
    /// What all parties share.
    pub shared: Arc<Shared>,
}

/// Which pairs a cut meets, and which way: 0 from the proxy, 1 to it.
pub fn affected_links(day: &Scenario, event: &FaultSpec) -> Vec<(Link, usize)> {
    let groups: Vec<Group> = event.link_groups.iter().filter_map(|text| Group::parse(text, day)).collect();
    let [one, other] = groups.as_slice() else { return Vec::new() };
    let zone = |number: usize| number % day.zones.len();
    let mut found = Vec::new();
    for (way, from, to) in [(0, one, other), (1, other, one)] {
        for proxy in (0..day.balancers).filter(|&p| from.contains_proxy(p, zone(p))) {
            let servers = (0..day.servers).filter(|&s| to.contains_server(s, zone(s)));
            found.extend(servers.map(|server| ((proxy, Some(server)), way)));
            if *to == Group::Discovery {
                found.push(((proxy, None), way));
            }
        }
    }
    found
}

/// Which ways between two proxies an event meets.
pub fn affected_peer_links(day: &Scenario, event: &FaultSpec) -> Vec<(usize, usize)> {
    let groups: Vec<Group> = event.link_groups.iter().filter_map(|text| Group::parse(text, day)).collect();
    let [one, other] = groups.as_slice() else { return Vec::new() };
    let of = |group: &Group| {
        let group = *group;
        (0..day.balancers).filter(move |&p| group.contains_proxy(p, p % day.zones.len()))
    };
    let mut found: Vec<(usize, usize)> = of(one).flat_map(|a| of(other).map(move |b| (a, b))).collect();
    if !event.one_way {
        found.extend(found.clone().into_iter().map(|(a, b)| (b, a)));
    }
    found.retain(|(a, b)| a != b);
    found
}

/// All pairs that need a relay in this day.
fn pairs(day: &Scenario) -> Vec<Link> {
    let events = day.events.iter().filter(|e| matches!(e.kind, FaultKind::Cut | FaultKind::Link));
    let mut pairs: Vec<Link> =
        events.flat_map(|event| affected_links(day, event)).map(|(pair, _)| pair).collect();
    pairs.sort();
    pairs.dedup();
    pairs
}

impl Site {
    /// Starts all, and tells the agents of all servers.
    pub async fn start(shared: &Arc<Shared>) -> std::io::Result<Self> {
        let day = &shared.day;
        let (mut machines, mut agents, mut relays) = (Vec::new(), Vec::new(), BTreeMap::new());
        for number in 0..day.servers {
            machines.push(Machine::start(shared, number, shared.zone(number), "first", 0)?);
        }
        for proxy in 0..day.balancers {
            agents.push(Agent::start(shared, proxy).await?);
        }
        for pair in pairs(day) {
            let target = match pair {
                (_, Some(server)) => machines[server].address,
                (proxy, None) => agents[proxy].address,
            };
            relays.insert(pair, Relay::start(target)?);
        }
        let luck = Mutex::new(random::stream(shared.seed, StreamId::Faults));
        let site = Site { machines: Mutex::new(machines), relays, agents, luck, shared: Arc::clone(shared) };
        for (proxy, agent) in site.agents.iter().enumerate() {
            if site.relays.contains_key(&(proxy, None)) || site.shared.day.discovery.poll_interval.is_some() {
                agent.set_remote();
            }
        }
        for machine in site.machines().iter() {
            for (proxy, agent) in site.agents.iter().enumerate() {
                agent.update(machine.number, site.member(proxy, machine, EndpointState::Ready));
            }
        }
        Ok(site)
    }

    /// All servers, those that have gone included.
    pub fn machines(&self) -> MutexGuard<'_, Vec<Arc<Machine>>> {
        self.machines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn luck(&self) -> MutexGuard<'_, Pcg64> {
        self.luck.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Zone and release of each server.
    pub fn zones_and_releases(&self) -> Vec<(usize, String)> {
        self.machines().iter().map(|m| (m.zone, m.release.clone())).collect()
    }

    /// Where a proxy finds its agent.
    pub fn discovery_of(&self, proxy: usize) -> SocketAddr {
        self.relays.get(&(proxy, None)).map_or(self.agents[proxy].address, |relay| relay.address())
    }

    /// A server as a proxy's list has it.
    fn member(&self, proxy: usize, machine: &Machine, state: EndpointState) -> Member {
        let relay = self.relays.get(&(proxy, Some(machine.number)));
        Member {
            state,
            address: relay.map_or(machine.address, |relay| relay.address()),
            zone: self.shared.day.zones[machine.zone].clone(),
            release: machine.release.clone(),
            started: machine.started(),
        }
    }

    /// News of a server go to all agents, to each after a while of its own.
    pub fn announce(&self, machine: &Machine, state: EndpointState) {
        let delay = self.shared.day.discovery.delay;
        for proxy in 0..self.agents.len() {
            let after = random::jitter(delay, 0.5, &mut *self.luck());
            let (agent, member) = (Arc::clone(&self.agents[proxy]), self.member(proxy, machine, state));
            let number = machine.number;
            tokio::spawn(async move {
                sleep(Duration::from_micros(after)).await;
                agent.update(number, member);
            });
        }
    }

    /// The servers that an event meets.
    pub fn affected_servers(&self, event: &FaultSpec) -> Vec<Arc<Machine>> {
        let zones = &self.shared.day.zones;
        let zone = event.zone.as_ref().and_then(|zone| zones.iter().position(|z| z == zone));
        let machines = self.machines();
        let mut met: Vec<_> = machines.iter().filter(|m| m.takes()).cloned().collect();
        drop(machines);
        match zone {
            Some(zone) => met.retain(|machine| machine.zone == zone),
            None => self.draw(&mut met, event.share),
        }
        met
    }

    /// The proxies that an event meets.
    pub fn affected_proxies(&self, event: &FaultSpec) -> Vec<usize> {
        let zones = &self.shared.day.zones;
        let zone = event.zone.as_ref().and_then(|zone| zones.iter().position(|z| z == zone));
        let mut met: Vec<usize> = (0..self.agents.len()).collect();
        match zone {
            Some(zone) => met.retain(|proxy| self.shared.zone(*proxy) == zone),
            None => self.draw(&mut met, event.share),
        }
        met
    }

    fn draw<T>(&self, all: &mut Vec<T>, part: f64) {
        let count = (all.len() as f64 * part).round() as usize;
        all.shuffle(&mut *self.luck());
        all.truncate(count);
    }
}
