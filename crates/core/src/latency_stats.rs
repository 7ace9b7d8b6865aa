//! Classes of calls with their latency statistics.

use crate::ids::Micros;
use crate::settings::Class;

/// Weight of a new sample in the mean latency, which thus covers about twenty samples.
const MEAN_LATENCY_WEIGHT: f64 = 0.05;
/// Time constant with which the unloaded latency drifts up to the mean, in microseconds.
const UNLOADED_LATENCY_DRIFT_US: f64 = 120e6;
/// Number of initial samples that are averaged without clamping; the unloaded latency follows their mean.
const WARM_UP_SAMPLE_COUNT: u32 = 8;
/// Later samples are clamped to this multiple of the unloaded latency, so that a single outlier hardly moves
/// the mean.
const MAX_SAMPLE_FACTOR: f64 = 8.0;
/// Assumed latency of a class before its first sample, as a share of its latency objective.
const INITIAL_LATENCY_RATIO: f64 = 0.25;

/// Statistics of a class: its latency, and the client timeouts and rejections that identify retries.
#[derive(Debug, Default)]
pub(crate) struct LatencyStats {
    /// Moving average of the latency, in microseconds; it serves as the typical latency.
    pub(crate) mean_us: f64,
    /// Lowest recent mean, in microseconds; it serves as the latency at an unloaded endpoint.
    pub(crate) unloaded_us: f64,
    sample_count: u32,
    last_sample_at: Micros,
    /// Number of calls of the class that have arrived.
    pub(crate) call_count: f64,
    /// Longest remaining time with which a request of the class has arrived.
    pub(crate) max_client_timeout: Micros,
    /// Number of rejected or failed calls that have not been matched with a retry by their client.
    pub(crate) unretried_rejections: u32,
}

impl LatencyStats {
    fn new(class: &Class) -> Self {
        let initial_us = class.latency_objective as f64 * INITIAL_LATENCY_RATIO;
        LatencyStats { mean_us: initial_us, unloaded_us: initial_us, ..LatencyStats::default() }
    }

    /// Adds a sample. The unloaded latency drifts up towards the mean, since endpoints and workload change.
    pub(crate) fn record(&mut self, now: Micros, elapsed_us: f64) {
        self.sample_count = self.sample_count.saturating_add(1);
        let warming_up = self.sample_count <= WARM_UP_SAMPLE_COUNT;
        let sample_us =
            if warming_up { elapsed_us } else { elapsed_us.min(MAX_SAMPLE_FACTOR * self.unloaded_us) };
        let weight = (1.0 / f64::from(self.sample_count)).max(MEAN_LATENCY_WEIGHT);
        self.mean_us += (sample_us - self.mean_us) * weight;
        let since_last_us = now.saturating_sub(self.last_sample_at) as f64;
        let drift = (since_last_us / UNLOADED_LATENCY_DRIFT_US).min(1.0);
        self.last_sample_at = now;
        let drifted_us = if warming_up {
            self.mean_us
        } else {
            self.unloaded_us + (self.mean_us - self.unloaded_us) * drift
        };
        self.unloaded_us = self.mean_us.min(drifted_us).max(1.0);
    }
}

/// A class and its latency statistics.
#[derive(Debug)]
pub(crate) struct ClassRecord {
    pub(crate) class: Class,
    pub(crate) stats: LatencyStats,
}

/// All classes by their index in the settings.
#[derive(Debug, Default)]
pub(crate) struct ClassTable(Vec<ClassRecord>);

impl ClassTable {
    /// Replaces the classes with those of new settings; known classes keep their statistics.
    pub(crate) fn apply_settings(&mut self, classes: Vec<Class>) {
        for (index, class) in classes.into_iter().enumerate() {
            match self.0.get_mut(index) {
                Some(record) => record.class = class,
                None => self.0.push(ClassRecord { class, stats: LatencyStats::new(&class) }),
            }
        }
    }

    pub(crate) fn class(&self, class_id: usize) -> Option<Class> {
        self.0.get(class_id).map(|record| record.class)
    }

    pub(crate) fn stats_mut(&mut self, class_id: usize) -> Option<&mut LatencyStats> {
        self.0.get_mut(class_id).map(|record| &mut record.stats)
    }

    /// The classes of the current settings.
    pub(crate) fn active(&self) -> impl Iterator<Item = &ClassRecord> {
        self.0.iter().filter(|record| record.class.active)
    }

    /// Typical latency of a class in microseconds; for an unknown class a share of `objective`.
    pub(crate) fn typical_latency_us(&self, class_id: usize, objective: Micros) -> f64 {
        match self.0.get(class_id) {
            Some(record) => record.stats.mean_us,
            None => objective as f64 * INITIAL_LATENCY_RATIO,
        }
    }

    /// Latency of a class at an unloaded endpoint, in microseconds; `f64::MAX` for an unknown class.
    pub(crate) fn unloaded_latency_us(&self, class_id: usize) -> f64 {
        self.0.get(class_id).map_or(f64::MAX, |record| record.stats.unloaded_us)
    }

    /// The longest latency objective of the active classes, in microseconds.
    pub(crate) fn max_latency_objective_us(&self) -> f64 {
        self.active().map(|record| record.class.latency_objective).max().unwrap_or(0).max(1) as f64
    }

    /// The longest typical latency of the active classes, in microseconds.
    pub(crate) fn max_typical_latency_us(&self) -> f64 {
        self.active().map(|record| record.stats.mean_us).fold(1.0, f64::max)
    }
}
