//! When a client can have written its last byte.

use super::*;
use std::time::Duration;

fn times() -> (Instant, impl Fn(u64) -> Instant) {
    let began = Instant::now();
    (began, move |ms| began + Duration::from_millis(ms))
}

#[test]
fn progress_moves_the_bound_only_to_times_before_the_end_was_written() {
    // Guards against progress at an endpoint that extends the time of a final answer.
    let (began, at) = times();
    let mut bound = EndBound::new(began);
    // The client writes 1,000 bytes, the last one between 20 and 30 ms.
    for (ms, position) in [(10, 400), (20, 900), (30, 1_000), (40, 1_000), (50, 1_000)] {
        bound.record_written(at(ms), position);
    }
    assert_eq!(bound.not_before(), began, "nothing has been read");
    bound.exclude_end_up_to(399);
    assert_eq!(bound.not_before(), began);
    bound.exclude_end_up_to(400);
    assert_eq!(bound.not_before(), at(10));
    for position in 901..1_000 {
        bound.exclude_end_up_to(position);
        assert_eq!(bound.not_before(), at(20), "up to {position}");
    }
}

#[test]
fn a_later_observation_bounds_what_was_written_before() {
    let (began, at) = times();
    let mut bound = EndBound::new(began);
    bound.record_written(at(10), 5_000);
    bound.record_written(at(20), 300);
    bound.exclude_end_up_to(300);
    assert_eq!(bound.not_before(), at(20));
}

#[test]
fn a_client_that_is_known_to_be_writing_moves_the_bound() {
    let (began, at) = times();
    let mut bound = EndBound::new(began);
    bound.record_incomplete(at(50));
    bound.record_incomplete(at(40));
    assert_eq!(bound.not_before(), at(50));
    bound.record_written(at(45), 10);
    bound.exclude_end_up_to(10);
    assert_eq!(bound.not_before(), at(50), "never earlier");
}

#[test]
fn dropped_observations_make_the_bound_earlier_and_never_later() {
    let (began, at) = times();
    let mut bound = EndBound::new(began);
    for number in 1..1_000 {
        bound.record_written(at(number), number);
    }
    assert!(bound.observations.len() <= MAX_OBSERVATIONS);
    for position in 1..1_000 {
        bound.exclude_end_up_to(position);
        assert!(bound.not_before() <= at(position));
    }
}
