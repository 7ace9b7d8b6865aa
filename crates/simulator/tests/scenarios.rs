//! Simulates whole scenarios: invariants of every policy, and the violations that the judge must report.

use oakport_core::{Action, Balancer, CallId, EndpointId, EndpointState, Event, Micros, Settings};
use oakport_simulator::{
    simulate, simulate_with, Policy, PolicyKind, Scenario, ServerState, Verdict, Visibility, POLICY_KINDS,
};
use std::path::Path;

fn load_scenario(name: &str) -> Scenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios").join(format!("{name}.toml"));
    Scenario::parse(&std::fs::read_to_string(path).expect("scenario file is readable"))
        .expect("scenario is valid")
}

fn serialized(verdict: &Verdict) -> String {
    toml::to_string(verdict).expect("verdict serializes")
}

#[test]
fn the_same_seed_gives_the_same_verdict_and_another_seed_a_different_one() {
    let scenario = load_scenario("crash");
    for kind in [PolicyKind::Oakport, PolicyKind::TwoChoices, PolicyKind::CeilingLate] {
        let expected = serialized(&simulate(&scenario, kind, 5));
        let repeated =
            std::thread::scope(|scope| scope.spawn(|| serialized(&simulate(&scenario, kind, 5))).join());
        assert_eq!(expected, repeated.expect("simulation does not panic"), "{kind:?}");
        assert_ne!(expected, serialized(&simulate(&scenario, kind, 6)), "{kind:?}");
    }
}

#[test]
fn all_policies_receive_the_same_requests() {
    let scenario = load_scenario("release");
    let received = |kind| {
        let verdict = simulate(&scenario, kind, 3);
        (
            verdict.requests,
            verdict.windows.iter().map(|w| (w.requests, w.requested_weight as u64)).collect::<Vec<_>>(),
        )
    };
    let first = received(POLICY_KINDS[0]);
    assert!(first.0 > 10_000);
    for kind in &POLICY_KINDS[1..] {
        assert_eq!(received(*kind), first, "{kind:?}");
    }
}

#[test]
fn requests_end_at_most_once_and_oakport_breaks_no_rule() {
    for name in ["calm", "slow", "crash", "hang", "zone", "release", "surge"] {
        let scenario = load_scenario(name);
        for kind in POLICY_KINDS {
            let v = simulate(&scenario, kind, 2);
            let ended: u64 = v.windows.iter().map(|w| w.rejected + w.failed + w.late).sum();
            assert!(ended <= v.requests && v.tries >= v.requests, "{name} {kind:?}");
            assert!(
                (0.0..=1.0).contains(&v.served_share) && v.worst_window_share <= v.served_share + 1e-9,
                "{name} {kind:?}"
            );
            assert!(v.goal_value <= v.served_share, "charges are deducted: {name} {kind:?}");
            let rules = v.violations.iter().map(|v| v.rule).collect::<Vec<_>>();
            assert!(kind != PolicyKind::Oakport || rules.is_empty(), "{name}: {rules:?}");
        }
    }
}

#[test]
fn policies_with_more_information_score_higher() {
    for name in ["calm", "slow", "hang"] {
        let scenario = load_scenario(name);
        let mean = |kind| (1..=3).map(|seed| simulate(&scenario, kind, seed).goal_value).sum::<f64>() / 3.0;
        let (random, two, ceiling) =
            (mean(PolicyKind::Random), mean(PolicyKind::TwoChoices), mean(PolicyKind::Ceiling));
        assert!(random < two && two < ceiling, "{name}: {random} {two} {ceiling}");
    }
}

/// The balancer with a defect in the events that it receives or the actions that it returns.
struct DefectiveBalancer {
    balancer: Balancer,
    defect: &'static str,
    /// Calls that were already sent again.
    retried: Vec<CallId>,
    last_endpoint: Option<EndpointId>,
}

