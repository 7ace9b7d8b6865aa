//! How many connections to one host its calls need, so that one has rested when the next call comes.

use oakport_core::Micros;

/// A host may add to an answer some milliseconds after it (FLEET, "join+mass"; no page gives a figure). What
/// comes while the connection is idle ends it; what came after the next request would be taken for that one's
/// answer, and nothing in an answer tells whose it is (PROTOCOL). So a connection rests for this long, and by
/// preference for twice as long.
pub const REST: Micros = 10_000;
/// The share of calls that may meet only connections that have yet to rest, before more are opened than the
/// rate tells.
const SHARE: f64 = 0.01;
/// So few calls may come one after another by chance and tell of no rate: a new connection for those would be
/// kept in vain.
const FEW: f64 = 4.0;
/// A spare is kept if it is expected to be needed so often in the time for which an idle one is kept: it is
/// used in turn before it would be let go, so its one handshake serves for longer than that.
const WORTH: f64 = 0.5;
/// What came is forgotten over this time: so many rests that the share shows in them.
const MEMORY: f64 = REST as f64 / SHARE;

/// The calls of late to one host, fading.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionDemand {
    /// When the first of them came after a silence.
    since: Micros,
    at: Micros,
    calls: f64,
    waits: f64,
}

impl ConnectionDemand {
    /// No call has come for so long that those before tell of no rate.
    pub fn silent(&self, now: Micros) -> bool {
        (now.saturating_sub(self.at) as f64) > MEMORY
    }

    /// A call comes.
    pub fn call(&mut self, now: Micros) {
        if self.silent(now) {
            *self = ConnectionDemand { since: now, at: now, ..ConnectionDemand::default() };
        }
        self.fade(now);
        self.calls += 1.0;
    }

    /// It met only connections that have yet to rest.
    pub fn waits(&mut self, now: Micros) {
        self.fade(now);
        self.waits += 1.0;
    }

    /// Whether too many waited, of the calls to one host: calls that come in trains, or a rate that has just
    /// risen, need more than `need` says. So many waits cost less than a new connection.
    pub fn exceeds(&self, cheap: f64) -> bool {
        self.waits > cheap + SHARE * self.calls
    }

    /// Whether more came than one short train of calls, after which nobody may come.
    pub fn is_a_rate(&self) -> bool {
        self.calls > FEW + 1.0
    }

    /// Whether more waited than one short train makes wait, and than their share.
    pub fn exceeds_a_train(&self) -> bool {
        self.waits > FEW.max(SHARE * self.calls)
    }

    /// The connections that the rate justifies, from 1 up to `most`. Of n of them the last is needed when n -
    /// 1 rest, by Poisson's law; it is worth its handshake if that is to be expected once at least in the
    /// time for which a connection that nobody needs is kept.
    pub fn need(&self, kept_for: Micros, most: usize) -> usize {
        if !self.is_a_rate() {
            return 1;
        }
        // Without the last call, as it is with those before it that the next will meet.
        let of_late = self.calls - 1.0;
        // They may have begun only just now: then they came in less than the memory. As many as came of late
        // are expected to come again, so that a train does not count as a rate that lasts.
        let memory = 1.0 - (-(self.at.saturating_sub(self.since).max(REST) as f64) / MEMORY).exp();
        let (resting, calls) = (of_late * SHARE / memory, of_late * kept_for as f64 / MEMORY);
        let (mut exactly, mut fewer, mut need) = ((-resting).exp(), 0.0, 1);
        while need < most {
            fewer += exactly;
            exactly *= resting / need as f64;
            if calls * (1.0 - fewer) < WORTH {
                break;
            }
            need += 1;
        }
        need
    }

    fn fade(&mut self, now: Micros) {
        let share = (-(now.saturating_sub(self.at) as f64) / MEMORY).exp();
        (self.at, self.calls, self.waits) = (now, self.calls * share, self.waits * share);
    }
}
