//! `oakport check`: reads configuration files as `serve` does, and prints a summary of each or its errors.

mod summary;

use oakport_proxy::{Checked, Config, DiagnosticCounts, Diagnostics};
use std::io::IsTerminal;
use std::path::{Path, PathBuf};

/// Checks each file. Returns whether all are valid.
pub fn run(files: &[PathBuf]) -> bool {
    let mut all_valid = true;
    for file in files {
        let Checked { config, diagnostics } = Config::check(file);
        match config {
            Some(config) => print_summary(file, &config, &diagnostics),
            None => {
                print_errors(file, &diagnostics);
                all_valid = false;
            }
        }
    }
    all_valid
}

fn print_summary(file: &Path, config: &Config, diagnostics: &Diagnostics) {
    print!("{}", summary::summary(file, config));
    let keys: Vec<String> = diagnostics.keys_without_effect().collect();
    if !keys.is_empty() {
        println!("  ignored keys      {}", keys.join(", "));
    }
}

fn print_errors(file: &Path, diagnostics: &Diagnostics) {
    eprint!("{}", diagnostics.render(std::io::stderr().is_terminal()));
    let DiagnosticCounts { errors, .. } = diagnostics.count();
    let plural = if errors == 1 { "" } else { "s" };
    eprintln!("{}: {errors} error{plural}", file.display());
}
