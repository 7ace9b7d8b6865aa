//! Calls from arrival to end: their attempts, who waits in which order, and when each is due. It files what is done
//! and decides nothing.

use crate::action::*;
use crate::event::*;
use crate::ids::*;
use crate::settings::*;
use crate::timetable::Timetable;
use std::collections::{HashMap, VecDeque};
use std::ops::Index;

/// What an attempt may have done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    Out,
    NeverRan,
    MayHaveRan,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) server: EndpointId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) sent: Micros,
    pub(crate) trial: bool,
    /// What its server held for its size, where it had told.
    pub(crate) crowd: f64,
    /// Its answer has begun to flow: the server has done its work.
    pub(crate) flows: bool,
    pub(crate) effect: Effect,
}

/// A call from its arrival until it has ended and no attempt is out.
#[derive(Debug, Default)]
pub(crate) struct Call {
    pub(crate) class: Class,
    /// Attempts that it was allowed when it came.
    pub(crate) most: u32,
    pub(crate) class_id: usize,
    pub(crate) arrived: Micros,
    /// When its client first asked, as far as can be told.
    pub(crate) asked: Micros,
    pub(crate) deadline: Micros,
    pub(crate) attempts: Vec<Attempt>,
    /// It may still draw a cold server.
    pub(crate) lot: bool,
    /// From 0 to 1: it goes to groups of at least this share.
    pub(crate) chance: f64,
    /// Servers asked for their load, and since when; the call goes to one of them.
    pub(crate) asks: Vec<EndpointId>,
    pub(crate) asks_at: Micros,
    /// It asks again from then on, and how often it has found all full.
    pub(crate) ask_next: Micros,
    pub(crate) found_full: u32,
    pub(crate) held: bool,
    pub(crate) streaming: bool,
    pub(crate) ended: bool,
}

impl Call {
    /// Attempts in flight.
    pub(crate) fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.effect == Effect::Out).count()
    }

    /// The first attempt that may have run: the one that binds a guarded call.
    pub(crate) fn binding(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.effect != Effect::NeverRan)
    }

    /// Until when an answer earns something.
    pub(crate) fn aim_at(&self) -> Micros {
        let aim = if self.class.late_weight_ratio > 0.0 {
            self.class.client_timeout
        } else {
            self.class.latency_objective
        };
        self.deadline.min(self.asked.saturating_add(aim))
    }

    /// Has none of its attempts gone there?
    pub(crate) fn untried(&self, server: EndpointId) -> bool {
        self.attempts.iter().all(|a| a.server != server)
    }
}

/// All calls, those that wait in their order, and the moment at which each is due.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    calls: HashMap<CallId, Call>,
    hold: VecDeque<CallId>,
    pub(crate) wakes: Timetable<CallId>,
}

impl Index<CallId> for Ledger {
    type Output = Call;

    fn index(&self, id: CallId) -> &Call {
        &self.calls[&id]
    }
}

impl Ledger {
    pub(crate) fn get(&self, id: CallId) -> Option<&Call> {
        self.calls.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: CallId) -> Option<&mut Call> {
        self.calls.get_mut(&id)
    }

    pub(crate) fn open(&mut self, id: CallId, call: Call) {
        self.calls.insert(id, call);
    }

    /// Calls that wait, the first to go first.
    pub(crate) fn hold(&self) -> &VecDeque<CallId> {
        &self.hold
    }

