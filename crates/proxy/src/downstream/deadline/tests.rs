use super::*;

const MILLISECOND: Duration = Duration::from_millis(1);

fn times(phase: Phase, accepted_at: Instant, awaits_first_request: bool) -> ConnectionTimes {
    ConnectionTimes { phase, accepted_at, awaits_first_request, write_stalled_since: None }
}

#[test]
fn a_connection_closes_at_its_idle_or_head_timeout() {
    let accepted = Instant::now();
    let later = accepted + 5_000 * MILLISECOND;
    let idle_first = times(Phase::Idle { since: accepted }, accepted, true);
    assert_eq!(idle_first.deadline(false, None), Some(accepted + 2_400 * MILLISECOND));
    let idle = times(Phase::Idle { since: later }, accepted, false);
    assert_eq!(idle.deadline(false, None), Some(later + 2_100 * MILLISECOND));
    let first_head = times(Phase::ReadingHead { since: accepted + 1_000 * MILLISECOND }, accepted, true);
    assert_eq!(first_head.deadline(false, None), Some(accepted + 2_400 * MILLISECOND));
    let head = times(Phase::ReadingHead { since: later }, accepted, false);
    assert_eq!(head.deadline(false, None), Some(later + 2_300 * MILLISECOND));
}

#[test]
fn a_connection_at_capacity_has_shorter_idle_and_head_timeouts() {
    let accepted = Instant::now();
    let idle = times(Phase::Idle { since: accepted }, accepted, true);
    assert_eq!(idle.deadline(true, None), Some(accepted + 250 * MILLISECOND));
    let head = times(Phase::ReadingHead { since: accepted }, accepted, true);
    assert_eq!(head.deadline(true, None), Some(accepted + 1_000 * MILLISECOND));
}

#[test]
fn an_open_request_has_a_deadline_only_while_writes_to_its_client_stall() {
    let accepted = Instant::now();
    for phase in [Phase::RequestOpen, Phase::AwaitingResponse, Phase::WritingResponse] {
        let mut open = times(phase, accepted, false);
        assert_eq!(open.deadline(true, Some(accepted)), None);
        open.write_stalled_since = Some(accepted);
        assert_eq!(open.deadline(true, Some(accepted)), Some(accepted + 30_000 * MILLISECOND));
    }
}

#[test]
fn graceful_shutdown_shortens_the_timeouts_of_idle_connections_and_incomplete_heads() {
    let accepted = Instant::now();
    let began = accepted + 100 * MILLISECOND;
    let idle = times(Phase::Idle { since: accepted }, accepted, false);
    assert_eq!(idle.deadline(false, Some(began)), Some(began + 3 * MILLISECOND));
    let idle_first = times(Phase::Idle { since: accepted }, accepted, true);
    assert_eq!(idle_first.deadline(false, Some(began)), Some(began + 300 * MILLISECOND));
    let head = times(Phase::ReadingHead { since: accepted }, accepted, false);
    assert_eq!(head.deadline(false, Some(began)), Some(began + 650 * MILLISECOND));
    // A connection that is first polled after all these timeouts may still read the bytes that have arrived.
    let late = began + 2_000 * MILLISECOND;
    let late_first = times(Phase::Idle { since: late }, late, true);
    assert_eq!(late_first.deadline(false, Some(began)), Some(late + 3 * MILLISECOND));
    let late_head = times(Phase::ReadingHead { since: late }, late, true);
    assert_eq!(late_head.deadline(false, Some(began)), Some(late + 3 * MILLISECOND));
}

#[test]
fn a_connection_that_delivers_its_response_closes_when_no_bytes_are_acknowledged() {
    let accepted = Instant::now();
    let began = accepted + 100 * MILLISECOND;
    let delivery = PendingDelivery::begin(1, accepted).expect("a byte is unacknowledged");
    let delivering = times(Phase::Delivering(delivery), accepted, false);
    assert_eq!(delivering.deadline(false, None), Some(accepted + 30_000 * MILLISECOND));
    assert_eq!(delivering.deadline(false, Some(began)), Some(began + 650 * MILLISECOND));
}
