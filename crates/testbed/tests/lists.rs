//! Polling of one discovery service by all proxies: the calls are counted during an outage, and all are
//! answered after it.

use serde_json::Value;
use std::path::Path;
use std::process::Command;

#[test]
fn a_silent_service_is_polled_at_the_set_interval_and_answers_all_after_its_return() {
    let oakport = Path::new(env!("CARGO_BIN_EXE_oakport-testbed")).with_file_name("oakport");
    assert!(oakport.is_file(), "oakport is built with the workspace");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let folder = tempfile::tempdir().expect("a folder");
    let json = folder.path().join("day.json");
    let mut testbed = Command::new(env!("CARGO_BIN_EXE_oakport-testbed"));
    testbed.args(["fleet", "scenarios/fleet/list-asked-small.toml", "--json"]).arg(&json).current_dir(root);
    let output = testbed.output().expect("oakport-testbed starts");
    let text = std::fs::read_to_string(&json).unwrap_or_else(|e| panic!("{e}: {output:?}"));
    let report: Value = serde_json::from_str(&text).expect("JSON");
    let verdict = &report["days"][0]["verdict"];
    let figure = |name: &str| verdict["figures"][name].as_f64().expect("a figure");
    println!("{:#}", verdict["figures"]);
    // In the four seconds that are counted, each of six proxies polls every 2 s to 3.5 s.
    let calls = figure("list.failing_calls_per_s") * 4.0;
    assert!((6.0..=18.0).contains(&calls), "{calls} calls");
    assert_eq!(figure("list.never_answered"), 0.0);
    assert!(figure("list.answered_most_s") <= 6.0, "{verdict:#}");
    assert_eq!(verdict["rules"]["no_crash"], 0);
}
