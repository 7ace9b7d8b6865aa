use super::{completion_deadline, Shutdown, KILL_MARGIN, RESPONSE_MARGIN};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

#[test]
fn the_earliest_kill_follows_the_longest_deadline_of_at_most_three_seconds() {
    for (longest_deadline_ms, kill_after_ms) in
        [(1_000, 1_700), (2_000, 2_700), (3_000, 3_700), (60_000, 3_700)]
    {
        let shutdown = Shutdown::begin(Duration::from_millis(longest_deadline_ms));
        assert_eq!(shutdown.earliest_kill - shutdown.began, Duration::from_millis(kill_after_ms));
    }
}

#[test]
fn a_request_may_become_complete_while_its_timeout_ends_before_the_kill() {
    let shutdown = Shutdown::begin(Duration::from_secs(2));
    let latest = |timeout_ms| shutdown.latest_completion(Duration::from_millis(timeout_ms)) - shutdown.began;
    assert_eq!(latest(500), Duration::from_millis(2_200) - RESPONSE_MARGIN);
    assert_eq!(latest(2_000), KILL_MARGIN);
    assert_eq!(latest(600_000), KILL_MARGIN, "it is not lost before that");
}

#[tokio::test]
async fn the_completion_deadline_waits_for_the_shutdown_and_then_for_its_moment() {
    let (sender, signal) = watch::channel(None);
    let timeout = Duration::from_millis(500);
    let early = tokio::time::timeout(KILL_MARGIN, completion_deadline(signal.clone(), timeout)).await;
    assert!(early.is_err(), "no shutdown has begun");
    let shutdown = Shutdown::begin(Duration::ZERO);
    sender.send_replace(Some(shutdown));
    completion_deadline(signal, timeout).await;
    assert!(Instant::now() >= shutdown.latest_completion(timeout));
}
