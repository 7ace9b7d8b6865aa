//! Updates the state of an endpoint, its machine group and its class from the outcome of an attempt.
//!
//! [`Balancer::on_attempt_feedback`] classifies the outcome once, then applies the update rules in sequence.
//! Their order matters: later rules read values that earlier ones have updated.

use super::balancer::{Balancer, MachineGroup};
use super::concurrency_limit::Release;
use super::in_flight_budget::MIN_DECREASE_FACTOR;
use super::outlier_ejection::{FAILURE_RATE_WEIGHT, MAX_FAILURE_RATIO};
use super::parameters::FEEDBACK_WEIGHT;
use crate::action::{Action, DecisionEvent};
use crate::call_table::{Attempt, AttemptWithClass};
use crate::endpoint::{Endpoint, MachineGroupKey};
use crate::event::{LoadReport, Outcome};
use crate::ids::{CallId, ClassId, EndpointId, Micros};

/// Latency limit as a multiple of the class's unloaded latency, up to the bound below; corresponds to about
/// two calls per core.
const LATENCY_LIMIT_FACTOR: f64 = 3.0;
/// Upper bound of the latency limit, as a share of the latency objective.
const LATENCY_LIMIT_OBJECTIVE_RATIO: f64 = 0.33;
/// Upper bound of latency ratios.
const MAX_LATENCY_RATIO: f64 = 4.0;
/// Lower bound of the latency ratio of an attempt that timed out while its endpoint served other calls.
const TIMED_OUT_LATENCY_RATIO: f64 = 2.0;
/// Latency ratio above which overload is severe: responses take about half their latency objective.
const SEVERE_LATENCY_RATIO: f64 = 1.5;
/// Share of the latency objective beyond which a response is late.
const LATE_OBJECTIVE_RATIO: f64 = 0.8;
/// Reported utilisation that counts as a latency ratio of 1; above it, queueing grows steeply.
const FULL_UTILISATION_RATIO: f64 = 0.9;
/// Factor by which a rejection multiplies the concurrency of a budget.
const REJECTION_DECREASE_FACTOR: f64 = 0.8;

/// Health of the endpoint, as indicated by an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HealthSignal {
    Healthy,
    Failed,
    /// No indication: the attempt was cancelled or not sent, or the request itself was at fault.
    Unknown,
}

/// An attempt that has ended or whose response has started, with its classified outcome.
struct Feedback {
    attempt: Attempt,
    class_id: usize,
    outcome: Outcome,
    slot: usize,
    machine_group: MachineGroupKey,
    /// Time in flight, in microseconds.
    elapsed: Micros,
    /// Time in flight divided by the latency limit of the class.
    latency_ratio: f64,
    /// Load signal: whether the response was late; `None` if the outcome does not indicate it.
    is_late: Option<bool>,
    health: HealthSignal,
    /// Class signal: whether the class failed at this endpoint; `None` if the outcome does not indicate it.
    class_failed: Option<bool>,
    /// Balancer-wide values as they were before this outcome.
    context: FeedbackContext,
}

/// Balancer-wide values, read before any update rule changes the state.
struct FeedbackContext {
    initial_backoff: Micros,
    max_typical_latency_us: f64,
    max_objective_us: f64,
    may_eject: bool,
}

