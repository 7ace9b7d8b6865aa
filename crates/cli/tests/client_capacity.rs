//! Load at the limits: idle clients that exhaust the descriptors while discovery is unavailable, bodies that
//! exhaust the memory limit, and many processes that restart at the same time.

mod peers;

use peers::agent::{Agent, RecordingHost};
use peers::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Calls must follow a change of the endpoint list within this time.
const NOTIFICATION_WINDOW: Duration = Duration::from_millis(500);
/// Tolerance for late calls: 50 ms that the protocol allows for the sockets, and 200 ms for sending and
/// recording on a machine that runs other tests at the same time.
const NOTIFICATION_TOLERANCE: Duration = Duration::from_millis(50 + 200);
/// The admin endpoint must answer within this time.
const MAX_ADMIN_LATENCY: Duration = Duration::from_secs(2);
/// A client that sends an invalid request must be disconnected within this time.
const MAX_INVALID_CLIENT_TIME: Duration = Duration::from_secs(3);
/// Limit on the connections that each idle client opens in total.
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
    std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).expect("a running process").count()
}

/// Clients that never send a request. A thread keeps their connections open and reopens each one that is
/// closed.
struct IdleClients {
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<usize>,
}

impl IdleClients {
    fn start(address: SocketAddr, client_count: usize) -> IdleClients {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_requested = Arc::clone(&stop);
        let thread = thread::spawn(move || keep_idle_connections(address, client_count, &stop_requested));
        IdleClients { stop, thread }
    }

