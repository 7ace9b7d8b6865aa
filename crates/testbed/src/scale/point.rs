//! The input and the result of measuring a role at one size.

use crate::cluster::Program;
use std::collections::BTreeMap;
use std::time::Instant;

/// The fleet size that the operators plan with.
pub const PLANNED_SIZE: usize = 6_300;

/// Figures by their dotted names, with the unit as the last part of a name: `start.bytes_per_s`.
pub type Figures = BTreeMap<String, f64>;

/// One size, measured with one seed.
#[derive(Clone, Debug)]
pub struct Point {
    /// The size, in the unit of the role.
    pub size: usize,
    /// Seed of the random draws.
    pub seed: u64,
    /// Time at which the measurement stops.
    pub deadline: Instant,
    /// The program under test, for roles that start processes.
    pub program: Program,
}

/// Why a point has no figures, or only some of them.
#[derive(Clone, Debug, PartialEq)]
pub enum MeasureError {
    /// The measurement would exceed its time limit, or needs more resources than this machine has available.
    NotRun(String),
    /// A later part of the measurement was not run: the figures of the parts that had ended, and the reason.
    Partial(Figures, String),
    /// The measurement failed.
    Failed(String),
}

/// An upper bound of a figure: a budget of the operators, or an expectation of the role.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Name of the figure.
    pub figure: &'static str,
    /// Largest value allowed.
    pub max: f64,
    /// Smallest size to which the bound applies.
    pub min_size: usize,
    /// Whether exceeding it ends the command with exit status 1; otherwise it is only reported.
    pub is_enforced: bool,
}

/// How a role is measured.
#[derive(Clone, Copy, Debug)]
pub struct RoleSpec {
    /// Name of the role.
    pub name: &'static str,
    /// Unit of the sizes, in the plural, such as "hops".
    pub size_unit: &'static str,
    /// Default sizes, the largest at least 20 times the smallest.
    pub sizes: &'static [usize],
    /// Budgets and expectations.
    pub bounds: &'static [Bound],
    /// Measures one size with one seed.
    pub measure: fn(&Point) -> Result<Figures, MeasureError>,
}
