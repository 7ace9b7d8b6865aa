//! Thirty processes that do not know of each other call cold servers: their total load stays within the bound
//! of each cold server, and proxies that ignore warm-up are detected. Only states and counts are checked, so
//! a busy machine does not change the verdict.

use serde_json::Value;
use std::path::Path;
use std::process::Command;

/// Runs the short scenario; returns its verdict.
fn run_scenario(arguments: &[&str], folder: &Path) -> Value {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let json = folder.join(format!("{}.json", arguments.len()));
    let mut testbed = Command::new(env!("CARGO_BIN_EXE_oakport-testbed"));
    testbed.args(["fleet", "scenarios/fleet/throng-small.toml", "--json"]).arg(&json).args(arguments);
    let output = testbed.current_dir(root).output().expect("oakport-testbed starts");
    let errors = String::from_utf8_lossy(&output.stderr);
    let text = std::fs::read_to_string(&json).unwrap_or_else(|e| panic!("{arguments:?}: {e}: {errors}"));
    let report: Value = serde_json::from_str(&text).expect("JSON");
    report["days"][0]["verdict"].clone()
}

#[test]
fn thirty_processes_overload_no_cold_server_and_random_choice_is_detected() {
    let oakport = Path::new(env!("CARGO_BIN_EXE_oakport-testbed")).with_file_name("oakport");
    assert!(oakport.is_file(), "oakport is built with the workspace");
    let folder = tempfile::tempdir().expect("a folder");
    let verdict = run_scenario(&[], folder.path());
    let figure = |name: &str| verdict["figures"][name].as_f64().expect("a figure");
    // Two servers return cold and two are new; not all of them must have received calls by the end.
    assert!(figure("cold.servers") >= 2.0, "{verdict:#}");
    let max_share = figure("cold.most_share_of_bound");
    assert!(max_share > 0.0 && max_share <= 1.0, "{max_share}");
    for rule in ["cold", "no_crash", "no_unsafe_repeat", "answers_of_servers", "listed"] {
        assert_eq!(verdict["rules"][rule], 0, "{rule}: {:#}", verdict["stories"]);
    }

    let broken = run_scenario(&["--forwarder", "--broken", "ignores-cold"], folder.path());
    assert_ne!(broken["rules"]["cold"], 0, "{broken:#}");
    assert!(broken["figures"]["cold.most_share_of_bound"].as_f64().is_some_and(|max_share| max_share > 1.0));
}
