//! Polls the proxies for their views of the membership.

use super::process_stats;
use super::record::{MemberState, Observation, PeerView, Shared};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{interval, timeout, MissedTickBehavior};

/// Interval between polls of one proxy.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a poll; the process may be stopped.
const POLL_TIMEOUT: Duration = Duration::from_millis(300);

/// Polls a proxy at its admin endpoint and records its views. Never returns.
pub async fn watch(shared: Arc<Shared>, proxy: usize, admin: SocketAddr) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        // A proxy that has exited or is stopped does not answer; such polls are skipped.
        if let Ok(Some(view)) = timeout(POLL_TIMEOUT, request_view(admin)).await {
            shared.record(Observation::PeerView { proxy, at: shared.now(), view });
        }
    }
}

async fn request_view(admin: SocketAddr) -> Option<PeerView> {
    let report = process_stats::admin_report(admin).await.ok()?;
    let peers = report.get("peers")?;
    let member = |m: &Value| {
        let number = m["name"].as_str()?.strip_prefix('n')?.parse().ok()?;
        let standing = match m["standing"].as_str()? {
            "left" => MemberState::Left,
            "dead" => MemberState::Dead,
            _ => MemberState::Present,
        };
        Some((number, m["life"].as_u64()?, standing))
    };
    Some(PeerView {
        digest: u64::from_str_radix(peers["digest"].as_str()?, 16).ok()?,
        count: peers["count"].as_u64()? as usize,
        bytes: peers["bytes_sent"].as_u64()?,
        members: peers["members"].as_array()?.iter().filter_map(member).collect(),
    })
}
