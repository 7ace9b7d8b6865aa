//! What a decision costs among ten servers and among many. One iteration is a request and the outcome of an earlier
//! one, or one changed entry of the list. `cargo bench -p oakport-core` prints all cases, and before them how often a
//! request allocates.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use oakport_core::*;
use std::alloc::{GlobalAlloc, Layout, System};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Counts what is allocated.
struct Counting;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);

// SAFETY: each call goes to the system's allocator as it came; the count beside it allocates nothing.
#[allow(unsafe_code)]
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        System.dealloc(at, layout);
    }

    unsafe fn realloc(&self, at: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        System.realloc(at, layout, size)
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Calls in flight in the usual cases.
const OUT: usize = 8;
/// Calls that wait where all servers are full.
const HELD: u64 = 500;
/// Balancers among which each server's first budget is one call.
const NARROW: u32 = 7;
const SIZES: [u32; 4] = [10, 100, 1_000, 10_000];

/// How servers do.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// A third of them keep what they are sent.
    ThirdFull,
    /// A tenth of them cannot be connected to.
    TenthAside,
    /// All keep what they are sent.
    AllFull,
}

struct Bench {
    balancer: Balancer,
    now: Micros,
    actions: Vec<Action>,
    out: VecDeque<(CallId, u32, EndpointId)>,
    kept: VecDeque<(CallId, u32, EndpointId)>,
    attempts: std::collections::HashMap<CallId, u32>,
    next: u64,
    trouble: Trouble,
}

fn entry(server: u32, started: Micros) -> EndpointInfo {
    EndpointInfo {
        id: EndpointId(server),
        zone: ZoneId(server % 3),
        machine_type: MachineTypeId(server % 2),
        started_at: started,
        ..EndpointInfo::default()
    }
}

impl Bench {
    fn new(servers: u32, balancers: u32, trouble: Trouble) -> Self {
        let class = Class { idempotency: Idempotency::Idempotent, ..Settings::default().classes[0] };
        let settings = Settings { proxy_count: balancers, classes: vec![class], ..Settings::default() };
        let mut bench = Bench {
            balancer: Balancer::new(7, settings),
            now: 1_000_000_000_000,
            actions: Vec::new(),
            out: VecDeque::new(),
            kept: VecDeque::new(),
            attempts: Default::default(),
            next: 0,
            trouble,
        };
        bench.event(Event::Start);
        let entries = (0..servers).map(|server| entry(server, 0)).collect();
        bench.event(Event::EndpointList { kind: ListUpdateKind::Snapshot, endpoints: entries });
        bench
    }

    fn event(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { call, endpoint: server, .. } => {
                    let number = self.attempts.entry(call).or_default();
                    let sent = (call, *number, server);
                    *number += 1;
                    let keeps = match self.trouble {
                        Trouble::ThirdFull => server.0.is_multiple_of(3),
                        Trouble::AllFull => true,
                        _ => false,
                    };
                    if keeps {
                        self.kept.push_back(sent)
                    } else {
                        self.out.push_back(sent)
                    }
                }
                Action::Reject { call, .. } | Action::Fail { call } => {
                    self.attempts.remove(&call);
                }
                _ => {}
            }
        }
        self.actions = actions;
    }

    fn request(&mut self) {
        let call = CallId(self.next);
        self.next += 1;
        self.event(Event::Request {
            call,
            class: ClassId(0),
            tenant: None,
            remaining_time: 1_000_000,
            is_retry: false,
        });
    }

    fn end(&mut self, (call, attempt, server): (CallId, u32, EndpointId)) {
        let down = self.trouble == Trouble::TenthAside && server.0.is_multiple_of(10);
        let outcome = if down { Outcome::ConnectFailed } else { Outcome::Served };
        if !down {
            self.attempts.remove(&call);
        }
        let load = LoadReport::default();
        self.event(Event::AttemptEnded { call, attempt, outcome, elapsed: 20_000, call_closed: !down, load });
    }

    /// A request, and the outcome of one that is out.
    fn step(&mut self) {
        self.now += 100;
        self.request();
        while self.out.len() > OUT {
            let Some(oldest) = self.out.pop_front() else { break };
            self.end(oldest);
        }
    }

    /// A request that waits, and the end of one that makes room for the first that does.
    fn step_full(&mut self) {
        self.now += 1;
        self.request();
        if let Some(oldest) = self.kept.pop_front() {
            self.end(oldest);
        }
    }

    /// Until a third of the servers are full.
    fn fill_third(mut self, servers: u32) -> Self {
        while self.kept.len() < servers.div_ceil(3) as usize && self.next < u64::from(servers) * 8 {
            self.step();
        }
        self
    }

    /// Until all servers are full, and some calls wait.
    fn fill_all(mut self, servers: u32) -> Self {
        while self.next < 2 * u64::from(servers) + HELD {
            self.request();
        }
        self
    }
}

