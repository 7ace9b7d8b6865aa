use super::{completion_deadline, Shutdown, COMPLETION_TIMEOUT, KILL_MARGIN};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

#[test]
fn the_earliest_kill_is_after_the_longest_deadline_capped_at_three_seconds() {
    for (longest_deadline_ms, kill_after_ms) in
        [(1_000, 1_700), (2_000, 2_700), (3_000, 3_700), (60_000, 3_700)]
    {
        let shutdown = Shutdown::begin(Duration::from_millis(longest_deadline_ms));
        assert_eq!(shutdown.earliest_kill - shutdown.began, Duration::from_millis(kill_after_ms));
    }
}

#[test]
fn the_latest_completion_is_early_enough_that_no_kill_loses_the_request() {
    for longest_deadline_ms in [1_000, 2_000, 3_000, 60_000] {
        let shutdown = Shutdown::begin(Duration::from_millis(longest_deadline_ms));
        let latest = shutdown.latest_completion() - shutdown.began;
        assert_eq!(latest, COMPLETION_TIMEOUT);
        assert!(latest < KILL_MARGIN, "a later request is lost if it is unanswered at the kill");
    }
}

#[tokio::test]
async fn the_completion_deadline_resolves_at_the_latest_completion_of_a_shutdown() {
    let (sender, signal) = watch::channel(None);
    let early = tokio::time::timeout(KILL_MARGIN, completion_deadline(signal.clone())).await;
    assert!(early.is_err(), "no shutdown has begun");
    let shutdown = Shutdown::begin(Duration::ZERO);
    sender.send_replace(Some(shutdown));
    completion_deadline(signal).await;
    assert!(Instant::now() >= shutdown.latest_completion());
}
