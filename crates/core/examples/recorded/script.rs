//! Formats events and actions as text of fixed words and numbers, independent of the names of types and
//! fields.

use oakport_core::*;

/// Formats an event with all of its fields.
pub fn event(event: &Event) -> String {
    match event {
        Event::Start => "start".to_owned(),
        Event::EndpointList { kind, endpoints: entries } => {
            let entries: Vec<String> = entries.iter().map(entry).collect();
            format!("list {} [{}]", list_kind(*kind), entries.join(", "))
        }
        Event::Request { call, class, tenant, remaining_time, is_retry } => {
            let tenant = tenant.map(|tenant| tenant.0);
            let retry = u8::from(*is_retry);
            format!(
                "request {} class {} tenant {tenant:?} left {remaining_time} retry {retry}",
                call.0, class.0
            )
        }
        Event::AttemptEnded { call, attempt, outcome: ended, elapsed, call_closed, load: report } => {
            let ended = outcome(*ended);
            let closed = u8::from(*call_closed);
            let load = load(report);
            format!("ended {} attempt {attempt} {ended} after {elapsed} closed {closed} {load}", call.0)
        }
        Event::RequestDelayed { call } => format!("delayed {}", call.0),
        Event::RequestComplete { call, remaining_time } => {
            format!("complete {} left {remaining_time}", call.0)
        }
        Event::ResponseStarted { call, attempt } => format!("streaming {} attempt {attempt}", call.0),
        Event::LoadPolled { endpoint, outcome: result, elapsed, load: report } => {
            format!("polled {} {} after {elapsed} {}", endpoint.0, outcome(*result), load(report))
        }
        Event::ClientDisconnected { call } => format!("gone {}", call.0),
        Event::Timer => "timer".to_owned(),
        Event::Settings(settings) => settings_in_force(settings),
    }
}

/// Formats an action with all of its fields.
pub fn action(action: &Action) -> String {
    match action {
        Action::Send { call, endpoint, timeout_at, send_before } => {
            format!("send {} to {} until {timeout_at:?} by {send_before:?}", call.0, endpoint.0)
        }
        Action::Reject { call, retry_after } => format!("reject {} for {retry_after}", call.0),
        Action::Fail { call } => format!("fail {}", call.0),
        Action::Cancel { call, attempt } => format!("cancel {} attempt {attempt}", call.0),
        Action::PollLoad { endpoint } => format!("poll {}", endpoint.0),
        Action::SetTimer { after } => format!("wake {after}"),
        Action::PollEndpointList => "subscribe".to_owned(),
        Action::Log(decision) => logged(decision),
    }
}

fn logged(decision: &DecisionEvent) -> String {
    match decision {
        DecisionEvent::AllEndpointsEjected => "log none".to_owned(),
        DecisionEvent::EndpointEjected { endpoint, outcome: cause } => {
            format!("log ejected {} {}", endpoint.0, outcome(*cause))
        }
        DecisionEvent::EndpointReadmitted { endpoint } => format!("log readmitted {}", endpoint.0),
        DecisionEvent::ClassFailing { endpoint, class } => {
            format!("log failing {} class {}", endpoint.0, class.0)
        }
    }
}

fn list_kind(kind: ListUpdateKind) -> &'static str {
    match kind {
        ListUpdateKind::Delta => "delta",
        ListUpdateKind::Snapshot => "full",
        ListUpdateKind::Cached => "cached",
        ListUpdateKind::Failed => "failed",
    }
}

fn outcome(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Error => "error",
        Outcome::InvalidRequest => "invalid",
        Outcome::Rejected => "rejected",
        Outcome::TimedOut => "timed-out",
        Outcome::ConnectFailed => "unconnected",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "unsent",
        Outcome::Unknown => "unknown",
    }
}

fn load(load: &LoadReport) -> String {
    let LoadReport { in_flight, queued, utilisation, error_rate } = load;
    format!("load {in_flight:?} {queued:?} {utilisation:?} {error_rate:?}")
}

fn entry(entry: &EndpointInfo) -> String {
    let state = match entry.state {
        EndpointState::Ready => "ready",
        EndpointState::Draining => "draining",
        EndpointState::Removed => "removed",
    };
    let EndpointInfo { id, zone, cell, machine_type, weight, started_at, .. } = entry;
    format!(
        "{} {state} zone {} cell {} type {} weight {weight} started {started_at}",
        id.0, zone.0, cell.0, machine_type.0
    )
}

/// Formats the settings that the simulations change.
fn settings_in_force(settings: &Settings) -> String {
    format!("settings {} attempts {}", settings.proxy_count, settings.limits.max_attempts)
}
