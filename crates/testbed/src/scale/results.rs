//! Results of a role by size, their spreads over the seeds, and their slopes.

use super::fit::Fit;
use super::point::Figures;
use std::collections::{BTreeMap, BTreeSet};

/// The results of one size.
#[derive(Clone, Debug, Default)]
pub struct SizeResult {
    /// The figures of each seed that was measured.
    pub seeds: Vec<Figures>,
    /// Why the size was not run, or not with all seeds.
    pub not_run: Option<String>,
}

/// The results of a role by size.
pub type ResultsBySize = BTreeMap<usize, SizeResult>;

impl SizeResult {
    /// Median, minimum and maximum of a figure over the seeds.
    pub fn spread(&self, figure: &str) -> Option<[f64; 3]> {
        let mut all: Vec<f64> =
            self.seeds.iter().filter_map(|figures| figures.get(figure).copied()).collect();
        all.sort_by(f64::total_cmp);
        Some([*all.get(all.len() / 2)?, *all.first()?, *all.last()?])
    }

    /// The names of all figures.
    pub fn figure_names(&self) -> BTreeSet<&String> {
        self.seeds.iter().flat_map(|figures| figures.keys()).collect()
    }
}

/// The names of the figures of all sizes.
pub fn figure_names(sizes: &ResultsBySize) -> BTreeSet<&String> {
    sizes.values().flat_map(SizeResult::figure_names).collect()
}

/// The power law fitted to a figure's medians.
pub fn fit_figure(sizes: &ResultsBySize, figure: &str) -> Option<Fit> {
    let point = |(size, result): (&usize, &SizeResult)| Some((*size as f64, result.spread(figure)?[0]));
    Fit::of(&sizes.iter().filter_map(point).collect::<Vec<_>>())
}
