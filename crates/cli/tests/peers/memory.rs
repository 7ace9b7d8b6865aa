//! The memory of processes under test.

use std::thread;
use std::time::{Duration, Instant};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// Memory of a process in kB, without the pages of its program file.
pub fn own_memory_kb(process: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let value = |key| {
        let line = status.lines().find_map(|line| line.strip_prefix(key))?;
        line.split_whitespace().next()?.parse::<usize>().ok()
    };
    value("RssAnon:").unwrap_or(0) + value("RssShmem:").unwrap_or(0)
}

/// Observes the memory of these processes together until `end`, and returns the maximum.
pub fn peak_memory_kb(processes: &[u32], end: Instant) -> usize {
    let mut peak_kb = 0;
    while Instant::now() < end {
        peak_kb = peak_kb.max(processes.iter().map(|&process| own_memory_kb(process)).sum());
        thread::sleep(SAMPLE_INTERVAL);
    }
    peak_kb
}
