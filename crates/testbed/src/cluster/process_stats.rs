//! Figures of a running process that are visible from outside: its CPU time, its memory and its admin report.

use serde_json::Value;
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Bytes per `kB`, as the kernel uses it in `/proc/PID/status`.
const KIB: u64 = 1_024;

/// CPU time used by the current threads of a process, in seconds. Read from `schedstat`, which counts
/// nanoseconds, because the ticks of `stat` (10 ms each) are too coarse to measure a single change.
///
/// # Errors
/// Fails if the process has exited or the kernel provides no `schedstat`.
pub fn cpu_s(pid: u32) -> Result<f64> {
    let mut total_ns = 0;
    for thread in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        let text = std::fs::read_to_string(thread?.path().join("schedstat"))?;
        let nanoseconds = text.split_whitespace().next().and_then(|field| field.parse::<u64>().ok());
        total_ns += nanoseconds.ok_or_else(|| unexpected("schedstat", &text))?;
    }
    Ok(total_ns as f64 / 1e9)
}

/// Resident memory of a process, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Memory {
    /// Current size.
    pub current: u64,
    /// Peak since the process started.
    pub peak: u64,
}

/// Reads the resident memory of a process.
///
/// # Errors
/// Fails if the process has exited.
pub fn memory(pid: u32) -> Result<Memory> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let field = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
        let kib = line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
        kib.map(|kib| kib * KIB).ok_or_else(|| unexpected(name, &text))
    };
    Ok(Memory { current: field("VmRSS")?, peak: field("VmHWM")? })
}

/// Requests the report of a process from its admin endpoint.
///
/// # Errors
/// Fails if the process does not answer, or if the answer is not a complete JSON report.
pub async fn admin_report(admin: SocketAddr) -> Result<Value> {
    let mut stream = TcpStream::connect(admin).await?;
    stream.write_all(b"DUMP\n").await?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await?;
    let report = text.strip_suffix("\nEND\n").ok_or_else(|| unexpected("DUMP", &text))?;
    Ok(serde_json::from_str(report)?)
}

fn unexpected(source: &str, text: &str) -> Error {
    Error::new(ErrorKind::InvalidData, format!("unexpected content of {source}: {text:?}"))
}
