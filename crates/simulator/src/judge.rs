//! What a day is worth, and whether the rules were kept (BRIEF, "How we count"; WIRE, "Invariants").

use crate::scenario::{IdempotencySpec, Scenario, FaultKind};
use hdrhistogram::Histogram;
use oakport_core::{CallId, EndpointId, Micros, Outcome};
use serde::Serialize;

/// Seconds of the worst stretch.
const WORST_WINDOW_S: usize = 10;
/// Share of the earlier service that counts as recovered.
const RECOVERED_RATIO: f64 = 0.95;
/// Violations that are kept with their story; all are counted.
const MAX_STORED_VIOLATIONS: usize = 20;

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// When, in microseconds of the day.
    pub at: Micros,
    /// The client proxy.
    pub proxy: usize,
    /// The call, if one is meant.
    pub call: Option<u64>,
    /// The server, if one is meant.
    pub server: Option<u32>,
    /// Which rule, in words.
    pub rule: &'static str,
}

/// Five seconds of a day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Window {
    /// Requests of clients, their first tries.
    pub asked: u64,
    /// Worth asked for.
    pub worth: f64,
    /// Worth served in time.
    pub served: f64,
    /// Requests whose last try was refused.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests served after their aim.
    pub late: u64,
}

/// A day with one policy.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The policy.
    pub policy: &'static str,
    /// Worth served in time over worth asked, mixed and with the prices off.
    pub g: f64,
    /// The whole day's share, before prices.
    pub whole: f64,
    /// That of the worst ten seconds.
    pub worst_window: f64,
    /// That of each class.
    pub classes: Vec<(String, f64)>,
    /// Requests, tries and attempts.
    pub requests: u64,
    /// Tries of clients, their retries included.
    pub tries: u64,
    /// Attempts sent to servers.
    pub attempts: u64,
    /// Shares of the requests.
    pub refused: f64,
    /// Those that failed.
    pub failed: f64,
    /// Those served after their aim.
    pub late: f64,
    /// Work that gave no answer over work asked for.
    pub waste: f64,
    /// Attempts that crossed zones, for each request.
    pub crossing: f64,
    /// New connections for each request.
    pub handshakes: f64,
    /// Times from a client's first try to its answer, in microseconds: p50, p99, p99.9.
    pub latency: [u64; 3],
    /// Cold servers that were pushed over.
    pub fallen: u64,
    /// All broken rules.
    pub broken: u64,
    /// The first of them.
    pub violations: Vec<Violation>,
    /// The day in stretches of five seconds.
    pub windows: Vec<Window>,
    /// Time from the end of the last surge until three seconds together are served as well as before the first, less a
    /// twentieth; `None`: no surge, or never. In microseconds.
    pub recover: Option<Micros>,
    /// Things that happened in the simulation.
    pub events: u64,
}

/// How a client's request ended, over all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served, so long after it was first asked.
    Served(Micros),
    /// The last try was refused.
    Refused,
    /// It failed, or was given up.
    Failed,
}

/// Counts as the day goes.
pub struct Judge {
    aims: Vec<Micros>,
    worths: Vec<f64>,
    again: Vec<IdempotencySpec>,
    seconds: Vec<Window>,
    by_class: Vec<(f64, f64)>,
    latency: Histogram<u64>,
    /// Worth that failed only after its aim.
    late_fail: f64,
    /// Work asked for, and work that gave no answer, in microseconds.
    pub asked_work: f64,
    /// See `asked_work`.
    pub wasted_work: f64,
    /// Counted where they happen.
    pub tries: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts to another zone.
    pub crossings: u64,
    /// New connections.
    pub handshakes: u64,
    /// Cold servers pushed over.
    pub fallen: u64,
    broken: u64,
    violations: Vec<Violation>,
}

impl Judge {
    /// For a day.
    pub fn new(scenario: &Scenario) -> Self {
        let seconds = scenario.length.div_ceil(1_000_000) as usize + 1;
        Judge {
            aims: scenario.classes.iter().map(|c| c.aim).collect(),
            worths: scenario.classes.iter().map(|c| c.worth).collect(),
            again: scenario.classes.iter().map(|c| c.idempotency).collect(),
            seconds: vec![Window::default(); seconds],
            by_class: vec![(0.0, 0.0); scenario.classes.len()],
            latency: histogram(),
            late_fail: 0.0,
            asked_work: 0.0,
            wasted_work: 0.0,
            tries: 0,
            attempts: 0,
            crossings: 0,
            handshakes: 0,
            fallen: 0,
            broken: 0,
            violations: Vec::new(),
        }
    }

    /// A rule was broken.
    pub fn broke(
        &mut self,
        rule: &'static str,
        at: Micros,
        proxy: usize,
        call: Option<CallId>,
        server: Option<EndpointId>,
    ) {
        self.broken += 1;
        if self.violations.len() < MAX_STORED_VIOLATIONS {
            let (call, server) = (call.map(|c| c.0), server.map(|s| s.0));
            self.violations.push(Violation { at, proxy, call, server, rule });
        }
    }

    /// May a call of this class be sent again, or refused, after attempts with these outcomes?
    pub fn harmless(&self, class: usize, outcomes: impl Iterator<Item = Option<Outcome>>) -> bool {
        self.again[class] == IdempotencySpec::Free
            || outcomes.into_iter().all(|o| o.is_some_and(Outcome::proves_not_started))
    }

