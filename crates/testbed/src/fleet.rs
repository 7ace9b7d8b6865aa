//! `oakport-testbed fleet`: plays scenarios with real processes on loopback and judges them.

use crate::cluster::forwarder::Broken;
use crate::cluster::{self, Program, Progress, ProgressCallback, RunConfig, Verdict};
use crate::report;
use clap::Args;
use comfy_table::{presets, CellAlignment, Table};
use oakport_simulator::scenario::Scenario;
use serde_json::json;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Plays scenarios with real processes on loopback.
#[derive(Debug, Args)]
#[command(
    after_help = "Exit status: 0 rules kept and expectations held, 1 a rule was broken or an expectation did not hold, \
                  2 a scenario or program cannot be played, 3 the test cluster was too late to judge."
)]
pub struct Fleet {
    /// Scenario files to play (TOML)
    #[arg(required = true)]
    scenarios: Vec<PathBuf>,
    /// Seed of the random draws
    #[arg(long, default_value_t = 1, value_name = "N")]
    seed: u64,
    #[command(flatten)]
    programs: Programs,
    /// Print a line for each second of the scenario
    #[arg(long)]
    seconds: bool,
    /// Write all figures to this file, as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write a page with plots for each scenario into this folder
    #[arg(long, value_name = "DIR")]
    report: Option<PathBuf>,
    /// Keep the log of each process in this folder
    #[arg(long, value_name = "DIR")]
    logs: Option<PathBuf>,
}

/// No time limit beyond the duration of the scenario.
pub const UNLIMITED: Duration = Duration::MAX;

/// The programs that run as proxies.
#[derive(Debug, Args)]
pub struct Programs {
    /// Program of the proxies [default: oakport in the folder of this program]
    #[arg(long, value_name = "PATH")]
    oakport: Option<PathBuf>,
    /// Program that replaces it at upgrades [default: the same]
    #[arg(long, value_name = "PATH")]
    second: Option<PathBuf>,
    /// Use the testbed's own forwarder, which picks endpoints at random, instead of oakport
    #[arg(long, conflicts_with = "oakport")]
    forwarder: bool,
    /// Fault that the forwarder has
    #[arg(long, value_enum, value_name = "HOW", requires = "forwarder")]
    broken: Option<Broken>,
}

impl Programs {
    /// The command-line arguments that select the same programs, each preceded by a space.
    pub fn arguments(&self) -> String {
        let mut text = String::new();
        for (name, path) in [("oakport", &self.oakport), ("second", &self.second)] {
            text += &path.as_ref().map_or(String::new(), |path| format!(" --{name} {}", path.display()));
        }
        if self.forwarder {
            text += " --forwarder";
        }
        let broken = self.broken.as_ref().and_then(clap::ValueEnum::to_possible_value);
        text + &broken.map_or(String::new(), |broken| format!(" --broken {}", broken.get_name()))
    }

    /// The program of the proxies, and the program that replaces it at upgrades.
    pub fn resolve(&self) -> Result<[Program; 2], RunError> {
        let testbed =
            std::env::current_exe().map_err(|e| RunError::Failed(format!("path of this program: {e}")))?;
        if self.forwarder {
            let broken = self.broken.as_ref().and_then(clap::ValueEnum::to_possible_value);
            let program = Program::forwarder(&testbed, broken.as_ref().map(|broken| broken.get_name()));
            return Ok([program.clone(), program]);
        }
        let default_program = testbed.with_file_name("oakport");
        let first = self.oakport.clone().unwrap_or(default_program);
        let second = self.second.clone().unwrap_or_else(|| first.clone());
        for path in [&first, &second] {
            if !path.is_file() {
                let remedy = "build it with cargo build --release, or name another with --oakport PATH";
                return Err(RunError::Failed(format!("{}: no such program; {remedy}", path.display())));
            }
        }
        Ok([first, second].map(|path| Program::oakport(&testbed, &path)))
    }
}

/// Why a command ended without a verdict.
pub enum RunError {
    /// The run failed: the reason, with the file and the remedy where they are known.
    Failed(String),
    /// Ctrl-C.
    Interrupted,
}

/// The worst outcome of the scenarios that were run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunStatus {
    /// All rules were kept and all expectations held.
    Passed,
    /// A rule was broken or an expectation did not hold.
    Failed,
    /// The test cluster itself was too late for a verdict.
    NotJudged,
}

impl RunStatus {
    /// The status of a run with this verdict.
    pub fn of(verdict: &Verdict) -> Self {
        match () {
            () if verdict.timers_too_late() => RunStatus::NotJudged,
            () if verdict.passed() => RunStatus::Passed,
            () => RunStatus::Failed,
        }
    }
}

impl Fleet {
    /// Plays all scenarios in order.
    pub fn run(&self) -> Result<RunStatus, RunError> {
        let [program, replacement] = self.programs.resolve()?;
        let scenarios = self.scenarios.iter().map(|path| read(path)).collect::<Result<Vec<_>, _>>()?;
        for folder in [&self.logs, &self.report].into_iter().flatten() {
            std::fs::create_dir_all(folder)
                .map_err(|e| RunError::Failed(format!("{}: {e}", folder.display())))?;
        }
        let mut status = RunStatus::Passed;
        let mut all = Vec::new();
        for (name, scenario) in scenarios {
            println!("{name} (seed {}): {}", self.seed, scenario.purpose);
            let program = program.clone();
            let replacement = replacement.clone();
            let config =
                RunConfig { scenario, seed: self.seed, program, replacement, logs: self.logs.clone() };
            let verdict = run_with_progress_bar(&config, UNLIMITED)?;
            if let Some(folder) = &self.report {
                let page =
                    report::html(&name, &config.scenario, self.seed, &verdict).map_err(RunError::Failed)?;
                write(&folder.join(format!("{name}.html")), &page)?;
            }
            print!("{}", verdict_table(&verdict, self.seconds));
            status = status.max(RunStatus::of(&verdict));
            all.push(json!({"day": name, "seed": self.seed, "verdict": verdict}));
        }
        if let Some(path) = &self.json {
            let text = format!("{:#}\n", json!({ "days": all }));
            write(path, &text)?;
        }
        Ok(status)
    }
}

