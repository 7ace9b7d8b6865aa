//! `oakport ctl`: asks a process that serves, by the operators' line protocol.

use crate::args::{Ctl, Question};
use comfy_table::{presets, CellAlignment, Table};
use oakport_proxy::{MembershipReport, MetricsReport, OutcomeCounts};
use std::io::{self, IsTerminal, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An answer is owed within 1 s; twice that is a process in trouble.
const PATIENCE: Duration = Duration::from_secs(2);
/// Most bytes of an answer that are read.
const ANSWER_MOST: u64 = 16 << 20;
const CLEAR: &str = "\x1b[H\x1b[2J";

/// Asks, and prints the answer. The error is for people.
pub fn run(ctl: &Ctl) -> Result<(), String> {
    let address = ctl.address;
    match ctl.question {
        Question::Health => {
            let answer = ask(address, "HEALTH")?;
            print!("{answer}");
            match answer.starts_with("YES") {
                true => Ok(()),
                false => Err(format!("{address} takes no clients")),
            }
        }
        Question::Dump { json: true } => {
            println!("{}", figures(address)?);
            Ok(())
        }
        Question::Dump { json: false } => {
            print!("{}", table(&report(address)?, None));
            Ok(())
        }
        Question::Peers { json } => {
            let peers = report(address)?.peers.ok_or_else(|| {
                format!("{address} knows no peers: set `peers` in its configuration, or wait until it has its address")
            })?;
            if json {
                println!("{}", serde_json::to_string(&peers).map_err(|e| e.to_string())?);
            } else {
                print!("{}", members(&peers));
            }
            Ok(())
        }
        Question::Watch { every, count } => watch(address, every, count),
    }
}

fn watch(address: SocketAddr, every: Duration, count: Option<u64>) -> Result<(), String> {
    let clear = if io::stdout().is_terminal() { CLEAR } else { "" };
    let mut last: Option<(MetricsReport, Instant)> = None;
    let mut looks = 0;
    while count.is_none_or(|count| looks < count) {
        if looks > 0 {
            std::thread::sleep(every);
        }
        looks += 1;
        let (next, now) = (report(address)?, Instant::now());
        let before = last.as_ref().map(|(report, at)| (report, now.duration_since(*at)));
        let text = format!(
            "{clear}{address}, every {}\n{}",
            humantime::format_duration(every),
            table(&next, before)
        );
        let mut out = io::stdout().lock();
        if writeln!(out, "{text}").and_then(|()| out.flush()).is_err() {
            // Whoever read it has gone.
            return Ok(());
        }
        last = Some((next, now));
    }
    Ok(())
}

/// One line to a connection, and what it answers.
fn ask(address: SocketAddr, call: &str) -> Result<String, String> {
    let in_vain = |e: io::Error| match e.kind() {
        io::ErrorKind::ConnectionRefused => {
            format!("nobody answers at {address}: is `operator` set in the configuration, and the process running?")
        }
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => {
            format!("no answer from {address} within {}", humantime::format_duration(PATIENCE))
        }
        _ => format!("asking {address}: {e}"),
    };
    let mut stream = TcpStream::connect_timeout(&address, PATIENCE).map_err(in_vain)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(in_vain)?;
    stream.set_write_timeout(Some(PATIENCE)).map_err(in_vain)?;
    stream.write_all(format!("{call}\n").as_bytes()).map_err(in_vain)?;
    let mut answer = Vec::new();
    stream.take(ANSWER_MOST).read_to_end(&mut answer).map_err(in_vain)?;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    if answer.is_empty() {
        return Err(format!(
            "{address} closed the connection with no answer: too many callers, or no oakport"
        ));
    }
    Ok(answer)
}

/// The figures as the process tells them.
fn figures(address: SocketAddr) -> Result<String, String> {
    let answer = ask(address, "DUMP")?;
    let figures = answer.strip_suffix("\nEND\n");
    let odd = || format!("{address} gave no figures but: {}", answer.lines().next().unwrap_or_default());
    figures.map(str::to_owned).ok_or_else(odd)
}

fn report(address: SocketAddr) -> Result<MetricsReport, String> {
    let text = figures(address)?;
    serde_json::from_str(&text).map_err(|e| format!("{address} gave figures that cannot be read: {e}"))
}

/// The peers for people.
fn members(peers: &MembershipReport) -> String {
    let span = |ms| humantime::format_duration(Duration::from_secs(ms / 1_000)).to_string();
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(["member", "address", "zone", "release", "is", "for"]);
    for member in &peers.members {
        table.add_row([
            member.name.clone(),
            member.address.clone(),
            member.zone.clone(),
            member.release.clone(),
            member.status.clone(),
            span(member.status_age_ms),
        ]);
    }
    let cut = if peers.partition_suspected { ", so many are silent that it is taken for a cut" } else { "" };
    let head = format!(
        "{} at {} sees {} present, itself included, for {}; {:.0}% of them agree; counts {}{cut}",
        peers.name,
        peers.address,
        peers.size,
        span(peers.age_ms),
        100.0 * peers.agreement_ratio,
        peers.live_count
    );
    let mut scopes = Table::new();
    scopes.load_preset(presets::NOTHING).set_header(["scope", "present", "counted", "heard", "ago"]);
    for scope in &peers.scopes {
        let [present, counted] = [scope.member_count, scope.live_count].map(|number| number.to_string());
        scopes.add_row([scope.name.clone(), present, counted, scope.status.clone(), span(scope.age_ms)]);
    }
    let lines = [head, String::new()].into_iter().chain(table.lines());
    let others = (!peers.scopes.is_empty()).then(|| [String::new()].into_iter().chain(scopes.lines()));
    lines.chain(others.into_iter().flatten()).map(|line| format!("{}\n", line.trim_end())).collect()
}

/// The figures for people; with those of some time ago, what came each second since.
fn table(now: &MetricsReport, before: Option<(&MetricsReport, Duration)>) -> String {
    let rate = |now: u64, of: &dyn Fn(&MetricsReport) -> u64| match before {
        Some((before, span)) => {
            let rate = now.saturating_sub(of(before)) as f64 / span.as_secs_f64().max(f64::MIN_POSITIVE);
            format!("{now} ({rate:.1}/s)")
        }
        None => now.to_string(),
    };
    let mut calls = Table::new();
    calls.load_preset(presets::NOTHING).set_header(["class", "served", "refused", "failed"]);
    for (class, ends) in &now.calls {
        let of = |part: fn(&OutcomeCounts) -> u64| {
            rate(part(ends), &|r: &MetricsReport| r.calls.get(class).map(part).unwrap_or_default())
        };
        calls.add_row([class.clone(), of(|e| e.success), of(|e| e.busy), of(|e| e.failure)]);
    }
    let mut rest = Table::new();
    rest.load_preset(presets::NOTHING);
    for (name, value) in [
        ("in flight", now.inflight.to_string()),
        ("attempts", rate(now.backend_calls, &|r| r.backend_calls)),
        ("servers listed", now.hosts_listed.to_string()),
        ("servers down", now.hosts_down.to_string()),
        ("files taken", now.reconfig_ok.to_string()),
        ("files turned down", now.reconfig_failed.to_string()),
    ] {
        rest.add_row([name.to_owned(), value]);
    }
    for table in [&mut calls, &mut rest] {
        table.column_iter_mut().skip(1).for_each(|column| column.set_cell_alignment(CellAlignment::Right));
    }
    let lines = calls.lines().chain([String::new()]).chain(rest.lines());
    lines.map(|line| format!("{}\n", line.trim_end())).collect()
}
