//! The program `oakport-lab`: tries oakport out.

mod sim;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

const EXAMPLES: &str = "\
Examples:
  oakport-lab sim scenarios/slow.toml                       a day with all policies, side by side
  oakport-lab sim scenarios/*.toml --seeds 5                five draws of each of many days
  oakport-lab sim scenarios/zone.toml --policy oakport --windows --json out.json";

/// Tries oakport out: plays days of a model fleet and judges them.
#[derive(Debug, Parser)]
#[command(name = "oakport-lab", version, after_help = EXAMPLES, arg_required_else_help = true)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Play days in virtual time, with several policies side by side
    Sim(sim::Sim),
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Sim(sim) => sim.run(),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(fault) => {
            eprintln!("oakport-lab: {fault}");
            ExitCode::FAILURE
        }
    }
}
