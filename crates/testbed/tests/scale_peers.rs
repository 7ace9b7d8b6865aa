//! The scale test's role `peers` at its two smallest sizes: what members know and count, regardless of the
//! speed of the machine.

use oakport_testbed::cluster::Program;
use oakport_testbed::scale::peers::net::Scopes;
use oakport_testbed::scale::peers::{run_phases, Phase};
use oakport_testbed::scale::point::{Figures, MeasureError, Point};
use std::path::Path;
use std::time::{Duration, Instant};

fn point(size: usize, deadline: Instant) -> Point {
    let no_program = Path::new("/nonexistent");
    Point { size, seed: 7, deadline, program: Program::oakport(no_program, no_program) }
}

fn measure(size: usize, scopes: Scopes, all: &[Phase]) -> Figures {
    let deadline = Instant::now() + Duration::from_secs(600);
    run_phases(&point(size, deadline), scopes, all).expect("the measurement ends within its time limit")
}

/// Checks that all members knew of the change within this many seconds of virtual time.
fn assert_all_known(figures: &Figures, phase: &str, max_seconds: f64) {
    let name = format!("{phase}.s_until_all_know");
    let seconds = figures.get(&name).unwrap_or_else(|| panic!("{name}: not all members knew; {figures:?}"));
    assert!(*seconds <= max_seconds, "{name}: {seconds}");
}

#[test]
fn sixty_members_detect_starts_deaths_and_a_zone_loss_without_false_deaths() {
    let phases = [Phase::Start, Phase::Quiet, Phase::Death, Phase::Rack, Phase::Zone];
    let figures = measure(60, Scopes::One, &phases);
    for phase in ["death", "restart", "rack"] {
        assert_all_known(&figures, phase, 5.0);
    }
    assert_all_known(&figures, "zone", 8.0);
    assert_sound(&figures, &["start", "quiet", "death", "restart", "rack", "zone", "back"]);
    assert!(figures["memory_bytes"] > 1_000.0, "allocations of the calls are counted");
    assert!(figures["memory_bytes"] <= figures["memory_bytes_most"]);
}

#[test]
fn sixty_members_in_scopes_detect_starts_deaths_and_a_zone_loss_without_false_deaths() {
    let figures = measure(60, Scopes::Zones, &[Phase::Start, Phase::Death, Phase::Zone]);
    // A change in another scope is known with its next record, and a lost scope is silent after 5 s.
    assert_all_known(&figures, "death", 8.0);
    assert_all_known(&figures, "restart", 8.0);
    assert_all_known(&figures, "zone", 12.0);
    assert_sound(&figures, &["start", "death", "restart", "zone", "back"]);
}

/// Checks that hold for sixty members with and without scopes.
fn assert_sound(figures: &Figures, phases: &[&str]) {
    assert_all_known(figures, "start", 15.0);
    assert_all_known(figures, "back", 15.0);
    for phase in phases {
        let figure = |name: &str| figures[&format!("{phase}.{name}")];
        assert_eq!(figure("held_dead_wrongly"), 0.0, "{phase}");
        assert_eq!(figure("scopes_silent_wrongly"), 0.0, "{phase}");
        // The worst second cannot be below the mean, and no datagram is shorter than its headers and envelope
        // (44 bytes).
        assert!(figure("bytes_in_worst_second") >= figure("bytes_per_s_mean"), "{phase}");
        assert!(figure("bytes_per_s_mean") >= 44.0 * figure("datagrams_per_s_mean"), "{phase}");
        assert!(figure("datagrams_per_s_mean") >= 2.0, "{phase}: each member is probed, and answers");
    }
    assert_eq!(figures["start.count_off_share_after_15_s"], 0.0);
    assert!(figures["zone.count_least_share"] >= 1.0, "no member counts fewer than run");
}

#[test]
fn three_hundred_members_that_start_together_in_scopes_know_all() {
    let figures = measure(300, Scopes::Zones, &[Phase::Start]);
    assert_all_known(&figures, "start", 30.0);
    assert_eq!(figures["start.held_dead_wrongly"], 0.0);
}

#[test]
fn a_measurement_is_reproducible_for_the_same_seed() {
    let counts = || {
        let mut figures = measure(60, Scopes::One, &[Phase::Start]);
        figures.retain(|name, _| !name.contains("cpu"));
        figures
    };
    assert_eq!(counts(), counts());
}

#[test]
fn a_measurement_past_its_deadline_is_reported_as_not_run() {
    let error = run_phases(&point(60, Instant::now()), Scopes::One, &Phase::ALL);
    assert!(matches!(error, Err(MeasureError::NotRun(_))), "{error:?}");
}
