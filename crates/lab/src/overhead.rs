//! `oakport-lab overhead`: what a hop through oakport costs, beside none, a relay and a forwarder that picks at random.

use crate::fleet::Stop;
use crate::rig::hops::{self, Sample, Way};
use crate::rig::Program;
use clap::Args;
use comfy_table::{presets, CellAlignment, Table};
use std::path::PathBuf;

/// What a hop costs.
#[derive(Debug, Args)]
#[command(
    after_help = "Servers answer at once, so that the hop is all there is. The ways take turns within one run; \
                        ratios are of medians, with the least and the most of the rounds."
)]
pub struct Overhead {
    /// The program; else the one beside this
    #[arg(long, value_name = "PATH")]
    oakport: Option<PathBuf>,
    /// Rounds in which each way has its turn
    #[arg(long, default_value_t = 5, value_name = "N", value_parser = clap::value_parser!(u64).range(1..=50))]
    rounds: u64,
}

impl Overhead {
    /// Measures and prints the table.
    ///
    /// # Errors
    /// A program cannot be started.
    pub fn run(&self) -> Result<(), Stop> {
        let lab = std::env::current_exe().map_err(|e| Stop::Bad(format!("this program: {e}")))?;
        let oakport = self.oakport.clone().unwrap_or_else(|| lab.with_file_name("oakport"));
        let (oakport, forwarder) = (Program::oakport(&lab, &oakport), Program::forwarder(&lab, None));
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
        let runtime = runtime.map_err(|e| Stop::Bad(format!("runtime: {e}")))?;
        let measured = runtime.block_on(async {
            tokio::select! {
                done = hops::measure(&oakport, &forwarder, self.rounds) => done.map_err(Stop::Bad),
                _ = tokio::signal::ctrl_c() => Err(Stop::Interrupted),
            }
        })?;
        println!("{}", table(&measured));
        Ok(())
    }
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(f64::NAN)
}

/// A row for each way: medians, and the ratio to the direct way with its spread.
fn table(rounds: &[[Sample; 4]]) -> String {
    let mut table = Table::new();
    let head =
        ["way", "requests/s", "of direct", "per core", "of forwarder", "p50 us", "added", "p99 us", "added"];
    table.load_preset(presets::NOTHING).set_header(head);
    for (place, way) in Way::ALL.into_iter().enumerate() {
        let of = |part: fn(&Sample) -> f64| median(rounds.iter().map(|r| part(&r[place])).collect());
        let against = |other: Way, part: fn(&Sample) -> f64| {
            let ratios: Vec<f64> =
                rounds.iter().map(|r| part(&r[place]) / part(&r[other as usize])).collect();
            let least = ratios.iter().copied().fold(f64::INFINITY, f64::min);
            let most = ratios.iter().copied().fold(0.0, f64::max);
            format!("{:.2} ({least:.2} to {most:.2})", median(ratios))
        };
        let added = |part: fn(&Sample) -> f64| {
            format!("{:+.0}", median(rounds.iter().map(|r| part(&r[place]) - part(&r[0])).collect()))
        };
        let cores = matches!(way, Way::Forwarder | Way::Oakport);
        table.add_row([
            way.name().to_owned(),
            format!("{:.0}", of(|s| s.rate)),
            against(Way::Direct, |s| s.rate),
            if cores { format!("{:.0}", of(|s| s.per_core)) } else { "-".to_owned() },
            if cores { against(Way::Forwarder, |s| s.per_core) } else { "-".to_owned() },
            format!("{:.0}", of(|s| s.p50)),
            added(|s| s.p50),
            format!("{:.0}", of(|s| s.p99)),
            added(|s| s.p99),
        ]);
    }
    table.column_iter_mut().skip(1).for_each(|column| column.set_cell_alignment(CellAlignment::Right));
    table.lines().map(|line| format!("{}\n", line.trim_end())).collect()
}
