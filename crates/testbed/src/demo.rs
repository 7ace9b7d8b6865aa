//! `oakport-testbed demo`: a small fleet in three zones while parts of it fail, shown live, with a report.

use crate::cluster::{Play, Progress};
use crate::fleet::{play_with_progress, table, write, Programs, RunError, RunStatus, UNLIMITED};
use crate::report;
use clap::Args;
use oakport_core::Micros;
use oakport_simulator::scenario::Scenario;
use std::path::PathBuf;
use std::sync::Mutex;

const DAY: &str = include_str!("../../../scenarios/fleet/demo.toml");
/// A quick demo takes so much of the time.
const QUICK: (Micros, Micros) = (9, 20);

/// A small fleet in three zones while parts of it fail.
#[derive(Debug, Args)]
#[command(
    after_help = "Exit status: 0 rules kept, 1 not, 2 it cannot be played, 3 the rig was too late to judge."
)]
pub struct Demo {
    /// Take less than half of the time
    #[arg(long)]
    quick: bool,
    /// The seed
    #[arg(long, default_value_t = 1, value_name = "N")]
    seed: u64,
    #[command(flatten)]
    programs: Programs,
    /// Where the report goes
    #[arg(long, default_value = "oakport-demo.html", value_name = "FILE")]
    out: PathBuf,
}

impl Demo {
    /// Plays it.
    ///
    /// # Errors
    /// It cannot be played, or the report not written.
    pub fn run(&self) -> Result<RunStatus, RunError> {
        let [program, second] = self.programs.resolve()?;
        let mut day = Scenario::parse(DAY).map_err(|odd| RunError::Failed(format!("the demo: {odd}")))?;
        if self.quick {
            let shorter = |span: &mut Micros| *span = *span * QUICK.0 / QUICK.1;
            shorter(&mut day.duration);
            shorter(&mut day.server.warm_up_duration);
            day.events.iter_mut().for_each(|event| {
                shorter(&mut event.at);
                shorter(&mut event.duration);
            });
        }
        println!(
            "{} client proxies of oakport, {} servers in {}, {} requests a second: {}",
            day.balancers,
            day.servers,
            day.zones.join(", "),
            day.rate,
            day.purpose
        );
        let play = Play { day, seed: self.seed, program, second, logs: None };
        let shown = Mutex::new((0, [0, 0]));
        let tell = |progress: Progress<'_>| match progress {
            Progress::Begun => println!("all proxies are ready"),
            Progress::Event(at, text) => println!("{:5.1} s  * {text}", at as f64 / 1e6),
            Progress::At(at, ended) => {
                // One thread tells; a poisoned lock could only follow its panic.
                let Ok(mut shown) = shown.lock() else { return };
                let second = at / 1_000_000;
                if second > shown.0 {
                    let [served, not] = [0, 1].map(|n| ended[n] - shown.1[n]);
                    let share = 100.0 * served as f64 / (served + not).max(1) as f64;
                    println!("{second:3} s    served {served:4} of {:4}  {share:5.1}%", served + not);
                    *shown = (second, ended);
                }
            }
        };
        let verdict = play_with_progress(&play, &tell, UNLIMITED)?;
        print!("{}", table(&verdict, false));
        write(
            &self.out,
            &report::html("oakport demo", &play.day, self.seed, &verdict).map_err(RunError::Failed)?,
        )?;
        println!("the report with its plots: {}", self.out.display());
        Ok(RunStatus::of(&verdict))
    }
}
