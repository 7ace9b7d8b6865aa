//! The scale of the clock.

use super::*;

/// Start times of endpoints are Unix time: on a clock of another origin an endpoint that warms up would look warm, or
/// would never warm up.
#[test]
fn the_clock_counts_unix_time_as_start_times_of_endpoints_do() {
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).expect("a date").as_micros() as Micros;
    let now = Clock::start().now();
    assert!(now.abs_diff(unix_time) < 5_000_000, "{now} {unix_time}");
}
