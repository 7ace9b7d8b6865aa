//! What a role is played at, and what a play of it gives.

use crate::cluster::Program;
use std::collections::BTreeMap;
use std::time::Instant;

/// The size that the operators plan with.
pub const PLANNED: usize = 6_300;

/// Figures by their dotted names, with the unit as the last part of a name: `start.bytes_per_s`.
pub type Figures = BTreeMap<String, f64>;

/// One size, played once.
#[derive(Clone, Debug)]
pub struct Point {
    /// How many of what the role counts.
    pub size: usize,
    /// The seed.
    pub seed: u64,
    /// The play has to end by then, and stops if it would not.
    pub until: Instant,
    /// The program under test, for roles that start processes.
    pub program: Program,
}

/// Why a point has no figures, or not all.
#[derive(Clone, Debug, PartialEq)]
pub enum Stopped {
    /// It would not end in its time, or needs more than this machine may give it.
    NotRun(String),
    /// So did its last part; what it had until then.
    Partly(Figures, String),
    /// It cannot be played at all.
    Odd(String),
}

/// A bound on a figure: a budget of the operators, or what a role is to keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// The figure.
    pub figure: &'static str,
    /// It is at most so much.
    pub most: f64,
    /// Sizes from this one on.
    pub from: usize,
    /// What breaks it ends with exit status 1; else it is only told.
    pub expected: bool,
}

/// What is played of a role.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// Its name.
    pub name: &'static str,
    /// What its sizes count.
    pub counts: &'static str,
    /// The sizes it is played at, the largest at least 20 times the least.
    pub sizes: &'static [usize],
    /// Budgets and expectations.
    pub bounds: &'static [Bound],
    /// Plays one size with one seed.
    pub play: fn(&Point) -> Result<Figures, Stopped>,
}
