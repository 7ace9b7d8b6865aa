//! `oakport-testbed sim`: days in virtual time, all policies side by side.

use clap::builder::PossibleValuesParser;
use clap::Args;
use comfy_table::{presets, CellAlignment, Table};
use oakport_simulator::{simulate, PolicyKind, Scenario, Verdict, POLICY_KINDS};
use rayon::prelude::*;
use serde_json::json;
use std::fmt::Write;
use std::path::PathBuf;

/// Days in virtual time.
#[derive(Debug, Args)]
#[command(after_help = "Exit status: 0 oakport kept the rules, 1 it did not, or a day could not be played.")]
pub struct Sim {
    /// Days to play, as TOML
    #[arg(required = true)]
    scenarios: Vec<PathBuf>,
    /// The first seed
    #[arg(long, default_value_t = 1, value_name = "N")]
    seed: u64,
    /// How many draws of each day, by this seed and those after it
    #[arg(long, default_value_t = 1, value_name = "N", value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// Client proxies, in place of the scenario's
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u32).range(1..=100_000))]
    balancers: Option<u32>,
    /// Servers, in place of the scenario's
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u32).range(1..=100_000))]
    servers: Option<u32>,
    /// Requests a second, in place of the scenario's
    #[arg(long, value_name = "R")]
    rate: Option<f64>,
    /// Only these policies; `random` and `ceiling` are played all the same, as scores need them
    #[arg(long, value_name = "NAME,...", value_delimiter = ',', value_parser = PossibleValuesParser::new(POLICY_KINDS.map(PolicyKind::name)))]
    policy: Vec<String>,
    /// Also print oakport's day in stretches of five seconds
    #[arg(long)]
    windows: bool,
    /// Write all figures there, as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

/// A day, a seed, and how each policy did.
struct Day {
    name: String,
    seed: u64,
    verdicts: Vec<Verdict>,
}

impl Day {
    fn g(&self, kind: PolicyKind) -> f64 {
        self.verdicts.iter().find(|v| v.policy == kind.name()).map_or(f64::NAN, |v| v.goal_value)
    }

    /// 0 for random choice, 1 for the ceiling. None: the two lie too near to tell.
    fn score(&self, verdict: &Verdict) -> Option<f64> {
        const LEAST: f64 = 0.02;
        let (floor, top) = (self.g(PolicyKind::Random), self.g(PolicyKind::Ceiling));
        (top - floor >= LEAST).then(|| (verdict.goal_value - floor) / (top - floor))
    }
}

impl Sim {
    /// Plays all, in parallel, and prints the tables. True if oakport kept the rules.
    pub fn run(&self) -> Result<bool, String> {
        let scenarios = self.scenarios.iter().map(|path| self.read(path)).collect::<Result<Vec<_>, _>>()?;
        let needed = [PolicyKind::Random, PolicyKind::Ceiling];
        let wanted = |kind: &PolicyKind| {
            self.policy.is_empty() || needed.contains(kind) || self.policy.iter().any(|p| p == kind.name())
        };
        let kinds: Vec<PolicyKind> = POLICY_KINDS.into_iter().filter(wanted).collect();
        let seeds = || self.seed..self.seed + self.seeds;
        let runs: Vec<(usize, u64, PolicyKind)> = (0..scenarios.len())
            .flat_map(|day| seeds().flat_map(move |seed| [(day, seed)]))
            .flat_map(|(day, seed)| kinds.iter().map(move |&kind| (day, seed, kind)))
            .collect();
        // Each run is a world of its own, so that the number of threads changes nothing.
        let verdicts: Vec<Verdict> =
            runs.par_iter().map(|&(day, seed, kind)| simulate(&scenarios[day].1, kind, seed)).collect();
        let days: Vec<Day> = runs
            .chunks(kinds.len())
            .zip(verdicts.chunks(kinds.len()))
            .map(|(runs, verdicts)| {
                let (day, seed, _) = runs[0];
                Day { name: scenarios[day].0.clone(), seed, verdicts: verdicts.to_vec() }
            })
            .collect();
        for day in &days {
            let purpose =
                &scenarios.iter().find(|(name, _)| *name == day.name).ok_or("a day without a name")?.1;
            println!("{} (seed {}): {}\n{}", day.name, day.seed, purpose.purpose, self.table(day));
        }
        if days.len() > 1 {
            println!("{}", summary(&days, &kinds));
        }
        if let Some(path) = &self.json {
            let days: Vec<_> =
                days.iter().map(|d| json!({"day": d.name, "seed": d.seed, "policies": d.verdicts})).collect();
            let text = format!("{:#}\n", json!({ "days": days }));
            std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        }
        let broken = |day: &Day| {
            day.verdicts.iter().any(|v| v.policy == PolicyKind::Oakport.name() && v.violation_count > 0)
        };
        Ok(!days.iter().any(broken))
    }

    fn read(&self, path: &PathBuf) -> Result<(String, Scenario), String> {
        let file = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{file}: {e}"))?;
        let mut scenario = Scenario::parse(&text).map_err(|odd| format!("{file}: {odd}"))?;
        if let Some(what) = scenario.first_socket_only_fault() {
            return Err(format!(
                "{file}: event {what:?} is not played in virtual time; use oakport-testbed fleet"
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

    fn table(&self, day: &Day) -> String {
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
        for v in &day.verdicts {
            table.add_row([
                v.policy.to_owned(),
                format!("{:.4}", v.goal_value),
                day.score(v).map_or("-".to_owned(), |s| format!("{s:.2}")),
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
        for v in day.verdicts.iter().filter(|v| v.policy == PolicyKind::Oakport.name()) {
            for broken in &v.violations {
                let _ = writeln!(
                    text,
                    "  {:.3} s: {}: proxy {}, call {:?}, server {:?}",
                    broken.at as f64 / 1e6,
                    broken.rule,
                    broken.proxy,
                    broken.call,
                    broken.server
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

/// Means over all days and seeds.
fn summary(days: &[Day], kinds: &[PolicyKind]) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header([
        "policy",
        "mean G",
        "mean score",
        "days",
        "rules broken on",
    ]);
    for kind in kinds {
        let own =
            || days.iter().filter_map(|d| Some((d, d.verdicts.iter().find(|v| v.policy == kind.name())?)));
        let scores: Vec<f64> = own().filter_map(|(day, v)| day.score(v)).collect();
        let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len().max(1) as f64;
        let g: Vec<f64> = own().map(|(_, v)| v.goal_value).collect();
        let broken = own().filter(|(_, v)| v.violation_count > 0).count();
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
