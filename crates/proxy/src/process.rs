//! One process of a client proxy: creates, runs and ends its components.

use crate::admin;
use crate::body::MemoryLimit;
use crate::clock::Clock;
use crate::config::Config;
use crate::descriptor_budget::{
    client_capacity, expected_client_count, DescriptorBudget, CHECK_INTERVAL,
    RESERVED_CLIENT_DESCRIPTOR_COUNT,
};
use crate::descriptors::Descriptors;
use crate::discovery::EndpointWatcher;
use crate::dispatcher::Dispatcher;
use crate::downstream::open_connections::OpenConnections;
use crate::downstream::{Downstream, IdleConnections, RequestHandler};
use crate::hot_restart::{bind_when_free, newer_list, HandoverDirectory, HandoverListener, SuccessorAddress};
use crate::membership::MembershipService;
use crate::metrics::Metrics;
use crate::process_memory::{return_large_blocks, MemoryBudget};
use crate::reload::Reloader;
use crate::request_ids::RequestIds;
use crate::shutdown_progress::ShutdownProgress;
use crate::upstream::pool::ConnectionPool;
use oakport_core::ListUpdateKind;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{watch, Notify};
use tokio::task::{JoinError, JoinHandle};
use tracing::info;

/// Why a process cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A signal handler cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The listener cannot be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
}

/// Why a process has ended without SIGTERM: a task has ended without which calls would stay unanswered.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The task that fires the balancer's timers.
    #[error("timer task ended unexpectedly: {0:?}")]
    TimersEnded(Result<(), JoinError>),
    /// The task that updates the endpoint list.
    #[error("discovery task ended unexpectedly: {0:?}")]
    DiscoveryEnded(Result<(), JoinError>),
    /// No further SIGHUP can be received, so that no reload can be requested.
    #[error("SIGHUP handling ended unexpectedly")]
    SignalsEnded,
}

/// A client proxy that is ready to serve.
pub struct Process {
    config: Config,
    listener: TcpListener,
    /// The platform holds the listener: another process follows this one, or ran before it.
    shares_listener: bool,
    budget: Rc<DescriptorBudget>,
    memory_budget: MemoryBudget,
    pool: Rc<ConnectionPool>,
    memory: Rc<MemoryLimit>,
    metrics: Rc<Metrics>,
    dispatcher: Dispatcher,
    membership: Option<Rc<MembershipService>>,
    handover_listener: Option<HandoverListener>,
    /// Version of the endpoint list that the process starts from.
    list_index: Option<u64>,
    terminate: Signal,
    hangup: Signal,
}

