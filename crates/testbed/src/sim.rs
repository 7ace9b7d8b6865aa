//! `oakport-testbed sim`: plays scenarios in virtual time and compares policies.

use clap::builder::PossibleValuesParser;
use clap::Args;
use comfy_table::{presets, CellAlignment, Table};
use oakport_simulator::{simulate, PolicyKind, Scenario, Verdict, POLICY_KINDS};
use rayon::prelude::*;
use serde_json::json;
use std::fmt::Write;
use std::path::PathBuf;

/// Plays scenarios in virtual time.
#[derive(Debug, Args)]
#[command(
    after_help = "Exit status: 0 oakport kept the rules, 1 it broke a rule, or a scenario cannot be played."
)]
pub struct Sim {
    /// Scenario files to play (TOML)
    #[arg(required = true)]
    scenarios: Vec<PathBuf>,
    /// The first seed
    #[arg(long, default_value_t = 1, value_name = "N")]
    seed: u64,
    /// Number of consecutive seeds for each scenario
    #[arg(long, default_value_t = 1, value_name = "N", value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// Number of client proxies [default: that of the scenario]
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u32).range(1..=100_000))]
    balancers: Option<u32>,
    /// Number of servers [default: that of the scenario]
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u32).range(1..=100_000))]
    servers: Option<u32>,
    /// Requests a second [default: that of the scenario]
    #[arg(long, value_name = "R")]
    rate: Option<f64>,
    /// Only these policies; `random` and `ceiling` are always played, as scores need them
    #[arg(long, value_name = "NAME,...", value_delimiter = ',', value_parser = PossibleValuesParser::new(POLICY_KINDS.map(PolicyKind::name)))]
    policy: Vec<String>,
    /// Also print the figures of oakport for each window of five seconds
    #[arg(long)]
    windows: bool,
    /// Write all figures to this file, as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

/// The verdicts of all policies on a scenario with a seed.
struct ScenarioRun {
    name: String,
    seed: u64,
    verdicts: Vec<Verdict>,
}

impl ScenarioRun {
    fn goal_value(&self, kind: PolicyKind) -> f64 {
        self.verdicts.iter().find(|v| v.policy == kind.name()).map_or(f64::NAN, |v| v.goal_value)
    }

    /// The score of a verdict: 0 as with random choice, 1 as with the ceiling; `None` if these two are too
    /// close to compare.
    fn score(&self, verdict: &Verdict) -> Option<f64> {
        const MIN_DIFFERENCE: f64 = 0.02;
        let floor = self.goal_value(PolicyKind::Random);
        let top = self.goal_value(PolicyKind::Ceiling);
        (top - floor >= MIN_DIFFERENCE).then(|| (verdict.goal_value - floor) / (top - floor))
    }
}

impl Sim {
    /// Plays all scenarios in parallel and prints the tables. Returns true if oakport kept the rules.
    pub fn run(&self) -> Result<bool, String> {
        let scenarios = self.scenarios.iter().map(|path| self.read(path)).collect::<Result<Vec<_>, _>>()?;
        let needed = [PolicyKind::Random, PolicyKind::Ceiling];
        let is_selected = |kind: &PolicyKind| {
            self.policy.is_empty() || needed.contains(kind) || self.policy.iter().any(|p| p == kind.name())
        };
        let kinds: Vec<PolicyKind> = POLICY_KINDS.into_iter().filter(is_selected).collect();
        let seeds = || self.seed..self.seed + self.seeds;
        let runs: Vec<(usize, u64, PolicyKind)> = (0..scenarios.len())
            .flat_map(|index| seeds().flat_map(move |seed| [(index, seed)]))
            .flat_map(|(index, seed)| kinds.iter().map(move |&kind| (index, seed, kind)))
            .collect();
        // Runs are independent of each other, so the number of threads does not change the results.
        let verdicts: Vec<Verdict> =
            runs.par_iter().map(|&(index, seed, kind)| simulate(&scenarios[index].1, kind, seed)).collect();
        let scenario_runs: Vec<ScenarioRun> = runs
            .chunks(kinds.len())
            .zip(verdicts.chunks(kinds.len()))
            .map(|(runs, verdicts)| {
                let (index, seed, _) = runs[0];
                ScenarioRun { name: scenarios[index].0.clone(), seed, verdicts: verdicts.to_vec() }
            })
            .collect();
        for run in &scenario_runs {
            let scenario =
                &scenarios.iter().find(|(name, _)| *name == run.name).ok_or("scenario of a run not found")?.1;
            println!("{} (seed {}): {}\n{}", run.name, run.seed, scenario.purpose, self.table(run));
        }
        if scenario_runs.len() > 1 {
            println!("{}", summary(&scenario_runs, &kinds));
        }
        if let Some(path) = &self.json {
            let scenario_runs: Vec<_> = scenario_runs
                .iter()
                .map(|run| json!({"day": run.name, "seed": run.seed, "policies": run.verdicts}))
                .collect();
            let text = format!("{:#}\n", json!({ "days": scenario_runs }));
            std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        }
        let broken = |run: &ScenarioRun| {
            run.verdicts.iter().any(|v| v.policy == PolicyKind::Oakport.name() && v.violation_count > 0)
        };
        Ok(!scenario_runs.iter().any(broken))
    }

