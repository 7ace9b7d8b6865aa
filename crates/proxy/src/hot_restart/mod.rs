//! Hot restart: the listener that the platform holds for two processes, and the handover of the endpoint list
//! and of responses to the successor.

mod directory;
mod handover;
mod listener;
mod lock;
mod request_ids;
mod response_handover;
mod successor_marker;
#[cfg(test)]
mod tests;

pub use handover::{newer_list, HandoverDirectory};
pub use listener::{bind_when_free, inherited_listener, InheritedListenerError};
pub use lock::OtherProcess;
#[cfg(test)]
pub use request_ids::REQUEST_IDS_FILE;
pub use request_ids::{SharedRequestIds, REQUEST_IDS_FILE_KIB};
pub use response_handover::{
    HandoverError, HandoverListener, PredecessorConnection, SuccessorAddress, SuccessorConnection,
};
pub use successor_marker::SuccessorMarker;
