//! What a day is worth, and whether the rules were kept (BRIEF, "How we count"; WIRE, "Invariants").

use crate::scenario::{FaultKind, IdempotencySpec, Scenario};
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
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Worth asked for.
    #[serde(rename = "worth")]
    pub requested_weight: f64,
    /// Worth served in time.
    #[serde(rename = "served")]
    pub served_weight: f64,
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
    #[serde(rename = "g")]
    pub goal_value: f64,
    /// The whole day's share, before prices.
    #[serde(rename = "whole")]
    pub served_share: f64,
    /// That of the worst ten seconds.
    #[serde(rename = "worst_window")]
    pub worst_window_share: f64,
    /// That of each class.
    #[serde(rename = "classes")]
    pub class_shares: Vec<(String, f64)>,
    /// Requests, tries and attempts.
    pub requests: u64,
    /// Tries of clients, their retries included.
    pub tries: u64,
    /// Attempts sent to servers.
    pub attempts: u64,
    /// Shares of the requests.
    #[serde(rename = "refused")]
    pub refused_share: f64,
    /// Those that failed.
    #[serde(rename = "failed")]
    pub failed_share: f64,
    /// Those served after their aim.
    #[serde(rename = "late")]
    pub late_share: f64,
    /// Work that gave no answer over work asked for.
    #[serde(rename = "waste")]
    pub wasted_work_share: f64,
    /// Attempts that crossed zones, for each request.
    #[serde(rename = "crossing")]
    pub cross_zone_per_request: f64,
    /// New connections for each request.
    #[serde(rename = "handshakes")]
    pub handshakes_per_request: f64,
    /// Times from a client's first try to its answer, in microseconds: p50, p99, p99.9.
    #[serde(rename = "latency")]
    pub latency_quantiles_us: [u64; 3],
    /// Cold servers that were pushed over.
    #[serde(rename = "fallen")]
    pub cold_overloads: u64,
    /// All broken rules.
    #[serde(rename = "broken")]
    pub violation_count: u64,
    /// The first of them.
    pub violations: Vec<Violation>,
    /// The day in stretches of five seconds.
    pub windows: Vec<Window>,
    /// Time from the end of the last surge until three seconds together are served as well as before the first, less a
    /// twentieth; `None`: no surge, or never. In microseconds.
    #[serde(rename = "recover")]
    pub recovery_time: Option<Micros>,
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
    latency_objectives: Vec<Micros>,
    priority_weights: Vec<f64>,
    idempotency: Vec<IdempotencySpec>,
    seconds: Vec<Window>,
    weights_by_class: Vec<(f64, f64)>,
    latency: Histogram<u64>,
    /// Worth that failed only after its aim.
    late_failure_weight: f64,
    /// Work asked for, and work that gave no answer, in microseconds.
    pub requested_work: f64,
    /// See `asked_work`.
    pub wasted_work: f64,
    /// Counted where they happen.
    pub tries: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts to another zone.
    pub cross_zone_attempts: u64,
    /// New connections.
    pub handshakes: u64,
    /// Cold servers pushed over.
    pub cold_overloads: u64,
    broken: u64,
    violations: Vec<Violation>,
}

impl Judge {
    /// For a day.
    pub fn new(scenario: &Scenario) -> Self {
        let seconds = scenario.duration.div_ceil(1_000_000) as usize + 1;
        Judge {
            latency_objectives: scenario.classes.iter().map(|c| c.latency_objective).collect(),
            priority_weights: scenario.classes.iter().map(|c| c.priority_weight).collect(),
            idempotency: scenario.classes.iter().map(|c| c.idempotency).collect(),
            seconds: vec![Window::default(); seconds],
            weights_by_class: vec![(0.0, 0.0); scenario.classes.len()],
            latency: histogram(),
            late_failure_weight: 0.0,
            requested_work: 0.0,
            wasted_work: 0.0,
            tries: 0,
            attempts: 0,
            cross_zone_attempts: 0,
            handshakes: 0,
            cold_overloads: 0,
            broken: 0,
            violations: Vec::new(),
        }
    }

