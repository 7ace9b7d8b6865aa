//! Each fault of a link, seen by a probe on both sides of it.

use oakport_simulator::scenario::LinkSpec;
use oakport_testbed::cluster::links::{delivery_delays, DatagramRelay, Relay};
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::{timeout, Instant};

/// Longest wait for what must come.
const LONG: Duration = Duration::from_secs(20);
/// Wait in which what must not come would have come.
const SHORT: Duration = Duration::from_millis(250);
/// The delay that is tried, in microseconds.
const DELAY: u64 = 120_000;

const NONE: LinkSpec =
    LinkSpec { delay: 0, drop: 0.0, duplicate: 0.0, reorder: 0.0, stall: false, reset: false, refuse: false };

/// A byte comes within this time.
async fn comes(stream: &mut TcpStream, within: Duration) -> bool {
    matches!(timeout(within, stream.read_u8()).await, Ok(Ok(_)))
}

/// It has been reset.
async fn is_reset(stream: &mut TcpStream) -> bool {
    let end = timeout(LONG, stream.read_u8()).await.expect("an end");
    end.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset)
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Up {
    Yes,
    Refused,
    Never,
}

/// Waits until new connections fare so: a relay turns a moment after it is told.
async fn becomes(relay: &Relay, wanted: Up, name: &str) {
    let begin = Instant::now();
    loop {
        let found = match timeout(SHORT, TcpStream::connect(relay.address())).await {
            Ok(Ok(_)) => Up::Yes,
            Ok(Err(e)) => {
                assert_eq!(e.kind(), ErrorKind::ConnectionRefused, "{name}");
                Up::Refused
            }
            Err(_) => Up::Never,
        };
        if found == wanted {
            return;
        }
        assert!(begin.elapsed() < LONG, "{name}: {found:?}, not {wanted:?}");
    }
}

#[tokio::test]
async fn faults_of_streams_show_on_both_sides() {
    let delayed = LinkSpec { delay: DELAY, ..NONE };
    let stalled = LinkSpec { stall: true, ..NONE };
    let reset = LinkSpec { reset: true, ..NONE };
    let refused = LinkSpec { refuse: true, ..NONE };
    for (name, both) in [
        ("sound", [NONE, NONE]),
        ("late there", [delayed, NONE]),
        ("late back", [NONE, delayed]),
        ("stalled there", [stalled, NONE]),
        ("stalled back", [NONE, stalled]),
        ("reset", [reset, reset]),
        ("refused", [refused, refused]),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let relay = Relay::start(listener.local_addr().expect("its address")).expect("a relay");
        let mut near =
            timeout(LONG, TcpStream::connect(relay.address())).await.expect("in time").expect("it takes");
        let (mut far, _) = timeout(LONG, listener.accept()).await.expect("in time").expect("a connection");
        relay.set_faults(both);
        if both[0].reset {
            assert!(is_reset(&mut near).await && is_reset(&mut far).await, "{name}");
            continue;
        }
        for (way, spec) in both.iter().enumerate() {
            let (from, to) = if way == 0 { (&mut near, &mut far) } else { (&mut far, &mut near) };
            let asked = Instant::now();
            from.write_u8(7).await.expect("it is open");
            if spec.stall {
                assert!(!comes(to, SHORT).await, "{name}, way {way}");
            } else {
                assert!(comes(to, LONG).await, "{name}, way {way}");
                assert!(asked.elapsed() >= Duration::from_micros(spec.delay), "{name}, way {way}");
            }
        }
        let wanted = match both {
            _ if both[0].refuse => Up::Refused,
            _ if both.iter().any(|way| way.stall) => Up::Never,
            _ => Up::Yes,
        };
        becomes(&relay, wanted, name).await;
        // When it is over, what was held comes, and connections come up.
        relay.set_faults([NONE, NONE]);
        for (way, spec) in both.iter().enumerate() {
            let to = if way == 0 { &mut far } else { &mut near };
            assert!(!spec.stall || comes(to, LONG).await, "{name}, way {way}: what was held");
        }
        becomes(&relay, Up::Yes, name).await;
        // An end passes through as an end.
        drop(near);
        assert_eq!(timeout(LONG, far.read(&mut [0])).await.expect("in time").expect("an end"), 0, "{name}");
    }
}

#[tokio::test]
async fn faults_of_datagrams_are_settled_by_the_seed_and_meet_one_direction() {
    const SENT: u64 = 200;
    for (name, spec) in [
        ("sound", NONE),
        ("lossy", LinkSpec { drop: 0.3, ..NONE }),
        ("doubling", LinkSpec { duplicate: 0.3, ..NONE }),
        ("late", LinkSpec { delay: DELAY, ..NONE }),
        ("overtaking", LinkSpec { reorder: 0.3, ..NONE }),
        ("cut", LinkSpec { stall: true, ..NONE }),
    ] {
        let seed = 0x5eed;
        let one = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let other = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let ends = [&one, &other].map(|socket| socket.local_addr().expect("its address"));
        let relay = DatagramRelay::start(seed, ends.to_vec()).await.expect("a relay");
        relay.set_faults([((0, 1), spec)].into());
        let asked = Instant::now();
        let (mut due, mut came, mut back, mut room) = (Vec::new(), Vec::new(), Vec::new(), [0; 8]);
        for number in 0..SENT {
            one.send_to(&number.to_be_bytes(), relay.addresses[1]).await.expect("a datagram");
            other.send_to(&number.to_be_bytes(), relay.addresses[0]).await.expect("a datagram");
            due.extend(delivery_delays(&spec, seed ^ 1, number).iter().map(|_| number));
            tokio::time::sleep(Duration::from_millis(1)).await;
            // Left alone they would overrun the sockets' queues.
            while let Ok((_, from)) = other.try_recv_from(&mut room) {
                assert_eq!(from, relay.addresses[0], "{name}: it comes from the door of the other");
                came.push(u64::from_be_bytes(room));
            }
            while one.try_recv_from(&mut room).is_ok() {
                back.push(u64::from_be_bytes(room));
            }
        }
        while came.len() < due.len() {
            timeout(LONG, other.recv_from(&mut room)).await.expect(name).expect("a datagram");
            came.push(u64::from_be_bytes(room));
        }
        while back.len() < SENT as usize {
            timeout(LONG, one.recv_from(&mut room)).await.expect(name).expect("a datagram");
            back.push(u64::from_be_bytes(room));
        }
        assert!(back.into_iter().eq(0..SENT), "{name}: back all is well");
        assert!(asked.elapsed() >= Duration::from_micros(spec.delay), "{name}");
        assert!(timeout(SHORT, other.recv_from(&mut room)).await.is_err(), "{name}: no more");
        let in_order = came.is_sorted();
        came.sort_unstable();
        assert_eq!(came, due, "{name}");
        assert_eq!(in_order, spec.reorder == 0.0, "{name}");
    }
    let shares = |spec: LinkSpec| (0..10_000).map(|n| delivery_delays(&spec, 1, n).len()).sum::<usize>();
    assert!((6_800..7_200).contains(&shares(LinkSpec { drop: 0.3, ..NONE })));
    assert!((12_800..13_200).contains(&shares(LinkSpec { duplicate: 0.3, ..NONE })));
}