/// Writes a file; the error names its path.
pub fn write(path: &Path, text: &str) -> Result<(), RunError> {
    std::fs::write(path, text).map_err(|e| RunError::Failed(format!("{}: {e}", path.display())))
}

/// Reads a scenario; returns it with its name, the file's stem.
pub fn read(path: &Path) -> Result<(String, Scenario), RunError> {
    let failed = |e: &dyn std::fmt::Display| RunError::Failed(format!("{}: {e}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|e| failed(&e))?;
    let scenario = Scenario::parse(&text).map_err(|e| failed(&e))?;
    let name = path.file_stem().map_or_else(String::new, |name| name.to_string_lossy().into_owned());
    Ok((name, scenario))
}

/// Runs a scenario, with a progress bar on a terminal, until its end or Ctrl-C.
///
/// # Errors
/// The scenario cannot be run or takes longer than `max_duration`, or Ctrl-C was pressed.
pub fn run_with_progress_bar(config: &RunConfig, max_duration: Duration) -> Result<Verdict, RunError> {
    let is_terminal = std::io::stderr().is_terminal();
    let progress_bar = if is_terminal {
        indicatif::ProgressBar::new(config.scenario.duration)
    } else {
        indicatif::ProgressBar::hidden()
    };
    if let Ok(style) = indicatif::ProgressStyle::with_template("{bar:40} {percent}% {msg}") {
        progress_bar.set_style(style);
    }
    let report_progress = |progress: Progress<'_>| match progress {
        Progress::Started => progress_bar.set_message("all proxies are ready"),
        Progress::Event(at, text) => progress_bar.set_message(format!("{} s: {text}", at / 1_000_000)),
        Progress::At(at, _) => progress_bar.set_position(at),
    };
    let verdict = run_with_progress(config, &report_progress, max_duration);
    progress_bar.finish_and_clear();
    verdict
}

/// Runs a scenario, reporting its progress to `report_progress`, until its end or Ctrl-C.
///
/// # Errors
/// The scenario cannot be run or takes longer than `max_duration`, or Ctrl-C was pressed.
pub fn run_with_progress(
    config: &RunConfig,
    report_progress: &ProgressCallback<'_>,
    max_duration: Duration,
) -> Result<Verdict, RunError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(|e| RunError::Failed(format!("runtime: {e}")))?;
    runtime.block_on(async {
        tokio::select! {
            verdict = cluster::run(config, report_progress) => verdict.map_err(RunError::Failed),
            _ = tokio::signal::ctrl_c() => Err(RunError::Interrupted),
            () = tokio::time::sleep(max_duration) => {
                Err(RunError::Failed(format!("run did not end within {max_duration:?}")))
            }
        }
    })
}

/// A verdict as text for the terminal, with a line for each second if `seconds`.
pub fn verdict_table(verdict: &Verdict, seconds: bool) -> String {
    let mut text = String::new();
    if seconds {
        text += &second_table(verdict);
    }
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(["figure", "value"]);
    for (name, value) in verdict.figures.iter().filter(|(name, _)| !name.starts_with("rules.")) {
        table.add_row([name.clone(), format!("{value:.4}")]);
    }
    table.column_iter_mut().skip(1).for_each(|column| column.set_cell_alignment(CellAlignment::Right));
    text.extend(table.lines().map(|line| format!("{}\n", line.trim_end())));
    let broken: Vec<String> =
        verdict.rules.iter().filter(|(_, n)| **n > 0).map(|(rule, n)| format!("{rule} {n} times")).collect();
    let rules = if broken.is_empty() { "kept".to_owned() } else { format!("broken: {}", broken.join(", ")) };
    text += &format!("rules {rules}\n");
    text.extend(verdict.violations.iter().map(|violation| format!("  {violation}\n")));
    for (expectation, held) in &verdict.expect {
        text += &format!("{} {expectation}\n", if *held { "held" } else { "NOT HELD" });
    }
    if verdict.timers_too_late() {
        text += "not judged: the test cluster itself was too late; run it on idle cores\n";
    }
    text
}

fn second_table(verdict: &Verdict) -> String {
    let mut table = Table::new();
    let head = ["second", "asked", "served", "refused", "failed", "p50 ms", "crossing", "connections"];
    table.load_preset(presets::NOTHING).set_header(head);
    for (number, second) in verdict.seconds.iter().enumerate() {
        let (own, other) = second.attempts.values().fold((0, 0), |(a, b), [own, other]| (a + own, b + other));
        table.add_row([
            number.to_string(),
            second.requests.to_string(),
            format!("{:.1}%", 100.0 * second.served_weight / second.requested_weight.max(f64::MIN_POSITIVE)),
            second.refused.to_string(),
            second.failed.to_string(),
            format!("{:.0}", second.latency_ms[1]),
            format!("{:.0}%", 100.0 * other as f64 / ((own + other) as f64).max(1.0)),
            second.connections.to_string(),
        ]);
    }
    table.column_iter_mut().for_each(|column| column.set_cell_alignment(CellAlignment::Right));
    table.lines().map(|line| format!("{}\n", line.trim_end())).collect()
}