    /// Lets a call wait, behind all others or before them, until `wake` at the latest.
    pub(crate) fn wait(&mut self, id: CallId, first: bool, wake: Micros) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.held = true;
        call.asks.clear();
        self.wakes.set(id, Some(wake));
        if first {
            self.hold.push_front(id);
        } else {
            self.hold.push_back(id);
        }
    }

    /// Takes out the call that waits at this place of the hold.
    pub(crate) fn take(&mut self, index: usize) {
        if let Some(call) = self.hold.remove(index).and_then(|id| self.calls.get_mut(&id)) {
            call.held = false;
        }
    }

    /// Notes an attempt's end; late, double and unknown ones change nothing.
    pub(crate) fn attempt_over(
        &mut self,
        id: CallId,
        attempt: u32,
        outcome: Outcome,
    ) -> Option<(Attempt, usize)> {
        let call = self.calls.get_mut(&id)?;
        let tried = call.attempts.get_mut(attempt as usize).filter(|a| a.effect == Effect::Out)?;
        tried.effect = if outcome.proves_not_started() { Effect::NeverRan } else { Effect::MayHaveRan };
        Some((*tried, call.class_id))
    }

    /// The answer of an attempt has begun to flow: its call waits for nothing else. Tells the attempt the first time.
    pub(crate) fn flows(&mut self, id: CallId, attempt: u32) -> Option<(Attempt, usize)> {
        let call = self.calls.get_mut(&id)?;
        call.streaming = true;
        self.wakes.set(id, None);
        let tried = call.attempts.get_mut(attempt as usize).filter(|a| a.effect == Effect::Out)?;
        let before = *tried;
        (!std::mem::replace(&mut tried.flows, true)).then_some((before, call.class_id))
    }

    /// The attempts of a call that are out and may be called off: all but `but` and those whose answers flow.
    pub(crate) fn losers(&self, id: CallId, but: Option<u32>) -> impl Iterator<Item = Action> + '_ {
        let attempts = self.calls.get(&id).map_or(&[][..], |c| &c.attempts);
        let stays = move |n: u32, a: &Attempt| a.effect != Effect::Out || a.flows || Some(n) == but;
        let out = (0..).zip(attempts).filter(move |(n, a)| !stays(*n, a));
        out.map(move |(attempt, _)| Action::Cancel { call: id, attempt })
    }

    /// The call has had its final answer.
    pub(crate) fn end(&mut self, id: CallId) {
        self.wakes.set(id, None);
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.ended = true;
        call.asks.clear();
        if std::mem::take(&mut call.held) {
            if let Some(index) = self.hold.iter().position(|&held| held == id) {
                self.hold.remove(index);
            }
        }
    }

    /// Drops a call that has ended and has no attempt out.
    pub(crate) fn forget(&mut self, id: CallId) {
        if self.calls.get(&id).is_some_and(|c| c.ended && c.out() == 0) {
            self.calls.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_wait_in_order_and_leave_the_hold_however_they_end() {
        let mut ledger = Ledger::default();
        for id in 1..=4 {
            ledger.open(CallId(id), Call::default());
            ledger.wait(CallId(id), id == 4, 10 * id);
        }
        assert_eq!(ledger.hold(), &[4, 1, 2, 3].map(CallId));
        ledger.end(CallId(1));
        ledger.take(0);
        assert_eq!(ledger.hold(), &[2, 3].map(CallId));
        assert!(!ledger[CallId(4)].held && ledger[CallId(3)].held);
        assert_eq!(
            (ledger.wakes.next(), ledger.wakes.pop(19), ledger.wakes.pop(20)),
            (Some(20), None, Some(CallId(2)))
        );
        ledger.forget(CallId(1));
        ledger.forget(CallId(2));
        assert!(ledger.get(CallId(1)).is_none() && ledger.get(CallId(2)).is_some(), "only what has ended");
    }

    #[test]
    fn an_attempt_ends_once_and_a_call_with_one_out_is_kept() {
        let mut ledger = Ledger::default();
        let (zone, cell, server) = (ZoneId(0), CellId(0), EndpointId(1));
        let attempt = Attempt {
            server,
            zone,
            cell,
            sent: 0,
            trial: false,
            crowd: 0.0,
            flows: false,
            effect: Effect::Out,
        };
        let call = CallId(7);
        ledger.open(call, Call { attempts: vec![attempt, attempt], ..Call::default() });
        assert!(ledger.attempt_over(call, 0, Outcome::ConnectFailed).is_some());
        assert!(ledger.attempt_over(call, 0, Outcome::Served).is_none(), "once");
        assert!(ledger.attempt_over(call, 9, Outcome::Served).is_none());
        assert_eq!(ledger.losers(call, None).collect::<Vec<_>>(), [Action::Cancel { call, attempt: 1 }]);
        assert_eq!(ledger.losers(call, Some(1)).count(), 0);
        ledger.end(call);
        ledger.forget(call);
        assert_eq!(ledger.get(call).map(Call::out), Some(1));
        ledger.attempt_over(call, 1, Outcome::Served);
        ledger.forget(call);
        assert!(ledger.get(call).is_none());
    }
}
