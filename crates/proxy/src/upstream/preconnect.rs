//! Estimates how many connections to an endpoint its calls need, so that one has ended its reuse cooldown when the next
//! call comes.

use oakport_core::Micros;

/// How long a connection is not used after a response; preferably it is idle for twice as long. An endpoint may write a
/// second response some milliseconds after the first. What arrives on an idle connection ends it; what arrives after
/// the next request would be taken for the response to that one.
pub const REUSE_COOLDOWN_US: Micros = 10_000;
/// The share of calls that may find only connections in their reuse cooldown before more are opened than the rate
/// justifies.
const MAX_COOLDOWN_WAIT_RATIO: f64 = 0.01;
/// So many calls may come one after another by chance. They are no sustained rate: a new connection for them would stay
/// unused.
const MAX_BURST_CALLS: f64 = 4.0;
/// A connection is justified if it is expected to be needed so many times in the time that an idle one stays pooled. It
/// is used in turn before it expires, so one handshake serves for longer than that.
const MIN_EXPECTED_USES: f64 = 0.5;
/// Calls and waits decay with this time constant: long enough for the ratio of waits to show.
const DEMAND_DECAY_US: f64 = REUSE_COOLDOWN_US as f64 / MAX_COOLDOWN_WAIT_RATIO;

/// Exponentially decaying counts of the recent calls to one endpoint, or to all.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionDemand {
    /// When the first of the calls came after a silence.
    active_since: Micros,
    /// The moment of the counts.
    updated_at: Micros,
    calls: f64,
    /// Calls that found only connections in their reuse cooldown.
    waits: f64,
}

impl ConnectionDemand {
    /// Whether no call has come for so long that those before state no rate.
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

    /// Whether more calls than the permitted share have waited, beyond so many waits that cost less than a new
    /// connection. Bursts, or a rate that has just risen, need more connections than the rate justifies.
    pub fn waits_exceed(&self, affordable_waits: f64) -> bool {
        self.waits > affordable_waits + MAX_COOLDOWN_WAIT_RATIO * self.calls
    }

    /// Whether more calls came than one short burst, after which none may follow.
    pub fn is_sustained(&self) -> bool {
        self.calls > MAX_BURST_CALLS + 1.0
    }

    /// Whether more calls have waited than in one short burst, and than the permitted share.
    pub fn waits_exceed_burst(&self) -> bool {
        self.waits > MAX_BURST_CALLS.max(MAX_COOLDOWN_WAIT_RATIO * self.calls)
    }

    /// The number of connections that the rate of calls justifies, from 1 up to `max_connections`.
    ///
    /// Of n connections the last is needed when n - 1 are in their reuse cooldown; how many are follows Poisson's
    /// distribution. It is justified if that is expected at least [`MIN_EXPECTED_USES`] times in `max_idle`
    /// microseconds.
    pub fn justified_connections(&self, max_idle: Micros, max_connections: usize) -> usize {
        if !self.is_sustained() {
            return 1;
        }
        // Without the last call: the next one will find only those before it.
        let recent_calls = self.calls - 1.0;
        // Calls that began only recently came in less than the decay time.
        let observed = self.updated_at.saturating_sub(self.active_since).max(REUSE_COOLDOWN_US);
        let observed_ratio = 1.0 - (-(observed as f64) / DEMAND_DECAY_US).exp();
        let mean_cooling_down = recent_calls * MAX_COOLDOWN_WAIT_RATIO / observed_ratio;
        // Not scaled by the time observed: a burst does not count as a rate that lasts.
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
