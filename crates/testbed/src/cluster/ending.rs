//! The ends of client proxies: signals in series, planned restarts, and kills.

use super::events::Fleet;
use oakport_core::Micros;
use oakport_simulator::scenario::{FaultKind, FaultSpec, SignalSpec};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

/// For so long clients still come to a proxy that has been told to end (PROTOCOL, "Figures").
const STILL: Duration = Duration::from_millis(300);
/// So long after the longest deadline a process that has been told to end is killed, and the longest deadline that
/// counts (PROTOCOL, "Figures").
const KILL: Micros = 700_000;
const MAX_DEADLINE_US: Micros = 3_000_000;

impl Fleet {
    /// How long after SIGTERM the kill comes at the earliest.
    fn time_to_kill(&self) -> Duration {
        let longest = self.site.shared.day.classes.iter().map(|c| c.client_timeout).max().unwrap_or(0);
        Duration::from_micros(longest.min(MAX_DEADLINE_US) + KILL)
    }

    /// Proxies die at once, and start again one after the other until the end.
    pub(super) async fn kill(self: &Arc<Self>, event: &FaultSpec, begin: Micros) {
        let met = self.site.affected_proxies(event);
        let step = event.duration / met.len().max(1) as Micros;
        let mut all = JoinSet::new();
        for (place, proxy) in met.into_iter().enumerate() {
            let fleet = Arc::clone(self);
            all.spawn(async move {
                let mut seat = fleet.seats[proxy].lock().await;
                seat.kill().await;
                fleet.site.shared.until(begin + step * (place as Micros + 1)).await;
                fleet.start(&mut seat).await;
            });
        }
        while all.join_next().await.is_some() {}
    }

    /// A process is met.
    pub(super) async fn meet(self: Arc<Self>, proxy: usize, event: FaultSpec, end: Micros) {
        match event.kind {
            FaultKind::Stall => {
                self.seats[proxy].lock().await.stall(true);
                self.site.shared.until(end).await;
                self.seats[proxy].lock().await.stall(false);
            }
            FaultKind::Herd => {
                let mut seat = self.seats[proxy].lock().await;
                seat.kill().await;
                self.start(&mut seat).await;
            }
            FaultKind::Restart => {
                let pause = Duration::ZERO;
                self.signal_series(proxy, &[SignalSpec::Term], pause, event.clients_keep_connections).await;
            }
            FaultKind::Signals => {
                let pause = Duration::from_micros(event.duration / event.signals.len().max(1) as Micros);
                self.signal_series(proxy, &event.signals, pause, event.clients_keep_connections).await;
            }
            _ => {
                let mut seat = self.seats[proxy].lock().await;
                let old = seat.start(&self.play.replacement);
                if seat.ready().await.is_ok() {
                    if let Ok(Some(old)) = old {
                        seat.retire(old, self.time_to_kill()).await;
                    }
                }
            }
        }
    }

    /// Sends signals to a process; if it was told to end, waits for that and starts another.
    async fn signal_series(&self, proxy: usize, signals: &[SignalSpec], pause: Duration, clients_stay: bool) {
        let mut seat = self.seats[proxy].lock().await;
        let mut told_at = None;
        for signal in signals {
            match signal {
                SignalSpec::Hup => seat.reload(),
                SignalSpec::HupInvalid => {
                    // Without the file the process keeps its settings, which is what is asked here.
                    let _ = seat.reload_invalid(pause / 2).await;
                }
                SignalSpec::Term => {
                    seat.terminate();
                    told_at = told_at.or(Some(Instant::now()));
                }
            }
            sleep(pause).await;
        }
        let Some(told_at) = told_at else { return };
        let app = &self.apps[proxy];
        tokio::time::sleep_until(told_at + STILL).await;
        if clients_stay {
            app.open_none(true);
        } else {
            app.away(true);
        }
        seat.end((told_at + self.time_to_kill()).saturating_duration_since(Instant::now())).await;
        self.start(&mut seat).await;
        app.open_none(false);
        app.away(false);
    }
}
