//! Calls and attempts at their deadlines.

use super::*;
use crate::upstream::test_support::request;

/// Guards against clients without an answer: the call table ends a call that the balancer has not ended in
/// time.
#[test]
fn a_call_that_the_balancer_does_not_end_fails_once_at_its_deadline() {
    let mut calls = CallTable::new(Rc::default(), RequestIds::new(None));
    let (call, mut answer) = calls.add(1_000, ClassId(0), request(30_000));
    assert_eq!(calls.next_deadline(), Some(31_000));
    assert!(
        calls.expire_next(30_999).is_none() && answer.try_recv().is_err(),
        "the call stays open until its deadline"
    );
    assert_eq!(calls.expire_next(31_000), Some(ExpiredTimer::Notify(Event::ClientDisconnected { call })));
    assert!(matches!(answer.try_recv(), Ok(FinalResponse::DeadlineExceeded)));
    assert_eq!((calls.open_count(), calls.calls.len(), calls.next_deadline()), (0, 0, None));
    calls.close(call, Some(FinalResponse::Failed));
    assert_eq!(calls.open_count(), 0, "closing a closed call changes nothing");
}

#[test]
fn an_attempt_that_times_out_before_its_first_byte_has_not_been_executed() {
    for (starts, expected) in [(false, Outcome::ConnectFailed), (true, Outcome::TimedOut)] {
        let mut calls = CallTable::new(Rc::default(), RequestIds::new(None));
        let (call, _answer) = calls.add(0, ClassId(0), request(9_000));
        let limits = AttemptLimits { timeout_at: Some(5_000), send_before: None };
        let outgoing = calls.add_attempt(0, call, EndpointId(3), limits).expect("an open call");
        let id = AttemptId { call, number: 0 };
        assert!(outgoing.is_wanted);
        assert_eq!(calls.timeout_of(id), Some(5_000));
        calls.timers.insert((5_000, TimerPurpose::AttemptTimeout(id)));
        let denied = calls.may_start(0, id, |_| false);
        assert_eq!(denied, StartPermission::Denied, "a draining endpoint gets no attempts");
        let permission = calls.may_start(4_000, id, |endpoint| starts && endpoint == EndpointId(3));
        assert_eq!(permission == StartPermission::Granted, starts);
        let outcome = match calls.expire_next(5_000) {
            Some(ExpiredTimer::Notify(Event::AttemptEnded { outcome, call_closed: false, .. })) => outcome,
            other => panic!("{other:?}"),
        };
        assert_eq!(outcome, expected);
        assert_eq!(
            calls.end_attempt(5_001, id, Outcome::Served.into()),
            None,
            "an attempt has only one outcome"
        );
    }
}
