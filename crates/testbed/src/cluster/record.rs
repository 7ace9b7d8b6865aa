//! What the parties saw, with the time on the one clock, for the judge to go through when the play is over.

use hdrhistogram::Histogram;
use oakport_core::{EndpointState, Micros, Outcome};
use oakport_simulator::random::{self, StreamId};
use oakport_simulator::scenario::{Scenario, TransferSpec};
use oakport_simulator::Arrival;
use rand::Rng;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// How a try of a client ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryEnd {
    /// With the answer that this server gave to it.
    Served(usize),
    /// With 429 or 503, and after how long it may come again.
    Refused(Micros),
    /// With another status.
    Failed(u16),
    /// With an answer that no server made for it.
    Foreign,
    /// The connection ended without a whole answer.
    Lost,
    /// No connection came up.
    Unreachable,
    /// No answer came in its time.
    Silent,
    /// The rest of a large answer was held back for too long.
    HeldBack,
}

/// A start, signal or end of a proxy's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvent {
    /// The process started.
    Started,
    /// The process was killed without a SIGTERM before.
    Killed,
    /// SIGTERM was sent.
    TermSent,
    /// The process was killed because it had not exited in time after SIGTERM.
    KilledAfterTerm,
    /// SIGSTOP was sent.
    Stopped,
    /// SIGCONT was sent.
    Continued,
    /// The process exited without a signal from the test cluster.
    Crashed,
}

/// One try of a client, and what came of it.
#[derive(Clone, Debug)]
pub struct Try {
    /// The request, by its place among the arrivals.
    pub request: usize,
    /// From 0.
    pub number: u32,
    /// When it was written, and when again, if its first connection had been closed before.
    pub sent: Micros,
    /// See `sent`.
    pub again: Option<Micros>,
    /// When its client gives up.
    pub deadline: Micros,
    /// When it ended.
    pub ended: Micros,
    /// How.
    pub end: TryEnd,
    /// Its last byte was written while the connection stood, so that its proxy has taken it.
    pub is_written: bool,
    /// What has been moved, if its bodies are large.
    pub moved: Moved,
}

/// What a client has moved in a try with large bodies.
#[derive(Clone, Copy, Debug, Default)]
pub struct Moved {
    /// When the last byte of the request was written.
    pub written: Option<Micros>,
    /// When the first byte of the response was read; by this it is in time.
    pub first: Option<Micros>,
    /// Bytes of the response that were read, the head included.
    pub read: usize,
    /// When the last of them was read.
    pub last: Option<Micros>,
}

/// A proxy's view of the membership, as its admin endpoint reports it.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// The view digest.
    pub digest: u64,
    /// The live count.
    pub count: usize,
    /// Bytes sent to peers since the process started.
    pub bytes: u64,
    /// The other members: number, incarnation, and state.
    pub members: Vec<(usize, u64, MemberState)>,
}

/// The state of a member in another member's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// Alive or suspected.
    Present,
    /// Left by graceful shutdown.
    Left,
    /// Declared dead.
    Dead,
}

/// A server's entry in an endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListEntry {
    /// Server number.
    pub server: usize,
    /// Ready, draining, or removed.
    pub state: EndpointState,
    /// When the server's process started; 0 for long ago.
    pub started: Micros,
}

/// What a client, server, proxy process or discovery agent of the test cluster observed.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A server has read the whole request of an attempt; `first` is the time of its first byte.
    AttemptArrived {
        attempt: u64,
        request: usize,
        number: u32,
        server: usize,
        first: Micros,
        complete: Micros,
    },
    /// The server has finished an attempt; `wasted` is the work spent on a response that nobody received, in
    /// microseconds of one core.
    AttemptEnded { attempt: u64, outcome: Outcome, wasted: f64 },
    /// The server has written `bytes` of a response that is `length` bytes long.
    ResponseWritten { attempt: u64, at: Micros, bytes: usize, length: usize },
    /// The server has reset the connection of an attempt during or after its response.
    ConnectionReset { attempt: u64, at: Micros },
    /// SIGTERM was sent to the predecessor of a hot restart, or SIGKILL when it had not exited in time.
    PredecessorSignaled { proxy: usize, at: Micros, is_killed: bool },
    /// An attempt arrived at a server that is cold since `started`; `bound` is the number of attempts that it
    /// withstands within the overload window.
    ColdArrival { attempt: u64, server: usize, started: Micros, at: Micros, bound: f64 },
    /// A try has ended.
    TryEnded(Try),
    /// A client has finished a request, whose last try ended with `end`.
    RequestEnded { request: usize, at: Micros, end: TryEnd },
    /// A client received a response without a pending request.
    UnsolicitedResponse { proxy: usize, at: Micros },
    /// A proxy was sent the endpoint list or a change of it.
    ListSent { proxy: usize, at: Micros, entries: Vec<ListEntry> },
    /// A proxy requested the endpoint list.
    ListRequested { proxy: usize, at: Micros },
    /// A proxy's request for the endpoint list was answered.
    ListAnswered { proxy: usize, at: Micros },
    /// A proxy's process started, received a signal, or ended.
    Process { proxy: usize, at: Micros, event: ProcessEvent },
    /// A proxy reported its view of the membership.
    PeerView { proxy: usize, at: Micros, view: PeerView },
    /// Connections open at all servers together.
    OpenConnections { at: Micros, open: usize },
}

/// What all parties of a play share.
pub struct Shared {
    /// The day.
    pub day: Scenario,
    /// The seed.
    pub seed: u64,
    /// All requests, drawn before the start.
    pub arrivals: Vec<Arrival>,
    begin: Instant,
    unix: Duration,
    /// The start of the day on the clock.
    start: OnceLock<Micros>,
    seen: Mutex<Vec<Observation>>,
    /// Requests that have ended so far, served and not.
    ended: [AtomicU64; 2],
    late: Mutex<Late>,
}

