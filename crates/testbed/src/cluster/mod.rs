//! A fleet of real processes on loopback, with faults between them, judged from outside (`docs/test-cluster.md`).

mod calls;
pub mod chain;
mod clients;
mod cold;
mod crowd;
mod delivery;
pub(crate) mod discovery;
mod ending;
mod events;
pub mod forwarder;
pub mod hops;
pub mod http;
mod judge;
pub mod links;
mod listener;
mod membership;
mod peers;
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
use events::Fleet;
use links::DatagramRelay;
use oakport_core::Micros;
use oakport_simulator::scenario::FaultKind;
use processes::{Peer, ProxySupervisor};
use record::Shared;
use servers::Machine;
use site::Site;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

/// Between two looks at how far the day is.
const LOOK: Duration = Duration::from_millis(200);
/// The number of a server that no list names, far from those that lists name.
const DECOY: usize = 60_000;
/// Peers that each knows of from the start.
const SEEDS: usize = 3;

/// Plays a day.
///
/// # Errors
/// The fleet could not be started, and why.
pub async fn run(play: &RunConfig, tell: &ProgressCallback<'_>) -> Result<Verdict, String> {
    let odd = |e: std::io::Error| format!("the rig's sockets: {e}");
    let shared = Arc::new(Shared::new(play.scenario.clone(), play.seed));
    let day = &shared.day;
    let site = Site::start(&shared).await.map_err(odd)?;
    // It is in no list; whoever sends there has invented it.
    let decoy = Machine::start(&shared, DECOY, 0, "none", 0).map_err(odd)?;
    let mut play = play.clone();
    for program in [&mut play.program, &mut play.replacement] {
        program.environment.push((forwarder::DECOY.to_owned(), decoy.address.to_string()));
    }
    let (mut peers, mut datagrams) = (Vec::new(), None);
    if day.peers {
        peers = Peer::all(day.balancers, SEEDS).map_err(odd)?;
        // Without a fault between proxies they reach each other directly.
        if day.events.iter().any(|event| !site::affected_peer_links(day, event).is_empty()) {
            let relay = DatagramRelay::start(play.seed, peers.iter().map(|p| p.address).collect())
                .await
                .map_err(odd)?;
            peers.iter_mut().zip(&relay.addresses).for_each(|(peer, door)| peer.advertise = *door);
            Peer::know(&mut peers, SEEDS);
            datagrams = Some(relay);
        }
    }
    let operators: Vec<_> = peers.iter().map(|peer| peer.operator).collect();
    let mut peers = peers.into_iter();
    let inherits = day.events.iter().any(|event| event.kind == FaultKind::Upgrade);
    let mut seats = Vec::new();
    for (number, agent) in site.agents.iter().enumerate() {
        let logs = play.logs.as_deref();
        let mut seat =
            ProxySupervisor::new(&shared, agent, number, site.discovery_of(number), inherits, logs)
                .map_err(odd)?;
        if let Some(peer) = peers.next() {
            seat.set_peer(peer);
        }
        seat.start(&play.program)?;
        seats.push(seat);
    }
    for seat in &mut seats {
        seat.ready().await?;
    }
    let apps = seats.iter().map(|seat| App::new(&shared, seat.number, seat.address)).collect();
    let seats = seats.into_iter().map(Mutex::new).collect();
    let fleet = Arc::new(Fleet { site, seats, apps, datagrams, play });
    shared.begin_day();
    tell(Progress::Started);
    let mut tasks = JoinSet::new();
    let mut requests = JoinSet::new();
    for number in 0..day.events.len() {
        tasks.spawn(Arc::clone(&fleet).event(number));
    }
    tasks.spawn(Arc::clone(&fleet).watch());
    for (proxy, operator) in operators.into_iter().enumerate() {
        tasks.spawn(peers::watch(Arc::clone(&shared), proxy, operator));
    }
    let told = tell_progress(&shared, tell);
    let asked = async {
        for (request, arrival) in shared.arrivals.iter().enumerate() {
            shared.until(shared.at(arrival.at)).await;
            requests.spawn(Arc::clone(&fleet.apps[arrival.proxy]).ask(request));
        }
        while requests.join_next().await.is_some() {}
    };
    tokio::select! {
        () = asked => {}
        () = told => {}
    }
    tasks.shutdown().await;
    for app in &fleet.apps {
        app.close();
    }
    let verdict = judge::judge(&shared, &fleet.site.zones_and_releases());
    for seat in &fleet.seats {
        seat.lock().await.end(Duration::ZERO).await;
    }
    Ok(verdict)
}

/// Tells how far the day is, for ever.
async fn tell_progress(shared: &Shared, tell: &ProgressCallback<'_>) {
    let mut marks: Vec<(Micros, String)> = Vec::new();
    for event in &shared.day.events {
        let place = event.zone.as_ref().map_or(String::new(), |zone| format!(" {zone}"));
        let place =
            if event.link_groups.is_empty() { place } else { format!(" {}", event.link_groups.join(" | ")) };
        let what = format!("{:?}{place}", event.kind).to_lowercase();
        marks.push((event.at, format!("{what} begins")));
        marks.push((event.at + event.duration, format!("{what} is over")));
    }
    marks.sort();
    let mut marks = marks.iter().peekable();
    loop {
        tokio::time::sleep(LOOK).await;
        let now = shared.now().saturating_sub(shared.at(0));
        while let Some((at, text)) = marks.next_if(|(at, _)| *at <= now) {
            tell(Progress::Event(*at, text));
        }
        tell(Progress::At(now.min(shared.day.duration), shared.ended()));
    }
}
