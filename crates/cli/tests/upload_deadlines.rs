//! Final answers to large requests that wait in the system's buffers for their endpoint: their time counts from the
//! last byte that the client writes to its own socket, whatever the framing and however large the buffers.

mod peers;

use peers::bodies::*;
use peers::faults::fault_library;
use peers::shutdown::{write_response, FRAMINGS};
use peers::*;
use socket2::SockRef;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// A final answer is due this long after the client's timeout at the latest (STANDING).
const FINAL_ANSWER_SLACK: Duration = Duration::from_millis(500);
/// A client writes, and an endpoint reads, at most this many bytes at once.
const PIECE_BYTES: usize = 8_192;
const SMALL_BUFFER_BYTES: usize = 16 * 1024;
/// The largest send buffer that a program may request, before the system doubles it.
const LARGE_BUFFER_BYTES: usize = 4 << 20;
/// A client within the terms writes at least this many bytes a second (DAYS).
const SLOWEST_CLIENT_BYTES_PER_S: usize = 64_000;

/// Sizes of socket buffers that a side requests; `None` leaves them to the system.
#[derive(Clone, Copy, Debug, Default)]
struct Buffers {
    client_send: Option<usize>,
    proxy_receive: Option<usize>,
    /// On the proxy's connection to its endpoint.
    proxy_send: Option<usize>,
    endpoint_receive: Option<usize>,
}

impl Buffers {
    fn small() -> Self {
        let size = Some(SMALL_BUFFER_BYTES);
        Buffers { client_send: size, proxy_receive: size, proxy_send: size, endpoint_receive: size }
    }
}

/// How an endpoint reads a request.
#[derive(Clone, Copy, Debug)]
struct EndpointPace {
    /// How long it waits before it reads the body.
    pause: Duration,
    bytes_per_s: usize,
    /// It reads nothing after this many bytes.
    stops_after: Option<usize>,
}

impl EndpointPace {
    fn steady(bytes_per_s: usize) -> Self {
        EndpointPace { pause: Duration::ZERO, bytes_per_s, stops_after: None }
    }
}

/// One large request, its client and its endpoint.
#[derive(Clone, Copy, Debug)]
struct Play {
    framing: &'static str,
    body_bytes: usize,
    timeout: Duration,
    endpoint: EndpointPace,
    client_bytes_per_s: Option<usize>,
    buffers: Buffers,
    /// The proxy cannot ask the system how much its client has written.
    is_netlink_refused: bool,
}

/// What a client has seen.
#[derive(Debug)]
struct Observed {
    /// When the last byte of the request was written, from its beginning. `None` if the connection ended before.
    written: Option<Duration>,
    /// When the first byte of the answer came, and its status. `None` if the connection ended without one.
    answered: Option<(Duration, u16)>,
}

/// Delays reads or writes so that no more than a number of bytes a second pass.
struct Pacer {
    began: Instant,
    bytes_per_s: usize,
    passed_bytes: usize,
}

impl Pacer {
    fn new(bytes_per_s: usize) -> Self {
        Pacer { began: Instant::now(), bytes_per_s, passed_bytes: 0 }
    }

    fn pass(&mut self, bytes: usize) {
        self.passed_bytes += bytes;
        let due = Duration::from_secs_f64(self.passed_bytes as f64 / self.bytes_per_s as f64);
        thread::sleep((self.began + due).saturating_duration_since(Instant::now()));
    }
}

/// Reads a stream at an endpoint's pace.
struct PacedReader<'a> {
    stream: &'a mut BufReader<TcpStream>,
    pacer: Pacer,
    stops_after: Option<usize>,
}

impl Read for PacedReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.stops_after.is_some_and(|limit| self.pacer.passed_bytes >= limit) {
            thread::sleep(LONG);
        }
        let length = buffer.len().min(PIECE_BYTES);
        let count = self.stream.read(&mut buffer[..length])?;
        self.pacer.pass(count);
        Ok(count)
    }
}

impl Play {
    fn start_endpoint(self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        if let Some(size) = self.buffers.endpoint_receive {
            SockRef::from(&listener).set_recv_buffer_size(size).expect("a receive buffer");
        }
        serve_connections(listener, move |head, stream| {
            thread::sleep(self.endpoint.pause);
            let pacer = Pacer::new(self.endpoint.bytes_per_s);
            let reader = PacedReader { stream, pacer, stops_after: self.endpoint.stops_after };
            if body(head, &mut BufReader::new(reader)).is_some() {
                write_response(stream, "length", b"ok");
            }
        });
        address
    }

