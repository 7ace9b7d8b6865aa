//! The `oakport` program: command-line entry point.

mod args;
mod check;
mod ctl;
mod error;
mod logs;

use args::{Arguments, Command, ServeArguments};
use clap::{CommandFactory, Parser};
use clap_complete::Shell;
use error::CommandError;
use oakport_proxy::{inherited_listener, Config, Process};
use std::io::{self, Write};
use std::net::TcpListener;
use std::process::ExitCode;

fn main() -> ExitCode {
    // Must come first: a descriptor that is opened earlier could get the number of the inherited one.
    let listener = inherited_listener();
    let result = match Arguments::parse().command {
        Command::Serve(arguments) => {
            listener.map_err(CommandError::from).and_then(|listener| serve(&arguments, listener))
        }
        Command::Check { files } => {
            return if check::run(&files) { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Command::Ctl(arguments) => ctl::run(&arguments).map_err(CommandError::from),
        Command::Schema => print(&format!("{:#}\n", Config::schema())),
        Command::Completions { shell } => print(&completions(shell)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oakport: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(arguments: &ServeArguments, listener: Option<TcpListener>) -> Result<(), CommandError> {
    let config = Config::read(arguments.config.as_deref())?;
    let rate_limit = logs::start(arguments.log_format, arguments.log_level)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(CommandError::Runtime)?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let process = Process::open(config, listener).await?;
        tokio::select! {
            ended = process.serve() => ended.map_err(CommandError::from),
            () = rate_limit.report_suppressed() => Ok(()),
        }
    })
}

fn completions(shell: Shell) -> String {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Arguments::command(), "oakport", &mut script);
    String::from_utf8_lossy(&script).into_owned()
}

/// Prints to standard output. A broken pipe is no error: a reader such as `head` may close it early.
fn print(text: &str) -> Result<(), CommandError> {
    match io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(CommandError::Output(error)),
        _ => Ok(()),
    }
}
