//! What has been read of a streamed response before its client takes it.

#[cfg(test)]
mod tests;

use super::memory_limit::{MemoryLimit, MemoryReservation, MAX_CONNECTION_BUFFER_BYTES};
use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;
use std::future::Future;
use std::rc::Rc;

/// The unit in which memory is reserved. Chunks are copied into blocks: a small chunk may keep a much larger read buffer
/// allocated.
const BLOCK_BYTES: usize = 64 * 1024;

/// How much of one response is read ahead of its client, within the memory limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAheadLimit {
    /// One chunk, for which no memory is reserved.
    OneChunk,
    /// So much at most, of memory that nothing else is certain to need.
    Speculative {
        /// Most bytes of one response.
        max_bytes: usize,
    },
    /// As much as the memory allows.
    AvailableMemory,
    /// The same for the very end of a response, also of a part of the memory that is left to bodies otherwise.
    Completing,
}

#[derive(Default)]
struct Block {
    bytes: BytesMut,
    _reservation: MemoryReservation,
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
            ReadAheadLimit::Completing => memory.try_reserve_completing(&mut reservation, BLOCK_BYTES),
        };
        is_reserved.then(|| Block { bytes: BytesMut::with_capacity(BLOCK_BYTES), _reservation: reservation })
    }

    fn free_bytes(&self) -> usize {
        self.bytes.capacity() - self.bytes.len()
    }

    /// Takes in the beginning of a chunk, as much as is free.
    fn fill_from(&mut self, chunk: &mut Bytes) {
        let part = chunk.split_to(chunk.len().min(self.free_bytes()));
        self.bytes.extend_from_slice(&part);
    }
}

/// The chunks of one response that its client has yet to take, in their order.
pub struct ReadAheadBuffer {
    memory: Rc<MemoryLimit>,
    /// A chunk that found the buffer empty. It is passed on as it is.
    first_chunk: Option<Bytes>,
    /// What has come after it.
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

    /// Reserves the memory of another chunk. False if the limit does not permit it now.
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

    /// Does it hold all that this limit permits, however much memory there is?
    pub fn has_reached(&self, limit: ReadAheadLimit) -> bool {
        match limit {
            ReadAheadLimit::OneChunk => !self.is_empty(),
            ReadAheadLimit::Speculative { max_bytes } => self.blocks.len() * BLOCK_BYTES >= max_bytes,
            ReadAheadLimit::AvailableMemory | ReadAheadLimit::Completing => false,
        }
    }

    /// Resolves when a chunk whose memory could not be reserved may be tried again: some has been returned.
    pub fn memory_returned(&self) -> impl Future<Output = ()> + 'static {
        let memory = Rc::clone(&self.memory);
        async move { memory.returned().await }
    }

    fn free_bytes(&self) -> usize {
        let reserved_blocks = self.blocks.back().into_iter().chain(&self.next_block);
        reserved_blocks.map(Block::free_bytes).sum()
    }

    /// Adds a chunk whose memory is reserved.
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
        // Without a block no memory was reserved: the chunk is kept all the same.
        let mut next = self.next_block.take().unwrap_or_default();
        next.bytes.extend_from_slice(&chunk);
        self.blocks.push_back(next);
    }

    /// Removes all, in its order.
    pub fn drain(&mut self) -> Vec<Bytes> {
        std::iter::from_fn(|| self.pop()).collect()
    }

    /// Removes what the client takes next. Its memory is returned.
    pub fn pop(&mut self) -> Option<Bytes> {
        let first_chunk = self.first_chunk.take();
        let next = first_chunk.or_else(|| self.blocks.pop_front().map(|block| block.bytes.freeze()));
        if self.is_empty() {
            self.next_block = None;
        }
        next
    }
}
