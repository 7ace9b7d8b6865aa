//! Each link fault has its effect, as observed on both sides of the link.

use oakport_simulator::scenario::LinkSpec;
use oakport_testbed::cluster::links::{delivery_delays, DatagramRelay, Relay};
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::{timeout, Instant};

/// Timeout for data that must arrive.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Time within which data that must not arrive would have arrived.
const QUIET_TIME: Duration = Duration::from_millis(250);
/// Delay of the delaying links.
const DELAY_US: u64 = 120_000;

const NONE: LinkSpec =
    LinkSpec { delay: 0, drop: 0.0, duplicate: 0.0, reorder: 0.0, stall: false, reset: false, refuse: false };

/// Whether a byte arrives within this time.
async fn receives(stream: &mut TcpStream, within: Duration) -> bool {
    matches!(timeout(within, stream.read_u8()).await, Ok(Ok(_)))
}

/// Whether the connection has been reset.
async fn is_reset(stream: &mut TcpStream) -> bool {
    let end = timeout(MAX_WAIT, stream.read_u8()).await.expect("the connection ends");
    end.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset)
}

/// The result of opening a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectOutcome {
    Connected,
    Refused,
    TimedOut,
}

/// Waits until new connections have this result: a relay applies a fault shortly after it is set.
async fn wait_for_outcome(relay: &Relay, expected: ConnectOutcome, name: &str) {
    let begin = Instant::now();
    loop {
        let found = match timeout(QUIET_TIME, TcpStream::connect(relay.address())).await {
            Ok(Ok(_)) => ConnectOutcome::Connected,
            Ok(Err(e)) => {
                assert_eq!(e.kind(), ErrorKind::ConnectionRefused, "{name}");
                ConnectOutcome::Refused
            }
            Err(_) => ConnectOutcome::TimedOut,
        };
        if found == expected {
            return;
        }
        assert!(begin.elapsed() < MAX_WAIT, "{name}: {found:?}, expected {expected:?}");
    }
}

#[tokio::test]
async fn stream_faults_affect_both_sides() {
    let delayed = LinkSpec { delay: DELAY_US, ..NONE };
    let stalled = LinkSpec { stall: true, ..NONE };
    let reset = LinkSpec { reset: true, ..NONE };
    let refused = LinkSpec { refuse: true, ..NONE };
    for (name, links) in [
        ("no fault", [NONE, NONE]),
        ("delayed there", [delayed, NONE]),
        ("delayed back", [NONE, delayed]),
        ("stalled there", [stalled, NONE]),
        ("stalled back", [NONE, stalled]),
        ("reset", [reset, reset]),
        ("refused", [refused, refused]),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let relay = Relay::start(listener.local_addr().expect("the local address")).expect("a relay");
        let mut near = timeout(MAX_WAIT, TcpStream::connect(relay.address()))
            .await
            .expect("in time")
            .expect("the relay accepts");
        let (mut far, _) =
            timeout(MAX_WAIT, listener.accept()).await.expect("in time").expect("a connection");
        relay.set_faults(links);
        if links[0].reset {
            assert!(is_reset(&mut near).await && is_reset(&mut far).await, "{name}");
            continue;
        }
        for (direction, spec) in links.iter().enumerate() {
            let (from, to) = if direction == 0 { (&mut near, &mut far) } else { (&mut far, &mut near) };
            let start = Instant::now();
            from.write_u8(7).await.expect("the connection is open");
            if spec.stall {
                assert!(!receives(to, QUIET_TIME).await, "{name}, direction {direction}");
            } else {
                assert!(receives(to, MAX_WAIT).await, "{name}, direction {direction}");
                assert!(
                    start.elapsed() >= Duration::from_micros(spec.delay),
                    "{name}, direction {direction}"
                );
            }
        }
        let expected = match links {
            _ if links[0].refuse => ConnectOutcome::Refused,
            _ if links.iter().any(|link| link.stall) => ConnectOutcome::TimedOut,
            _ => ConnectOutcome::Connected,
        };
        wait_for_outcome(&relay, expected, name).await;
        // After the fault, held-back data arrives and connections are accepted again.
        relay.set_faults([NONE, NONE]);
        for (direction, spec) in links.iter().enumerate() {
            let to = if direction == 0 { &mut far } else { &mut near };
            assert!(
                !spec.stall || receives(to, MAX_WAIT).await,
                "{name}, direction {direction}: data held back by the stall arrives"
            );
        }
        wait_for_outcome(&relay, ConnectOutcome::Connected, name).await;
        // A closed connection is closed on the other side too.
        drop(near);
        assert_eq!(
            timeout(MAX_WAIT, far.read(&mut [0])).await.expect("in time").expect("the connection ends"),
            0,
            "{name}"
        );
    }
}