    /// A client first asks.
    pub fn asked(&mut self, class: usize, at: Micros, work: f64) {
        let worth = self.worths[class];
        let last = self.seconds.len() - 1;
        let second = &mut self.seconds[(at / 1_000_000).min(last as Micros) as usize];
        second.asked += 1;
        second.worth += worth;
        self.by_class[class].0 += worth;
        self.asked_work += work;
    }

    /// A client's request, first asked at `at`, has ended for good at `now`.
    pub fn ended(&mut self, class: usize, at: Micros, now: Micros, end: RequestOutcome) {
        let worth = self.worths[class];
        let last = self.seconds.len() - 1;
        let second = &mut self.seconds[(at / 1_000_000).min(last as Micros) as usize];
        match end {
            RequestOutcome::Served(took) => {
                // The histogram takes all that a clock of this world tells.
                self.latency.saturating_record(took.max(1));
                if took <= self.aims[class] {
                    second.served += worth;
                    self.by_class[class].1 += worth;
                    return;
                }
                second.late += 1;
            }
            RequestOutcome::Refused => second.refused += 1,
            RequestOutcome::Failed => second.failed += 1,
        }
        if now.saturating_sub(at) > self.aims[class] {
            self.late_fail += worth;
        }
    }

    /// The verdict.
    pub fn verdict(self, policy: &'static str, scenario: &Scenario, events: u64) -> Verdict {
        let sum = |seconds: &[Window], part: fn(&Window) -> f64| seconds.iter().map(part).sum::<f64>();
        let share = |seconds: &[Window]| {
            let worth = sum(seconds, |w| w.worth);
            if worth > 0.0 {
                sum(seconds, |w| w.served) / worth
            } else {
                1.0
            }
        };
        let surges = || scenario.events.iter().filter(|e| e.what == FaultKind::Surge);
        let second = |at: Micros| ((at / 1_000_000) as usize).min(self.seconds.len());
        let recover = surges().map(|e| e.at + e.lasts).max().and_then(|end| {
            let begin = surges().map(|e| second(e.at)).min().unwrap_or(0);
            let usual = share(&self.seconds[..begin]) * RECOVERED_RATIO;
            let (from, asked) = (second(end), second(scenario.length));
            let late = self.seconds[from..asked].windows(3).position(|three| share(three) >= usual)?;
            Some(late as Micros * 1_000_000)
        });
        let whole = share(&self.seconds);
        // From the first second on, as far as a stretch is whole.
        let stretches = self.seconds.windows(WORST_WINDOW_S.min(self.seconds.len()));
        let worst_window = stretches.map(share).fold(1.0, f64::min);
        let class_share = |&(asked, served): &(f64, f64)| if asked > 0.0 { served / asked } else { 1.0 };
        let worst_class = self.by_class.iter().map(class_share).fold(1.0, f64::min);
        let count = |part: fn(&Window) -> u64| self.seconds.iter().map(part).sum::<u64>();
        let requests = count(|w| w.asked);
        let each = |count: f64| count / (requests.max(1) as f64);
        let goal = &scenario.goal;
        let waste = self.wasted_work / self.asked_work.max(1.0);
        let (crossing, handshakes) = (each(self.crossings as f64), each(self.handshakes as f64));
        let late_fail = self.late_fail / sum(&self.seconds, |w| w.worth).max(f64::MIN_POSITIVE);
        let mixed = goal.whole * whole + goal.worst_window * worst_window + goal.worst_class * worst_class;
        let prices = goal.cross_zone * crossing
            + goal.waste * waste
            + goal.late_fail * late_fail
            + goal.handshake * handshakes;
        let weights = goal.whole + goal.worst_window + goal.worst_class;
        let fold = |seconds: &[Window]| {
            seconds.iter().fold(Window::default(), |a, b| Window {
                asked: a.asked + b.asked,
                worth: a.worth + b.worth,
                served: a.served + b.served,
                refused: a.refused + b.refused,
                failed: a.failed + b.failed,
                late: a.late + b.late,
            })
        };
        Verdict {
            policy,
            g: mixed / weights.max(f64::MIN_POSITIVE) - prices,
            whole,
            worst_window,
            classes: scenario
                .classes
                .iter()
                .zip(&self.by_class)
                .map(|(c, part)| (c.name.clone(), class_share(part)))
                .collect(),
            requests,
            tries: self.tries,
            attempts: self.attempts,
            refused: each(count(|w| w.refused) as f64),
            failed: each(count(|w| w.failed) as f64),
            late: each(count(|w| w.late) as f64),
            waste,
            crossing,
            handshakes,
            latency: [0.5, 0.99, 0.999].map(|q| self.latency.value_at_quantile(q)),
            fallen: self.fallen,
            broken: self.broken,
            violations: self.violations,
            windows: self.seconds.chunks(5).map(fold).collect(),
            recover,
            events,
        }
    }
}

fn histogram() -> Histogram<u64> {
    const LONGEST: u64 = 3_600_000_000;
    // Three digits up to an hour: both are constants that the library takes.
    Histogram::new_with_bounds(1, LONGEST, 3).unwrap_or_else(|_| unreachable!("constant bounds"))
}