impl Balancer {
    /// Updates the balancer's state with the outcome of an attempt, or with the start of its response.
    pub(crate) fn on_attempt_feedback(&mut self, ended: AttemptWithClass, outcome: Outcome) {
        let Some(feedback) = self.classify(ended, outcome) else { return };
        if feedback.attempt.occupies_capacity {
            let endpoint = &mut self.endpoints[feedback.slot];
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
            self.update_concurrency_limit(&feedback);
        }
        if feedback.health == HealthSignal::Unknown {
            self.apply_unknown_health(&feedback);
            self.refresh_status(feedback.slot);
            return;
        }
        self.update_class_health(&feedback);
        self.update_failure_rate(&feedback);
        // The time of a delayed request is its client's.
        if feedback.attempt.occupies_capacity {
            self.update_machine_group(&feedback);
            self.update_latency_ratio(&feedback);
            self.update_class_latency(&feedback);
            self.update_load_per_latency(&feedback);
        }
        self.decrease_budget(&feedback);
        let was_admitted = self.endpoints[feedback.slot].budget.steps > 0;
        self.remove_step_on_broken_connection(&feedback);
        self.apply_trial_result(&feedback, was_admitted);
        self.eject(&feedback, was_admitted);
        self.refresh_status(feedback.slot);
    }

    /// Classifies an outcome; `None` if the endpoint is no longer known.
    fn classify(&self, ended: AttemptWithClass, outcome: Outcome) -> Option<Feedback> {
        let AttemptWithClass { attempt, class_id } = ended;
        let slot = self.endpoints.slot(attempt.endpoint)?;
        let endpoint = &self.endpoints[slot];
        let elapsed = self.now.saturating_sub(attempt.sent_at);
        let class = self.classes.class(class_id);
        let objective_us = class.map_or(f64::MAX, |class| class.latency_objective as f64);
        let unloaded_us = self.classes.unloaded_latency_us(class_id);
        let limit_us = (unloaded_us * LATENCY_LIMIT_FACTOR)
            .min(objective_us * LATENCY_LIMIT_OBJECTIVE_RATIO)
            .max(unloaded_us);
        let served_others = endpoint.last_served_at > attempt.sent_at;
        let timed_out_while_serving = outcome == Outcome::TimedOut && served_others;
        let min_ratio = if timed_out_while_serving { TIMED_OUT_LATENCY_RATIO } else { 0.0 };
        let latency_ratio = (elapsed as f64 / limit_us).clamp(min_ratio, MAX_LATENCY_RATIO);
        Some(Feedback {
            attempt,
            class_id,
            outcome,
            slot,
            machine_group: endpoint.machine_group(),
            elapsed,
            latency_ratio,
            is_late: load_signal(outcome, elapsed, objective_us, latency_ratio),
            health: health_signal(outcome, served_others),
            class_failed: class_signal(outcome, elapsed as f64 > limit_us),
            context: FeedbackContext {
                initial_backoff: self.initial_backoff(),
                max_typical_latency_us: self.classes.max_typical_latency_us(),
                max_objective_us: self.classes.max_latency_objective_us(),
                may_eject: self.may_eject(),
            },
        })
    }

    fn update_concurrency_limit(&mut self, feedback: &Feedback) {
        let release = Release {
            machine_group: feedback.machine_group,
            elapsed: feedback.elapsed,
            is_late: feedback.is_late,
        };
        self.release_concurrency(&release);
    }

    /// Applies an attempt with an unknown health signal: its latency ratio is a lower bound.
    fn apply_unknown_health(&mut self, feedback: &Feedback) {
        let endpoint = &mut self.endpoints[feedback.slot];
        if feedback.attempt.occupies_capacity {
            let increase = (feedback.latency_ratio - endpoint.latency_ratio).max(0.0);
            endpoint.latency_ratio += increase * FEEDBACK_WEIGHT;
        }
        endpoint.end_trial(&feedback.attempt);
    }

    /// Updates the failure rate of the class at this endpoint: a class may fail alone, hidden by the
    /// successes of the other classes.
    fn update_class_health(&mut self, feedback: &Feedback) {
        let Some(failed) = feedback.class_failed else { return };
        let endpoint = &mut self.endpoints[feedback.slot];
        let health = endpoint.class_health.entry(feedback.class_id).or_default();
        let was_failing = health.is_failing();
        health.record(self.now, failed, feedback.context.initial_backoff);
        let is_failing = health.is_failing();
        self.index.set_class_failing(feedback.class_id, feedback.slot, is_failing);
        if is_failing && !was_failing {
            self.actions.push(Action::Log(DecisionEvent::ClassFailing {
                endpoint: feedback.attempt.endpoint,
                class: ClassId(feedback.class_id),
            }));
        }
    }

