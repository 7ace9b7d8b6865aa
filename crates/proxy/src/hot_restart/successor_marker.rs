//! The marker by which a successor says that it waits for the membership address.

use super::directory::shared_directory;
use std::path::PathBuf;

/// Left by a process that waits to take over an address from its predecessor.
const MARKER_FILE: &str = "oakport-peers.heir";

/// Whether another process of this proxy waits for the membership address.
#[derive(Debug)]
pub struct SuccessorMarker {
    path: Option<PathBuf>,
}

impl SuccessorMarker {
    /// In `$TMPDIR`, if it is set; else nobody can wait.
    pub fn open() -> Self {
        SuccessorMarker { path: shared_directory().map(|directory| directory.join(MARKER_FILE)) }
    }

    /// This process waits, or does so no longer.
    pub fn set_waiting(&self, is_waiting: bool) {
        let Some(path) = &self.path else { return };
        // If this fails, the predecessor announces that it leaves, and this process becomes a new member soon after.
        let _ = if is_waiting { std::fs::write(path, []) } else { std::fs::remove_file(path) };
    }

    /// Does another process wait?
    pub fn is_waiting(&self) -> bool {
        self.path.as_ref().is_some_and(|path| path.exists())
    }
}
