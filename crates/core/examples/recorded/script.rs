//! Events and actions as text: fixed words and numbers, independent of what types and fields are called.

use oakport_core::*;

/// One event, all of its fields.
pub fn event(event: &Event) -> String {
    match event {
        Event::Start => "start".to_owned(),
        Event::Members { kind, entries } => {
            let entries: Vec<String> = entries.iter().map(entry).collect();
            format!("list {} [{}]", list_kind(*kind), entries.join(", "))
        }
        Event::Request { call, class, tenant, time_left, resent } => {
            let tenant = tenant.map(|tenant| tenant.0);
            let retry = u8::from(*resent);
            format!("request {} class {} tenant {tenant:?} left {time_left} retry {retry}", call.0, class.0)
        }
        Event::Outcome { call, attempt, outcome: how, elapsed, closed, load: report } => {
            let (how, closed, load) = (outcome(*how), u8::from(*closed), load(report));
            format!("ended {} attempt {attempt} {how} after {elapsed} closed {closed} {load}", call.0)
        }
        Event::Whole { call, time_left } => format!("complete {} left {time_left}", call.0),
        Event::Streaming { call, attempt } => format!("streaming {} attempt {attempt}", call.0),
        Event::Probed { server, outcome: how, elapsed, load: report } => {
            format!("polled {} {} after {elapsed} {}", server.0, outcome(*how), load(report))
        }
        Event::Gone { call } => format!("gone {}", call.0),
        Event::Timer => "timer".to_owned(),
        Event::Settings(settings) => settings_in_force(settings),
    }
}

/// One action, all of its fields.
pub fn action(action: &Action) -> String {
    match action {
        Action::Send { call, server, until, by } => {
            format!("send {} to {} until {until:?} by {by:?}", call.0, server.0)
        }
        Action::Refuse { call, retry_after } => format!("reject {} for {retry_after}", call.0),
        Action::Fail { call } => format!("fail {}", call.0),
        Action::Cancel { call, attempt } => format!("cancel {} attempt {attempt}", call.0),
        Action::Probe { server } => format!("poll {}", server.0),
        Action::Wake { after } => format!("wake {after}"),
        Action::Subscribe => "subscribe".to_owned(),
        Action::Log(note) => logged(note),
    }
}

fn logged(note: &Note) -> String {
    match note {
        Note::NoneUp => "log none".to_owned(),
        Note::SetAside { server, outcome: how } => format!("log ejected {} {}", server.0, outcome(*how)),
        Note::TakenBack { server } => format!("log readmitted {}", server.0),
        Note::FailsClass { server, class } => format!("log failing {} class {}", server.0, class.0),
    }
}

fn list_kind(kind: ListKind) -> &'static str {
    match kind {
        ListKind::Delta => "delta",
        ListKind::Full => "full",
        ListKind::Cached => "cached",
        ListKind::Failed => "failed",
    }
}

fn outcome(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Error => "error",
        Outcome::Rejected => "invalid",
        Outcome::TurnedAway => "rejected",
        Outcome::TimedOut => "timed-out",
        Outcome::NoConnection => "unconnected",
        Outcome::Reset => "reset",
        Outcome::CalledOff => "cancelled",
        Outcome::NotSent => "unsent",
        Outcome::Unknown => "unknown",
    }
}

fn load(load: &Load) -> String {
    let Load { in_hand, waiting, busy, error_rate } = load;
    format!("load {in_hand:?} {waiting:?} {busy:?} {error_rate:?}")
}

fn entry(entry: &Entry) -> String {
    let state = match entry.state {
        State::Ready => "ready",
        State::Draining => "draining",
        State::Gone => "removed",
    };
    let Entry { server, zone, cell, kind, weight, started, .. } = entry;
    format!(
        "{} {state} zone {} cell {} type {} weight {weight} started {started}",
        server.0, zone.0, cell.0, kind.0
    )
}

/// Of settings, what the worlds change.
fn settings_in_force(settings: &Settings) -> String {
    format!("settings {} attempts {}", settings.balancers, settings.limits.max_attempts)
}
