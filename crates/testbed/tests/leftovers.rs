//! Nothing is left behind when a play ends early.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use oakport_simulator::scenario::Scenario;
use oakport_testbed::cluster::{self, Program, Progress, RunConfig};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Longest wait for what must come.
const LONG: Duration = Duration::from_secs(20);

/// Waits until something holds.
fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let begin = Instant::now();
    while !holds() {
        assert!(begin.elapsed() < LONG, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Processes whose parent this is, and which have not ended.
fn children(parent: u32) -> Vec<u32> {
    let all = std::fs::read_dir("/proc").expect("processes");
    let pids = all.flatten().filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    pids.filter(|pid| parent_of(*pid) == Some(parent)).collect()
}

/// The parent of a process that has not ended.
fn parent_of(pid: u32) -> Option<u32> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, rest) = text.rsplit_once(')')?;
    let mut parts = rest.split_whitespace();
    let state = parts.next()?;
    parts.next()?.parse().ok().filter(|_| state != "Z")
}

/// Starts the small day with files of its own in `folder`, and waits until it has its proxies.
fn started(folder: &Path) -> (Child, Vec<u32>) {
    let (logs, own) = (folder.join("logs"), folder.join("own"));
    std::fs::create_dir_all(&own).expect("a folder");
    let mut command = Command::new(env!("CARGO_BIN_EXE_oakport-testbed"));
    command.args(["fleet", "scenarios/fleet/small.toml", "--forwarder", "--logs"]).arg(&logs);
    command.current_dir(lab_root());
    let lab =
        command.env("TMPDIR", &own).stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("it starts");
    until("three proxies", || children(lab.id()).len() == 3);
    let found = children(lab.id());
    (lab, found)
}

#[test]
fn an_interrupted_play_leaves_no_process_and_no_file() {
    for (signal, status) in [(Signal::SIGINT, Some(130)), (Signal::SIGKILL, None)] {
        let folder = tempfile::tempdir().expect("a folder");
        let (mut lab, proxies) = started(folder.path());
        kill(Pid::from_raw(lab.id() as i32), signal).expect("it runs");
        assert_eq!(lab.wait().expect("its end").code(), status);
        until("the proxies are gone", || proxies.iter().all(|pid| parent_of(*pid).is_none()));
        if signal == Signal::SIGINT {
            let left = std::fs::read_dir(folder.path().join("own")).expect("the folder").count();
            assert_eq!(left, 0, "files");
        }
    }
}

#[test]
fn a_proxy_that_does_not_start_is_told_and_leaves_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut command = Command::new(env!("CARGO_BIN_EXE_oakport-testbed"));
    command.args(["fleet", "scenarios/fleet/small.toml", "--oakport", "/bin/false"]);
    command.current_dir(lab_root());
    let output = command.env("TMPDIR", folder.path()).output().expect("it starts");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{errors}");
    assert!(errors.contains("ended before it was ready"), "{errors}");
    assert_eq!(std::fs::read_dir(folder.path()).expect("the folder").count(), 0);
}

/// Descriptors that this process has open.
fn descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").expect("descriptors").count()
}

#[test]
fn a_panic_of_the_rig_leaves_no_process_and_no_descriptor() {
    let lab = Path::new(env!("CARGO_BIN_EXE_oakport-testbed"));
    let day = std::fs::read_to_string(lab_root().join("scenarios/fleet/small.toml")).expect("the small day");
    let program = Program::forwarder(lab, None);
    let day = Scenario::parse(&day).expect("a good day");
    let play = RunConfig { scenario: day, seed: 1, replacement: program.clone(), program, logs: None };
    let before = descriptors();
    let mut there = Vec::new();
    for round in 0..2 {
        let panics = |progress: Progress<'_>| {
            if matches!(progress, Progress::Started) {
                panic!("on purpose");
            }
        };
        let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            let runtime =
                tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
            // Whoever panics takes all with it.
            let _ = runtime.block_on(cluster::run(&play, &panics));
        }));
        assert!(played.is_err(), "round {round}");
        there.push(descriptors());
    }
    let own = std::process::id();
    until("the proxies are gone", || children(own).iter().all(|pid| !is_lab(*pid)));
    // What the runtime keeps for all of its life is there after the first round already.
    assert_eq!(there[0], there[1], "{before} before");
}

/// A process of the lab's program.
fn is_lab(pid: u32) -> bool {
    std::fs::read_link(format!("/proc/{pid}/exe")).is_ok_and(|exe| exe.ends_with("oakport-testbed"))
}

fn lab_root() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}
