//! The command line. Its doc comments are the help texts.

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

/// Shortest interval of `oakport ctl ADDRESS watch`.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(50);

const EXAMPLES: &str = "\
Examples:
  oakport check deploy/example.toml               what a file would do, or all that is wrong with it
  oakport serve --config deploy/example.toml      serve by it
  oakport ctl 127.0.0.1:9901 watch                follow a process that serves
  kill -HUP PID                                   have it read its file again
  kill -TERM PID                                  have it finish what it took, and end";

/// A client proxy with client-side load balancing: takes an application's HTTP/1.1 requests and sends each to one of
/// the servers that discovery has named.
#[derive(Debug, Parser)]
#[command(name = "oakport", version = env!("OAKPORT_VERSION"), after_help = EXAMPLES, arg_required_else_help = true)]
pub struct Arguments {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve clients until SIGTERM
    Serve(ServeArguments),
    /// Read configuration files as serve would, and tell what they would do or all that is wrong with them
    #[command(after_help = "Exit status: 0 all are good, 1 some are not, 2 the command line is wrong.")]
    Check {
        /// Files: TOML if their names end in .toml, else JSON
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Ask a process that serves, at its operators' address
    Ctl(CtlArguments),
    /// Print the JSON schema of the configuration
    Schema,
    /// Print the completions for a shell
    Completions {
        /// Which shell
        shell: Shell,
    },
}

#[derive(Debug, Args)]
pub struct ServeArguments {
    /// The configuration: TOML if its name ends in .toml, else JSON [default: the file that $RELAY_CONFIG names]
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// How log lines are written to standard error
    #[arg(long, value_name = "FORMAT", value_enum, default_value_t = LogFormat::Text)]
    pub log_format: LogFormat,
    /// The least level that is logged; goes before $OAKPORT_LOG
    #[arg(long, value_name = "LEVEL", value_enum)]
    pub log_level: Option<LogLevel>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// For people
    Text,
    /// One JSON object a line
    Json,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogLevel {
    Error,
    Warn,
    Info,
    Debug,
    Trace,
}

#[derive(Debug, Args)]
pub struct CtlArguments {
    /// The operators' address of the process: `operator` of its configuration
    pub address: SocketAddr,
    #[command(subcommand)]
    pub command: CtlCommand,
}

#[derive(Debug, Subcommand)]
pub enum CtlCommand {
    /// Does it take clients? Exit status 0: yes, 1: no, or no answer
    Health,
    /// Its figures, once
    Dump {
        /// As JSON, as the process tells them
        #[arg(long)]
        json: bool,
    },
    /// Who else is present, as it sees them
    Peers {
        /// As JSON, as the process tells them
        #[arg(long)]
        json: bool,
    },
    /// Its figures with their rates, again and again until it is ended
    Watch {
        /// How long between two looks, such as 500ms
        #[arg(long, value_name = "TIME", default_value = "1s", value_parser = interval)]
        every: Duration,
        /// How many looks [default: until it is ended]
        #[arg(long, value_name = "N")]
        count: Option<u64>,
    },
}

/// Why the interval of `watch` is not accepted.
#[derive(Debug, Error)]
enum InvalidInterval {
    #[error(transparent)]
    NotADuration(#[from] humantime::DurationError),
    #[error("at least 50ms, so that asking costs little")]
    TooShort,
}

fn interval(text: &str) -> Result<Duration, InvalidInterval> {
    let interval = humantime::parse_duration(text)?;
    if interval < MIN_WATCH_INTERVAL {
        return Err(InvalidInterval::TooShort);
    }
    Ok(interval)
}
