//! A proxy process that is shut down, its clients, and the SIGKILL that follows SIGTERM as early as the
//! protocol permits.

use super::bodies::*;
use super::*;
use std::sync::atomic::AtomicBool;
use std::sync::OnceLock;
use std::thread::JoinHandle;
use std::time::Instant;

/// Deadline of every class in these tests.
pub const DEADLINE: Duration = Duration::from_secs(1);
/// SIGKILL follows SIGTERM no sooner than the longest deadline plus this margin (PROTOCOL, Figures).
pub const KILL_MARGIN: Duration = Duration::from_millis(700);
/// A slow client reads this many bytes of its response per [`READ_INTERVAL`]: 64 KB a second.
const READ_BYTES: usize = 6_400;
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Receive buffer of a slow client. Without a fixed size, the kernel grows it until it holds the whole
/// response.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// More than the kernel buffers for a slow reader where a send buffer is limited to 4 MB
/// (`net.ipv4.tcp_wmem`).
pub const RESPONSE_BYTES_BEYOND_A_SEND_BUFFER: usize = 5_000_000;
/// Number of parts in which [`write_response_over`] writes a body.
const RESPONSE_PARTS: usize = 24;
/// Framings of a body: by `Content-Length` or by chunked encoding.
pub const FRAMINGS: [&str; 2] = ["length", "chunked"];

/// A response body of `size` bytes. [`Shutdown::prepare`] generates it before the first request, as that
/// takes longer than a deadline.
pub fn response_body(size: usize) -> &'static [u8] {
    static LONGEST: OnceLock<Vec<u8>> = OnceLock::new();
    &LONGEST.get_or_init(|| test_pattern(RESPONSE_BYTES_BEYOND_A_SEND_BUFFER))[..size]
}

/// How the successor takes over from the process that is shut down.
#[derive(Clone, Copy, Debug)]
pub enum Restart {
    /// The successor already serves, on the listener that both processes inherit.
    Hot,
    /// No successor serves until the process has exited.
    Planned,
}

/// The limits of a process, or of both processes of a hot restart together.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_mb: usize,
    pub max_sockets: usize,
}

/// The process that is shut down and, in a hot restart, the listener and folder shared with its successor.
pub struct Shutdown {
    pub proxy: Proxy,
    platform: Option<Platform>,
    config: String,
    pub discovery: Discovery,
}

impl Shutdown {
    /// Starts the process that will be shut down, with `endpoint` as its only endpoint.
    pub fn prepare(restart: Restart, endpoint: SocketAddr) -> Shutdown {
        Shutdown::prepare_with_endpoints(restart, &[endpoint])
    }

    /// Starts the process that will be shut down, with these endpoints and the highest limits.
    pub fn prepare_with_endpoints(restart: Restart, endpoints: &[SocketAddr]) -> Shutdown {
        Shutdown::prepare_with_limits(restart, endpoints, Limits { memory_mb: 192, max_sockets: 1_024 })
    }

    /// Starts the process that will be shut down, with these endpoints and limits.
    pub fn prepare_with_limits(restart: Restart, endpoints: &[SocketAddr], limits: Limits) -> Shutdown {
        response_body(0);
        let discovery = Discovery::start();
        let known: Vec<String> =
            endpoints.iter().zip(1..).map(|(&e, number)| entry(&format!("s-{number}"), e, "up", 0)).collect();
        let listen = "127.0.0.1:0".parse().expect("an address");
        let deadline = format!("\"deadline_us\":{}", DEADLINE.as_micros());
        let config = config(listen, discovery.address, limits.max_sockets, &known)
            .replace("\"memory_mb\":192", &format!("\"memory_mb\":{}", limits.memory_mb))
            .replace("\"deadline_us\":3000000", &deadline)
            .replace("\"objective_us\":1500000", "\"objective_us\":500000");
        assert!(config.contains(&deadline));
        let platform = matches!(restart, Restart::Hot).then(Platform::new);
        let proxy = match &platform {
            Some(platform) => platform.start(&config),
            None => Proxy::with(&config),
        };
        Shutdown { proxy, platform, config, discovery }
    }

    /// Clients that receive at most a small part of a response ahead.
    pub fn new_clients(&self, count: usize) -> Vec<Client> {
        let clients: Vec<Client> = (0..count).map(|_| self.proxy.client()).collect();
        for client in &clients {
            let socket = socket2::SockRef::from(client.stream.get_ref());
            socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a receive buffer");
        }
        clients
    }