/// How late the rig itself was.
#[derive(Clone, Debug)]
pub struct Late {
    /// By how much each moment was missed, in microseconds.
    pub by: Histogram<u64>,
    /// Spans in which it was later than it may be.
    pub spans: Vec<(Micros, Micros)>,
}

/// Marks the number of a try that is written right behind another, before that one's response has been read.
const AHEAD: u32 = 0x80;
/// The sizes of bodies are drawn from streams from this number on.
const FIRST_SIZE_STREAM: usize = 3_000_000;

/// A rig that is later than this cannot tell what is late, in microseconds.
pub const TOO_LATE: Micros = 20_000;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // What is kept is whole after each step, so that another's panic spoils nothing.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// For a play that begins now.
    pub fn new(day: Scenario, seed: u64) -> Self {
        let arrivals = oakport_simulator::Arrivals::generate_all(&day, seed);
        Shared {
            arrivals,
            seed,
            begin: Instant::now(),
            unix: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
            start: OnceLock::new(),
            seen: Mutex::new(Vec::new()),
            ended: Default::default(),
            late: Mutex::new(Late { by: histogram(), spans: Vec::new() }),
            day,
        }
    }

    /// Microseconds on the play's clock; above 0.
    pub fn now(&self) -> Micros {
        self.begin.elapsed().as_micros() as Micros + 1
    }

    /// A moment of the clock for a timer.
    pub fn instant(&self, at: Micros) -> Instant {
        self.begin + Duration::from_micros(at)
    }

    /// A moment of the clock as Unix time in milliseconds; 0 stays 0, long ago.
    pub fn unix_ms(&self, at: Micros) -> u64 {
        if at == 0 {
            return 0;
        }
        (self.unix + Duration::from_micros(at)).as_millis() as u64
    }

    /// The day begins now.
    pub fn begin_day(&self) {
        let _ = self.start.set(self.now());
    }

    /// A moment of the day on the clock.
    pub fn at(&self, of_day: Micros) -> Micros {
        self.start.get().copied().unwrap_or(0) + of_day
    }

    /// Waits for a moment of the clock, and notes by how much it was missed.
    pub async fn until(&self, at: Micros) {
        tokio::time::sleep_until(self.instant(at)).await;
        self.missed(at);
    }

    /// Something was to happen at `at`, and happens now.
    pub fn missed(&self, at: Micros) {
        let now = self.now();
        let mut late = lock(&self.late);
        late.by.saturating_record(now.saturating_sub(at));
        if now > at + TOO_LATE {
            late.spans.push((at, now));
        }
    }

    /// Keeps what was seen.
    pub fn record(&self, seen: Observation) {
        if let Observation::RequestEnded { end, .. } = &seen {
            self.ended[usize::from(!matches!(end, TryEnd::Served(_)))].fetch_add(1, Ordering::Relaxed);
        }
        lock(&self.seen).push(seen);
    }

    /// Requests that have ended so far, served and not.
    pub fn ended(&self) -> [u64; 2] {
        [0, 1].map(|n: usize| self.ended[n].load(Ordering::Relaxed))
    }

    /// Takes all that was seen, and the lateness of the rig itself.
    pub fn close(&self) -> (Vec<Observation>, Late) {
        (std::mem::take(&mut *lock(&self.seen)), lock(&self.late).clone())
    }

    /// Bytes of the body of a large request; none if it is small.
    pub fn request_bytes(&self, request: usize) -> Option<usize> {
        let [least, most] = self.transfer(request)?.request_bytes;
        (most > 0).then(|| self.sizes(request).gen_range(least..=most))
    }

    /// Bytes of the body of the large response to a try; none if it is small.
    pub fn response_bytes(&self, request: usize, number: u32) -> Option<usize> {
        let [least, most] = self.transfer(request)?.response_bytes;
        (!Shared::is_ahead(number)).then(|| self.sizes(request).gen_range(least..=most))
    }

    /// What is large about a request.
    pub fn transfer(&self, request: usize) -> Option<&TransferSpec> {
        self.day.classes[self.arrivals[request].class].transfer.as_ref()
    }

    fn sizes(&self, request: usize) -> impl Rng {
        random::stream(self.seed, StreamId::Policy(FIRST_SIZE_STREAM + request))
    }

    /// The number of the try that is written right behind this one.
    pub fn ahead(number: u32) -> u32 {
        number | AHEAD
    }

    /// The try was written behind another.
    pub fn is_ahead(number: u32) -> bool {
        number & AHEAD != 0
    }

    /// The id of a try.
    pub fn id(request: usize, number: u32) -> String {
        format!("{request:08x}{number:02x}")
    }

    /// Request and try of an id.
    pub fn of_id(&self, id: &str) -> Option<(usize, u32)> {
        let (request, number) = (id.get(..8)?, id.get(8..)?);
        let request = usize::from_str_radix(request, 16).ok().filter(|r| *r < self.arrivals.len())?;
        Some((request, u32::from_str_radix(number, 16).ok()?))
    }

    /// The zone of a proxy or server by its number.
    pub fn zone(&self, number: usize) -> usize {
        number % self.day.zones.len()
    }
}

/// Times in microseconds, up to an hour.
pub fn histogram() -> Histogram<u64> {
    const LONGEST: u64 = 3_600_000_000;
    Histogram::new_with_bounds(1, LONGEST, 3).unwrap_or_else(|_| unreachable!("constant bounds"))
}
