//! The balancer's state and the application of new settings.

use super::concurrency_limit::ConcurrencyLimit;
use super::parameters::MAX_RETRY_BUDGET_ATTEMPTS;
use crate::action::Action;
use crate::call_table::CallTable;
use crate::endpoint::{Endpoint, MachineGroupKey};
use crate::endpoint_index::EndpointIndex;
use crate::endpoint_table::EndpointTable;
use crate::ids::{CallId, Micros};
use crate::latency_stats::ClassTable;
use crate::settings::Settings;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

/// The first backoff as a share of the longest latency objective, and its lower bound in microseconds.
const INITIAL_BACKOFF_OBJECTIVE_RATIO: f64 = 0.25;
const MIN_INITIAL_BACKOFF_US: Micros = 1_000;

/// Statistics of a machine group. In low-traffic mode, a client proxy has few samples of single endpoints.
#[derive(Debug)]
pub(crate) struct MachineGroup {
    /// Moving mean of the latency ratio.
    pub(super) latency_ratio: f64,
    /// Share of the calls that may be sent to the group; it falls under overload, and the remaining calls
    /// prefer other groups.
    pub(super) admitted_ratio: f64,
}

/// Decaying sums over recent responses of all endpoints, to estimate the load at which a latency is reached.
#[derive(Debug, Default)]
pub(crate) struct LoadPerLatency {
    /// Sum of response times, in microseconds.
    pub(super) elapsed_us: f64,
    /// Sum of the polled loads of the responding endpoints, in calls per unit of size.
    pub(super) polled_load: f64,
}

/// The load balancer of one client proxy: turns events into actions.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    /// Time of the event being handled.
    pub(crate) now: Micros,
    /// Actions in response to that event.
    pub(crate) actions: Vec<Action>,
    pub(crate) random: Pcg32,
    pub(crate) endpoints: EndpointTable<Endpoint>,
    pub(crate) index: EndpointIndex,
    pub(crate) calls: CallTable,
    pub(crate) classes: ClassTable,
    pub(crate) concurrency_limit: ConcurrencyLimit,
    /// Calls whose load polls are in progress.
    pub(crate) polling_calls: Vec<CallId>,
    pub(crate) load_per_latency: LoadPerLatency,
    /// Moving mean of polled loads divided by the highest acceptable load; a high value justifies the cost of
    /// load polls.
    pub(crate) polled_utilisation: f64,
    pub(crate) machine_groups: BTreeMap<MachineGroupKey, MachineGroup>,
    /// Retries and hedged attempts that may be sent now.
    pub(crate) retry_budget: f64,
    /// When the timer last requested from the client proxy fires.
    pub(crate) timer_at: Micros,
    pub(crate) next_list_poll_at: Micros,
    /// Failed polls of the endpoint list in a row.
    pub(crate) list_poll_failures: u32,
    /// All endpoints are ejected, and this has been logged.
    pub(crate) rejecting_all: bool,
}

impl Balancer {
    /// Creates a balancer that derives all its random numbers from `seed`.
    pub fn new(seed: u64, mut settings: Settings) -> Self {
        let mut classes = ClassTable::default();
        classes.apply_settings(std::mem::take(&mut settings.classes));
        Balancer {
            random: Pcg32::seed_from_u64(seed),
            classes,
            settings,
            now: 0,
            actions: Vec::new(),
            endpoints: EndpointTable::default(),
            index: EndpointIndex::default(),
            calls: CallTable::default(),
            concurrency_limit: ConcurrencyLimit::default(),
            polling_calls: Vec::new(),
            load_per_latency: LoadPerLatency::default(),
            polled_utilisation: 1.0,
            machine_groups: BTreeMap::new(),
            retry_budget: MAX_RETRY_BUDGET_ATTEMPTS,
            timer_at: Micros::MAX,
            next_list_poll_at: Micros::MAX,
            list_poll_failures: 0,
            rejecting_all: false,
        }
    }

    /// Applies new settings. Learned statistics are retained, and calls in flight keep their class.
    pub(crate) fn apply_settings(&mut self, mut settings: Settings) {
        self.classes.apply_settings(std::mem::take(&mut settings.classes));
        self.settings = settings;
        self.index.enable_ranking(self.is_low_traffic());
        let listed: Vec<usize> = self.index.listed.iter().collect();
        for slot in listed {
            self.refresh_status(slot);
        }
    }

    /// The first backoff of endpoints, classes and retries, in microseconds.
    pub(super) fn initial_backoff(&self) -> Micros {
        let backoff_us = self.classes.max_latency_objective_us() * INITIAL_BACKOFF_OBJECTIVE_RATIO;
        (backoff_us as Micros).max(MIN_INITIAL_BACKOFF_US)
    }

    /// A random number in [0, 1).
    pub(super) fn random_unit(&mut self) -> f64 {
        self.random.gen()
    }
}
