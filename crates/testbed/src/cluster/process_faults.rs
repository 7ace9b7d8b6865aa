//! Faults of the proxy processes: signal series, planned restarts, hot restarts, stalls, and kills.

use super::events::TestCluster;
use oakport_core::Micros;
use oakport_simulator::scenario::{FaultKind, FaultSpec, SignalSpec};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

/// Clients still send requests to a proxy for this long after its SIGTERM (PROTOCOL, "Figures").
const CLIENT_GRACE: Duration = Duration::from_millis(300);
/// After SIGTERM, a process is killed this long after the longest client timeout (PROTOCOL, "Figures").
const KILL_DELAY_US: Micros = 700_000;
/// A longer client timeout does not delay the kill further (PROTOCOL, "Figures").
const MAX_CLIENT_TIMEOUT_US: Micros = 3_000_000;

impl TestCluster {
    /// Shortest time between SIGTERM and SIGKILL.
    fn time_to_kill(&self) -> Duration {
        let longest = self.site.shared.scenario.classes.iter().map(|c| c.client_timeout).max().unwrap_or(0);
        Duration::from_micros(longest.min(MAX_CLIENT_TIMEOUT_US) + KILL_DELAY_US)
    }

    /// Kills all affected proxies at once, and restarts them one after the other over the duration of the
    /// event.
    pub(super) async fn kill_proxies(self: &Arc<Self>, event: &FaultSpec, begin: Micros) {
        let affected = self.site.affected_proxies(event);
        let step = event.duration / affected.len().max(1) as Micros;
        let mut all = JoinSet::new();
        for (index, proxy) in affected.into_iter().enumerate() {
            let cluster = Arc::clone(self);
            all.spawn(async move {
                let mut supervisor = cluster.supervisors[proxy].lock().await;
                supervisor.kill().await;
                cluster.site.shared.sleep_until(begin + step * (index as Micros + 1)).await;
                cluster.start_process(&mut supervisor).await;
            });
        }
        while all.join_next().await.is_some() {}
    }

    /// Applies an event to one proxy process.
    pub(super) async fn apply_process_fault(self: Arc<Self>, proxy: usize, event: FaultSpec, end: Micros) {
        match event.kind {
            FaultKind::Stall => {
                self.supervisors[proxy].lock().await.stall(true);
                self.site.shared.sleep_until(end).await;
                self.supervisors[proxy].lock().await.stall(false);
            }
            FaultKind::Herd => {
                let mut supervisor = self.supervisors[proxy].lock().await;
                supervisor.kill().await;
                self.start_process(&mut supervisor).await;
            }
            FaultKind::Restart => {
                let pause = Duration::ZERO;
                self.send_signals(proxy, &[SignalSpec::Term], pause, event.clients_keep_connections).await;
            }
            FaultKind::Signals => {
                let pause = Duration::from_micros(event.duration / event.signals.len().max(1) as Micros);
                self.send_signals(proxy, &event.signals, pause, event.clients_keep_connections).await;
            }
            _ => {
                let mut supervisor = self.supervisors[proxy].lock().await;
                let old = supervisor.start(&self.config.replacement);
                if supervisor.ready().await.is_ok() {
                    if let Ok(Some(old)) = old {
                        supervisor.retire(old, self.time_to_kill()).await;
                    }
                }
            }
        }
    }

    /// Sends signals to a process. After a SIGTERM, waits until the process has exited and starts a new one.
    async fn send_signals(&self, proxy: usize, signals: &[SignalSpec], pause: Duration, clients_stay: bool) {
        let mut supervisor = self.supervisors[proxy].lock().await;
        let mut term_sent_at = None;
        for signal in signals {
            match signal {
                SignalSpec::Hup => supervisor.reload(),
                SignalSpec::HupInvalid => {
                    // If the file cannot be read or written, the process keeps its settings, which is what
                    // this signal tests.
                    let _ = supervisor.reload_invalid(pause / 2).await;
                }
                SignalSpec::Term => {
                    supervisor.terminate();
                    term_sent_at = term_sent_at.or(Some(Instant::now()));
                }
            }
            sleep(pause).await;
        }
        let Some(term_sent_at) = term_sent_at else { return };
        let app = &self.apps[proxy];
        tokio::time::sleep_until(term_sent_at + CLIENT_GRACE).await;
        if clients_stay {
            app.disable_connects(true);
        } else {
            app.set_paused(true);
        }
        supervisor.end((term_sent_at + self.time_to_kill()).saturating_duration_since(Instant::now())).await;
        self.start_process(&mut supervisor).await;
        app.disable_connects(false);
        app.set_paused(false);
    }
}
