//! The endpoint list that a process leaves for its successor, and whether that is there.

use super::directory::shared_directory;
use super::lock::ProcessLocks;
use crate::endpoint_list::EndpointList;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tracing::warn;

/// The endpoint list as a process last had it.
pub(super) const LIST_FILE: &str = "oakport-list.json";
/// A larger file is ignored.
const MAX_LIST_FILE_BYTES: u64 = 4 << 20;

/// The content of the file.
#[derive(Serialize, Deserialize)]
struct HandoverFile {
    discovery: SocketAddr,
    list: EndpointList,
}

/// The directory that two processes of one proxy share.
#[derive(Debug)]
pub struct HandoverDirectory {
    pub(super) path: PathBuf,
    locks: ProcessLocks,
}

impl HandoverDirectory {
    /// In `$TMPDIR`, if it is set.
    pub fn open() -> Option<Self> {
        shared_directory().map(HandoverDirectory::at)
    }

    pub(super) fn at(path: PathBuf) -> Self {
        HandoverDirectory { locks: ProcessLocks::new(path.clone()), path }
    }

    /// See [`ProcessLocks::is_alone`].
    pub fn is_alone(&mut self) -> bool {
        self.locks.is_alone()
    }

    /// See [`ProcessLocks::has_successor`].
    pub fn has_successor(&self) -> bool {
        self.locks.has_successor()
    }

    /// Leaves the list for the process that starts next. A reader finds the old file or the new one, never a part.
    /// A failure is logged: the successor then starts from its configured list.
    pub fn write_endpoint_list(&self, discovery: SocketAddr, list: EndpointList) {
        if let Err(error) = self.try_write(&HandoverFile { discovery, list }) {
            warn!(directory = %self.path.display(), reason = %error, "endpoint list not left for the successor");
        }
    }

    fn try_write(&self, file: &HandoverFile) -> io::Result<()> {
        let temporary = self.path.join(format!("{LIST_FILE}.{}", std::process::id()));
        let text = serde_json::to_vec(file)?;
        let written = std::fs::write(&temporary, text)
            .and_then(|()| std::fs::rename(&temporary, self.path.join(LIST_FILE)));
        if written.is_err() {
            let _ = std::fs::remove_file(&temporary);
        }
        written
    }

    /// The list that was left, if it is from this discovery and readable.
    pub fn read_endpoint_list(&self, discovery: SocketAddr) -> Option<EndpointList> {
        let file = read_handover_file(&self.path.join(LIST_FILE))?;
        (file.discovery == discovery).then_some(file.list)
    }
}

fn read_handover_file(path: &Path) -> Option<HandoverFile> {
    let metadata = std::fs::metadata(path).ok()?;
    if !metadata.is_file() || metadata.len() > MAX_LIST_FILE_BYTES {
        return None;
    }
    serde_json::from_slice(&std::fs::read(path).ok()?).ok()
}

/// The newer of the configured list and the one that the predecessor left, both from one discovery.
pub fn newer_list(configured: Option<EndpointList>, left: Option<EndpointList>) -> Option<EndpointList> {
    match (configured, left) {
        (Some(configured), Some(left)) if configured.index >= left.index => Some(configured),
        (configured, left) => left.or(configured),
    }
}