    /// Updates the endpoint's failure rate. A time-out has half the weight of an error, since an overloaded
    /// endpoint may need that long for a single call.
    fn update_failure_rate(&mut self, feedback: &Feedback) {
        let timed_out = feedback.outcome == Outcome::TimedOut;
        let weight = if timed_out { FAILURE_RATE_WEIGHT / 2.0 } else { FAILURE_RATE_WEIGHT };
        let sample = if feedback.failed() { 1.0 } else { 0.0 };
        let endpoint = &mut self.endpoints[feedback.slot];
        endpoint.failure_rate += (sample - endpoint.failure_rate) * weight;
    }

    /// Updates the latency ratio of the machine group, and reduces its share of calls on severe overload.
    fn update_machine_group(&mut self, feedback: &Feedback) {
        let initial = MachineGroup { latency_ratio: feedback.latency_ratio, admitted_ratio: 1.0 };
        let group = self.machine_groups.entry(feedback.machine_group).or_insert(initial);
        let sample = if feedback.failed() { SEVERE_LATENCY_RATIO * 2.0 } else { feedback.latency_ratio };
        group.latency_ratio += (sample - group.latency_ratio) * FEEDBACK_WEIGHT;
        let exponent = (SEVERE_LATENCY_RATIO - sample).max(-SEVERE_LATENCY_RATIO) * FEEDBACK_WEIGHT;
        group.admitted_ratio = (group.admitted_ratio * exponent.exp()).clamp(FEEDBACK_WEIGHT / 2.0, 1.0);
    }

    /// Updates the endpoint's latency ratio. The weight of a sample grows with the time since the previous
    /// one, so that old samples of an endpoint with little traffic decay.
    fn update_latency_ratio(&mut self, feedback: &Feedback) {
        let endpoint = &mut self.endpoints[feedback.slot];
        let since_last_us = self.now.saturating_sub(endpoint.last_feedback_at) as f64;
        let since_last = since_last_us / feedback.context.max_objective_us;
        let weight = FEEDBACK_WEIGHT.max(1.0 - (-since_last).exp());
        endpoint.last_feedback_at = self.now;
        if !feedback.failed() {
            let sample = feedback.latency_ratio.max(endpoint.reported_load_ratio);
            endpoint.latency_ratio += (sample - endpoint.latency_ratio) * weight;
            endpoint.samples_since_change += 1;
        }
        if feedback.outcome == Outcome::Served {
            endpoint.last_served_at = self.now;
        }
    }

    /// Updates the latency of the class. Attempts that timed out at a healthy endpoint count with their time
    /// in flight; otherwise the mean would cover quick responses only.
    fn update_class_latency(&mut self, feedback: &Feedback) {
        if feedback.failed() {
            return;
        }
        if let Some(stats) = self.classes.stats_mut(feedback.class_id) {
            stats.record(self.now, feedback.elapsed as f64);
        }
    }

    fn update_load_per_latency(&mut self, feedback: &Feedback) {
        let shows_latency = matches!(feedback.outcome, Outcome::Served | Outcome::TimedOut);
        if !shows_latency || feedback.attempt.polled_load <= 0.0 {
            return;
        }
        let decay = 1.0 - FEEDBACK_WEIGHT / 2.0;
        let sums = &mut self.load_per_latency;
        sums.elapsed_us = sums.elapsed_us * decay + feedback.elapsed as f64;
        sums.polled_load = sums.polled_load * decay + feedback.attempt.polled_load;
    }

