//! Buffers the chunks of a streamed response that were read before the client could receive them.

#[cfg(test)]
mod tests;

use super::counted_bytes::CountedBytes;
use super::memory_limit::{MemoryLimit, MemoryReservation, MAX_CONNECTION_BUFFER_BYTES};
use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;
use std::future::Future;
use std::rc::Rc;

/// The unit in which memory is reserved. Chunks are copied into blocks, as a small chunk may keep a much
/// larger read buffer allocated.
const BLOCK_BYTES: usize = 64 * 1024;

/// How many bytes of one response are read ahead of its client, within the memory limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAheadLimit {
    /// One chunk, for which no memory is reserved.
    OneChunk,
    /// At most `max_bytes`, from memory that nothing else is certain to need.
    Speculative {
        /// Maximum number of bytes per response.
        max_bytes: usize,
    },
    /// As many as the memory allows, without what the expected clients need.
    AvailableMemory,
    /// For a response whose endpoint is about to close: as many as the memory allows.
    Urgent,
    /// For the very end of a response: also half of the body reserve.
    Completing,
}

#[derive(Default)]
struct Block {
    bytes: BytesMut,
    reservation: MemoryReservation,
}

impl Block {
    /// `None` if the memory does not suffice.
    fn try_allocate(memory: &MemoryLimit, limit: ReadAheadLimit) -> Option<Self> {
        let mut reservation = MemoryReservation::default();
        let is_reserved = match limit {
            ReadAheadLimit::OneChunk => false,
            ReadAheadLimit::Speculative { .. } => {
                memory.try_reserve_speculative(&mut reservation, BLOCK_BYTES)
            }
            ReadAheadLimit::AvailableMemory => memory.try_reserve_optional(&mut reservation, BLOCK_BYTES),
            ReadAheadLimit::Urgent => memory.try_reserve_urgent(&mut reservation, BLOCK_BYTES),
            ReadAheadLimit::Completing => memory.try_reserve_completing(&mut reservation, BLOCK_BYTES),
        };
        is_reserved.then(|| Block { bytes: BytesMut::with_capacity(BLOCK_BYTES), reservation })
    }

    fn into_counted(self) -> CountedBytes {
        CountedBytes::new(self.bytes.freeze(), self.reservation)
    }

    fn free_bytes(&self) -> usize {
        self.bytes.capacity() - self.bytes.len()
    }

    /// Moves as many bytes as fit from the beginning of a chunk into the block.
    fn fill_from(&mut self, chunk: &mut Bytes) {
        let part = chunk.split_to(chunk.len().min(self.free_bytes()));
        self.bytes.extend_from_slice(&part);
    }
}

/// The chunks of one response that are yet to be passed on to its client, in order.
pub struct ReadAheadBuffer {
    memory: Rc<MemoryLimit>,
    /// A chunk that was added while the buffer was empty. It is passed on without a copy.
    first_chunk: Option<Bytes>,
    /// The bytes that follow `first_chunk`.
    blocks: VecDeque<Block>,
    /// An empty block for the chunk that is read next.
    next_block: Option<Block>,
}

impl ReadAheadBuffer {
    pub fn new(memory: &Rc<MemoryLimit>) -> Self {
        ReadAheadBuffer {
            memory: Rc::clone(memory),
            first_chunk: None,
            blocks: VecDeque::new(),
            next_block: None,
        }
    }

    pub fn is_empty(&self) -> bool {
        self.first_chunk.is_none() && self.blocks.is_empty()
    }

    /// Reserves memory for another chunk. False if the limit or the available memory does not permit that
    /// now.
    pub fn try_reserve_chunk(&mut self, limit: ReadAheadLimit) -> bool {
        if self.is_empty() {
            return true;
        }
        if limit == ReadAheadLimit::OneChunk {
            return false;
        }
        if self.free_bytes() < MAX_CONNECTION_BUFFER_BYTES && !self.has_reached(limit) {
            self.next_block = Block::try_allocate(&self.memory, limit);
        }
        self.free_bytes() >= MAX_CONNECTION_BUFFER_BYTES
    }

    /// Whether the buffer is full under this limit, regardless of the available memory.
    pub fn has_reached(&self, limit: ReadAheadLimit) -> bool {
        match limit {
            ReadAheadLimit::OneChunk => !self.is_empty(),
            ReadAheadLimit::Speculative { max_bytes } => self.blocks.len() * BLOCK_BYTES >= max_bytes,
            ReadAheadLimit::AvailableMemory | ReadAheadLimit::Urgent | ReadAheadLimit::Completing => false,
        }
    }

    /// Resolves once some memory has been returned, so that a failed reservation can be retried.
    pub fn memory_returned(&self) -> impl Future<Output = ()> + 'static {
        let memory = Rc::clone(&self.memory);
        async move { memory.returned().await }
    }

    fn free_bytes(&self) -> usize {
        let reserved_blocks = self.blocks.back().into_iter().chain(&self.next_block);
        reserved_blocks.map(Block::free_bytes).sum()
    }

    /// Appends a chunk whose memory has been reserved.
    pub fn push(&mut self, mut chunk: Bytes) {
        if self.is_empty() {
            self.first_chunk = Some(chunk);
            return;
        }
        if let Some(last) = self.blocks.back_mut() {
            last.fill_from(&mut chunk);
        }
        if chunk.is_empty() {
            return;
        }
        // Without a block no memory was reserved: the chunk is still buffered, as dropping it would lose
        // data.
        let mut next = self.next_block.take().unwrap_or_default();
        next.bytes.extend_from_slice(&chunk);
        self.blocks.push_back(next);
    }

    /// Removes all chunks, in order, with their reservations.
    pub fn drain(&mut self) -> Vec<CountedBytes> {
        std::iter::from_fn(|| self.pop()).collect()
    }

    /// Removes the next chunk for the client, with its reservation.
    pub fn pop(&mut self) -> Option<CountedBytes> {
        let first_chunk = self.first_chunk.take().map(CountedBytes::from);
        let next = first_chunk.or_else(|| self.blocks.pop_front().map(Block::into_counted));
        if self.is_empty() {
            self.next_block = None;
        }
        next
    }
}
