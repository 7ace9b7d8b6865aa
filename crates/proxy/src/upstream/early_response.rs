//! Delays responses that come sooner than their requests can have been answered, until their connections show whether
//! they are extra responses to earlier requests.

use crate::upstream::connection::UpstreamConnection;
use crate::upstream::pool::ConnectionPool;
use oakport_core::{ClassId, Micros};
use std::time::Duration;
use tokio::time::sleep;
use tracing::warn;

/// The time left to an attempt is at least this many times the delay of its response.
const MIN_REMAINING_TIME_TO_DELAY_RATIO: Micros = 2;

/// A request that has been sent to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    pub class: ClassId,
    /// When it was sent.
    pub at: Micros,
    /// The connection had carried another request before.
    pub is_connection_reused: bool,
    /// The time left to the attempt when it was sent.
    pub remaining_time: Micros,
}

impl SentRequest {
    /// Whether the complete response that has arrived answers this request. Waits in the case of an early one: if it answers
    /// an earlier request, the response to this one follows.
    pub async fn is_confirmed(&self, pool: &ConnectionPool, connection: &mut UpstreamConnection) -> bool {
        let response_time = pool.clock.now().saturating_sub(self.at);
        if let Some(delay) = self.confirmation_time(pool, response_time) {
            pool.metrics.count_early_response();
            connection.end_exchange();
            if connection.is_alive().await {
                tokio::select! {
                    () = connection.socket().arrival() => {}
                    () = sleep(delay) => {}
                }
            }
            if connection.has_unsolicited_data() {
                warn!(response_time_us = response_time, "early response followed by another");
                return false;
            }
        }
        pool.response_times.borrow_mut().record(self.class, response_time);
        true
    }

    /// How long to wait whether another response follows. `None` if this one is not early, or the first on its connection.
    fn confirmation_time(&self, pool: &ConnectionPool, response_time: Micros) -> Option<Duration> {
        let times = pool.response_times.borrow();
        let confirmation_time = times
            .confirmation_time_if_early(self.class, response_time)
            .filter(|_| self.is_connection_reused)?;
        let remaining_time = self.remaining_time.saturating_sub(response_time);
        let max_delay = remaining_time / MIN_REMAINING_TIME_TO_DELAY_RATIO;
        Some(Duration::from_micros(confirmation_time.min(max_delay)))
    }
}
