//! `oakport-testbed compare`: plays the same scenario with two programs alternately and
//! compares their figures.

use crate::cluster::{Program, RunConfig, Verdict};
use crate::fleet::{read, run_with_progress_bar, RunError, RunStatus, UNLIMITED};
use clap::Args;
use comfy_table::{presets, CellAlignment, Table};
use oakport_simulator::scenario::Scenario;
use serde_json::json;
use std::path::PathBuf;

/// Plays the same scenario with two programs alternately.
#[derive(Debug, Args)]
#[command(
    after_help = "Each pair of plays has its own seed; a and b play first alternately. The difference is b minus a, \
                  with its minimum and maximum over all pairs.\n\
                  Exit status: 0 b kept the rules, 1 b broke a rule, 2 a scenario or program cannot be played, \
                  3 the test cluster was too late to judge a play."
)]
pub struct Compare {
    /// Scenario file (TOML)
    scenario: PathBuf,
    /// Program a
    #[arg(long, value_name = "PATH")]
    a: PathBuf,
    /// Program b [default: program a]
    #[arg(long, value_name = "PATH")]
    b: Option<PathBuf>,
    /// Scenario file for b, if it differs, for example with a feature switched off
    #[arg(long, value_name = "FILE")]
    other: Option<PathBuf>,
    /// Number of pairs of plays
    #[arg(long, default_value_t = 3, value_name = "N", value_parser = clap::value_parser!(u64).range(1..=100))]
    plays: u64,
    /// Seed of the first pair
    #[arg(long, default_value_t = 1, value_name = "N")]
    seed: u64,
    /// Print only figures whose names begin with one of these
    #[arg(long, value_name = "NAME,...", value_delimiter = ',')]
    figures: Vec<String>,
    /// Write all figures to this file, as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

impl Compare {
    /// Plays all pairs and prints the table.
    ///
    /// # Errors
    /// The scenario or a program cannot be played.
    pub fn run(&self) -> Result<RunStatus, RunError> {
        let b = self.b.as_ref().unwrap_or(&self.a);
        for path in [&self.a, b] {
            if !path.is_file() {
                return Err(RunError::Failed(format!(
                    "{}: no such program; give the path of a build",
                    path.display()
                )));
            }
        }
        let testbed =
            std::env::current_exe().map_err(|e| RunError::Failed(format!("path of this program: {e}")))?;
        let (name, scenario) = read(&self.scenario)?;
        println!("a: {name}: {}", scenario.purpose);
        let other = match &self.other {
            Some(path) => {
                let (name, other) = read(path)?;
                println!("b: {name}: {}", other.purpose);
                other
            }
            None => scenario.clone(),
        };
        let mut pairs: Vec<[Verdict; 2]> = Vec::new();
        for number in 0..self.plays {
            let seed = self.seed + number;
            let run = |path: &PathBuf, scenario: &Scenario| {
                let program = Program::oakport(&testbed, path);
                run_with_progress_bar(
                    &RunConfig {
                        scenario: scenario.clone(),
                        seed,
                        replacement: program.clone(),
                        program,
                        logs: None,
                    },
                    UNLIMITED,
                )
            };
            pairs.push(if number % 2 == 0 {
                let a = run(&self.a, &scenario)?;
                [a, run(b, &other)?]
            } else {
                let b = run(b, &other)?;
                [run(&self.a, &scenario)?, b]
            });
        }
        println!("{}", self.table(&pairs));
        if let Some(path) = &self.json {
            let text = format!("{:#}\n", json!({"day": name, "seed": self.seed, "pairs": pairs}));
            std::fs::write(path, text).map_err(|e| RunError::Failed(format!("{}: {e}", path.display())))?;
        }
        if pairs.iter().flatten().any(Verdict::timers_too_late) {
            println!("a play was not judged: the test cluster itself was too late; run it on idle cores");
            return Ok(RunStatus::NotJudged);
        }
        let rules_kept = pairs.iter().all(|[_, b]| b.rules.values().all(|broken| *broken == 0));
        Ok(if rules_kept { RunStatus::Passed } else { RunStatus::Failed })
    }

    fn table(&self, pairs: &[[Verdict; 2]]) -> String {
        let mut table = Table::new();
        table.load_preset(presets::NOTHING).set_header(["figure", "a", "b", "difference", "least", "most"]);
        let is_selected =
            |name: &str| self.figures.is_empty() || self.figures.iter().any(|f| name.starts_with(f));
        let names = pairs.iter().flatten().flat_map(|verdict| verdict.figures.keys());
        let names: std::collections::BTreeSet<&String> = names.filter(|name| is_selected(name)).collect();
        for name in names {
            let values: Vec<[Option<f64>; 2]> =
                pairs.iter().map(|pair| [0, 1].map(|n| pair[n].figures.get(name).copied())).collect();
            let mean = |all: Vec<f64>| all.iter().sum::<f64>() / all.len() as f64;
            let side = |n: usize| mean(values.iter().filter_map(|pair| pair[n]).collect());
            let differences: Vec<f64> = values.iter().filter_map(|[a, b]| Some((*b)? - (*a)?)).collect();
            let min = differences.iter().copied().fold(f64::NAN, f64::min);
            let max = differences.iter().copied().fold(f64::NAN, f64::max);
            // There is no difference for a figure that only one program has.
            let text = |figure: f64| if figure.is_nan() { "-".to_owned() } else { format!("{figure:.4}") };
            let row = [side(0), side(1), mean(differences), min, max];
            table.add_row(std::iter::once(name.clone()).chain(row.map(text)));
        }
        table.column_iter_mut().skip(1).for_each(|column| column.set_cell_alignment(CellAlignment::Right));
        let lines = table.lines().map(|line| format!("{}\n", line.trim_end()));
        lines.chain([format!("{} pairs, seeds from {}", pairs.len(), self.seed)]).collect()
    }
}
