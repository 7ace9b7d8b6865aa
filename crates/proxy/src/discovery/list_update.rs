//! Checks whether a received list may be applied to the list in force.

use crate::endpoint_list::EndpointList;
use std::collections::HashSet;
use thiserror::Error;

/// Why a list that was parsed is rejected.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum InvalidEndpointList {
    /// The version is older than the one in force: the service has restarted and numbers its versions from the
    /// beginning.
    #[error("version {received} after {current}")]
    VersionWentBack {
        /// Version of the list received.
        received: u64,
        /// Version of the list in force.
        current: u64,
    },
    /// A delta was received in answer to a request for a snapshot.
    #[error("a delta where a snapshot was requested")]
    DeltaForSnapshot,
    /// A snapshot lists an endpoint more than once.
    #[error("{0} listed twice")]
    DuplicateEndpoint(String),
}

/// Checks a list against the version in force, if there is one.
///
/// # Errors
/// The first rule that the list violates.
pub fn validate(list: &EndpointList, current: Option<u64>) -> Result<(), InvalidEndpointList> {
    match current {
        Some(current) if list.index < current => {
            return Err(InvalidEndpointList::VersionWentBack { received: list.index, current });
        }
        None if !list.snapshot => return Err(InvalidEndpointList::DeltaForSnapshot),
        _ => {}
    }
    if !list.snapshot {
        // A delta may list an endpoint several times; its last entry applies.
        return Ok(());
    }
    let mut names = HashSet::with_capacity(list.endpoints.len());
    match list.endpoints.iter().find(|endpoint| !names.insert(endpoint.name.as_str())) {
        Some(duplicate) => Err(InvalidEndpointList::DuplicateEndpoint(duplicate.name.clone())),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests;
