//! The client proxy: start, configuration, signals, exit.
#![deny(unsafe_code)]

mod net;

use badgerramp::ListKind;
use net::bodies::Memory;
use net::config::Config;
use net::driver::{Clock, Driver};
use net::figures::Figures;
use net::front::{Front, Resting};
use net::hosts::Hosts;
use net::upgrade::Shared;
use net::{discovery, operator, upgrade, Descriptors};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;

/// Descriptors kept out of the count: standard streams, the runtime's own, the listeners, discovery, operators'
/// callers, and a client's connection that is closed as soon as it is accepted.
const RESERVE: usize = 48;
/// Connections waiting to be accepted.
const BACKLOG: u32 = 1_024;

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn run(mut config: Config, inherited: Option<std::net::TcpListener>) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    let successor = inherited.is_some();
    let listener = match inherited {
        Some(listener) => TcpListener::from_std(listener),
        None => listen(config.listen),
    };
    let listener = listener.map_err(|e| format!("listen on {}: {e}", config.listen))?;
    // Where the platform holds the listener, two processes serve for a while and share what is allowed.
    let shared = Shared::open().filter(|_| successor).map(|shared| Rc::new(RefCell::new(shared)));
    let mut alone = shared.as_ref().is_none_or(|shared| shared.borrow_mut().alone());
    let left = shared.as_ref().and_then(|shared| shared.borrow().left(config.discovery));
    let known = upgrade::newer(config.known.take(), left);

    let operator = config.operator;
    let clock = Clock::start();
    let room = config.limits.sockets.saturating_sub(RESERVE).max(8);
    // Beside another process. That one holds what its last requests need; nearly all clients are here by then.
    let part = (room * 3 / 5).max(8);
    let descriptors = Descriptors::new(if alone { room } else { part });
    let figures = Rc::<Figures>::default();
    let facts = config.facts.clone();
    let (transport, balancers) = (facts.transport, facts.settings.balancers);
    let memory = Memory::new(config.limits.memory_mb);
    let (places, counts) = (Rc::clone(&descriptors), Rc::clone(&figures));
    let hosts = Hosts::new(transport, balancers, places, clock, counts, Rc::clone(&memory));
    let driver = Driver::new(config.seed, facts, clock, Rc::clone(&hosts), Rc::clone(&figures));
    driver.start();
    let index = known.as_ref().map(|k| k.index);
    driver.members(ListKind::Cached, known.as_ref().map_or(&[], |k| &k.endpoints));

    let mut timers = tokio::task::spawn_local({
        let driver = driver.clone();
        async move { driver.timers().await }
    });
    let (moved, discovery) = watch::channel(config.discovery);
    let mut watch =
        tokio::task::spawn_local(discovery::run(driver.clone(), discovery, index, shared.clone()));
    let reload = {
        let driver = driver.clone();
        async move {
            while hangup.recv().await.is_some() {
                let next = config.again();
                figures.reload(next.is_ok());
                match next {
                    Ok(next) => {
                        config = next;
                        eprintln!("badgerramp: reloaded: {}", config.summary());
                        driver.retune(config.facts.clone());
                        moved.send_if_modified(|at| {
                            std::mem::replace(at, config.discovery) != config.discovery
                        });
                    }
                    Err(fault) => eprintln!("badgerramp: not reloaded, nothing changed: {fault}"),
                }
            }
        }
    };
    if let Some(address) = operator {
        tokio::task::spawn_local(operator::run(driver.clone(), address));
    }
    let sweep = async {
        loop {
            tokio::time::sleep(Duration::from_millis(250)).await;
            hosts.sweep();
            if let (false, Some(shared)) = (alone, &shared) {
                alone = shared.borrow_mut().alone();
                descriptors.allow(if alone { room } else { part });
            }
        }
    };
    if let Ok(address) = listener.local_addr() {
        eprintln!("badgerramp: listening on {address}");
    }
    let front = Rc::new(Front {
        driver,
        hosts: Rc::clone(&hosts),
        descriptors: Rc::clone(&descriptors),
        most: room / 2,
        beyond: room / 8,
        resting: Rc::<Resting>::default(),
        memory,
    });
    let stop = async {
        term.recv().await;
        if successor {
            // The next process needs them from now on.
            descriptors.allow(part);
            while hosts.evict() {}
        }
    };
    tokio::select! {
        () = front.serve(listener, successor, stop) => Ok(()),
        // Without these calls would stay unanswered: better a crash that is seen.
        ended = &mut timers => Err(format!("the timers ended: {ended:?}")),
        ended = &mut watch => Err(format!("discovery ended: {ended:?}")),
        () = sweep => Ok(()),
        () = reload => Err("no more signals".to_owned()),
    }
}

fn main() -> ExitCode {
    // First of all: a descriptor that was not inherited must not come to bear its number.
    let inherited = upgrade::inherited();
    let done = Config::read().and_then(|config| {
        let inherited = inherited?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
        tokio::task::LocalSet::new().block_on(&runtime, run(config, inherited))
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("badgerramp: {fault}");
            ExitCode::FAILURE
        }
    }
}
