//! `oakport-testbed soak`: plays many short scenarios with real processes, each with a fleet and faults drawn
//! from a seed.

mod plan;

use crate::cluster::{Program, RunConfig, Verdict};
use crate::fleet::{run_with_progress_bar, write, Programs, RunError, RunStatus};
use clap::Args;
use comfy_table::{presets, Table};
use oakport_core::Micros;
use oakport_simulator::scenario::Scenario;
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// A run that exceeds the duration of its scenario by more than this counts as unfinished.
const MAX_OVERTIME: Duration = Duration::from_secs(60);

/// Plays many short scenarios with real processes, each with a fleet and faults drawn from a seed.
#[derive(Debug, Args)]
#[command(
    after_help = "Exit status: 0 rules kept in all plays, 1 a rule was broken or a play failed, 2 a program cannot be \
                  played, 3 the test cluster was too late to judge a play."
)]
pub struct Soak {
    /// Number of seeds to play
    #[arg(long, default_value_t = 10, value_name = "N")]
    seeds: u64,
    /// First seed
    #[arg(long, default_value_t = 1, value_name = "S")]
    first: u64,
    #[command(flatten)]
    programs: Programs,
    /// Print the plan of each seed instead of playing it
    #[arg(long)]
    print_plan: bool,
    /// Print a line for each second of a play
    #[arg(long)]
    seconds: bool,
    /// Write the outcome of all plays to this file, as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Folder in which the plan, logs and verdict of plays that did not keep all rules are kept
    #[arg(long, value_name = "DIR", default_value = "logs/soak")]
    logs: PathBuf,
}

/// The outcome of one run.
#[derive(Debug, Serialize)]
struct Outcome {
    seed: u64,
    /// The planned events.
    events: String,
    requests: u64,
    seconds: f64,
    result: RunResult,
}

/// How a run ended.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum RunResult {
    /// All rules were kept.
    #[serde(rename = "kept")]
    Passed,
    /// Rules were broken: descriptions of the first violations.
    Broken(Vec<String>),
    /// The test cluster itself was too late to judge.
    #[serde(rename = "late")]
    NotJudged,
    /// The run itself failed, or exceeded its time limit.
    Unfinished(String),
}

impl Soak {
    /// Plays all seeds in order.
    ///
    /// # Errors
    /// A program or a folder cannot be used, or Ctrl-C was pressed.
    pub fn run(&self) -> Result<RunStatus, RunError> {
        let seeds = self.first..self.first.saturating_add(self.seeds);
        if self.print_plan {
            seeds.for_each(|seed| println!("{}", plan::plan(seed)));
            return Ok(RunStatus::Passed);
        }
        let [program, replacement] = self.programs.resolve()?;
        let mut outcomes = Vec::new();
        for seed in seeds {
            let outcome = self.run_seed(seed, &program, &replacement)?;
            println!("{}", line(&outcome));
            if !matches!(outcome.result, RunResult::Passed) {
                println!("  again: {}", self.command(seed));
            }
            outcomes.push(outcome);
        }
        print!("{}", summary(&outcomes));
        if let Some(path) = &self.json {
            let text =
                serde_json::to_string_pretty(&outcomes).map_err(|e| RunError::Failed(e.to_string()))?;
            write(path, &text)?;
        }
        Ok(outcomes.iter().map(Outcome::status).max().unwrap_or(RunStatus::Passed))
    }

    fn run_seed(&self, seed: u64, program: &Program, replacement: &Program) -> Result<Outcome, RunError> {
        let text = plan::plan(seed);
        let scenario =
            Scenario::parse(&text).map_err(|e| RunError::Failed(format!("plan of seed {seed}: {e}")))?;
        let folder = self.logs.join(format!("seed-{seed}"));
        std::fs::create_dir_all(&folder)
            .map_err(|e| RunError::Failed(format!("{}: {e}", folder.display())))?;
        write(&folder.join("plan.toml"), &text)?;
        let events: Vec<String> =
            scenario.events.iter().map(|e| format!("{:?}", e.kind).to_lowercase()).collect();
        let max_duration = duration(scenario.duration) + MAX_OVERTIME;
        let program = program.clone();
        let replacement = replacement.clone();
        let config = RunConfig { scenario, seed, program, replacement, logs: Some(folder.clone()) };
        let start = Instant::now();
        let verdict = run_with_progress_bar(&config, max_duration);
        let seconds = start.elapsed().as_secs_f64();
        let (result, requests) = match verdict {
            Ok(verdict) => {
                self.report(&folder, &verdict)?;
                (RunResult::of(&verdict), verdict.seconds.iter().map(|second| second.requests).sum())
            }
            Err(RunError::Interrupted) => return Err(RunError::Interrupted),
            Err(RunError::Failed(reason)) => (RunResult::Unfinished(reason), 0),
        };
        if matches!(result, RunResult::Passed) {
            // A folder that cannot be removed does no harm.
            let _ = std::fs::remove_dir_all(&folder);
        }
        Ok(Outcome { seed, events: events.join(" "), requests, seconds, result })
    }

    fn report(&self, folder: &Path, verdict: &Verdict) -> Result<(), RunError> {
        if self.seconds {
            print!("{}", crate::fleet::verdict_table(verdict, true));
        }
        let text = serde_json::to_string_pretty(verdict).map_err(|e| RunError::Failed(e.to_string()))?;
        write(&folder.join("verdict.json"), &text)
    }

    /// The command that runs a seed again.
    fn command(&self, seed: u64) -> String {
        format!(
            "oakport-testbed soak --seeds 1 --first {seed}{} --logs {}",
            self.programs.arguments(),
            self.logs.display()
        )
    }
}

impl RunResult {
    fn of(verdict: &Verdict) -> Self {
        match RunStatus::of(verdict) {
            RunStatus::Passed => RunResult::Passed,
            RunStatus::Failed => RunResult::Broken(verdict.violations.clone()),
            RunStatus::NotJudged => RunResult::NotJudged,
        }
    }
}

impl Outcome {
    fn status(&self) -> RunStatus {
        match self.result {
            RunResult::Passed => RunStatus::Passed,
            RunResult::Broken(_) | RunResult::Unfinished(_) => RunStatus::Failed,
            RunResult::NotJudged => RunStatus::NotJudged,
        }
    }
}

fn duration(length: Micros) -> Duration {
    Duration::from_micros(length)
}

/// The outcome of a run as a line, followed by a line for each violation.
fn line(outcome: &Outcome) -> String {
    let Outcome { seed, events, requests, seconds, result } = outcome;
    let head = format!("seed {seed}: {events}; {requests} requests, {seconds:.1} s");
    match result {
        RunResult::Passed => format!("{head}: rules kept"),
        RunResult::NotJudged => format!("{head}: NOT JUDGED, the test cluster was too late"),
        RunResult::Unfinished(reason) => format!("{head}: PLAY FAILED: {reason}"),
        RunResult::Broken(violations) => format!("{head}: BROKEN\n  {}", violations.join("\n  ")),
    }
}

fn summary(outcomes: &[Outcome]) -> String {
    let count = |ended: RunStatus| outcomes.iter().filter(|outcome| outcome.status() == ended).count();
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(["plays", "rules kept", "broken or failed", "not judged"]);
    let counts =
        [RunStatus::Passed, RunStatus::Failed, RunStatus::NotJudged].map(|ended| count(ended).to_string());
    table.add_row([vec![outcomes.len().to_string()], counts.to_vec()].concat());
    format!("{table}\n")
}