    /// Decreases the in-flight budget after a rejection, and on overload once the last change has shown its
    /// effect.
    fn decrease_budget(&mut self, feedback: &Feedback) {
        let max_typical_us = feedback.context.max_typical_latency_us;
        let endpoint = &mut self.endpoints[feedback.slot];
        if feedback.outcome == Outcome::Rejected {
            endpoint.budget.decrease(REJECTION_DECREASE_FACTOR, 0.0);
            // Fast rejections make the endpoint look idle: without a backoff, it would attract call after
            // call.
            let backoff_end = self.now + max_typical_us as Micros;
            endpoint.rejection_backoff_end = endpoint.rejection_backoff_end.max(backoff_end);
        } else if endpoint.latency_ratio > 1.0 && self.now >= endpoint.settled_at(max_typical_us) {
            let is_severe = endpoint.latency_ratio > SEVERE_LATENCY_RATIO;
            let floor_factor = if is_severe { MIN_DECREASE_FACTOR / 2.0 } else { 1.0 };
            endpoint.budget.decrease(1.0 / endpoint.latency_ratio, endpoint.budget.floor * floor_factor);
            // The decrease accounts for part of the ratio: one overload must not cause several decreases.
            endpoint.latency_ratio = endpoint.latency_ratio.sqrt();
            endpoint.restart_settling(self.now);
        }
    }

    /// Removes a budget step after a broken connection. The last step is removed only if the endpoint may be
    /// ejected.
    fn remove_step_on_broken_connection(&mut self, feedback: &Feedback) {
        if !matches!(feedback.outcome, Outcome::ConnectFailed | Outcome::Reset) {
            return;
        }
        let budget = &mut self.endpoints[feedback.slot].budget;
        if budget.steps > 1 || feedback.context.may_eject {
            budget.steps = budget.steps.saturating_sub(1);
        }
    }

    /// Applies the result of a trial attempt: a failed one extends the backoff.
    fn apply_trial_result(&mut self, feedback: &Feedback, was_admitted: bool) {
        let endpoint = &mut self.endpoints[feedback.slot];
        endpoint.end_trial(&feedback.attempt);
        if !feedback.attempt.is_trial {
            return;
        }
        if feedback.outcome != Outcome::Served {
            endpoint.budget.back_off(self.now, feedback.context.initial_backoff);
        } else if was_admitted {
            self.apply_growth_trial(feedback);
        } else {
            self.apply_readmission_trial(feedback);
        }
    }

    /// Raises the budget after a served trial attempt, unless the endpoint is overloaded.
    fn apply_growth_trial(&mut self, feedback: &Feedback) {
        let endpoint = &mut self.endpoints[feedback.slot];
        if endpoint.latency_ratio > 1.0 {
            endpoint.budget.backoff_end = self.now + feedback.context.initial_backoff;
        } else {
            endpoint.budget.increase();
            endpoint.restart_settling(self.now);
        }
    }

    /// Re-admits an ejected endpoint after a served trial attempt, if its failure rate has become low enough.
    fn apply_readmission_trial(&mut self, feedback: &Feedback) {
        let endpoint = &mut self.endpoints[feedback.slot];
        if endpoint.failure_rate < MAX_FAILURE_RATIO / 2.0 {
            endpoint.budget.increase();
            endpoint.restart_settling(self.now);
            let readmitted = DecisionEvent::EndpointReadmitted { endpoint: feedback.attempt.endpoint };
            self.actions.push(Action::Log(readmitted));
        } else {
            // One served attempt does not re-admit an endpoint that fails most calls; several in a row do.
            endpoint.budget.backoff_doublings = 0;
        }
    }

