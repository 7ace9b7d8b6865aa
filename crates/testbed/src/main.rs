//! The program `oakport-testbed`: tries oakport out.

use clap::{Parser, Subcommand};
use oakport_testbed::cluster::forwarder::{self, Broken};
use oakport_testbed::compare::Compare;
use oakport_testbed::demo::Demo;
use oakport_testbed::fleet::{Fleet, RunError, RunStatus};
use oakport_testbed::overhead::Overhead;
use oakport_testbed::scale::Scale;
use oakport_testbed::sim::Sim;
use oakport_testbed::soak::Soak;
use std::ffi::OsString;
use std::os::unix::process::CommandExt;
use std::process::ExitCode;

const EXAMPLES: &str = "\
Examples:
  oakport-testbed demo --quick                                  a small fleet live while parts of it fail
  oakport-testbed fleet scenarios/fleet/zone-lost.toml          a day with real processes on loopback
  oakport-testbed sim scenarios/slow.toml                       a day with all policies, side by side
  oakport-testbed sim scenarios/*.toml --seeds 5                five draws of each of many days
  oakport-testbed sim scenarios/zone.toml --policy oakport --windows --json out.json";

/// Tries oakport out: plays days of a fleet, in virtual time or with real processes, and judges them.
#[derive(Debug, Parser)]
#[command(name = "oakport-testbed", version, after_help = EXAMPLES, arg_required_else_help = true)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Show a small fleet live while parts of it fail, and write a report with plots
    Demo(Demo),
    /// Play days with real processes on loopback
    Fleet(Fleet),
    /// Play a day with two programs in turn
    Compare(Compare),
    /// Measure what a hop through oakport costs
    Overhead(Overhead),
    /// Measure what each role of a process costs by the size of the fleet
    Scale(Scale),
    /// Play many short worlds with real processes, drawn from seeds
    Soak(Soak),
    /// Play days in virtual time, with several policies side by side
    Sim(Sim),
    /// Serve as a proxy that picks at random, by the platform's environment
    Forward {
        /// What it does wrong
        #[arg(long, value_enum, value_name = "HOW")]
        broken: Option<Broken>,
    },
    /// Become this program, which ends when whoever started it does
    #[command(hide = true)]
    Hold {
        /// The program and its arguments
        #[arg(required = true, trailing_var_arg = true, allow_hyphen_values = true)]
        command: Vec<OsString>,
    },
}

/// Exit statuses beside 0 and 1.
const BAD: u8 = 2;
const LATE: u8 = 3;
/// That of a program that Ctrl-C has ended.
const INTERRUPTED: u8 = 130;

fn main() -> ExitCode {
    let stopped = |stop| match stop {
        RunError::Failed(odd) => (odd, BAD),
        RunError::Interrupted => ("interrupted".to_owned(), INTERRUPTED),
    };
    let done = match Arguments::parse().command {
        Command::Sim(sim) => sim.run().map_err(|odd| (odd, 1)).map(|kept| u8::from(!kept)),
        Command::Fleet(fleet) => fleet.run().map_err(stopped).map(status),
        Command::Soak(soak) => soak.run().map_err(stopped).map(status),
        Command::Compare(compare) => compare.run().map_err(stopped).map(status),
        Command::Demo(demo) => demo.run().map_err(stopped).map(status),
        Command::Overhead(overhead) => overhead.run().map(|held| u8::from(!held)).map_err(stopped),
        Command::Scale(scale) => scale.run().map(|held| u8::from(!held)).map_err(stopped),
        Command::Forward { broken } => forward(broken).map(|()| 0).map_err(|odd| (odd, 1)),
        Command::Hold { command } => Err((hold(&command), 1)),
    };
    match done {
        Ok(status) => ExitCode::from(status),
        Err((odd, status)) => {
            eprintln!("oakport-testbed: {odd}");
            ExitCode::from(status)
        }
    }
}

/// The status by which a play's end is told.
fn status(ended: RunStatus) -> u8 {
    match ended {
        RunStatus::Passed => 0,
        RunStatus::Failed => 1,
        RunStatus::NotJudged => LATE,
    }
}

fn forward(broken: Option<Broken>) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, forwarder::run(broken))
}

/// Returns only if it fails, and then why.
fn hold(command: &[OsString]) -> String {
    let Some((program, arguments)) = command.split_first() else { return "no program".to_owned() };
    if let Err(odd) = nix::sys::prctl::set_pdeathsig(nix::sys::signal::Signal::SIGKILL) {
        return format!("death signal: {odd}");
    }
    let odd = std::process::Command::new(program).args(arguments).exec();
    format!("{}: {odd}", program.to_string_lossy())
}
