//! The memory limit of the settings holds with as many clients as the platform allows, whatever they send and
//! however slowly, and none of them is rejected or waits for it.

mod peers;

use peers::bodies::*;
use peers::memory::peak_memory_kb;
use peers::shutdown::write_response;
use peers::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The least memory that the platform gives a process (TERMS).
const MEMORY_MB: usize = 32;
const MAX_SOCKETS: usize = 1_024;
/// Clients hold up to a third of the descriptors (TERMS).
const CLIENT_COUNT: usize = MAX_SOCKETS / 3;
const ENDPOINT_COUNT: usize = 12;
/// A client may take this long for a body of 64 KB (DAYS).
const PIECE_BYTES: usize = 6_400;
const PIECE_INTERVAL: Duration = Duration::from_millis(100);
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// More than an endpoint takes to serve a request; a client that waits for memory waits longer.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(900);
const CLIENT_TIMEOUT: &str = "2000m";
const PLAY: Duration = Duration::from_secs(6);

/// Held by the test that runs: several crowds at a time would slow each other.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// What a client sends and receives again and again.
#[derive(Clone, Copy, Debug)]
struct Load {
    request_bytes: usize,
    framing: &'static str,
    response_bytes: usize,
    is_slow: bool,
    pause: Duration,
}

/// What the clients have seen.
#[derive(Debug, Default)]
struct Counts {
    served: AtomicUsize,
    /// Rejected, failed, without a response, or later than [`MAX_RESPONSE_TIME`].
    other: AtomicUsize,
}

fn endpoints() -> Vec<String> {
    let start = |number| {
        let address = endpoint(|head, stream| {
            if body(head, stream).is_none() {
                return;
            }
            thread::sleep(SERVICE_TIME);
            let size = peers::shutdown::query_value(head, "size").and_then(|size| size.parse().ok());
            write_response(stream, "length", &test_pattern(size.unwrap_or(0)));
        });
        entry(&format!("s-{number}"), address, "up", 0)
    };
    (0..ENDPOINT_COUNT).map(start).collect()
}

impl Load {
    /// The content of a request, in its framing.
    fn content(&self) -> Vec<u8> {
        match self.framing {
            "chunked" => chunked(&test_pattern(self.request_bytes), PIECE_BYTES),
            _ => test_pattern(self.request_bytes),
        }
    }

    /// The head of a request, with an id of its own.
    fn head(&self) -> String {
        let header = match self.framing {
            "chunked" => "Transfer-Encoding: chunked\r\n".to_owned(),
            _ => format!("Content-Length: {}\r\n", self.request_bytes),
        };
        request_head(&format!("unsafe?size={}", self.response_bytes), CLIENT_TIMEOUT, &header)
    }

    /// Sends requests until `stop` is set. A connection that the process has closed between two requests is
    /// replaced.
    fn run(self, address: SocketAddr, content: &[u8], stop: &AtomicBool, counts: &Counts) {
        while !stop.load(Ordering::SeqCst) {
            let stream = std::net::TcpStream::connect(address).expect("a listening process");
            stream.set_read_timeout(Some(LONG)).expect("a time-out");
            let mut client = Client { stream: std::io::BufReader::new(stream) };
            while !stop.load(Ordering::SeqCst) {
                let Some(message) = self.call(&mut client, content, counts) else { break };
                thread::sleep(self.pause);
                if message.header("connection") == Some("close") {
                    break;
                }
            }
        }
    }

    /// Makes one call. `None` if its connection has ended.
    fn call(&self, client: &mut Client, content: &[u8], counts: &Counts) -> Option<Message> {
        let message = [self.head().as_bytes(), content].concat();
        let piece_bytes = if self.is_slow { PIECE_BYTES } else { message.len() };
        for piece in message.chunks(piece_bytes) {
            if !send_bytes(&mut client.stream, piece) {
                return None;
            }
            if self.is_slow {
                thread::sleep(PIECE_INTERVAL);
            }
        }
        let sent_at = Instant::now();
        let response = client.answer();
        let is_served = response
            .as_ref()
            .is_some_and(|response| response.status() == 200 && response.body.len() == self.response_bytes);
        let is_timely = sent_at.elapsed() < SERVICE_TIME + MAX_RESPONSE_TIME;
        let counter = if is_served && is_timely { &counts.served } else { &counts.other };
        counter.fetch_add(1, Ordering::SeqCst);
        response
    }
}

