//! The state of one other scope: the views reported by its members, its contacts, and its share of the count.
//!
//! A summary is created by a member of its scope and forwarded by other members; each of them adds to its age
//! the time for which it stored the summary, and an allowance for the network. Of two summaries with the same
//! digest, the newer one applies; among different digests, the one with the greatest live count.

use crate::scope_summary::{ScopeSummary, MAX_CONTACTS};
use crate::Micros;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// A scope is silent if its newest summary is older than this.
const SILENCE_TIMEOUT_US: Micros = 5_000_000;
/// How long a summary is retained, and how long the count of a silent scope does not fall: the scope may only
/// be unreachable because of a network partition.
pub(crate) const SUMMARY_RETENTION_US: Micros = 60_000_000;
/// Share of the live count by which the count of a silent scope then falls per step.
const MAX_DECREASE_RATIO: f64 = 0.1;
/// Minimum time between two decreases.
const DECREASE_INTERVAL_US: Micros = 1_000_000;
/// Age that one hop adds to a summary, so that no summary becomes newer by circulating.
const HOP_AGE_US: Micros = 100_000;
/// Maximum number of differing views; the newest are retained.
const MAX_REPORTED_VIEWS: usize = 8;

/// The view of a scope that one of its members reported.
#[derive(Clone, Copy, Debug)]
struct ReportedView {
    digest: u32,
    live_count: usize,
    member_count: usize,
    unsuspected_count: usize,
    created_at: Micros,
}

impl ReportedView {
    fn is_fresh(&self, now: Micros) -> bool {
        now <= self.created_at + SILENCE_TIMEOUT_US
    }
}

/// Whether recent summaries of a scope are received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScopeStatus {
    /// The newest summary is recent.
    Fresh,
    /// No summary has been received for some seconds; the count of the scope stays, and later falls in steps.
    Silent,
}

/// Another scope as this process sees it.
#[derive(Clone, Debug)]
pub struct RemoteScope {
    views: Vec<ReportedView>,
    contacts: VecDeque<SocketAddr>,
    status: ScopeStatus,
    live_count: usize,
    last_decrease_at: Micros,
}

impl RemoteScope {
    /// A scope for which no summary has been received.
    pub(crate) fn new(now: Micros) -> Self {
        RemoteScope {
            views: Vec::new(),
            contacts: VecDeque::new(),
            status: ScopeStatus::Fresh,
            live_count: 0,
            last_decrease_at: now,
        }
    }

    fn newest(&self) -> Option<&ReportedView> {
        self.views.iter().max_by_key(|view| view.created_at)
    }

    /// The share of this scope in the live count.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// Number of live members in the newest summary.
    pub fn member_count(&self) -> usize {
        self.newest().map_or(0, |view| view.member_count)
    }

    /// Number of live members that are not suspected, in the newest summary.
    pub(crate) fn unsuspected_count(&self) -> usize {
        self.newest().map_or(0, |view| view.unsuspected_count)
    }

    /// The digest of the newest summary.
    pub fn digest(&self) -> u32 {
        self.newest().map_or(0, |view| view.digest)
    }

    /// Age of the newest summary, in microseconds; [`Micros::MAX`] if there is none.
    pub fn age(&self, now: Micros) -> Micros {
        self.newest().map_or(Micros::MAX, |view| now.saturating_sub(view.created_at))
    }

    /// Whether recent summaries of the scope are received.
    pub fn status(&self) -> ScopeStatus {
        self.status
    }

    fn fresh_views(&self, now: Micros) -> impl Iterator<Item = &ReportedView> {
        self.views.iter().filter(move |view| view.is_fresh(now))
    }

    /// The greatest live count of the fresh summaries.
    pub(crate) fn reported_live_count(&self, now: Micros) -> Option<usize> {
        self.fresh_views(now).map(|view| view.live_count).max()
    }

    /// The greatest member count of the fresh summaries.
    pub(crate) fn reported_member_count(&self, now: Micros) -> Option<usize> {
        self.fresh_views(now).map(|view| view.member_count).max()
    }

    /// Removes the views that are no longer fresh.
    pub(crate) fn expire_views(&mut self, now: Micros) {
        self.views.retain(|view| view.is_fresh(now));
    }

    /// Adds the view and the contacts of a summary that was created at the given time.
    pub(crate) fn apply(&mut self, summary: &ScopeSummary, created_at: Micros) {
        self.add_view(ReportedView {
            digest: summary.digest,
            live_count: summary.live_count as usize,
            member_count: summary.member_count as usize,
            unsuspected_count: summary.unsuspected_count as usize,
            created_at,
        });
        for contact in &summary.contacts {
            self.add_contact(*contact);
        }
    }