    /// A rule was broken.
    pub fn record_violation(
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
    pub fn repeat_is_safe(&self, class: usize, outcomes: impl Iterator<Item = Option<Outcome>>) -> bool {
        self.idempotency[class] == IdempotencySpec::Idempotent
            || outcomes.into_iter().all(|o| o.is_some_and(Outcome::proves_not_started))
    }

    /// A client first asks.
    pub fn record_request(&mut self, class: usize, at: Micros, work: f64) {
        let worth = self.priority_weights[class];
        let last = self.seconds.len() - 1;
        let second = &mut self.seconds[(at / 1_000_000).min(last as Micros) as usize];
        second.requests += 1;
        second.requested_weight += worth;
        self.weights_by_class[class].0 += worth;
        self.requested_work += work;
    }

    /// A client's request, first asked at `at`, has ended for good at `now`.
    pub fn record_outcome(&mut self, class: usize, at: Micros, now: Micros, end: RequestOutcome) {
        let worth = self.priority_weights[class];
        let last = self.seconds.len() - 1;
        let second = &mut self.seconds[(at / 1_000_000).min(last as Micros) as usize];
        match end {
            RequestOutcome::Served(took) => {
                // The histogram takes all that a clock of this world tells.
                self.latency.saturating_record(took.max(1));
                if took <= self.latency_objectives[class] {
                    second.served_weight += worth;
                    self.weights_by_class[class].1 += worth;
                    return;
                }
                second.late += 1;
            }
            RequestOutcome::Refused => second.refused += 1,
            RequestOutcome::Failed => second.failed += 1,
        }
        if now.saturating_sub(at) > self.latency_objectives[class] {
            self.late_failure_weight += worth;
        }
    }

    /// The verdict.
    pub fn into_verdict(self, policy: &'static str, scenario: &Scenario, events: u64) -> Verdict {
        let sum = |seconds: &[Window], part: fn(&Window) -> f64| seconds.iter().map(part).sum::<f64>();
        let share = |seconds: &[Window]| {
            let worth = sum(seconds, |w| w.requested_weight);
            if worth > 0.0 {
                sum(seconds, |w| w.served_weight) / worth
            } else {
                1.0
            }
        };
        let surges = || scenario.events.iter().filter(|e| e.kind == FaultKind::Surge);
        let second = |at: Micros| ((at / 1_000_000) as usize).min(self.seconds.len());
        let recover = surges().map(|e| e.at + e.duration).max().and_then(|end| {
            let begin = surges().map(|e| second(e.at)).min().unwrap_or(0);
            let usual = share(&self.seconds[..begin]) * RECOVERED_RATIO;
            let (from, asked) = (second(end), second(scenario.duration));
            let late = self.seconds[from..asked].windows(3).position(|three| share(three) >= usual)?;
            Some(late as Micros * 1_000_000)
        });
        let whole = share(&self.seconds);
        // From the first second on, as far as a stretch is whole.
        let stretches = self.seconds.windows(WORST_WINDOW_S.min(self.seconds.len()));
        let worst_window = stretches.map(share).fold(1.0, f64::min);
        let class_share = |&(asked, served): &(f64, f64)| if asked > 0.0 { served / asked } else { 1.0 };
        let worst_class = self.weights_by_class.iter().map(class_share).fold(1.0, f64::min);
        let count = |part: fn(&Window) -> u64| self.seconds.iter().map(part).sum::<u64>();
        let requests = count(|w| w.requests);
        let each = |count: f64| count / (requests.max(1) as f64);
        let goal = &scenario.goal;
        let waste = self.wasted_work / self.requested_work.max(1.0);
        let (crossing, handshakes) = (each(self.cross_zone_attempts as f64), each(self.handshakes as f64));
        let late_fail =
            self.late_failure_weight / sum(&self.seconds, |w| w.requested_weight).max(f64::MIN_POSITIVE);
        let mixed = goal.overall * whole + goal.worst_window * worst_window + goal.worst_class * worst_class;
        let prices = goal.cross_zone * crossing
            + goal.wasted_work * waste
            + goal.late_failure * late_fail
            + goal.handshake * handshakes;
        let weights = goal.overall + goal.worst_window + goal.worst_class;
        let fold = |seconds: &[Window]| {
            seconds.iter().fold(Window::default(), |a, b| Window {
                requests: a.requests + b.requests,
                requested_weight: a.requested_weight + b.requested_weight,
                served_weight: a.served_weight + b.served_weight,
                refused: a.refused + b.refused,
                failed: a.failed + b.failed,
                late: a.late + b.late,
            })
        };
        Verdict {
            policy,
            goal_value: mixed / weights.max(f64::MIN_POSITIVE) - prices,
            served_share: whole,
            worst_window_share: worst_window,
            class_shares: scenario
                .classes
                .iter()
                .zip(&self.weights_by_class)
                .map(|(c, part)| (c.name.clone(), class_share(part)))
                .collect(),
            requests,
            tries: self.tries,
            attempts: self.attempts,
            refused_share: each(count(|w| w.refused) as f64),
            failed_share: each(count(|w| w.failed) as f64),
            late_share: each(count(|w| w.late) as f64),
            wasted_work_share: waste,
            cross_zone_per_request: crossing,
            handshakes_per_request: handshakes,
            latency_quantiles_us: [0.5, 0.99, 0.999].map(|q| self.latency.value_at_quantile(q)),
            cold_overloads: self.cold_overloads,
            violation_count: self.broken,
            violations: self.violations,
            windows: self.seconds.chunks(5).map(fold).collect(),
            recovery_time: recover,
            events,
        }
    }
}

fn histogram() -> Histogram<u64> {
    const MAX_LATENCY_US: u64 = 3_600_000_000;
    // Three digits up to an hour: both are constants that the library takes.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).unwrap_or_else(|_| unreachable!("constant bounds"))
}
