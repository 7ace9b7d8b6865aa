//! Clients that read their responses slowly: a response that the proxy has written arrives completely, for
//! whatever reason the connection closes.

mod peers;

use peers::bodies::*;
use peers::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::LazyLock;
use std::thread;
use std::time::{Duration, Instant};

/// Several times the size of the socket buffers between proxy and client.
const RESPONSE_BYTES: usize = 8 << 20;
/// A small receive buffer, so that most of a response waits in the proxy's send buffer.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// Size of a slow reader's reads, and the pause after each.
const READ_STEP_BYTES: usize = 64 << 10;
const READ_PAUSE: Duration = Duration::from_millis(2);
/// Pause between reads of the kernel's socket table, and the number of stream reads between two of them.
const SOCKET_TABLE_INTERVAL: Duration = Duration::from_millis(10);
const READ_STEPS_PER_CHECK: usize = 16;
/// Past the idle limit of 2.1 s and the linger of 250 ms after it.
const PAST_IDLE_LIMIT: Duration = Duration::from_millis(2_700);
/// Past the time limit of idle connections in graceful shutdown, and the linger after it.
const SHUTDOWN_WAIT: Duration = Duration::from_millis(1_500);
/// Past the 30 s for which a client may read nothing of its response.
const STALL_WAIT: Duration = Duration::from_secs(40);
/// Descriptor limit of a proxy that serves few clients.
const FEW_SOCKETS: usize = 64;

/// Generated before the first request: on a busy machine this takes longer than the idle limit of a
/// connection.
static LARGE_BODY: LazyLock<Vec<u8>> = LazyLock::new(|| test_pattern(RESPONSE_BYTES));

/// An endpoint that answers `/safe/large` with a large response and others with a small one.
fn start_endpoint() -> SocketAddr {
    LazyLock::force(&LARGE_BODY);
    endpoint(|head, stream| {
        if head.contains("large") {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {RESPONSE_BYTES}\r\n\r\n");
            send_bytes(stream, head.as_bytes());
            send_bytes(stream, &LARGE_BODY);
        } else {
            send_bytes(stream, answer("200 OK", "", "ok").as_bytes());
        }
    })
}

fn known(endpoint: SocketAddr) -> Vec<String> {
    vec![entry("s-1", endpoint, "up", 0)]
}

fn any_address() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

/// A snapshot of the kernel's TCP socket table. Reading it is slow on a machine with many sockets.
struct SocketTable(String);

/// One socket of this machine.
struct SocketState {
    /// Bytes sent that the peer's kernel has not acknowledged.
    unacknowledged: usize,
    /// Bytes received that the process has not read.
    unread: usize,
    /// Whether a process still has the socket open.
    is_open: bool,
}

impl SocketTable {
    fn read() -> SocketTable {
        SocketTable(std::fs::read_to_string("/proc/net/tcp").expect("the socket table"))
    }

    /// The state of the loopback socket with these addresses. None if it no longer exists.
    fn find(&self, local: SocketAddr, remote: SocketAddr) -> Option<SocketState> {
        let addresses = format!("0100007F:{:04X} 0100007F:{:04X}", local.port(), remote.port());
        let row = self.0.lines().find(|row| row.contains(&addresses))?;
        let fields: Vec<&str> = row.split_whitespace().collect();
        let (unacknowledged, unread) = fields[4].split_once(':').expect("two queues");
        let bytes = |text| usize::from_str_radix(text, 16).expect("a number");
        Some(SocketState {
            unacknowledged: bytes(unacknowledged),
            unread: bytes(unread),
            is_open: fields[9] != "0",
        })
    }
}

/// A client with a small receive buffer that reads a large response in small steps.
struct SlowReader {
    stream: BufReader<TcpStream>,
    proxy: SocketAddr,
    local: SocketAddr,
    received: Vec<u8>,
    /// Length of the head and the body, once the head has been received.
    response_bytes: Option<usize>,
}

impl SlowReader {
    fn connect(proxy: &Proxy) -> SlowReader {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a size");
        socket.connect(&proxy.address.into()).expect("a listening process");
        let stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        stream.set_nodelay(true).expect("an open connection");
        let local = stream.local_addr().expect("its address");
        SlowReader {
            stream: BufReader::new(stream),
            proxy: proxy.address,
            local,
            received: vec![],
            response_bytes: None,
        }
    }

    fn write(&mut self, text: &str) -> bool {
        self.stream.get_mut().write_all(text.as_bytes()).is_ok()
    }

    fn request_large(&mut self, framing: &str) {
        assert!(self.write(&large_request(framing)));
    }

