//! What a client has written while the receive window is open.

use super::*;

const BUFFER_BYTES: u64 = 128 * 1024;

/// Observes bytes that have arrived and are unread, at times in milliseconds, and returns what each observation shows.
fn observe(observations: &[(u64, u64, u64)]) -> Vec<Option<(u64, u64)>> {
    let began = Instant::now();
    let mut window = OpenWindow::default();
    let show = |written: Written| ((written.at - began).as_millis() as u64, written.max_position);
    let observe = |&(ms, arrived_bytes, unread_bytes): &(u64, u64, u64)| {
        let at = began + Duration::from_millis(ms);
        window.observe(Arrived { at, arrived_bytes, unread_bytes }, BUFFER_BYTES).map(show)
    };
    observations.iter().map(observe).collect()
}

#[test]
fn what_a_client_had_written_by_a_time_has_arrived_after_a_transit() {
    // Guards against a client that writes without pauses counted as one whose bytes wait for room.
    let shown = observe(&[(0, 1_000, 0), (10, 4_000, 0), (25, 9_000, 0), (50, 17_000, 500)]);
    assert_eq!(shown, [None, None, Some((0, 9_000)), Some((25, 17_000))]);
}

#[test]
fn nothing_is_known_of_a_client_while_bytes_are_unread() {
    // Guards against a full window taken for a client that writes no more.
    let shown = observe(&[(0, 1_000, 10), (25, 1_000, 10), (50, 1_000, 0), (60, 1_000, 10), (75, 2_000, 10)]);
    assert_eq!(shown, [None, None, None, None, Some((50, 2_000))]);
    assert_eq!(observe(&[(0, 1_000, 0), (25, 2_000, 10), (50, 3_000, 10)])[2], None);
}

#[test]
fn as_much_as_fits_in_the_window_shows_nothing() {
    // Guards against a buffer that was empty for a moment while more waited in the client's send buffer.
    let window = BUFFER_BYTES / MAX_BUFFER_TO_WINDOW_RATIO;
    assert_eq!(observe(&[(0, 1_000, 0), (25, 1_000 + window, window)]), [None, None]);
    assert_eq!(observe(&[(0, 1_000, 0), (25, window, 0)])[1], Some((0, window)));
}
