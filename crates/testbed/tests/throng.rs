//! Cold servers before thirty processes that know nothing of each other: what all send them together stays within
//! what they bear, and proxies that do not care are caught. States and counts only: a busy machine changes no verdict.

use serde_json::Value;
use std::path::Path;
use std::process::Command;

/// Plays the short day; its verdict.
fn play(arguments: &[&str], folder: &Path) -> Value {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let json = folder.join(format!("{}.json", arguments.len()));
    let mut lab = Command::new(env!("CARGO_BIN_EXE_oakport-testbed"));
    lab.args(["fleet", "scenarios/fleet/throng-small.toml", "--json"]).arg(&json).args(arguments);
    let output = lab.current_dir(root).output().expect("it starts");
    let errors = String::from_utf8_lossy(&output.stderr);
    let text = std::fs::read_to_string(&json).unwrap_or_else(|e| panic!("{arguments:?}: {e}: {errors}"));
    let found: Value = serde_json::from_str(&text).expect("JSON");
    found["days"][0]["verdict"].clone()
}

#[test]
fn thirty_processes_push_no_cold_server_over_and_a_random_pick_is_caught() {
    let oakport = Path::new(env!("CARGO_BIN_EXE_oakport-testbed")).with_file_name("oakport");
    assert!(oakport.is_file(), "it is built with the workspace");
    let folder = tempfile::tempdir().expect("a folder");
    let verdict = play(&[], folder.path());
    let figure = |name: &str| verdict["figures"][name].as_f64().expect("a figure");
    // Two come back cold and two are new; not all need have got something by the end.
    assert!(figure("cold.servers") >= 2.0, "{verdict:#}");
    let most = figure("cold.most_share_of_bound");
    assert!(most > 0.0 && most <= 1.0, "{most}");
    for rule in ["cold", "no_crash", "no_unsafe_repeat", "answers_of_servers", "listed"] {
        assert_eq!(verdict["rules"][rule], 0, "{rule}: {:#}", verdict["stories"]);
    }

    let broken = play(&["--forwarder", "--broken", "ignores-cold"], folder.path());
    assert_ne!(broken["rules"]["cold"], 0, "{broken:#}");
    assert!(broken["figures"]["cold.most_share_of_bound"].as_f64().is_some_and(|most| most > 1.0));
}
