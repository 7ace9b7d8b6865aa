//! Requests with large heads: each gets an answer, in every deployment, and its memory serves the next one.

mod peers;

use peers::bodies::*;
use peers::memory::peak_memory_kb;
use peers::shutdown::write_response;
use peers::*;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Memory in MB and descriptors of the deployments that the platform may choose (TERMS).
const DEPLOYMENTS: [(usize, usize); 6] =
    [(32, 256), (32, 1_024), (48, 256), (48, 1_024), (64, 512), (192, 1_024)];
/// The least memory with the most descriptors.
const SMALLEST: (usize, usize) = (32, 1_024);
/// Sizes of heads over 4 KiB, up to the largest that is not answered with an error.
const HEAD_BYTES: [usize; 5] = [4_200, 4_700, 9_300, 17_000, 31_000];
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A final answer is due 0.5 s after the client's timeout (FLEET).
const MAX_LATENESS: Duration = Duration::from_millis(500);

fn configuration(discovery: &Discovery, (memory_mb, max_sockets): (usize, usize)) -> String {
    let address = endpoint(|head, stream| {
        if body(head, stream).is_some() {
            write_response(stream, "length", b"ok");
        }
    });
    let listen = "127.0.0.1:0".parse().expect("an address");
    config(listen, discovery.address, max_sockets, &[entry("s-1", address, "up", 0)])
        .replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory_mb}"))
}

/// A request whose head has about this size.
fn request(head_bytes: usize) -> String {
    let timeout = format!("{}m", CLIENT_TIMEOUT.as_millis());
    request_head("safe", &timeout, &format!("Content-Length: 0\r\nX-Attrs: {}\r\n", "7".repeat(head_bytes)))
}

fn connect(address: SocketAddr) -> Client {
    let stream = TcpStream::connect(address).expect("a listening process");
    stream.set_read_timeout(Some(LONG)).expect("a timeout");
    Client { stream: BufReader::new(stream) }
}

/// The status of the answer to a request with a head of this size. `None` without an answer in time.
fn status(client: &mut Client, head_bytes: usize) -> Option<u16> {
    let sent_at = Instant::now();
    let is_sent = send_bytes(&mut client.stream, request(head_bytes).as_bytes());
    let answer = client.answer().filter(|_| is_sent);
    answer.filter(|_| sent_at.elapsed() <= CLIENT_TIMEOUT + MAX_LATENESS).map(|answer| answer.status())
}

#[test]
fn large_heads_are_answered_in_every_deployment() {
    // Guards against heads that wait for memory which is kept free for clients that may never come.
    for deployment in DEPLOYMENTS {
        let discovery = Discovery::start();
        let proxy = Proxy::with(&configuration(&discovery, deployment));
        for head_bytes in HEAD_BYTES {
            let mut client = connect(proxy.address);
            assert_eq!(status(&mut client, 100), Some(200));
            for _ in 0..3 {
                assert_eq!(status(&mut client, head_bytes), Some(200), "{deployment:?}, {head_bytes} bytes");
            }
        }
    }
}

#[test]
fn large_heads_are_answered_while_two_processes_share_the_memory() {
    // Guards against the same fault in a hot restart, where each process has a part of the memory.
    for deployment in DEPLOYMENTS {
        let discovery = Discovery::start();
        let config = configuration(&discovery, deployment);
        let platform = Platform::new();
        let _predecessor = platform.start(&config);
        let _successor = platform.start(&config);
        let address = platform.listener.local_addr().expect("its address");
        // Either process may accept a connection.
        for head_bytes in HEAD_BYTES.repeat(4) {
            assert_eq!(
                status(&mut connect(address), head_bytes),
                Some(200),
                "{deployment:?}, {head_bytes} bytes"
            );
        }
    }
}

#[test]
fn idle_connections_that_carried_large_heads_leave_their_memory_to_others() {
    // Guards against connections that keep the memory of their largest head: the later ones would get no answer.
    let discovery = Discovery::start();
    let proxy = Proxy::with(&configuration(&discovery, SMALLEST));
    let mut open = Vec::new();
    for _ in 0..SMALLEST.1 / 3 {
        let mut client = connect(proxy.address);
        assert_eq!(status(&mut client, 31_000), Some(200), "beside {} connections", open.len());
        open.push(client);
    }
    // Each connection is still open, and its next request is answered.
    let mut latest = open.pop().expect("a connection");
    assert_eq!(status(&mut latest, 100), Some(200));
    assert_eq!(status(&mut latest, 9_300), Some(200));
}

#[test]
fn many_large_heads_at_a_time_are_each_answered_or_rejected_in_time() {
    // Guards against a connection that closes without an answer when there is no memory for its head, and against heads
    // that exceed the memory limit together.
    let discovery = Discovery::start();
    let proxy = Proxy::with(&configuration(&discovery, SMALLEST));
    let address = proxy.address;
    let clients: Vec<_> =
        (0..SMALLEST.1 / 3).map(|_| thread::spawn(move || status(&mut connect(address), 31_000))).collect();
    let peak_kb = peak_memory_kb(&[proxy.child.id()], Instant::now() + CLIENT_TIMEOUT);
    let statuses: Vec<_> = clients.into_iter().map(|client| client.join().expect("a client")).collect();
    let count = |status| statuses.iter().filter(|&&other| other == status).count();
    println!("{} served, {} rejected, {peak_kb} kB", count(Some(200)), count(Some(503)));
    assert!(peak_kb <= SMALLEST.0 * 1_024, "{peak_kb} kB");
    assert_eq!(count(Some(200)) + count(Some(503)), statuses.len(), "{statuses:?}");
}

#[test]
fn a_request_behind_one_with_a_large_head_is_answered() {
    // Guards against losing or repeating bytes when the parser, whose buffer a large head has enlarged, is replaced.
    let discovery = Discovery::start();
    let proxy = Proxy::with(&configuration(&discovery, SMALLEST));
    let mut client = connect(proxy.address);
    for _ in 0..5 {
        let pipelined: String = [9_300, 100, 5_000, 31_000, 100].map(request).concat();
        let (beginning, rest) = pipelined.split_at(9_500);
        client.write(beginning);
        thread::sleep(SHORT);
        client.write(rest);
        for _ in 0..5 {
            let answer = client.answer().expect("an answer");
            assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"ok"[..]));
        }
    }
}

/// Opens connections that send so many bytes of a larger head and stop.
fn stopped_clients(address: SocketAddr, count: usize, sent_bytes: usize) -> Vec<Client> {
    let text = request(sent_bytes);
    let mut clients: Vec<_> = (0..count).map(|_| connect(address)).collect();
    clients.iter_mut().for_each(|client| client.write(&text[..sent_bytes]));
    clients
}

#[test]
fn a_slow_head_that_has_waited_for_memory_is_answered() {
    // Guards against rejecting a head for a wait that has ended.
    let discovery = Discovery::start();
    let proxy = Proxy::with(&configuration(&discovery, SMALLEST));
    // More than half of the memory of bodies, and small ones for what remains of that half.
    let mut holders = stopped_clients(proxy.address, 100, 31_000);
    thread::sleep(SHORT * 2);
    let _small_holders = stopped_clients(proxy.address, 20, 7_000);
    thread::sleep(SHORT);
    let mut client = connect(proxy.address);
    let text = request(9_300);
    let (beginning, rest) = text.split_at(7_000);
    client.write(beginning);
    thread::sleep(SHORT / 3);
    holders.clear();
    thread::sleep(SHORT * 2);
    client.write(rest);
    assert_eq!(client.answer().map(|answer| answer.status()), Some(200));
}
