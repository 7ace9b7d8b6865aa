//! The endpoint list that a process writes for its successor, and whether a successor runs.

use super::directory::shared_directory;
use super::lock::{OtherProcess, ProcessLocks};
use super::request_ids::SharedRequestIds;
use crate::endpoint_list::EndpointList;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tracing::warn;

/// The latest endpoint list of a process.
pub(super) const LIST_FILE: &str = "oakport-list.json";
/// A larger file is ignored.
const MAX_LIST_FILE_BYTES: u64 = 4 << 20;

/// The content of [`LIST_FILE`].
#[derive(Serialize, Deserialize)]
struct HandoverFile {
    discovery: SocketAddr,
    list: EndpointList,
}

/// The directory shared by a process, its predecessor and its successor.
#[derive(Debug)]
pub struct HandoverDirectory {
    pub(super) path: PathBuf,
    locks: ProcessLocks,
}

impl HandoverDirectory {
    /// Uses `$TMPDIR`. `None` if it is not set.
    pub fn open() -> Option<Self> {
        shared_directory().map(HandoverDirectory::at)
    }

    pub(super) fn at(path: PathBuf) -> Self {
        HandoverDirectory { locks: ProcessLocks::new(path.clone()), path }
    }

    /// Opens the file by which the two processes know the ids of each other's requests. A failure is logged: each
    /// process then knows only its own.
    pub fn open_request_ids(&self) -> Option<SharedRequestIds> {
        let opened = SharedRequestIds::open(&self.path);
        if let Err(error) = &opened {
            warn!(
                directory = %self.path.display(),
                reason = %error,
                "request ids not shared with the other process"
            );
        }
        opened.ok()
    }

    /// See [`ProcessLocks::is_alone`].
    pub fn is_alone(&mut self) -> bool {
        self.locks.is_alone()
    }

    /// See [`ProcessLocks::other_process`].
    pub fn other_process(&mut self) -> Option<OtherProcess> {
        self.locks.other_process()
    }

    /// See [`ProcessLocks::write_memory_limit`].
    pub fn write_memory_limit(&self, limit_kib: usize) {
        self.locks.write_memory_limit(limit_kib);
    }

    /// See [`ProcessLocks::has_successor`].
    pub fn has_successor(&self) -> bool {
        self.locks.has_successor()
    }

    /// Writes the list for the successor, atomically: a reader finds the old file or the new one, never a
    /// partial one. A failure is logged: the successor then starts from its configured list.
    pub fn write_endpoint_list(&self, discovery: SocketAddr, list: EndpointList) {
        if let Err(error) = self.try_write(&HandoverFile { discovery, list }) {
            warn!(
                directory = %self.path.display(),
                reason = %error,
                "endpoint list not written for the successor"
            );
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

    /// Reads the predecessor's list. `None` if it is from another discovery or cannot be read.
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

/// The newer of the configured list and the predecessor's list, which must be from the same discovery.
pub fn newer_list(
    configured: Option<EndpointList>,
    predecessor: Option<EndpointList>,
) -> Option<EndpointList> {
    match (configured, predecessor) {
        (Some(configured), Some(predecessor)) if configured.index >= predecessor.index => Some(configured),
        (configured, predecessor) => predecessor.or(configured),
    }
}
