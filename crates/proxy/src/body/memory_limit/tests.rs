use super::*;

const MEMORY_MB: usize = 48;

/// Guards against send buffers and read-ahead that take the memory without which no response can begin.
#[test]
fn extensions_leave_half_of_the_memory_to_bodies() {
    let memory = MemoryLimit::new(MEMORY_MB);
    let mut extension = MemoryReservation::default();
    while memory.try_reserve_optional(&mut extension, 1 << 20) {}
    assert!(memory.available_bytes() >= memory.total_bytes() / 2);
    let mut body = MemoryReservation::default();
    assert!(memory.try_reserve(&mut body, MAX_BUFFERED_BODY_BYTES + 1), "a streamed body");
    drop((extension, body));
    assert_eq!(memory.available_bytes(), memory.total_bytes());
}