#[tokio::test]
async fn datagram_faults_follow_the_seed_and_affect_one_direction() {
    const SENT: u64 = 200;
    for (name, spec) in [
        ("no fault", NONE),
        ("lossy", LinkSpec { drop: 0.3, ..NONE }),
        ("duplicating", LinkSpec { duplicate: 0.3, ..NONE }),
        ("delaying", LinkSpec { delay: DELAY_US, ..NONE }),
        ("reordering", LinkSpec { reorder: 0.3, ..NONE }),
        ("cut", LinkSpec { stall: true, ..NONE }),
    ] {
        let seed = 0x5eed;
        let one = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let other = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let ends = [&one, &other].map(|socket| socket.local_addr().expect("the local address"));
        let relay = DatagramRelay::start(seed, ends.to_vec()).await.expect("a relay");
        relay.set_faults([((0, 1), spec)].into());
        let start = Instant::now();
        let (mut expected_numbers, mut received, mut received_back, mut buffer) =
            (Vec::new(), Vec::new(), Vec::new(), [0; 8]);
        for number in 0..SENT {
            one.send_to(&number.to_be_bytes(), relay.addresses[1]).await.expect("a datagram");
            other.send_to(&number.to_be_bytes(), relay.addresses[0]).await.expect("a datagram");
            expected_numbers.extend(delivery_delays(&spec, seed ^ 1, number).iter().map(|_| number));
            tokio::time::sleep(Duration::from_millis(1)).await;
            // Reads in between, as the datagrams would overflow the receive queues otherwise.
            while let Ok((_, from)) = other.try_recv_from(&mut buffer) {
                assert_eq!(
                    from, relay.addresses[0],
                    "{name}: the sender is the relay address of the other peer"
                );
                received.push(u64::from_be_bytes(buffer));
            }
            while one.try_recv_from(&mut buffer).is_ok() {
                received_back.push(u64::from_be_bytes(buffer));
            }
        }
        while received.len() < expected_numbers.len() {
            timeout(MAX_WAIT, other.recv_from(&mut buffer)).await.expect(name).expect("a datagram");
            received.push(u64::from_be_bytes(buffer));
        }
        while received_back.len() < SENT as usize {
            timeout(MAX_WAIT, one.recv_from(&mut buffer)).await.expect(name).expect("a datagram");
            received_back.push(u64::from_be_bytes(buffer));
        }
        assert!(received_back.into_iter().eq(0..SENT), "{name}: the other direction has no faults");
        assert!(start.elapsed() >= Duration::from_micros(spec.delay), "{name}");
        assert!(
            timeout(QUIET_TIME, other.recv_from(&mut buffer)).await.is_err(),
            "{name}: no further datagrams"
        );
        let in_order = received.is_sorted();
        received.sort_unstable();
        assert_eq!(received, expected_numbers, "{name}");
        assert_eq!(in_order, spec.reorder == 0.0, "{name}");
    }
    let total_copies =
        |spec: LinkSpec| (0..10_000).map(|n| delivery_delays(&spec, 1, n).len()).sum::<usize>();
    assert!((6_800..7_200).contains(&total_copies(LinkSpec { drop: 0.3, ..NONE })));
    assert!((12_800..13_200).contains(&total_copies(LinkSpec { duplicate: 0.3, ..NONE })));
}
