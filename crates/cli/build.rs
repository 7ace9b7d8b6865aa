//! Sets `OAKPORT_VERSION`, which `--version` prints, to the package version and the git commit.

use std::path::Path;
use std::process::Command;

fn git(arguments: &[&str]) -> Option<String> {
    let output = Command::new("git").args(arguments).output().ok().filter(|o| o.status.success())?;
    Some(String::from_utf8_lossy(&output.stdout).trim().to_owned()).filter(|text| !text.is_empty())
}

fn main() {
    // Sources outside a git checkout have no commit.
    let commit = git(&["rev-parse", "--short=10", "HEAD"]).unwrap_or_else(|| "commit unknown".to_owned());
    println!("cargo:rustc-env=OAKPORT_VERSION={} ({commit})", env!("CARGO_PKG_VERSION"));
    println!("cargo:rerun-if-changed=build.rs");
    for path in [git(&["rev-parse", "--git-path", "logs/HEAD"])].into_iter().flatten() {
        if Path::new(&path).exists() {
            println!("cargo:rerun-if-changed={path}");
        }
    }
}
