//! Whether an endpoint is trusted to send one response for each request, and so whether its connections are reused.
//!
//! An HTTP/1.1 response carries nothing that says which request it answers: an extra one that arrives after the next
//! request has been written is taken for the response to that request. Only the past tells what an endpoint does.

use oakport_core::Micros;

/// How long a connection of an endpoint that is not trusted must stay silent after a response. One that has is reused, and
/// an endpoint of which nothing was known is trusted.
pub const OBSERVATION_US: Micros = 50_000;
/// How long an endpoint is not trusted after it has sent unsolicited data.
pub const DISTRUST_US: Micros = 30_000_000;
/// Connections in a row that received unsolicited data after which no connection is reused.
const MAX_CONSECUTIVE_OFFENCES: u32 = 2;

/// How the connections of an endpoint are reused now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReuseRule {
    /// After the reuse cooldown.
    AfterCooldown,
    /// After [`OBSERVATION_US`]: nothing is known of the endpoint yet, or it has sent unsolicited data lately.
    AfterObservation,
    /// Not at all: the endpoint has sent unsolicited data several times in a row.
    Never,
}

/// What the past responses of one endpoint say of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReuseTrust {
    /// A connection has stayed silent since the process of the endpoint is known.
    has_been_silent: bool,
    /// Connections that received unsolicited data since one last stayed silent.
    consecutive_offences: u32,
    /// The end of the distrust.
    distrusted_until: Micros,
    /// No connection is reused before this moment.
    unused_until: Micros,
}

impl ReuseTrust {
    /// How connections are reused at this moment.
    pub fn rule(&self, now: Micros) -> ReuseRule {
        if now < self.unused_until {
            ReuseRule::Never
        } else if now < self.distrusted_until || !self.has_been_silent {
            ReuseRule::AfterObservation
        } else {
            ReuseRule::AfterCooldown
        }
    }

    /// A connection has stayed silent for [`OBSERVATION_US`] after a response.
    pub fn record_silence(&mut self) {
        self.has_been_silent = true;
        self.consecutive_offences = 0;
    }

    /// A connection has received data that no request asked for. Returns whether the distrust of the endpoint begins now.
    pub fn record_unsolicited_data(&mut self, now: Micros) -> bool {
        let begins = self.distrusted_until <= now;
        self.distrusted_until = now + DISTRUST_US;
        self.consecutive_offences += 1;
        if self.consecutive_offences >= MAX_CONSECUTIVE_OFFENCES {
            self.unused_until = self.distrusted_until;
        }
        begins
    }

    /// Another process, of which nothing is known, has taken the endpoint's place. A distrust stays: the new process may
    /// be of the same build.
    pub fn record_new_process(&mut self) {
        self.has_been_silent = false;
    }
}
