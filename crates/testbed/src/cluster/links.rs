//! Relays between two parties of the test cluster, which inject link faults into the traffic.

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

/// Maximum size of a chunk read from a stream.
const MAX_CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of chunks in transit in one direction.
const MAX_CHUNKS_IN_TRANSIT: usize = 64;
/// Extra delay of a reordered datagram, so that later ones overtake it.
const REORDER_DELAY_US: Micros = 20_000;
/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Number of relays started by this process, from which their addresses are derived.
static RELAY_COUNT: AtomicUsize = AtomicUsize::new(0);

/// Faults of both directions of a link: from the connecting side to the target, and back.
pub type LinkFaults = [LinkSpec; 2];

/// Delays after which the copies of a datagram are delivered; empty if it is dropped. Depends only on the
/// link's faults, the seed and the datagram's number.
pub fn delivery_delays(spec: &LinkSpec, seed: u64, number: u64) -> Vec<Micros> {
    let mut random = random::stream(seed ^ number.rotate_left(32), StreamId::Noise);
    // Always draws all three values, so that a change of one probability does not affect the other faults.
    let [drop, duplicate, reorder] = [(); 3].map(|()| random.gen::<f64>());
    if spec.stall || drop < spec.drop {
        return Vec::new();
    }
    let after = spec.delay + if reorder < spec.reorder { REORDER_DELAY_US } else { 0 };
    vec![after; if duplicate < spec.duplicate { 2 } else { 1 }]
}

/// A TCP relay to one target.
pub struct Relay {
    listener: SwitchableListener,
    faults: watch::Sender<LinkFaults>,
}

impl Relay {
    /// Starts a relay without faults.
    pub fn start(target: SocketAddr) -> Result<Arc<Self>> {
        let listener =
            SwitchableListener::new(address(Role::Relay, RELAY_COUNT.fetch_add(1, Ordering::Relaxed)))?;
        let relay = Arc::new(Relay { listener, faults: watch::Sender::new(LinkFaults::default()) });
        let accepting = Arc::clone(&relay);
        tokio::spawn(async move {
            let on_connection = |stream, generation| {
                tokio::spawn(Arc::clone(&accepting).serve_connection(stream, target, generation));
            };
            accepting.listener.serve(on_connection).await;
        });
        Ok(relay)
    }

    /// Listening address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Replaces the faults of both directions.
    pub fn set_faults(&self, faults: LinkFaults) {
        let refuses = faults.iter().any(|direction| direction.refuse);
        // Establishing a connection needs both directions, so a stall of either prevents it.
        self.listener.silence(!refuses && faults.iter().any(|direction| direction.stall));
        if faults.iter().any(|direction| direction.reset) {
            self.listener.reset();
        }
        self.listener.refuse(refuses);
        self.faults.send_replace(faults);
    }

    async fn serve_connection(self: Arc<Self>, near: TcpStream, target: SocketAddr, generation: u32) {
        let mut state = self.listener.watch();
        let far = tokio::select! {
            // An established connection is reset below, on both sides.
            biased;
            far = TcpStream::connect(target) => far,
            () = wait_for_reset(&mut state, generation) => return http::reset(near),
        };
        // The connecting side sees a reset in place of the target's refusal.
        let Ok(far) = far else { return http::reset(near) };
        for stream in [&near, &far] {
            // Best effort: TCP_NODELAY only reduces latency.
            let _ = stream.set_nodelay(true);
        }
        let forwarding = async {
            let forward = forward_stream(&near, &far, self.faults.subscribe(), 0);
            let backward = forward_stream(&far, &near, self.faults.subscribe(), 1);
            tokio::try_join!(forward, backward)
        };
        let ended_normally = tokio::select! {
            result = forwarding => result.is_ok(),
            () = wait_for_reset(&mut state, generation) => false,
        };
        if !ended_normally {
            // A reset of one side is passed on to the other.
            http::reset(near);
            http::reset(far);
        }
    }
}

/// Waits until a time, if it is in the future; a timer would take 1 ms even for a time in the past.
async fn wait_until(at: Option<Instant>) {
    if let Some(at) = at.filter(|at| *at > Instant::now()) {
        sleep_until(at).await;
    }
}

