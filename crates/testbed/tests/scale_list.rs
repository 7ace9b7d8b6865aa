//! The scale test's role `list`: a process lists every server that it receives, and a change affects only its
//! servers.

use oakport_testbed::cluster::Program;
use oakport_testbed::scale::list::{measure, Extent, ROLE};
use oakport_testbed::scale::point::{Figures, Point};
use std::path::Path;
use std::time::{Duration, Instant};

const SHORT: Extent = Extent {
    starts: 2,
    changes: 2,
    large: 1,
    restarts: 2,
    pause: Duration::from_millis(1),
    quiet: Duration::from_millis(10),
};

fn measure_size(size: usize) -> Figures {
    let testbed = Path::new(env!("CARGO_BIN_EXE_oakport-testbed"));
    let oakport = testbed.with_file_name("oakport");
    assert!(oakport.is_file(), "oakport is built with the workspace");
    let program = Program::oakport(testbed, &oakport);
    let point = Point { size, seed: 1, deadline: Instant::now() + Duration::from_secs(60), program };
    measure(&point, SHORT).expect("the measurement succeeds")
}

#[test]
fn all_servers_are_listed_and_a_change_affects_only_its_servers() {
    for size in &ROLE.sizes[..2] {
        let figures = measure_size(*size);
        for mode in ["pushed", "asked"] {
            let figure = |name: &str| figures[&format!("{mode}.{name}")];
            let listed = *size as f64;
            assert_eq!(figure("whole.listed"), listed, "{mode}");
            assert_eq!(figure("one.changed"), 1.0, "{mode}");
            assert_eq!(figure("zone.changed"), size.div_ceil(11) as f64, "{mode}");
            assert_eq!(figure("day.listed"), listed, "{mode}: restarted servers are listed again");
            assert!(
                figure("whole.bytes") > 50.0 * listed,
                "{mode}: the full list has an entry for each server"
            );
            assert!(figure("one.bytes") < 1_000.0, "{mode}: a change sends one entry, not the whole list");
        }
    }
}

#[test]
fn each_budget_names_a_measured_figure() {
    let figures = measure_size(ROLE.sizes[0]);
    for bound in ROLE.bounds {
        assert!(figures.contains_key(bound.figure), "{}", bound.figure);
    }
}

#[test]
fn a_measurement_past_its_deadline_is_reported_as_not_run() {
    let testbed = Path::new(env!("CARGO_BIN_EXE_oakport-testbed"));
    let program = Program::oakport(testbed, &testbed.with_file_name("oakport"));
    let point = Point { size: 6, seed: 1, deadline: Instant::now(), program };
    let error = measure(&point, SHORT).expect_err("the deadline has passed");
    assert!(matches!(error, oakport_testbed::scale::point::MeasureError::NotRun(_)), "{error:?}");
}