impl Process {
    /// Uses the inherited listener or binds one, and creates all components. Must be called within a
    /// single-threaded runtime.
    ///
    /// # Errors
    /// A signal handler cannot be installed, or the listener cannot be opened.
    pub async fn open(
        mut config: Config,
        inherited: Option<std::net::TcpListener>,
    ) -> Result<Self, StartError> {
        return_large_blocks();
        let terminate = signal(SignalKind::terminate()).map_err(StartError::Signals)?;
        let hangup = signal(SignalKind::hangup()).map_err(StartError::Signals)?;
        let shares_listener = inherited.is_some();
        let listener = open_listener(config.listen, inherited).await?;
        // Where the platform holds the listener, two processes serve during a hot restart and share the
        // limits.
        let handover = if shares_listener { HandoverDirectory::open() } else { None };
        let handover = handover.map(|handover| Rc::new(RefCell::new(handover)));
        let budget = Rc::new(DescriptorBudget::new(config.limits.sockets, handover.clone()));
        let has_predecessor = handover.as_ref().is_some_and(|handover| !handover.borrow_mut().is_alone());
        let handover_listener = if has_predecessor { HandoverListener::open() } else { None };
        let predecessor_list =
            handover.and_then(|handover| handover.borrow().read_endpoint_list(config.discovery));
        let list = newer_list(config.known.take(), predecessor_list);

        let clock = Clock::start();
        let metrics = Rc::<Metrics>::default();
        let memory = MemoryLimit::new(config.limits.memory_mb);
        memory.set_expected_client_count(expected_client_count(config.limits.sockets));
        let proxy_count = config.settings.settings.proxy_count;
        let pool = ConnectionPool::new(
            config.settings.transport,
            proxy_count,
            Rc::clone(&budget.descriptors),
            clock,
            Rc::clone(&metrics),
            Rc::clone(&memory),
        );
        let shared_ids = budget.handover.as_ref().and_then(|handover| handover.borrow().open_request_ids());
        let request_ids = RequestIds::new(shared_ids);
        let dispatcher = start_dispatcher(&config, clock, &pool, &metrics, request_ids);
        let membership = membership(&config, clock);
        let endpoints = list.as_ref().map_or(&[][..], |list| &list.endpoints);
        dispatcher.update_endpoints(ListUpdateKind::Cached, endpoints);
        let memory_budget =
            MemoryBudget::new(Rc::clone(&memory), config.limits.memory_mb, budget.handover.clone());
        Ok(Process {
            config,
            listener,
            shares_listener,
            budget,
            memory_budget,
            pool,
            memory,
            metrics,
            dispatcher,
            membership,
            handover_listener,
            list_index: list.map(|list| list.index),
            terminate,
            hangup,
        })
    }

    /// Serves until SIGTERM, then finishes the open requests. Must be called within a `LocalSet`.
    ///
    /// # Errors
    /// A task has ended without which calls would stay unanswered: a visible crash is better.
    pub async fn serve(mut self) -> Result<(), ServeError> {
        let (discovery_sender, discovery_address) = watch::channel(self.config.discovery);
        let mut timers = self.spawn_timers();
        let mut discovery = self.spawn_discovery(discovery_address);
        let open_connections = Rc::<OpenConnections>::default();
        let shutdown = Rc::new(ShutdownProgress::new(Rc::clone(&open_connections)));
        self.spawn_admin_and_membership(&shutdown);
        if let Ok(address) = self.listener.local_addr() {
            info!(%address, "listening");
        }
        let idle_connections = Rc::<IdleConnections>::default();
        let handover_listener = self.handover_listener.take();
        let downstream = self.downstream(&idle_connections, open_connections, handover_listener);
        let downstream = Rc::new(downstream);
        let Process { shares_listener, budget, memory_budget, pool, membership, .. } = self;
        let dispatcher = self.dispatcher.clone();
        let reloader = Reloader {
            hangup: self.hangup,
            config: Arc::new(self.config),
            dispatcher: self.dispatcher,
            membership: membership.clone(),
            metrics: self.metrics,
            discovery_address: discovery_sender,
        };
        let stopped = Notify::new();
        let stop = async {
            self.terminate.recv().await;
            shutdown.begin(shares_listener);
            stopped.notify_one();
            if shares_listener {
                budget.hand_over(&pool);
            }
        };
        // Runs concurrently with the last requests: clients do not wait for the announcement to the members.
        let leave_membership = async {
            stopped.notified().await;
            if let Some(membership) = &membership {
                membership.leave().await;
            }
        };
        let serve_clients =
            async { tokio::join!(downstream.serve(self.listener, shares_listener, stop), leave_membership) };
        tokio::select! {
            ((), ()) = serve_clients => {
                shutdown.end();
                Ok(())
            }
            ended = &mut timers => Err(ServeError::TimersEnded(ended)),
            ended = &mut discovery => Err(ServeError::DiscoveryEnded(ended)),
            () = check_periodically(&budget, &pool, &idle_connections, &dispatcher) => Ok(()),
            () = check_memory(&memory_budget) => Ok(()),
            () = shutdown.log_open_connections() => Ok(()),
            () = reloader.run() => Err(ServeError::SignalsEnded),
        }
    }

