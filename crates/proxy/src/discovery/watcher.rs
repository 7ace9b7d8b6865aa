//! Keeps the endpoint list up to date (`docs/discovery.md`). An answered watch is immediately followed by the next one;
//! a broken watch is reopened once a catch-up poll has been answered. Client requests never wait for discovery.

use super::deadlines::{Deadlines, SILENCE_DETECTION_DELAY};
use super::list_update::{self, InvalidEndpointList};
use super::poll::{PollConnection, PollError};
use super::poll_schedule::PollSchedule;
use super::staleness::Staleness;
use crate::dispatcher::Dispatcher;
use crate::endpoint_list::EndpointList;
use crate::hot_restart::HandoverDirectory;
use oakport_core::ListUpdateKind;
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout, Instant};
use tracing::info;

/// Delay after an immediate answer without a new version: shorter than the 200 ms within which the next poll continues
/// the watch, and long enough not to poll a faulty service in a busy loop.
const UNCHANGED_ANSWER_DELAY: Duration = Duration::from_millis(50);
/// Wait of a catch-up poll, which requests only updates that are already available: the shortest wait that the protocol
/// allows.
const CATCH_UP_WAIT: Duration = Duration::from_millis(1);

/// A list and the connection on which it was received; the following watch uses the same connection.
struct PolledList {
    connection: PollConnection,
    list: EndpointList,
}

type PollResult = Result<PolledList, PollError>;
type PendingPoll = Pin<Box<dyn Future<Output = PollResult>>>;

/// The discovery client of one process.
pub struct EndpointWatcher {
    dispatcher: Dispatcher,
    address: watch::Receiver<SocketAddr>,
    /// Version of the list in force, as numbered by the service at `address`.
    version: Option<u64>,
    /// Directory in which the list is stored for the successor process.
    handover: Option<Rc<RefCell<HandoverDirectory>>>,
    schedule: PollSchedule,
    staleness: Staleness,
}

impl EndpointWatcher {
    /// `version` is the version of the list in force, if the service at `address` sent that list.
    pub fn new(
        dispatcher: Dispatcher,
        address: watch::Receiver<SocketAddr>,
        version: Option<u64>,
        handover: Option<Rc<RefCell<HandoverDirectory>>>,
        seed: u64,
    ) -> Self {
        let now = Instant::now();
        EndpointWatcher {
            dispatcher,
            address,
            version,
            handover,
            schedule: PollSchedule::new(seed, now),
            staleness: Staleness::new(now),
        }
    }

    /// Keeps the list up to date for as long as the program runs, also after a change of the discovery address.
    pub async fn run(mut self) {
        let deadlines = self.deadlines();
        info!(
            pushed = deadlines.pushed,
            drain_ms = deadlines.drain_grace.as_millis() as u64,
            "watching endpoint list"
        );
        loop {
            let deadlines = self.deadlines();
            let polled =
                if deadlines.pushed { self.poll_agent().await } else { self.poll_service(deadlines).await };
            let Some(PolledList { connection, list }) = polled else { continue };
            match self.apply_update(list) {
                Ok(_) => self.watch(connection).await,
                Err(error) => self.watch_broke(&error.into(), deadlines, true),
            }
        }
    }

    /// Watches the list until the watch breaks or the discovery address changes.
    async fn watch(&mut self, mut connection: PollConnection) {
        let opened_at = Instant::now();
        loop {
            let polled_at = Instant::now();
            let deadlines = self.deadlines();
            let wait = deadlines.watch_wait();
            let version = self.version;
            let poll = async {
                connection.reconnect_if_closed().await?;
                connection.poll(version, wait).await
            };
            let answer = tokio::select! {
                answer = timeout(wait + SILENCE_DETECTION_DELAY, poll) => answer,
                () = address_changed(&mut self.address) => return self.switch_address(deadlines),
            };
            let answer = answer.unwrap_or(Err(PollError::TimedOut));
            let error = match answer.and_then(|list| Ok(self.apply_update(list)?)) {
                Ok(new_version) => {
                    if !new_version && polled_at.elapsed() < UNCHANGED_ANSWER_DELAY {
                        tokio::time::sleep(UNCHANGED_ANSWER_DELAY).await;
                    }
                    continue;
                }
                Err(error) => error,
            };
            let broke_at_once = opened_at.elapsed() < deadlines.catch_up_timeout();
            return self.watch_broke(&error, deadlines, broke_at_once);
        }
    }

    /// Logs a broken watch and schedules the next poll. A shared service counts as failed if it rejected the watch or
    /// the watch broke right after it was opened.
    fn watch_broke(&mut self, error: &PollError, deadlines: Deadlines, broke_at_once: bool) {
        self.log_failure(error);
        let service_failed = broke_at_once || matches!(error, PollError::Rejected(_));
        self.schedule.watch_broke(service_failed, &deadlines);
        if service_failed && !deadlines.pushed {
            self.dispatcher.record_failed_endpoint_poll();
        }
    }