    fn request(self) -> Vec<u8> {
        let content = test_pattern(self.body_bytes);
        let (header, body) = match self.framing {
            "chunked" => ("Transfer-Encoding: chunked\r\n".to_owned(), chunked(&content, PIECE_BYTES)),
            _ => (format!("Content-Length: {}\r\n", content.len()), content),
        };
        let head = request_head("unsafe", &format!("{}m", self.timeout.as_millis()), &header);
        [head.into_bytes(), body].concat()
    }

    /// Writes the request. Returns when the last byte was written, or `None` if the connection ended before.
    fn write(self, mut stream: &TcpStream, request: &[u8]) -> Option<Instant> {
        let mut pacer = self.client_bytes_per_s.map(Pacer::new);
        for piece in request.chunks(PIECE_BYTES) {
            stream.write_all(piece).ok()?;
            if let Some(pacer) = &mut pacer {
                pacer.pass(piece.len());
            }
        }
        Some(Instant::now())
    }

    fn start_proxy(self, platform: &Platform, config: &str) -> Proxy {
        let mut variables = vec![("LD_PRELOAD", fault_library().to_str().expect("a path"))];
        let size = self.buffers.proxy_send.map(|size| size.to_string());
        variables.extend(size.as_deref().map(|size| ("FAULT_SEND_BUFFER", size)));
        variables.extend(self.is_netlink_refused.then_some(("FAULT_NO_NETLINK", "1")));
        platform.start_with_variables(config, &variables)
    }

    /// Sends the request to a proxy of its own, whose only endpoint is that of this play.
    fn run(self) -> Observed {
        let discovery = Discovery::start();
        let platform = Platform::new();
        if let Some(size) = self.buffers.proxy_receive {
            SockRef::from(&platform.listener).set_recv_buffer_size(size).expect("a receive buffer");
        }
        let known = [entry("s-1", self.start_endpoint(), "up", 0)];
        let listen = platform.listener.local_addr().expect("an address");
        let proxy = self.start_proxy(&platform, &config(listen, discovery.address, 1_024, &known));
        let request = self.request();
        let stream = proxy.client().stream.into_inner();
        if let Some(size) = self.buffers.client_send {
            SockRef::from(&stream).set_send_buffer_size(size).expect("a send buffer");
        }
        let began = Instant::now();
        let reading = stream.try_clone().expect("a descriptor");
        let answer = thread::spawn(move || {
            let message = read(&mut BufReader::new(reading))?;
            Some((began.elapsed(), message.status()))
        });
        let written = self.write(&stream, &request).map(|at| at - began);
        Observed { written, answered: answer.join().expect("a reader") }
    }
}

/// Runs all plays beside each other and returns what their clients have seen, in the same order.
fn run_all(plays: &[Play]) -> Vec<Observed> {
    thread::scope(|scope| {
        let threads: Vec<_> = plays.iter().map(|play| scope.spawn(|| play.run())).collect();
        threads.into_iter().map(|thread| thread.join().expect("a play")).collect()
    })
}

/// Each play in both framings.
fn in_both_framings(plays: impl IntoIterator<Item = Play>) -> Vec<Play> {
    let frame = |play| FRAMINGS.map(|framing| Play { framing, ..play });
    plays.into_iter().flat_map(frame).collect()
}

fn print(play: &Play, observed: &Observed) {
    let Play { framing, body_bytes, timeout, endpoint, client_bytes_per_s, buffers, .. } = play;
    println!(
        "{framing} {body_bytes} bytes, {timeout:?}, {} B/s, client {client_bytes_per_s:?}, {buffers:?}: {observed:?}",
        endpoint.bytes_per_s
    );
}

/// Each final answer must come in time after the last byte that its client wrote.
fn assert_answered_in_time(plays: &[Play]) {
    let mut late = Vec::new();
    for (play, observed) in plays.iter().zip(run_all(plays)) {
        print(play, &observed);
        let due = observed.written.map(|written| written + play.timeout + FINAL_ANSWER_SLACK);
        let is_late = match (observed.answered, due) {
            (Some((answered, _)), Some(due)) => answered > due,
            (Some(_), None) => false,
            (None, _) => true,
        };
        if is_late {
            late.push((*play, observed));
        }
    }
    assert!(late.is_empty(), "late or without an answer: {late:#?}");
}

