//! Keeps the list of hosts up to date (`docs/discovery.md`). A watch follows on the last answer at once; one that breaks is
//! opened anew when a catch-up call has been answered. Requests never wait for any of this.

use super::deadlines::{self, Deadlines};
use super::poll::{PollConnection, PollError};
use crate::dispatcher::Dispatcher;
use crate::endpoint_list::EndpointList;
use crate::hot_restart::HandoverDirectory;
use oakport_core::ListUpdateKind;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::cell::RefCell;
use std::collections::HashSet;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout, Instant};
use tracing::{debug, info, warn};

/// A pause after an answer that came at once and told nothing new: it stays within the 200 ms in which the
/// next call continues the watch, and keeps a confused service from being asked without end.
const CALM: Duration = Duration::from_millis(50);
/// The wait of a call for what is there already: the shortest there is.
const NO_WAIT: Duration = Duration::from_millis(1);

/// An answer with the connection it came on.
type Caught = (PollConnection, EndpointList);
type Call = Pin<Box<dyn Future<Output = Result<Caught, PollError>>>>;

/// The discovery client of one process.
pub struct EndpointWatcher {
    driver: Dispatcher,
    address: watch::Receiver<SocketAddr>,
    /// Version of the list in force, as the service at `address` counts.
    index: Option<u64>,
    /// What is learned is left here for the next process.
    shared: Option<Rc<RefCell<HandoverDirectory>>>,
    random: Pcg32,
    /// When a shared service is asked again at the latest, whatever the module says.
    due: Option<Instant>,
    /// Until then a shared service that fails is asked again by `due`.
    keen_until: Instant,
    /// The last call failed: one that may wait would not tell silence from no news.
    failing: bool,
    /// When an agent was last begun to be asked.
    begun: Option<Instant>,
    /// When the list was last confirmed, and from what age on the next line tells that it may be old.
    confirmed: Instant,
    tell_at: Option<Duration>,
    /// What was last told to have failed, since the list was confirmed.
    fault: Option<String>,
}

impl EndpointWatcher {
    pub fn new(
        driver: Dispatcher,
        address: watch::Receiver<SocketAddr>,
        index: Option<u64>,
        shared: Option<Rc<RefCell<HandoverDirectory>>>,
        seed: u64,
    ) -> Self {
        let now = Instant::now();
        EndpointWatcher {
            driver,
            address,
            index,
            shared,
            random: Pcg32::seed_from_u64(seed),
            due: Some(now),
            keen_until: now,
            failing: false,
            begun: None,
            confirmed: now,
            tell_at: None,
            fault: None,
        }
    }

    /// Keeps the list up to date for as long as the program runs, also when discovery moves to another address.
    pub async fn run(mut self) {
        let terms = self.terms();
        info!(pushed = terms.pushed, drain_ms = terms.drain_grace.as_millis() as u64, "watching the list");
        loop {
            let terms = self.terms();
            let caught = if terms.pushed { self.ask_agent().await } else { self.ask_service(terms).await };
            if let Some((link, list)) = caught {
                match self.take(list) {
                    Ok(_) => self.watch(link).await,
                    Err(fault) => self.broke(&fault.into(), terms, true),
                }
            }
        }
    }

    /// Follows the list until the watch breaks or discovery moves.
    async fn watch(&mut self, mut link: PollConnection) {
        let opened = Instant::now();
        loop {
            let (asked, terms) = (Instant::now(), self.terms());
            let (wait, index) = (terms.wait(), self.index);
            let call = async {
                link.renew().await?;
                link.ask(index, wait).await
            };
            let answer = tokio::select! {
                answer = timeout(wait + deadlines::LATE, call) => answer,
                () = moved(&mut self.address) => return self.follow(terms),
            };
            let fault = match answer {
                Ok(Ok(list)) => match self.take(list) {
                    Ok(news) => {
                        if !news && asked.elapsed() < CALM {
                            tokio::time::sleep(CALM).await;
                        }
                        continue;
                    }
                    Err(fault) => fault.into(),
                },
                Ok(Err(fault)) => fault,
                Err(_) => PollError::Silent,
            };
            return self.broke(&fault, terms, opened.elapsed() < terms.patience());
        }
    }

