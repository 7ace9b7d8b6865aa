//! How the estimate follows the measured connect times.

use super::*;
use crate::upstream::preconnect::REUSE_COOLDOWN_US;

const FAST_CONNECT_US: Micros = 150;
const SLOW_CONNECT_US: Micros = 184_000;

/// Guards against one slow connect that stops preconnecting for good, so that calls keep waiting for the
/// reuse cooldown.
#[test]
fn one_slow_connect_leaves_the_estimate_below_the_reuse_cooldown() {
    for connects in
        [&[SLOW_CONNECT_US][..], &[FAST_CONNECT_US, SLOW_CONNECT_US], &[SLOW_CONNECT_US, SLOW_CONNECT_US]]
    {
        let mut estimate = ConnectTimeEstimate::default();
        connects.iter().for_each(|elapsed| estimate.record(*elapsed));
        assert!(estimate.expected() < REUSE_COOLDOWN_US / 2, "{connects:?}: {estimate:?}");
    }
}

#[test]
fn repeated_slow_connects_raise_the_estimate_to_their_duration() {
    let mut estimate = ConnectTimeEstimate::default();
    (0..10).for_each(|_| estimate.record(SLOW_CONNECT_US));
    assert_eq!(estimate.expected(), SLOW_CONNECT_US);
}

#[test]
fn a_fast_connect_lowers_the_estimate_at_once() {
    let mut estimate = ConnectTimeEstimate::default();
    (0..10).for_each(|_| estimate.record(SLOW_CONNECT_US));
    estimate.record(FAST_CONNECT_US);
    assert_eq!(estimate.expected(), FAST_CONNECT_US);
}
