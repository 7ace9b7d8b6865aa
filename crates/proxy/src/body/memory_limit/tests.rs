use super::*;

const MEMORY_MB: usize = 48;

/// Guards against send buffers and read-ahead that take the memory without which no response can begin.
#[test]
fn extensions_leave_a_sixth_of_the_memory_to_bodies() {
    // Of two processes that is half of what bodies may take.
    for (users, bodies_mb) in [(MemoryUsers::TwoProcesses, 16), (MemoryUsers::OneProcess, 28)] {
        let memory = MemoryLimit::new(MEMORY_MB, users);
        let total_bytes = memory.available_bytes();
        assert_eq!(total_bytes, bodies_mb << 20);
        let mut extension = MemoryReservation::default();
        while memory.try_reserve_optional(&mut extension, 1 << 20) {}
        assert!(memory.available_bytes() >= (MEMORY_MB / 6) << 20);
        let mut body = MemoryReservation::default();
        assert!(memory.try_reserve(&mut body, MAX_BUFFERED_BODY_BYTES + 1), "a streamed body");
        drop((extension, body));
        assert_eq!(memory.available_bytes(), total_bytes);
    }
}

/// Guards against read-ahead on suspicion that takes the memory of what is certain.
#[test]
fn speculation_leaves_half_of_what_extensions_may_take_to_others() {
    for (users, bodies_mb) in [(MemoryUsers::TwoProcesses, 16), (MemoryUsers::OneProcess, 28)] {
        let memory = MemoryLimit::new(MEMORY_MB, users);
        let extensions_mb = bodies_mb - MEMORY_MB / 6;
        let mut speculation = MemoryReservation::default();
        while memory.try_reserve_speculative(&mut speculation, 1 << 16) {}
        let taken_bytes = (bodies_mb << 20) - memory.available_bytes();
        assert_eq!(taken_bytes, extensions_mb << 19);
        let mut extension = MemoryReservation::default();
        assert!(memory.try_reserve_optional(&mut extension, extensions_mb << 19));
        assert!(!memory.try_reserve_speculative(&mut speculation, 1 << 16));
    }
}

/// Guards against bodies that leave too little to the buffers of many connections.
#[test]
fn bodies_of_a_process_alone_leave_20_mb_and_two_fifths_of_the_memory() {
    for (memory_mb, bodies_kib) in
        [(27, 27 * 1_024 / 3), (32, 12 * 1_024), (50, 30 * 1_024), (192, 192 * 1_024 * 3 / 5)]
    {
        let memory = MemoryLimit::new(memory_mb, MemoryUsers::OneProcess);
        assert_eq!(memory.available_bytes(), bodies_kib << 10, "{memory_mb} MB");
    }
}

/// Guards against an overflow by an amount that another process names.
#[test]
fn no_amount_is_reserved_that_exceeds_the_memory() {
    let memory = MemoryLimit::new(MEMORY_MB, MemoryUsers::TwoProcesses);
    let mut reservation = MemoryReservation::default();
    for bytes in [usize::MAX, usize::MAX - 1, 1 << 42, memory.available_bytes() + 1] {
        assert!(!memory.try_reserve_optional(&mut reservation, bytes), "{bytes}");
    }
}