/// Starts clients that begin one after the other within a second.
fn start_clients(
    load: Load,
    count: usize,
    address: SocketAddr,
    stop: &Arc<AtomicBool>,
    counts: &Arc<Counts>,
) -> Vec<thread::JoinHandle<()>> {
    let content: Arc<[u8]> = load.content().into();
    let start = |number: usize| {
        let (content, stop, counts) = (Arc::clone(&content), Arc::clone(stop), Arc::clone(counts));
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(1) * number as u32 / count as u32);
            load.run(address, &content, &stop, &counts);
        })
    };
    (0..count).map(start).collect()
}

fn limited_config(discovery: &Discovery) -> String {
    let listen = "127.0.0.1:0".parse().expect("an address");
    config(listen, discovery.address, MAX_SOCKETS, &endpoints())
        .replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"))
}

fn assert_limit_holds(loads: &[(Load, usize)]) {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let discovery = Discovery::start();
    let proxy = Proxy::with(&limited_config(&discovery));
    let (stop, counts) = (Arc::<AtomicBool>::default(), Arc::<Counts>::default());
    let clients: Vec<_> = loads
        .iter()
        .flat_map(|&(load, count)| start_clients(load, count, proxy.address, &stop, &counts))
        .collect();
    let peak_kb = peak_memory_kb(&[proxy.child.id()], Instant::now() + PLAY);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    println!("{loads:?}: {counts:?}, {peak_kb} kB");
    assert!(peak_kb <= MEMORY_MB * 1_024, "{loads:?}: {peak_kb} kB");
    assert_eq!(counts.other.load(Ordering::SeqCst), 0, "{loads:?}: {counts:?}");
    assert!(counts.served.load(Ordering::SeqCst) >= CLIENT_COUNT, "{loads:?}: {counts:?}");
}

const SLOW: Load = Load {
    request_bytes: 60_000,
    framing: "length",
    response_bytes: 60_000,
    is_slow: true,
    pause: Duration::from_millis(250),
};
const SMALL: Load = Load {
    request_bytes: 300,
    framing: "length",
    response_bytes: 300,
    is_slow: false,
    pause: Duration::from_millis(1_200),
};

#[test]
fn many_slow_bodies_of_known_length_stay_within_the_memory_limit() {
    // Guards against bodies whose buffers are not counted, and against rejections to keep the limit.
    assert_limit_holds(&[(SLOW, CLIENT_COUNT)]);
}

#[test]
fn many_slow_chunked_bodies_stay_within_the_memory_limit() {
    // Guards against the same fault where the length of a body is not known before its end.
    assert_limit_holds(&[(Load { framing: "chunked", ..SLOW }, CLIENT_COUNT)]);
}

#[test]
fn large_slow_bodies_among_small_requests_stay_within_the_memory_limit() {
    // Guards against the same fault for bodies that are streamed. Few at a time, as each holds an endpoint.
    let large = Load { request_bytes: 200_000, ..SLOW };
    assert_limit_holds(&[(large, 40), (SMALL, CLIENT_COUNT - 40)]);
}

#[test]
fn connections_that_carry_few_requests_leave_memory_to_the_others() {
    // Guards against connections that keep the memory of what they once carried.
    let rare = Load { pause: Duration::from_millis(1_900), is_slow: false, ..SLOW };
    let frequent = Load { pause: Duration::from_millis(300), ..SLOW };
    assert_limit_holds(&[(rare, CLIENT_COUNT / 2), (frequent, CLIENT_COUNT / 2)]);
}

/// What the lock files, by which the processes of a hot restart find each other, contain besides the lock.
#[derive(Clone, Copy, Debug)]
enum LockContent {
    /// The id of the process, as the process wrote it.
    ProcessId,
    /// Nothing, as after a process of a release that writes no id.
    Nothing,
    /// The id of another program, as after a process that has ended and whose id was used again.
    IdOfAnotherProgram,
}

