use super::*;

const LIMIT: usize = 2;

/// Guards against a successor that has no descriptors left for new clients once it has taken responses over, and against
/// one that may open more after each response that it has declined.
#[test]
fn handed_over_sockets_count_beside_the_share_of_a_successor_while_they_are_open() {
    let descriptors = Descriptors::new(0);
    descriptors.set_limit_beside_handed_over(LIMIT);
    for _ in 0..9 {
        drop(descriptors.acquire_handed_over());
    }
    let handed_over: Vec<_> = (0..9).map(|_| descriptors.acquire_handed_over()).collect();
    let own: Vec<_> = std::iter::from_fn(|| descriptors.try_acquire()).collect();
    assert_eq!((own.len(), descriptors.excess()), (LIMIT, 0));
    drop(handed_over);
    assert_eq!((descriptors.open_count(), descriptors.excess()), (LIMIT, 0));
    assert!(descriptors.try_acquire().is_none());
}

/// Guards against a process that holds more than its limit once it runs alone.
#[test]
fn handed_over_sockets_count_within_the_limit_of_a_process_that_runs_alone() {
    let descriptors = Descriptors::new(0);
    descriptors.set_limit_beside_handed_over(0);
    let handed_over: Vec<_> = (0..LIMIT + 1).map(|_| descriptors.acquire_handed_over()).collect();
    descriptors.set_limit(LIMIT);
    assert_eq!(descriptors.excess(), 1);
    assert!(descriptors.try_acquire().is_none());
    drop(handed_over);
    assert!(descriptors.try_acquire().is_some());
}
