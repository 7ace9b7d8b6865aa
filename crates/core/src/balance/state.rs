//! What a balancer remembers, and what is read off it alike everywhere.

pub(super) use super::overload::Allowance;
pub(super) use crate::action::*;
pub(super) use crate::classes::Classes;
pub(super) use crate::event::*;
pub(super) use crate::ids::*;
pub(super) use crate::ledger::{Attempt, Call, Effect, Ledger};
pub(super) use crate::roster::Roster;
pub(super) use crate::server::{Budget, Fare, Server};
pub(super) use crate::sets::{Mark, Sets, Standing};
pub(super) use crate::settings::*;
use rand::{Rng, SeedableRng};
pub(super) use rand_pcg::Pcg32;
pub(super) use std::collections::BTreeMap;

/// Calls in flight at a server over all balancers, for a few cores: at first, and where mild strain leads.
pub(super) const START_CONCURRENCY: f64 = 7.0;
/// What one round leaves of the concurrency at the least (TCP's cut), and what a refusal as full leaves.
pub(super) const CUT_MOST: f64 = 0.5;
/// Weight of a new answer in what is learned of a server or a group: about ten are remembered.
pub(super) const SMOOTHING: f64 = 0.1;
/// First backoff as a share of the longest aim, and the number of doublings up to its cap.
const BACKOFF_AIM: f64 = 0.25;
pub(super) const BACKOFF_DOUBLINGS: u32 = 4;
/// Usual answer times that must be left before the aim for a second copy, and for a protected call to wait.
pub(super) const SPARE_TIMES: f64 = 2.0;
/// Further attempts and second copies that may be saved up.
pub(super) const RETRY_SAVED: f64 = 20.0;
/// Most servers asked for their load for a call.
pub(super) const ASK_MOST: usize = 4;
/// The servers of one machine kind in one zone, as one: a balancer of little traffic learns of no single one.
#[derive(Debug)]
pub(crate) struct Group {
    pub(super) strain: f64,
    /// It falls with strain: calls of a higher chance go elsewhere, as long as there is an elsewhere.
    pub(super) share: f64,
}

/// Decides for one client proxy.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    /// The time of the event in hand, and what it brings.
    pub(crate) now: Micros,
    pub(crate) actions: Vec<Action>,
    pub(crate) random: Pcg32,
    pub(crate) servers: Roster<Server>,
    pub(crate) sets: Sets,
    pub(crate) calls: Ledger,
    pub(crate) allowance: Allowance,
    /// Calls that wait for the load of servers.
    pub(crate) asking: Vec<CallId>,
    /// Answer times of late, and what their servers held then for their size: all servers' together.
    pub(crate) told: (f64, f64),
    /// Loads told of late over what servers bear: asking pays where this is high.
    pub(crate) pressure: f64,
    /// Strain of late of each machine kind in each zone.
    pub(crate) groups: BTreeMap<(ZoneId, MachineTypeId), Group>,
    pub(crate) classes: Classes,
    pub(crate) retries: f64,
    pub(crate) timer_at: Micros,
    pub(crate) ask_at: Micros,
    pub(crate) ask_failures: u32,
    pub(crate) refusing: bool,
}

impl Balancer {
    /// A balancer that draws all its random numbers from `seed`.
    pub fn new(seed: u64, mut settings: Settings) -> Self {
        let mut classes = Classes::default();
        classes.retune(std::mem::take(&mut settings.classes));
        Balancer {
            random: Pcg32::seed_from_u64(seed),
            classes,
            settings,
            now: 0,
            actions: Vec::new(),
            servers: Roster::default(),
            sets: Sets::default(),
            calls: Ledger::default(),
            allowance: Allowance::default(),
            asking: Vec::new(),
            told: (0.0, 0.0),
            pressure: 1.0,
            groups: BTreeMap::new(),
            retries: RETRY_SAVED,
            timer_at: Micros::MAX,
            ask_at: Micros::MAX,
            ask_failures: 0,
            refusing: false,
        }
    }

    /// Is an even part of a server's calls under one? Then own calls in flight tell little.
    pub(super) fn sparse(&self) -> bool {
        let balancers = f64::from(self.settings.proxy_count);
        balancers > START_CONCURRENCY && balancers > self.sets.listed.len() as f64
    }

    pub(super) fn first_backoff(&self) -> Micros {
        ((self.classes.longest_aim() * BACKOFF_AIM) as Micros).max(1_000)
    }

    /// A random number from 0 to 1.
    pub(super) fn unit(&mut self) -> f64 {
        self.random.gen()
    }
}
