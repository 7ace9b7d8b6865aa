//! The scale test's role `decisions`: all rules are kept, no cold server is overloaded, and service recovers
//! after a burst.

use oakport_testbed::scale::decisions::{simulate_service, Disturbance, Simulated};
use oakport_testbed::scale::point::MeasureError;
use std::time::{Duration, Instant};

/// Time limit of a simulation.
const TIME_LIMIT: Duration = Duration::from_secs(300);

fn simulate_and_check(balancers: usize, disturbance: Disturbance) -> Simulated {
    let simulated = simulate_service(balancers, 6, disturbance, 1, Instant::now() + TIME_LIMIT)
        .expect("the simulation ends within its time limit");
    let verdict = &simulated.verdict;
    println!(
        "{balancers} {disturbance:?}: {} tries, {} events, {verdict:?}",
        verdict.tries, simulated.events
    );
    assert_eq!((verdict.violation_count, verdict.cold_overloads), (0, 0), "{:?}", verdict.violations);
    assert_eq!(simulated.memory.len(), balancers);
    // Each attempt is an event, and each served call another.
    assert!(simulated.events > verdict.tries + verdict.requests / 2, "{} events", simulated.events);
    simulated
}

fn check_both_disturbances(balancers: usize) {
    let burst = simulate_and_check(balancers, Disturbance::Burst);
    assert!(
        burst.verdict.recovery_time.is_some(),
        "service recovers after the burst: {:?}",
        burst.verdict.windows
    );
    assert!(burst.memory.iter().all(|held| *held > 0), "{:?}", burst.memory);
    let release = simulate_and_check(balancers, Disturbance::Release);
    assert_eq!(release.verdict.recovery_time, None, "there was no burst");
}

#[test]
fn sixty_balancers_keep_the_rules_and_recover_after_a_burst() {
    check_both_disturbances(60);
}

#[test]
fn three_hundred_balancers_keep_the_rules_and_recover_after_a_burst() {
    check_both_disturbances(300);
}

#[test]
fn a_simulation_that_exceeds_its_deadline_has_no_result() {
    let late = simulate_service(60, 6, Disturbance::Burst, 1, Instant::now());
    assert!(matches!(late, Err(MeasureError::NotRun(_))), "{late:?}");
}
