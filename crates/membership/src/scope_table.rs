//! The scope table: all known other scopes, and the local scope as other members report it.

use crate::remote_scope::{RemoteScope, ScopeStatus, SUMMARY_RETENTION_US};
use crate::scope_summary::ScopeSummary;
use crate::Micros;
use std::collections::BTreeMap;

/// If this time passes between two updates, the process has stalled and may have missed datagrams.
const STALL_THRESHOLD_US: Micros = 1_000_000;
/// How long a silent scope stays in the table after its last summary, provided its live count is 0.
const SCOPE_RETENTION_US: Micros = 600_000_000;
/// Maximum number of other scopes in the table.
const MAX_SCOPES: usize = 256;

/// A change of the status of a scope.
pub(crate) struct ScopeChange {
    pub(crate) scope: String,
    pub(crate) status: ScopeStatus,
}

/// All scopes but the local one, and the local one as others report it.
#[derive(Clone, Debug, Default)]
pub struct ScopeTable {
    remote: BTreeMap<String, RemoteScope>,
    /// The local scope as other members report it.
    local: Option<RemoteScope>,
    last_update_at: Micros,
    /// The end of the last stall of this process.
    no_stall_since: Micros,
}

impl ScopeTable {
    /// Whether no other scope is known.
    pub fn is_empty(&self) -> bool {
        self.remote.is_empty()
    }

    /// The other scopes, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &RemoteScope)> {
        self.remote.iter().map(|(name, scope)| (name.as_str(), scope))
    }

    /// The number of known other scopes.
    pub fn len(&self) -> usize {
        self.remote.len()
    }

    /// The local scope as others report it.
    fn local_mut(&mut self, now: Micros) -> &mut RemoteScope {
        self.local.get_or_insert_with(|| RemoteScope::new(now))
    }

    /// The scope with a name, added if it is new; `None` if the table is full.
    pub(crate) fn entry(&mut self, now: Micros, local_name: &str, name: &str) -> Option<&mut RemoteScope> {
        if local_name == name {
            return Some(self.local_mut(now));
        }
        if !self.remote.contains_key(name) && self.remote.len() >= MAX_SCOPES {
            return None;
        }
        Some(self.remote.entry(name.to_owned()).or_insert_with(|| RemoteScope::new(now)))
    }

    /// Applies a summary; one that is older than the retention time is ignored.
    pub(crate) fn apply(&mut self, now: Micros, local_name: &str, summary: &ScopeSummary) {
        let age = Micros::from(summary.age_ms) * 1_000;
        let Some(scope) = self.entry(now, local_name, &summary.scope) else { return };
        if age <= SUMMARY_RETENTION_US && now >= age {
            scope.apply(summary, now - age);
        }
    }

    /// The greatest live count of the local scope that others reported recently; 0 if none did.
    pub(crate) fn reported_local_live_count(&self, now: Micros) -> usize {
        self.local.as_ref().and_then(|local| local.reported_live_count(now)).unwrap_or(0)
    }

    /// The greatest number of members of the local scope that others reported recently; 0 if none did.
    pub(crate) fn reported_local_member_count(&self, now: Micros) -> usize {
        self.local.as_ref().and_then(|local| local.reported_member_count(now)).unwrap_or(0)
    }

    /// The local scope as others report it; `None` if none did.
    pub(crate) fn reported_local(&mut self) -> Option<&mut RemoteScope> {
        self.local.as_mut()
    }

    /// Updates all scopes, given the live count of the fleet; returns the scopes whose status changed.
    pub(crate) fn update(&mut self, now: Micros, total_live_count: usize) -> Vec<ScopeChange> {
        if now > self.last_update_at + STALL_THRESHOLD_US {
            self.no_stall_since = now;
        }
        self.last_update_at = now;
        self.remote.retain(|_, scope| scope.age(now) < SCOPE_RETENTION_US || scope.live_count() > 0);
        if let Some(local) = &mut self.local {
            local.expire_views(now);
        }
        let mut changes = Vec::new();
        for (name, scope) in &mut self.remote {
            if let Some(status) = scope.update(now, total_live_count, self.no_stall_since) {
                changes.push(ScopeChange { scope: name.clone(), status });
            }
        }
        changes
    }

    /// The sum of the live counts of all other scopes.
    pub(crate) fn live_count(&self) -> usize {
        self.remote.values().map(RemoteScope::live_count).sum()
    }

    /// Number of live members of the other scopes that are not suspected, without those of silent scopes.
    pub(crate) fn unsuspected_count(&self) -> usize {
        let fresh = self.remote.values().filter(|scope| scope.status() == ScopeStatus::Fresh);
        fresh.map(RemoteScope::unsuspected_count).sum()
    }

    /// The summaries of the other scopes, starting with the scope at index `rotation`, each with up to
    /// `max_contacts` contacts.
    pub(crate) fn summaries(
        &self,
        now: Micros,
        rotation: usize,
        max_contacts: usize,
    ) -> impl Iterator<Item = ScopeSummary> + '_ {
        let scopes = self.remote.len();
        let rotated = self.remote.iter().cycle().skip(rotation % scopes.max(1)).take(scopes);
        rotated.flat_map(move |(name, scope)| scope.summaries(now, name, rotation, max_contacts))
    }

    /// The summaries of one scope, with up to `max_contacts` contacts.
    pub(crate) fn summaries_of(
        &self,
        now: Micros,
        local_name: &str,
        name: &str,
        max_contacts: usize,
    ) -> Vec<ScopeSummary> {
        let scope = if local_name == name { self.local.as_ref() } else { self.remote.get(name) };
        scope.map(|scope| scope.summaries(now, name, 0, max_contacts)).unwrap_or_default()
    }
}
