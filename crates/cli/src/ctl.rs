//! `oakport ctl`: queries the admin endpoint of a running process.

mod client;
mod tables;

use crate::args::{CtlArguments, CtlCommand};
pub use client::CtlError;
use oakport_proxy::MetricsReport;
use std::io::{self, IsTerminal, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tables::{membership_table, metrics_table, Earlier};

/// Clears a terminal and moves its cursor to the top.
const CLEAR_SCREEN: &str = "\x1b[H\x1b[2J";

/// A report with the time at which it was received.
struct TimedReport {
    report: MetricsReport,
    received_at: Instant,
}

/// Queries the process and prints its answer.
///
/// # Errors
/// If there is no valid answer, or the process answers that it does not accept clients.
pub fn run(arguments: &CtlArguments) -> Result<(), CtlError> {
    let address = arguments.address;
    match arguments.command {
        CtlCommand::Health => health(address),
        CtlCommand::Dump { json: true } => {
            println!("{}", client::metrics_json(address)?);
            Ok(())
        }
        CtlCommand::Dump { json: false } => {
            print!("{}", metrics_table(&client::metrics(address)?, None));
            Ok(())
        }
        CtlCommand::Peers { json } => peers(address, json),
        CtlCommand::Watch { every, count } => watch(address, every, count),
    }
}

fn health(address: SocketAddr) -> Result<(), CtlError> {
    let answer = client::query(address, "HEALTH")?;
    print!("{answer}");
    if answer.starts_with("YES") {
        Ok(())
    } else {
        Err(CtlError::NotAccepting(address))
    }
}

fn peers(address: SocketAddr, json: bool) -> Result<(), CtlError> {
    let membership = client::metrics(address)?.membership.ok_or(CtlError::NoMembership(address))?;
    if json {
        println!("{}", serde_json::to_string(&membership)?);
    } else {
        print!("{}", membership_table(&membership));
    }
    Ok(())
}

/// Prints the metrics and their rates, `count` times or until the program is terminated.
fn watch(address: SocketAddr, every: Duration, count: Option<u64>) -> Result<(), CtlError> {
    let clear = if io::stdout().is_terminal() { CLEAR_SCREEN } else { "" };
    let interval = humantime::format_duration(every);
    let mut last: Option<TimedReport> = None;
    let mut printed = 0;
    while count.is_none_or(|count| printed < count) {
        if printed > 0 {
            std::thread::sleep(every);
        }
        printed += 1;
        let report = client::metrics(address)?;
        let received_at = Instant::now();
        let earlier = last.as_ref().map(|last| Earlier {
            report: &last.report,
            elapsed: received_at.duration_since(last.received_at),
        });
        let table = metrics_table(&report, earlier);
        let mut out = io::stdout().lock();
        if writeln!(out, "{clear}{address}, every {interval}\n{table}").and_then(|()| out.flush()).is_err() {
            // The reader of standard output has closed it.
            return Ok(());
        }
        last = Some(TimedReport { report, received_at });
    }
    Ok(())
}