    fn spawn_timers(&self) -> JoinHandle<()> {
        let dispatcher = self.dispatcher.clone();
        tokio::task::spawn_local(async move { dispatcher.run_timers().await })
    }

    fn spawn_discovery(&self, address: watch::Receiver<SocketAddr>) -> JoinHandle<()> {
        let dispatcher = self.dispatcher.clone();
        let handover = self.budget.handover.clone();
        let watcher = EndpointWatcher::new(dispatcher, address, self.list_index, handover, self.config.seed);
        tokio::task::spawn_local(watcher.run())
    }

    fn spawn_admin_and_membership(&self, shutdown: &Rc<ShutdownProgress>) {
        if let Some(address) = self.config.admin_address {
            let sources = admin::Sources {
                dispatcher: self.dispatcher.clone(),
                membership: self.membership.clone(),
                shutdown: Rc::clone(shutdown),
            };
            tokio::task::spawn_local(admin::run(sources, address));
        }
        if let Some(membership) = &self.membership {
            tokio::task::spawn_local(Rc::clone(membership).run(self.dispatcher.clone()));
        }
    }

    fn downstream(
        &self,
        idle_connections: &Rc<IdleConnections>,
        open_connections: Rc<OpenConnections>,
        handover_listener: Option<HandoverListener>,
    ) -> Downstream {
        let capacity = client_capacity(self.budget.max_sockets);
        let handler = RequestHandler {
            dispatcher: self.dispatcher.clone(),
            memory: Rc::clone(&self.memory),
            client_sockets: Rc::default(),
        };
        Downstream {
            handler: Rc::new(handler),
            pool: Rc::clone(&self.pool),
            descriptors: Rc::clone(&self.budget.descriptors),
            reserved_descriptors: Descriptors::new(RESERVED_CLIENT_DESCRIPTOR_COUNT),
            max_client_connections: capacity.max_connections,
            max_rejected_connections: capacity.max_rejected,
            idle_connections: Rc::clone(idle_connections),
            open_connections,
            successor: if self.shares_listener { SuccessorAddress::find() } else { None },
            handover_listener,
        }
    }
}

/// The membership of this process, if the configuration enables it.
fn membership(config: &Config, clock: Clock) -> Option<Rc<MembershipService>> {
    let parameters = config.membership.clone()?;
    let name = config.name.clone().unwrap_or_else(|| config.listen.to_string());
    let proxy_count = config.settings.settings.proxy_count;
    Some(MembershipService::new(parameters, name, config.seed, clock, proxy_count))
}

fn start_dispatcher(
    config: &Config,
    clock: Clock,
    pool: &Rc<ConnectionPool>,
    metrics: &Rc<Metrics>,
    request_ids: RequestIds,
) -> Dispatcher {
    let settings = config.settings.clone();
    let dispatcher =
        Dispatcher::new(config.seed, settings, clock, Rc::clone(pool), Rc::clone(metrics), request_ids);
    dispatcher.start();
    dispatcher
}

async fn open_listener(
    address: SocketAddr,
    inherited: Option<std::net::TcpListener>,
) -> Result<TcpListener, StartError> {
    let listener = match inherited {
        Some(listener) => TcpListener::from_std(listener),
        None => bind_when_free(address).await,
    };
    listener.map_err(|source| StartError::Listen { address, source })
}

/// Periodically checks the memory in use.
async fn check_memory(memory_budget: &MemoryBudget) {
    loop {
        tokio::time::sleep(memory_budget.check()).await;
    }
}

/// Periodically closes expired upstream connections, and checks whether another process has started or ended.
async fn check_periodically(
    budget: &DescriptorBudget,
    pool: &ConnectionPool,
    idle_connections: &IdleConnections,
    dispatcher: &Dispatcher,
) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        pool.close_expired();
        budget.check(pool, idle_connections);
        dispatcher.observe_system_time();
    }
}
