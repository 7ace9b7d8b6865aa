//! A test cluster of real processes on loopback, with fault injection, judged by what is observed from
//! outside the proxies (`docs/test-cluster.md`).

mod calls;
pub mod chain;
mod clients;
mod cold;
mod crowd;
mod delivery;
pub(crate) mod discovery;
mod events;
pub mod forwarder;
pub mod hops;
pub mod http;
mod judge;
pub mod links;
mod listener;
mod membership;
mod peers;
mod process_faults;
pub mod process_stats;
pub(crate) mod processes;
pub(crate) mod record;
mod run_config;
mod servers;
pub(crate) mod site;
mod slow_stream;
mod transfers;

pub use judge::{Second, Verdict, RULES};
pub use processes::Program;
pub use run_config::{Progress, ProgressCallback, RunConfig};

use clients::App;
use events::TestCluster;
use links::DatagramRelay;
use oakport_core::Micros;
use oakport_simulator::scenario::FaultKind;
use processes::{Peer, ProxySupervisor};
use record::Shared;
use servers::TestServer;
use site::Site;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

/// Interval between progress reports.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);
/// Number of a server that is in no endpoint list; far above the numbers of listed servers.
const DECOY_SERVER: usize = 60_000;
/// Seed peers that each proxy is configured with.
const SEED_PEERS: usize = 3;

/// Runs a scenario and judges it.
///
/// # Errors
/// Fails if the cluster cannot be started, and says why.
pub async fn run(config: &RunConfig, on_progress: &ProgressCallback<'_>) -> Result<Verdict, String> {
    let setup_error = |e: std::io::Error| format!("cannot set up the test cluster: {e}");
    let shared = Arc::new(Shared::new(config.scenario.clone(), config.seed));
    let scenario = &shared.scenario;
    let site = Site::start(&shared).await.map_err(setup_error)?;
    // The decoy is in no endpoint list, so a proxy that sends to it violates a rule.
    let decoy = TestServer::start(&shared, DECOY_SERVER, 0, "none", 0).map_err(setup_error)?;
    let mut config = config.clone();
    for program in [&mut config.program, &mut config.replacement] {
        program.environment.push((forwarder::DECOY.to_owned(), decoy.address.to_string()));
    }
    let mut peers = Vec::new();
    let mut datagrams = None;
    if scenario.peers {
        peers = Peer::all(scenario.balancers, SEED_PEERS).map_err(setup_error)?;
        // Without faults between proxies, they reach each other directly.
        if scenario.events.iter().any(|event| !site::affected_peer_links(scenario, event).is_empty()) {
            let relay = DatagramRelay::start(config.seed, peers.iter().map(|p| p.address).collect())
                .await
                .map_err(setup_error)?;
            peers.iter_mut().zip(&relay.addresses).for_each(|(peer, address)| peer.advertise = *address);
            Peer::set_seeds(&mut peers, SEED_PEERS);
            datagrams = Some(relay);
        }
    }
    let admin_endpoints: Vec<_> = peers.iter().map(|peer| peer.admin).collect();
    let mut peers = peers.into_iter();
    let inherits_listener = scenario.events.iter().any(|event| event.kind == FaultKind::Upgrade);
    let mut supervisors = Vec::new();
    for (number, agent) in site.agents.iter().enumerate() {
        let logs = config.logs.as_deref();
        let mut supervisor = ProxySupervisor::new(
            &shared,
            agent,
            number,
            site.discovery_address(number),
            inherits_listener,
            logs,
        )
        .map_err(setup_error)?;
        if let Some(peer) = peers.next() {
            supervisor.set_peer(peer);
        }
        supervisor.start(&config.program)?;
        supervisors.push(supervisor);
    }
    for supervisor in &mut supervisors {
        supervisor.ready().await?;
    }
    let apps = supervisors.iter().map(|proxy| App::new(&shared, proxy.number, proxy.address)).collect();
    let supervisors = supervisors.into_iter().map(Mutex::new).collect();
    let cluster = Arc::new(TestCluster { site, supervisors, apps, datagrams, config });
    shared.mark_start();
    on_progress(Progress::Started);
    let mut tasks = JoinSet::new();
    let mut requests = JoinSet::new();
    for number in 0..scenario.events.len() {
        tasks.spawn(Arc::clone(&cluster).run_event(number));
    }
    tasks.spawn(Arc::clone(&cluster).monitor());
    for (proxy, admin) in admin_endpoints.into_iter().enumerate() {
        tasks.spawn(peers::watch(Arc::clone(&shared), proxy, admin));
    }
    let progress = report_progress(&shared, on_progress);
    let calls = async {
        for (request, arrival) in shared.arrivals.iter().enumerate() {
            shared.sleep_until(shared.at(arrival.at)).await;
            requests.spawn(Arc::clone(&cluster.apps[arrival.proxy]).send_request(request));
        }
        while requests.join_next().await.is_some() {}
    };
    tokio::select! {
        () = calls => {}
        () = progress => {}
    }
    tasks.shutdown().await;
    for app in &cluster.apps {
        app.close();
    }
    let verdict = judge::judge(&shared, &cluster.site.zones_and_releases());
    for supervisor in &cluster.supervisors {
        supervisor.lock().await.end(Duration::ZERO).await;
    }
    Ok(verdict)
}

/// Reports the progress of the run. Never returns.
async fn report_progress(shared: &Shared, on_progress: &ProgressCallback<'_>) {
    let mut changes: Vec<(Micros, String)> = Vec::new();
    for event in &shared.scenario.events {
        let target = event.zone.as_ref().map_or(String::new(), |zone| format!(" {zone}"));
        let target =
            if event.link_groups.is_empty() { target } else { format!(" {}", event.link_groups.join(" | ")) };
        let fault = format!("{:?}{target}", event.kind).to_lowercase();
        changes.push((event.at, format!("{fault} begins")));
        changes.push((event.at + event.duration, format!("{fault} is over")));
    }
    changes.sort();
    let mut changes = changes.iter().peekable();
    loop {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        let now = shared.now().saturating_sub(shared.at(0));
        while let Some((at, text)) = changes.next_if(|(at, _)| *at <= now) {
            on_progress(Progress::Event(*at, text));
        }
        on_progress(Progress::At(now.min(shared.scenario.duration), shared.ended()));
    }
}
