//! The live counts of the whole fleet and of the local scope.

use crate::live_count::LiveCount;
use crate::member_table::MemberTable;
use crate::scope_table::ScopeTable;
use crate::Micros;

/// The live count of the fleet is the sum of the counts of its scopes; each scope estimates its own.
pub(crate) struct FleetCount {
    /// The live count of the fleet.
    fleet: LiveCount,
    /// The live count of the local scope alone, as reported to other scopes.
    local: LiveCount,
    /// The sum of the counts of all scopes at the last update.
    last_scopes_sum: usize,
}

impl FleetCount {
    /// Starts with the configured count for the fleet. Other scopes are sent live counts, not configured
    /// ones, so the count of the local scope starts at 1, for this process.
    pub(crate) fn new(now: Micros, configured_count: usize) -> Self {
        FleetCount {
            fleet: LiveCount::new(now, configured_count),
            local: LiveCount::new(now, 1),
            last_scopes_sum: 1,
        }
    }

    /// The live count of the fleet.
    pub(crate) fn fleet(&self) -> &LiveCount {
        &self.fleet
    }

    /// The live count of the local scope.
    pub(crate) fn local(&self) -> usize {
        self.local.get()
    }

    /// Sets the configured count of the fleet.
    pub(crate) fn set_configured(&mut self, configured_count: usize) {
        self.fleet.set_configured(configured_count);
    }

    /// Whether so many members were suspected together that a network partition is suspected.
    pub(crate) fn suspects_partition(&self) -> bool {
        self.fleet.suspects_partition() || self.local.suspects_partition()
    }

    /// Records that a member of the local scope is suspected.
    pub(crate) fn member_suspected(&mut self, now: Micros) {
        self.fleet.member_suspected(now);
        self.local.member_suspected(now);
    }

    /// Records that a member of the local scope announced its departure.
    pub(crate) fn member_left(&mut self) {
        self.local.member_left();
    }

    /// Records that a member of the local scope was declared dead.
    pub(crate) fn member_died(&mut self, now: Micros) {
        self.local.member_died(now);
        self.fleet.freeze(now);
    }

    /// Updates the count of the local scope from the view of its members.
    pub(crate) fn update_local(&mut self, now: Micros, members: &MemberTable, views_agree: bool) {
        self.local.update(now, members.size(), members.unsuspected_count(), views_agree);
    }

    /// Updates the count of the fleet; call it after the local scope and the other scopes have been updated.
    /// `alone`: no other member of the fleet is live.
    pub(crate) fn update_fleet(
        &mut self,
        now: Micros,
        members: &MemberTable,
        scopes: &ScopeTable,
        alone: bool,
        views_agree: bool,
    ) {
        let local = self.local.get().max(scopes.reported_local_live_count(now));
        let scopes_sum = local + scopes.live_count();
        // Each scope lowers its own count only when that is safe, so its decrease is confirmed.
        self.fleet.confirm_departures(self.last_scopes_sum.saturating_sub(scopes_sum));
        self.last_scopes_sum = scopes_sum;
        let live = if alone { 1 } else { scopes_sum };
        let unsuspected = members.unsuspected_count() + scopes.unsuspected_count();
        self.fleet.update(now, live, unsuspected, views_agree);
    }
}
