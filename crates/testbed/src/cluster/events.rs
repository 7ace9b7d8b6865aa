//! The time line: who is met by what, and when it is over.

use super::clients::App;
use super::crowd::Crowd;
use super::discovery::Mode;
use super::links::{DatagramRelay, LinkFaults};
use super::processes::ProxySupervisor;
use super::record::Seen;
use super::run_config::RunConfig;
use super::servers::Machine;
use super::site::{affected_links, affected_peer_links, Link, Site};
use oakport_core::{EndpointState, Micros};
use oakport_simulator::scenario::{FaultKind, FaultSpec, LinkSpec};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Between two counts of connections, and two looks at the processes.
const LOOK: Duration = Duration::from_millis(200);
/// How long a drained process has for what it holds.
const DRAIN: Micros = 2_000_000;

/// All parties of a play.
pub struct Fleet {
    /// Those that are not oakport.
    pub site: Site,
    /// The processes.
    pub seats: Vec<Mutex<ProxySupervisor>>,
    /// The application beside each.
    pub apps: Vec<Arc<App>>,
    /// What is between the proxies as peers, if anything is.
    pub datagrams: Option<DatagramRelay>,
    /// How it is played.
    pub play: RunConfig,
}

impl Fleet {
    /// Plays one event from its beginning to its end.
    pub async fn event(self: Arc<Self>, number: usize) {
        let event = self.site.shared.day.events[number].clone();
        let (begin, end) = (self.site.shared.at(event.at), self.site.shared.at(event.at + event.duration));
        self.site.shared.until(begin).await;
        match event.kind {
            // Arrivals were drawn with it.
            FaultKind::Surge => {}
            FaultKind::Crash
            | FaultKind::Slow
            | FaultKind::Hang
            | FaultKind::Error
            | FaultKind::Reset
            | FaultKind::Silent => {
                let met = self.site.affected_servers(&event);
                met.iter().for_each(|machine| self.strike(machine, &event));
                self.site.shared.until(end).await;
                met.iter().for_each(|machine| self.heal(machine, &event));
            }
            FaultKind::Release => self.release(&event, begin).await,
            FaultKind::Kill => self.kill(&event, begin).await,
            FaultKind::Herd
            | FaultKind::Restart
            | FaultKind::Upgrade
            | FaultKind::Stall
            | FaultKind::Signals => {
                let mut all = JoinSet::new();
                for proxy in self.site.affected_proxies(&event) {
                    all.spawn(Arc::clone(&self).meet(proxy, event.clone(), end));
                }
                while all.join_next().await.is_some() {}
            }
            FaultKind::Crowd => {
                let met = self.site.affected_proxies(&event);
                let addresses: Vec<_> = met.iter().map(|&proxy| self.apps[proxy].address()).collect();
                let crowd = Crowd::open(&addresses, event.connections);
                self.site.shared.until(end).await;
                drop(crowd);
            }
            FaultKind::ExtraResponses | FaultKind::ClosesIdle => {
                let met = self.site.affected_servers(&event);
                met.iter().for_each(|machine| set_quirk(machine, event.kind, Some(event.after)));
                self.site.shared.until(end).await;
                met.iter().for_each(|machine| set_quirk(machine, event.kind, None));
            }
            FaultKind::ListSilent | FaultKind::ListUnavailable => {
                let mode = match event.kind {
                    FaultKind::ListSilent => Mode::Silent,
                    _ => Mode::Unavailable,
                };
                let met = self.site.affected_proxies(&FaultSpec { zone: None, ..event.clone() });
                met.iter().for_each(|&proxy| self.site.agents[proxy].set_mode(mode));
                self.site.shared.until(end).await;
                met.iter().for_each(|&proxy| self.site.agents[proxy].set_mode(Mode::Available));
            }
            FaultKind::WatchesSilent => {
                let met = self.site.affected_proxies(&FaultSpec { zone: None, ..event.clone() });
                met.iter().for_each(|&proxy| self.site.agents[proxy].silence_watches());
            }
            FaultKind::ListDiffers => {
                let met = self.site.affected_proxies(&FaultSpec { zone: None, ..event.clone() });
                let hidden = self.site.affected_servers(&event);
                for (state, until) in [(EndpointState::Removed, end), (EndpointState::Ready, end)] {
                    for machine in &hidden {
                        met.iter()
                            .for_each(|&proxy| self.site.agents[proxy].override_state(machine.number, state));
                    }
                    self.site.shared.until(until).await;
                }
            }
            FaultKind::Cut | FaultKind::Link => {
                let spec = match event.kind {
                    FaultKind::Cut => LinkSpec { stall: true, ..LinkSpec::default() },
                    _ => event.link,
                };
                let mut ways: BTreeMap<Link, LinkFaults> = BTreeMap::new();
                for (pair, way) in affected_links(&self.site.shared.day, &event) {
                    let both = ways.entry(pair).or_default();
                    both[way] = spec;
                    if !event.one_way {
                        *both = [spec; 2];
                    }
                }
                self.turn(&ways);
                let peers = affected_peer_links(&self.site.shared.day, &event);
                self.turn_peers(&peers, Some(spec));
                self.site.shared.until(end).await;
                self.turn_peers(&peers, None);
                self.turn(&ways.into_keys().map(|pair| (pair, Default::default())).collect());
            }
        }
    }

