//! Configuration of a run of the test cluster, and the progress reported meanwhile.

use super::processes::Program;
use oakport_core::Micros;
use oakport_simulator::scenario::Scenario;
use std::path::PathBuf;

/// Configuration of a run.
#[derive(Clone, Debug)]
pub struct RunConfig {
    /// The scenario to run.
    pub scenario: Scenario,
    /// Seed of all random values.
    pub seed: u64,
    /// The proxies' program.
    pub program: Program,
    /// The program of the successors that take over from the proxies in an upgrade.
    pub replacement: Program,
    /// Directory for the proxies' logs; `None` discards them.
    pub logs: Option<PathBuf>,
}

/// Called with the progress of a run.
pub type ProgressCallback<'a> = dyn Fn(Progress<'_>) + Sync + 'a;

/// Progress of a run.
#[derive(Clone, Copy, Debug)]
pub enum Progress<'a> {
    /// All proxies are ready, and requests begin.
    Started,
    /// A fault begins or ends at this time since the start of the run.
    Event(Micros, &'a str),
    /// Time since the start of the run, and the numbers of requests served and not served so far.
    At(Micros, [u64; 2]),
}