    /// Reads the next bytes of the response. False if the connection has closed or failed, or the response is
    /// complete.
    fn read_some(&mut self) -> bool {
        let missing = self.response_bytes.map_or(READ_STEP_BYTES, |total| total - self.received.len());
        let mut buffer = vec![0; missing.min(READ_STEP_BYTES)];
        let count = self.stream.get_mut().read(&mut buffer).unwrap_or(0);
        self.received.extend(&buffer[..count]);
        if self.response_bytes.is_none() {
            let head_end = self.received.windows(4).position(|window| window == b"\r\n\r\n");
            self.response_bytes = head_end.map(|at| at + 4 + RESPONSE_BYTES);
        }
        count > 0
    }

    /// Reads until the proxy has written the whole response and more than a receive buffer of it is
    /// unacknowledged.
    fn read_until_written(&mut self) {
        let began = Instant::now();
        loop {
            for _ in 0..READ_STEPS_PER_CHECK {
                assert!(self.read_some(), "only {} bytes received", self.received.len());
            }
            let (unacknowledged, unread) = self.settled_bytes();
            let written = self.received.len() + unread + unacknowledged;
            if self.response_bytes.is_some_and(|total| written >= total) {
                assert!(unacknowledged > RECEIVE_BUFFER_BYTES, "{unacknowledged} bytes are unacknowledged");
                return;
            }
            assert!(began.elapsed() < LONG);
        }
    }

    /// Bytes in the proxy's send buffer and in the client's receive buffer, once both are stable.
    fn settled_bytes(&self) -> (usize, usize) {
        let bytes = || {
            let table = SocketTable::read();
            let unacknowledged = table.find(self.proxy, self.local).map_or(0, |socket| socket.unacknowledged);
            let unread = table.find(self.local, self.proxy).map_or(0, |socket| socket.unread);
            (unacknowledged, unread)
        };
        let mut before = bytes();
        loop {
            thread::sleep(SOCKET_TABLE_INTERVAL);
            let now = bytes();
            if now == before {
                return now;
            }
            before = now;
        }
    }

    /// Waits at most `time_limit` for the proxy to close its socket, and returns whether it has.
    fn is_closed_within(&self, time_limit: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < time_limit {
            if !SocketTable::read().find(self.proxy, self.local).is_some_and(|socket| socket.is_open) {
                return true;
            }
            thread::sleep(SOCKET_TABLE_INTERVAL);
        }
        false
    }

    /// Reads the rest of the response slowly. Panics if it is truncated.
    fn read_rest(&mut self) {
        while self.response_bytes != Some(self.received.len()) && self.read_some() {
            thread::sleep(READ_PAUSE);
        }
        assert_eq!(Some(self.received.len()), self.response_bytes, "the response is truncated");
        assert!(self.received.ends_with(&LARGE_BODY));
    }

    fn status(&mut self) -> Option<u16> {
        read(&mut self.stream).map(|response| response.status())
    }
}

fn large_request(framing: &str) -> String {
    request_head("safe/large", "9000m", &format!("Content-Length: 0\r\n{framing}"))
}

fn small_request() -> String {
    request_head("safe", "9000m", "Content-Length: 0\r\n")
}

/// The client sends its next request past the idle limit, while most of the response is still in the send
/// buffer.
#[test]
fn a_request_past_the_idle_limit_truncates_no_response() {
    let discovery = Discovery::start();
    let proxy = Proxy::start(&discovery, &known(start_endpoint()));
    let mut client = SlowReader::connect(&proxy);
    client.request_large("");
    client.read_until_written();
    let closed = client.is_closed_within(PAST_IDLE_LIMIT);
    client.write(&small_request());
    client.read_rest();
    assert!(!closed);
    assert_eq!(client.status(), Some(200));
}

/// The client pipelines its next request behind the one for the large response, and sends a third past the
/// idle limit.
#[test]
fn a_pipelined_request_truncates_no_response() {
    let discovery = Discovery::start();
    let proxy = Proxy::start(&discovery, &known(start_endpoint()));
    let mut client = SlowReader::connect(&proxy);
    client.write(&(large_request("") + &small_request()));
    client.read_until_written();
    client.is_closed_within(PAST_IDLE_LIMIT);
    client.read_rest();
    assert_eq!(client.status(), Some(200));
    client.write(&small_request());
    assert_eq!(client.status(), Some(200));
}

/// The idle limit starts when the client has received the response, not at the proxy's last write.
#[test]
fn a_request_right_after_a_slowly_read_response_is_served() {
    let discovery = Discovery::start();
    let proxy = Proxy::start(&discovery, &known(start_endpoint()));
    let mut client = SlowReader::connect(&proxy);
    client.request_large("");
    client.read_until_written();
    client.is_closed_within(PAST_IDLE_LIMIT);
    client.read_rest();
    let read_at = Instant::now();
    client.write(&small_request());
    let sent_after = read_at.elapsed();
    assert_eq!(client.status(), Some(200), "sent {sent_after:?} after the response was read");
}

