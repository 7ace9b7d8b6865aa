//! Tests of the program's commands, messages and log lines.

mod peers;

use peers::*;
use std::io::{BufRead, Read};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Instant;

const VALID_CONFIG: &str = r#"listen = "127.0.0.1:5000"
discovery = "127.0.0.1:8500"

[[settings.classes]]
name = "fare-charge"
objective_us = "600ms"
deadline_us = "2s"

[[settings.classes]]
name = "journey-lookup"
objective_us = "400ms"
deadline_us = "1s"
idempotency = "free"
"#;

fn oakport(directory: &Path, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oakport"));
    command.current_dir(directory).args(arguments).env_remove("RELAY_CONFIG").env_remove("OAKPORT_LOG");
    command.output().expect("the program starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A temporary directory, which is removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> TempDir {
        let directory = std::env::temp_dir().join(format!("oakport-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a temporary directory");
        TempDir(directory)
    }

    fn write(&self, file: &str, text: &str) {
        std::fs::write(self.0.join(file), text).expect("a temporary file");
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A child process, which is killed on drop.
struct KillOnDrop(std::process::Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// For each invalid file, the messages name file, line, column and key, the expected value and a remedy.
#[test]
fn check_reports_all_errors_of_an_invalid_file() {
    let directory = TempDir::new("check");
    let unused_address = "127.0.0.1:1".parse().expect("an address");
    let json = config(unused_address, unused_address, 1_024, &[]).replace(r#""index":41"#, r#""index":"x""#);
    let invalid = [
        ("empty.toml", String::new()),
        ("cut.toml", VALID_CONFIG[..VALID_CONFIG.len() - 3].to_owned()),
        ("unclosed.toml", VALID_CONFIG.replace("\"600ms\"", "\"600ms")),
        (
            "mistyped.toml",
            format!("opperator = \"127.0.0.1:1\"\nport = 5\n{VALID_CONFIG}limits.max_attemps = 2\n"),
        ),
        (
            "units.toml",
            VALID_CONFIG.replace("600ms", "600 parsecs").replace("2s", "1ns").replace("1s", "soon"),
        ),
        (
            "kinds.toml",
            VALID_CONFIG.replace("\"2s\"", "true").replace("\"fare-charge\"", "7").replace("400ms", "-4s"),
        ),
        (
            "bounds.toml",
            VALID_CONFIG
                .replace("\"2s\"", "0")
                .replace("free", "sometimes")
                .replace("127.0.0.1:8500", "here"),
        ),
        (
            "absurd.toml",
            format!(
                "settings.balancers = 0\n{VALID_CONFIG}\n[settings.invariants]\ndrain_grace_us = 0\n\
                 tip_after_us = \"2h\"\n[settings.limits]\nconnect_timeout_us = 0\nmax_open = 0\n"
            ),
        ),
        ("missing.toml", VALID_CONFIG.replace("name = \"fare-charge\"\n", "").replace("discovery", "#")),
        ("twice.toml", VALID_CONFIG.replace("journey-lookup", "fare-charge")),
        (
            "platform.json",
            json.replace("8c1f30d27a5be964", "seed")
                .replace("\"max_attempts\":3", "\"max_attempts\":0")
                .replace("\"cold_from\":0.3,", ""),
        ),
    ];
    for (file, content) in &invalid {
        directory.write(file, content);
        let output = oakport(&directory.0, &["check", file]);
        assert_eq!((output.status.code(), text(&output.stdout)), (Some(1), String::new()), "{file}");
        insta::assert_snapshot!(*file, text(&output.stderr));
    }
    // One command may check several files; each valid one is reported as good.
    directory.write("good.toml", VALID_CONFIG);
    let output = oakport(&directory.0, &["check", "twice.toml", "good.toml", "nowhere.toml"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stdout).starts_with("good.toml: good\n"), "{}", text(&output.stdout));
    assert!(text(&output.stderr).contains("nowhere.toml: cannot be read: No such file"));
    for misuse in [&["check"][..], &["chek", "good.toml"], &[], &["serve", "--log-level", "loud"]] {
        assert_eq!(oakport(&directory.0, misuse).status.code(), Some(2), "{misuse:?}");
    }
}

#[test]
fn check_summarises_a_valid_file() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let output = oakport(&root, &["check", "deploy/example.toml"]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    insta::assert_snapshot!("example", text(&output.stdout));
    let directory = TempDir::new("good");
    let unused_address = "127.0.0.1:1".parse().expect("an address");
    directory.write(
        "platform.json",
        &config(unused_address, unused_address, 384, &[]).replacen('{', r#"{"novel":1,"#, 1),
    );
    let output = oakport(&directory.0, &["check", "platform.json"]);
    insta::assert_snapshot!("platform", text(&output.stdout));
}

#[test]
fn serve_applies_and_reloads_a_human_readable_file() {
    let (discovery, other, host) = (Discovery::start(), Discovery::start(), Host::serving("done"));
    let directory = TempDir::new("serve");
    let file = |at: &Discovery, worth: &str| {
        let good = VALID_CONFIG.replace("127.0.0.1:5000", "127.0.0.1:0");
        good.replace("127.0.0.1:8500", &at.address.to_string()).replace("\nname", &format!("\n{worth}name"))
    };
    directory.write("proxy.toml", &file(&discovery, ""));
    let path = directory.0.join("proxy.toml");
    let arguments = ["serve", "--log-format", "json", "--config", &path.display().to_string()];
    let mut command = Command::new(env!("CARGO_BIN_EXE_oakport"));
    command.args(arguments).stderr(std::process::Stdio::piped());
    let mut child = KillOnDrop(command.spawn().expect("the program starts"));
    let mut log = std::io::BufReader::new(child.0.stderr.take().expect("piped"));
    let mut next = |message: &str| loop {
        let mut line = String::new();
        assert!(log.read_line(&mut line).expect("text") > 0, "process ended before it logged: {message}");
        let line: serde_json::Value = serde_json::from_str(&line).expect("one JSON object per line");
        if line["message"] == message {
            return line;
        }
    };
    let address: std::net::SocketAddr =
        next("listening")["address"].as_str().and_then(|a| a.parse().ok()).expect("an address");
    discovery.next_request();
    discovery.respond_with_list(&list(1, true, &[entry("s-1", host.address, "up", 0)]));
    assert_eq!(next("endpoint list updated")["ready"], 1);
    let stream = std::net::TcpStream::connect(address).expect("the proxy listens");
    let mut client = Client { stream: std::io::BufReader::new(stream) };
    assert_eq!(client.call("fare-charge", "1500m").status(), 200);
    // An invalid file is rejected as a whole; optional keys may be left out or added.
    for (content, message) in [
        (file(&other, "").replace("idempotency = \"free\"\n", ""), "reloaded"),
        (
            file(&other, "").replace("[[settings", "[limits]\nsockets = \"many\"\n[[settings"),
            "reload failed, configuration unchanged",
        ),
        (
            file(&other, "").replacen("objective_us = \"600ms\"\n", "", 1),
            "reload failed, configuration unchanged",
        ),
        (file(&other, "worth = 2.5\n"), "reloaded"),
    ] {
        std::fs::write(&path, content).expect("a temporary file");
        let killed = Command::new("kill").arg("-HUP").arg(child.0.id().to_string()).status();
        assert!(killed.expect("kill").success());
        let line = next(message);
        if message == "reloaded" {
            assert_eq!(line["discovery"], other.address.to_string());
        } else {
            assert!(line["reason"].as_str().is_some_and(|r| r.contains("proxy.toml:")), "{line}");
        }
    }
}

#[test]
fn ctl_queries_a_running_process() {
    let discovery = Discovery::start();
    let listen = "127.0.0.1:0".parse().expect("an address");
    let with_admin_address = config(listen, discovery.address, 1_024, &[]);
    let mut proxy = Proxy::with(&with_admin_address.replacen('{', r#"{"operator":"127.0.0.1:0","#, 1));
    let address = proxy.admin_address().to_string();
    proxy.call("safe", "200m");
    let directory = std::env::temp_dir();
    let ctl = |arguments: &[&str]| {
        let output = oakport(&directory, &[&["ctl", address.as_str()], arguments].concat());
        assert!(output.status.success(), "{arguments:?}: {}", text(&output.stderr));
        text(&output.stdout)
    };
    assert_eq!(ctl(&["health"]), "YES\n");
    insta::assert_snapshot!("dump", ctl(&["dump"]));
    let metrics: serde_json::Value = serde_json::from_str(&ctl(&["dump", "--json"])).expect("JSON");
    assert_eq!(metrics["calls"]["safe"]["busy"], 1, "{metrics}");
    let watched = ctl(&["watch", "--every", "50ms", "--count", "3"]);
    assert_eq!(watched.matches("every 50ms").count(), 3, "{watched}");
    assert_eq!(watched.matches("(0.0/s)").count(), 2 * 7, "two reports with rates: {watched}");
    // During graceful shutdown, the admin endpoint still answers that clients are not accepted.
    let mut uploading_client = proxy.client();
    uploading_client.write(
        "POST /safe HTTP/1.1\r\nHost: x\r\nX-Request-ID: 1\r\nX-Timeout: 2000m\r\nContent-Length: 9\r\n\r\n",
    );
    proxy.terminate();
    let terminated_at = Instant::now();
    let message = loop {
        let output = oakport(&directory, &["ctl", &address, "health"]);
        if output.status.code() == Some(1) || terminated_at.elapsed() > LONG {
            break text(&output.stderr);
        }
    };
    assert!(message.contains("does not accept clients"), "{message}");
}

#[test]
fn ctl_reports_missing_and_unexpected_answers() {
    let directory = std::env::temp_dir();
    let silent_server = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mail_server = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mail_address = mail_server.local_addr().expect("a bound address");
    std::thread::spawn(move || {
        for mut stream in mail_server.incoming().flatten() {
            let _ = stream.read(&mut [0; 64]);
            let _ = std::io::Write::write_all(&mut stream, b"220 mail\r\n");
        }
    });
    let silent_address = silent_server.local_addr().expect("a bound address");
    for (address, command, expected) in [
        (unused_address(), "health", "no admin endpoint listens at"),
        (silent_address, "health", "no answer from"),
        (mail_address, "dump", "answered DUMP without metrics: 220 mail"),
        (mail_address, "health", "does not accept clients"),
    ] {
        let output = oakport(&directory, &["ctl", &address.to_string(), command]);
        assert_eq!(output.status.code(), Some(1), "{expected}");
        let message = text(&output.stderr);
        assert!(
            message.starts_with("oakport: ") && message.contains(expected) && message.lines().count() == 1,
            "{message}"
        );
    }
}

#[test]
fn schema_completions_version_and_log_filter_errors_are_printed() {
    let directory = std::env::temp_dir();
    let schema = oakport(&directory, &["schema"]);
    let schema: serde_json::Value = serde_json::from_slice(&schema.stdout).expect("JSON");
    let classes = &schema["properties"]["settings"]["properties"]["classes"]["items"]["properties"];
    assert_eq!(classes["deadline_us"]["minimum"], 1);
    assert!(classes["name"]["description"].is_string());
    for shell in ["bash", "zsh", "fish"] {
        let completions = oakport(&directory, &["completions", shell]);
        assert!(completions.status.success() && text(&completions.stdout).contains("log-format"), "{shell}");
    }
    let version = text(&oakport(&directory, &["--version"]).stdout);
    assert!(version.starts_with(&format!("oakport {} (", env!("CARGO_PKG_VERSION"))), "{version}");
    let output = Command::new(env!("CARGO_BIN_EXE_oakport"))
        .args(["serve", "--config", "deploy/example.toml"])
        .env("OAKPORT_LOG", "oakport_proxy=loud")
        .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("../.."))
        .output();
    let message = text(&output.expect("the program starts").stderr);
    assert!(
        message.contains("OAKPORT_LOG=oakport_proxy=loud") && message.contains("write a level"),
        "{message}"
    );
}
