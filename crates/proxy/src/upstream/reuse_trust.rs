//! Tracks whether an endpoint is trusted to send exactly one response per request, which decides whether its
//! connections are reused.
//!
//! An HTTP/1.1 response does not identify the request that it answers: an extra response that arrives after
//! the next request has been written is taken for the response to that request. Only past behaviour shows
//! whether an endpoint sends extra responses.

use oakport_core::Micros;

/// How long a connection of an endpoint that is not trusted must stay silent after a response. After that it
/// is reused, and an endpoint about which nothing was known becomes trusted.
pub const OBSERVATION_US: Micros = 50_000;
/// How long an endpoint is not trusted after it has sent unsolicited data.
pub const DISTRUST_US: Micros = 30_000_000;
/// No connection is reused after this many connections in succession have received unsolicited data.
const MAX_CONSECUTIVE_VIOLATIONS: u32 = 2;

/// When connections to an endpoint may be reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReuseRule {
    /// After the reuse cooldown.
    AfterCooldown,
    /// After [`OBSERVATION_US`]: nothing is known about the endpoint yet, or it has recently sent unsolicited
    /// data.
    AfterObservation,
    /// Not at all: the endpoint has sent unsolicited data several times in a row.
    Never,
}

/// The trust in one endpoint, based on its past responses.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReuseTrust {
    /// A connection to the current process of the endpoint has stayed silent after a response.
    has_been_silent: bool,
    /// Connections that have received unsolicited data since one last stayed silent.
    consecutive_violations: u32,
    /// When the distrust ends.
    distrusted_until: Micros,
    /// No connection is reused before this time.
    no_reuse_until: Micros,
}

impl ReuseTrust {
    /// The rule that applies at this time.
    pub fn rule(&self, now: Micros) -> ReuseRule {
        if now < self.no_reuse_until {
            ReuseRule::Never
        } else if now < self.distrusted_until || !self.has_been_silent {
            ReuseRule::AfterObservation
        } else {
            ReuseRule::AfterCooldown
        }
    }

    /// Records that a connection has stayed silent for [`OBSERVATION_US`] after a response.
    pub fn record_silence(&mut self) {
        self.has_been_silent = true;
        self.consecutive_violations = 0;
    }

    /// Records unsolicited data on a connection. Returns whether the endpoint was not distrusted until now.
    pub fn record_unsolicited_data(&mut self, now: Micros) -> bool {
        let is_newly_distrusted = self.distrusted_until <= now;
        self.distrusted_until = now + DISTRUST_US;
        self.consecutive_violations += 1;
        if self.consecutive_violations >= MAX_CONSECUTIVE_VIOLATIONS {
            self.no_reuse_until = self.distrusted_until;
        }
        is_newly_distrusted
    }

    /// Records that another process, about which nothing is known, has replaced the endpoint. Existing
    /// distrust remains, because the new process may run the same build.
    pub fn record_new_process(&mut self) {
        self.has_been_silent = false;
    }
}
