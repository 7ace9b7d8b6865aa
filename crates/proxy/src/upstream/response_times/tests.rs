//! Which responses are early.

use super::*;

const CLASS: ClassId = ClassId(1);

fn times(times: impl IntoIterator<Item = Micros>) -> ResponseTimes {
    let mut response_times = ResponseTimes::default();
    times.into_iter().for_each(|time| response_times.record(CLASS, time));
    response_times
}

#[test]
fn a_response_much_sooner_than_any_other_is_early() {
    let times = times((0..100).map(|number| 40_000 + number * 100));
    assert_eq!(times.confirmation_time_if_early(CLASS, 19_999), Some(2 * 49_900));
    assert_eq!(times.confirmation_time_if_early(CLASS, 20_000), None);
    assert_eq!(times.confirmation_time_if_early(ClassId(0), 1), None, "another class");
}

#[test]
fn no_response_is_early_before_enough_are_known() {
    assert_eq!(times((1..MIN_RESPONSES).map(|_| 50_000)).confirmation_time_if_early(CLASS, 1), None);
}

#[test]
fn no_response_is_early_where_all_are_short() {
    assert_eq!(times([MIN_SHORTEST_US - 1; 100]).confirmation_time_if_early(CLASS, 1), None);
    assert!(times([MIN_SHORTEST_US; 100]).confirmation_time_if_early(CLASS, 1).is_some());
}

#[test]
fn endpoints_that_have_become_faster_are_not_early_for_long() {
    let slow = (0..1_000).map(|_| 80_000);
    let fast = (0..RESPONSES_PER_RANGE * 2).map(|_| 20_000);
    assert_eq!(times(slow.clone().chain([20_000])).confirmation_time_if_early(CLASS, 19_000), None);
    let times = times(slow.chain(fast));
    assert_eq!(times.confirmation_time_if_early(CLASS, 9_000), Some(40_000), "the slow ones are forgotten");
}
