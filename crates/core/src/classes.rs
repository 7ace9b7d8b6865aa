//! The classes of calls, and how long answers of each take, as measured; what follows from that is judged elsewhere.

use crate::ids::Micros;
use crate::settings::Class;

/// Weight of a new answer in a class's mean: about twenty are remembered.
const PACE_WEIGHT: f64 = 0.05;
/// Time over which a class's unloaded answer time may drift up to its present mean.
const BASE_DRIFT: f64 = 120e6;
/// Answers of which the first means are plain ones.
const FIRST: u32 = 8;

/// Answer times of a class: the present mean and the least it has been, which stands for an unloaded server.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    pub(crate) mean: f64,
    pub(crate) base: f64,
    seen: u32,
    at: Micros,
    /// Calls of the class that have come.
    pub(crate) asked: f64,
    /// The longest that clients wait for one try, and calls turned back whose clients may try again.
    pub(crate) patience: Micros,
    pub(crate) turned_back: u32,
}

impl Pace {
    /// Before any answer: an unloaded server is taken to need a quarter of the aim.
    fn new(class: &Class) -> Self {
        let guess = class.latency_objective as f64 / 4.0;
        Pace { mean: guess, base: guess, ..Pace::default() }
    }

    /// Takes an answer in; the least drifts up to the mean, as fleets and work change.
    pub(crate) fn answered(&mut self, now: Micros, elapsed: f64) {
        self.seen = self.seen.saturating_add(1);
        let sample = if self.seen > FIRST { elapsed.min(8.0 * self.base) } else { elapsed };
        self.mean += (sample - self.mean) * (1.0 / f64::from(self.seen)).max(PACE_WEIGHT);
        let drift = (now.saturating_sub(self.at) as f64 / BASE_DRIFT).min(1.0);
        self.at = now;
        let drifted =
            if self.seen <= FIRST { self.mean } else { self.base + (self.mean - self.base) * drift };
        self.base = self.mean.min(drifted).max(1.0);
    }
}

/// The classes by their numbers, each with its answer times.
#[derive(Debug, Default)]
pub(crate) struct Classes(Vec<(Class, Pace)>);

impl Classes {
    /// New settings: what was measured stays, and new classes follow.
    pub(crate) fn retune(&mut self, classes: Vec<Class>) {
        for (place, class) in classes.into_iter().enumerate() {
            match self.0.get_mut(place) {
                Some(known) => known.0 = class,
                None => self.0.push((class, Pace::new(&class))),
            }
        }
    }

    pub(crate) fn class(&self, id: usize) -> Option<Class> {
        self.0.get(id).map(|c| c.0)
    }

    pub(crate) fn pace(&mut self, id: usize) -> Option<&mut Pace> {
        self.0.get_mut(id).map(|c| &mut c.1)
    }

    /// The classes in force, with their answer times.
    pub(crate) fn live(&self) -> impl Iterator<Item = &(Class, Pace)> {
        self.0.iter().filter(|c| c.0.active)
    }

    /// What answers of a class usually take; a guess by its aim where it has no number.
    pub(crate) fn usual(&self, id: usize, aim: Micros) -> f64 {
        self.0.get(id).map_or(aim as f64 / 4.0, |c| c.1.mean)
    }

    /// What they take from an unloaded server.
    pub(crate) fn base(&self, id: usize) -> f64 {
        self.0.get(id).map_or(f64::MAX, |c| c.1.base)
    }

    pub(crate) fn longest_aim(&self) -> f64 {
        self.live().map(|c| c.0.latency_objective).max().unwrap_or(0).max(1) as f64
    }

    pub(crate) fn longest_usual(&self) -> f64 {
        self.live().map(|c| c.1.mean).fold(1.0, f64::max)
    }
}
