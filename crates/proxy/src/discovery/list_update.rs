//! Whether a list that discovery sent may follow on the one in force.

use crate::endpoint_list::EndpointList;
use std::collections::HashSet;
use thiserror::Error;

/// Why a list that can be read is not taken.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum InvalidEndpointList {
    /// The service has started anew and counts its versions from the beginning.
    #[error("version {received} after {current}")]
    VersionWentBack {
        /// Version of the list received.
        received: u64,
        /// Version of the list in force.
        current: u64,
    },
    /// A snapshot was requested and a delta came.
    #[error("a delta where a snapshot was requested")]
    DeltaForSnapshot,
    /// A snapshot names an endpoint more than once.
    #[error("{0} listed twice")]
    DuplicateEndpoint(String),
}

/// Checks a list against the version in force, if there is one.
///
/// # Errors
/// The first rule that the list breaks.
pub fn validate(list: &EndpointList, current: Option<u64>) -> Result<(), InvalidEndpointList> {
    match current {
        Some(current) if list.index < current => {
            return Err(InvalidEndpointList::VersionWentBack { received: list.index, current });
        }
        None if !list.snapshot => return Err(InvalidEndpointList::DeltaForSnapshot),
        _ => {}
    }
    if !list.snapshot {
        // A delta may name an endpoint several times: the last entry holds.
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
