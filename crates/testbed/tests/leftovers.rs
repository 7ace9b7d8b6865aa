//! A run that ends early leaves no processes, files or descriptors behind.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use oakport_simulator::scenario::Scenario;
use oakport_testbed::cluster::{self, Program, Progress, RunConfig};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Timeout for conditions that must become true.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// Waits until a condition holds.
fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let begin = Instant::now();
    while !holds() {
        assert!(begin.elapsed() < MAX_WAIT, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Children of a process that have not ended.
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

/// Starts the small scenario with its temporary files in `folder`; waits until its three proxies run, and
/// returns them.
fn start_run(folder: &Path) -> (Child, Vec<u32>) {
    let (logs, own) = (folder.join("logs"), folder.join("own"));
    std::fs::create_dir_all(&own).expect("a folder");
    let mut command = Command::new(env!("CARGO_BIN_EXE_oakport-testbed"));
    command.args(["fleet", "scenarios/fleet/small.toml", "--forwarder", "--logs"]).arg(&logs);
    command.current_dir(repository_root());
    let testbed = command
        .env("TMPDIR", &own)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("oakport-testbed starts");
    wait_until("three proxies run", || children(testbed.id()).len() == 3);
    let proxies = children(testbed.id());
    (testbed, proxies)
}

#[test]
fn an_interrupted_play_leaves_no_process_and_no_file() {
    for (signal, status) in [(Signal::SIGINT, Some(130)), (Signal::SIGKILL, None)] {
        let folder = tempfile::tempdir().expect("a folder");
        let (mut testbed, proxies) = start_run(folder.path());
        kill(Pid::from_raw(testbed.id() as i32), signal).expect("the testbed runs");
        assert_eq!(testbed.wait().expect("the testbed ends").code(), status);
        wait_until("all proxies have ended", || proxies.iter().all(|pid| parent_of(*pid).is_none()));
        if signal == Signal::SIGINT {
            let left = std::fs::read_dir(folder.path().join("own")).expect("the folder").count();
            assert_eq!(left, 0, "temporary files are left");
        }
    }
}

#[test]
fn a_proxy_that_does_not_start_is_reported_and_leaves_no_file() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut command = Command::new(env!("CARGO_BIN_EXE_oakport-testbed"));
    command.args(["fleet", "scenarios/fleet/small.toml", "--oakport", "/bin/false"]);
    command.current_dir(repository_root());
    let output = command.env("TMPDIR", folder.path()).output().expect("oakport-testbed starts");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{errors}");
    assert!(errors.contains("ended before it was ready"), "{errors}");
    assert_eq!(std::fs::read_dir(folder.path()).expect("the folder").count(), 0);
}

/// Number of open descriptors of this process.
fn count_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").expect("descriptors").count()
}

#[test]
fn a_panic_of_the_test_cluster_leaves_no_process_and_no_descriptor() {
    let testbed = Path::new(env!("CARGO_BIN_EXE_oakport-testbed"));
    let scenario = std::fs::read_to_string(repository_root().join("scenarios/fleet/small.toml"))
        .expect("the small scenario");
    let program = Program::forwarder(testbed, None);
    let scenario = Scenario::parse(&scenario).expect("a valid scenario");
    let config = RunConfig { scenario, seed: 1, replacement: program.clone(), program, logs: None };
    let before = count_descriptors();
    let mut open_descriptors = Vec::new();
    for round in 0..2 {
        let panics = |progress: Progress<'_>| {
            if matches!(progress, Progress::Started) {
                panic!("on purpose");
            }
        };
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            let runtime =
                tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
            // The panic drops everything that the run has started.
            let _ = runtime.block_on(cluster::run(&config, &panics));
        }));
        assert!(result.is_err(), "round {round}");
        open_descriptors.push(count_descriptors());
    }
    let own_pid = std::process::id();
    wait_until("all proxies have ended", || children(own_pid).iter().all(|pid| !is_testbed(*pid)));
    // Descriptors that the runtime keeps permanently are open after the first round already.
    assert_eq!(open_descriptors[0], open_descriptors[1], "{before} descriptors before the first round");
}

/// Whether a process runs oakport-testbed.
fn is_testbed(pid: u32) -> bool {
    std::fs::read_link(format!("/proc/{pid}/exe")).is_ok_and(|exe| exe.ends_with("oakport-testbed"))
}

fn repository_root() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}
