//! No new request goes to an endpoint after its drain window, however the update arrives
//! (`docs/discovery.md`). A dozen proxy processes, each with its own agent or all with a shared one, forward
//! requests throughout while faults of the agents are simulated. The check is independent of the proxies: it
//! compares the arrival times of requests at the endpoints with the times of the agents' notifications.

mod peers;

use peers::agent::{Agent, RecordingHost};
use peers::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const PROCESSES: usize = 12;
const ENDPOINTS: usize = 10;
/// Number of endpoints that drain, in pairs or all at once: six in ten.
const DRAINING: usize = 6;
/// The drain window: the shortest that any site uses.
const DRAIN_WINDOW: Duration = Duration::from_millis(500);
/// Tolerance for socket and thread delays.
const SLACK: Duration = Duration::from_millis(50);

struct Cluster {
    agents: Vec<Agent>,
    hosts: Vec<RecordingHost>,
    proxies: Vec<Proxy>,
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<usize>>,
}

fn request_id(process: usize) -> String {
    format!("{process:08x}")
}

/// List entries of these endpoints, all with the same status.
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
    /// Starts a cluster in push mode in which each process has its own agent.
    fn start() -> Cluster {
        Cluster::with(PROCESSES, pushed_config)
    }

    /// Starts a cluster whose processes share `agent_count` agents.
    fn with(agent_count: usize, configuration: impl Fn(&Agent, &[RecordingHost]) -> String) -> Cluster {
        let hosts: Vec<RecordingHost> = (0..ENDPOINTS).map(|_| RecordingHost::start()).collect();
        let agents: Vec<Agent> =
            (0..agent_count).map(|_| Agent::start(&list_entries(&hosts, "up"))).collect();
        let start = |process: usize| {
            // Each process draws its own random numbers.
            let seed = format!("{:016x}", 0x8c1f_30d2_7a5b_e964 ^ process as u64);
            Proxy::with(
                &configuration(&agents[process % agents.len()], &hosts).replace("8c1f30d27a5be964", &seed),
            )
        };
        let proxies: Vec<Proxy> = (0..PROCESSES).map(start).collect();
        agents.iter().for_each(|agent| agent.await_watches(PROCESSES / agents.len()));
        let stop = Arc::new(AtomicBool::new(false));
        let client = |(process, proxy): (usize, &Proxy)| {
            let (mut client, stop) = (proxy.client(), Arc::clone(&stop));
            thread::spawn(move || {
                let mut served = 0;
                while !stop.load(Ordering::SeqCst) {
                    client.send_as(&request_id(process), "safe", "2000m");
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

    /// Arrival times of this process's requests at the endpoints that drain.
    fn requests_to_draining(&self, process: usize) -> Vec<Instant> {
        self.hosts[..DRAINING].iter().flat_map(|host| host.arrivals_of(&request_id(process))).collect()
    }

    /// Marks the draining endpoints at all agents. Returns the time of the notification.
    fn drain(&self) -> Instant {
        self.notify(&list_entries(&self.hosts[..DRAINING], "draining"))
    }

    /// Changes these entries at all agents. Returns the time of the notification.
    fn notify(&self, list_entries: &[(String, String)]) -> Instant {
        self.agents.iter().for_each(|agent| agent.change(list_entries));
        Instant::now()
    }

    /// The longest time after notification at which a process still sent a request to a draining endpoint.
    /// `notified` has one instant for each process. Waits first until the last drain window is over.
    fn latest_request_after(self, notified: &[Instant]) -> Duration {
        let all = (0..DRAINING).map(|host| (host, notified.to_vec())).collect::<Vec<_>>();
        self.latest_request_after_each(&all)
    }

    /// As [`Cluster::latest_request_after`], with the notification times of each draining endpoint.
    fn latest_request_after_each(mut self, notified: &[(usize, Vec<Instant>)]) -> Duration {
        let last = notified.iter().flat_map(|(_, notified)| notified).max().expect("a process");
        thread::sleep((*last + DRAIN_WINDOW * 2).saturating_duration_since(Instant::now()));
        self.stop.store(true, Ordering::SeqCst);
        for client in std::mem::take(&mut self.clients) {
            assert!(client.join().expect("no panic") > 0, "the other endpoints serve");
        }
        let mut latest = Duration::ZERO;
        for (host, notified) in notified {
            for (process, notified) in notified.iter().enumerate() {
                let arrivals = self.hosts[*host].arrivals_of(&request_id(process));
                let after = arrivals.iter().map(|at| at.saturating_duration_since(*notified)).max();
                latest = latest.max(after.unwrap_or_default());
            }
        }
        latest
    }
}

fn at_each_process(notified: Instant) -> Vec<Instant> {
    vec![notified; PROCESSES]
}

/// All watches stop being answered just before endpoints drain.
#[test]
fn pushed_watches_that_fall_silent_are_reopened_within_the_drain_window() {
    let cluster = Cluster::start();
    let notified: Vec<Instant> = cluster.agents.iter().map(Agent::silence_watches).collect();
    cluster.drain();
    let latest = cluster.latest_request_after(&notified);
    assert!(latest <= DRAIN_WINDOW + SLACK, "{latest:?}");
}

/// As above, with one service for all processes: the watches are reopened one after the other, and each in
/// time.
#[test]
fn watches_of_a_shared_service_that_fall_silent_are_reopened_within_the_drain_window() {
    let cluster = Cluster::with(1, polled_config);
    let notified = cluster.agents[0].silence_watches();
    cluster.drain();
    let latest = cluster.latest_request_after(&at_each_process(notified));
    assert!(latest <= DRAIN_WINDOW + SLACK, "{latest:?}");
}

/// All watches are reset just before a drain. An update counts as notified once an agent has it, whether or
/// not a watch is open.
#[test]
fn watches_that_are_reset_are_reopened_within_the_drain_window() {
    let cluster = Cluster::start();
    cluster.agents.iter().for_each(Agent::reset_connections);
    let notified = cluster.drain();
    let latest = cluster.latest_request_after(&at_each_process(notified));
    assert!(latest <= DRAIN_WINDOW + SLACK, "{latest:?}");
}

/// Agents do not answer for 8 s. When they answer again, they have a new update.
#[test]
fn updates_after_an_agent_outage_apply_within_the_drain_window() {
    let cluster = Cluster::start();
    cluster.agents.iter().for_each(|agent| agent.set_unresponsive(true));
    cluster.agents.iter().for_each(|agent| _ = agent.silence_watches());
    thread::sleep(Duration::from_secs(8));
    let notified = cluster.drain();
    cluster.agents.iter().for_each(|agent| agent.set_unresponsive(false));
    let calls: usize = cluster.agents.iter().map(Agent::calls).sum();
    assert!(calls < PROCESSES * 120, "{calls} calls in 8 s; about eight a second per process are expected");
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
    // The pause between calls is 2 s to 3.5 s, so that each process polls once or twice.
    thread::sleep(Duration::from_secs(4));
    let calls = service.calls() - before;
    assert!((PROCESSES..=PROCESSES * 2).contains(&calls), "{calls} calls in 4 s");
    service.set_at_capacity(false);
    cluster.drain();
    cluster.agents[0].await_watches(PROCESSES);
    let latest = cluster.latest_request_after(&at_each_process(Instant::now()));
    assert!(latest <= DRAIN_WINDOW + SLACK, "{latest:?}");
}

/// After a failed, rejected or timed-out poll an update counts as notified 6 s after a shared service has it
/// and can be reached again, however long the outage lasts.
fn check_update_after_failed_polls(set_failing: impl Fn(&Agent, bool), outage: Duration) {
    let cluster = Cluster::with(1, polled_config);
    let service = &cluster.agents[0];
    // The open watches are reset and the polls after them fail. No process polls again within 250 ms.
    service.reset_connections();
    set_failing(service, true);
    thread::sleep(outage);
    let before = service.calls();
    cluster.drain();
    set_failing(service, false);
    let notified = Instant::now() + Duration::from_secs(6);
    let latest = cluster.latest_request_after(&at_each_process(notified));
    println!("{before} calls by the end of the outage, {latest:?} after the notification deadline");
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

/// SIGHUP replaces the agent by one that has an update, and the old agent sends nothing more. In the second
/// case the old watches are silent already and the new agent does not answer at first.
#[test]
fn updates_at_a_new_discovery_address_apply_by_their_notification_deadline() {
    for is_silent in [false, true] {
        let cluster = Cluster::start();
        let mut entries = list_entries(&cluster.hosts, "up");
        entries[..DRAINING].clone_from_slice(&list_entries(&cluster.hosts[..DRAINING], "draining"));
        let new: Vec<Agent> = cluster.agents.iter().map(|_| Agent::start(&entries)).collect();
        new.iter().for_each(|agent| agent.set_unresponsive(is_silent));
        if is_silent {
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
        assert!(latest <= DRAIN_WINDOW + SLACK, "{latest:?}, silent: {is_silent}");
    }
}

/// Six in ten endpoints are replaced within 7 s; the open watches stop being answered before the last step.
#[test]
fn endpoints_replaced_in_steps_get_no_request_after_their_drain_windows() {
    let cluster = Cluster::start();
    let mut notified = Vec::new();
    for step in 0..DRAINING / 2 {
        let hosts = step * 2..step * 2 + 2;
        let earliest: Vec<Instant> = match step {
            // The last step, as no other follows: until a silent watch is reopened, an update that it misses
            // has its own notification deadline.
            2 => cluster.agents.iter().map(Agent::silence_watches).collect(),
            _ => at_each_process(Instant::now()),
        };
        let updated = cluster.notify(&list_entries(&cluster.hosts[hosts.clone()], "draining"));
        notified.extend(
            hosts.map(|host| (host, earliest.iter().map(|earliest| updated.max(*earliest)).collect())),
        );
        thread::sleep(Duration::from_millis(2_300));
        let removed = list_entries(&cluster.hosts[step * 2..step * 2 + 2], "removed");
        cluster.notify(&removed);
    }
    let latest = cluster.latest_request_after_each(&notified);
    assert!(latest <= DRAIN_WINDOW + SLACK, "{latest:?}");
}

/// A connect completes only after its endpoint has begun to drain: nothing is written to the connection, and
/// the request goes to another endpoint.
#[test]
fn a_connection_established_while_its_endpoint_drains_carries_no_request() {
    let (unresponsive, other) = (UnresponsiveHost::start(), RecordingHost::start());
    let entries = |status| vec![("s-1".to_owned(), entry("s-1", unresponsive.address, status, 0))];
    let agent = Agent::start(&entries("up"));
    let listen = "127.0.0.1:0".parse().expect("an address");
    let text = config(listen, agent.address, 1_024, &[entries("up")[0].1.clone()])
        .replace(r#""discovery":"ask","#, r#""discovery":"push","#)
        .replace(r#""connect_timeout_us":1000000"#, r#""connect_timeout_us":60000000"#);
    let proxy = Proxy::with(&text);
    agent.await_watch();
    let mut client = proxy.client();
    client.send_as("9b1f03aa", "unsafe", "30000m");
    // The connect cannot be observed from outside. The test also holds if it has not begun by now.
    thread::sleep(SHORT);
    agent.change(&entries("draining"));
    agent.change(&list_entries(std::slice::from_ref(&other), "up"));
    agent.await_watch();
    assert_eq!(unresponsive.count_bytes_received(), 0, "bytes on the connection established late");
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert_eq!(other.arrivals_of("9b1f03aa").len(), 1);
}

/// Lists of a thousand endpoints and more are applied within the smallest memory and descriptor limits that a
/// configuration may set, and a change of one of their entries takes effect. `--nocapture` prints memory,
/// descriptors and processor time.
#[test]
fn lists_of_a_thousand_endpoints_fit_into_the_smallest_memory_and_descriptor_limits() {
    const CHANGES: u64 = 60;
    let (host, listen) = (RecordingHost::start(), "127.0.0.1:0".parse().expect("an address"));
    for endpoint_count in [10, 300, 1_024, 2_048] {
        let absent = unused_address();
        let endpoint_name = |number: usize| format!("s-{number:08x}");
        let others = |since| -> Vec<(String, String)> {
            (1..endpoint_count)
                .map(|n| (endpoint_name(n), entry(&endpoint_name(n), absent, "draining", since)))
                .collect()
        };
        let own = |status| vec![(endpoint_name(0), entry(&endpoint_name(0), host.host.address, status, 0))];
        let agent = Agent::start(&[own("up"), others(0)].concat());
        let text = config(listen, agent.address, 256, &[])
            .replace(r#""discovery":"ask","#, r#""discovery":"push","#)
            .replace(r#""memory_mb":192"#, r#""memory_mb":32"#);
        let proxy = Proxy::with(&text);
        agent.await_watch();
        let process = format!("/proc/{}", proxy.child.id());
        let ticks = || -> u64 {
            let stat = std::fs::read_to_string(format!("{process}/stat")).expect("a running process");
            let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
            fields.skip(11).take(2).map(|t| t.parse::<u64>().expect("ticks")).sum()
        };
        // Processor time per change in ms, where a clock tick is 10 ms.
        let cost_ms = |changes: &dyn Fn(u64) -> Vec<(String, String)>| {
            let before = ticks();
            for step in 1..=CHANGES {
                agent.change(&changes(step));
                agent.await_watch();
            }
            (ticks() - before) as f64 * 10.0 / CHANGES as f64
        };
        let all_changed_ms = cost_ms(&others);
        let one_changed_ms = cost_ms(&|step| others(step + CHANGES).into_iter().take(1).collect());
        assert_eq!(proxy.call("safe", "2000m").status(), 200);
        agent.change(&own("draining"));
        agent.await_watch();
        let mut client = proxy.client();
        client.send_as("9b1f03aa", "safe", "300m");
        let status = client.answer().expect("an answer").status();
        assert_ne!(status, 200, "one entry of {endpoint_count} is draining");
        assert_eq!(host.arrivals_of("9b1f03aa").len(), 0);
        let status = std::fs::read_to_string(format!("{process}/status")).expect("a running process");
        let peak_kb: u64 = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:")?.trim().strip_suffix("kB")?.trim().parse().ok())
            .expect("its memory");
        let open = std::fs::read_dir(format!("{process}/fd")).expect("a running process").count();
        println!(
            "{endpoint_count} endpoints: {peak_kb} kB, {open} descriptors, \
             ms: all changed {all_changed_ms:.2}, one {one_changed_ms:.2}"
        );
        assert!(
            peak_kb < 32 << 10 && open < 32,
            "{peak_kb} kB, {open} descriptors with {endpoint_count} endpoints"
        );
    }
}

/// Checks [`Cluster::latest_request_after`] itself: it detects proxies that apply an update late.
#[test]
fn updates_that_are_applied_late_are_detected() {
    let cluster = Cluster::start();
    cluster.agents.iter().for_each(|agent| agent.set_delay(DRAIN_WINDOW * 2));
    let notified = cluster.drain();
    let latest = cluster.latest_request_after(&at_each_process(notified));
    assert!(latest > DRAIN_WINDOW + SLACK, "{latest:?}");
}
