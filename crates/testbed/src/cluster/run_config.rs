//! How a day is to be played, and what is told while it is.

use super::processes::Program;
use oakport_core::Micros;
use oakport_simulator::scenario::Scenario;
use std::path::PathBuf;

/// How a day is to be played.
#[derive(Clone, Debug)]
pub struct RunConfig {
    /// The day.
    pub scenario: Scenario,
    /// For all that is drawn.
    pub seed: u64,
    /// What the proxies are.
    pub program: Program,
    /// What those are that relieve them.
    pub replacement: Program,
    /// Where their logs go.
    pub logs: Option<PathBuf>,
}

/// Something that can be told while a day is played.
pub type ProgressCallback<'a> = dyn Fn(Progress<'_>) + Sync + 'a;

/// How far a day is.
#[derive(Clone, Copy, Debug)]
pub enum Progress<'a> {
    /// The fleet stands, and requests begin.
    Started,
    /// Something begins, or is over, at this time of the day.
    Event(Micros, &'a str),
    /// So much of the day is over, and so many requests have been served and not.
    At(Micros, [u64; 2]),
}
