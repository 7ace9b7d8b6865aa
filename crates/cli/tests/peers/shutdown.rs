//! A process that is to end, its clients, and the SIGKILL that follows SIGTERM at the protocol's earliest moment.

use super::bodies::*;
use super::*;
use std::sync::atomic::AtomicBool;
use std::sync::OnceLock;
use std::thread::JoinHandle;
use std::time::Instant;

/// The longest deadline of the classes here.
pub const DEADLINE: Duration = Duration::from_secs(1);
/// SIGKILL follows SIGTERM no sooner than the longest deadline and this (PROTOCOL, Figures).
pub const KILL_MARGIN: Duration = Duration::from_millis(700);
/// A slow client takes this many bytes of its response in each [`READ_INTERVAL`]: 64 KB a second.
const READ_BYTES: usize = 6_400;
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Receive buffer of a slow client. The system would let it grow to hold all of its response.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// More than the system takes for a slow reader with a limit of 4 MB for a send buffer (`net.ipv4.tcp_wmem`).
pub const RESPONSE_BYTES_BEYOND_A_SEND_BUFFER: usize = 5_000_000;
/// So many parts make a response that is given over some time.
const GIVEN_PARTS: usize = 24;
/// How the length of a body is told.
pub const FRAMINGS: [&str; 2] = ["length", "chunked"];

/// The body of a response of this length. Made before the first request: it takes longer than a deadline allows.
pub fn response_body(size: usize) -> &'static [u8] {
    static LONGEST: OnceLock<Vec<u8>> = OnceLock::new();
    &LONGEST.get_or_init(|| test_pattern(RESPONSE_BYTES_BEYOND_A_SEND_BUFFER))[..size]
}

/// How the process is followed by the next one.
#[derive(Clone, Copy, Debug)]
pub enum Restart {
    /// A successor serves already, on the listener that both inherit.
    Hot,
    /// Nobody serves until the process has ended.
    Planned,
}

/// The process that is to end and, in a hot restart, what it shares with its successor.
pub struct Shutdown {
    pub proxy: Proxy,
    platform: Option<Platform>,
    config: String,
    _discovery: Discovery,
}

impl Shutdown {
    /// Starts the process that is to end, with this endpoint.
    pub fn prepare(restart: Restart, endpoint: SocketAddr) -> Shutdown {
        response_body(0);
        let discovery = Discovery::start();
        let known = [entry("s-1", endpoint, "up", 0)];
        let listen = "127.0.0.1:0".parse().expect("an address");
        let deadline = format!("\"deadline_us\":{}", DEADLINE.as_micros());
        let config = config(listen, discovery.address, 1_024, &known)
            .replace("\"deadline_us\":3000000", &deadline)
            .replace("\"objective_us\":1500000", "\"objective_us\":500000");
        assert!(config.contains(&deadline));
        let platform = matches!(restart, Restart::Hot).then(Platform::new);
        let proxy = match &platform {
            Some(platform) => platform.start(&config),
            None => Proxy::with(&config),
        };
        Shutdown { proxy, platform, config, _discovery: discovery }
    }

    /// Clients whose connections the process has accepted, so that no successor can.
    pub fn connected_clients(&self, count: usize) -> Vec<Client> {
        let mut clients: Vec<Client> = (0..count).map(|_| self.proxy.client()).collect();
        for client in &mut clients {
            let socket = socket2::SockRef::from(client.stream.get_ref());
            socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a receive buffer");
            assert_eq!(client.call("safe", "900m").status(), 200);
        }
        clients
    }

    /// The folder that the process shares with its successor, if it is a hot restart.
    pub fn shared_folder(&self) -> Option<&std::path::Path> {
        self.platform.as_ref().map(|platform| platform.folder.as_path())
    }

    /// Starts the process that follows, if it is a hot restart.
    pub fn start_successor(&self) -> Option<Proxy> {
        self.platform.as_ref().map(|platform| platform.start(&self.config))
    }

