//! Cost of a decision, depending on the number of endpoints. One iteration is a request and the outcome of an
//! earlier request, or one changed entry of the endpoint list. `cargo bench -p oakport-core` first prints the
//! allocations per request.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use oakport_core::*;
use std::alloc::{GlobalAlloc, Layout, System};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// An allocator that counts allocations.
struct CountingAllocator;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);

// SAFETY: each call is passed on to the system's allocator unchanged; the counter does not allocate.
#[allow(unsafe_code)]
unsafe impl GlobalAlloc for CountingAllocator {
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
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Calls in flight, if endpoints serve them.
const CALLS_IN_FLIGHT: usize = 8;
/// Queued calls, if all endpoints are at capacity.
const QUEUED_CALLS: u64 = 500;
/// Number of client proxies with which the initial budget of an endpoint is one call.
const PROXIES_WITH_ONE_CALL: u32 = 7;
const ENDPOINT_COUNTS: [u32; 4] = [10, 100, 1_000, 10_000];

/// Faults of the endpoints.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// A third of them never answer.
    ThirdSilent,
    /// A tenth of them refuse connections.
    TenthUnreachable,
    /// None of them answers; the benchmark ends the attempts.
    AllSilent,
}

/// An attempt in flight.
#[derive(Clone, Copy)]
struct SentAttempt {
    call: CallId,
    attempt: u32,
    endpoint: EndpointId,
}

struct Bench {
    balancer: Balancer,
    now: Micros,
    actions: Vec<Action>,
    /// Attempts at endpoints that serve them.
    in_flight: VecDeque<SentAttempt>,
    /// Attempts at silent endpoints.
    unanswered: VecDeque<SentAttempt>,
    attempts: std::collections::HashMap<CallId, u32>,
    next_call: u64,
    fault: Fault,
}

fn entry(endpoint: u32, started_at: Micros) -> EndpointInfo {
    EndpointInfo {
        id: EndpointId(endpoint),
        zone: ZoneId(endpoint % 3),
        machine_type: MachineTypeId(endpoint % 2),
        started_at,
        ..EndpointInfo::default()
    }
}

impl Bench {
    fn new(endpoint_count: u32, proxy_count: u32, fault: Fault) -> Self {
        let class = Class { idempotency: Idempotency::Idempotent, ..Settings::default().classes[0] };
        let settings = Settings { proxy_count, classes: vec![class], ..Settings::default() };
        let mut bench = Bench {
            balancer: Balancer::new(7, settings),
            now: 1_000_000_000_000,
            actions: Vec::new(),
            in_flight: VecDeque::new(),
            unanswered: VecDeque::new(),
            attempts: Default::default(),
            next_call: 0,
            fault,
        };
        bench.event(Event::Start);
        let entries = (0..endpoint_count).map(|endpoint| entry(endpoint, 0)).collect();
        bench.event(Event::EndpointList { kind: ListUpdateKind::Snapshot, endpoints: entries });
        bench
    }

