//! What is known of one other scope: the views that its members reported, its contacts, and its part of the live
//! count.
//!
//! A summary is made by a member of its scope and passed on; each member that passes it on adds the time that it
//! kept it, and what the way may have taken. Of two summaries with the same digest the younger one counts; among
//! different digests the one with the greatest live count.

use crate::scope_summary::{ScopeSummary, MAX_CONTACTS};
use crate::Micros;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// A scope of which no younger summary is known is silent.
const SILENCE_TIMEOUT_US: Micros = 5_000_000;
/// How long a summary is kept, and the count of a silent scope stays: silence may be a network partition.
pub(crate) const SUMMARY_RETENTION_US: Micros = 60_000_000;
/// Share of the live count by which the count of a silent scope then falls at a time.
const MAX_DECREASE_RATIO: f64 = 0.1;
/// Shortest time between two decreases.
const DECREASE_INTERVAL_US: Micros = 1_000_000;
/// What one hop adds to a summary's age, so that none grows younger by circulating.
const HOP_AGE_US: Micros = 100_000;
/// Views that differ, of which the youngest are kept.
const MAX_REPORTED_VIEWS: usize = 8;

/// The view of a scope that one of its members reported.
#[derive(Clone, Copy, Debug)]
struct ReportedView {
    digest: u32,
    live_count: usize,
    member_count: usize,
    unsuspected_count: usize,
    made_at: Micros,
}

impl ReportedView {
    fn is_fresh(&self, now: Micros) -> bool {
        now <= self.made_at + SILENCE_TIMEOUT_US
    }
}

/// Whether a scope is heard from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScopeStatus {
    /// It is.
    Fresh,
    /// It is not for some seconds; its count stays, and later falls step by step.
    Silent,
}

/// Another scope as it is seen from here.
#[derive(Clone, Debug)]
pub struct RemoteScope {
    views: Vec<ReportedView>,
    contacts: VecDeque<SocketAddr>,
    status: ScopeStatus,
    live_count: usize,
    last_decrease_at: Micros,
}

impl RemoteScope {
    /// A scope of which nothing has been reported.
    pub(crate) fn new(now: Micros) -> Self {
        RemoteScope {
            views: Vec::new(),
            contacts: VecDeque::new(),
            status: ScopeStatus::Fresh,
            live_count: 0,
            last_decrease_at: now,
        }
    }

    fn youngest(&self) -> Option<&ReportedView> {
        self.views.iter().max_by_key(|view| view.made_at)
    }

    /// Its part of the live count.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// Live members by the youngest summary.
    pub fn member_count(&self) -> usize {
        self.youngest().map_or(0, |view| view.member_count)
    }

    /// Live members that are not suspected, by the youngest summary.
    pub(crate) fn unsuspected_count(&self) -> usize {
        self.youngest().map_or(0, |view| view.unsuspected_count)
    }

    /// The digest of the youngest summary.
    pub fn digest(&self) -> u32 {
        self.youngest().map_or(0, |view| view.digest)
    }

    /// How old the youngest summary is, in microseconds; [`Micros::MAX`] if there is none.
    pub fn age(&self, now: Micros) -> Micros {
        self.youngest().map_or(Micros::MAX, |view| now.saturating_sub(view.made_at))
    }

    /// Whether it is heard from.
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

    /// Forgets the summaries that are no longer fresh.
    pub(crate) fn expire_views(&mut self, now: Micros) {
        self.views.retain(|view| view.is_fresh(now));
    }

    /// Takes in a summary that was made at an instant.
    pub(crate) fn apply(&mut self, summary: &ScopeSummary, made_at: Micros) {
        self.add_view(ReportedView {
            digest: summary.digest,
            live_count: summary.live_count as usize,
            member_count: summary.member_count as usize,
            unsuspected_count: summary.unsuspected_count as usize,
            made_at,
        });
        for contact in &summary.contacts {
            self.add_contact(*contact);
        }
    }

    fn add_view(&mut self, view: ReportedView) {
        match self.views.iter_mut().find(|known| known.digest == view.digest) {
            Some(known) if known.made_at >= view.made_at => {}
            Some(known) => *known = view,
            None => self.views.push(view),
        }
        if self.views.len() > MAX_REPORTED_VIEWS {
            let oldest = (0..self.views.len()).min_by_key(|index| self.views[*index].made_at);
            oldest.map(|index| self.views.swap_remove(index));
        }
    }

    /// Remembers a member of the scope.
    pub(crate) fn add_contact(&mut self, address: SocketAddr) {
        if self.contacts.contains(&address) {
            return;
        }
        self.contacts.push_back(address);
        if self.contacts.len() > MAX_CONTACTS {
            self.contacts.pop_front();
        }
    }

    /// One of its members, chosen by a random number.
    pub(crate) fn random_contact(&self, random: u64) -> Option<SocketAddr> {
        let contacts = self.contacts.len() as u64;
        let index = random.checked_rem(contacts)? as usize;
        self.contacts.get(index).copied()
    }

    /// Removes up to `max_contacts` contacts that are wanted, the last ones first, and returns them.
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

    /// Brings its status and count up to date, and returns the status if it changed. `total_live_count` is the
    /// count in force; this process has been running without a stall since `awake_since`.
    pub(crate) fn update(
        &mut self,
        now: Micros,
        total_live_count: usize,
        awake_since: Micros,
    ) -> Option<ScopeStatus> {
        let last_made_at = self.youngest().map_or(0, |view| view.made_at);
        let last_report_at = last_made_at.max(awake_since);
        let status =
            if now <= last_report_at + SILENCE_TIMEOUT_US { ScopeStatus::Fresh } else { ScopeStatus::Silent };
        match status {
            ScopeStatus::Fresh => self.take_reported_count(now),
            ScopeStatus::Silent => self.decrease_silent_count(now, total_live_count, last_report_at),
        }
        let changed = self.status != status;
        self.status = status;
        changed.then_some(status)
    }

    /// After this process itself stalled there may be no fresh summary; then the count stays.
    fn take_reported_count(&mut self, now: Micros) {
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

    /// The summaries to pass on: the youngest with up to `max_contacts` contacts, beginning at the `rotation`th,
    /// and the one with the greatest live count if that is another.
    pub(crate) fn summaries(
        &self,
        now: Micros,
        name: &str,
        rotation: usize,
        max_contacts: usize,
    ) -> Vec<ScopeSummary> {
        let youngest = self.youngest();
        let greatest = self.fresh_views(now).max_by_key(|view| (view.live_count, view.made_at));
        let greatest = greatest
            .filter(|greatest| youngest.is_some_and(|youngest| greatest.live_count > youngest.live_count));
        let contacts = self.contacts.iter().cycle().skip(rotation % self.contacts.len().max(1));
        let contacts: Vec<SocketAddr> =
            contacts.take(max_contacts.min(self.contacts.len())).copied().collect();
        let youngest = youngest.and_then(|view| summary(view, now, name, contacts));
        let greatest = greatest.and_then(|view| summary(view, now, name, Vec::new()));
        youngest.into_iter().chain(greatest).collect()
    }
}

/// The summary of a view, one hop older; `None` if it is older than the retention time.
fn summary(view: &ReportedView, now: Micros, name: &str, contacts: Vec<SocketAddr>) -> Option<ScopeSummary> {
    let age = now.saturating_sub(view.made_at) + HOP_AGE_US;
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
