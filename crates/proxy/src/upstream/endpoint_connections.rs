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
    /// Idle connections, ordered by the end of their reuse cooldown.
    pub idle: VecDeque<UpstreamConnection>,
    /// Counts all connections: idle, in use, and being opened.
    pub open: Rc<Descriptors>,
    /// Connections of earlier generations are outdated and are not pooled. Attempts can wait for a change of
    /// this value.
    pub generation: watch::Sender<u64>,
    /// The demand that recent calls show.
    pub demand: ConnectionDemand,
    /// The expected duration of the next connect.
    pub connect_time: ConnectTimeEstimate,
    /// After a failed connect, no connection is preconnected before this time.
    pub preconnect_from: Micros,
    /// Notified when a connection is pooled whose cooldown is over, and when the endpoint becomes less
    /// trusted.
    pub reusable: Rc<Notify>,
    /// Decides whether and how soon connections are reused.
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
    /// Closes the idle connections that have received data or have ended. Returns whether one of them has
    /// received unsolicited data.
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

    /// Records that a connection has received unsolicited data. Closes the idle connections that have been
    /// used, if connections are no longer reused. Returns whether the endpoint was not distrusted until now.
    pub fn distrust(&mut self, now: Micros) -> bool {
        let is_newly_distrusted = self.trust.record_unsolicited_data(now);
        if self.trust.rule(now) == ReuseRule::Never {
            self.idle.retain(|connection| !connection.has_carried_request());
        }
        // Wakes calls that wait for a connection that is now closed or must be observed for longer.
        self.reusable.notify_waiters();
        is_newly_distrusted
    }

    /// When the first idle connection becomes reusable. `None` if none is idle.
    pub fn next_reusable_at(&self, now: Micros) -> Option<Micros> {
        let first = self.idle.front()?;
        Some(match self.trust.rule(now) {
            ReuseRule::AfterObservation => observed_at(first),
            ReuseRule::AfterCooldown | ReuseRule::Never => first.reusable_at,
        })
    }

    /// Removes and returns an idle connection that may be reused now.
    pub fn take_reusable(&mut self, now: Micros, limits: &ConnectionLimits) -> Option<UpstreamConnection> {
        let rule = self.trust.rule(now);
        if rule == ReuseRule::AfterCooldown {
            return self.take_cooled_down(now, limits);
        }
        let may_reuse = |connection: &UpstreamConnection| {
            !connection.has_carried_request()
                || (rule == ReuseRule::AfterObservation && is_observed(connection, now))
        };
        // Prefers the most recently used connection, so that surplus connections expire.
        let position = self.idle.iter().rposition(may_reuse)?;
        self.idle.remove(position)
    }

    /// Removes and returns an idle connection whose reuse cooldown is over.
    ///
    /// Prefers the most recently used connection among those whose cooldown ended at least another cooldown
    /// ago, so that surplus connections stay unused and expire; otherwise uses the one that has been idle
    /// longest. The latter is also preferred if the demand justifies all connections and it would soon
    /// expire, as a new one costs a handshake.
    fn take_cooled_down(&mut self, now: Micros, limits: &ConnectionLimits) -> Option<UpstreamConnection> {
        let longest_idle = self.idle.front().filter(|connection| connection.reusable_at <= now)?;
        let expires_soon = longest_idle.reusable_at + limits.max_idle / 2 <= now;
        if expires_soon && self.open.open_count() <= self.justified_count(limits) {
            return self.idle.pop_front();
        }
        let twice_cooled_down =
            self.idle.partition_point(|connection| connection.reusable_at + REUSE_COOLDOWN_US <= now);
        self.idle.remove(twice_cooled_down.saturating_sub(1))
    }

    /// The number of connections that the demand justifies.
    fn justified_count(&self, limits: &ConnectionLimits) -> usize {
        self.demand.justified_connections(limits.max_idle, limits.max_preconnected)
    }

    /// Whether to preconnect after a response, while its connection is in its reuse cooldown: the demand
    /// justifies more connections than are open. False if none is open: the endpoint has closed the last one,
    /// which shows no demand.
    pub fn needs_another(&self, limits: &ConnectionLimits) -> bool {
        let open = self.open.open_count();
        // Checks the limit first, so that the demand is not computed at capacity.
        (1..limits.max_preconnected).contains(&open) && open < self.justified_count(limits)
    }

    /// Whether to preconnect because a call waits for the reuse cooldown, which ends in `remaining_cooldown`
    /// microseconds: there were more calls than one short burst, too many of them have waited, and a new
    /// connection is expected to open before the cooldown ends. Bursts to several endpoints, as seen in
    /// `total_demand`, also count as more than one burst.
    pub fn waits_need_another(
        &self,
        total_demand: &ConnectionDemand,
        remaining_cooldown: Micros,
        limits: &ConnectionLimits,
    ) -> bool {
        let exceeds_burst = self.demand.is_sustained() || total_demand.waits_exceed_burst();
        let too_many_waits = self.demand.waits_exceed(limits.affordable_waits);
        let connects_in_time = self.connect_time.expected() < remaining_cooldown;
        exceeds_burst && too_many_waits && connects_in_time
    }

    /// Whether a connection may be preconnected now.
    pub fn may_preconnect(&self, now: Micros, limits: &ConnectionLimits) -> bool {
        self.open.open_count() < limits.max_preconnected && self.preconnect_from <= now
    }

    /// Adds a connection to the pool, unless connections to this endpoint are not reused. Closes the
    /// connection that has been idle longest if the pool exceeds its limit.
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

    /// Closes the idle connections. Those in use are not pooled again if their generation is earlier than
    /// `generation`.
    pub fn close_outdated(&mut self, generation: u64) {
        self.idle.clear();
        self.generation.send_replace(generation);
        self.trust.record_new_process();
    }
}

/// When a connection will have been idle for [`OBSERVATION_US`] since its last response.
fn observed_at(connection: &UpstreamConnection) -> Micros {
    connection.reusable_at + (OBSERVATION_US - REUSE_COOLDOWN_US)
}

/// Whether a connection has been idle for [`OBSERVATION_US`] since a response.
fn is_observed(connection: &UpstreamConnection, now: Micros) -> bool {
    connection.has_carried_request() && observed_at(connection) <= now
}