    fn event(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { call, endpoint, .. } => {
                    let attempt_count = self.attempts.entry(call).or_default();
                    let sent = SentAttempt { call, attempt: *attempt_count, endpoint };
                    *attempt_count += 1;
                    let is_silent = match self.fault {
                        Fault::ThirdSilent => endpoint.0.is_multiple_of(3),
                        Fault::AllSilent => true,
                        _ => false,
                    };
                    if is_silent {
                        self.unanswered.push_back(sent)
                    } else {
                        self.in_flight.push_back(sent)
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
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.event(Event::Request {
            call,
            class: ClassId(0),
            tenant: None,
            remaining_time: 1_000_000,
            is_retry: false,
        });
    }

    fn end_attempt(&mut self, sent: SentAttempt) {
        let SentAttempt { call, attempt, endpoint } = sent;
        let is_unreachable = self.fault == Fault::TenthUnreachable && endpoint.0.is_multiple_of(10);
        let outcome = if is_unreachable { Outcome::ConnectFailed } else { Outcome::Served };
        if !is_unreachable {
            self.attempts.remove(&call);
        }
        let load = LoadReport::default();
        self.event(Event::AttemptEnded {
            call,
            attempt,
            outcome,
            elapsed: 20_000,
            call_closed: !is_unreachable,
            load,
        });
    }

    /// Makes a request and ends earlier attempts beyond `CALLS_IN_FLIGHT`.
    fn step(&mut self) {
        self.now += 100;
        self.request();
        while self.in_flight.len() > CALLS_IN_FLIGHT {
            let Some(oldest) = self.in_flight.pop_front() else { break };
            self.end_attempt(oldest);
        }
    }

    /// Makes a request that is queued, and ends an attempt, which frees capacity for the first queued call.
    fn step_at_capacity(&mut self) {
        self.now += 1;
        self.request();
        if let Some(oldest) = self.unanswered.pop_front() {
            self.end_attempt(oldest);
        }
    }

    /// Makes calls until a third of the endpoints are at capacity.
    fn fill_third(mut self, endpoint_count: u32) -> Self {
        while self.unanswered.len() < endpoint_count.div_ceil(3) as usize
            && self.next_call < u64::from(endpoint_count) * 8
        {
            self.step();
        }
        self
    }

    /// Makes calls until all endpoints are at capacity and some calls are queued.
    fn fill_all(mut self, endpoint_count: u32) -> Self {
        while self.next_call < 2 * u64::from(endpoint_count) + QUEUED_CALLS {
            self.request();
        }
        self
    }
}

fn print_allocations() {
    let mut bench = Bench::new(100, 1, Fault::None);
    (0..2_000).for_each(|_| bench.step());
    let before = ALLOCATIONS.load(Ordering::Relaxed);
    (0..10_000).for_each(|_| bench.step());
    let per_request = (ALLOCATIONS.load(Ordering::Relaxed) - before) as f64 / 1e4;
    println!("allocations per request with its outcome, no faults, 100 endpoints: {per_request:.2}");
}

fn decisions(criterion: &mut Criterion) {
    print_allocations();
    let mut group = criterion.benchmark_group("request");
    group.sample_size(10).warm_up_time(Duration::from_millis(300)).measurement_time(Duration::from_secs(1));
    for endpoint_count in ENDPOINT_COUNTS.into_iter().chain([100_000]) {
        let mut bench = Bench::new(endpoint_count, 1, Fault::None);
        group.bench_function(BenchmarkId::new("no faults", endpoint_count), |b| b.iter(|| bench.step()));
    }
    for endpoint_count in ENDPOINT_COUNTS {
        let mut bench = Bench::new(endpoint_count, 300, Fault::None);
        group.bench_function(BenchmarkId::new("300 client proxies", endpoint_count), |b| {
            b.iter(|| bench.step())
        });
        let mut bench =
            Bench::new(endpoint_count, PROXIES_WITH_ONE_CALL, Fault::ThirdSilent).fill_third(endpoint_count);
        group.bench_function(BenchmarkId::new("a third at capacity", endpoint_count), |b| {
            b.iter(|| bench.step())
        });
        let mut bench = Bench::new(endpoint_count, 1, Fault::TenthUnreachable);
        (0..200).for_each(|_| bench.step());
        group
            .bench_function(BenchmarkId::new("a tenth ejected", endpoint_count), |b| b.iter(|| bench.step()));
    }
    for endpoint_count in [10, 100, 1_000] {
        let mut bench =
            Bench::new(endpoint_count, PROXIES_WITH_ONE_CALL, Fault::AllSilent).fill_all(endpoint_count);
        group.bench_function(BenchmarkId::new("all at capacity, 500 queued", endpoint_count), |b| {
            b.iter(|| bench.step_at_capacity())
        });
    }
    group.finish();

    let mut group = criterion.benchmark_group("endpoint list");
    group.sample_size(10).warm_up_time(Duration::from_millis(300)).measurement_time(Duration::from_secs(1));
    for endpoint_count in ENDPOINT_COUNTS {
        let mut bench = Bench::new(endpoint_count, 1, Fault::None);
        let mut changed = 0;
        group.bench_function(BenchmarkId::new("a changed entry", endpoint_count), |b| {
            b.iter(|| {
                bench.now += 10;
                changed = (changed + 7_919) % endpoint_count;
                let entries = vec![entry(changed, bench.now - 1)];
                bench.event(Event::EndpointList { kind: ListUpdateKind::Delta, endpoints: entries });
            });
        });
        // One update replaces a tenth of the list; the time is for the whole update.
        let mut bench = Bench::new(endpoint_count, 1, Fault::None);
        let mut round = 0;
        group.bench_function(BenchmarkId::new("a tenth replaced", endpoint_count), |b| {
            b.iter(|| {
                bench.now += 1_000_000;
                round += 1;
                let replaced = (0..endpoint_count).filter(|endpoint| (endpoint + round) % 10 == 0);
                let entries = replaced.map(|endpoint| entry(endpoint, bench.now - 1)).collect();
                bench.event(Event::EndpointList { kind: ListUpdateKind::Delta, endpoints: entries });
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