impl LockContent {
    fn replace_in(self, platform: &Platform, name: &str) {
        let content = match self {
            LockContent::ProcessId => return,
            LockContent::Nothing => String::new(),
            LockContent::IdOfAnotherProgram => std::process::id().to_string(),
        };
        std::fs::write(platform.folder.join(name), content).expect("a lock file");
    }
}

/// Restarts the process under as many clients as the platform allows.
fn assert_limit_holds_in_a_hot_restart(content: LockContent) {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let discovery = Discovery::start();
    let config = limited_config(&discovery);
    let platform = Platform::new();
    let predecessor = platform.start(&config);
    content.replace_in(&platform, "oakport.lock");
    let (stop, counts) = (Arc::<AtomicBool>::default(), Arc::<Counts>::default());
    let address = platform.listener.local_addr().expect("its address");
    let clients = start_clients(SLOW, CLIENT_COUNT, address, &stop, &counts);
    let mut peak_kb = peak_memory_kb(&[predecessor.child.id()], Instant::now() + Duration::from_secs(3));
    let successor = platform.start(&config);
    content.replace_in(&platform, "oakport-next.lock");
    let processes = [predecessor.child.id(), successor.child.id()];
    peak_kb = peak_kb.max(peak_memory_kb(&processes, Instant::now() + Duration::from_secs(2)));
    predecessor.terminate();
    peak_kb = peak_kb.max(peak_memory_kb(&processes, Instant::now() + Duration::from_millis(3_700)));
    drop(predecessor);
    peak_kb = peak_kb.max(peak_memory_kb(&processes[1..], Instant::now() + Duration::from_secs(2)));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    println!("{content:?}: {counts:?}, {peak_kb} kB");
    assert!(peak_kb <= MEMORY_MB * 1_024, "{content:?}: {peak_kb} kB");
    assert!(counts.served.load(Ordering::SeqCst) >= CLIENT_COUNT, "{content:?}: {counts:?}");
}

#[test]
fn two_processes_of_a_hot_restart_stay_within_the_memory_limit_together() {
    // Guards against a successor that takes memory which its predecessor has not returned yet.
    assert_limit_holds_in_a_hot_restart(LockContent::ProcessId);
}

#[test]
fn a_hot_restart_beside_an_older_release_stays_within_the_memory_limit() {
    // Guards against taking what a process uses whose id is missing.
    assert_limit_holds_in_a_hot_restart(LockContent::Nothing);
}

#[test]
fn a_hot_restart_with_an_outdated_process_id_stays_within_the_memory_limit() {
    // Guards against taking the memory of another program for that of the other process.
    assert_limit_holds_in_a_hot_restart(LockContent::IdOfAnotherProgram);
}

/// The largest fleet of endpoints (FLEET).
const MAX_ENDPOINT_COUNT: usize = 3_200;
const RELOAD_COUNT: usize = 3;

#[test]
fn reloads_of_a_file_with_many_endpoints_return_their_memory() {
    // Guards against memory that each reload leaves in the allocator.
    let discovery = Discovery::start();
    let known: Vec<String> = (0..MAX_ENDPOINT_COUNT)
        .map(|number| {
            let address = format!("127.1.{}.{}:5000", number / 250, number % 250 + 1);
            entry(&format!("s-{number:08x}"), address.parse().expect("an address"), "up", 0)
        })
        .collect();
    let listen = "127.0.0.1:0".parse().expect("an address");
    let config = config(listen, discovery.address, MAX_SOCKETS, &known)
        .replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"));
    let mut proxy = Proxy::with(&config);
    for _ in 0..RELOAD_COUNT {
        proxy.reload(&config);
        proxy.expect_log("reloaded", "attempts=3");
        let memory_kb = peak_memory_kb(&[proxy.child.id()], Instant::now() + SHORT);
        assert!(memory_kb <= MEMORY_MB * 1_024, "{memory_kb} kB after a reload");
    }
}
