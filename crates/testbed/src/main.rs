//! The program `oakport-testbed`: tests oakport in simulated and real fleets.

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
  oakport-testbed demo --quick                                  a small fleet in which parts fail, shown live
  oakport-testbed fleet scenarios/fleet/zone-lost.toml          a scenario with real processes on loopback
  oakport-testbed sim scenarios/slow.toml                       a scenario with all policies, side by side
  oakport-testbed sim scenarios/*.toml --seeds 5                many scenarios with five seeds each
  oakport-testbed sim scenarios/zone.toml --policy oakport --windows --json out.json";

/// Tests oakport: plays scenarios of a fleet, in virtual time or with real processes, and judges them.
#[derive(Debug, Parser)]
#[command(name = "oakport-testbed", version, after_help = EXAMPLES, arg_required_else_help = true)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Show a small fleet live while parts fail, and write a report with plots
    Demo(Demo),
    /// Play scenarios with real processes on loopback
    Fleet(Fleet),
    /// Play a scenario with two programs alternately
    Compare(Compare),
    /// Measure the cost of a hop through oakport
    Overhead(Overhead),
    /// Measure the cost of each role of a process by the size of the fleet
    Scale(Scale),
    /// Play many short random scenarios, drawn from seeds, with real processes
    Soak(Soak),
    /// Play scenarios in virtual time, with several policies side by side
    Sim(Sim),
    /// Serve as a proxy that picks endpoints at random, configured by the platform's environment variables
    Forward {
        /// Fault that the proxy has
        #[arg(long, value_enum, value_name = "HOW")]
        broken: Option<Broken>,
    },
    /// Execute a program that is killed when its parent process ends
    #[command(hide = true)]
    Hold {
        /// The program and its arguments
        #[arg(required = true, trailing_var_arg = true, allow_hyphen_values = true)]
        command: Vec<OsString>,
    },
}

/// Exit statuses besides 0 and 1.
const EXIT_CANNOT_RUN: u8 = 2;
const EXIT_NOT_JUDGED: u8 = 3;
/// Exit status after Ctrl-C, by convention of shells.
const EXIT_INTERRUPTED: u8 = 130;

fn main() -> ExitCode {
    let failure = |error| match error {
        RunError::Failed(message) => (message, EXIT_CANNOT_RUN),
        RunError::Interrupted => ("interrupted".to_owned(), EXIT_INTERRUPTED),
    };
    let result = match Arguments::parse().command {
        Command::Sim(sim) => sim.run().map_err(|e| (e, 1)).map(|rules_kept| u8::from(!rules_kept)),
        Command::Fleet(fleet) => fleet.run().map_err(failure).map(exit_status),
        Command::Soak(soak) => soak.run().map_err(failure).map(exit_status),
        Command::Compare(compare) => compare.run().map_err(failure).map(exit_status),
        Command::Demo(demo) => demo.run().map_err(failure).map(exit_status),
        Command::Overhead(overhead) => overhead.run().map(|held| u8::from(!held)).map_err(failure),
        Command::Scale(scale) => scale.run().map(|held| u8::from(!held)).map_err(failure),
        Command::Forward { broken } => forward(broken).map(|()| 0).map_err(|e| (e, 1)),
        Command::Hold { command } => Err((exec_tied_to_parent(&command), 1)),
    };
    match result {
        Ok(status) => ExitCode::from(status),
        Err((message, status)) => {
            eprintln!("oakport-testbed: {message}");
            ExitCode::from(status)
        }
    }
}

/// The exit status for the outcome of a run.
fn exit_status(status: RunStatus) -> u8 {
    match status {
        RunStatus::Passed => 0,
        RunStatus::Failed => 1,
        RunStatus::NotJudged => EXIT_NOT_JUDGED,
    }
}

fn forward(broken: Option<Broken>) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, forwarder::run(broken))
}

/// Replaces this process by the command, which is killed when the parent process ends. Returns only on
/// failure, with the reason.
fn exec_tied_to_parent(command: &[OsString]) -> String {
    let Some((program, arguments)) = command.split_first() else { return "no program to execute".to_owned() };
    if let Err(e) = nix::sys::prctl::set_pdeathsig(nix::sys::signal::Signal::SIGKILL) {
        return format!("setting the parent-death signal: {e}");
    }
    let e = std::process::Command::new(program).args(arguments).exec();
    format!("{}: {e}", program.to_string_lossy())
}
