//! Limits that the operating system sets for sockets.

use crate::socket::SEND_BUFFER_OVERHEAD_FACTOR;
use std::path::Path;
use std::sync::OnceLock;

#[cfg(test)]
mod tests;

/// The largest send buffer that a program may request, in bytes.
const MAX_REQUESTED_FILE: &str = "/proc/sys/net/core/wmem_max";
/// The minimum, initial and maximum size of a send buffer under TCP autotuning.
const AUTOTUNED_SIZES_FILE: &str = "/proc/sys/net/ipv4/tcp_wmem";

/// The limits on the size of a TCP send buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendBufferLimits {
    /// The largest size that autotuning may set.
    pub max_adapted_bytes: usize,
    /// The largest size that a program can set.
    pub max_settable_bytes: usize,
}

/// The limits of this system; `None` if they cannot be determined.
pub fn send_buffer_limits() -> Option<SendBufferLimits> {
    static LIMITS: OnceLock<Option<SendBufferLimits>> = OnceLock::new();
    *LIMITS.get_or_init(|| {
        let max_requested = std::fs::read_to_string(Path::new(MAX_REQUESTED_FILE)).ok()?;
        let autotuned_sizes = std::fs::read_to_string(Path::new(AUTOTUNED_SIZES_FILE)).ok()?;
        parse_send_buffer_limits(&max_requested, &autotuned_sizes)
    })
}

fn parse_send_buffer_limits(max_requested: &str, autotuned_sizes: &str) -> Option<SendBufferLimits> {
    let max_requested_bytes: usize = max_requested.trim().parse().ok()?;
    let max_adapted_bytes = autotuned_sizes.split_whitespace().nth(2)?.parse().ok()?;
    let max_settable_bytes = max_requested_bytes.saturating_mul(SEND_BUFFER_OVERHEAD_FACTOR);
    Some(SendBufferLimits { max_adapted_bytes, max_settable_bytes })
}