    /// Closes all connections and returns the number of connections opened in total.
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

fn wait_until_descriptors_open(proxy: &Proxy, descriptor_count: usize) {
    let began = Instant::now();
    while open_descriptors(proxy) < descriptor_count {
        assert!(
            began.elapsed() < LONG,
            "the idle clients should use {descriptor_count} descriptors, {} are open",
            open_descriptors(proxy)
        );
        thread::sleep(Duration::from_millis(5));
    }
}

fn wait_until_descriptors_released(proxy: &Proxy, descriptors_before: usize) {
    let began = Instant::now();
    while open_descriptors(proxy) > descriptors_before + 8 {
        let open = open_descriptors(proxy);
        assert!(
            began.elapsed() < LONG,
            "{open} descriptors are still open, {descriptors_before} before the idle clients connected"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

fn assert_admin_endpoint_answers(address: SocketAddr) {
    let began = Instant::now();
    let mut stream = TcpStream::connect(address).expect("a listening admin endpoint");
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

/// Sends one request on a new connection and returns whether the response has status 200.
fn is_served(proxy: &Proxy, id: &str) -> bool {
    let mut client = proxy.client();
    client.send_as(id, "safe", "1000m");
    client.answer().is_some_and(|response| response.status() == 200)
}

/// Results of requests that were sent one after the other.
struct RequestSeries {
    served: usize,
    max_descriptors: usize,
}

impl RequestSeries {
    /// Sends requests for `duration`, and longer if none has been served by then. Panics if none is served
    /// within [`LONG`].
    fn run(
        duration: Duration,
        mut is_served: impl FnMut() -> bool,
        descriptors: impl Fn() -> usize,
        after_each: impl Fn(),
    ) -> RequestSeries {
        let mut series = RequestSeries { served: 0, max_descriptors: 0 };
        let began = Instant::now();
        while began.elapsed() < duration || series.served == 0 {
            assert!(began.elapsed() < LONG, "no request was served within {LONG:?}");
            if is_served() {
                series.served += 1;
            }
            series.max_descriptors = series.max_descriptors.max(descriptors());
            after_each();
        }
        series
    }
}

/// Idle clients leave descriptors for discovery, the admin endpoint and one connection to an endpoint.
/// Clients that send requests are served, calls follow the endpoint list within the notification window once
/// discovery is available again, invalid clients are disconnected in time, and all descriptors are released
/// afterwards.
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
        wait_until_descriptors_open(&proxy, sockets / 2);
        // Longer than the idle timeout of client connections, so that the idle clients have to reconnect.
        let before = RequestSeries::run(
            Duration::from_secs(4),
            || is_served(&proxy, "before"),
            || open_descriptors(&proxy),
            || assert_admin_endpoint_answers(admin),
        );
        assert_invalid_client_is_disconnected(&proxy);
        // Discovery is available again, and the only known endpoint is draining: it must receive no new
        // calls.
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
        assert!(latest <= NOTIFICATION_WINDOW + NOTIFICATION_TOLERANCE, "{latest:?}");
        assert!(!new.arrivals_of("after").is_empty(), "the new endpoint should receive calls");
        let opened = idle_clients.stop();
        wait_until_descriptors_released(&proxy, descriptors_before);
        let max_descriptors = before.max_descriptors.max(after.max_descriptors);
        let served = [before.served, after.served];
        println!(
            "limit {sockets}: {opened} idle connections, {served:?} requests served, at most \
             {max_descriptors} descriptors, last call to the draining endpoint after {latest:?}"
        );
        assert!(max_descriptors <= sockets, "{max_descriptors} descriptors with a limit of {sockets}");
        assert!(proxy.child.try_wait().expect("a child").is_none(), "the proxy should still run");
    }
}

/// Two processes of one proxy stay within the descriptor limit together, once each has detected the other.
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
    wait_until_descriptors_open(&predecessor, SOCKETS / 2);
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
    println!("{served} served, at most {max_descriptors} descriptors together, {at_end:?} at the end");
    assert!(max_descriptors <= SOCKETS, "{max_descriptors} descriptors together");
    predecessor.terminate();
    assert!(predecessor.exits_successfully());
    idle_clients.stop();
    let ended = Instant::now();
    while !is_served() {
        assert!(ended.elapsed() < LONG);
    }
}

/// Guards against a deadlock of uploads: half of each body has arrived when the memory is exhausted, and
/// bodies that held some of the memory while waiting for the rest would wait for each other forever. Each
/// request must be answered within its client timeout.
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

/// Waits until the health check of this process succeeds, and returns the time since `since`.
fn time_until_ready(address: SocketAddr, since: Instant) -> Duration {
    loop {
        if let Ok(mut stream) = TcpStream::connect(address) {
            let _ = stream.set_read_timeout(Some(SHORT));
            let written = stream.write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
            let mut response = [0; 12];
            // A predecessor in shutdown closes each connection after its response, or resets it without one.
            if written.is_ok() && stream.read_exact(&mut response).is_ok() && response.ends_with(b"200") {
                return since.elapsed();
            }
        }
        assert!(since.elapsed() < LONG * 2, "{address} was not ready within {:?}", LONG * 2);
        thread::sleep(Duration::from_millis(5));
    }
}

/// Thirty processes get SIGKILL or SIGTERM at the same time and are started again while discovery is
/// unavailable and the configured endpoint list is empty or outdated: 90 % of them are ready within 10 s.
/// After SIGTERM, the address is still in use by the predecessor when the new process starts.
#[test]
fn nine_in_ten_processes_restarted_together_are_ready_within_10_s() {
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
                    // Returns once the new process has logged its address, so the predecessor does not listen
                    // any more.
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
        println!("{signal}: ready after p50 {:?}, p90 {:?}, maximum {:?}", times[15], times[26], times[29]);
        assert!(times[26] < Duration::from_secs(10), "{:?}", times[26]);
        for predecessor in &mut predecessors {
            assert!(signal == "-KILL" || predecessor.exits_successfully());
        }
    }
}

/// Whether the process answers a request: with the response of an endpoint, or with 503.
fn answers_a_request(proxy: &Proxy) -> bool {
    let response = proxy.call("safe", "2000m");
    response.status() == 503 || response.status() == 200 && response.body == b"ok"
}