/// New connections exceed the capacity while a slow reader's response is in the send buffer: other
/// connections are evicted.
#[test]
fn eviction_truncates_no_response() {
    const OTHER_CLIENTS: usize = 24;
    let discovery = Discovery::start();
    let proxy = Proxy::with(&config(any_address(), discovery.address, FEW_SOCKETS, &known(start_endpoint())));
    let mut client = SlowReader::connect(&proxy);
    client.request_large("");
    client.read_until_written();
    let mut others = Vec::new();
    for _ in 0..OTHER_CLIENTS {
        let mut other = proxy.client();
        other.write(&small_request());
        assert!([200, 503].contains(&other.answer().expect("a response").status()));
        others.push(other);
        if client.is_closed_within(Duration::from_millis(60)) {
            break;
        }
    }
    client.write(&small_request());
    client.read_rest();
    assert_eq!(client.status(), Some(200));
}

/// Graceful shutdown begins while most of a response is in the send buffer, and the client sends another
/// request. The process still has another response to write.
#[test]
fn graceful_shutdown_truncates_no_response() {
    let discovery = Discovery::start();
    let mut proxy = Proxy::start(&discovery, &known(start_endpoint()));
    let mut other = SlowReader::connect(&proxy);
    other.request_large("");
    assert!(other.read_some());
    assert_shutdown_truncates_nothing(&proxy);
    other.read_rest();
    drop(other);
    assert!(proxy.exits_successfully(), "the process ends once its connections have closed");
}

/// As above, with no other response that keeps the process running.
#[test]
fn the_end_of_the_process_truncates_no_response() {
    let discovery = Discovery::start();
    let mut proxy = Proxy::start(&discovery, &known(start_endpoint()));
    assert_shutdown_truncates_nothing(&proxy);
    assert!(proxy.exits_successfully(), "the process ends once its connections have closed");
}

fn assert_shutdown_truncates_nothing(proxy: &Proxy) {
    let mut client = SlowReader::connect(proxy);
    client.request_large("");
    client.read_until_written();
    proxy.terminate();
    client.is_closed_within(SHUTDOWN_WAIT);
    client.write(&small_request());
    client.read_rest();
    // The connection closed before the request arrived, or after the response to it.
    assert!([None, Some(200)].contains(&client.status()));
}

/// The response closes the connection, and the client sends another request before it has read the response.
#[test]
fn a_closing_response_is_not_truncated() {
    let discovery = Discovery::start();
    let proxy = Proxy::start(&discovery, &known(start_endpoint()));
    let mut client = SlowReader::connect(&proxy);
    client.request_large("Connection: close\r\n");
    client.read_until_written();
    client.is_closed_within(Duration::from_millis(1_000));
    client.write(&small_request());
    client.read_rest();
    assert_eq!(client.status(), None);
}

/// A client that stops reading does not occupy its connection for ever, whether the connection is idle or
/// closing.
#[test]
fn a_client_that_stops_reading_is_disconnected_after_the_stall_limit() {
    let discovery = Discovery::start();
    let proxy = Proxy::start(&discovery, &known(start_endpoint()));
    let clients = ["", "Connection: close\r\n"].map(|framing| {
        let mut client = SlowReader::connect(&proxy);
        client.request_large(framing);
        client.read_until_written();
        client
    });
    for client in &clients {
        assert!(client.is_closed_within(STALL_WAIT));
    }
}

/// A client reads the response only after it has sent its whole upload, or after a write has failed.
#[test]
fn a_rejected_upload_gets_its_complete_response() {
    const TOO_LARGE_BYTES: usize = 44 << 20;
    let discovery = Discovery::start();
    let proxy = Proxy::start(&discovery, &known(start_endpoint()));
    let without_endpoints = Proxy::start(&discovery, &[]);
    for (proxy, size, expected) in
        [(&proxy, TOO_LARGE_BYTES, [413, 413]), (&without_endpoints, 1 << 20, [503, 504])]
    {
        let mut client = proxy.client();
        client.write(&request_head("unsafe", "300m", &format!("Content-Length: {size}\r\n")));
        let is_sent = send_bytes(&mut client.stream, &test_pattern(size));
        let response = client.answer().expect("a complete response");
        println!("{size} bytes, sent completely: {is_sent}, {}", response.status());
        assert!(expected.contains(&response.status()), "{}", response.status());
    }
}
