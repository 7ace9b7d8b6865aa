//! Errors that end the adapter.

use oakport_core::settings_wire::InvalidSettings;
use std::io;
use thiserror::Error;

/// Error while handling a batch. The adapter prints it and exits.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("failed to read standard input: {0}")]
    UnreadableInput(#[source] io::Error),
    /// The line is not a valid batch.
    #[error("invalid batch: {0}")]
    InvalidBatch(#[source] serde_json::Error),
    /// The reply cannot be serialized as JSON.
    #[error("failed to serialize reply: {0}")]
    InvalidReply(#[source] serde_json::Error),
    /// An input lacks a field that its verb requires.
    #[error("{verb}: missing field {field}")]
    MissingField {
        /// The verb of the input.
        verb: String,
        /// The name of the field on the wire.
        field: &'static str,
    },
    /// The settings of a new instance are invalid.
    #[error("CREATE with invalid facts: {0}")]
    InvalidSettings(#[from] InvalidSettings),
    /// No instance has this number.
    #[error("{verb} for unknown proxy {proxy}")]
    UnknownProxy {
        /// The verb of the input.
        verb: String,
        /// The number of the instance on the wire.
        proxy: i64,
    },
    /// The kind of a list update is unknown.
    #[error("MEMBERS with unknown scope {0}")]
    UnknownListKind(i64),
    /// No endpoint list has this id.
    #[error("MEMBERS with unknown roster_id {0}")]
    UnknownList(i64),
    /// The state of an endpoint is unknown.
    #[error("host {endpoint} with unknown state {state}")]
    UnknownEndpointState {
        /// The endpoint's id.
        endpoint: u32,
        /// Its state on the wire.
        state: u32,
    },
    /// The verb of an input is unknown.
    #[error("unknown verb {0}")]
    UnknownVerb(String),
}