    fn add_view(&mut self, view: ReportedView) {
        match self.views.iter_mut().find(|known| known.digest == view.digest) {
            Some(known) if known.created_at >= view.created_at => {}
            Some(known) => *known = view,
            None => self.views.push(view),
        }
        if self.views.len() > MAX_REPORTED_VIEWS {
            let oldest = (0..self.views.len()).min_by_key(|index| self.views[*index].created_at);
            oldest.map(|index| self.views.swap_remove(index));
        }
    }

    /// Adds the address of a member; if there are too many, the oldest is removed.
    pub(crate) fn add_contact(&mut self, address: SocketAddr) {
        if self.contacts.contains(&address) {
            return;
        }
        self.contacts.push_back(address);
        if self.contacts.len() > MAX_CONTACTS {
            self.contacts.pop_front();
        }
    }

    /// A contact selected by a random number.
    pub(crate) fn random_contact(&self, random: u64) -> Option<SocketAddr> {
        let contacts = self.contacts.len() as u64;
        let index = random.checked_rem(contacts)? as usize;
        self.contacts.get(index).copied()
    }

    /// Removes up to `max_contacts` contacts for which `wanted` is true, newest first, and returns them.
    pub(crate) fn take_contacts(
        &mut self,
        wanted: impl Fn(SocketAddr) -> bool,
        max_contacts: usize,
    ) -> Vec<SocketAddr> {
        let newest_first = self.contacts.iter().rev().copied();
        let taken: Vec<SocketAddr> =
            newest_first.filter(|contact| wanted(*contact)).take(max_contacts).collect();
        self.contacts.retain(|contact| !taken.contains(contact));
        taken
    }

    /// Updates the status and the live count; returns the status if it changed. `total_live_count` is the
    /// live count of the fleet; this process has been running without a stall since `no_stall_since`.
    pub(crate) fn update(
        &mut self,
        now: Micros,
        total_live_count: usize,
        no_stall_since: Micros,
    ) -> Option<ScopeStatus> {
        let newest_created_at = self.newest().map_or(0, |view| view.created_at);
        let last_report_at = newest_created_at.max(no_stall_since);
        let status =
            if now <= last_report_at + SILENCE_TIMEOUT_US { ScopeStatus::Fresh } else { ScopeStatus::Silent };
        match status {
            ScopeStatus::Fresh => self.apply_reported_count(now),
            ScopeStatus::Silent => self.decrease_silent_count(now, total_live_count, last_report_at),
        }
        let changed = self.status != status;
        self.status = status;
        changed.then_some(status)
    }

    /// After a stall of this process there may be no fresh summary; the count then stays.
    fn apply_reported_count(&mut self, now: Micros) {
        if let Some(live_count) = self.reported_live_count(now) {
            self.live_count = live_count;
            self.expire_views(now);
        }
    }

    fn decrease_silent_count(&mut self, now: Micros, total_live_count: usize, last_report_at: Micros) {
        let retained = now <= last_report_at + SUMMARY_RETENTION_US;
        if retained || now < self.last_decrease_at + DECREASE_INTERVAL_US {
            return;
        }
        let step = ((total_live_count as f64 * MAX_DECREASE_RATIO) as usize).max(1);
        self.live_count = self.live_count.saturating_sub(step);
        self.last_decrease_at = now;
    }

    /// The summaries to forward: the newest, with up to `max_contacts` contacts starting at index `rotation`,
    /// and the one with the greatest live count if that count is greater than the count of the newest.
    pub(crate) fn summaries(
        &self,
        now: Micros,
        name: &str,
        rotation: usize,
        max_contacts: usize,
    ) -> Vec<ScopeSummary> {
        let newest = self.newest();
        let greatest = self.fresh_views(now).max_by_key(|view| (view.live_count, view.created_at));
        let greatest =
            greatest.filter(|greatest| newest.is_some_and(|newest| greatest.live_count > newest.live_count));
        let contacts = self.contacts.iter().cycle().skip(rotation % self.contacts.len().max(1));
        let contacts: Vec<SocketAddr> =
            contacts.take(max_contacts.min(self.contacts.len())).copied().collect();
        let newest = newest.and_then(|view| summary(view, now, name, contacts));
        let greatest = greatest.and_then(|view| summary(view, now, name, Vec::new()));
        newest.into_iter().chain(greatest).collect()
    }
}

/// The summary of a view, with the age of one hop added; `None` if it is then older than the retention time.
fn summary(view: &ReportedView, now: Micros, name: &str, contacts: Vec<SocketAddr>) -> Option<ScopeSummary> {
    let age = now.saturating_sub(view.created_at) + HOP_AGE_US;
    if age > SUMMARY_RETENTION_US {
        return None;
    }
    Some(ScopeSummary {
        scope: name.to_owned(),
        live_count: view.live_count as u32,
        member_count: view.member_count as u32,
        unsuspected_count: view.unsuspected_count as u32,
        digest: view.digest,
        age_ms: (age / 1_000) as u32,
        contacts,
    })
}