fn assert_served(plays: &[Play]) {
    let mut failed = Vec::new();
    for (play, observed) in plays.iter().zip(run_all(plays)) {
        print(play, &observed);
        if !matches!(observed.answered, Some((_, 200))) {
            failed.push((*play, observed));
        }
    }
    assert!(failed.is_empty(), "not served: {failed:#?}");
}

/// A request whose client writes it at once and whose endpoint reads it slowly.
fn slow_endpoint(body_bytes: usize, bytes_per_s: usize, timeout_ms: u64) -> Play {
    Play {
        framing: "",
        body_bytes,
        timeout: Duration::from_millis(timeout_ms),
        endpoint: EndpointPace::steady(bytes_per_s),
        client_bytes_per_s: None,
        buffers: Buffers::default(),
        is_netlink_refused: false,
    }
}

/// The requests of these plays are written at once and read slowly.
fn plays_of_any_buffer_size() -> Vec<Play> {
    let small = |play| Play { buffers: Buffers::small(), ..play };
    let large_send = Buffers { client_send: Some(LARGE_BUFFER_BYTES), ..Buffers::default() };
    let small_receive = Buffers { client_send: Some(LARGE_BUFFER_BYTES), ..Buffers::small() };
    in_both_framings([
        small(slow_endpoint(400_000, 50_000, 600)),
        small(slow_endpoint(2_000_000, 200_000, 600)),
        Play { buffers: large_send, ..slow_endpoint(6_500_000, 400_000, 800) },
        Play { buffers: small_receive, ..slow_endpoint(3_000_000, 200_000, 600) },
        Play { buffers: small_receive, ..slow_endpoint(6_500_000, 400_000, 1_200) },
    ])
}

/// The clients of these plays write more slowly than their endpoints read.
fn plays_of_slow_clients() -> Vec<Play> {
    let behind = EndpointPace {
        pause: Duration::from_millis(400),
        bytes_per_s: SLOWEST_CLIENT_BYTES_PER_S * 5 / 4,
        stops_after: None,
    };
    let paced = |play, bytes_per_s| Play { client_bytes_per_s: Some(bytes_per_s), ..play };
    in_both_framings([
        paced(slow_endpoint(300_000, 100_000_000, 600), SLOWEST_CLIENT_BYTES_PER_S),
        paced(slow_endpoint(900_000, 100_000_000, 600), 300_000),
        Play { endpoint: behind, ..paced(slow_endpoint(300_000, 1, 1_500), SLOWEST_CLIENT_BYTES_PER_S) },
        Play {
            endpoint: EndpointPace { bytes_per_s: 320_000, ..behind },
            buffers: Buffers { endpoint_receive: Some(SMALL_BUFFER_BYTES), ..Buffers::default() },
            ..paced(slow_endpoint(1_200_000, 1, 1_500), 300_000)
        },
    ])
}

/// A request that its client writes for `duration_us`, a piece in each interval. The proxy cannot read its send queue.
fn written_in_intervals(interval_us: usize, duration_us: usize) -> Play {
    Play {
        client_bytes_per_s: Some(PIECE_BYTES * 1_000_000 / interval_us),
        is_netlink_refused: true,
        ..slow_endpoint(PIECE_BYTES * duration_us / interval_us, 100_000_000, 600)
    }
}

#[test]
fn a_request_that_waits_in_buffers_for_its_endpoint_has_its_final_answer_in_time() {
    // Guards against time that counts from the moment at which the proxy reads the end of a request.
    let size = Some(SMALL_BUFFER_BYTES);
    let behind_proxy = Buffers { proxy_send: size, endpoint_receive: size, ..Buffers::default() };
    let plays = [
        Play { buffers: behind_proxy, ..slow_endpoint(835_304, 103_314, 622) },
        Play { buffers: behind_proxy, ..slow_endpoint(897_103, 119_346, 600) },
        Play { buffers: behind_proxy, ..slow_endpoint(987_853, 117_793, 624) },
        Play { buffers: behind_proxy, ..slow_endpoint(900_236, 119_073, 839) },
        slow_endpoint(835_304, 103_314, 622),
        slow_endpoint(2_000_000, 500_000, 800),
        slow_endpoint(6_000_000, 1_000_000, 1_000),
        slow_endpoint(12_000_000, 2_000_000, 1_500),
    ];
    assert_answered_in_time(&in_both_framings(plays));
}

