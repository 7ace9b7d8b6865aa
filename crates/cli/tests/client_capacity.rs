//! Many at once: idle clients that exhaust the descriptors while discovery is down, bodies that exhaust the memory limit, and
//! processes that all restart together.

mod peers;

use peers::agent::{Agent, RecordingHost};
use peers::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Within this after an endpoint list changes, calls must follow it.
const NOTIFICATION_WINDOW: Duration = Duration::from_millis(500);
/// What the protocol allows for sockets besides, and what a machine that runs other tests may need to send and record.
const NOTIFICATION_SLACK: Duration = Duration::from_millis(50 + 200);
/// Longest time in which an admin endpoint must answer.
const MAX_ADMIN_LATENCY: Duration = Duration::from_secs(2);
/// Longest time for which an invalid client may stay connected.
const MAX_INVALID_CLIENT_TIME: Duration = Duration::from_secs(3);
/// Most connections that each idle client opens.
const MAX_CONNECTIONS_PER_IDLE_CLIENT: usize = 20;

fn named_entry(endpoint: &RecordingHost, status: &str) -> (String, String) {
    let name = format!("s-{}", endpoint.host.address.port());
    let text = entry(&name, endpoint.host.address, status, 0);
    (name, text)
}

fn watching_config(listen: SocketAddr, agent: &Agent, sockets: usize, known: &[String]) -> String {
    config(listen, agent.address, sockets, known)
        .replace(r#""discovery":"ask","#, r#""discovery":"push","#)
        .replace(r#""tip_after_us""#, r#""drain_grace_us":500000,"tip_after_us""#)
}

fn any_address() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

fn open_descriptors(proxy: &Proxy) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).expect("it runs").count()
}

/// Idle clients: a thread keeps their connections open, which are never used, and opens each anew when it is closed.
struct IdleClients {
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<usize>,
}

impl IdleClients {
    fn start(address: SocketAddr, client_count: usize) -> IdleClients {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = thread::spawn(move || keep_idle_connections(address, client_count, &stopped));
        IdleClients { stop, thread }
    }

    /// Closes all connections and returns how many were opened.
    fn stop(self) -> usize {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.join().expect("no panic")
    }
}

