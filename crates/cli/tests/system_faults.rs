//! System calls that fail for a moment, and steps of the wall clock, cost no request its answer.

mod peers;

use peers::bodies::*;
use peers::faults::fault_library;
use peers::shutdown::write_response;
use peers::*;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// One system call in so many fails.
const FAULT_EVERY: &str = "12";
const SEEDS: std::ops::Range<u64> = 1..5;
const CLIENT_COUNT: usize = 8;
const CALLS_PER_CLIENT: usize = 60;
const STREAMED_BODY_BYTES: usize = 150_000;
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
const HOUR_S: i64 = 3_600;

fn start_with_faults(config: &str, variables: &[(&str, &str)]) -> Proxy {
    let library = fault_library().to_str().expect("a path");
    let variables = [&[("LD_PRELOAD", library)], variables].concat();
    Proxy::with_variables(config, &variables)
}

/// Endpoints that answer with the body that they received.
fn echo_endpoint() -> std::net::SocketAddr {
    endpoint(|head, stream| {
        if let Some(body) = body(head, stream) {
            write_response(stream, if body.len() % 2 == 0 { "length" } else { "chunked" }, &body);
        }
    })
}

/// Makes one call, which may find its idle connection closed. Returns the status, and asserts that a served body is
/// the one that was sent.
fn call(proxy: &Proxy, client: &mut Client, class: &str, size_bytes: usize) -> u16 {
    let head = request_head(class, "2000m", &format!("Content-Length: {size_bytes}\r\n"));
    let content = test_pattern(size_bytes);
    let began = Instant::now();
    if !send_bytes(&mut client.stream, &[head.as_bytes(), &content].concat()) {
        *client = proxy.client();
        return call(proxy, client, class, size_bytes);
    }
    let head = peers::bodies::head(&mut client.stream).expect("a final answer");
    let received = body(&head, &mut client.stream).expect("a whole answer");
    assert!(began.elapsed() < CLIENT_TIMEOUT + Duration::from_millis(500));
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status");
    assert!(status != 200 || received == content, "{size_bytes} bytes of another body");
    if header_value(&head, "connection") == Some("close") {
        *client = proxy.client();
    }
    status
}

/// How many of the calls of all clients were served, with failures drawn from this seed.
fn served_with_faults(seed: u64) -> usize {
    let discovery = Discovery::start();
    let listen = "127.0.0.1:0".parse().expect("an address");
    let known: Vec<String> =
        (0..4).map(|number| entry(&format!("s-{number}"), echo_endpoint(), "up", 0)).collect();
    let config = config(listen, discovery.address, 1_024, &known);
    let seed = seed.to_string();
    let proxy = start_with_faults(&config, &[("FAULT_SEED", &seed), ("FAULT_EVERY", FAULT_EVERY)]);
    let run_client = |number: usize| {
        let mut client = proxy.client();
        let sizes = [0, 300, 30_001, STREAMED_BODY_BYTES + 1];
        let served = |call_number: usize| {
            let class = if (number + call_number).is_multiple_of(2) { "safe" } else { "unsafe" };
            call(&proxy, &mut client, class, sizes[call_number % sizes.len()]) == 200
        };
        (0..CALLS_PER_CLIENT).map(served).filter(|&is_served| is_served).count()
    };
    thread::scope(|scope| {
        let clients: Vec<_> =
            (0..CLIENT_COUNT).map(|number| scope.spawn(move || run_client(number))).collect();
        clients.into_iter().map(|client| client.join().expect("a client")).sum()
    })
}

#[test]
fn calls_are_served_although_system_calls_fail_for_a_moment() {
    // Guards against taking a failure of the own system for the end of a connection or for a fault of an endpoint.
    for seed in SEEDS {
        let served = served_with_faults(seed);
        println!("seed {seed}: {served} of {}", CLIENT_COUNT * CALLS_PER_CLIENT);
        assert_eq!(served, CLIENT_COUNT * CALLS_PER_CLIENT, "seed {seed}");
    }
}

#[test]
fn steps_of_the_wall_clock_change_neither_answers_nor_slow_start() {
    // Guards against windows that follow the wall clock: an endpoint that has just started stays in slow start.
    for step_s in [HOUR_S, -HOUR_S, 5, -5] {
        let clock = std::env::temp_dir().join(format!("oakport-clock-{}-{step_s}", std::process::id()));
        std::fs::write(&clock, "0").expect("a temporary file");
        let discovery = Discovery::start();
        let listen = "127.0.0.1:0".parse().expect("an address");
        let (warm, cold) = (Host::serving("ok"), Host::serving("ok"));
        let warm_entry = entry("s-1", warm.address, "up", 0);
        let config = config(listen, discovery.address, 1_024, std::slice::from_ref(&warm_entry))
            .replace("\"cold_from\":0.3", "\"cold_from\":0.01")
            .replace("\"cold_us\":7000000", "\"cold_us\":600000000");
        let proxy = start_with_faults(&config, &[("FAULT_CLOCK", clock.to_str().expect("a path"))]);
        discovery.next_request();
        std::fs::write(&clock, step_s.to_string()).expect("a temporary file");
        thread::sleep(SHORT * 2);
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
        let since_ms = unix_time.as_millis() as i64 + step_s * 1_000;
        let cold_entry = entry("s-2", cold.address, "up", since_ms as u64);
        discovery.respond_with_list(&list(42, true, &[warm_entry, cold_entry]));
        discovery.next_request();
        let mut client = proxy.client();
        for _ in 0..200 {
            assert_eq!(client.call("safe", "2000m").status(), 200);
        }
        let cold_count = cold.further_requests();
        assert!(
            cold_count < 40,
            "step {step_s} s: {cold_count} of 200 calls at an endpoint that has just started"
        );
        let _ = std::fs::remove_file(&clock);
    }
}
