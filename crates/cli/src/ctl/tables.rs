//! Tables of `oakport ctl` for a terminal.

use comfy_table::{presets, CellAlignment, Table};
use oakport_proxy::{MembershipReport, MetricsReport, OutcomeCounts, ShutdownReport};
use std::time::Duration;

/// An earlier report, from which rates per second are computed.
#[derive(Clone, Copy)]
pub struct Earlier<'a> {
    /// The report.
    pub report: &'a MetricsReport,
    /// Time from its receipt to the receipt of the current report.
    pub elapsed: Duration,
}

/// The membership as text: a summary, the members, and the other scopes if there are any.
pub fn membership_table(membership: &MembershipReport) -> String {
    let mut lines = vec![membership_summary(membership), String::new()];
    lines.extend(members_table(membership).lines());
    if !membership.scopes.is_empty() {
        lines.push(String::new());
        lines.extend(scopes_table(membership).lines());
    }
    join_trimmed(lines)
}

fn membership_summary(membership: &MembershipReport) -> String {
    let partition = if membership.partition_suspected { "; network partition suspected" } else { "" };
    format!(
        "{} at {}: {} live members including itself, unchanged for {}; {:.0}% of them agree; \
         live count {}{partition}",
        membership.name,
        membership.address,
        membership.size,
        whole_seconds(membership.age_ms),
        100.0 * membership.agreement_ratio,
        membership.live_count
    )
}

fn members_table(membership: &MembershipReport) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(["member", "address", "zone", "release", "is", "for"]);
    for member in &membership.members {
        table.add_row([
            member.name.clone(),
            member.address.clone(),
            member.zone.clone(),
            member.release.clone(),
            member.status.clone(),
            whole_seconds(member.status_age_ms),
        ]);
    }
    table
}

fn scopes_table(membership: &MembershipReport) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(["scope", "present", "counted", "heard", "ago"]);
    for scope in &membership.scopes {
        table.add_row([
            scope.name.clone(),
            scope.member_count.to_string(),
            scope.live_count.to_string(),
            scope.status.clone(),
            whole_seconds(scope.age_ms),
        ]);
    }
    table
}

/// The metrics as text, with rates per second if there is an earlier report.
pub fn metrics_table(now: &MetricsReport, earlier: Option<Earlier<'_>>) -> String {
    let mut lines: Vec<String> = outcomes_table(now, earlier).lines().collect();
    lines.push(String::new());
    lines.extend(totals_table(now, earlier).lines());
    if let Some(shutdown) = &now.shutdown {
        lines.push(String::new());
        lines.extend(shutdown_table(shutdown).lines());
    }
    join_trimmed(lines)
}

fn outcomes_table(now: &MetricsReport, earlier: Option<Earlier<'_>>) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(["class", "served", "refused", "failed"]);
    for (class, counts) in &now.outcomes {
        let cell = |count: fn(&OutcomeCounts) -> u64| {
            with_rate(count(counts), earlier, |report| {
                report.outcomes.get(class).map(count).unwrap_or_default()
            })
        };
        table.add_row([
            class.clone(),
            cell(|counts| counts.served),
            cell(|counts| counts.rejected),
            cell(|counts| counts.failed),
        ]);
    }
    align_numbers_right(&mut table);
    table
}

fn totals_table(now: &MetricsReport, earlier: Option<Earlier<'_>>) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.add_row(["in flight", &now.in_flight_calls.to_string()]);
    table.add_row(["attempts", &with_rate(now.attempts, earlier, |report| report.attempts)]);
    table.add_row(["endpoints listed", &now.endpoints_listed.to_string()]);
    table.add_row(["endpoints unavailable", &now.endpoints_unavailable.to_string()]);
    table.add_row(["reloads applied", &now.reloads_succeeded.to_string()]);
    table.add_row(["reloads rejected", &now.reloads_failed.to_string()]);
    align_numbers_right(&mut table);
    table
}

fn shutdown_table(shutdown: &ShutdownReport) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.add_row(["graceful shutdown for", &whole_seconds(shutdown.began_ms_ago)]);
    table.add_row(["client connections", &shutdown.open.connections.to_string()]);
    table.add_row(["incomplete requests", &shutdown.open.incomplete_requests.to_string()]);
    table.add_row(["awaiting response", &shutdown.open.awaiting_response.to_string()]);
    table.add_row(["writing response", &shutdown.open.writing_response.to_string()]);
    align_numbers_right(&mut table);
    table
}

/// A counter, with its rate per second since the earlier report if there is one.
fn with_rate(now: u64, earlier: Option<Earlier<'_>>, count: impl Fn(&MetricsReport) -> u64) -> String {
    let Some(earlier) = earlier else { return now.to_string() };
    let increase = now.saturating_sub(count(earlier.report)) as f64;
    let rate = increase / earlier.elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
    format!("{now} ({rate:.1}/s)")
}

fn align_numbers_right(table: &mut Table) {
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
}

fn whole_seconds(milliseconds: u64) -> String {
    humantime::format_duration(Duration::from_secs(milliseconds / 1_000)).to_string()
}

fn join_trimmed(lines: Vec<String>) -> String {
    lines.iter().map(|line| format!("{}\n", line.trim_end())).collect()
}
