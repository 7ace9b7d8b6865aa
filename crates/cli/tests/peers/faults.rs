//! A library that changes how system calls of a process under test behave.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Builds the library that makes system calls fail. It is loaded into the process under test only.
pub fn fault_library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fault_library/faults.c");
        let library =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("faults-{}.so", std::process::id()));
        let status =
            Command::new("cc").args(["-shared", "-fPIC", "-O1", "-o"]).arg(&library).arg(source).status();
        assert!(status.expect("a C compiler").success());
        library
    })
}
