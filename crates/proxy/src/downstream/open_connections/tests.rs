use super::*;

fn counts(open: &OpenConnections) -> [usize; 4] {
    let counts = open.counts();
    [counts.connections, counts.incomplete_requests, counts.awaiting_response, counts.writing_response]
}

#[test]
fn a_connection_is_counted_under_its_latest_activity_only() {
    let open = Rc::<OpenConnections>::default();
    let connection = open.open();
    assert_eq!(counts(&open), [1, 0, 0, 0]);
    for (activity, expected) in [
        (Activity::IncompleteRequest, [1, 1, 0, 0]),
        (Activity::AwaitingResponse, [1, 0, 1, 0]),
        (Activity::AwaitingResponse, [1, 0, 1, 0]),
        (Activity::WritingResponse, [1, 0, 0, 1]),
        (Activity::NoRequest, [1, 0, 0, 0]),
        (Activity::IncompleteRequest, [1, 1, 0, 0]),
    ] {
        connection.set_activity(activity);
        assert_eq!(counts(&open), expected, "{activity:?}");
    }
}

#[test]
fn a_dropped_connection_is_removed_from_the_counts_whatever_its_activity() {
    let open = Rc::<OpenConnections>::default();
    let remaining = open.open();
    remaining.set_activity(Activity::AwaitingResponse);
    for activity in [
        Activity::NoRequest,
        Activity::IncompleteRequest,
        Activity::AwaitingResponse,
        Activity::WritingResponse,
    ] {
        let connection = open.open();
        connection.set_activity(activity);
        assert_eq!(open.counts().connections, 2);
        drop(connection);
        assert_eq!(counts(&open), [1, 0, 1, 0], "{activity:?}");
    }
}
