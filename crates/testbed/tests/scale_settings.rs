//! The scale test's role `settings`: the last of many changes is in force everywhere, and an invalid one
//! nowhere.

use oakport_testbed::cluster::Program;
use oakport_testbed::scale::point::{Figures, MeasureError, Point};
use oakport_testbed::scale::settings::{measure, Extent, ROLE};
use std::path::Path;
use std::time::{Duration, Instant};

const SHORT: Extent = Extent { changes: 1, pause: Duration::ZERO, interval: Duration::from_millis(20) };

fn measure_size(size: usize) -> Result<Figures, MeasureError> {
    let testbed = Path::new(env!("CARGO_BIN_EXE_oakport-testbed"));
    let oakport = testbed.with_file_name("oakport");
    assert!(oakport.is_file(), "oakport is built with the workspace");
    let program = Program::oakport(testbed, &oakport);
    let deadline = Instant::now() + Duration::from_secs(60);
    measure(&Point { size, seed: 1, deadline, program }, SHORT)
}

#[test]
fn the_last_change_is_in_force_everywhere_and_an_invalid_one_nowhere() {
    for size in &ROLE.sizes[..2] {
        let figures = measure_size(*size).expect("the measurement succeeds");
        let figure = |name: &str| figures[name];
        assert_eq!(figure("one.lost"), 0.0, "{figures:?}");
        assert_eq!(figure("ten.lost"), 0.0, "{figures:?}");
        assert!(figure("ten.taken_least") >= 1.0, "{figures:?}");
        for wrong in ["wrong", "wrong_100"] {
            let figure = |name: &str| figure(&format!("{wrong}.{name}"));
            assert_eq!(figure("not_told"), 0.0, "each process counts the rejected file: {figures:?}");
            assert_eq!(figure("in_force"), 0.0, "{figures:?}");
            assert_eq!(figure("old_lost"), 0.0, "{figures:?}");
            assert_eq!(figure("log_lines"), 1.0, "{figures:?}");
        }
        assert!(figure("wrong.log_bytes") < 1_024.0, "{figures:?}");
        assert!(figure("calls.asked") >= *size as f64, "{figures:?}");
        assert_eq!(figure("calls.failed"), 0.0, "{figures:?}");
        for bound in ROLE.bounds {
            assert!(figures.contains_key(bound.figure), "{}", bound.figure);
        }
    }
}

#[test]
fn a_size_that_exceeds_the_resources_of_the_machine_is_not_run() {
    let error = measure_size(100_000).expect_err("there are too few descriptors");
    assert!(matches!(error, MeasureError::NotRun(_)), "{error:?}");
}
