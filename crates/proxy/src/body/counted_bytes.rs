//! Bytes of a body together with their memory, which is returned once they have been written.

use super::memory_limit::MemoryReservation;
use bytes::{Buf, Bytes};
use std::io::IoSlice;

/// Bytes and the reservation of their memory, if they need one.
#[derive(Debug, Default)]
pub struct CountedBytes {
    bytes: Bytes,
    _memory: MemoryReservation,
}

impl CountedBytes {
    /// Bytes in the memory of this reservation.
    pub fn new(bytes: Bytes, memory: MemoryReservation) -> Self {
        CountedBytes { bytes, _memory: memory }
    }

    /// The number of bytes that have yet to be taken.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether all bytes have been taken.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

impl From<Bytes> for CountedBytes {
    fn from(bytes: Bytes) -> Self {
        CountedBytes::new(bytes, MemoryReservation::default())
    }
}

impl Buf for CountedBytes {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn chunks_vectored<'a>(&'a self, target: &mut [IoSlice<'a>]) -> usize {
        self.bytes.chunks_vectored(target)
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}
