//! Membership of real processes with faults between them.

use std::path::Path;
use std::process::Command;

#[test]
fn six_members_know_each_other_through_deaths_upgrades_stalls_and_cuts() {
    let oakport = Path::new(env!("CARGO_BIN_EXE_oakport-testbed")).with_file_name("oakport");
    assert!(oakport.is_file(), "oakport is built with the workspace");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut testbed = Command::new(env!("CARGO_BIN_EXE_oakport-testbed"));
    let output = testbed.args(["fleet", "scenarios/fleet/membership-small.toml"]).current_dir(root).output();
    let output = output.expect("oakport-testbed starts");
    let (stdout, stderr) = (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert_eq!(output.status.code(), Some(0), "{stdout}{stderr}");
    assert_eq!(stdout.matches("\nheld membership.").count(), 6, "{stdout}");
}