fn allocations() {
    let mut bench = Bench::new(100, 1, Trouble::None);
    (0..2_000).for_each(|_| bench.step());
    let before = ALLOCATIONS.load(Ordering::Relaxed);
    (0..10_000).for_each(|_| bench.step());
    let each = (ALLOCATIONS.load(Ordering::Relaxed) - before) as f64 / 1e4;
    println!("allocations a request with its outcome, calm, 100 servers: {each:.2}");
}

fn decisions(criterion: &mut Criterion) {
    allocations();
    let mut group = criterion.benchmark_group("request");
    group.sample_size(10).warm_up_time(Duration::from_millis(300)).measurement_time(Duration::from_secs(1));
    for servers in SIZES.into_iter().chain([100_000]) {
        let mut bench = Bench::new(servers, 1, Trouble::None);
        group.bench_function(BenchmarkId::new("calm", servers), |b| b.iter(|| bench.step()));
    }
    for servers in SIZES {
        let mut bench = Bench::new(servers, 300, Trouble::None);
        group.bench_function(BenchmarkId::new("300 balancers", servers), |b| b.iter(|| bench.step()));
        let mut bench = Bench::new(servers, NARROW, Trouble::ThirdFull).fill_third(servers);
        group.bench_function(BenchmarkId::new("a third full", servers), |b| b.iter(|| bench.step()));
        let mut bench = Bench::new(servers, 1, Trouble::TenthAside);
        (0..200).for_each(|_| bench.step());
        group.bench_function(BenchmarkId::new("a tenth set aside", servers), |b| b.iter(|| bench.step()));
    }
    for servers in [10, 100, 1_000] {
        let mut bench = Bench::new(servers, NARROW, Trouble::AllFull).fill_all(servers);
        group.bench_function(BenchmarkId::new("all full, 500 held", servers), |b| {
            b.iter(|| bench.step_full())
        });
    }
    group.finish();

    let mut group = criterion.benchmark_group("list");
    group.sample_size(10).warm_up_time(Duration::from_millis(300)).measurement_time(Duration::from_secs(1));
    for servers in SIZES {
        let mut bench = Bench::new(servers, 1, Trouble::None);
        let mut changed = 0;
        group.bench_function(BenchmarkId::new("a changed entry", servers), |b| {
            b.iter(|| {
                bench.now += 10;
                changed = (changed + 7_919) % servers;
                let entries = vec![entry(changed, bench.now - 1)];
                bench.event(Event::EndpointList { kind: ListUpdateKind::Delta, endpoints: entries });
            });
        });
        // A tenth of the list is replaced in one piece of news; the figure is for all of it.
        let mut bench = Bench::new(servers, 1, Trouble::None);
        let mut round = 0;
        group.bench_function(BenchmarkId::new("a tenth replaced", servers), |b| {
            b.iter(|| {
                bench.now += 1_000_000;
                round += 1;
                let replaced = (0..servers).filter(|server| (server + round) % 10 == 0);
                let entries = replaced.map(|server| entry(server, bench.now - 1)).collect();
                bench.event(Event::EndpointList { kind: ListUpdateKind::Delta, endpoints: entries });
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
