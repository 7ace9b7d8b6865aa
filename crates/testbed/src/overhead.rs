//! `oakport-testbed overhead`: what a hop through oakport costs, beside none, a relay and a forwarder that picks at random.

use crate::cluster::hops::{self, Cost, Sample, Way};
use crate::cluster::Program;
use crate::fleet::RunError;
use clap::Args;
use comfy_table::{presets, CellAlignment, Table};
use std::path::PathBuf;

/// Rates at which calls come by chance, a second in all.
const STEADY: [f64; 2] = [49.0, 250.0];
/// What is expected: the most that oakport adds at p50 and p99, in microseconds, and the share of calls at a
/// steady rate that wait for a connection to rest.
const ADDED: [f64; 2] = [250.0, 500.0];
const WAITING: f64 = 0.01;

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
    /// Another build of the program, which takes its turns beside the first
    #[arg(long, value_name = "PATH")]
    other: Option<PathBuf>,
    /// Rounds in which each way has its turn
    #[arg(long, default_value_t = 5, value_name = "N", value_parser = clap::value_parser!(u64).range(1..=50))]
    rounds: u64,
}

impl Overhead {
    /// Measures and prints the tables. False if it is not as expected.
    ///
    /// # Errors
    /// A program cannot be started.
    pub fn run(&self) -> Result<bool, RunError> {
        let testbed = std::env::current_exe().map_err(|e| RunError::Failed(format!("this program: {e}")))?;
        let oakport = self.oakport.clone().unwrap_or_else(|| testbed.with_file_name("oakport"));
        let (oakport, forwarder) = (Program::oakport(&testbed, &oakport), Program::forwarder(&testbed, None));
        let other = self.other.as_ref().map(|other| Program::oakport(&testbed, other));
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
        let runtime = runtime.map_err(|e| RunError::Failed(format!("runtime: {e}")))?;
        let all = async {
            let measured = hops::measure(&oakport, other.as_ref(), &forwarder, self.rounds).await?;
            let mut steady = Vec::new();
            for rate in STEADY {
                steady.push((rate, hops::steady(&oakport, rate).await?));
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
        let broken = broken(&measured, &steady);
        broken.iter().for_each(|line| println!("not as expected: {line}"));
        Ok(broken.is_empty())
    }
}

/// What a way adds to the direct one.
fn added(rounds: &[Vec<Sample>], place: usize, part: fn(&Sample) -> f64) -> f64 {
    median(rounds.iter().map(|r| part(&r[place]) - part(&r[0])).collect())
}

/// What is not as expected.
fn broken(rounds: &[Vec<Sample>], steady: &[(f64, Cost)]) -> Vec<String> {
    let oakport = Way::Oakport as usize;
    let hops = [("p50", added(rounds, oakport, |s| s.p50)), ("p99", added(rounds, oakport, |s| s.p99))];
    let hops = hops.into_iter().zip(ADDED).filter(|((_, added), most)| added > most);
    let hops = hops.map(|((name, added), most)| format!("{added:.0} us added at {name}, at most {most:.0}"));
    let waits = steady.iter().filter(|(_, cost)| cost.waiting() > WAITING);
    let waits = waits.map(|(rate, cost)| {
        let Cost { requests, waits, .. } = cost;
        format!("{waits} of {requests} calls waited for a rest at {rate:.0} a second, at most {WAITING}")
    });
    hops.chain(waits).collect()
}

/// What connections cost at each steady rate.
fn steady_table(steady: &[(f64, Cost)]) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(["calls/s", "calls", "waited for a rest", "of calls", "connections", "a call"]);
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

/// A row for each way: medians, and the ratio to the direct way with its spread.
fn table(rounds: &[Vec<Sample>]) -> String {
    let mut table = Table::new();
    let head = ["way", "requests/s", "of direct", "per core", "of forwarder", "p50 us", "added", "p99 us"];
    let more = ["added", "waits/request", "connections/request"];
    table.load_preset(presets::NOTHING).set_header(head.into_iter().chain(more));
    let ways = rounds.first().map_or(0, Vec::len);
    for (place, way) in Way::ALL.into_iter().enumerate().take(ways) {
        let of = |part: fn(&Sample) -> f64| median(rounds.iter().map(|r| part(&r[place])).collect());
        let against = |other: Way, part: fn(&Sample) -> f64| {
            let ratios: Vec<f64> =
                rounds.iter().map(|r| part(&r[place]) / part(&r[other as usize])).collect();
            let least = ratios.iter().copied().fold(f64::INFINITY, f64::min);
            let most = ratios.iter().copied().fold(0.0, f64::max);
            format!("{:.2} ({least:.2} to {most:.2})", median(ratios))
        };
        let added = |part: fn(&Sample) -> f64| format!("{:+.0}", added(rounds, place, part));
        let cost = |part: fn(&Cost) -> f64| {
            let told: Vec<f64> = rounds.iter().filter_map(|r| r[place].cost.as_ref().map(part)).collect();
            if told.is_empty() {
                "-".to_owned()
            } else {
                format!("{:.4}", median(told))
            }
        };
        let cores = matches!(way, Way::Forwarder | Way::Oakport | Way::Other);
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
            cost(Cost::waiting),
            cost(Cost::handshakes),
        ]);
    }
    lines(&mut table)
}
