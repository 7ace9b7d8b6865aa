use super::*;

#[test]
fn nothing_is_pending_once_all_bytes_are_acknowledged() {
    let now = Instant::now();
    assert_eq!(PendingDelivery::begin(0, now), None);
    let pending = PendingDelivery::begin(2_000_000, now).expect("bytes are unacknowledged");
    assert_eq!(pending.update(0, now), None);
}

#[test]
fn a_delivery_stalls_when_no_more_bytes_are_acknowledged() {
    let began = Instant::now();
    let later = began + Duration::from_secs(20);
    let pending = PendingDelivery::begin(2_000_000, began).expect("bytes are unacknowledged");
    let unchanged = pending.update(2_000_000, later).expect("bytes are unacknowledged");
    assert_eq!(unchanged.stalls_at(), began + WRITE_STALL_TIMEOUT);
    let progressed = pending.update(1_999_999, later).expect("bytes are unacknowledged");
    assert_eq!(progressed.stalls_at(), later + WRITE_STALL_TIMEOUT);
}
