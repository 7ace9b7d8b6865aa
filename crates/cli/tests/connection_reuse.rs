//! The reuse cooldown of connections to endpoints: how many calls wait for it, and how many connections are opened to
//! avoid that. Both are counted by the program's metrics and by the endpoints, not timed.

mod peers;

use peers::*;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a connection is not used after a response.
const REUSE_COOLDOWN: Duration = Duration::from_millis(10);

/// A proxy with its admin endpoint.
struct MeasuredProxy {
    proxy: Proxy,
    admin_address: SocketAddr,
}

/// What the connections to endpoints have cost.
#[derive(Clone, Copy)]
struct ConnectionCost {
    /// Connections opened.
    opened: u64,
    /// Attempts that waited for the reuse cooldown.
    waits: u64,
}

impl MeasuredProxy {
    /// One of `proxy_count` proxies, which sends to these endpoints.
    fn start(proxy_count: u32, discovery: &Discovery, hosts: &[&Host]) -> Self {
        let known: Vec<_> =
            (1..).zip(hosts).map(|(n, h)| entry(&format!("s-{n}"), h.address, "up", 0)).collect();
        let listen = "127.0.0.1:0".parse().expect("an address");
        let text = config(listen, discovery.address, 1_024, &known)
            .replacen('{', r#"{"operator":"127.0.0.1:0","#, 1)
            .replace(r#""balancers":1"#, &format!(r#""balancers":{proxy_count}"#))
            // As on the test cluster and at a site of the operators.
            .replace(r#""conn_idle_us":60000000"#, r#""conn_idle_us":5000000"#);
        let mut proxy = Proxy::with(&text);
        let admin_address = proxy.admin_address();
        MeasuredProxy { proxy, admin_address }
    }

    /// The cost since the start.
    fn cost(&self) -> ConnectionCost {
        let metrics = metrics(self.admin_address);
        let count = |name: &str| metrics["connections"][name].as_u64().expect("a count");
        ConnectionCost { opened: count("opened"), waits: count("waits") }
    }

    /// The cost since an earlier moment.
    fn cost_since(&self, earlier: ConnectionCost) -> ConnectionCost {
        let now = self.cost();
        ConnectionCost { opened: now.opened - earlier.opened, waits: now.waits - earlier.waits }
    }
}

/// Makes calls at random moments (the same in each run), `rate` a second on average, each by a client that is free then.
fn make_calls(proxy: &Proxy, rate: f64, count: usize) {
    let idle = Arc::new(Mutex::new(Vec::<(Instant, Client)>::new()));
    let mut state = 0x2545_f491_4f6c_dd1d_u64;
    let mut next_at = Instant::now();
    let made: Vec<_> = (0..count)
        .map(|_| {
            // Xorshift; the pause between two is exponential.
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            let random = (state >> 11) as f64 / (1u64 << 53) as f64;
            next_at += Duration::from_secs_f64(-(1.0 - random).ln() / rate);
            thread::sleep(next_at.saturating_duration_since(Instant::now()));
            // The proxy may close one that has been idle for 2 s (TERMS).
            let free = idle.lock().expect("no panic holds it").pop();
            let free = free.filter(|(since, _)| since.elapsed() < Duration::from_secs(1));
            let mut client = free.map_or_else(|| proxy.client(), |(_, client)| client);
            let idle = Arc::clone(&idle);
            thread::spawn(move || {
                assert_eq!(client.call("safe", "2000m").status(), 200);
                idle.lock().expect("no panic holds it").push((Instant::now(), client));
            })
        })
        .collect();
    made.into_iter().for_each(|call| call.join().expect("an answer"));
}

/// Of calls that come at random at a steady rate at most one in a hundred waits for the reuse cooldown, and few
/// connections are opened.
fn assert_few_cooldown_waits(rate: f64, count: usize) {
    let discovery = Discovery::start();
    let hosts = [(); 6].map(|()| Host::serving("ok"));
    let measured = MeasuredProxy::start(2, &discovery, &hosts.each_ref());
    // The proxy has to observe the rate first.
    make_calls(&measured.proxy, rate, 3 * rate as usize);
    let before = measured.cost();
    make_calls(&measured.proxy, rate, count);
    let ConnectionCost { opened, waits } = measured.cost_since(before);
    println!("{rate}/s: of {count} calls {waits} waited for the cooldown, {opened} connections were opened");
    assert!(waits * 100 <= count as u64, "{waits} of {count} waited for the cooldown");
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

/// After a tenfold jump of the rate connections are opened at the first waits, not after many.
#[test]
fn few_calls_wait_for_the_reuse_cooldown_after_a_tenfold_jump_of_the_rate() {
    let discovery = Discovery::start();
    let hosts = [(); 6].map(|()| Host::serving("ok"));
    let measured = MeasuredProxy::start(2, &discovery, &hosts.each_ref());
    make_calls(&measured.proxy, 49.0, 147);
    let before = measured.cost();
    make_calls(&measured.proxy, 490.0, 1_470);
    let ConnectionCost { opened, waits } = measured.cost_since(before);
    println!("49 to 490/s: of 1470 calls {waits} waited for the cooldown, {opened} connections were opened");
    // Six endpoints get 82 calls a second each: with three connections more than one call in a hundred waits, with five
    // not.
    assert!(opened <= 6 * 5, "{opened} connections");
    assert!(waits * 25 <= 1_470, "{waits} waited");
}

/// One endpoint, and calls that come as fast as they are answered: as many connections are opened as cool down
/// meanwhile, and few calls wait.
#[test]
fn an_endpoint_gets_the_connections_that_back_to_back_calls_need() {
    for (clients, each) in [(1, 1_500), (16, 200)] {
        let discovery = Discovery::start();
        let host = Host::serving("ok");
        let measured = MeasuredProxy::start(1, &discovery, &[&host]);
        thread::scope(|scope| {
            for _ in 0..clients {
                let mut client = measured.proxy.client();
                scope.spawn(move || {
                    (0..each).for_each(|_| assert_eq!(client.call("safe", "2000m").status(), 200))
                });
            }
        });
        let ConnectionCost { opened, waits } = measured.cost();
        println!("{clients} at a time: {waits} of {} waited, {opened} connections", clients * each);
        assert!(opened <= 60 + 16, "{opened} connections to one endpoint");
        assert!(waits * 5 <= (clients * each) as u64, "{waits} waited with {clients} at a time");
    }
}

/// Where so many client proxies share an endpoint that each may hardly have one connection, none is preconnected.
#[test]
fn one_of_300_proxies_preconnects_nothing() {
    let discovery = Discovery::start();
    let host = Host::serving("ok");
    let measured = MeasuredProxy::start(300, &discovery, &[&host]);
    for _ in 0..100 {
        assert_eq!(measured.proxy.call("safe", "2000m").status(), 200);
    }
    assert_eq!(measured.cost().opened, 1);
}

/// Preconnected ones are closed as well when their endpoint starts to drain.
#[test]
fn a_draining_endpoint_keeps_no_preconnected_connection() {
    let discovery = Discovery::start();
    let host = Host::serving("ok");
    let measured = MeasuredProxy::start(1, &discovery, &[&host]);
    let mut client = measured.proxy.client();
    (0..200).for_each(|_| assert_eq!(client.call("safe", "2000m").status(), 200));
    let opened = measured.cost().opened;
    assert!(opened > 1, "back-to-back calls need more than one");
    discovery.next_request();
    discovery.respond_with_list(&list(42, false, &[entry("s-1", host.address, "draining", 0)]));
    discovery.next_request();
    for _ in 0..opened {
        host.closed();
    }
}

/// A second response some milliseconds after the first, complete or in halves, answers no other request. An endpoint
/// that was itself delayed, so that its second response came after the reuse cooldown, proves nothing.
#[test]
fn a_late_second_response_complete_or_in_halves_answers_no_other_request() {
    for (late, halves) in [(1, false), (1, true), (5, false), (5, true), (8, false), (9, false)] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let slowest = Arc::new(Mutex::new(Duration::ZERO));
        let slowest_seen = Arc::clone(&slowest);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let slowest_seen = Arc::clone(&slowest_seen);
                thread::spawn(move || {
                    let mut stream = std::io::BufReader::new(stream);
                    let _ = stream.get_mut().set_nodelay(true);
                    let right = answer("200 OK", "", "right");
                    let wrong = answer("200 OK", "", "wrong");
                    while read(&mut stream).is_some() {
                        let answered = Instant::now();
                        let _ = stream.get_mut().write_all(right.as_bytes());
                        thread::sleep(Duration::from_millis(late));
                        let (first, rest) = wrong.split_at(if halves { wrong.len() / 2 } else { 0 });
                        let _ = stream.get_mut().write_all(first.as_bytes());
                        thread::sleep(Duration::from_millis(u64::from(halves)));
                        let mut slowest = slowest_seen.lock().expect("no panic holds it");
                        *slowest = answered.elapsed().max(*slowest);
                        drop(slowest);
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
            let slowest = *slowest.lock().expect("no panic holds it");
            if answer.body == b"wrong" && slowest >= REUSE_COOLDOWN {
                println!("{late} ms late, halves {halves}: not judged, the endpoint took {slowest:?}");
                break;
            }
            let found = (answer.status(), answer.body.as_slice());
            assert_eq!(found, (200, &b"right"[..]), "{late} ms late, round {round}, endpoint {slowest:?}");
        }
    }
}
