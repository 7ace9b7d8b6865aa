//! Runs the events of a scenario: applies each fault to the affected servers and proxies, and removes it at
//! its end.

use super::clients::App;
use super::crowd::Crowd;
use super::discovery::Mode;
use super::links::{DatagramRelay, LinkFaults};
use super::processes::ProxySupervisor;
use super::record::Observation;
use super::run_config::RunConfig;
use super::servers::TestServer;
use super::site::{affected_links, affected_peer_links, Link, Site};
use oakport_core::{EndpointState, Micros};
use oakport_simulator::scenario::{FaultKind, FaultSpec, LinkSpec};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Interval between two counts of the connections and two checks of the processes.
const MONITOR_INTERVAL: Duration = Duration::from_millis(200);
/// Time between the drain of a server and its stop.
const DRAIN_US: Micros = 2_000_000;

/// All parts of a running test cluster.
pub struct TestCluster {
    /// Servers, discovery agents and relays.
    pub site: Site,
    /// The proxy processes.
    pub supervisors: Vec<Mutex<ProxySupervisor>>,
    /// The application that uses each proxy.
    pub apps: Vec<Arc<App>>,
    /// Relays the datagrams between the proxies; `None` if they reach each other directly.
    pub datagrams: Option<DatagramRelay>,
    /// The configuration of this run.
    pub config: RunConfig,
}

impl TestCluster {
    /// Runs one event from its start to its end.
    pub async fn run_event(self: Arc<Self>, number: usize) {
        let event = self.site.shared.scenario.events[number].clone();
        let begin = self.site.shared.at(event.at);
        let end = self.site.shared.at(event.at + event.duration);
        self.site.shared.sleep_until(begin).await;
        match event.kind {
            // Already included in the arrivals.
            FaultKind::Surge => {}
            FaultKind::Crash
            | FaultKind::Slow
            | FaultKind::Hang
            | FaultKind::Error
            | FaultKind::Reset
            | FaultKind::Silent => {
                let affected = self.site.affected_servers(&event);
                affected.iter().for_each(|server| self.apply_server_fault(server, &event));
                self.site.shared.sleep_until(end).await;
                affected.iter().for_each(|server| self.clear_server_fault(server, &event));
            }
            FaultKind::Release => self.release(&event, begin).await,
            FaultKind::Kill => self.kill_proxies(&event, begin).await,
            FaultKind::Herd
            | FaultKind::Restart
            | FaultKind::Upgrade
            | FaultKind::Stall
            | FaultKind::Signals => {
                let mut all = JoinSet::new();
                for proxy in self.site.affected_proxies(&event) {
                    all.spawn(Arc::clone(&self).apply_process_fault(proxy, event.clone(), end));
                }
                while all.join_next().await.is_some() {}
            }
            FaultKind::Crowd => {
                let affected = self.site.affected_proxies(&event);
                let addresses: Vec<_> = affected.iter().map(|&proxy| self.apps[proxy].address()).collect();
                let crowd = Crowd::open(&addresses, event.connections);
                self.site.shared.sleep_until(end).await;
                drop(crowd);
            }
            FaultKind::ExtraResponses | FaultKind::ClosesIdle => {
                let affected = self.site.affected_servers(&event);
                affected
                    .iter()
                    .for_each(|server| set_connection_fault(server, event.kind, Some(event.after)));
                self.site.shared.sleep_until(end).await;
                affected.iter().for_each(|server| set_connection_fault(server, event.kind, None));
            }
            FaultKind::ListSilent | FaultKind::ListUnavailable => {
                let mode = match event.kind {
                    FaultKind::ListSilent => Mode::Silent,
                    _ => Mode::Unavailable,
                };
                let affected = self.site.affected_proxies(&FaultSpec { zone: None, ..event.clone() });
                affected.iter().for_each(|&proxy| self.site.agents[proxy].set_mode(mode));
                self.site.shared.sleep_until(end).await;
                affected.iter().for_each(|&proxy| self.site.agents[proxy].set_mode(Mode::Available));
            }
            FaultKind::WatchesSilent => {
                let affected = self.site.affected_proxies(&FaultSpec { zone: None, ..event.clone() });
                affected.iter().for_each(|&proxy| self.site.agents[proxy].silence_watches());
            }
            FaultKind::ListDiffers => {
                let affected = self.site.affected_proxies(&FaultSpec { zone: None, ..event.clone() });
                let hidden = self.site.affected_servers(&event);
                for (state, until) in [(EndpointState::Removed, end), (EndpointState::Ready, end)] {
                    for server in &hidden {
                        affected
                            .iter()
                            .for_each(|&proxy| self.site.agents[proxy].override_state(server.number, state));
                    }
                    self.site.shared.sleep_until(until).await;
                }
            }
            FaultKind::Cut | FaultKind::Link => {
                let spec = match event.kind {
                    FaultKind::Cut => LinkSpec { stall: true, ..LinkSpec::default() },
                    _ => event.link,
                };
                let mut links: BTreeMap<Link, LinkFaults> = BTreeMap::new();
                for (pair, direction) in affected_links(&self.site.shared.scenario, &event) {
                    let both = links.entry(pair).or_default();
                    both[direction] = spec;
                    if !event.one_way {
                        *both = [spec; 2];
                    }
                }
                self.set_links(&links);
                let peers = affected_peer_links(&self.site.shared.scenario, &event);
                self.set_peer_links(&peers, Some(spec));
                self.site.shared.sleep_until(end).await;
                self.set_peer_links(&peers, None);
                self.set_links(&links.into_keys().map(|pair| (pair, Default::default())).collect());
            }
        }
    }

