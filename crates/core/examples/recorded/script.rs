//! Events and actions as text: fixed words and numbers, independent of what types and fields are called.

use oakport_core::*;

/// One event, all of its fields.
pub fn event(event: &Event) -> String {
    match event {
        Event::Start => "start".to_owned(),
        Event::EndpointList { kind, endpoints: entries } => {
            let entries: Vec<String> = entries.iter().map(entry).collect();
            format!("list {} [{}]", list_kind(*kind), entries.join(", "))
        }
        Event::Request { call, class, tenant, remaining_time, is_retry: resent } => {
            let tenant = tenant.map(|tenant| tenant.0);
            let retry = u8::from(*resent);
            format!(
                "request {} class {} tenant {tenant:?} left {remaining_time} retry {retry}",
                call.0, class.0
            )
        }
        Event::AttemptEnded { call, attempt, outcome: how, elapsed, call_closed: closed, load: report } => {
            let (how, closed, load) = (outcome(*how), u8::from(*closed), load(report));
            format!("ended {} attempt {attempt} {how} after {elapsed} closed {closed} {load}", call.0)
        }
        Event::RequestComplete { call, remaining_time } => {
            format!("complete {} left {remaining_time}", call.0)
        }
        Event::ResponseStarted { call, attempt } => format!("streaming {} attempt {attempt}", call.0),
        Event::LoadPolled { endpoint: server, outcome: how, elapsed, load: report } => {
            format!("polled {} {} after {elapsed} {}", server.0, outcome(*how), load(report))
        }
        Event::ClientDisconnected { call } => format!("gone {}", call.0),
        Event::Timer => "timer".to_owned(),
        Event::Settings(settings) => settings_in_force(settings),
    }
}

/// One action, all of its fields.
pub fn action(action: &Action) -> String {
    match action {
        Action::Send { call, endpoint: server, timeout_at: until, send_before: by } => {
            format!("send {} to {} until {until:?} by {by:?}", call.0, server.0)
        }
        Action::Reject { call, retry_after } => format!("reject {} for {retry_after}", call.0),
        Action::Fail { call } => format!("fail {}", call.0),
        Action::Cancel { call, attempt } => format!("cancel {} attempt {attempt}", call.0),
        Action::PollLoad { endpoint: server } => format!("poll {}", server.0),
        Action::SetTimer { after } => format!("wake {after}"),
        Action::PollEndpointList => "subscribe".to_owned(),
        Action::Log(note) => logged(note),
    }
}

fn logged(note: &DecisionEvent) -> String {
    match note {
        DecisionEvent::AllEndpointsEjected => "log none".to_owned(),
        DecisionEvent::EndpointEjected { endpoint: server, outcome: how } => {
            format!("log ejected {} {}", server.0, outcome(*how))
        }
        DecisionEvent::EndpointReadmitted { endpoint: server } => format!("log readmitted {}", server.0),
        DecisionEvent::ClassFailing { endpoint: server, class } => {
            format!("log failing {} class {}", server.0, class.0)
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
    let LoadReport { in_flight: in_hand, queued: waiting, utilisation: busy, error_rate } = load;
    format!("load {in_hand:?} {waiting:?} {busy:?} {error_rate:?}")
}

fn entry(entry: &EndpointInfo) -> String {
    let state = match entry.state {
        EndpointState::Ready => "ready",
        EndpointState::Draining => "draining",
        EndpointState::Removed => "removed",
    };
    let EndpointInfo { id: server, zone, cell, machine_type: kind, weight, started_at: started, .. } = entry;
    format!(
        "{} {state} zone {} cell {} type {} weight {weight} started {started}",
        server.0, zone.0, cell.0, kind.0
    )
}

/// Of settings, what the worlds change.
fn settings_in_force(settings: &Settings) -> String {
    format!("settings {} attempts {}", settings.proxy_count, settings.limits.max_attempts)
}