    fn turn(&self, ways: &BTreeMap<Link, LinkFaults>) {
        for (pair, both) in ways {
            if let Some(relay) = self.site.relays.get(pair) {
                relay.set_faults(*both);
            }
        }
    }

    /// What is between these proxies from now on.
    fn turn_peers(&self, met: &[(usize, usize)], spec: Option<LinkSpec>) {
        let Some(datagrams) = &self.datagrams else { return };
        let mut ways = datagrams.faults();
        for way in met {
            match spec {
                Some(spec) => ways.insert(*way, spec),
                None => ways.remove(way),
            };
        }
        datagrams.set_faults(ways);
    }

    fn strike(self: &Arc<Self>, machine: &Arc<Machine>, event: &FaultSpec) {
        match event.kind {
            FaultKind::Crash => {
                machine.stop();
                self.site.announce(machine, EndpointState::Removed);
            }
            FaultKind::Slow => machine.fall_ill(|health| health.slowdown_factor = event.factor),
            FaultKind::Hang => machine.fall_ill(|health| health.hung = true),
            FaultKind::Error => machine.fall_ill(|health| health.errors = true),
            FaultKind::Reset => machine.fall_ill(|health| health.resets = true),
            _ => machine.fall_ill(|health| health.unreachable = true),
        }
    }

    fn heal(self: &Arc<Self>, machine: &Arc<Machine>, event: &FaultSpec) {
        if event.kind == FaultKind::Crash || event.restart_cold {
            if event.kind != FaultKind::Crash {
                machine.stop();
            }
            machine.restart();
            self.site.announce(machine, EndpointState::Ready);
        } else {
            machine.fall_ill(|health| *health = Default::default());
        }
    }

    /// Servers drain one after the other, and others start in their place.
    async fn release(self: &Arc<Self>, event: &FaultSpec, begin: Micros) {
        let met = self.site.affected_servers(event);
        let step = event.duration / met.len().max(1) as Micros;
        let mut all = JoinSet::new();
        for (place, machine) in met.into_iter().enumerate() {
            let fleet = Arc::clone(self);
            all.spawn(async move {
                let at = begin + step * place as Micros;
                fleet.site.shared.until(at).await;
                machine.drain();
                fleet.site.announce(&machine, EndpointState::Draining);
                fleet.site.shared.until(at + DRAIN).await;
                machine.stop();
                fleet.site.announce(&machine, EndpointState::Removed);
                let started = fleet.site.shared.now();
                let mut machines = fleet.site.machines();
                // Without a socket the fleet has one server less.
                let next =
                    Machine::start(&fleet.site.shared, machines.len(), machine.zone, "second", started).ok();
                machines.extend(next.clone());
                drop(machines);
                if let Some(next) = next {
                    fleet.site.announce(&next, EndpointState::Ready);
                }
            });
        }
        while all.join_next().await.is_some() {}
    }

    /// Starts a process again; one that cannot is seen by the judge.
    pub(super) async fn start(&self, seat: &mut ProxySupervisor) {
        if seat.start(&self.play.program).is_ok() {
            // What is not ready in its time is seen by its clients.
            let _ = seat.ready().await;
        }
    }

    /// Counts connections and looks at the processes, for ever.
    pub async fn watch(self: Arc<Self>) {
        loop {
            sleep(LOOK).await;
            let open = self.site.machines().iter().map(|m| m.connections()).sum();
            self.site.shared.saw(Seen::Connections { at: self.site.shared.now(), open });
            for seat in &self.seats {
                if let Ok(mut seat) = seat.try_lock() {
                    seat.check_exit();
                }
            }
        }
    }
}

/// A server does something wrong on its connections from now on, or no more.
fn set_quirk(machine: &Machine, what: FaultKind, after: Option<Micros>) {
    machine.change_quirks(|quirks| match what {
        FaultKind::ExtraResponses => quirks.extra_response_after = after,
        _ => quirks.closes_idle_after = after,
    });
}
