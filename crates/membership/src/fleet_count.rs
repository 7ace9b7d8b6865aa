//! The live counts of the whole fleet and of the local scope.

use crate::live_count::LiveCount;
use crate::member_table::MemberTable;
use crate::scope_table::ScopeTable;
use crate::Micros;

/// The live count of the fleet is the sum of the counts of its scopes; each scope estimates its own.
pub(crate) struct FleetCount {
    /// The count in force.
    fleet: LiveCount,
    /// The count of the local scope alone, as other scopes receive it.
    local: LiveCount,
    /// The sum of the counts of all scopes at the last update.
    last_scopes_sum: usize,
}

impl FleetCount {
    /// Starts with the configured count of the fleet. Other scopes receive what is live, not what is configured, so
    /// the count of the local scope starts with this process alone.
    pub(crate) fn new(now: Micros, configured_count: usize) -> Self {
        FleetCount {
            fleet: LiveCount::new(now, configured_count),
            local: LiveCount::new(now, 1),
            last_scopes_sum: 1,
        }
    }

    /// The count in force.
    pub(crate) fn fleet(&self) -> &LiveCount {
        &self.fleet
    }

    /// The count of the local scope.
    pub(crate) fn local(&self) -> usize {
        self.local.get()
    }

    /// Takes a new count from the configuration.
    pub(crate) fn set_configured(&mut self, configured_count: usize) {
        self.fleet.set_configured(configured_count);
    }

    /// So many members fell silent together that a network partition is suspected.
    pub(crate) fn suspects_partition(&self) -> bool {
        self.fleet.suspects_partition() || self.local.suspects_partition()
    }

    /// A member of the local scope fell silent.
    pub(crate) fn member_suspected(&mut self, now: Micros) {
        self.fleet.member_suspected(now);
        self.local.member_suspected(now);
    }

    /// A member of the local scope announced that it leaves.
    pub(crate) fn member_left(&mut self) {
        self.local.member_left();
    }

    /// A member of the local scope was declared dead.
    pub(crate) fn member_died(&mut self, now: Micros) {
        self.local.member_died(now);
        self.fleet.freeze(now);
    }

    /// Brings the count of the local scope up to date with the view of its members.
    pub(crate) fn update_local(&mut self, now: Micros, members: &MemberTable, views_agree: bool) {
        self.local.update(now, members.size(), members.unsuspected_count(), views_agree);
    }

    /// Brings the count of the fleet up to date, after that of the local scope and those of the others. `alone`: no
    /// other member of the fleet is live.
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
        // Each scope has waited until it was safe to count fewer.
        self.fleet.confirm_departures(self.last_scopes_sum.saturating_sub(scopes_sum));
        self.last_scopes_sum = scopes_sum;
        let live = if alone { 1 } else { scopes_sum };
        let unsuspected = members.unsuspected_count() + scopes.unsuspected_count();
        self.fleet.update(now, live, unsuspected, views_agree);
    }
}
