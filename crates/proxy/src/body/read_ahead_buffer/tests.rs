//! The order of the chunks and the memory reserved for them.

use super::*;
use bytes::Buf;

const MEMORY_MB: usize = 32;
const CHUNK_BYTES: usize = 20_000;

/// The memory of a process that leaves a third of it to bodies.
fn shared_memory() -> Rc<MemoryLimit> {
    let memory = MemoryLimit::new(MEMORY_MB);
    let surplus_kib = (memory.available_bytes() >> 10) - MEMORY_MB * 1_024 / 3;
    // Without other uses, bodies get three fifths of the memory; the allocator takes 6%.
    let unused_kib = MEMORY_MB * 1_024 * 34 / 100;
    memory.record_resident(unused_kib + surplus_kib, 0);
    memory
}

fn chunk(number: u8) -> Bytes {
    vec![number; CHUNK_BYTES].into()
}

/// Fills the buffer as far as the limit permits. Returns the number of chunks added.
fn fill(buffer: &mut ReadAheadBuffer, limit: ReadAheadLimit) -> usize {
    let mut count = 0;
    while buffer.try_reserve_chunk(limit) {
        buffer.push(chunk(count as u8));
        count += 1;
    }
    count
}

fn into_bytes(mut counted: CountedBytes) -> Bytes {
    counted.copy_to_bytes(counted.len())
}

fn drain(buffer: &mut ReadAheadBuffer) -> Vec<u8> {
    buffer.drain().into_iter().flat_map(into_bytes).collect()
}

#[test]
fn chunks_are_removed_in_order_and_their_memory_is_returned() {
    let memory = shared_memory();
    let total_bytes = memory.available_bytes();
    let mut buffer = ReadAheadBuffer::new(&memory);
    let count = fill(&mut buffer, ReadAheadLimit::AvailableMemory);
    let expected: Vec<u8> = (0..count).flat_map(|number| chunk(number as u8)).collect();
    assert!(drain(&mut buffer) == expected, "{count} chunks");
    assert_eq!(memory.available_bytes(), total_bytes);
}

#[test]
fn all_buffers_together_leave_half_of_the_memory_to_other_bodies() {
    let memory = shared_memory();
    let total_bytes = memory.available_bytes();
    let mut buffers: Vec<_> = (0..3).map(|_| ReadAheadBuffer::new(&memory)).collect();
    let counts: Vec<usize> =
        buffers.iter_mut().map(|buffer| fill(buffer, ReadAheadLimit::AvailableMemory)).collect();
    assert!(counts[0] > 200, "{counts:?}");
    assert_eq!(counts[1..], [1, 1], "one chunk is buffered without a reservation");
    assert!(memory.available_bytes() >= total_bytes / 2);
    drop(buffers);
    assert_eq!(memory.available_bytes(), total_bytes);
}

#[test]
fn without_read_ahead_one_chunk_is_buffered_without_a_reservation() {
    let memory = shared_memory();
    let total_bytes = memory.available_bytes();
    let mut buffer = ReadAheadBuffer::new(&memory);
    assert_eq!(fill(&mut buffer, ReadAheadLimit::OneChunk), 1);
    assert_eq!(memory.available_bytes(), total_bytes);
    assert_eq!(buffer.pop().map(into_bytes), Some(chunk(0)));
    assert!(buffer.is_empty() && buffer.try_reserve_chunk(ReadAheadLimit::OneChunk));
}

#[test]
fn a_speculative_buffer_is_bounded_and_leaves_memory_to_others() {
    let memory = shared_memory();
    let mut bounded = ReadAheadBuffer::new(&memory);
    let max_bytes = 40 * CHUNK_BYTES;
    let bounded_count = fill(&mut bounded, ReadAheadLimit::Speculative { max_bytes });
    assert!((36..=46).contains(&bounded_count), "{bounded_count}");
    let mut unbounded = ReadAheadBuffer::new(&memory);
    fill(&mut unbounded, ReadAheadLimit::Speculative { max_bytes: usize::MAX });
    let mut certain = ReadAheadBuffer::new(&memory);
    assert!(fill(&mut certain, ReadAheadLimit::AvailableMemory) > 40);
}
