//! The reuse cooldown of connections to endpoints: how many calls wait for it, and how many connections are
//! opened to avoid such waits. The tests read counts from the metrics of the proxy and at the endpoints, and
//! measure no times.

mod peers;

use peers::*;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Pause after a response before its connection is reused.
const REUSE_COOLDOWN: Duration = Duration::from_millis(10);

/// A proxy with its admin endpoint.
struct MeasuredProxy {
    proxy: Proxy,
    admin_address: SocketAddr,
}

/// Counters of the connections to endpoints.
#[derive(Clone, Copy)]
struct ConnectionCounts {
    /// Connections that were opened.
    opened: u64,
    /// Attempts that waited for the reuse cooldown.
    waits: u64,
}

impl MeasuredProxy {
    /// Starts one proxy that forwards to these endpoints and is configured as one of `proxy_count` proxies.
    fn start(proxy_count: u32, discovery: &Discovery, hosts: &[&Host]) -> Self {
        let known: Vec<_> =
            (1..).zip(hosts).map(|(n, h)| entry(&format!("s-{n}"), h.address, "up", 0)).collect();
        let listen = "127.0.0.1:0".parse().expect("an address");
        let text = config(listen, discovery.address, 1_024, &known)
            .replacen('{', r#"{"operator":"127.0.0.1:0","#, 1)
            .replace(r#""balancers":1"#, &format!(r#""balancers":{proxy_count}"#))
            // The setting of the test cluster and of one production site.
            .replace(r#""conn_idle_us":60000000"#, r#""conn_idle_us":5000000"#);
        let mut proxy = Proxy::with(&text);
        let admin_address = proxy.admin_address();
        MeasuredProxy { proxy, admin_address }
    }

    /// The counts since the start of the proxy.
    fn counts(&self) -> ConnectionCounts {
        let metrics = metrics(self.admin_address);
        let count = |name: &str| metrics["connections"][name].as_u64().expect("a count");
        ConnectionCounts { opened: count("opened"), waits: count("waits") }
    }

    /// The difference from `earlier` counts.
    fn counts_since(&self, earlier: ConnectionCounts) -> ConnectionCounts {
        let now = self.counts();
        ConnectionCounts { opened: now.opened - earlier.opened, waits: now.waits - earlier.waits }
    }
}

/// Makes `count` calls at random times, `rate` per second on average, each on an idle client connection if
/// there is one. The times are the same in each run.
fn make_calls(proxy: &Proxy, rate: f64, count: usize) {
    let idle = Arc::new(Mutex::new(Vec::<(Instant, Client)>::new()));
    let mut state = 0x2545_f491_4f6c_dd1d_u64;
    let mut next_at = Instant::now();
    let made: Vec<_> = (0..count)
        .map(|_| {
            // Xorshift generator; the intervals between calls are exponentially distributed.
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            let random = (state >> 11) as f64 / (1u64 << 53) as f64;
            next_at += Duration::from_secs_f64(-(1.0 - random).ln() / rate);
            thread::sleep(next_at.saturating_duration_since(Instant::now()));
            // The proxy may close a connection that has been idle for 2 s (TERMS).
            let reusable = idle.lock().expect("an unpoisoned lock").pop();
            let reusable = reusable.filter(|(since, _)| since.elapsed() < Duration::from_secs(1));
            let mut client = reusable.map_or_else(|| proxy.client(), |(_, client)| client);
            let idle = Arc::clone(&idle);
            thread::spawn(move || {
                assert_eq!(client.call("safe", "2000m").status(), 200);
                idle.lock().expect("an unpoisoned lock").push((Instant::now(), client));
            })
        })
        .collect();
    made.into_iter().for_each(|call| call.join().expect("an answer"));
}

/// Asserts that at most 1 % of randomly timed calls at a constant rate wait for the reuse cooldown, and that
/// at most one connection is opened per 50 calls.
fn assert_few_cooldown_waits(rate: f64, count: usize) {
    let discovery = Discovery::start();
    let hosts = [(); 6].map(|()| Host::serving("ok"));
    let measured = MeasuredProxy::start(2, &discovery, &hosts.each_ref());
    // Warm-up: the proxy estimates the rate from past calls.
    make_calls(&measured.proxy, rate, 3 * rate as usize);
    let before = measured.counts();
    make_calls(&measured.proxy, rate, count);
    let ConnectionCounts { opened, waits } = measured.counts_since(before);
    println!("{rate}/s: {waits} of {count} calls waited for the cooldown, {opened} connections opened");
    assert!(waits * 100 <= count as u64, "{waits} of {count} calls waited for the cooldown");
    assert!(opened * 50 <= count as u64, "{opened} connections for {count} calls");
}

#[test]
fn few_calls_wait_for_the_reuse_cooldown_at_49_a_second() {
    assert_few_cooldown_waits(49.0, 980);
}

#[test]
fn few_calls_wait_for_the_reuse_cooldown_at_250_a_second() {
    assert_few_cooldown_waits(250.0, 2_000);
}

/// After a tenfold increase of the rate, the proxy opens connections as soon as the first calls wait.
#[test]
fn few_calls_wait_for_the_reuse_cooldown_after_a_tenfold_jump_of_the_rate() {
    let discovery = Discovery::start();
    let hosts = [(); 6].map(|()| Host::serving("ok"));
    let measured = MeasuredProxy::start(2, &discovery, &hosts.each_ref());
    make_calls(&measured.proxy, 49.0, 147);
    let before = measured.counts();
    make_calls(&measured.proxy, 490.0, 1_470);
    let ConnectionCounts { opened, waits } = measured.counts_since(before);
    println!("49 to 490/s: {waits} of 1470 calls waited for the cooldown, {opened} connections opened");
    // Each of the six endpoints gets 82 calls per second: with three connections more than 1 % of the calls
    // wait, with five at most 1 %.
    assert!(opened <= 6 * 5, "{opened} connections to six endpoints");
    assert!(waits * 25 <= 1_470, "{waits} of 1470 calls waited for the cooldown");
}

/// Clients that send each call as soon as the previous one is answered, to one endpoint: the proxy opens as
/// many connections as are in their cooldown at the same time, and at most one call in five waits.
#[test]
fn an_endpoint_gets_the_connections_that_back_to_back_calls_need() {
    for (client_count, calls_per_client) in [(1, 1_500), (16, 200)] {
        let discovery = Discovery::start();
        let host = Host::serving("ok");
        let measured = MeasuredProxy::start(1, &discovery, &[&host]);
        thread::scope(|scope| {
            for _ in 0..client_count {
                let mut client = measured.proxy.client();
                scope.spawn(move || {
                    (0..calls_per_client).for_each(|_| assert_eq!(client.call("safe", "2000m").status(), 200))
                });
            }
        });
        let ConnectionCounts { opened, waits } = measured.counts();
        println!(
            "{client_count} clients: {waits} of {} calls waited, {opened} connections opened",
            client_count * calls_per_client
        );
        assert!(opened <= 60 + 16, "{opened} connections to one endpoint");
        assert!(
            waits * 5 <= (client_count * calls_per_client) as u64,
            "{waits} calls of {client_count} clients waited"
        );
    }
}

/// With 300 client proxies per endpoint, the share of each is hardly one connection, so none is preconnected.
#[test]
fn one_of_300_proxies_opens_no_preconnected_connection() {
    let discovery = Discovery::start();
    let host = Host::serving("ok");
    let measured = MeasuredProxy::start(300, &discovery, &[&host]);
    for _ in 0..100 {
        assert_eq!(measured.proxy.call("safe", "2000m").status(), 200);
    }
    assert_eq!(measured.counts().opened, 1);
}

/// Preconnected connections are closed, too, when their endpoint starts draining.
#[test]
fn a_draining_endpoint_keeps_no_preconnected_connection() {
    let discovery = Discovery::start();
    let host = Host::serving("ok");
    let measured = MeasuredProxy::start(1, &discovery, &[&host]);
    let mut client = measured.proxy.client();
    (0..200).for_each(|_| assert_eq!(client.call("safe", "2000m").status(), 200));
    let opened = measured.counts().opened;
    assert!(opened > 1, "back-to-back calls should need more than one connection");
    discovery.next_request();
    discovery.respond_with_list(&list(42, false, &[entry("s-1", host.address, "draining", 0)]));
    discovery.next_request();
    for _ in 0..opened {
        host.closed();
    }
}

/// A second response some milliseconds after the first, complete or in halves, is not taken for the response
/// to another request. A wrong response does not count if the endpoint was delayed, so that it sent its
/// second response after the reuse cooldown.
#[test]
fn a_late_second_response_complete_or_in_halves_answers_no_other_request() {
    for (delay_ms, in_halves) in [(1, false), (1, true), (5, false), (5, true), (8, false), (9, false)] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let max_delay = Arc::new(Mutex::new(Duration::ZERO));
        let endpoint_max_delay = Arc::clone(&max_delay);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint_max_delay = Arc::clone(&endpoint_max_delay);
                thread::spawn(move || {
                    let mut stream = std::io::BufReader::new(stream);
                    let _ = stream.get_mut().set_nodelay(true);
                    let right = answer("200 OK", "", "right");
                    let wrong = answer("200 OK", "", "wrong");
                    while read(&mut stream).is_some() {
                        let answered = Instant::now();
                        let _ = stream.get_mut().write_all(right.as_bytes());
                        thread::sleep(Duration::from_millis(delay_ms));
                        let (first, rest) = wrong.split_at(if in_halves { wrong.len() / 2 } else { 0 });
                        let _ = stream.get_mut().write_all(first.as_bytes());
                        thread::sleep(Duration::from_millis(u64::from(in_halves)));
                        let mut max_delay = endpoint_max_delay.lock().expect("an unpoisoned lock");
                        *max_delay = answered.elapsed().max(*max_delay);
                        drop(max_delay);
                        let _ = stream.get_mut().write_all(rest.as_bytes());
                    }
                });
            }
        });
        let discovery = Discovery::start();
        let listen = "127.0.0.1:0".parse().expect("an address");
        let known = [entry("s-1", address, "up", 0)];
        let proxy = Proxy::with(&config(listen, discovery.address, 1_024, &known));
        let mut client = proxy.client();
        for round in 0..40 {
            let answer = client.call("safe", "2000m");
            let max_delay = *max_delay.lock().expect("an unpoisoned lock");
            if answer.body == b"wrong" && max_delay >= REUSE_COOLDOWN {
                println!(
                    "{delay_ms} ms delay, in halves {in_halves}: skipped, the endpoint sent its second \
                     response {max_delay:?} after the first"
                );
                break;
            }
            let received = (answer.status(), answer.body.as_slice());
            assert_eq!(
                received,
                (200, &b"right"[..]),
                "{delay_ms} ms delay, round {round}, longest delay at the endpoint {max_delay:?}"
            );
        }
    }
}
