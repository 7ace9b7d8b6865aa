//! Overload by many client proxies, which share no state: each adapts its concurrency limit to its own
//! responses.

mod common;
use common::*;
use oakport_core::*;

/// Cores of a simulated server; if there are more calls than cores, the calls share the cores evenly.
const CORES: f64 = 3.0;
/// Work of a call, in microseconds of one core.
const WORK_US: Micros = 80 * MS;
/// Resolution of the simulation.
const STEP_US: Micros = 5 * MS;

/// An attempt in progress at a simulated server.
#[derive(Clone, Copy)]
struct Work {
    /// Remaining work, in microseconds of one core.
    remaining_us: f64,
    proxy: usize,
    call: CallId,
    sent_at: Micros,
}

/// Client proxies and simulated servers.
struct Fleet {
    proxies: Vec<RecordingProxy>,
    servers: Vec<Vec<Work>>,
    /// Calls that are due to arrive.
    due_calls: f64,
    /// Calls that have arrived.
    call_count: usize,
}

impl Fleet {
    fn new(proxy_count: u32, server_count: u32) -> Self {
        let settings = Settings { proxy_count, ..settings(Idempotency::Idempotent) };
        let proxies = (0..proxy_count).map(|n| {
            let mut proxy = RecordingProxy::new(settings.clone(), 0);
            proxy.balancer = Balancer::new(u64::from(n) + 1, settings.clone());
            proxy.endpoint_list(ListUpdateKind::Snapshot, (0..server_count).map(ready_endpoint).collect());
            proxy
        });
        Fleet {
            proxies: proxies.collect(),
            servers: vec![Vec::new(); server_count as usize],
            due_calls: 0.0,
            call_count: 0,
        }
    }

    fn carry_out(&mut self, proxy: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { call, endpoint, .. } => {
                    let sent_at = self.proxies[proxy].now;
                    self.servers[endpoint.0 as usize].push(Work {
                        remaining_us: WORK_US as f64,
                        proxy,
                        call,
                        sent_at,
                    });
                }
                Action::Cancel { call, .. } => {
                    self.servers.iter_mut().for_each(|s| s.retain(|w| (w.proxy, w.call) != (proxy, call)))
                }
                _ => {}
            }
        }
    }

    /// Simulates `span` with this rate of calls over all client proxies; returns the share of calls served
    /// within their latency objective.
    fn simulate(&mut self, calls_per_sec: f64, span: Micros) -> f64 {
        let mut arrived = 0u32;
        let mut served_in_time = 0u32;
        for _ in 0..span / STEP_US {
            self.due_calls += calls_per_sec * STEP_US as f64 / 1e6;
            while self.due_calls >= 1.0 {
                self.due_calls -= 1.0;
                // Some client proxies receive several times as many calls as others.
                self.call_count += 1;
                let proxy = self.call_count * self.call_count % self.proxies.len();
                arrived += 1;
                let (_, actions) = self.proxies[proxy].request();
                self.carry_out(proxy, actions);
            }
            for server in 0..self.servers.len() {
                let work = &mut self.servers[server];
                let share = STEP_US as f64 * (CORES / work.len().max(1) as f64).min(1.0);
                work.iter_mut().for_each(|w| w.remaining_us -= share);
                let done: Vec<Work> = work.iter().copied().filter(|w| w.remaining_us <= 0.0).collect();
                work.retain(|w| w.remaining_us > 0.0);
                for Work { proxy, call, sent_at, .. } in done {
                    let elapsed = self.proxies[proxy].now - sent_at;
                    served_in_time += u32::from(elapsed <= 500 * MS);
                    let actions = self.proxies[proxy].end_attempt(call, 0, Outcome::Served, elapsed);
                    self.carry_out(proxy, actions);
                }
            }
            for proxy in 0..self.proxies.len() {
                let actions = self.proxies[proxy].advance(STEP_US);
                self.carry_out(proxy, actions);
            }
        }
        f64::from(served_in_time) / f64::from(arrived)
    }

    fn max_calls_in_progress(&self) -> usize {
        self.servers.iter().map(Vec::len).max().unwrap_or(0)
    }
}

/// 12 servers can serve 450 calls per second. During a burst of three times that rate, part of the calls is
/// served and no server is overloaded; 4 s after the burst, the share of calls in time is as before.
#[test]
fn goodput_recovers_soon_after_a_burst() {
    for proxy_count in [30, 60, 120] {
        let mut fleet = Fleet::new(proxy_count, 12);
        let before = fleet.simulate(250.0, 6_000 * MS);
        let during = fleet.simulate(1_350.0, 6_000 * MS);
        let max_calls = fleet.max_calls_in_progress();
        fleet.simulate(250.0, 4_000 * MS);
        let after = fleet.simulate(250.0, 6_000 * MS);
        println!("{proxy_count}: {before:.3} {during:.3} {after:.3}, at most {max_calls} calls at a server");
        assert!(before > 0.9, "{proxy_count}: {before} before");
        assert!(during > 0.15, "{proxy_count}: {during} of a load that is three times the capacity");
        assert!(max_calls <= 30, "{proxy_count}: {max_calls} calls at a server of 3 cores");
        assert!(after > before - 0.03, "{proxy_count}: {after} after, {before} before");
    }
}
