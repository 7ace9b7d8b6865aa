//! Limits that the users set for the source itself.

use std::collections::BTreeSet;
use std::path::Path;

#[test]
fn policy_names_every_decision_file_and_none_is_wider_than_110_columns() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let policy = deploy.lines().find(|line| line.starts_with("policy")).expect("its policy");
    let named: BTreeSet<&str> = policy.split('"').skip(1).step_by(2).collect();
    let folder = std::fs::read_dir(root.join("crates/core/src/balance")).expect("the decision folder");
    let found: Vec<String> = folder
        .map(|file| {
            format!("crates/core/src/balance/{}", file.expect("a file").file_name().to_string_lossy())
        })
        .collect();
    assert_eq!(named, found.iter().map(String::as_str).collect(), "policy names each decision file");
    let texts: Vec<String> =
        named.iter().map(|path| std::fs::read_to_string(root.join(path)).expect("a file")).collect();
    let lines = texts.iter().flat_map(|text| text.lines());
    let wide: Vec<&str> = lines.filter(|line| line.chars().count() > 110).collect();
    assert!(wide.is_empty(), "{wide:#?}");
}