#[test]
fn a_request_in_buffers_of_any_size_has_its_final_answer_in_time() {
    // Guards against an end of the request that is inferred from the usual size of a buffer.
    assert_answered_in_time(&plays_of_any_buffer_size());
}

#[test]
fn a_request_in_buffers_has_its_final_answer_in_time_where_the_system_refuses_netlink() {
    // Guards against a bound that only holds where the send queues of clients can be read.
    let refused = |play| Play { is_netlink_refused: true, ..play };
    assert_answered_in_time(&plays_of_any_buffer_size().into_iter().map(refused).collect::<Vec<_>>());
}

#[test]
fn a_client_that_writes_slowly_is_served_where_the_system_refuses_netlink() {
    // Guards against a client's own slowness counted as time in which its answer is due.
    let refused = |play| Play { is_netlink_refused: true, ..play };
    assert_served(&plays_of_slow_clients().into_iter().map(refused).collect::<Vec<_>>());
}

#[test]
fn a_client_that_writes_in_regular_intervals_is_served_where_the_system_refuses_netlink() {
    // Guards against pauses of a client that go unseen since they have the period of the observations.
    let play = |interval_us: usize| written_in_intervals(interval_us, 2_500_000);
    assert_served(&in_both_framings((24_500..28_500).step_by(250).map(play)));
}

#[test]
fn a_client_that_hardly_pauses_is_served_where_the_system_refuses_netlink() {
    // Guards against pauses as the only proof that a client has not written its last byte.
    let play = |interval_us: usize| written_in_intervals(interval_us, 2_500_000);
    assert_served(&in_both_framings([10_000, 12_500, 16_000, 19_000].map(play)));
}

#[test]
fn a_request_whose_endpoint_stops_reading_has_its_final_answer_in_time() {
    // Guards against progress that an endpoint made before it stopped as a reason to wait longer.
    let stopping = |play: Play, stops_after| Play {
        endpoint: EndpointPace { stops_after: Some(stops_after), ..play.endpoint },
        ..play
    };
    let plays = [
        stopping(slow_endpoint(1_000_000, 1_000_000, 600), 100_000),
        stopping(slow_endpoint(8_000_000, 4_000_000, 900), 4_000_000),
        Play { buffers: Buffers::small(), ..stopping(slow_endpoint(500_000, 1_000_000, 600), 50_000) },
    ];
    assert_answered_in_time(&in_both_framings(plays));
}

#[test]
fn a_request_that_client_and_endpoint_pass_slowly_has_its_final_answer_in_time() {
    // Guards against a slow client as a reason to count from the endpoint's pace.
    let paced = |play, bytes_per_s| Play { client_bytes_per_s: Some(bytes_per_s), ..play };
    let plays = [
        paced(slow_endpoint(900_000, 119_073, 839), 900_000),
        paced(slow_endpoint(2_000_000, 400_000, 700), 1_000_000),
        Play { buffers: Buffers::small(), ..paced(slow_endpoint(600_000, 100_000, 600), 300_000) },
    ];
    let refused = plays.map(|play| Play { is_netlink_refused: true, ..play });
    assert_answered_in_time(&in_both_framings(plays.into_iter().chain(refused)));
}

#[test]
fn a_client_that_writes_slowly_is_served_although_its_request_takes_longer_than_its_timeout() {
    // Guards against a client's own slowness counted as time in which its answer is due.
    assert_served(&plays_of_slow_clients());
}

#[test]
fn a_request_that_its_endpoint_reads_in_time_is_served_although_its_client_waits_for_room() {
    // Guards against a client that waits for room in its send buffer counted as one that has written everything.
    let plays = [
        Play { buffers: Buffers::small(), ..slow_endpoint(1_000_000, 200_000, 1_000) },
        Play { buffers: Buffers::small(), ..slow_endpoint(12_000_000, 4_000_000, 2_000) },
        slow_endpoint(24_000_000, 8_000_000, 2_500),
        slow_endpoint(3_000_000, 4_000_000, 1_500),
    ];
    assert_served(&in_both_framings(plays));
}
