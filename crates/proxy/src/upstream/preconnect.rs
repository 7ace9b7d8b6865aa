//! Estimates how many connections an endpoint's calls need, so that the reuse cooldown of one is over when
//! the next call arrives.

use oakport_core::Micros;

/// How long a connection is not reused after a response; connections idle for twice as long are preferred. An
/// endpoint may write a second response some milliseconds after the first. Data that arrives on an idle
/// connection closes it; data that arrives after the next request would be taken for the response to that
/// request.
pub const REUSE_COOLDOWN_US: Micros = 10_000;
/// The share of calls that may find only connections in their reuse cooldown before more connections are
/// opened than the call rate justifies.
const MAX_COOLDOWN_WAIT_RATIO: f64 = 0.01;
/// Up to this many calls in succession count as a coincidence, not as a sustained rate: a new connection for
/// them would stay unused.
const MAX_BURST_CALLS: f64 = 4.0;
/// A connection is justified if it is expected to be needed at least this many times while an idle one stays
/// pooled. It is used in rotation before it expires, so that one handshake serves for longer than that.
const MIN_EXPECTED_USES: f64 = 0.5;
/// Time constant of the decay of calls and waits, long enough to measure the ratio of waits.
const DEMAND_DECAY_US: f64 = REUSE_COOLDOWN_US as f64 / MAX_COOLDOWN_WAIT_RATIO;

/// Exponentially decaying counts of the recent calls to one endpoint, or to all.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionDemand {
    /// When the first call arrived after a period without calls.
    active_since: Micros,
    /// The time to which the counts have been decayed.
    updated_at: Micros,
    calls: f64,
    /// Calls that found only connections in their reuse cooldown.
    waits: f64,
}

impl ConnectionDemand {
    /// Whether the last call was so long ago that the counts no longer indicate a call rate.
    pub fn has_ceased(&self, now: Micros) -> bool {
        (now.saturating_sub(self.updated_at) as f64) > DEMAND_DECAY_US
    }

    /// Counts a call.
    pub fn record_call(&mut self, now: Micros) {
        if self.has_ceased(now) {
            *self = ConnectionDemand { active_since: now, updated_at: now, ..ConnectionDemand::default() };
        }
        self.decay(now);
        self.calls += 1.0;
    }

    /// Counts a call that found only connections in their reuse cooldown.
    pub fn record_wait(&mut self, now: Micros) {
        self.decay(now);
        self.waits += 1.0;
    }

    /// Whether more calls than the permitted share have waited, not counting the waits that cost less than a
    /// new connection. Bursts, or a rate that has just risen, need more connections than the rate justifies.
    pub fn waits_exceed(&self, affordable_waits: f64) -> bool {
        self.waits > affordable_waits + MAX_COOLDOWN_WAIT_RATIO * self.calls
    }

    /// Whether there were more calls than in one short burst, which no further calls may follow.
    pub fn is_sustained(&self) -> bool {
        self.calls > MAX_BURST_CALLS + 1.0
    }

    /// Whether the waits exceed both one short burst and the permitted share of calls.
    pub fn waits_exceed_burst(&self) -> bool {
        self.waits > MAX_BURST_CALLS.max(MAX_COOLDOWN_WAIT_RATIO * self.calls)
    }

    /// The number of connections that the rate of calls justifies, from 1 up to `max_connections`.
    ///
    /// Of n connections the last is needed when n - 1 are in their reuse cooldown; the number in cooldown
    /// follows a Poisson distribution. The last one is justified if it is expected to be needed at least
    /// [`MIN_EXPECTED_USES`] times in `max_idle` microseconds.
    pub fn justified_connections(&self, max_idle: Micros, max_connections: usize) -> usize {
        if !self.is_sustained() {
            return 1;
        }
        // Excludes the latest call: a call shares the connections only with the calls before it.
        let recent_calls = self.calls - 1.0;
        // If the calls began only recently, the counts cover less than the decay time.
        let observed = self.updated_at.saturating_sub(self.active_since).max(REUSE_COOLDOWN_US);
        let observed_ratio = 1.0 - (-(observed as f64) / DEMAND_DECAY_US).exp();
        let mean_cooling_down = recent_calls * MAX_COOLDOWN_WAIT_RATIO / observed_ratio;
        // Not scaled up for a short observation: a burst does not count as a sustained rate.
        let expected_calls = recent_calls * max_idle as f64 / DEMAND_DECAY_US;
        let mut probability_of_count = (-mean_cooling_down).exp();
        let mut probability_of_fewer = 0.0;
        let mut justified = 1;
        while justified < max_connections {
            probability_of_fewer += probability_of_count;
            probability_of_count *= mean_cooling_down / justified as f64;
            if expected_calls * (1.0 - probability_of_fewer) < MIN_EXPECTED_USES {
                break;
            }
            justified += 1;
        }
        justified
    }

    fn decay(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        let remaining_ratio = (-elapsed / DEMAND_DECAY_US).exp();
        self.updated_at = now;
        self.calls *= remaining_ratio;
        self.waits *= remaining_ratio;
    }
}
