//! Why a command of the program failed.

use crate::ctl::CtlError;
use crate::logs::InvalidLogFilter;
use oakport_proxy::Diagnostics;
use std::io;
use thiserror::Error;

/// Why a command failed, as standard error shows it.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The configuration has errors.
    #[error(transparent)]
    Configuration(#[from] Diagnostics),
    /// `$OAKPORT_LOG` is not a filter.
    #[error(transparent)]
    LogFilter(#[from] InvalidLogFilter),
    /// The asynchronous runtime could not be started.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The proxy process could not start, or had to end.
    #[error("{0}")]
    Process(String),
    /// `oakport ctl` failed.
    #[error(transparent)]
    Ctl(#[from] CtlError),
    /// Standard output could not be written.
    #[error("writing: {0}")]
    Output(#[source] io::Error),
}