    /// Sends SIGTERM. Returns when that was.
    pub fn terminate(&self) -> Instant {
        self.proxy.terminate();
        Instant::now()
    }

    /// Sends SIGKILL at the earliest moment after SIGTERM, and waits for the end of the process.
    pub fn kill(&mut self, terminated: Instant) {
        let moment = terminated + DEADLINE + KILL_MARGIN;
        thread::sleep(moment.saturating_duration_since(Instant::now()));
        self.proxy.child.kill().expect("a child");
        self.proxy.child.wait().expect("a child");
    }
}

/// All bytes that arrive until the end of the connection: slowly until the process has been killed, then at once.
pub fn read_slowly(mut stream: BufReader<TcpStream>, killed: &AtomicBool) -> Vec<u8> {
    let mut received = Vec::new();
    let mut buffer = [0; READ_BYTES];
    // A reset ends the connection as well; what has arrived before it counts.
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        received.extend_from_slice(&buffer[..count]);
        if !killed.load(Ordering::SeqCst) {
            thread::sleep(READ_INTERVAL);
        }
    }
    received
}

/// Reads so on a thread of its own.
pub fn spawn_slow_reader(client: Client, killed: &Arc<AtomicBool>) -> JoinHandle<Vec<u8>> {
    let killed = Arc::clone(killed);
    thread::spawn(move || read_slowly(client.stream, &killed))
}

/// Writes a complete response of this framing, of [`FRAMINGS`].
pub fn write_response(stream: &mut BufReader<TcpStream>, framing: &str, content: &[u8]) {
    let (header, body) = match framing {
        "chunked" => ("Transfer-Encoding: chunked".to_owned(), chunked(content, 16_384)),
        _ => (format!("Content-Length: {}", content.len()), content.to_vec()),
    };
    let head = format!("HTTP/1.1 200 OK\r\n{header}\r\n\r\n").into_bytes();
    send_bytes(stream, &[head, body].concat());
}

/// Writes a complete response of this framing, the body evenly over this time.
pub fn write_response_over(
    stream: &mut BufReader<TcpStream>,
    framing: &str,
    content: &[u8],
    give_time: Duration,
) {
    if give_time.is_zero() {
        return write_response(stream, framing, content);
    }
    let header = match framing {
        "chunked" => "Transfer-Encoding: chunked".to_owned(),
        _ => format!("Content-Length: {}", content.len()),
    };
    let mut is_open = send_bytes(stream, format!("HTTP/1.1 200 OK\r\n{header}\r\n\r\n").as_bytes());
    for part in content.chunks(content.len().div_ceil(GIVEN_PARTS)) {
        let part = if framing == "chunked" { chunk(part) } else { part.to_vec() };
        is_open = is_open && send_bytes(stream, &part);
        thread::sleep(give_time / GIVEN_PARTS as u32);
    }
    if is_open && framing == "chunked" {
        send_bytes(stream, LAST_CHUNK);
    }
}

/// The value of a name in a request's query.
pub fn query_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = head.split(' ').nth(1)?.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// The response that a request's query asks for: its framing and its length in bytes.
pub fn requested_response(head: &str) -> Option<(&str, usize)> {
    let size = query_value(head, "size")?.parse().expect("a size");
    Some((query_value(head, "framing")?, size))
}

/// An endpoint that reports each request whose query asks for a response, and gives it once the sender that came with
/// the report is dropped. Other requests are answered at once.
pub fn gated_endpoint() -> (SocketAddr, Receiver<Sender<()>>) {
    let (arrival_sender, arrivals) = channel();
    let address = endpoint(move |head, stream| {
        if body(head, stream).is_none() {
            return;
        }
        let Some((framing, size)) = requested_response(head) else {
            write_response(stream, "length", b"ok");
            return;
        };
        let (release, gate) = channel();
        let _ = arrival_sender.send(release);
        let _ = gate.recv();
        write_response(stream, framing, response_body(size));
    });
    (address, arrivals)
}
