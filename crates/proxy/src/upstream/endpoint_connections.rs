//! The connections to one endpoint.

use crate::descriptors::Descriptors;
use crate::socket::Socket;
use crate::upstream::connect_time::ConnectTimeEstimate;
use crate::upstream::connection::UpstreamConnection;
use crate::upstream::limits::{ConnectionLimits, MIN_POOLED_CONNECTIONS};
use crate::upstream::preconnect::{ConnectionDemand, REUSE_COOLDOWN_US};
use crate::upstream::reuse_trust::{ReuseRule, ReuseTrust, OBSERVATION_US};
use oakport_core::Micros;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::{watch, Notify};

/// The connections to one endpoint.
pub struct EndpointConnections {
    /// The idle ones, in the order in which their reuse cooldowns end.
    pub idle: VecDeque<UpstreamConnection>,
    /// Counts all of them: idle, in use, and being connected.
    pub open: Rc<Descriptors>,
    /// Connections of earlier generations are outdated, and not pooled. Those in use may wait for a change.
    pub generation: watch::Sender<u64>,
    /// The recent calls.
    pub demand: ConnectionDemand,
    /// How long the next connect is expected to take.
    pub connect_time: ConnectTimeEstimate,
    /// Nothing is preconnected before this moment, as a connect has failed.
    pub preconnect_from: Micros,
    /// Notified when a connection is pooled that needs no cooldown.
    pub reusable: Rc<Notify>,
    /// Whether connections are reused, and how soon.
    pub trust: ReuseTrust,
}

impl Default for EndpointConnections {
    fn default() -> Self {
        EndpointConnections {
            idle: VecDeque::new(),
            open: Descriptors::new(usize::MAX),
            generation: watch::Sender::new(0),
            demand: ConnectionDemand::default(),
            connect_time: ConnectTimeEstimate::default(),
            preconnect_from: 0,
            reusable: Rc::default(),
            trust: ReuseTrust::default(),
        }
    }
}

impl EndpointConnections {
    /// Looks what has arrived on the idle connections, and closes those that have received anything. Returns whether
    /// one has received unsolicited data.
    pub fn observe(&mut self, now: Micros) -> bool {
        let readable = Socket::poll_readable(self.idle.iter().map(UpstreamConnection::socket));
        let mut readable = readable.into_iter();
        let mut is_unsolicited = false;
        self.idle.retain(|connection| {
            let is_readable = readable.next().unwrap_or(false);
            is_unsolicited |= is_readable && connection.has_unsolicited_data();
            !is_readable
        });
        if !is_unsolicited && self.idle.iter().any(|connection| is_observed(connection, now)) {
            self.trust.record_silence();
        }
        is_unsolicited
    }

    /// Records that a connection has received unsolicited data. If connections are not reused from now on, the idle ones
    /// are closed. Returns whether the distrust of the endpoint begins now.
    pub fn distrust(&mut self, now: Micros) -> bool {
        let begins = self.trust.record_unsolicited_data(now);
        if self.trust.rule(now) == ReuseRule::Never {
            self.idle.retain(|connection| !connection.has_carried_request());
        }
        // Calls may wait for a connection that is closed, or must be observed for longer.
        self.reusable.notify_waiters();
        begins
    }

    /// When the idle connection that can be reused first can be. `None` if none is idle.
    pub fn next_reusable_at(&self, now: Micros) -> Option<Micros> {
        let first = self.idle.front()?;
        Some(match self.trust.rule(now) {
            ReuseRule::AfterObservation => observed_at(first),
            ReuseRule::AfterCooldown | ReuseRule::Never => first.reusable_at,
        })
    }

    /// Takes an idle connection that may be reused now.
    pub fn take_reusable(&mut self, now: Micros, limits: &ConnectionLimits) -> Option<UpstreamConnection> {
        let rule = self.trust.rule(now);
        if rule == ReuseRule::AfterCooldown {
            return self.take_cooled_down(now, limits);
        }
        let may_reuse = |connection: &UpstreamConnection| {
            !connection.has_carried_request()
                || (rule == ReuseRule::AfterObservation && is_observed(connection, now))
        };
        // The one used last, so that surplus connections expire.
        let position = self.idle.iter().rposition(may_reuse)?;
        self.idle.remove(position)
    }

    /// Takes an idle connection whose reuse cooldown is over.
    ///
    /// Preferred is the one used last among those whose cooldown has ended at least another cooldown ago, so that
    /// surplus connections stay unused and expire; else the one that has been idle longest. That one also goes first if
    /// the demand justifies all connections and it would soon expire: connecting anew costs a handshake.
    fn take_cooled_down(&mut self, now: Micros, limits: &ConnectionLimits) -> Option<UpstreamConnection> {
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
        let connects_before = self.connect_time.expected() < remaining_cooldown;
        is_more_than_a_burst && too_many_waits && connects_before
    }

    /// Whether a connection may be preconnected now.
    pub fn may_preconnect(&self, now: Micros, limits: &ConnectionLimits) -> bool {
        self.open.open_count() < limits.max_preconnected && self.preconnect_from <= now
    }

    /// Pools a connection, unless connections to this endpoint are not reused; the one that has been idle longest is
    /// closed if there are too many.
    pub fn pool(&mut self, connection: UpstreamConnection, now: Micros, limits: &ConnectionLimits) {
        if connection.has_carried_request() && self.trust.rule(now) == ReuseRule::Never {
            return;
        }
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
        self.generation.send_replace(generation);
        self.trust.record_new_process();
    }
}

/// When a connection has been idle for [`OBSERVATION_US`] since its last response.
fn observed_at(connection: &UpstreamConnection) -> Micros {
    connection.reusable_at + (OBSERVATION_US - REUSE_COOLDOWN_US)
}

/// Whether a connection has been idle for [`OBSERVATION_US`] since a response.
fn is_observed(connection: &UpstreamConnection, now: Micros) -> bool {
    connection.has_carried_request() && observed_at(connection) <= now
}