/// Forwards one direction of a connection until its end.
async fn forward_stream(
    from: &TcpStream,
    to: &TcpStream,
    mut faults: watch::Receiver<LinkFaults>,
    direction: usize,
) -> Result<()> {
    let mut in_transit: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
    let mut is_at_end = false;
    loop {
        let spec = faults.borrow_and_update()[direction];
        let next = in_transit.front().map(|(at, _)| *at).filter(|_| !spec.stall);
        tokio::select! {
            () = wait_until(next), if next.is_some() => {
                let Some((_, chunk)) = in_transit.pop_front() else { continue };
                if chunk.is_empty() {
                    return SockRef::from(to).shutdown(std::net::Shutdown::Write);
                }
                let mut rest = &chunk[..];
                while !rest.is_empty() {
                    to.writable().await?;
                    match to.try_write(rest) {
                        Ok(written) => rest = &rest[written..],
                        Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                        Err(e) => return Err(e),
                    }
                }
            }
            ready = from.readable(), if !is_at_end && in_transit.len() < MAX_CHUNKS_IN_TRANSIT => {
                ready?;
                let mut chunk = vec![0; MAX_CHUNK_BYTES];
                match from.try_read(&mut chunk) {
                    Ok(length) => {
                        chunk.truncate(length);
                        is_at_end = length == 0;
                        in_transit.push_back((Instant::now() + Duration::from_micros(spec.delay), chunk));
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    Err(e) => return Err(e),
                }
            }
            changed = faults.changed() => if changed.is_err() { return Ok(()) },
        }
    }
}

/// Faults by sender and receiver; pairs that are not listed have none.
pub type DatagramFaults = BTreeMap<(usize, usize), LinkSpec>;

/// A relay of datagrams between parties. The others reach each party at an address of the relay.
pub struct DatagramRelay {
    faults: watch::Sender<DatagramFaults>,
    /// For each party, the relay address at which the others reach it.
    pub addresses: Vec<SocketAddr>,
}

impl DatagramRelay {
    /// Starts a relay without faults between parties that send from these addresses.
    ///
    /// # Errors
    /// Fails if a socket cannot be opened.
    pub async fn start(seed: u64, parties: Vec<SocketAddr>) -> Result<Self> {
        let mut sockets = Vec::new();
        let mut addresses = Vec::new();
        for _ in &parties {
            let socket =
                UdpSocket::bind(address(Role::Relay, RELAY_COUNT.fetch_add(1, Ordering::Relaxed))).await?;
            addresses.push(socket.local_addr()?);
            sockets.push(Arc::new(socket));
        }
        let faults = watch::Sender::new(DatagramFaults::new());
        for to in 0..parties.len() {
            tokio::spawn(forward_datagrams(sockets.clone(), parties.clone(), to, faults.subscribe(), seed));
        }
        Ok(DatagramRelay { faults, addresses })
    }

    /// Replaces the faults of all pairs.
    pub fn set_faults(&self, faults: DatagramFaults) {
        self.faults.send_replace(faults);
    }

    /// The current faults.
    pub fn faults(&self) -> DatagramFaults {
        self.faults.borrow().clone()
    }
}

/// Forwards the datagrams sent to one party, until the relay is dropped.
async fn forward_datagrams(
    relay_sockets: Vec<Arc<UdpSocket>>,
    parties: Vec<SocketAddr>,
    to: usize,
    mut faults: watch::Receiver<DatagramFaults>,
    seed: u64,
) {
    let mut numbers = vec![0u64; parties.len()];
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let received = tokio::select! {
            received = relay_sockets[to].recv_from(&mut buffer) => received,
            changed = faults.changed() => if changed.is_err() { return } else { continue },
        };
        let Ok((length, source)) = received else { continue };
        // Datagrams from unknown senders are dropped.
        let Some(from) = parties.iter().position(|party| *party == source) else { continue };
        let spec = faults.borrow().get(&(from, to)).copied().unwrap_or_default();
        let link_seed = seed ^ ((from as u64) << 16 | to as u64);
        for after in delivery_delays(&spec, link_seed, numbers[from]) {
            let datagram = buffer[..length].to_vec();
            let socket = Arc::clone(&relay_sockets[from]);
            let party = parties[to];
            let at = Instant::now() + Duration::from_micros(after);
            if after == 0 {
                // Send errors are ignored: datagrams may be lost.
                let _ = socket.send_to(&datagram, party).await;
                continue;
            }
            tokio::spawn(async move {
                sleep_until(at).await;
                // Send errors are ignored: datagrams may be lost.
                let _ = socket.send_to(&datagram, party).await;
            });
        }
        numbers[from] += 1;
    }
}
