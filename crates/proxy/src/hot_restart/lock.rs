//! Two lock files by which the processes of one proxy detect each other, each with the id of the process that
//! holds it. The system releases a lock when its process ends, also after a crash or a kill.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;

/// Held by the process that serves.
const SERVING_LOCK_FILE: &str = "oakport.lock";
/// Held by the successor until its predecessor has ended.
const SUCCESSOR_LOCK_FILE: &str = "oakport-next.lock";

/// Another process of the same proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OtherProcess {
    /// `None` if the process has not written it.
    pub id: Option<u32>,
    /// The memory that the process may use until it writes this again. `None` if it has not written it.
    pub memory_limit_kib: Option<usize>,
}

/// The locks of this process in a directory that it shares with its predecessor and its successor.
#[derive(Debug)]
pub struct ProcessLocks {
    directory: PathBuf,
    serving: Option<File>,
    successor: Option<File>,
}

impl ProcessLocks {
    /// Initially, no lock is held.
    pub fn new(directory: PathBuf) -> Self {
        ProcessLocks { directory, serving: None, successor: None }
    }

    /// Whether no predecessor is serving any more. Acquires the serving lock if it is free, otherwise the
    /// successor's lock. Once acquired, the serving lock is held until this process ends.
    pub fn is_alone(&mut self) -> bool {
        if self.serving.is_some() {
            return true;
        }
        // Without the file another process cannot be detected, so no capacity is left for one.
        let Ok(file) = self.open(SERVING_LOCK_FILE) else { return true };
        if file.try_lock().is_ok() {
            write_process_id(&file);
            self.serving = Some(file);
            self.successor = None;
            return true;
        }
        if self.successor.is_none() {
            let file = self.open(SUCCESSOR_LOCK_FILE);
            self.successor = file.ok().filter(|file| file.try_lock().is_ok());
            self.successor.iter().for_each(write_process_id);
        }
        false
    }

    /// The other process that runs. `None` if there is none.
    pub fn other_process(&mut self) -> Option<OtherProcess> {
        let file = match self.is_alone() {
            false => SERVING_LOCK_FILE,
            true if self.has_successor() => SUCCESSOR_LOCK_FILE,
            true => return None,
        };
        let text = std::fs::read_to_string(self.directory.join(file)).unwrap_or_default();
        let mut words = text.split_whitespace();
        let id = words.next().and_then(|id| id.parse().ok());
        let memory_limit_kib = words.next().and_then(|limit| limit.parse().ok());
        Some(OtherProcess { id, memory_limit_kib })
    }

    /// Writes how much memory this process may use, for the other one. If that fails, the other process measures it.
    pub fn write_memory_limit(&self, limit_kib: usize) {
        if let Some(file) = self.serving.as_ref().or(self.successor.as_ref()) {
            // One write in place: a reader finds the old text or the new one.
            let text = lock_text(Some(limit_kib));
            let _ = file.write_all_at(text.as_bytes(), 0);
        }
    }

    /// Whether a successor is running.
    pub fn has_successor(&self) -> bool {
        let Ok(file) = self.open(SUCCESSOR_LOCK_FILE) else { return false };
        matches!(file.try_lock(), Err(TryLockError::WouldBlock))
    }

    fn open(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().write(true).create(true).truncate(false).open(self.directory.join(name))
    }
}

/// Writes the id of this process to a lock file that it holds. If that fails, each process takes half of the
/// memory.
fn write_process_id(file: &File) {
    let _ = file.set_len(0).and_then(|()| file.write_all_at(lock_text(None).as_bytes(), 0));
}

/// The content of a lock file, always of the same length.
fn lock_text(memory_limit_kib: Option<usize>) -> String {
    let limit = memory_limit_kib.map(|limit_kib| limit_kib.to_string()).unwrap_or_default();
    format!("{:<10} {limit:<10}", std::process::id())
}
