//! Tests of the watcher's timeouts and intervals against the notification deadlines.

use super::*;

/// Holds for drain windows of all sizes, and for pushed and polled lists: the last step ends before the change counts
/// as notified and before the drain window ends.
#[test]
fn each_step_ends_before_the_notification_deadline() {
    for grace in [20, 80, 500, 1_000, 5_000, 60_000].map(Duration::from_millis) {
        for max_poll_interval in [0, 1_600, 10_000, 600_000].map(Duration::from_millis) {
            for unit in [0.0, 0.5, 1.0] {
                let deadlines = |pushed| Deadlines { pushed, drain_grace: grace, max_poll_interval };
                let pushed = deadlines(true);
                // A watch that is silent from its start.
                let notified = NOTIFICATION_DELAY.max(pushed.watch_wait() + NOTIFICATION_DELAY_AFTER_WAIT);
                let reopened =
                    pushed.watch_wait() + SILENCE_DETECTION_DELAY + pushed.agent_poll_interval(unit);
                assert!(reopened < notified, "the watch is reopened before the change counts as notified");
                // After the agent has recovered: one lost poll and the next one.
                let shortest_window = MIN_AGENT_POLL_INTERVAL * AGENT_POLLS_PER_DRAIN_WINDOW;
                assert!(grace < shortest_window || pushed.agent_poll_interval(unit) * 2 < grace, "{grace:?}");

                let polled = deadlines(false);
                let notified = NOTIFICATION_DELAY.max(polled.watch_wait() + NOTIFICATION_DELAY_AFTER_WAIT);
                assert!(polled.watch_wait() + SILENCE_DETECTION_DELAY + polled.reopen_delay(unit) < notified);
                assert!(polled.reopen_delay(unit) * 2 < ADDRESS_CHANGE_NOTIFICATION_DELAY);
                // The failed poll may have lasted until its timeout.
                assert!(polled.failed_poll_interval(unit) >= polled.catch_up_timeout());
                assert!(
                    polled.failed_poll_interval(unit) + polled.catch_up_timeout() < NOTIFICATION_DELAY,
                    "the next poll can be answered before the notification deadline"
                );
            }
        }
    }
}