    fn read(&self, path: &PathBuf) -> Result<(String, Scenario), String> {
        let file = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{file}: {e}"))?;
        let mut scenario = Scenario::parse(&text).map_err(|e| format!("{file}: {e}"))?;
        if let Some(kind) = scenario.first_socket_only_fault() {
            return Err(format!(
                "{file}: event {kind:?} cannot be played in virtual time; use oakport-testbed fleet"
            ));
        }
        scenario.balancers = self.balancers.map_or(scenario.balancers, |n| n as usize);
        scenario.servers = self.servers.map_or(scenario.servers, |n| n as usize);
        scenario.rate = self.rate.unwrap_or(scenario.rate);
        if !(scenario.rate.is_finite() && scenario.rate > 0.0) {
            return Err("--rate: must be above 0 requests a second".to_owned());
        }
        let name = path.file_stem().map_or_else(String::new, |name| name.to_string_lossy().into_owned());
        Ok((name, scenario))
    }

    fn table(&self, run: &ScenarioRun) -> String {
        let mut table = Table::new();
        table.load_preset(presets::NOTHING).set_header([
            "policy",
            "G",
            "score",
            "served",
            "worst 10 s",
            "refused",
            "failed",
            "late",
            "waste",
            "crossing",
            "connections",
            "p50",
            "p99",
            "p99.9",
            "recovers",
            "rules",
        ]);
        let percent = |share: f64| format!("{:.1}%", share * 100.0);
        let millis = |us: u64| format!("{:.0} ms", us as f64 / 1e3);
        for v in &run.verdicts {
            table.add_row([
                v.policy.to_owned(),
                format!("{:.4}", v.goal_value),
                run.score(v).map_or("-".to_owned(), |s| format!("{s:.2}")),
                percent(v.served_share),
                percent(v.worst_window_share),
                percent(v.rejected_share),
                percent(v.failed_share),
                percent(v.late_share),
                percent(v.wasted_work_share),
                format!("{:.2}", v.cross_zone_per_request),
                format!("{:.3}", v.handshakes_per_request),
                millis(v.latency_quantiles_us[0]),
                millis(v.latency_quantiles_us[1]),
                millis(v.latency_quantiles_us[2]),
                v.recovery_time.map_or("-".to_owned(), |us| format!("{} s", us / 1_000_000)),
                if v.violation_count == 0 {
                    "kept".to_owned()
                } else {
                    format!("{} broken", v.violation_count)
                },
            ]);
        }
        table.column_iter_mut().skip(1).for_each(|column| column.set_cell_alignment(CellAlignment::Right));
        let mut text = String::new();
        text.extend(table.lines().map(|line| format!("{}\n", line.trim_end())));
        for v in run.verdicts.iter().filter(|v| v.policy == PolicyKind::Oakport.name()) {
            for violation in &v.violations {
                let _ = writeln!(
                    text,
                    "  {:.3} s: {}: proxy {}, call {:?}, server {:?}",
                    violation.at as f64 / 1e6,
                    violation.rule,
                    violation.proxy,
                    violation.call,
                    violation.server
                );
            }
            if self.windows {
                text += &windows(v);
            }
        }
        text
    }
}

fn windows(verdict: &Verdict) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(["from", "asked", "served", "refused", "failed", "late"]);
    for (number, window) in verdict.windows.iter().enumerate().filter(|(_, w)| w.requests > 0) {
        table.add_row([
            format!("{} s", number * 5),
            window.requests.to_string(),
            format!("{:.1}%", 100.0 * window.served_weight / window.requested_weight.max(f64::MIN_POSITIVE)),
            window.rejected.to_string(),
            window.failed.to_string(),
            window.late.to_string(),
        ]);
    }
    table.column_iter_mut().for_each(|column| column.set_cell_alignment(CellAlignment::Right));
    table.lines().map(|line| format!("{}\n", line.trim_end())).collect()
}

/// Means over all scenarios and seeds.
fn summary(scenario_runs: &[ScenarioRun], kinds: &[PolicyKind]) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header([
        "policy",
        "mean G",
        "mean score",
        "days",
        "rules broken on",
    ]);
    for kind in kinds {
        let runs = || {
            scenario_runs
                .iter()
                .filter_map(|run| Some((run, run.verdicts.iter().find(|v| v.policy == kind.name())?)))
        };
        let scores: Vec<f64> = runs().filter_map(|(run, v)| run.score(v)).collect();
        let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len().max(1) as f64;
        let g: Vec<f64> = runs().map(|(_, v)| v.goal_value).collect();
        let broken = runs().filter(|(_, v)| v.violation_count > 0).count();
        table.add_row([
            kind.name().to_owned(),
            format!("{:.4}", mean(&g)),
            if scores.is_empty() { "-".to_owned() } else { format!("{:.2}", mean(&scores)) },
            g.len().to_string(),
            broken.to_string(),
        ]);
    }
    table.column_iter_mut().skip(1).for_each(|column| column.set_cell_alignment(CellAlignment::Right));
    table.lines().map(|line| format!("{}\n", line.trim_end())).collect()
}
