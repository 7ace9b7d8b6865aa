//! Asks proxies what they hold of their peers, again and again.

use super::process_stats;
use super::record::{Held, Seen, Shared, Standing};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{interval, timeout, MissedTickBehavior};

/// Between two questions to one proxy.
const EVERY: Duration = Duration::from_millis(100);
/// One that does not answer within this is not waited for: it may stand still.
const PATIENCE: Duration = Duration::from_millis(300);

/// Asks a proxy at its operators' address, for ever.
pub async fn watch(shared: Arc<Shared>, proxy: usize, operator: SocketAddr) {
    let mut beat = interval(EVERY);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        beat.tick().await;
        // One that is dead or stands still says nothing.
        if let Ok(Some(held)) = timeout(PATIENCE, ask(operator)).await {
            shared.saw(Seen::Held { proxy, at: shared.now(), held });
        }
    }
}

async fn ask(operator: SocketAddr) -> Option<Held> {
    let report = process_stats::admin_report(operator).await.ok()?;
    let peers = report.get("peers")?;
    let member = |m: &Value| {
        let number = m["name"].as_str()?.strip_prefix('n')?.parse().ok()?;
        let standing = match m["standing"].as_str()? {
            "left" => Standing::Left,
            "dead" => Standing::Dead,
            _ => Standing::There,
        };
        Some((number, m["life"].as_u64()?, standing))
    };
    Some(Held {
        digest: u64::from_str_radix(peers["digest"].as_str()?, 16).ok()?,
        count: peers["count"].as_u64()? as usize,
        bytes: peers["bytes_sent"].as_u64()?,
        members: peers["members"].as_array()?.iter().filter_map(member).collect(),
    })
}
