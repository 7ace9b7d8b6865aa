//! The scale test: its slopes.

use oakport_lab::scale::fit::Fit;

#[test]
fn a_power_law_is_found_again() {
    let points: Vec<(f64, f64)> =
        [60.0, 300.0, 1_000.0, 6_300.0].map(|size: f64| (size, 0.5 * size.powf(1.3))).into();
    let fit = Fit::of(&points).expect("four sizes");
    assert!((fit.exponent - 1.3).abs() < 1e-9, "{fit:?}");
    assert!(fit.residual < 1e-9, "{fit:?}");
    let reaches = fit.reaches(fit.at(2_000.0)).expect("it grows");
    assert!((reaches - 2_000.0).abs() < 1e-6, "{reaches}");
}

#[test]
fn what_has_no_slope_is_not_given_one() {
    assert_eq!(Fit::of(&[(60.0, 1.0)]), None, "one size");
    assert_eq!(Fit::of(&[(60.0, 1.0), (60.0, 2.0)]), None, "one size twice");
    assert_eq!(Fit::of(&[(60.0, 0.0), (300.0, 2.0)]), None, "nothing has no logarithm");
    let flat = Fit::of(&[(60.0, 2.0), (300.0, 2.0)]).expect("two sizes");
    assert_eq!(flat.reaches(3.0), None, "what does not grow reaches no bound");
}
