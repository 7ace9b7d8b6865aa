//! Crowds of clients that are slow or stop half way: the memory limit holds, and clients beside them are served.

mod peers;

use peers::bodies::*;
use peers::memory::peak_memory_kb;
use peers::shutdown::{query_value, write_response};
use peers::*;
use std::io::{BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The least memory that the platform gives a process, with the most descriptors (TERMS).
const MEMORY_MB: usize = 32;
const MAX_SOCKETS: usize = 1_024;
/// Clients hold up to a third of the descriptors (TERMS).
const CLIENT_COUNT: usize = MAX_SOCKETS / 3;
const BYSTANDER_COUNT: usize = 11;
/// Anyone may connect (TERMS): more than the process serves at a time.
const PEER_COUNT: usize = 700;
const ENDPOINT_COUNT: usize = 12;
const ANSWER_BYTES: usize = 8_000_000;
const BODY_BYTES: usize = 4_000_000;
/// A slow client reads or writes 64 kB a second.
/// So many bytes a field that the largest head has under 100 fields, beyond which it is answered with an error.
const HEAD_FIELD_BYTES: usize = 340;
const PIECE_BYTES: usize = 6_400;
const PIECE_INTERVAL: Duration = Duration::from_millis(100);
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
const SERVICE_TIME: Duration = Duration::from_millis(20);
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
const BYSTANDER_PAUSE: Duration = Duration::from_millis(100);
const PLAY: Duration = Duration::from_secs(6);
/// Of the calls beside a crowd.
const MIN_SERVED_RATIO: f64 = 0.99;

/// Held by the test that runs: several crowds at a time would slow each other.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// What each client of a crowd does, again and again.
#[derive(Clone, Copy, Debug)]
enum Conduct {
    /// Reads a long answer slowly.
    ReadSlowly { framing: &'static str },
    /// Stops within a large body and stays.
    StallInBody { framing: &'static str, sent_bytes: usize },
    /// Stops within a large head and stays.
    StallInHead { head_bytes: usize },
}

/// How the requests of some clients ended.
#[derive(Debug, Default)]
struct Counts {
    served: AtomicUsize,
    rejected: AtomicUsize,
    /// Failed, cut off, late or without an answer.
    other: AtomicUsize,
}

impl Counts {
    fn count(&self, status: Option<u16>, is_timely: bool) {
        let counter = match status {
            Some(200) if is_timely => &self.served,
            Some(503) => &self.rejected,
            _ => &self.other,
        };
        counter.fetch_add(1, Ordering::SeqCst);
    }

    fn served_ratio(&self) -> f64 {
        let [served, rejected, other] =
            [&self.served, &self.rejected, &self.other].map(|count| count.load(Ordering::SeqCst) as f64);
        served / (served + rejected + other).max(1.0)
    }
}

fn answer_body(size: usize) -> &'static [u8] {
    static LONGEST: OnceLock<Vec<u8>> = OnceLock::new();
    &LONGEST.get_or_init(|| test_pattern(ANSWER_BYTES))[..size]
}

fn endpoints() -> Vec<String> {
    let start = |number| {
        let address = endpoint(|head, stream| {
            if body(head, stream).is_none() {
                return;
            }
            thread::sleep(SERVICE_TIME);
            let size = query_value(head, "size").and_then(|size| size.parse().ok()).unwrap_or(0);
            write_response(stream, query_value(head, "framing").unwrap_or("length"), answer_body(size));
        });
        entry(&format!("s-{number}"), address, "up", 0)
    };
    (0..ENDPOINT_COUNT).map(start).collect()
}

fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).ok()?;
    // Without a fixed size, the system buffers megabytes for a slow reader.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
    socket.connect(&address.into()).ok()?;
    socket.set_read_timeout(Some(LONG)).ok()?;
    Some(BufReader::new(socket.into()))
}

fn status_of(head: &str) -> Option<u16> {
    head.split(' ').nth(1)?.parse().ok()
}

impl Conduct {
    fn request(self) -> Vec<u8> {
        let timeout = format!("{}m", CLIENT_TIMEOUT.as_millis());
        match self {
            Conduct::ReadSlowly { framing } => {
                let target = format!("safe?framing={framing}&size={ANSWER_BYTES}");
                request_head(&target, &timeout, "Content-Length: 0\r\n").into_bytes()
            }
            Conduct::StallInBody { framing, sent_bytes } => {
                let (header, content) = match framing {
                    "chunked" => {
                        ("Transfer-Encoding: chunked\r\n".to_owned(), chunk(answer_body(sent_bytes)))
                    }
                    _ => (format!("Content-Length: {BODY_BYTES}\r\n"), answer_body(sent_bytes).to_vec()),
                };
                [request_head("unsafe", &timeout, &header).into_bytes(), content].concat()
            }
            Conduct::StallInHead { head_bytes } => {
                let mut head = request_head("safe", &timeout, "");
                head.truncate(head.len() - 2);
                while head.len() < head_bytes {
                    head += &format!("a:{}\r\n", "b".repeat(HEAD_FIELD_BYTES));
                }
                head.into_bytes()
            }
        }
    }

