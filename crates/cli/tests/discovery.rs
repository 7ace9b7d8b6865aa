//! No new request goes to an endpoint after its drain window, however the update arrives (`docs/discovery.md`): a dozen
//! processes of the program, each beside its own agent, with faults of the agents and requests all the while. The check is
//! independent of the proxies: it compares when each request arrived at an endpoint with when the agents notified.

mod peers;

use peers::agent::{Agent, RecordingHost};
use peers::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const PROCESSES: usize = 12;
const ENDPOINTS: usize = 10;
/// Endpoints that drain, two at a time or all at once: six in ten.
const DRAINING: usize = 6;
/// The shortest drain window of any given site.
const DRAIN_WINDOW: Duration = Duration::from_millis(500);
/// Tolerance for the delays of sockets and threads.
const SLACK: Duration = Duration::from_millis(50);

struct Cluster {
    agents: Vec<Agent>,
    hosts: Vec<RecordingHost>,
    proxies: Vec<Proxy>,
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<usize>>,
}

fn id(process: usize) -> String {
    format!("{process:08x}")
}

/// List entries of some endpoints, with this status.
fn list_entries(hosts: &[RecordingHost], status: &str) -> Vec<(String, String)> {
    let entry = |host: &RecordingHost| {
        let name = format!("s-{}", host.host.address.port());
        let text = entry(&name, host.host.address, status, 0);
        (name, text)
    };
    hosts.iter().map(entry).collect()
}

