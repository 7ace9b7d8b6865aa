//! What is remembered of a server: what the list and the rules say of it, and the figures that the module learns. It
//! keeps them and judges nothing.

use crate::event::*;
use crate::ids::*;
use crate::roster::Roster;
use crate::settings::*;
use std::collections::{BTreeMap, HashSet};

/// Per-server in-flight budget: steps x concurrency, grown one served trial at a time under a shared backoff.
#[derive(Debug, Default)]
pub(crate) struct Budget {
    pub(crate) steps: u32,
    pub(crate) concurrency: f64,
    /// The budget that cuts leave at the least.
    pub(crate) floor: f64,
    pub(crate) trial_out: bool,
    pub(crate) doublings: u32,
    pub(crate) backoff_end: Micros,
}

/// A server as this balancer sees it.
#[derive(Debug, Default)]
pub(crate) struct Server {
    pub(crate) id: EndpointId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) kind: MachineTypeId,
    /// This balancer's own order of preference, drawn once: least first.
    pub(crate) rank: u32,
    /// Size by the list; 1 where it tells none.
    pub(crate) size: f64,
    pub(crate) listed: bool,
    pub(crate) started: Micros,
    pub(crate) in_flight: u32,
    pub(crate) budget: Budget,
    /// Answer times over what its classes allow; 1 is the limit. Also breaks ties of the pick.
    pub(crate) strain: f64,
    pub(crate) answers_since: u32,
    /// Its last report, as strain.
    pub(crate) crowding: f64,
    /// What it held for all balancers when it was last asked, and when that was.
    pub(crate) in_hand: f64,
    pub(crate) asked: Micros,
    /// When its budget last changed.
    pub(crate) changed: Micros,
    /// When an attempt there last ended, and when it last served.
    pub(crate) heard: Micros,
    pub(crate) answered: Micros,
    /// Recent share of failures.
    pub(crate) failing: f64,
    /// The same for each class by itself.
    pub(crate) fares: BTreeMap<usize, Fare>,
    /// It is sent nothing before this: it has just refused as full.
    pub(crate) not_before: Micros,
}

/// How one class has fared at a server of late: it may fail there while the others are served.
#[derive(Debug, Default)]
pub(crate) struct Fare {
    /// Recent share of failures.
    pub(crate) failing: f64,
    pub(crate) doublings: u32,
    /// While it fails, it is tried by one call from then on.
    pub(crate) retry_at: Micros,
}

impl Server {
    /// A server as the list names it.
    pub(crate) fn new(entry: &EndpointInfo, weights: WeightSource, budget: Budget) -> Self {
        let &EndpointInfo { id, zone, cell, machine_type: kind, started_at: started, weight, .. } = entry;
        let told = matches!(weights, WeightSource::Nominal | WeightSource::Approximate);
        let size = if told && weight.is_normal() && weight > 0.0 { weight } else { 1.0 };
        Server { id, zone, cell, kind, size, started, budget, ..Server::default() }
    }

    /// Share of its capacity that a server has at the least, by the rules' cold share and time.
    pub(crate) fn warmth(&self, now: Micros, rules: &Rules) -> f64 {
        let age = now.saturating_sub(self.started);
        if self.started == 0 || age >= rules.warm_up_duration {
            return 1.0;
        }
        rules.warm_up_initial_ratio
            + (1.0 - rules.warm_up_initial_ratio) * age as f64 / rules.warm_up_duration as f64
    }

    /// Calls of all balancers there after one more, for its present size.
    pub(crate) fn load(&self, now: Micros, rules: &Rules) -> f64 {
        if self.asked == 0 {
            return 0.0;
        }
        (self.in_hand + 1.0) / (self.size * self.warmth(now, rules)).max(f64::MIN_POSITIVE)
    }
}

impl Roster<Server> {
    /// Takes in news of the list: the whole of it, or what changed. A number that is new, or that started anew, gets a
    /// `fresh` record, which keeps the calls that are out. Tells the places that changed, with their earlier process.
    pub(crate) fn merge(
        &mut self,
        whole: bool,
        entries: &[EndpointInfo],
        mut fresh: impl FnMut(&EndpointInfo) -> Server,
    ) -> Vec<(usize, Option<Server>)> {
        let mut changed = Vec::with_capacity(entries.len());
        if whole {
            let named: HashSet<EndpointId> = entries.iter().map(|e| e.id).collect();
            let gone = |s: &Server| s.listed && !named.contains(&s.id);
            changed.extend((0..self.len()).filter(|&p| gone(&self[p])).map(|place| (place, None)));
            changed.iter().for_each(|&(place, _)| self[place].listed = false);
        }
        for entry in entries {
            let known = self.place(entry.id).is_some();
            let place = self.enter(entry.id);
            let mut old = None;
            if !known || entry.started_at > self[place].started {
                let mut server = fresh(entry);
                (server.in_flight, server.budget.trial_out) =
                    (self[place].in_flight, self[place].budget.trial_out);
                old = Some(std::mem::replace(&mut self[place], server));
            }
            let server = &mut self[place];
            server.listed = entry.state == EndpointState::Ready;
            (server.zone, server.cell) = (entry.zone, entry.cell);
            changed.push((place, old));
        }
        changed
    }
}
