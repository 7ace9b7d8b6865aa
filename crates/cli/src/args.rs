//! Command-line arguments. The doc comments of these types are the help texts.

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
  oakport check deploy/example.toml               summarise a configuration file, or list its errors
  oakport serve --config deploy/example.toml      serve clients with this configuration
  oakport ctl 127.0.0.1:9901 watch                watch the metrics of a running process
  kill -HUP PID                                   reload its configuration file
  kill -TERM PID                                  shut down after completing accepted requests";

/// A client proxy with client-side load balancing: accepts an application's HTTP/1.1 requests and sends each to one of
/// the endpoints that discovery lists.
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
    /// Check configuration files, and print a summary of each or all its errors
    #[command(
        after_help = "Exit status: 0 all files are valid, 1 some are invalid, 2 the command line is invalid."
    )]
    Check {
        /// Configuration files: TOML if the name ends in .toml, else JSON
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Query the admin endpoint of a running process
    Ctl(CtlArguments),
    /// Print the JSON schema of the configuration
    Schema,
    /// Print the completion script for a shell
    Completions {
        /// Name of the shell
        shell: Shell,
    },
}

#[derive(Debug, Args)]
pub struct ServeArguments {
    /// Configuration file: TOML if the name ends in .toml, else JSON [default: the file that $RELAY_CONFIG names]
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Format of the log lines on standard error
    #[arg(long, value_name = "FORMAT", value_enum, default_value_t = LogFormat::Text)]
    pub log_format: LogFormat,
    /// Lowest level that is logged; overrides $OAKPORT_LOG
    #[arg(long, value_name = "LEVEL", value_enum)]
    pub log_level: Option<LogLevel>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Plain text
    Text,
    /// One JSON object per line
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
    /// Address of the admin endpoint: `operator` in the configuration of the process
    pub address: SocketAddr,
    #[command(subcommand)]
    pub command: CtlCommand,
}

#[derive(Debug, Subcommand)]
pub enum CtlCommand {
    /// Check whether the process accepts clients. Exit status 0: yes, 1: no, or no answer
    Health,
    /// Print the metrics once
    Dump {
        /// Print the JSON of the process's report
        #[arg(long)]
        json: bool,
    },
    /// Print the other client proxies that the process knows
    Peers {
        /// Print the JSON of the process's report
        #[arg(long)]
        json: bool,
    },
    /// Print the metrics and their rates repeatedly
    Watch {
        /// Interval between two reports, such as 500ms; at least 50ms
        #[arg(long, value_name = "TIME", default_value = "1s", value_parser = parse_interval)]
        every: Duration,
        /// Number of reports [default: no limit]
        #[arg(long, value_name = "N")]
        count: Option<u64>,
    },
}

/// Why the interval of `watch` is invalid.
#[derive(Debug, Error)]
enum InvalidInterval {
    #[error(transparent)]
    NotADuration(#[from] humantime::DurationError),
    #[error("must be at least 50ms, to limit the load on the queried process")]
    TooShort,
}

fn parse_interval(text: &str) -> Result<Duration, InvalidInterval> {
    let interval = humantime::parse_duration(text)?;
    if interval < MIN_WATCH_INTERVAL {
        return Err(InvalidInterval::TooShort);
    }
    Ok(interval)
}
