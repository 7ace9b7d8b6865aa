//! What a role gave at its sizes: spreads over the seeds, and slopes.

use super::fit::Fit;
use super::point::Figures;
use std::collections::{BTreeMap, BTreeSet};

/// What a size gave.
#[derive(Clone, Debug, Default)]
pub struct SizeResult {
    /// The figures of each seed that was played.
    pub seeds: Vec<Figures>,
    /// Why there are none, or not all.
    pub not_run: Option<String>,
}

/// What a role gave, by its sizes.
pub type ResultsBySize = BTreeMap<usize, SizeResult>;

impl SizeResult {
    /// A figure's median over the seeds, with the least and the most.
    pub fn spread(&self, figure: &str) -> Option<[f64; 3]> {
        let mut all: Vec<f64> =
            self.seeds.iter().filter_map(|figures| figures.get(figure).copied()).collect();
        all.sort_by(f64::total_cmp);
        Some([*all.get(all.len() / 2)?, *all.first()?, *all.last()?])
    }

    /// The names of all figures.
    pub fn names(&self) -> BTreeSet<&String> {
        self.seeds.iter().flat_map(|figures| figures.keys()).collect()
    }
}

/// The names of all figures that some size has.
pub fn names(sizes: &ResultsBySize) -> BTreeSet<&String> {
    sizes.values().flat_map(SizeResult::names).collect()
}

/// The slope of a figure's medians.
pub fn fitted(sizes: &ResultsBySize, figure: &str) -> Option<Fit> {
    let point = |(size, played): (&usize, &SizeResult)| Some((*size as f64, played.spread(figure)?[0]));
    Fit::of(&sizes.iter().filter_map(point).collect::<Vec<_>>())
}
