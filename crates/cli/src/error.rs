//! Why a command of the program failed.

use crate::ctl::CtlError;
use crate::logs::InvalidLogFilter;
use oakport_proxy::{Diagnostics, InheritedListenerError, ServeError, StartError};
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
    /// The inherited listener cannot be used.
    #[error(transparent)]
    InheritedListener(#[from] InheritedListenerError),
    /// The proxy process could not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The proxy process had to end.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// `oakport ctl` failed.
    #[error(transparent)]
    Ctl(#[from] CtlError),
    /// Standard output could not be written.
    #[error("writing: {0}")]
    Output(#[source] io::Error),
}
