//! Scores a simulated scenario and checks the rules that every policy must follow (BRIEF, "How we count"; WIRE,
//! "Invariants").

use crate::scenario::{FaultKind, IdempotencySpec, Scenario};
use hdrhistogram::Histogram;
use oakport_core::{CallId, EndpointId, Micros, Outcome};
use serde::Serialize;

/// Length of the window that the worst-window score looks at, in seconds.
const WORST_WINDOW_S: usize = 10;
/// Seconds that one window of the verdict covers.
const SECONDS_PER_WINDOW: usize = 5;
/// Service counts as recovered if it is over this many seconds.
const RECOVERY_WINDOW_S: usize = 3;
/// Service counts as recovered at this ratio of the served share before the first surge.
const RECOVERED_RATIO: f64 = 0.95;
/// Number of violations that are stored with their details; all are counted.
const MAX_STORED_VIOLATIONS: usize = 20;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Time of the violation, in microseconds from the start of the scenario.
    pub at: Micros,
    /// Index of the client proxy.
    pub proxy: usize,
    /// The call concerned, if any.
    pub call: Option<u64>,
    /// The server concerned, if any.
    pub server: Option<u32>,
    /// Description of the violation.
    pub rule: &'static str,
}

/// Counts over a period: one second while the simulation runs, five seconds in a [`Verdict`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Window {
    /// Client requests that arrived; retries are not counted.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Sum of the priority weights of these requests.
    #[serde(rename = "worth")]
    pub requested_weight: f64,
    /// Sum of the priority weights of the requests served within their latency objective.
    #[serde(rename = "served")]
    pub served_weight: f64,
    /// Requests whose last try was rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests served after their latency objective.
    pub late: u64,
}

/// Result of a scenario with one policy.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Name of the policy.
    pub policy: &'static str,
    /// Weighted mean of the overall, worst-window and worst-class served shares, less the charges (G).
    #[serde(rename = "g")]
    pub goal_value: f64,
    /// Priority weight served in time over priority weight requested, over the whole scenario, before charges.
    #[serde(rename = "whole")]
    pub served_share: f64,
    /// Served share of the worst ten seconds.
    #[serde(rename = "worst_window")]
    pub worst_window_share: f64,
    /// Served share of each class, by class name.
    #[serde(rename = "classes")]
    pub class_shares: Vec<(String, f64)>,
    /// Client requests.
    pub requests: u64,
    /// Requests that clients sent, including retries.
    pub tries: u64,
    /// Attempts sent to servers.
    pub attempts: u64,
    /// Share of the requests whose last try was rejected.
    #[serde(rename = "refused")]
    pub rejected_share: f64,
    /// Share of the requests that failed.
    #[serde(rename = "failed")]
    pub failed_share: f64,
    /// Share of the requests that were served after their latency objective.
    #[serde(rename = "late")]
    pub late_share: f64,
    /// Work that led to no answer, over work requested.
    #[serde(rename = "waste")]
    pub wasted_work_share: f64,
    /// Attempts to another zone per request.
    #[serde(rename = "crossing")]
    pub cross_zone_per_request: f64,
    /// New connections per request.
    #[serde(rename = "handshakes")]
    pub handshakes_per_request: f64,
    /// Latency from a client's first try to its answer: p50, p99, p99.9.
    #[serde(rename = "latency")]
    pub latency_quantiles_us: [u64; 3],
    /// Number of servers overloaded during their warm-up.
    #[serde(rename = "fallen")]
    pub cold_overloads: u64,
    /// Number of violations.
    #[serde(rename = "broken")]
    pub violation_count: u64,
    /// The first violations, with details.
    pub violations: Vec<Violation>,
    /// Counts in windows of five seconds.
    pub windows: Vec<Window>,
    /// Time in microseconds from the end of the last surge to the first three consecutive seconds whose served share
    /// reaches 95% of that before the first surge; `None` without a surge, or if that never happens.
    #[serde(rename = "recover")]
    pub recovery_time: Option<Micros>,
    /// Number of simulated events.
    pub events: u64,
}

/// Final outcome of a client request, including its retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served, with the time since the first try.
    Served(Micros),
    /// The last try was rejected.
    Rejected,
    /// The last try failed, or the client gave up.
    Failed,
}

