//! The directory shared by the processes of one proxy.

use std::path::PathBuf;

/// `$TMPDIR`, if it is set.
pub fn shared_directory() -> Option<PathBuf> {
    let directory = std::env::var_os("TMPDIR").filter(|directory| !directory.is_empty());
    directory.map(PathBuf::from)
}
