//! Relays between two named parties, and what they do to what passes.

use super::gate::{address, gone, Gate, Party};
use super::http;
use oakport_core::Micros;
use oakport_model::chance::{self, Part};
use oakport_model::scenario::LinkSpec;
use rand::Rng;
use socket2::SockRef;
use std::collections::VecDeque;
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
pub type Both = [LinkSpec; 2];

/// When the copies of a datagram come, as time after it was sent: settled by the seed and the datagram's number alone.
pub fn copies(spec: &LinkSpec, seed: u64, number: u64) -> Vec<Micros> {
    let mut random = chance::stream(seed ^ number.rotate_left(32), Part::Luck);
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
    gate: Gate,
    ways: watch::Sender<Both>,
}

impl Relay {
    /// Starts a relay that passes all on.
    pub fn start(target: SocketAddr) -> Result<Arc<Self>> {
        let gate = Gate::new(address(Party::Relay, RELAYS.fetch_add(1, Ordering::Relaxed)))?;
        let relay = Arc::new(Relay { gate, ways: watch::Sender::new(Both::default()) });
        let taking = Arc::clone(&relay);
        tokio::spawn(async move {
            let taken = |stream, life| {
                tokio::spawn(Arc::clone(&taking).connection(stream, target, life));
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
    pub fn turn(&self, both: Both) {
        let refuses = both.iter().any(|way| way.refuse);
        // A connection needs both directions to come up.
        self.gate.silence(!refuses && both.iter().any(|way| way.stall));
        if both.iter().any(|way| way.reset) {
            self.gate.reset();
        }
        self.gate.refuse(refuses);
        self.ways.send_replace(both);
    }

    async fn connection(self: Arc<Self>, near: TcpStream, target: SocketAddr, life: u32) {
        let mut phase = self.gate.watch();
        let far = tokio::select! {
            // One that is up is reset below, on both sides.
            biased;
            far = TcpStream::connect(target) => far,
            () = gone(&mut phase, life) => return http::reset(near),
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
            () = gone(&mut phase, life) => false,
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
async fn pump(from: &TcpStream, to: &TcpStream, mut ways: watch::Receiver<Both>, way: usize) -> Result<()> {
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

/// A relay of datagrams between two sockets: each sees the other at an address of the relay.
pub struct Datagrams {
    ways: watch::Sender<Both>,
    /// Where the first finds the second, and the second the first.
    pub doors: [SocketAddr; 2],
}

impl Datagrams {
    /// Starts a relay that passes all on between two sockets that are bound there.
    pub async fn start(seed: u64, ends: [SocketAddr; 2]) -> Result<Self> {
        let number = RELAYS.fetch_add(1, Ordering::Relaxed);
        let doors = [
            Arc::new(UdpSocket::bind(address(Party::Relay, number)).await?),
            Arc::new(UdpSocket::bind(address(Party::Relay, number)).await?),
        ];
        let ways = watch::Sender::new(Both::default());
        for way in 0..2 {
            let (inward, outward) = (Arc::clone(&doors[way]), Arc::clone(&doors[1 - way]));
            let (ways, to) = (ways.subscribe(), ends[1 - way]);
            tokio::spawn(carry(inward, outward, to, ways, way, seed ^ way as u64));
        }
        Ok(Datagrams { ways, doors: [doors[0].local_addr()?, doors[1].local_addr()?] })
    }

    /// What it does from now on.
    pub fn turn(&self, both: Both) {
        self.ways.send_replace(both);
    }
}

/// Carries datagrams in one direction while the relay is there.
async fn carry(
    inward: Arc<UdpSocket>,
    outward: Arc<UdpSocket>,
    to: SocketAddr,
    mut ways: watch::Receiver<Both>,
    way: usize,
    seed: u64,
) {
    let mut number = 0;
    let mut room = vec![0; DATAGRAM];
    loop {
        let length = tokio::select! {
            came = inward.recv(&mut room) => came,
            changed = ways.changed() => if changed.is_err() { return } else { continue },
        };
        let Ok(length) = length else { continue };
        let spec = ways.borrow()[way];
        for after in copies(&spec, seed, number) {
            let (datagram, outward) = (room[..length].to_vec(), Arc::clone(&outward));
            let at = Instant::now() + Duration::from_micros(after);
            if after == 0 {
                // A datagram may be lost.
                let _ = outward.send_to(&datagram, to).await;
                continue;
            }
            tokio::spawn(async move {
                sleep_until(at).await;
                // A datagram may be lost.
                let _ = outward.send_to(&datagram, to).await;
            });
        }
        number += 1;
    }
}
