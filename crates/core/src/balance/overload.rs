//! How many calls this balancer may have out at all servers together, where an even part of what a crowded
//! server bears is under one call. Budgets never are: a burst would then fill all servers with work that
//! nobody waits for any more, and keep them full.

use super::budget::FLOOR_CONCURRENCY;
use super::state::*;

/// Calls out that a balancer starts with at the least: most are silent, and an even part starves the others.
const START_LEAST: f64 = 4.0;
/// An answer is late beyond this share of its aim.
pub(super) const LATE_AIM: f64 = 0.8;
/// Shares of late answers above which fewer calls go out, and below which more may.
const LATE_MANY: f64 = 0.35;
const LATE_FEW: f64 = 0.2;
/// Longest aims for which what a group told counts.
const FRESH_AIMS: f64 = 4.0;
/// What a cut leaves of the allowance.
const CUT: f64 = 0.7;
/// Share of an even part that is never taken away: about a call a core, which no server is too full for.
const SAFE: f64 = 0.4;
/// Least of a call that is left, where an even part is under one.
const LEAST: f64 = 0.05;

/// Calls that may be out at all servers; under 1, it is a part in time.
#[derive(Debug, Default)]
pub(crate) struct Allowance {
    /// 0: no call has gone out yet.
    pub(super) calls: f64,
    pub(super) out: u32,
    /// Share of late ones among the latest answers of each group of servers, and when the last came.
    late: BTreeMap<(ZoneId, MachineTypeId), (f64, Micros)>,
    /// Where the last cut left it: below that it grows by a call a good answer, above by one a round.
    known: f64,
    /// How long calls are out of late.
    spell: f64,
    /// No further cut before this: answers to calls sent before the last one are on the way.
    settles_at: Micros,
    /// Nothing goes out before this, where less than a call at a time is allowed.
    pub(crate) next_at: Micros,
    /// It has kept a call waiting since it last grew.
    binding: bool,
}

impl Balancer {
    /// What an even part of the servers bears, if all balancers send as much.
    fn even_part(&self) -> f64 {
        let able = self.sets.listed.len() - self.sets.aside;
        START_CONCURRENCY * able as f64 / f64::from(self.settings.proxy_count.max(1))
    }

    /// May another call go out? Few balancers are bound by their budgets alone.
    pub(super) fn may_send(&mut self) -> bool {
        if f64::from(self.settings.proxy_count) <= FLOOR_CONCURRENCY {
            return true;
        }
        let (start, now) = (self.even_part().max(START_LEAST), self.now);
        let allowance = &mut self.allowance;
        if allowance.calls == 0.0 {
            (allowance.calls, allowance.known) = (start, start);
        }
        let may = f64::from(allowance.out) + 1.0 <= allowance.calls.max(1.0) && now >= allowance.next_at;
        allowance.binding |= !may;
        may
    }

    /// A call goes out.
    pub(super) fn goes_out(&mut self) {
        let allowance = &mut self.allowance;
        allowance.out += 1;
        // Less than one at a time: it pauses for as long as the others would be out.
        let pause = if allowance.calls < 1.0 { allowance.spell / allowance.calls.max(LEAST) } else { 0.0 };
        allowance.next_at = self.now + pause as Micros;
    }

    /// A call that was out for `elapsed` is back from a group of servers, in good time or late; `None`: that
    /// tells nothing of load.
    pub(super) fn comes_back(&mut self, from: (ZoneId, MachineTypeId), elapsed: Micros, late: Option<bool>) {
        let (aim, safe) = (self.classes.longest_aim(), (self.even_part() * SAFE).max(LEAST));
        let (now, allowance) = (self.now, &mut self.allowance);
        allowance.out = allowance.out.saturating_sub(1);
        let Some(is_late) = late else { return };
        let (late, heard) = allowance.late.entry(from).or_default();
        // Few answers a second must not make it a memory of long ago.
        let gap = now.saturating_sub(*heard) as f64 / aim;
        let weight = (SMOOTHING / 2.0).max(1.0 - (-gap).exp());
        *late += (f64::from(u8::from(is_late)) - *late) * weight;
        *heard = now;
        allowance.spell += (elapsed as f64 - allowance.spell) * weight;
        // The fleet is crowded where all of it is late; what is late in one place only has a cause there.
        let fresh = |heard: Micros| now.saturating_sub(heard) as f64 <= FRESH_AIMS * aim;
        let late = allowance.late.values().filter(|l| fresh(l.1)).map(|l| l.0).fold(1.0, f64::min);
        if late > LATE_MANY && now >= allowance.settles_at {
            allowance.calls = (allowance.calls * CUT).max(safe);
            allowance.known = allowance.calls;
            allowance.settles_at = now + allowance.spell as Micros;
        } else if !is_late && late < LATE_FEW && std::mem::take(&mut allowance.binding) {
            let step = if allowance.calls < allowance.known { 1.0 } else { 1.0 / allowance.calls.max(1.0) };
            allowance.calls += step * allowance.calls.min(1.0);
        }
    }
}