    fn run(self, address: SocketAddr, stop: &AtomicBool, counts: &Counts) {
        while !stop.load(Ordering::SeqCst) {
            let Some(mut stream) = connect(address) else { continue };
            let is_sent = send_bytes(&mut stream, &self.request());
            let sent_at = Instant::now();
            let Some(head) = head(&mut stream).filter(|_| is_sent) else { continue };
            let mut status = status_of(&head);
            let is_timely = sent_at.elapsed() < CLIENT_TIMEOUT;
            if matches!(self, Conduct::ReadSlowly { .. })
                && status == Some(200)
                && !read_slowly(&mut stream, stop)
            {
                status = None;
            }
            counts.count(status, is_timely);
            if status != Some(200) {
                thread::sleep(PIECE_INTERVAL);
            }
        }
    }
}

/// Reads until `stop` is set or the answer has ended. False if the connection ends before that.
fn read_slowly(stream: &mut BufReader<TcpStream>, stop: &AtomicBool) -> bool {
    let mut received_bytes = 0;
    let mut buffer = [0; PIECE_BYTES];
    while !stop.load(Ordering::SeqCst) && received_bytes < ANSWER_BYTES {
        match stream.read(&mut buffer) {
            Ok(count @ 1..) => received_bytes += count,
            _ => return false,
        }
        thread::sleep(PIECE_INTERVAL);
    }
    true
}

/// Makes small calls on one connection after the other.
fn run_bystander(address: SocketAddr, stop: &AtomicBool, counts: &Counts) {
    let timeout = format!("{}m", CLIENT_TIMEOUT.as_millis());
    while !stop.load(Ordering::SeqCst) {
        let Some(stream) = connect(address) else { continue };
        let mut client = Client { stream };
        loop {
            let sent_at = Instant::now();
            client.send("unsafe?size=300", &timeout);
            let answer = client.answer();
            if answer.is_none() && stop.load(Ordering::SeqCst) {
                // The play has ended, and the process with it.
                return;
            }
            counts.count(answer.as_ref().map(Message::status), sent_at.elapsed() < CLIENT_TIMEOUT);
            thread::sleep(BYSTANDER_PAUSE);
            let stays = answer.is_some_and(|answer| answer.header("connection") != Some("close"));
            if !stays || stop.load(Ordering::SeqCst) {
                break;
            }
        }
    }
}

/// What a play has shown.
#[derive(Debug)]
struct Play {
    peak_kb: usize,
    /// By what was lacking.
    rejections: String,
    crowd: Arc<Counts>,
    bystanders: Arc<Counts>,
}

/// Plays `count` clients with this conduct beside [`BYSTANDER_COUNT`] clients that make small calls.
fn play(memory_mb: usize, max_sockets: usize, conducts: &[(Conduct, usize)]) -> Play {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    answer_body(0);
    let discovery = Discovery::start();
    let listen = "127.0.0.1:0".parse().expect("an address");
    let config = config(listen, discovery.address, max_sockets, &endpoints())
        .replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory_mb}"));
    let config = config.replacen('{', r#"{"operator":"127.0.0.1:0","#, 1);
    let mut proxy = Proxy::with(&config);
    let admin = proxy.admin_address();
    let (crowd, bystanders) = (Arc::<Counts>::default(), Arc::<Counts>::default());
    let stop = Arc::<AtomicBool>::default();
    let address = proxy.address;
    let mut clients: Vec<thread::JoinHandle<()>> = Vec::new();
    for &(conduct, count) in conducts {
        for number in 0..count {
            let (stop, crowd) = (Arc::clone(&stop), Arc::clone(&crowd));
            clients.push(thread::spawn(move || {
                thread::sleep(Duration::from_secs(1) * number as u32 / count as u32);
                conduct.run(address, &stop, &crowd);
            }));
        }
    }
    for _ in 0..BYSTANDER_COUNT {
        let (stop, bystanders) = (Arc::clone(&stop), Arc::clone(&bystanders));
        clients.push(thread::spawn(move || run_bystander(address, &stop, &bystanders)));
    }
    let peak_kb = peak_memory_kb(&[proxy.child.id()], Instant::now() + PLAY);
    let rejections = metrics(admin)["rejections"].to_string();
    stop.store(true, Ordering::SeqCst);
    drop(proxy);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let play = Play { peak_kb, rejections, crowd, bystanders };
    println!("{memory_mb} MB, {max_sockets} descriptors, {conducts:?}: {play:?}");
    play
}

