//! Errors of the program's commands.

use crate::ctl::CtlError;
use crate::logs::InvalidLogFilter;
use oakport_proxy::{Diagnostics, InheritedListenerError, ServeError, StartError};
use std::io;
use thiserror::Error;

/// Why a command failed. The message is printed to standard error.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The configuration has errors.
    #[error(transparent)]
    Configuration(#[from] Diagnostics),
    /// `$OAKPORT_LOG` is not a valid filter.
    #[error(transparent)]
    LogFilter(#[from] InvalidLogFilter),
    /// The asynchronous runtime could not be started.
    #[error("asynchronous runtime could not be started: {0}")]
    Runtime(#[source] io::Error),
    /// The inherited listener cannot be used.
    #[error(transparent)]
    InheritedListener(#[from] InheritedListenerError),
    /// The proxy process could not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The proxy process failed while it served.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// `oakport ctl` failed.
    #[error(transparent)]
    Ctl(#[from] CtlError),
    /// Standard output could not be written.
    #[error("standard output could not be written: {0}")]
    Output(#[source] io::Error),
}