    /// Polls an agent until it answers. `None`: the discovery address has changed, or discovery is a shared service
    /// now.
    async fn poll_agent(&mut self) -> Option<PolledList> {
        // The first poll keeps running, in case the agent or the processor is slow. The second is restarted at each
        // interval, in case the agent has lost the first and has recovered since.
        let mut polls: [Option<PendingPoll>; 2] = [None, None];
        let mut next_poll_at = self.schedule.first_agent_poll_at(&self.deadlines());
        loop {
            tokio::select! {
                () = address_changed(&mut self.address) => {
                    self.switch_address(self.deadlines());
                    return None;
                }
                answer = first_answer(&mut polls) => match answer {
                    Ok(polled) => return Some(polled),
                    Err(error) => self.log_failure(&error),
                },
                () = sleep_until(next_poll_at) => {
                    let deadlines = self.deadlines();
                    if !deadlines.pushed {
                        self.schedule.switch_to_service(next_poll_at);
                        return None;
                    }
                    self.warn_if_stale(deadlines);
                    next_poll_at = self.schedule.agent_poll_started(next_poll_at, &deadlines);
                    let slot = if polls[0].is_some() { 1 } else { 0 };
                    polls[slot] = Some(Box::pin(self.catch_up(CATCH_UP_WAIT, deadlines)));
                }
            }
        }
    }

    /// Polls a shared service once, when a poll is due or requested. `None`: the poll failed, or the discovery address
    /// has changed.
    async fn poll_service(&mut self, deadlines: Deadlines) -> Option<PolledList> {
        let due = self.schedule.service_poll_at();
        tokio::select! {
            () = self.dispatcher.endpoint_poll_requested() => {}
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {}
            () = address_changed(&mut self.address) => {
                self.switch_address(deadlines);
                return None;
            }
        }
        let started_at = Instant::now();
        self.schedule.service_poll_started();
        // Each poll is a load on the shared service, so a catch-up poll precedes the next watch only after a failure.
        let failed_before = self.schedule.last_poll_failed();
        let wait = if failed_before { CATCH_UP_WAIT } else { deadlines.watch_wait() };
        let poll = self.catch_up(wait, deadlines);
        let answer = tokio::select! {
            answer = poll => answer,
            () = address_changed(&mut self.address) => {
                self.switch_address(deadlines);
                return None;
            }
        };
        let error = match answer {
            Ok(polled) => {
                self.schedule.service_poll_answered();
                return Some(polled);
            }
            Err(error) => error,
        };
        self.warn_if_stale(deadlines);
        if !failed_before && started_at.elapsed() >= wait {
            // The poll waited as long as a watch, so its failure is handled as a broken watch.
            self.watch_broke(&error, deadlines, false);
            return None;
        }
        self.log_failure(&error);
        self.schedule.service_poll_failed(started_at, &deadlines);
        // In a small fleet the balancer requests the next poll earlier.
        self.dispatcher.record_failed_endpoint_poll();
        None
    }

    /// Polls for updates on a new connection; with `CATCH_UP_WAIT`, only for updates that are already available.
    fn catch_up(&self, wait: Duration, deadlines: Deadlines) -> impl Future<Output = PollResult> + 'static {
        let address = self.discovery_address();
        let version = self.version;
        let poll_timeout = match version {
            Some(_) if wait > CATCH_UP_WAIT => wait + SILENCE_DETECTION_DELAY,
            _ => deadlines.catch_up_timeout(),
        };
        let poll = async move {
            let mut connection = PollConnection::open(address).await?;
            let list = connection.poll(version, wait).await?;
            Ok(PolledList { connection, list })
        };
        async move { timeout(poll_timeout, poll).await.unwrap_or(Err(PollError::TimedOut)) }
    }

    /// Applies a list if it is valid after the one in force. Returns whether its version is new.
    fn apply_update(&mut self, list: EndpointList) -> Result<bool, InvalidEndpointList> {
        let valid = list_update::validate(&list, self.version);
        if matches!(valid, Err(InvalidEndpointList::VersionWentBack { .. })) {
            // The service has restarted: the next poll requests a snapshot, which is valid with any version.
            self.version = None;
        }
        valid?;
        let kind = if list.snapshot { ListUpdateKind::Snapshot } else { ListUpdateKind::Delta };
        self.dispatcher.update_endpoints(kind, &list.endpoints);
        let new_version = self.version != Some(list.index);
        if new_version {
            if let Some(handover) = &self.handover {
                let known = self.dispatcher.endpoint_list(list.index);
                handover.borrow().write_endpoint_list(self.discovery_address(), known);
            }
        }
        self.version = Some(list.index);
        self.staleness.confirm();
        Ok(new_version)
    }

    /// Prepares for the first poll at a new discovery address.
    fn switch_address(&mut self, deadlines: Deadlines) {
        // Versions of different services cannot be compared, so a snapshot is requested.
        self.version = None;
        self.schedule.address_changed(&deadlines);
    }

    fn deadlines(&self) -> Deadlines {
        let settings = self.dispatcher.list_rules();
        Deadlines::new(settings.polls_endpoint_list, &settings.rules)
    }

    fn discovery_address(&self) -> SocketAddr {
        *self.address.borrow()
    }

    fn log_failure(&mut self, error: &PollError) {
        let max_list_age = self.deadlines().max_list_age();
        self.staleness.log_failure(self.discovery_address(), &error.to_string(), max_list_age);
    }

    fn warn_if_stale(&mut self, deadlines: Deadlines) {
        self.staleness.warn_if_stale(self.discovery_address(), deadlines.max_list_age());
    }
}

/// Waits for the poll that ends first, frees its slot and returns its answer.
async fn first_answer(polls: &mut [Option<PendingPoll>; 2]) -> PollResult {
    poll_fn(|cx| {
        for slot in polls.iter_mut() {
            let Some(poll) = slot else { continue };
            if let Poll::Ready(answer) = poll.as_mut().poll(cx) {
                *slot = None;
                return Poll::Ready(answer);
            }
        }
        Poll::Pending
    })
    .await
}

/// Waits until the discovery address changes.
async fn address_changed(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        // The sender was dropped, so the address does not change any more.
        std::future::pending::<()>().await;
    }
}