impl Policy for DefectiveBalancer {
    fn handle(&mut self, now: Micros, mut event: Event, _: &[ServerState], actions: &mut Vec<Action>) {
        if let Event::EndpointList { endpoints: entries, .. } = &mut event {
            match self.defect {
                "draining and removal updates are dropped" => {
                    entries.retain(|e| e.state == EndpointState::Ready)
                }
                "start times are dropped" => entries.iter_mut().for_each(|e| e.started_at = 0),
                _ => {}
            }
        }
        let from = actions.len();
        self.balancer.handle(now, event, actions);
        let mut extra_actions = Vec::new();
        for action in &mut actions[from..] {
            match action.clone() {
                Action::Send { endpoint: server, .. } => {
                    self.last_endpoint = Some(server);
                    if let (Action::Send { endpoint: server, .. }, "attempts go to unknown servers") =
                        (action, self.defect)
                    {
                        *server = EndpointId(900);
                    }
                }
                Action::Reject { call, .. } | Action::Fail { call } => match self.defect {
                    "answers are duplicated" => extra_actions.push(Action::Fail { call }),
                    "answers are lost" => *action = Action::SetTimer { after: 1_000 },
                    "failures become rejections" => *action = Action::Reject { call, retry_after: 0 },
                    "failed calls are retried" if !self.retried.contains(&call) => {
                        self.retried.push(call);
                        let server = self.last_endpoint.unwrap_or(EndpointId(0));
                        *action =
                            Action::Send { call, endpoint: server, timeout_at: None, send_before: None };
                    }
                    _ => {}
                },
                _ => {}
            }
        }
        actions.extend(extra_actions);
    }
}

/// Each case: the defect, the scenario, and the violation that must be reported; empty if there must be none.
#[test]
fn the_judge_reports_the_violation_that_each_defect_causes() {
    for (defect, name, expected) in [
        (
            "draining and removal updates are dropped",
            "release",
            "attempt sent to a server after its drain grace",
        ),
        ("start times are dropped", "release", "cold server overloaded"),
        ("attempts go to unknown servers", "calm", "attempt sent to an unlisted server"),
        ("answers are duplicated", "surge", "call answered twice"),
        ("answers are lost", "surge", "call not answered by its deadline"),
        ("failures become rejections", "hang", "non-idempotent call rejected although it may have run"),
        ("failed calls are retried", "hang", "non-idempotent call retried although it may have run"),
        ("none", "release", ""),
        ("none", "surge", ""),
        ("none", "hang", ""),
    ] {
        let mut scenario = load_scenario(name);
        if defect == "start times are dropped" {
            // An even share of the requests overloads a cold server only in a fleet with little spare capacity.
            (scenario.rate, scenario.server.initial_capacity_ratio) = (330.0, 0.02);
            scenario.server.cold_overload_factor = 1.5;
        }
        let make = |seed: u64, settings: &Settings| -> Box<dyn Policy> {
            let balancer = Balancer::new(seed, settings.clone());
            Box::new(DefectiveBalancer { balancer, defect, retried: Vec::new(), last_endpoint: None })
        };
        let verdict = simulate_with(&scenario, "broken", Visibility::None, &make, 4);
        let reported: Vec<&str> = verdict.violations.iter().map(|v| v.rule).collect();
        if expected.is_empty() {
            assert!(reported.is_empty(), "{defect}: {reported:?}");
        } else {
            assert!(reported.contains(&expected), "{defect}: {reported:?}");
        }
    }
}

#[test]
fn an_invalid_scenario_is_reported_with_its_location_and_a_remedy() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/slow.toml");
    let text = std::fs::read_to_string(path).expect("scenario file is readable");
    for (valid, invalid, expected) in [
        ("factor = 4", "factor = 0", "factor above 0"),
        ("what = \"slow\"", "what = \"slwo\"", "unknown variant `slwo`, expected one of"),
        ("rate = 260", "rate = -1", "rate: must be above 0 requests a second"),
        ("work = \"63ms\"", "work = \"63 parsecs\"", "write \"400ms\""),
        ("servers = 12", "severs = 12", "unknown field `severs`, expected one of"),
        ("balancers = 3", "balancers = 0", "balancers: at least 1 is needed"),
        ("part = 0.2", "part = 2", "part from 0 to 1"),
        ("name = \"card-check\"", "", "missing field `name`"),
    ] {
        assert!(text.contains(valid), "{valid}");
        let message =
            Scenario::parse(&text.replacen(valid, invalid, 1)).expect_err("scenario is invalid").to_string();
        assert!(message.contains(expected), "{valid} -> {invalid}: {message}");
    }
}

#[test]
fn oakport_recovers_from_a_congesting_burst_and_two_choices_does_not() {
    let scenario = load_scenario("burst");
    let recovery_time = |kind| simulate(&scenario, kind, 4).recovery_time;
    assert!(recovery_time(PolicyKind::Oakport).is_some_and(|time| time <= 5_000_000));
    assert_eq!(recovery_time(PolicyKind::TwoChoices), None);
}
