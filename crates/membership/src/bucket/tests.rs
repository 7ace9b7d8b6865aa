use super::*;

/// Takes as much as goes, and tells whether any did.
fn sends(bucket: &mut Bucket, now: Micros, weight: Weight, length: usize) -> bool {
    let room = bucket.room(now, weight, length.min(60), length);
    room.map(|room| bucket.take(room)).is_some()
}

/// However much a process has to say and to give, it tells its scope five times a second how many there are
/// elsewhere; who is not told holds a living scope silent after 5 s.
#[test]
fn records_go_whatever_news_there_are() {
    let (mut bucket, mut told) = (Bucket::new(0), 0);
    for now in (0..10_000_000).step_by(10_000) {
        // More than the bound lets go.
        while sends(&mut bucket, now, Weight::News, 1_400) {}
        sends(&mut bucket, now, Weight::Vital, 1_400);
        if now % 200_000 == 0 {
            told += usize::from(sends(&mut bucket, now, Weight::Record, 760));
        }
    }
    assert!(told >= 45, "{told} of 50");
}

/// The bound holds in any second, whatever is to be sent.
#[test]
fn no_second_sees_more_than_the_bound() {
    let mut bucket = Bucket::new(0);
    let mut sent = Vec::new();
    for now in (0..10_000_000).step_by(1_000) {
        for (weight, length) in [(Weight::Record, 760), (Weight::News, 1_400), (Weight::Vital, 1_400)] {
            let room = bucket.room(now, weight, length.min(60), length);
            if let Some(room) = room {
                bucket.take(room);
                sent.push((now, room + HEADERS));
            }
        }
    }
    for (begin, _) in &sent {
        let second = sent.iter().filter(|(at, _)| (*begin..begin + 1_000_000).contains(at));
        let bytes: usize = second.map(|(_, bytes)| bytes).sum();
        assert!(bytes as f64 <= RATE + DEPTH + DEBT, "{bytes} in the second from {begin}");
    }
}
