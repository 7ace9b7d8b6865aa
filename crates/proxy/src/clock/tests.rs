//! The origin of the clock.

use super::*;

/// Start times of endpoints are Unix times: if the clock had another origin, an endpoint in warm-up would
/// look warm, or its warm-up would never end.
#[test]
fn the_clock_counts_from_the_unix_epoch() {
    let unix_time =
        SystemTime::now().duration_since(UNIX_EPOCH).expect("a system time after the Unix epoch").as_micros()
            as Micros;
    let now = Clock::start().now();
    assert!(now.abs_diff(unix_time) < 5_000_000, "clock: {now}, system time: {unix_time}");
}
