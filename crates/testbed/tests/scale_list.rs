//! The scale test's list: a process has each server that it is told, and a change changes what it names.

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

fn played(size: usize) -> Figures {
    let lab = Path::new(env!("CARGO_BIN_EXE_oakport-testbed"));
    let oakport = lab.with_file_name("oakport");
    assert!(oakport.is_file(), "it is built with the workspace");
    let program = Program::oakport(lab, &oakport);
    let point = Point { size, seed: 1, deadline: Instant::now() + Duration::from_secs(60), program };
    measure(&point, SHORT).expect("it is played")
}

#[test]
fn each_server_is_known_and_a_change_changes_what_it_names() {
    for size in &ROLE.sizes[..2] {
        let figures = played(*size);
        for way in ["pushed", "asked"] {
            let figure = |name: &str| figures[&format!("{way}.{name}")];
            let listed = *size as f64;
            assert_eq!(figure("whole.listed"), listed, "{way}");
            assert_eq!(figure("one.changed"), 1.0, "{way}");
            assert_eq!(figure("zone.changed"), size.div_ceil(11) as f64, "{way}");
            assert_eq!(figure("day.listed"), listed, "{way}: whoever was restarted is there again");
            assert!(figure("whole.bytes") > 50.0 * listed, "{way}: each has an entry");
            assert!(figure("one.bytes") < 1_000.0, "{way}: a change tells of one, not of all");
        }
    }
}

#[test]
fn each_budget_is_of_a_figure_that_there_is() {
    let figures = played(ROLE.sizes[0]);
    for bound in ROLE.bounds {
        assert!(figures.contains_key(bound.figure), "{}", bound.figure);
    }
}

#[test]
fn what_would_not_end_in_its_time_is_told_as_not_run() {
    let lab = Path::new(env!("CARGO_BIN_EXE_oakport-testbed"));
    let program = Program::oakport(lab, &lab.with_file_name("oakport"));
    let point = Point { size: 6, seed: 1, deadline: Instant::now(), program };
    let stopped = measure(&point, SHORT).expect_err("there is no time");
    assert!(matches!(stopped, oakport_testbed::scale::point::MeasureError::NotRun(_)), "{stopped:?}");
}