    /// Ejects an endpoint that fails too often (fast errors make it look idle) or has no budget step left.
    fn eject(&mut self, feedback: &Feedback, was_admitted: bool) {
        if !was_admitted {
            return;
        }
        let endpoint = &mut self.endpoints[feedback.slot];
        if endpoint.failure_rate > MAX_FAILURE_RATIO && feedback.context.may_eject {
            endpoint.budget.steps = 0;
        }
        if endpoint.budget.steps == 0 {
            endpoint.budget.back_off(self.now, feedback.context.initial_backoff);
            endpoint.latency_ratio = 1.0;
            self.actions.push(Action::Log(DecisionEvent::EndpointEjected {
                endpoint: feedback.attempt.endpoint,
                outcome: feedback.outcome,
            }));
        }
    }

    /// Records a load report. As many queued calls as calls in progress, or nearly full utilisation, count as
    /// a latency ratio of 1.
    pub(crate) fn on_load_report(&mut self, id: CallId, attempt: u32, load: LoadReport) {
        let Some(call) = self.calls.get(id) else { return };
        let Some(attempt) = call.attempts.get(attempt as usize) else { return };
        let Some(slot) = self.endpoints.slot(attempt.endpoint) else { return };
        let load_ratio = match load {
            LoadReport { in_flight: Some(in_flight), queued: Some(queued), .. } => {
                queued / (in_flight - queued).max(1.0)
            }
            LoadReport { utilisation: Some(utilisation), .. } => utilisation / FULL_UTILISATION_RATIO,
            _ => return,
        };
        self.endpoints[slot].reported_load_ratio =
            if load_ratio.is_finite() { load_ratio.clamp(0.0, MAX_LATENCY_RATIO) } else { 0.0 };
    }

    /// Raises the endpoint's failure rate if a streamed response was reset or timed out.
    pub(crate) fn on_streamed_response_end(&mut self, id: EndpointId, outcome: Outcome) {
        if !matches!(outcome, Outcome::Reset | Outcome::TimedOut) {
            return;
        }
        if let Some(slot) = self.endpoints.slot(id) {
            let failure_rate = &mut self.endpoints[slot].failure_rate;
            *failure_rate += (1.0 - *failure_rate) * FAILURE_RATE_WEIGHT;
        }
    }
}

impl Feedback {
    fn failed(&self) -> bool {
        self.health == HealthSignal::Failed
    }
}

impl Endpoint {
    pub(super) fn end_trial(&mut self, attempt: &Attempt) {
        if attempt.is_trial {
            self.budget.trial_in_flight = false;
        }
    }

    /// Restarts the sample count after a change of the budget.
    fn restart_settling(&mut self, now: Micros) {
        self.samples_since_change = 0;
        self.budget_changed_at = now;
    }
}

/// Load signal: whether the response was late; `None` if the outcome does not indicate it, as
/// with errors and resets.
fn load_signal(outcome: Outcome, elapsed: Micros, objective_us: f64, latency_ratio: f64) -> Option<bool> {
    match outcome {
        Outcome::Served => Some(elapsed as f64 > objective_us * LATE_OBJECTIVE_RATIO),
        Outcome::TimedOut | Outcome::Rejected => Some(true),
        // A dead process refuses connections at once, an overloaded one accepts them late.
        Outcome::ConnectFailed if latency_ratio > 1.0 => Some(true),
        _ => None,
    }
}

fn health_signal(outcome: Outcome, served_others: bool) -> HealthSignal {
    match outcome {
        Outcome::Served => HealthSignal::Healthy,
        // The endpoint is slow but alive: it is sent fewer calls, but is not ejected.
        Outcome::TimedOut if served_others => HealthSignal::Healthy,
        Outcome::Cancelled | Outcome::NotSent | Outcome::InvalidRequest => HealthSignal::Unknown,
        _ => HealthSignal::Failed,
    }
}

/// Class signal: whether the class failed at the endpoint; only errors and time-outs may be due to the class.
fn class_signal(outcome: Outcome, beyond_latency_limit: bool) -> Option<bool> {
    match outcome {
        Outcome::Served => Some(false),
        Outcome::Error => Some(true),
        Outcome::TimedOut if beyond_latency_limit => Some(true),
        _ => None,
    }
}
