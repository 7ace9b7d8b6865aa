//! Relays between two named parties, and what they do to what passes.

use super::http;
use super::listener::{address, wait_for_reset, Role, SwitchableListener};
use oakport_core::Micros;
use oakport_simulator::random::{self, StreamId};
use oakport_simulator::scenario::LinkSpec;
use rand::Rng;
use socket2::SockRef;
use std::collections::{BTreeMap, VecDeque};
use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// A piece of a stream is no larger.
const PIECE: usize = 16 * 1024;
/// Pieces that are under way in one direction.
const UNDER_WAY: usize = 64;
/// A datagram that another overtakes comes so much later.
const OVERTAKEN: Micros = 20_000;
/// The largest datagram.
const DATAGRAM: usize = 65_535;

/// Counts the relays of this process, for their addresses.
static RELAYS: AtomicUsize = AtomicUsize::new(0);

/// What both directions of a link do: from whoever connects to the target, and back.
pub type LinkFaults = [LinkSpec; 2];

/// When the delivery_delays of a datagram come, as time after it was sent: settled by the seed and the datagram's number alone.
pub fn delivery_delays(spec: &LinkSpec, seed: u64, number: u64) -> Vec<Micros> {
    let mut random = random::stream(seed ^ number.rotate_left(32), StreamId::Noise);
    // All is drawn for each, so that a share that differs changes nothing else.
    let [drop, duplicate, reorder] = [(); 3].map(|()| random.gen::<f64>());
    if spec.stall || drop < spec.drop {
        return Vec::new();
    }
    let after = spec.delay + if reorder < spec.reorder { OVERTAKEN } else { 0 };
    vec![after; if duplicate < spec.duplicate { 2 } else { 1 }]
}

/// A relay of connections to one target.
pub struct Relay {
    gate: SwitchableListener,
    ways: watch::Sender<LinkFaults>,
}

impl Relay {
    /// Starts a relay that passes all on.
    pub fn start(target: SocketAddr) -> Result<Arc<Self>> {
        let gate = SwitchableListener::new(address(Role::Relay, RELAYS.fetch_add(1, Ordering::Relaxed)))?;
        let relay = Arc::new(Relay { gate, ways: watch::Sender::new(LinkFaults::default()) });
        let taking = Arc::clone(&relay);
        tokio::spawn(async move {
            let taken = |stream, generation| {
                tokio::spawn(Arc::clone(&taking).connection(stream, target, generation));
            };
            taking.gate.serve(taken).await;
        });
        Ok(relay)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.gate.address
    }

    /// What it does from now on.
    pub fn set_faults(&self, both: LinkFaults) {
        let refuses = both.iter().any(|way| way.refuse);
        // A connection needs both directions to come up.
        self.gate.silence(!refuses && both.iter().any(|way| way.stall));
        if both.iter().any(|way| way.reset) {
            self.gate.reset();
        }
        self.gate.refuse(refuses);
        self.ways.send_replace(both);
    }

    async fn connection(self: Arc<Self>, near: TcpStream, target: SocketAddr, generation: u32) {
        let mut state = self.gate.watch();
        let far = tokio::select! {
            // One that is up is reset below, on both sides.
            biased;
            far = TcpStream::connect(target) => far,
            () = wait_for_reset(&mut state, generation) => return http::reset(near),
        };
        // The target refuses: the one side sees a reset where it would have seen that.
        let Ok(far) = far else { return http::reset(near) };
        for stream in [&near, &far] {
            // It only saves time.
            let _ = stream.set_nodelay(true);
        }
        let passed = async {
            let there = pump(&near, &far, self.ways.subscribe(), 0);
            let back = pump(&far, &near, self.ways.subscribe(), 1);
            tokio::try_join!(there, back)
        };
        let whole = tokio::select! {
            ends = passed => ends.is_ok(),
            () = wait_for_reset(&mut state, generation) => false,
        };
        if !whole {
            // A side that was reset resets the other.
            http::reset(near);
            http::reset(far);
        }
    }
}

/// Waits until a moment, if it is still to come: a timer would take a millisecond for one that has come.
async fn due(at: Option<Instant>) {
    if let Some(at) = at.filter(|at| *at > Instant::now()) {
        sleep_until(at).await;
    }
}

