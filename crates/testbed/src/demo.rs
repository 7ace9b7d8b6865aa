//! `oakport-testbed demo`: plays a small fleet in three zones in which parts fail, prints its progress and
//! writes a report.

use crate::cluster::{Progress, RunConfig};
use crate::fleet::{run_with_progress, verdict_table, write, Programs, RunError, RunStatus, UNLIMITED};
use crate::report;
use clap::Args;
use oakport_core::Micros;
use oakport_simulator::scenario::Scenario;
use std::path::PathBuf;
use std::sync::Mutex;

const SCENARIO: &str = include_str!("../../../scenarios/fleet/demo.toml");
/// Factor on all durations of a quick demo: numerator and denominator.
const QUICK_RATIO: (Micros, Micros) = (9, 20);

/// Plays a small fleet in three zones in which parts fail.
#[derive(Debug, Args)]
#[command(after_help = "Exit status: 0 rules kept, 1 a rule was broken, 2 the demo cannot be played, \
                  3 the test cluster was too late to judge.")]
pub struct Demo {
    /// Shorten the scenario to less than half of its duration
    #[arg(long)]
    quick: bool,
    /// Seed of the random draws
    #[arg(long, default_value_t = 1, value_name = "N")]
    seed: u64,
    #[command(flatten)]
    programs: Programs,
    /// File for the report
    #[arg(long, default_value = "oakport-demo.html", value_name = "FILE")]
    out: PathBuf,
}

impl Demo {
    /// Plays the demo and writes its report.
    ///
    /// # Errors
    /// The demo cannot be played, or the report cannot be written.
    pub fn run(&self) -> Result<RunStatus, RunError> {
        let [program, replacement] = self.programs.resolve()?;
        let mut scenario =
            Scenario::parse(SCENARIO).map_err(|e| RunError::Failed(format!("demo scenario: {e}")))?;
        if self.quick {
            let shorten = |span: &mut Micros| *span = *span * QUICK_RATIO.0 / QUICK_RATIO.1;
            shorten(&mut scenario.duration);
            shorten(&mut scenario.server.warm_up_duration);
            scenario.events.iter_mut().for_each(|event| {
                shorten(&mut event.at);
                shorten(&mut event.duration);
            });
        }
        println!(
            "{} client proxies of oakport, {} servers in {}, {} requests a second: {}",
            scenario.balancers,
            scenario.servers,
            scenario.zones.join(", "),
            scenario.rate,
            scenario.purpose
        );
        let config = RunConfig { scenario, seed: self.seed, program, replacement, logs: None };
        let last_printed = Mutex::new((0, [0, 0]));
        let report_progress = |progress: Progress<'_>| match progress {
            Progress::Started => println!("all proxies are ready"),
            Progress::Event(at, text) => println!("{:5.1} s  * {text}", at as f64 / 1e6),
            Progress::At(at, finished) => {
                // Only one thread reports progress; the lock is poisoned only if that thread panicked.
                let Ok(mut last_printed) = last_printed.lock() else { return };
                let second = at / 1_000_000;
                if second > last_printed.0 {
                    let [served, unserved] = [0, 1].map(|n| finished[n] - last_printed.1[n]);
                    let share = 100.0 * served as f64 / (served + unserved).max(1) as f64;
                    println!("{second:3} s    served {served:4} of {:4}  {share:5.1}%", served + unserved);
                    *last_printed = (second, finished);
                }
            }
        };
        let verdict = run_with_progress(&config, &report_progress, UNLIMITED)?;
        print!("{}", verdict_table(&verdict, false));
        write(
            &self.out,
            &report::html("oakport demo", &config.scenario, self.seed, &verdict).map_err(RunError::Failed)?,
        )?;
        println!("report with plots: {}", self.out.display());
        Ok(RunStatus::of(&verdict))
    }
}
