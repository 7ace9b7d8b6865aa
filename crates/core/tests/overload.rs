//! What many balancers may have out together: none of them talks to another, so each keeps to what it is served.

mod common;
use common::*;
use oakport_core::*;

/// A server: calls in work share its cores; what is beyond them takes longer for all.
const CORES: f64 = 3.0;
/// Time of a call alone on a core.
const WORK: Micros = 80 * MS;
const STEP: Micros = 5 * MS;

/// A call in a server.
#[derive(Clone, Copy)]
struct Work {
    /// What it still needs, in microseconds of a core.
    left: f64,
    proxy: usize,
    call: CallId,
    since: Micros,
}

/// Balancers and servers that have nothing but calls between them. `rate` calls a second come, spread over all.
struct Fleet {
    proxies: Vec<Proxy>,
    servers: Vec<Vec<Work>>,
    arrivals: f64,
    next: usize,
}

impl Fleet {
    fn new(balancers: u32, servers: u32) -> Self {
        let settings = Settings { proxy_count: balancers, ..settings(Idempotency::Idempotent) };
        let proxies = (0..balancers).map(|n| {
            let mut proxy = Proxy::new(settings.clone(), 0);
            proxy.balancer = Balancer::new(u64::from(n) + 1, settings.clone());
            proxy.list(ListUpdateKind::Snapshot, (0..servers).map(ready).collect());
            proxy
        });
        Fleet {
            proxies: proxies.collect(),
            servers: vec![Vec::new(); servers as usize],
            arrivals: 0.0,
            next: 0,
        }
    }

    fn act(&mut self, proxy: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { call, endpoint: server, .. } => {
                    let since = self.proxies[proxy].now;
                    self.servers[server.0 as usize].push(Work { left: WORK as f64, proxy, call, since });
                }
                Action::Cancel { call, .. } => {
                    self.servers.iter_mut().for_each(|s| s.retain(|w| (w.proxy, w.call) != (proxy, call)))
                }
                _ => {}
            }
        }
    }

    /// Plays for a time; tells the share of calls answered within their aim.
    fn play(&mut self, rate: f64, span: Micros) -> f64 {
        let (mut came, mut good) = (0u32, 0u32);
        for _ in 0..span / STEP {
            self.arrivals += rate * STEP as f64 / 1e6;
            while self.arrivals >= 1.0 {
                self.arrivals -= 1.0;
                // Some balancers see several times what others do.
                self.next += 1;
                let proxy = self.next * self.next % self.proxies.len();
                came += 1;
                let (_, actions) = self.proxies[proxy].call();
                self.act(proxy, actions);
            }
            for server in 0..self.servers.len() {
                let work = &mut self.servers[server];
                let share = STEP as f64 * (CORES / work.len().max(1) as f64).min(1.0);
                work.iter_mut().for_each(|w| w.left -= share);
                let done: Vec<Work> = work.iter().copied().filter(|w| w.left <= 0.0).collect();
                work.retain(|w| w.left > 0.0);
                for Work { proxy, call, since, .. } in done {
                    let elapsed = self.proxies[proxy].now - since;
                    good += u32::from(elapsed <= 500 * MS);
                    let actions = self.proxies[proxy].end(call, 0, Outcome::Served, elapsed);
                    self.act(proxy, actions);
                }
            }
            for proxy in 0..self.proxies.len() {
                let actions = self.proxies[proxy].wait(STEP);
                self.act(proxy, actions);
            }
        }
        f64::from(good) / f64::from(came)
    }

    fn fullest(&self) -> usize {
        self.servers.iter().map(Vec::len).max().unwrap_or(0)
    }
}

/// 12 servers bear 450 calls a second. Three times as many come for a while: what can be is served meanwhile, no server
/// is buried, and a short time after it is as it was before.
#[test]
fn a_burst_leaves_no_trace() {
    for balancers in [30, 60, 120] {
        let mut fleet = Fleet::new(balancers, 12);
        let before = fleet.play(250.0, 6_000 * MS);
        let during = fleet.play(1_350.0, 6_000 * MS);
        let fullest = fleet.fullest();
        fleet.play(250.0, 4_000 * MS);
        let after = fleet.play(250.0, 6_000 * MS);
        println!("{balancers}: {before:.3} {during:.3} {after:.3}, {fullest} in the fullest");
        assert!(before > 0.9, "{balancers}: {before} before");
        assert!(during > 0.15, "{balancers}: {during} of a load that is three times what can be served");
        assert!(fullest <= 30, "{balancers}: {fullest} calls in a server of 3 cores");
        assert!(after > before - 0.03, "{balancers}: {after} after, {before} before");
    }
}