    /// Clients whose connections this process, and not a successor, has accepted.
    pub fn connected_clients(&self, count: usize) -> Vec<Client> {
        let mut clients = self.new_clients(count);
        for client in &mut clients {
            assert_eq!(client.call("safe", "900m").status(), 200);
        }
        clients
    }

    /// The folder that the process shares with its successor. None if this is not a hot restart.
    pub fn shared_folder(&self) -> Option<&std::path::Path> {
        self.platform.as_ref().map(|platform| platform.folder.as_path())
    }

    /// Starts the successor. None if this is not a hot restart.
    pub fn start_successor(&self) -> Option<Proxy> {
        self.platform.as_ref().map(|platform| platform.start(&self.config))
    }

    /// Sends SIGHUP, after which the process reads its configuration again.
    pub fn reload(&self) {
        self.proxy.signal("-HUP");
    }

    /// Sends SIGTERM and returns the time of the signal.
    pub fn terminate(&self) -> Instant {
        self.proxy.terminate();
        Instant::now()
    }

    /// Sends SIGKILL at the earliest time permitted after SIGTERM, and waits for the process to exit.
    pub fn kill(&mut self, terminated: Instant) {
        let kill_time = terminated + DEADLINE + KILL_MARGIN;
        thread::sleep(kill_time.saturating_duration_since(Instant::now()));
        self.proxy.child.kill().expect("a child");
        self.proxy.child.wait().expect("a child");
    }
}

/// Reads to the end of the connection and returns the bytes: slowly until `killed` is set, then at full
/// speed.
pub fn read_slowly(mut stream: BufReader<TcpStream>, killed: &AtomicBool) -> Vec<u8> {
    let mut received = Vec::new();
    let mut buffer = [0; READ_BYTES];
    // A reset also ends the connection; the bytes received before it are returned.
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        received.extend_from_slice(&buffer[..count]);
        if !killed.load(Ordering::SeqCst) {
            thread::sleep(READ_INTERVAL);
        }
    }
    received
}

/// Runs [`read_slowly`] on its own thread.
pub fn spawn_slow_reader(client: Client, killed: &Arc<AtomicBool>) -> JoinHandle<Vec<u8>> {
    let killed = Arc::clone(killed);
    thread::spawn(move || read_slowly(client.stream, &killed))
}

/// Writes a complete response with `framing`, one of [`FRAMINGS`].
pub fn write_response(stream: &mut BufReader<TcpStream>, framing: &str, content: &[u8]) {
    let (header, body) = match framing {
        "chunked" => ("Transfer-Encoding: chunked".to_owned(), chunked(content, 16_384)),
        _ => (format!("Content-Length: {}", content.len()), content.to_vec()),
    };
    let head = format!("HTTP/1.1 200 OK\r\n{header}\r\n\r\n").into_bytes();
    send_bytes(stream, &[head, body].concat());
}

/// Writes a complete response, its body spread evenly over `duration`.
pub fn write_response_over(
    stream: &mut BufReader<TcpStream>,
    framing: &str,
    content: &[u8],
    duration: Duration,
) {
    if duration.is_zero() {
        return write_response(stream, framing, content);
    }
    let header = match framing {
        "chunked" => "Transfer-Encoding: chunked".to_owned(),
        _ => format!("Content-Length: {}", content.len()),
    };
    let mut is_open = send_bytes(stream, format!("HTTP/1.1 200 OK\r\n{header}\r\n\r\n").as_bytes());
    for part in content.chunks(content.len().div_ceil(RESPONSE_PARTS)) {
        let part = if framing == "chunked" { chunk(part) } else { part.to_vec() };
        is_open = is_open && send_bytes(stream, &part);
        thread::sleep(duration / RESPONSE_PARTS as u32);
    }
    if is_open && framing == "chunked" {
        send_bytes(stream, LAST_CHUNK);
    }
}

/// The value of the query parameter `name` in the request line of `head`.
pub fn query_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = head.split(' ').nth(1)?.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Framing and length in bytes of the response that the query of a request specifies.
pub fn requested_response(head: &str) -> Option<(&str, usize)> {
    let size = query_value(head, "size")?.parse().expect("a size");
    Some((query_value(head, "framing")?, size))
}

/// An endpoint that sends one `Sender` over the channel for each request whose query specifies a response,
/// and writes the response once that sender is dropped. Other requests are answered at once.
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
