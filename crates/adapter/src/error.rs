//! Why a batch cannot be handled.

use oakport_core::settings_wire::InvalidSettings;
use std::io;
use thiserror::Error;

/// Why a batch cannot be handled. The adapter reports it and ends.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("unreadable: {0}")]
    UnreadableInput(#[source] io::Error),
    /// The line is not a batch.
    #[error("not a batch: {0}")]
    InvalidBatch(#[source] serde_json::Error),
    /// The reply cannot be written as JSON.
    #[error("no reply: {0}")]
    InvalidReply(#[source] serde_json::Error),
    /// An input lacks a field that its verb needs.
    #[error("{verb} without {field}")]
    MissingField {
        /// The verb of the input.
        verb: String,
        /// The field as the wire names it.
        field: &'static str,
    },
    /// The settings of a new instance are invalid.
    #[error("facts: {0}")]
    InvalidSettings(#[from] InvalidSettings),
    /// No instance has this number.
    #[error("{verb} for unknown proxy {proxy}")]
    UnknownProxy {
        /// The verb of the input.
        verb: String,
        /// The number that the wire gives the instance.
        proxy: i64,
    },
    /// A list update is of an unknown kind.
    #[error("MEMBERS with unknown scope {0}")]
    UnknownListKind(i64),
    /// No endpoint list has this number.
    #[error("MEMBERS of unknown list {0}")]
    UnknownList(i64),
    /// An endpoint is in an unknown state.
    #[error("host {endpoint} in unknown state {state}")]
    UnknownEndpointState {
        /// The endpoint's number.
        endpoint: u32,
        /// Its state on the wire.
        state: u32,
    },
    /// No such verb is known.
    #[error("unknown verb {0}")]
    UnknownVerb(String),
}