    fn set_links(&self, links: &BTreeMap<Link, LinkFaults>) {
        for (pair, both) in links {
            if let Some(relay) = self.site.relays.get(pair) {
                relay.set_faults(*both);
            }
        }
    }

    /// Sets the link condition between pairs of proxies; `None` restores the normal link.
    fn set_peer_links(&self, pairs: &[(usize, usize)], spec: Option<LinkSpec>) {
        let Some(datagrams) = &self.datagrams else { return };
        let mut links = datagrams.faults();
        for pair in pairs {
            match spec {
                Some(spec) => links.insert(*pair, spec),
                None => links.remove(pair),
            };
        }
        datagrams.set_faults(links);
    }

    fn apply_server_fault(self: &Arc<Self>, server: &Arc<TestServer>, event: &FaultSpec) {
        match event.kind {
            FaultKind::Crash => {
                server.stop();
                self.site.announce(server, EndpointState::Removed);
            }
            FaultKind::Slow => server.change_health(|health| health.slowdown_factor = event.factor),
            FaultKind::Hang => server.change_health(|health| health.hung = true),
            FaultKind::Error => server.change_health(|health| health.errors = true),
            FaultKind::Reset => server.change_health(|health| health.resets = true),
            _ => server.change_health(|health| health.unreachable = true),
        }
    }

    fn clear_server_fault(self: &Arc<Self>, server: &Arc<TestServer>, event: &FaultSpec) {
        if event.kind == FaultKind::Crash || event.restart_cold {
            if event.kind != FaultKind::Crash {
                server.stop();
            }
            server.restart();
            self.site.announce(server, EndpointState::Ready);
        } else {
            server.change_health(|health| *health = Default::default());
        }
    }

    /// Drains and stops the affected servers one after the other, and starts a new server in place of each.
    async fn release(self: &Arc<Self>, event: &FaultSpec, begin: Micros) {
        let affected = self.site.affected_servers(event);
        let step = event.duration / affected.len().max(1) as Micros;
        let mut all = JoinSet::new();
        for (index, server) in affected.into_iter().enumerate() {
            let cluster = Arc::clone(self);
            all.spawn(async move {
                let at = begin + step * index as Micros;
                cluster.site.shared.sleep_until(at).await;
                server.drain();
                cluster.site.announce(&server, EndpointState::Draining);
                cluster.site.shared.sleep_until(at + DRAIN_US).await;
                server.stop();
                cluster.site.announce(&server, EndpointState::Removed);
                let started = cluster.site.shared.now();
                let mut servers = cluster.site.servers();
                // If no socket can be opened, the cluster has one server fewer.
                let next =
                    TestServer::start(&cluster.site.shared, servers.len(), server.zone, "second", started)
                        .ok();
                servers.extend(next.clone());
                drop(servers);
                if let Some(next) = next {
                    cluster.site.announce(&next, EndpointState::Ready);
                }
            });
        }
        while all.join_next().await.is_some() {}
    }

    /// Starts a new process; a failure to start shows in the verdict.
    pub(super) async fn start_process(&self, supervisor: &mut ProxySupervisor) {
        if supervisor.start(&self.config.program).is_ok() {
            // If the process does not become ready in time, its clients notice.
            let _ = supervisor.ready().await;
        }
    }

    /// Counts connections and checks the processes until the task is cancelled.
    pub async fn monitor(self: Arc<Self>) {
        loop {
            sleep(MONITOR_INTERVAL).await;
            let open = self.site.servers().iter().map(|server| server.connections()).sum();
            self.site.shared.record(Observation::OpenConnections { at: self.site.shared.now(), open });
            for supervisor in &self.supervisors {
                if let Ok(mut supervisor) = supervisor.try_lock() {
                    supervisor.check_exit();
                }
            }
        }
    }
}

/// Sets how a server misbehaves on its connections; `None` ends the fault.
fn set_connection_fault(server: &TestServer, kind: FaultKind, after: Option<Micros>) {
    server.change_connection_faults(|faults| match kind {
        FaultKind::ExtraResponses => faults.extra_response_after = after,
        _ => faults.closes_idle_after = after,
    });
}