    /// A watch broke. A shared service that refuses, or whose watches break as soon as they are open, is one that fails.
    fn broke(&mut self, fault: &PollError, terms: Deadlines, at_once: bool) {
        self.failed(&fault.to_string());
        let fails = at_once || matches!(fault, PollError::Refused(_));
        self.due = Some(if fails { Instant::now() + self.again(terms) } else { self.spread(terms) });
        self.failing = true;
        if fails && !terms.pushed {
            self.driver.fail_endpoint_poll();
        }
    }

    /// Asks an agent for what it has until it answers. None: discovery has moved, or is a shared service now.
    async fn ask_agent(&mut self) -> Option<Caught> {
        // One call is given time, for an agent or a processor that is slow; the other is made anew, for an agent that
        // has swallowed the first and come back since.
        let mut calls: [Option<Call>; 2] = [None, None];
        let mut next = Instant::now();
        if let Some(begun) = self.begun {
            next = next.max(begun + self.terms().pace(self.random.gen()));
        }
        loop {
            tokio::select! {
                () = moved(&mut self.address) => {
                    self.follow(self.terms());
                    return None;
                }
                answer = either(&mut calls) => match answer {
                    Ok(caught) => return Some(caught),
                    Err(fault) => self.failed(&fault.to_string()),
                },
                () = sleep_until(next) => {
                    let terms = self.terms();
                    if !terms.pushed {
                        self.due = Some(next);
                        return None;
                    }
                    self.begun = Some(next);
                    self.tell_age(terms);
                    next = Instant::now() + terms.pace(self.random.gen());
                    calls[usize::from(calls[0].is_some())] = Some(Box::pin(self.catch_up(NO_WAIT, terms)));
                }
            }
        }
    }

    /// Asks a shared service once, when it is time to. None: it failed, or discovery has moved.
    async fn ask_service(&mut self, terms: Deadlines) -> Option<Caught> {
        let due = self.due;
        tokio::select! {
            () = self.driver.endpoint_poll_requested() => {}
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {}
            () = moved(&mut self.address) => {
                self.follow(terms);
                return None;
            }
        }
        let begun = Instant::now();
        self.due = None;
        // Each call costs a shared service: only after a failure is what it has asked for ahead of the next watch.
        let wait = if self.failing { NO_WAIT } else { terms.wait() };
        let call = self.catch_up(wait, terms);
        let answer = tokio::select! {
            answer = call => answer,
            () = moved(&mut self.address) => {
                self.follow(terms);
                return None;
            }
        };
        let fault = match answer {
            Ok(caught) => {
                self.failing = false;
                return Some(caught);
            }
            Err(fault) => fault,
        };
        self.tell_age(terms);
        if !self.failing && begun.elapsed() >= wait {
            self.broke(&fault, terms, false);
            return None;
        }
        self.failed(&fault.to_string());
        self.failing = true;
        self.due = Some(if begun < self.keen_until { self.spread(terms) } else { begun + self.again(terms) });
        // Where few ask, the module has it asked sooner.
        self.driver.fail_endpoint_poll();
        None
    }

