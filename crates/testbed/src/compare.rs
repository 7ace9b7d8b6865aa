//! `oakport-testbed compare`: two programs on the same day, play by play.

use crate::cluster::{Play, Program, Verdict};
use crate::fleet::{play_with_progress_bar, read, RunError, RunStatus, UNLIMITED};
use clap::Args;
use comfy_table::{presets, CellAlignment, Table};
use oakport_simulator::scenario::Scenario;
use serde_json::json;
use std::path::PathBuf;

/// Two programs on the same day, in turn.
#[derive(Debug, Args)]
#[command(
    after_help = "Each pair of plays has a seed of its own; who plays first changes from pair to pair. The difference \
                  is b less a; its spread is the least and the most of all pairs.\n\
                  Exit status: 0 b kept the rules, 1 it did not, 2 a scenario or program cannot be played, \
                  3 the rig was too late to judge a play."
)]
pub struct Compare {
    /// The day, as TOML
    scenario: PathBuf,
    /// The one program
    #[arg(long, value_name = "PATH")]
    a: PathBuf,
    /// The other [default: the same]
    #[arg(long, value_name = "PATH")]
    b: Option<PathBuf>,
    /// The day that b plays, if it is another: the same with a part off, say
    #[arg(long, value_name = "FILE")]
    other: Option<PathBuf>,
    /// Pairs of plays
    #[arg(long, default_value_t = 3, value_name = "N", value_parser = clap::value_parser!(u64).range(1..=100))]
    plays: u64,
    /// The first seed
    #[arg(long, default_value_t = 1, value_name = "N")]
    seed: u64,
    /// Only figures whose names begin so
    #[arg(long, value_name = "NAME,...", value_delimiter = ',')]
    figures: Vec<String>,
    /// Write all figures there, as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

impl Compare {
    /// Plays all pairs and prints the table.
    ///
    /// # Errors
    /// The day or a program cannot be played.
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
        let testbed = std::env::current_exe().map_err(|e| RunError::Failed(format!("this program: {e}")))?;
        let (name, day) = read(&self.scenario)?;
        println!("a: {name}: {}", day.purpose);
        let other = match &self.other {
            Some(path) => {
                let (name, other) = read(path)?;
                println!("b: {name}: {}", other.purpose);
                other
            }
            None => day.clone(),
        };
        let mut pairs: Vec<[Verdict; 2]> = Vec::new();
        for number in 0..self.plays {
            let seed = self.seed + number;
            let play = |path: &PathBuf, day: &Scenario| {
                let program = Program::oakport(&testbed, path);
                play_with_progress_bar(
                    &Play { day: day.clone(), seed, second: program.clone(), program, logs: None },
                    UNLIMITED,
                )
            };
            pairs.push(if number % 2 == 0 {
                let a = play(&self.a, &day)?;
                [a, play(b, &other)?]
            } else {
                let b = play(b, &other)?;
                [play(&self.a, &day)?, b]
            });
        }
        println!("{}", self.table(&pairs));
        if let Some(path) = &self.json {
            let text = format!("{:#}\n", json!({"day": name, "seed": self.seed, "pairs": pairs}));
            std::fs::write(path, text).map_err(|e| RunError::Failed(format!("{}: {e}", path.display())))?;
        }
        if pairs.iter().flatten().any(Verdict::too_late) {
            println!("a play was not judged: the rig itself was too late; give it idle cores");
            return Ok(RunStatus::NotJudged);
        }
        let kept = pairs.iter().all(|[_, b]| b.rules.values().all(|broken| *broken == 0));
        Ok(if kept { RunStatus::Passed } else { RunStatus::Failed })
    }

    fn table(&self, pairs: &[[Verdict; 2]]) -> String {
        let mut table = Table::new();
        table.load_preset(presets::NOTHING).set_header(["figure", "a", "b", "difference", "least", "most"]);
        let wanted = |name: &str| self.figures.is_empty() || self.figures.iter().any(|f| name.starts_with(f));
        let names = pairs.iter().flatten().flat_map(|verdict| verdict.figures.keys());
        let names: std::collections::BTreeSet<&String> = names.filter(|name| wanted(name)).collect();
        for name in names {
            let found: Vec<[Option<f64>; 2]> =
                pairs.iter().map(|pair| [0, 1].map(|n| pair[n].figures.get(name).copied())).collect();
            let mean = |all: Vec<f64>| all.iter().sum::<f64>() / all.len() as f64;
            let side = |n: usize| mean(found.iter().filter_map(|pair| pair[n]).collect());
            let differences: Vec<f64> = found.iter().filter_map(|[a, b]| Some((*b)? - (*a)?)).collect();
            let least = differences.iter().copied().fold(f64::NAN, f64::min);
            let most = differences.iter().copied().fold(f64::NAN, f64::max);
            // What only one of them has has no difference.
            let text = |figure: f64| if figure.is_nan() { "-".to_owned() } else { format!("{figure:.4}") };
            let all = [side(0), side(1), mean(differences), least, most];
            table.add_row(std::iter::once(name.clone()).chain(all.map(text)));
        }
        table.column_iter_mut().skip(1).for_each(|column| column.set_cell_alignment(CellAlignment::Right));
        let lines = table.lines().map(|line| format!("{}\n", line.trim_end()));
        lines.chain([format!("{} pairs, seeds from {}", pairs.len(), self.seed)]).collect()
    }
}
