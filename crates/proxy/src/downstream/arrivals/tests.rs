//! The arrival of bytes that are read later.

use super::*;
use std::time::Duration;

#[test]
fn bytes_count_from_their_arrival_and_not_from_their_read() {
    // Guards against a client timeout that begins with the read.
    let began = Instant::now();
    let at = |ms| began + Duration::from_millis(ms);
    let arrivals = Arrivals::new(began);
    arrivals.record_read(at(1), 100);
    assert_eq!(arrivals.arrived_at(100), Some(at(1)), "first seen when it was read");
    assert_eq!(arrivals.arrived_at(101), None, "not arrived");
    arrivals.record_unread(at(10), 50);
    arrivals.record_unread(at(20), 50);
    arrivals.record_unread(at(30), 80);
    assert_eq!(arrivals.arrived_at(150), Some(at(10)));
    assert_eq!(arrivals.arrived_at(151), Some(at(30)), "seen with the next sample");
    assert_eq!(arrivals.arrived_at(181), None, "not arrived");
    assert_eq!(arrivals.latest(), at(30));
    arrivals.record_read(at(40), 50);
    assert_eq!(arrivals.arrived_at(150), Some(at(10)), "the byte that was read last");
    arrivals.record_read(at(50), 30);
    assert_eq!(arrivals.latest(), at(30), "no byte has arrived since");
    assert_eq!(arrivals.arrived_at(180), Some(at(30)));
    arrivals.record_read(at(60), 1);
    assert_eq!((arrivals.arrived_at(181), arrivals.latest()), (Some(at(60)), at(60)));
}
