//! A connection rests after an answer. How many calls that keeps waiting, and what it costs in new
//! connections: counted by the program's own figures and by the hosts, not timed.

mod peers;

use peers::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// For so long a connection is not used after an answer.
const REST: Duration = Duration::from_millis(10);

/// A proxy among `balancers` that sends to these hosts and tells its figures.
fn proxy(balancers: u32, discovery: &Discovery, hosts: &[&Host]) -> (Proxy, SocketAddr) {
    let known: Vec<_> = (1..).zip(hosts).map(|(n, h)| entry(&format!("s-{n}"), h.address, "up", 0)).collect();
    let listen = "127.0.0.1:0".parse().expect("an address");
    let text = config(listen, discovery.address, 1_024, &known)
        .replacen('{', r#"{"operator":"127.0.0.1:0","#, 1)
        .replace(r#""balancers":1"#, &format!(r#""balancers":{balancers}"#))
        // As the rig and a site of the pages have it.
        .replace(r#""conn_idle_us":60000000"#, r#""conn_idle_us":5000000"#);
    let mut proxy = Proxy::with(&text);
    let operator = proxy.operator();
    (proxy, operator)
}

/// Connections opened, and attempts that waited for one to rest.
fn cost(operator: SocketAddr) -> (u64, u64) {
    let mut stream = TcpStream::connect(operator).expect("it listens");
    stream.write_all(b"DUMP\n").expect("an open connection");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer and a close");
    let figures = text.strip_suffix("\nEND\n").expect("figures");
    let figures: serde_json::Value = serde_json::from_str(figures).expect("figures");
    let of = |name: &str| figures["connections"][name].as_u64().expect("a count");
    (of("opened"), of("waits"))
}

/// Calls at moments by chance (the same in each run), so many a second, each by a client that is free then.
fn calls(proxy: &Proxy, rate: f64, count: usize) {
    let idle = Arc::new(Mutex::new(Vec::<(Instant, Client)>::new()));
    let mut state = 0x2545_f491_4f6c_dd1d_u64;
    let mut due = Instant::now();
    let made: Vec<_> = (0..count)
        .map(|_| {
            // Xorshift; the pause between two is exponential.
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            let chance = (state >> 11) as f64 / (1u64 << 53) as f64;
            due += Duration::from_secs_f64(-(1.0 - chance).ln() / rate);
            thread::sleep(due.saturating_duration_since(Instant::now()));
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

/// Of calls that come by chance at a steady rate at most one in a hundred waits, and new connections stay
/// few.
fn few_wait(rate: f64, count: usize) {
    let (discovery, hosts) = (Discovery::start(), [(); 6].map(|()| Host::serving("ok")));
    let (proxy, operator) = proxy(2, &discovery, &hosts.each_ref());
    // The rate has to be known first.
    calls(&proxy, rate, 3 * rate as usize);
    let (opened, waits) = cost(operator);
    calls(&proxy, rate, count);
    let (opened, waits) = (cost(operator).0 - opened, cost(operator).1 - waits);
    println!("{rate}/s: of {count} calls {waits} waited for a rest, {opened} connections were opened");
    assert!(waits * 100 <= count as u64, "{waits} of {count} waited for a rest");
    assert!(opened * 50 <= count as u64, "{opened} connections for {count} calls");
}

#[test]
fn few_calls_wait_for_a_rest_at_49_a_second() {
    few_wait(49.0, 980);
}

#[test]
fn few_calls_wait_for_a_rest_at_250_a_second() {
    few_wait(250.0, 2_000);
}

/// A rate that jumps tenfold is met by new connections at the first waits, not after many.
#[test]
fn a_rate_that_jumps_tenfold_makes_few_wait() {
    let (discovery, hosts) = (Discovery::start(), [(); 6].map(|()| Host::serving("ok")));
    let (proxy, operator) = proxy(2, &discovery, &hosts.each_ref());
    calls(&proxy, 49.0, 147);
    let (opened, waits) = cost(operator);
    calls(&proxy, 490.0, 1_470);
    let (opened, waits) = (cost(operator).0 - opened, cost(operator).1 - waits);
    println!("49 to 490/s: of 1470 calls {waits} waited for a rest, {opened} connections were opened");
    // Six hosts get 82 calls a second each: three connections are short of one rest in a hundred, five are not.
    assert!(opened <= 6 * 5, "{opened} connections");
    assert!(waits * 25 <= 1_470, "{waits} waited");
}

/// One host, and calls that come as fast as they are answered: as many connections are opened as rest
/// meanwhile, and those calls are the ones that waited.
#[test]
fn one_host_gets_the_connections_that_trains_of_calls_need() {
    for (clients, each) in [(1, 1_500), (16, 200)] {
        let (discovery, host) = (Discovery::start(), Host::serving("ok"));
        let (proxy, operator) = proxy(1, &discovery, &[&host]);
        thread::scope(|scope| {
            for _ in 0..clients {
                let mut client = proxy.client();
                scope.spawn(move || {
                    (0..each).for_each(|_| assert_eq!(client.call("safe", "2000m").status(), 200))
                });
            }
        });
        let (opened, waits) = cost(operator);
        println!("{clients} at a time: {waits} of {} waited, {opened} connections", clients * each);
        assert!(opened <= 60 + 16, "{opened} connections at one host");
        assert!(waits * 5 <= (clients * each) as u64, "{waits} waited with {clients} at a time");
    }
}

/// Where so many client proxies share a host that each may hardly have one connection, none is opened ahead.
#[test]
fn one_of_300_opens_none_ahead() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let (proxy, operator) = proxy(300, &discovery, &[&host]);
    for _ in 0..100 {
        assert_eq!(proxy.call("safe", "2000m").status(), 200);
    }
    assert_eq!(cost(operator).0, 1);
}

/// Those opened ahead go as well when their host drains.
#[test]
fn a_host_that_drains_keeps_no_spare() {
    let (discovery, host) = (Discovery::start(), Host::serving("ok"));
    let (proxy, operator) = proxy(1, &discovery, &[&host]);
    let mut client = proxy.client();
    (0..200).for_each(|_| assert_eq!(client.call("safe", "2000m").status(), 200));
    let opened = cost(operator).0;
    assert!(opened > 1, "trains of calls need more than one");
    discovery.asked();
    discovery.tell(&list(42, false, &[entry("s-1", host.address, "draining", 0)]));
    discovery.asked();
    for _ in 0..opened {
        host.closed();
    }
}

/// A second answer some milliseconds after the first, whole or in halves, answers no other request. A host
/// that was itself held up, so that its second answer came after the rest, shows nothing.
#[test]
fn late_second_answers_are_nobodys_whole_and_in_halves() {
    for (late, halves) in [(1, false), (1, true), (5, false), (5, true), (8, false), (9, false)] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let slowest = Arc::new(Mutex::new(Duration::ZERO));
        let notes = Arc::clone(&slowest);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let notes = Arc::clone(&notes);
                thread::spawn(move || {
                    let mut stream = std::io::BufReader::new(stream);
                    let _ = stream.get_mut().set_nodelay(true);
                    let (right, wrong) = (answer("200 OK", "", "right"), answer("200 OK", "", "wrong"));
                    while read(&mut stream).is_some() {
                        let answered = Instant::now();
                        let _ = stream.get_mut().write_all(right.as_bytes());
                        thread::sleep(Duration::from_millis(late));
                        let (first, rest) = wrong.split_at(if halves { wrong.len() / 2 } else { 0 });
                        let _ = stream.get_mut().write_all(first.as_bytes());
                        thread::sleep(Duration::from_millis(u64::from(halves)));
                        let mut slowest = notes.lock().expect("no panic holds it");
                        *slowest = answered.elapsed().max(*slowest);
                        drop(slowest);
                        let _ = stream.get_mut().write_all(rest.as_bytes());
                    }
                });
            }
        });
        let (discovery, listen) = (Discovery::start(), "127.0.0.1:0".parse().expect("an address"));
        let known = [entry("s-1", address, "up", 0)];
        let proxy = Proxy::with(&config(listen, discovery.address, 1_024, &known));
        let mut client = proxy.client();
        for round in 0..40 {
            let answer = client.call("safe", "2000m");
            let slowest = *slowest.lock().expect("no panic holds it");
            if answer.body == b"wrong" && slowest >= REST {
                println!("{late} ms late, halves {halves}: not judged, the host took {slowest:?}");
                break;
            }
            let found = (answer.status(), answer.body.as_slice());
            assert_eq!(found, (200, &b"right"[..]), "{late} ms late, round {round}, host {slowest:?}");
        }
    }
}
