use super::*;
use crate::memory_accounts::CONNECTION_KIB;

const MEMORY_MB: usize = 48;

/// What the allocator takes of `limit_kib`: 6%.
fn overhead_kib(limit_kib: usize) -> usize {
    limit_kib * 6 / 100
}

/// A limit whose bodies get `bodies_kib` of a process with [`MEMORY_MB`].
fn limit_with_bodies(bodies_kib: usize) -> Rc<MemoryLimit> {
    let memory = MemoryLimit::new(MEMORY_MB);
    memory.record_resident((MEMORY_MB << 10) - overhead_kib(MEMORY_MB << 10) - bodies_kib, 0);
    memory
}

/// Guards against enlarged send buffers and read-ahead using up the memory that responses need to begin.
#[test]
fn optional_reservations_leave_a_sixth_of_the_memory_to_bodies() {
    for bodies_kib in [16 << 10, 28 << 10] {
        let memory = limit_with_bodies(bodies_kib);
        let total_bytes = memory.available_bytes();
        assert_eq!(total_bytes, bodies_kib << 10);
        let mut optional = MemoryReservation::default();
        while memory.try_reserve_optional(&mut optional, 1 << 20) {}
        assert!(memory.available_bytes() >= (MEMORY_MB / 6) << 20);
        let mut body = MemoryReservation::default();
        let size_bytes = MAX_BUFFERED_BODY_BYTES + STREAMED_BODY_BYTES;
        assert!(memory.try_reserve(&mut body, size_bytes), "a streamed body fits");
        drop((optional, body));
        assert_eq!(memory.available_bytes(), total_bytes);
    }
}

/// Guards against speculative read-ahead using up the memory for bytes that are certainly needed.
#[test]
fn speculative_reservations_leave_half_of_the_optional_memory_to_others() {
    for bodies_mb in [16, 28] {
        let memory = limit_with_bodies(bodies_mb << 10);
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

/// Guards against bodies, connections and everything else exceeding the limit together.
#[test]
fn bodies_get_three_fifths_of_the_memory_or_what_all_else_leaves() {
    for memory_mb in [32, 48, 192] {
        for (base_mb, connection_count) in [(2, 0), (4, 341), (6, 700), (24, 100)] {
            let memory = MemoryLimit::new(memory_mb);
            memory.record_resident(base_mb << 10, 0);
            let connections: Vec<_> = (0..connection_count).map(|_| memory.connection()).collect();
            let overhead_kib = overhead_kib(memory_mb << 10);
            let other_kib = (base_mb << 10) + overhead_kib + connection_count * CONNECTION_KIB;
            let expected_kib = (memory_mb << 10).saturating_sub(other_kib).min((memory_mb << 10) * 3 / 5);
            assert_eq!(memory.available_bytes() >> 10, expected_kib.max(MIN_BODY_KIB), "{memory_mb} MB");
            drop(connections);
            let expected_kib = (((memory_mb - base_mb) << 10) - overhead_kib).min((memory_mb << 10) * 3 / 5);
            assert_eq!(memory.available_bytes() >> 10, expected_kib, "{memory_mb} MB without connections");
        }
    }
}

/// Guards against memory becoming available for bodies while connections use it.
#[test]
fn memory_that_bodies_return_first_pays_for_what_connections_took_meanwhile() {
    let memory = MemoryLimit::new(MEMORY_MB);
    let mut first = MemoryReservation::default();
    let mut second = MemoryReservation::default();
    let half_kib = (memory.available_bytes() >> 10) / 2;
    let half_bytes = half_kib << 10;
    assert!(memory.try_reserve(&mut first, half_bytes) && memory.try_reserve(&mut second, half_bytes));
    memory.record_resident(MEMORY_MB << 10, 0);
    memory.set_limit((MEMORY_MB / 2) << 10);
    assert_eq!(memory.available_bytes(), 0);
    drop(first);
    assert_eq!(memory.available_bytes(), 0, "half of the limit is still exceeded");
    drop(second);
    let base_kib = (MEMORY_MB << 10) - 2 * half_kib;
    let limit_kib = (MEMORY_MB / 2) << 10;
    assert_eq!(memory.available_bytes() >> 10, limit_kib - overhead_kib(limit_kib) - base_kib);
}

/// Guards against an integer overflow: another process sends the size to reserve.
#[test]
fn a_reservation_larger_than_the_available_memory_fails() {
    let memory = MemoryLimit::new(MEMORY_MB);
    let mut reservation = MemoryReservation::default();
    for bytes in [usize::MAX, usize::MAX - 1, 1 << 42, memory.available_bytes() + 1] {
        assert!(!memory.try_reserve_optional(&mut reservation, bytes), "{bytes}");
    }
}

/// Guards against handed-over bytes that take memory from bodies although there is enough beside them, or that remain
/// counted after they have been written or declined.
#[test]
fn handed_over_bytes_are_counted_beside_bodies_until_they_are_dropped() {
    let memory = MemoryLimit::new(MEMORY_MB);
    memory.set_handover_limit((MEMORY_MB / 2) << 10);
    let available_bytes = memory.available_bytes();
    let used_kib = memory.used_kib();
    for declined_bytes in [usize::MAX, MEMORY_MB << 20, (MEMORY_MB / 2 + 1) << 20] {
        assert!(memory.try_take_over(declined_bytes).is_none(), "{declined_bytes}");
    }
    let taken_over =
        memory.try_take_over((MEMORY_MB / 4) << 20).expect("memory that the other process leaves");
    assert!(memory.used_kib() >= used_kib + ((MEMORY_MB / 4) << 10));
    assert_eq!(memory.available_bytes(), available_bytes, "three fifths of the memory are still left");
    assert!(memory.try_take_over((MEMORY_MB / 4) << 20).is_none(), "with the allocator's overhead");
    memory.set_handover_limit(0);
    assert!(memory.try_take_over(0).is_some(), "a response of which nothing is unsent needs no memory");
    drop(taken_over);
    assert_eq!((memory.available_bytes(), memory.used_kib()), (available_bytes, used_kib));
}
