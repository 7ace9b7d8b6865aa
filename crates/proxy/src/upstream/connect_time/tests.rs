//! What the estimate follows from.

use super::*;
use crate::upstream::preconnect::REUSE_COOLDOWN_US;

const FAST_CONNECT_US: Micros = 150;
const SLOW_CONNECT_US: Micros = 184_000;

/// Guards against calls that wait for the reuse cooldown without end since one connect was slow.
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
fn connects_that_are_always_slow_raise_the_estimate_to_their_time() {
    let mut estimate = ConnectTimeEstimate::default();
    (0..10).for_each(|_| estimate.record(SLOW_CONNECT_US));
    assert_eq!(estimate.expected(), SLOW_CONNECT_US);
}

#[test]
fn a_fast_connect_counts_at_once() {
    let mut estimate = ConnectTimeEstimate::default();
    (0..10).for_each(|_| estimate.record(SLOW_CONNECT_US));
    estimate.record(FAST_CONNECT_US);
    assert_eq!(estimate.expected(), FAST_CONNECT_US);
}