fn pushed_config(agent: &Agent, hosts: &[RecordingHost]) -> String {
    polled_config(agent, hosts).replace(r#""discovery":"ask","#, r#""discovery":"push","#)
}

fn polled_config(agent: &Agent, hosts: &[RecordingHost]) -> String {
    let known: Vec<String> = list_entries(hosts, "up").into_iter().map(|(_, text)| text).collect();
    let text = config("127.0.0.1:0".parse().expect("an address"), agent.address, 1_024, &known);
    text.replace(r#""balancers":1"#, r#""balancers":300"#)
        .replace(r#""tip_after_us""#, r#""drain_grace_us":500000,"tip_after_us""#)
        .replace(r#""ask_every_us":1600000"#, r#""ask_every_us":10000000"#)
}

impl Cluster {
    /// Each process has an agent of its own.
    fn start() -> Cluster {
        Cluster::with(PROCESSES, pushed_config)
    }

    /// The processes share this many agents.
    fn with(agents: usize, text: impl Fn(&Agent, &[RecordingHost]) -> String) -> Cluster {
        let hosts: Vec<RecordingHost> = (0..ENDPOINTS).map(|_| RecordingHost::start()).collect();
        let agents: Vec<Agent> = (0..agents).map(|_| Agent::start(&list_entries(&hosts, "up"))).collect();
        let start = |process: usize| {
            // Each draws its own random numbers.
            let seed = format!("{:016x}", 0x8c1f_30d2_7a5b_e964 ^ process as u64);
            Proxy::with(&text(&agents[process % agents.len()], &hosts).replace("8c1f30d27a5be964", &seed))
        };
        let proxies: Vec<Proxy> = (0..PROCESSES).map(start).collect();
        agents.iter().for_each(|agent| agent.await_watches(PROCESSES / agents.len()));
        let stop = Arc::new(AtomicBool::new(false));
        let client = |(number, proxy): (usize, &Proxy)| {
            let (mut client, stop) = (proxy.client(), Arc::clone(&stop));
            thread::spawn(move || {
                let mut served = 0;
                while !stop.load(Ordering::SeqCst) {
                    client.send_as(&id(number), "safe", "2000m");
                    served += usize::from(client.answer().is_some_and(|a| a.status() == 200));
                    thread::sleep(Duration::from_millis(15));
                }
                served
            })
        };
        let clients = proxies.iter().enumerate().map(client).collect();
        let cluster = Cluster { agents, hosts, proxies, stop, clients };
        let started = Instant::now();
        while (0..PROCESSES).any(|process| cluster.requests_to_draining(process).is_empty()) {
            assert!(started.elapsed() < LONG, "each process sends to the endpoints that will drain");
            thread::sleep(SHORT / 30);
        }
        cluster
    }

    /// When this process sent requests to the draining endpoints.
    fn requests_to_draining(&self, process: usize) -> Vec<Instant> {
        self.hosts[..DRAINING].iter().flat_map(|host| host.arrivals_of(&id(process))).collect()
    }

    /// All agents notify that endpoints drain. Returns when.
    fn drain(&self) -> Instant {
        self.notify(&list_entries(&self.hosts[..DRAINING], "draining"))
    }

    fn notify(&self, list_entries: &[(String, String)]) -> Instant {
        self.agents.iter().for_each(|agent| agent.change(list_entries));
        Instant::now()
    }

    /// The longest time after notification, one instant for each process, at which a process still sent a request to a
    /// draining endpoint. Waits first until the drain window of the last is over.
    fn latest_request_after(self, notified: &[Instant]) -> Duration {
        let all = (0..DRAINING).map(|host| (host, notified.to_vec())).collect::<Vec<_>>();
        self.latest_request_after_each(&all)
    }

    /// The same, with instants for each draining endpoint.
    fn latest_request_after_each(mut self, notified: &[(usize, Vec<Instant>)]) -> Duration {
        let last = notified.iter().flat_map(|(_, notified)| notified).max().expect("a process");
        thread::sleep((*last + DRAIN_WINDOW * 2).saturating_duration_since(Instant::now()));
        self.stop.store(true, Ordering::SeqCst);
        for client in std::mem::take(&mut self.clients) {
            assert!(client.join().expect("no panic") > 0, "the others serve");
        }
        let mut latest = Duration::ZERO;
        for (host, notified) in notified {
            for (process, notified) in notified.iter().enumerate() {
                let came = self.hosts[*host].arrivals_of(&id(process));
                let after = came.iter().map(|at| at.saturating_duration_since(*notified)).max();
                latest = latest.max(after.unwrap_or_default());
            }
        }
        latest
    }
}

fn at_each_process(notified: Instant) -> Vec<Instant> {
    vec![notified; PROCESSES]
}

/// Watches fall silent once, and endpoints drain right after.
#[test]
fn pushed_watches_that_fall_silent_are_reopened_within_the_drain_window() {
    let cluster = Cluster::start();
    let notified: Vec<Instant> = cluster.agents.iter().map(Agent::silence_watches).collect();
    cluster.drain();
    let latest = cluster.latest_request_after(&notified);
    assert!(latest <= DRAIN_WINDOW + SLACK, "{latest:?}");
}

/// The same where all poll one service: the watches are reopened one after the other, and each in time.
#[test]
fn watches_of_a_shared_service_that_fall_silent_are_reopened_within_the_drain_window() {
    let cluster = Cluster::with(1, polled_config);
    let notified = cluster.agents[0].silence_watches();
    cluster.drain();
    let latest = cluster.latest_request_after(&at_each_process(notified));
    assert!(latest <= DRAIN_WINDOW + SLACK, "{latest:?}");
}

/// All watches are reset just before a drain: what an agent has counts as notified, whether or not a watch is open.
#[test]
fn watches_that_are_reset_are_reopened_within_the_drain_window() {
    let cluster = Cluster::start();
    cluster.agents.iter().for_each(Agent::reset_connections);
    let notified = cluster.drain();
    let latest = cluster.latest_request_after(&at_each_process(notified));
    assert!(latest <= DRAIN_WINDOW + SLACK, "{latest:?}");
}

/// Agents are silent for a while; when they are back they have an update at once.
#[test]
fn updates_after_an_agent_outage_apply_within_the_drain_window() {
    let cluster = Cluster::start();
    cluster.agents.iter().for_each(|agent| agent.set_unresponsive(true));
    cluster.agents.iter().for_each(|agent| _ = agent.silence_watches());
    thread::sleep(Duration::from_secs(8));
    let notified = cluster.drain();
    cluster.agents.iter().for_each(|agent| agent.set_unresponsive(false));
    let calls: usize = cluster.agents.iter().map(Agent::calls).sum();
    assert!(calls < PROCESSES * 120, "{calls} calls in 8 s: some eight a second each");
    let latest = cluster.latest_request_after(&at_each_process(notified));
    assert!(latest <= DRAIN_WINDOW + SLACK, "{latest:?}");
}

/// A shared service that rejects polls is polled with a pause, and watched again afterwards.
#[test]
fn a_shared_service_at_capacity_is_polled_with_a_pause() {
    let cluster = Cluster::with(1, polled_config);
    let service = &cluster.agents[0];
    let before = service.calls();
    service.set_at_capacity(true);
    service.reset_connections();
    // From one call to the next it is 2 s to 3.5 s: one or two each, and none in a hurry.
    thread::sleep(Duration::from_secs(4));
    let calls = service.calls() - before;
    assert!((PROCESSES..=PROCESSES * 2).contains(&calls), "{calls} calls in 4 s");
    service.set_at_capacity(false);
    cluster.drain();
    cluster.agents[0].await_watches(PROCESSES);
    let latest = cluster.latest_request_after(&at_each_process(Instant::now()));
    assert!(latest <= DRAIN_WINDOW + SLACK, "{latest:?}");
}

/// After a failed, rejected or timed-out poll an update counts as notified 6 s after a shared service had it and could be
/// reached, however long it could not.
fn check_update_after_failed_polls(fails: impl Fn(&Agent, bool), lasts: Duration) {
    let cluster = Cluster::with(1, polled_config);
    let service = &cluster.agents[0];
    // The open watches break, and what follows on them fails: none is polled again before a quarter of a second.
    service.reset_connections();
    fails(service, true);
    thread::sleep(lasts);
    let before = service.calls();
    cluster.drain();
    fails(service, false);
    let notified = Instant::now() + Duration::from_secs(6);
    let latest = cluster.latest_request_after(&at_each_process(notified));
    println!("{before} calls while it failed, {latest:?} after it counts as told");
    assert!(latest <= DRAIN_WINDOW + SLACK, "{latest:?}");
}

#[test]
fn an_update_applies_by_its_notification_deadline_after_rejected_polls() {
    check_update_after_failed_polls(Agent::set_at_capacity, Duration::from_secs(1));
    check_update_after_failed_polls(Agent::set_at_capacity, Duration::from_secs(10));
}

#[test]
fn an_update_applies_by_its_notification_deadline_after_unanswered_polls() {
    check_update_after_failed_polls(Agent::set_unresponsive, Duration::from_secs(1));
    check_update_after_failed_polls(Agent::set_unresponsive, Duration::from_secs(14));
}

#[test]
fn an_update_applies_by_its_notification_deadline_after_truncated_answers() {
    check_update_after_failed_polls(Agent::set_truncating, Duration::from_secs(10));
}

/// After SIGHUP the old agent sends nothing more; the new one has an update, and is silent at first.
#[test]
fn updates_at_a_new_discovery_address_apply_by_their_notification_deadline() {
    for silent in [false, true] {
        let cluster = Cluster::start();
        let mut now = list_entries(&cluster.hosts, "up");
        now[..DRAINING].clone_from_slice(&list_entries(&cluster.hosts[..DRAINING], "draining"));
        let new: Vec<Agent> = cluster.agents.iter().map(|_| Agent::start(&now)).collect();
        new.iter().for_each(|agent| agent.set_unresponsive(silent));
        if silent {
            cluster.agents.iter().for_each(|agent| _ = agent.silence_watches());
        }
        let signalled = Instant::now();
        for (proxy, agent) in cluster.proxies.iter().zip(&new) {
            proxy.reload(&pushed_config(agent, &cluster.hosts));
        }
        thread::sleep(Duration::from_millis(1_500));
        cluster.agents.iter().for_each(Agent::reset_connections);
        thread::sleep(Duration::from_millis(2_000));
        new.iter().for_each(|agent| agent.set_unresponsive(false));
        let latest = cluster.latest_request_after(&at_each_process(signalled + Duration::from_secs(4)));
        assert!(latest <= DRAIN_WINDOW + SLACK, "{latest:?}, silent {silent}");
    }
}

/// Six in ten endpoints are replaced within 7 s; watches fall silent before the last of them.
#[test]
fn endpoints_replaced_in_steps_get_no_request_after_their_drain_windows() {
    let cluster = Cluster::start();
    let mut notified = Vec::new();
    for step in 0..DRAINING / 2 {
        let hosts = step * 2..step * 2 + 2;
        let silent: Vec<Instant> = match step {
            // No step comes after it: what a watch misses has a clock of its own until it is opened anew.
            2 => cluster.agents.iter().map(Agent::silence_watches).collect(),
            _ => at_each_process(Instant::now()),
        };
        let updated = cluster.notify(&list_entries(&cluster.hosts[hosts.clone()], "draining"));
        notified.extend(hosts.map(|host| (host, silent.iter().map(|silent| updated.max(*silent)).collect())));
        thread::sleep(Duration::from_millis(2_300));
        let removed = list_entries(&cluster.hosts[step * 2..step * 2 + 2], "removed");
        cluster.notify(&removed);
    }
    let latest = cluster.latest_request_after_each(&notified);
    assert!(latest <= DRAIN_WINDOW + SLACK, "{latest:?}");
}

/// A connection established only when its endpoint drains carries nothing, and its request goes to another endpoint.
#[test]
fn a_connection_established_while_its_endpoint_drains_carries_no_request() {
    let (deaf, other) = (UnresponsiveHost::start(), RecordingHost::start());
    let up = |status| vec![("s-1".to_owned(), entry("s-1", deaf.address, status, 0))];
    let agent = Agent::start(&up("up"));
    let listen = "127.0.0.1:0".parse().expect("an address");
    let text = config(listen, agent.address, 1_024, &[up("up")[0].1.clone()])
        .replace(r#""discovery":"ask","#, r#""discovery":"push","#)
        .replace(r#""connect_timeout_us":1000000"#, r#""connect_timeout_us":60000000"#);
    let proxy = Proxy::with(&text);
    agent.await_watch();
    let mut client = proxy.client();
    client.send("unsafe", "30000m");
    // Nothing tells from outside that the connection is on its way; nor does it matter if it is not yet.
    thread::sleep(SHORT);
    agent.change(&up("draining"));
    agent.change(&list_entries(std::slice::from_ref(&other), "up"));
    agent.await_watch();
    assert_eq!(deaf.count_bytes_received(), 0, "bytes on the connection that came up late");
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert_eq!(other.arrivals_of("9b1f03aa").len(), 1);
}

/// Lists of a thousand and more are taken within the least memory and the fewest descriptors that a configuration may
/// state, and a change of one entry among them is obeyed. With `--nocapture` it prints what they cost.
#[test]
fn lists_of_a_thousand_endpoints_fit_into_the_smallest_memory_and_descriptor_limits() {
    const TIMES: u64 = 60;
    let (host, listen) = (RecordingHost::start(), "127.0.0.1:0".parse().expect("an address"));
    for hosts in [10, 300, 1_024, 2_048] {
        let absent = unused_address();
        let named = |place: usize| format!("s-{place:08x}");
        let others = |since| -> Vec<(String, String)> {
            (1..hosts).map(|p| (named(p), entry(&named(p), absent, "draining", since))).collect()
        };
        let own = |status| vec![(named(0), entry(&named(0), host.host.address, status, 0))];
        let agent = Agent::start(&[own("up"), others(0)].concat());
        let text = config(listen, agent.address, 256, &[])
            .replace(r#""discovery":"ask","#, r#""discovery":"push","#)
            .replace(r#""memory_mb":192"#, r#""memory_mb":32"#);
        let proxy = Proxy::with(&text);
        agent.await_watch();
        let process = format!("/proc/{}", proxy.child.id());
        let ticks = || -> u64 {
            let stat = std::fs::read_to_string(format!("{process}/stat")).expect("it runs");
            let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
            fields.skip(11).take(2).map(|t| t.parse::<u64>().expect("ticks")).sum()
        };
        let cost = |changes: &dyn Fn(u64) -> Vec<(String, String)>| {
            let before = ticks();
            for time in 1..=TIMES {
                agent.change(&changes(time));
                agent.await_watch();
            }
            (ticks() - before) as f64 * 10.0 / TIMES as f64
        };
        let whole = cost(&others);
        let one = cost(&|time| others(time + TIMES).into_iter().take(1).collect());
        assert_eq!(proxy.call("safe", "2000m").status(), 200);
        agent.change(&own("draining"));
        agent.await_watch();
        let before = host.arrivals_of("9b1f03aa").len();
        assert_ne!(proxy.call("safe", "300m").status(), 200, "one entry among {hosts}");
        assert_eq!(host.arrivals_of("9b1f03aa").len(), before);
        let status = std::fs::read_to_string(format!("{process}/status")).expect("it runs");
        let most: u64 = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:")?.trim().strip_suffix("kB")?.trim().parse().ok())
            .expect("its memory");
        let open = std::fs::read_dir(format!("{process}/fd")).expect("it runs").count();
        println!("{hosts} hosts: {most} kB, {open} descriptors, ms: all changed {whole:.2}, one {one:.2}");
        assert!(most < 32 << 10 && open < 32, "{most} kB, {open} descriptors with {hosts}");
    }
}

/// The latest_request_after finds a client that is late, whatever it is late for.
#[test]
fn updates_that_are_applied_late_are_detected() {
    let cluster = Cluster::start();
    cluster.agents.iter().for_each(|agent| agent.set_delay(DRAIN_WINDOW * 2));
    let notified = cluster.drain();
    let latest = cluster.latest_request_after(&at_each_process(notified));
    assert!(latest > DRAIN_WINDOW + SLACK, "{latest:?}");
}
