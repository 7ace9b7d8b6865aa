//! The scale test's role `peers` at its smallest two sizes: what members know and count, not how long this
//! machine takes.

use oakport_lab::rig::Program;
use oakport_lab::scale::peers::{moments, Moment};
use oakport_lab::scale::point::{Figures, Point, Stopped};
use std::path::Path;
use std::time::{Duration, Instant};

fn point(size: usize, until: Instant) -> Point {
    let nobody = Path::new("/nonexistent");
    Point { size, seed: 7, until, program: Program::oakport(nobody, nobody), sockets: None }
}

fn played(size: usize, all: &[Moment]) -> Figures {
    let until = Instant::now() + Duration::from_secs(600);
    moments(&point(size, until), all).expect("it ends in its time")
}

/// All know, within so many seconds of virtual time.
fn known(figures: &Figures, moment: &str, most: f64) {
    let name = format!("{moment}.s_until_all_know");
    let seconds = figures.get(&name).unwrap_or_else(|| panic!("{name}: never; {figures:?}"));
    assert!(*seconds <= most, "{name}: {seconds}");
}

#[test]
fn sixty_know_of_starts_deaths_and_a_zone_and_hold_nobody_dead_wrongly() {
    let figures = played(60, &[Moment::Start, Moment::Quiet, Moment::Death, Moment::Rack, Moment::Zone]);
    for (moment, most) in
        [("start", 15.0), ("death", 5.0), ("restart", 5.0), ("rack", 5.0), ("zone", 8.0), ("back", 15.0)]
    {
        known(&figures, moment, most);
    }
    for moment in ["start", "quiet", "death", "restart", "rack", "zone", "back"] {
        let figure = |name: &str| figures[&format!("{moment}.{name}")];
        assert_eq!(figure("held_dead_wrongly"), 0.0, "{moment}");
        // No second can be cheaper than the mean, and no datagram is shorter than its headers and envelope.
        assert!(figure("bytes_in_worst_second") >= figure("bytes_per_s_mean"), "{moment}");
        assert!(figure("bytes_per_s_mean") >= 44.0 * figure("datagrams_per_s_mean"), "{moment}");
        assert!(figure("datagrams_per_s_mean") >= 2.0, "{moment}: each is pinged, and answers");
    }
    assert_eq!(figures["start.count_off_share_after_15_s"], 0.0);
    assert!(figures["zone.count_least_share"] >= 1.0, "nobody counts fewer than there are");
    assert!(figures["memory_bytes"] > 1_000.0, "what the calls allocate is counted");
    assert!(figures["memory_bytes"] <= figures["memory_bytes_most"]);
}

#[test]
fn three_hundred_that_start_at_once_know_all() {
    let figures = played(300, &[Moment::Start]);
    known(&figures, "start", 30.0);
    assert_eq!(figures["start.held_dead_wrongly"], 0.0);
}

#[test]
fn a_play_is_the_same_each_time() {
    let counted = || {
        let mut figures = played(60, &[Moment::Start]);
        figures.retain(|name, _| !name.contains("cpu"));
        figures
    };
    assert_eq!(counted(), counted());
}

#[test]
fn a_play_whose_time_is_up_ends_itself() {
    let stopped = moments(&point(60, Instant::now()), &Moment::ALL);
    assert!(matches!(stopped, Err(Stopped::NotRun(_))), "{stopped:?}");
}
