//! The marker file by which a successor signals that it waits for the membership address.

use super::directory::shared_directory;
use std::path::PathBuf;

/// Exists while a process waits for its predecessor to release the membership address.
const MARKER_FILE: &str = "oakport-peers.heir";

/// Signals whether another process of this proxy waits for the membership address.
#[derive(Debug)]
pub struct SuccessorMarker {
    path: Option<PathBuf>,
}

impl SuccessorMarker {
    /// Uses `$TMPDIR`. If it is not set, no process ever counts as waiting.
    pub fn open() -> Self {
        SuccessorMarker { path: shared_directory().map(|directory| directory.join(MARKER_FILE)) }
    }

    /// Signals that this process waits, or no longer does.
    pub fn set_waiting(&self, is_waiting: bool) {
        let Some(path) = &self.path else { return };
        // If this fails, the predecessor announces that it leaves, and this process joins as a new member
        // soon after.
        let _ = if is_waiting { std::fs::write(path, []) } else { std::fs::remove_file(path) };
    }

    /// Whether another process waits.
    pub fn is_waiting(&self) -> bool {
        self.path.as_ref().is_some_and(|path| path.exists())
    }
}