/// Passes one direction on, until its end.
async fn pump(
    from: &TcpStream,
    to: &TcpStream,
    mut ways: watch::Receiver<LinkFaults>,
    way: usize,
) -> Result<()> {
    let mut under_way: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
    let mut ended = false;
    loop {
        let spec = ways.borrow_and_update()[way];
        let next = under_way.front().map(|(at, _)| *at).filter(|_| !spec.stall);
        tokio::select! {
            () = due(next), if next.is_some() => {
                let Some((_, piece)) = under_way.pop_front() else { continue };
                if piece.is_empty() {
                    return SockRef::from(to).shutdown(std::net::Shutdown::Write);
                }
                let mut rest = &piece[..];
                while !rest.is_empty() {
                    to.writable().await?;
                    match to.try_write(rest) {
                        Ok(written) => rest = &rest[written..],
                        Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                        Err(e) => return Err(e),
                    }
                }
            }
            ready = from.readable(), if !ended && under_way.len() < UNDER_WAY => {
                ready?;
                let mut piece = vec![0; PIECE];
                match from.try_read(&mut piece) {
                    Ok(length) => {
                        piece.truncate(length);
                        ended = length == 0;
                        under_way.push_back((Instant::now() + Duration::from_micros(spec.delay), piece));
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    Err(e) => return Err(e),
                }
            }
            changed = ways.changed() => if changed.is_err() { return Ok(()) },
        }
    }
}

/// What each way from one party to another does; a way that is not named passes all on.
pub type DatagramFaults = BTreeMap<(usize, usize), LinkSpec>;

/// A relay of datagrams between parties: each is known to the others by a door of the relay.
pub struct DatagramRelay {
    ways: watch::Sender<DatagramFaults>,
    /// Where each is found by the others.
    pub addresses: Vec<SocketAddr>,
}

impl DatagramRelay {
    /// Starts a relay that passes all on between parties that send from these addresses.
    ///
    /// # Errors
    /// A socket cannot be had.
    pub async fn start(seed: u64, ends: Vec<SocketAddr>) -> Result<Self> {
        let (mut sockets, mut doors) = (Vec::new(), Vec::new());
        for _ in &ends {
            let socket =
                UdpSocket::bind(address(Role::Relay, RELAYS.fetch_add(1, Ordering::Relaxed))).await?;
            doors.push(socket.local_addr()?);
            sockets.push(Arc::new(socket));
        }
        let ways = watch::Sender::new(DatagramFaults::new());
        for to in 0..ends.len() {
            tokio::spawn(carry(sockets.clone(), ends.clone(), to, ways.subscribe(), seed));
        }
        Ok(DatagramRelay { ways, addresses: doors })
    }

    /// What it does from now on.
    pub fn set_faults(&self, ways: DatagramFaults) {
        self.ways.send_replace(ways);
    }

    /// What it does now.
    pub fn faults(&self) -> DatagramFaults {
        self.ways.borrow().clone()
    }
}

/// Carries the datagrams that come to one party's door, while the relay is there.
async fn carry(
    doors: Vec<Arc<UdpSocket>>,
    ends: Vec<SocketAddr>,
    to: usize,
    mut ways: watch::Receiver<DatagramFaults>,
    seed: u64,
) {
    let mut numbers = vec![0u64; ends.len()];
    let mut room = vec![0; DATAGRAM];
    loop {
        let came = tokio::select! {
            came = doors[to].recv_from(&mut room) => came,
            changed = ways.changed() => if changed.is_err() { return } else { continue },
        };
        let Ok((length, source)) = came else { continue };
        // What comes from elsewhere has no place here.
        let Some(from) = ends.iter().position(|end| *end == source) else { continue };
        let spec = ways.borrow().get(&(from, to)).copied().unwrap_or_default();
        let way = seed ^ ((from as u64) << 16 | to as u64);
        for after in delivery_delays(&spec, way, numbers[from]) {
            let (datagram, door, end) = (room[..length].to_vec(), Arc::clone(&doors[from]), ends[to]);
            let at = Instant::now() + Duration::from_micros(after);
            if after == 0 {
                // A datagram may be lost.
                let _ = door.send_to(&datagram, end).await;
                continue;
            }
            tokio::spawn(async move {
                sleep_until(at).await;
                // A datagram may be lost.
                let _ = door.send_to(&datagram, end).await;
            });
        }
        numbers[from] += 1;
    }
}
