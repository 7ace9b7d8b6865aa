//! The time that a change of the list may take (`docs/discovery.md`). Each figure follows from when a change counts as told,
//! or from the settings.

use oakport_core::Rules;
use std::time::Duration;

/// What a watch that fell silent misses counts as told so long after that (PROTOCOL, FLEET), and after a call that failed,
/// was refused or given up, so long after the service had it and could be reached ...
const SILENCE: Duration = Duration::from_secs(6);
/// ... but not before this long after the wait of its call is over.
const AFTER_WAIT: Duration = Duration::from_secs(2);
/// After SIGHUP, what discovery has to tell counts as told so much later (TERMS).
pub const MOVE: Duration = Duration::from_secs(4);
/// Longest wait that a call may name.
const WAIT_MOST: Duration = Duration::from_secs(60);
/// An answer that may wait is silence so long after its wait: the rest of `AFTER_WAIT` is for opening anew.
pub const LATE: Duration = Duration::from_millis(500);
/// Calls that fit into the drain window: one that was swallowed, the one after it, and as much again for its answer.
const TRIES: u32 = 4;
/// Bounds of the pace, for windows that would have an agent asked without end, or hardly ever.
const PACE: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));

/// How lists come, by the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadlines {
    /// By an agent of one's own, which answers at once and free of charge; else by a service that all share.
    pub pushed: bool,
    pub drain_grace: Duration,
    pub ask_every: Duration,
}

impl Deadlines {
    pub fn new(asked: bool, rules: &Rules) -> Self {
        let [drain_grace, ask_every] =
            [rules.drain_grace, rules.max_poll_interval].map(Duration::from_micros);
        Deadlines { pushed: !asked, drain_grace, ask_every }
    }

    /// How long a watch waits for news.
    pub fn wait(&self) -> Duration {
        if self.pushed {
            SILENCE - AFTER_WAIT
        } else {
            self.ask_every.clamp(SILENCE - AFTER_WAIT, WAIT_MOST)
        }
    }

    /// How long a call for what is there already is given.
    pub fn patience(&self) -> Duration {
        AFTER_WAIT
    }

    /// From one call to the next while an agent does not answer. `unit` is a random number from 0 to 1.
    pub fn pace(&self, unit: f64) -> Duration {
        (self.drain_grace / TRIES).clamp(PACE.0, PACE.1).mul_f64(0.75 + unit / 2.0)
    }

    /// Before a watch of a shared service that broke is opened anew, so that not all do so as one.
    pub fn spread(&self, unit: f64) -> Duration {
        (AFTER_WAIT / 2).mul_f64(0.25 + unit * 0.75)
    }

    /// From the beginning of a call of a shared service that failed to that of the next one, whatever the module says:
    /// after it there is time for an answer within `SILENCE` of the moment from which the service can be reached, be that
    /// right after the first was swallowed or refused.
    pub fn again(&self, unit: f64) -> Duration {
        self.patience() + (SILENCE - self.patience() - self.patience() - LATE).mul_f64(unit)
    }

    /// A list not confirmed for longer than this may lack what counts as told.
    pub fn age_most(&self) -> Duration {
        SILENCE.max(self.wait() + AFTER_WAIT)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// For windows of each size, and both ways: the latest step ends before what is missed counts as told and the window
    /// is over.
    #[test]
    fn the_steps_fit_into_what_the_terms_allow() {
        for grace in [20, 80, 500, 1_000, 5_000, 60_000].map(Duration::from_millis) {
            for ask_every in [0, 1_600, 10_000, 600_000].map(Duration::from_millis) {
                for unit in [0.0, 0.5, 1.0] {
                    let at = |pushed| Deadlines { pushed, drain_grace: grace, ask_every };
                    let pushed = at(true);
                    // Silent from its first moment on.
                    let told = SILENCE.max(pushed.wait() + AFTER_WAIT);
                    assert!(pushed.wait() + LATE + pushed.pace(unit) < told, "before any window");
                    // At a return of the agent: a call that it swallowed, and the one after it.
                    assert!(grace < PACE.0 * TRIES || pushed.pace(unit) * 2 < grace, "{grace:?}");

                    let asked = at(false);
                    let told = SILENCE.max(asked.wait() + AFTER_WAIT);
                    assert!(asked.wait() + LATE + asked.spread(unit) < told);
                    assert!(asked.spread(unit) * 2 < MOVE);
                    // The call that failed may have been given up only after its time.
                    assert!(asked.again(unit) >= asked.patience());
                    assert!(asked.again(unit) + asked.patience() < SILENCE, "time for an answer is left");
                }
            }
        }
    }
}
