//! The live proxy count: the conditions and the size of its decreases.

use oakport_membership::{LiveCount, Micros};

const SECOND: Micros = 1_000_000;
const MILLI: Micros = 1_000;

/// Updates the count each second, with all live members in agreement.
fn update_each_second(count: &mut LiveCount, from: u64, to: u64, live: usize) -> usize {
    for second in from..to {
        count.update(second * SECOND, live, live, true);
    }
    count.get()
}

#[test]
fn a_frozen_live_count_falls_by_announced_and_confirmed_departures_only() {
    // Fewer members are live than configured: one departure does not confirm that others departed.
    let mut count = LiveCount::new(0, 60);
    count.member_left();
    assert_eq!(update_each_second(&mut count, 2, 50, 11), 59);
    assert_eq!(
        update_each_second(&mut count, 50, 60, 11),
        59,
        "frozen until the view has agreed for a minute"
    );
    assert_eq!(update_each_second(&mut count, 60, 120, 11), 11);
    // A third of the members is suspected within the same three seconds, with deaths and a departure among
    // them: a partition.
    let mut count = LiveCount::new(0, 30);
    update_each_second(&mut count, 0, 100, 30);
    for (silent, at) in (0..10).zip(101..) {
        count.member_suspected(101 * SECOND + silent * 200 * MILLI);
        if silent < 2 {
            count.member_died(at * SECOND + MILLI);
        }
    }
    count.member_left();
    assert!(count.suspects_partition());
    assert_eq!(
        update_each_second(&mut count, 103, 150, 19),
        29,
        "only the announced departure lowers the count"
    );
    assert_eq!(update_each_second(&mut count, 200, 240, 19), 19);
    // Without other members, the count returns to the configured count: not below it, and not at once.
    assert_eq!(update_each_second(&mut count, 240, 260, 1), 30);
    let mut count = LiveCount::new(0, 4);
    update_each_second(&mut count, 0, 100, 20);
    count.member_died(100 * SECOND);
    assert_eq!(update_each_second(&mut count, 100, 103, 1), 20);
    assert_eq!(update_each_second(&mut count, 103, 150, 1), 19);
    assert_eq!(update_each_second(&mut count, 160, 260, 1), 4);
}
