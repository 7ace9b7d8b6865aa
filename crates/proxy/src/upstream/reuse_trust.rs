//! Whether an endpoint is trusted to send one response for each request, and so whether its connections are reused.
//!
//! An HTTP/1.1 response carries nothing that says which request it answers: an extra one that arrives after the next
//! request has been written is taken for the response to that request. Only the past tells what an endpoint does.

use oakport_core::Micros;

/// How long a connection of an endpoint that is not yet trusted must stay silent after a response. One that has is
/// reused, and the endpoint is trusted.
pub const OBSERVATION_US: Micros = 50_000;
/// How long the connections of an endpoint that has sent unsolicited data are closed after each response.
pub const DISTRUST_US: Micros = 30_000_000;

/// How the connections of an endpoint are reused now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReuseRule {
    /// After the reuse cooldown.
    AfterCooldown,
    /// After [`OBSERVATION_US`]: nothing is known of the endpoint yet.
    AfterObservation,
    /// Not at all: the endpoint has sent unsolicited data lately.
    Never,
}

/// What the past responses of one endpoint say of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReuseTrust {
    is_trusted: bool,
    /// The end of the distrust.
    distrusted_until: Micros,
}

impl ReuseTrust {
    /// How connections are reused at this moment.
    pub fn rule(&self, now: Micros) -> ReuseRule {
        match self {
            _ if now < self.distrusted_until => ReuseRule::Never,
            ReuseTrust { is_trusted: true, .. } => ReuseRule::AfterCooldown,
            ReuseTrust { is_trusted: false, .. } => ReuseRule::AfterObservation,
        }
    }

    /// A connection has stayed silent for [`OBSERVATION_US`] after a response.
    pub fn record_silence(&mut self) {
        self.is_trusted = true;
    }

    /// The endpoint has sent data that no request asked for. Returns whether that begins its distrust.
    pub fn record_unsolicited_data(&mut self, now: Micros) -> bool {
        let begins = self.distrusted_until <= now;
        self.is_trusted = false;
        self.distrusted_until = now + DISTRUST_US;
        begins
    }

    /// Another process, of which nothing is known, has taken the endpoint's place. A distrust stays: the new process may
    /// be of the same build.
    pub fn record_new_process(&mut self) {
        self.is_trusted = false;
    }
}
