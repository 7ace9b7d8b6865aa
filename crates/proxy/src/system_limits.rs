//! Limits of the system on sockets.

use crate::socket::SEND_BUFFER_OVERHEAD_FACTOR;
use std::path::Path;
use std::sync::OnceLock;

#[cfg(test)]
mod tests;

/// Most bytes that a program may request for a send buffer.
const MAX_REQUESTED_FILE: &str = "/proc/sys/net/core/wmem_max";
/// The least, the initial and the largest size of a send buffer that the system adapts by itself.
const ADAPTED_SIZES_FILE: &str = "/proc/sys/net/ipv4/tcp_wmem";

/// The largest size in bytes to which a program can set a TCP send buffer. `None` if the system's own adaptation may reach
/// a larger one, which setting a size would end, or if that is not known.
pub fn max_send_buffer_bytes() -> Option<usize> {
    static LIMIT: OnceLock<Option<usize>> = OnceLock::new();
    *LIMIT.get_or_init(|| {
        let max_requested = std::fs::read_to_string(Path::new(MAX_REQUESTED_FILE)).ok()?;
        let adapted_sizes = std::fs::read_to_string(Path::new(ADAPTED_SIZES_FILE)).ok()?;
        settable_send_buffer_bytes(&max_requested, &adapted_sizes)
    })
}

fn settable_send_buffer_bytes(max_requested: &str, adapted_sizes: &str) -> Option<usize> {
    let max_requested_bytes: usize = max_requested.trim().parse().ok()?;
    let max_adapted_bytes: usize = adapted_sizes.split_whitespace().nth(2)?.parse().ok()?;
    let max_bytes = max_requested_bytes.saturating_mul(SEND_BUFFER_OVERHEAD_FACTOR);
    (max_bytes > max_adapted_bytes).then_some(max_bytes)
}
