//! Tests of the call table and the request queue.

use super::*;

#[test]
fn queued_calls_keep_their_order_and_leave_the_queue_when_dequeued_or_ended() {
    let mut calls = CallTable::default();
    for id in 1..=4 {
        let position = if id == 4 { QueuePosition::Front } else { QueuePosition::Back };
        calls.insert(CallId(id), Call::default());
        calls.enqueue(CallId(id), position, 10 * id);
    }
    assert_eq!(calls.queue(), &[4, 1, 2, 3].map(CallId));
    calls.end(CallId(1));
    calls.dequeue(0);
    assert_eq!(calls.queue(), &[2, 3].map(CallId));
    assert!(!calls[CallId(4)].queued && calls[CallId(3)].queued);
    assert_eq!(calls.timers.next_deadline(), Some(20));
    assert_eq!(calls.timers.pop_expired(19), None);
    assert_eq!(calls.timers.pop_expired(20), Some(CallId(2)));
    calls.remove_if_done(CallId(1));
    calls.remove_if_done(CallId(2));
    assert!(
        calls.get(CallId(1)).is_none() && calls.get(CallId(2)).is_some(),
        "only the ended call is removed"
    );
}

#[test]
fn an_attempt_ends_only_once_and_a_call_with_an_attempt_in_flight_is_not_removed() {
    let mut calls = CallTable::default();
    let attempt = Attempt {
        endpoint: EndpointId(1),
        zone: ZoneId(0),
        cell: CellId(0),
        sent_at: 0,
        is_trial: false,
        polled_load: 0.0,
        response_started: false,
        occupies_capacity: true,
        execution: Execution::InFlight,
    };
    let call = CallId(7);
    calls.insert(call, Call { attempts: vec![attempt, attempt], ..Call::default() });
    assert!(calls.end_attempt(call, 0, Outcome::ConnectFailed).is_some());
    assert!(calls.end_attempt(call, 0, Outcome::Served).is_none(), "an attempt ends only once");
    assert!(calls.end_attempt(call, 9, Outcome::Served).is_none());
    assert_eq!(calls.cancel_losers(call, None).collect::<Vec<_>>(), [Action::Cancel { call, attempt: 1 }]);
    assert_eq!(calls.cancel_losers(call, Some(1)).count(), 0);
    calls.end(call);
    calls.remove_if_done(call);
    assert_eq!(calls.get(call).map(Call::attempts_in_flight), Some(1));
    calls.end_attempt(call, 1, Outcome::Served);
    calls.remove_if_done(call);
    assert!(calls.get(call).is_none());
}
