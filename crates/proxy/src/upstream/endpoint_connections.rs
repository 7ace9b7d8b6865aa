//! The connections to one endpoint.

use crate::descriptors::Descriptors;
use crate::upstream::connection::UpstreamConnection;
use crate::upstream::limits::{ConnectionLimits, MIN_POOLED_CONNECTIONS};
use crate::upstream::preconnect::{ConnectionDemand, REUSE_COOLDOWN_US};
use oakport_core::Micros;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::Notify;

/// The connections to one endpoint.
pub struct EndpointConnections {
    /// The idle ones, in the order in which their reuse cooldowns end.
    pub idle: VecDeque<UpstreamConnection>,
    /// Counts all of them: idle, in use, and being connected.
    pub open: Rc<Descriptors>,
    /// Connections of earlier generations are not pooled.
    pub generation: u64,
    /// The recent calls.
    pub demand: ConnectionDemand,
    /// How long the last connect took, in microseconds.
    pub connect_duration: Micros,
    /// Nothing is preconnected before this moment, as a connect has failed.
    pub preconnect_from: Micros,
    /// Notified when a connection is pooled that needs no cooldown.
    pub reusable: Rc<Notify>,
}

impl Default for EndpointConnections {
    fn default() -> Self {
        EndpointConnections {
            idle: VecDeque::new(),
            open: Descriptors::new(usize::MAX),
            generation: 0,
            demand: ConnectionDemand::default(),
            connect_duration: 0,
            preconnect_from: 0,
            reusable: Rc::default(),
        }
    }
}

impl EndpointConnections {
    /// Takes an idle connection whose reuse cooldown is over.
    ///
    /// Preferred is the one used last among those whose cooldown has ended at least another cooldown ago, so that
    /// surplus connections stay unused and expire; else the one that has been idle longest. That one also goes first if
    /// the demand justifies all connections and it would soon expire: connecting anew costs a handshake.
    pub fn take_reusable(&mut self, now: Micros, limits: &ConnectionLimits) -> Option<UpstreamConnection> {
        let longest_idle = self.idle.front().filter(|connection| connection.reusable_at <= now)?;
        let expires_soon = longest_idle.reusable_at + limits.max_idle / 2 <= now;
        if expires_soon && self.open.open_count() <= self.justified(limits) {
            return self.idle.pop_front();
        }
        let twice_cooled_down =
            self.idle.partition_point(|connection| connection.reusable_at + REUSE_COOLDOWN_US <= now);
        self.idle.remove(twice_cooled_down.saturating_sub(1))
    }

    /// The number of connections that the demand justifies.
    fn justified(&self, limits: &ConnectionLimits) -> usize {
        self.demand.justified_connections(limits.max_idle, limits.max_preconnected)
    }

    /// Whether to preconnect as a response has come and its connection cools down: the demand justifies more than are
    /// open. None is open if the endpoint has closed the last; that is no demand of a call.
    pub fn needs_another(&self, limits: &ConnectionLimits) -> bool {
        let open = self.open.open_count();
        // The limit first: without capacity the demand need not be computed.
        (1..limits.max_preconnected).contains(&open) && open < self.justified(limits)
    }

    /// Whether to preconnect as a call waits for the reuse cooldown, which ends after `remaining_cooldown` microseconds:
    /// the calls are more than one short burst, too many of them have waited, and a new connection is expected before
    /// the end of the cooldown. Bursts to several endpoints, as `total_demand` shows, are more than one, too.
    pub fn waits_need_another(
        &self,
        total_demand: &ConnectionDemand,
        remaining_cooldown: Micros,
        limits: &ConnectionLimits,
    ) -> bool {
        let is_more_than_a_burst = self.demand.is_sustained() || total_demand.waits_exceed_burst();
        let too_many_waits = self.demand.waits_exceed(limits.affordable_waits);
        let connects_before = self.connect_duration < remaining_cooldown;
        is_more_than_a_burst && too_many_waits && connects_before
    }

    /// Whether a connection may be preconnected now.
    pub fn may_preconnect(&self, now: Micros, limits: &ConnectionLimits) -> bool {
        self.open.open_count() < limits.max_preconnected && self.preconnect_from <= now
    }

    /// Pools a connection; the one that has been idle longest is closed if there are too many.
    pub fn pool(&mut self, connection: UpstreamConnection, limits: &ConnectionLimits) {
        let position = self.idle.partition_point(|other| other.reusable_at <= connection.reusable_at);
        self.idle.insert(position, connection);
        if self.idle.len() > limits.max_preconnected.max(MIN_POOLED_CONNECTIONS) {
            self.idle.pop_front();
        }
    }

    /// Closes connections that have been idle for too long, and surplus ones once the calls have ceased.
    pub fn close_expired(&mut self, now: Micros, limits: &ConnectionLimits) {
        self.idle.retain(|connection| connection.reusable_at + limits.max_idle > now);
        if self.demand.has_ceased(now) {
            self.idle.drain(..self.idle.len().saturating_sub(MIN_POOLED_CONNECTIONS));
        }
    }

    /// Closes the idle connections; those in use are not pooled again if their generation is before this one.
    pub fn close_outdated(&mut self, generation: u64) {
        self.idle.clear();
        self.generation = generation;
    }
}