/// Collects counts and violations while the simulation runs.
pub struct Judge {
    latency_objectives: Vec<Micros>,
    priority_weights: Vec<f64>,
    idempotency: Vec<IdempotencySpec>,
    seconds: Vec<Window>,
    weights_by_class: Vec<(f64, f64)>,
    latency: Histogram<u64>,
    /// Priority weight of the requests that ended unserved, or were served late, after their latency objective.
    late_failure_weight: f64,
    /// Work requested, in microseconds of one core.
    pub requested_work: f64,
    /// Work that led to no answer, in microseconds of one core.
    pub wasted_work: f64,
    /// Requests that clients sent, including retries.
    pub tries: u64,
    /// Attempts sent to servers.
    pub attempts: u64,
    /// Attempts to another zone.
    pub cross_zone_attempts: u64,
    /// New connections.
    pub handshakes: u64,
    /// Servers overloaded during their warm-up.
    pub cold_overloads: u64,
    violation_count: u64,
    violations: Vec<Violation>,
}

impl Judge {
    /// Creates a judge for a scenario.
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
            violation_count: 0,
            violations: Vec::new(),
        }
    }

    /// Counts a violation, and stores it if there is room.
    pub fn record_violation(
        &mut self,
        rule: &'static str,
        at: Micros,
        proxy: usize,
        call: Option<CallId>,
        server: Option<EndpointId>,
    ) {
        self.violation_count += 1;
        if self.violations.len() < MAX_STORED_VIOLATIONS {
            let call = call.map(|c| c.0);
            let server = server.map(|s| s.0);
            self.violations.push(Violation { at, proxy, call, server, rule });
        }
    }

    /// Returns whether a call of this class may be retried or rejected after attempts with these outcomes.
    pub fn repeat_is_safe(&self, class: usize, outcomes: impl Iterator<Item = Option<Outcome>>) -> bool {
        self.idempotency[class] == IdempotencySpec::Idempotent
            || outcomes.into_iter().all(|o| o.is_some_and(Outcome::proves_not_started))
    }

    /// Counts a new client request.
    pub fn record_request(&mut self, class: usize, at: Micros, work: f64) {
        let weight = self.priority_weights[class];
        let last = self.seconds.len() - 1;
        let second = &mut self.seconds[(at / 1_000_000).min(last as Micros) as usize];
        second.requests += 1;
        second.requested_weight += weight;
        self.weights_by_class[class].0 += weight;
        self.requested_work += work;
    }

    /// Records the final outcome, at `now`, of a client request that arrived at `at`.
    pub fn record_outcome(&mut self, class: usize, at: Micros, now: Micros, outcome: RequestOutcome) {
        let weight = self.priority_weights[class];
        let last = self.seconds.len() - 1;
        let second = &mut self.seconds[(at / 1_000_000).min(last as Micros) as usize];
        match outcome {
            RequestOutcome::Served(latency) => {
                // Values above the histogram's range count as its maximum.
                self.latency.saturating_record(latency.max(1));
                if latency <= self.latency_objectives[class] {
                    second.served_weight += weight;
                    self.weights_by_class[class].1 += weight;
                    return;
                }
                second.late += 1;
            }
            RequestOutcome::Rejected => second.rejected += 1,
            RequestOutcome::Failed => second.failed += 1,
        }
        if now.saturating_sub(at) > self.latency_objectives[class] {
            self.late_failure_weight += weight;
        }
    }

    /// Time from the end of the last surge until as much is served as before the first one, over three seconds. `None`
    /// without a surge or a recovery.
    fn recovery_time(&self, scenario: &Scenario) -> Option<Micros> {
        let surges = || scenario.events.iter().filter(|e| e.kind == FaultKind::Surge);
        let second = |at: Micros| ((at / 1_000_000) as usize).min(self.seconds.len());
        let surge_end = second(surges().map(|e| e.at + e.duration).max()?);
        let surge_begin = surges().map(|e| second(e.at)).min().unwrap_or(0);
        let required_ratio = served_weight_ratio(&self.seconds[..surge_begin]) * RECOVERED_RATIO;
        let seconds = &self.seconds[surge_end..second(scenario.duration)];
        let is_recovered = |window: &[Window]| served_weight_ratio(window) >= required_ratio;
        let recovered_after = seconds.windows(RECOVERY_WINDOW_S).position(is_recovered)?;
        Some(recovered_after as Micros * 1_000_000)
    }

    /// Computes the verdict.
    pub fn into_verdict(self, policy: &'static str, scenario: &Scenario, events: u64) -> Verdict {
        let recovery_time = self.recovery_time(scenario);
        let served_share = served_weight_ratio(&self.seconds);
        // Windows start at every second; only complete windows count.
        let windows = self.seconds.windows(WORST_WINDOW_S.min(self.seconds.len()));
        let worst_window_share = windows.map(served_weight_ratio).fold(1.0, f64::min);
        let class_share =
            |&(requested, served): &(f64, f64)| if requested > 0.0 { served / requested } else { 1.0 };
        let worst_class_share = self.weights_by_class.iter().map(class_share).fold(1.0, f64::min);
        let count = |field: fn(&Window) -> u64| self.seconds.iter().map(field).sum::<u64>();
        let requests = count(|w| w.requests);
        let per_request = |count: f64| count / (requests.max(1) as f64);
        let goal = &scenario.goal;
        let wasted_work_share = self.wasted_work / self.requested_work.max(1.0);
        let cross_zone_per_request = per_request(self.cross_zone_attempts as f64);
        let handshakes_per_request = per_request(self.handshakes as f64);
        let requested_weight = merge(&self.seconds).requested_weight;
        let late_failure_share = self.late_failure_weight / requested_weight.max(f64::MIN_POSITIVE);
        let weighted_share = goal.overall * served_share
            + goal.worst_window * worst_window_share
            + goal.worst_class * worst_class_share;
        let charges = goal.cross_zone * cross_zone_per_request
            + goal.wasted_work * wasted_work_share
            + goal.late_failure * late_failure_share
            + goal.handshake * handshakes_per_request;
        let weight_sum = goal.overall + goal.worst_window + goal.worst_class;
        Verdict {
            policy,
            goal_value: weighted_share / weight_sum.max(f64::MIN_POSITIVE) - charges,
            served_share,
            worst_window_share,
            class_shares: scenario
                .classes
                .iter()
                .zip(&self.weights_by_class)
                .map(|(c, weights)| (c.name.clone(), class_share(weights)))
                .collect(),
            requests,
            tries: self.tries,
            attempts: self.attempts,
            rejected_share: per_request(count(|w| w.rejected) as f64),
            failed_share: per_request(count(|w| w.failed) as f64),
            late_share: per_request(count(|w| w.late) as f64),
            wasted_work_share,
            cross_zone_per_request,
            handshakes_per_request,
            latency_quantiles_us: [0.5, 0.99, 0.999].map(|q| self.latency.value_at_quantile(q)),
            cold_overloads: self.cold_overloads,
            violation_count: self.violation_count,
            violations: self.violations,
            windows: self.seconds.chunks(SECONDS_PER_WINDOW).map(merge).collect(),
            recovery_time,
            events,
        }
    }
}

/// The sums over these seconds.
fn merge(seconds: &[Window]) -> Window {
    seconds.iter().fold(Window::default(), |sum, second| Window {
        requests: sum.requests + second.requests,
        requested_weight: sum.requested_weight + second.requested_weight,
        served_weight: sum.served_weight + second.served_weight,
        rejected: sum.rejected + second.rejected,
        failed: sum.failed + second.failed,
        late: sum.late + second.late,
    })
}

/// The served share of the weight that was requested in these seconds; 1 if none was.
fn served_weight_ratio(seconds: &[Window]) -> f64 {
    let sum = merge(seconds);
    if sum.requested_weight > 0.0 {
        sum.served_weight / sum.requested_weight
    } else {
        1.0
    }
}

fn histogram() -> Histogram<u64> {
    const MAX_LATENCY_US: u64 = 3_600_000_000;
    // Three significant digits, up to one hour: constants within the limits of the library.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
        .unwrap_or_else(|_| unreachable!("constant histogram bounds are valid"))
}
