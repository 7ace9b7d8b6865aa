//! Keeps the endpoint list up to date (`docs/discovery.md`). Each answered watch is followed by the next one at once; a
//! watch that breaks is reopened when a catch-up poll has been answered. Requests never wait for any of this.

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

/// Pause after an answer that came at once without a new version: within the 200 ms in which the next poll continues
/// the watch, and long enough that a faulty service is not polled in a busy loop.
const UNCHANGED_ANSWER_PAUSE: Duration = Duration::from_millis(50);
/// Wait of a catch-up poll, which asks for what is there already: the shortest that the protocol has.
const CATCH_UP_WAIT: Duration = Duration::from_millis(1);

/// A list with the connection it came on, which serves the watch that follows.
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
    /// Version of the list in force, as the service at `address` counts it.
    version: Option<u64>,
    /// Where the list is left for the successor process.
    handover: Option<Rc<RefCell<HandoverDirectory>>>,
    schedule: PollSchedule,
    staleness: Staleness,
}

impl EndpointWatcher {
    /// `version` is that of the list in force, if the service at `address` has sent it.
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

    /// Keeps the list up to date for as long as the program runs, also when discovery moves to another address.
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

    /// Watches the list until the watch breaks or discovery moves.
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
                () = address_changed(&mut self.address) => return self.follow_address(deadlines),
            };
            let answer = answer.unwrap_or(Err(PollError::TimedOut));
            let error = match answer.and_then(|list| Ok(self.apply_update(list)?)) {
                Ok(new_version) => {
                    if !new_version && polled_at.elapsed() < UNCHANGED_ANSWER_PAUSE {
                        tokio::time::sleep(UNCHANGED_ANSWER_PAUSE).await;
                    }
                    continue;
                }
                Err(error) => error,
            };
            let broke_at_once = opened_at.elapsed() < deadlines.catch_up_timeout();
            return self.watch_broke(&error, deadlines, broke_at_once);
        }
    }

    /// A watch broke. A shared service that rejects, or whose watches break as soon as they are open, counts as failed.
    fn watch_broke(&mut self, error: &PollError, deadlines: Deadlines, broke_at_once: bool) {
        self.log_failure(error);
        let service_failed = broke_at_once || matches!(error, PollError::Rejected(_));
        self.schedule.watch_broke(service_failed, &deadlines);
        if service_failed && !deadlines.pushed {
            self.dispatcher.record_failed_endpoint_poll();
        }
    }

    /// Polls an agent until it answers. None: discovery has moved, or is a shared service now.
    async fn poll_agent(&mut self) -> Option<PolledList> {
        // One poll is given time, for an agent or a processor that is slow; the other is started anew each interval, for
        // an agent that has lost the first and is back since.
        let mut polls: [Option<PendingPoll>; 2] = [None, None];
        let mut next_poll_at = self.schedule.first_agent_poll_at(&self.deadlines());
        loop {
            tokio::select! {
                () = address_changed(&mut self.address) => {
                    self.follow_address(self.deadlines());
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

    /// Polls a shared service once, when that is due. None: it failed, or discovery has moved.
    async fn poll_service(&mut self, deadlines: Deadlines) -> Option<PolledList> {
        let due = self.schedule.service_poll_at();
        tokio::select! {
            () = self.dispatcher.endpoint_poll_requested() => {}
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {}
            () = address_changed(&mut self.address) => {
                self.follow_address(deadlines);
                return None;
            }
        }
        let started_at = Instant::now();
        self.schedule.service_poll_started();
        // Each poll costs a shared service: only after a failure does a catch-up poll go ahead of the next watch.
        let failed_before = self.schedule.last_poll_failed();
        let wait = if failed_before { CATCH_UP_WAIT } else { deadlines.watch_wait() };
        let poll = self.catch_up(wait, deadlines);
        let answer = tokio::select! {
            answer = poll => answer,
            () = address_changed(&mut self.address) => {
                self.follow_address(deadlines);
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
            // It waited as a watch does, and broke as one.
            self.watch_broke(&error, deadlines, false);
            return None;
        }
        self.log_failure(&error);
        self.schedule.service_poll_failed(started_at, &deadlines);
        // In a small fleet the balancer requests the next poll sooner.
        self.dispatcher.record_failed_endpoint_poll();
        None
    }

    /// A poll for updates on a connection of its own; with `CATCH_UP_WAIT` it brings what is there already.
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

    /// Applies a list that follows on the one in force. Returns whether its version is new.
    fn apply_update(&mut self, list: EndpointList) -> Result<bool, InvalidEndpointList> {
        let valid = list_update::validate(&list, self.version);
        if matches!(valid, Err(InvalidEndpointList::VersionWentBack { .. })) {
            // The service has started anew: the next poll asks for a snapshot, whatever its version.
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

    /// Discovery has another address.
    fn follow_address(&mut self, deadlines: Deadlines) {
        // Versions of two services cannot be compared: the new one is asked for a snapshot.
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

/// The answer of whichever poll ends first; its slot is free then.
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

/// Waits until discovery has another address.
async fn address_changed(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        // The sender is gone: the address stays for as long as the process runs.
        std::future::pending::<()>().await;
    }
}
