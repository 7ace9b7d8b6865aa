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

/// How large a TCP send buffer may become.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendBufferLimits {
    /// The largest size that the system may give it by itself.
    pub max_adapted_bytes: usize,
    /// The largest size to which a program can set it.
    pub max_settable_bytes: usize,
}

/// The limits of this system; `None` if they are not known.
pub fn send_buffer_limits() -> Option<SendBufferLimits> {
    static LIMITS: OnceLock<Option<SendBufferLimits>> = OnceLock::new();
    *LIMITS.get_or_init(|| {
        let max_requested = std::fs::read_to_string(Path::new(MAX_REQUESTED_FILE)).ok()?;
        let adapted_sizes = std::fs::read_to_string(Path::new(ADAPTED_SIZES_FILE)).ok()?;
        parse_send_buffer_limits(&max_requested, &adapted_sizes)
    })
}

fn parse_send_buffer_limits(max_requested: &str, adapted_sizes: &str) -> Option<SendBufferLimits> {
    let max_requested_bytes: usize = max_requested.trim().parse().ok()?;
    let max_adapted_bytes = adapted_sizes.split_whitespace().nth(2)?.parse().ok()?;
    let max_settable_bytes = max_requested_bytes.saturating_mul(SEND_BUFFER_OVERHEAD_FACTOR);
    Some(SendBufferLimits { max_adapted_bytes, max_settable_bytes })
}
