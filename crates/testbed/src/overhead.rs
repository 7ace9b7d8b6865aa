//! `oakport-testbed overhead`: measures the cost of a hop through oakport, in comparison with direct calls, a
//! relay and a forwarder that picks endpoints at random.

use crate::cluster::hops::{self, Cost, Route, Sample};
use crate::cluster::Program;
use crate::fleet::RunError;
use clap::Args;
use comfy_table::{presets, CellAlignment, Table};
use std::path::PathBuf;

/// Rates of random arrivals, in calls a second over all clients.
const STEADY_RATES: [f64; 2] = [49.0, 250.0];
/// Expected: the most latency that oakport adds at p50 and p99.
const MAX_ADDED_US: [f64; 2] = [250.0, 500.0];
/// Expected: the largest share of calls at a steady rate that wait for the reuse cooldown of a connection.
const MAX_WAITING_RATIO: f64 = 0.01;

/// Measures the cost of a hop.
#[derive(Debug, Args)]
#[command(
    after_help = "Servers answer at once, so that only the hop is measured. The ways (routes of the calls) take \
                        turns within one run; ratios are medians, with the minimum and maximum over the rounds."
)]
pub struct Overhead {
    /// Program [default: oakport in the folder of this program]
    #[arg(long, value_name = "PATH")]
    oakport: Option<PathBuf>,
    /// Another build of the program, measured in turn with the first
    #[arg(long, value_name = "PATH")]
    other: Option<PathBuf>,
    /// Number of rounds; each measures every route once
    #[arg(long, default_value_t = 5, value_name = "N", value_parser = clap::value_parser!(u64).range(1..=50))]
    rounds: u64,
}

impl Overhead {
    /// Measures and prints the tables. Returns false if an expectation did not hold.
    ///
    /// # Errors
    /// A program cannot be started.
    pub fn run(&self) -> Result<bool, RunError> {
        let testbed =
            std::env::current_exe().map_err(|e| RunError::Failed(format!("path of this program: {e}")))?;
        let oakport = self.oakport.clone().unwrap_or_else(|| testbed.with_file_name("oakport"));
        let oakport = Program::oakport(&testbed, &oakport);
        let forwarder = Program::forwarder(&testbed, None);
        let other = self.other.as_ref().map(|other| Program::oakport(&testbed, other));
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
        let runtime = runtime.map_err(|e| RunError::Failed(format!("runtime: {e}")))?;
        let all = async {
            let measured = hops::measure(&oakport, other.as_ref(), &forwarder, self.rounds).await?;
            let mut steady = Vec::new();
            for rate in STEADY_RATES {
                steady.push((rate, hops::measure_connections(&oakport, rate).await?));
            }
            Ok((measured, steady))
        };
        let (measured, steady) = runtime.block_on(async {
            tokio::select! {
                done = all => done.map_err(RunError::Failed),
                _ = tokio::signal::ctrl_c() => Err(RunError::Interrupted),
            }
        })?;
        println!("{}", table(&measured));
        println!("{}", steady_table(&steady));
        let failed = failed_expectations(&measured, &steady);
        failed.iter().for_each(|line| println!("not as expected: {line}"));
        Ok(failed.is_empty())
    }
}

/// Median over the rounds of the difference between a route and direct calls.
fn added(rounds: &[Vec<Sample>], index: usize, field: fn(&Sample) -> f64) -> f64 {
    median(rounds.iter().map(|r| field(&r[index]) - field(&r[0])).collect())
}

/// The expectations that did not hold, each as a message.
fn failed_expectations(rounds: &[Vec<Sample>], steady: &[(f64, Cost)]) -> Vec<String> {
    let oakport = Route::Oakport as usize;
    let hops = [("p50", added(rounds, oakport, |s| s.p50)), ("p99", added(rounds, oakport, |s| s.p99))];
    let hops = hops.into_iter().zip(MAX_ADDED_US).filter(|((_, added), max)| added > max);
    let hops =
        hops.map(|((name, added), max)| format!("{added:.0} us added at {name}, expected at most {max:.0}"));
    let waits = steady.iter().filter(|(_, cost)| cost.waiting() > MAX_WAITING_RATIO);
    let waits = waits.map(|(rate, cost)| {
        let Cost { requests, waits, .. } = cost;
        format!(
            "{waits} of {requests} calls waited for the reuse cooldown at {rate:.0} a second, expected at \
             most a share of {MAX_WAITING_RATIO}"
        )
    });
    hops.chain(waits).collect()
}

/// Connections and waits for the reuse cooldown at each steady rate.
fn steady_table(steady: &[(f64, Cost)]) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(["calls/s", "calls", "waited for reuse", "share of calls", "connections", "per call"]);
    for (rate, cost) in steady {
        table.add_row([
            format!("{rate:.0}"),
            cost.requests.to_string(),
            cost.waits.to_string(),
            format!("{:.4}", cost.waiting()),
            cost.opened.to_string(),
            format!("{:.4}", cost.handshakes()),
        ]);
    }
    lines(&mut table)
}

fn lines(table: &mut Table) -> String {
    table.column_iter_mut().skip(1).for_each(|column| column.set_cell_alignment(CellAlignment::Right));
    table.lines().map(|line| format!("{}\n", line.trim_end())).collect()
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(f64::NAN)
}

/// A row for each route: medians, and the ratio to direct calls with its spread over the rounds.
fn table(rounds: &[Vec<Sample>]) -> String {
    let mut table = Table::new();
    let head = ["way", "requests/s", "of direct", "per core", "of forwarder", "p50 us", "added", "p99 us"];
    let more = ["added", "waits/request", "connections/request"];
    table.load_preset(presets::NOTHING).set_header(head.into_iter().chain(more));
    let route_count = rounds.first().map_or(0, Vec::len);
    for (index, route) in Route::ALL.into_iter().enumerate().take(route_count) {
        let median_of = |field: fn(&Sample) -> f64| median(rounds.iter().map(|r| field(&r[index])).collect());
        let ratio_to = |other: Route, field: fn(&Sample) -> f64| {
            let ratios: Vec<f64> =
                rounds.iter().map(|r| field(&r[index]) / field(&r[other as usize])).collect();
            let min = ratios.iter().copied().fold(f64::INFINITY, f64::min);
            let max = ratios.iter().copied().fold(0.0, f64::max);
            format!("{:.2} ({min:.2} to {max:.2})", median(ratios))
        };
        let added = |field: fn(&Sample) -> f64| format!("{:+.0}", added(rounds, index, field));
        let cost = |field: fn(&Cost) -> f64| {
            let values: Vec<f64> = rounds.iter().filter_map(|r| r[index].cost.as_ref().map(field)).collect();
            if values.is_empty() {
                "-".to_owned()
            } else {
                format!("{:.4}", median(values))
            }
        };
        let has_cpu_figure = matches!(route, Route::Forwarder | Route::Oakport | Route::Other);
        table.add_row([
            route.name().to_owned(),
            format!("{:.0}", median_of(|s| s.rate)),
            ratio_to(Route::Direct, |s| s.rate),
            if has_cpu_figure { format!("{:.0}", median_of(|s| s.per_core)) } else { "-".to_owned() },
            if has_cpu_figure { ratio_to(Route::Forwarder, |s| s.per_core) } else { "-".to_owned() },
            format!("{:.0}", median_of(|s| s.p50)),
            added(|s| s.p50),
            format!("{:.0}", median_of(|s| s.p99)),
            added(|s| s.p99),
            cost(Cost::waiting),
            cost(Cost::handshakes),
        ]);
    }
    lines(&mut table)
}
