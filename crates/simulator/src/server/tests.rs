//! Work, slow starts and faults of one server.

use super::*;
use crate::scenario::CongestionSpec;

fn run(server: &mut Server, mut now: Micros) -> Vec<(usize, Micros)> {
    let mut ends = Vec::new();
    while let Some(at) = server.next_end(now) {
        now = at;
        while let Some(attempt) = server.pop_finished(now) {
            ends.push((attempt, now));
        }
    }
    ends
}

#[test]
fn active_requests_share_the_cores_and_others_wait_for_slots() {
    let spec = ServerSpec { cores: 2.0, slots: 4, queue_capacity: 1, ..ServerSpec::default() };
    let mut server = Server::new(&spec, 0, 0);
    let taken: Vec<Admission> = (0..6).map(|attempt| server.admit(0, attempt, 10_000.0)).collect();
    assert_eq!(
        taken,
        [
            Admission::Accepted,
            Admission::Accepted,
            Admission::Accepted,
            Admission::Accepted,
            Admission::Accepted,
            Admission::Rejected
        ]
    );
    // Four requests share two cores for 20 ms; the fifth then has a core to itself.
    assert_eq!(run(&mut server, 0), [(0, 20_000), (1, 20_000), (2, 20_000), (3, 20_000), (4, 30_000)]);
}

#[test]
fn a_cancelled_request_frees_its_core_for_the_others() {
    let spec = ServerSpec { cores: 1.0, slots: 4, ..ServerSpec::default() };
    let mut server = Server::new(&spec, 0, 0);
    (0..2).for_each(|attempt| assert_eq!(server.admit(0, attempt, 10_000.0), Admission::Accepted));
    assert_eq!(server.drop_work(10_000, 0), Some(5_000.0), "half of the work is done");
    assert_eq!((server.drop_work(10_000, 0), server.backlog()), (None, 5_000.0));
    assert_eq!(run(&mut server, 10_000), [(1, 15_000)]);
}

#[test]
fn slow_and_cold_servers_take_longer_and_hung_servers_never_finish() {
    let spec = ServerSpec {
        cores: 1.0,
        initial_capacity_ratio: 0.5,
        warm_up_duration: 1_000_000,
        ..ServerSpec::default()
    };
    let end = |started, health| {
        let mut server = Server::new(&spec, 0, started);
        server.health = health;
        server.admit(started.max(1), 0, 10_000.0);
        run(&mut server, started.max(1)).first().map(|(_, at)| at - started.max(1))
    };
    assert_eq!(end(0, Health::default()), Some(10_000));
    assert_eq!(end(0, Health { slowdown_factor: 3.0, ..Health::default() }), Some(30_000));
    assert_eq!(end(0, Health { hung: true, ..Health::default() }), None);
    let cold = end(5_000_000, Health::default()).expect("the request ends");
    assert!((19_000..21_000).contains(&cold), "half the rate at first: {cold}");
}

#[test]
fn a_congested_server_recovers_after_low_load_or_after_the_maximum_duration() {
    let onset_time = 100_000;
    let recovery_time = 50_000;
    let max_duration = 400_000;
    let congestion = CongestionSpec {
        onset_waiting_per_core: 2.0,
        onset_time,
        slowdown_factor: 4.0,
        recovery_load_per_core: 1.0,
        recovery_time,
        max_duration,
    };
    let spec = ServerSpec { cores: 1.0, slots: 1, congestion: Some(congestion), ..ServerSpec::default() };
    // Waiting requests, the time at which all are cancelled, the time of the check, and the expected capacity.
    let cases = [(2, None, 200_000, 1.0), (4, Some(50_000), 200_000, 1.0), (4, None, 200_000, 0.25)];
    let later_cases =
        [(4, Some(200_000), 240_000, 0.25), (4, Some(200_000), 260_000, 1.0), (4, None, 510_000, 1.0)];
    for (waiting, cancelled_at, checked_at, capacity) in cases.into_iter().chain(later_cases) {
        let mut server = Server::new(&spec, 0, 0);
        let accepted = (0..=waiting).filter(|&n| server.admit(1, n, 9e9) == Admission::Accepted).count();
        assert_eq!(accepted, waiting + 1);
        for at in (1..=checked_at).step_by(1_000) {
            server.advance(at);
            if cancelled_at.is_some_and(|cancelled_at| at > cancelled_at) {
                (0..=waiting).for_each(|n| {
                    server.drop_work(at, n);
                });
            }
        }
        server.advance(checked_at);
        assert_eq!(
            server.capacity(checked_at),
            capacity,
            "{waiting} waiting until {cancelled_at:?}, at {checked_at}"
        );
    }
}

#[test]
fn connections_are_reused_limited_and_closed_when_idle() {
    let spec = ServerSpec { max_connections: 2, idle_timeout: 1_000, ..ServerSpec::default() };
    let mut server = Server::new(&spec, 0, 0);
    assert_eq!(
        (server.acquire_connection(0, 7), server.acquire_connection(0, 8), server.acquire_connection(0, 7)),
        (Some(false), Some(false), None)
    );
    server.release_connection(10, 7, true);
    assert_eq!(server.acquire_connection(500, 7), Some(true), "idle for less than the timeout");
    server.release_connection(600, 7, true);
    assert_eq!(
        server.acquire_connection(1_700, 7),
        Some(false),
        "closed after the idle timeout, so a new one is opened"
    );
    server.release_connection(1_800, 8, false);
    assert_eq!(server.acquire_connection(1_900, 9), Some(false));
}

#[test]
fn too_much_work_overloads_a_cold_server_but_not_a_warm_one() {
    let spec = ServerSpec { cores: 1.0, slots: 2, cold_overload_window: 1_000_000, ..ServerSpec::default() };
    for (started, overloaded) in [(0, false), (9_000_000, true)] {
        let mut server = Server::new(&spec, 0, started);
        let overload_count =
            (0..40).filter(|i| server.record_cold_arrival(9_000_000 + i * 1_000, 50_000.0)).count();
        assert_eq!((overload_count, server.cold_overloaded), (usize::from(overloaded), overloaded));
    }
}
