//! The scale test of `decisions`: rules are kept, cold servers stand, and the way back from a burst is found.

use oakport_testbed::scale::decisions::{course, Course, Day};
use oakport_testbed::scale::point::MeasureError;
use std::time::{Duration, Instant};

/// Longest time for a day.
const LONG: Duration = Duration::from_secs(300);

fn played(balancers: usize, day: Day) -> Course {
    let course = course(balancers, 6, day, 1, Instant::now() + LONG).expect("it ends in its time");
    let verdict = &course.verdict;
    println!("{balancers} {day:?}: {} tries, {} events, {verdict:?}", verdict.tries, course.events);
    assert_eq!((verdict.violation_count, verdict.cold_overloads), (0, 0), "{:?}", verdict.violations);
    assert_eq!(course.memory.len(), balancers);
    // Each try is an event, and a call that is served is another.
    assert!(course.events > verdict.tries + verdict.requests / 2, "{} events", course.events);
    course
}

fn both_days(balancers: usize) {
    let burst = played(balancers, Day::Burst);
    assert!(burst.verdict.recovery_time.is_some(), "it is served as before: {:?}", burst.verdict.windows);
    assert!(burst.memory.iter().all(|held| *held > 0), "{:?}", burst.memory);
    let release = played(balancers, Day::Release);
    assert_eq!(release.verdict.recovery_time, None, "there was no burst");
}

#[test]
fn sixty_balancers_find_their_way() {
    both_days(60);
}

#[test]
fn three_hundred_balancers_find_their_way() {
    both_days(300);
}

#[test]
fn a_day_that_would_not_end_in_its_time_has_no_figures() {
    let late = course(60, 6, Day::Burst, 1, Instant::now());
    assert!(matches!(late, Err(MeasureError::NotRun(_))), "{late:?}");
}
