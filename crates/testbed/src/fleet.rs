//! `oakport-testbed fleet`: days with real processes on loopback, judged.

use crate::cluster::forwarder::Broken;
use crate::cluster::{self, Play, Program, Progress, Tell, Verdict};
use crate::report;
use clap::Args;
use comfy_table::{presets, CellAlignment, Table};
use oakport_simulator::scenario::Scenario;
use serde_json::json;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Days with real processes on loopback.
#[derive(Debug, Args)]
#[command(
    after_help = "Exit status: 0 rules kept and expectations held, 1 not, 2 a scenario or program cannot be played, \
                  3 the rig was too late to judge."
)]
pub struct Fleet {
    /// Days to play, as TOML
    #[arg(required = true)]
    scenarios: Vec<PathBuf>,
    /// The seed
    #[arg(long, default_value_t = 1, value_name = "N")]
    seed: u64,
    #[command(flatten)]
    programs: Programs,
    /// Print a line for each second of the day
    #[arg(long)]
    seconds: bool,
    /// Write all figures there, as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write a page with plots for each day into this folder
    #[arg(long, value_name = "DIR")]
    report: Option<PathBuf>,
    /// Keep the log of each process in this folder
    #[arg(long, value_name = "DIR")]
    logs: Option<PathBuf>,
}

/// For plays that end when their days do.
pub const UNLIMITED: Duration = Duration::MAX;

/// Which programs the proxies are.
#[derive(Debug, Args)]
pub struct Programs {
    /// The program that the proxies run; else the one beside this
    #[arg(long, value_name = "PATH")]
    oakport: Option<PathBuf>,
    /// The program that relieves it at upgrades; else the same
    #[arg(long, value_name = "PATH")]
    second: Option<PathBuf>,
    /// In place of oakport the lab's own forwarder, which picks at random
    #[arg(long, conflicts_with = "oakport")]
    forwarder: bool,
    /// What that forwarder does wrong
    #[arg(long, value_enum, value_name = "HOW", requires = "forwarder")]
    broken: Option<Broken>,
}

impl Programs {
    /// The arguments that name the same programs again, each after a space.
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

