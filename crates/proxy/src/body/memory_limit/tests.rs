use super::*;

const MEMORY_MB: usize = 48;

/// Guards against enlarged send buffers and read-ahead using up the memory that responses need to begin.
#[test]
fn optional_reservations_leave_a_sixth_of_the_memory_to_bodies() {
    // With two processes, a sixth of the memory is half of the body memory.
    for (users, bodies_mb) in [(MemoryUsers::TwoProcesses, 16), (MemoryUsers::OneProcess, 28)] {
        let memory = MemoryLimit::new(MEMORY_MB, users);
        let total_bytes = memory.available_bytes();
        assert_eq!(total_bytes, bodies_mb << 20);
        let mut optional = MemoryReservation::default();
        while memory.try_reserve_optional(&mut optional, 1 << 20) {}
        assert!(memory.available_bytes() >= (MEMORY_MB / 6) << 20);
        let mut body = MemoryReservation::default();
        assert!(memory.try_reserve(&mut body, MAX_BUFFERED_BODY_BYTES + 1), "a streamed body fits");
        drop((optional, body));
        assert_eq!(memory.available_bytes(), total_bytes);
    }
}

/// Guards against speculative read-ahead using up the memory for bytes that are certainly needed.
#[test]
fn speculative_reservations_leave_half_of_the_optional_memory_to_others() {
    for (users, bodies_mb) in [(MemoryUsers::TwoProcesses, 16), (MemoryUsers::OneProcess, 28)] {
        let memory = MemoryLimit::new(MEMORY_MB, users);
        let optional_mb = bodies_mb - MEMORY_MB / 6;
        let mut speculative = MemoryReservation::default();
        while memory.try_reserve_speculative(&mut speculative, 1 << 16) {}
        let reserved_bytes = (bodies_mb << 20) - memory.available_bytes();
        assert_eq!(reserved_bytes, optional_mb << 19);
        let mut optional = MemoryReservation::default();
        assert!(memory.try_reserve_optional(&mut optional, optional_mb << 19));
        assert!(!memory.try_reserve_speculative(&mut speculative, 1 << 16));
    }
}

/// Guards against bodies leaving too little memory for the buffers of many connections.
#[test]
fn bodies_of_a_single_process_leave_20_mb_and_two_fifths_of_the_memory() {
    for (memory_mb, bodies_kib) in
        [(27, 27 * 1_024 / 3), (32, 12 * 1_024), (50, 30 * 1_024), (192, 192 * 1_024 * 3 / 5)]
    {
        let memory = MemoryLimit::new(memory_mb, MemoryUsers::OneProcess);
        assert_eq!(memory.available_bytes(), bodies_kib << 10, "{memory_mb} MB");
    }
}

/// Guards against an integer overflow: another process sends the size to reserve.
#[test]
fn a_reservation_larger_than_the_available_memory_fails() {
    let memory = MemoryLimit::new(MEMORY_MB, MemoryUsers::TwoProcesses);
    let mut reservation = MemoryReservation::default();
    for bytes in [usize::MAX, usize::MAX - 1, 1 << 42, memory.available_bytes() + 1] {
        assert!(!memory.try_reserve_optional(&mut reservation, bytes), "{bytes}");
    }
}