    /// A call for what is new, on a connection of its own; with the shortest wait it catches up.
    fn catch_up(
        &self,
        wait: Duration,
        terms: Deadlines,
    ) -> impl Future<Output = Result<Caught, PollError>> + 'static {
        let (address, index) = (*self.address.borrow(), self.index);
        let patience = match index {
            Some(_) if wait > NO_WAIT => wait + deadlines::LATE,
            _ => terms.patience(),
        };
        let call = async move {
            let mut link = PollConnection::open(address).await?;
            let list = link.ask(index, wait).await?;
            Ok((link, list))
        };
        async move { timeout(patience, call).await.unwrap_or(Err(PollError::Silent)) }
    }

    fn terms(&self) -> Deadlines {
        let (asked, rules) = self.driver.list_rules();
        Deadlines::new(asked, &rules)
    }

    /// Takes a list that follows on the one in force, and tells whether its version is new.
    fn take(&mut self, list: EndpointList) -> Result<bool, String> {
        match self.index {
            Some(index) if list.index < index => {
                // The service has begun anew: it is asked for the whole list, whatever its version.
                self.index = None;
                return Err(format!("odd list: version {} after {index}", list.index));
            }
            None if !list.snapshot => {
                return Err("odd list: changes where the whole list was asked for".to_owned())
            }
            _ => {}
        }
        // Of changes the last one holds; a whole list has each host once.
        let mut names = HashSet::with_capacity(list.endpoints.len());
        if let Some(entry) = list.endpoints.iter().find(|e| list.snapshot && !names.insert(e.name.as_str())) {
            return Err(format!("odd list: {} twice", entry.name));
        }
        let kind = if list.snapshot { ListUpdateKind::Snapshot } else { ListUpdateKind::Delta };
        self.driver.update_endpoints(kind, &list.endpoints);
        let news = self.index != Some(list.index);
        if let Some(shared) = self.shared.as_ref().filter(|_| news) {
            shared
                .borrow()
                .write_endpoint_list(*self.address.borrow(), self.driver.endpoint_list(list.index));
        }
        self.index = Some(list.index);
        if self.tell_at.take().is_some() {
            info!(age_s = self.confirmed.elapsed().as_secs(), "list confirmed again");
        }
        self.confirmed = Instant::now();
        self.fault = None;
        Ok(news)
    }

    /// Discovery has another address.
    fn follow(&mut self, terms: Deadlines) {
        // What another service calls the version may be anything: it is asked for the whole list.
        self.index = None;
        self.begun = None;
        self.due = Some(self.spread(terms));
        self.keen_until = Instant::now() + deadlines::MOVE;
    }

    fn again(&mut self, terms: Deadlines) -> Duration {
        terms.again(self.random.gen())
    }

    fn spread(&mut self, terms: Deadlines) -> Instant {
        Instant::now() + terms.spread(self.random.gen())
    }

    /// A call or a watch has failed. The same again and again is told once.
    fn failed(&mut self, fault: &str) {
        let address = *self.address.borrow();
        if self.tell_at.is_none() {
            self.tell_at = Some(self.terms().age_most());
        }
        if self.fault.as_deref() == Some(fault) {
            debug!(%address, reason = fault, "discovery failed");
        } else {
            warn!(%address, reason = fault, "discovery failed");
            self.fault = Some(fault.to_owned());
        }
    }

    /// Says that the list may be old, when its age passes the bound and each time it has doubled since.
    fn tell_age(&mut self, terms: Deadlines) {
        let age = self.confirmed.elapsed();
        if let Some(at) = self.tell_at.filter(|&at| age >= at) {
            warn!(address = %*self.address.borrow(), age_s = age.as_secs(), "the list may be old");
            self.tell_at = Some(at.max(terms.age_most()) * 2);
        }
    }
}

/// The answer of whichever call ends first; its place is free then.
async fn either(calls: &mut [Option<Call>; 2]) -> Result<Caught, PollError> {
    poll_fn(|cx| {
        for place in calls.iter_mut() {
            if let Some(Poll::Ready(answer)) = place.as_mut().map(|call| call.as_mut().poll(cx)) {
                *place = None;
                return Poll::Ready(answer);
            }
        }
        Poll::Pending
    })
    .await
}

/// Waits until discovery has another address.
async fn moved(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        // Nobody is left to name another.
        std::future::pending::<()>().await;
    }
}