    /// The program, and the one that relieves it.
    pub fn resolve(&self) -> Result<[Program; 2], RunError> {
        let testbed = std::env::current_exe().map_err(|e| RunError::Failed(format!("this program: {e}")))?;
        if self.forwarder {
            let broken = self.broken.as_ref().and_then(clap::ValueEnum::to_possible_value);
            let program = Program::forwarder(&testbed, broken.as_ref().map(|broken| broken.get_name()));
            return Ok([program.clone(), program]);
        }
        let beside = testbed.with_file_name("oakport");
        let first = self.oakport.clone().unwrap_or(beside);
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

/// The worst outcome of the scenarios that were played.
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
    /// How a day with this verdict ended.
    pub fn of(verdict: &Verdict) -> Self {
        match () {
            () if verdict.too_late() => RunStatus::NotJudged,
            () if verdict.holds() => RunStatus::Passed,
            () => RunStatus::Failed,
        }
    }
}

impl Fleet {
    /// Plays all days, one after the other.
    pub fn run(&self) -> Result<RunStatus, RunError> {
        let [program, second] = self.programs.resolve()?;
        let days = self.scenarios.iter().map(|path| read(path)).collect::<Result<Vec<_>, _>>()?;
        for folder in [&self.logs, &self.report].into_iter().flatten() {
            std::fs::create_dir_all(folder)
                .map_err(|e| RunError::Failed(format!("{}: {e}", folder.display())))?;
        }
        let (mut ended, mut all) = (RunStatus::Passed, Vec::new());
        for (name, day) in days {
            println!("{name} (seed {}): {}", self.seed, day.purpose);
            let (program, second) = (program.clone(), second.clone());
            let play = Play { day, seed: self.seed, program, second, logs: self.logs.clone() };
            let verdict = play_with_progress_bar(&play, UNLIMITED)?;
            if let Some(folder) = &self.report {
                let page = report::html(&name, &play.day, self.seed, &verdict).map_err(RunError::Failed)?;
                write(&folder.join(format!("{name}.html")), &page)?;
            }
            print!("{}", table(&verdict, self.seconds));
            ended = ended.max(RunStatus::of(&verdict));
            all.push(json!({"day": name, "seed": self.seed, "verdict": verdict}));
        }
        if let Some(path) = &self.json {
            let text = format!("{:#}\n", json!({ "days": all }));
            write(path, &text)?;
        }
        Ok(ended)
    }
}

/// Writes a file.
pub fn write(path: &Path, text: &str) -> Result<(), RunError> {
    std::fs::write(path, text).map_err(|e| RunError::Failed(format!("{}: {e}", path.display())))
}

/// Reads a day, and tells its name.
pub fn read(path: &Path) -> Result<(String, Scenario), RunError> {
    let bad = |odd: &dyn std::fmt::Display| RunError::Failed(format!("{}: {odd}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|e| bad(&e))?;
    let day = Scenario::parse(&text).map_err(|odd| bad(&odd))?;
    let name = path.file_stem().map_or_else(String::new, |name| name.to_string_lossy().into_owned());
    Ok((name, day))
}

/// Plays a day, with its progress on a terminal, until its end or Ctrl-C.
///
/// # Errors
/// It cannot be played, takes longer than `most`, or Ctrl-C.
pub fn play_with_progress_bar(play: &Play, max_duration: Duration) -> Result<Verdict, RunError> {
    let shown = std::io::stderr().is_terminal();
    let bar =
        if shown { indicatif::ProgressBar::new(play.day.duration) } else { indicatif::ProgressBar::hidden() };
    if let Ok(style) = indicatif::ProgressStyle::with_template("{bar:40} {percent}% {msg}") {
        bar.set_style(style);
    }
    let tell = |progress: Progress<'_>| match progress {
        Progress::Begun => bar.set_message("the fleet stands"),
        Progress::Event(at, text) => bar.set_message(format!("{} s: {text}", at / 1_000_000)),
        Progress::At(at, _) => bar.set_position(at),
    };
    let verdict = play_with_progress(play, &tell, max_duration);
    bar.finish_and_clear();
    verdict
}

/// Plays a day, telling how far it is, until its end or Ctrl-C.
///
/// # Errors
/// It cannot be played, takes longer than `most`, or Ctrl-C.
pub fn play_with_progress(play: &Play, tell: &Tell<'_>, max_duration: Duration) -> Result<Verdict, RunError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(|e| RunError::Failed(format!("runtime: {e}")))?;
    runtime.block_on(async {
        tokio::select! {
            verdict = cluster::play(play, tell) => verdict.map_err(RunError::Failed),
            _ = tokio::signal::ctrl_c() => Err(RunError::Interrupted),
            () = tokio::time::sleep(max_duration) => Err(RunError::Failed(format!("play did not end within {max_duration:?}"))),
        }
    })
}

/// A verdict for people.
pub fn table(verdict: &Verdict, seconds: bool) -> String {
    let mut text = String::new();
    if seconds {
        text += &by_seconds(verdict);
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
    text.extend(verdict.stories.iter().map(|story| format!("  {story}\n")));
    for (wanted, held) in &verdict.expect {
        text += &format!("{} {wanted}\n", if *held { "held" } else { "NOT HELD" });
    }
    if verdict.too_late() {
        text += "not judged: the rig itself was too late; give it idle cores\n";
    }
    text
}

fn by_seconds(verdict: &Verdict) -> String {
    let mut table = Table::new();
    let head = ["second", "asked", "served", "refused", "failed", "p50 ms", "crossing", "connections"];
    table.load_preset(presets::NOTHING).set_header(head);
    for (number, second) in verdict.seconds.iter().enumerate() {
        let (own, other) = second.attempts.values().fold((0, 0), |(a, b), [own, other]| (a + own, b + other));
        table.add_row([
            number.to_string(),
            second.asked.to_string(),
            format!("{:.1}%", 100.0 * second.served / second.worth.max(f64::MIN_POSITIVE)),
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
