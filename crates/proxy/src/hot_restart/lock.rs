//! The two lock files by which the processes of one proxy know of each other. A lock ends with its process, however
//! that ends.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::path::PathBuf;

/// Held by the process that serves.
const SERVING_LOCK_FILE: &str = "oakport.lock";
/// Held by its successor, until that serves alone.
const SUCCESSOR_LOCK_FILE: &str = "oakport-next.lock";

/// The locks of this process in a directory that it shares with its predecessor and its successor.
#[derive(Debug)]
pub struct ProcessLocks {
    directory: PathBuf,
    serving: Option<File>,
    successor: Option<File>,
}

impl ProcessLocks {
    /// No lock is held yet.
    pub fn new(directory: PathBuf) -> Self {
        ProcessLocks { directory, serving: None, successor: None }
    }

    /// Is this the only process that serves? Once it is, it stays so until its successor starts. Takes the successor's
    /// lock while it is not.
    pub fn is_alone(&mut self) -> bool {
        if self.serving.is_some() {
            return true;
        }
        // Without a file nothing shows another process: then there is none to leave capacity to.
        let Ok(file) = self.open(SERVING_LOCK_FILE) else { return true };
        if file.try_lock().is_ok() {
            self.serving = Some(file);
            self.successor = None;
            return true;
        }
        if self.successor.is_none() {
            let file = self.open(SUCCESSOR_LOCK_FILE);
            self.successor = file.ok().filter(|file| file.try_lock().is_ok());
        }
        false
    }

    /// Does a successor run?
    pub fn has_successor(&self) -> bool {
        let Ok(file) = self.open(SUCCESSOR_LOCK_FILE) else { return false };
        matches!(file.try_lock(), Err(TryLockError::WouldBlock))
    }

    fn open(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().write(true).create(true).truncate(false).open(self.directory.join(name))
    }
}
