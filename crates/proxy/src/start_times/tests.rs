//! Start times that were taken before and after steps of the system's time.

use super::*;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;
const START: Micros = 500_000 * HOUR;

fn observed(unix_times: &[(Micros, Micros)]) -> StartTimes {
    let mut times = StartTimes::default();
    for &(unix_time, now) in unix_times {
        times.observe(unix_time, now);
    }
    times
}

#[test]
fn without_a_step_a_start_time_stays_as_it_is() {
    let times = observed(&[(START, START), (START + SECOND + 900, START + SECOND)]);
    assert_eq!(times.started_at(0, START), 0);
    assert!(times.started_at(START - HOUR, START).abs_diff(START - HOUR) < 1_000);
}

#[test]
fn an_endpoint_that_starts_after_a_step_is_as_old_as_it_is() {
    // Guards against endpoints that count as warm, or as cold for an hour, since the system's time was stepped.
    for stepped in [START - HOUR, START + HOUR, START + 2 * SECOND, START - 2 * SECOND] {
        let times = observed(&[(START, START), (stepped, START)]);
        let now = START + 10 * SECOND;
        let started_at = times.started_at(stepped + 9 * SECOND, now);
        assert!(started_at >= START + 9 * SECOND && started_at <= now, "{stepped} {started_at}");
    }
}

#[test]
fn an_endpoint_that_started_before_a_step_does_not_count_as_warmer() {
    for stepped in [START - HOUR, START + HOUR, START + 2 * SECOND, START - 2 * SECOND] {
        let times = observed(&[(START, START), (stepped, START)]);
        let started_at = times.started_at(START - SECOND, START + SECOND);
        assert!((START - SECOND..=START + SECOND).contains(&started_at), "{stepped} {started_at}");
    }
}

#[test]
fn a_start_time_in_the_future_counts_as_now() {
    assert_eq!(observed(&[(START, START)]).started_at(START + HOUR, START), START);
}
