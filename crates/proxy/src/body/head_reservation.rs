//! Reservations for large request heads, within the memory that bodies share.

use super::memory_limit::{MemoryLimit, MemoryReservation};
use std::rc::Rc;
use std::time::Duration;

/// Incomplete heads hold `1 / INCOMPLETE_HEADS_DIVISOR` of the memory of bodies at most: a client may stop within a
/// head, and others need memory meanwhile.
const INCOMPLETE_HEADS_DIVISOR: usize = 2;
/// How often a head looks for memory that other heads have returned without a notification.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
const BYTES_PER_KIB: usize = 1024;

/// The memory of one head, returned when dropped.
#[derive(Default)]
pub struct HeadReservation {
    memory: MemoryReservation,
    /// `None` once the head is complete.
    incomplete: Option<IncompleteHead>,
}

impl HeadReservation {
    /// Records that the head is complete: its client can no longer stop within it.
    pub fn complete(&mut self) {
        self.incomplete = None;
    }
}

/// Counts the memory of an incomplete head until it is dropped.
struct IncompleteHead {
    limit: Rc<MemoryLimit>,
    kib: usize,
}

impl IncompleteHead {
    /// `None` if incomplete heads would hold more than their share.
    fn try_count(limit: &Rc<MemoryLimit>, kib: usize) -> Option<Self> {
        let max_kib = limit.body_memory_kib() / INCOMPLETE_HEADS_DIVISOR;
        let total_kib = limit.incomplete_heads_kib.get() + kib;
        if total_kib > max_kib {
            return None;
        }
        limit.incomplete_heads_kib.set(total_kib);
        Some(IncompleteHead { limit: Rc::clone(limit), kib })
    }
}

impl Drop for IncompleteHead {
    fn drop(&mut self) {
        let total_kib = &self.limit.incomplete_heads_kib;
        total_kib.set(total_kib.get() - self.kib);
    }
}

/// Grows the reservation of an incomplete head to `size_bytes`, waiting until the memory suffices: in turn with bodies,
/// as a head is needed as much as they are.
pub async fn reserve_head(
    limit: Rc<MemoryLimit>,
    mut head: HeadReservation,
    size_bytes: usize,
) -> HeadReservation {
    let size_kib = size_bytes.div_ceil(BYTES_PER_KIB);
    head.incomplete = None;
    head.incomplete = Some(loop {
        if let Some(counted) = IncompleteHead::try_count(&limit, size_kib) {
            break counted;
        }
        let _ = tokio::time::timeout(RETRY_INTERVAL, limit.returned()).await;
    });
    limit.reserve(&mut head.memory, size_bytes).await;
    head
}
