//! Requirements on the source files of the balancer.

use std::collections::BTreeSet;
use std::path::Path;

#[test]
fn policy_lists_every_balancer_file_and_no_line_exceeds_110_columns() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy =
        std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("cannot read deploy/balancer.toml");
    let policy = deploy
        .lines()
        .find(|line| line.starts_with("policy"))
        .expect("no `policy` line in deploy/balancer.toml");
    let named: BTreeSet<&str> = policy.split('"').skip(1).step_by(2).collect();
    let folder =
        std::fs::read_dir(root.join("crates/core/src/balance")).expect("cannot list crates/core/src/balance");
    let found: Vec<String> = folder
        .map(|file| {
            format!(
                "crates/core/src/balance/{}",
                file.expect("cannot read a directory entry").file_name().to_string_lossy()
            )
        })
        .collect();
    assert_eq!(named, found.iter().map(String::as_str).collect(), "`policy` lists each file of the folder");
    let texts: Vec<String> = named
        .iter()
        .map(|path| std::fs::read_to_string(root.join(path)).expect("cannot read a policy file"))
        .collect();
    let lines = texts.iter().flat_map(|text| text.lines());
    let wide: Vec<&str> = lines.filter(|line| line.chars().count() > 110).collect();
    assert!(wide.is_empty(), "lines of more than 110 columns: {wide:#?}");
}
