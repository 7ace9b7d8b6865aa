//! What can be seen of a process from outside: its processor time, its memory, and what it tells operators.

use serde_json::Value;
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The page's `kB`.
const KB: u64 = 1_024;

/// Seconds of a core that the threads which a process now has have taken. They are counted by the nanosecond
/// (`schedstat`), as the ticks of `stat`, 10 ms each, would tell nothing of a single change.
///
/// # Errors
/// It has ended, or the machine does not count so.
pub fn cpu_s(pid: u32) -> Result<f64> {
    let mut sum = 0;
    for thread in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        let text = std::fs::read_to_string(thread?.path().join("schedstat"))?;
        let spent = text.split_whitespace().next().and_then(|field| field.parse::<u64>().ok());
        sum += spent.ok_or_else(|| odd("schedstat", &text))?;
    }
    Ok(sum as f64 / 1e9)
}

/// Bytes of memory that a process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Memory {
    /// Now.
    pub current: u64,
    /// The most since its start.
    pub peak: u64,
}

/// What memory a process holds.
///
/// # Errors
/// It has ended.
pub fn memory(pid: u32) -> Result<Memory> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let field = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
        let kb = line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
        kb.map(|kb| kb * KB).ok_or_else(|| odd(name, &text))
    };
    Ok(Memory { current: field("VmRSS")?, peak: field("VmHWM")? })
}

/// What a process tells operators.
///
/// # Errors
/// It does not answer, or with what is no report.
pub async fn admin_report(operator: SocketAddr) -> Result<Value> {
    let mut stream = TcpStream::connect(operator).await?;
    stream.write_all(b"DUMP\n").await?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await?;
    let report = text.strip_suffix("\nEND\n").ok_or_else(|| odd("DUMP", &text))?;
    Ok(serde_json::from_str(report)?)
}

fn odd(what: &str, text: &str) -> Error {
    Error::new(ErrorKind::InvalidData, format!("{what}: {text:?}"))
}
