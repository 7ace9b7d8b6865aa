//! Connects balancers to the operators' simulator: reads JSON batches from standard input and writes JSON
//! replies to standard output, one per line. All decisions are made by the balancers.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod adapter;
mod call_names;
mod error;
mod instance;
mod wire;

use adapter::Adapter;
use error::AdapterError;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut adapter = Adapter::default();
    let mut output = io::stdout().lock();
    for (index, line) in io::stdin().lock().lines().enumerate() {
        let reply = line.map_err(AdapterError::UnreadableInput).and_then(|line| adapter.handle_batch(&line));
        match reply {
            Ok(reply) => {
                if writeln!(output, "{reply}").and_then(|()| output.flush()).is_err() {
                    return ExitCode::FAILURE;
                }
            }
            Err(error) => {
                eprintln!("oakport-adapter: line {}: {error}", index + 1);
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
