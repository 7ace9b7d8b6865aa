//! The scale test: fitted slopes, and the tables generated from results.

use oakport_testbed::scale::fit::Fit;
use oakport_testbed::scale::page;
use oakport_testbed::scale::point::{Bound, Figures, MeasureError, Point, RoleSpec};

#[test]
fn a_fit_recovers_a_power_law() {
    let points: Vec<(f64, f64)> =
        [60.0, 300.0, 1_000.0, 6_300.0].map(|size: f64| (size, 0.5 * size.powf(1.3))).into();
    let fit = Fit::of(&points).expect("four sizes");
    assert!((fit.exponent - 1.3).abs() < 1e-9, "{fit:?}");
    assert!(fit.residual < 1e-9, "{fit:?}");
    let reaches = fit.reaches(fit.at(2_000.0)).expect("the figure grows");
    assert!((reaches - 2_000.0).abs() < 1e-6, "{reaches}");
}

#[test]
fn points_without_a_slope_give_no_fit() {
    assert_eq!(Fit::of(&[(60.0, 1.0)]), None, "one size");
    assert_eq!(Fit::of(&[(60.0, 1.0), (60.0, 2.0)]), None, "one size twice");
    assert_eq!(Fit::of(&[(60.0, 0.0), (300.0, 2.0)]), None, "0 has no logarithm");
    let flat = Fit::of(&[(60.0, 2.0), (300.0, 2.0)]).expect("two sizes");
    assert_eq!(flat.reaches(3.0), None, "a constant figure reaches no bound");
}

fn none(_: &Point) -> Result<Figures, MeasureError> {
    Err(MeasureError::NotRun("not measured in this test".to_owned()))
}

const BOUNDS: &[Bound] = &[
    Bound { figure: "quiet.cpu_share", max: 0.018, min_size: 0, is_enforced: false },
    Bound { figure: "memory_bytes", max: 5_000.0, min_size: 0, is_enforced: false },
    Bound { figure: "start.bytes", max: 50.0, min_size: 0, is_enforced: false },
];
const SPECS: &[RoleSpec] =
    &[RoleSpec { name: "peers", size_unit: "members", sizes: &[60, 600], bounds: BOUNDS, measure: none }];
const JSON: &str = r#"{"roles": {"peers": {
    "60": {"quiet.cpu_share": 0.001, "memory_bytes": 600, "start.bytes": 100},
    "600": {"quiet.cpu_share": 0.01, "memory_bytes": 6000, "start.bytes": 1000},
    "6300": {"not_run": "no time"}}}}"#;

#[test]
fn tables_are_generated_from_results_and_regenerating_them_changes_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("a.json"), JSON).expect("written");
    let page = "# Page\n<!-- scale a.json peers quiet.cpu_share memory_bytes -->\nold\n<!-- end -->\nText.\n\
                <!-- scale a.json order -->\n<!-- end -->\n";
    let regenerated = page::regenerate(page, folder.path(), SPECS).expect("regenerated");
    assert!(!regenerated.contains("old") && regenerated.contains("Text."), "{regenerated}");
    let row = "| `quiet.cpu_share` | 1.00e-3 | 0.0100 | not run | 1.00 | 0.1050 computed | 0.0180 | 1080 computed |";
    assert!(regenerated.contains(row), "{regenerated}");
    assert!(regenerated.contains("Not run at 6300: no time."), "{regenerated}");
    assert!(regenerated.contains("| 5000 | 60 to 600 |"), "{regenerated}");
    let order: Vec<&str> = regenerated.lines().filter(|line| line.contains(" members | peers | ")).collect();
    let figures = ["start.bytes", "memory_bytes", "quiet.cpu_share"];
    assert_eq!(order.len(), figures.len(), "{regenerated}");
    assert!(order.iter().zip(figures).all(|(line, figure)| line.contains(figure)), "{order:#?}");
    assert_eq!(page::regenerate(&regenerated, folder.path(), SPECS).expect("regenerated again"), regenerated);
    // If two files contain the same role, the last one counts.
    let later = JSON.replace("0.001", "0.002");
    std::fs::write(folder.path().join("b.json"), later).expect("written");
    let both = page.replace("a.json peers", "a.json,b.json peers");
    let regenerated = page::regenerate(&both, folder.path(), SPECS).expect("regenerated from both");
    assert!(regenerated.contains("| `quiet.cpu_share` | 2.00e-3 |"), "{regenerated}");
}

#[test]
fn missing_files_roles_figures_and_ends_are_reported_with_their_line() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("a.json"), JSON).expect("written");
    let regeneration_error = |request: &str| {
        let page = format!("# Page\n<!-- scale {request} -->\n<!-- end -->\n");
        page::regenerate(&page, folder.path(), SPECS).expect_err("nothing to generate from")
    };
    assert!(regeneration_error("b.json peers x").contains("line 2: b.json: "));
    assert_eq!(regeneration_error("a.json"), "line 2: expected a file, a role and figures");
    assert_eq!(regeneration_error("a.json calls x"), "line 2: unknown role 'calls'");
    assert_eq!(regeneration_error("a.json peers x"), "line 2: a.json has no figure 'x' of peers");
    let page = "<!-- scale a.json peers memory_bytes -->\n";
    let error = page::regenerate(page, folder.path(), SPECS).expect_err("the end line is missing");
    assert!(error.starts_with("line 1: the table has no end"), "{error}");
}
