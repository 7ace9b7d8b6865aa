//! The steps of the watcher against the notification deadlines.

use super::*;

/// For drain windows of each size, pushed and polled: the latest step ends before the change counts as notified and the
/// drain window is over.
#[test]
fn each_step_ends_before_the_notification_deadline() {
    for grace in [20, 80, 500, 1_000, 5_000, 60_000].map(Duration::from_millis) {
        for max_poll_interval in [0, 1_600, 10_000, 600_000].map(Duration::from_millis) {
            for unit in [0.0, 0.5, 1.0] {
                let deadlines = |pushed| Deadlines { pushed, drain_grace: grace, max_poll_interval };
                let pushed = deadlines(true);
                // Silent from its first moment on.
                let notified = NOTIFICATION_DELAY.max(pushed.watch_wait() + NOTIFICATION_DELAY_AFTER_WAIT);
                let reopened =
                    pushed.watch_wait() + SILENCE_DETECTION_DELAY + pushed.agent_poll_interval(unit);
                assert!(reopened < notified, "before any drain window");
                // When the agent is back: a poll that was lost, and the one after it.
                let shortest_window = MIN_AGENT_POLL_INTERVAL * AGENT_POLLS_PER_DRAIN_WINDOW;
                assert!(grace < shortest_window || pushed.agent_poll_interval(unit) * 2 < grace, "{grace:?}");

                let polled = deadlines(false);
                let notified = NOTIFICATION_DELAY.max(polled.watch_wait() + NOTIFICATION_DELAY_AFTER_WAIT);
                assert!(polled.watch_wait() + SILENCE_DETECTION_DELAY + polled.reopen_delay(unit) < notified);
                assert!(polled.reopen_delay(unit) * 2 < ADDRESS_CHANGE_NOTIFICATION_DELAY);
                // The failed poll may have ended only at its timeout.
                assert!(polled.failed_poll_interval(unit) >= polled.catch_up_timeout());
                assert!(
                    polled.failed_poll_interval(unit) + polled.catch_up_timeout() < NOTIFICATION_DELAY,
                    "time for an answer is left"
                );
            }
        }
    }
}