fn assert_limit_holds(conducts: &[(Conduct, usize)]) -> Play {
    let play = play(MEMORY_MB, MAX_SOCKETS, conducts);
    assert!(play.peak_kb <= MEMORY_MB * 1_024, "{conducts:?}: {play:?}");
    play
}

fn assert_bystanders_are_served(conducts: &[(Conduct, usize)]) {
    let play = assert_limit_holds(conducts);
    let Play { bystanders, rejections, .. } = &play;
    assert!(bystanders.served_ratio() >= MIN_SERVED_RATIO, "{conducts:?}: {bystanders:?}, {rejections}");
}

const CROWD_COUNT: usize = CLIENT_COUNT - BYSTANDER_COUNT;

#[test]
fn clients_that_read_long_answers_slowly_stay_within_the_memory_limit() {
    // Guards against connections whose memory is counted only after bodies have taken it.
    for framing in ["length", "chunked"] {
        let play = assert_limit_holds(&[(Conduct::ReadSlowly { framing }, CROWD_COUNT)]);
        assert!(play.crowd.served_ratio() >= MIN_SERVED_RATIO, "{framing}: {play:?}");
        assert!(play.bystanders.served_ratio() >= MIN_SERVED_RATIO, "{framing}: {play:?}");
    }
}

#[test]
fn clients_that_stop_within_large_bodies_leave_room_for_others() {
    // Guards against uploads that hold memory or endpoints while nothing of them arrives.
    for framing in ["length", "chunked"] {
        let conduct = Conduct::StallInBody { framing, sent_bytes: 200_000 };
        assert_bystanders_are_served(&[(conduct, CROWD_COUNT)]);
    }
}

#[test]
fn peers_that_stop_within_large_heads_stay_within_the_memory_limit() {
    // Guards against heads that are read without being counted, by more connections than are served.
    for head_bytes in [7_000, 15_000, 31_000] {
        assert_limit_holds(&[(Conduct::StallInHead { head_bytes }, PEER_COUNT)]);
    }
}

#[test]
fn clients_that_stop_within_large_heads_leave_room_for_others() {
    // Guards against heads that hold the memory of others while nothing of them arrives.
    for head_bytes in [7_000, 15_000, 31_000] {
        assert_bystanders_are_served(&[(Conduct::StallInHead { head_bytes }, CROWD_COUNT)]);
    }
}

/// Memory in MB and descriptors of the deployments that the platform may choose (TERMS).
const DEPLOYMENTS: [(usize, usize); 4] = [(32, 256), (48, 512), (64, 1_024), (192, 1_024)];

#[test]
fn crowds_stay_within_the_memory_limit_in_every_deployment() {
    // Guards against bounds that fit one deployment only.
    for (memory_mb, max_sockets) in DEPLOYMENTS {
        let count = max_sockets / 3 - BYSTANDER_COUNT;
        for conducts in [
            &[(Conduct::ReadSlowly { framing: "length" }, count)][..],
            &[(Conduct::StallInBody { framing: "chunked", sent_bytes: 60_000 }, count)],
            &[
                (Conduct::ReadSlowly { framing: "chunked" }, count / 2),
                (Conduct::StallInBody { framing: "length", sent_bytes: 200_000 }, count / 2),
            ],
        ] {
            let Play { peak_kb, crowd, bystanders, rejections } = play(memory_mb, max_sockets, conducts);
            let context = format!("{memory_mb} MB, {max_sockets} descriptors, {conducts:?}: {rejections}");
            assert!(peak_kb <= memory_mb * 1_024, "{context} {peak_kb} kB");
            assert!(bystanders.served_ratio() >= MIN_SERVED_RATIO, "{context} {bystanders:?}");
            assert_eq!(crowd.rejected.load(Ordering::SeqCst), 0, "{context} {crowd:?}");
        }
    }
}

#[test]
fn a_crowd_of_all_kinds_stays_within_the_memory_limit() {
    // Guards against parts of the memory that hold their bounds only one at a time.
    assert_limit_holds(&[
        (Conduct::ReadSlowly { framing: "chunked" }, CROWD_COUNT / 3),
        (Conduct::StallInBody { framing: "chunked", sent_bytes: 60_000 }, CROWD_COUNT / 3),
        (Conduct::StallInHead { head_bytes: 31_000 }, CROWD_COUNT),
    ]);
}
