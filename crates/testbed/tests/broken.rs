//! Each rule detects proxies that break it, and correct proxies break none.

use serde_json::Value;
use std::path::Path;
use std::process::{Command, Output};

/// Runs oakport-testbed in the root of the repository.
fn run_testbed(arguments: &[&str]) -> Output {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    Command::new(env!("CARGO_BIN_EXE_oakport-testbed"))
        .args(arguments)
        .current_dir(root)
        .output()
        .expect("oakport-testbed starts")
}

/// Runs the small scenario; returns the rules that were broken.
fn broken_rules(arguments: &[&str], folder: &Path) -> Vec<String> {
    let json = folder.join(format!("{}.json", arguments.join("")));
    let fixed = ["fleet", "scenarios/fleet/small.toml", "--json", json.to_str().expect("a path")];
    let output = run_testbed(&[&fixed, arguments].concat());
    let errors = String::from_utf8_lossy(&output.stderr);
    let text = std::fs::read_to_string(&json).unwrap_or_else(|e| panic!("{arguments:?}: {e}: {errors}"));
    let report: Value = serde_json::from_str(&text).expect("JSON");
    let rules = report["days"][0]["verdict"]["rules"].as_object().expect("rules").clone();
    assert_eq!(rules.len(), 8, "{rules:?}");
    rules.into_iter().filter(|(_, count)| *count != 0).map(|(rule, _)| rule).collect()
}

#[test]
fn each_faulty_forwarder_breaks_its_rule_and_correct_proxies_break_none() {
    let cases: [(&[&str], &[&str]); 10] = [
        (&["--forwarder"], &[]),
        (&[], &[]),
        (&["--forwarder", "--broken", "answers-twice"], &["one_answer"]),
        (&["--forwarder", "--broken", "loses"], &["one_answer"]),
        (&["--forwarder", "--broken", "repeats"], &["no_unsafe_repeat"]),
        (&["--forwarder", "--broken", "to-drained"], &["drained"]),
        (&["--forwarder", "--broken", "floods-cold"], &["cold"]),
        (&["--forwarder", "--broken", "to-unlisted"], &["listed"]),
        (&["--forwarder", "--broken", "cuts-bodies"], &["answers_of_servers"]),
        (&["--forwarder", "--broken", "ignores-grace"], &["one_answer"]),
    ];
    let folder = tempfile::tempdir().expect("a folder");
    // Five at once: a run waits for its timers most of the time.
    for chunk in cases.chunks(5) {
        std::thread::scope(|scope| {
            let runs: Vec<_> =
                chunk.iter().map(|case| scope.spawn(|| broken_rules(case.0, folder.path()))).collect();
            for ((arguments, rules), run) in chunk.iter().zip(runs) {
                assert_eq!(run.join().expect("a run"), *rules, "{arguments:?}");
            }
        });
    }
}

#[test]
fn invalid_scenarios_and_programs_are_reported_with_place_and_remedy() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("day.toml");
    let valid = std::fs::read_to_string(
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/fleet/small.toml"),
    );
    let valid = valid.expect("the small scenario");
    for (addition, expected) in [
        (
            "[[event]]\nat = \"1s\"\nfor = \"1s\"\nwhat = \"cut\"\n",
            "line 48: event: cut must name two groups",
        ),
        (
            "[[event]]\nat = \"1s\"\nfor = \"1s\"\nwhat = \"cut\"\ncut = [\"zone:york\", \"servers\"]\n",
            "zone:york is no group",
        ),
        ("[[expect]]\nfigure = \"served.worth\"\n", "line 48: expect served.worth: give least, most or both"),
        ("[[event]]\nat = \"soon\"\nfor = \"1s\"\nwhat = \"cut\"\n", "line 49"),
    ] {
        std::fs::write(&path, format!("{valid}\n{addition}")).expect("a file");
        let output = run_testbed(&["fleet", path.to_str().expect("a path")]);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{errors}");
        assert!(errors.contains("day.toml") && errors.contains(expected), "{errors}");
    }
    let output = run_testbed(&["fleet", "scenarios/fleet/small.toml", "--oakport", "nowhere/oakport"]);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{errors}");
    assert!(errors.contains("nowhere/oakport: no such program; build it"), "{errors}");
}