fn keep_idle_connections(address: SocketAddr, client_count: usize, stop: &AtomicBool) -> usize {
    let mut connections: Vec<Option<TcpStream>> = (0..client_count).map(|_| None).collect();
    let mut opened = 0;
    while !stop.load(Ordering::SeqCst) {
        for connection in &mut connections {
            let is_open = connection.as_mut().is_some_and(|stream| {
                let read = stream.read(&mut [0; 512]);
                read.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
            });
            if !is_open && opened < client_count * MAX_CONNECTIONS_PER_IDLE_CLIENT {
                *connection = TcpStream::connect_timeout(&address, SHORT).ok();
                if let Some(stream) = connection {
                    stream.set_nonblocking(true).expect("an open connection");
                }
                opened += 1;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    opened
}

fn wait_until_filled(proxy: &Proxy, descriptor_count: usize) {
    let began = Instant::now();
    while open_descriptors(proxy) < descriptor_count {
        assert!(began.elapsed() < LONG, "the idle clients connect: {}", open_descriptors(proxy));
        thread::sleep(Duration::from_millis(5));
    }
}

fn wait_until_released(proxy: &Proxy, descriptors_before: usize) {
    let began = Instant::now();
    while open_descriptors(proxy) > descriptors_before + 8 {
        let open = open_descriptors(proxy);
        assert!(began.elapsed() < LONG, "{open} descriptors stay, {descriptors_before} before");
        thread::sleep(Duration::from_millis(20));
    }
}

fn assert_admin_endpoint_answers(address: SocketAddr) {
    let began = Instant::now();
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream.write_all(b"HEALTH\n").expect("an open connection");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("YES") && began.elapsed() < MAX_ADMIN_LATENCY, "{answer}");
}

fn assert_invalid_client_is_disconnected(proxy: &Proxy) {
    let began = Instant::now();
    let mut client = proxy.client();
    client.write("rubbish\r\n\r\n");
    assert!(client.answer().is_none_or(|response| (400..600).contains(&response.status())));
    assert!(began.elapsed() < MAX_INVALID_CLIENT_TIME, "{:?}", began.elapsed());
}

/// Sends one request on a connection of its own. Was it served?
fn is_served(proxy: &Proxy, id: &str) -> bool {
    let mut client = proxy.client();
    client.send_as(id, "safe", "1000m");
    client.answer().is_some_and(|response| response.status() == 200)
}

/// What was seen while requests were sent one after the other.
struct RequestSeries {
    served: usize,
    max_descriptors: usize,
}

impl RequestSeries {
    /// Sends requests for `duration`, and until one is served. Fails if none is in time.
    fn run(
        duration: Duration,
        mut is_served: impl FnMut() -> bool,
        descriptors: impl Fn() -> usize,
        after_each: impl Fn(),
    ) -> RequestSeries {
        let mut series = RequestSeries { served: 0, max_descriptors: 0 };
        let began = Instant::now();
        while began.elapsed() < duration || series.served == 0 {
            assert!(began.elapsed() < LONG, "clients with requests are served");
            if is_served() {
                series.served += 1;
            }
            series.max_descriptors = series.max_descriptors.max(descriptors());
            after_each();
        }
        series
    }
}

/// Discovery, the admin endpoint and one connection to an endpoint keep their descriptors; clients with requests are served;
/// the endpoint list that discovery has at its return is followed within the window; invalid clients are disconnected in time;
/// nothing stays open afterwards.
#[test]
fn idle_clients_that_exhaust_the_descriptors_block_neither_requests_nor_discovery() {
    for sockets in [256, 1_024] {
        let old = RecordingHost::start();
        let new = RecordingHost::start();
        let agent = Agent::start(&[named_entry(&old, "up")]);
        let text = watching_config(any_address(), &agent, sockets, &[named_entry(&old, "up").1]);
        let text = text.replacen('{', r#"{"operator":"127.0.0.1:0","#, 1);
        let mut proxy = Proxy::with_descriptor_limit(&text, Some(sockets as u32));
        let admin = proxy.admin_address();
        agent.await_watch();
        agent.set_unresponsive(true);
        agent.silence_watches();
        let descriptors_before = open_descriptors(&proxy);
        let idle_clients = IdleClients::start(proxy.address, sockets * 3 / 2);
        wait_until_filled(&proxy, sockets / 2);
        // Longer than a connection may be idle: the idle clients have reconnected by then.
        let before = RequestSeries::run(
            Duration::from_secs(4),
            || is_served(&proxy, "before"),
            || open_descriptors(&proxy),
            || assert_admin_endpoint_answers(admin),
        );
        assert_invalid_client_is_disconnected(&proxy);
        // Discovery returns, and the only known endpoint is to get no new calls.
        agent.change(&[named_entry(&old, "draining"), named_entry(&new, "up")]);
        agent.set_unresponsive(false);
        let notified = Instant::now();
        let after = RequestSeries::run(
            NOTIFICATION_WINDOW * 4,
            || is_served(&proxy, "after"),
            || open_descriptors(&proxy),
            || {},
        );
        let latest = old.arrivals_of("after").into_iter().map(|at| at - notified).max().unwrap_or_default();
        assert!(latest <= NOTIFICATION_WINDOW + NOTIFICATION_SLACK, "{latest:?}");
        assert!(!new.arrivals_of("after").is_empty(), "the new endpoint serves");
        let opened = idle_clients.stop();
        wait_until_released(&proxy, descriptors_before);
        let most = before.max_descriptors.max(after.max_descriptors);
        let served = [before.served, after.served];
        println!(
            "{sockets}: {opened} idle connections, {served:?} served, {most} descriptors, last {latest:?}"
        );
        assert!(most <= sockets, "{most} descriptors");
        assert!(proxy.child.try_wait().expect("a child").is_none(), "it still runs");
    }
}

/// The same while two processes of one proxy share the limit: together they keep to it once each knows of the other.
#[test]
fn two_processes_share_one_descriptor_limit_under_idle_clients() {
    const SOCKETS: usize = 256;
    let endpoint = RecordingHost::start();
    let agent = Agent::start(&[named_entry(&endpoint, "up")]);
    let platform = Platform::new();
    let text = watching_config(any_address(), &agent, SOCKETS, &[named_entry(&endpoint, "up").1]);
    let mut predecessor = platform.start(&text);
    agent.await_watch();
    agent.set_unresponsive(true);
    agent.silence_watches();
    let idle_clients = IdleClients::start(predecessor.address, SOCKETS * 3 / 2);
    wait_until_filled(&predecessor, SOCKETS / 2);
    let successor = platform.start(&text);
    let is_served = || {
        let mut client = successor.client();
        client.send("safe", "1000m");
        client.answer().is_some_and(|response| response.status() == 200)
    };
    let together = || open_descriptors(&predecessor) + open_descriptors(&successor);
    let series = RequestSeries::run(Duration::from_secs(3), is_served, together, || {});
    let RequestSeries { served, max_descriptors } = series;
    let at_end = [open_descriptors(&predecessor), open_descriptors(&successor)];
    println!("{served} served, {max_descriptors} descriptors together, {at_end:?} in the end");
    assert!(max_descriptors <= SOCKETS, "{max_descriptors} descriptors together");
    predecessor.terminate();
    assert!(predecessor.exits_successfully());
    idle_clients.stop();
    let ended = Instant::now();
    while !is_served() {
        assert!(ended.elapsed() < LONG);
    }
}

/// Bodies of which half has arrived exhaust the memory; then all go on. Each request is answered in its time: bodies that
/// had some of the memory and waited for the rest would wait for each other for ever.
#[test]
fn bodies_that_exhaust_the_memory_limit_do_not_deadlock() {
    const CLIENTS: usize = 450;
    const HALF_BODY_BYTES: usize = 30_000;
    let discovery = Discovery::start();
    let endpoint = Host::serving("ok");
    let known = [entry("s-1", endpoint.address, "up", 0)];
    let text = config(any_address(), discovery.address, 1_024, &known)
        .replace(r#""memory_mb":192"#, r#""memory_mb":32"#);
    let proxy = Proxy::with(&text);
    let half = vec![b'x'; HALF_BODY_BYTES];
    let mut clients: Vec<Client> = (0..CLIENTS)
        .map(|_| {
            let mut client = proxy.client();
            client.write(&format!(
                "POST /safe HTTP/1.1\r\nHost: x\r\nX-Request-ID: 9b1f03aa\r\nX-Timeout: 2000m\r\n\
                 Content-Length: {}\r\n\r\n",
                HALF_BODY_BYTES * 2
            ));
            client.stream.get_mut().write_all(&half).expect("the sockets buffer what it writes");
            client
        })
        .collect();
    for client in &mut clients {
        client.stream.get_mut().write_all(&half).expect("the sockets buffer what it writes");
    }
    let began = Instant::now();
    let mut served = 0;
    for client in &mut clients {
        let status = client.answer().expect("a final response").status();
        assert!([200, 502, 503, 504].contains(&status), "{status}");
        if status == 200 {
            served += 1;
        }
    }
    println!("{served} of {CLIENTS} served, all answered after {:?}", began.elapsed());
    assert!(began.elapsed() < Duration::from_millis(2_500), "{:?}", began.elapsed());
    assert!(served > 0);
}

/// Waits until clients would be sent to this process, and returns how long that took.
fn time_until_ready(address: SocketAddr, since: Instant) -> Duration {
    loop {
        if let Ok(mut stream) = TcpStream::connect(address) {
            let _ = stream.set_read_timeout(Some(SHORT));
            let written = stream.write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
            let mut response = [0; 12];
            // The predecessor closes its connections with each response; those that it resets bring none.
            if written.is_ok() && stream.read_exact(&mut response).is_ok() && response.ends_with(b"200") {
                return since.elapsed();
            }
        }
        assert!(since.elapsed() < LONG * 2, "never ready");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Thirty processes are killed or told to end at once and started again, while discovery is down and the known list is empty
/// or outdated: nine in ten are ready within 10 s. Where they are told to end, each finds its address still held.
#[test]
fn processes_that_restart_together_are_ready_soon() {
    const PROCESSES: usize = 30;
    let endpoint = RecordingHost::start();
    let agent = Agent::start(&[named_entry(&endpoint, "up")]);
    for (signal, known) in [("-KILL", vec![]), ("-TERM", vec![named_entry(&endpoint, "up").1])] {
        agent.set_unresponsive(false);
        let start = |listen| Proxy::with(&watching_config(listen, &agent, 256, &known));
        let mut predecessors: Vec<Proxy> = (0..PROCESSES).map(|_| start(any_address())).collect();
        agent.set_unresponsive(true);
        agent.silence_watches();
        for proxy in &mut predecessors {
            if signal == "-KILL" {
                proxy.child.kill().expect("a child");
                proxy.child.wait().expect("a child");
            } else {
                proxy.terminate();
            }
        }
        let since = Instant::now();
        let mut times: Vec<Duration> = thread::scope(|scope| {
            let start = &start;
            let begin = |address| {
                scope.spawn(move || {
                    // It reports its address once it has it: it is not the predecessor.
                    let proxy = start(address);
                    let time = time_until_ready(address, since);
                    assert!(answers_a_request(&proxy), "{address}");
                    time
                })
            };
            let successors: Vec<_> = predecessors.iter().map(|proxy| begin(proxy.address)).collect();
            successors.into_iter().map(|successor| successor.join().expect("no panic")).collect()
        });
        times.sort();
        println!("{signal}: ready after {:?}, nine in ten {:?}, most {:?}", times[15], times[26], times[29]);
        assert!(times[26] < Duration::from_secs(10), "{:?}", times[26]);
        for predecessor in &mut predecessors {
            assert!(signal == "-KILL" || predecessor.exits_successfully());
        }
    }
}

/// A process is ready if it ends a request rightly: served by a known endpoint, or rejected.
fn answers_a_request(proxy: &Proxy) -> bool {
    let response = proxy.call("safe", "2000m");
    response.status() == 503 || response.status() == 200 && response.body == b"ok"
}
