//! The scale test's role `peers` at its smallest two sizes: what members know and count, not how long this
//! machine takes.

use oakport_testbed::cluster::Program;
use oakport_testbed::scale::peers::net::Scopes;
use oakport_testbed::scale::peers::{run_phases, Phase};
use oakport_testbed::scale::point::{Figures, MeasureError, Point};
use std::path::Path;
use std::time::{Duration, Instant};

fn point(size: usize, deadline: Instant) -> Point {
    let nobody = Path::new("/nonexistent");
    Point { size, seed: 7, deadline, program: Program::oakport(nobody, nobody) }
}

fn played(size: usize, scopes: Scopes, all: &[Phase]) -> Figures {
    let deadline = Instant::now() + Duration::from_secs(600);
    run_phases(&point(size, deadline), scopes, all).expect("it ends in its time")
}

/// All know, within so many seconds of virtual time.
fn known(figures: &Figures, phase: &str, most: f64) {
    let name = format!("{phase}.s_until_all_know");
    let seconds = figures.get(&name).unwrap_or_else(|| panic!("{name}: never; {figures:?}"));
    assert!(*seconds <= most, "{name}: {seconds}");
}

#[test]
fn sixty_know_of_starts_deaths_and_a_zone_and_hold_nobody_dead_wrongly() {
    let phases = [Phase::Start, Phase::Quiet, Phase::Death, Phase::Rack, Phase::Zone];
    let figures = played(60, Scopes::One, &phases);
    for phase in ["death", "restart", "rack"] {
        known(&figures, phase, 5.0);
    }
    known(&figures, "zone", 8.0);
    sound(&figures, &["start", "quiet", "death", "restart", "rack", "zone", "back"]);
    assert!(figures["memory_bytes"] > 1_000.0, "what the calls allocate is counted");
    assert!(figures["memory_bytes"] <= figures["memory_bytes_most"]);
}

#[test]
fn so_they_do_in_scopes() {
    let figures = played(60, Scopes::Zones, &[Phase::Start, Phase::Death, Phase::Zone]);
    // News from another scope come with its next records, and a scope that is gone is silent after 5 s.
    known(&figures, "death", 8.0);
    known(&figures, "restart", 8.0);
    known(&figures, "zone", 12.0);
    sound(&figures, &["start", "death", "restart", "zone", "back"]);
}

/// What holds of sixty in scopes and without.
fn sound(figures: &Figures, phases: &[&str]) {
    known(figures, "start", 15.0);
    known(figures, "back", 15.0);
    for phase in phases {
        let figure = |name: &str| figures[&format!("{phase}.{name}")];
        assert_eq!(figure("held_dead_wrongly"), 0.0, "{phase}");
        assert_eq!(figure("scopes_silent_wrongly"), 0.0, "{phase}");
        // No second can be cheaper than the mean, and no datagram is shorter than its headers and envelope.
        assert!(figure("bytes_in_worst_second") >= figure("bytes_per_s_mean"), "{phase}");
        assert!(figure("bytes_per_s_mean") >= 44.0 * figure("datagrams_per_s_mean"), "{phase}");
        assert!(figure("datagrams_per_s_mean") >= 2.0, "{phase}: each is pinged, and answers");
    }
    assert_eq!(figures["start.count_off_share_after_15_s"], 0.0);
    assert!(figures["zone.count_least_share"] >= 1.0, "nobody counts fewer than there are");
}

#[test]
fn three_hundred_that_start_at_once_in_scopes_know_all() {
    let figures = played(300, Scopes::Zones, &[Phase::Start]);
    known(&figures, "start", 30.0);
    assert_eq!(figures["start.held_dead_wrongly"], 0.0);
}

#[test]
fn a_play_is_the_same_each_time() {
    let counted = || {
        let mut figures = played(60, Scopes::One, &[Phase::Start]);
        figures.retain(|name, _| !name.contains("cpu"));
        figures
    };
    assert_eq!(counted(), counted());
}

#[test]
fn a_play_whose_time_is_up_ends_itself() {
    let stopped = run_phases(&point(60, Instant::now()), Scopes::One, &Phase::ALL);
    assert!(matches!(stopped, Err(MeasureError::NotRun(_))), "{stopped:?}");
}
