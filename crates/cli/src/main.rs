//! The program `oakport`.

mod args;
mod check;
mod ctl;
mod logs;

use args::{Arguments, Command, Serve};
use clap::{CommandFactory, Parser};
use oakport_proxy::{inherited_listener, Config, Process};
use std::io::Write;
use std::net::TcpListener;
use std::process::ExitCode;

fn main() -> ExitCode {
    // First of all: a descriptor that was not inherited must not come to bear its number.
    let listener = inherited_listener().map_err(|fault| fault.to_string());
    let done = match Arguments::parse().command {
        Command::Serve(arguments) => listener.and_then(|listener| serve(&arguments, listener)),
        Command::Check { files } => {
            return if check::run(&files) { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Command::Ctl(ctl) => ctl::run(&ctl),
        Command::Schema => print(&format!("{:#}\n", Config::schema())),
        Command::Completions { shell } => {
            let mut text = Vec::new();
            clap_complete::generate(shell, &mut Arguments::command(), "oakport", &mut text);
            print(&String::from_utf8_lossy(&text))
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("oakport: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn serve(arguments: &Serve, listener: Option<TcpListener>) -> Result<(), String> {
    let config = Config::read(arguments.config.as_deref()).map_err(|faults| faults.to_string())?;
    let bounds = logs::start(arguments.log_format, arguments.log_level)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let server = Process::open(config, listener).await.map_err(|fault| fault.to_string())?;
        tokio::select! {
            done = server.serve() => done.map_err(|fault| fault.to_string()),
            () = bounds.tell() => Ok(()),
        }
    })
}

/// Prints to a reader that may have gone, such as `head`.
fn print(text: &str) -> Result<(), String> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(e) if e.kind() != std::io::ErrorKind::BrokenPipe => Err(format!("writing: {e}")),
        _ => Ok(()),
    }
}
